"""The search through the world of the distribution: breadth first, or drawn at random by seed.

States are told apart by a fingerprint that leaves out times, random sources and counters for operators, as no
step depends on them: every entrance is called at a time that is chosen by the step.
"""

from __future__ import annotations

import copyreg
import dataclasses
import hashlib
import io
import pickle
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from ..core.distribution.items import ItemStore
from ..core.distribution.revision import Change
from ..core.distribution.subscriber import Subscriber
from ..core.distribution.transfer import TransferStore
from .distribution import KINDS, MOST_QUIET_STEPS, Act, Process, Question, Reply, Scope, World
from .distribution_acts import begun, default_act, do, possible
from .search import Found
from .story import Story, StoryError
from .world import BrokenError

SKIPPED = frozenset(
    (
        "_exchanges", "_exchange", "_random", "_source", "_bucket", "_backoff", "_timing",
        "stale_refused", "mismatches", "uncounted", "last_failure", "reason", "error", "steps", "scope",
        "exchange", "read_id", "checker",
    )
)  # fmt: skip
"""Fields without influence on what happens, or told in another way."""
DEPARTURE_CHANCE = 0.08
"""Of a departure in place of the step in order, in a walk."""
SHRINK_TRIES = 400

# Copies


class _CopyOnWriteStore(ItemStore):
    """A mapping that shares its items with others until it changes."""

    def apply(self, changes: Sequence[Change]) -> None:
        """As ItemStore, on items of its own from now on."""
        vars(self).update(vars(self.copy()))
        super().apply(changes)


_stores: dict[bytes, ItemStore] = {}
"""By root: mappings that packed worlds refer to."""


def _store_again(root: bytes) -> ItemStore:
    store = _CopyOnWriteStore.__new__(_CopyOnWriteStore)
    vars(store).update(vars(_stores[root]))
    return store


def _reduce_store(store: ItemStore) -> tuple[Any, ...]:
    if store.root not in _stores:
        _stores[store.root] = store.copy()
    return _store_again, (store.root,)


def _any_random() -> random.Random:
    return random.Random(0)


def _reduce_random(source: random.Random) -> tuple[Any, ...]:
    return _any_random, ()


def pack(world: World) -> bytes:
    """A world as bytes, for this process."""
    buffer = io.BytesIO()
    pickler = pickle.Pickler(buffer, protocol=5)
    reducers: dict[type, Callable[[Any], Any]] = {
        ItemStore: _reduce_store,
        _CopyOnWriteStore: _reduce_store,
        random.Random: _reduce_random,
    }
    pickler.dispatch_table = copyreg.dispatch_table.copy() | reducers
    pickler.dump(world)
    return buffer.getvalue()


def unpack(data: bytes) -> World:
    """A world of its own."""
    world: World = pickle.loads(data)
    return world


# Fingerprints


def fingerprint(world: World) -> bytes:
    """The same for two worlds from which the same can come."""
    out: list[object] = []
    put = out.append

    def walk(value: Any) -> None:
        kind = type(value)
        if kind in (str, bytes, bool, int) or value is None:
            put(value)
        elif kind is bytearray:
            put(bytes(value))
        elif kind is float or callable(value):
            pass
        elif isinstance(value, Enum):
            put(value.name)
        elif isinstance(value, msgspec.Struct):
            put(msgspec.msgpack.encode(value))
        elif isinstance(value, ItemStore):
            put(value.root)
        elif kind is TransferStore:
            put(list(value._blobs))
        elif kind in (list, tuple, deque):
            put(len(value))
            for one in value:
                walk(one)
        elif kind in (dict, OrderedDict):
            put(len(value))
            for key, one in value.items():
                walk(key)
                walk(one)
        elif kind in (set, frozenset):
            put(sorted(value, key=repr))
        else:
            _walk_object(value)

    def _walk_object(value: Any) -> None:
        put(type(value).__name__)
        if isinstance(value, Question | Reply):
            put(_is_current(world, value))
        if isinstance(value, Process):
            put(bool(value.exchange))
        if isinstance(value, Subscriber):
            put(value.state.name)
        for name in _fields(type(value)) or vars(value):
            if name not in SKIPPED:
                walk(getattr(value, name))

    walk(world.__dict__ | {"checker": None, "steps": 0, "scope": None})
    walk(world.checker.line)
    walk(world.checker.applied)
    walk(sorted(world.checker.accepted_keys))
    walk(sorted(world.checker.refused_keys))
    return hashlib.blake2b(repr(out).encode(), digest_size=16).digest()


