"""HTTP/1.1 on blocking sockets: the server's connection loop, and a client with a connection pool.

`wire.http1` parses the bytes; this module transfers them with timeouts.
"""

from __future__ import annotations

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from ..core.outcomes import FailureKind, Phase
from ..wire import http1
from .listener import Address
from .stream import Stream, TimedOutError


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Timeouts of a server connection in seconds; each bounds one way a client can block a thread."""

    idle: float = 60.0
    """Wait for the next request."""
    head: float = 5.0
    """From the first to the last byte of a head, however slowly it arrives; then the answer is 408."""
    body: float = 10.0
    """For a whole body."""
    send: float = 10.0
    """For a response, if the peer doesn't read."""


@dataclass(slots=True)
class Exchange:
    """A request passed to a handler, with its connection."""

    request: http1.Request
    body: bytes
    peer: Address
    stream: Stream

    def reply(
        self, status: int, fields: Iterable[tuple[bytes, bytes]] = (), body: bytes = b"", close: bool = False
    ) -> bytes:
        """Return an encoded response: no body for HEAD; keep-alive unless the client or `close` says no."""
        return http1.response(
            status, fields, body,
            keep_alive=self.request.keep_alive and not close, head_only=self.request.method == b"HEAD",
        )  # fmt: skip


Handler = Callable[[Exchange], bytes | None]
"""Returns an encoded response, or None if it has answered on the stream itself and the connection closes."""


def serve(
    stream: Stream,
    peer: Address,
    handler: Handler,
    timeouts: Timeouts,
    limits: http1.Limits = http1.DEFAULT_LIMITS,
    stopping: Callable[[], bool] = lambda: False,
    first: bytes = b"",
) -> None:
    """Serve requests and return when the connection should be closed. Socket errors end it silently.

    `first`: bytes already read from the connection. `stopping` is checked after each response.
    """
    reader = http1.RequestReader(limits)
    try:
        while True:
            data = first or (b"" if reader.started else _read_first_bytes(stream, timeouts))
            first = b""
            if data is None:
                return
            request, body = reader.repeated(data) if data else None, b""
            if request is None:
                request, body = _read_request(stream, reader, timeouts, data)
                if request is None:
                    return
                if data and not body:
                    reader.remember(data, request)
            response = handler(Exchange(request, body, peer, stream))
            if response is None:
                return
            stream.send(response, timeouts.send)
            if not request.keep_alive or stopping():
                return
    except http1.ProtocolError as error:
        refusal = http1.response(error.status, body=error.reason.encode() + b"\n", keep_alive=False)
        with contextlib.suppress(OSError):  # the peer may have closed already
            stream.send(refusal, timeouts.send)
            _linger(stream)
    except OSError:
        return  # the peer closed, reset or timed out: no response is possible


def _linger(stream: Stream) -> None:
    """Close the sending side and read on briefly, so that no reset drops the response (RFC 9112 9.6)."""
    stream.socket.shutdown(socket.SHUT_WR)
    deadline = time.monotonic() + 0.5
    while time.monotonic() < deadline and stream.receive(0.25):
        pass


def _read_first_bytes(stream: Stream, timeouts: Timeouts) -> bytes | None:
    """Return the first bytes of a request, None if the peer closed or sent nothing in time."""
    try:
        return stream.receive(timeouts.idle) or None
    except TimedOutError:
        return None


def _read_request(
    stream: Stream, reader: http1.RequestReader, timeouts: Timeouts, data: bytes
) -> tuple[http1.Request | None, bytes]:
    """Read a request that starts with `data`, and its body. The request is None if the peer closed early."""
    deadline = time.monotonic() + timeouts.head
    if data:
        reader.feed(data)
    while (message := reader.next()) is None:
        remaining = deadline - time.monotonic()
        if remaining <= 0:
            raise http1.ProtocolError(408, "head took too long")
        try:
            data = stream.receive(remaining)
        except TimedOutError as error:
            raise http1.ProtocolError(408, "head took too long") from error
        reader.feed(data)
        if not data and reader.next() is None:
            return None, b""
    assert isinstance(message, http1.Request), "a message starts with its head"
    return message, _read_body(stream, reader, timeouts, message.expects)


def _read_body(
    stream: Stream, reader: http1.RequestReader, timeouts: Timeouts, expects_continue: bool
) -> bytes:
    chunks = []
    deadline = None
    while not isinstance(message := reader.next(), http1.End):
        if isinstance(message, http1.Body):
            chunks.append(message.data)
            continue
        now = time.monotonic()
        if deadline is None:
            deadline = now + timeouts.body
            if expects_continue:
                stream.send(http1.CONTINUE, timeouts.send)
        if now >= deadline:
            raise http1.ProtocolError(408, "body took too long")
        try:
            reader.feed(stream.receive(deadline - now))
        except TimedOutError as error:
            raise http1.ProtocolError(408, "body took too long") from error
    return b"".join(chunks)


