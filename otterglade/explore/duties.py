"""A small world around the shipped code of duties: gateways, their disks and clocks, and the network.

Who owns a duty, what a voter promises, which order is obeyed: all that is decided by
`core/fleet/leader_tasks.py`, fed through its own entrances. What is modelled is only what surrounds it:
messages that are lost, late, doubled; disks that are slow, cut off from their last records, empty or old;
clocks that run apart; processes that end, start, or stand still while time passes. The properties are judged
from what works are told to obey and from what is on the disks, never by what the code says of itself.

Left alone a world takes the next step by itself (`next`): writes are synced, messages arrive as they were
sent, else the next alarm rings. Whatever differs from that is an act of its own, so a story has few acts.
"""

from __future__ import annotations

import hashlib
import io
import math
import pickle
import random
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum
from types import CellType, FunctionType
from typing import Any

import msgspec

from ..core.fleet.actions import SendMessage, WriteTaskRecord
from ..core.fleet.leader_task import MAX_STATE_BYTES, TaskOrder
from ..core.fleet.leader_task_orders import OrderExchange
from ..core.fleet.leader_task_records import PendingWrites
from ..core.fleet.leader_task_tree import ReportTree
from ..core.fleet.leader_tasks import LeaderTasks
from ..core.fleet.members import Members
from ..core.fleet.messages import Kind, Message
from ..core.fleet.register import LeaseTiming, Voters
from .world import BrokenError

Act = tuple[Any, ...]
"""Its name, then the numbers of whom it happens to."""
NAMES = "abcdefgh"
DUTY = "tally"
NEXT: Act = ("next",)
FORGETFUL = 10.0
"""Seconds for which a voter with an empty or an old disk abstains: far more than a question to voters lasts,
as the ten minutes of the daemon are. A message that is later than that is not looked at."""
SPINS = 200
"""Rings of one gateway at one instant, after which it is said to spin."""


@dataclass(frozen=True, slots=True)
class Scope:
    """How large a world is, and how often each thing that nobody wants may happen in a story."""

    voters: int = 3
    gateways: int = 3
    """Voters are the first of them; those beyond only obey."""
    lasting: int = 1
    """Whether the work's effect outlives a process."""
    decisions: int = 2
    """That a run of a gateway makes as owner, at most."""
    fan_out: int = 8
    fast: int = 1
    """0: the pace that is shipped; 1: one with few rings a lease, for searches; 2: one that hides nothing, as
    candidates meet, nothing is asked again, and orders end long before a lease."""
    drift: int = 0
    """Thousandths by which clocks run apart: the first as much slower, the last as much faster."""
    gossip: int = 0
    """Whether membership runs too; without it all hold one another alive, whatever happens."""
    grid: int = 500
    """Milliseconds: cuts begin, and what was put aside, stopped, ended or cut comes back, at the end of such
    a span alone; 0: at any time."""
    settled: int = 1
    """Whether the story begins when all obey a first owner, or at the first start of all."""
    horizon: int = 6
    """Seconds for which a story lasts."""
    faults: int = 2
    """In all; of each kind as many at most as stated."""
    lost: int = 9
    late: int = 9
    """Messages put aside: each arrives later, at any time, or never."""
    doubled: int = 0
    slow: int = 9
    """Disks that take their time with what they were handed last."""
    full: int = 0
    """Disks that refuse what they were handed last."""
    stops: int = 9
    """Processes that stand still; each goes on at any time, or never."""
    kills: int = 9
    powers: int = 0
    cuts: int = 9
    """Gateways that nobody hears, or who hear nobody, or both, until all that is cut is healed."""
    blank: int = 0
    """Starts with an empty disk."""
    old: int = 0
    """Starts with the disk as it was at the start before."""
    handed: int = 0
    """Planned hand-overs."""
    packed: int = 0
    """Logs that are replaced by their snapshot."""

    def pace(self) -> LeaseTiming:
        if self.fast == 2:
            return LeaseTiming(
                period=1.0,
                order_lifetime=1.1,
                answer_timeout=0.02,
                retry_interval=5.0,
                rank_delay=0.02,
                fan_out=self.fan_out,
            )
        if self.fast:
            return LeaseTiming(
                period=1.0,
                lease=2.0,
                order_lifetime=1.5,
                answer_timeout=0.4,
                retry_interval=0.5,
                rank_delay=0.2,
                fan_out=self.fan_out,
            )
        return LeaseTiming(fan_out=self.fan_out)


