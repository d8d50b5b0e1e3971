"""Acceptor of a leader task's register, run by each voter: state machine, promises and acceptances.

The acceptor of Paxos with a lease in addition; see `register.py` for the protocol.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

import msgspec

from .register import (
    MAX_COUNTER,
    LeaseTiming,
    StoredValue,
    ValueVersion,
    VoteQuestion,
    VoteReply,
    VoteRequest,
    VoteResult,
    VoterRecord,
)


class AcceptorState(Enum):
    """States of an acceptor; the values are shown to operators and sent as reasons of refusals."""

    STARTED = "started, may have forgotten whose lease runs"
    FREE = "keeps nobody's lease"
    PROMISED = "has promised a moment ago"
    LEASED = "keeps an owner's lease"
    PROMISES = "a promise is on its way to the disk"
    ACCEPTS = "an owner's record is on its way to the disk"
    ABSTAINS = "may have forgotten its word"
    REBUILDS = "what the others have is on its way to the disk"


class AcceptorEvent(Enum):
    """Requests, classified by what the acceptor has promised and accepted, and local events.

    The values are shown in the generated page of tables and sent as reasons of refusals.
    """

    WOULD = "asked whether it would promise"
    READ = "asked what it has"
    PREPARE = "asked to promise a higher ballot"
    RAISE = "asked by the owner whose value it has to promise a higher ballot"
    PREPARED = "asked again for the promise that stands"
    ACCEPT = "asked to accept what it has not, under no lower a ballot than promised"
    ACCEPTED = "asked again to accept what it has accepted"
    RENEW = "asked by the owner that it accepted to keep the lease"
    # `mark` is the version of a value (`ValueVersion`), and the number of voters is the version of the voter
    # set (`voters_number`), not its size.
    OLD = "asked under a lower ballot, mark or number of voters, or for what it never accepted"
    WRITTEN = "the record is durable"
    FAILED = "the record can't be written"
    PASSED = "the time it kept its word for is over"
    DOUBT = "told that its disk may have forgotten"
    REBUILT = "what a majority of the others has is known"


class AcceptorAction(Enum):
    """What the acceptor does at a transition."""

    SAY = "yes"
    """Reply from the durable record; a repeated request gets the same reply."""
    WRITE = "write, say nothing yet"
    REFUSE = "no"
    BUSY = "writes"
    ABSTAIN = "abstains"
    NOTHING = "-"


_ST, _FR, _PR, _LE, _WP, _WA, _AB, _RB = AcceptorState
_SAY, _WRITE, _NO, _BUSY, _ABST, _NIL = AcceptorAction
_ASKED = dict.fromkeys(list(AcceptorEvent)[:9], (_AB, _ABST))
TRANSITIONS: dict[tuple[AcceptorState, AcceptorEvent], tuple[AcceptorState, AcceptorAction]] = {
    (state, event): after
    for state, row in {
        _ST: {
            AcceptorEvent.WOULD: (_ST, _NO),
            AcceptorEvent.READ: (_ST, _SAY),
            AcceptorEvent.PREPARE: (_ST, _NO),
            AcceptorEvent.RAISE: (_ST, _NO),
            AcceptorEvent.PREPARED: (_ST, _NO),
            AcceptorEvent.ACCEPT: (_WA, _WRITE),
            AcceptorEvent.ACCEPTED: (_LE, _SAY),
            AcceptorEvent.RENEW: (_LE, _SAY),
            AcceptorEvent.OLD: (_ST, _NO),
            AcceptorEvent.PASSED: (_FR, _NIL),
        },
        _FR: {
            AcceptorEvent.WOULD: (_FR, _SAY),
            AcceptorEvent.READ: (_FR, _SAY),
            AcceptorEvent.PREPARE: (_WP, _WRITE),
            AcceptorEvent.RAISE: (_WP, _WRITE),
            AcceptorEvent.PREPARED: (_PR, _SAY),
            AcceptorEvent.ACCEPT: (_WA, _WRITE),
            AcceptorEvent.ACCEPTED: (_LE, _SAY),
            AcceptorEvent.RENEW: (_LE, _SAY),
            AcceptorEvent.OLD: (_FR, _NO),
        },
        _PR: {
            AcceptorEvent.WOULD: (_PR, _NO),
            AcceptorEvent.READ: (_PR, _SAY),
            AcceptorEvent.PREPARE: (_WP, _WRITE),
            AcceptorEvent.RAISE: (_WP, _WRITE),
            AcceptorEvent.PREPARED: (_PR, _SAY),
            AcceptorEvent.ACCEPT: (_WA, _WRITE),
            AcceptorEvent.ACCEPTED: (_LE, _SAY),
            AcceptorEvent.RENEW: (_LE, _SAY),
            AcceptorEvent.OLD: (_PR, _NO),
            AcceptorEvent.PASSED: (_FR, _NIL),
        },
        _LE: {
            AcceptorEvent.WOULD: (_LE, _NO),
            AcceptorEvent.READ: (_LE, _SAY),
            AcceptorEvent.PREPARE: (_LE, _NO),
            AcceptorEvent.RAISE: (_WA, _WRITE),
            AcceptorEvent.PREPARED: (_LE, _SAY),
            AcceptorEvent.ACCEPT: (_WA, _WRITE),
            AcceptorEvent.ACCEPTED: (_LE, _SAY),
            AcceptorEvent.RENEW: (_LE, _SAY),
            AcceptorEvent.OLD: (_LE, _NO),
            AcceptorEvent.PASSED: (_FR, _NIL),
        },
        _WP: {
            AcceptorEvent.WOULD: (_WP, _BUSY),
            AcceptorEvent.READ: (_WP, _BUSY),
            AcceptorEvent.PREPARE: (_WP, _BUSY),
            AcceptorEvent.RAISE: (_WP, _BUSY),
            AcceptorEvent.PREPARED: (_WP, _BUSY),
            AcceptorEvent.ACCEPT: (_WP, _BUSY),
            AcceptorEvent.OLD: (_WP, _NO),
            AcceptorEvent.WRITTEN: (_PR, _SAY),
            AcceptorEvent.FAILED: (_AB, _ABST),
        },
        _WA: {
            AcceptorEvent.WOULD: (_WA, _NO),
            AcceptorEvent.READ: (_WA, _BUSY),
            AcceptorEvent.PREPARE: (_WA, _NO),
            AcceptorEvent.RAISE: (_WA, _BUSY),
            AcceptorEvent.PREPARED: (_WA, _BUSY),
            AcceptorEvent.ACCEPT: (_WA, _BUSY),
            AcceptorEvent.ACCEPTED: (_WA, _SAY),
            AcceptorEvent.RENEW: (_WA, _SAY),
            AcceptorEvent.OLD: (_WA, _NO),
            AcceptorEvent.WRITTEN: (_LE, _SAY),
            AcceptorEvent.FAILED: (_AB, _ABST),
        },
        _AB: {**_ASKED, AcceptorEvent.REBUILT: (_RB, _WRITE)},
        _RB: {
            **dict.fromkeys(_ASKED, (_RB, _ABST)),
            AcceptorEvent.WRITTEN: (_ST, _NIL),
            AcceptorEvent.FAILED: (_AB, _NIL),
        },
    }.items()
    for event, after in row.items()
} | {(x, AcceptorEvent.DOUBT): (_AB, _WRITE) for x in AcceptorState}
"""Next state and action by state and event. DOUBT writes a record: after a restart the voter would otherwise
vote although its log may have lost records."""
UNREACHABLE: dict[tuple[AcceptorState, AcceptorEvent], str] = {
    **{
        (x, y): "no write is pending"
        for x in (_ST, _FR, _PR, _LE)
        for y in (AcceptorEvent.WRITTEN, AcceptorEvent.FAILED)
    },
    **{
        (_AB, x): "the pending write was discarded when the disk came into doubt"
        for x in (AcceptorEvent.WRITTEN, AcceptorEvent.FAILED)
    },
    **{(x, AcceptorEvent.PASSED): "no lease or promise is running" for x in (_FR, _AB, _RB)},
    **{(x, AcceptorEvent.PASSED): "the expiry is checked once the write has ended" for x in (_WP, _WA)},
    **{
        (_WP, x): "the pending promise has a higher ballot than the accepted value"
        for x in (AcceptorEvent.ACCEPTED, AcceptorEvent.RENEW)
    },
    **{
        (x, AcceptorEvent.REBUILT): "only an abstaining voter reads the others' records"
        for x in AcceptorState
        if x is not _AB
    },
}


class Acceptor:
    """One voter's acceptor of one register; a record is durable before any reply depends on it."""

    def __init__(self, task_name: str, now: float, timing: LeaseTiming) -> None:
        self.task_name, self._timing = task_name, timing
        self.state = AcceptorState.STARTED
        self.bound_until = now + timing.lease
        """When its lease to an owner, or its last promise, stops binding it."""
        self.durable = VoterRecord(task_name)
        self.pending: VoterRecord | None = None
        self._pending_request: tuple[VoteQuestion, float] | None = None
        """Kind of the request that waits for the pending record, and the time of its receipt."""

    @property
    def latest(self) -> VoterRecord:
        """The record that requests are compared with: the pending one, or else the durable one."""
        return self.pending or self.durable

    def restore(self, record: VoterRecord, now: float) -> None:
        """Restore the last record of the log; as after any start, promise nothing for the time of a lease."""
        self.durable = record
        if record.doubtful:
            self._transition(AcceptorEvent.DOUBT)
        self.bound_until = now + self._timing.lease

    def handle_request(
        self, now: float, sender: str, run: str, request: VoteRequest
    ) -> tuple[VoteReply | None, VoterRecord | None]:
        """Handle a request; returns the reply to send now, or the record to make durable before replying."""
        self.tick(now)
        event = self._classify(sender, run, request)
        action = self._transition(event)
        if action is AcceptorAction.WRITE:
            durable = self.durable
            if request.question is VoteQuestion.PREPARE:
                self.pending = msgspec.structs.replace(durable, promised=request.ballot)
            else:
                voters_number = max(durable.voters_number, request.voters_number)
                self.pending = VoterRecord(
                    self.task_name, request.ballot, request.ballot, request.value, voters_number
                )
                self.bound_until = max(self.bound_until, now + self._timing.lease)
            self._pending_request = (request.question, now)
            return None, self.pending
        if action is AcceptorAction.SAY:
            self._extend_binding(now, event)
        return self._reply(now, request.question, action, event), None

    def _transition(self, event: AcceptorEvent) -> AcceptorAction:
        self.state, action = TRANSITIONS[self.state, event]
        return action

    def _extend_binding(self, now: float, event: AcceptorEvent) -> None:
        """Extend the lease or the promise, counted from the receipt of the request."""
        if event in (AcceptorEvent.ACCEPTED, AcceptorEvent.RENEW):
            self.bound_until = max(self.bound_until, now + self._timing.lease)
        elif event is AcceptorEvent.PREPARED and self.state is AcceptorState.PROMISED:
            self.bound_until = now + self._timing.answer_timeout

    def _classify(self, sender: str, run: str, request: VoteRequest) -> AcceptorEvent:
        latest, durable, ballot = self.latest, self.durable, request.ballot
        if request.question is VoteQuestion.READ:
            return AcceptorEvent.READ
        if request.voters_number < latest.voters_number or not 0 <= ballot[0] < MAX_COUNTER:
            return AcceptorEvent.OLD
        match request.question:
            case VoteQuestion.PRE_VOTE:
                return AcceptorEvent.WOULD
            case VoteQuestion.PREPARE if ballot[1:] == (sender, run):
                if ballot > latest.promised:
                    value = durable.value
                    is_owner = value is not None and (value.owner, value.run) == (sender, run)
                    return AcceptorEvent.RAISE if is_owner else AcceptorEvent.PREPARE
                return AcceptorEvent.PREPARED if ballot == latest.promised else AcceptorEvent.OLD
            case VoteQuestion.ACCEPT if request.value is not None and all(
                0 < x < MAX_COUNTER for x in request.value.version
            ):
                if ballot < latest.promised:
                    return AcceptorEvent.OLD
                proposed, accepted = (
                    (ballot, request.value.version),
                    (durable.accepted, _version(durable.value)),
                )
                if proposed > accepted:
                    return AcceptorEvent.ACCEPT
                return AcceptorEvent.ACCEPTED if proposed == accepted else AcceptorEvent.OLD
            case VoteQuestion.RENEW if (
                durable.value is not None and ballot == durable.accepted == latest.promised
            ):
                is_owner = (durable.value.owner, durable.value.run) == (sender, run)
                return AcceptorEvent.RENEW if is_owner else AcceptorEvent.OLD
        return AcceptorEvent.OLD

    def _reply(
        self, now: float, question: VoteQuestion, action: AcceptorAction, event: AcceptorEvent | None = None
    ) -> VoteReply:
        durable = self.durable
        result = {
            AcceptorAction.SAY: VoteResult.YES,
            AcceptorAction.REFUSE: VoteResult.NO,
            AcceptorAction.BUSY: VoteResult.WRITING,
        }.get(action, VoteResult.ABSTAINS)
        with_value = result is VoteResult.YES and question in (VoteQuestion.PREPARE, VoteQuestion.READ)
        is_bound = self.state not in (
            AcceptorState.FREE,
            AcceptorState.ABSTAINS,
            AcceptorState.REBUILDS,
            AcceptorState.PROMISES,
        )
        return VoteReply(
            self.task_name,
            question,
            result,
            self.latest.promised,
            durable.accepted,
            durable.value if with_value else None,
            0 if durable.value is None else durable.value.voters_number,
            _version(durable.value),
            max(0.0, self.bound_until - now) if is_bound else 0.0,
            durable.voters_number,
            reason=event.value
            if event is AcceptorEvent.OLD
            else self.state.value
            if result is not VoteResult.YES
            else "",
        )

    def record_written(self, now: float, error: str = "") -> VoteReply | None:
        """Handle the result of writing the pending record; `error` is empty if it is durable.

        Returns the reply to send, or None if no request waits for one.
        """
        record, pending_request = self.pending, self._pending_request
        if record is None:
            return None
        self.pending = self._pending_request = None
        action = self._transition(AcceptorEvent.FAILED if error else AcceptorEvent.WRITTEN)
        if not error:
            self.durable = record
        if self.state is AcceptorState.STARTED:
            self.bound_until = now + self._timing.lease
        if pending_request is None:
            return None
        question, _ = pending_request
        if self.state is AcceptorState.PROMISED:
            self.bound_until = now + self._timing.answer_timeout
        return self._reply(now, question, action)

    def tick(self, now: float) -> None:
        """End the lease or the promise if its time is over."""
        if (self.state, AcceptorEvent.PASSED) in TRANSITIONS and now >= self.bound_until:
            self._transition(AcceptorEvent.PASSED)

    def mark_doubtful(self) -> VoterRecord:
        """Stop voting, as the disk may have lost records; returns the record to write."""
        self._transition(AcceptorEvent.DOUBT)
        self.pending = self._pending_request = None
        self.durable = msgspec.structs.replace(self.durable, doubtful=True)
        return self.durable

    def rebuild(self, replies: Iterable[VoteReply], voters_number: int) -> VoterRecord:
        """Adopt the highest promise and value of a majority of the others; returns the record to write."""
        self._transition(AcceptorEvent.REBUILT)
        record = msgspec.structs.replace(
            self.durable, doubtful=False, voters_number=max(voters_number, self.durable.voters_number)
        )
        for reply in replies:
            record = msgspec.structs.replace(
                record,
                promised=max(record.promised, reply.promised, reply.accepted),
                voters_number=max(record.voters_number, reply.voters_number),
            )
            if (reply.accepted, reply.version) > (record.accepted, _version(record.value)):
                record = msgspec.structs.replace(record, accepted=reply.accepted, value=reply.value)
        self.pending = record
        self._pending_request = None
        return self.pending


def _version(value: StoredValue | None) -> ValueVersion:
    return (0, 0) if value is None else value.version
