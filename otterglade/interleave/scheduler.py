"""A scheduler that owns every switch of a few real threads.

Each task is a thread of the system, and one of them has the baton. It gives it on only at a *point*: before
an operation on a lock, condition, event, queue, thread or clock, and before a read or write of shared state.
Which task goes on there is a choice of the guide's, so that a run is told by its choices alone and can be
played again. Points are numbered whether a choice is made there or not: a schedule means the same whatever is
found to be shared.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

Key = tuple[str, str]
"""A kind of state: a class and an attribute, or a kind of primitive."""
Ready = Callable[[], bool]
MOST_POINTS = 4000
"""Points of a run; one that meets it goes round without an end."""
STUCK = 20.0
"""Seconds of the wall after which a run counts as blocked on something that the scheduler does not own."""
_MASK = (1 << 61) - 1


class Abandoned(BaseException):
    """The run is over: unwinds a task that is still in it. No `except Exception` of the product sees it."""


class BrokenError(Exception):
    """A property does not hold in this schedule."""


class ScheduleError(Exception):
    """A schedule that does not fit the code: it chooses what can't be chosen there."""


@dataclass(frozen=True, slots=True)
class Fault:
    """What a schedule has shown."""

    kind: str
    """deadlock, lost wake-up, no end, stuck, failed, or broken."""
    what: str

    def __str__(self) -> str:
        return f"{self.kind}: {self.what}"


@dataclass(slots=True, eq=False)
class Place:
    """Something that tasks share, with what the order of accesses to it has been so far."""

    key: Key
    always: bool = False
    """A primitive: each operation on it is a choice. Else only where it was seen to be shared and written."""
    owner: object = None
    """Kept from being collected: another object at its address would be taken for it."""
    written: int = 0
    seen: int = 0
    writers: dict[int, int] = field(default_factory=dict)
    readers: dict[int, int] = field(default_factory=dict)
    """By task's number, its own time at its last access. Of a primitive: the time of all before it."""


class Task:
    """One thread under the scheduler."""

    def __init__(self, number: int, name: str, daemon: bool, parent: Task | None) -> None:
        self.number, self.name, self.daemon = number, name, daemon
        self.gate = threading.Lock()
        self.gate.acquire()
        self.ended = threading.Lock()
        self.ended.acquire()
        self.done = False
        self.ready: Ready | None = None
        self.deadline: float | None = None
        self.truth: Ready | None = None
        """What it waits to become true, where it says so."""
        self.timed = False
        self.what = "begins"
        self.forks = 0
        self.path: tuple[int, ...] = () if parent is None else (*parent.path, parent.forks)
        self.time: dict[int, int] = {number: 1} if parent is None else {**parent.time, number: 1}
        """A vector clock (Fidge 1988, Mattern 1989): how far each task's steps come before its next."""
        self.last = hash(self.path) & _MASK
        """Sums up all that it did, and all that this depended on."""


class Guide(Protocol):
    """Makes the choices of a run."""

    def planned(self, number: int) -> bool:
        """Whether the schedule says something about this point."""

    def decide(
        self, run: Run, number: int, options: Sequence[Task], default: Task, free: frozenset[Task]
    ) -> int:
        """The number of the task that goes on. `free`: those whose choice is no early time-out. Raises
        Abandoned where nothing new can come of this run, ScheduleError."""

    def draw(self, run: Run, number: int, count: int) -> int:
        """What the surroundings do here, from 0, which is nothing unusual, to count - 1."""


class Carriers:
    """Threads of the system that carry tasks, kept from run to run."""

    def __init__(self) -> None:
        self._idle: list[_Carrier] = []
        self._lock = threading.Lock()

    def carry(self, work: Callable[[], None], ended: threading.Lock) -> None:
        with self._lock:
            carrier = self._idle.pop() if self._idle else None
        if carrier is None:
            carrier = _Carrier(self)
        carrier.give(work, ended)

    def back(self, carrier: _Carrier) -> None:
        with self._lock:
            self._idle.append(carrier)


class _Carrier:
    def __init__(self, pool: Carriers) -> None:
        self._pool, self._go = pool, threading.Lock()
        self._go.acquire()
        self._work: Callable[[], None] | None = None
        self._ended: threading.Lock | None = None
        threading.Thread(target=self._run, name="carrier", daemon=True).start()

    def give(self, work: Callable[[], None], ended: threading.Lock) -> None:
        self._work, self._ended = work, ended
        self._go.release()

    def _run(self) -> None:
        while True:
            self._go.acquire()
            work, ended = self._work, self._ended
            assert work is not None and ended is not None, "given before"
            work()
            self._work = self._ended = None
            self._pool.back(self)
            ended.release()


CARRIERS = Carriers()