RARE = (
    "lost",
    "late",
    "doubled",
    "slow",
    "full",
    "stops",
    "kills",
    "powers",
    "cuts",
    "blank",
    "old",
    "handed",
    "packed",
)
"""The fields of a scope that bound what nobody wants."""


class Tally:
    """The work that is done under the duty: its state lists every decision that went into it."""

    def __init__(self, owner: str, run: int, durable: bool, most: int) -> None:
        self.name, self.durable = DUTY, durable
        self.mark, self.most, self.made = f"{owner}{run}", most, 0
        self.order: TaskOrder | None = None
        """As this work acts by it: obeyed, and not told to be over."""
        self.heard: list[tuple[str, Any]] = []
        """What it was told since the world last looked."""

    def local_report(self, now: float) -> bytes:
        return self.mark.encode()

    def merge_reports(self, parts: Iterable[bytes]) -> bytes:
        return b",".join(sorted({y for x in parts for y in x.split(b",")}))[:64]

    def decide(self, now: float, state: bytes, merged_report: bytes) -> bytes:
        if self.made >= self.most or len(state) > MAX_STATE_BYTES - 16:
            return state
        self.made += 1
        entry = f"{self.mark}.{self.made}"
        self.heard.append(("decided", entry))
        return state + entry.encode() + b";"

    def apply_order(self, now: float, order: TaskOrder) -> None:
        self.order = order
        self.heard.append(("obeyed", (now, order)))

    def expire_order(self, now: float) -> None:
        self.order = None

    def restore_order(self, now: float, order: TaskOrder) -> None:
        self.heard.append(("recalled", order))


class Draws(random.Random):
    """Seeded draws whose state is one number, where worlds are copied often (splitmix64, Steele 2014)."""

    def __init__(self, state: int) -> None:
        self.state = state

    def getrandbits(self, k: int, /) -> int:
        self.state = (self.state + 0x9E3779B97F4A7C15) & (1 << 64) - 1
        mixed = ((self.state ^ self.state >> 30) * 0xBF58476D1CE4E5B9) & (1 << 64) - 1
        mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & (1 << 64) - 1
        return (mixed ^ mixed >> 31) >> 64 - k

    def random(self) -> float:
        return self.getrandbits(53) / (1 << 53)

    def __reduce__(self) -> tuple[Any, ...]:
        return Draws, (self.state,)


@dataclass(slots=True, eq=False)
class Flight:
    """A message under way."""

    message: Message
    held: int = 0
    """0: arrives in turn; 1: put aside in this instant; 2: put aside before."""


@dataclass(slots=True, eq=False)
class Gate:
    """A gateway's process, its clock and its disk."""

    number: int
    name: str
    rate: float
    offset: float
    run: int = 0
    up: bool = False
    stopped: bool = False
    slow: bool = False
    leaves: bool = False
    """Has handed over, as it is to stop."""
    duties: LeaderTasks | None = None
    members: Members | None = None
    work: Tally | None = None
    queue: list[WriteTaskRecord] = field(default_factory=list)
    """Handed to the log, not written yet."""
    synced: list[int] = field(default_factory=list)
    """Tokens of what is on disk, the duties not told yet."""
    disk: list[bytes] = field(default_factory=list)
    before: list[bytes] = field(default_factory=list)
    """The disk as it was at the last start."""
    gone: list[bytes] = field(default_factory=list)
    """Records that were durable here once, and are no more on the disk."""
    forgetful: float = math.inf
    """When its abstaining is over, on the world's clock; never: it does not abstain."""
    highest: tuple[int, int] = (0, 0)
    """Mark of the latest order obeyed; of this run alone where effects do not last."""

    def local(self, now: float) -> float:
        return now * self.rate + self.offset

    def alive(self) -> LeaderTasks:
        assert self.duties is not None, f"{self.name} does not run"
        return self.duties

    def in_force(self, now: float) -> TaskOrder | None:
        """What its work goes by: an order obeyed, not told to be over, and not run out by its own clock."""
        order = self.work.order if self.up and self.work is not None else None
        return order if order is not None and self.local(now) < order.expires_at else None


