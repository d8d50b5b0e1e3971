"""The revisions that a control machine holds: the mapping at its head, and a bounded history of deltas."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable

from .items import DigestError, ItemStore, size_of, store_of
from .revision import GENESIS, Change, Delta, RevisionError, RevisionId, Snapshot

MOST_DELTAS = 1024
"""Deltas kept; who asks from before them gets a snapshot."""
MOST_BYTES = 8 * 1024 * 1024
"""Bytes of the deltas kept; the latest is kept whatever its size."""


class GapError(ValueError):
    """A delta that does not begin at the head."""


def coalesce(groups: Iterable[Iterable[Change]]) -> tuple[Change, ...]:
    """Several sets of changes, made one after another, as one: each key once, with its latest value.

    No key is left out, also where its value ends as it began: so the result leads to the same mapping from
    every state in between as well.
    """
    latest = {change.key: change for changes in groups for change in changes}
    return tuple(latest[key] for key in sorted(latest))


class RevisionLog:
    """A line of revisions up to the head."""

    def __init__(self, most_deltas: int = MOST_DELTAS, most_bytes: int = MOST_BYTES) -> None:
        self._most_deltas, self._most_bytes = most_deltas, most_bytes
        self._head = GENESIS
        self._store = ItemStore()
        self._deltas: list[Delta] = []
        self._bases: list[RevisionId] = []
        """Of the deltas, in the same order, which is ascending."""
        self._sizes: list[int] = []
        self._bytes = 0

    @property
    def head(self) -> RevisionId:
        """The latest revision held."""
        return self._head

    @property
    def store(self) -> ItemStore:
        """The mapping at the head; to be read only."""
        return self._store

    @property
    def root(self) -> bytes:
        """Digest of the mapping at the head."""
        return self._store.root

    def append(self, delta: Delta) -> None:
        """Go on to a later revision, whole or not at all.

        Raises GapError where the delta does not begin at the head, RevisionError where it is out of bounds,
        DigestError where it leads to another mapping than it says.
        """
        self.check(delta)
        self._store.apply(delta.changes)
        self._head = delta.target
        self._deltas.append(delta)
        self._bases.append(delta.base)
        self._sizes.append(size_of(delta.changes))
        self._bytes += self._sizes[-1]
        self._compact()

    def check(self, delta: Delta) -> None:
        """Raises what `append` would raise."""
        if delta.base != self._head or delta.base_root != self.root:
            raise GapError(
                f"delta from {delta.base} ({delta.base_root.hex()}); held: {self._head} ({self.root.hex()})"
            )
        if delta.target <= delta.base:
            raise RevisionError(f"delta from {delta.base} to {delta.target}; allowed: to a later one")
        root = self._store.root_after(delta.changes)
        if root != delta.root:
            raise DigestError(f"{delta.target} with digest {root.hex()}; announced: {delta.root.hex()}")

    def reset(self, snapshot: Snapshot) -> None:
        """Hold this revision in place of all that was held. Raises DigestError and RevisionError."""
        self._store = store_of(snapshot.items, snapshot.root)
        self._head = snapshot.revision
        self._deltas, self._bases, self._sizes, self._bytes = [], [], [], 0

    def _compact(self) -> None:
        excess = 0
        while len(self._deltas) - excess > 1 and (
            len(self._deltas) - excess > self._most_deltas or self._bytes > self._most_bytes
        ):
            self._bytes -= self._sizes[excess]
            excess += 1
        if excess:
            del self._deltas[:excess], self._bases[:excess], self._sizes[:excess]

    def since(self, revision: RevisionId, root: bytes) -> Delta | None:
        """What leads from a revision with that digest to the head; None: a snapshot is needed, as history is
        compacted, or the revision is unknown or has another content here.

        A revision that was passed over here in one coalesced delta is served too: that delta names every key
        changed since, and who receives it checks the digest of what it leads to.
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

    def holds(self, revision: RevisionId, root: bytes) -> bool:
        """Whether a revision with that digest is the head, or one that history still names."""
        if revision == self._head:
            return root == self.root
        index = bisect_right(self._bases, revision) - 1
        return index >= 0 and (self._bases[index], self._deltas[index].base_root) == (revision, root)

    def snapshot(self) -> Snapshot:
        """The whole mapping at the head."""
        return Snapshot(self._head, self.root, self._store.changes())

    def compacted_before(self) -> RevisionId:
        """The earliest revision from which a delta can be served."""
        return self._bases[0] if self._bases else self._head
