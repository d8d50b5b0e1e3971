"""How many bytes the viewers' connections of a gateway may hold together. No I/O, no clock.

Each connection has limits of its own, but hundreds of them at their limits exceed the memory of the process.
What counts is held in the process: input that is not handled yet, output that is not sent yet, and the
descriptions of set-ups without an answer.
"""

from __future__ import annotations

BUFFER_SHARE = 0.25
"""Share of the process's memory limit that buffers may take; the rest is for code, tables and the heap."""
MIN_CONNECTION_BYTES = 1 << 15
"""Bytes of input that each connection may hold: a message of 16 KiB, and a read."""
MAX_CONNECTION_BYTES = 1 << 18
"""Bytes of input that a connection may hold while there is room: some 800 set-ups."""
CONNECTION_SHARE = 0.25
"""Share of the free bytes that one connection may take."""
DESCRIPTION_COPIES = 2
"""Copies of a set-up's description: of the session, and in the message to its media host."""
FREE_FACTOR = 16
"""A description is accepted while so many times its bytes are free: large ones are refused first."""


class BufferBudget:
    """The bytes that all connections hold; `memory_bytes`: the memory limit of the process."""

    def __init__(self, memory_bytes: int) -> None:
        self._limit = int(BUFFER_SHARE * memory_bytes)
        self.held_bytes = 0

    def change(self, by: int) -> None:
        """Connections hold so many bytes more, or less if negative."""
        self.held_bytes += by

    @property
    def excess_bytes(self) -> int:
        """Bytes held over the limit; 0: none."""
        return max(0, self.held_bytes - self._limit)

    def max_input(self, held_bytes: int) -> int:
        """Bytes of input that a connection may hold which holds `held_bytes` now."""
        free_bytes = max(0, self._limit - self.held_bytes)
        allowed = held_bytes + int(CONNECTION_SHARE * free_bytes)
        return max(MIN_CONNECTION_BYTES, min(MAX_CONNECTION_BYTES, allowed))

    def admits(self, description: bytes) -> bool:
        """Whether a set-up with this description may wait for its answer."""
        wanted = FREE_FACTOR * DESCRIPTION_COPIES * len(description)
        return self.held_bytes + wanted <= self._limit