class World:
    """The state of everything; `do` changes it. Raises BrokenError where a property breaks."""

    def __init__(self, scope: Scope, seed: int = 1) -> None:
        self.scope, self.seed, self.now = scope, seed, 0.0
        self.names = tuple(NAMES[: scope.gateways])
        self.voters = Voters(self.names[: scope.voters])
        middle = (scope.gateways - 1) / 2 or 1.0
        self.gates = [
            Gate(n, x, 1.0 + scope.drift / 1000 * (n - middle) / middle, 3600.0 * n + 7.0)
            for n, x in enumerate(self.names)
        ]
        self.flights: list[Flight] = []
        self.cut: set[tuple[str, str]] = set()
        """From, to: nothing passes."""
        self.left = {x: getattr(scope, x) for x in RARE}
        self.faults = 0
        self.spins = 0
        self.last = -1
        """Whose step the last one was."""
        # What was seen from outside.
        self.published: dict[tuple[int, int], bytes] = {}
        self.owners: dict[int, str] = {}
        """By term, as orders name them."""
        self.decided: dict[str, int] = {}
        """By decision: the latest term of its owner that had been obeyed anywhere when it was made."""
        self.silent: tuple[float, int] = (math.inf, 0)
        """When the owner of the highest term obeyed may first change what stands, and that term."""
        self.changed = 0
        """The highest term of which a state with a decision of its own was obeyed."""
        for gate in self.gates:
            self.start(gate)
        self.began = 0.0
        if scope.settled:
            self._settle()

    def _settle(self) -> None:
        while not all(x.in_force(self.now) for x in self.gates) or not self.quiet():
            if self.now > 60.0:
                raise BrokenError("progress", "nobody came to own the duty in 60 s without a fault")
            self.step()
        self.began = self.now

    # Gateways

    def start(self, gate: Gate) -> None:
        """A new run: reads its log, and meets whom it can."""
        gate.run, gate.up, gate.stopped, gate.slow = gate.run + 1, True, False, False
        gate.leaves = False
        now, lasting = gate.local(self.now), bool(self.scope.lasting)
        gate.work = Tally(gate.name, gate.run, lasting, self.scope.decisions)
        seed = self.seed * 1009 + gate.number * 101 + gate.run
        gate.members = Members(gate.name, gate.run, f"{gate.name}-{gate.run}", self.names, now, seed)
        gate.duties = LeaderTasks(gate.members, self.voters, [gate.work], now, seed, self.scope.pace())
        if not self.scope.gossip:
            gate.members._random, gate.duties._random = Draws(seed), Draws(seed + 1)
        gate.queue, gate.synced, gate.before = [], [], list(gate.disk)
        if not lasting:
            gate.highest = (0, 0)
        gate.duties.restore(gate.disk, now)
        if gate.forgetful < math.inf:
            gate.duties.abstains = "its disk is older than its name"
        self._looked(gate, recalled=True)
        self._meet(gate)

    def _meet(self, gate: Gate) -> None:
        """Greetings with whom it can hear, as gossip has them exchanged: runs are known, all else is open."""
        for other in self.gates:
            if other is gate or not other.up or not self._hear(gate, other):
                continue
            for one, two in ((gate, other), (other, gate), (gate, other)):
                assert one.members is not None and two.members is not None, "both are up"
                ping = one.members.create_message(Kind.PING, two.name, one.local(self.now))
                for answer in two.members.receive(two.local(self.now), ping).replies:
                    one.members.receive(one.local(self.now), answer)

    def _hear(self, one: Gate, other: Gate) -> bool:
        return not {(one.name, other.name), (other.name, one.name)} & self.cut

    def kill(self, gate: Gate, kept: bool) -> None:
        """At any instant. `kept`: what was handed to its log is on disk, though nobody was told so."""
        if kept:
            self._durable(gate, [x.record for x in gate.queue])
        gate.up = gate.stopped = False
        gate.duties, gate.members, gate.work = None, None, None
        gate.queue, gate.synced = [], []

    def _durable(self, gate: Gate, records: list[bytes]) -> None:
        gate.disk += records

    def carry(self, gate: Gate, orders: Iterable[SendMessage | WriteTaskRecord]) -> None:
        """Carry out what the duties order, and look at what their work was told."""
        for order in orders:
            if isinstance(order, WriteTaskRecord):
                gate.queue.append(order)
            elif (gate.name, order.message.receiver) not in self.cut:
                message = order.message
                if not self.scope.gossip:  # words about others say nothing that the greetings have not
                    message = msgspec.structs.replace(message, updates=())
                self.flights.append(Flight(message))
        self._looked(gate)

    # Time and messages, left alone

    def step(self) -> None:
        """What comes next where nothing goes wrong."""
        gate = self.writer()
        if gate is not None:
            self.last = gate.number
        if gate is not None and gate.queue:
            records, tokens = [x.record for x in gate.queue], [x.token for x in gate.queue]
            gate.queue = []
            self._durable(gate, records)
            gate.synced += tokens
            return
        if gate is not None:
            token = gate.synced.pop(0)
            self.carry(gate, gate.alive().record_written(gate.local(self.now), token))
            return
        place = self.arriving()
        if place is not None:
            self.arrive(self.flights.pop(place))
            return
        self.ring()

    def writer(self) -> Gate | None:
        """The first gateway whose disk has something to do, or has done it."""
        for gate in self.gates:
            if gate.up and not gate.stopped and not gate.slow and (gate.queue or gate.synced):
                return gate
        return None

    def arriving(self) -> int | None:
        """The place of the message that arrives next; those for a process that stands still lie in its
        socket."""
        for place, flight in enumerate(self.flights):
            if not flight.held and not self.of(flight.message.receiver).stopped:
                return place
        return None

    def quiet(self) -> bool:
        """Nothing happens any more at this instant: the next step is an alarm."""
        return self.writer() is None and self.arriving() is None

    def of(self, name: str) -> Gate:
        return self.gates[NAMES.index(name)]

    def arrive(self, flight: Flight) -> None:
        """A message reaches its gateway. Its number is passed over: a doubled one counts as new, which is
        more than the network can do."""
        gate, message = self.of(flight.message.receiver), flight.message
        self.last = gate.number
        if not gate.up or gate.members is None:
            return
        now = gate.local(self.now)
        gate.members.peers[message.sender].replay_window = type(
            gate.members.peers[message.sender].replay_window
        )()
        heard = gate.members.receive(now, message)
        self.carry(gate, [SendMessage(x) for x in heard.replies])
        if heard.accepted and message.kind in (Kind.VOTE, Kind.VOTE_REPLY, Kind.REPORT, Kind.ORDER):
            self.carry(gate, gate.alive().receive(now, message))

    def turns(self) -> bool:
        """Whether a span of the scope's grid ends before the next alarm."""
        if not self.scope.grid:
            return True
        rings = min((self.due(x) for x in self.gates if x.up and not x.stopped), default=self.now + 0.5)
        return math.floor(rings * 1000 / self.scope.grid) > math.floor(self.now * 1000 / self.scope.grid)

    def passes(self, seconds: float) -> None:
        """Time passes, no further than to the next alarm."""
        rings = min((self.due(x) for x in self.gates if x.up and not x.stopped), default=math.inf)
        self._silence(min(self.now + seconds, rings))
        self.now = min(self.now + seconds, rings)
        for flight in self.flights:
            flight.held = min(flight.held * 2, 2)

    def due(self, gate: Gate) -> float:
        """When its next alarm rings, on the world's clock."""
        due = gate.alive().due()
        if self.scope.gossip and gate.members is not None:
            due = min(due, gate.members.due())
        rings: float = (due - gate.offset) / gate.rate
        return max(self.now, rings)

    def ring(self) -> None:
        """The next alarm, of whichever gateway."""
        running = [(self.due(x), x.number) for x in self.gates if x.up and not x.stopped]
        at, number = min(running, default=(self.now + 0.5, -1))
        self.spins = 0 if at > self.now else self.spins + 1
        if self.spins > SPINS * len(self.gates):
            raise BrokenError("spins", f"{self.names[number]} rings without end at one instant")
        if at > self.now:
            self._silence(at)
            for flight in self.flights:
                flight.held = min(flight.held * 2, 2)
        self.now, self.last = at, number
        if number >= 0:
            self.tick(self.gates[number])

    def tick(self, gate: Gate) -> None:
        """Its alarm; a clock that is read then never shows less than what it was set to."""
        duties, members = gate.alive(), gate.members
        assert members is not None, "it is up"
        due = min(duties.due(), members.due()) if self.scope.gossip else duties.due()
        now = max(gate.local(self.now), due)
        if self.scope.gossip:
            self.carry(gate, [SendMessage(x) for x in members.tick(now)])
        self.carry(gate, duties.tick(now))

    # What is seen from outside

    def _looked(self, gate: Gate, recalled: bool = False) -> None:
        assert gate.work is not None, "it is up"
        heard, gate.work.heard = gate.work.heard, []
        found: TaskOrder | None = None
        for what, word in heard:
            if what == "decided":
                mine = [x for x, y in self.owners.items() if y == gate.name]
                self.decided[word] = max(mine, default=0)
            elif what == "recalled":
                found = word
            else:
                self._obeyed(gate, *word)
        if recalled and gate.highest > (found.version if found is not None else (0, 0)):
            raise BrokenError(
                "forgotten", f"{gate.name} obeyed {gate.highest}, and starts with {found and found.version}"
            )

    def _obeyed(self, gate: Gate, now: float, order: TaskOrder) -> None:
        """An order takes effect at a gateway."""
        mark, who = order.version, f"{gate.name} obeys {order.version} of {order.owner}"
        if order.expires_at <= now:
            raise BrokenError("run out", f"{who}, which holds no more since {now - order.expires_at:.3f} s")
        if mark < gate.highest:
            raise BrokenError("backwards", f"{who} after {gate.highest}")
        if order.term < self.changed:
            raise BrokenError("ended term", f"{who} after a change of term {self.changed} took effect")
        if order.term > max(self.owners, default=0):
            mute = self.scope.pace().quiet_period / self.of(order.owner).rate
            self.silent = (self.now + mute, order.term)
        if self.owners.setdefault(order.term, order.owner) != order.owner:
            raise BrokenError("one term, two owners", f"{who}; it was {self.owners[order.term]}'s")
        gate.highest = mark
        self._contained(who, order)
        if self._changes(order):
            self.changed = max(self.changed, order.term)
            for other in self.gates:
                old = other.in_force(self.now) if other is not gate else None
                if old is not None and old.term < order.term:
                    left = (old.expires_at - other.local(self.now)) / other.rate
                    what = f"{who}, a change, while {other.name} goes by {old.version} for {left:.3f} s more"
                    raise BrokenError("two terms in force", what)

    def _silence(self, until: float) -> None:
        """Time passes: where a new owner's silence ends no order of a term before may be in force, whether he
        has a change just then or not."""
        at, term = self.silent
        if at > until:
            return
        self.silent = (math.inf, term)
        for gate in self.gates:
            old = gate.in_force(at)
            if old is not None and old.term < term:
                what = (
                    f"{gate.name} goes by {old.version} when the owner of term {term} may change what stands"
                )
                raise BrokenError("two terms in force", what)

    def _contained(self, who: str, order: TaskOrder) -> None:
        """What was published is in all that comes after it, whole; and a majority has it when it is."""
        mark, state = order.version, order.state
        known = self.published.get(mark)
        if known is not None:
            if known != state:
                raise BrokenError("one mark, two states", f"{who}: {state!r}; it was {known!r}")
            return
        for other, published in self.published.items():
            early, late = (published, state) if other < mark else (state, published)
            if not late.startswith(early):
                raise BrokenError("lost", f"{who}: {state!r}; {other} was {published!r}")
        have = [x for x in self.gates[: self.scope.voters] if any(state in y for y in (*x.disk, *x.gone))]
        if len(have) <= self.scope.voters // 2:
            names = ", ".join(x.name for x in have) or "nobody"
            raise BrokenError("no majority", f"{who}: {state!r} is durable at {names}")
        self.published[mark] = state

    def _changes(self, order: TaskOrder) -> bool:
        """Whether a decision of this very term is in the state, and not one of before that it only brings to
        its end."""
        changes = False
        for entry in order.state.decode().split(";")[:-1]:
            if entry[0] == order.owner:
                self.decided[entry] = self.decided[entry] or order.term
                changes = changes or self.decided[entry] == order.term
        return changes


