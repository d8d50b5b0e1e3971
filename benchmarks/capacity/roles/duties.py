"""Duties in simulated time: a voter, the owner, and everybody else; membership's messages included.

Each gateway runs the shipped code; its CPU time is taken around that code alone, seals included.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterable

from otterglade.core.fleet.leader_task import TaskOrder
from otterglade.core.fleet.messages import Message
from otterglade.lab.duty_world import SEAL, World

from ..model import CONTROL_LIMITS, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import KB, Size

NAME = "duties"
MECHANISM = "`core/fleet/leader_tasks.py`, `core/fleet/register.py`"
OBEYED = 15.0
"""Simulated seconds until all obey."""
NEWS_ROUNDS = 0.2
"""More of them for each member, until the news of the start has been told."""
MEASURED = 10.0
SHED_AND_ROUTES = (("shed", False), ("routes", True))
DECIDE_EVERY = 4


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "gateways")


OWNER_BYTES = metric("owner_bytes", "bytes sent by the owner", "B/s")
VOTER_BYTES = metric("voter_bytes", "bytes sent by a voter", "B/s")
OTHER_BYTES = metric("other_bytes", "bytes sent by another gateway", "B/s")
OWNER_CPU = metric("owner_cpu", "CPU of the owner", "% of a core")
VOTER_CPU = metric("voter_cpu", "CPU of a voter", "% of a core")
OTHER_CPU = metric("other_cpu", "CPU of another gateway", "% of a core")


class MeasuredWorld(World):
    """Takes CPU time and all bytes of each gateway; the oracle is left to the tests."""

    def __init__(self, count: int, seed: int) -> None:
        self.cpu: dict[str, float] = defaultdict(float)
        self.all_bytes: dict[str, int] = defaultdict(int)
        super().__init__(count, seed, duties=SHED_AND_ROUTES, every=DECIDE_EVERY)

    def obeyed(self, seat: str, order: TaskOrder, now: float) -> None:
        """Not judged here."""

    def _tick(self, name: str, life: int, due: float | None) -> None:
        began = time.process_time()
        super()._tick(name, life, due)
        self.cpu[name] += time.process_time() - began

    def _arrive(self, message: Message) -> None:
        began = time.process_time()
        super()._arrive(message)
        self.cpu[message.receiver] += time.process_time() - began

    def _send(self, message: Message) -> None:
        self.all_bytes[message.sender] += len(SEAL.encode(message))
        super()._send(message)

    def reset(self) -> None:
        self.cpu.clear()
        self.all_bytes.clear()


def _mean(values: dict[str, float] | dict[str, int], names: Iterable[str]) -> float:
    found = [float(values[x]) for x in names]
    return sum(found) / len(found) / MEASURED


def play(gateways: int) -> tuple[Reading, ...]:
    """Two duties of one owner or two, after all obey."""
    world = MeasuredWorld(gateways, gateways)
    world.run(OBEYED + NEWS_ROUNDS * gateways)
    world.reset()
    world.run(MEASURED)
    owners = {*world.owning("shed"), *world.owning("routes")}
    voters = {*world.voters.names} - owners
    others = {*world.names} - owners - voters
    return (
        Reading(OWNER_BYTES, gateways, _mean(world.all_bytes, owners)),
        Reading(VOTER_BYTES, gateways, _mean(world.all_bytes, voters)),
        Reading(OTHER_BYTES, gateways, _mean(world.all_bytes, others)),
        Reading(OWNER_CPU, gateways, 100 * _mean(world.cpu, owners)),
        Reading(VOTER_CPU, gateways, 100 * _mean(world.cpu, voters)),
        Reading(OTHER_CPU, gateways, 100 * _mean(world.cpu, others)),
    )


def rows(size: Size) -> tuple[Row, ...]:
    gateways, percent, rate = float(size.gateways), "% of a core", "KB/s"
    cpu, traffic = CONTROL_LIMITS[Resource.CPU], CONTROL_LIMITS[Resource.MESSAGES]
    return (
        Row(Resource.MESSAGES, "owner", OWNER_BYTES, gateways, 1 / KB, "B to KB", rate, MECHANISM, traffic),
        Row(Resource.MESSAGES, "voter", VOTER_BYTES, gateways, 1 / KB, "B to KB", rate, MECHANISM, traffic),
        Row(Resource.MESSAGES, "other gateway", OTHER_BYTES, gateways, 1 / KB, "B to KB", rate, MECHANISM,
            traffic, charged=Charge.CONTROL),
        Row(Resource.CPU, "owner", OWNER_CPU, gateways, 1.0, "-", percent, MECHANISM, cpu),
        Row(Resource.CPU, "voter", VOTER_CPU, gateways, 1.0, "-", percent, MECHANISM, cpu),
        Row(Resource.CPU, "other gateway", OTHER_CPU, gateways, 1.0, "-", percent, MECHANISM, cpu,
            charged=Charge.CONTROL),
    )  # fmt: skip


ROLE = Role(
    NAME, "Voter, owner of a duty, and who obeys",
    (
        Experiment(
            (OWNER_BYTES, VOTER_BYTES, OTHER_BYTES, OWNER_CPU, VOTER_CPU, OTHER_CPU), play,
            (20, 40, 80, 160), (10, 20),
        ),
    ),
    rows,
)  # fmt: skip
