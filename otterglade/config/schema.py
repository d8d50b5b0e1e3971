"""What a configuration script may say: each block's fields with unit, bounds and meaning.

Figures of the deployment and limits only; what the module weighs them with stands in `core`.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

from ..core import interface as api
from ..core.fleet import routing

Positive = Annotated[float, msgspec.Meta(gt=0)]
AtLeast0 = Annotated[float, msgspec.Meta(ge=0)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1)]
Index = Annotated[int, msgspec.Meta(ge=0)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._~-]{1,100}$")]
Text = Annotated[str, msgspec.Meta(min_length=1)]
Account = Annotated[str, msgspec.Meta(pattern=r"^([A-Za-z0-9_~-]{1,100}\*?|\*)$")]
TitlePattern = Annotated[str, msgspec.Meta(pattern=r"^([A-Za-z0-9._~-]{1,100}\*?|\*)$")]
Place = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._~-]{1,100}/[A-Za-z0-9._~-]{1,100}$")]
_ENDPOINT = re.compile(r"[^\s:]+:[0-9]{1,5}|\[[0-9A-Fa-f:.]+\]:[0-9]{1,5}")
MOST_MACHINES = 36
"""Control machines of one fleet."""
MOST_READ_WAIT = 3600.0
"""Seconds that a control machine holds a read at most."""
MOST_ROUTES = 1000
"""Rules of a region: a gateway looks through them at each new session."""
MOST_LANES = 16
"""What gateways tell one another of lanes has room for so many."""


class Block(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A block of the script: a call with named fields."""


class Site(Block, frozen=True):
    """The fleet and its rates."""

    name: Name
    gateways: Count
    """Gateways that run at the site, this one included: each keeps to its part."""
    cells: Count
    """Cells that titles are placed on; a host's cell (mod racks) is its rack."""
    ladder: Annotated[tuple[Positive, ...], msgspec.Meta(min_length=1)]
    """Rates of the rungs in kB a second, from the lowest up."""
    ladder_worth: Annotated[tuple[Share, ...], msgspec.Meta(min_length=1)]
    """What a second at each rung is worth, from 0 to 1."""
    streams: Annotated[tuple[Count, ...], msgspec.Meta(min_length=1)]
    """For each kind of host: streams that it runs at most."""
    link_per_weight: Positive
    """A host's link in kB a second, for each unit of its weight in the registry."""
    racks: Count = 1
    rack_link: AtLeast0 = 0.0
    """Mean uplink of a rack in kB a second; 0: racks have none of their own."""
    zone: Index = 0
    refuses_from: AtLeast0 = 0.0
    """A host turns set-ups away while so much of its link is asked; 0: never."""
    stall: AtLeast0 = 7.0
    """Points of worth that a session loses for each point of its rate that is missing."""
    switch_cost: AtLeast0 = 0.5
    """What a change of rung costs, in seconds of worth."""


class Reports(Block, frozen=True):
    """What hosts tell of their load, and how."""

    names: tuple[Literal["streams", "x0", "x1"], ...]
    """streams: sessions that run; x0: asked of the link over given; x1: the same of the rack's uplink."""
    by_probe: bool = False
    """Answers to probes alone carry load."""
    probes: bool = True
    """Hosts may be asked for their load."""
    note_delay: Positive = 0.5
    """Seconds by which what hosts tell is late."""
    note_interval: AtLeast0 = 2.0
    """Seconds between a host's notes of load on its event stream; 0: there are none."""


class Contract(Block, frozen=True):
    """The figures of the six rules."""

    grace: Positive
    """Seconds after word of a drain at which nothing new goes to that host."""
    cold: AtLeast0
    """Seconds for which a host that has started warms up."""
    start_capacity: Annotated[float, msgspec.Meta(gt=0, le=1)]
    """Share of its pace at which it starts."""
    overload_factor: Positive
    """Sent more than this multiple of its present pace ..."""
    fall: AtLeast0
    """... for so many seconds, it falls over."""
    max_attempts: Count = 3
    budget_window: AtLeast0 = 0.0
    """Seconds over which further attempts are counted; 0: they are not rationed."""
    budget_free: AtLeast0 = 0.0
    budget_share: AtLeast0 = 0.0
    registrars: Annotated[int, msgspec.Meta(ge=0, le=4)] = 2
    """Holders at which a paid set-up is claimed before it goes out, so that another gateway to which its
    viewer comes knows of it; 0: none, for hosts that keep no claims."""
    max_retry_after: AtLeast0 = 1.0
    """The longest time to stay away that viewers honour, in seconds."""


