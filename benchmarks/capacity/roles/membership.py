"""Membership in one gateway: `Members` with a fleet of hollow peers, in simulated time.

Silent: nobody answers. Answering: every peer is known, answers, and asks as often as a real one would; at
first every message carries as much news as after a start of the whole fleet, then none but what goes round
in turn. Sealing and opening datagrams is included, sockets are not.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from otterglade.core.fleet.member_state import MemberState
from otterglade.core.fleet.members import Members, MembershipTiming
from otterglade.core.fleet.messages import DatagramCodec, Kind, MembershipUpdate, Message

from ..isolated import CpuTimer, resident_bytes
from ..model import CONTROL_LIMITS, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import KB, MB, Size

NAME = "membership"
MECHANISM = "`core/fleet/members.py`, `gateway/peers.py`"
SELF = "gateway-0"
RUN = "0badcafe"
MINUTE = 60.0
WARM_UP = 10.0
NEWS_ROUNDS = 0.7
"""Simulated seconds for each member until the news of a start has been told."""
ANSWER_DELAY = 0.005
IN_TURN = 2
"""Words about others on a message without news."""


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "members")


SILENT_CPU = metric("silent_cpu", "CPU with nobody answering", "CPU s a minute")
SILENT_BYTES = metric("silent_bytes", "bytes sent with nobody answering", "B/s")
MEMORY = metric("memory", "memory of the table of members", "B")
STEADY_CPU = metric("steady_cpu", "CPU, all answer, no news", "CPU s a minute")
STEADY_BYTES = metric("steady_bytes", "bytes sent and received, all answer, no news", "B/s")
STEADY_MESSAGES = metric("steady_messages", "messages sent and received, all answer, no news", "messages/s")
START_CPU = metric("start_cpu", "CPU after a start of the whole fleet", "CPU s a minute")
START_BYTES = metric("start_bytes", "bytes sent and received after a start of the whole fleet", "B/s")


def _run_of(name: str) -> str:
    """Eight characters, as a real run's."""
    return f"{int(name.rpartition('-')[2]):08x}"


class HollowFleet:
    """Peers that answer every question and ask in turn, without state but their numbers."""

    def __init__(self, size: int, seed: int) -> None:
        self.names = [f"gateway-{n}" for n in range(size)]
        self.seal = DatagramCodec({"bench": b"k" * 32}, "bench")
        self.random = random.Random(seed)
        self.numbers = dict.fromkeys(self.names, 0)
        self.members = Members(SELF, 1, RUN, self.names, 0.0, seed)
        self.timer = CpuTimer()
        self.messages = self.bytes = 0
        self.words = IN_TURN

    def message_from(self, name: str, kind: Kind, question: int, body: bytes = b"") -> bytes:
        """A sealed datagram of a peer."""
        self.numbers[name] += 1
        chosen = self.random.sample(self.names, min(self.words, len(self.names)))
        pieces = tuple(
            MembershipUpdate(x, MemberState.ALIVE.value, 1, 0, _run_of(x)) for x in chosen if x != SELF
        )
        message = Message(
            kind, name, 1, 0, _run_of(name), self.numbers[name], SELF, RUN, 60.0, question,
            updates=pieces, body=body,
        )  # fmt: skip
        return self.seal.encode(message)

    def meet_all(self) -> None:
        """Have every peer heard once."""
        for name in self.names[1:]:
            self.members.receive(0.0, self.seal.decode(self.message_from(name, Kind.PING, 1)))
        self.members.drain_changes()

    def _sent(self, messages: Iterable[Message]) -> list[Message]:
        found = list(messages)
        for message in found:
            self.bytes += len(self.seal.encode(message))
            self.messages += 1
        return found

    def _tick(self, now: float) -> list[Message]:
        with self.timer:
            sent = self._sent(self.members.tick(now))
            self.members.due()
        return sent

    def _deliver(self, now: float, data: bytes) -> None:
        self.bytes += len(data)
        self.messages += 1
        with self.timer:
            self._sent(self.members.receive(now, self.seal.decode(data)).replies)
            self.members.due()
            self.members.drain_changes()

    def tell_news(self, begin: float) -> float:
        """Play until the news of the start has been told; when that is."""
        self.words, end = IN_TURN, begin + NEWS_ROUNDS * len(self.names)
        self.run(begin, end - begin, answers=True)
        self.reset()
        return end

    def run(self, begin: float, seconds: float, answers: bool) -> None:
        """Play from `begin` on; once a period one peer asks, as each is asked once a period in the mean."""
        asks_at = begin
        while (now := self.members.due()) < begin + seconds:
            while answers and asks_at <= now:
                self._deliver(asks_at, self.message_from(self.random.choice(self.names[1:]), Kind.PING, 1))
                asks_at += MembershipTiming().probe_interval
            for message in self._tick(now):
                if answers and message.kind is Kind.PING:
                    self._deliver(
                        now + ANSWER_DELAY, self.message_from(message.receiver, Kind.ACK, message.request_id)
                    )

    def reset(self) -> None:
        self.timer, self.messages, self.bytes = CpuTimer(), 0, 0


