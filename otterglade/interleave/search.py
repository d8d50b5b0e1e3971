"""Plays all schedules of a subject: fewest preemptions first, so that what is found is short.

A choice costs a *preemption* where the task that has the baton could have gone on (CHESS, Musuvathi and
Qadeer 2007), and an *early time-out* where a wait ends though others could have gone on, or would have ended
first. Both have bounds; what costs nothing is always played. Reduction: two schedules that differ only in
the order of steps that do not touch lead to one state, and a state that was met with no more preemptions is
not gone on from again (happens-before caching, Musuvathi and Qadeer 2007). The state is told by what each
task has done and what that depended on, so nothing of the product is looked into or copied.
"""

from __future__ import annotations

import time
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from .schedule import Choice, Plan
from .scheduler import Abandoned, Fault, Key, Run, ScheduleError, Task

Play = Callable[[Run], Fault | None]
"""Plays a run of a subject to its end, and says what was broken."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """How far a search goes."""

    preemptions: int | None = 2
    """Of a schedule; None: any number. Most faults of threads need no more than two (CHESS)."""
    early: int = 1
    """Time-outs of a schedule that come while others could go on: each is a slow thread."""
    faults: int = 1
    """What the surroundings do wrong in a schedule."""
    ticks: int = 8
    """Times that nothing but time can go on."""
    reduced: bool = True
    """Whether a state that is known is not gone on from; without, for comparison."""
    schedules: int = 2_000_000
    """Of a subject: what keeps a search from going on for ever; a bound that is met is told."""


@dataclass(slots=True)
class Found:
    """What a search came to."""

    schedules: int = 0
    """Played in the last pass, those that led to a known state included."""
    states: int = 0
    passes: int = 1
    """One for each time that state was found to be shared that had been thought a task's own."""
    seconds: float = 0.0
    fault: Fault | None = None
    plan: Plan = field(default_factory=dict)
    told: Sequence[str] = ()
    bound: str = ""
    """Which bound cut choices off, or ended the search; empty: every schedule was played."""
    ended: bool = False
    """By the number of schedules: then within the other bounds not all were played."""
    hot: frozenset[Key] = frozenset()


@dataclass(frozen=True, slots=True)
class _Open:
    """A schedule to be played: what leads there, and what it has cost."""

    plan: tuple[tuple[int, Choice], ...]
    preemptions: int
    early: int
    faults: int


class _Explorer:
    """Follows a plan, then takes plain choices and notes the others."""

    def __init__(self, bounds: Bounds, seen: set[int], cut: Counter[str]) -> None:
        self._bounds, self._seen, self._cut = bounds, seen, cut
        self.opened: list[_Open] = []
        self._from = _Open((), 0, 0, 0)
        self._plan: dict[int, Choice] = {}
        self._last = -1

    def begin(self, start: _Open) -> None:
        self._from, self._plan = start, dict(start.plan)
        self._last = start.plan[-1][0] if start.plan else -1
        self.opened = []

    def planned(self, number: int) -> bool:
        return number in self._plan

    def decide(
        self, run: Run, number: int, options: Sequence[Task], default: Task, free: frozenset[Task]
    ) -> int:
        if number <= self._last:
            return _planned(self._plan, number, options, default)
        start, bounds = self._from, self._bounds
        going = run.current if run.current in free and run.current is default else None
        state = hash((run.signature(), bounds.preemptions is not None and going and going.path, start.early))
        if state in self._seen and bounds.reduced:
            raise Abandoned
        self._seen.add(state)
        for task in options:
            if task is default:
                continue
            preemptions, early = start.preemptions + (going is not None), start.early + (task not in free)
            if bounds.preemptions is not None and preemptions > bounds.preemptions:
                self._cut["preemptions"] += 1
            elif early > bounds.early:
                self._cut["early"] += 1
            else:
                plan = (*start.plan, (number, (task.number, False)))
                self.opened.append(_Open(plan, preemptions, early, start.faults))
        return default.number

    def draw(self, run: Run, number: int, count: int) -> int:
        if number <= self._last:
            return self._plan.get(number, (0, True))[0]
        start = self._from
        if start.faults >= self._bounds.faults:
            self._cut["faults"] += 1
        else:
            for drawn in range(1, count):
                plan = (*start.plan, (number, (drawn, True)))
                self.opened.append(_Open(plan, start.preemptions, start.early, start.faults + 1))
        return 0


