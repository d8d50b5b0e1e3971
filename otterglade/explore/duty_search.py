"""Searches in the world of duties: every story of a few faults, or long ones drawn by a seed; and what was
found, shrunk and told.

Delay-bounded search (Emmi, Qadeer, Rakamaric 2011): left alone a world takes one step after another in one
fixed way, and whatever differs from it is counted. All stories of as many differences as a scope allows are
played to its horizon, each at every place, so a search is complete *for its bound*; a state that was met
before with no fewer differences to come is not looked at again. Shorter bounds are searched first, so a first
story is one of the fewest faults.
"""

from __future__ import annotations

import dataclasses
import math
import multiprocessing
import random
import time
from collections.abc import Iterator
from pathlib import Path

import msgspec

from .duties import NEXT, RARE, Act, Scope, World, digest, do, pack, possible, unpack
from .search import Found
from .story import Story, StoryError, _row
from .world import BrokenError

FREE = frozenset(("next", "arrives late", "heal", "start", "goes on", "disk goes on", "sound"))
"""Acts that are no fault: what was put aside, cut, ended or stopped comes back."""
CALM = 20.0
"""Seconds within which a majority that hears itself, and to which nothing happens any more, has an owner
whose orders all obey and who decides: silence after a start, two leases, and the waits of those that try."""
STEADY = 6.0
"""Seconds after that in which the owner stays the same."""


@dataclasses.dataclass(slots=True)
class Told(Found):
    """What a search came to, and the seed under which its story plays."""

    seed: int = 1


@dataclasses.dataclass(slots=True)
class _Search:
    """One search by depth, with its table."""

    scope: Scope
    most: int
    until: float
    found: Told = dataclasses.field(default_factory=Told)
    known: dict[bytes, int] = dataclasses.field(default_factory=dict)
    """State: how many faults were still to come when it was looked at."""

    def run(self, world: World, before: list[Act], budget: int) -> None:
        """Play the world on to its horizon, and from each state of it whatever may differ."""
        found, story = self.found, list(before)
        end = world.began + self.scope.horizon
        while not found.broken and not found.bound:
            left = budget - world.faults
            if world.quiet():
                key = digest(world)
                if self.known.get(key, -1) >= left:
                    return
                found.states += key not in self.known
                self.known[key] = left
                if found.states > self.most:
                    found.bound = f"{self.most} states"
                elif time.monotonic() > self.until:
                    found.bound = "its time"
            found.depth = max(found.depth, len(story))
            acts = [x for x in possible(world)[1:] if left > 0 or x[0] in FREE]
            data = pack(world) if acts else b""
            for act in acts:
                other = unpack(data)
                if not self.act(other, act, story):
                    return
                self.run(other, [*story, act], budget)
                if found.broken or found.bound:
                    return
            if world.now > end or not self.act(world, NEXT, story):
                return
            story.append(NEXT)

    def act(self, world: World, act: Act, story: list[Act]) -> bool:
        self.found.acts[str(act[0])] += 1
        self.found.steps += 1
        try:
            do(world, act)
        except BrokenError as error:
            self.found.broken, self.found.what = error.name, error.what
            self.found.story = [*story, act]
            return False
        return True


def explore(scope: Scope, *, most: int = 5_000_000, seconds: float = 1e9, workers: int = 1) -> Told:
    """Every story of at most `scope.faults` faults, fewest first; until a bound or a broken property."""
    began, found = time.monotonic(), Told()
    for budget in range(scope.faults + 1):
        found = _within(scope, budget, most, began + seconds, workers)
        if found.broken or found.bound:
            break
    found.seconds = time.monotonic() - began
    if found.bound == "its time":
        found.bound = f"{seconds:g} seconds, at {budget} faults; those of {budget - 1} are complete"
    return found


