"""What a gateway tells the controller (settings and events) and what it is told to do (actions).

Times are in seconds on the gateway's own clock, rates in kB a second. Nothing here decides anything.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Effect(Enum):
    """What a second set-up of the same session would do."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Where a keyed class may be sent again once an attempt may have run."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class State(Enum):
    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class Outcome(Enum):
    """How an attempt, or a probe, ended."""

    DONE = "done"
    ERROR = "error"
    BUSY = "busy"
    TIMED_OUT = "timed out"
    REFUSED = "connection refused"
    RESET = "connection reset"
    CANCELLED = "cancelled"
    SKIPPED = "skipped"


NEVER_RAN = frozenset({Outcome.BUSY, Outcome.REFUSED, Outcome.SKIPPED})
"""The outcomes that prove that an attempt had no effect, by contract with the servers."""


@dataclass(frozen=True, slots=True)
class SessionClass:
    """The terms of one class of sessions."""

    goal: float
    """A set-up should take no longer than this."""
    worth: float
    effect: Effect
    scale: float
    """Its rates over those of the ladder."""
    floor: int
    top: int
    seats: int
    """Sessions of one title that a gateway may hold; 0: no cap."""
    live: bool
    group: Group
    dedup_window: float


@dataclass(frozen=True, slots=True)
class Tenant:
    quota: float
    """Sessions a second, over all gateways, within its share."""
    name: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told about its site when it starts."""

    gateways: int
    zone: int
    classes: tuple[SessionClass, ...]
    tenants: tuple[Tenant, ...]
    over_share_worth: float
    ladder: tuple[float, ...]
    ladder_worth: tuple[float, ...]
    cells: int
    racks: int
    rack_link: float
    """Mean uplink of a rack; 0 where racks have none of their own."""
    link_per_weight: float
    streams: tuple[int, ...]
    """For each kind of server: streams that it runs at most."""
    refuses_from: float
    """A server turns set-ups away while so much of its link is asked; 0: never."""
    shared_adds: float
    """What a further viewer of a live title adds to a stream; 1: nothing is shared."""
    note_delay: float
    """How late notes are."""
    note_interval: float
    """Time between notes of link use; 0: there are none."""
    stall: float
    """Points of worth lost for each point of the rate that is missing."""
    switch_cost: float
    """A change of rung costs so many seconds of worth."""
    reported: tuple[str, ...]
    reports_by_probe: bool
    probes: bool
    probe_price: float
    handshake_price: float
    """Of a new connection to a server; 0: free."""
    idle_close: float
    """Servers close a connection that has been idle for so long; 0: not told."""
    move_price: float
    zone_price: float
    max_attempts: int
    max_retry_after: float
    """The longest time to stay away that viewers honour; 0: they take no advice."""
    connect_timeout: float
    cold: float
    start_capacity: float
    overload_factor: float
    fall: float
    """A cold server sent more than the factor for this long falls over."""
    budget_window: float
    """Window of the budget for further attempts; 0: no budget."""
    budget_free: float
    budget_share: float
    ask_discovery: bool
    ask_within: float

    def __post_init__(self) -> None:
        """Refuse settings that no site can mean, naming the field."""
        rungs = len(self.ladder)
        if not rungs:
            raise ValueError("ladder: empty")
        if len(self.ladder_worth) != rungs:
            raise ValueError("ladder_worth: not one for each rung")
        if not self.classes:
            raise ValueError("classes: empty")
        for terms in self.classes:
            if not 0 <= terms.floor < rungs:
                raise ValueError("classes.floor: not on the ladder")
            if not terms.floor <= terms.top < rungs:
                raise ValueError("classes.top: not on the ladder, or under the floor")
        for name in ("gateways", "cells", "racks", "max_attempts"):
            if getattr(self, name) < 1:
                raise ValueError(f"{name}: under 1")


# Events


@dataclass(frozen=True, slots=True)
class Load:
    """A server's load report; None: not reported."""

    streams: float | None = None
    link: float | None = None
    """Asked of its link over what the link gives."""
    uplink: float | None = None
    """The same for its rack's uplink."""


@dataclass(frozen=True, slots=True)
class ServerEntry:
    server: int
    zone: int
    kind: int
    cell: int
    state: State
    weight: float
    started: float
    """Time of its most recent start; 0: long ago."""


@dataclass(frozen=True, slots=True)
class ServerList:
    entries: tuple[ServerEntry, ...]
    complete: bool
    """Servers that a complete list omits are gone."""
    cached: bool = False
    failed: bool = False


@dataclass(frozen=True, slots=True)
class SessionRequest:
    session: int
    class_no: int
    tenant: int
    title: str
    patience: float
    """The viewer gives up after this."""
    hint: float | None
    """A rough length of the session."""
    home: int
    holders: int
    top: int
    moved: bool = False
    again: bool = False
    zones: tuple[int, ...] = ()
    """Servers of these zones alone; empty: any."""


@dataclass(frozen=True, slots=True)
class SessionHandedOver:
    """A session that already plays on a server."""

    request: SessionRequest
    server: int


@dataclass(frozen=True, slots=True)
class SessionPlays:
    session: int
    server: int
    attempt: int
    took: float


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    session: int
    server: int
    attempt: int
    outcome: Outcome
    took: float
    final: bool
    load: Load | None


@dataclass(frozen=True, slots=True)
class SessionGone:
    """The viewer left."""

    session: int


@dataclass(frozen=True, slots=True)
class DeliveryNote:
    """The share of its sessions' rates that a server delivers."""

    server: int
    share: float


@dataclass(frozen=True, slots=True)
class RungNote:
    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class LoadNote:
    """A server's load, told through one of its sessions."""

    server: int
    load: Load


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    server: int
    outcome: Outcome
    took: float
    load: Load | None


@dataclass(frozen=True, slots=True)
class TimerFired:
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
    session: int
    server: int
    time_out: float
    """0: until the viewer gives up."""


@dataclass(frozen=True, slots=True)
class ChooseRung:
    session: int
    rung: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Turn a session away: nothing ran, and the viewer may come again after this time."""

    session: int
    come_back: float


@dataclass(frozen=True, slots=True)
class Fail:
    """End a session without any word on whether a set-up ran."""

    session: int


@dataclass(frozen=True, slots=True)
class MoveSession:
    session: int


@dataclass(frozen=True, slots=True)
class Probe:
    server: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    at: float


@dataclass(frozen=True, slots=True)
class AskForList:
    """Subscribe to changes of the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = StartAttempt | ChooseRung | Refuse | Fail | MoveSession | Probe | SetTimer | AskForList | Log
