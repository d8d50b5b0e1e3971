"""A day file of the users' bench put on sockets, scaled down to what one machine bears.

The bench's days have up to hundreds of servers and gateways; a stage has a few processes of each. Fleet and
rates shrink by one factor, so that load, room and the pressure on racks stay what they were. What has no
counterpart on the stage is listed with its reason, never dropped in silence.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

import msgspec

from .scenarios import Day, Trouble
from .stage import Layout

MOST_HOSTS, MOST_GATEWAYS, MOST_RACKS = 8, 3, 2
MOST_RATE = 12.0
"""New sessions a second that stage and players bear beside each other on one machine."""
MIDDLE = 14.0
"""kB a second of the middle rung on the stage."""
US = 1e-6


class DayFileError(ValueError):
    """A day file that can't be read, with its field."""


class Step(msgspec.Struct, frozen=True):
    at: float
    stop: tuple[int, ...] = ()
    start: tuple[int, ...] = ()


class BenchTrouble(msgspec.Struct, frozen=True):
    kind: str
    at: float
    len: float = 0.0
    size: float = 0.0
    extra: float = 0.0
    on: tuple[int, ...] = ()
    steps: tuple[Step, ...] = ()


class BenchClass(msgspec.Struct, frozen=True):
    name: str
    share: float
    aim: float
    deadline: float
    worth: float
    effect: str


class Use(msgspec.Struct, frozen=True):
    floor: int
    live: bool
    scale: float
    seats: int
    top: int


class Family(msgspec.Struct, frozen=True):
    rates: tuple[float, ...]
    worth: tuple[float, ...]
    uses: tuple[Use, ...]
    core_kb: float
    core_slots: float
    racks: int
    uplink_kb: tuple[float, ...]
    life_s: float
    guard: float = 0.0


class KindSpec(msgspec.Struct, frozen=True):
    cores: int
    cold: float = 0.0
    cold_from: float = 1.0


class Tier(msgspec.Struct, frozen=True):
    kinds: tuple[KindSpec, ...]
    report_how: str = "answers"


class Server(msgspec.Struct, frozen=True):
    cell: int
    kind: int = 0
    up: bool = True


class Budget(msgspec.Struct, frozen=True):
    share: float
    free: float
    window: float


class Traffic(msgspec.Struct, frozen=True):
    load: float


class Discovery(msgspec.Struct, frozen=True):
    notice: float = 0.0
    add: float = 0.0


class Allow(msgspec.Struct, frozen=True):
    probes: bool = True


class BenchDay(msgspec.Struct, frozen=True):
    """What is read of a day file; times in microseconds, rates in kB a second."""

    v: int
    site: str
    family: str
    kind: str
    length: float
    traffic: Traffic
    classes: tuple[BenchClass, ...]
    tiers: tuple[Tier, ...]
    servers: tuple[Server, ...]
    balancers: tuple[dict[str, Any], ...]
    troubles: tuple[BenchTrouble, ...]
    fam: Family
    allow: Allow = Allow()
    discovery: Discovery = Discovery()
    drain_grace: float = 250_000.0
    fall_multiple: float = 3.0
    fall_for: float = 3e6
    budget: Budget | None = None
    tenants: tuple[Any, ...] = ()


def load(path: Path) -> BenchDay:
    """Read a day file. Raises DayFileError naming the field."""
    try:
        day = msgspec.json.decode(path.read_bytes(), type=BenchDay)
    except OSError as error:
        raise DayFileError(f"{path}: can't be read: {error}") from error
    except msgspec.MsgspecError as error:
        raise DayFileError(f"{path}: no day file of the bench: {error}") from error
    for name, found, allowed in (("v", day.v, 1), ("family", day.family, "streams")):
        if found != allowed:
            raise DayFileError(f"{path}: {name}: found {found!r}; allowed: {allowed!r}")
    if not day.servers or not day.balancers or not day.tiers or not day.tiers[0].kinds:
        raise DayFileError(f"{path}: servers, balancers, tiers: empty")
    if len(day.fam.uses) != len(day.classes):
        raise DayFileError(f"{path}: fam.uses: found {len(day.fam.uses)}; allowed: one for each class")
    return day


