"""Blocking sockets whose timeouts are enforced by the kernel.

`SO_RCVTIMEO` costs one system call when the timeout changes and none per read, whereas Python's own timeouts
poll before every call.
"""

from __future__ import annotations

import contextlib
import errno
import math
import socket
import struct
import time

READ_BYTES = 16384
"""Largest single read; it bounds what a peer can make a reader buffer beyond its parser's limits."""


class TimedOutError(OSError):
    """A read or write exceeded its timeout."""


class Stream:
    """A connected socket, used by one thread; `abort` may be called from any thread."""

    __slots__ = ("_receive_timeout", "_send_timeout", "socket")

    def __init__(self, sock: socket.socket) -> None:
        self.socket = sock
        self._receive_timeout = self._send_timeout = -1.0
        sock.settimeout(None)
        if sock.family != socket.AF_UNIX:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _set_timeout(self, option: int, seconds: float) -> None:
        whole_seconds = math.floor(seconds)
        microseconds = int((seconds - whole_seconds) * 1e6)
        if not whole_seconds and not microseconds:
            microseconds = 1  # zero would mean no timeout
        self.socket.setsockopt(socket.SOL_SOCKET, option, struct.pack("ll", whole_seconds, microseconds))

    def receive(self, timeout: float, max_bytes: int = READ_BYTES) -> bytes:
        """Return received bytes, b"" at the end. Raises TimedOutError after `timeout` seconds, OSError."""
        if timeout != self._receive_timeout:
            self._set_timeout(socket.SO_RCVTIMEO, timeout)
            self._receive_timeout = timeout
        try:
            return self.socket.recv(max_bytes)
        except BlockingIOError as error:
            raise TimedOutError(errno.ETIMEDOUT, "no bytes received in time") from error

    def set_send_timeout(self, timeout: float) -> None:
        """Make each send raise BlockingIOError after `timeout` seconds."""
        if timeout != self._send_timeout:
            self._set_timeout(socket.SO_SNDTIMEO, timeout)
            self._send_timeout = timeout

    def send(self, data: bytes, timeout: float) -> None:
        """Send all of `data`. Raises TimedOutError if the peer reads too slowly, OSError.

        The timeout covers the whole send: a peer that reads one byte a second does not extend it.
        """
        self.set_send_timeout(timeout)
        try:
            sent = self.socket.send(data)
            if sent == len(data):
                return
            deadline = time.monotonic() + timeout
            view = memoryview(data)
            while sent < len(data):
                if time.monotonic() >= deadline:
                    raise TimedOutError(errno.ETIMEDOUT, "peer does not read")
                sent += self.socket.send(view[sent:])
        except BlockingIOError as error:
            raise TimedOutError(errno.ETIMEDOUT, "peer does not read") from error

    def closed_by_peer(self) -> bool:
        """Return whether the peer has closed or reset the connection; unread bytes stay in the buffer."""
        try:
            return self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def has_bytes(self) -> bool:
        """Return whether bytes are waiting to be read."""
        try:
            return self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except OSError:
            return False

    def abort(self) -> None:
        """Shut the connection down, which wakes a thread blocked in a read or write."""
        with contextlib.suppress(OSError):  # already closed
            self.socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the socket and free its descriptor."""
        self.socket.close()
