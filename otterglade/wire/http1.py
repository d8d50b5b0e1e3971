"""HTTP/1.1 messages (RFC 9110, RFC 9112) read and written without I/O.

A `RequestReader` or `ResponseReader` is fed bytes as they come and gives heads, pieces of body and ends of
messages. Work is linear in the bytes however they are cut: the buffer remembers how far it was searched.
What an attacker could use to make two programs disagree on where a message ends (two lengths, length with
chunked, folded fields, bare CR, space before the colon) is refused, never repaired.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, auto

Fields = tuple[tuple[bytes, bytes], ...]

TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
TARGET = re.compile(rb"[\x21-\x7e]+\Z")
VALUE = re.compile(rb"[\t\x20-\x7e\x80-\xff]*\Z")
DIGITS = re.compile(rb"[0-9]+\Z")
CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,15})[ \t]*(?:;[\t\x20-\x7e\x80-\xff]*)?\Z")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: ([\t\x20-\x7e\x80-\xff]*))?\Z")
HOST = re.compile(rb"[A-Za-z0-9.\-_~%!$&'()*+,;=:\[\]]*\Z")
NO_BODY = frozenset({204, 304})


@dataclass(frozen=True, slots=True)
class Limits:
    """Bounds in bytes of one message; each protects the reader's memory."""

    line: int = 8192
    """A request line: 414 beyond."""
    head: int = 16384
    """All of a head, and the trailers of a chunked body: 431 beyond."""
    fields: int = 100
    """Fields of a head: 431 beyond."""
    body: int = 1 << 20
    """A body: 413 beyond."""


DEFAULT_LIMITS = Limits()
REPEATED_MOST = 2048
"""Bytes of a head that is kept to know its repetition by."""