class SessionClass(Block, frozen=True):
    """The terms of a class of sessions."""

    name: Name
    effect: Literal["safe", "keyed", "unsafe"]
    """What a second set-up would do: nothing; nothing at hosts that know the key; be charged again."""
    goal: Positive
    """Seconds within which a set-up should play."""
    patience: Positive
    """Seconds after which the viewer gives up: the answer comes before."""
    worth: AtLeast0 = 1.0
    scale: Positive = 1.0
    """Its rates over those of the ladder."""
    floor: Index = 0
    """The lowest rung it may play on."""
    top: Index | None = None
    """The highest; by default the ladder's."""
    seats: Index = 0
    """Sessions of one title that a gateway may hold; 0: no cap."""
    live: bool = False


class Title(Block, frozen=True):
    """What can be watched, and where it lies."""

    name: Name
    home: Index
    """The first cell that holds it."""
    holders: Count
    """How many cells in a row hold it."""


class Gateway(Block, frozen=True):
    """This gateway's own matters."""

    name: Name
    listen: Text
    """Address for players, as host:port; port 0 lets the system pick."""
    state_dir: Text = "state"
    """Folder for what outlives the process; made where it is missing."""
    seed: Index | None = None
    """Of the module's draws; by default drawn anew at each start."""
    record: str = ""
    """File for all events and actions; empty: none is kept."""


class Registry(Block, frozen=True):
    """Where the list of hosts comes from."""

    address: Text
    wait: Positive = 10.0
    """Seconds that a blocking read may be held."""
    retry: Positive = 0.5
    """Seconds after a failed read until the next, at first; doubled up to ten times, each jittered."""


class Distribution(Block, frozen=True):
    """Control machines that the list of hosts comes from, in place of the registry; what is exchanged with
    them is signed with the keys of the tokens block."""

    machines: Annotated[dict[Name, str], msgspec.Meta(min_length=1, max_length=MOST_MACHINES)]
    """Control machines that may be read from, by name, each with its address as host:port."""
    region: Name
    """Where this gateway stands: machines of its zone are read from first, then those of its region."""
    zone: Name
    places: dict[Name, Place] = {}
    """Of each machine by name its REGION/ZONE; one that is not here counts as in this gateway's own."""
    wait: Annotated[float, msgspec.Meta(gt=0, le=MOST_READ_WAIT)] = 3.0
    """Seconds that a blocking read may be held."""
    spacing: AtLeast0 = 2.0
    """Seconds between a revision that was applied and the next read, so that changes coalesce."""

    def __post_init__(self) -> None:
        """Raises ValueError naming the machine."""
        for name, text in self.machines.items():
            if not _ENDPOINT.fullmatch(text):
                raise ValueError(f"machines.{name}: found {text!r}; allowed: host:port")
        for name in self.places:
            if name not in self.machines:
                known = ", ".join(sorted(self.machines))
                raise ValueError(f"places: found {name!r}; allowed: names of machines, {known}")


class Limits(Block, frozen=True):
    """What protects the gateway; each says from what."""

    connections: Count = 4096
    """Open at once, a thread each: beyond, 503 at once."""
    setups: Count = 256
    """Exchanges with hosts at once, a thread each: others wait their turn within their time-out."""
    sessions: Count = 100_000
    """Sessions held: beyond, new ones are refused with 503."""
    idle: Positive = 60.0
    """Seconds for which a connection without a request is kept."""
    head: Positive = 5.0
    """Seconds for a request's head, however slowly it comes."""
    send: Positive = 10.0
    """Seconds for an answer to a player that does not read."""
    margin: Positive = 0.2
    """Seconds before the viewer's patience ends at which the answer is sent."""
    fetch_gap: Positive = 4.0
    """Target durations without a fetch after which the viewer counts as gone."""
    connect: Positive = 0.25
    """Seconds for a connection to a host."""
    host_silence: Positive = 3.0
    """Seconds without a byte on a host's event stream after which it counts as lost."""
    drain: Positive = 10.0
    """Seconds for which a stopping gateway waits for its connections."""


