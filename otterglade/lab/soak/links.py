"""A connection that speaks RTSP, for hosts and viewers: in pieces, held back, or reset on demand."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import struct
import time
from collections import deque
from typing import Protocol

from ...wire import rtsp

PIECE_PAUSE_SECONDS = (0.002, 0.03)
"""Range of the pauses between two pieces of a message."""
MOST_PIECES = 4


class LinkOwner(Protocol):
    """Receives what happens on a connection."""

    def message_received(self, link: Link, message: rtsp.Message, begun_at: float) -> None:
        """A whole message arrived; its first byte at `begun_at`."""

    def unreadable(self, link: Link) -> None:
        """Bytes arrived that are no RTSP."""

    def link_ended(self, link: Link) -> None:
        """The connection ended, from either side."""


class Link(asyncio.Protocol):
    """One connection."""

    def __init__(self, owner: LinkOwner, chance: random.Random, pieces: bool) -> None:
        """`pieces`: whether messages are written in pieces."""
        self.owner, self._chance, self._pieces = owner, chance, pieces
        self.gateway = 0
        self.ended = False
        self.used_at = time.time()
        self.is_of_no_use = False
        """Whether nothing arrives on it any more, in either direction, though it stays open."""
        self._held: list[bytes] | None = None
        self._reader = rtsp.Reader()
        self._begun_at = 0.0
        self._broken = False
        self._transport: asyncio.Transport | None = None
        self._queue: deque[tuple[bytes, asyncio.Future[None]]] = deque()
        self._writer: asyncio.Task[None] | None = None

    # From the connection

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def data_received(self, data: bytes) -> None:
        """Pass on whole messages."""
        now = self.used_at = time.time()
        if self._broken or self.is_of_no_use:
            return
        if not self._reader.buffered_bytes:
            self._begun_at = now
        self._reader.feed(data)
        try:
            while (message := self._reader.next_message()) is not None:
                begun_at, self._begun_at = self._begun_at, now
                self.owner.message_received(self, message, begun_at)
        except rtsp.RtspError:
            self._broken = True
            self.owner.unreadable(self)

    def eof_received(self) -> bool:
        """The other side ended the connection."""
        self._end()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection is gone."""
        self._end()

    def _end(self) -> None:
        if not self.ended:
            self.ended = True
            self.owner.link_ended(self)

    # To the connection

    async def write(self, data: bytes, pause: float = 0.0) -> bool:
        """Write a message, whole or in pieces; returns whether all of it was written.

        `pause`: seconds between the pieces of a slow writer; 0: drawn.
        """
        if not self._pieces and not pause and not self._queue:
            return self._write_now(data)
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queue.append((data, done))
        if len(self._queue) > 1:
            await done
        try:
            for index, part in enumerate(self._cut(data)):
                if index:
                    await asyncio.sleep(pause or self._chance.uniform(*PIECE_PAUSE_SECONDS))
                if not self._write_now(part):
                    return False
            return True
        finally:
            self._queue.popleft()
            if self._queue and not self._queue[0][1].done():
                self._queue[0][1].set_result(None)

    def _cut(self, data: bytes) -> list[bytes]:
        count = self._chance.randint(0, MOST_PIECES - 1)
        cuts = sorted({0, len(data), *(self._chance.randrange(len(data)) for _ in range(count))})
        return [data[start:end] for start, end in itertools.pairwise(cuts)]

    def _write_now(self, data: bytes) -> bool:
        if self.ended or self._transport is None or self._transport.is_closing():
            return False
        self.used_at = time.time()
        if self._held is not None:
            self._held.append(data)
        elif not self.is_of_no_use:
            self._transport.write(data)
        return True

    def hold(self) -> None:
        """Keep what is written from the other side until `let_go`."""
        if self._held is None:
            self._held = []

    def let_go(self) -> None:
        """Send what was held."""
        held, self._held = self._held, None
        for data in held or ():
            self._write_now(data)

    @property
    def is_held(self) -> bool:
        """Whether nothing gets through to the other side."""
        return self._held is not None

    def close(self) -> None:
        """Close after what was written."""
        if self._transport is not None:
            self._transport.close()

    def reset(self) -> None:
        """End the connection with a reset."""
        if self._transport is not None and not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._transport.abort()