def _is_current(world: World, value: Question | Reply) -> bool:
    """Whether it belongs to a run's latest exchange."""
    return any(
        process.exchange == value.read_id and process.life == value.life
        for process in world.processes.values()
        if isinstance(value, Reply) or value.request.name == process.name
    )


_known_fields: dict[type, tuple[str, ...]] = {}


def _fields(kind: type) -> tuple[str, ...]:
    """Of dataclasses; none for other classes."""
    found = _known_fields.get(kind)
    if found is None:
        found = ()
        if dataclasses.is_dataclass(kind):
            found = tuple(one.name for one in dataclasses.fields(kind))
        _known_fields[kind] = found
    return found


# Search


def _check_rest(world: World) -> None:
    if default_act(world) is None:
        world.check_rest()
    elif world.steps > MOST_QUIET_STEPS:
        raise BrokenError("progress", f"no rest after {world.steps} steps")


class _Visited:
    """The states that were come to, how, and which follows on which in order."""

    def __init__(self) -> None:
        self.known: dict[bytes, int] = {}
        self.parents: list[tuple[int, Act]] = []
        self._next: dict[int, int] = {}
        """By state: the one after the step in order."""

    def add(self, digest: bytes, parent: int, act: Act) -> tuple[int, bool]:
        """The number of a state, and whether it is new."""
        known = self.known.get(digest)
        if known is not None:
            return known, False
        place = self.known[digest] = len(self.parents)
        self.parents.append((parent, act))
        return place, True

    def story(self, place: int) -> list[Act]:
        """The acts that lead to a state."""
        acts: list[Act] = []
        while place > 0:
            place, act = self.parents[place]
            acts.append(act)
        return acts[::-1]

    def follows(self, place: int, after: int) -> None:
        """Raises BrokenError where the steps in order come back to where they were."""
        self._next[place] = after
        at: int | None = after
        while at is not None and at != place:
            at = self._next.get(at)
        if at == place:
            raise BrokenError("progress", "the steps in order come back to where they were")


def explore(scope: Scope, *, most: int = 100_000, seconds: float = 1e9) -> Found:
    """Visit every state of a scope, or until a bound or the first broken property."""
    began, found, visited = time.monotonic(), Found(), _Visited()
    root = begun(scope)
    visited.add(fingerprint(root), -1, ())
    level = [(0, pack(root))]
    try:
        while level and not found.bound:
            following: list[tuple[int, bytes]] = []
            for place, data in level:
                following += _expanded(place, data, found, visited)
                found.bound = _bound(len(visited.parents), most, time.monotonic() - began, seconds)
                if found.bound:
                    break
            level = following
            found.depth += bool(level)
    except _FoundError as ended:
        found.broken, found.what, found.story = ended.error.name, ended.error.what, ended.story
    found.states, found.steps = len(visited.parents), sum(found.acts.values())
    found.seconds = time.monotonic() - began
    return found


def _bound(states: int, most: int, passed: float, seconds: float) -> str:
    if states > most:
        return f"{most} states"
    return f"{seconds:g} seconds" if passed > seconds else ""


class _FoundError(Exception):
    """A property does not hold."""

    def __init__(self, error: BrokenError, story: list[Act]) -> None:
        super().__init__(str(error))
        self.error, self.story = error, story


def _expanded(place: int, data: bytes, found: Found, visited: _Visited) -> list[tuple[int, bytes]]:
    """The new states that follow on one."""
    first = unpack(data)
    story = visited.story(place)
    new: list[tuple[int, bytes]] = []
    try:
        _check_rest(first)
        acts = possible(first)
    except BrokenError as error:
        raise _FoundError(error, story) from error
    for act in acts:
        world = unpack(data)
        found.acts[str(act[0])] += 1
        try:
            do(world, act)
            after, is_new = visited.add(fingerprint(world), place, act)
            if act is acts[0]:
                visited.follows(place, after)
        except BrokenError as error:
            raise _FoundError(error, [*story, act]) from error
        if is_new:
            new.append((after, pack(world)))
    return new


def walk(scope: Scope, seed: int, steps: int) -> Found:
    """Stories drawn by seed, so many steps in all, each to its end."""
    began, found = time.monotonic(), Found()
    number = 0
    while found.steps < steps and not found.broken:
        _draw(scope, random.Random(f"{seed}-{number}"), found)
        number += 1
    found.states, found.seconds = found.steps, time.monotonic() - began
    if not found.broken:
        found.bound = f"{found.steps} steps drawn by seed {seed}"
    return found


