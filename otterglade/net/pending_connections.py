"""Connections whose first request is incomplete, watched by one thread without a thread of their own.

This guards against bursts of clients that connect and send nothing or a partial head: a thread for each would
outlast the burst, and clients with complete requests would queue behind them. Here a pending connection costs
a descriptor and a small buffer until its first head is complete, and only then gets a thread. When there are
too many, the one that has been silent for longest is closed in favour of a new one.

This module doesn't parse heads: `is_complete` decides whether the bytes so far need a thread.
"""

from __future__ import annotations

import select
import socket
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from .stream import READ_BYTES, Stream

Address = tuple[str, int]
IsComplete = Callable[[bytearray, int], bool]
"""Whether these bytes can be served, or are too many to wait for more. The second argument is the number of
leading bytes that an earlier call has checked."""


@dataclass(slots=True, eq=False)
class PendingConnection:
    """A connection with the bytes received so far."""

    stream: Stream
    peer: Address
    fd: int
    since: float
    """Monotonic time of the connect, or of the first byte once it has arrived, in seconds."""
    data: bytearray = field(default_factory=bytearray)


class PendingConnections:
    """The pending connections, oldest first. Not thread-safe, except for `count`."""

    def __init__(
        self, epoll: select.epoll, is_complete: IsComplete, idle_timeout: float, head_timeout: float
    ) -> None:
        """`idle_timeout`: seconds until the first byte; `head_timeout`: from there to the complete head."""
        self._epoll, self._is_complete = epoll, is_complete
        self.idle_timeout, self.head_timeout = idle_timeout, head_timeout
        self._by_fd: dict[int, PendingConnection] = {}
        self._silent: OrderedDict[int, PendingConnection] = OrderedDict()
        self._started: OrderedDict[int, PendingConnection] = OrderedDict()

    @property
    def count(self) -> int:
        """Number of pending connections; may be read from any thread."""
        return len(self._by_fd)

    def add(self, stream: Stream, peer: Address, now: float) -> None:
        """Watch a new connection. Raises OSError if epoll can't register it."""
        connection = PendingConnection(stream, peer, stream.socket.fileno(), now)
        self._epoll.register(connection.fd, select.EPOLLIN)
        self._by_fd[connection.fd] = self._silent[connection.fd] = connection

    def receive(self, fd: int, now: float) -> PendingConnection | None:
        """Read from a readable connection.

        Removes and returns it, with the bytes received in `data`, if its head is complete, its input ended
        or reading failed.
        """
        connection = self._by_fd.get(fd)
        if connection is None:
            return None
        before = len(connection.data)
        try:
            data = connection.stream.socket.recv(READ_BYTES, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError:
            data = b""
        connection.data += data
        if not data or self._is_complete(connection.data, before):
            return self._remove(connection)
        if not before:
            del self._silent[fd]
            self._started[fd] = connection
            connection.since = now
        return None

    def remove_oldest(self) -> PendingConnection | None:
        """Remove and return the connection silent for longest or, if none is, the oldest partial head."""
        for group in (self._silent, self._started):
            for connection in group.values():
                return self._remove(connection)
        return None

    def remove_expired(self, now: float) -> Iterable[PendingConnection]:
        """Remove and yield the connections whose timeout has passed."""
        for group, timeout in ((self._silent, self.idle_timeout), (self._started, self.head_timeout)):
            while group:
                first = next(iter(group.values()))
                if now - first.since < timeout:
                    break
                yield self._remove(first)

    def next_expiry(self) -> float:
        """Return the monotonic time of the next timeout, infinity if no connection is pending."""
        expiries = [
            next(iter(group.values())).since + timeout
            for group, timeout in ((self._silent, self.idle_timeout), (self._started, self.head_timeout))
            if group
        ]
        return min(expiries, default=float("inf"))

    def remove_all(self, silent_only: bool) -> list[PendingConnection]:
        """Remove and return all connections, or only those that have sent nothing."""
        groups = (self._silent,) if silent_only else (self._silent, self._started)
        return [self._remove(x) for group in groups for x in list(group.values())]

    def _remove(self, connection: PendingConnection) -> PendingConnection:
        self._epoll.unregister(connection.fd)
        del self._by_fd[connection.fd]
        self._silent.pop(connection.fd, None)
        self._started.pop(connection.fd, None)
        return connection
