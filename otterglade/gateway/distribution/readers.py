"""Reads that a control machine holds until its head changes, and which connection each reader is on."""

from __future__ import annotations

import heapq
import itertools
import math
from dataclasses import dataclass

from ...core.distribution.messages import MessageError
from ...core.distribution.relay import HoldRead, Relay
from .events import ReadAsked, ReaderGone


@dataclass(frozen=True, slots=True)
class _Held:
    asked: ReadAsked
    came_at: float


class Readers:
    """Belongs to the decision thread. `tick` when `due`, `wake` when the relay's head has changed."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._held: dict[int, _Held] = {}
        self._limits: list[tuple[float, int]] = []
        """When each held read is answered at the latest; also of reads that are answered already."""
        self._numbers = itertools.count()
        self._connections: dict[tuple[str, str], int] = {}
        """By name and run: the connection that the reader's latest read came on."""
        self.refused = 0

    @property
    def connected(self) -> int:
        """Readers that have a connection."""
        return len(self._connections)

    @property
    def waiting(self) -> int:
        """Reads that are held."""
        return len(self._held)

    def read(self, now: float, asked: ReadAsked) -> None:
        """Answer a read, or hold it."""
        self._connections[asked.request.name, asked.request.run] = asked.connection
        self._answer(now, _Held(asked, now))

    def gone(self, gone: ReaderGone) -> None:
        """A connection has ended; it says nothing about a reader that has come back on another one."""
        if self._connections.get((gone.name, gone.run)) == gone.connection:
            del self._connections[gone.name, gone.run]
            self._relay.subscriber_disconnected(gone.name, gone.run)

    def wake(self, now: float) -> None:
        """The head has changed: ask the relay again for every read that is held."""
        held, self._held, self._limits = self._held, {}, []
        for one in held.values():
            self._answer(now, one)

    def due(self) -> float:
        """When `tick` has something to do."""
        return self._limits[0][0] if self._limits else math.inf

    def tick(self, now: float) -> None:
        """Answer reads whose wait is over."""
        while self._limits and self._limits[0][0] <= now:
            held = self._held.pop(heapq.heappop(self._limits)[1], None)
            if held is not None:
                self._answer(now, held)

    def end(self) -> None:
        """Tell all that wait that there is no answer here any more."""
        for held in self._held.values():
            held.asked.slot.refuse("stopping")
        self._held, self._limits = {}, []

    def _answer(self, now: float, held: _Held) -> None:
        if held.asked.slot.abandoned:
            return
        try:
            answer = self._relay.read(now, held.asked.request, held.came_at)
        except MessageError as error:  # within the envelope's bounds, and not within the relay's
            self.refused += 1
            held.asked.slot.refuse(str(error))
            return
        if isinstance(answer, HoldRead):
            number = next(self._numbers)
            self._held[number] = held
            heapq.heappush(self._limits, (answer.deadline, number))
        else:
            held.asked.slot.tell(answer)
