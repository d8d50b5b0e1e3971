"""State that the controller keeps of servers, links and sessions; no decisions are made here."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from . import interface as api

MAX_GONE_SERVERS = 256
"""Servers that have left the list and are still remembered, in case they come back."""
RETENTION_SECONDS = 60.0
"""How long amounts are kept; longer than any window over which they are summed."""
CUT_FACTOR = 1.25
"""Amounts are cut off once the oldest is so many times as old as they are kept."""
MAX_AMOUNTS = 2048
"""Amounts of one sum. The older half is merged in pairs above that: sums reach back by some note delays."""


class SlidingSum:
    """Amounts with their times, summed over a recent window.

    Its memory is limited however many amounts there are.
    """

    def __init__(self) -> None:
        self.times: list[float] = []
        self.amounts: list[float] = []

    def add(self, now: float, amount: float) -> None:
        """Record an amount. Times must not decrease."""
        self.times.append(now)
        self.amounts.append(amount)
        old = self._count_old(now)
        if old:
            del self.times[:old], self.amounts[:old]
        if len(self.times) > MAX_AMOUNTS:
            self._merge_older_half()

    def _count_old(self, now: float) -> int:
        """Entries to cut off: in batches, as deleting from the front moves all that remain."""
        if self.times[0] >= now - CUT_FACTOR * RETENTION_SECONDS:
            return 0
        return bisect_left(self.times, now - RETENTION_SECONDS)

    def _merge_older_half(self) -> None:
        """Merge the older amounts in pairs, each at the time of its later one."""
        pairs = len(self.times) // 4
        for index in range(pairs):
            self.times[index] = self.times[2 * index + 1]
            self.amounts[index] = self.amounts[2 * index] + self.amounts[2 * index + 1]
        del self.times[pairs : 2 * pairs], self.amounts[pairs : 2 * pairs]

    def since(self, time: float) -> float:
        """Sum of the amounts recorded after `time`."""
        return sum(self.amounts[bisect_right(self.times, time) :])


class SlidingCount(SlidingSum):
    """A sliding sum whose amounts are all 1, of which only the times are kept, each exactly."""

    def add(self, now: float, amount: float = 1.0) -> None:
        """Record an event. Times must not decrease."""
        self.times.append(now)
        old = self._count_old(now)
        if old:
            del self.times[:old]

    def since(self, time: float) -> float:
        """Number of events recorded after `time`."""
        return float(len(self.times) - bisect_right(self.times, time))


@dataclass(slots=True, eq=False)
class LinkUse:
    """Use of a server's link or a rack's uplink: the last reading and this gateway's own part in it."""

    capacity: float
    """kB per second; 0 if the link has no limit."""
    last_reading: float | None = None
    """Demand over capacity as last reported; None if it was never reported."""
    read_at: float = -math.inf
    own_rate_when_read: float = 0.0
    """This gateway's own rate at the time to which the reading refers, in kB per second."""
    own_rate: float = 0.0
    """Sum of the rates of this gateway's sessions, in kB per second."""
    rate_changes: SlidingSum = field(default_factory=SlidingSum)
    """Changes of the own rate."""
    reductions: SlidingSum = field(default_factory=SlidingSum)
    """Rate given up by steps down to cover short delivery."""
    sessions: dict[int, Session] = field(default_factory=dict)
    """This gateway's sessions on the link, by number."""
    step_up_after: float = -math.inf
    """No session on the link is stepped up before this time."""
    rounding_share: float = 1.0
    """Share of a step, 0 to 1, from which a remaining shortage is rounded up to a whole step."""
    rounding_drawn_at: float = -math.inf

    def add_rate(self, now: float, rate: float) -> None:
        """Record a change of this gateway's own rate."""
        self.own_rate += rate
        self.rate_changes.add(now, rate)

    def record_reading(self, value: float, now: float, lag: float) -> None:
        """Store a reading that arrives now and refers to `lag` seconds ago."""
        self.last_reading, self.read_at, self.own_rate_when_read = (
            value,
            now,
            self.own_rate - self.rate_changes.since(now - lag),
        )

    @property
    def own_rate_change(self) -> float:
        """Rate that this gateway has added since the last reading, in kB per second."""
        return self.own_rate - self.own_rate_when_read

    def estimate(self, default: float) -> float:
        """Demand over capacity: the last reading plus own changes since; `default` if there is no reading."""
        if self.last_reading is None or self.capacity <= 0:
            return default
        return max(0.0, self.last_reading + self.own_rate_change / self.capacity)


