"""A fleet in simulated time around the real decisions of lanes: viewers, hosts' room as a number, sums and
orders.

What is simulated plainly: hosts carry so many sessions at floors, and refuse beyond; gateways read how full
they are as late as the settings say. Sums go up and orders come down a tree of fan-out 8, as duties send
them: pulled once a period, held for a while, lost at times. What decides is `core.fleet.lanes.LoadShedder`
itself, as the session manager calls it. All draws come from one seed, and viewers' draws from another, so
that the same viewers come to a fleet with lanes and to one without."""

from __future__ import annotations

import bisect
import itertools
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec

from ..core.attempts import Key
from ..core.fleet.host_utilization import HostUtilization
from ..core.fleet.lanes import LoadShedder
from ..core.fleet.leader_task import TaskOrder
from ..core.fleet.load_report import REPORT_INTERVAL_SECONDS, LoadReportError, decode_report
from ..core.fleet.routing import Lane
from ..explore.agenda import Agenda

FAN_OUT, HOLD, LEASE, TAKE_OVER = 8, 1.5, 2.0, 1.0
"""Of duties: below one gateway; seconds that an order holds; that an owner is waited for; to settle
another."""
OVERHEAD = 90
"""Bytes of a message around the sum or the order: addresses, names, number, seal."""
SECOND = 1.0


@dataclass(frozen=True, slots=True)
class Spec:
    """A fleet and what is asked of it."""

    gateways: int = 20
    room: int = 4000
    """Sessions that hosts carry at floors."""
    life: float = 60.0
    """Mean seconds of a session."""
    lanes: tuple[Lane, ...] = (
        Lane(name="premium", accounts=("p*",), reserve=0.4, least=0.05),
        Lane(name="standard", accounts=("s*",), reserve=0.1, least=0.05),
        Lane(name="free", least=0.1),
    )
    demand: tuple[float, ...] = (0.4, 0.8, 0.8)
    """For each lane: sessions that would play if all were taken, over the room."""
    accounts: int = 1000
    """In each lane."""
    tries: int = 4
    """After so many answers that turn him away a viewer gives up."""
    shed: bool = True
    """Lanes are on; else it is today's build: who comes first is served."""
    lost: float = 0.0
    late: tuple[float, float] = (0.001, 0.02)
    note_delay: float = 0.5
    note_interval: float = 2.0
    most_wait: float = 4.0
    """The longest time to stay away that viewers honour."""
    noise: float = 0.01
    """Standard deviation of a gateway's reading, relative."""
    hot: float = 1.0
    """Times the traffic of another gateway that the first one has."""


@dataclass(slots=True)
class Viewer:
    key: Key
    lane: int
    asked_at: float
    life: float
    tries: int = 0
    told: int = 0


@dataclass(slots=True, eq=False)
class Seat:
    """A gateway, with what duties would hold for it."""

    number: int
    load_shedder: LoadShedder
    up: bool = True
    cut_off: bool = False
    order: TaskOrder | None = None
    below: dict[int, tuple[float, bytes, tuple[float, float]]] = field(default_factory=dict)
    """What each below told last, and when; with how many and the sum of the times that is of."""
    asks: int = -1
    """Whom it asks upwards."""
    misses: int = 0
    bytes: int = 0


@dataclass(slots=True)
class Tells:
    """What is measured."""

    refusals: list[tuple[float, int]] = field(default_factory=list)
    unexplained: list[tuple[float, int]] = field(default_factory=list)
    """Admissions that neither the lane's `least` nor its reserve explains."""
    first: dict[int, list[int]] = field(default_factory=dict)
    """For each lane: viewers who came, and were served, since `measure_from`."""
    shares: list[tuple[float, tuple[float, ...], tuple[bool, ...]]] = field(default_factory=list)
    """When, each lane's part of the room, and whether it was turned away in that second."""
    cuts: list[tuple[float, tuple[float, ...]]] = field(default_factory=list)
    """What the owner had accepted."""
    own_cuts: list[tuple[float, tuple[float, ...]]] = field(default_factory=list)
    """The mean over gateways of what they went by."""
    ages: list[float] = field(default_factory=list)
    errors: list[float] = field(default_factory=list)
    asks: list[tuple[float, int]] = field(default_factory=list)


