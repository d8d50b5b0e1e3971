"""Revision identifiers, changes, deltas and snapshots, and the head record that a majority of voters accepts.

The configuration is a mapping from keys to values. A revision is the mapping after a further set of changes.
Accepted revisions form a linear history: a majority of voters accepts each one on top of its predecessor.
"""

from __future__ import annotations

import msgspec

MAX_KEY_BYTES = 200
"""Maximum size of a key."""
MAX_VALUE_BYTES = 8 * 1024 * 1024
"""Maximum size of a value; a single change of 4 MB has to fit."""
DIGEST_BYTES = 16
"""Size of every digest of the distribution (blake2b): 128 bits."""


class RevisionError(ValueError):
    """An invalid revision, change or head; the text names what was found and what is allowed."""


class RevisionId(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a revision; ordered, the later one is greater.

    The term is that of the writer and only increases from one task owner to the next. The number counts
    accepted revisions across terms. After a restore from a backup the number may be lower, but the term is
    higher then.
    """

    term: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.number}"


GENESIS = RevisionId(0, 0)
"""The revision before the first change: an empty mapping."""


class Change(msgspec.Struct, frozen=True, array_like=True):
    """The new value of one key."""

    key: str
    value: bytes | None
    """None: the key is deleted."""


class Head(msgspec.Struct, frozen=True, array_like=True):
    """The record in the voters' register: the accepted revision and the digest of its content."""

    revision: RevisionId
    root: bytes
    """Digest of the mapping, see `items.py`."""
    base: RevisionId
    """The revision accepted before this one."""

    def pack(self) -> bytes:
        """Encode the head; fits a leader task's state (`core/fleet/leader_task.py`, MAX_STATE_BYTES)."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def unpack(data: bytes) -> Head:
        """Decode a packed head. Raises RevisionError if `data` is not one."""
        try:
            return msgspec.msgpack.decode(data, type=Head)
        except msgspec.MsgspecError as error:
            raise RevisionError(f"head of a revision: {error}") from error


class Delta(msgspec.Struct, frozen=True, array_like=True):
    """The changes from one revision to a later one, coalesced: each key occurs at most once."""

    base: RevisionId
    base_root: bytes
    target: RevisionId
    root: bytes
    """Digest of the mapping at `target`; verified before any change is applied."""
    changes: tuple[Change, ...]


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """The complete mapping at a revision."""

    revision: RevisionId
    root: bytes
    items: tuple[Change, ...]
    """All items, sorted by key; each has a value."""


def check_change(change: Change) -> None:
    """Raises RevisionError if the key or value is out of bounds."""
    length = len(change.key.encode())
    if not 1 <= length <= MAX_KEY_BYTES:
        raise RevisionError(f"key of {length} bytes; allowed: 1 to {MAX_KEY_BYTES}")
    if change.value is not None and len(change.value) > MAX_VALUE_BYTES:
        raise RevisionError(
            f"{change.key}: value of {len(change.value)} bytes; allowed: {MAX_VALUE_BYTES} at most"
        )
