"""Simulated time: what happens when, one thing after another; at one instant in the order in which it was
said."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable


class Agenda:
    """Time stands still while something happens, and passes at once to the next."""

    def __init__(self) -> None:
        self.now = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._said = itertools.count()

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Have it happen then; what is past, next."""
        heapq.heappush(self._queue, (when, next(self._said), act))

    def run(self, until: float) -> None:
        """Let everything happen that is due by then, what comes of it included."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = until
