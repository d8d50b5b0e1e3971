"""A ring of small numbered records in a mapped file: no write to it waits for a disk.

For what must be down before the process goes on, and has to outlive a kill of the process but not a power
cut: what stands in a mapped page is the kernel's, whatever becomes of the process. The file has its whole
size from the start, so a full disk is met when it is opened and never afterwards. A record replaces the one
that many numbers before it; one that a kill cut short fails its checksum and counts as not written.
"""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

import google_crc32c

RECORD = struct.Struct("<QdI")
"""Number, Unix time in seconds, CRC32C over both."""
_SUMMED = struct.Struct("<Qd")


class Ring:
    """`found` has what an earlier run wrote, by number. Not for two threads."""

    def __init__(self, path: Path, slots: int = 4096) -> None:
        """Raises OSError where the file can't be had at its whole size."""
        self._slots = slots
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, slots * RECORD.size)
            self._map = mmap.mmap(fd, slots * RECORD.size)
        finally:
            os.close(fd)
        self.found = self._read()

    def _read(self) -> list[tuple[int, float]]:
        found = []
        for slot, (number, at, crc) in enumerate(RECORD.iter_unpack(self._map[:])):
            # Number 0 is never written: a slot that is still empty sums up to zero as well.
            whole = number and number % self._slots == slot
            if whole and google_crc32c.value(_SUMMED.pack(number, at)) == crc:
                found.append((number, at))
        return sorted(found)

    def put(self, number: int, at: float) -> None:
        """Write a record, numbered from 1 on."""
        data = _SUMMED.pack(number, at)
        RECORD.pack_into(self._map, number % self._slots * RECORD.size, number, at, google_crc32c.value(data))

    def close(self) -> None:
        self._map.close()