# Acts


def possible(world: World) -> list[Act]:
    """Every act that can happen now, the next step first."""
    acts: list[Act] = [NEXT]
    quiet = world.quiet()
    turns = quiet and world.turns()
    if turns:
        if world.cut:
            acts.append(("heal", 0))
        for gate in world.gates:
            n = gate.number
            if not gate.up:
                acts.append(("start", n))
            if gate.stopped:
                acts += [("goes on", n, 0), ("goes on", n, 1)]
            if gate.up and gate.slow and not gate.stopped:
                acts.append(("disk goes on", n))
            if gate.up and not gate.stopped and world.now >= gate.forgetful:
                acts.append(("sound", n))
    acts += [
        ("arrives late", n)
        for n, x in enumerate(world.flights)
        if x.held
        and (turns or x.held == 1 or not world.scope.grid)
        and not world.of(x.message.receiver).stopped
    ]
    if world.faults < world.scope.faults:
        acts += _faults(world, turns)
    return acts


def _faults(world: World, turns: bool) -> list[Act]:
    left, acts = world.left, list[Act]()
    place, writer = world.arriving(), world.writer()
    if writer is None and place is not None:
        acts += [(x, place) for x in ("lost", "late", "doubled") if left[x]]
    if writer is not None and writer.queue:
        acts += [(x, writer.number) for x in ("slow", "full") if left[x]]
    for gate in world.gates:
        n = gate.number
        if not gate.up:
            if turns:
                acts += [(x, n) for x in ("blank", "old") if left[x]]
            continue
        mine = (
            world.last == n
        )  # what others do meanwhile makes no difference to one that ends or stands still
        if left["kills"] and mine:
            acts += [("kills", n, x) for x in ((0, 1) if gate.queue else (0,))]
        if turns and left["cuts"] and not any(gate.name in x for x in world.cut):
            acts += [("cuts", n, x) for x in (0, 1, 2)]
        if gate.stopped:
            continue
        if left["stops"] and mine:
            acts.append(("stops", n))
        if turns and left["handed"]:
            acts.append(("handed", n))
        if turns and left["packed"] and gate.disk and not gate.queue:
            acts.append(("packed", n))
    if left["powers"] and any(x.up for x in world.gates):
        acts.append(("powers", 0))
    return acts


