"""One thread that watches many sockets: epoll, non-blocking channels, timers, and a quota for each turn.

Nothing here parses: a channel hands bytes to its handler, a slice at a time. A turn reads at most `SLICE`
bytes of a channel, and a handler that has more to work on than its own quota asks to be called again, after
everyone else has had a turn: so no peer at full speed delays the others. What has come in is heard before
timers that are due, as an answer that waits in the kernel has come in time.
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
from typing import Protocol

SLICE = 16384
"""Bytes read of a channel in one turn."""
ACCEPTS = 64
"""Newcomers accepted in one turn."""
EVENTS = 16
"""Events handled in one turn, and channels that asked to be called again: with hundreds at full speed a turn
stays short, and timers and, as epoll goes round, other sockets come in between."""
HEARD_FIRST = 0.05
"""Seconds for which a timer that is due waits until everything that has come in is heard."""
PEEK = 4096
"""Bytes looked for first; only where so many wait are more looked at."""
BACKLOG = 1024
"""Newcomers that the kernel holds until they are accepted. Silent ones are closed no faster than places free
up, about 1,500 a second with 256 descriptors: with 4,096 ahead of it a request waits past its time. Who is
not let in tries again a second later, and its request has not begun."""
PAUSE = 0.05
"""Seconds for which newcomers stay in the kernel where there is no room or no descriptor: the socket stays
ready all the while, and a loop that watched it would spin."""
NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
"""What `accept` raises where the newcomer stays in the kernel; with any other error it has gone."""
OUT_MOST = 1 << 18
"""Bytes that wait for a peer that does not read, before its channel is closed."""
DRAIN_MOST, DRAIN_FOR = 1 << 20, 0.5
"""Bytes and seconds for which a peer that was told an error is still read: a close with unread bytes resets
the connection, and the error could be lost on its way."""

Address = tuple[str, int]


class Handler(Protocol):
    """What a channel calls. A handler's failure is the program's: it is not caught here."""

    def heard(self, data: bytes) -> bool:
        """Bytes came, or with none of them the turn asked for has come. True: call again, more waits."""

    def connected(self) -> None:
        """A channel that was opened from here is up."""

    def ended(self, cause: str) -> None:
        """The channel is closed, not by its owner: "closed", "reset", "refused", "timed out", "full"."""


class Reactor:
    """The loop. `clock` gives seconds; `rang` is told when a timer rings late."""

    def __init__(self, clock: Callable[[], float] = time.time) -> None:
        self.clock = clock
        self.rang: Callable[[float, float], None] = lambda now, due: None
        self._epoll = select.epoll()
        self._watched: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._waiting: dict[Channel, None] = {}
        self._soon: list[Callable[[], None]] = []
        self._fresh: set[int] = set()
        self.running = True
        self.finishing = 0
        """Channels that were told to finish and still hold a descriptor."""

    def watch(self, fd: int, call: Callable[[int], None], events: int = select.EPOLLIN) -> None:
        """Have `call` told of events on a descriptor. Raises OSError where it can't be watched."""
        self._epoll.register(fd, events)
        self._watched[fd] = call
        self._fresh.add(fd)

    def change(self, fd: int, events: int) -> None:
        self._epoll.modify(fd, events)

    def forget(self, fd: int) -> None:
        if self._watched.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    def at(self, when: float, call: Callable[[], None]) -> None:
        """Have `call` made once, at or after a time."""
        heapq.heappush(self._timers, (when, next(self._order), call))

    def soon(self, call: Callable[[], None]) -> None:
        """Have `call` made once, in the next turn."""
        self._soon.append(call)

    def again(self, channel: Channel) -> None:
        """Call a channel's handler in the next turn."""
        self._waiting[channel] = None

    @property
    def behind(self) -> bool:
        """Whether what was read waits for a turn to be looked at."""
        return bool(self._waiting)

    def stop(self) -> None:
        self.running = False

    def run(self) -> None:
        """Serve until `stop`."""
        while self.running:
            self.turn()

    def turn(self, longest: float = 1.0) -> None:
        """One turn: what came in, then those who asked to be called again, then timers."""
        wait = min(longest, self._timers[0][0] - self.clock()) if self._timers else longest
        if self._waiting or self._soon:
            wait = 0.0
        self._fresh.clear()
        ready = self._epoll.poll(max(0.0, wait), EVENTS)
        for fd, events in ready:
            call = self._watched.get(fd)
            # A number that was closed and given out again in this turn: the event was its predecessor's, and
            # a connection that is only being opened would be taken for one that is up.
            if call is not None and fd not in self._fresh:
                call(events)
        soon, self._soon = self._soon, []
        for call_soon in soon:
            call_soon()
        for channel in list(itertools.islice(self._waiting, EVENTS)):
            del self._waiting[channel]
            channel.more()
        now = self.clock()
        due_by = now if len(ready) < EVENTS else now - HEARD_FIRST
        while self._timers and self._timers[0][0] <= due_by:
            due, _, call_timer = heapq.heappop(self._timers)
            self.rang(now, due)
            call_timer()