@dataclass(slots=True)
class _Mapping:
    """Numbers of the bench on the stage, and what found no place there."""

    day: BenchDay
    hosts: int
    gateways: int
    racks: int
    left: list[str] = field(default_factory=list)

    def host(self, server: int) -> int:
        """Neighbours of the bench's list share a host of the stage; a spare takes its cell's."""
        up = [n for n, x in enumerate(self.day.servers) if x.up]
        if server not in up:
            cell = self.day.servers[server].cell
            server = next((n for n in up if self.day.servers[n].cell == cell), up[0])
        return up.index(server) * self.hosts // len(up)

    def gateway(self, balancer: int) -> int:
        return balancer * self.gateways // len(self.day.balancers)

    def hosts_of(self, servers: tuple[int, ...]) -> list[int]:
        """The hosts that stand for these servers: as large a part of the fleet, at least one."""
        found = dict.fromkeys(self.host(x) for x in servers if x < len(self.day.servers))
        up = sum(x.up for x in self.day.servers)
        wanted = max(1, round(len({*servers}) / up * self.hosts)) if servers else 0
        return list(found)[:wanted]

    def gateways_of(self, balancers: tuple[int, ...]) -> list[int]:
        found = dict.fromkeys(self.gateway(x) for x in balancers if x < len(self.day.balancers))
        wanted = max(1, round(len({*balancers}) / len(self.day.balancers) * self.gateways))
        return list(found)[: wanted if balancers else 0]

    def troubles(self, trouble: BenchTrouble) -> Iterator[Trouble]:
        at, seconds, size, extra = trouble.at * US, max(0.5, trouble.len * US), trouble.size, trouble.extra
        hosts = self.hosts_of(trouble.on)
        everyone = range(self.hosts)
        match trouble.kind:
            case "crash" | "vanish":
                yield from (Trouble(at, trouble.kind, x, seconds) for x in hosts)
            case "hang":
                yield from (Trouble(at, "hang", x, seconds) for x in hosts)
            case "answer_lost":
                yield from (Trouble(at, "answer_lost", x, seconds, min(1.0, size)) for x in hosts)
            case "slow" | "neighbour":
                slower = size - 1.0 if size > 1.0 else size / max(0.05, 1.0 - size)
                yield from (Trouble(at, "slow", x, seconds, slower) for x in hosts)
            case "origin_slow":
                yield from (Trouble(at, "slow", x, seconds, max(0.0, size - 1.0)) for x in everyone)
            case "shared_slow":
                racks = max(1, round(0.3 * self.racks))
                slower = max(0.0, size - 1.0)
                yield from (
                    Trouble(at, "slow", x, seconds, slower) for x in everyone if x % self.racks < racks
                )
                self.left.append("shared_slow: a slow uplink is played as slow links of the rack's hosts")
            case "report_late":
                yield from (Trouble(at, "late", x, seconds, size) for x in hosts or everyone)
            case "ageing":
                for x in hosts:
                    yield Trouble(at, "slow", x, seconds, max(0.0, min(size, 4.0) - 1.0))
                    yield Trouble(at + seconds, "crash", x, max(2.0, extra))
            case "preempt" | "deploy":
                yield from self._replaced(trouble, extra)
            case "balancer_crash":
                yield from (Trouble(at, "gateway_kill", x, seconds) for x in self.gateways_of(trouble.on))
            case "balancer_roll":
                yield from self._rolled(trouble, extra)
            case "balancer_stall":
                pause, gap = max(0.1, size / 1000.0), max(2.0, extra)
                for n in range(int(seconds / gap)):
                    for x in self.gateways_of(trouble.on):
                        yield Trouble(at + n * gap, "gateway_freeze", x, pause)
            case "burst":
                return
            case other:
                self.left.append(f"{other} at {at:.1f} s: not known here")

    def _replaced(self, trouble: BenchTrouble, extra: float) -> Iterator[Trouble]:
        """Servers taken away in waves: drained, gone a moment later, replaced cold."""
        gone: dict[int, float] = {}
        for step in trouble.steps:
            for server in step.stop:
                host = self.host(server)
                # Many servers stand behind one host: it is replaced once, in the wave that comes first.
                if host not in gone and len(gone) < max(1, round(self.hosts * 0.4)):
                    gone[host] = step.at * US
                    yield Trouble(step.at * US, "drain", host, max(2.0, min(extra, 12.0)))

    def _rolled(self, trouble: BenchTrouble, extra: float) -> Iterator[Trouble]:
        done: set[int] = set()
        for step in trouble.steps:
            for balancer in step.stop:
                gateway = self.gateway(balancer)
                if gateway not in done:
                    done.add(gateway)
                    yield Trouble(step.at * US, "gateway_kill", gateway, max(1.0, extra))
                    break  # a wave takes one of the few gateways here