def play_silent(size: int) -> tuple[Reading, ...]:
    """A minute in which nobody answers."""
    fleet = HollowFleet(size, size)
    fleet.run(0.0, WARM_UP, answers=False)
    fleet.reset()
    fleet.run(WARM_UP, MINUTE, answers=False)
    return (
        Reading(SILENT_CPU, size, fleet.timer.seconds),
        Reading(SILENT_BYTES, size, fleet.bytes / MINUTE),
    )


def play_answering(size: int) -> tuple[Reading, ...]:
    """A minute after a start of the whole fleet, and one when its news has been told."""
    HollowFleet(2, 1).meet_all()  # modules are loaded and warm
    before = resident_bytes()
    fleet = HollowFleet(size, size)
    fleet.meet_all()
    memory = resident_bytes() - before
    fleet.words, begin = MembershipTiming().max_updates + IN_TURN, WARM_UP
    fleet.run(0.0, WARM_UP, answers=True)
    fleet.reset()
    fleet.run(begin, MINUTE, answers=True)
    started = (
        Reading(MEMORY, size, memory),
        Reading(START_CPU, size, fleet.timer.seconds),
        Reading(START_BYTES, size, fleet.bytes / MINUTE),
    )
    fleet.run(fleet.tell_news(begin + MINUTE), MINUTE, answers=True)
    return (
        *started,
        Reading(STEADY_CPU, size, fleet.timer.seconds),
        Reading(STEADY_BYTES, size, fleet.bytes / MINUTE),
        Reading(STEADY_MESSAGES, size, fleet.messages / MINUTE),
    )


def rows(size: Size) -> tuple[Row, ...]:
    members, percent = float(size.gateways), 100.0 / MINUTE
    cpu, traffic = CONTROL_LIMITS[Resource.CPU], CONTROL_LIMITS[Resource.MESSAGES]
    return (
        Row(Resource.STATE, "table of members", MEMORY, members, 1 / MB, "B to MB", "MB", MECHANISM,
            CONTROL_LIMITS[Resource.MEMORY], charged=Charge.CONTROL),
        Row(Resource.MESSAGES, "messages, all answer", STEADY_MESSAGES, members, 1.0, "-", "messages/s",
            MECHANISM),
        Row(Resource.MESSAGES, "bytes, all answer", STEADY_BYTES, members, 1 / KB, "B to KB", "KB/s",
            MECHANISM, traffic, charged=Charge.CONTROL),
        Row(Resource.MESSAGES, "bytes after a start of all", START_BYTES, members, 1 / KB, "B to KB", "KB/s",
            MECHANISM, traffic),
        Row(Resource.MESSAGES, "bytes, nobody answers", SILENT_BYTES, members, 1 / KB, "B to KB", "KB/s",
            MECHANISM, traffic),
        Row(Resource.CPU, "all answer", STEADY_CPU, members, percent, "s a minute to %", "% of a core",
            MECHANISM, cpu, charged=Charge.CONTROL),
        Row(Resource.CPU, "after a start of all", START_CPU, members, percent, "s a minute to %",
            "% of a core", MECHANISM, cpu),
        Row(Resource.CPU, "nobody answers", SILENT_CPU, members, percent, "s a minute to %", "% of a core",
            MECHANISM, cpu),
    )  # fmt: skip


SIZES = (200, 800, 1600, 3200)
ROLE = Role(
    NAME, "Gateway, control: membership",
    (
        Experiment((SILENT_CPU, SILENT_BYTES), play_silent, SIZES, (20, 40)),
        Experiment(
            (MEMORY, START_CPU, START_BYTES, STEADY_CPU, STEADY_BYTES, STEADY_MESSAGES),
            play_answering,
            SIZES,
            (20, 40),
        ),
    ),
    rows,
)  # fmt: skip