class Channel:
    """A non-blocking connection. `close` by its owner is silent; of any other end the handler is told."""

    __slots__ = (
        "_closing",
        "_drained",
        "_out",
        "_reactor",
        "_sock",
        "closed",
        "handler",
        "queued",
        "taken",
        "up",
    )

    def __init__(self, reactor: Reactor, sock: socket.socket, handler: Handler, up: bool = True) -> None:
        """Raises OSError where the socket can't be watched; it is closed then."""
        self._reactor, self._sock, self.handler, self.up = reactor, sock, handler, up
        self._out = bytearray()
        self.queued = self.taken = 0
        """Bytes given to this channel, and of these what the kernel has taken."""
        self.closed = False
        self._closing = False
        self._drained = 0
        try:
            reactor.watch(sock.fileno(), self._event, select.EPOLLIN if up else select.EPOLLOUT)
        except OSError:
            sock.close()
            raise

    @classmethod
    def open(cls, reactor: Reactor, address: Address, handler: Handler, time_out: float) -> Channel:
        """Begin to connect; `connected` or `ended` is told later. Raises OSError where it can't begin."""
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
        channel = cls(reactor, sock, handler, up=False)
        reactor.at(reactor.clock() + time_out, channel._late)
        return channel

    def _late(self) -> None:
        if not self.up and not self.closed:
            self._fail("timed out")

    @property
    def unsent(self) -> int:
        return len(self._out)

    def send(self, data: bytes) -> None:
        """Give bytes to the peer, now or when it takes them; nothing once the channel is closing."""
        if self.closed or self._closing:
            return
        self.queued += len(data)
        if self._out or not self.up:
            self._out += data
            if len(self._out) > OUT_MOST:
                self._reactor.soon(lambda: self._fail("full"))
            return
        sent = self._write(data)
        if sent < len(data) and not self.closed:
            self._out += data[sent:]
            self._reactor.change(self._sock.fileno(), self._events())

    def _events(self) -> int:
        return select.EPOLLIN | (select.EPOLLOUT if self._out else 0)

    def _write(self, data: bytes | bytearray) -> int:
        try:
            sent = self._sock.send(data)
        except BlockingIOError:
            return 0
        except OSError:
            # Told in a turn of its own: who is sending must not find itself closed in the middle of it.
            self._reactor.soon(lambda: self._fail("reset"))
            return 0
        self.taken += sent
        return sent

    def stale(self) -> bool:
        """Whether an idle connection has ended or brings what nobody has read yet."""
        if self.closed or not self.up:
            return self.closed
        try:
            self._sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def ahead(self, most: int) -> tuple[bytes, bool]:
        """Bytes that the kernel holds unread, at most so many, and whether the peer has ended; takes nothing.

        Unread bytes hide an end: the danger is a peer that wrote much, left, and is thought to wait still.
        """
        if self.closed:
            return b"", True
        try:
            data = self._sock.recv(PEEK, socket.MSG_PEEK)
            if len(data) == PEEK < most:
                data = self._sock.recv(most, socket.MSG_PEEK)
        except BlockingIOError:
            return b"", False
        except OSError:
            return b"", True
        return data, not data or self._hung_up()

    def _hung_up(self) -> bool:
        poll = select.poll()
        poll.register(self._sock, select.POLLRDHUP)  # errors and hang-ups are told unasked
        try:
            return bool(poll.poll(0))
        except OSError:
            return False  # not to be had here: the end is seen once what hides it is read

    def unread(self) -> bool:
        """Whether bytes or an end wait to be read or looked at: a close from here would lose them."""
        if self.closed or not self.up:
            return False
        return self in self._reactor._waiting or self.stale()

    def _event(self, events: int) -> None:
        if self.closed:
            return
        if not self.up:
            code = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail("refused" if code == errno.ECONNREFUSED else "timed out")
                return
            self.up = True
            self.handler.connected()
            if self.closed:
                return
            self._flush()
            return
        if events & select.EPOLLOUT and self._out:
            self._flush()
        if not self.closed and events & ~select.EPOLLOUT and self not in self._reactor._waiting:
            self._read()

    def _flush(self) -> None:
        sent = self._write(self._out) if self._out else 0
        if self.closed:
            return
        del self._out[:sent]
        if self._closing and not self._out:
            self._shut()
        else:
            self._reactor.change(self._sock.fileno(), self._events())

    def _read(self) -> None:
        try:
            data = self._sock.recv(SLICE)
        except BlockingIOError:
            return
        except OSError:
            self._fail("reset")
            return
        if not data:
            self._fail("closed")
        elif self._closing:
            self._drained += len(data)
            if self._drained > DRAIN_MOST:
                self.close()
        elif self.handler.heard(data):
            self._reactor.again(self)

    def more(self) -> None:
        """The turn that was asked for."""
        if not self.closed and not self._closing and self.handler.heard(b""):
            self._reactor.again(self)

    def _fail(self, cause: str) -> None:
        if not self.closed:
            quiet = self._closing
            self.close()
            if not quiet:
                self.handler.ended(cause)

    def finish(self) -> None:
        """Close once what was sent is taken and the peer has had time to read it; nothing more is heard."""
        if self.closed or self._closing:
            return
        self._closing = True
        self._reactor.finishing += 1
        self._reactor.at(self._reactor.clock() + DRAIN_FOR, self.close)
        if not self._out:
            self._shut()

    def _shut(self) -> None:
        with contextlib.suppress(OSError):  # the peer may have gone first; the close is due all the same
            self._sock.shutdown(socket.SHUT_WR)
        if not self.closed:
            self._reactor.change(self._sock.fileno(), select.EPOLLIN)

    def close(self) -> None:
        """Close at once; the handler is not told."""
        if not self.closed:
            self.closed = True
            self._reactor.finishing -= self._closing
            self._reactor.forget(self._sock.fileno())
            self._sock.close()
            self._out.clear()


