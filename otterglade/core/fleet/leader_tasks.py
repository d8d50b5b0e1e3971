"""Leader tasks of the fleet: election of an owner, acceptance of its decisions, distribution to all gateways.

The owner of a task is elected through its register at the voters (`register.py`). A majority accepts each new
state before it is distributed. Orders are pulled: each gateway sends the one above it, in a tree with the
owner at the top, a merged report of itself and those below, and receives the order in force with its
remaining time, counted from the sending of the report. An answer delayed in a queue, in the kernel or in a
suspended process is therefore valid only for the time that is left, and a process that resumes late ends its
expired lease by its own clock before it answers any request.

A new owner changes nothing until every order of its predecessor has expired (`LeaseTiming.quiet_period`), and
each gateway refuses orders older than one it has applied (fencing), across restarts if the effect outlives
its process. See docs/design-duties.md; "duty" is an older word for a leader task, kept in some names.
"""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import msgspec

from .acceptor import Acceptor, AcceptorState
from .leader_task import MAX_STATE_BYTES, LeaderTask, TaskOrder
from .leader_task_messages import MAX_TASKS, OrderMessage, ReportMessage, send
from .leader_task_orders import Action, OrderExchange
from .leader_task_records import Fence, PendingWrites, decode, fence_from_order, order_from_fence
from .leader_task_state import TaskState
from .leader_task_status import task_status
from .leader_task_tree import ReportTree
from .member_state import MemberState
from .members import Members
from .messages import Kind, Message
from .proposer import AddressedRequest, Proposer
from .proposer_stages import Stage
from .register import LeaseTiming, VoteQuestion, VoteReply, VoteRequest, VoteResult, VoterRecord, Voters

MAX_CHANGES = 64
"""Changes kept for `drain_changes`; the oldest are dropped."""
WRITE_RETRY_SECONDS = 10.0
"""Delay after a failed write before a voter rebuilds its record."""


@dataclass(frozen=True, slots=True)
class OwnershipChange:
    """A change of a task's owner at this gateway, or the expiry of its order; for the log."""

    task_name: str
    event: str
    term: int
    reason: str