class Fleet(Agenda):
    """`run(until)`; between two of them, or by `at`, the caller commands what happens."""

    def __init__(self, spec: Spec, seed: int) -> None:
        super().__init__()
        self.spec = spec
        self.viewers, self.random = random.Random(seed), random.Random(seed + 1)
        self.demand = list(spec.demand)
        self.room = float(spec.room)
        self.tells = Tells()
        self.measure_from, self.measure_until = 0.0, math.inf
        """Viewers who come between these count; run on for a while, so that all have their answers."""
        self.playing = [0] * len(spec.lanes)
        self._number = itertools.count()
        self._full: list[tuple[float, float]] = [(0.0, 0.0)]
        self._recent: list[list[float]] = [[] for _ in spec.lanes]
        """Admissions of the last second, by lane."""
        self._held: dict[Key, tuple[Seat, int]] = {}
        self.seats = [
            Seat(n, LoadShedder(spec.lanes, 0.0, seed * 100_003 + n, self._reader(n),
                         spec.note_delay + spec.note_interval / 2, spec.most_wait, spec.gateways))
            for n in range(spec.gateways)
        ]  # fmt: skip
        self.owner: Seat | None = self.seats[0]
        self.term, self.count, self.state, self.quiet_until = 1, 0, b"", 0.0
        self.chosen: Callable[[], tuple[str, int]] | None = None
        self._trees()
        for n in range(len(spec.lanes)):
            self._next_viewer(n)
        for seat in self.seats:
            self.at(self.random.random() * REPORT_INTERVAL_SECONDS, lambda seat=seat: self._tick(seat))  # type: ignore[misc]
        self.at(0.0, self._sample)

    def _measured(self, when: float) -> bool:
        return self.measure_from <= when < self.measure_until

    # Hosts

    def _reader(self, number: int) -> Callable[[float], HostUtilization]:
        noise = random.Random(f"{number} reads")

        def read(now: float) -> HostUtilization:
            spec = self.spec
            then = now - spec.note_delay - spec.note_interval / 2
            place = max(0, bisect.bisect_right(self._full, (then, float("inf"))) - 1)
            return HostUtilization(max(0.0, self._full[place][1] * noise.gauss(1.0, spec.noise)), 10)

        return read

    def _sample(self) -> None:
        self._full.append((self.now, sum(self.playing) / self.room))
        self.at(self.now + 0.1, self._sample)
        if len(self._full) % 10 == 0:
            since = self.now - SECOND
            turned = {lane for when, lane in self.tells.refusals[-20_000:] if when >= since}
            self.tells.shares.append(
                (
                    self.now,
                    tuple(x / self.room for x in self.playing),
                    tuple(n in turned for n in range(len(self.playing))),
                )
            )
            alive = [x for x in self.seats if x.up]
            if self.spec.shed and alive:
                cuts = [x.load_shedder.shed_ratios(self.now) for x in alive]
                self.tells.own_cuts.append(
                    (self.now, tuple(sum(x) / len(x) for x in zip(*cuts, strict=True)))
                )

    # Viewers

    def _next_viewer(self, lane: int) -> None:
        rate = self.demand[lane] * self.spec.room / self.spec.life
        wait = self.viewers.expovariate(rate) if rate > 0 else 0.5
        account = self.viewers.randrange(self.spec.accounts)
        life = self.viewers.expovariate(1.0 / self.spec.life)
        self.at(self.now + wait, lambda: self._comes(lane, account, life, rate > 0))

    def _comes(self, lane: int, account: int, life: float, real: bool) -> None:
        if real:
            name, counts = f"{'ps'[lane] if lane < 2 else f'f{lane}'}{account}", lane
            if self.chosen is not None:
                name, counts = self.chosen()
            viewer = Viewer((f"{name}.{next(self._number)}", 0, "t"), counts, self.now, life)
            if self._measured(self.now):
                self.tells.first.setdefault(counts, [0, 0])[0] += 1
            self._asks(viewer)
        self._next_viewer(lane)

    def _seat(self) -> Seat:
        """The gateway that a viewer comes to."""
        hot, others = self.spec.hot, len(self.seats) - 1
        if hot > 1.0 and self.viewers.random() < hot / (hot + others) and self.seats[0].up:
            return self.seats[0]
        while True:
            seat = self.seats[int(self.viewers.random() * len(self.seats))]
            if seat.up:
                return seat

    def _asks(self, viewer: Viewer) -> None:
        seat, now = self._seat(), self.now
        self.tells.asks.append((now, viewer.told))
        lane = seat.load_shedder.lane_for_next_session(viewer.key[0].partition(".")[0])
        away = seat.load_shedder.check_admission(now, viewer.key[0]) if self.spec.shed else None
        if away is None:
            seat.load_shedder.session_admitted(now, viewer.key)
            if sum(self.playing) < self.room:
                self._plays(seat, viewer, lane)
                return
            seat.load_shedder.session_refused(now, viewer.key)
            seat.load_shedder.session_ended(now, viewer.key, had_capacity=False)
        if self._measured(now):
            self.tells.refusals.append((now, lane))
        viewer.tries += 1
        if viewer.tries < self.spec.tries:
            viewer.told += 1
            self.at(now + (self.spec.note_delay if away is None else away[0]), lambda: self._asks(viewer))

    def _plays(self, seat: Seat, viewer: Viewer, lane: int) -> None:
        now, spec = self.now, self.spec
        recent = self._recent[lane]
        while recent and recent[0] < now - SECOND:
            recent.pop(0)
        owed = max(spec.lanes[lane].least, spec.lanes[lane].reserve) * self.room
        if self.playing[lane] - len(recent) > owed + math.sqrt(owed) and now >= self.measure_from:
            self.tells.unexplained.append((now, lane))
        recent.append(now)
        self.playing[lane] += 1
        self._held[viewer.key] = seat, lane
        if self._measured(viewer.asked_at):
            self.tells.first[viewer.lane][1] += 1
        self.at(now + viewer.life, lambda: self._ends(viewer.key))

    def _ends(self, key: Key) -> None:
        seat, lane = self._held.pop(key)
        self.playing[lane] -= 1
        if seat.up:
            seat.load_shedder.session_ended(self.now, key, had_capacity=True)

    # Gateways and the duty

    def kill(self, seats: Sequence[Seat]) -> None:
        """Processes end; what plays goes on, and its viewers come to others with their addresses."""
        for seat in seats:
            seat.up = False
        gone = {x.number for x in seats}
        for key, (seat, _) in list(self._held.items()):
            if seat.number in gone:
                self.at(self.now + 4.0 * self.random.random(), lambda key=key: self._resumes(key))  # type: ignore[misc]
        if self.owner is not None and not self.owner.up:
            self.stop_owner()
        else:
            self._trees()

    def _resumes(self, key: Key) -> None:
        if key in self._held:
            seat = self._seat()
            self._held[key] = seat, self._held[key][1]
            seat.load_shedder.session_admitted(self.now, key)

    def stop_owner(self) -> None:
        """The owner is heard no more; after its lease another has the duty, and changes nothing for a
        hold."""
        old, self.owner = self.owner, None

        def follows() -> None:
            alive = [x for x in self.seats if x.up and x is not old and not x.cut_off]
            self.owner = min(alive, key=lambda x: x.number)
            self.term, self.count = self.term + 1, 0
            self.quiet_until = self.now + HOLD
            self._trees()

        self.at(self.now + LEASE + TAKE_OVER, follows)

    def _trees(self) -> None:
        """Positions that all work out alike: the owner first."""
        alive = [x for x in self.seats if x.up]
        first = self.owner or alive[0]
        self._line = [first, *(x for x in alive if x is not first)]
        for place, seat in enumerate(self._line):
            seat.asks = (place - 1) // FAN_OUT if place else -1
            seat.below.clear()

    def _tick(self, seat: Seat) -> None:
        if not seat.up:
            return
        self.at(self.now + REPORT_INTERVAL_SECONDS, lambda: self._tick(seat))
        if not self.spec.shed:
            return
        if seat.order is not None and self.now >= seat.order.expires_at:
            seat.order = None
            seat.load_shedder.expire_order(self.now)
        told, whose = self._told(seat)
        if seat is self.owner:
            self._owns(seat, told, whose)
            return
        place = self._line.index(seat) if seat.misses else -1
        above = self._line[seat.asks if not seat.misses else self.random.randrange(max(1, place))]
        seat.bytes += len(told) + OVERHEAD
        seat.misses += 1
        if above is seat or not self._passes(seat, above):
            return
        sent = self.now
        self.at(sent + self.random.uniform(*self.spec.late), lambda: self._up(seat, above, sent, told, whose))

    def _passes(self, one: Seat, other: Seat) -> bool:
        return not (one.cut_off or other.cut_off) and self.random.random() >= self.spec.lost

    def _told(self, seat: Seat) -> tuple[bytes, tuple[float, float]]:
        fresh = {n: x for n, x in seat.below.items() if x[0] > self.now - HOLD}
        seat.below = fresh
        told = seat.load_shedder.merge_reports(
            [seat.load_shedder.local_report(self.now), *(x[1] for x in fresh.values())]
        )
        return told, (
            1.0 + sum(x[2][0] for x in fresh.values()),
            self.now + sum(x[2][1] for x in fresh.values()),
        )

    def _up(self, seat: Seat, above: Seat, sent: float, told: bytes, whose: tuple[float, float]) -> None:
        if not above.up:
            return
        above.below[seat.number] = (self.now, told, whose)
        order = above.order
        holds = 0.0 if order is None else order.expires_at - self.now
        above.bytes += OVERHEAD + (len(order.state) if order is not None else 0)
        if self._passes(above, seat):
            self.at(
                self.now + self.random.uniform(*self.spec.late), lambda: self._down(seat, order, sent + holds)
            )

    def _down(self, seat: Seat, order: TaskOrder | None, until: float) -> None:
        seat.misses = 0
        if order is not None and seat.up and self.now < until:
            seat.order = TaskOrder(order.task_name, order.term, order.number, order.owner, order.state, until)
            seat.load_shedder.apply_order(self.now, seat.order)

    def _owns(self, seat: Seat, told: bytes, whose: tuple[float, float]) -> None:
        load_shedder = seat.load_shedder
        try:
            report = decode_report(told, load_shedder.lanes_digest, len(load_shedder.lanes))
        except LoadReportError as error:
            raise AssertionError("one's own sum") from error
        if self.now >= self.measure_from:
            count, times = whose
            self.tells.ages.append(self.now - times / count)
            true = sum(self.playing)
            self.tells.errors.append(abs(sum(x.active_sessions for x in report.lanes) - true) / max(1, true))
        state = self.state if self.now < self.quiet_until else load_shedder.decide(self.now, self.state, told)
        if state != self.state:
            self.state, self.count = state, self.count + 1
        seat.order = TaskOrder("shed", self.term, self.count, str(seat.number), self.state, self.now + HOLD)
        if self.state:
            load_shedder.apply_order(self.now, seat.order)
            self.tells.cuts.append((self.now, load_shedder.shed_ratios(self.now)))

    # Figures

    def service(self, lane: int) -> float:
        came, served = self.tells.first.get(lane, [0, 0])
        return served / came if came else 1.0

    def service_in_all(self) -> float:
        came, served = (sum(x[n] for x in self.tells.first.values()) for n in (0, 1))
        return served / came if came else 1.0

    def inversions(self) -> tuple[float, int, int]:
        """Of refusals in lanes that have a lower one: the share within a second of an admission in a lower
        lane that this one's least does not explain; how many of how many."""
        lanes = len(self.spec.lanes)
        when = [sorted(t for t, lane in self.tells.unexplained if lane > n) for n in range(lanes)]
        found = total = 0
        for at, lane in self.tells.refusals:
            if lane < lanes - 1:
                total += 1
                place = bisect.bisect_left(when[lane], at - SECOND)
                found += place < len(when[lane]) and when[lane][place] <= at + SECOND
        return (found / total if total else 0.0), found, total

    def least_kept(self, lane: int, since: float) -> float:
        """The lowest part of the room that a lane had while it was turned away, over its `least`."""
        least = self.spec.lanes[lane].least
        parts = [
            x[lane] / least for t, x, turned in self.tells.shares if t >= since and turned[lane] and least
        ]
        return min(parts, default=1.0)

    def in_use(self) -> float:
        """The mean part of the room that was used while viewers counted."""
        parts = [sum(x) for t, x, _ in self.tells.shares if self._measured(t)]
        return sum(parts) / len(parts) if parts else 0.0

    def swing(self, since: float, until: float) -> list[float]:
        """Of each lane's cut as accepted: highest less lowest."""
        seen = [x for t, x in self.tells.cuts if since <= t <= until]
        return [max(x) - min(x) for x in zip(*seen, strict=True)] if seen else []


