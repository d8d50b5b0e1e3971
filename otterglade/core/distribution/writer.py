"""The leader task "configuration": the owner writes revisions, which a majority of voters stores and accepts.

The writer batches queued proposals into a draft, has its content made durable at a majority of the voters,
and only then puts its head to the vote (`decide`). A revision is accepted once the register's majority has
accepted its head, which each voter learns through `apply_order`; only then is it published. A new writer
starts no draft until it has the content of the accepted head.

A proposer is answered that its proposal was accepted, that it is in no open vote of this machine and will
not be, or, if the writer lost the task during the vote, that the outcome is unknown; it then retries under
the same name. A refusal does not cover earlier attempts: if the proposal was sent before, it may have been
accepted then (`ProposalRefused`).
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..fleet.leader_task import TaskOrder
from .candidates import CandidateError, Candidates, unpack_head
from .items import EMPTY_ROOT, approximate_size
from .log import RevisionLog, coalesce
from .messages import ProposeRequest, StoreAnswer, StoreRequest
from .proposals import (
    AcceptedProposals,
    ProposalError,
    ProposalQueue,
    QueuedProposal,
    check_proposal,
    proposal_names,
)
from .revision import GENESIS, Delta, Head, RevisionError, RevisionId

CONFIGURATION_TASK = "configuration"
"""Name of the leader task."""
PROPOSAL_TIMEOUT_SECONDS = 30.0
"""After which a proposer is answered that its proposal was not accepted or its outcome is unknown."""
STORE_RETRY_SECONDS = 2.0
"""Until the draft is sent again to a voter that has not stored it, in addition to its transfer time."""
STORE_BYTES_PER_SECOND = 1_000_000.0
"""Assumed throughput from writer to voter."""


@dataclass(frozen=True, slots=True)
class SendStoreRequest:
    """Send this request to a voter; its answer is passed to `handle_store_answer`."""

    voter: str
    request: StoreRequest


@dataclass(frozen=True, slots=True)
class PersistCandidate:
    """Make the request durable; only then send the reply to `request.writer`.

    If that is this voter, pass the reply to `handle_store_answer` instead. The request stays on disk until
    its revision or a later one is durable in the log.
    """

    request: StoreRequest
    reply: StoreAnswer


@dataclass(frozen=True, slots=True)
class SendStoreAnswer:
    """Send this answer to the writer immediately: the voter could not store the candidate."""

    writer: str
    answer: StoreAnswer


@dataclass(frozen=True, slots=True)
class ProposalAccepted:
    """A majority of voters has accepted a revision that contains this proposal."""

    proposal: str
    revision: RevisionId


@dataclass(frozen=True, slots=True)
class ProposalRefused:
    """The proposal is not in any open vote of this machine, and will not be unless it is sent again.

    It may still have been accepted if it was sent earlier, to a writer that was killed after its vote. The
    proposer then retries at the writer under the same name.
    """

    proposal: str
    reason: str
    writer: str = ""
    """The writer to ask instead, if known."""


@dataclass(frozen=True, slots=True)
class ProposalUnknown:
    """The proposal may have been accepted, or may still be; the proposer retries under the same name."""

    proposal: str
    reason: str
    writer: str = ""
    """The writer to ask, if known."""


@dataclass(frozen=True, slots=True)
class ContentMissing:
    """This head is accepted but its content is missing here: read it from another voter."""

    head: Head


@dataclass(frozen=True, slots=True)
class Publish:
    """Append this delta to the relay's log, and repeat its blocked reads."""

    delta: Delta


Action = (
    SendStoreRequest
    | PersistCandidate
    | SendStoreAnswer
    | ProposalAccepted
    | ProposalRefused
    | ProposalUnknown
    | ContentMissing
    | Publish
)


@dataclass(slots=True)
class _Draft:
    """The revision that the writer is preparing."""

    request: StoreRequest
    waiting: list[QueuedProposal]
    """Proposals whose proposers have not been answered yet."""
    resend_at: float
    stored: set[str] = field(default_factory=set)
    """Voters at which it is durable."""
    decided: bool = False
    """Whether its head was put to the vote: from then on it may be accepted without this writer."""

    @property
    def head(self) -> Head:
        delta = self.request.delta
        return Head(delta.target, delta.root, delta.base)

    def add_waiting(self, queued: QueuedProposal) -> None:
        """Answer a repeated proposal too, whose earlier request may have timed out."""
        if queued.proposal not in proposal_names(self.waiting):
            self.waiting.append(queued)

    @property
    def retry_seconds(self) -> float:
        return STORE_RETRY_SECONDS + approximate_size(self.request.delta.changes) / STORE_BYTES_PER_SECOND


