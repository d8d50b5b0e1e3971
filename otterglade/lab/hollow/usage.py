"""What processes use of the machine: processor time and memory, read from the system."""

from __future__ import annotations

import contextlib
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from pathlib import Path

from ...net.threads import Failure, spawn
from ..fleet import cost

SAMPLE_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Subject:
    """A process that is watched."""

    name: str
    pid: int


@dataclass(frozen=True, slots=True)
class Sample:
    """Processor seconds that a process has used until a time."""

    at: float
    used: float


def proportional_memory(pid: int) -> float:
    """A process's memory in MB, shared pages divided among those who share them. Raises OSError."""
    for line in Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines():
        if line.startswith("Pss:"):
            return int(line.split()[1]) / 1000.0
    return 0.0


class UsageWatch:
    """Samples all processes regularly, from a thread of its own."""

    def __init__(
        self, subjects: Callable[[], list[Subject]], clock: Callable[[], float], on_failure: Failure
    ) -> None:
        self._subjects, self._clock, self._on_failure = subjects, clock, on_failure
        self._samples: dict[Subject, list[Sample]] = {}
        self._ended = threading.Event()
        self.most_memory = 0.0
        """Of all processes together, in MB; the most that was seen."""

    def start(self) -> None:
        """Begin to sample."""
        spawn("usage", self._run, self._on_failure)

    def stop(self) -> None:
        """Take a last sample and end."""
        self._ended.set()
        self._sample()

    def _run(self) -> None:
        while True:
            self._sample()
            if self._ended.wait(SAMPLE_SECONDS):
                return

    def _sample(self) -> None:
        memory = 0.0
        for subject in self._subjects():
            with contextlib.suppress(OSError, IndexError):  # it has ended
                _, used = cost(subject.pid)
                memory += proportional_memory(subject.pid)
                self._samples.setdefault(subject, []).append(Sample(self._clock(), used))
        self.most_memory = max(self.most_memory, memory)

    def shares(self) -> Mapping[str, float]:
        """Each process's mean share of a core over the time that it was watched; the most of its lives."""
        shares: dict[str, float] = {}
        for subject, samples in self._samples.items():
            first, last = samples[0], samples[-1]
            if last.at - first.at >= SAMPLE_SECONDS / 2:
                share = (last.used - first.used) / (last.at - first.at)
                shares[subject.name] = max(share, shares.get(subject.name, 0.0))
        return shares
