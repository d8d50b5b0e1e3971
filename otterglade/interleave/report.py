"""All subjects one after another, and what is said of them."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from itertools import repeat

from . import schedule
from .scene import Subject
from .scheduler import Fault, ScheduleError
from .search import Found
from .subjects import BY_NAME, SUBJECTS

__all__ = ["BY_NAME", "SUBJECTS", "ScheduleError", "chosen", "explored", "replayed", "verdict"]
PROCESSES = 2
"""At once: a test machine has one core or two."""


@dataclass(frozen=True, slots=True)
class Result:
    """What came of a subject."""

    subject: Subject
    found: Found

    @property
    def name(self) -> str:
        """Of the schedule that breaks something, as `replayed` takes it."""
        return f"{self.subject.name}:{schedule.named(self.found.plan)}"

    def lines(self) -> Iterator[str]:
        found = self.found
        ended = found.bound and f"met its bound: {found.bound}" if found.ended else "complete"
        within = f", within {found.bound}" if found.bound and not found.ended else ""
        if found.fault is not None:
            yield from found.told
            ended, within = f"{found.fault}; replay with --replay {self.name}", ""
        yield (
            f"{self.subject.name:18} {found.schedules:7} schedules {found.states:7} states"
            f" {found.seconds:6.2f} s: {ended}{within}"
        )


def chosen(name: str) -> Subject:
    """A subject by name. Raises ScheduleError."""
    if name not in BY_NAME:
        raise ScheduleError(f"subject: found {name!r}; allowed: {', '.join(BY_NAME)}")
    return BY_NAME[name]


def _explored(name: str, preemptions: int | None) -> Found:
    subject = BY_NAME[name]
    bounds = subject.bounds if preemptions is None else replace(subject.bounds, preemptions=preemptions)
    return subject.explore(bounds)


def explored(
    subjects: Sequence[Subject] = SUBJECTS, preemptions: int | None = None,
    say: Callable[[Result], None] = lambda result: None, workers: int = PROCESSES,
) -> list[Result]:  # fmt: skip
    """Play each subject within its own bounds, or with another bound of preemptions; `workers` at once, each
    in a process of its own. What is found does not depend on how many."""
    results = []
    with ProcessPoolExecutor(workers, multiprocessing.get_context("spawn")) as pool:
        found = pool.map(_explored, [x.name for x in subjects], repeat(preemptions))
        for subject, one in zip(subjects, found, strict=True):
            results.append(Result(subject, one))
            say(results[-1])
    return results


def verdict(results: Sequence[Result]) -> str:
    """The last line: broken, complete, complete within a bound, or the bound that ended it."""
    broken = [x for x in results if x.found.fault is not None]
    if broken:
        return f"broken: {', '.join(x.name for x in broken)}"
    ended = [f"{x.subject.name} {x.found.bound}" for x in results if x.found.ended]
    if ended:
        return f"not complete, met its bound: {', '.join(ended)}"
    met: dict[str, set[int]] = {}
    for result in results:
        for part in filter(None, result.found.bound.split(", ")):
            name, _, number = part.partition("=")
            met.setdefault(name, set()).add(int(number))
    within = ", ".join(f"{x}={'/'.join(map(str, sorted(y)))}" for x, y in sorted(met.items()))
    return f"complete within {within}" if within else "complete"


def replayed(name: str) -> tuple[Fault | None, list[str]]:
    """Play SUBJECT:SCHEDULE. Raises ScheduleError."""
    subject, _, plan = name.partition(":")
    return chosen(subject).replay(schedule.read(plan))