class ProtocolError(Exception):
    """A message that is refused; `status` is what a server answers before it closes."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Request:
    """The head of a request; field names are lower case."""

    method: bytes
    target: bytes
    fields: Fields
    minor: int
    keep_alive: bool
    expects: bool
    """The client waits for 100 (Continue) before it sends the body."""

    def get(self, name: bytes) -> bytes | None:
        return _first(self.fields, name)


@dataclass(frozen=True, slots=True)
class Response:
    """The head of a response; field names are lower case."""

    status: int
    reason: bytes
    fields: Fields
    minor: int
    keep_alive: bool

    def get(self, name: bytes) -> bytes | None:
        return _first(self.fields, name)


@dataclass(frozen=True, slots=True)
class Body:
    """Some bytes of the body, never empty."""

    data: bytes


@dataclass(frozen=True, slots=True)
class End:
    """The message is whole."""

    trailers: Fields = ()


Message = Request | Response | Body | End


def _first(fields: Fields, name: bytes) -> bytes | None:
    return next((value for key, value in fields if key == name), None)


class State(Enum):
    """Where a reader stands. The moves, in one table:

    HEAD -> LENGTH (Content-Length) | SIZE (chunked) | CLOSE (a response without either) | HEAD (no body)
    LENGTH -> HEAD;  SIZE -> DATA | TRAILERS;  DATA -> SIZE;  TRAILERS -> HEAD;  CLOSE -> ENDED at the end
    any -> ENDED at an error; nothing leaves ENDED.
    """

    HEAD = auto()
    LENGTH = auto()
    SIZE = auto()
    DATA = auto()
    TRAILERS = auto()
    CLOSE = auto()
    ENDED = auto()


class _Reader:
    """What both directions share: the buffer, lines, fields and bodies."""

    __slots__ = ("_buffer", "_eof", "_left", "_searched", "_state", "_taken", "limits")

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self._buffer = bytearray()
        self._searched = 0
        self._state = State.HEAD
        self._left = 0
        self._taken = 0
        self._eof = False

    @property
    def idle(self) -> bool:
        """Between two messages, with nothing of the next one read."""
        return self._state is State.HEAD and not self._buffer

    @property
    def between(self) -> bool:
        """No message is under way; bytes of the next may wait."""
        return self._state is State.HEAD

    def feed(self, data: bytes) -> None:
        """Take bytes of the peer; empty: the peer has closed its side."""
        if data:
            self._buffer += data
        else:
            self._eof = True

    def next(self) -> Message | None:
        """The next message part; None: more bytes are needed, or the peer has closed between messages.

        Raises ProtocolError, after which the reader gives nothing more.
        """
        try:
            return self._next()
        except ProtocolError:
            self._state = State.ENDED
            self._buffer.clear()
            raise

    def _next(self) -> Message | None:
        if self._state is State.HEAD:
            return self._head()
        if self._state is State.LENGTH:
            return self._piece(State.HEAD)
        if self._state is State.SIZE or self._state is State.DATA:
            return self._chunked()
        if self._state is State.TRAILERS:
            block = self._block(431)
            if block is None:
                return self._starved()
            self._state = State.HEAD
            return End(self._fields(block))
        if self._state is State.CLOSE:
            if self._buffer:
                return self._take(len(self._buffer))
            if self._eof:
                self._state = State.ENDED
                return End()
        return None

    def _starved(self) -> Message | None:
        """Nothing whole is buffered: an error where the peer has closed in the middle of a message."""
        if self._eof and (self._buffer or self._state is not State.HEAD):
            raise ProtocolError(400, "the peer closed in the middle of a message")
        return None

    def _take(self, count: int) -> Body:
        data = bytes(self._buffer[:count])
        del self._buffer[:count]
        self._taken += count
        if self._taken > self.limits.body:
            raise ProtocolError(413, "body over the limit")
        return Body(data)

    def _piece(self, after: State) -> Message | None:
        if self._left == 0:
            self._state = after
            return End()
        if not self._buffer:
            return self._starved()
        body = self._take(min(self._left, len(self._buffer)))
        self._left -= len(body.data)
        return body

    def _chunked(self) -> Message | None:
        while True:
            if self._state is State.DATA:
                if self._left:
                    if not self._buffer:
                        return self._starved()
                    body = self._take(min(self._left, len(self._buffer)))
                    self._left -= len(body.data)
                    return body
                if len(self._buffer) < 2:
                    return self._starved()
                if self._buffer[:2] != b"\r\n":
                    raise ProtocolError(400, "chunk not ended by CRLF")
                del self._buffer[:2]
                self._state = State.SIZE
            line = self._line(256, 400)
            if line is None:
                return self._starved()
            size = CHUNK_SIZE.match(line)
            if size is None:
                raise ProtocolError(400, "bad chunk size")
            self._left = int(size[1], 16)
            if self._taken + self._left > self.limits.body:
                raise ProtocolError(413, "body over the limit")
            if self._left == 0:
                self._state = State.TRAILERS
                return self._next()
            self._state = State.DATA

    def _line(self, limit: int, status: int) -> bytes | None:
        """A line without its CRLF; the search goes on where it stopped."""
        at = self._buffer.find(b"\n", self._searched, limit + 2)
        if at < 0:
            if len(self._buffer) >= limit + 2:
                raise ProtocolError(status, "line over the limit")
            self._searched = len(self._buffer)
            return None
        if at == 0 or self._buffer[at - 1] != 13:
            raise ProtocolError(400, "line not ended by CRLF")
        line = bytes(self._buffer[: at - 1])
        del self._buffer[: at + 1]
        self._searched = 0
        return line

    def _block(self, status: int) -> bytes | None:
        """Field lines up to the empty one, without it; b"" where there is none."""
        if self._buffer[:2] == b"\r\n":
            del self._buffer[:2]
            self._searched = 0
            return b""
        at = self._buffer.find(b"\r\n\r\n", max(0, self._searched - 3), self.limits.head)
        if at < 0:
            if len(self._buffer) >= self.limits.head:
                raise ProtocolError(status, "fields over the limit")
            self._searched = len(self._buffer)
            return None
        block = bytes(self._buffer[:at])
        del self._buffer[: at + 4]
        self._searched = 0
        return block

    def _fields(self, block: bytes) -> Fields:
        if not block:
            return ()
        lines = block.split(b"\r\n")
        if len(lines) > self.limits.fields:
            raise ProtocolError(431, "too many fields")
        fields = []
        for line in lines:
            name, colon, value = line.partition(b":")
            if line[:1] in (b" ", b"\t"):
                raise ProtocolError(400, "folded field")
            if not colon or not TOKEN.match(name):
                raise ProtocolError(400, "bad field name")
            if not VALUE.match(value):
                raise ProtocolError(400, "bad byte in a field")
            fields.append((name.lower(), value.strip(b" \t")))
        return tuple(fields)

    def _head(self) -> Message | None:
        raise NotImplementedError

    def _framing(self, fields: Fields, minor: int) -> int | None:
        """Sets state by the framing fields; returns the length where one is given, -1 for chunked."""
        lengths = [value for name, value in fields if name == b"content-length"]
        codings = [value for name, value in fields if name == b"transfer-encoding"]
        if codings:
            if lengths:
                raise ProtocolError(400, "length with transfer coding")
            if minor == 0 or len(codings) > 1 or codings[0].lower() != b"chunked":
                raise ProtocolError(501 if minor else 400, "transfer coding other than chunked")
            return -1
        if not lengths:
            return None
        if len({*lengths}) > 1 or not DIGITS.match(lengths[0]) or len(lengths[0]) > 18:
            raise ProtocolError(400, "bad or differing lengths")
        length = int(lengths[0])
        if length > self.limits.body:
            raise ProtocolError(413, "body over the limit")
        return length

    def _enter_body(self, length: int) -> None:
        self._taken = 0
        self._left = max(0, length)
        self._state = State.SIZE if length < 0 else State.LENGTH


def _keeps(fields: Fields, minor: int) -> bool:
    options = {x.strip().lower() for k, v in fields if k == b"connection" for x in v.split(b",")}
    return b"close" not in options and (minor == 1 or b"keep-alive" in options)


def head_is_whole(data: bytearray, before: int, most: int = DEFAULT_LIMITS.head) -> bool:
    """Whether a request's head ends in these bytes, or is longer than any that is read; `before`: bytes that
    were looked at already. A line may end in LF alone, as the reader itself refuses or takes it."""
    start = max(0, before - 3)
    return len(data) > most or data.find(b"\n\r\n", start) >= 0 or data.find(b"\n\n", start) >= 0


class RequestReader(_Reader):
    """The server's side: requests as they come, pipelined ones after one another."""

    __slots__ = ("_last", "_last_bytes", "_line_read")

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        super().__init__(limits)
        self._line_read: bytes | None = None
        self._last: Request | None = None
        self._last_bytes = b""

    def repeated(self, data: bytes) -> Request | None:
        """The last request again, whole, where these bytes are the same as its own and nothing else waits.

        A player that reloads its playlist sends the same head each time; reading it anew would give the same.
        Bytes that are not taken here are to be fed.
        """
        if data == self._last_bytes and not self._buffer and self._state is State.HEAD:
            return self._last
        return None

    def remember(self, data: bytes, request: Request) -> None:
        """These bytes were one whole request without a body, for `repeated`."""
        if len(data) <= REPEATED_MOST and not self._buffer and self._state is State.HEAD:
            self._last_bytes, self._last = data, request

    @property
    def started(self) -> bool:
        """A head is partly read."""
        return self._line_read is not None or bool(self._buffer)

    def _head(self) -> Message | None:
        if self._line_read is None:
            if self._buffer[:2] == b"\r\n":  # RFC 9112 2.2: an empty line before a request line is ignored
                del self._buffer[:2]
            line = self._line(self.limits.line, 414)
            if line is None:
                return self._starved()
            self._line_read = line
        block = self._block(431)
        if block is None:
            return self._starved()
        parts, self._line_read = self._line_read.split(b" "), None
        if len(parts) != 3 or not TOKEN.match(parts[0]) or not TARGET.match(parts[1]):
            raise ProtocolError(400, "bad request line")
        if parts[2] not in (b"HTTP/1.1", b"HTTP/1.0"):
            raise ProtocolError(505 if re.match(rb"HTTP/[0-9]\.[0-9]\Z", parts[2]) else 400, "bad version")
        minor = int(parts[2][-1:])
        fields = self._fields(block)
        hosts = [value for name, value in fields if name == b"host"]
        if len(hosts) > 1 or (not hosts and minor == 1) or not all(HOST.match(x) for x in hosts):
            raise ProtocolError(400, "missing, double or bad Host")
        length = self._framing(fields, minor)
        expects = (_first(fields, b"expect") or b"").lower()
        if expects not in (b"", b"100-continue"):
            raise ProtocolError(417, "unknown expectation")
        self._enter_body(length or 0)
        wants_100 = bool(expects) and minor == 1 and length is not None and length != 0
        return Request(parts[0], parts[1], fields, minor, _keeps(fields, minor), wants_100)


