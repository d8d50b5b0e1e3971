"""Parser and serializer of RTSP 1.0 messages (RFC 2326) in the platform's profile, without I/O.

A `Reader` accepts bytes in pieces of any size and returns whole messages. Its work is linear in the bytes: it
remembers how far the buffer was searched. Every message has a `Content-Length`, and none is longer than
`MAX_MESSAGE_BYTES`. Ambiguous input (two lengths, folded fields, a bare CR, a sign before a number) is
rejected and never repaired; after an error nothing more is read, as the start of the next message is
unknown.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 16384
"""Bytes of a whole message, by the platform's protocol; limits the memory that one peer can make a reader
use."""
MAX_FIELDS = 64
"""Header fields of a message."""
MAX_SCANNED_MESSAGES = 4096
"""Messages searched for an unread TEARDOWN: limits the work for a peer that names its sessions in the last of
thousands of messages."""

REQUEST_LINE = re.compile(rb"([A-Z][A-Z_]{1,31}) ([\x21-\x7e]{1,2048}) RTSP/1\.0\Z")
STATUS_LINE = re.compile(rb"RTSP/1\.0 ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?\Z")
FIELD_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*\Z")
LENGTH_VALUE = re.compile(rb"[0-9]{1,9}\Z")
LENGTH_FIELD = re.compile(rb"\r\ncontent-length:[ \t]*([0-9]{1,9})[ \t]*\r\n", re.IGNORECASE)
SESSION = re.compile(rb"[0-9a-f]{16}\Z")
DESCRIPTION = re.compile(rb"(?:(?:[0-9a-f]{16}|[a-z]=[\x20-\x7e]*)\r\n)+\Z")
REASON = re.compile(rb"cause=([0-9]{1,3})\Z")
MESSAGE_START = re.compile(rb"[A-Z_]{1,31}(?: |\Z)|RTSP/1\.0 |R(?:T(?:S(?:P(?:/(?:1(?:\.(?:0)?)?)?)?)?)?)?\Z")

REASON_PHRASES = {
    200: b"OK", 400: b"Bad Request", 413: b"Request Entity Too Large", 453: b"Not Enough Bandwidth",
    454: b"Session Not Found", 500: b"Internal Server Error", 503: b"Service Unavailable",
}  # fmt: skip


class RtspError(ValueError):
    """A malformed message. The text names the cause and holds no bytes of the peer, so that the number of
    different texts (each is logged once) is limited."""


@dataclass(frozen=True, slots=True)
class Message:
    """A whole request (`status` 0) or response (`method` empty); field names are in lower case."""

    method: bytes
    target: bytes
    status: int
    fields: dict[bytes, bytes]
    body: bytes

    @property
    def session(self) -> bytes:
        """The session id (16 hex digits), or empty if there is no valid one."""
        value = self.fields.get(b"session", b"")
        return value if SESSION.match(value) else b""

    @property
    def cause(self) -> int | None:
        """The number in `Reason: cause=N`; None: there is no valid one."""
        found = REASON.match(self.fields.get(b"reason", b""))
        return int(found[1]) if found else None


def is_description(body: bytes) -> bool:
    """Whether a body is a whole description: lines of `x=...` or 16 hex digits, each with its line end.

    An answer with a wrong Content-Length has a body that is cut short or includes the following message; it
    must not be passed on as an established session.
    """
    return DESCRIPTION.match(body) is not None


class Reader:
    """Incremental parser: `feed`, then `next_message` until it returns None; unusable after an RtspError."""

    __slots__ = ("_body_length", "_body_start", "_buffer", "_head", "_message_start", "_searched_until")

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Free the buffered bytes: the connection has ended, and its rest is not read."""
        self._buffer = bytearray()
        self._message_start = 0
        self._searched_until = 0
        self._head: Message | None = None
        self._body_start = 0
        self._body_length = 0

    def feed(self, data: bytes) -> None:
        """Append received bytes to the buffer."""
        self._free_returned()
        self._buffer += data

    def _free_returned(self) -> None:
        """Free the bytes of the messages that were returned."""
        del self._buffer[: self._message_start]
        self._searched_until -= self._message_start
        self._body_start -= self._message_start
        self._message_start = 0

    @property
    def buffered_bytes(self) -> int:
        """Number of bytes of messages that are not yet returned or not yet complete."""
        return len(self._buffer) - self._message_start

    def next_message(self) -> Message | None:
        """The next whole message, or None if it is incomplete. Raises RtspError."""
        if self._head is None and not self._read_head():
            return None
        head = self._head
        if head is None or len(self._buffer) < self._body_start + self._body_length:
            return None
        end = self._body_start + self._body_length
        body = bytes(self._buffer[self._body_start : end]) if self._body_length else b""
        self._message_start = self._searched_until = end
        self._head = None
        if end == len(self._buffer) or end >= MAX_MESSAGE_BYTES:
            self._free_returned()  # the next bytes may come late, or never
        return Message(head.method, head.target, head.status, head.fields, body) if body else head

    def read_messages(self, data: bytes, max_messages: int, handle: Callable[[Message], bool]) -> bool:
        """Feed bytes and pass on at most `max_messages` messages, until `handle` returns False.

        Returns whether there may be more. Raises RtspError.
        """
        if data:
            self.feed(data)
        for _ in range(max_messages):
            message = self.next_message()
            if message is None or not handle(message):
                return False
        return True

    def rest_is_plausible(self) -> bool:
        """Whether the bytes after the last message may start a message: if not, the last one's Content-Length
        was wrong, or garbage follows it."""
        rest = bytes(self._buffer[self._message_start : self._message_start + 40])
        return not rest or MESSAGE_START.match(rest) is not None

    def contains_teardown(self, session: bytes, following: bytes = b"") -> bool:
        """Whether the unread bytes, here and in `following`, contain a complete TEARDOWN of a session.

        Messages are delimited as in `next_message`: a TEARDOWN inside a body doesn't count. If the bytes
        don't contain the id, this is a single search.
        """
        if not following and self._buffer.find(session, self._message_start) < 0:
            return False
        rest = bytes(self._buffer[self._message_start :]) + following
        id_at, start = rest.find(session), 0
        for _ in range(MAX_SCANNED_MESSAGES):
            if id_at < 0:
                break
            body = rest.find(b"\r\n\r\n", start) + 4
            length = LENGTH_FIELD.search(rest, start, body - 2) if body >= 4 else None
            end = body + int(length[1]) if length else 0
            if length is None or end > len(rest):
                break  # incomplete or malformed, so nothing after it can be read
            if id_at < body and rest.startswith(b"TEARDOWN ", start):
                try:
                    if _parse_head(rest[start : body - 2]).session == session:
                        return True
                except RtspError:
                    break
            start = end
            if id_at < start:
                id_at = rest.find(session, start)
        return False

    def _read_head(self) -> bool:
        buffer, start = self._buffer, self._message_start
        if len(buffer) == start:
            return False
        end = buffer.find(b"\r\n\r\n", max(start, self._searched_until - 3))
        if end < 0:
            self._searched_until = len(buffer)
            if len(buffer) - start > MAX_MESSAGE_BYTES:
                raise RtspError(f"a head of over {MAX_MESSAGE_BYTES} bytes")
            if MESSAGE_START.match(buffer[start : start + 40]) is None:
                raise RtspError("no RTSP message")
            return False
        if end + 4 - start > MAX_MESSAGE_BYTES:
            raise RtspError(f"a head of over {MAX_MESSAGE_BYTES} bytes")
        self._head = head = _parse_head(bytes(buffer[start : end + 2]))
        length = head.fields.get(b"content-length")
        if length is None:
            raise RtspError("no Content-Length")
        if not LENGTH_VALUE.match(length):
            raise RtspError("Content-Length is no number, or too long")
        self._body_length, self._body_start = int(length), end + 4
        if self._body_start + self._body_length - start > MAX_MESSAGE_BYTES:
            raise RtspError(f"a message of over {MAX_MESSAGE_BYTES} bytes")
        return True


def _parse_head(text: bytes) -> Message:
    first, _, rest = text.partition(b"\r\n")
    if not FIELD_LINES.match(rest):
        raise RtspError("a field line that can't be read")
    if rest.count(b"\r\n") > MAX_FIELDS:  # before thousands of short lines become objects
        raise RtspError(f"over {MAX_FIELDS} fields")
    lines = rest.split(b"\r\n")
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


def _serialize(first: bytes, fields: Iterable[tuple[bytes, bytes]], body: bytes) -> bytes:
    lines = [first, *(name + b": " + value for name, value in fields)]
    lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def request(method: bytes, target: bytes, fields: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Serialize a request; `fields` in their order, without Content-Length, which is added."""
    return _serialize(method + b" " + target + b" RTSP/1.0", fields, body)


def response(status: int, fields: Iterable[tuple[bytes, bytes]], body: bytes = b"") -> bytes:
    """Serialize a response; `fields` in their order, without Content-Length, which is added."""
    return _serialize(b"RTSP/1.0 %d %s" % (status, REASON_PHRASES.get(status, b"-")), fields, body)
