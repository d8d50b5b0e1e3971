"""The log of revisions on a control machine: the mapping at the head and a bounded history of deltas."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

from .items import DigestError, ItemStore, approximate_size, build_store
from .revision import GENESIS, Change, Delta, RevisionError, RevisionId, Snapshot

MAX_DELTAS = 1024
"""Deltas in the history; a reader at an older revision gets a snapshot."""
MAX_DELTA_BYTES = 8 * 1024 * 1024
"""Size of the deltas in the history; the latest is kept regardless of its size."""


class GapError(ValueError):
    """A delta whose base is not the head."""


def coalesce(groups: Iterable[Iterable[Change]]) -> tuple[Change, ...]:
    """Merge successive sets of changes into one that has each key once, with its latest value.

    Keys are kept even if their value ends up unchanged, so that the result leads to the same mapping from
    every intermediate state as well.
    """
    latest = {change.key: change for changes in groups for change in changes}
    return tuple(latest[key] for key in sorted(latest))


class RevisionLog:
    """Linear history of revisions up to the head, compacted by number and size of deltas."""

    def __init__(self, max_deltas: int = MAX_DELTAS, max_delta_bytes: int = MAX_DELTA_BYTES) -> None:
        self._max_deltas, self._max_delta_bytes = max_deltas, max_delta_bytes
        self._head = GENESIS
        self._store = ItemStore()
        self._deltas: list[Delta] = []
        self._bases: list[RevisionId] = []
        """Base of each delta in `_deltas`, ascending."""
        self._sizes: list[int] = []
        self._bytes = 0

    @property
    def head(self) -> RevisionId:
        """The latest revision."""
        return self._head

    @property
    def store(self) -> ItemStore:
        """The mapping at the head; callers must not modify it."""
        return self._store

    @property
    def root(self) -> bytes:
        """Digest of the mapping at the head."""
        return self._store.root

    def append(self, delta: Delta) -> None:
        """Advance the head by a delta, atomically.

        Raises GapError if the delta's base is not the head, RevisionError if it is invalid, DigestError if
        the resulting mapping differs from the announced one.
        """
        self.check(delta)
        self._store.apply(delta.changes)
        self._head = delta.target
        self._deltas.append(delta)
        self._bases.append(delta.base)
        self._sizes.append(approximate_size(delta.changes))
        self._bytes += self._sizes[-1]
        self._compact()

    def check(self, delta: Delta) -> None:
        """Raise what `append` would raise for this delta, without applying it."""
        if delta.base != self._head or delta.base_root != self.root:
            raise GapError(
                f"delta from {delta.base} ({delta.base_root.hex()}); head: {self._head} ({self.root.hex()})"
            )
        if delta.target <= delta.base:
            raise RevisionError(f"delta from {delta.base} to {delta.target}; allowed: to a later one")
        root = self._store.root_after(delta.changes)
        if root != delta.root:
            raise DigestError(f"{delta.target} with digest {root.hex()}; announced: {delta.root.hex()}")

    def reset(self, snapshot: Snapshot) -> None:
        """Replace mapping and history by a snapshot. Raises DigestError or RevisionError if it is invalid."""
        self._store = build_store(snapshot.items, snapshot.root)
        self._head = snapshot.revision
        self._deltas, self._bases, self._sizes, self._bytes = [], [], [], 0

    def _compact(self) -> None:
        excess = 0
        while len(self._deltas) - excess > 1 and (
            len(self._deltas) - excess > self._max_deltas or self._bytes > self._max_delta_bytes
        ):
            self._bytes -= self._sizes[excess]
            excess += 1
        if excess:
            del self._deltas[:excess], self._bases[:excess], self._sizes[:excess]

    def delta_since(self, revision: RevisionId, root: bytes) -> Delta | None:
        """Return the delta from a revision with that root to the head.

        Returns None if a snapshot is needed: history is compacted, or the revision is unknown or has a
        different root here.

        A revision that a coalesced delta skipped here is served as well: that delta contains every key
        changed since, and the receiver verifies the digest of the result.
        """
        index = bisect_right(self._bases, revision) - 1
        if index < 0 or revision >= self._head:
            return None
        first = self._deltas[index]
        if first.base == revision:
            fits = first.base_root == root
        else:
            fits = first.base.term == revision.term == first.target.term and revision < first.target
        if not fits:
            return None
        changes = coalesce(delta.changes for delta in self._deltas[index:])
        return Delta(revision, root, self._head, self.root, changes)

    def has_revision(self, revision: RevisionId, root: bytes) -> bool:
        """Whether a revision with that root is the head or the base of a delta in the history."""
        if revision == self._head:
            return root == self.root
        index = bisect_right(self._bases, revision) - 1
        return index >= 0 and (self._bases[index], self._deltas[index].base_root) == (revision, root)

    def snapshot(self) -> Snapshot:
        """Return the mapping at the head as a snapshot."""
        return Snapshot(self._head, self.root, self._store.changes())

    def compacted_before(self) -> RevisionId:
        """Return the earliest revision from which a delta can be served."""
        return self._bases[0] if self._bases else self._head