class Listener:
    """A listening socket; each newcomer is handed on as a non-blocking socket.

    Where the owner is full and can't make room, or no descriptor is left, newcomers stay in the kernel and
    are taken up to `PAUSE` later, or when the owner says that there is room: they wait, and aren't lost.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        newcomer: Callable[[socket.socket], None],
        full: Callable[[], bool] = lambda: False,
        make_room: Callable[[bool], bool] = lambda short: False,
    ) -> None:
        """`make_room` is told whether descriptors are at their end. Raises OSError where the address can't
        be had."""
        self._reactor, self._newcomer = reactor, newcomer
        self._full, self._make_room = full, make_room
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
        for count in range(ACCEPTS):
            if not self._take(first=not count):
                return

    def _take(self, first: bool) -> bool:
        """Hand on a newcomer; False: none waits, or there is no room for it.

        Only the first of a turn is known to wait: no connection is closed for one that may not be there.
        """
        if self._full() and not (first and self._make_room(False)):
            return self._no_room(first)
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno in NO_DESCRIPTOR and not (first and self._make_room(True)):
                return self._no_room(first)
            return True
        sock.setblocking(False)
        with contextlib.suppress(OSError):  # gone already: the first read tells it
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._newcomer(sock)
        return True

    def _no_room(self, first: bool) -> bool:
        if first and not self.paused and not self.closed:
            self.paused = True
            self._reactor.forget(self.sock.fileno())
            self._reactor.at(self._reactor.clock() + PAUSE, self.resume)
        return False

    def resume(self) -> None:
        """Take newcomers again, if they had to wait."""
        if self.paused and not self.closed:
            try:
                self._reactor.watch(self.sock.fileno(), self._ready)
            except OSError:  # no memory for it now
                self._reactor.at(self._reactor.clock() + PAUSE, self.resume)
                return
            self.paused = False

    def take_rest(self) -> bool:
        """Hand on all that the kernel holds; False: there is no room for some."""
        for _ in range(BACKLOG):
            if not self._take(first=True):
                break
        return not self.paused

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self._reactor.forget(self.sock.fileno())
            self.sock.close()