def _within(scope: Scope, budget: int, most: int, until: float, workers: int) -> Told:
    if workers == 1 or budget < 2:
        search = _Search(scope, most, until)
        try:
            search.run(World(scope), [], budget)
        except BrokenError as error:
            search.found.broken, search.found.what = error.name, error.what
        return search.found
    # Each worker takes the stories that begin with its own first faults, with a table of its own.
    roots = _roots(scope)
    jobs = [(scope, roots[n :: workers * 4], budget, most // workers, until) for n in range(workers * 4)]
    total = Told()
    with multiprocessing.get_context("fork").Pool(workers) as pool:
        for part in pool.imap(_part, jobs):
            total.states += part.states
            total.steps += part.steps
            total.depth = max(total.depth, part.depth)
            total.acts += part.acts
            total.bound = total.bound or part.bound
            if part.broken and (not total.broken or len(part.story) < len(total.story)):
                total.broken, total.what, total.story = part.broken, part.what, part.story
    return total


def _roots(scope: Scope) -> list[list[Act]]:
    """The stories of one fault that end with it."""
    world, story, roots = World(scope), list[Act](), list[list[Act]]()
    while world.now <= world.began + scope.horizon:
        roots += [[*story, x] for x in possible(world)[1:]]
        do(world, NEXT)
        story.append(NEXT)
    return roots


def _part(job: tuple[Scope, list[list[Act]], int, int, float]) -> Told:
    scope, roots, budget, most, until = job
    search = _Search(scope, most, until)
    for root in roots:
        if search.found.broken or search.found.bound:
            break
        world = World(scope)
        for act in root[:-1]:
            do(world, act)
        if search.act(world, root[-1], root[:-1]):
            search.run(world, root, budget)
    return search.found


# Long stories


ENDLESS = dict.fromkeys(RARE, 10**9)
WEIGHTS = {
    "lost": 6.0, "late": 6.0, "doubled": 2.0, "slow": 3.0, "full": 0.3, "cuts": 2.0, "stops": 2.0,
    "kills": 1.0, "powers": 0.2, "blank": 0.3, "old": 0.3, "handed": 0.5, "packed": 0.5,
}  # fmt: skip
"""How often each kind of fault is drawn against the others that can happen."""
OFTEN_CALM = 0.0005
"""Of the steps of a long story, after which it is looked at whether a majority left alone gets on."""
BACK = (0.0, 0.05, 0.3, 0.8, 1.2, 1.5, 1.7, 1.9, 2.1, 2.6, 4.0, math.inf)
"""Seconds after which what was put aside, stopped, cut or ended comes back: a period, a hold, a lease."""


class _Draws:
    """Which acts a long story has: faults that fall on one gateway more than on others, for a while the one
    that owns the duty; and returns after times that matter."""

    def __init__(self, world: World, draw: random.Random) -> None:
        self._world, self._draw = world, draw
        self._often = draw.choice((0.01, 0.02, 0.04, 0.1, 0.3))
        self._timed = draw.random() < 0.6
        """Whether faults come after times that matter, counted from one another, and not at any step."""
        self._next, self._armed = world.now + draw.choice(BACK[:-1]), False
        self._victim = self._drawn()
        self._returns: list[tuple[float, str, object]] = []

    def _drawn(self) -> int:
        owners = self._world.owners
        last = [self._world.names.index(owners[max(owners)])] if owners else []
        victim: int = self._draw.choice([*last * 3, *range(len(self._world.gates))])
        return victim

    def act(self) -> Act:
        world, draw = self._world, self._draw
        if draw.random() < 0.02:
            self._victim = self._drawn()
        if world.quiet():
            rings = min((world.due(x) for x in world.gates if x.up and not x.stopped), default=math.inf)
            back = min(self._returns, key=lambda x: x[0], default=(math.inf, "", None))
            if back[0] <= min(rings, world.now + 10.0):
                if back[0] > world.now + 0.001:
                    return "passes", math.ceil((back[0] - world.now) * 1000)
                self._returns.remove(back)
                found = self._return(back[1], back[2])
                if found is not None:
                    return found
            if self._timed and not self._armed and self._next <= min(rings, world.now + 10.0):
                self._armed = True
                if self._next > world.now + 0.001:
                    return "passes", math.ceil((self._next - world.now) * 1000)
        elif self._returns and draw.random() < 0.1:  # a late one comes in the middle of it
            back = draw.choice(self._returns)
            found = self._return(back[1], back[2]) if back[1] == "arrives late" else None
            if found is not None:
                self._returns.remove(back)
                return found
        if (not self._armed or draw.random() < 0.5) if self._timed else draw.random() >= self._often:
            return NEXT
        acts = [x for x in possible(world)[1:] if x[0] in WEIGHTS]
        kinds = sorted({str(x[0]) for x in acts})
        if not kinds:
            return NEXT
        kind = draw.choices(kinds, [WEIGHTS[x] for x in kinds])[0]
        acts = [x for x in acts if x[0] == kind]
        if draw.random() < 0.8:
            acts = [x for x in acts if self._falls(x)] or acts
        act = draw.choice(acts)
        self._plan(act)
        times = [x for x, _, _ in self._returns if x < math.inf]
        if times and draw.random() < 0.4:
            self._next = draw.choice(times)
        else:
            self._next = world.now + draw.choice(BACK[:-1])
        self._armed = False
        return act

    def _falls(self, act: Act) -> bool:
        name = self._world.names[self._victim]
        if act[0] in ("lost", "late", "doubled"):
            message = self._world.flights[act[1]].message
            return name in (message.sender, message.receiver)
        return bool(act[0] == "powers" or act[1] == self._victim)

    def _plan(self, act: Act) -> None:
        kind, what = {
            "late": ("arrives late", None), "doubled": ("arrives late", None), "stops": ("goes on", act[1]),
            "kills": ("start", act[1]), "cuts": ("heal", 0), "slow": ("disk goes on", act[1]),
        }.get(str(act[0]), ("", None))  # fmt: skip
        after = self._draw.choice(BACK)
        if kind == "arrives late":
            what = self._world.flights[act[1]].message.sequence, self._world.flights[act[1]].message.sender
        if kind:
            self._returns.append((self._world.now + after, str(kind), what))
        if act[0] == "powers":
            for gate in self._world.gates:
                self._returns.append((self._world.now + self._draw.choice(BACK[:-1]), "start", gate.number))
        if act[0] in ("blank", "old"):
            self._returns.append((self._world.now + 11.0, "sound", act[1]))

    def _return(self, kind: str, what: object) -> Act | None:
        if kind == "arrives late":
            for n, flight in enumerate(self._world.flights):
                if flight.held and (flight.message.sequence, flight.message.sender) == what:
                    if not self._world.of(flight.message.receiver).stopped:
                        return kind, n
                    self._returns.append((self._world.now + 0.3, kind, what))
            return None
        acts = [x for x in possible(self._world) if x[0] == kind and x[1] == what]
        return self._draw.choice(acts) if acts else None


def drawn(scope: Scope, seed: int, depth: int, calm: bool = True) -> Told:
    """One long story; now and then on its way, whether a majority left alone gets on.

    Of many kinds of faults each story has about half, as some hide what others would show (swarm testing,
    Groce et al. 2012).
    """
    draw, found = random.Random(seed), Told(seed=seed)
    kinds = [x for x in RARE if getattr(scope, x)]
    some = {x: 10**9 * (len(kinds) < 4 or draw.random() < 0.5) for x in kinds}
    scope = dataclasses.replace(scope, faults=10**9, **some)
    story: list[Act] = []
    try:
        world = World(scope, seed)
        draws = _Draws(world, draw)
        for _ in range(depth):
            act = draws.act()
            story.append(act)
            found.acts[str(act[0])] += 1
            do(world, act)
            if draw.random() < OFTEN_CALM and calm:
                story.append(("calm", draw.randrange(-1, scope.voters)))
                do_calm(world, story[-1])
                story.pop()
    except BrokenError as error:
        found.broken, found.what, found.story = error.name, error.what, story
    found.steps, found.depth = sum(found.acts.values()), len(story)
    return found


def do_calm(world: World, act: Act) -> None:
    """From here on nothing fails any more, in a copy of the world; one voter may stay away for good. Raises
    BrokenError where nobody comes to own the duty, or where it goes from hand to hand."""
    other = unpack(pack(world))
    away = other.names[act[1]] if act[1] >= 0 else ""
    other.cut, other.flights = set(), [x for x in other.flights if not x.held]
    for gate in other.gates:
        gate.slow = gate.stopped = False
        if gate.up and (gate.leaves or gate.name == away):
            other.kill(gate, kept=False)
        if not gate.up and gate.name != away:
            other.start(gate)
    up = [x for x in other.gates if x.up]
    able = [x for x in up[: other.scope.voters] if x.number < other.scope.voters and not x.alive().abstains]
    if len(able) <= other.scope.voters // 2:
        return
    known = max((len(x) for x in other.published.values()), default=0)
    for gate in up:
        assert gate.work is not None, "it is up"
        gate.work.made, gate.work.most = 0, 1000
    end = other.now + CALM
    while other.now < end:
        do(other, NEXT)
    orders = [x.in_force(other.now) for x in up]
    longest = max((len(x) for x in other.published.values()), default=0)
    if None in orders or (longest <= known and longest < 600):
        idle = ", ".join(x.name for x, y in zip(up, orders, strict=True) if y is None) or "the owner"
        raise BrokenError("progress", f"{CALM:g} s after all was well {idle} has nothing to go by")
    terms = {x.term for x in orders if x is not None}
    while other.now < end + STEADY:
        do(other, NEXT)
    terms |= {x.term for x in (x.in_force(other.now) for x in up) if x is not None}
    if len(terms) > 1:
        raise BrokenError("thrash", f"{CALM:g} s after all was well the duty went through {sorted(terms)}")


def _drawn(job: tuple[Scope, int, int, bool]) -> Told:
    return drawn(*job)


def walk(
    scope: Scope, seed: int, steps: int, *, depth: int = 2000, workers: int = 1, calm: bool = True
) -> Told:
    """Random stories by seed, so many steps in all; the same whatever the number of workers. `calm`: whether
    it is looked at that a majority left alone gets on."""
    began, total = time.monotonic(), Told()
    count = max(1, steps // depth)
    jobs = [(scope, seed * 1_000_003 + n, min(depth, steps), calm) for n in range(count)]
    pool = multiprocessing.get_context("fork").Pool(workers) if workers > 1 else None
    try:
        results: Iterator[Told] = pool.imap(_drawn, jobs) if pool else map(_drawn, jobs)
        for found in results:
            total.steps += found.steps
            total.depth = max(total.depth, found.depth)
            total.acts += found.acts
            if found.broken:
                total.broken, total.what, total.story = found.broken, found.what, found.story
                total.seed = found.seed
                break
    finally:
        if pool is not None:
            pool.terminate()
            pool.join()
    total.seconds = time.monotonic() - began
    if not total.broken:
        total.bound = f"{total.steps} steps drawn by seed {seed}"
    return total


# What was found


def play(
    scope: Scope, story: list[Act], seed: int = 1, lenient: bool = False
) -> tuple[list[Act], BrokenError | None]:
    """Play a story against the real code: the acts that happened, and the property that breaks. `lenient`:
    acts that can't happen any more are left out; else they raise ValueError."""
    done: list[Act] = []
    scope = dataclasses.replace(scope, faults=10**9, **ENDLESS)
    try:
        world = World(scope, seed)
        for act in story:
            if act[0] == "calm":
                done.append(act)
                do_calm(world, act)
                continue
            if act[0] not in ("next", "passes") and act not in possible(world):
                if lenient:
                    continue
                raise ValueError(f"{act}: can't happen here; possible are {possible(world)}")
            done.append(act)
            do(world, act)
    except BrokenError as error:
        return done, error
    return done, None


def shrunk(scope: Scope, story: list[Act], seed: int, broken: str, tries: int = 300) -> list[Act]:
    """A story with fewer faults that breaks the same property: acts left out by halves, then one by one, and
    what comes by itself cut short (Zeller and Hildebrandt 2002)."""
    best, size = story, max(1, len(story) // 2)
    while size and tries:
        place, changed = 0, False
        while place < len(best) and tries:
            cut = best[place : place + size]
            if size == 1 and cut == [NEXT] and tries < 150:
                place += 1
                continue
            tries -= 1
            done, error = play(scope, best[:place] + best[place + size :], seed, lenient=True)
            if error is not None and error.name == broken and len(done) < len(best):
                best, changed = done, True
            else:
                place += size
        size = size if changed and size == 1 else size // 2
    return best


def steps(story: list[Act]) -> int:
    """Acts in a story that do not come by themselves."""
    return sum(x != NEXT for x in story)


def save(path: Path, scope: Scope, story: list[Act], seed: int, broken: str, what: str) -> None:
    """Steps that come by themselves are counted."""
    packed: list[list[object]] = []
    for act in story:
        if act == NEXT and packed and packed[-1][0] == "next":
            packed[-1][1] = int(str(packed[-1][1])) + 1
        else:
            packed.append(["next", 1] if act == NEXT else list(act))
    told = Story({**dataclasses.asdict(scope), "seed": seed}, packed, broken, what)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(told)) + b"\n")


def load(path: Path) -> tuple[Scope, list[Act], int]:
    """Raises StoryError."""
    try:
        told = msgspec.json.decode(path.read_bytes(), type=Story)
        given = dict(told.scope)
        seed = given.pop("seed")
        story: list[Act] = []
        for one in told.steps:
            story += [NEXT] * int(one[1]) if one[0] == "next" else [tuple(one)]
        return Scope(**given), story, seed
    except (OSError, msgspec.MsgspecError, TypeError, KeyError) as error:
        raise StoryError(f"{path}: no story of duties: {error}") from error


def told(scope: Scope, story: list[Act], seed: int = 1) -> str:
    """Numbered steps with a column for each gateway; what comes by itself is shown around what does not."""
    world = World(dataclasses.replace(scope, faults=10**9, **ENDLESS), seed)
    columns, lines, quiet = list(world.names), list[str](), 0
    lines.append("              " + "".join(f"{x:^5}" for x in columns))
    near = {n + m for n, x in enumerate(story) if x != NEXT for m in range(-2, 4)}
    near |= set(range(len(story) - 12, len(story)))
    for number, act in enumerate(story, 1):
        source, target, said = _arrow(world, act)
        marks = {x.name: x.highest for x in world.gates}
        when = f"{number:4d} {world.now - world.began:7.2f}"
        try:
            if act[0] == "calm":
                do_calm(world, act)
            else:
                do(world, act)
        except BrokenError as error:
            lines.append(f"{when}  {_row(columns, source, target)}  {said}")
            lines.append(f"     broken: {error}")
            return "\n".join(lines)
        obeys = [f"{x.name} obeys {x.highest}" for x in world.gates if x.highest > marks[x.name]]
        if number - 1 in near or obeys:
            if quiet:
                lines.append(f"     ... {quiet} steps as they come")
            quiet = 0
            said = "; ".join([said, *obeys])
            lines.append(f"{when}  {_row(columns, source, target)}  {said}")
        else:
            quiet += 1
    return "\n".join(lines)


def _arrow(world: World, act: Act) -> tuple[str, str, str]:
    """From whom, to whom, what."""
    name, n = str(act[0]), int(act[1]) if len(act) > 1 else 0
    if name == "next":
        writer, place = world.writer(), world.arriving()
        if writer is not None:
            return (
                writer.name,
                "",
                "its records are on disk" if writer.queue else "hears that they are on disk",
            )
        if place is None:
            up = [(world.due(x), x.name) for x in world.gates if x.up and not x.stopped]
            return min(up, default=(0.0, ""))[1], "", "alarm"
        name, n = "arrives", place
    if name in ("arrives", "lost", "late", "doubled", "arrives late"):
        message = world.flights[n].message
        fate = {"late": "is put aside", "lost": "is lost", "doubled": "arrives, and stays under way"}.get(
            name, name
        )
        return message.sender, message.receiver, f"{message.kind.value} {message.request_id} {fate}"
    if name == "heal":
        return "", "", "all hear one another again"
    if name == "powers":
        return "", "", "the power goes everywhere"
    if name == "passes":
        return "", "", f"{n} ms pass"
    if name == "calm":
        return "", "", f"nothing fails any more{f', {world.names[n]} stays away' if n >= 0 else ''}"
    how = int(act[2]) if len(act) > 2 else 0
    told = {
        "slow": "its disk takes its time", "disk goes on": "its disk goes on", "full": "its disk is full",
        "stops": "stands still", "goes on": ("goes on", "goes on, to its alarm first")[how % 2],
        "kills": ("is killed", "is killed, its records are on disk")[how % 2], "start": "starts again",
        "blank": "starts with an empty disk", "old": "starts with an old disk",
        "sound": "abstains no more", "handed": "hands over",
        "cuts": ("is heard by nobody", "hears nobody", "is cut off")[how],
        "packed": "its log is replaced by its snapshot",
    }  # fmt: skip
    return world.names[n], "", told[name]
