"""Buffer of log lines that decision code without I/O wants written."""

from __future__ import annotations

from dataclasses import dataclass

MAX_PENDING_LINES = 64
"""Lines that wait to be written; beyond, the oldest are dropped."""


@dataclass(frozen=True, slots=True)
class LogLine:
    """A structured log line: level, event name and fields."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


class LogBuffer:
    """Log lines that wait to be written."""

    def __init__(self) -> None:
        self._lines: list[LogLine] = []

    def add(self, level: str, event: str, **fields: object) -> None:
        """Appends a line, dropping the oldest one if the buffer is full."""
        self._lines = [*self._lines, LogLine(level, event, tuple(fields.items()))][-MAX_PENDING_LINES:]

    def drain_lines(self) -> list[LogLine]:
        """Returns and clears the lines added since the last call."""
        lines, self._lines = self._lines, []
        return lines