class LeaderTasks:
    """All leader tasks at one gateway: votes, candidacies, ownership, reports and orders.

    Methods take the time in seconds on this gateway's clock and return what to send and to write.
    """

    def __init__(
        self,
        members: Members,
        voters: Voters,
        tasks: Sequence[LeaderTask],
        now: float,
        seed: int,
        timing: LeaseTiming | None = None,
    ) -> None:
        """Raises ValueError if a voter is not a member, or for more than MAX_TASKS tasks."""
        self.members = members
        self.voters, self.timing = voters, timing or LeaseTiming()
        unknown_names = {*voters.names, *voters.previous} - {*members.peers, members.name}
        if unknown_names:
            raise ValueError(f"voters: found {', '.join(sorted(unknown_names))}; allowed: members")
        if len(tasks) > MAX_TASKS:
            raise ValueError(f"duties: found {len(tasks)}; allowed: {MAX_TASKS}")
        self._random = random.Random(seed)
        self._abstains = ""
        self._stopping = False
        self._started_at = now
        self._next_period_at = now + self._random.random() * self.timing.period
        self._is_voter = members.name in voters.all
        self.tree = ReportTree(members, voters, self.timing)
        self._tasks = {x.name: self._new_task_state(x, now) for x in tasks}
        self._pending_writes = PendingWrites()
        self.orders = OrderExchange(members, self._tasks, self.tree, self._pending_writes, self.timing)
        self._deferred_actions: list[Action] = []
        """Returned by the next `tick`."""
        self.changes: deque[OwnershipChange] = deque(maxlen=MAX_CHANGES)

    def _new_task_state(self, task: LeaderTask, now: float) -> TaskState:
        proposer = Proposer(task.name, self.members.name, self.members.run_id, self.voters, self.timing)
        acceptor = Acceptor(task.name, now, self.timing) if self._is_voter else None
        return TaskState(
            task, proposer, acceptor, candidacy_at=now + self.timing.lease + self._candidacy_delay(0)
        )

    # Durable records

    def restore(self, records: Iterable[bytes], now: float) -> None:
        """Restore the records of the log, in order; those of unknown tasks are skipped.

        Raises TaskRecordError if one is malformed.
        """
        last_records: dict[str, VoterRecord] = {}
        for data in records:
            record = decode(data)
            if isinstance(record, VoterRecord):
                last_records[record.task_name] = record
            elif record.task_name in self._tasks:
                self._tasks[record.task_name].set_fence(record)
        for task_name, task_state in self._tasks.items():
            if task_state.acceptor is not None and task_name in last_records:
                task_state.acceptor.restore(last_records[task_name], now)
            if task_state.fence is not None and task_state.task.durable:
                task_state.task.restore_order(now, order_from_fence(task_state.fence, now))

    @property
    def abstains(self) -> str:
        """Reason why this gateway does not vote; empty if it votes or is not a voter."""
        if self._abstains or not self._is_voter:
            return self._abstains
        states = {x.acceptor.state for x in self._tasks.values() if x.acceptor is not None}
        return (
            "reads what the others have" if states & {AcceptorState.ABSTAINS, AcceptorState.REBUILDS} else ""
        )

    @abstains.setter
    def abstains(self, reason: str) -> None:
        """Stop voting because the disk may have lost records; empty starts the recovery.

        Empty is set once no proposal that relies on a lost reply can be under way; the voter then votes again
        after reading the records of a majority of the others.
        """
        if reason == self._abstains:
            return
        self._abstains = reason
        for task_state in self._tasks.values():
            if reason and task_state.acceptor is not None:
                self._deferred_actions.append(
                    self._pending_writes.write(task_state.task.name, task_state.acceptor.mark_doubtful())
                )
                task_state.voter_records = {}

    def wants_snapshot(self) -> bool:
        """Return whether enough records were appended to the log to replace it by a snapshot."""
        return self._pending_writes.wants_snapshot()

    def snapshot(self) -> list[bytes]:
        """Return records that replace the log, including those whose write is pending."""
        records: list[VoterRecord | Fence] = []
        for task_state in self._tasks.values():
            if task_state.acceptor is not None:
                records.append(task_state.acceptor.latest)
            if task_state.task.durable and task_state.pending_order is not None:
                records.append(fence_from_order(task_state.pending_order))
            elif task_state.task.durable and task_state.fence is not None:
                records.append(task_state.fence)
        return self._pending_writes.encode_snapshot(records)

    def record_written(self, now: float, token: int, error: str = "") -> list[Action]:
        """Handle the end of a write; `error` says why the record isn't durable, or is empty."""
        self._expire(now)
        pending_write = self._pending_writes.take(token)
        if pending_write is None:
            return []
        task_state = self._tasks[pending_write.task_name]
        acceptor = task_state.acceptor
        if isinstance(pending_write.record, Fence):
            return self.orders.fence_written(now, task_state, error)
        if acceptor is None or acceptor.pending is not pending_write.record:
            return []  # discarded meanwhile by `mark_doubtful`
        task_state.read_retry_at = now + WRITE_RETRY_SECONDS if error else -math.inf
        reply = acceptor.record_written(now, error)
        return (
            []
            if reply is None
            else self._send_reply(now, task_state, pending_write.reply_to, pending_write.request_id, reply)
        )

    # Time

    def due(self) -> float:
        """Return when `tick` has something to do next."""
        if self._deferred_actions:
            return -math.inf
        times = [self._next_period_at]
        for task_state in self._tasks.values():
            times += [task_state.proposer.due(), task_state.report_at]
            if task_state.order is not None:
                times.append(task_state.order.expires_at)
            elif (
                task_state.pending_order is None
                and task_state.proposer.stage is Stage.IDLE
                and not self._stopping
            ):
                times.append(task_state.candidacy_at)
        return min(self.orders.due(), *times)

    def tick(self, now: float) -> list[Action]:
        """Do what is due: reports, renewals, decisions and candidacies."""
        actions, self._deferred_actions = self._deferred_actions, []
        self._expire(now)
        if now >= self._next_period_at:
            delay = now - self._next_period_at
            self._next_period_at = (
                now + self.timing.period
                if delay > self.timing.period
                else self._next_period_at + self.timing.period
            )
            actions += self._run_period(now)
        for task_state in self._tasks.values():
            actions += self._send_requests(now, task_state, task_state.proposer.tick(now))
            proposer = task_state.proposer
            if self._stopping and proposer.stage is Stage.OWNS:
                actions += self._hand_over_task(now, task_state)
            has_no_order = task_state.order is None and task_state.pending_order is None
            if (
                proposer.stage is Stage.IDLE
                and not self._stopping
                and has_no_order
                and now >= task_state.candidacy_at
            ):
                actions += self._send_requests(now, task_state, proposer.start_election(now))
            self._note_ownership(now, task_state)
        return actions + self.orders.send_reports(now, self._random)

    def _expire(self, now: float) -> None:
        """End expired leases and orders; called before anything else."""
        for task_state in self._tasks.values():
            task_state.proposer.expire_lease(now)
            self._note_ownership(now, task_state)
            if task_state.acceptor is not None:
                task_state.acceptor.tick(now)
            if task_state.order is not None and now >= task_state.order.expires_at:
                self.changes.append(
                    OwnershipChange(task_state.task.name, "lapsed", task_state.order.term, "")
                )
                task_state.order = None
                task_state.candidacy_at = now + self._candidacy_delay(0)
                task_state.task.expire_order(now)

    def _candidacy_delay(self, failed_candidacies: int) -> float:
        """Return the seconds before a candidacy: by rank among the live gateways, with jitter and backoff."""
        rank = self.tree.rank()
        rank_delay = self.timing.rank_delay
        delay = min(rank, 8) * rank_delay + self._random.random() * rank_delay * 2.0 ** min(
            failed_candidacies, 5
        )
        return delay if rank < 8 else delay + self._random.random() * 40.0 * rank_delay

    def _note_ownership(self, now: float, task_state: TaskState) -> None:
        """Record changes of this gateway's ownership and candidacy since the last call."""
        proposer, value = task_state.proposer, task_state.proposer.value
        was_owner = task_state.known_owner == self.members.name
        if proposer.is_owner and value is not None and (not was_owner or task_state.known_term != value.term):
            task_state.known_owner, task_state.known_term, task_state.failed_candidacies = (
                self.members.name,
                value.term,
                0,
            )
            self.changes.append(OwnershipChange(task_state.task.name, "owns", value.term, ""))
            self._deferred_actions += self.orders.publish(now, task_state)  # it may return a fence to write
        elif was_owner and not proposer.is_owner:
            reason = (
                proposer.end_reason
                if proposer.successor is None
                else f"hands over to {proposer.successor.owner}"
            )
            self.changes.append(
                OwnershipChange(task_state.task.name, "owns no more", task_state.known_term, reason)
            )
            task_state.known_owner = ""
            if proposer.successor is not None:
                # known_term stays: no majority has accepted the successor's term, which another may get.
                task_state.known_owner = proposer.successor.owner
        if proposer.attempt_ended:
            proposer.attempt_ended = False
            task_state.failed_candidacies += 1
            task_state.candidacy_at = (
                now + proposer.retry_delay + self._candidacy_delay(task_state.failed_candidacies)
            )

    def _run_period(self, now: float) -> list[Action]:
        actions: list[Action] = []
        self.orders.drop_expired_requests(now)
        for task_state in self._tasks.values():
            self.orders.drop_expired_reports(now, task_state)
            task_state.reports_sent = 0
            if task_state.proposer.is_owner:
                task_state.report_at = math.inf
                actions += self._decide(now, task_state)
                actions += self.orders.publish(now, task_state)
            else:
                task_state.report_at = now
            actions += self._rebuild(now, task_state)
        return actions

    def _decide(self, now: float, task_state: TaskState) -> list[Action]:
        """Propose the next state, as the owner, once the predecessor's orders have expired."""
        proposer = task_state.proposer
        if proposer.stage is not Stage.OWNS or proposer.value is None:
            return []
        if proposer.has_unsettled_voters:
            return self._send_requests(now, task_state, proposer.propose_state(now, proposer.value.state))
        if now < proposer.owned_at + self.timing.quiet_period:
            return []
        state = task_state.task.decide(now, proposer.value.state, self.orders.merged_report(now, task_state))
        if len(state) > MAX_STATE_BYTES:
            task_state.count_refused("decided state too long")
            return []
        return (
            []
            if state == proposer.value.state
            else self._send_requests(now, task_state, proposer.propose_state(now, state))
        )

    # Voting

    def _send_requests(
        self, now: float, task_state: TaskState, requests: list[AddressedRequest]
    ) -> list[Action]:
        """Send requests to voters; the local acceptor is called directly."""
        actions: list[Action] = []
        for voter, request_id, request in requests:
            if voter != self.members.name:
                actions.append(send(self.members, Kind.VOTE, voter, now, request, request_id))
            elif task_state.acceptor is not None and request.question is not VoteQuestion.HAND_OVER:
                actions += self._answer_vote(now, task_state, voter, self.members.run_id, request_id, request)
        return actions

    def _answer_vote(
        self,
        now: float,
        task_state: TaskState,
        sender: str,
        run_id: str,
        request_id: int,
        request: VoteRequest,
    ) -> list[Action]:
        """Answer a vote request, or write the record that the answer needs."""
        assert task_state.acceptor is not None, "only a voter is asked"
        reply, record = task_state.acceptor.handle_request(now, sender, run_id, request)
        if record is not None:
            return [self._pending_writes.write(task_state.task.name, record, sender, request_id)]
        return [] if reply is None else self._send_reply(now, task_state, sender, request_id, reply)

    def _send_reply(
        self, now: float, task_state: TaskState, receiver: str, request_id: int, reply: VoteReply
    ) -> list[Action]:
        reply = msgspec.structs.replace(reply, highest_term=task_state.proposer.highest_term)
        if receiver != self.members.name:
            return (
                [send(self.members, Kind.VOTE_REPLY, receiver, now, reply, request_id)]
                if receiver in self.members.peers
                else []
            )
        return self._handle_reply(now, task_state, receiver, request_id, reply)

    def _handle_reply(
        self, now: float, task_state: TaskState, voter: str, request_id: int, reply: VoteReply
    ) -> list[Action]:
        previous_version = None if task_state.proposer.value is None else task_state.proposer.value.version
        actions = self._send_requests(
            now, task_state, task_state.proposer.handle_reply(now, voter, request_id, reply)
        )
        self._note_ownership(now, task_state)
        value = task_state.proposer.value
        if (
            task_state.proposer.is_owner
            and value is not None
            and previous_version is not None
            and previous_version != value.version
        ):
            actions += self.orders.publish(now, task_state)
        return actions

    def _rebuild(self, now: float, task_state: TaskState) -> list[Action]:
        """Read the other voters' records if this voter's may be lost, and rebuild from a majority of them."""
        acceptor = task_state.acceptor
        if (
            acceptor is None
            or acceptor.state is not AcceptorState.ABSTAINS
            or self._abstains
            or now < task_state.read_retry_at
        ):
            return []
        settled_number = max((x.settled_number for x in task_state.voter_records.values()), default=0)
        previous_set_is_lost = (
            bool(self.voters.forced) and acceptor.durable.voters_number < self.voters.number
        )
        if previous_set_is_lost or self.voters.has_quorum(task_state.voter_records, settled_number):
            record = acceptor.rebuild(
                task_state.voter_records.values(), self.voters.number if previous_set_is_lost else 0
            )
            task_state.voter_records = {}
            return [self._pending_writes.write(task_state.task.name, record)]
        request = VoteRequest(task_state.task.name, VoteQuestion.READ, (0, "", ""), self.voters.number)
        others = [x for x in self.voters.all if x != self.members.name and x not in task_state.voter_records]
        return [send(self.members, Kind.VOTE, x, now, request, 0) for x in others]

    # Messages

    def receive(self, now: float, message: Message) -> list[Action]:
        """Handle a message that Members has accepted."""
        self._expire(now)
        actions: list[Action] = []
        try:
            match message.kind:
                case Kind.VOTE:
                    actions += self._handle_vote_request(
                        now, message, msgspec.msgpack.decode(message.body, type=VoteRequest)
                    )
                case Kind.VOTE_REPLY:
                    reply = msgspec.msgpack.decode(message.body, type=VoteReply)
                    task_state = self._tasks.get(reply.task_name)
                    if task_state is None:
                        self.members.count_dropped("unknown duty")
                    elif reply.question is VoteQuestion.READ:
                        if reply.result is VoteResult.YES and message.sender in self.voters.all:
                            task_state.voter_records[message.sender] = reply
                    else:
                        actions += self._handle_reply(
                            now, task_state, message.sender, message.request_id, reply
                        )
                case Kind.REPORT:
                    actions += self.orders.receive_report(
                        now, message, msgspec.msgpack.decode(message.body, type=ReportMessage)
                    )
                case Kind.ORDER:
                    actions += self.orders.receive_order(
                        now, message, msgspec.msgpack.decode(message.body, type=OrderMessage)
                    )
        except msgspec.MsgspecError:
            self.members.count_dropped("unreadable body")
        return actions

    def _handle_vote_request(self, now: float, message: Message, request: VoteRequest) -> list[Action]:
        task_state = self._tasks.get(request.task_name)
        if task_state is None or (request.value is not None and len(request.value.state) > MAX_STATE_BYTES):
            self.members.count_dropped("unknown duty" if task_state is None else "unreadable body")
            return []
        if request.question is VoteQuestion.HAND_OVER:
            if self._stopping:
                return []
            return self._send_requests(now, task_state, task_state.proposer.accept_handover(now, request))
        if task_state.acceptor is None:
            self.members.count_dropped("no voter here")
            return []
        return self._answer_vote(now, task_state, message.sender, message.run_id, message.request_id, request)

    def order_in_force(self, task_name: str, now: float) -> TaskOrder | None:
        """Return the order in force here, or None."""
        order = self._tasks[task_name].order
        return order if order is not None and now < order.expires_at else None

    # Stop

    def hand_over(self, now: float) -> list[Action]:
        """Hand this gateway's tasks over to the highest-ranked live gateway before a planned stop."""
        self._expire(now)
        self._stopping = True
        return [x for task_state in self._tasks.values() for x in self._hand_over_task(now, task_state)]

    def _hand_over_task(self, now: float, task_state: TaskState) -> list[Action]:
        candidates = [
            x
            for x in self.members.live_peers()
            if self.members.state_of(x) is MemberState.ALIVE and self.members.peers[x].run_id
        ]
        successor = min(candidates, key=self.tree.positions.__getitem__, default="")
        if not successor and task_state.proposer.is_owner:
            return []  # without a successor, wait for the lease to expire
        run_id = self.members.peers[successor].run_id if successor else ""
        actions = self._send_requests(now, task_state, task_state.proposer.hand_over(now, successor, run_id))
        self._note_ownership(now, task_state)
        return actions

    # For operators

    def drain_changes(self) -> list[OwnershipChange]:
        """Return the changes since the last call."""
        changes = [*self.changes]
        self.changes.clear()
        return changes

    def status(self, now: float) -> dict[str, object]:
        """Return the status of all tasks at this gateway, for operators."""
        return {
            "voters": list(self.voters.names),
            "voters_number": self.voters.number,
            "voters_forced": self.voters.forced,
            "abstains": self.abstains,
            "duties": {x: task_status(now, y, self.voters, self.timing) for x, y in self._tasks.items()},
        }