class ExchangeError(Exception):
    """An exchange failed in `phase` without a complete answer; `core.outcomes` decides what that proves."""

    def __init__(self, phase: Phase, failure: FailureKind, cause: str) -> None:
        super().__init__(f"{phase.value}: {failure.value}: {cause}")
        self.phase, self.failure = phase, failure


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete response."""

    status: int
    fields: http1.Fields
    body: bytes
    elapsed: float
    """Seconds from the start of the exchange."""

    def get(self, name: bytes) -> bytes | None:
        """Return the value of the first field of that name (lower case), None if there is none."""
        return next((value for key, value in self.fields if key == name), None)


@dataclass(slots=True)
class _Connection:
    stream: Stream
    reader: http1.ResponseReader
    idle_since: float


@dataclass(slots=True)
class Call:
    """A running exchange that another thread may cancel."""

    cancelled: bool = False
    _stream: Stream | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def cancel(self) -> None:
        """Abort the exchange, or prevent it if it hasn't begun. May be called from any thread."""
        with self._lock:
            self.cancelled = True
            if self._stream is not None:
                self._stream.abort()

    def begin(self, stream: Stream) -> bool:
        """Let `cancel` abort this stream; return False if the call was cancelled before."""
        with self._lock:
            self._stream = stream
            return not self.cancelled

    def end(self) -> bool:
        """Release the stream, so that a later `cancel` can't abort the connection's next exchange.

        Returns False if the call was cancelled.
        """
        with self._lock:
            self._stream = None
            return not self.cancelled


def _round_up_timeout(seconds: float) -> float:
    """Round up to a multiple of 20 ms: setting an unchanged timeout costs no system call."""
    return max(1, math.ceil(seconds * 50.0)) / 50.0


