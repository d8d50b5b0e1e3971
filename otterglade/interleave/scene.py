"""What a subject is: which modules are run, what its threads do, and what must hold in each schedule."""

from __future__ import annotations

import types
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from .controlled import Stage, time_of
from .schedule import Plan
from .scheduler import Abandoned, BrokenError, Fault, Place, Run
from .search import Bounds, Found, explore, replay
from .shipped import Shipped

Check = Callable[[], None]
Edits = Mapping[str, Sequence[tuple[str, str]]]


class Scene:
    """For one run: what the subject's threads are started with, and what they tell the checker."""

    def __init__(self, shipped: Shipped, memory: dict[Any, Any]) -> None:
        """`memory`: kept from run to run, for what costs time to work out again."""
        self.shipped, self.stage, self.memory = shipped, shipped.stage, memory
        self.moment = 0
        self.failures: list[str] = []
        self.expected: tuple[type[Exception], ...] = ()
        """Failures of threads that this subject brings about on purpose."""
        self._steps = Place(("scene", "step"), always=True)

    def go(self, name: str, work: Callable[[], None]) -> None:
        """Start a thread that must come to its end."""
        self.stage.playing().fork(name, work, daemon=False)

    def step(self, what: str = "works") -> None:
        """A job's own time: others may go on here. What the checker counts stands right after one, or after
        `mark`: an order that it sees must be one that the search tells apart."""
        self.stage.playing().act(self._steps, True, what=what)

    def mark(self) -> None:
        """The order of this among all steps and marks is seen by the checker."""
        self.stage.playing().note(self._steps, True)

    def sleep(self, seconds: float) -> None:
        time_of(self.stage).sleep(seconds)

    def tick(self) -> int:
        """The next moment of the history."""
        self.mark()
        self.moment += 1
        return self.moment

    def failed(self, thread: str, error: BaseException) -> None:
        """What the product calls when a thread fails."""
        if isinstance(error, Abandoned):
            return
        self.failures.append(f"{thread}: {error!r}")
        if isinstance(error, BrokenError):
            self.stage.playing().stop(Fault("broken", str(error)))
        elif not isinstance(error, self.expected):
            self.stage.playing().stop(Fault("failed", f"{thread}: {type(error).__name__}: {error}"))

    def quiet(self, look: Callable[[], object]) -> object:
        """Have the checker look, without points."""
        run = self.stage.playing()
        run.quiet += 1
        try:
            return look()
        finally:
            run.quiet -= 1


def need(holds: bool, what: str) -> None:
    """Raises BrokenError."""
    if not holds:
        raise BrokenError(what)


@dataclass(frozen=True, slots=True)
class Subject:
    """A few threads of shipped code, and what must hold."""

    name: str
    what: str
    modules: tuple[str, ...]
    watched: tuple[tuple[str, str], ...]
    play: Callable[[Scene], Check]
    """Runs as the first thread: starts the others; what it returns is checked at the end."""
    bounds: Bounds = field(default_factory=Bounds)
    others: Callable[[Stage], Mapping[str, types.ModuleType]] | None = None
    """Further modules of the interpreter to stand in for."""

    def staged(self, edits: Edits | None = None) -> Callable[[Run], Fault | None]:
        """Load the modules, with faults planted where `edits` says so, for any number of runs."""
        stage = Stage()
        others = self.others(stage) if self.others is not None else None
        shipped = Shipped(stage, self.modules, self.watched, edits, others)
        memory: dict[Any, Any] = {}

        def play(run: Run) -> Fault | None:
            stage.begin(run)
            scene, checks = Scene(shipped, memory), list[Check]()

            def main() -> None:
                checks.append(self.play(scene))

            try:
                run.play(main)
                if run.fault is None and not run.pruned and run.error is None:
                    for check in checks:
                        check()
            except BrokenError as error:
                return Fault("broken", str(error))
            return run.fault

        return play

    def explore(self, bounds: Bounds | None = None, edits: Edits | None = None) -> Found:
        """All schedules within the bounds."""
        return explore(self.staged(edits), bounds or self.bounds)

    def replay(self, plan: Plan, edits: Edits | None = None) -> tuple[Fault | None, list[str]]:
        """One schedule. Raises ScheduleError."""
        return replay(self.staged(edits), self.bounds, plan)