class _Follower:
    """Plays one schedule."""

    def __init__(self, plan: Plan) -> None:
        self._plan, self.used = plan, set[int]()

    def planned(self, number: int) -> bool:
        return number in self._plan

    def decide(
        self, run: Run, number: int, options: Sequence[Task], default: Task, free: frozenset[Task]
    ) -> int:
        self.used.add(number)
        return _planned(self._plan, number, options, default)

    def draw(self, run: Run, number: int, count: int) -> int:
        self.used.add(number)
        return self._plan.get(number, (0, True))[0]


def _planned(plan: Plan, number: int, options: Sequence[Task], default: Task) -> int:
    if number not in plan:
        return default.number
    wanted, drawn = plan[number]
    if drawn or all(x.number != wanted for x in options):
        able = ", ".join(f"{x.number} {x.name}" for x in options)
        raise ScheduleError(
            f"schedule: found {number}.{'f' if drawn else ''}{wanted}; there can go on: {able}"
        )
    return wanted


def explore(play: Play, bounds: Bounds) -> Found:
    """Every schedule within the bounds, or up to the first that breaks something, shrunk."""
    began = time.perf_counter()
    hot: frozenset[Key] = frozenset()
    found, passes, more = Found(), 0, True
    while more:
        passes += 1
        found, shared = _pass(play, bounds, hot)
        # All were played, but not every access to this was a choice: once more, with that.
        more = bool(shared) and found.fault is None and not found.ended
        hot |= shared
    found.passes, found.hot = passes, hot
    if found.fault is not None:
        found.plan = shrunk(play, bounds, found.plan, found.fault)
        found.fault, found.told = replay(play, bounds, found.plan)
    found.seconds = time.perf_counter() - began
    return found


def _pass(play: Play, bounds: Bounds, hot: frozenset[Key]) -> tuple[Found, frozenset[Key]]:
    found, seen, cut = Found(), set[int](), Counter[str]()
    explorer = _Explorer(bounds, seen, cut)
    # By what they cost: a state is first met with the fewest preemptions that lead there.
    waiting: list[deque[_Open]] = [deque([_Open((), 0, 0, 0)])]
    shared: set[Key] = set()
    while any(waiting):
        bucket = next(x for x in waiting if x)
        start = bucket.pop()
        if found.schedules >= bounds.schedules:
            found.ended, found.bound = True, f"{bounds.schedules} schedules"
            break
        explorer.begin(start)
        run = Run(explorer, hot, bounds.ticks)
        fault = play(run)
        found.schedules += 1
        shared |= run.shared
        if run.error is not None:
            raise run.error
        if fault is not None:
            found.fault, found.plan = fault, dict(start.plan)
            break
        if shared:
            break
        for one in explorer.opened:
            cost = one.preemptions if bounds.preemptions is not None else 0
            while len(waiting) <= cost:
                waiting.append(deque())
            waiting[cost].append(one)
    found.states = len(seen)
    limits = {
        "preemptions": f"preemptions={bounds.preemptions}", "early": f"early time-outs={bounds.early}",
        "faults": f"faults={bounds.faults}",
    }  # fmt: skip
    found.bound = found.bound or ", ".join(limits[x] for x in sorted(cut, reverse=True))
    return found, frozenset(shared)


def replay(play: Play, bounds: Bounds, plan: Plan) -> tuple[Fault | None, list[str]]:
    """Play one schedule: what it breaks, and what each task did. Raises ScheduleError."""
    follower = _Follower(plan)
    run = Run(follower, frozenset(), bounds.ticks, told=True)
    fault = play(run)
    if run.error is not None:
        raise run.error
    unused = sorted(x for x in plan if x not in follower.used)
    if unused and fault is None:
        raise ScheduleError(f"schedule: found a choice at {unused[0]}; the run has {run.points} points")
    return fault, run.told


def shrunk(play: Play, bounds: Bounds, plan: Plan, fault: Fault) -> Plan:
    """The same kind of fault with choices left out, as long as any can be."""
    best, tried = dict(plan), True
    while tried:
        tried = False
        for at in sorted(best, reverse=True):
            fewer = {x: y for x, y in best.items() if x != at}
            try:
                again, _ = replay(play, bounds, fewer)
            except ScheduleError:
                continue
            if again is not None and again.kind == fault.kind:
                best, tried = fewer, True
                break
    return best