@dataclass(frozen=True, slots=True)
class WriterStatus:
    """State of the writer or voter, for operators."""

    writer: str
    """Name of the current writer; empty if unknown."""
    term: int
    accepted: RevisionId
    accepted_at: float
    """When this voter learned of `accepted`, in seconds on its own clock."""
    log_head: RevisionId
    queued: int
    draft: RevisionId | None
    stored_by: tuple[str, ...]
    """Voters at which the draft is durable."""
    error: str


class ConfigurationTask:
    """The configuration task at one voter, which may be the writer.

    Its methods return the actions for the caller to execute; those that result from calls by `LeaderTasks`
    are collected and returned by `drain_actions`.
    """

    name = CONFIGURATION_TASK
    durable = True

    def __init__(self, name: str, voters: Sequence[str], log: RevisionLog, now: float) -> None:
        """`name` is that of this voter. Raises ValueError if it is not among `voters`."""
        if name not in voters:
            raise ValueError(f"voter {name}; allowed: {', '.join(voters)}")
        self._voter, self._voters, self._log = name, tuple(voters), log
        self._candidates = Candidates(log)
        self._queue = ProposalQueue()
        self._accepted_proposals = AcceptedProposals()
        self._draft: _Draft | None = None
        self._head = Head(GENESIS, EMPTY_ROOT, GENESIS)
        """The latest head known to be accepted."""
        self._accepted_at = now
        self._term = 0
        """The latest known term of ownership."""
        self._owner = ""
        self._owned_term: int | None = None
        """The term in which this voter is the writer; None if it is not."""
        self._missing_head: Head | None = None
        """The head whose content was requested last."""
        self._actions: list[Action] = []
        self.error = ""
        """A condition that needs an operator; empty if there is none."""

    # Leader task

    def local_report(self, now: float) -> bytes:
        """Return an empty report: acknowledgements are sent with reads instead."""
        return b""

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        """Return an empty report, as there is nothing to merge."""
        return b""

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        """Return the draft's head once a majority has stored its content, otherwise the accepted state."""
        try:
            accepted = unpack_head(state, EMPTY_ROOT)
        except RevisionError as error:
            self.error = str(error)
            return state
        draft = self._draft
        if draft is None or self._owned_term is None or not self._has_majority(draft):
            return state
        delta = draft.request.delta
        if (accepted.revision, accepted.root) != (delta.base, delta.base_root):
            return state
        draft.decided = True
        return draft.head.pack()

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """Learn that a head was accepted in the term of the order's owner, and publish its content."""
        try:
            head = unpack_head(order.state, EMPTY_ROOT)
        except RevisionError as error:
            self.error = str(error)
            return
        self._term, self._owner = order.term, order.owner
        self._advance_head(now, head)
        self._update_ownership(order)
        self._actions += self._start_next_draft(now)

    def expire_order(self, now: float) -> None:
        """Step down: no writer is known any more."""
        self._owner = ""
        self._step_down("no writer is known")

    def restore_order(self, now: float, order: TaskOrder) -> None:
        """Restore the head that an earlier run knew to be accepted; the writer may have changed since."""
        try:
            head = unpack_head(order.state, EMPTY_ROOT)
        except RevisionError as error:
            self.error = str(error)
            return
        self._term = order.term
        self._advance_head(now, head)

    def drain_actions(self) -> list[Action]:
        """Return and clear the actions of calls by `LeaderTasks`, to be executed immediately and in order."""
        actions, self._actions = self._actions, []
        return actions

    def restore_candidate(self, request: StoreRequest) -> None:
        """Restore a candidate that an earlier run made durable; call before `LeaderTasks.restore`."""
        self._candidates.restore(request)

    # Proposals

    def propose(self, now: float, request: ProposeRequest) -> list[Action]:
        """Queue a proposal, as the writer.

        Unless it is known immediately, the outcome is returned by a later call, as an action with the
        proposal's name; a proposal that is sent again while it is pending gets one outcome for both.
        """
        revision = self._accepted_proposals.accepted_revision(request.proposal)
        if revision is not None:
            return [ProposalAccepted(request.proposal, revision)]
        if self._owned_term is None:
            return [ProposalRefused(request.proposal, "not the writer", self._owner)]
        if request.proposal in self._queue:
            return []
        queued = QueuedProposal(request.proposal, request.changes, now + PROPOSAL_TIMEOUT_SECONDS)
        if self._draft is not None and request.proposal in self._draft.request.proposals:
            self._draft.add_waiting(queued)
            return []
        try:
            check_proposal(request)
            self._queue.add(queued)
        except ProposalError as error:
            return [ProposalRefused(request.proposal, str(error))]
        return self._start_next_draft(now)

    def _start_next_draft(self, now: float) -> list[Action]:
        """Start the next draft if none is in progress and the content of the accepted head is here."""
        if self._owned_term is None or self._draft is not None or not self._queue or not self.caught_up:
            return []
        accepted, batch = self._split_accepted(self._queue.pop_batch())
        if not batch:
            return [*accepted, *self._start_next_draft(now)]
        return [*accepted, *self._start_draft(now, batch)]

    def _start_draft(self, now: float, batch: list[QueuedProposal]) -> list[Action]:
        changes = coalesce(queued.changes for queued in batch)
        base = self._log.head
        assert self._owned_term is not None, "only the writer starts drafts"
        target = RevisionId(self._owned_term, base.number + 1)
        try:
            root = self._log.store.root_after(changes)
        except RevisionError as error:
            return [ProposalRefused(queued.proposal, str(error)) for queued in batch]
        delta = Delta(base, self._log.root, target, root, changes)
        request = StoreRequest(self._voter, delta, proposal_names(batch))
        self._draft = _Draft(request, batch, now)
        return self._request_storage(now, self._draft)

    @property
    def caught_up(self) -> bool:
        """Whether the log has the content of the accepted head."""
        return (self._log.head, self._log.root) == (self._head.revision, self._head.root)

    def _request_storage(self, now: float, draft: _Draft) -> list[Action]:
        """Send the draft to each voter that has not stored it, including this one."""
        draft.resend_at = now + draft.retry_seconds
        missing = [voter for voter in self._voters if voter not in draft.stored]
        actions: list[Action] = []
        for voter in missing:
            if voter == self._voter:
                actions += self.store_candidate(now, draft.request)
            else:
                actions.append(SendStoreRequest(voter, draft.request))
        return actions

    def _has_majority(self, draft: _Draft) -> bool:
        return len(draft.stored) > len(self._voters) // 2

    # Voters

    def store_candidate(self, now: float, request: StoreRequest) -> list[Action]:
        """Store a candidate, as a voter, or answer with the reason why not."""
        delta = request.delta
        try:
            self._check_writer(request)
            self._forget_superseded()
            self._candidates.add(request)
        except CandidateError as error:
            answer = StoreAnswer(self._voter, delta.target, delta.root, stored=False, reason=str(error))
            return [SendStoreAnswer(request.writer, answer)]
        reply = StoreAnswer(self._voter, delta.target, delta.root, stored=True)
        return [PersistCandidate(request, reply)]

    def _check_writer(self, request: StoreRequest) -> None:
        """Raises CandidateError if the writer is known to be deposed."""
        term = request.delta.target.term
        if term < self._term:
            raise CandidateError(f"term {term} of {request.writer} has ended; the latest is {self._term}")
        if term == self._term and self._owner not in ("", request.writer):
            raise CandidateError(f"{request.writer} is not the writer of term {term}; {self._owner} is")

    def handle_store_answer(self, now: float, answer: StoreAnswer) -> list[Action]:
        """Record, as the writer, a voter's answer.

        The draft is sent again at `resend_at` to a voter that could not store it.
        """
        draft = self._draft
        if draft is None or answer.voter not in self._voters:
            return []
        delta = draft.request.delta
        if answer.stored and (answer.target, answer.root) == (delta.target, delta.root):
            draft.stored.add(answer.voter)
        return []

    # Time

    def tick(self, now: float) -> list[Action]:
        """Resend the draft to voters and expire proposals, as far as they are due."""
        actions: list[Action] = self._expire_proposals(now)
        if self._draft is not None and now >= self._draft.resend_at:
            actions += self._request_storage(now, self._draft)
        return actions + self._start_next_draft(now)

    def _expire_proposals(self, now: float) -> list[Action]:
        reason = f"not accepted within {PROPOSAL_TIMEOUT_SECONDS:g} s"
        actions: list[Action] = [
            ProposalRefused(queued.proposal, reason) for queued in self._queue.pop_expired(now)
        ]
        if self._draft is not None:
            expired = [queued for queued in self._draft.waiting if now >= queued.deadline]
            self._draft.waiting = [queued for queued in self._draft.waiting if now < queued.deadline]
            actions += [ProposalUnknown(queued.proposal, reason, self._owner) for queued in expired]
        return actions

    def due(self) -> float:
        """Return the time at which `tick` has something to do; infinity if there is none."""
        if self._draft is None:
            ready = self._owned_term is not None and self.caught_up and len(self._queue) > 0
            return -math.inf if ready else self._queue.next_deadline()
        deadlines = [queued.deadline for queued in self._draft.waiting]
        return min([self._draft.resend_at, self._queue.next_deadline(), *deadlines])

    # Accepted heads

    def _advance_head(self, now: float, head: Head) -> None:
        if head != self._head:
            self._head, self._accepted_at = head, now
        log_head = self._log.head
        if log_head < head.revision:
            self._publish_up_to(head)
        elif (log_head, self._log.root) == (head.revision, head.root):
            self.error = ""
        elif log_head == head.revision:
            # One revision with two contents: one of them comes from a disk or backup of another fleet.
            self.error = (
                f"{log_head} is stored with digest {self._log.root.hex()}; accepted: {head.root.hex()}"
            )
        self._forget_superseded()
        self._finish_draft(head)

    def _forget_superseded(self) -> None:
        for request in self._candidates.drop_superseded():
            self._accepted_proposals.record(request.proposals, request.delta.target)

    def _publish_up_to(self, head: Head) -> None:
        """Publish the candidates up to the accepted head, or request its content from another voter."""
        chain = self._candidates.chain_to(head)
        if chain is not None:
            pending = {action.delta.target for action in self._actions if isinstance(action, Publish)}
            for request in chain:
                self._accepted_proposals.record(request.proposals, request.delta.target)
                if request.delta.target not in pending:
                    self._actions.append(Publish(request.delta))
        elif self._missing_head != head:
            self._missing_head = head
            self._actions.append(ContentMissing(head))

    def _finish_draft(self, head: Head) -> None:
        """Answer the proposers once a head after the draft's base is accepted, the draft's or another."""
        draft = self._draft
        if draft is None or head.revision <= draft.request.delta.base:
            return
        self._draft = None
        if (head.revision, head.root) == (draft.head.revision, draft.head.root):
            self._accepted_proposals.record(draft.request.proposals, head.revision)
        self._answer_waiting(draft, f"{head.revision} was accepted instead")

    def _update_ownership(self, order: TaskOrder) -> None:
        if order.owner != self._voter:
            self._step_down(f"{order.owner} is the writer now")
        elif self._owned_term != order.term:
            self._step_down("the term has ended")
            self._owned_term = order.term

    def _step_down(self, reason: str) -> None:
        """Answer all pending proposals; only those that were put to the vote may still be accepted."""
        self._owned_term = None
        self._refuse_proposals(self._queue.pop_all(), reason)
        if self._draft is not None:
            draft, self._draft = self._draft, None
            self._answer_waiting(draft, reason)

    def _answer_waiting(self, draft: _Draft, reason: str) -> None:
        accepted, others = self._split_accepted(draft.waiting)
        self._actions += accepted
        if not draft.decided:
            self._refuse_proposals(others, reason)
            return
        names = proposal_names(others)
        self._actions += [ProposalUnknown(proposal, f"{reason}; retry", self._owner) for proposal in names]

    def _split_accepted(
        self, waiting: Iterable[QueuedProposal]
    ) -> tuple[list[ProposalAccepted], list[QueuedProposal]]:
        """Split off the proposals accepted already, e.g. in an earlier draft before they were sent again."""
        accepted: list[ProposalAccepted] = []
        others: list[QueuedProposal] = []
        for queued in waiting:
            revision = self._accepted_proposals.accepted_revision(queued.proposal)
            if revision is None:
                others.append(queued)
            else:
                accepted.append(ProposalAccepted(queued.proposal, revision))
        return accepted, others

    def _refuse_proposals(self, proposals: Iterable[QueuedProposal], reason: str) -> None:
        names = proposal_names(list(proposals))
        self._actions += [
            ProposalRefused(proposal, f"{reason}; nothing was done by this machine", self._owner)
            for proposal in names
        ]

    def status(self) -> WriterStatus:
        """Return this voter's state, for operators."""
        draft = self._draft
        return WriterStatus(
            writer=self._owner,
            term=self._term,
            accepted=self._head.revision,
            accepted_at=self._accepted_at,
            log_head=self._log.head,
            queued=len(self._queue),
            draft=None if draft is None else draft.request.delta.target,
            stored_by=() if draft is None else tuple(sorted(draft.stored)),
            error=self.error,
        )
