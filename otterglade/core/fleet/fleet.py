"""A gateway's agent in the fleet: membership, witnessing for other gateways, and polls of its own witnesses.

There is one agent for a run of a gateway, used on its decision loop. It does no I/O, but returns the messages
to send and the records to write.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..attempts import AttemptRecord
from ..claims import Claim
from .actions import (
    DeleteRoutingPart,
    PollFinished,
    SendMessage,
    StoreRoutingPart,
    WriteTaskRecord,
    WriteWitnessRecord,
)
from .leader_tasks import LeaderTasks
from .members import Members
from .messages import Kind, Message
from .route_checks import Check
from .routes import RoutingTask
from .witness import (
    SEEN_BY_ATTEMPT_STATE,
    ClaimSettlement,
    Witness,
    WitnessPoll,
    WitnessReply,
    select_witnesses,
)

RESEND_SECONDS = 0.08
"""Interval of claim messages to a witness without a reply: ten times the usual time of a reply, its disk
write included, and a fifth of REPLY_TIMEOUT_SECONDS."""
REPLY_TIMEOUT_SECONDS = 0.4
"""Time of a paid viewer's patience that a witness may use for a first reply, if only that it is writing its
record."""


Action = (
    SendMessage
    | WriteWitnessRecord
    | PollFinished
    | WriteTaskRecord
    | StoreRoutingPart
    | DeleteRoutingPart
    | Check
)
"""What an agent may request."""


class FleetAgent:
    """Routes messages to the fleet protocols and runs the polls of this gateway's paid attempts.

    Methods take the time first and return the actions to carry out, in order.
    """

    def __init__(
        self,
        members: Members,
        witness: Witness,
        gateways: Iterable[str],
        witness_count: int,
        leader_tasks: LeaderTasks | None = None,
        routes: RoutingTask | None = None,
    ) -> None:
        """`leader_tasks` is None if no voters are configured. `routes` is one of its tasks, None without
        routing rules."""
        self.members, self.witness, self.leader_tasks, self.routes = members, witness, leader_tasks, routes
        self._gateways, self._witness_count = tuple(sorted(gateways)), witness_count
        self._polls: dict[str, WitnessPoll] = {}
        self.poll_count = 0
        self.unwitnessed = 0
        """Finished polls in which no witness granted the claim."""

    def due(self) -> float:
        """Time at which `tick` next has something to do."""
        times = [self.members.due(), *(min(x.resend_at, x.reply_deadline) for x in self._polls.values())]
        times += [x.due() for x in (self.leader_tasks, self.routes) if x is not None]
        return min(times)

    def tick(self, now: float) -> list[Action]:
        """Handles what is due: membership timers, poll deadlines and the leader tasks."""
        out: list[Action] = [SendMessage(x) for x in self.members.tick(now)]
        for setup, poll in list(self._polls.items()):
            if now >= poll.reply_deadline:
                poll.expire_unanswered(now)
                out += self._finish_if_decided(setup, poll)
            elif now >= poll.resend_at:
                poll.resend_at = now + RESEND_SECONDS
                out += self._claim_messages(now, poll)
        if self.leader_tasks is not None:
            out += self.leader_tasks.tick(now)
        if self.routes is not None:
            out += self.routes.tick(now)
        return out

    def receive(self, now: float, message: Message) -> list[Action]:
        """Handles an authenticated message."""
        result = self.members.receive(now, message)
        out: list[Action] = [SendMessage(x) for x in result.replies]
        if not result.accepted:
            return out
        if message.kind in (Kind.VOTE, Kind.VOTE_REPLY, Kind.REPORT, Kind.ORDER):
            return out if self.leader_tasks is None else [*out, *self.leader_tasks.receive(now, message)]
        if message.kind in (Kind.FETCH, Kind.PART):
            return out if self.routes is None else [*out, *self.routes.receive(now, message)]
        try:
            match message.kind:
                case Kind.CLAIM:
                    claim = msgspec.msgpack.decode(message.body, type=Claim)
                    reply, record = self.witness.handle_claim(now, claim)
                    out.append(WriteWitnessRecord(record, message.sender, reply))
                case Kind.CLAIM_REPLY:
                    out += self._record_reply(
                        message.sender, msgspec.msgpack.decode(message.body, type=WitnessReply)
                    )
                case Kind.CLAIM_SETTLED:
                    settlement = msgspec.msgpack.decode(message.body, type=ClaimSettlement)
                    out.append(WriteWitnessRecord(self.witness.settle_claim(now, settlement)))
        except msgspec.MsgspecError:
            self.members.count_dropped("unreadable body")
        return out

    def witness_record_written(self, now: float, write: WriteWitnessRecord, error: str = "") -> list[Action]:
        """A witness record is durable, or could not be written for the reason `error`; the witness then
        abstains."""
        if write.reply is None:
            return []
        reply = write.reply
        if error:
            self.witness.record_failed(reply.setup, error)
            reply = WitnessReply(reply.setup, False, error)
        elif write.record is not None:
            self.witness.record_written(reply.setup)
        if write.claimant == self.members.name:
            return self._record_reply(write.claimant, reply)
        if write.claimant not in self.members.peers:
            return []
        body = msgspec.msgpack.encode(reply)
        return [SendMessage(self.members.create_message(Kind.CLAIM_REPLY, write.claimant, now, body=body))]

    # Own attempts

    def start_poll(self, now: float, poll: WitnessPoll) -> list[Action]:
        """Sends an attempt's claim to its witnesses; this gateway may be one of them."""
        poll.resend_at, poll.reply_deadline = now + RESEND_SECONDS, now + REPLY_TIMEOUT_SECONDS
        self._polls[poll.claim.setup] = poll
        self.poll_count += 1
        out = self._claim_messages(now, poll)
        if self.members.name in poll.witnesses:
            reply, record = self.witness.handle_claim(now, poll.claim)
            poll.pending_writes.add(self.members.name)
            out.append(WriteWitnessRecord(record, self.members.name, reply))
        return out

    def _claim_messages(self, now: float, poll: WitnessPoll) -> list[Action]:
        body = msgspec.msgpack.encode(poll.claim)
        return [
            SendMessage(self.members.create_message(Kind.CLAIM, x, now, body=body))
            for x in poll.unanswered
            if x != self.members.name
        ]

    def _record_reply(self, witness: str, reply: WitnessReply) -> list[Action]:
        poll = self._polls.get(reply.setup)
        if poll is None or not poll.record_reply(witness, reply):
            return []
        return self._finish_if_decided(reply.setup, poll)

    def _finish_if_decided(self, setup: str, poll: WitnessPoll) -> list[Action]:
        if poll.verdict is None:
            return []
        del self._polls[setup]
        self.unwitnessed += not poll.granted
        return [PollFinished(setup)]

    def attempt_state_changed(self, now: float, entry: AttemptRecord, session_class: str) -> list[Action]:
        """Reports the outcome of one of this gateway's attempts to its witnesses.

        No reply is awaited: a lost message costs the next claimant one more request.
        """
        if entry.state not in SEEN_BY_ATTEMPT_STATE:
            return []
        viewer, _, title = entry.key
        settlement = ClaimSettlement(
            viewer, session_class, title, entry.setup, SEEN_BY_ATTEMPT_STATE[entry.state]
        )
        body = msgspec.msgpack.encode(settlement)
        out: list[Action] = []
        for witness in select_witnesses((viewer, session_class, title), self._gateways, self._witness_count):
            if witness == self.members.name:
                out.append(WriteWitnessRecord(self.witness.settle_claim(now, settlement)))
            else:
                out.append(
                    SendMessage(self.members.create_message(Kind.CLAIM_SETTLED, witness, now, body=body))
                )
        return out
