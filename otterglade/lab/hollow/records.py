"""What hollow gateways record: each revision that they act upon, and the bytes of their exchanges.

Kept in memory in a compact binary form, bounded, and written once at the end.
"""

from __future__ import annotations

import struct
import threading
from array import array
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import msgspec

from ...core.distribution.revision import RevisionId

ROOT_BYTES = 8
"""Bytes of a digest that a record keeps."""
_ENTRY = struct.Struct(f"<IIQ{ROOT_BYTES}sd")
MOST_ENTRIES = 1_000_000
"""Revisions that one process records at most; more are counted as lost."""


class RecordsError(RuntimeError):
    """Records that are damaged, or that were cut for want of room."""


class Applied(NamedTuple):
    """A gateway acts upon a revision from a time on."""

    gateway: int
    revision: RevisionId
    root: bytes
    """The first ROOT_BYTES of the digest of its mapping."""
    at: float
    """Seconds of the machine's monotonic clock."""


class AppliedLog:
    """The revisions that the gateways of one process act upon, in the order in which they did."""

    def __init__(self, most: int = MOST_ENTRIES) -> None:
        self.lost = 0
        self._most = most
        self._entries = bytearray()
        self._lock = threading.Lock()

    def add(self, entry: Applied) -> None:
        """Record one; counted in `lost` where there is no room."""
        number = entry.revision
        packed = _ENTRY.pack(entry.gateway, number.term, number.number, entry.root[:ROOT_BYTES], entry.at)
        with self._lock:
            if len(self._entries) >= self._most * _ENTRY.size:
                self.lost += 1
                return
            self._entries += packed

    def write(self, path: Path) -> None:
        """Write all to a file. Raises OSError."""
        with self._lock:
            path.write_bytes(self._entries)


def read_applied(path: Path) -> Iterator[Applied]:
    """What `AppliedLog.write` has written. Raises RecordsError, OSError."""
    data = path.read_bytes()
    if len(data) % _ENTRY.size:
        raise RecordsError(f"{path}: {len(data)} bytes are not a whole number of entries")
    for gateway, term, number, root, at in _ENTRY.iter_unpack(data):
        yield Applied(gateway, RevisionId(term, number), root, at)


class Traffic:
    """Bytes of one gateway's exchanges, in both directions, for each second since a given time."""

    __slots__ = ("_began", "_seconds")

    def __init__(self, began: float) -> None:
        self._began = began
        self._seconds = array("L")

    def add(self, now: float, size: int) -> None:
        """Count bytes that were exchanged just now."""
        second = max(0, int(now - self._began))
        missing = second + 1 - len(self._seconds)
        if missing > 0:
            self._seconds.extend([0] * missing)
        self._seconds[second] += size

    def seconds(self) -> list[int]:
        """Bytes of each second."""
        return self._seconds.tolist()


class TrafficRecord(msgspec.Struct, frozen=True):
    """Bytes of each gateway of a process, a list for each: one entry a second."""

    began: float
    gateways: dict[int, list[int]]


class ProcessSummary(msgspec.Struct, frozen=True):
    """What a process of hollow gateways says at its end."""

    lost: int
    """Records for which there was no room."""
    failures: list[str]
    """Threads that ended with an exception."""


class Progress(msgspec.Struct, frozen=True):
    """What a process of hollow gateways says each second."""

    started: int
    """Gateways started so far."""
    holding: int
    """Of them, those that act upon any revision."""
    lowest: RevisionId
    """The oldest revision that any of its started gateways acts upon."""
