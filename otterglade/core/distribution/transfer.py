"""Deltas and snapshots as bytes, and their transfer in parts: bounded, resumable and checked by digest."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from .items import DigestError, check_changes, content_digest
from .messages import PART_BYTES, MessageError, PartAnswer, PartRequest, Transfer
from .revision import DIGEST_BYTES, Delta, RevisionError, RevisionId, Snapshot

MOST_TRANSFER_BYTES = 32 * 1024 * 1024
"""Bytes of one transfer, compressed."""
MOST_CONTENT_BYTES = 64 * 1024 * 1024
"""Bytes of a delta or snapshot, decompressed."""
MOST_STORED_BYTES = 64 * 1024 * 1024
"""Bytes of all transfers that a server keeps."""
KEEP_SECONDS = 120.0
"""For which a transfer is kept after the last part that was asked for."""
_LEVEL = 6
"""Of compression."""

Content = TypeVar("Content", Delta, Snapshot)


class TransferError(ValueError):
    """A transfer that is larger than allowed."""


def digest(data: bytes) -> bytes:
    """Digest of an encoded delta or snapshot."""
    return content_digest(data)


def encode_delta(delta: Delta) -> bytes:
    """A delta as compressed bytes."""
    return zlib.compress(msgspec.msgpack.encode(delta), _LEVEL)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """A snapshot as compressed bytes."""
    return zlib.compress(msgspec.msgpack.encode(snapshot), _LEVEL)


def decode_delta(data: bytes, most: int = MOST_CONTENT_BYTES) -> Delta:
    """Raises MessageError for bytes that are no delta, out of bounds, or of more than `most` bytes."""
    delta = _decode(data, most, Delta)
    try:
        check_changes(delta.changes)
    except RevisionError as error:
        raise MessageError(f"delta to {delta.target}: {error}") from error
    return delta


def decode_snapshot(data: bytes, most: int = MOST_CONTENT_BYTES) -> Snapshot:
    """Raises MessageError as `decode_delta`, and where an item has no value."""
    snapshot = _decode(data, most, Snapshot)
    try:
        check_changes(snapshot.items)
    except RevisionError as error:
        raise MessageError(f"snapshot of {snapshot.revision}: {error}") from error
    if any(item.value is None for item in snapshot.items):
        raise MessageError(f"snapshot of {snapshot.revision}: an item without a value")
    return snapshot


def _decode(data: bytes, most: int, kind: type[Content]) -> Content:
    name = kind.__name__.lower()
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, most)
    except zlib.error as error:
        raise MessageError(f"{name} of {len(data)} bytes: {error}") from error
    if not inflater.eof:
        raise MessageError(f"{name} of {len(data)} bytes: cut, or over {most} bytes decompressed")
    if inflater.unused_data:
        raise MessageError(f"{name}: {len(inflater.unused_data)} bytes after its end")
    try:
        return msgspec.msgpack.decode(content, type=kind)
    except msgspec.MsgspecError as error:
        raise MessageError(f"{name}: {error}") from error


@dataclass(slots=True)
class _Blob:
    data: bytes
    used_at: float


class TransferStore:
    """The server's side: transfers by digest, bounded in bytes and kept for a time after their last use."""

    def __init__(self, most_bytes: int = MOST_STORED_BYTES, keep: float = KEEP_SECONDS) -> None:
        self._most_bytes, self._keep = most_bytes, keep
        self._blobs: OrderedDict[bytes, _Blob] = OrderedDict()
        """Least recently used first."""
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._blobs)

    def __contains__(self, digest_of_data: bytes) -> bool:
        return digest_of_data in self._blobs

    def offer(self, now: float, data: bytes, target: RevisionId, whole: bool) -> Transfer:
        """Keep these bytes for fetching. Raises TransferError where they are more than all may be."""
        most = min(self._most_bytes, MOST_TRANSFER_BYTES)
        if not 0 < len(data) <= most:
            raise TransferError(f"transfer of {len(data)} bytes; allowed: 1 to {most}")
        name = digest(data)
        if name not in self._blobs:
            self._blobs[name] = _Blob(data, now)
            self._bytes += len(data)
        self._use(now, name)
        while self._bytes > self._most_bytes:
            self._drop_oldest()
        return Transfer(name, len(data), target, whole)

    def part(self, now: float, request: PartRequest) -> PartAnswer:
        """The bytes from an offset on; none where this transfer is not held or ends before."""
        if request.digest not in self._blobs or request.offset < 0:
            return PartAnswer(request.digest, request.offset, b"")
        data = self._use(now, request.digest).data
        return PartAnswer(request.digest, request.offset, data[request.offset : request.offset + PART_BYTES])

    def tick(self, now: float) -> None:
        """Drop what has not been used for long."""
        while self._blobs and now - next(iter(self._blobs.values())).used_at >= self._keep:
            self._drop_oldest()

    def _use(self, now: float, name: bytes) -> _Blob:
        blob = self._blobs[name]
        blob.used_at = now
        self._blobs.move_to_end(name)
        return blob

    def _drop_oldest(self) -> None:
        _, blob = self._blobs.popitem(last=False)
        self._bytes -= len(blob.data)


class Download:
    """The subscriber's side of one transfer: parts in order, from whichever servers hold it."""

    def __init__(self, transfer: Transfer) -> None:
        """Raises MessageError for a transfer out of bounds."""
        if not 0 < transfer.size <= MOST_TRANSFER_BYTES:
            raise MessageError(f"transfer of {transfer.size} bytes; allowed: 1 to {MOST_TRANSFER_BYTES}")
        if len(transfer.digest) != DIGEST_BYTES:
            raise MessageError(f"transfer with a digest of {len(transfer.digest)} bytes")
        self.transfer = transfer
        self._data = bytearray()

    @property
    def next_offset(self) -> int:
        """Where the next part begins."""
        return len(self._data)

    @property
    def done(self) -> bool:
        """Whether all bytes have come; whether they are the right ones, `data` finds."""
        return len(self._data) == self.transfer.size

    def take(self, part: PartAnswer) -> None:
        """Raises MessageError, and takes nothing, for a part that is not the next of this transfer."""
        if part.digest != self.transfer.digest or part.offset != self.next_offset:
            raise MessageError(f"part at {part.offset}; asked for: {self.next_offset}")
        if not 0 < len(part.data) <= min(PART_BYTES, self.transfer.size - self.next_offset):
            raise MessageError(f"part of {len(part.data)} bytes at {part.offset} of {self.transfer.size}")
        self._data += part.data

    def data(self) -> bytes:
        """All bytes. Raises DigestError where they are others than announced, or not all have come."""
        data = bytes(self._data)
        found = digest(data)
        if found != self.transfer.digest:
            raise DigestError(f"transfer with digest {found.hex()}; announced: {self.transfer.digest.hex()}")
        return data
