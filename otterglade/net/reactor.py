"""Single-threaded event loop: epoll, non-blocking channels, timers, and a quota per iteration.

Nothing here parses: a channel passes bytes to its handler in limited reads. An iteration reads at most
`MAX_READ_BYTES` of a channel, and a handler with more work than its own quota is called again after all
others were served, so that no peer at full speed delays the others. Input is handled before timers that are
due, as an answer that waits in the kernel has arrived in time.
"""

from __future__ import annotations

import contextlib
import errno
import heapq
import itertools
import select
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

MAX_READ_BYTES = 16384
"""Bytes read from a channel in one iteration."""
MAX_READ_AHEAD_BYTES = 1 << 16
"""Bytes of one system call that reads ahead."""
MAX_ACCEPTS = 64
"""Connections accepted in one iteration."""
MAX_EVENTS = 16
"""Events, and deferred channels, handled in one iteration: with hundreds of peers at full speed an iteration
stays short, so that timers and (as epoll rotates) other sockets are served in between."""
INPUT_FIRST_SECONDS = 0.05
"""Seconds for which a due timer waits while more input may be ready to be handled first."""
BACKLOG = 1024
"""Connections that the kernel queues until they are accepted. Silent ones ahead of a request are closed only
as room is needed, about 1,500 a second with 256 descriptors, so a backlog of 4,096 would delay the request
beyond its deadline. A peer that is not admitted retries after a second, before it has sent its request."""
ACCEPT_RETRY_SECONDS = 0.05
"""Seconds for which accepting pauses without room or descriptors: the listening socket stays readable, and a
loop that watched it would spin."""
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""Errors of `accept` with which the connection stays in the backlog; with any other it is gone."""
MAX_UNSENT_BYTES = 1 << 18
"""Unsent bytes for a peer that does not read, above which its channel is closed."""
MAX_FINAL_READS = 32
"""Reads, or calls of the handler, for the input of a channel that is about to be closed."""
MAX_DRAIN_BYTES, DRAIN_SECONDS = 1 << 20, 0.5
"""Limits of reading from a peer after the last message was sent to it: closing with unread bytes resets the
connection, and the message could be lost in flight."""

Address = tuple[str, int]


class Handler(Protocol):
    """Receives a channel's events. Exceptions of a handler are not caught here."""

    def data_received(self, data: bytes) -> bool:
        """Handle new bytes, or without any the buffered ones. Returns whether to call again for more work."""

    def connection_made(self) -> None:
        """An outgoing connection is established."""

    def connection_lost(self, cause: str) -> None:
        """The channel was closed, but not by its owner; `cause`: "closed", "reset", "refused", "timed out" or
        "full" (too many unsent bytes)."""


class DetachedHandler:
    """Handler of a channel that passes nothing on any more."""

    def data_received(self, data: bytes) -> bool:
        """Discard the bytes."""
        return False

    def connection_made(self) -> None:
        """Nobody waits for it."""

    def connection_lost(self, cause: str) -> None:
        """Nobody waits for it."""


DETACHED = DetachedHandler()


@dataclass(frozen=True, slots=True)
class ReadAhead:
    """Input of a channel that was read before its turn."""

    data: bytes
    ended: bool
    """Whether the peer has ended the connection."""
    complete: bool
    """Whether it is all that has arrived."""