@dataclass(slots=True, eq=False)
class Session:
    """A session from its request to the end of its last attempt."""

    request: api.SessionRequest
    terms: api.SessionClass
    requested_at: float
    rung: int = 0
    rate: float = 0.0
    """Rate at its rung that counts on the server's link, in kB per second."""
    server: Server | None = None
    """Where an attempt is in flight or the session plays; None if neither."""
    tried: list[int] = field(default_factory=list)
    """Servers to which attempts were sent, in order."""
    awaited_probes: set[int] = field(default_factory=set)
    """Servers whose answer to a probe it waits for before one is chosen."""
    may_have_run: Server | None = None
    """Server of the first attempt that may have had an effect."""
    sent_at: float = -math.inf
    playing: bool = False
    viewer_left: bool = False
    playing_since: float = -math.inf

    @property
    def number(self) -> int:
        """Number of the session in the gateway's requests."""
        return self.request.session

    @property
    def top(self) -> int:
        """Highest rung that both its class and its viewer allow, at least the class's floor."""
        return max(self.terms.floor, min(self.request.top, self.terms.top))


@dataclass(slots=True, eq=False)
class Server:
    """State of one server as this gateway knows it."""

    entry: api.ServerEntry
    link: LinkUse
    uplink: LinkUse
    """Uplink of its rack; all servers of a rack share one object."""
    max_streams: float
    streams: float | None = None
    """Streams in its last load report; None if not reported."""
    cold_until: float = -math.inf
    """End of its slow start."""
    next_setup_at: float = -math.inf
    """Earliest time at which this gateway may send it a set-up during its slow start."""
    breaker_open_until: float = -math.inf
    breaker_trips: int = 0
    """Times that the circuit breaker has opened since the last success; 0 means closed."""
    errors: int = 0
    """Set-ups in a row that it answered with an error."""
    failed_at: float = -math.inf
    """When the last failure was counted."""
    trial: int | None = None
    """Session whose set-up tests the server while its breaker is half open."""
    busy_until: float = -math.inf
    """After a set-up was refused as busy, no set-up is sent before this time if another holder is free."""
    last_setup_at: float = -math.inf
    """A connection stays open for a while after a set-up and may be reused."""

    @property
    def sessions(self) -> dict[int, Session]:
        """This gateway's sessions on the server, by number."""
        return self.link.sessions

    def rate_at(self, session: Session, rung: int, settings: api.Settings) -> float:
        """Rate of a session on the link at a rung, in kB per second.

        A further viewer of a shared live stream adds less than the stream's full rate.
        """
        rate = settings.ladder[rung] * session.terms.scale
        if session.terms.live and settings.shared_adds < 1:
            stream = (session.request.class_no, session.request.title, rung)
            for other in self.sessions.values():
                if (
                    other is not session
                    and (other.request.class_no, other.request.title, other.rung) == stream
                ):
                    return rate * settings.shared_adds
        return rate

    def assign_session(self, session: Session, rung: int, now: float, settings: api.Settings) -> None:
        """Count a session, new to this server or not, at a rung."""
        self.link.sessions[session.number] = self.uplink.sessions[session.number] = session
        session.server = self
        self._set_rate(session, self.rate_at(session, rung, settings), now)
        session.rung = rung

    def remove_session(self, session: Session, now: float) -> None:
        """Stop counting a session on this server and its rack's uplink."""
        self._set_rate(session, 0.0, now)
        self.link.sessions.pop(session.number, None)
        self.uplink.sessions.pop(session.number, None)
        session.server = None

    def _set_rate(self, session: Session, rate: float, now: float) -> None:
        for use in (self.link, self.uplink):
            use.add_rate(now, rate - session.rate)
        session.rate = rate


