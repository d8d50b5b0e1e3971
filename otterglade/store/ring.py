"""A ring of small numbered records in a memory-mapped file, written without waiting for the disk.

It is for records that must be stored before the process continues and must survive a crash of the process,
but not a power loss: a mapped page belongs to the kernel and outlives the process. The file is allocated at
its full size when it is opened, so a full disk is reported then and never later. Each record overwrites the
one numbered `slots` lower; a record that a crash tears fails its checksum and counts as not written.
"""

from __future__ import annotations

import mmap
import os
import struct
from pathlib import Path

import google_crc32c

RECORD = struct.Struct("<QdI")
"""Number, Unix time in seconds, CRC32C over both."""
_CHECKSUMMED = struct.Struct("<Qd")


class Ring:
    """A ring of records, each a number and a time. Not thread-safe.

    `recovered` holds the intact records of an earlier run as (number, Unix time), sorted by number.
    """

    def __init__(self, path: Path, slots: int = 4096) -> None:
        """Open or create the file. Raises OSError if it can't be allocated at its full size."""
        self._slots = slots
        fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            os.posix_fallocate(fd, 0, slots * RECORD.size)
            self._map = mmap.mmap(fd, slots * RECORD.size)
        finally:
            os.close(fd)
        self.recovered = self._read()

    def _read(self) -> list[tuple[int, float]]:
        records = []
        for slot, (number, recorded_at, crc) in enumerate(RECORD.iter_unpack(self._map[:])):
            # Number 0 is never written: the checksum of an empty slot's zeros is valid as well.
            valid_slot = number and number % self._slots == slot
            if valid_slot and google_crc32c.value(_CHECKSUMMED.pack(number, recorded_at)) == crc:
                records.append((number, recorded_at))
        return sorted(records)

    def put(self, number: int, recorded_at: float) -> None:
        """Write a record. Numbers start at 1; `recorded_at` is Unix time in seconds."""
        data = _CHECKSUMMED.pack(number, recorded_at)
        RECORD.pack_into(
            self._map, number % self._slots * RECORD.size, number, recorded_at, google_crc32c.value(data)
        )

    def close(self) -> None:
        """Unmap the file; its records stay."""
        self._map.close()
