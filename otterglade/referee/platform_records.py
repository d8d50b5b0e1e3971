"""What passed on the sockets around the platform's gateways, as `platform_rules.py` judges it.

Viewers, media hosts, the name service and the supervisor of the processes write these records; nothing in
them comes from a gateway's log. All times are Unix seconds; `math.inf` means that it has not happened.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path


@dataclass(slots=True, eq=False)
class ViewerLink:
    """A viewer's connection to a gateway."""

    gateway: int
    opened_at: float
    ended_at: float = math.inf


@dataclass(frozen=True, slots=True)
class Answer:
    """A final response to a set-up."""

    status: int
    body: bytes
    at: float


@dataclass(slots=True, eq=False)
class Request:
    """A set-up that a viewer wrote to a connection."""

    session: bytes
    link: ViewerLink
    class_name: str
    at_most_once: bool
    """Whether its set-up must not run twice."""
    deadline: float
    """Seconds that the viewer waits for the answer."""
    sent_at: float = math.inf
    """When its last byte was written."""
    left_at: float = math.inf
    """When the viewer gave it up."""
    answers: list[Answer] = field(default_factory=list)
    unreadable_at: float = math.inf
    """When bytes arrived on its connection that are no RTSP."""
    released_at: float = math.inf
    """When its session was released or moved by the gateway."""

    @property
    def is_established(self) -> bool:
        """Whether its session stands or has stood."""
        return any(x.status == 200 for x in self.answers)


@dataclass(slots=True, eq=False)
class Attempt:
    """A set-up that reached a media host."""

    session: bytes
    host: str
    gateway: int
    begun_at: float
    """When its first byte arrived."""
    arrived_at: float = math.inf
    """When its last byte arrived."""
    ended_at: float = math.inf
    """When its end was written, or when it was given up."""
    never_ran: bool = False
    """Whether the host answered that nothing ran."""
    description: bytes = b""
    """The body of the host's success."""


@dataclass(slots=True, eq=False)
class SessionEnd:
    """The end of a session at its host, which the gateway has to pass on to the viewer."""

    session: bytes
    host: str
    gateway: int
    ended_at: float
    told_at: float = math.inf
    """When the host wrote its release to the gateway."""


class HostState(Enum):
    """State of a host in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class ListChange:
    """A numbered change of the host list."""

    serial: int
    host: str
    state: HostState
    at: float


@dataclass(frozen=True, slots=True)
class ListSent:
    """The name service sent a list with this serial to a gateway."""

    gateway: int
    serial: int
    at: float
    asked_at: float
    """When the query came: the answer to one of an earlier process tells the next one nothing."""


@dataclass(slots=True, eq=False)
class Outage:
    """A time in which the name service did not answer a gateway."""

    gateway: int
    begun_at: float
    ended_at: float = math.inf


@dataclass(frozen=True, slots=True)
class HostStart:
    """A media host that was started cold."""

    host: str
    at: float


@dataclass(slots=True, eq=False)
class ProcessLife:
    """One process of a gateway, from its start to its end."""

    gateway: int
    started_at: float
    serial: int
    """Serial of the host list in its configuration."""
    log: Path
    ready_at: float = math.inf
    terminated_at: float = math.inf
    """When it got SIGTERM."""
    earliest_kill_at: float = math.inf
    ended_at: float = math.inf
    killed_at: float = math.inf
    """When it got SIGKILL."""
    exit_code: int | None = None
    peak_memory_mb: float = 0.0
    peak_descriptors: int = 0


@dataclass(frozen=True, slots=True)
class SiteTerms:
    """The figures of the settings that the rules use; seconds where not said otherwise."""

    drain_grace: float
    budget_window: float
    budget_free: float
    budget_share: float
    cold: float
    fall: float
    setups_when_warm: float
    """Set-ups in `fall` seconds that overload a warm host."""
    start_capacity: float
    """Share of them that a host bears right after its start."""
    memory_mb: float
    descriptors: int


@dataclass(slots=True)
class Records:
    """All records of a run."""

    terms: SiteTerms
    links: list[ViewerLink] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    attempts: list[Attempt] = field(default_factory=list)
    ends: list[SessionEnd] = field(default_factory=list)
    changes: list[ListChange] = field(default_factory=list)
    lists_sent: list[ListSent] = field(default_factory=list)
    outages: list[Outage] = field(default_factory=list)
    starts: list[HostStart] = field(default_factory=list)
    lives: list[ProcessLife] = field(default_factory=list)
    ended_at: float = math.inf
    """When the run ended: what was due later is not judged."""
    lateness: float = 0.0
    """Most that the run's own event loop was late: the times of all records may be late by it."""
