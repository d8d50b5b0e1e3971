"""Listening sockets of the run that can be cut off: new connections to a blocked one never come up."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable

BACKLOG = 256
FILLERS = 6
"""Connections that fill the backlog of a blocked port."""

Address = tuple[str, int]


def own_network() -> str:
    """The first two octets of loopback addresses for this process alone."""
    process_id = os.getpid()
    return f"127.{100 + process_id // 256 % 100}.{process_id % 256}"


class Port:
    """A listening socket of the run's event loop."""

    def __init__(
        self, address: Address, accept: Callable[[socket.socket], None], loop: asyncio.AbstractEventLoop
    ) -> None:
        """Raises OSError if the address can't be bound."""
        self._accept, self._loop = accept, loop
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._sock.setblocking(False)
        self._sock.bind(address)
        self._sock.listen(BACKLOG)
        self.address: Address = self._sock.getsockname()
        self._fillers: list[socket.socket] = []
        self._filler_addresses: set[Address] = set()
        self._closed = False
        loop.add_reader(self._sock, self._ready)

    def _ready(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, peer = self._sock.accept()
                if peer in self._filler_addresses:
                    sock.close()
                    continue
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                self._accept(sock)

    def block(self) -> None:
        """Let no new connection come up."""
        if self._closed or self._fillers:
            return
        self._ready()
        self._loop.remove_reader(self._sock)
        self._sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self._fillers.append(filler)
            self._filler_addresses.add(filler.getsockname())

    def unblock(self) -> None:
        """Let connections come up again."""
        if self._closed or not self._fillers:
            return
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._sock.listen(BACKLOG)
        self._loop.add_reader(self._sock, self._ready)

    def close(self) -> None:
        """Refuse connections from now on."""
        if not self._closed:
            self._closed = True
            self._loop.remove_reader(self._sock)
            self._sock.close()
            for filler in self._fillers:
                filler.close()
