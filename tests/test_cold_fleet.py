"""A cold host under the sum of what all gateways send: many modules in one world, each alone, no bench."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import pytest

from otterglade.core import interface as api
from otterglade.core.policy import Controller

from .helpers import SITE, asked, ended, entry, request

AT = 1000.0
SEEDS = range(30)
SMALL = replace(
    SITE, gateways=200, streams=(30,), cold=20.0, start_capacity=0.15, overload_factor=2.5, fall=1.0,
    rack_link=200_000.0,
)  # fmt: skip
LARGE = replace(SMALL, streams=(900,), start_capacity=0.5)


def allowed(site: api.Settings) -> float:
    """Set-ups that the settings let a host take within a window of `fall` right after its start."""
    return site.streams[0] / site.cold * site.start_capacity * site.overload_factor * site.fall


def bound(site: api.Settings) -> float:
    return allowed(site) + 2.0 * math.sqrt(allowed(site)) + 2.0


@dataclass
class World:
    """Gateways that are asked for titles of a few hosts, which all start at `AT` unless told otherwise.

    Requests come unevenly: the busiest gateways get many times the mean. Answers take `TAKES`.
    """

    site: api.Settings
    seed: int
    hosts: int = 1
    rate: float = 3.0
    """Mean requests a second at a gateway."""
    quiet: float = 0.0
    """Time without requests, from the start on."""
    burst: float = 0.0
    """Requests from 8 to 10 seconds after the start, as a multiple of those that come always."""
    full: frozenset[int] = frozenset()
    """Hosts that turn every set-up away."""
    sends: dict[int, list[float]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random, self.order, self.numbers = (
            random.Random(self.seed),
            itertools.count(),
            itertools.count(1),
        )
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.lives = [0] * self.site.gateways
        self.gates = [self.gate(n) for n in range(self.site.gateways)]
        self.entries = {n: entry(n, started=AT) for n in range(self.hosts)}
        shares = [min(self.random.paretovariate(1.2), 20.0) for _ in self.gates]
        for n, share in enumerate(shares):
            rate = share * self.rate * len(shares) / sum(shares)
            self.ask(AT + self.quiet, n, rate, math.inf)
            self.ask(AT + 8.0, n, rate * self.burst, AT + 10.0)

    def gate(self, n: int) -> Controller:
        made = Controller(self.site, self.seed * 1_000_003 + n * 1009 + self.lives[n])
        made.start(AT)
        return made

    def later(self, at: float, do: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), do))

    def tell(self, at: float, n: int, event: api.Event) -> None:
        """An event for the gateway as it runs now; its successor does not get it."""
        life = self.lives[n]
        self.later(at, lambda now: self.feed(now, n, event) if self.lives[n] == life else None)

    def told(self, at: float, n: int, skew: float = 0.0) -> None:
        """A complete list for a gateway, its clock `skew` behind the hosts'."""

        def tell(now: float) -> None:
            listed = tuple(replace(x, started=x.started and x.started + skew) for x in self.entries.values())
            self.feed(now, n, api.ServerList(listed, complete=True, cached=True))

        self.later(at, tell)

    def restart(self, at: float, n: int, away: float) -> None:
        def kill(now: float) -> None:
            self.lives[n] += 1

        def back(now: float) -> None:
            self.gates[n] = self.gate(n)

        self.later(at, kill)
        self.later(at + away, back)
        self.told(at + away, n)

    def ask(self, at: float, n: int, rate: float, until: float) -> None:
        def ask(now: float) -> None:
            if self.gates[n].fleet.ready:
                title = self.random.randrange(self.hosts)
                self.feed(now, n, request(next(self.numbers), home=title, holders=min(3, self.hosts)))
            self.ask(now, n, rate, until)

        at += self.random.expovariate(rate) if rate else math.inf
        if at < until:
            self.later(at, ask)

    def feed(self, now: float, n: int, event: api.Event) -> None:
        actions = self.gates[n].handle(now, event)
        for action in actions:
            if isinstance(action, api.SetTimer) and action.token & 1:
                self.tell(action.at, n, api.TimerFired(action.token))
            elif isinstance(action, api.StartAttempt):
                number, server = action.session, action.server
                if server in self.full:
                    self.tell(now + 0.02, n, ended(number, server, api.Outcome.BUSY))
                    continue
                self.sends.setdefault(server, []).append(now)
                self.tell(now + 0.02, n, api.SessionPlays(number, server, 0, 0.02))
                self.tell(now + 3.0, n, ended(number, server, api.Outcome.DONE, final=True))
        for server in asked(actions):
            load = api.Load(link=0.3, uplink=0.3)
            self.tell(now + 0.01, n, api.ProbeAnswered(server, api.Outcome.DONE, 0.01, load))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] < until:
            now, _, do = heapq.heappop(self.events)
            do(now)

    def most(self, server: int, since: float = AT) -> int:
        """The most set-ups that a host got within `fall`, while it was cold."""
        at = [x for x in self.sends.get(server, []) if since <= x < since + self.site.cold]
        first = most = 0
        for last, now in enumerate(at):
            while at[first] <= now - self.site.fall:
                first += 1
            most = max(most, last - first + 1)
        return most


