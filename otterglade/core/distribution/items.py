"""The mapping from keys to values, with a Merkle digest that a small change updates cheaply.

Items are spread over BUCKETS buckets by the hash of their key. A bucket's digest covers the digests of its
items in the order of their keys, and the root covers the digests of all buckets. So a change costs the
hashing of the buckets that it touches, whatever the number of items.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Sequence
from itertools import chain

from .revision import DIGEST_BYTES, Change, RevisionError, check_change

BUCKETS = 256
"""The first byte of a key's hash names the bucket."""
MOST_STORE_BYTES = 24 * 1024 * 1024
"""Bytes of all items, ITEM_OVERHEAD for each included: what every gateway has to hold."""
ITEM_OVERHEAD = 64
"""Bytes counted for an item or change beside its key and value."""
_LENGTH_BYTES = 4


class DigestError(ValueError):
    """Content whose digest is not the one announced; its text names both."""


def content_digest(data: bytes) -> bytes:
    """Digest of a run of bytes, as used for every digest of the distribution."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def _bucket_of(key: str) -> int:
    return hashlib.blake2b(key.encode(), digest_size=1).digest()[0]


def _item_digest(key: str, value: bytes) -> bytes:
    """The key's length stands before it, so that no two items have the same bytes."""
    encoded = key.encode()
    digest = hashlib.blake2b(len(encoded).to_bytes(_LENGTH_BYTES, "big"), digest_size=DIGEST_BYTES)
    digest.update(encoded)
    digest.update(value)
    return digest.digest()


def _bucket_digest(digests: dict[str, bytes]) -> bytes:
    return content_digest(b"".join(digests[key] for key in sorted(digests)))


_EMPTY_BUCKET = _bucket_digest({})


def size_of(changes: Iterable[Change]) -> int:
    """About how many bytes these changes take in memory."""
    return sum(_size(change.key, change.value) for change in changes)


def _size(key: str, value: bytes | None) -> int:
    return len(key) + len(value or b"") + ITEM_OVERHEAD


def check_changes(changes: Iterable[Change]) -> None:
    """Raises RevisionError where a key or value is out of bounds, or a key comes twice."""
    seen: set[str] = set()
    for change in changes:
        check_change(change)
        if change.key in seen:
            raise RevisionError(f"{change.key}: changed twice in one revision; allowed: once")
        seen.add(change.key)


class ItemStore:
    """The configuration at one revision."""

    def __init__(self, items: Iterable[Change] = ()) -> None:
        """Raises RevisionError as `apply` does."""
        self._values: list[dict[str, bytes]] = [{} for _ in range(BUCKETS)]
        self._digests: list[dict[str, bytes]] = [{} for _ in range(BUCKETS)]
        """Of each item, by bucket and key."""
        self._bucket_digests = [_EMPTY_BUCKET] * BUCKETS
        self._root = content_digest(b"".join(self._bucket_digests))
        self._length = 0
        self._size = 0
        first = tuple(items)
        if first:
            self.apply(first)

    def get(self, key: str) -> bytes | None:
        """The value of a key; None: there is no such key."""
        return self._values[_bucket_of(key)].get(key)

    def __len__(self) -> int:
        return self._length

    def keys(self, prefix: str = "") -> list[str]:
        """All keys that begin so, sorted; walks all items."""
        return sorted(key for key in chain.from_iterable(self._values) if key.startswith(prefix))

    def changes(self) -> tuple[Change, ...]:
        """All items, sorted by key."""
        items = [Change(key, value) for bucket in self._values for key, value in bucket.items()]
        return tuple(sorted(items, key=lambda item: item.key))

    @property
    def size(self) -> int:
        """Bytes of all items, ITEM_OVERHEAD for each included."""
        return self._size

    @property
    def root(self) -> bytes:
        """Digest of the whole mapping."""
        return self._root

    def root_after(self, changes: Sequence[Change]) -> bytes:
        """The root that `apply` would lead to. Raises RevisionError as `apply` does."""
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
        """Make all changes. Raises RevisionError, and makes none, where one is out of bounds."""
        self._check(changes)
        touched: set[int] = set()
        for change in changes:
            index = _bucket_of(change.key)
            touched.add(index)
            self._put(index, change)
        for index in touched:
            self._bucket_digests[index] = _bucket_digest(self._digests[index])
        self._root = content_digest(b"".join(self._bucket_digests))

    def _check(self, changes: Sequence[Change]) -> None:
        check_changes(changes)
        size = self._size
        for change in changes:
            before = self.get(change.key)
            size -= 0 if before is None else _size(change.key, before)
            size += 0 if change.value is None else _size(change.key, change.value)
        if size > MOST_STORE_BYTES:
            raise RevisionError(f"configuration of {size} bytes; allowed: {MOST_STORE_BYTES} at most")

    def _put(self, index: int, change: Change) -> None:
        values, digests = self._values[index], self._digests[index]
        before = values.get(change.key)
        if before is not None:
            self._length -= 1
            self._size -= _size(change.key, before)
        if change.value is None:
            values.pop(change.key, None)
            digests.pop(change.key, None)
            return
        values[change.key] = change.value
        digests[change.key] = _item_digest(change.key, change.value)
        self._length += 1
        self._size += _size(change.key, change.value)

    def bucket_digests(self) -> tuple[bytes, ...]:
        """The digest of each bucket, for finding where two mappings differ."""
        return tuple(self._bucket_digests)

    def copy(self) -> ItemStore:
        """A mapping of its own with the same items; the values are shared."""
        other = ItemStore()
        other._values = [dict(bucket) for bucket in self._values]
        other._digests = [dict(bucket) for bucket in self._digests]
        other._bucket_digests = list(self._bucket_digests)
        other._root = self._root
        other._length = self._length
        other._size = self._size
        return other


EMPTY_ROOT = ItemStore().root
"""Digest of the mapping without keys, that of GENESIS."""


def store_of(items: Sequence[Change], root: bytes) -> ItemStore:
    """The mapping with these items. Raises DigestError where its root is another one, RevisionError for items
    out of bounds."""
    store = ItemStore(items)
    if store.root != root:
        raise DigestError(f"snapshot with digest {store.root.hex()}; announced: {root.hex()}")
    return store
