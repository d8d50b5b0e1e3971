"""Witnesses of paid set-ups in one gateway: those of its own viewers, and those that it witnesses for others.

The asker works out the witnesses from all configured names, asks them, hears them, and tells them how the
attempt ended. Records are made, the disk is not waited for.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from otterglade.core.attempts import AttemptRecord, AttemptState
from otterglade.core.claims import Claim
from otterglade.core.fleet.actions import SendMessage, WriteWitnessRecord
from otterglade.core.fleet.fleet import FleetAgent
from otterglade.core.fleet.messages import Kind
from otterglade.core.fleet.witness import (
    SEEN_BY_ATTEMPT_STATE,
    ClaimSettlement,
    Witness,
    WitnessPoll,
    WitnessReply,
    select_witnesses,
)

from ..isolated import CpuTimer
from ..model import CONTROL_LIMITS, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import KB, Size
from .membership import SELF, HollowFleet

NAME = "witnesses"
MECHANISM = "`core/fleet/witness.py`, `core/fleet/fleet.py`"
COUNT = 3
ATTEMPTS = 60
CLASS = "film"
UNSURE_FOR, SEEN_FOR = 600.0, 21_600.0


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "members")


ASK_CPU = metric("ask_cpu", "CPU of an own paid set-up", "CPU ms")
ASK_BYTES = metric("ask_bytes", "bytes sent and received for an own paid set-up", "B")
SERVE_CPU = metric("serve_cpu", "CPU of witnessing one set-up of another", "CPU ms")
SERVE_BYTES = metric("serve_bytes", "bytes sent and received for witnessing one", "B")


def _claim(number: int, origin: str) -> Claim:
    return Claim(f"viewer-{number}", CLASS, f"topic-{number}", f"{origin}.0badcafe.{number}.0", 7, "epoch")


@dataclass(slots=True)
class Seat:
    """A gateway's part in the fleet among hollow peers, with its costs."""

    hollow: HollowFleet
    fleet: FleetAgent
    timer: CpuTimer
    passed: int = 0

    @classmethod
    def among(cls, size: int) -> Seat:
        """In a fleet that has settled."""
        hollow = HollowFleet(size, size)
        hollow.meet_all()
        hollow.tell_news(0.0)
        fleet = FleetAgent(hollow.members, Witness(UNSURE_FOR, SEEN_FOR), hollow.names, COUNT)
        return cls(hollow, fleet, CpuTimer())

    def carry(self, now: float, out: Iterable[object]) -> list[str]:
        """Send and keep what the fleet's part says; to whom something was sent."""
        told: list[str] = []
        for one in out:
            if isinstance(one, SendMessage):
                self.passed += len(self.hollow.seal.encode(one.message))
                told.append(one.message.receiver)
            elif isinstance(one, WriteWitnessRecord):
                told += self.carry(now, self.fleet.witness_record_written(now, one))
        return told

    def deliver(self, now: float, name: str, kind: Kind, body: bytes) -> None:
        data = self.hollow.message_from(name, kind, 0, body)
        self.passed += len(data)
        with self.timer:
            self.carry(now, self.fleet.receive(now, self.hollow.seal.decode(data)))

    def reset(self) -> None:
        self.timer, self.passed = CpuTimer(), 0


def _ask(seat: Seat, now: float, number: int) -> None:
    """An own attempt from the question to the word of its end."""
    claim = _claim(number, SELF)
    name = (claim.viewer, claim.session_class, claim.title)
    with seat.timer:
        chosen = tuple(select_witnesses(name, seat.hollow.names, COUNT))
        asked = seat.carry(now, seat.fleet.start_poll(now, WitnessPoll(claim, chosen)))
    word = msgspec.msgpack.encode(WitnessReply(claim.setup, True))
    for witness in asked:
        seat.deliver(now, witness, Kind.CLAIM_REPLY, word)
    entry = AttemptRecord(claim.setup, AttemptState.RAN, now, (claim.viewer, 0, claim.title), claim.server)
    with seat.timer:
        seat.carry(now, seat.fleet.attempt_state_changed(now, entry, CLASS))


def _serve(seat: Seat, now: float, number: int) -> None:
    """Another's attempt: its claim and the word of its end."""
    origin = seat.hollow.names[1 + number % (len(seat.hollow.names) - 1)]
    claim = _claim(number, origin)
    settled = ClaimSettlement(
        claim.viewer, CLASS, claim.title, claim.setup, SEEN_BY_ATTEMPT_STATE[AttemptState.RAN]
    )
    seat.deliver(now, origin, Kind.CLAIM, msgspec.msgpack.encode(claim))
    seat.deliver(now, origin, Kind.CLAIM_SETTLED, msgspec.msgpack.encode(settled))


def play(members: int) -> tuple[Reading, ...]:
    seat = Seat.among(members)
    now = members * 10.0
    for number in range(ATTEMPTS):
        _ask(seat, now + number, number)
    milliseconds = 1000.0 / ATTEMPTS
    asked = (
        Reading(ASK_CPU, members, seat.timer.seconds * milliseconds),
        Reading(ASK_BYTES, members, seat.passed / ATTEMPTS),
    )
    seat.reset()
    for number in range(ATTEMPTS, 2 * ATTEMPTS):
        _serve(seat, now + number, number)
    return (
        *asked,
        Reading(SERVE_CPU, members, seat.timer.seconds * milliseconds),
        Reading(SERVE_BYTES, members, seat.passed / ATTEMPTS),
    )


def rows(size: Size) -> tuple[Row, ...]:
    members, own, served = float(size.gateways), size.paid_setups, size.paid_setups * COUNT
    ours, theirs = f"{own:.2f} paid set-ups a second", f"{served:.2f} a second"
    cpu, traffic = CONTROL_LIMITS[Resource.CPU], CONTROL_LIMITS[Resource.MESSAGES]
    return (
        Row(Resource.MESSAGES, "own paid set-ups", ASK_BYTES, members, own / KB, ours, "KB/s", MECHANISM,
            traffic, charged=Charge.CONTROL),
        Row(Resource.MESSAGES, "witnessed for others", SERVE_BYTES, members, served / KB, theirs, "KB/s",
            MECHANISM, traffic, charged=Charge.CONTROL),
        Row(Resource.CPU, "own paid set-ups", ASK_CPU, members, own / 10, f"{ours}, ms to %",
            "% of a core", MECHANISM, cpu, charged=Charge.CONTROL),
        Row(Resource.CPU, "witnessed for others", SERVE_CPU, members, served / 10, f"{theirs}, ms to %",
            "% of a core", MECHANISM, cpu, charged=Charge.CONTROL),
    )  # fmt: skip


ROLE = Role(
    NAME, "Gateway, control: witnesses of paid set-ups",
    (
        Experiment(
            (ASK_CPU, ASK_BYTES, SERVE_CPU, SERVE_BYTES), play, (100, 400, 800, 1_600), (10, 20)
        ),
    ),
    rows,
)  # fmt: skip
