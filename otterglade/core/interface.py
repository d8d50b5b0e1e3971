"""Messages between a gateway and its controller: settings, events in, actions out.

Times are seconds on the gateway's monotonic clock and rates are kB per second, unless a field says otherwise.
Gateways write these classes to run records under their own names, so class and field names are stable.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """Whether repeating a set-up of the same session is safe."""

    SAFE = "safe"
    """Idempotent: an attempt may be repeated whatever became of the one before."""
    KEYED = "keyed"
    """Servers deduplicate attempts by key within `dedup_window`."""
    UNSAFE = "unsafe"
    """At most once: never repeated after an attempt that may have run."""


class Group(Enum):
    """Scope of deduplication: where a keyed set-up may be retried after an attempt that may have run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    """Lifecycle state of a server in the server list; only READY servers get new sessions."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class Outcome(Enum):
    """Result of an attempt or a probe."""

    DONE = "done"
    ERROR = "error"
    BUSY = "busy"
    TIMED_OUT = "timed out"
    REFUSED = "connection refused"
    RESET = "connection reset"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"


NEVER_RAN = frozenset({Outcome.BUSY, Outcome.REFUSED, Outcome.SKIPPED})
"""Outcomes that prove, by contract with the servers, that the attempt had no effect."""


@dataclass(frozen=True, slots=True)
class SessionClass:
    """Service terms of one class of sessions."""

    goal: float
    """Target time for a set-up, in seconds."""
    worth: float
    """Value of a session of this class per second at full quality, in points."""
    effect: Effect
    scale: float
    """Factor on the ladder's rates for this class."""
    floor: int
    """Lowest rung that a session may play at, as an index of the ladder."""
    top: int
    """Highest rung that a session may play at."""
    seats: int
    """Most sessions of one title that a gateway may have at once; 0 means no limit."""
    live: bool
    """Whether viewers of one title at the same rung share a stream."""
    group: Group
    dedup_window: float
    """Seconds for which servers recognise a repeated set-up key."""