def _draw(scope: Scope, draw: random.Random, found: Found) -> None:
    """One story."""
    world, story = begun(scope), list[Act]()
    try:
        while True:
            _check_rest(world)
            acts = possible(world)
            if not acts:
                break
            act = _drawn(acts, draw)
            story.append(act)
            found.steps += 1
            found.acts[str(act[0])] += 1
            do(world, act)
    except BrokenError as error:
        found.broken, found.what, found.story = error.name, error.what, story
    found.depth = max(found.depth, len(story))


def _drawn(acts: list[Act], draw: random.Random) -> Act:
    """Most often the step in order; otherwise a kind, and one of that kind."""
    if len(acts) == 1 or draw.random() >= DEPARTURE_CHANCE:
        return acts[0]
    kinds = sorted({str(act[0]) for act in acts[1:]})
    kind = draw.choice(kinds)
    return draw.choice([act for act in acts[1:] if act[0] == kind])


# What was found


def play(scope: Scope, story: list[Act]) -> BrokenError | None:
    """Play a story against the code, and on in order to its end: the property that breaks. Raises ValueError
    for an act that can't happen."""
    world = begun(scope)
    try:
        for act in story:
            if act not in possible(world):
                raise ValueError(f"{act}: can't happen here; possible are {possible(world)}")
            do(world, act)
        _run_in_order(world, [])
    except BrokenError as error:
        return error
    return None


def _run_in_order(world: World, done: list[Act]) -> None:
    while True:
        _check_rest(world)
        act = default_act(world)
        if act is None:
            return
        done.append(act)
        do(world, act)


def is_departure(act: Act) -> bool:
    """Whether an act is not a step in order."""
    return act[0] in KINDS


def shrunk(scope: Scope, story: list[Act], broken: str) -> list[Act]:
    """A shorter story that breaks the same property: departures left out one by one, the rest in order."""
    best, tries, changed = story, SHRINK_TRIES, True
    while changed and tries > 0:
        changed = False
        for index in range(len(best) - 1, -1, -1):
            tries -= 1
            shorter = _replayed(scope, best[:index], best[index + 1 :], broken)
            if shorter is not None and _cost(shorter) < _cost(best):
                best, changed = shorter, True
                break
    return best


def _cost(story: list[Act]) -> tuple[int, int]:
    return sum(is_departure(act) for act in story), len(story)


def _replayed(scope: Scope, before: list[Act], after: list[Act], broken: str) -> list[Act] | None:
    """Both parts, as far as they can happen, and on in order; None: that property does not break."""
    world, done = begun(scope), list[Act]()
    try:
        for act in [*before, *after]:
            if act in possible(world):
                done.append(act)
                do(world, act)
        _run_in_order(world, done)
    except BrokenError as error:
        return done if error.name == broken else None
    return None


def save(path: Path, scope: Scope, story: list[Act], broken: str, what: str) -> None:
    """A story as a file that plays again."""
    kept = Story(dataclasses.asdict(scope), [list(act) for act in story], broken, what)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(kept)) + b"\n")


def load(path: Path) -> tuple[Scope, list[Act]]:
    """Raises StoryError."""
    try:
        kept = msgspec.json.decode(path.read_bytes(), type=Story)
        return Scope(**kept.scope), kept.acts()
    except (OSError, msgspec.MsgspecError, TypeError) as error:
        raise StoryError(f"{path}: no story of the distribution: {error}") from error


def told(scope: Scope, story: list[Act]) -> str:
    """A story as numbered steps."""
    world = begun(scope)
    lines: list[str] = []
    try:
        for number, act in enumerate(story, 1):
            mark = "*" if is_departure(act) else " "
            lines.append(f"{number:4d} {mark} {_said(world, act)}")
            do(world, act)
        _check_rest(world)
    except BrokenError as error:
        lines.append(f"     broken: {error}")
    return "\n".join(lines)


def _said(world: World, act: Act) -> str:
    if act[0] not in ("deliver", "lost", "late", "doubled"):
        return " ".join(str(part) for part in act)
    flight = world.flights[int(act[1])]
    said: object = flight.body
    if isinstance(said, Question):
        said = said.request
    elif isinstance(said, Reply):
        said = said.answer
    return f"{act[0]} {flight.sender} -> {flight.to}: {type(said).__name__} {_subject(said)}".rstrip()


def _subject(body: object) -> str:
    """Which revision or proposal a message is about."""
    for name in ("delta", "target", "in_force", "revision", "proposal", "mark", "term"):
        value = getattr(body, name, None)
        if value is not None:
            return str(getattr(value, "target", value))
    return ""
