"""Event streams (`text/event-stream`, WHATWG HTML, "Server-sent events") read and written without I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST = 65536  # bytes of one line, or of one event's data: a peer that sends more is cut off

LINE_END = re.compile(rb"[\r\n]")


class StreamError(Exception):
    """A line or event over the bound."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event; `kind` is "message" where the stream names none."""

    kind: str
    data: str
    last_id: str


class StreamReader:
    """Fed bytes as they come; gives whole events; comments give nothing."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._searched = 0
        self._skip_lf = False
        self._first = True
        self._data: list[str] = []
        self._size = 0
        self._kind = ""
        self.last_id = ""
        """What a reconnect sends as Last-Event-ID."""
        self.retry: float | None = None
        """Seconds to wait before a reconnect, as the stream asks."""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes; returns the events that they complete. Raises StreamError over the bound."""
        self._buffer += data
        events = []
        while (line := self._line()) is not None:
            event = self._take(line)
            if event is not None:
                events.append(event)
        return events

    def _line(self) -> str | None:
        buffer = self._buffer
        if self._skip_lf and buffer:
            if buffer[0] == 10:
                del buffer[0]
            self._skip_lf = False
        end = LINE_END.search(buffer, self._searched)
        if end is None:
            if len(buffer) > MOST:
                raise StreamError("line over the bound")
            self._searched = len(buffer)
            return None
        at = end.start()
        self._skip_lf = buffer[at] == 13  # the LF of a CRLF may come in the next piece
        line = bytes(buffer[:at])
        del buffer[: at + 1]
        self._searched = 0
        if self._first:
            self._first = False
            line = line.removeprefix(b"\xef\xbb\xbf")
        return line.decode("utf-8", "replace")

    def _take(self, line: str) -> StreamEvent | None:
        if not line:
            data, kind = self._data, self._kind
            self._data, self._kind, self._size = [], "", 0
            return StreamEvent(kind or "message", "\n".join(data), self.last_id) if data else None
        name, colon, value = line.partition(":")
        if not name and colon:
            return None
        value = value.removeprefix(" ")
        if name == "data":
            self._size += len(value) + 1
            if self._size > MOST:
                raise StreamError("event over the bound")
            self._data.append(value)
        elif name == "event":
            self._kind = value
        elif name == "id" and "\0" not in value:
            self.last_id = value
        elif name == "retry" and value.isascii() and value.isdigit():
            self.retry = int(value[:9]) / 1000.0
        return None


def event(kind: str, data: str, number: int | None = None) -> bytes:
    """One event as bytes; line ends within the data become lines of data."""
    lines = [f"event: {kind}"] + [f"data: {line}" for line in data.splitlines() or [""]]
    if number is not None:
        lines.append(f"id: {number}")
    return ("\n".join(lines) + "\n\n").encode()


KEEP_ALIVE = b": alive\n\n"
