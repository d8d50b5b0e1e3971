"""The mapping from keys to values, with a two-level Merkle digest.

Items are spread over BUCKETS buckets by the hash of their key. A bucket's digest covers the digests of its
items in key order, and the root covers the digests of all buckets. A change therefore rehashes only the
buckets that it touches, independently of the number of items.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from itertools import chain

from .revision import DIGEST_BYTES, Change, RevisionError, check_change

BUCKETS = 256
"""One for each value of the first byte of a key's hash."""
MAX_STORE_BYTES = 24 * 1024 * 1024
"""Size of all items, including ITEM_OVERHEAD_BYTES each: every gateway holds them in memory."""
ITEM_OVERHEAD_BYTES = 64
"""Counted for an item or change in addition to its key and value."""
_LENGTH_BYTES = 4


class DigestError(ValueError):
    """Content whose digest differs from the announced one; the text names both."""


def content_digest(data: bytes) -> bytes:
    """Return the blake2b digest (DIGEST_BYTES) used throughout the distribution."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _bucket_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0]


def _item_digest(key: str, value: bytes) -> bytes:
    """The key is length-prefixed so that no two items are hashed from the same bytes."""
    encoded = key.encode()
    digest = hashlib.blake2b(len(encoded).to_bytes(_LENGTH_BYTES, "big"), digest_size=DIGEST_BYTES)
    digest.update(encoded)
    digest.update(value)
    return digest.digest()


def _bucket_digest(digests: dict[str, bytes]) -> bytes:
    return content_digest(b"".join(digests[key] for key in sorted(digests)))


_EMPTY_BUCKET = _bucket_digest({})


def approximate_size(changes: Iterable[Change]) -> int:
    """Return approximately how many bytes these changes take in memory."""
    return sum(_item_size(change.key, change.value) for change in changes)


def _item_size(key: str, value: bytes | None) -> int:
    return len(key) + len(value or b"") + ITEM_OVERHEAD_BYTES


def check_changes(changes: Iterable[Change]) -> None:
    """Raises RevisionError if a key or value is out of bounds or a key occurs twice."""
    seen: set[str] = set()
    for change in changes:
        check_change(change)
        if change.key in seen:
            raise RevisionError(f"{change.key}: changed twice in one revision; allowed: once")
        seen.add(change.key)


class ItemStore:
    """The configuration at one revision: all items, and the digests of buckets and root."""

    def __init__(self, items: Iterable[Change] = ()) -> None:
        """Raises RevisionError as `apply` does if `items` are invalid."""
        self._values: list[dict[str, bytes]] = [{} for _ in range(BUCKETS)]
        self._digests: list[dict[str, bytes]] = [{} for _ in range(BUCKETS)]
        """Digests of items, by bucket and key."""
        self._bucket_digests = [_EMPTY_BUCKET] * BUCKETS
        self._root = content_digest(b"".join(self._bucket_digests))
        self._length = 0
        self._size = 0
        initial = tuple(items)
        if initial:
            self.apply(initial)

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, or None if the key does not exist."""
        return self._values[_bucket_of(key)].get(key)

    def __len__(self) -> int:
        return self._length

    def keys(self, prefix: str = "") -> list[str]:
        """Return the keys with this prefix, sorted; iterates over all items."""
        return sorted(key for key in chain.from_iterable(self._values) if key.startswith(prefix))

    def changes(self) -> tuple[Change, ...]:
        """Return all items as changes, sorted by key."""
        items = [Change(key, value) for bucket in self._values for key, value in bucket.items()]
        return tuple(sorted(items, key=lambda item: item.key))

    @property
    def size(self) -> int:
        """Bytes of all items, including ITEM_OVERHEAD_BYTES each."""
        return self._size

    @property
    def root(self) -> bytes:
        """Digest of the entire mapping."""
        return self._root

    def root_after(self, changes: Sequence[Change]) -> bytes:
        """Return the root after `changes`, without applying them. Raises RevisionError as `apply` does."""
        self._check(changes)
        touched: dict[int, dict[str, bytes]] = {}
        for change in changes:
            index = _bucket_of(change.key)
            if index not in touched:
                touched[index] = dict(self._digests[index])
            if change.value is None:
                touched[index].pop(change.key, None)
            else:
                touched[index][change.key] = _item_digest(change.key, change.value)
        digests = list(self._bucket_digests)
        for index, bucket in touched.items():
            digests[index] = _bucket_digest(bucket)
        return content_digest(b"".join(digests))

    def apply(self, changes: Sequence[Change]) -> None:
        """Apply all changes atomically. Raises RevisionError, and applies none, if one is invalid."""
        self._check(changes)
        touched: set[int] = set()
        for change in changes:
            index = _bucket_of(change.key)
            touched.add(index)
            self._set_item(index, change)
        for index in touched:
            self._bucket_digests[index] = _bucket_digest(self._digests[index])
        self._root = content_digest(b"".join(self._bucket_digests))

    def _check(self, changes: Sequence[Change]) -> None:
        check_changes(changes)
        size = self._size
        for change in changes:
            previous = self.get(change.key)
            size -= 0 if previous is None else _item_size(change.key, previous)
            size += 0 if change.value is None else _item_size(change.key, change.value)
        if size > MAX_STORE_BYTES:
            raise RevisionError(f"configuration of {size} bytes; allowed: {MAX_STORE_BYTES} at most")

    def _set_item(self, index: int, change: Change) -> None:
        values, digests = self._values[index], self._digests[index]
        previous = values.get(change.key)
        if previous is not None:
            self._length -= 1
            self._size -= _item_size(change.key, previous)
        if change.value is None:
            values.pop(change.key, None)
            digests.pop(change.key, None)
            return
        values[change.key] = change.value
        digests[change.key] = _item_digest(change.key, change.value)
        self._length += 1
        self._size += _item_size(change.key, change.value)

    def bucket_digests(self) -> tuple[bytes, ...]:
        """Return the digest of each bucket, to find where two mappings differ."""
        return tuple(self._bucket_digests)

    def copy(self) -> ItemStore:
        """Return an independent mapping with the same items; the value objects are shared."""
        other = ItemStore()
        other._values = [dict(bucket) for bucket in self._values]
        other._digests = [dict(bucket) for bucket in self._digests]
        other._bucket_digests = list(self._bucket_digests)
        other._root = self._root
        other._length = self._length
        other._size = self._size
        return other


EMPTY_ROOT = ItemStore().root
"""Digest of the empty mapping, which GENESIS has."""


def build_store(items: Sequence[Change], root: bytes) -> ItemStore:
    """Build the mapping of a snapshot.

    Raises DigestError if its root differs from `root`, RevisionError if an item is invalid.
    """
    store = ItemStore(items)
    if store.root != root:
        raise DigestError(f"snapshot with digest {store.root.hex()}; announced: {root.hex()}")
    return store
