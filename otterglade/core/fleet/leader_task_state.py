"""State of one leader task at one gateway: known owner, order in force, reports received."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .acceptor import Acceptor
from .leader_task import LeaderTask, TaskOrder
from .leader_task_records import Fence
from .proposer import Proposer
from .register import VoteReply

MAX_SILENT_PERIODS = 3
"""Periods without an answer from the gateway above before reports go to another one: by then the silent
one has dropped the last report, so that it isn't counted twice."""
DETOUR_PERIODS = 16
"""Periods for which a silent gateway above is bypassed."""


@dataclass(slots=True)
class TaskState:
    """One leader task at this gateway."""

    task: LeaderTask
    proposer: Proposer
    acceptor: Acceptor | None
    fence: Fence | None = None
    """The newest order applied; on disk for durable tasks."""
    order: TaskOrder | None = None
    pending_order: TaskOrder | None = None
    """An order whose fence is being written."""
    known_owner: str = ""
    known_term: int = 0
    """Owner and term as last learnt from another gateway; they only select the gateway to report to."""
    child_reports: dict[str, tuple[float, bytes]] = field(default_factory=dict)
    candidacy_at: float = 0.0
    failed_candidacies: int = 0
    """Failed candidacies since this gateway last owned the task."""
    reports_sent: int = 0
    """Reports sent upwards in this period."""
    report_at: float = math.inf
    """When the next report is due."""
    silent_periods: int = 0
    """Periods without an answer from the gateway above, including those in which it was bypassed."""
    voter_records: dict[str, VoteReply] = field(default_factory=dict)
    """Other voters' records, collected by a voter that may have lost its own."""
    read_retry_at: float = -math.inf
    """Earliest time to rebuild from them: a disk that has just failed is likely to fail again."""
    refusal_counts: dict[str, int] = field(default_factory=dict)
    """Counts of refused orders, states and reports, by reason."""

    def note_parent_reply(self, answered: bool) -> None:
        """Record whether the gateway above answered.

        While it is bypassed, answers come from the gateway above it; it is tried again after DETOUR_PERIODS.
        """
        self.silent_periods = (
            0 if answered and self.silent_periods < MAX_SILENT_PERIODS else self.silent_periods + 1
        )
        if self.silent_periods > MAX_SILENT_PERIODS + DETOUR_PERIODS:
            self.silent_periods = MAX_SILENT_PERIODS - 1

    def set_fence(self, fence: Fence) -> None:
        """Set the newest order applied, and its term for the proposer."""
        self.fence, self.proposer.highest_term = fence, fence.term

    def count_refused(self, reason: str) -> None:
        """Count a refusal under its reason."""
        self.refusal_counts[reason] = self.refusal_counts.get(reason, 0) + 1