def do(world: World, act: Act) -> None:
    """Let it happen. Raises BrokenError where a property breaks by it."""
    try:
        _do(world, act)
    except (BrokenError, MemoryError):
        raise
    except Exception as error:
        raise BrokenError("raised", f"{type(error).__name__}: {error}") from error


def _do(world: World, act: Act) -> None:
    name, *numbers = act
    n = int(numbers[0]) if numbers else 0
    if name in world.left:
        world.left[name] -= 1
        world.faults += 1
    match name:
        case "next":
            world.step()
        case "passes":
            world.passes(n / 1000)
        case "lost":
            del world.flights[n]
        case "late":
            world.flights[n].held = 1
        case "doubled":
            flight = world.flights.pop(n)
            world.flights.append(Flight(flight.message, held=1))
            world.arrive(flight)
        case "arrives late":
            world.arrive(world.flights.pop(n))
        case "powers":
            for gate in world.gates:
                if gate.up:
                    world.kill(gate, kept=False)
            world.flights = []
        case "heal":
            world.cut = set()
        case _:
            _of_gate(world, str(name), world.gates[n], int(numbers[1]) if len(numbers) > 1 else 0)


def _of_gate(world: World, name: str, gate: Gate, how: int) -> None:
    now = gate.local(world.now)
    match name:
        case "slow":
            gate.slow = True
        case "disk goes on":
            gate.slow = False
        case "full":
            queue, gate.queue = gate.queue, []
            for write in queue:
                world.carry(gate, gate.alive().record_written(now, write.token, "no space left on the disk"))
        case "stops":
            gate.stopped = True
        case "goes on":
            gate.stopped = False
            if how and world.due(gate) <= world.now:
                world.tick(gate)
        case "kills":
            world.kill(gate, kept=bool(how))
        case "start":
            world.start(gate)
        case "blank" | "old":
            gate.gone += gate.disk
            gate.disk = [] if name == "blank" else list(gate.before)
            gate.highest, gate.forgetful = (0, 0), world.now + FORGETFUL
            world.start(gate)
        case "sound":
            gate.forgetful = math.inf
            gate.alive().abstains = ""
            runs = {f"{gate.name}-{x}" for x in range(1, gate.run)}
            world.flights = [x for x in world.flights if x.message.run_id not in runs]
        case "cuts":
            for other in world.gates:
                if other is not gate:
                    world.cut |= {(gate.name, other.name)} if how != 1 else set()
                    world.cut |= {(other.name, gate.name)} if how != 0 else set()
        case "handed":
            gate.leaves = True
            world.carry(gate, gate.alive().hand_over(now))
        case "packed":
            gate.gone += gate.disk
            gate.disk = gate.alive().snapshot()
        case _:
            raise ValueError(f"no such act: {name}")