class Reactor:
    """The event loop.

    `clock` returns seconds; `on_timer` is called with the time and the due time of each timer that fires.
    """

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.on_timer: Callable[[float, float], None] = lambda now, due: None
        self._epoll = select.epoll()
        self._callbacks: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._timer_sequence = itertools.count()
        self._deferred: dict[Channel, None] = {}
        self._soon_callbacks: list[Callable[[], None]] = []
        self._newly_watched: set[int] = set()
        self.running = True
        self.finishing_count = 0
        """Channels that are being finished and still use a descriptor."""

    def watch(self, fd: int, callback: Callable[[int], None], events: int = select.EPOLLIN) -> None:
        """Call `callback` with the events on a descriptor. Raises OSError if it can't be watched."""
        self._epoll.register(fd, events)
        self._callbacks[fd] = callback
        self._newly_watched.add(fd)

    def modify(self, fd: int, events: int) -> None:
        """Change the events that are watched on a descriptor."""
        self._epoll.modify(fd, events)

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor; no effect if it is not watched."""
        if self._callbacks.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def call_at(self, due_at: float, callback: Callable[[], None]) -> None:
        """Call `callback` once, at or after `due_at` (seconds of the clock)."""
        heapq.heappush(self._timers, (due_at, next(self._timer_sequence), callback))

    def call_soon(self, callback: Callable[[], None]) -> None:
        """Call `callback` once, in the next iteration."""
        self._soon_callbacks.append(callback)

    def defer(self, channel: Channel) -> None:
        """Call a channel's handler again in a later iteration."""
        self._deferred[channel] = None

    @property
    def has_deferred(self) -> bool:
        """Whether handlers have buffered input left to handle."""
        return bool(self._deferred)

    def stop(self) -> None:
        """Let `run` return after the current iteration."""
        self.running = False

    def run(self) -> None:
        """Run iterations until `stop` is called."""
        while self.running:
            self.run_once()

    def run_once(self, max_wait: float = 1.0) -> None:
        """Run one iteration: input, then deferred handlers, then timers. `max_wait`: seconds."""
        wait = min(max_wait, self._timers[0][0] - self.clock()) if self._timers else max_wait
        if self._deferred or self._soon_callbacks:
            wait = 0.0
        self._newly_watched.clear()
        ready = self._epoll.poll(max(0.0, wait), MAX_EVENTS)
        for fd, events in ready:
            callback = self._callbacks.get(fd)
            # A descriptor that was closed and reused in this iteration: the event belongs to its predecessor,
            # and a connection that is still being opened would be taken for an established one.
            if callback is not None and fd not in self._newly_watched:
                callback(events)
        callbacks, self._soon_callbacks = self._soon_callbacks, []
        for soon_callback in callbacks:
            soon_callback()
        for channel in list(itertools.islice(self._deferred, MAX_EVENTS)):
            del self._deferred[channel]
            channel.run_deferred()
        now = self.clock()
        due_by = now if len(ready) < MAX_EVENTS else now - INPUT_FIRST_SECONDS
        while self._timers and self._timers[0][0] <= due_by:
            due, _, timer_callback = heapq.heappop(self._timers)
            self.on_timer(now, due)
            timer_callback()


