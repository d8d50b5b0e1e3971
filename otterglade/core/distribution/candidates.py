"""What a voter keeps of revisions that are not accepted yet, or that it has not heard are.

A candidate whose head may have been accepted is never dropped before the log has reached it: the majority
that accepted the head relies on this copy.
"""

from __future__ import annotations

from .items import check_changes, size_of
from .log import RevisionLog, coalesce
from .messages import StoreRequest
from .revision import GENESIS, Delta, Head, RevisionError, RevisionId

MOST_CANDIDATES = 32
"""Revisions kept; one at a time is put to the vote, so more than a few are leftovers of deposed writers."""
MOST_CANDIDATE_BYTES = 48 * 1024 * 1024
"""Bytes of all their changes."""

_Identity = tuple[RevisionId, bytes]
"""A revision and the digest of its content."""


def _identity(request: StoreRequest) -> _Identity:
    return request.delta.target, request.delta.root


class CandidateError(ValueError):
    """A candidate that can't be kept; its text is the reason told to the writer."""


class Candidates:
    """Candidates by identity; those on one line lead from the log's head onwards."""

    def __init__(self, log: RevisionLog) -> None:
        self._log = log
        self._kept: dict[_Identity, StoreRequest] = {}

    def __len__(self) -> int:
        return len(self._kept)

    def put(self, request: StoreRequest) -> None:
        """Keep a candidate; one that is kept already stays. Raises CandidateError."""
        delta = request.delta
        if _identity(request) in self._kept:
            return
        if delta.target <= max(delta.base, self._log.head):
            raise CandidateError(f"{delta.target} is not later than {max(delta.base, self._log.head)}")
        line = self._line_to(delta.base, delta.base_root)
        if line is None:
            raise CandidateError(f"base {delta.base} is not held; held: {self._log.head}")
        self._check_room(delta)
        groups = [*(earlier.delta.changes for earlier in line), delta.changes]
        try:
            check_changes(delta.changes)
            root = self._log.store.root_after(coalesce(groups))
        except RevisionError as error:
            raise CandidateError(str(error)) from error
        if root != delta.root:
            raise CandidateError(f"{delta.target} with digest {root.hex()}; announced: {delta.root.hex()}")
        self._kept[_identity(request)] = request

    def restore(self, request: StoreRequest) -> None:
        """Keep a candidate found on disk, whose base may be another one found there."""
        self._kept[_identity(request)] = request

    def line_to(self, head: Head) -> list[StoreRequest] | None:
        """The candidates that lead from the log's head to an accepted one; None: they are not all here."""
        return self._line_to(head.revision, head.root)

    def drop_superseded(self) -> list[StoreRequest]:
        """Forget what the log has reached or passed; of these, the ones known to be accepted."""
        passed = [request for request in self._kept.values() if request.delta.target <= self._log.head]
        for request in passed:
            del self._kept[_identity(request)]
        accepted: list[StoreRequest] = []
        bases: set[_Identity] = set()
        for request in sorted(passed, key=lambda request: request.delta.target, reverse=True):
            # What a revision was made from is accepted where that revision is.
            if _identity(request) in bases or self._log.holds(*_identity(request)):
                accepted.append(request)
                bases.add((request.delta.base, request.delta.base_root))
        return accepted

    def _line_to(self, revision: RevisionId, root: bytes) -> list[StoreRequest] | None:
        line: list[StoreRequest] = []
        while (revision, root) != (self._log.head, self._log.root):
            request = self._kept.get((revision, root))
            if request is None or request.delta.base >= revision:
                return None
            line.append(request)
            revision, root = request.delta.base, request.delta.base_root
        line.reverse()
        return line

    def _check_room(self, delta: Delta) -> None:
        if len(self._kept) >= MOST_CANDIDATES:
            raise CandidateError(f"{len(self._kept)} candidates are kept; allowed: {MOST_CANDIDATES}")
        size = size_of(delta.changes) + sum(size_of(kept.delta.changes) for kept in self._kept.values())
        if size > MOST_CANDIDATE_BYTES:
            raise CandidateError(f"candidates of {size} bytes; allowed: {MOST_CANDIDATE_BYTES}")


def unpack_head(state: bytes, empty_root: bytes) -> Head:
    """The head that a duty's state holds; before the first decision that of GENESIS. Raises RevisionError."""
    return Head.unpack(state) if state else Head(GENESIS, empty_root, GENESIS)