# States


_makers: list[FunctionType] = []
"""Functions within functions, by their code: one of each, to make others like it."""


def _like(number: int) -> FunctionType:
    made = _makers[number]
    cells = tuple(CellType() for _ in made.__closure__ or ())
    return FunctionType(made.__code__, made.__globals__, made.__name__, made.__defaults__, cells)


def _fill(made: FunctionType, contents: tuple[Any, ...]) -> None:
    for cell, content in zip(made.__closure__ or (), contents, strict=True):
        cell.cell_contents = content


class _Pickler(pickle.Pickler):
    """Copies what waits for a record too: functions within functions, with what they hold."""

    def reducer_override(self, value: Any) -> Any:
        if type(value) is not FunctionType or "<" not in value.__qualname__:
            return NotImplemented
        number = next((n for n, x in enumerate(_makers) if x.__code__ is value.__code__), -1)
        if number < 0:
            number = len(_makers)
            _makers.append(value)
        contents = tuple(x.cell_contents for x in value.__closure__ or ())
        return _like, (number,), contents, None, None, _fill


def pack(world: World) -> bytes:
    """A world as bytes, good within this process."""
    buffer = io.BytesIO()
    _Pickler(buffer, 5).dump(world)
    return buffer.getvalue()


def unpack(data: bytes) -> World:
    found: World = pickle.loads(data)
    return found


