"""Protocol of a leader task: what a gateway reports, what the leader decides, what every gateway applies.

A leader task is a named job that one gateway of the fleet, its owner, does on behalf of all of them.
`leader_tasks.py` elects the owner, has each of its decisions accepted by a majority of the voters before any
gateway applies it, and distributes it with its term, its number and its remaining time. An
implementation (`lanes.py`, `routes.py`) is called on the decision loop, does no I/O and sees neither voters
nor messages.

An order never grants a permission. It only restricts a gateway, or divides among gateways work that any of
them may do without it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

MAX_STATE_BYTES = 640
"""Size of a task's state: with ballot and seal it has to fit one datagram, as voters store it whole."""
MAX_REPORT_BYTES = 400
"""Size of a merged report of a gateway and those below it in the tree; independent of the fleet's size."""


@dataclass(frozen=True, slots=True)
class TaskOrder:
    """A decision of a task's owner that a majority has accepted, as received by a gateway."""

    task_name: str
    term: int
    """Term of the ownership; only increases."""
    number: int
    """Counts the owner's decisions within the term; only increases within it."""
    owner: str
    state: bytes
    expires_at: float
    """On this gateway's own clock, in seconds."""

    @property
    def version(self) -> tuple[int, int]:
        """Term and number; of two orders the later one has the greater version."""
        return self.term, self.number


class LeaderTask(Protocol):
    """The implementation of one task in one run of a gateway; belongs to the decision loop."""

    name: str
    """Of the task, the same on all gateways."""
    durable: bool
    """Whether the effect of an order outlives the process: the newest one is then made durable before it is
    applied, and passed to `restore_order` at the next start."""

    def local_report(self, now: float) -> bytes:
        """Return this gateway's own report to the owner; at most MAX_REPORT_BYTES."""

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        """Merge the reports of any number of gateways into one of at most MAX_REPORT_BYTES.

        The result doesn't depend on the order of `parts`; unreadable reports are skipped and counted.
        """

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        """Return, as the owner, the next state; the same bytes mean no change.

        Called once a period. `state` was accepted by a majority in this term or an earlier one, and is empty
        if none ever was; `merged_report` covers the whole fleet. The result takes effect only after a
        majority has accepted it.
        """

    def apply_order(self, now: float, order: TaskOrder) -> None:
        """Apply an order in force, no older than any applied before; called again at each renewal of it."""

    def expire_order(self, now: float) -> None:
        """Move from the last order to the task's safe state, as no order is in force any more."""

    def restore_order(self, now: float, order: TaskOrder) -> None:
        """Restore the last order that an earlier run applied of a durable task; it expires at `now`."""
