"""Choice of the control machine that a subscriber reads from: the nearest, spread by rendezvous hashing.

Each subscriber ranks all machines locally, without a shared table. When a machine fails, only its own
subscribers move, each to the next machine in its ranking.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum

_WEIGHT_BYTES = 8


@dataclass(frozen=True, slots=True)
class ControlMachine:
    """A machine that serves revisions to subscribers."""

    name: str
    address: str
    """HOST:PORT."""
    region: str
    zone: str
    voter: bool
    """Whether it also votes on the configuration."""


class _Distance(IntEnum):
    SAME_ZONE = 0
    SAME_REGION = 1
    ELSEWHERE = 2


def rank_machines(
    subscriber: str, region: str, zone: str, machines: Sequence[ControlMachine]
) -> list[ControlMachine]:
    """Return all machines, best first: same zone, then same region, then the others.

    Within each group they are ordered by highest random weight (rendezvous hashing).
    """

    def rank_key(machine: ControlMachine) -> tuple[_Distance, int, str]:
        return _distance(region, zone, machine), -_weight(subscriber, machine.name), machine.name

    return sorted(machines, key=rank_key)


def _distance(region: str, zone: str, machine: ControlMachine) -> _Distance:
    if machine.region != region:
        return _Distance.ELSEWHERE
    return _Distance.SAME_ZONE if machine.zone == zone else _Distance.SAME_REGION


def _weight(subscriber: str, machine: str) -> int:
    pair = f"{len(subscriber)}:{subscriber}{machine}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=_WEIGHT_BYTES).digest(), "big")
