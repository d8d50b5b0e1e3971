"""RTSP 1.0 messages (RFC 2326) read and written without I/O, as the platform speaks them.

A `Reader` is fed bytes cut anywhere and gives whole messages. Work is linear in the bytes: the buffer
remembers how far it was searched. Every message carries `Content-Length`, and none is longer than
`MESSAGE_MOST`. What two programs could read differently (two lengths, folded fields, a bare CR, a sign
before a number) is refused, never repaired; after an error nothing more is read, as nobody knows where the
next message would begin.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MESSAGE_MOST = 16384
"""Bytes of a whole message, by the platform's protocol: bounds what one peer can make a reader hold."""
FIELDS_MOST = 64
"""Fields of a message."""
LOOKED_THROUGH = 1024
"""Messages looked through for a TEARDOWN that is not read yet: bounds the work for a peer that names its
sessions in the last of thousands."""

REQUEST_LINE = re.compile(rb"([A-Z][A-Z_]{1,31}) ([\x21-\x7e]{1,2048}) RTSP/1\.0\Z")
STATUS_LINE = re.compile(rb"RTSP/1\.0 ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?\Z")
FIELD_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\Z")
LENGTH = re.compile(rb"[0-9]{1,9}\Z")
LENGTH_FIELD = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.IGNORECASE)
SESSION = re.compile(rb"[0-9a-f]{16}\Z")
DESCRIPTION = re.compile(rb"(?:(?:[0-9a-f]{16}|[a-z]=[\x20-\x7e]*)\r\n)+\Z")
REASON = re.compile(rb"cause=([0-9]{1,3})\Z")
START = re.compile(rb"[A-Z_]{1,31}(?: |\Z)|RTSP/1\.0 |R(?:T(?:S(?:P(?:/(?:1(?:\.(?:0)?)?)?)?)?)?)?\Z")