TOKEN_LIFE = 21600.0
"""Seconds for which a session's address is good: longer than anybody watches at a stretch."""


class Tokens(Block, frozen=True):
    """Keys that sessions' addresses are signed with; without this block a key of the state folder is used."""

    keys: Annotated[dict[str, str], msgspec.Meta(min_length=1)]
    """By name, 16 to 64 bytes in hexadecimal; all gateways of a site share them, so that any takes a session
    over."""
    sign_with: Text
    """The name of the key that signs; the others are accepted still, or already."""
    life: Positive = TOKEN_LIFE
    """Seconds for which an address is good."""


class Peers(Block, frozen=True):
    """Other gateways of the site, which this one speaks to; without this block it speaks to none."""

    listen: Text
    """Address for their datagrams, as host:port; port 0 lets the system pick."""
    members: Annotated[dict[Name, str], msgspec.Meta(min_length=1, max_length=4096)]
    """All gateways of the site by name, this one included, with the address that each listens on: alike in
    the scripts of all, as they work out from it who witnesses what."""
    witnesses: Literal[0, 1, 3, 5] = 3
    """Gateways at which a paid set-up is witnessed, by a majority, before it goes out, so that a viewer is
    not charged again when hosts and gateways have lost power; 0: none. Odd, and no more than there are
    members."""
    voters: tuple[Name, ...] = ()
    """Members by which each duty of the fleet has one owner, by a majority: 1, 3 or 5, alike in the scripts
    of all; empty: this gateway has no duties, and obeys none."""
    voters_number: Count = 1
    """Which set of voters this is: raised by one at each change, which replaces one voter at most."""
    voters_before: tuple[Name, ...] = ()
    """The set that this one replaces: until both have agreed once, each decision takes a majority of both;
    empty: this is the first set, or the one before is done with."""
    voters_forced: str = ""
    """Why this set stands without the one before it, of which a majority is gone for good: a person's word,
    kept with the duty and in the log; empty: it does not."""
    routes_forced: str = ""
    """Why a routing part that was read again is to be admitted whatever it conflicts with: a person's word.
    What all must agree on (terms, lanes, witnesses) has no other way, as gateways change one by one."""
    routes_forget: str = ""
    """Why gateways of this region that are not heard are gone, with the editions that they may act on: a
    person's word, taken when it is read again and differs from the one before."""


class Priority(Block, frozen=True):
    """A lane: accounts that are shed alike. The order of the blocks is their precedence, the first is shed
    last; the last block takes everybody else."""

    name: Name
    accounts: tuple[Account, ...] = ()
    """Names, or patterns with one `*` at the end; an account is a viewer's key before its first dot."""
    reserve: Share = 0.0
    """Of the fleet's room, what the lane may always have; all lanes together at most 1."""
    least: Share = 0.0
    """Of the fleet's room, what it is never pushed under while it asks for it; together at most 1."""
    most_per_account: Index = 0
    """Sessions of one account in all gateways together, beyond which it counts with the last lane; 0: no
    bound."""


class Region(Block, frozen=True):
    """Whose gateway this is; without this block there are no rules of regions."""

    name: Name
    zones: Annotated[tuple[Index, ...], msgspec.Meta(min_length=1)]
    """Of the registry's list: those whose hosts are the region's own."""
    cells: tuple[Index, ...] = ()
    """That lie there, under site.cells; empty: not told, and titles that nobody there holds show in service
    only."""


class Route(Block, frozen=True):
    """A rule: to which regions' hosts a session may go. The lowest order that matches decides."""

    name: Name
    order: Index
    classes: tuple[Name, ...] = ()
    """Empty: any; so are the others."""
    titles: tuple[TitlePattern, ...] = ()
    """Names, or patterns with one `*` at the end."""
    accounts: tuple[Account, ...] = ()
    """Names, or patterns with one `*` at the end; an account is a viewer's key before its first dot."""
    regions: tuple[Name, ...] = ()
    """In order of preference."""
    spill: Share = 0.0
    """Largest share of the rule's sessions that may go beyond the first region."""


