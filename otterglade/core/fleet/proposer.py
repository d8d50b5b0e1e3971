"""Proposer of a leader task's register: election, lease renewal, changes of state, planned hand-over.

The proposer of Paxos; see `register.py` for the protocol and `proposer_stages.py` for the state machine.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

import msgspec

from .proposer_stages import OWNING, STAGES, Stage, Step
from .register import (
    MAX_COUNTER,
    NO_BALLOT,
    Ballot,
    LeaseTiming,
    StoredValue,
    VoteQuestion,
    VoteReply,
    VoteRequest,
    VoteResult,
    Voters,
)

FORCED_TERMS = 1 << 20
"""Terms skipped by a forced change of voters: more than the lost voters can have granted since."""
MAX_REASON_BYTES = 60
"""Size of an operator's reason for a forced change, as stored in a value."""


@dataclass(slots=True)
class Poll:
    """A request to all voters and their replies; voters that have not replied get it again."""

    request_id: int
    request: VoteRequest
    sent_at: float
    """When it was first sent; a lease that it renews runs from then."""
    expires_at: float
    retry_at: float
    grants: dict[str, VoteReply] = field(default_factory=dict)
    refusals: dict[str, VoteReply] = field(default_factory=dict)
    writing: set[str] = field(default_factory=set)
    """Voters that have reported a write in progress."""


AddressedRequest = tuple[str, int, VoteRequest]
"""Voter, request id and request; id 0 expects no reply."""


