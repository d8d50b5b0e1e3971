"""Proposals at the writer: a bounded queue, and a bounded record of those accepted."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .items import approximate_size, check_changes
from .messages import MAX_NAME_BYTES, ProposeRequest
from .namespaces import split_key
from .revision import Change, RevisionError, RevisionId

MAX_QUEUED_PROPOSALS = 1024
"""Proposals in the queue."""
MAX_QUEUED_BYTES = 16 * 1024 * 1024
"""Bytes of the changes of all queued proposals."""
MAX_PROPOSAL_CHANGES = 20_000
"""Changes of one proposal: enough for a complete host list."""
MAX_DRAFT_BYTES = 4 * 1024 * 1024
"""Bytes of the proposals that are batched into one revision; a single proposal may be larger."""
MAX_REMEMBERED_PROPOSALS = 8192
"""Accepted proposals that are remembered, to answer repeated ones without applying them again."""


class ProposalError(ValueError):
    """A proposal that is invalid or exceeds the limits of the queue; the text gives the reason."""


@dataclass(frozen=True, slots=True)
class QueuedProposal:
    """A proposal in the queue, with its deadline."""

    proposal: str
    changes: tuple[Change, ...]
    deadline: float

    @property
    def size(self) -> int:
        """Bytes of its changes, see `approximate_size`."""
        return approximate_size(self.changes)


def check_proposal(request: ProposeRequest) -> None:
    """Raises ProposalError if a field is out of bounds or a key is in no namespace."""
    length = len(request.proposal.encode())
    if not 1 <= length <= MAX_NAME_BYTES:
        raise ProposalError(f"proposal's name of {length} bytes; allowed: 1 to {MAX_NAME_BYTES}")
    if not 1 <= len(request.changes) <= MAX_PROPOSAL_CHANGES:
        raise ProposalError(
            f"proposal of {len(request.changes)} changes; allowed: 1 to {MAX_PROPOSAL_CHANGES}"
        )
    try:
        check_changes(request.changes)
        for change in request.changes:
            split_key(change.key)
    except RevisionError as error:
        raise ProposalError(str(error)) from error


class ProposalQueue:
    """FIFO queue of proposals, bounded by number and bytes."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, QueuedProposal] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, proposal: str) -> bool:
        return proposal in self._waiting

    def add(self, queued: QueuedProposal) -> None:
        """Append a proposal. Raises ProposalError if the queue is full."""
        if len(self._waiting) >= MAX_QUEUED_PROPOSALS:
            raise ProposalError(f"{len(self._waiting)} proposals are queued; allowed: {MAX_QUEUED_PROPOSALS}")
        if self._bytes + queued.size > MAX_QUEUED_BYTES:
            size = self._bytes + queued.size
            raise ProposalError(f"{size} bytes of proposals; allowed: {MAX_QUEUED_BYTES}")
        self._waiting[queued.proposal] = queued
        self._bytes += queued.size

    def pop_batch(self) -> list[QueuedProposal]:
        """Remove and return the proposals for the next revision, oldest first."""
        batch: list[QueuedProposal] = []
        size = 0
        while self._waiting:
            first = next(iter(self._waiting.values()))
            if batch and size + first.size > MAX_DRAFT_BYTES:
                break
            size += first.size
            batch.append(self._pop())
        return batch

    def pop_expired(self, now: float) -> list[QueuedProposal]:
        """Remove and return the proposals whose deadline has passed."""
        expired: list[QueuedProposal] = []
        while self._waiting and now >= self.next_deadline():
            expired.append(self._pop())
        return expired

    def pop_all(self) -> list[QueuedProposal]:
        """Remove and return all proposals."""
        return [self._pop() for _ in range(len(self._waiting))]

    def next_deadline(self) -> float:
        """Return the deadline of the oldest proposal, infinity if the queue is empty."""
        return next((queued.deadline for queued in self._waiting.values()), float("inf"))

    def _pop(self) -> QueuedProposal:
        _, queued = self._waiting.popitem(last=False)
        self._bytes -= queued.size
        return queued


class AcceptedProposals:
    """The revision in which each recent proposal was accepted; the oldest entries are evicted."""

    def __init__(self) -> None:
        self._revisions: OrderedDict[str, RevisionId] = OrderedDict()

    def record(self, proposals: Iterable[str], revision: RevisionId) -> None:
        """Record that these proposals were accepted in `revision`."""
        for proposal in proposals:
            self._revisions[proposal] = revision
        while len(self._revisions) > MAX_REMEMBERED_PROPOSALS:
            self._revisions.popitem(last=False)

    def accepted_revision(self, proposal: str) -> RevisionId | None:
        """Return the revision of an accepted proposal, or None if it was not accepted or was evicted."""
        return self._revisions.get(proposal)


def proposal_names(proposals: Sequence[QueuedProposal]) -> tuple[str, ...]:
    """Return the names of these proposals."""
    return tuple(queued.proposal for queued in proposals)
