"""Proposals at the writer: a bounded queue of those that wait, and a bounded memory of those accepted."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .items import check_changes, size_of
from .messages import NAME_BYTES, ProposeRequest
from .namespaces import split_key
from .revision import Change, RevisionError, RevisionId

MOST_QUEUED = 1024
"""Proposals that wait."""
MOST_QUEUED_BYTES = 16 * 1024 * 1024
"""Bytes of their changes."""
MOST_CHANGES = 20_000
"""Of one proposal: a whole host list, with room."""
MOST_DRAFT_BYTES = 4 * 1024 * 1024
"""Bytes of the proposals that are put together into one revision; one alone may be larger."""
MOST_REMEMBERED = 8192
"""Accepted proposals that are known again."""


class ProposalError(ValueError):
    """A proposal that can't be taken; its text says why."""


@dataclass(frozen=True, slots=True)
class QueuedProposal:
    """A proposal that waits, and until when."""

    proposal: str
    changes: tuple[Change, ...]
    deadline: float

    @property
    def size(self) -> int:
        """Bytes of its changes."""
        return size_of(self.changes)


def check_proposal(request: ProposeRequest) -> None:
    """Raises ProposalError where a field is out of bounds."""
    length = len(request.proposal.encode())
    if not 1 <= length <= NAME_BYTES:
        raise ProposalError(f"proposal's name of {length} bytes; allowed: 1 to {NAME_BYTES}")
    if not 1 <= len(request.changes) <= MOST_CHANGES:
        raise ProposalError(f"proposal of {len(request.changes)} changes; allowed: 1 to {MOST_CHANGES}")
    try:
        check_changes(request.changes)
        for change in request.changes:
            split_key(change.key)
    except RevisionError as error:
        raise ProposalError(str(error)) from error


class ProposalQueue:
    """Proposals in the order in which they came."""

    def __init__(self) -> None:
        self._waiting: OrderedDict[str, QueuedProposal] = OrderedDict()
        self._bytes = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, proposal: str) -> bool:
        return proposal in self._waiting

    def add(self, queued: QueuedProposal) -> None:
        """Raises ProposalError where there is no room."""
        if len(self._waiting) >= MOST_QUEUED:
            raise ProposalError(f"{len(self._waiting)} proposals wait; allowed: {MOST_QUEUED}")
        if self._bytes + queued.size > MOST_QUEUED_BYTES:
            size = self._bytes + queued.size
            raise ProposalError(f"{size} bytes of proposals; allowed: {MOST_QUEUED_BYTES}")
        self._waiting[queued.proposal] = queued
        self._bytes += queued.size

    def take(self) -> list[QueuedProposal]:
        """Those that go into the next revision, first come first."""
        taken: list[QueuedProposal] = []
        size = 0
        while self._waiting:
            first = next(iter(self._waiting.values()))
            if taken and size + first.size > MOST_DRAFT_BYTES:
                break
            size += first.size
            taken.append(self._pop())
        return taken

    def overdue(self, now: float) -> list[QueuedProposal]:
        """Take out those whose time is over."""
        found: list[QueuedProposal] = []
        while self._waiting and now >= self.next_deadline():
            found.append(self._pop())
        return found

    def clear(self) -> list[QueuedProposal]:
        """Take out all."""
        return [self._pop() for _ in range(len(self._waiting))]

    def next_deadline(self) -> float:
        """Of the first in the queue; infinite: none waits."""
        return next((queued.deadline for queued in self._waiting.values()), float("inf"))

    def _pop(self) -> QueuedProposal:
        _, queued = self._waiting.popitem(last=False)
        self._bytes -= queued.size
        return queued


class AcceptedProposals:
    """Which proposals were accepted, and in which revision; the earliest are forgotten."""

    def __init__(self) -> None:
        self._revisions: OrderedDict[str, RevisionId] = OrderedDict()

    def remember(self, proposals: Iterable[str], revision: RevisionId) -> None:
        """These were accepted in that revision."""
        for proposal in proposals:
            self._revisions[proposal] = revision
        while len(self._revisions) > MOST_REMEMBERED:
            self._revisions.popitem(last=False)

    def revision_of(self, proposal: str) -> RevisionId | None:
        """None: not accepted, or forgotten."""
        return self._revisions.get(proposal)


def names_of(proposals: Sequence[QueuedProposal]) -> tuple[str, ...]:
    """The names of these proposals."""
    return tuple(queued.proposal for queued in proposals)
