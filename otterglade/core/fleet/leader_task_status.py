"""Status of a leader task at one gateway, for operators."""

from __future__ import annotations

import math

from .leader_task_state import TaskState
from .register import LeaseTiming, Voters


def task_status(now: float, task_state: TaskState, voters: Voters, timing: LeaseTiming) -> dict[str, object]:
    """Return the status fields of one task at this gateway; times are in seconds."""
    proposer, order, fence = task_state.proposer, task_state.order, task_state.fence
    answering_voters = [
        x for x in voters.all if now - proposer.last_reply_at.get(x, -math.inf) < 2.0 * timing.lease
    ]
    acceptor = task_state.acceptor
    return {
        "owner": None if order is None else order.owner,
        "term": 0 if fence is None else fence.term,
        "number": 0 if fence is None else fence.number,
        "holds_s": 0.0 if order is None else round(max(0.0, order.expires_at - now), 3),
        "mine": proposer.is_owner,
        "lease_s": round(proposer.lease_expires_at - now, 3) if proposer.is_owner else 0.0,
        "quiet_s": round(max(0.0, proposer.owned_at + timing.quiet_period - now), 3)
        if proposer.is_owner
        else 0.0,
        "stage": proposer.stage.value,
        "tried": task_state.failed_candidacies,
        "why": "" if order is not None else proposer.end_reason,
        "voters_heard": f"{len(answering_voters)} of {len(voters.all)}",
        "voter": None if acceptor is None else acceptor.state.value,
        "settled": None
        if acceptor is None or acceptor.durable.value is None
        else acceptor.durable.value.voters_number,
        "above": task_state.known_owner,
        "told_by": len(task_state.child_reports),
        "refused": dict(task_state.refusal_counts),
    }
