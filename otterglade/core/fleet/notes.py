"""Lines for the log that a decision without I/O wants written."""

from __future__ import annotations

from dataclasses import dataclass

MOST_NOTES = 64
"""Lines for the log that wait to be taken; the oldest go first."""


@dataclass(frozen=True, slots=True)
class Line:
    """For the log."""

    level: str
    event: str
    fields: tuple[tuple[str, object], ...] = ()


class Notes:
    """The lines that wait to be taken."""

    def __init__(self) -> None:
        self._lines: list[Line] = []

    def add(self, level: str, event: str, **fields: object) -> None:
        """Have a line written."""
        self._lines = [*self._lines, Line(level, event, tuple(fields.items()))][-MOST_NOTES:]

    def drained(self) -> list[Line]:
        """The lines since this was last asked."""
        found, self._lines = self._lines, []
        return found