_PASSED_OVER = frozenset(
    (
        "spins",
        "refusal_counts",
        "dropped",
        "changes",
        "heard",
        "last_reply_at",
        "reason",
        "end_reason",
        "_appended",
        "_last_request_id",
        "_tokens",
        "_sent_reports",
        "_pending_writes",
        "_by_token",
        "scope",
        "names",
        "seed",
        "began",
        "offset",
        "rate",
        "_place",
        "_names",
        "_started_at",
        "name",
        "task_name",
        "last",
    )
)
"""Fields that no decision looks at, those that never change, and counters of what is only told apart."""


def digest(world: World) -> bytes:
    """The same for worlds that differ in nothing that can make a difference."""
    out: list[object] = []
    _walk(world, out, {})
    return hashlib.blake2b(repr(out).encode(), digest_size=16).digest()


def _open(world: World, message: Message) -> object:
    """The question that a message asks or answers: which one of those that are open it is, and not its
    number, as numbers are only compared."""
    asker = world.of(message.sender if message.kind in (Kind.VOTE, Kind.REPORT) else message.receiver)
    if not message.request_id or not asker.up:
        return 0
    duties: Any = asker.alive()
    if message.kind in (Kind.REPORT, Kind.ORDER):
        asked = duties.orders._sent_reports
        return sorted(asked).index(message.request_id) if message.request_id in asked else "over"
    proposer = duties._tasks[DUTY].proposer
    polls = [x.request_id for x in (proposer._current_poll, *proposer._renewals) if x is not None]
    return polls.index(message.request_id) if message.request_id in polls else "over"


