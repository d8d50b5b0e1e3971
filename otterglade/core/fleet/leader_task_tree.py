"""Tree for the reports and orders of a leader task: the owner at the root, the others by rank."""

from __future__ import annotations

import hashlib
import random

from .leader_task_state import MAX_SILENT_PERIODS, TaskState
from .member_state import MemberState
from .members import Members
from .register import LeaseTiming, Voters

VOTER_SHARE_WITH_ORDER = 0.8
"""Fraction of requests sent to voters if the gateway above does not answer and an order is in force.

The others find a path around a partition between this gateway and all voters.
"""
REQUESTS_PER_VOTER = 8
"""Average number of requests per period to each voter, from all gateways without an order together."""


class ReportTree:
    """Rank and tree position of every gateway, the same for all tasks."""

    def __init__(self, members: Members, voters: Voters, timing: LeaseTiming) -> None:
        self._members, self._voters, self._timing = members, voters, timing
        self.names = sorted((members.name, *members.peers), key=_weight)
        self.positions = {x: n for n, x in enumerate(self.names)}

    def rank(self) -> int:
        """Return how many live gateways rank before this one."""
        own_position = self.positions[self._members.name]
        return sum(self.positions[x] < own_position for x in self._members.live_peers())

    def parent(self, task_state: TaskState) -> str:
        """Return the gateway to report to: the parent, or the next above if the parent is down or silent.

        Returns an empty name if there is none. All gateways with the same known owner have the same tree and
        report only upwards in it, so a report never returns to its sender.
        """
        owner_position = self.positions.get(task_state.known_owner)
        if owner_position is None or task_state.known_owner == self._members.name:
            return ""
        own_position = self.positions[self._members.name]
        index, is_parent = own_position + 1 if own_position < owner_position else own_position, True
        while index:
            index = (index - 1) // self._timing.fan_out
            name = (
                task_state.known_owner
                if index == 0
                else self.names[index - 1 if index <= owner_position else index]
            )
            if not self._is_away(name) and (not is_parent or task_state.silent_periods < MAX_SILENT_PERIODS):
                return name
            is_parent = False
        return "" if self._is_away(task_state.known_owner) else task_state.known_owner

    def _is_away(self, name: str) -> bool:
        return self._members.state_of(name) in (MemberState.DEAD, MemberState.LEFT)

    def _pick(self, rng: random.Random, *names: str) -> str:
        """Return a random one of these gateways that is not known to be down; empty if there is none."""
        reachable = [x for x in names if x != self._members.name and not self._is_away(x)]
        return rng.choice(reachable) if reachable else ""

    def pick_alternative(self, task_state: TaskState, rng: random.Random) -> str:
        """Return a random voter or other member to ask if the parent does not answer.

        Voters learn of a new owner first. They are preferred while an order is in force. Otherwise their
        share falls with the size of the fleet, so that each voter gets no more requests from a large fleet
        than from a small one.
        """
        voters = self._voters.all
        share = (
            VOTER_SHARE_WITH_ORDER
            if task_state.order is not None
            else min(0.5, REQUESTS_PER_VOTER * len(voters) / len(self.names))
        )
        drawn = self._pick(rng, *voters) if rng.random() < share else ""
        return drawn or self._pick(rng, *self._members.live_peers())


def _weight(name: str) -> bytes:
    """Return the sort key of the rank: the same for all tasks, so that one gateway tends to own them all and
    one request serves them all."""
    return hashlib.blake2b(name.encode(), digest_size=8, person=b"otter-duties").digest()
