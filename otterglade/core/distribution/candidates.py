"""Revisions that a voter stores before it learns that they are accepted.

A candidate whose head may have been accepted is never dropped before the log has reached it: the majority
that accepted the head relies on this copy.
"""

from __future__ import annotations

from .items import approximate_size, check_changes
from .log import RevisionLog, coalesce
from .messages import StoreRequest
from .revision import GENESIS, Delta, Head, RevisionError, RevisionId

MAX_CANDIDATES = 32
"""Candidates stored; one at a time is voted on, so more than a few are left over from deposed writers."""
MAX_CANDIDATE_BYTES = 48 * 1024 * 1024
"""Bytes of the changes of all candidates."""

_Identity = tuple[RevisionId, bytes]
"""A revision and the root digest of its mapping."""


def _identity(request: StoreRequest) -> _Identity:
    return request.delta.target, request.delta.root


class CandidateError(ValueError):
    """A candidate that can't be stored; the text is the reason sent to the writer."""


class Candidates:
    """Stored candidates, which form chains that start at the log's head."""

    def __init__(self, log: RevisionLog) -> None:
        self._log = log
        self._requests: dict[_Identity, StoreRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def add(self, request: StoreRequest) -> None:
        """Store a candidate; does nothing if it is stored already.

        Raises CandidateError if it is not later than the log's head, its base is unknown, it is invalid or
        there is no room.
        """
        delta = request.delta
        if _identity(request) in self._requests:
            return
        if delta.target <= max(delta.base, self._log.head):
            raise CandidateError(f"{delta.target} is not later than {max(delta.base, self._log.head)}")
        chain = self._chain_to(delta.base, delta.base_root)
        if chain is None:
            raise CandidateError(f"base {delta.base} is not stored; head: {self._log.head}")
        self._check_capacity(delta)
        groups = [*(earlier.delta.changes for earlier in chain), delta.changes]
        try:
            check_changes(delta.changes)
            root = self._log.store.root_after(coalesce(groups))
        except RevisionError as error:
            raise CandidateError(str(error)) from error
        if root != delta.root:
            raise CandidateError(f"{delta.target} with digest {root.hex()}; announced: {delta.root.hex()}")
        self._requests[_identity(request)] = request

    def restore(self, request: StoreRequest) -> None:
        """Store a candidate read from disk without checks: its base may be another candidate read later."""
        self._requests[_identity(request)] = request

    def chain_to(self, head: Head) -> list[StoreRequest] | None:
        """Return the candidates from the log's head to an accepted head, or None if one is missing."""
        return self._chain_to(head.revision, head.root)

    def drop_superseded(self) -> list[StoreRequest]:
        """Drop the candidates that the log has reached or passed; return those known to be accepted."""
        superseded = [
            request for request in self._requests.values() if request.delta.target <= self._log.head
        ]
        for request in superseded:
            del self._requests[_identity(request)]
        accepted: list[StoreRequest] = []
        bases: set[_Identity] = set()
        for request in sorted(superseded, key=lambda request: request.delta.target, reverse=True):
            # The base of an accepted revision is accepted as well.
            if _identity(request) in bases or self._log.has_revision(*_identity(request)):
                accepted.append(request)
                bases.add((request.delta.base, request.delta.base_root))
        return accepted

    def _chain_to(self, revision: RevisionId, root: bytes) -> list[StoreRequest] | None:
        chain: list[StoreRequest] = []
        while (revision, root) != (self._log.head, self._log.root):
            request = self._requests.get((revision, root))
            if request is None or request.delta.base >= revision:
                return None
            chain.append(request)
            revision, root = request.delta.base, request.delta.base_root
        chain.reverse()
        return chain

    def _check_capacity(self, delta: Delta) -> None:
        if len(self._requests) >= MAX_CANDIDATES:
            raise CandidateError(f"{len(self._requests)} candidates are stored; allowed: {MAX_CANDIDATES}")
        size = approximate_size(delta.changes) + sum(
            approximate_size(request.delta.changes) for request in self._requests.values()
        )
        if size > MAX_CANDIDATE_BYTES:
            raise CandidateError(f"candidates of {size} bytes; allowed: {MAX_CANDIDATE_BYTES}")


def unpack_head(state: bytes, empty_root: bytes) -> Head:
    """Decode the head from a leader task's state; an empty state, before the first decision, is GENESIS.

    Raises RevisionError if the state is not a head.
    """
    return Head.unpack(state) if state else Head(GENESIS, empty_root, GENESIS)
