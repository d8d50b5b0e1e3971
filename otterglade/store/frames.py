"""Framing of log records: a marker, the length, a CRC32C over length and record, then the record."""

from __future__ import annotations

import struct
from dataclasses import dataclass

import google_crc32c

FRAME_MARKER = b"\xa7\x5c"
FRAME_HEADER = struct.Struct("<2sII")
"""Marker, length of the record in bytes, CRC32C."""
MAX_RECORD_BYTES = 1 << 20
FILE_HEADER = struct.Struct("<8sQQI")
"""Magic, file number, valid bytes of the previous segment, CRC32C over the three."""
LOG_MAGIC, SNAP_MAGIC = b"OTGLOG\x00\x01", b"OTGSNP\x00\x01"


class FrameError(ValueError):
    """The file has a foreign, damaged or misplaced header, or one of another version."""


@dataclass(frozen=True, slots=True)
class ScanResult:
    """The records and any damage found in a file."""

    records: tuple[bytes, ...]
    valid_bytes: int
    """Bytes up to the end of the last intact record before any damage."""
    size: int
    """Bytes of the whole file."""
    previous: int
    """Valid bytes of the previous segment, from this file's header; anything after them is not a record."""
    intact_after_damage: int | None
    """Offset of an intact record after the damage, in which case the damage is not a torn tail."""

    @property
    def whole(self) -> bool:
        """Whether the file has no damage."""
        return self.valid_bytes == self.size


def frame(record: bytes) -> bytes:
    """Return a record as it is stored. Raises ValueError if it has more than MAX_RECORD_BYTES."""
    if len(record) > MAX_RECORD_BYTES:
        raise ValueError(f"record of {len(record)} bytes; at most {MAX_RECORD_BYTES}")
    length = struct.pack("<I", len(record))
    return FRAME_HEADER.pack(FRAME_MARKER, len(record), google_crc32c.value(length + record)) + record


def file_header(magic: bytes, number: int, previous: int = 0) -> bytes:
    """Return the first bytes of a file. They contain its number, so that a renamed file is detected."""
    start = magic + struct.pack("<QQ", number, previous)
    return FILE_HEADER.pack(magic, number, previous, google_crc32c.value(start))


def _record_at(data: bytes, offset: int) -> bytes | None:
    if len(data) - offset < FRAME_HEADER.size:
        return None
    marker, length, crc = FRAME_HEADER.unpack_from(data, offset)
    if marker != FRAME_MARKER or length > MAX_RECORD_BYTES or len(data) - offset - FRAME_HEADER.size < length:
        return None
    record = data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + length]
    return record if google_crc32c.value(struct.pack("<I", length) + record) == crc else None


def scan(data: bytes, magic: bytes, number: int) -> ScanResult:
    """Read a file's records up to the first damage, then search for an intact record after it.

    Raises FrameError if the header is complete but invalid; an incomplete header is a torn tail at offset 0.
    """
    if len(data) < FILE_HEADER.size:
        return ScanResult((), 0, len(data), 0, None)
    previous = FILE_HEADER.unpack_from(data)[2]
    if data[: FILE_HEADER.size] != file_header(magic, number, previous):
        raise FrameError("invalid file header: foreign, renamed, damaged, or of another version")
    records = []
    offset = FILE_HEADER.size
    while offset < len(data):
        record = _record_at(data, offset)
        if record is None:
            break
        records.append(record)
        offset += FRAME_HEADER.size + len(record)
    intact_after_damage = None
    if offset < len(data):
        candidate = data.find(FRAME_MARKER, offset + 1)
        while candidate >= 0 and intact_after_damage is None:
            if _record_at(data, candidate) is not None:
                intact_after_damage = candidate
            candidate = data.find(FRAME_MARKER, candidate + 1)
    return ScanResult(tuple(records), offset, len(data), previous, intact_after_damage)
