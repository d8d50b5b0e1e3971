"""The same day on many seeds, some at a time: each judged, the records of those that broke a rule kept."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path

from ..referee.judge import Verdict
from .costs import Costs
from .day import play
from .scenarios import Day
from .stage import PROGRAM


@dataclass(frozen=True, slots=True)
class Played:
    """A day that was played."""

    seed: int
    day: Day
    verdict: Verdict
    records: Path | None
    """Where its records are; None: it kept every rule, and they are gone."""


def play_kept(day: Day, seed: int, keep: Path | None = None, program: tuple[str, ...] = PROGRAM) -> Played:
    """Play a day; its records stay where it broke a rule, or where `keep` names a folder for them.

    Raises StageError where a process does not come up; the folder stays then too, and the error names it.
    """
    folder = keep or Path(tempfile.mkdtemp(prefix=f"otterglade-{day.name}-{seed}-"))
    costs = Costs()
    verdict = play(day, folder, seed, costs.watch if day.layout.voters else None, program)
    verdict.figures |= costs.figures()
    if keep is None and not verdict.findings:
        shutil.rmtree(folder)
        return Played(seed, day, verdict, None)
    return Played(seed, day, verdict, folder)


def play_many(
    make: Callable[[int], Day], seeds: Iterable[int], at_once: int, told: Callable[[Played], None]
) -> list[Played]:
    """Play a day for each seed, `at_once` at a time; `told` hears of each as it ends, in no fixed order."""
    with ThreadPoolExecutor(at_once, thread_name_prefix="day") as pool:
        pending = [pool.submit(play_kept, make(seed), seed) for seed in seeds]
        played = []
        for future in as_completed(pending):
            played.append(future.result())
            told(played[-1])
    return sorted(played, key=lambda x: x.seed)