def all_told(world: World, within: float = 0.0, skew: float = 0.0) -> None:
    for n in range(len(world.gates)):
        shift = skew * world.random.uniform(-1.0, 1.0)
        world.told(AT + max(0.0, shift) + within * world.random.random(), n, shift)


def told_again(world: World) -> None:
    all_told(world)
    for n in range(len(world.gates)):
        for k in range(int(world.site.cold / 0.5)):
            world.told(AT + 0.5 * (k + world.random.random()), n)


def seven_in_ten_killed(world: World) -> None:
    all_told(world)
    for n in world.random.sample(range(len(world.gates)), 7 * len(world.gates) // 10):
        world.restart(AT + 5.0, n, away=1.0)


def a_tenth_at_a_time(world: World) -> None:
    all_told(world)
    for n in range(len(world.gates)):
        world.restart(AT + 1.0 + n % 10 * (world.site.cold - 4.0) / 10.0, n, away=1.0)


def handed_over(world: World) -> None:
    all_told(world)
    for n in range(len(world.gates)):
        world.tell(AT + 3.0, n, api.SessionHandedOver(request(10_000_000 + n, holders=1), 0))


CASES: dict[str, tuple[Callable[[World], None], dict[str, object]]] = {
    "told to all at once": (all_told, {}),
    "told within 1.5 s": (lambda x: all_told(x, 1.5), {}),
    "told within 4.5 s": (lambda x: all_told(x, 4.5), {}),
    "told again and again": (told_again, {}),
    "clocks 20 ms apart": (lambda x: all_told(x, skew=0.02), {}),
    "seven in ten killed at once": (seven_in_ten_killed, {}),
    "a tenth restarted at a time": (a_tenth_at_a_time, {}),
    "resent from hosts that refuse": (all_told, {"hosts": 3, "full": frozenset({1, 2})}),
    "handed over": (handed_over, {}),
    "all holders start at once": (all_told, {"hosts": 8}),
    "no requests, then all at once": (all_told, {"quiet": 10.0}),
    "few requests, then a burst": (all_told, {"rate": 0.3, "burst": 20.0}),
}
WIRE = replace(
    SMALL, gateways=30, streams=(38,), cold=12.0, start_capacity=0.4, overload_factor=3.0, fall=3.0
)
SITES = {
    "30 gateways, N 11": (WIRE, SEEDS),
    "30 gateways, N 11, none counted as many": (replace(WIRE, rack_link=20_000.0), SEEDS[:5]),
    "30 gateways, N 11, probes": (replace(WIRE, probes=True, reports_by_probe=True), SEEDS[:5]),
    "30 gateways, N 2": (replace(SMALL, gateways=30, start_capacity=0.6), SEEDS[:5]),
    "200 gateways, N 11": (replace(WIRE, gateways=200), SEEDS[:2]),
    "200 gateways, N 56": (LARGE, SEEDS[:1]),
}


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("name", SITES)
def test_all_gateways_together_keep_a_cold_host_under_what_it_bears(name: str, case: str) -> None:
    """Kept turns, all sent in a burst after a quiet time, were up to 169 where 73 are borne."""
    (site, seeds), (told, changes) = SITES[name], CASES[case]
    for seed in seeds:
        world = World(site, seed, **changes)  # type: ignore[arg-type]
        told(world)
        world.run(AT + site.cold)
        counts = [world.most(x) for x in range(world.hosts) if x not in world.full]
        assert max(counts) <= bound(site) and sum(counts), (seed, counts)


def test_a_list_told_again_costs_no_turns() -> None:
    """Each list drew a new turn and lost the one before: with one each half second, a third of all sends."""
    sends = []
    for told in (all_told, told_again):
        worlds = [World(WIRE, seed) for seed in SEEDS[:10]]
        for world in worlds:
            told(world)
            world.run(AT + WIRE.cold)
        sends.append(sum(len(x.sends[0]) for x in worlds))
    assert sends[1] > 0.9 * sends[0]


@pytest.mark.parametrize("back", [0.0, 5.0])
def test_a_host_started_anew_under_its_id_is_cold_again(back: float) -> None:
    """Known warm, or cold since `AT`; gone for a second, and back with a newer start."""
    anew = AT + 8.0
    for seed in SEEDS[:10]:
        world = World(WIRE, seed)
        world.entries[0] = entry(0, started=AT if back else 0.0)
        all_told(world)
        world.run(anew - 1.0)
        world.entries[0] = replace(world.entries[0], state=api.State.GONE)
        for n in range(len(world.gates)):
            world.told(anew - 1.0, n)
        world.run(anew)
        world.entries[0] = entry(0, started=anew)
        for n in range(len(world.gates)):
            world.told(anew + 0.2, n)
        world.run(anew + WIRE.cold)
        assert 0 < world.most(0, anew) <= bound(WIRE)


def test_a_gateway_told_after_the_cold_time_does_not_wait() -> None:
    world = World(WIRE, 1)
    for n in range(len(world.gates)):
        world.told(AT + WIRE.cold + 0.5, n)
    world.run(AT + WIRE.cold + 2.0)
    assert not world.most(0) and len(world.sends[0]) > WIRE.gateways
