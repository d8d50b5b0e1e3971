"""A voter on the decision thread: what `ConfigurationTask` and the vote ask for is carried out here."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

from ...core.distribution.items import approximate_size
from ...core.distribution.messages import ProposeAnswer, StoreAnswer, StoreRequest
from ...core.distribution.revision import Delta
from ...core.distribution.writer import (
    STORE_BYTES_PER_SECOND,
    STORE_RETRY_SECONDS,
    Action,
    ConfigurationTask,
    ContentMissing,
    PersistCandidate,
    ProposalAccepted,
    ProposalRefused,
    ProposalUnknown,
    Publish,
    SendStoreAnswer,
    SendStoreRequest,
)
from ...core.fleet.messages import Message
from ...net.threads import Failure
from ...net.workers import Workers
from ...obs.logs import Log
from .config import ControlConfig
from .envelope import Envelope
from .events import CandidateStored, EventQueue, ProposeAsked, ReplySlot, StoreAnswered, StoreAsked
from .exchange import Carrier, CarryError
from .files import RevisionFiles
from .voting import VotingMember

MOST_SENDING = 8
"""Candidates that are on their way to other voters at once."""


class ConfigurationVoter:
    """Connects a voter's core to its disk, the other voters and the proposers that wait."""

    def __init__(
        self,
        config: ControlConfig,
        work: ConfigurationTask,
        member: VotingMember,
        files: RevisionFiles,
        events: EventQueue,
        envelope: Envelope,
        publish: Callable[[float, Delta], None],
        log: Log,
        on_failure: Failure,
    ) -> None:
        """`publish`: holds an accepted revision and tells the readers."""
        self.work, self.member = work, member
        self._name, self._files, self._events = config.name, files, events
        self._publish, self._log = publish, log
        self._addresses = {x.name: x.address for x in config.machines}
        self._carriers = {x.name: Carrier(x.address, envelope) for x in config.voters}
        self._sending = Workers("store", MOST_SENDING, on_failure)
        self._proposers: defaultdict[str, list[ReplySlot[ProposeAnswer]]] = defaultdict(list)
        """Who waits for what becomes of a proposal, by its name."""

    @property
    def is_writer(self) -> bool:
        """Whether this machine is the writer, as far as it knows."""
        return self.work.status().writer == self._name

    @property
    def bytes_out(self) -> int:
        """Of candidates sent to other voters."""
        return sum(x.bytes_out for x in self._carriers.values())

    # Time and datagrams

    def due(self) -> float:
        """When `tick` has something to do."""
        return min(self.member.due(), self.work.due())

    def tick(self, now: float) -> None:
        """Do what is due."""
        if now >= self.member.due():
            self.member.tick(now)
        self._carry(now, self.work.drain_actions())
        self._carry(now, self.work.tick(now))

    def received(self, now: float, message: Message) -> None:
        """A datagram of another voter."""
        self.member.received(now, message)
        self._carry(now, self.work.drain_actions())

    def written(self, now: float, token: int, trouble: str) -> None:
        """A record of the vote is durable, or can't be."""
        self.member.written(now, token, trouble)
        self._carry(now, self.work.drain_actions())

    def hand_over(self, now: float) -> None:
        """This machine stops as planned."""
        self.member.hand_over(now)
        self._carry(now, self.work.drain_actions())

    def end(self, now: float) -> None:
        """Say that it leaves; tell proposers who still wait to ask another machine."""
        self.member.stop(now)
        for proposal in list(self._proposers):
            self._refuse(proposal, "stopping; ask again")

    # Requests

    def propose(self, now: float, asked: ProposeAsked) -> None:
        """A proposal; its slot is told once it is accepted or refused."""
        self._proposers[asked.request.proposal].append(asked.slot)
        for action in self.work.propose(now, asked.request):
            if isinstance(action, ProposalRefused) and not action.writer and self.is_writer:
                self._tell(ProposeAnswer(action.proposal, False, None, action.reason))
            else:
                self._carry(now, [action])

    def store(self, now: float, asked: StoreAsked) -> None:
        """The writer's candidate; its slot is told once it is durable."""
        for action in self.work.store_candidate(now, asked.request):
            if isinstance(action, PersistCandidate):
                self._persist(action.request, action.reply, asked.slot.tell)
            elif isinstance(action, SendStoreAnswer):
                asked.slot.tell(action.answer)

    def stored(self, now: float, event: CandidateStored | StoreAnswered) -> None:
        """A voter holds the draft, or can't."""
        if not event.answer.stored:
            self._log.info("candidate_not_stored", voter=event.answer.voter, cause=event.answer.reason)
        self._carry(now, self.work.handle_store_answer(now, event.answer))

    # Actions

    def _carry(self, now: float, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Publish(delta):
                    self._publish(now, delta)
                case SendStoreRequest(voter, request):
                    self._send(voter, request)
                case PersistCandidate(request, reply):
                    self._persist(request, reply, self._stored_here)
                case SendStoreAnswer(_, answer):
                    self._stored_here(answer)
                case ProposalAccepted(proposal, revision):
                    self._tell(ProposeAnswer(proposal, True, revision))
                case ProposalRefused():
                    self._refused(action)
                case ProposalUnknown(proposal, reason, _):
                    self._refuse(proposal, f"unknown whether it was accepted: {reason}")
                case ContentMissing(head):
                    self._log.info("content_needed", revision=str(head.revision))

    def _stored_here(self, answer: StoreAnswer) -> None:
        self._events.put(CandidateStored(answer))

    def _persist(
        self, request: StoreRequest, reply: StoreAnswer, tell: Callable[[StoreAnswer], None]
    ) -> None:
        def done(trouble: str) -> None:
            if trouble:
                self._log.error("candidate_not_kept", revision=str(reply.target), cause=trouble)
                tell(StoreAnswer(reply.voter, reply.target, reply.root, stored=False, reason="disk trouble"))
            else:
                tell(reply)

        self._files.store_candidate(request, done)

    def _send(self, voter: str, request: StoreRequest) -> None:
        timeout = STORE_RETRY_SECONDS + approximate_size(request.delta.changes) / STORE_BYTES_PER_SECOND

        def send() -> None:
            try:
                answer = self._carriers[voter].exchange(request, StoreAnswer, timeout).message
            except CarryError as error:  # the writer's core asks again
                self._log.info("candidate_unsent", voter=voter, cause=str(error))
                return
            self._events.put(StoreAnswered(answer))

        self._sending.submit(send)

    # Proposers

    def _tell(self, answer: ProposeAnswer) -> None:
        for slot in self._proposers.pop(answer.proposal, ()):
            slot.tell(answer)

    def _refuse(self, proposal: str, reason: str) -> None:
        for slot in self._proposers.pop(proposal, ()):
            slot.refuse(reason)

    def _refused(self, action: ProposalRefused) -> None:
        """Not by the writer for what the proposal says, which `propose` answers at once: the proposer is to
        ask the writer, or whoever becomes it."""
        writer = self._addresses.get(action.writer, "")
        if writer:
            self._tell(ProposeAnswer(action.proposal, False, None, action.reason, writer))
        else:
            self._refuse(action.proposal, action.reason)
