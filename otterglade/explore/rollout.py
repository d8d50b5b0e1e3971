"""Rollouts in a small world: gateways' real routes around a register that has one owner.

What the duty brings about, without its messages: a period is a decision of the owner, an order to all whom
it hears, and half a second of what is fetched and written for it. The caller raises proposals, cuts gateways
off, kills them, has another own the duty, or has disks and judges fail. After each period what acts is looked
at.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable, Mapping, Sequence

from ..core.fleet.actions import DeleteRoutingPart, SendMessage, StoreRoutingPart
from ..core.fleet.conflicts import conflicts
from ..core.fleet.editions import RolloutState, name_key
from ..core.fleet.leader_task import MAX_STATE_BYTES, TaskOrder
from ..core.fleet.member_state import MemberState
from ..core.fleet.members import Members
from ..core.fleet.messages import Message
from ..core.fleet.route_checks import Check
from ..core.fleet.router import Router
from ..core.fleet.routes import Action, RoutingTask
from ..core.fleet.routing import Region, Routing, decode_routing
from ..core.interface import Settings

STEP = 0.01
"""Seconds of the world's clock."""
STEPS = 50
"""In a period."""


def acquainted(name: str, names: Iterable[str]) -> Members:
    """A gateway that has heard of all the others."""
    found = Members(name, 1, f"run-{name}", names, 0.0, 1)
    for peer in found.peers.values():
        peer.state, peer.run_id, peer.version = MemberState.ALIVE, f"run-{peer.name}", (1, 0)
    return found


class Seat:
    """One gateway: a run, and what outlives it. Its region is its name's first letter."""

    def __init__(self, town: Town, name: str) -> None:
        self.town, self.name, self.key = town, name, name_key(name[0])
        self.disk, self.disk_works, self.up = dict[str, bytes](), True, True
        self.fence: TaskOrder | None = None
        self.lines: list[tuple[str, dict[str, object]]] = []
        self.start()

    def start(self, script: Routing | None = None) -> None:
        """A new run, with what is on disk."""
        self.up, self.router = True, Router(self.town.settings, self.town.classes)
        members = acquainted(self.name, self.town.names)
        self.routes = RoutingTask(
            Region(name=self.name[0], zones=(0,)), members, self.router, self.town.now, 1
        )
        self.routes.restore(self.disk.values())
        if self.fence is not None:
            self.routes.restore_order(self.town.now, self.fence)
        if script is not None:
            self.routes.propose(self.town.now, script, start=True)

    def propose(self, routing: Routing, start: bool = False, forced: str = "") -> None:
        self.routes.propose(self.town.now, routing, start, forced)

    def carry(self, out: Iterable[Action]) -> None:
        for one in out:
            match one:
                case SendMessage(message):
                    self.town.post.append(message)
                case StoreRoutingPart(digest, data):
                    if self.disk_works:
                        self.disk[digest] = data
                    self.routes.stored(self.town.now, digest, "" if self.disk_works else "disk full")
                case DeleteRoutingPart(digest):
                    del self.disk[digest]
                case Check(token):
                    if self.town.judges:
                        self.routes.checked(self.town.now, token, one.run())
        self.lines += [(x.event, dict(x.fields)) for x in self.routes.drain_lines()]

    def said(self, event: str) -> list[dict[str, object]]:
        """What it logged under that name."""
        return [y for x, y in self.lines if x == event]

    @property
    def edition(self) -> str:
        return self.router.edition


class Town:
    """See the module's page. `run` plays periods."""

    def __init__(self, names: Sequence[str], settings: Settings, classes: Sequence[str]) -> None:
        self.names, self.settings, self.classes = tuple(names), settings, tuple(classes)
        self.now, self.judges = 0.0, True
        """Whether checks are run at all."""
        self.cut: set[str] = set()
        """Gateways that hear one another alone."""
        self.owner, self.term, self.number, self.state = names[0], 1, 0, b""
        self.conflicting = False
        """A person has forced an edition: what acts may conflict."""
        self.post: deque[Message] = deque()
        self.seats: dict[str, Seat] = {}
        for name in names:
            self.seats[name] = Seat(self, name)

    def __getitem__(self, name: str) -> Seat:
        return self.seats[name]

    def hears(self, one: str, other: str) -> bool:
        return self[one].up and self[other].up and (one in self.cut) == (other in self.cut)

    def own(self, name: str) -> None:
        """The duty is this gateway's from now on."""
        self.owner, self.term, self.number = name, self.term + 1, 0

    def decide(self) -> bytes:
        """What the owner makes of what it hears, by way of two in between; accepted by nobody yet."""
        mine = self[self.owner].routes
        heard = [
            x.routes.local_report(self.now) for x in self.seats.values() if self.hears(x.name, self.owner)
        ]
        return mine.decide(
            self.now,
            self.state,
            mine.merge_reports([mine.merge_reports(heard[:2]), mine.merge_reports(heard[2:])]),
        )

    def order(self) -> TaskOrder:
        return TaskOrder("routes", self.term, self.number, self.owner, self.state, self.now + 1.5)

    def run(self, seconds: float = 4.0) -> None:
        for _ in range(round(seconds / (STEP * STEPS))):
            if self[self.owner].up and self.owner not in self.cut:
                decided = self.decide()
                assert len(decided) <= MAX_STATE_BYTES, "a state that no voter takes"
                if decided != self.state:
                    self.state, self.number = decided, self.number + 1
                for seat in self.seats.values():
                    if self.hears(seat.name, self.owner):
                        seat.fence = self.order()
                        seat.routes.apply_order(self.now, seat.fence)
            for _ in range(STEPS):
                self.now += STEP
                for seat in self.seats.values():
                    if seat.up and seat.routes.due() <= self.now:
                        seat.carry(seat.routes.tick(self.now))
                while self.post:
                    message = self.post.popleft()
                    if self.hears(message.sender, message.receiver):
                        there = self[message.receiver]
                        there.carry(there.routes.receive(self.now, message))
            for seat in self.seats.values():
                seat.carry(())
            self.look()

    def look(self) -> None:
        """What acts was admitted and may act; and nothing of it conflicts, whoever is heard. Raises
        AssertionError."""
        acting = [x for x in self.seats.values() if x.up and x.edition]
        for seat in acting:
            may = self.rollout.possibly_active(seat.key)
            assert bytes.fromhex(seat.edition) in may, f"{seat.name} acts on {seat.edition}, unadmitted"
        there = {x.name[0] for x in acting}
        found = conflicts([decode_routing(x.disk[x.edition]) for x in acting])
        joint = [x.summary() for x in found if len(x.regions) > 1 and there.issuperset(x.regions)]
        assert self.conflicting or not joint, joint

    @property
    def rollout(self) -> RolloutState:
        return RolloutState.unpack(self.state)

    def acting(self) -> list[str]:
        return [x.edition for x in self.seats.values()]


def wander(town: Town, scripts: Mapping[str, Sequence[Routing]], seed: int, steps: int) -> None:
    """Reloads, cuts, restarts and changes of owner, drawn; `scripts`: by region. Raises AssertionError."""
    draw = random.Random(seed)
    for _ in range(steps):
        seat = town[draw.choice(town.names)]
        script = draw.choice(scripts[seat.name[0]])
        match draw.randrange(5):
            case 0 | 1:
                seat.propose(script)
            case 2:
                town.cut = {draw.choice(town.names)} if draw.random() < 0.6 else set()
            case 3:
                seat.start(script)
            case 4:
                town.own(draw.choice([x for x in town.names if x not in town.cut]))
        town.run(draw.choice((0.5, 1.0, 3.0)))