# What may happen at the height; each is given the fleet and a time


def _surge(fleet: Fleet, at: float) -> None:
    """Demand goes from 0.8 of the room to twice the room within a second."""
    full = list(fleet.demand)
    fleet.demand[:] = [x * 0.4 for x in full]

    def grow(step: int) -> None:
        fleet.demand[:] = [x * (0.4 + 0.06 * step) for x in full]

    for n in range(1, 11):
        fleet.at(at + n * 0.1, lambda n=n: grow(n))  # type: ignore[misc]


def _owner(fleet: Fleet, at: float) -> None:
    """The owner is killed; another has the duty after its lease, and changes nothing for a hold."""
    fleet.at(at, lambda: fleet.kill([fleet.owner] if fleet.owner else []))


def _nobody(fleet: Fleet, at: float) -> None:
    """Nobody owns the duty any more: each gateway is alone."""

    def gone() -> None:
        fleet.owner = None

    fleet.at(at, gone)


def _half(fleet: Fleet, at: float) -> None:
    """Half of the gateways are killed, the owner among them; their viewers come to the others."""
    fleet.at(at, lambda: fleet.kill(fleet.seats[::2]))


def _hosts(fleet: Fleet, at: float) -> None:
    """A fifth of the hosts' room is gone."""

    def shrink() -> None:
        fleet.room *= 0.8

    fleet.at(at, shrink)