class Channel:
    """A non-blocking connection. The handler is notified of any end but a `close` by the owner.

    Handlers usually refer to their channel. The channel lets go of its handler once nothing more is passed
    on, so that both, with the bytes that they hold, are freed at once: the collector of reference cycles
    counts objects and not bytes, and runs too rarely for peers that connect again and again.
    """

    __slots__ = (
        "_closing",
        "_drained_bytes",
        "_reactor",
        "_sock",
        "_unsent",
        "bytes_queued",
        "bytes_sent",
        "closed",
        "handler",
        "is_connected",
    )

    def __init__(
        self, reactor: Reactor, sock: socket.socket, handler: Handler, is_connected: bool = True
    ) -> None:
        """Raises OSError if the socket can't be watched, after closing it."""
        self._reactor, self._sock, self.handler, self.is_connected = reactor, sock, handler, is_connected
        self._unsent = bytearray()
        self.bytes_queued = self.bytes_sent = 0
        """Bytes passed to `send`, and how many of them the kernel has accepted."""
        self.closed = False
        self._closing = False
        self._drained_bytes = 0
        try:
            reactor.watch(
                sock.fileno(), self._handle_events, select.EPOLLIN if is_connected else select.EPOLLOUT
            )
        except OSError:
            sock.close()
            raise

    @classmethod
    def open(cls, reactor: Reactor, address: Address, handler: Handler, connect_timeout: float) -> Channel:
        """Start to connect; the handler is notified of the result. Raises OSError if it can't be started.

        `connect_timeout`: seconds.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = sock.connect_ex(address)
            if code not in (0, errno.EINPROGRESS):
                raise OSError(code, errno.errorcode.get(code, "connect"))
        except OSError:
            sock.close()
            raise
        channel = cls(reactor, sock, handler, is_connected=False)
        reactor.call_at(reactor.clock() + connect_timeout, channel._connect_timed_out)
        return channel

    def _connect_timed_out(self) -> None:
        if not self.is_connected and not self.closed:
            self._fail("timed out")

    @property
    def unsent_bytes(self) -> int:
        """Bytes that the kernel has not accepted yet."""
        return len(self._unsent)

    def send(self, data: bytes) -> None:
        """Send bytes to the peer, now or when the kernel accepts them; ignored once the channel is
        closing."""
        if self.closed or self._closing:
            return
        self.bytes_queued += len(data)
        if self._unsent or not self.is_connected:
            self._unsent += data
            if len(self._unsent) > MAX_UNSENT_BYTES:
                self._reactor.call_soon(lambda: self._fail("full"))
            return
        sent_bytes = self._write(data)
        if sent_bytes < len(data) and not self.closed:
            self._unsent += data[sent_bytes:]
            self._reactor.modify(self._sock.fileno(), self._events())

    def _events(self) -> int:
        return select.EPOLLIN | (select.EPOLLOUT if self._unsent else 0)

    def _write(self, data: bytes | bytearray) -> int:
        try:
            sent_bytes = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            # Reported in a later iteration: the channel must not be closed under its sender.
            self._reactor.call_soon(lambda: self._fail("reset"))
            return 0
        self.bytes_sent += sent_bytes
        return sent_bytes

    def is_stale(self) -> bool:
        """Whether an idle connection has ended or has unread input."""
        if self.closed or not self.is_connected:
            return self.closed
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def read_ahead(self, max_bytes: int) -> ReadAhead:
        """Read what has arrived, at most `max_bytes`, without passing it on to the handler.

        Unread bytes hide an end: a peer that wrote a lot and left would otherwise be thought to be waiting.
        What the kernel has no room for stays with the peer's, so that looking into the kernel is not enough.
        """
        if self.closed:
            return ReadAhead(b"", ended=True, complete=True)
        parts: list[bytes] = []
        while max_bytes > 0:
            try:
                data = self._sock.recv(min(max_bytes, MAX_READ_AHEAD_BYTES))
            except BlockingIOError:
                return ReadAhead(b"".join(parts), ended=False, complete=True)
            except OSError:
                data = b""
            if not data:  # the next read sees the end again, and reports it
                return ReadAhead(b"".join(parts), ended=True, complete=True)
            parts.append(data)
            max_bytes -= len(data)
        return ReadAhead(b"".join(parts), ended=self.peer_closed(), complete=not self.is_stale())

    def peer_closed(self) -> bool:
        """Whether the connection has ended, even if unread bytes are still ahead of its end."""
        if self.closed:
            return True
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)  # errors and hang-ups are always reported
        try:
            return bool(poll.poll(0))
        except OSError:
            return False  # not supported: the end is seen after the bytes that hide it are read

    def has_unread_input(self) -> bool:
        """Whether bytes or an end are still to be read or handled: closing now would lose them."""
        if self.closed or not self.is_connected:
            return False
        return self in self._reactor._deferred or self.is_stale()

    def _handle_events(self, events: int) -> None:
        if self.closed:
            return
        if not self.is_connected:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail("refused" if code == errno.ECONNREFUSED else "timed out")
                return
            self.is_connected = True
            self.handler.connection_made()
            if self.closed:
                return
            self._send_buffered()
            return
        if events & select.EPOLLOUT and self._unsent:
            self._send_buffered()
        if not self.closed and events & ~select.EPOLLOUT and self not in self._reactor._deferred:
            self._read()

    def _send_buffered(self) -> None:
        sent_bytes = self._write(self._unsent) if self._unsent else 0
        if self.closed:
            return
        del self._unsent[:sent_bytes]
        if self._closing and not self._unsent:
            self._shut_down_writes()
        else:
            self._reactor.modify(self._sock.fileno(), self._events())

    def _read(self) -> None:
        try:
            data = self._sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._fail("reset")
            return
        if not data:
            self._fail("closed")
        elif self._closing:
            self._drained_bytes += len(data)
            if self._drained_bytes > MAX_DRAIN_BYTES:
                self.close()
        elif self.handler.data_received(data):
            self._reactor.defer(self)

    def read_rest(self) -> None:
        """Read what has arrived and have all of it handled, up to `MAX_FINAL_READS` steps, before a close."""
        for _ in range(MAX_FINAL_READS):
            if self._closing or not self.has_unread_input():
                return
            if self in self._reactor._deferred:
                del self._reactor._deferred[self]
                self.run_deferred()
            else:
                self._read()

    def run_deferred(self) -> None:
        """Call the handler again for its buffered input, as it requested."""
        if not self.closed and not self._closing and self.handler.data_received(b""):
            self._reactor.defer(self)

    def _fail(self, cause: str) -> None:
        if not self.closed:
            handler = self.handler  # detached already if the channel is being finished
            self.close()
            handler.connection_lost(cause)

    def finish(self) -> None:
        """Close after the queued bytes are sent and the peer had time to read them; input is discarded."""
        if self.closed or self._closing:
            return
        self._closing = True
        self.handler = DETACHED
        self._reactor.finishing_count += 1
        self._reactor.call_at(self._reactor.clock() + DRAIN_SECONDS, self.close)
        if not self._unsent:
            self._shut_down_writes()

    def end_writing(self) -> None:
        """Tell the peer that nothing more will be sent. Its input and its end are still passed on."""
        with contextlib.suppress(OSError):  # its end is reported by the next read
            self._sock.shutdown(socket.SHUT_WR)

    def _shut_down_writes(self) -> None:
        with contextlib.suppress(OSError):  # the peer may have closed first; the close is scheduled anyway
            self._sock.shutdown(socket.SHUT_WR)
        if not self.closed:
            self._reactor.modify(self._sock.fileno(), select.EPOLLIN)

    def close(self) -> None:
        """Close at once; the handler is not notified."""
        if not self.closed:
            self.closed = True
            self.handler = DETACHED
            self._reactor.finishing_count -= self._closing
            self._reactor.unwatch(self._sock.fileno())
            self._sock.close()
            self._unsent.clear()


class Listener:
    """A listening socket; each accepted connection is passed on as a non-blocking socket.

    When the owner is full and can't make room, or no descriptor is left, new connections stay in the backlog
    and are accepted up to `ACCEPT_RETRY_SECONDS` later, or when the owner calls `resume`.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_connection: Callable[[socket.socket], None],
        is_full: Callable[[], bool] = lambda: False,
        make_room: Callable[[bool], bool] = lambda out_of_descriptors: False,
    ) -> None:
        """`make_room` gets whether no descriptor is left, and returns whether there is room now. Raises
        OSError if the address can't be bound."""
        self._reactor, self._on_connection = reactor, on_connection
        self._is_full, self._make_room = is_full, make_room
        self.paused = self.closed = False
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.setblocking(False)
            self.sock.bind(address)
            self.sock.listen(BACKLOG)
            reactor.watch(self.sock.fileno(), self._ready)
        except OSError:
            self.sock.close()
            raise

    def _ready(self, events: int) -> None:
        for count in range(MAX_ACCEPTS):
            if not self._accept_one(known_waiting=not count):
                return

    def _accept_one(self, known_waiting: bool) -> bool:
        """Accept a connection; False: none waits, or there is no room for it.

        Only the first one of an iteration is known to wait: no connection is closed for one that may not
        exist.
        """
        if self._is_full() and not (known_waiting and self._make_room(False)):
            return self._pause(known_waiting)
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in RESOURCE_ERRORS and not (known_waiting and self._make_room(True)):
                return self._pause(known_waiting)
            return True
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # closed already: the first read shows it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._on_connection(sock)
        return True

    def _pause(self, known_waiting: bool) -> bool:
        if known_waiting and not self.paused and not self.closed:
            self.paused = True
            self._reactor.unwatch(self.sock.fileno())
            self._reactor.call_at(self._reactor.clock() + ACCEPT_RETRY_SECONDS, self.resume)
        return False

    def resume(self) -> None:
        """Accept connections again after a pause."""
        if self.paused and not self.closed:
            try:
                self._reactor.watch(self.sock.fileno(), self._ready)
            except OSError:  # no memory at the moment
                self._reactor.call_at(self._reactor.clock() + ACCEPT_RETRY_SECONDS, self.resume)
                return
            self.paused = False

    def accept_pending(self) -> bool:
        """Accept all connections in the backlog; False: there is no room for some."""
        for _ in range(BACKLOG):
            if not self._accept_one(known_waiting=True):
                break
        return not self.paused

    def close(self) -> None:
        """Stop listening; connections in the backlog are reset."""
        if not self.closed:
            self.closed = True
            self._reactor.unwatch(self.sock.fileno())
            self.sock.close()
