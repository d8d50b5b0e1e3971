"""Days as scripts of troubles: what happens when, to whom, as shares of the day's length."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from .stage import Layout


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that happens to a part of the stage."""

    at: float
    """Seconds after the players begin."""
    kind: str
    target: int = 0
    seconds: float = 0.0
    """How long it lasts, or after how long what was killed returns; 0: never."""
    value: float = 0.0
    groups: tuple[float, ...] = ()
    """Of a split: what share of the gateways each group has; the owner is in the first one where it is the
    owner's."""


@dataclass(frozen=True, slots=True)
class Day:
    """A scenario at a length."""

    name: str
    layout: Layout
    seconds: float
    rate: float
    """New sessions a second."""
    watch: tuple[float, float] = (4.0, 12.0)
    """Seconds that a viewer watches, from and to."""
    troubles: tuple[Trouble, ...] = ()
    surges: tuple[tuple[float, float, float], ...] = ()
    unmapped: tuple[str, ...] = ()
    """What of a bench day could not be put on sockets, and why."""
    conditions: str = ""
    """Of its gateways, as for a stage: work whose state changes all the time."""


TWO = Layout(gateways=2)


def _quiet(layout: Layout, seconds: float, draw: random.Random) -> Day:
    return Day("quiet", layout, seconds, 4.5)


