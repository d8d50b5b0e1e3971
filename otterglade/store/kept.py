"""A snapshot that is replaced whole, and what was appended since it was taken.

For what is worth keeping over a kill of the process, not over a power cut: nothing is synced, as what the
kernel has taken survives the process. Bytes only; what they mean is not known here. Not for two threads.
"""

from __future__ import annotations

import errno
import os
from pathlib import Path


class Kept:
    """Both live in one folder. `appended` has what was found at the start."""

    def __init__(self, folder: Path, snapshot: str, log: str) -> None:
        """Raises OSError where the log can't be opened."""
        self._snapshot, self._beside = folder / snapshot, folder / f"{snapshot}.new"
        self._fd = os.open(folder / log, os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o600)
        self.appended = os.read(self._fd, 1 << 20)
        """At most a MiB: a snapshot is due long before."""
        self._size = os.fstat(self._fd).st_size

    def load(self) -> bytes | None:
        """The last snapshot; None: there is none. Raises OSError."""
        try:
            return self._snapshot.read_bytes()
        except FileNotFoundError:
            return None

    def save(self, data: bytes) -> None:
        """Replace the snapshot; what was appended before is part of it, and dropped after it is in place.

        A kill between the two leaves appended records that the snapshot has too: whoever reads them tells by
        their numbers. Raises OSError; the old snapshot is then still there, whole.
        """
        self._beside.write_bytes(data)
        self._beside.replace(self._snapshot)
        if self._size:
            os.ftruncate(self._fd, 0)
            self._size = 0

    def append(self, record: bytes) -> None:
        """Raises OSError; a part that was written is cut off again, so that the next record is readable."""
        written = 0
        try:
            written = os.write(self._fd, record)
            if written != len(record):
                raise OSError(errno.ENOSPC, f"{written} of {len(record)} bytes taken")
        except OSError:
            os.ftruncate(self._fd, self._size)
            raise
        self._size += written

    def close(self) -> None:
        os.close(self._fd)