class Proposer:
    """One gateway's candidacy for, and ownership of, one leader task.

    Call `tick` when `due`. Methods return the requests to send. Times are seconds on this gateway's clock.
    """

    def __init__(self, task_name: str, name: str, run: str, voters: Voters, timing: LeaseTiming) -> None:
        self.task_name, self.name, self.run, self.voters, self._timing = task_name, name, run, voters, timing
        self.highest_term = 0
        """The highest term of an order that this gateway has applied."""
        self.stage = Stage.IDLE
        self.ballot: Ballot = NO_BALLOT
        self.value: StoredValue | None = None
        """The value that a majority has accepted, while this gateway is the owner."""
        self.lease_expires_at = -math.inf
        """When the ownership ends unless renewed."""
        self.owned_at = -math.inf
        self.end_reason = "no election tried yet"
        """How the last candidacy or ownership ended; shown to operators."""
        self.last_reply_at: dict[str, float] = {}
        """When each voter last replied."""
        self.retry_delay = 0.0
        """Seconds until voters that refused may grant a promise."""
        self.successor: StoredValue | None = None
        """The value that names the next owner, once the hand-over has begun."""
        self.attempt_ended = False
        """Whether a candidacy or ownership has ended; the caller resets it once it has handled that."""
        self._current_poll: Poll | None = None
        self._renewals: list[Poll] = []
        """Only the last one is sent again; earlier ones count while the lease they grant would run."""
        self._renew_at = -math.inf
        self._needs_higher_ballot = False
        """Whether a voter has promised a higher ballot to a candidate that didn't become owner."""
        self._counter = 0
        self._last_request_id = 0

    @property
    def is_owner(self) -> bool:
        """Whether this gateway gives orders; call `expire_lease` first."""
        return self.stage in OWNING

    @property
    def pending_value(self) -> StoredValue | None:
        """The value of the request that is under way."""
        return None if self._current_poll is None else self._current_poll.request.value

    @property
    def _retried_polls(self) -> list[Poll]:
        """Polls that are sent again to voters without a reply."""
        return [*([] if self._current_poll is None else [self._current_poll]), *self._renewals[-1:]]

    def due(self) -> float:
        """Return when `tick` has something to do next."""
        times = [min(x.retry_at, x.expires_at) for x in self._retried_polls]
        if self.stage in (*OWNING, Stage.HANDS):
            times.append(self.lease_expires_at)
        if self.stage in (Stage.OWNS, Stage.CHANGES):
            times.append(self._renew_at)
        return min(times, default=math.inf)

    # Time

    def expire_lease(self, now: float) -> None:
        """End the lease and the poll if their time is over.

        Called before anything else: a process that was suspended doesn't notice that by itself.
        """
        if self.stage in (*OWNING, Stage.HANDS) and now >= self.lease_expires_at:
            self._finish(Step.LAPSED, f"no majority renewed it: {self._describe_poll(self._renewals[-1:])}")
        elif self._current_poll is not None and now >= self._current_poll.expires_at and not self.is_owner:
            step = Step.LAPSED if self.stage is Stage.HANDS else Step.LATE
            self._finish(step, f"{self.stage.value}: {self._describe_poll([self._current_poll])}")
        self._renewals = [x for x in self._renewals if now < x.expires_at]

    def tick(self, now: float) -> list[AddressedRequest]:
        """Renew the lease and repeat requests where due."""
        self.expire_lease(now)
        requests: list[AddressedRequest] = []
        if (
            self._needs_higher_ballot
            and self.stage is Stage.OWNS
            and now >= self.owned_at + self._timing.lease
        ):
            requests += self._raise_ballot(now)
        if self.stage in (Stage.OWNS, Stage.CHANGES) and now >= self._renew_at:
            self._renew_at = now + self._timing.period
            self._renewals.append(self._new_poll(now, VoteQuestion.RENEW, None, self._timing.owner_lease))
            requests += self._requests(self._renewals[-1])
        for poll in self._retried_polls:
            if now >= poll.retry_at:
                poll.retry_at = now + min(
                    2.0 * (poll.retry_at - poll.sent_at), 4.0 * self._timing.retry_interval
                )
                requests += self._requests(poll)
        return requests

    # Transitions

    def start_election(self, now: float) -> list[AddressedRequest]:
        """Ask the voters for a pre-vote; only from `Stage.IDLE`."""
        self._transition(Step.TRY)
        self._counter += 1
        self.retry_delay = 0.0
        return self._start_poll(now, VoteQuestion.PRE_VOTE, None, self._timing.round_timeout)

    def propose_state(self, now: float, state: bytes) -> list[AddressedRequest]:
        """As the owner, propose a state.

        The current state is proposed again only to record the new set of voters.
        """
        assert self.value is not None, "an owner has a value"
        self._transition(Step.CHANGE)
        value = msgspec.structs.replace(
            self.value, number=self.value.number + 1, state=state, voters_number=self.voters.number
        )
        return self._start_poll(now, VoteQuestion.ACCEPT, value, math.inf)

    @property
    def has_unsettled_voters(self) -> bool:
        """Whether the value doesn't yet record the set of voters, though both sets have accepted."""
        return self.value is not None and self.value.voters_number < self.voters.number

    def _raise_ballot(self, now: float) -> list[AddressedRequest]:
        """Prepare a ballot above those promised to failed candidates, so that their voters count again.

        This gateway keeps giving orders meanwhile, while its lease runs.
        """
        self._transition(Step.RAISE)
        self._needs_higher_ballot, self._renewals = False, []
        self._counter += 1
        self.ballot = (self._counter, self.name, self.run)
        return self._start_poll(now, VoteQuestion.PREPARE, None, self.lease_expires_at - now)

    def _keep_value_after_raise(self, now: float, poll: Poll) -> list[AddressedRequest]:
        """Propose the current value again under the raised ballot.

        While the lease runs no other value can have been accepted; if one was, the ownership ends.
        """
        latest = max(poll.grants.values(), key=lambda x: (x.accepted, x.version))
        if self.value is None or latest.value != self.value:
            self._finish(Step.HOPELESS, "another proposer's value was accepted")
            return []
        self._transition(Step.ENOUGH)
        self._renew_at = now
        value = msgspec.structs.replace(self.value, number=self.value.number + 1)
        return self._start_poll(now, VoteQuestion.ACCEPT, value, math.inf)

    def hand_over(self, now: float, successor: str, run: str) -> list[AddressedRequest]:
        """Before a planned stop, propose `successor` as the owner of the next term and notify it."""
        value = self.pending_value or self.value
        if STAGES[self.stage, Step.STOP] is Stage.IDLE:
            self._finish(Step.STOP, "planned stop")
        else:
            self._transition(Step.STOP)
        if self.stage is not Stage.HANDS:
            return []
        self._renewals = []
        assert value is not None, "an owner has a value"
        if value.owner != self.name:
            return []  # the hand-over is already under way
        value = msgspec.structs.replace(value, term=value.term + 1, owner=successor, run=run, number=1)
        self.successor = value
        requests = self._start_poll(now, VoteQuestion.ACCEPT, value, self.lease_expires_at - now)
        return [*requests, self._handover_request(value)]

    def _handover_request(self, value: StoredValue) -> AddressedRequest:
        return (
            value.owner,
            0,
            VoteRequest(self.task_name, VoteQuestion.HAND_OVER, self.ballot, self.voters.number, value),
        )

    def accept_handover(self, now: float, request: VoteRequest) -> list[AddressedRequest]:
        """Handle the notice that names this gateway as successor by asking the voters to renew the lease.

        It becomes the owner once a majority has renewed it. A voter with the ballot and version of the notice
        has accepted the value in it.
        """
        value = request.value
        if value is None or (value.owner, value.run) != (self.name, self.run):
            return []
        if self.voters.refusal(value.voters_number):
            return []
        previous_stage = self.stage
        self._transition(Step.NAMED)
        if self.stage is not Stage.NAMED:
            return []
        if previous_stage is Stage.NAMED:  # the notice is repeated once a majority has accepted the value
            return (
                []
                if self._current_poll is None or request.ballot != self.ballot
                else self._requests(self._current_poll)
            )
        self.ballot, self.value = request.ballot, value
        self._counter = max(self._counter, request.ballot[0])
        return self._start_poll(now, VoteQuestion.RENEW, None, self._timing.round_timeout)

    def _transition(self, step: Step) -> None:
        self.stage = STAGES[self.stage, step]

    def _finish(self, step: Step, reason: str) -> None:
        self._transition(step)
        self._current_poll, self._renewals = None, []
        self._needs_higher_ballot = False
        self.value, self.successor, self.lease_expires_at, self.end_reason, self.attempt_ended = (
            None,
            None,
            -math.inf,
            reason,
            True,
        )

    # Requests

    def _new_poll(
        self, now: float, question: VoteQuestion, value: StoredValue | None, seconds: float
    ) -> Poll:
        self._last_request_id += 1
        ballot = (
            self.ballot if question is not VoteQuestion.PRE_VOTE else (self._counter, self.name, self.run)
        )
        request = VoteRequest(self.task_name, question, ballot, self.voters.number, value)
        return Poll(self._last_request_id, request, now, now + seconds, now + self._timing.retry_interval)

    def _start_poll(
        self, now: float, question: VoteQuestion, value: StoredValue | None, seconds: float
    ) -> list[AddressedRequest]:
        self._current_poll = self._new_poll(now, question, value, seconds)
        return self._requests(self._current_poll)

    def _requests(self, poll: Poll) -> list[AddressedRequest]:
        """Return the poll's request to each voter that hasn't granted or refused it."""
        return [
            (x, poll.request_id, poll.request)
            for x in self.voters.all
            if x not in poll.grants and x not in poll.refusals
        ]

    def _settled_number(self, poll: Poll) -> int:
        """Return the number of the set of voters that is known to be settled, for this poll's quorum."""
        if poll.request.question in (VoteQuestion.PRE_VOTE, VoteQuestion.PREPARE):
            return max((x.settled_number for x in poll.grants.values()), default=0)
        value = poll.request.value if poll.request.question is VoteQuestion.ACCEPT else self.value
        # The value that settles a number needs both sets: it may be the first accepted under that number.
        assert value is not None, "a RENEW or ACCEPT poll has a value"
        return (
            value.voters_number if self.value is None else min(value.voters_number, self.value.voters_number)
        )

    def _describe_poll(self, polls: list[Poll]) -> str:
        if not polls:
            return "no request was sent"
        poll = polls[0]
        parts = [f"{len(poll.grants)} of {len(self.voters.all)} voters say yes"]
        if poll.writing - poll.grants.keys():
            parts.append(f"disks of {', '.join(sorted(poll.writing - poll.grants.keys()))} are slow")
        parts += [f"{x}: {y.reason or y.result.value}" for x, y in sorted(poll.refusals.items())]
        return "; ".join(parts)

    # Replies

    def handle_reply(
        self, now: float, voter: str, request_id: int, reply: VoteReply
    ) -> list[AddressedRequest]:
        """Handle a voter's reply; replies to polls that have ended are ignored."""
        self.expire_lease(now)
        if voter not in self.voters.all:
            return []
        self.last_reply_at[voter] = now
        if 0 <= reply.promised[0] < MAX_COUNTER:
            self._counter = max(self._counter, reply.promised[0])
        for poll in (*self._renewals, *([] if self._current_poll is None else [self._current_poll])):
            if poll.request_id == request_id and poll.request.question is reply.question:
                return self._count_reply(now, poll, voter, reply)
        return []

    def _count_reply(self, now: float, poll: Poll, voter: str, reply: VoteReply) -> list[AddressedRequest]:
        if voter in poll.grants:
            return []
        if reply.result is VoteResult.WRITING:
            poll.writing.add(voter)
            self._extend_for_slow_disks(poll)
            return []
        if reply.result is VoteResult.NO and poll.request.question is VoteQuestion.RENEW:
            if reply.promised <= self.ballot:
                # The voter lags: send it the value; the renewal is then repeated.
                return self._catch_up_request(voter, reply)
            self._needs_higher_ballot = True
        if reply.result is VoteResult.NO and self.stage is Stage.RAISES and reply.promised <= self.ballot:
            return []  # bound to another candidate for a limited time
        if reply.result is not VoteResult.YES:
            poll.refusals[voter] = reply
            return self._finish_if_hopeless(now, poll)
        poll.refusals.pop(voter, None)
        poll.grants[voter] = reply
        requests = self._catch_up_request(voter, reply) if poll.request.question is VoteQuestion.RENEW else []
        if not self.voters.has_quorum(poll.grants, self._settled_number(poll)):
            return requests
        return requests + self._handle_quorum(now, poll)

    def _extend_for_slow_disks(self, poll: Poll) -> None:
        """Extend a candidate's round once a majority has promised or is writing its promise to disk.

        The promises may then take as long as an acceptance. With slow disks, a new ballot after each round
        would restart the writes every time, and no owner would ever be elected.
        """
        promising = poll.grants.keys() | poll.writing
        if self.stage is Stage.PREPARES and self.voters.has_quorum(promising, self._settled_number(poll)):
            poll.expires_at = poll.sent_at + self._timing.owner_lease

    def _catch_up_request(self, voter: str, reply: VoteReply) -> list[AddressedRequest]:
        """Return the request that brings a lagging voter the value that a majority has accepted."""
        if (
            self.value is None
            or reply.result is VoteResult.ABSTAINS
            or (reply.accepted, reply.version) >= (self.ballot, self.value.version)
        ):
            return []
        return [
            (
                voter,
                0,
                VoteRequest(self.task_name, VoteQuestion.ACCEPT, self.ballot, self.voters.number, self.value),
            )
        ]

    def _finish_if_hopeless(self, now: float, poll: Poll) -> list[AddressedRequest]:
        remaining = {x for x in self.voters.all if x not in poll.refusals}
        if self.voters.has_quorum(remaining, self._settled_number(poll)):
            return []
        self.retry_delay = self._next_retry_delay(poll)
        self._finish(Step.HOPELESS, f"{self.stage.value}: {self._describe_poll([poll])}")
        return []

    def _next_retry_delay(self, poll: Poll) -> float:
        """Return the seconds until enough voters are unbound for a majority."""
        bound_seconds = {
            x: y.binding_seconds
            for x, y in poll.refusals.items()
            if y.result is VoteResult.NO and 0 <= y.binding_seconds <= self._timing.lease
        }
        for seconds in sorted(bound_seconds.values()):
            willing = {*poll.grants, *(x for x in bound_seconds if bound_seconds[x] <= seconds)}
            if self.voters.has_quorum(willing, self._settled_number(poll)):
                return seconds
        return self._timing.lease

    def _handle_quorum(self, now: float, poll: Poll) -> list[AddressedRequest]:
        match self.stage, poll.request.question:
            case Stage.ASKS, VoteQuestion.PRE_VOTE:
                self._transition(Step.ENOUGH)
                self._counter += 1
                self.ballot = (self._counter, self.name, self.run)
                return self._start_poll(now, VoteQuestion.PREPARE, None, self._timing.round_timeout)
            case Stage.PREPARES, VoteQuestion.PREPARE:
                return self._take_over(now, poll)
            case Stage.RAISES, VoteQuestion.PREPARE:
                return self._keep_value_after_raise(now, poll)
            case Stage.TAKES, VoteQuestion.ACCEPT:
                self._become_owner(now, poll)
            case Stage.NAMED, VoteQuestion.RENEW:
                self._become_owner(now, poll)
            case ((Stage.OWNS | Stage.CHANGES), VoteQuestion.RENEW):
                self._transition(Step.RENEWED)
                self.lease_expires_at = max(self.lease_expires_at, poll.sent_at + self._timing.owner_lease)
            case Stage.CHANGES, VoteQuestion.ACCEPT:
                self._transition(Step.ENOUGH)
                self.value, self._current_poll = poll.request.value, None
            case Stage.HANDS, VoteQuestion.ACCEPT:
                value = poll.request.value
                assert value is not None, "an ACCEPT poll has a value"
                self._finish(Step.ENOUGH, f"handed over to {value.owner}")
                return [self._handover_request(value)]
        return []

    def _take_over(self, now: float, poll: Poll) -> list[AddressedRequest]:
        """Propose ownership of the next term, after promises of a majority.

        The state is that of the highest value accepted by any of them, whichever proposer it came from and
        however few voters accepted it.
        """
        replies = [x for x in poll.grants.values() if x.value is not None]
        latest = max(replies, key=lambda x: (x.accepted, x.version), default=None)
        accepted_value = None if latest is None else latest.value
        settled = 0 if accepted_value is None else accepted_value.voters_number
        refusal = self.voters.refusal(settled)
        if refusal:
            self.retry_delay = self._timing.lease
            self._finish(Step.HOPELESS, refusal)
            return []
        term = max(
            0 if accepted_value is None else accepted_value.term,
            self.highest_term,
            *(x.highest_term for x in poll.grants.values()),
        )
        forced = "" if accepted_value is None else accepted_value.forced
        if self.voters.forced and settled < self.voters.number:
            term, forced = term + FORCED_TERMS, self.voters.forced[:MAX_REASON_BYTES]
        if not self.voters.is_joint(settled):
            settled = self.voters.number
        state = b"" if accepted_value is None else accepted_value.state
        self._transition(Step.ENOUGH)
        value = StoredValue(term + 1, self.name, self.run, 1, state, settled, forced)
        return self._start_poll(now, VoteQuestion.ACCEPT, value, self._timing.owner_lease)

    def _become_owner(self, now: float, poll: Poll) -> None:
        self._transition(Step.ENOUGH)
        self.value = poll.request.value or self.value
        self.lease_expires_at, self.owned_at = poll.sent_at + self._timing.owner_lease, now
        self._renew_at = now
        self._current_poll = None
        self.end_reason = ""
