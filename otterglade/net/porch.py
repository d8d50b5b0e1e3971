"""Connections that have not asked for anything yet: watched by one thread, without a thread of their own.

The danger is a burst of clients that connect and say nothing, or half of something: a thread for each costs
more than the burst lasts, and whoever comes meanwhile with a real request waits behind them. Here a newcomer
costs a descriptor and a small buffer until its first head is whole. Only then is a thread asked for. Where
there are too many, the one that has been silent for the longest is closed for the one that comes.

Nothing here decides what a head means: `whole` says whether the bytes so far are worth a thread.
"""

from __future__ import annotations

import select
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .stream import PIECE, Stream

Address = tuple[str, int]
Whole = Callable[[bytearray, int], bool]
"""Whether these bytes are enough to be served, or too many to wait any longer; the second argument says how
many of them were looked at before."""


@dataclass(slots=True, eq=False)
class Newcomer:
    """A connection with what it has said so far."""

    stream: Stream
    peer: Address
    fd: int
    since: float
    """When it connected; from its first byte on, when that came. Monotonic seconds."""
    data: bytearray = field(default_factory=bytearray)


class Porch:
    """The newcomers, oldest first. One thread only, but for `count`."""

    def __init__(self, epoll: select.epoll, whole: Whole, idle: float, head: float) -> None:
        """`idle`: seconds for the first byte; `head`: from there until the head is whole."""
        self._epoll, self._whole = epoll, whole
        self.idle, self.head = idle, head
        self._by_fd: dict[int, Newcomer] = {}
        self._silent: OrderedDict[int, Newcomer] = OrderedDict()
        self._started: OrderedDict[int, Newcomer] = OrderedDict()

    @property
    def count(self) -> int:
        return len(self._by_fd)

    def add(self, stream: Stream, peer: Address, now: float) -> None:
        """A connection has come. Raises OSError where it can't be watched."""
        newcomer = Newcomer(stream, peer, stream.socket.fileno(), now)
        self._epoll.register(newcomer.fd, select.EPOLLIN)
        self._by_fd[newcomer.fd] = self._silent[newcomer.fd] = newcomer

    def heard(self, fd: int, now: float) -> Newcomer | None:
        """Read what a newcomer says; it is given out, and no longer here, once it is to be served or has
        ended: at the end of its input, and where reading fails, with what it had said."""
        newcomer = self._by_fd.get(fd)
        if newcomer is None:
            return None
        before = len(newcomer.data)
        try:
            data = newcomer.stream.socket.recv(PIECE, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            data = b""
        newcomer.data += data
        if not data or self._whole(newcomer.data, before):
            return self._leave(newcomer)
        if not before:
            del self._silent[fd]
            self._started[fd] = newcomer
            newcomer.since = now
        return None

    def oldest(self) -> Newcomer | None:
        """The one to make room: silent for longest, else the slowest head; it is no longer here."""
        for kind in (self._silent, self._started):
            for newcomer in kind.values():
                return self._leave(newcomer)
        return None

    def late(self, now: float) -> Iterable[Newcomer]:
        """Those whose time is up; they are no longer here."""
        for kind, limit in ((self._silent, self.idle), (self._started, self.head)):
            while kind:
                first = next(iter(kind.values()))
                if now - first.since < limit:
                    break
                yield self._leave(first)

    def next_late(self) -> float:
        """The monotonic time at which the next one's time is up; infinity: there is none."""
        firsts = [
            next(iter(kind.values())).since + limit
            for kind, limit in ((self._silent, self.idle), (self._started, self.head))
            if kind
        ]
        return min(firsts, default=float("inf"))

    def leave_all(self, silent_only: bool) -> list[Newcomer]:
        """All of them, or all that have said nothing; they are no longer here."""
        kinds = (self._silent,) if silent_only else (self._silent, self._started)
        return [self._leave(x) for kind in kinds for x in list(kind.values())]

    def _leave(self, newcomer: Newcomer) -> Newcomer:
        self._epoll.unregister(newcomer.fd)
        del self._by_fd[newcomer.fd]
        self._silent.pop(newcomer.fd, None)
        self._started.pop(newcomer.fd, None)
        return newcomer