class ResponseReader(_Reader):
    """The client's side: one response for each `expect`, interim ones (1xx) skipped."""

    __slots__ = ("_methods",)

    def __init__(self, limits: Limits = DEFAULT_LIMITS) -> None:
        super().__init__(limits)
        self._methods: list[bytes] = []

    def expect(self, method: bytes) -> None:
        """A request with this method has been sent."""
        self._methods.append(method)

    def _head(self) -> Message | None:
        while True:
            block = self._block(431)
            if block is None:
                return self._starved()
            first, _, rest = block.partition(b"\r\n")
            line = STATUS_LINE.match(first)
            if line is None or not self._methods:
                raise ProtocolError(502, "bad status line, or an answer to nothing")
            status, minor = int(line[2]), int(line[1])
            fields = self._fields(rest)
            if status >= 200:
                break
            if status == 101:
                raise ProtocolError(502, "upgrade never asked for")
        method = self._methods.pop(0)
        length = self._framing(fields, minor)
        keeps = _keeps(fields, minor)
        if method == b"HEAD" or status in NO_BODY:
            self._enter_body(0)
        elif length is None:
            self._taken, self._state, keeps = 0, State.CLOSE, False
        else:
            self._enter_body(length)
        return Response(status, line[3] or b"", fields, minor, keeps)