@dataclass(frozen=True, slots=True)
class Tenant:
    """A customer whose sessions share the site with those of others."""

    quota: float
    """Sessions per second over all gateways that count as within its share."""
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a site as a gateway gets it at start. Raises ValueError if a field is out of range."""

    gateways: int
    """Number of gateways of the site, this one included."""
    zone: int
    """Zone in which this gateway runs."""
    classes: tuple[SessionClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    """Factor on the worth of sessions beyond a tenant's quota."""
    ladder: tuple[float, ...]
    """Rate of each rung in kB per second, lowest first."""
    ladder_worth: tuple[float, ...]
    """Share of a session's worth that each rung earns."""
    cells: int
    """Number of cells; a title is held by consecutive cells from its home cell on."""
    racks: int
    """Number of racks; cell n is in rack n modulo this."""
    rack_link: float
    """Mean capacity of a rack's uplink in kB per second; 0 if racks have no shared uplink."""
    link_per_weight: float
    """Link capacity in kB per second of a server of weight 1."""
    streams: tuple[int, ...]
    """Most streams that a server of each kind runs."""
    refuses_from: float
    """Share of its link in demand from which a server refuses set-ups; 0 means never."""
    shared_adds: float
    """Share of the rate that each further viewer of a shared live stream adds; 1 means no sharing."""
    note_delay: float
    """Age of load and delivery notes when they arrive, in seconds."""
    note_interval: float
    """Seconds between notes of link use; 0 means that none are sent."""
    stall: float
    """Share of worth lost for each missing share of the rate."""
    switch_cost: float
    """Cost of one change of rung, in seconds of worth."""
    reported: tuple[str, ...]
    """Names of the metrics in load reports."""
    reports_by_probe: bool
    """Whether servers report load only in answers to probes."""
    probes: bool
    """Whether the gateway may probe servers."""
    probe_price: float
    """Cost of a probe in points of worth; 0 means free."""
    handshake_price: float
    """Cost of a new connection to a server in points of worth; 0 means free."""
    idle_close: float
    """Seconds after which servers close an idle connection; 0 if unknown."""
    move_price: float
    """Cost of moving a session to another server, in points of worth."""
    zone_price: float
    """Cost of serving a session from another zone, in points of worth."""
    max_attempts: int
    """Most set-up attempts for one session, the first included."""
    max_retry_after: float
    """Longest Retry-After, in seconds, that viewers honour; 0 if they ignore it."""
    connect_timeout: float
    """Seconds."""
    cold: float
    """Seconds after a server's start during which it takes set-ups at a reduced rate."""
    start_capacity: float
    """Share of the full set-up rate that a cold server takes."""
    overload_factor: float
    """Multiple of its set-up rate at which a cold server is overloaded."""
    fall: float
    """Seconds of overload after which a cold server fails."""
    budget_window: float
    """Seconds over which the retry budget counts; 0 means no budget."""
    budget_free: float
    """Retries allowed in the window whatever the number of requests."""
    budget_share: float
    """Further retries allowed for each request in the window."""
    ask_discovery: bool
    """Whether the gateway must subscribe to the server list itself."""
    ask_within: float
    """Seconds within which the site expects a gateway to ask for the list."""

    def __post_init__(self) -> None:
        """Check ranges; each error names its field."""
        rungs = len(self.ladder)
        if not rungs:
            raise ValueError("ladder: must not be empty")
        if len(self.ladder_worth) != rungs:
            raise ValueError("ladder_worth: expected one for each rung")
        if not self.classes:
            raise ValueError("classes: must not be empty")
        for terms in self.classes:
            if not 0 <= terms.floor < rungs:
                raise ValueError("classes.floor: no such rung on the ladder")
            if not terms.floor <= terms.top < rungs:
                raise ValueError("classes.top: no such rung on the ladder, or below the floor")
        for name in ("gateways", "cells", "racks", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: must be at least 1")


# Events


@dataclass(frozen=True, slots=True)
class Load:
    """A server's load report; a field that was not reported is None."""

    streams: float | None = None
    """Streams that the server runs."""
    link: float | None = None
    """Demand on its link over the link's capacity; over 1 when overloaded."""
    uplink: float | None = None
    """Demand on its rack's uplink over the uplink's capacity."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    """One server of the server list."""

    server: int
    zone: int
    kind: int
    """Index of its hardware kind, as in `Settings.streams`."""
    cell: int
    state: State
    weight: float
    """Relative link capacity; see `Settings.link_per_weight`."""
    started: float
    """Time of its most recent start; 0 if it started long ago."""


@dataclass(frozen=True, slots=True)
class ServerList:
    """A list of servers, or changes to one."""

    entries: tuple[ServerEntry, ...]
    complete: bool
    """Whether servers that are not listed are gone; if False, the entries are changes."""
    cached: bool = False
    """Whether the list comes from a cache and may be stale."""
    failed: bool = False
    """Whether the list could not be had; then there are no entries."""


@dataclass(frozen=True, slots=True)
class SessionRequest:
    """A viewer's request for a session."""

    session: int
    class_no: int
    """Index of its class in `Settings.classes`."""
    tenant: int
    """Index of its tenant in `Settings.tenants`."""
    title: str
    patience: float
    """Seconds after which the viewer gives up."""
    hint: float | None
    """Rough length of the session in seconds; None if unknown."""
    home: int
    """First of the consecutive cells that hold the title."""
    holders: int
    """Number of cells that hold the title."""
    top: int
    """Highest rung that the viewer can play."""
    moved: bool = False
    """Whether the session was moved off another server."""
    again: bool = False
    """Whether the viewer has asked for this session before."""
    zones: tuple[int, ...] = ()
    """Zones whose servers may be used; empty means any."""


@dataclass(frozen=True, slots=True)
class SessionHandedOver:
    """A session that already plays on a server and is taken over by this gateway."""

    request: SessionRequest
    server: int


@dataclass(frozen=True, slots=True)
class SessionPlays:
    """A set-up attempt succeeded; `took` is its duration in seconds."""

    session: int
    server: int
    attempt: int
    took: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt failed, or the session that it set up has ended."""

    session: int
    server: int
    attempt: int
    outcome: Outcome
    took: float
    final: bool
    """Whether the session is over; otherwise a further attempt may follow."""
    load: Load | None


@dataclass(frozen=True, slots=True)
class SessionGone:
    """The viewer has left; the session needs no answer any more."""

    session: int


@dataclass(frozen=True, slots=True)
class DeliveryNote:
    """The share of its sessions' rates that a server delivers, 0 to 1."""

    server: int
    share: float


@dataclass(frozen=True, slots=True)
class RungNote:
    """The rung at which a server plays a session."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class LoadNote:
    """A load report received with one of the server's sessions."""

    server: int
    load: Load


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A probe ended; `took` is its duration in seconds."""

    server: int
    outcome: Outcome
    took: float
    load: Load | None


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due."""

    token: int


Event = (
    ServerList
    | SessionRequest
    | SessionHandedOver
    | SessionPlays
    | AttemptEnded
    | SessionGone
    | DeliveryNote
    | RungNote
    | LoadNote
    | ProbeAnswered
    | TimerFired
)


# Actions


@dataclass(frozen=True, slots=True)
class StartAttempt:
    """Set a session up at a server."""

    session: int
    server: int
    time_out: float
    """Seconds; 0 means until the viewer gives up."""


@dataclass(frozen=True, slots=True)
class ChooseRung:
    """Set the rung of a session, before its first attempt or while it plays."""

    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Reject a request of which no set-up ran; the viewer may retry after `come_back` seconds."""

    session: int
    come_back: float


@dataclass(frozen=True, slots=True)
class Fail:
    """Answer a request with a failure that leaves open whether a set-up ran."""

    session: int


@dataclass(frozen=True, slots=True)
class MoveSession:
    """Take a session off its server; its viewer requests it again."""

    session: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for its load."""

    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a `TimerFired` event with this token at a time."""

    token: int
    at: float


@dataclass(frozen=True, slots=True)
class AskForList:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = StartAttempt | ChooseRung | Refuse | Fail | MoveSession | Probe | SetTimer | AskForList | Log
