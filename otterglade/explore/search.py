"""The search: every interleaving breadth first, so that the first story is a shortest one; or at random.

States are told apart by a digest of their canonical form (`times.canonical`). The table of digests is bounded
by a stated number: a search that meets it, or its time, says so and is not complete.
"""

from __future__ import annotations

import multiprocessing
import random
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass, field
from multiprocessing.pool import Pool

from .acts import Act, do, possible
from .properties import check, check_quiet
from .times import canonical, pack, unpack
from .world import BrokenError, Scope, World

CHUNK = 48
"""States handed to a worker at once."""


@dataclass(slots=True)
class Found:
    """What a search came to."""

    bound: str = ""
    """The bound that it met; empty: every state was visited."""
    states: int = 0
    steps: int = 0
    depth: int = 0
    seconds: float = 0.0
    broken: str = ""
    what: str = ""
    story: list[Act] = field(default_factory=list)
    acts: Counter[str] = field(default_factory=Counter)
    """How often each kind of act was taken."""

    @property
    def complete(self) -> bool:
        return not self.bound and not self.broken


@dataclass(slots=True)
class _Expanded:
    """What follows from a chunk of states."""

    new: list[tuple[int, Act, bytes, bytes]] = field(default_factory=list)
    """State's place in the level, act, digest, packed; those that this worker has not sent before."""
    broken: list[tuple[int, Act | None, str, str]] = field(default_factory=list)
    acts: Counter[str] = field(default_factory=Counter)


_sent: set[bytes] = set()
"""Digests that this worker has sent already."""


def _begin(scope: Scope) -> None:
    World(scope)  # has the settings shared under the same number in every process
    _sent.clear()


def _expand(level: list[tuple[int, bytes]]) -> _Expanded:
    found = _Expanded()
    for place, data in level:
        first: World | None = unpack(data)
        assert first is not None
        acts = possible(first)
        try:
            check_quiet(first, acts)
        except BrokenError as error:
            found.broken.append((place, None, error.name, error.what))
        for act in acts:
            world = first if first is not None else unpack(data)
            first = None
            found.acts[str(act[0])] += 1
            try:
                do(world, act)
                check(world)
            except BrokenError as error:
                found.broken.append((place, act, error.name, error.what))
                continue
            digest = canonical(world)
            if digest not in _sent:
                _sent.add(digest)
                found.new.append((place, act, digest, pack(world)))
    return found


def explore(scope: Scope, *, most: int = 5_000_000, seconds: float = 1e9, workers: int = 1) -> Found:
    """Visit every state of a scope, or until a bound or the first broken property."""
    began, found = time.monotonic(), Found()
    root = World(scope)
    known: dict[bytes, int] = {canonical(root): 0}
    parents: list[tuple[int, Act]] = [(-1, ())]
    level = [(0, pack(root))]
    pool: Pool | None = None
    if workers > 1:
        pool = multiprocessing.get_context("fork").Pool(workers, _begin, (scope,))
    else:
        _begin(scope)
    try:
        while level:
            following: list[tuple[int, bytes]] = []
            chunks = [level[x : x + CHUNK] for x in range(0, len(level), CHUNK)]
            results: Iterator[_Expanded] = pool.imap(_expand, chunks) if pool else map(_expand, chunks)
            for expanded in results:
                found.acts += expanded.acts
                if expanded.broken and not found.broken:
                    place, act, found.broken, found.what = expanded.broken[0]
                    found.story = _story(parents, place) + ([act] if act is not None else [])
                for place, act_, digest, data in expanded.new:
                    if digest not in known:
                        known[digest] = len(parents)
                        following.append((len(parents), data))
                        parents.append((place, act_))
                if found.broken:
                    break
                if len(parents) > most:
                    found.bound = f"{most} states"
                elif time.monotonic() - began > seconds:
                    found.bound = f"{seconds:g} seconds"
                if found.bound:
                    break
            if found.broken or found.bound:
                break
            level = following
            found.depth += bool(level)
    finally:
        if pool is not None:
            pool.terminate()
            pool.join()
    found.states, found.steps = len(parents), sum(found.acts.values())
    found.seconds = time.monotonic() - began
    return found


def _story(parents: list[tuple[int, Act]], place: int) -> list[Act]:
    story: list[Act] = []
    while place > 0:
        place, act = parents[place]
        story.append(act)
    return story[::-1]


def play(scope: Scope, story: list[Act]) -> tuple[World, BrokenError | None]:
    """Play a story against the real code: the world it leads to, and the property that it breaks."""
    world = World(scope)
    try:
        for act in story:
            world = unpack(pack(world))  # the search's own way, so that a story means the same
            if act not in possible(world):
                raise ValueError(f"{act}: can't happen here; possible are {possible(world)}")
            do(world, act)
            check(world)
        check_quiet(world, possible(world))
    except BrokenError as error:
        return world, error
    return world, None


def walk(scope: Scope, seed: int, steps: int, depth: int = 400) -> Found:
    """Random walks by seed, so many steps in all: for worlds too large to be visited whole."""
    began, found, draw = time.monotonic(), Found(), random.Random(seed)
    while found.steps < steps and not found.broken:
        world, story = World(scope), list[Act]()
        for _ in range(depth):
            acts = possible(world)
            try:
                check_quiet(world, acts)
                if not acts:
                    break
                act = draw.choice(acts)
                story.append(act)
                found.steps += 1
                found.acts[str(act[0])] += 1
                do(world, act)
                check(world)
            except BrokenError as error:
                found.broken, found.what, found.story = error.name, error.what, story
                break
        found.depth = max(found.depth, len(story))
    found.seconds = time.monotonic() - began
    found.bound = "" if found.broken else f"{found.steps} steps drawn by seed {seed}"
    return found
