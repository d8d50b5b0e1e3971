"""Encoding of deltas and snapshots, and their transfer in parts: bounded, resumable, verified by digest."""

from __future__ import annotations

import zlib
from collections import OrderedDict
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from .items import DigestError, check_changes, content_digest
from .messages import MAX_PART_BYTES, MessageError, PartAnswer, PartRequest, Transfer
from .revision import DIGEST_BYTES, Delta, RevisionError, RevisionId, Snapshot

MAX_TRANSFER_BYTES = 32 * 1024 * 1024
"""Maximum compressed size of one transfer."""
MAX_CONTENT_BYTES = 64 * 1024 * 1024
"""Maximum decompressed size of a delta or snapshot."""
MAX_STORED_BYTES = 64 * 1024 * 1024
"""Maximum size of all transfers that a server stores."""
RETENTION_SECONDS = 120.0
"""How long a transfer is stored after the last request for one of its parts."""
_COMPRESSION_LEVEL = 6

Content = TypeVar("Content", Delta, Snapshot)


class TransferError(ValueError):
    """A transfer that is empty or larger than allowed."""


def digest(data: bytes) -> bytes:
    """Return the digest of an encoded delta or snapshot."""
    return content_digest(data)


def encode_delta(delta: Delta) -> bytes:
    """Encode a delta as zlib-compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(delta), _COMPRESSION_LEVEL)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot as zlib-compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(snapshot), _COMPRESSION_LEVEL)


def decode_delta(data: bytes, max_bytes: int = MAX_CONTENT_BYTES) -> Delta:
    """Decode a delta. Raises MessageError if it is malformed, invalid or over `max_bytes` decompressed."""
    delta = _decode(data, max_bytes, Delta)
    try:
        check_changes(delta.changes)
    except RevisionError as error:
        raise MessageError(f"delta to {delta.target}: {error}") from error
    return delta


def decode_snapshot(data: bytes, max_bytes: int = MAX_CONTENT_BYTES) -> Snapshot:
    """Decode a snapshot. Raises MessageError as `decode_delta` does, and if an item has no value."""
    snapshot = _decode(data, max_bytes, Snapshot)
    try:
        check_changes(snapshot.items)
    except RevisionError as error:
        raise MessageError(f"snapshot of {snapshot.revision}: {error}") from error
    if any(item.value is None for item in snapshot.items):
        raise MessageError(f"snapshot of {snapshot.revision}: an item without a value")
    return snapshot


def _decode(data: bytes, max_bytes: int, kind: type[Content]) -> Content:
    name = kind.__name__.lower()
    inflater = zlib.decompressobj()
    try:
        content = inflater.decompress(data, max_bytes)
    except zlib.error as error:
        raise MessageError(f"{name} of {len(data)} bytes: {error}") from error
    if not inflater.eof:
        raise MessageError(f"{name} of {len(data)} bytes: cut, or over {max_bytes} bytes decompressed")
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
    """The server's side of transfers: stored by digest, bounded in size, and expired some time after use."""

    def __init__(
        self, max_bytes: int = MAX_STORED_BYTES, retention_seconds: float = RETENTION_SECONDS
    ) -> None:
        self._max_bytes, self._retention_seconds = max_bytes, retention_seconds
        self._blobs: OrderedDict[bytes, _Blob] = OrderedDict()
        """Least recently used first."""
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._blobs)

    def __contains__(self, digest_of_data: bytes) -> bool:
        return digest_of_data in self._blobs

    def add(self, now: float, data: bytes, target: RevisionId, is_snapshot: bool) -> Transfer:
        """Store these bytes for fetching. Raises TransferError if they are empty or too large."""
        max_bytes = min(self._max_bytes, MAX_TRANSFER_BYTES)
        if not 0 < len(data) <= max_bytes:
            raise TransferError(f"transfer of {len(data)} bytes; allowed: 1 to {max_bytes}")
        key = digest(data)
        if key not in self._blobs:
            self._blobs[key] = _Blob(data, now)
            self._bytes += len(data)
        self._mark_used(now, key)
        while self._bytes > self._max_bytes:
            self._drop_oldest()
        return Transfer(key, len(data), target, is_snapshot)

    def read_part(self, now: float, request: PartRequest) -> PartAnswer:
        """Return the part at an offset; its data is empty if the transfer is unknown or ends before."""
        if request.digest not in self._blobs or request.offset < 0:
            return PartAnswer(request.digest, request.offset, b"")
        data = self._mark_used(now, request.digest).data
        return PartAnswer(
            request.digest, request.offset, data[request.offset : request.offset + MAX_PART_BYTES]
        )

    def tick(self, now: float) -> None:
        """Drop the transfers that have expired."""
        while self._blobs and now - next(iter(self._blobs.values())).used_at >= self._retention_seconds:
            self._drop_oldest()

    def _mark_used(self, now: float, key: bytes) -> _Blob:
        blob = self._blobs[key]
        blob.used_at = now
        self._blobs.move_to_end(key)
        return blob

    def _drop_oldest(self) -> None:
        _, blob = self._blobs.popitem(last=False)
        self._bytes -= len(blob.data)


class Download:
    """The subscriber's side of one transfer: collects parts in order, from any server that has it."""

    def __init__(self, transfer: Transfer) -> None:
        """Raises MessageError if size or digest of the transfer are out of bounds."""
        if not 0 < transfer.size <= MAX_TRANSFER_BYTES:
            raise MessageError(f"transfer of {transfer.size} bytes; allowed: 1 to {MAX_TRANSFER_BYTES}")
        if len(transfer.digest) != DIGEST_BYTES:
            raise MessageError(f"transfer with a digest of {len(transfer.digest)} bytes")
        self.transfer = transfer
        self._data = bytearray()

    @property
    def next_offset(self) -> int:
        """Offset of the next part."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have been received; `data` verifies them."""
        return len(self._data) == self.transfer.size

    def add_part(self, part: PartAnswer) -> None:
        """Append a part. Raises MessageError, and appends nothing, if it is not the next of this transfer."""
        if part.digest != self.transfer.digest or part.offset != self.next_offset:
            raise MessageError(f"part at {part.offset}; asked for: {self.next_offset}")
        if not 0 < len(part.data) <= min(MAX_PART_BYTES, self.transfer.size - self.next_offset):
            raise MessageError(f"part of {len(part.data)} bytes at {part.offset} of {self.transfer.size}")
        self._data += part.data

    def data(self) -> bytes:
        """Return all bytes. Raises DigestError if they are incomplete or differ from the announced digest."""
        data = bytes(self._data)
        actual = digest(data)
        if actual != self.transfer.digest:
            raise DigestError(f"transfer with digest {actual.hex()}; announced: {self.transfer.digest.hex()}")
        return data
