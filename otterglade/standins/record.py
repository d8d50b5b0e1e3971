"""What passed on a stand-in's own sockets, as lines of JSON with the machine's monotonic time."""

from __future__ import annotations

import threading
import time
from collections import deque
from pathlib import Path
from typing import Any

import msgspec


class Record:
    """A file of events; a line is whole or, after a kill, the last and cut."""

    def __init__(self, path: Path | None) -> None:
        self._file = None if path is None else path.open("ab", buffering=0)
        self._lock = threading.Lock()

    def write(self, event: str, **fields: Any) -> None:
        """Note an event now."""
        if self._file is None:
            return
        with self._lock:
            self._file.write(msgspec.json.encode({"t": time.monotonic(), "ev": event, **fields}) + b"\n")


BEAT = 0.01
"""Seconds between two beats of a heart."""
FELT = 1.0
"""Seconds for which a late beat counts: what waited for the processor with it is noted after it."""


class Heart:
    """How late this process has been: a stand-in notes what reached it once it runs, not as it came.

    It sleeps for `BEAT` and sees by how much longer it slept. A judge who takes the machine's lateness for
    the gateway's finds rules broken on a busy machine that none broke.
    """

    def __init__(self, now: float) -> None:
        self._due = now + BEAT
        self._late: deque[tuple[float, float]] = deque()

    def beat(self, now: float) -> None:
        """It runs now."""
        if now > self._due:
            self._late.append((now, now - self._due))
        while self._late and self._late[0][0] < now - FELT:
            self._late.popleft()
        self._due = now + BEAT

    def late(self, now: float) -> float:
        """Seconds by which what is noted now may have come sooner."""
        past = max((late for at, late in list(self._late) if at >= now - FELT), default=0.0)
        return max(past, now - self._due, 0.0)

    def run(self) -> None:
        """Beats for ever, on a thread of its own."""
        while True:
            time.sleep(BEAT)
            self.beat(time.monotonic())


def read(path: Path) -> list[dict[str, Any]]:
    """The events of a record; a last line that a kill cut short is left out. Raises ValueError for others."""
    lines = path.read_bytes().split(b"\n")
    events = []
    for number, line in enumerate(lines[:-1], 1):
        try:
            events.append(msgspec.json.decode(line))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}:{number}: {error}") from error
    return events