@dataclass(slots=True)
class Client:
    """HTTP client for one address with a pool of idle connections. Thread-safe."""

    address: Address
    connect_limit: float
    """Connect timeout in seconds."""
    max_idle_connections: int = 8
    """Idle connections kept at most."""
    idle_limit: float = 15.0
    """Seconds until an idle connection is closed."""
    limits: http1.Limits = field(default_factory=lambda: http1.Limits(body=16 << 20))
    _idle: list[_Connection] = field(default_factory=list)
    _lock: threading.Lock = field(default_factory=threading.Lock)

    @property
    def host(self) -> bytes:
        """Value of the Host field; an IPv6 address is in brackets."""
        name = f"[{self.address[0]}]" if ":" in self.address[0] else self.address[0]
        return f"{name}:{self.address[1]}".encode()

    def exchange(
        self, method: bytes, target: bytes, *, deadline: float, fields: Iterable[tuple[bytes, bytes]] = (),
        body: bytes = b"", fresh: bool = False, call: Call | None = None,
    ) -> Answer:  # fmt: skip
        """Send a request and return its complete answer by the monotonic `deadline`. Raises ExchangeError.

        `fresh`: use a new connection, since the host may be closing an idle one; for requests that must not
        end with an unknown outcome.
        """
        started_at = time.monotonic()
        call = call or Call()
        connection = (None if fresh else self._take_idle()) or self._connect(deadline, call)
        if not call.begin(connection.stream):
            connection.stream.close()
            raise ExchangeError(Phase.UNSENT, FailureKind.CANCELLED, "before it was sent")
        reusable = False
        try:
            self._send(connection, http1.request(method, target, self.host, fields, body), deadline, call)
            connection.reader.expect(method)
            head, content = self._read(connection, deadline, call)
            reusable = head.keep_alive and connection.reader.idle
        finally:
            if call.end() and reusable:
                self._return_idle(connection)
            else:
                connection.stream.close()
        return Answer(head.status, head.fields, content, time.monotonic() - started_at)

    def open(
        self, target: bytes, *, deadline: float, fields: Iterable[tuple[bytes, bytes]] = ()
    ) -> OpenAnswer:
        """Send a GET on a new connection and return the answer with an unread body. Raises ExchangeError."""
        call = Call()
        connection = self._connect(deadline, call)
        try:
            self._send(connection, http1.request(b"GET", target, self.host, fields), deadline, call)
            connection.reader.expect(b"GET")
            head = self._read_head(connection, deadline, call)
        except ExchangeError:
            connection.stream.close()
            raise
        return OpenAnswer(head, connection.stream, connection.reader)

    def close_idle(self) -> None:
        """Close all idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.stream.close()

    def _take_idle(self) -> _Connection | None:
        while True:
            with self._lock:
                if not self._idle:
                    return None
                connection = self._idle.pop()
            usable = time.monotonic() - connection.idle_since < self.idle_limit
            if usable and not connection.stream.closed_by_peer() and not connection.stream.has_bytes():
                return connection
            connection.stream.close()

    def _return_idle(self, connection: _Connection) -> None:
        connection.idle_since = time.monotonic()
        with self._lock:
            if len(self._idle) < self.max_idle_connections:
                self._idle.append(connection)
                return
        connection.stream.close()

    def _connect(self, deadline: float, call: Call) -> _Connection:
        timeout = min(self.connect_limit, deadline - time.monotonic())
        if timeout <= 0:
            raise ExchangeError(Phase.CONNECT, FailureKind.TIMED_OUT, "no time left")
        try:
            sock = socket.create_connection(self.address, timeout=timeout)
        except ConnectionRefusedError as error:
            raise ExchangeError(Phase.CONNECT, FailureKind.REFUSED, str(error)) from error
        except TimeoutError as error:
            raise ExchangeError(Phase.CONNECT, FailureKind.TIMED_OUT, "connect") from error
        except OSError as error:
            raise ExchangeError(Phase.CONNECT, FailureKind.BROKEN, str(error)) from error
        if sock.getsockname() == sock.getpeername():
            # TCP self-connect on loopback: the source port equals the target port, and no server listens.
            sock.close()
            raise ExchangeError(Phase.CONNECT, FailureKind.REFUSED, "connected to itself")
        return _Connection(Stream(sock), http1.ResponseReader(self.limits), time.monotonic())

    def _send(self, connection: _Connection, data: bytes, deadline: float, call: Call) -> None:
        stream, sent = connection.stream, 0
        try:
            stream.set_send_timeout(_round_up_timeout(deadline - time.monotonic()))
            while sent < len(data):
                sent += stream.socket.send(data[sent:] if sent else data)
        except OSError as error:
            phase = Phase.SENT if sent else Phase.UNSENT
            timed_out = isinstance(error, BlockingIOError)  # raised when SO_SNDTIMEO expires
            failure = (
                FailureKind.CANCELLED
                if call.cancelled
                else FailureKind.TIMED_OUT
                if timed_out
                else FailureKind.BROKEN
            )
            stream.close()
            raise ExchangeError(phase, failure, str(error)) from error

    def _read_message(
        self, connection: _Connection, deadline: float, call: Call, phase: Phase
    ) -> tuple[http1.Message, Phase]:
        while True:
            try:
                message = connection.reader.next()
            except http1.ProtocolError as error:
                failure = (
                    FailureKind.BROKEN
                    if error.reason.startswith("the peer closed")
                    else FailureKind.MALFORMED
                )
                failure = FailureKind.CANCELLED if call.cancelled else failure
                raise ExchangeError(phase, failure, error.reason) from error
            if message is not None:
                return message, Phase.ANSWER
            remaining = deadline - time.monotonic()
            if remaining <= 0 and not connection.stream.has_bytes():
                raise ExchangeError(phase, FailureKind.TIMED_OUT, "answer")
            try:
                data = connection.stream.receive(_round_up_timeout(remaining))
            except TimedOutError as error:
                raise ExchangeError(phase, FailureKind.TIMED_OUT, "answer") from error
            except OSError as error:
                failure = FailureKind.CANCELLED if call.cancelled else FailureKind.BROKEN
                raise ExchangeError(phase, failure, str(error)) from error
            if not data and connection.reader.between:
                failure = FailureKind.CANCELLED if call.cancelled else FailureKind.BROKEN
                raise ExchangeError(phase, failure, "closed before the answer")
            connection.reader.feed(data)
            phase = Phase.ANSWER

    def _read_head(self, connection: _Connection, deadline: float, call: Call) -> http1.Response:
        message, _ = self._read_message(connection, deadline, call, Phase.SENT)
        assert isinstance(message, http1.Response), "an answer starts with its head"
        return message

    def _read(self, connection: _Connection, deadline: float, call: Call) -> tuple[http1.Response, bytes]:
        head = self._read_head(connection, deadline, call)
        chunks: list[bytes] = []
        phase = Phase.ANSWER
        while True:
            message, phase = self._read_message(connection, deadline, call, phase)
            if isinstance(message, http1.End):
                return head, b"".join(chunks)
            if isinstance(message, http1.Body):
                chunks.append(message.data)


@dataclass(slots=True)
class OpenAnswer:
    """An answer whose body is still being received, such as an event stream."""

    head: http1.Response
    stream: Stream
    _reader: http1.ResponseReader

    def chunks(self, max_silence: float) -> Iterator[bytes]:
        """Yield chunks of the body as they arrive, until its end.

        Raises TimedOutError after `max_silence` seconds without data, OSError or http1.ProtocolError if the
        connection breaks.
        """
        while True:
            message = self._reader.next()
            if isinstance(message, http1.Body):
                yield message.data
            elif isinstance(message, http1.End):
                return
            else:
                self._reader.feed(self.stream.receive(max_silence))

    def close(self) -> None:
        """Close the connection."""
        self.stream.close()