REASONS = {
    100: b"Continue", 200: b"OK", 201: b"Created", 204: b"No Content", 302: b"Found", 304: b"Not Modified",
    307: b"Temporary Redirect", 400: b"Bad Request", 403: b"Forbidden", 404: b"Not Found",
    405: b"Method Not Allowed", 408: b"Request Timeout", 409: b"Conflict", 410: b"Gone",
    413: b"Content Too Large", 414: b"URI Too Long", 417: b"Expectation Failed",
    431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 501: b"Not Implemented",
    502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout",
    505: b"HTTP Version Not Supported",
}  # fmt: skip
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"


def _checked(fields: Iterable[tuple[bytes, bytes]]) -> list[bytes]:
    """Field lines; a name or value that would break out of its line is a fault of the caller."""
    lines = []
    for name, value in fields:
        if not TOKEN.match(name) or not VALUE.match(value):
            raise ValueError(f"field {name!r}: not allowed: {value!r}")
        lines.append(name + b": " + value + b"\r\n")
    return lines


def response(
    status: int,
    fields: Iterable[tuple[bytes, bytes]] = (),
    body: bytes = b"",
    *,
    keep_alive: bool = True,
    head_only: bool = False,
) -> bytes:
    """A whole response with its length; `head_only` answers HEAD."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown")), *_checked(fields)]
    if status not in NO_BODY:
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n" if keep_alive else b"Connection: close\r\n\r\n")
    if not head_only and status not in NO_BODY:
        lines.append(body)
    return b"".join(lines)


def stream_head(status: int, fields: Iterable[tuple[bytes, bytes]] = ()) -> bytes:
    """The head of a chunked response; `chunk` and LAST_CHUNK follow."""
    lines = [b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Unknown")), *_checked(fields)]
    return b"".join([*lines, b"Transfer-Encoding: chunked\r\n\r\n"])


def chunk(data: bytes) -> bytes:
    """One chunk; empty data gives nothing, as an empty chunk would end the body."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


def request(
    method: bytes,
    target: bytes,
    host: bytes,
    fields: Iterable[tuple[bytes, bytes]] = (),
    body: bytes = b"",
) -> bytes:
    """A whole request; a length is told wherever there is a body or the method usually has one."""
    if not TOKEN.match(method) or not TARGET.match(target):
        raise ValueError(f"method or target not allowed: {method!r} {target!r}")
    lines = [b"%b %b HTTP/1.1\r\n" % (method, target), b"Host: %b\r\n" % host, *_checked(fields)]
    if body or method in (b"POST", b"PUT"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    return b"".join([*lines, b"\r\n", body])