class Fleet:
    """Servers of the current list, by id and by cell, with the means that weights are relative to.

    A cell is a group of servers that hold the same titles. A title is held by `request.holders` consecutive
    cells, starting with cell `request.home` and modulo the number of cells. A rack is a group of cells that
    share one uplink. (In `core/fleet/`, the fleet is the gateways.)
    """

    def __init__(self, settings: api.Settings) -> None:
        self.settings = settings
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []
        self.servers_by_cell: dict[int, list[Server]] = {}
        self.uplinks: dict[int, LinkUse] = {}
        """Uplinks by rack."""
        self.mean_streams = self.mean_link = 1.0

    def apply_list(self, event: api.ServerList) -> list[Server]:
        """Apply a list of servers, or changes to it. Returns the ready servers that have a start time."""
        restarted = []
        if event.complete:
            named = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.entry.server not in named:
                    server.entry = replace(server.entry, state=api.State.GONE)
        for entry in event.entries:
            server = self._server_of_entry(entry)
            if entry.state is api.State.READY and entry.started > 0:
                restarted.append(server)
            server.entry = entry
        self._discard_gone_servers()
        self.ready = [x for x in self.servers.values() if x.entry.state is api.State.READY]
        self.servers_by_cell = {}
        for server in self.ready:
            self.servers_by_cell.setdefault(server.entry.cell, []).append(server)
        self.mean_streams = _mean(x.max_streams for x in self.ready)
        self.mean_link = _mean(x.link.capacity for x in self.ready)
        return restarted

    def _discard_gone_servers(self) -> None:
        """Forget the oldest of too many gone servers, as memory would grow with each new server id."""
        gone = [x for x in self.servers.values() if x.entry.state is api.State.GONE and not x.sessions]
        for server in gone[: max(0, len(gone) - MAX_GONE_SERVERS)]:
            del self.servers[server.entry.server]

    def _server_of_entry(self, entry: api.ServerEntry) -> Server:
        known, settings = self.servers.get(entry.server), self.settings
        if known is not None and entry.started <= known.entry.started:
            return known
        rack = entry.cell % settings.racks
        if known is not None:  # the server was restarted: its readings no longer hold
            known.link.last_reading, known.streams = None, None
            return known
        max_streams = (
            settings.streams[min(entry.kind, len(settings.streams) - 1)] if settings.streams else math.inf
        )
        uplink = self.uplinks.setdefault(rack, LinkUse(settings.rack_link))
        server = Server(entry, LinkUse(settings.link_per_weight * (entry.weight or 1.0)), uplink, max_streams)
        return self.servers.setdefault(entry.server, server)

    def mean_link_use(self) -> float:
        """Mean of the last link readings of ready servers; 0.0 if there are none."""
        readings = [x.link.last_reading for x in self.ready if x.link.last_reading is not None]
        return sum(readings) / len(readings) if readings else 0.0

    def holders(self, request: api.SessionRequest) -> list[Server]:
        """The ready servers that hold the request's title, in the zones that it may use."""
        cells, zones = self.settings.cells, request.zones
        row = ((request.home + j) % cells for j in range(min(request.holders, cells)))
        found = [server for cell in row for server in self.servers_by_cell.get(cell, ())]
        return [x for x in found if x.entry.zone in zones] if zones else found


def _mean(values: Iterable[float]) -> float:
    """Mean of the values; 1.0 where it is zero or there are none, so that it can be divided by."""
    listed = list(values)
    return (sum(listed) / len(listed) if listed else 0.0) or 1.0