class Run:
    """One schedule, from the first task's beginning until nothing can go on."""

    def __init__(self, guide: Guide, hot: frozenset[Key], ticks: int, told: bool = False) -> None:
        """`hot`: the state whose accesses are choices. `ticks`: how often time may pass with nothing else to
        do. `told`: keep what each task did, for people to read."""
        self.guide, self.hot, self._ticks = guide, hot, ticks
        self.tasks: list[Task] = []
        self.current: Task | None = None
        self.now = 0.0
        self.points = 0
        self.quiet = 0
        """While over 0 accesses are the checker's own: no points."""
        self.stopped = False
        self.fault: Fault | None = None
        self.error: Exception | None = None
        self.pruned = False
        self.left: list[str] = []
        """Names of the tasks that are there when nothing can go on."""
        self.shared: set[Key] = set()
        """State that is no choice and was found shared and written here."""
        self.clock = Place(("clock", "now"))
        self._told: list[tuple[Key | None, str]] | None = [] if told else None
        self._over = threading.Lock()
        self._over.acquire()

    # For the controlling thread

    def play(self, main: Callable[[], None]) -> None:
        """Run `main` as the first task, and all that come of it, until nothing can go on."""
        self.current = self.fork("main", main, daemon=False)
        self.current.gate.release()
        if not self._over.acquire(timeout=STUCK):
            name = self.current.name if self.current else "?"
            self.stop(Fault("stuck", f"{name} blocks on what the scheduler does not own"))
        self.stopped = True
        for task in list(self.tasks):
            if not task.done:
                task.gate.release()
            if not task.ended.acquire(timeout=STUCK):
                self.fault = self.fault or Fault("stuck", f"{task.name} does not end")
        self.current = None

    def stop(self, fault: Fault | None = None) -> None:
        """Nothing goes on after this; the first reason counts."""
        if not self.stopped:
            self.fault, self.stopped = self.fault or fault, True
            self._over.release()

    def signature(self) -> int:
        """The same for two runs so far that differ only in the order of what does not touch."""
        return sum(hash((x.path, x.last, x.done)) for x in self.tasks)

    # For tasks

    def fork(self, name: str, work: Callable[[], None], daemon: bool) -> Task:
        """A new task; it begins when it is chosen."""
        parent = self.current
        task = Task(len(self.tasks), name, daemon, parent)
        if parent is not None:
            parent.forks += 1
            parent.time[parent.number] += 1
            parent.last = hash((parent.last, 1)) & _MASK
            task.last = hash((task.last, parent.last)) & _MASK
        self.tasks.append(task)

        def carried() -> None:
            task.gate.acquire()
            try:
                if not self.stopped:
                    task.last = hash((task.last, 3)) & _MASK  # begun: another state than not yet
                    work()
            except Abandoned:
                pass
            except BrokenError as error:
                self.stop(Fault("broken", str(error)))
            except Exception as error:
                self.stop(Fault("failed", f"{task.name}: {type(error).__name__}: {error}"))
            self._finish(task)

        CARRIERS.carry(carried, task.ended)
        return task

    def act(
        self, place: Place, write: bool, ready: Ready | None = None, deadline: float | None = None,
        what: str = "", truth: Ready | None = None,
    ) -> bool:  # fmt: skip
        """A point, then the access. False: `deadline` came before `ready` was true."""
        task = self.current
        if self.quiet or task is None:
            return ready is None or ready()
        if self.stopped:
            raise Abandoned
        number = self.points
        self.points += 1
        if number >= MOST_POINTS:
            self.stop(Fault("no end", f"{task.name} after {number} points: {what or place.key}"))
            raise Abandoned
        timed = False
        if ready is not None or place.always or place.key in self.hot or self.guide.planned(number):
            task.ready, task.deadline, task.truth = ready, deadline, truth
            if deadline is not None:
                self.note(self.clock, False)
            task.what = what or f"{'writes' if write else 'reads'} {'.'.join(place.key)}"
            self._switch(task, number)
            timed, task.timed = task.timed, False
            task.ready = task.deadline = task.truth = None
            self._tell(None, number, f"{task.what}: time is up" if timed else task.what)
        elif self._told is not None:
            self._tell(place.key, number, f"{'writes' if write else 'reads'} {'.'.join(place.key)}")
        self.note(place, write, timed)
        return not timed

    def note(self, place: Place, write: bool, timed: bool = False) -> None:
        """Count an access, without a point before it."""
        task = self.current
        if self.quiet or task is None:
            return
        if write:
            task.last = place.written = hash((task.last, place.written, place.seen, timed)) & _MASK
            place.seen = 0
        else:
            task.last = hash((task.last, place.written, timed)) & _MASK
            place.seen = (place.seen + task.last) & _MASK
        if place.always:
            self._after(task, place, write)
        elif place.key not in self.hot:
            self._raced(task, place, write)

    @staticmethod
    def _after(task: Task, place: Place, write: bool) -> None:
        """An operation on a primitive comes after those before it that it touches."""
        time = task.time
        for kind in (place.writers, place.readers) if write else (place.writers,):
            for other, at in kind.items():
                if time.get(other, 0) < at:
                    time[other] = at
        if write:
            place.writers = dict(time)
        else:
            for other, at in time.items():
                if place.readers.get(other, 0) < at:
                    place.readers[other] = at
        time[task.number] += 1

    def _raced(self, task: Task, place: Place, write: bool) -> None:
        """Of two accesses, one of them a write, that no primitive orders either may come first."""
        number, time = task.number, task.time
        for kind in (place.writers, place.readers) if write else (place.writers,):
            for other, at in kind.items():
                if other != number and time.get(other, 0) < at:
                    self.shared.add(place.key)
        (place.writers if write else place.readers)[number] = time[number]

    def draw(self, count: int) -> int:
        """Have the surroundings do one of `count` things; 0 is nothing unusual."""
        task = self.current
        if self.quiet or task is None:
            return 0
        if self.stopped:
            raise Abandoned
        number = self.points
        self.points += 1
        drawn = self.guide.draw(self, number, count)
        task.last = hash((task.last, drawn, 7)) & _MASK
        if drawn:
            self._tell(None, number, f"fault {drawn}")
        return drawn

    def _tell(self, key: Key | None, number: int, what: str) -> None:
        if self._told is not None and self.current is not None:
            self._told.append((key, f"{number:4} {self.now:7.3f} s  {self.current.name}: {what}"))

    @property
    def told(self) -> list[str]:
        """What each task did: its operations on primitives, and on what was found to be shared."""
        return [x for key, x in self._told or () if key is None or key in self.shared]

    # Choosing

    def _switch(self, task: Task, number: int) -> None:
        chosen = self._choose(number)
        if chosen is None:
            raise Abandoned
        if chosen is task:
            return
        self.current = chosen
        chosen.gate.release()
        task.gate.acquire()
        if self.stopped:
            raise Abandoned

    def _finish(self, task: Task) -> None:
        task.done = True
        if self.stopped:
            return
        number = self.points
        self.points += 1
        try:
            chosen = self._choose(number)
        except Abandoned:
            chosen = None
        if chosen is not None:
            self.current = chosen
            chosen.gate.release()

    def _choose(self, number: int) -> Task | None:
        live = [x for x in self.tasks if not x.done]
        able = [x for x in live if x.ready is None or x.ready()]
        late = [x for x in live if x not in able and x.deadline is not None]
        due = [x for x in late if x.deadline is not None and x.deadline <= self.now]
        free = able + due
        waiting = sorted((x for x in late if x not in due), key=lambda x: (x.deadline or 0.0, x.number))
        if not free:
            if not waiting or not self._ticks:
                self._nothing(live, waiting)
                return None
            self._ticks -= 1
            free = waiting[:1]
            self._asleep(free[0])
        default = self.current if self.current in able else min(free, key=lambda x: x.number)
        assert default is not None, "there is one"
        options = sorted({*free, *waiting}, key=lambda x: x.number)
        chosen = default
        if len(options) > 1:
            try:
                found = self.guide.decide(self, number, options, default, frozenset(free))
            except Abandoned:
                self.pruned = True
                self.stop()
                raise
            except ScheduleError as error:
                self.error = error
                self.stop()
                raise Abandoned from error
            chosen = self.tasks[found]
        if chosen not in able:
            self._time_is_up(chosen)
        return chosen

    def _time_is_up(self, chosen: Task) -> None:
        chosen.timed = True
        if chosen.deadline is not None and chosen.deadline > self.now:
            self.now = chosen.deadline
            before, self.current = self.current, chosen
            self.note(self.clock, True)
            self.current = before

    def _asleep(self, task: Task) -> None:
        """Nothing else can go on: what it waits for must not have come about already."""
        if task.truth is not None and self._true(task.truth):
            self.stop(Fault("lost wake-up", f"{task.name} {task.what}, which is true"))
            raise Abandoned

    def _true(self, truth: Ready) -> bool:
        self.quiet += 1
        try:
            return truth()
        finally:
            self.quiet -= 1

    def _nothing(self, live: Sequence[Task], waiting: Sequence[Task]) -> None:
        self.left = [x.name for x in live]
        owed = [x for x in live if not x.daemon]
        if not owed:
            self.stop()
            return
        told = "; ".join(f"{x.name} {x.what}" for x in live)
        if waiting:
            self.stop(Fault("no end", told))
        elif any(x.truth is not None and self._true(x.truth) for x in owed):
            self.stop(Fault("lost wake-up", told))
        else:
            self.stop(Fault("deadlock", told))