def _bad(layout: Layout, seconds: float, draw: random.Random) -> Day:
    """Every kind of trouble once in each minute, or once in a shorter day."""
    troubles: list[Trouble] = []
    surges = []
    span = min(seconds, 60.0)
    for start in range(max(1, int(seconds // span))):
        began = start * span

        def at(share: float, began: float = began) -> float:
            return began + span * (share + draw.uniform(-0.02, 0.02))

        hosts = draw.sample(range(layout.hosts), 5)
        gateway = draw.randrange(layout.gateways)
        lasts = min(8.0, span / 6)
        troubles += [
            Trouble(at(0.06), "answer_lost", hosts[0], lasts, 0.3),
            Trouble(at(0.15), "drain", hosts[1], lasts),
            Trouble(at(0.25), "crash", hosts[2], lasts),
            Trouble(at(0.36), "gateway_kill", gateway, 2.5),
            Trouble(at(0.48), "slow", hosts[3], lasts, 1.5),
            Trouble(at(0.55), "registry_outage", 0, lasts),
            Trouble(at(0.60), "crash", hosts[4], lasts),
            Trouble(at(0.72), "late_list", 0, lasts, 2.0),
            Trouble(at(0.74), "drain", hosts[0], lasts),
            Trouble(at(0.84), "hang", hosts[2], lasts / 2),
        ]
        surges.append((began + span * 0.4, began + span * 0.6, 2.0))
    return Day("bad", layout, seconds, 4.5, troubles=tuple(troubles), surges=tuple(surges))


def _one(kind: str, seconds: float = 0.15, value: float = 0.0, hosts: int = 2) -> Callable[..., Day]:
    """A day of one kind of trouble, several times; `seconds` as a share of the day."""

    def make(layout: Layout, length: float, draw: random.Random) -> Day:
        troubles = []
        for n in range(3):
            of_gateways = kind == "gateway_kill"
            targets = [n % layout.gateways] if of_gateways else draw.sample(range(layout.hosts), hosts)
            at = length * (0.15 + 0.25 * n)
            troubles += [Trouble(at, kind, x, max(1.5, length * seconds), value) for x in targets]
        return Day(kind, layout, length, 4.5, troubles=tuple(troubles))

    return make


def _surge(layout: Layout, seconds: float, draw: random.Random) -> Day:
    return Day("surge", layout, seconds, 4.5, surges=((seconds * 0.3, seconds * 0.7, 2.0),))


FIVE = Layout(gateways=5, peers=True)


def _among_peers(layout: Layout) -> Layout:
    """The layout with gateways that speak, five where no number was asked for."""
    if layout == TWO:
        return FIVE
    return replace(layout, peers=True, witnesses=3 if layout.gateways >= 3 else 1)


def _power(layout: Layout, seconds: float, draw: random.Random) -> Day:
    """Power goes everywhere at a drawn instant, and again for half while the first return is fresh; links
    lose a third of what passes for a part of the day."""
    layout = _among_peers(layout)
    first = seconds * draw.uniform(0.25, 0.4)
    second = first + seconds * draw.uniform(0.25, 0.35)
    # Just before each, answers are lost, so that paid set-ups have run of which nobody was told.
    unseen = [
        Trouble(at - 1.2, "answer_lost", host, 1.5, 0.5)
        for at in (first, second)
        for host in range(layout.hosts)
    ]
    troubles = (
        *unseen,
        Trouble(seconds * 0.1, "links", 0, seconds * 0.1, 0.3),
        Trouble(first, "power", 0, draw.uniform(0.3, 1.5)),
        Trouble(second, "power_half", 0, draw.uniform(0.3, 2.0)),
        Trouble(second + seconds * 0.1, "links", 0, seconds * 0.15, 0.3),
    )
    return Day("power", layout, seconds, 4.5, troubles=troubles)


def _restart_half(layout: Layout, seconds: float, draw: random.Random) -> Day:
    """Half of the gateways are killed at once and come back together, twice."""
    troubles = tuple(
        Trouble(seconds * draw.uniform(x, x + 0.1), "restart_half", 0, draw.uniform(0.5, 2.0))
        for x in (0.2, 0.55)
    )
    return Day("restart-half", _among_peers(layout), seconds, 4.5, troubles=troubles)


BETWEEN = 6.0
"""Seconds from one trouble of duties to the next: the last one's end, and a new owner."""


def _owner(layout: Layout, seconds: float, draw: random.Random) -> Day:
    """Each trouble that can befall an owner and its voters, in an order of the seed, one after another; one
    gateway's wall clock is an hour ahead."""
    layout = _with_voters(layout)
    size = layout.gateways
    bag: list[Callable[[float], Trouble]] = [
        lambda at: Trouble(at, "owner_freeze", 0, draw.uniform(4.0, 8.0)),
        lambda at: Trouble(at, "owner_kill", 0, draw.uniform(1.0, 4.0)),
        lambda at: Trouble(at, "owner_stop", 0, draw.uniform(1.0, 4.0)),
        lambda at: Trouble(at, "owner_deaf", 0, draw.uniform(3.0, 5.0)),
        lambda at: Trouble(at, "owner_mute", 0, draw.uniform(3.0, 5.0)),
        lambda at: Trouble(at, "owner_disk", 0, 2.0),
        lambda at: Trouble(at, "owner_dies", 0, draw.uniform(1.0, 3.0), draw.randrange(2)),
        lambda at: Trouble(at, "voter_dies", draw.randrange(layout.voters), 2.0, draw.randrange(2)),
        lambda at: Trouble(at, "disk_slow", draw.randrange(layout.voters), 2.0),
        lambda at: Trouble(at, "links_bad", 0, draw.uniform(3.0, 5.0), 0.33),
        lambda at: Trouble(at, "owner_split", 0, draw.uniform(3.0, 6.0), groups=(0.4, 0.6)),
        lambda at: Trouble(at, "links_split", 0, draw.uniform(3.0, 5.0), groups=(0.6, 0.4)),
        lambda at: Trouble(at, "links_split", 0, draw.uniform(3.0, 5.0), groups=(0.4, 0.4, 0.2)),
        lambda at: Trouble(at, "twin", draw.randrange(size), 3.0),
        lambda at: Trouble(at, "old_disk", draw.randrange(layout.voters), 4.0),
        lambda at: Trouble(at, "power", 0, draw.uniform(0.3, 1.5)),
    ]
    draw.shuffle(bag)
    count = max(1, int((seconds - 2.0) // BETWEEN))
    troubles = []
    for n in range(count):
        at = 3.0 + n * BETWEEN + draw.uniform(0.0, 1.0)
        troubles.append(bag[n % len(bag)](at))
        if draw.random() < 0.3:  # two at once, where one alone would be borne
            troubles.append(bag[(n + 5) % len(bag)](at + draw.uniform(0.0, 1.5)))
    return Day(
        "owner", layout, seconds, 3.0, (2.0, 5.0), tuple(troubles), conditions="busy-duty,clock-ahead@1"
    )


def _with_voters(layout: Layout) -> Layout:
    """The layout among peers, with voters of duties, five where there are as many gateways."""
    layout = _among_peers(layout)
    voters = 5 if layout.gateways >= 5 else 3 if layout.gateways >= 3 else 1
    return replace(layout, voters=voters, log="debug")


LANES = (
    {"name": "premium", "accounts": ["gold*"], "reserve": 0.25, "least": 0.2, "most_per_account": 20},
    {"name": "plus", "accounts": ["plus*"], "reserve": 0.2, "least": 0.1},
    {"name": "free", "least": 0.05},
)
"""Blocks `priority` of the day `lanes`."""
ACCOUNTS = (("gold*", 0.1), ("plus*", 0.3), ("free*", 0.6))
OVERLOAD = 3.0
"""Times the traffic that hosts carry with ease; about twice what they carry at floors."""


def _lanes(layout: Layout, seconds: float, draw: random.Random) -> Day:
    """Twice what hosts carry is asked within a second and for most of the day; a trouble at its height."""
    layout = replace(
        _with_voters(layout), hosts=4, link=120.0, uplink_share=0.9, slots=60, priorities=LANES,
        accounts=ACCOUNTS,
    )  # fmt: skip
    bag = [
        lambda at: Trouble(at, "owner_freeze", 0, draw.uniform(4.0, 7.0)),
        lambda at: Trouble(at, "owner_kill", 0, 3.0),
        lambda at: Trouble(at, "restart_half", 0, 1.5),
        lambda at: Trouble(at, "links_split", 0, 4.0, groups=(0.6, 0.4)),
        lambda at: Trouble(at, "crash", draw.randrange(layout.hosts), 3.0),
        lambda at: Trouble(at, "owner_stop", 0, 2.0),
    ]
    draw.shuffle(bag)
    count = max(1, int(seconds * 0.6 // 10.0))
    troubles = tuple(
        bag[n % len(bag)](seconds * 0.3 + (n + 0.4 * draw.random()) * seconds * 0.6 / count)
        for n in range(count)
    )
    return Day(
        "lanes", layout, seconds, 5.0, troubles=troubles, surges=((seconds * 0.2, seconds * 0.9, OVERLOAD),)
    )


NORTH = "region(name = 'north', zones = [0], cells = [0, 2, 4])\n"
SOUTH = "region(name = 'south', zones = [1], cells = [1, 3, 5])\n"
RULES = (
    (
        NORTH + "route(name = 'home', order = 9, regions = ['north', 'south'], spill = 0.3)\n",
        NORTH + "route(name = 'home', order = 9, regions = ['north', 'south'], spill = 0.3)\n"
        "route(name = 'abroad', order = 5, titles = ['job-1'], regions = ['south'])\n",
        NORTH + "route(name = 'home', order = 9, regions = ['north'])\n",
        NORTH + "route(name = 'home', order = 9, regions = ['north'])\naccept(regions = ['south'])\n",
    ),
    (
        SOUTH + "route(name = 'home', order = 9, regions = ['south'])\naccept(regions = ['north'])\n",
        SOUTH + "route(name = 'home', order = 9, regions = ['south'])\n",
        SOUTH + "route(name = 'home', order = 9, regions = ['south', 'north'], spill = 0.2)\n"
        "accept(regions = ['north'])\n",
        SOUTH + "route(name = 'home', order = 9, regions = ['south'])\n"
        "accept(regions = ['north'], share = 0.5)\n",
    ),
)
"""What scripts of the two regions of the day `routes` may say; some of it can't stand together: spill to a
region that accepts nothing, and spill that comes back."""


def _routes(layout: Layout, seconds: float, draw: random.Random) -> Day:
    """Rules of two regions change, at times in both at one instant; each change with a trouble beside it."""
    layout = replace(_with_voters(layout), regions=("north", "south"), rules=RULES)
    bag = [
        lambda at: Trouble(at, "owner_freeze", 0, draw.uniform(3.0, 6.0)),
        lambda at: Trouble(at, "owner_kill", 0, 2.0),
        lambda at: Trouble(at, "owner_split", 0, 4.0, groups=(0.4, 0.6)),
        lambda at: Trouble(at, "gateway_kill", draw.randrange(layout.gateways), 2.0),
        lambda at: Trouble(at, "links_bad", 0, 4.0, 0.33),
        lambda at: Trouble(at, "links_deaf", draw.randrange(layout.gateways), 4.0),
        lambda at: Trouble(at, "restart_half", 0, 1.0),
        lambda at: Trouble(at, "power", 0, 0.5),
    ]
    draw.shuffle(bag)
    troubles: list[Trouble] = []
    for n in range(max(2, int((seconds - 3.0) // 4.0))):
        at, first = 4.0 + n * 4.0, draw.randrange(2)
        # The first change takes the spill of the north away, so that either side's next can meet the other's.
        rules = (0, 2) if n == 0 else (first, draw.randrange(4))
        troubles.append(Trouble(at, "propose", rules[0], value=rules[1]))
        if n and draw.random() < 0.5:
            troubles.append(Trouble(at, "propose", 1 - first, value=draw.randrange(4)))
        if n % 2:
            troubles.append(bag[n // 2 % len(bag)](at + draw.uniform(-0.6, 0.6)))
    return Day("routes", layout, seconds, 4.0, (2.0, 5.0), tuple(troubles))


SCENARIOS: dict[str, Callable[[Layout, float, random.Random], Day]] = {
    "quiet": _quiet,
    "bad": _bad,
    "crash": _one("crash"),
    "drain": _one("drain", 0.2),
    "answer-lost": _one("answer_lost", 0.2, value=0.4, hosts=4),
    "slow": _one("slow", value=1.5),
    "hang": _one("hang", 0.1),
    "refuse": _one("refuse", 0.2, hosts=5),
    "gateway-kill": _one("gateway_kill", 0.05, hosts=1),
    "registry-outage": _one("registry_outage", hosts=1),
    "late-list": _one("late_list", value=2.0, hosts=1),
    "surge": _surge,
    "power": _power,
    "restart-half": _restart_half,
    "owner": _owner,
    "lanes": _lanes,
    "routes": _routes,
}


def make(name: str, seconds: float, seed: int, layout: Layout = TWO) -> Day:
    """A built-in scenario. Raises KeyError for an unknown name."""
    day = SCENARIOS[name](layout, seconds, random.Random(seed))
    return replace(day, name=name, troubles=tuple(sorted(day.troubles, key=lambda x: x.at)))
