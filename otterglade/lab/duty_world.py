"""Duties in simulated time: real gateways' parts, each with a clock, a disk and faults of its own.

An oracle watches every order that is obeyed; tests, and the measurements of capacity, run on it.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from ..core.fleet.actions import SendMessage, WriteTaskRecord
from ..core.fleet.fleet import FleetAgent
from ..core.fleet.leader_task import TaskOrder
from ..core.fleet.leader_task_records import Fence, decode
from ..core.fleet.leader_tasks import LeaderTasks
from ..core.fleet.members import Members
from ..core.fleet.messages import MAX_DATAGRAM_BYTES, DatagramCodec, Kind, Message
from ..core.fleet.register import VoterRecord, Voters
from ..core.fleet.witness import Witness

SEAL = DatagramCodec({"mesh": b"k" * 32}, "mesh")


class Count:
    """A work whose states tell who decided them; its sums count gateways."""

    def __init__(
        self, world: World, seat: str, name: str = "shed", lasting: bool = False, every: int = 4
    ) -> None:
        self.world, self.seat, self.name, self.durable, self.every = world, seat, name, lasting, every
        self.asked, self.lapses = 0, 0
        self.recalled: TaskOrder | None = None
        self.told = 0

    def local_report(self, now: float) -> bytes:
        return msgspec.msgpack.encode(1)

    def merge_reports(self, parts: Sequence[bytes]) -> bytes:
        return msgspec.msgpack.encode(sum(msgspec.msgpack.decode(x, type=int) for x in parts))

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        self.asked += 1
        self.told = msgspec.msgpack.decode(merged_report)
        if self.every == 0 or self.asked % self.every:
            return state
        return self.world.decided(self.seat, self.name)

    def apply_order(self, now: float, order: TaskOrder) -> None:
        self.world.obeyed(self.seat, order, now)

    def expire_order(self, now: float) -> None:
        self.lapses += 1
        self.world.in_force.pop((self.name, self.seat), None)

    def restore_order(self, now: float, order: TaskOrder) -> None:
        self.recalled = order


@dataclass
class Place:
    """A gateway: its process, if it runs, its disk and its clock."""

    offset: float
    rate: float
    boot: int = 0
    fleet: FleetAgent | None = None
    works: list[Count] = field(default_factory=list)
    disk: list[bytes] = field(default_factory=list)
    sync: float = 0.005
    broken: str = ""
    stopped: list[Message] | None = None
    life: int = 0


class World:
    """`run(until)`; between two of them the caller commands links, processes and disks."""

    def __init__(
        self,
        count: int,
        seed: int,
        voters: Voters | None = None,
        *,
        drift: float = 0.0,
        duties: Sequence[tuple[str, bool]] = (("shed", False),),
        every: int = 4,
    ) -> None:
        self.random = random.Random(seed)
        self.names = [f"g{n}" for n in range(count)]
        self.voters = voters or Voters(tuple(self.names[: 5 if count >= 5 else 3]))
        self.duties, self.every = duties, every
        self.now, self.lost, self.doubled, self.late = 0.0, 0.0, 0.0, (0.001, 0.01)
        self.cut: set[tuple[str, str]] = set()
        self.bytes: dict[str, int] = defaultdict(int)
        self.sent: list[Message] = []
        self.in_force: dict[tuple[str, str], tuple[TaskOrder, float]] = {}
        self.decider: dict[bytes, int] = {b"": 0}
        self.accepted: dict[tuple[str, int, int], dict[bytes, set[str]]] = defaultdict(
            lambda: defaultdict(set)
        )
        self.published: dict[tuple[str, int, int], bytes] = {}
        self.highest: dict[tuple[str, str], tuple[int, int]] = {}
        self.owners: list[tuple[float, str, int]] = []
        self.sets: set[Voters] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.places = {
            x: Place(self.random.uniform(0, 7200), 1 + self.random.uniform(-drift, drift)) for x in self.names
        }
        for name in self.names:
            self.start(name)

    # Oracle

    def decided(self, seat: str, duty: str) -> bytes:
        held = self.of(seat)._tasks[duty].proposer.value
        assert held is not None
        state = f"{seat} {held.term} {next(self._order)}".encode()
        self.decider[state] = held.term
        return state

    def obeyed(self, seat: str, order: TaskOrder, now: float) -> None:
        place = self.places[seat]
        key = (order.task_name, seat)
        assert order.version >= self.highest.get(key, (0, 0)), "a mark went back"
        lasting = dict(self.duties)[order.task_name]
        if lasting:
            fences = [
                x for x in map(decode, place.disk) if isinstance(x, Fence) and x.task_name == order.task_name
            ]
            assert any(x.version == order.version for x in fences), "obeyed before its mark was durable"
        self.highest[key] = order.version
        chosen = self.accepted[order.task_name, *order.version][order.state]
        assert self.enough(chosen), "published, and no majority has it"
        assert self.published.setdefault((order.task_name, *order.version), order.state) == order.state
        until = self.now + (order.expires_at - now) / place.rate
        for (duty, other), (stands, ends) in self.in_force.items():
            if duty == order.task_name and other != seat and ends > self.now and stands.term != order.term:
                newer = max(stands, order, key=lambda x: x.term)
                assert self.decider[newer.state] < newer.term, (
                    f"{other} goes by term {stands.term}, {seat} by {order.term}, and that one has changed it"
                )
        self.in_force[key] = (order, until)

    def enough(self, names: set[str]) -> bool:
        return any(x.has_quorum(names, x.number) for x in self.sets)

    def check_states(self) -> None:
        """What a term begins with is what was published last, or what its owner had under way after it."""
        for (duty, term, number), states in list(self.accepted.items()):
            if number != 1:
                continue
            before = [x[1:] for x in self.published if x[0] == duty and x[1:] < (term, number)]
            if before:
                span = [x for x in self.accepted if x[0] == duty and max(before) <= x[1:] < (term, 1)]
                later = {y for x in span for y in self.accepted[x]}
                chosen = {x for x, y in states.items() if self.enough(y)}
                assert chosen <= later, "a state that was published is lost"

    # Processes

    def of(self, name: str) -> LeaderTasks:
        fleet = self.places[name].fleet
        assert fleet is not None and fleet.leader_tasks is not None
        return fleet.leader_tasks

    def local(self, name: str) -> float:
        return self.places[name].offset + self.now * self.places[name].rate

    def start(self, name: str, boot: int = 0, abstains: str = "") -> None:
        place = self.places[name]
        place.life += 1
        self.sets.add(self.voters)
        place.boot = boot or place.boot + 1
        run, now = f"{name}-{place.life}", self.local(name)
        for duty, lasting in self.duties:
            if not lasting:
                self.highest.pop((duty, name), None)
        members = Members(name, place.boot, run, self.names, now, self.random.getrandbits(32))
        place.works = [Count(self, name, x, lasting, self.every) for x, lasting in self.duties]
        duties = LeaderTasks(members, self.voters, place.works, now, self.random.getrandbits(32))
        duties.restore(place.disk, now)
        if abstains:
            duties.abstains = abstains
        place.fleet, place.stopped, place.broken = (
            FleetAgent(members, Witness(1.0, 1.0), self.names, 0, duties),
            None,
            "",
        )
        self._alarm(name)

    def kill(self, *names: str) -> None:
        for name in names:
            self.places[name].fleet = None
            for duty, _ in self.duties:
                self.in_force.pop((duty, name), None)

    def stop(self, name: str) -> None:
        self.places[name].stopped = []

    def go_on(self, name: str, ticks_first: bool = False) -> None:
        place = self.places[name]
        waiting, place.stopped = place.stopped or [], None
        if ticks_first:
            self._tick(name, place.life, None)
        for message in waiting:
            self._arrive(message)
        self._alarm(name)

    def part(self, *groups: Iterable[str]) -> None:
        for one, other in itertools.permutations([list(x) for x in groups], 2):
            self.cut |= {*itertools.product(one, other)}

    # Time

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), act))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, act = heapq.heappop(self._queue)
            act()
        self.now = until

    def until(self, what: Callable[[], object], limit: float) -> float:
        began = self.now
        while not what():
            assert self.now - began < limit, "not in time"
            self.run(0.02)
        return self.now - began

    def _alarm(self, name: str) -> None:
        place = self.places[name]
        if place.fleet is None:
            return
        due, life = place.fleet.due(), place.life
        real = (due - place.offset) / place.rate
        self.at(max(self.now + 0.001, real), lambda: self._tick(name, life, due))

    def _tick(self, name: str, life: int, due: float | None) -> None:
        place = self.places[name]
        if place.fleet is None or place.life != life or place.stopped is not None:
            return
        if due is not None and place.fleet.due() != due:
            return
        self._carry(name, place.fleet.tick(self.local(name)))
        self._alarm(name)

    def _carry(self, name: str, out: Iterable[object]) -> None:
        for one in out:
            match one:
                case SendMessage(message):
                    self._send(message)
                case WriteTaskRecord(record, token):
                    self._write(name, record, token)
        duties = self.of(name)
        for turn in duties.drain_changes():
            if turn.event == "owns":
                self.owners.append((self.now, name, turn.term))

    def _write(self, name: str, record: bytes, token: int) -> None:
        place = self.places[name]
        life, trouble = place.life, place.broken

        def done() -> None:
            if place.life != life or place.fleet is None:
                return  # killed: what was not synced is lost
            if place.stopped is not None:
                self.at(self.now + 0.1, done)
                return
            if not trouble:
                place.disk.append(record)
                found = decode(record)
                if isinstance(found, VoterRecord) and found.value is not None and not found.doubtful:
                    self.accepted[found.task_name, *found.value.version][found.value.state].add(name)
            if self.of(name).wants_snapshot():
                place.disk[:] = self.of(name).snapshot()
            self._carry(name, self.of(name).record_written(self.local(name), token, trouble))
            self._alarm(name)

        self.at(self.now + place.sync * self.random.uniform(0.5, 1.5), done)

    def _send(self, message: Message) -> None:
        size = len(SEAL.encode(message))
        assert size <= MAX_DATAGRAM_BYTES
        if message.kind in (Kind.VOTE, Kind.VOTE_REPLY, Kind.REPORT, Kind.ORDER):
            self.bytes[message.sender] += size
        self.sent.append(message)
        del self.sent[:-2000]
        if (message.sender, message.receiver) in self.cut or self.random.random() < self.lost:
            return
        for _ in range(1 + (self.random.random() < self.doubled)):
            self.at(self.now + self.random.uniform(*self.late), lambda: self._arrive(message))

    def _arrive(self, message: Message) -> None:
        place = self.places[message.receiver]
        if place.stopped is not None:
            place.stopped.append(message)
        elif place.fleet is not None:
            self._carry(message.receiver, place.fleet.receive(self.local(message.receiver), message))
            self._alarm(message.receiver)

    # What is seen

    def owning(self, duty: str = "shed") -> list[str]:
        return [
            x
            for x, y in self.places.items()
            if y.fleet is not None and y.stopped is None and self.of(x)._tasks[duty].proposer.is_owner
        ]

    def all_ordered(self) -> bool:
        return all(self.ordered(x) for x, _ in self.duties)

    def ordered(self, duty: str = "shed", by: str = "", but: Iterable[str] = ()) -> bool:
        """Whether every gateway that runs goes by an order, of this owner."""
        found = [
            self.of(x).order_in_force(duty, self.local(x))
            for x, y in self.places.items()
            if y.fleet is not None and y.stopped is None and x not in but
        ]
        return all(x is not None and (not by or x.owner == by) for x in found)