class Accept(Block, frozen=True):
    """What this region's hosts take from other regions; without such a block they take nothing."""

    regions: tuple[Name, ...] = ()
    """Empty: any; so are the classes."""
    classes: tuple[Name, ...] = ()
    share: Share = 1.0
    """Of the region's room, at most."""


class Log(Block, frozen=True):
    """The log on standard error."""

    level: Literal["debug", "info", "warning", "error"] = "info"
    form: Literal["json", "console"] = "json"


class Config(msgspec.Struct, frozen=True, kw_only=True):
    """A whole configuration, checked."""

    site: Site
    contract: Contract
    gateway: Gateway
    registry: Registry | None = None
    """None: hosts come from `distribution`."""
    distribution: Distribution | None = None
    classes: tuple[SessionClass, ...]
    titles: tuple[Title, ...]
    reports: Reports
    limits: Limits
    log: Log
    tokens: Tokens | None = None
    peers: Peers | None = None
    lanes: tuple[Priority, ...] = ()
    """In order of precedence; empty: nothing is shed by lanes."""
    region: Region | None = None
    routes: tuple[Route, ...] = ()
    accepts: tuple[Accept, ...] = ()

    def routing(self) -> routing.Routing:
        """What all gateways of a region act on alike, and what regions are held against one another by."""
        contract, peers, region = self.contract, self.peers, self.region
        return routing.Routing(
            region=None if region is None else routing.Region(
                name=region.name, zones=region.zones, cells=region.cells
            ),
            routes=tuple(
                routing.Route(
                    name=x.name, order=x.order, classes=x.classes, titles=x.titles, accounts=x.accounts,
                    regions=x.regions, spill=x.spill,
                ) for x in self.routes
            ),
            accepts=tuple(
                routing.Accept(regions=x.regions, classes=x.classes, share=x.share) for x in self.accepts
            ),
            classes=tuple(
                routing.ClassTerms(name=x.name, effect=x.effect, floor=x.floor, seats=x.seats)
                for x in self.classes
            ),
            lanes=tuple(
                routing.Lane(
                    name=x.name, accounts=x.accounts, reserve=x.reserve, least=x.least,
                    most_per_account=x.most_per_account,
                ) for x in self.lanes
            ),
            titles=tuple(
                routing.TitlePlacement(name=x.name, home=x.home, holders=x.holders) for x in self.titles
            ),
            cells=self.site.cells,
            budget=(contract.budget_window, contract.budget_free, contract.budget_share),
            witnesses=0 if peers is None else peers.witnesses,
            members=() if peers is None else tuple(peers.members),
        )  # fmt: skip

    def settings(self) -> api.Settings:
        """What the module is told. Raises ValueError naming the field."""
        site, contract, reports = self.site, self.contract, self.reports
        top = len(site.ladder) - 1
        return api.Settings(
            gateways=site.gateways, zone=site.zone,
            classes=tuple(
                api.SessionClass(
                    goal=x.goal, worth=x.worth, effect=api.Effect(x.effect), scale=x.scale, floor=x.floor,
                    top=top if x.top is None else x.top, seats=x.seats, live=x.live, group=api.Group.ALL,
                    dedup_window=0.0,
                ) for x in self.classes
            ),
            tenants=(), over_share_worth=1.0, ladder=site.ladder, ladder_worth=site.ladder_worth,
            cells=site.cells, racks=site.racks, rack_link=site.rack_link,
            link_per_weight=site.link_per_weight, streams=site.streams, refuses_from=site.refuses_from,
            shared_adds=1.0, note_delay=reports.note_delay, note_interval=reports.note_interval,
            stall=site.stall, switch_cost=site.switch_cost, reported=reports.names,
            reports_by_probe=reports.by_probe, probes=reports.probes, probe_price=0.0,
            handshake_price=0.0, idle_close=0.0, move_price=0.0,
            zone_price=0.0, max_attempts=contract.max_attempts, max_retry_after=contract.max_retry_after,
            connect_timeout=self.limits.connect, cold=contract.cold, start_capacity=contract.start_capacity,
            overload_factor=contract.overload_factor, fall=contract.fall,
            budget_window=contract.budget_window, budget_free=contract.budget_free,
            budget_share=contract.budget_share, ask_discovery=False, ask_within=0.0,
        )  # fmt: skip