def mapped(bench: BenchDay, seconds: float | None = None) -> Day:
    """The day on the stage; `seconds` shortens it, its troubles closing up."""
    up = [x for x in bench.servers if x.up]
    hosts, gateways = min(MOST_HOSTS, len(up)), min(MOST_GATEWAYS, len(bench.balancers))
    fam, kinds = bench.fam, bench.tiers[0].kinds
    racks = max(1, min(MOST_RACKS, fam.racks, hosts // 2))
    scale = MIDDLE / fam.rates[len(fam.rates) // 2]
    cores = sum(kinds[min(x.kind, len(kinds) - 1)].cores for x in up) / len(up)
    link = fam.core_kb * cores * scale
    uplinks = sum(fam.uplink_kb) / max(1.0, fam.core_kb * cores * len(up))
    length = bench.length * US
    span = seconds or length
    life = min(10.0, fam.life_s)
    weight = sum(x.share * u.scale for x, u in zip(bench.classes, fam.uses, strict=True))
    rate = bench.traffic.load * link * hosts / (MIDDLE * weight * life)
    left = []
    if rate > MOST_RATE:
        # Fewer sessions, each a larger part of a link: the load stays.
        shrink = MOST_RATE / rate
        link, rate = link * shrink, MOST_RATE
        left.append(
            f"links are {shrink:.2f} of their size in sessions: one machine bears {MOST_RATE:g} a second"
        )
    if any(x.live for x in fam.uses):
        left.append("live titles are played as recorded ones")
    if bench.tenants:
        left.append("tenants and their shares: the gateway has none yet")
    if len({x.cell for x in up}) > hosts:
        left.append(f"{len(up)} servers and {len(bench.balancers)} gateways: {hosts} and {gateways} here")
    left.append(f"sessions last about {life:g} s in place of {fam.life_s:g}, with as many more of them")
    mapping = _Mapping(bench, hosts, gateways, racks, left)
    faster = span / length
    troubles = [
        replace(x, at=x.at * faster, seconds=max(0.5, x.seconds * faster))
        for trouble in bench.troubles
        for x in mapping.troubles(trouble)
    ]
    surges = tuple(
        (x.at * US * faster, (x.at + x.len) * US * faster, max(1.0, x.size))
        for x in bench.troubles
        if x.kind == "burst"
    )
    budget = bench.budget
    layout = Layout(
        hosts=hosts, gateways=gateways, racks=racks,
        ladder=tuple(round(x * scale, 3) for x in fam.rates), worth=fam.worth, link=round(link, 2),
        uplink_share=round(min(2.0, uplinks), 3), slots=max(2, round(fam.core_slots * cores)), titles=6,
        holders=min(3, hosts), cold=kinds[0].cold * US, start_capacity=min(1.0, kinds[0].cold_from),
        overload_factor=bench.fall_multiple, fall=bench.fall_for * US, grace=bench.drain_grace * US,
        budget=(budget.window * US, budget.free, budget.share) if budget else (0.0, 0.0, 0.0),
        refuses_from=fam.guard, by_probe=bench.tiers[0].report_how == "probe", probes=bench.allow.probes,
        classes=tuple(
            {
                "name": x.name, "effect": x.effect, "goal": x.aim * US, "patience": x.deadline * US,
                "worth": x.worth, "scale": u.scale, "floor": u.floor, "top": u.top, "seats": u.seats,
            }
            for x, u in zip(bench.classes, fam.uses, strict=True)
        ),
        class_share=tuple(x.share for x in bench.classes),
        late_list=min(4.0, bench.discovery.notice * US * faster),
    )  # fmt: skip
    return Day(
        f"{bench.site} {bench.kind}", layout, span, rate, watch=(life * 0.5, life * 1.5),
        troubles=tuple(sorted(troubles, key=lambda x: x.at)), surges=surges, unmapped=tuple(left),
    )  # fmt: skip
