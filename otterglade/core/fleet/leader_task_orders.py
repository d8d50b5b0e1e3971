"""Sends reports of leader tasks up the tree and orders down it, and checks which orders a gateway applies."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from dataclasses import dataclass

from .actions import SendMessage, WriteTaskRecord
from .leader_task import MAX_REPORT_BYTES, MAX_STATE_BYTES, TaskOrder
from .leader_task_messages import (
    MAX_TASKS,
    OrderMessage,
    OrderStatus,
    ReportMessage,
    TaskReport,
    packed,
    send,
)
from .leader_task_records import PendingWrites, fence_from_order, order_from_fence
from .leader_task_state import TaskState
from .leader_task_tree import ReportTree
from .members import Members
from .messages import Kind, Message
from .register import MAX_COUNTER, LeaseTiming, ValueVersion

MAX_REPORT_RETRIES = 3
"""Number of reports sent in a period in addition to the first."""
REPORT_LIFETIME_PERIODS = 2.5
"""Number of periods for which a received report counts."""

Action = SendMessage | WriteTaskRecord


@dataclass(slots=True)
class SentReport:
    """A report sent to a gateway above, to be answered with the orders in force."""

    receiver: str
    sent_at: float
    """Start of the lifetime of an order in the answer."""
    task_names: tuple[str, ...]
    answered: bool = False


class OrderExchange:
    """Reports of one gateway to the one above, its answers to those below, and the orders that it applies."""

    def __init__(
        self,
        members: Members,
        task_states: Mapping[str, TaskState],
        tree: ReportTree,
        pending_writes: PendingWrites,
        timing: LeaseTiming,
    ) -> None:
        self._members = members
        self._tasks, self._tree, self._pending_writes, self._timing = (
            task_states,
            tree,
            pending_writes,
            timing,
        )
        self._sent_reports: dict[int, SentReport] = {}
        self._last_request_id = 0

    def due(self) -> float:
        """Return when the next unanswered report times out."""
        unanswered = (x for x in self._sent_reports.values() if not x.answered)
        return min((x.sent_at + self._timing.answer_timeout for x in unanswered), default=math.inf)

    def drop_expired_requests(self, now: float) -> None:
        """Drop sent reports whose answers could no longer contain an order in force."""
        self._sent_reports = {
            x: y for x, y in self._sent_reports.items() if now < y.sent_at + self._timing.order_lifetime
        }

    def drop_expired_reports(self, now: float, task_state: TaskState) -> None:
        """Drop received reports older than REPORT_LIFETIME_PERIODS."""
        task_state.child_reports = {
            x: y
            for x, y in task_state.child_reports.items()
            if now - y[0] < REPORT_LIFETIME_PERIODS * self._timing.period
        }

    def merged_report(self, now: float, task_state: TaskState) -> bytes:
        """Return this gateway's report merged with those received from below."""
        reports = [task_state.task.local_report(now), *(x for _, x in task_state.child_reports.values())]
        merged = task_state.task.merge_reports(reports)
        if len(merged) > MAX_REPORT_BYTES:
            task_state.count_refused("sum too long")
            return b""
        return merged

    def send_reports(self, now: float, rng: random.Random) -> list[Action]:
        """Send due reports to the gateway above, which answers with the orders in force.

        Tasks with the same receiver share a message. Without an answer another gateway is asked, but with an
        empty report: a report takes one path only, so that it isn't counted twice.
        """
        for sent_report in self._sent_reports.values():
            if not sent_report.answered and now >= sent_report.sent_at + self._timing.answer_timeout:
                sent_report.answered = True
                for task_state in (self._tasks[x] for x in sent_report.task_names):
                    if sent_report.receiver == self._tree.parent(task_state):
                        task_state.note_parent_reply(False)
                    if task_state.reports_sent < MAX_REPORT_RETRIES:
                        task_state.report_at = now
        entries_by_receiver: dict[str, list[TaskReport]] = {}
        for task_state in self._tasks.values():
            if now < task_state.report_at:
                continue
            task_state.report_at = math.inf
            parent, is_first = self._tree.parent(task_state), task_state.reports_sent == 0
            task_state.reports_sent += 1
            if task_state.proposer.is_owner:
                continue
            # The parent's answer may only be late.
            repeat_to_parent = (
                parent
                and not is_first
                and task_state.silent_periods == 0
                and task_state.reports_sent < MAX_REPORT_RETRIES
            )
            receiver = (
                parent
                if parent and (is_first or repeat_to_parent)
                else self._tree.pick_alternative(task_state, rng)
            )
            if receiver:
                term, number = (0, 0) if task_state.fence is None else task_state.fence.version
                report = self.merged_report(now, task_state) if is_first and parent else b""
                entry = TaskReport(task_state.task.name, term, number, task_state.known_term, report)
                entries_by_receiver.setdefault(receiver, []).append(entry)
        actions: list[Action] = []
        for receiver, entries in entries_by_receiver.items():
            for group in packed(entries):
                self._last_request_id += 1
                self._sent_reports[self._last_request_id] = SentReport(
                    receiver, now, tuple(x.task_name for x in group)
                )
                actions.append(
                    send(
                        self._members,
                        Kind.REPORT,
                        receiver,
                        now,
                        ReportMessage(tuple(group)),
                        self._last_request_id,
                    )
                )
        return actions

    def receive_report(self, now: float, message: Message, report_message: ReportMessage) -> list[Action]:
        """Store the reports of a gateway below and answer with the orders in force."""
        statuses: list[OrderStatus] = []
        for entry in report_message.reports[:MAX_TASKS]:
            task_state = self._tasks.get(entry.task_name)
            if task_state is None:
                self._members.count_dropped("unknown duty")
                continue
            if (
                entry.report
                and len(entry.report) <= MAX_REPORT_BYTES
                and entry.tree_term == task_state.known_term
            ):
                has_room = (
                    len(task_state.child_reports) < self._timing.fan_out + self._timing.max_guest_reports
                )
                if has_room or message.sender in task_state.child_reports:
                    task_state.child_reports[message.sender] = (now, entry.report)
                else:
                    task_state.count_refused("sums of too many")
            statuses.append(self._order_status(now, task_state, (entry.term, entry.number)))
        return [
            send(self._members, Kind.ORDER, message.sender, now, OrderMessage(tuple(x)), message.request_id)
            for x in packed(statuses)
        ]

    def _order_status(self, now: float, task_state: TaskState, known_version: ValueVersion) -> OrderStatus:
        """Return the order in force at this gateway and its remaining time.

        The lease must have been checked at `now` (see `expire_lease`). The state is left out if the receiver
        already has `known_version`.
        """
        value, order = task_state.proposer.value, task_state.order
        if task_state.proposer.is_owner and value is not None:
            state = None if known_version == value.version else value.state
            return OrderStatus(
                task_state.task.name, *value.version, value.owner, self._timing.order_lifetime, state
            )
        owner, term = task_state.known_owner, task_state.known_term
        accepted_value = None if task_state.acceptor is None else task_state.acceptor.durable.value
        if accepted_value is not None and accepted_value.term > term:
            owner, term = accepted_value.owner, accepted_value.term
        if order is None or now >= order.expires_at:
            return OrderStatus(task_state.task.name, 0, later_owner=owner, later_term=term)
        state = None if known_version == order.version else order.state
        owner, term = (owner, term) if term > order.term else ("", 0)
        return OrderStatus(
            task_state.task.name, *order.version, order.owner, order.expires_at - now, state, owner, term
        )

    def receive_order(self, now: float, message: Message, answer: OrderMessage) -> list[Action]:
        """Handle an answer; it must answer an open report and come from that report's receiver."""
        sent_report = self._sent_reports.get(message.request_id)
        if (
            sent_report is None
            or sent_report.receiver != message.sender
            or now >= sent_report.sent_at + self._timing.order_lifetime
        ):
            self._members.count_dropped("answers nothing")
            return []
        sent_report.answered = True
        actions: list[Action] = []
        for status in answer.statuses[:MAX_TASKS]:
            task_state = self._tasks.get(status.task_name)
            if task_state is None or status.task_name not in sent_report.task_names:
                self._members.count_dropped("unknown duty")
                continue
            if sent_report.receiver == self._tree.parent(task_state):
                task_state.note_parent_reply(True)
            for owner, term in ((status.owner, status.term), (status.later_owner, status.later_term)):
                in_force = status.seconds_left > 0.0 and (owner, term) == (status.owner, status.term)
                # Only an order in force proves the owner of a term; a name without one is hearsay.
                is_proof = in_force and term == task_state.known_term and owner != task_state.known_owner
                if (term > task_state.known_term or is_proof) and owner in self._members.peers:
                    task_state.known_owner, task_state.known_term, task_state.silent_periods = owner, term, 0
                    task_state.reports_sent, task_state.report_at = 0, now
            if 0.0 < status.seconds_left <= self._timing.order_lifetime:
                actions += self._accept_order(
                    now, task_state, status, sent_report.sent_at + status.seconds_left
                )
            if (
                task_state.order is None
                and task_state.pending_order is None
                and task_state.known_owner
                and task_state.reports_sent <= MAX_REPORT_RETRIES
            ):
                task_state.report_at = min(task_state.report_at, now + self._timing.retry_interval)
        return actions

    def publish(self, now: float, task_state: TaskState) -> list[Action]:
        """Apply this gateway's order, as the owner, under the same rules as at any other gateway."""
        status = self._order_status(now, task_state, (-1, -1))
        return self._accept_order(now, task_state, status, now + self._timing.order_lifetime)

    def _accept_order(
        self, now: float, task_state: TaskState, status: OrderStatus, expires_at: float
    ) -> list[Action]:
        """Apply an order that is valid until `expires_at`, unless an order applied before fences it off."""
        fence, version = task_state.fence, (status.term, status.number)
        if now >= expires_at:
            task_state.count_refused("came too late")
            return []
        for known_fence in (
            fence,
            None if task_state.pending_order is None else fence_from_order(task_state.pending_order),
        ):
            if known_fence is None:
                continue
            if version < known_fence.version:
                task_state.count_refused("older than one obeyed")
                return []
            if status.term == known_fence.term and status.owner != known_fence.owner:
                task_state.count_refused("another owner's in one term")
                return []
            if version == known_fence.version and status.state not in (None, known_fence.state):
                task_state.count_refused("another state under one mark")
                return []
        if fence is not None and version == fence.version:
            order = order_from_fence(fence, expires_at)
            if task_state.order is not None and task_state.order.version == version:
                order = order_from_fence(fence, max(expires_at, task_state.order.expires_at))
            return self._apply_order(now, task_state, order)
        if status.state is None or len(status.state) > MAX_STATE_BYTES or not 0 < status.term < MAX_COUNTER:
            return []
        order = TaskOrder(
            status.task_name, status.term, status.number, status.owner, status.state, expires_at
        )
        if not task_state.task.durable:
            task_state.set_fence(fence_from_order(order))
            return self._apply_order(now, task_state, order)
        if task_state.pending_order is not None:
            if task_state.pending_order.version == version:
                task_state.pending_order = order_from_fence(
                    fence_from_order(order), max(expires_at, task_state.pending_order.expires_at)
                )
            return []  # a later order is received again once this record is written
        task_state.pending_order = order
        return [self._pending_writes.write(task_state.task.name, fence_from_order(order))]

    def fence_written(self, now: float, task_state: TaskState, error: str) -> list[Action]:
        """Handle the result of writing the pending order's fence; it isn't applied if `error` is set."""
        order, task_state.pending_order = task_state.pending_order, None
        assert order is not None, "only the fence of the pending order is written"
        if error:
            task_state.count_refused("its mark can't be recorded")
            return []
        task_state.set_fence(fence_from_order(order))
        return self._apply_order(now, task_state, order) if now < order.expires_at else []

    def _apply_order(self, now: float, task_state: TaskState, order: TaskOrder) -> list[Action]:
        task_state.order = order
        task_state.task.apply_order(now, order)
        return []
