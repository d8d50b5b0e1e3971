"""A listening socket: new connections wait without a thread until their first request is complete."""

from __future__ import annotations

import contextlib
import errno
import os
import select
import socket
import threading
import time
from collections.abc import Callable

from .pending_connections import Address as Address
from .pending_connections import IsComplete, PendingConnection, PendingConnections
from .stream import Stream
from .threads import Failure, spawn
from .workers import Workers

Serve = Callable[[Stream, Address, bytes], None]
"""Serves a connection until it ends; the bytes are those already read from it."""
ACCEPT_BATCH = 64
"""Connections accepted before pending ones are read again."""


BACKLOG = 4096


def bind_socket(address: Address) -> socket.socket:
    """Return a bound socket that refuses connections until its listener starts. Port 0 picks a free port.

    Raises OSError. The socket doesn't listen yet because a start that contacts peers and waits for a host
    list takes seconds: the kernel would accept connections that are first read after their viewers gave up.
    """
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def _any_bytes(data: bytearray, before: int) -> bool:
    """Serve a connection as soon as it has sent any bytes."""
    return True


class Listener:
    """Accepts connections until stopped. Over the budget, the pending connection that has been silent for
    longest is sent `busy_response` and closed; if none is pending, the new connection is."""

    def __init__(
        self,
        sock: socket.socket,
        serve: Serve,
        *,
        budget: int,
        busy_response: bytes,
        on_failure: Failure,
        name: str = "door",
        is_complete: IsComplete = _any_bytes,
        timeout_response: bytes = b"",
        idle_timeout: float = 60.0,
        head_timeout: float = 5.0,
    ) -> None:
        """`budget`: open connections at most.

        A connection whose head is incomplete `head_timeout` seconds after its first byte is sent
        `timeout_response`; one silent for `idle_timeout` seconds is closed without a response.
        """
        self.socket = sock
        self.address: Address = sock.getsockname()[:2]
        self.turned_away = self.timed_out = self.max_open = 0
        """Connections closed over the budget, closed for a slow head; highest number open at once."""
        self._serve, self._budget, self._busy_response, self._timeout_response = (
            serve,
            budget,
            busy_response,
            timeout_response,
        )
        self._on_failure, self._name = on_failure, name
        self._workers = Workers(name, budget, on_failure)
        self._open: set[Stream] = set()
        self._lock = threading.Lock()
        self._stopping = self._aborting = False
        self._closed = threading.Event()
        self._epoll = select.epoll()
        self.pending = PendingConnections(self._epoll, is_complete, idle_timeout, head_timeout)
        self._wake_read, self._wake_write = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)

    @property
    def connections(self) -> int:
        """Open connections, pending ones included."""
        return len(self._open)

    @property
    def threads(self) -> int:
        """Threads that serve connections or wait for one."""
        return self._workers.threads

    @property
    def budget(self) -> int:
        """Open connections at most; may be changed at any time."""
        return self._budget

    @budget.setter
    def budget(self, max_connections: int) -> None:
        self._budget = self._workers.max_threads = max_connections

    def start(self) -> None:
        """Start to accept connections. Raises OSError if another process now listens on the address."""
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)
        spawn(f"{self._name}-accept", self._run_accept_loop, self._on_failure)

    def stop_accepting(self) -> None:
        """Close the listening socket and connections that have sent nothing; the others continue."""
        self._stopping = True
        with contextlib.suppress(OSError):  # not connected; new connections are refused from here on
            self.socket.shutdown(socket.SHUT_RDWR)
        self._wake()
        self._closed.wait(1.0)
        self.socket.close()

    def abort_all(self) -> None:
        """Close every connection; their threads read the end of input."""
        self._aborting = True
        self._wake()
        with self._lock:
            streams = list(self._open)
        for stream in streams:
            stream.abort()

    def wait_empty(self, deadline: float) -> bool:
        """Wait until no connection is open, or until the monotonic `deadline`."""
        while self._open and time.monotonic() < deadline:
            time.sleep(0.005)
        return not self._open

    def _wake(self) -> None:
        """Wake the accept thread."""
        with contextlib.suppress(OSError):  # pipe full: already awake; pipe closed: already ended
            os.write(self._wake_write, b"x")

    # On the accept thread

    def _run_accept_loop(self) -> None:
        listening, wake = self.socket.fileno(), self._wake_read
        self._epoll.register(listening, select.EPOLLIN)
        self._epoll.register(wake, select.EPOLLIN)
        try:
            while not self._is_finished(listening):
                wait = self.pending.next_expiry() - time.monotonic()
                # Rounded up: a wait that ends just before the expiry would repeat in a busy loop.
                ready = self._epoll.poll(-1 if wait > 3600 else max(0.0, wait) + 0.001)
                now = time.monotonic()
                for fd, _ in ready:
                    if fd == wake:
                        os.read(wake, 4096)
                    elif fd != listening:
                        self._receive(fd, now)
                if not self._stopping and any(fd == listening for fd, _ in ready):
                    self._accept(now)
                for connection in self.pending.remove_expired(now):
                    self.timed_out += bool(connection.data)
                    self._close(connection.stream, self._timeout_response if connection.data else b"")
        finally:
            self._closed.set()
            self._epoll.close()
            os.close(wake)
            os.close(self._wake_write)

    def _is_finished(self, listening: int) -> bool:
        """Close the pending connections that a stop ends; return whether it is complete and none is left."""
        if self._stopping and not self._closed.is_set():
            with contextlib.suppress(OSError):  # the socket was closed before this thread got here
                self._epoll.unregister(listening)
            self._closed.set()
        if self._stopping:
            for connection in self.pending.remove_all(silent_only=not self._aborting):
                self._close(connection.stream, b"")
        return self._stopping and not self.pending.count

    def _receive(self, fd: int, now: float) -> None:
        connection = self.pending.receive(fd, now)
        if connection is None:
            return
        if not connection.data:
            self._close(connection.stream, b"")  # closed without sending a byte
            return
        try:
            self._workers.submit(lambda: self._serve_connection(connection))
        except RuntimeError:  # no thread available: as over the budget
            self.turned_away += 1
            self._close(connection.stream, self._busy_response)

    def _accept(self, now: float) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                sock, peer = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if self._stopping:
                    return
                if error.errno in (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM):
                    # Out of descriptors: close a pending connection, else wait for open ones to end.
                    if not self._make_room():
                        time.sleep(0.05)
                    return
                if error.errno in (errno.ECONNABORTED, errno.EINTR, errno.EPROTO):
                    continue
                raise
            try:
                stream = Stream(sock)
            except OSError:  # reset before it was accepted
                sock.close()
                continue
            with self._lock:
                self._open.add(stream)
            if len(self._open) > self._budget and not self._make_room():
                self.turned_away += 1
                self._close(stream, self._busy_response)
                continue
            self.max_open = max(self.max_open, len(self._open))
            self.pending.add(stream, peer[:2], now)

    def _make_room(self) -> bool:
        oldest = self.pending.remove_oldest()
        if oldest is None:
            return False
        self.turned_away += 1
        self._close(oldest.stream, self._busy_response)
        return True

    def _close(self, stream: Stream, response: bytes) -> None:
        """Send `response`, if any, and close without waiting for the peer. Received bytes are read first:
        closing with unread input resets the connection and may drop the response."""
        with contextlib.suppress(OSError):
            if response:
                stream.socket.send(response, socket.MSG_DONTWAIT)
                stream.socket.shutdown(socket.SHUT_WR)
                stream.socket.recv(65536, socket.MSG_DONTWAIT)
        with self._lock:
            self._open.discard(stream)
        stream.close()

    def _serve_connection(self, connection: PendingConnection) -> None:
        stream = connection.stream
        try:
            self._serve(stream, connection.peer, bytes(connection.data))
        finally:
            with self._lock:
                self._open.discard(stream)
            stream.close()