_PLAIN = frozenset((int, str, bytes, bool, type(None)))
_CONSTANT = frozenset((Scope, LeaseTiming, Voters, ReportTree))
_BY_ORDER = {OrderExchange: "_sent_reports", PendingWrites: "_by_token"}
"""What is kept under keys that are only compared: it is walked in their order, without them."""


def _walk(value: Any, out: list[object], seen: dict[Any, Any]) -> None:
    kind = type(value)
    if kind in _PLAIN:
        out.append(value)
    elif kind is float:
        out.append(round(value, 6))
    elif kind is list or kind is tuple:
        if _PLAIN.issuperset(map(type, value)):
            out.append((*value,))
            return
        out.append(len(value))
        for one in value:
            _walk(one, out, seen)
    elif kind is dict:
        if _PLAIN.issuperset(map(type, value.values())):
            out.append(sorted(value.items(), key=repr))
            return
        out.append(len(value))
        for key in sorted(value, key=repr):
            _walk(key, out, seen)
            _walk(value[key], out, seen)
    elif kind is set or kind is frozenset:
        out.append(sorted(map(repr, value)))
    elif kind in _CONSTANT:
        pass
    elif kind is World:
        seen["world"] = value
        _fields_of(value.__dict__.items(), out, seen)
    elif kind is Members:
        out.append([(x.state.name, x.run_id, x.version[0]) for x in value.peers.values()])
        out.append((value.conflicting_boot, value.health_score, value.run_id))
    elif kind is Message:
        out.append((value.kind.name, value.sender, value.run_id, value.receiver, value.receiver_run_id))
        out.append((_open(seen["world"], value), value.body))
    elif kind is Draws:
        out.append(value.state)
    elif kind is random.Random:
        out.append(hash(value.getstate()))
    elif isinstance(value, Enum):
        out.append(value.name)
    elif id(value) in seen:
        out.append(seen[id(value)])
    elif kind is LeaderTasks:
        seen[id(value)] = "duties"
        _fields_of(value.__dict__.items(), out, seen)
    elif kind in _BY_ORDER:
        seen[id(value)] = kind.__name__
        kept = value.__dict__[_BY_ORDER[kind]]
        _walk([kept[x] for x in sorted(kept)], out, seen)
        _fields_of(value.__dict__.items(), out, seen)
    elif kind is FunctionType:
        out.append(value.__qualname__)
        for cell in value.__closure__ or ():
            _walk(cell.cell_contents, out, seen)
    elif not callable(value):
        seen[id(value)] = len(seen)
        out.append(kind.__name__)
        _fields_of([(x, getattr(value, x, None)) for x in _names(kind)], out, seen)
        _fields_of(getattr(value, "__dict__", {}).items(), out, seen)


def _fields_of(fields: Iterable[tuple[str, Any]], out: list[object], seen: dict[Any, Any]) -> None:
    for name, one in fields:
        if name not in _PASSED_OVER:
            if type(one) in _PLAIN:
                out.append(one)
            else:
                _walk(one, out, seen)


_fields: dict[type, tuple[str, ...]] = {}


def _names(kind: type) -> tuple[str, ...]:
    found = _fields.get(kind)
    if found is None:
        if issubclass(kind, msgspec.Struct):
            found = kind.__struct_fields__
        else:
            found = tuple(x for base in kind.__mro__ for x in getattr(base, "__slots__", ()))
        _fields[kind] = found
    return found