def _cut_off(fleet: Fleet, at: float) -> None:
    """A tenth of the gateways hear nobody and are not heard."""

    def cut() -> None:
        for seat in fleet.seats[1::10]:
            seat.cut_off = True

    fleet.at(at, cut)


def _flood(fleet: Fleet, at: float) -> None:
    """Half of all requests come from one premium account; its viewers are told with the last lane's."""
    draw = random.Random(0)

    def chosen() -> tuple[str, int]:
        if draw.random() < 0.5:
            return "pflood", len(fleet.spec.lanes) - 1
        return draw.choices([(f"p{draw.randrange(1000)}", 0), ("s1", 1), ("f2", 2)], fleet.spec.demand)[0]

    def flood() -> None:
        fleet.chosen = chosen

    fleet.at(at, flood)


def _moved(fleet: Fleet, at: float) -> None:
    """By a reload the accounts of the second lane come into the first, gateway by gateway within a second."""
    first, second, *rest = fleet.spec.lanes
    lanes = (
        msgspec.structs.replace(first, accounts=first.accounts + second.accounts),
        msgspec.structs.replace(second, accounts=("x*",)),
        *rest,
    )
    for n, seat in enumerate(fleet.seats):
        when = at + n / len(fleet.seats)
        fleet.at(when, lambda seat=seat: seat.load_shedder.reload(fleet.now, lanes))  # type: ignore[misc]


HAPPENS: dict[str, Callable[[Fleet, float], None]] = {
    "nothing": lambda fleet, at: None, "surge": _surge, "owner killed": _owner, "nobody owns": _nobody,
    "half killed": _half, "hosts gone": _hosts, "cut off": _cut_off, "flood": _flood,
    "accounts moved": _moved,
}  # fmt: skip


def play(spec: Spec, seed: int, happens: str = "nothing", warm: float = 4.0, measured: float = 3.0) -> Fleet:
    """A fleet from idle to its answers' end: `warm` and `measured` in mean lives of sessions. What happens
    comes a second into what is measured."""
    fleet = Fleet(spec, seed)
    fleet.measure_from = warm * spec.life
    fleet.measure_until = fleet.measure_from + measured * spec.life
    HAPPENS[happens](fleet, fleet.measure_from + 1.0)
    fleet.run(fleet.measure_until + spec.tries * spec.most_wait)
    return fleet