PHRASES = {
    200: b"OK", 400: b"Bad Request", 413: b"Request Entity Too Large", 453: b"Not Enough Bandwidth",
    454: b"Session Not Found", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class RtspError(ValueError):
    """A message that can't be read; the text names the cause, and holds no bytes of the peer's: reasons are
    few, so that whoever notes each once holds a bounded number."""


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request (`status` 0) or response (`method` empty); field names are lower case."""

    method: bytes
    target: bytes
    status: int
    fields: dict[bytes, bytes]
    body: bytes

    @property
    def session(self) -> bytes:
        """The 16 hex digits that name its session; empty where it names none that can be read."""
        value = self.fields.get(b"session", b"")
        return value if SESSION.match(value) else b""

    @property
    def cause(self) -> int | None:
        """The number in `Reason: cause=N`; None: it has none that can be read."""
        found = REASON.match(self.fields.get(b"reason", b""))
        return int(found[1]) if found else None


def is_description(body: bytes) -> bool:
    """Whether a body is a whole description: lines `x=...`, or 16 hex digits, each with its end.

    The danger is an answer whose length does not fit: a body cut short, or one that has swallowed what came
    after it, would be passed on as a session that stands.
    """
    return DESCRIPTION.match(body) is not None


class Reader:
    """Messages out of bytes. `feed`, then `next` until it gives None; an RtspError ends it."""

    __slots__ = ("_body", "_buffer", "_head", "_length", "_searched", "_start")

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._start = 0
        self._searched = 0
        self._head: Message | None = None
        self._body = 0
        self._length = 0

    def feed(self, data: bytes) -> None:
        if self._start:
            del self._buffer[: self._start]
            self._searched -= self._start
            self._body -= self._start
            self._start = 0
        self._buffer += data

    @property
    def held(self) -> int:
        """Bytes of messages that are not yet read or not yet whole."""
        return len(self._buffer) - self._start

    def next(self) -> Message | None:
        """The next whole message, or None. Raises RtspError."""
        if self._head is None and not self._read_head():
            return None
        head = self._head
        if head is None or len(self._buffer) < self._body + self._length:
            return None
        end = self._body + self._length
        body = bytes(self._buffer[self._body : end]) if self._length else b""
        self._start = self._searched = end
        self._head = None
        return Message(head.method, head.target, head.status, head.fields, body) if body else head

    def several(self, data: bytes, most: int, each: Callable[[Message], bool]) -> bool:
        """Feed bytes and hand on at most so many messages, while `each` says that the connection goes on.

        True: there may be more. Raises RtspError.
        """
        if data:
            self.feed(data)
        for _ in range(most):
            message = self.next()
            if message is None or not each(message):
                return False
        return True

    def follows_well(self) -> bool:
        """Whether what has come after the last message may begin a message: if not, that one's length did
        not fit, or noise follows it."""
        rest = bytes(self._buffer[self._start : self._start + 40])
        return not rest or START.match(rest) is not None

    def cancels(self, session: bytes, ahead: bytes) -> bool:
        """Whether what is not read yet, here and in bytes that follow, holds a whole TEARDOWN of a session.

        Messages are told apart as they will be when they are read: a TEARDOWN in a body is none. It is one
        search where the id is not in the bytes.
        """
        rest = bytes(self._buffer[self._start :]) + ahead
        named, start = rest.find(session), 0
        for _ in range(LOOKED_THROUGH):
            if named < 0:
                break
            body = rest.find(b"\r\n\r\n", start) + 4
            length = LENGTH_FIELD.search(rest, start, body - 2) if body >= 4 else None
            end = body + int(length[1]) if length else 0
            if length is None or end > len(rest):
                break  # not whole, or not to be read: then nothing behind it is
            if named < body and rest.startswith(b"TEARDOWN ", start):
                try:
                    if _head(rest[start : body - 2]).session == session:
                        return True
                except RtspError:
                    break
            start = end
            if named < start:
                named = rest.find(session, start)
        return False

    def _read_head(self) -> bool:
        buffer, start = self._buffer, self._start
        if len(buffer) == start:
            return False
        end = buffer.find(b"\r\n\r\n", max(start, self._searched - 3))
        if end < 0:
            self._searched = len(buffer)
            if len(buffer) - start > MESSAGE_MOST:
                raise RtspError(f"a head of over {MESSAGE_MOST} bytes")
            if START.match(buffer[start : start + 40]) is None:
                raise RtspError("no RTSP message")
            return False
        if end + 4 - start > MESSAGE_MOST:
            raise RtspError(f"a head of over {MESSAGE_MOST} bytes")
        self._head = head = _head(bytes(buffer[start : end + 2]))
        length = head.fields.get(b"content-length")
        if length is None:
            raise RtspError("no Content-Length")
        if not LENGTH.match(length):
            raise RtspError("Content-Length is no number, or too long")
        self._length, self._body = int(length), end + 4
        if self._body + self._length - start > MESSAGE_MOST:
            raise RtspError(f"a message of over {MESSAGE_MOST} bytes")
        return True


def _head(text: bytes) -> Message:
    first, _, rest = text.partition(b"\r\n")
    if not FIELD_LINES.match(rest):
        raise RtspError("a field line that can't be read")
    lines = rest.split(b"\r\n")
    if len(lines) - 1 > FIELDS_MOST:
        raise RtspError(f"over {FIELDS_MOST} fields")
    fields: dict[bytes, bytes] = {}
    for line in lines[:-1]:
        name, _, value = line.partition(b":")
        name = name.lower()
        if name in fields:
            raise RtspError("two fields of one name")
        fields[name] = value.strip(b" \t")
    request = REQUEST_LINE.match(first)
    if request:
        return Message(request[1], request[2], 0, fields, b"")
    response = STATUS_LINE.match(first)
    if response:
        return Message(b"", b"", int(response[1]), fields, b"")
    raise RtspError("a first line that can't be read")


def _written(first: bytes, fields: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    lines = [first, *(name + b": " + value for name, value in fields)]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def request(method: bytes, target: bytes, fields: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """A request, whole; `fields` in order, without Content-Length."""
    return _written(method + b" " + target + b" RTSP/1.0", fields, body)


def response(status: int, fields: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """A response, whole; `fields` in order, without Content-Length."""
    return _written(b"RTSP/1.0 %d %s" % (status, PHRASES.get(status, b"-")), fields, body)
