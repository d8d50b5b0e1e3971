"""Recovery of a gateway after a start: which kind of start it was, and in which order service resumes.

After a power loss all hosts are cold and all players reconnect in the same second, while each gateway alone
sees only its own restart. The kind of start is derived from boots on disk, from the ages of other gateways'
runs and from the hosts' epochs, never from a wall clock. A wrong classification costs time; it never permits
anything that the right one would not.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class StartKind(Enum):
    """Kind of a start, as far as this gateway can tell; the values are shown in `/status` and logged."""

    FIRST = "first start: nothing on disk, and nobody knows this name"
    OWN_RESTART = "own restart: others ran on"
    PARTIAL_RESTART = "a part of the fleet started with this one"
    FLEET_RESTART = "the whole fleet started, hosts ran on"
    BLACKOUT = "the whole fleet and its hosts started"
    NEW_DISK = "an empty disk or an old one: others know a later start of this name"


class RecoveryPhase(Enum):
    """Phases of a recovery in their order; the values are sent to peers, logged and shown in `/status`."""

    STORE = "reading the store"
    PEERS = "meeting peers"
    LIST = "waiting for the list of hosts"
    ATTEMPTS = "finding out open attempts"
    RETURNING = "serving viewers who had a session"
    PAID = "serving paid sessions"
    SERVICE = "in service"
    STANDING_ASIDE = "standing aside: another process has this name"


class RecoveryEvent(Enum):
    """What may end a phase; the values are logged and shown in `/status`."""

    STORE_READ = "store read"
    PEERS_MET = "peers met"
    HOSTS_LISTED = "a list of hosts is there"
    ATTEMPTS_RESOLVED = "attempts found out"
    IDLE = "nobody of this step's viewers came for a while"
    TIMED_OUT = "the step's time is up"
    SUPERSEDED = "a later start of this name is about"


_PHASE_ORDER = [
    RecoveryPhase.STORE,
    RecoveryPhase.PEERS,
    RecoveryPhase.LIST,
    RecoveryPhase.ATTEMPTS,
    RecoveryPhase.RETURNING,
    RecoveryPhase.PAID,
    RecoveryPhase.SERVICE,
]
_ENDING_EVENT = {
    RecoveryPhase.STORE: RecoveryEvent.STORE_READ,
    RecoveryPhase.PEERS: RecoveryEvent.PEERS_MET,
    RecoveryPhase.LIST: RecoveryEvent.HOSTS_LISTED,
    RecoveryPhase.ATTEMPTS: RecoveryEvent.ATTEMPTS_RESOLVED,
    RecoveryPhase.RETURNING: RecoveryEvent.IDLE,
    RecoveryPhase.PAID: RecoveryEvent.IDLE,
}
"""The event that ends each phase. A time-out ends every phase but STORE, which takes as long as the disk."""

TRANSITIONS: dict[tuple[RecoveryPhase, RecoveryEvent], RecoveryPhase] = {}
"""Phase after an event, for every pair. An event that does not end the current phase leaves it unchanged, as
peers and host lists may arrive at any time."""
for _phase in RecoveryPhase:
    for _event in RecoveryEvent:
        _after = _phase
        if _phase is not RecoveryPhase.STANDING_ASIDE and _event is RecoveryEvent.SUPERSEDED:
            _after = RecoveryPhase.STANDING_ASIDE
        elif _phase in _ENDING_EVENT and (
            _event is _ENDING_EVENT[_phase]
            or (_event is RecoveryEvent.TIMED_OUT and _phase is not RecoveryPhase.STORE)
        ):
            _after = _PHASE_ORDER[_PHASE_ORDER.index(_phase) + 1]
        TRANSITIONS[_phase, _event] = _after


@dataclass(frozen=True, slots=True)
class PhaseTimeouts:
    """Time limits of the phases in seconds. At a time-out whatever is unknown is taken as the safer case."""

    peers: float = 1.5
    host_list: float = 2.0
    attempts: float = 10.0
    returning: float = 3.0
    paid: float = 3.0
    idle: float = 0.7
    """RETURNING and PAID end after this long without a viewer of the phase."""
    same_start_window: float = 30.0
    """Runs that began at most this long before this one count as started together with it."""
    retry_jitter: float = 1.0
    """Upper bound of the random delay added to a rejected viewer's retry time."""

    def for_phase(self, phase: RecoveryPhase) -> float:
        """Time limit of a phase; infinity for a phase without one."""
        return {
            RecoveryPhase.PEERS: self.peers,
            RecoveryPhase.LIST: self.host_list,
            RecoveryPhase.ATTEMPTS: self.attempts,
            RecoveryPhase.RETURNING: self.returning,
            RecoveryPhase.PAID: self.paid,
        }.get(phase, float("inf"))


def classify_start(
    boot: int, conflicting_boot: int, ages: Mapping[str, float], own_age: float,
    hosts: tuple[int, int], timeouts: PhaseTimeouts,
) -> StartKind:  # fmt: skip
    """The kind of this start.

    `conflicting_boot` is a later boot of this name that peers know, or 0. `ages` holds the age in seconds of
    the run of each peer met so far, and `own_age` that of this run. `hosts` counts the hosts whose epoch was
    known before this start, and those of them that have restarted since.
    """
    if conflicting_boot:
        return StartKind.NEW_DISK
    young = sum(age < own_age + timeouts.same_start_window for age in ages.values())
    if boot == 1 and young == len(ages):
        return StartKind.FIRST
    if young < len(ages):
        return StartKind.PARTIAL_RESTART if young else StartKind.OWN_RESTART
    if not ages:
        return StartKind.OWN_RESTART
    known, restarted = hosts
    # Without a known host a blackout is assumed, as the safer case.
    return StartKind.FLEET_RESTART if known and 2 * restarted <= known else StartKind.BLACKOUT


ORDERED_STARTS = {StartKind.BLACKOUT}
"""Starts after which viewers are admitted in order: host capacity is gone, so viewers who had a session go
first."""


class FleetRecovery:
    """Phase of one gateway run, and which viewers it admits meanwhile. Used on the decision loop only."""

    def __init__(self, now: float, seed: int, timeouts: PhaseTimeouts | None = None) -> None:
        self.timeouts = timeouts or PhaseTimeouts()
        self.phase = RecoveryPhase.STORE
        self.phase_started_at = now
        self.start_kind: StartKind | None = None
        self.history: list[tuple[RecoveryPhase, float, str]] = []
        """Completed phases, with the seconds spent in each and the event that ended it."""
        self._random = random.Random(seed)
        self._last_arrival_at = now
        self.turned_away = 0

    def handle_event(self, now: float, event: RecoveryEvent) -> bool:
        """Applies an event; returns whether it ended the phase."""
        after = TRANSITIONS[self.phase, event]
        if after is self.phase:
            return False
        self.history.append((self.phase, now - self.phase_started_at, event.value))
        self.phase, self.phase_started_at, self._last_arrival_at = after, now, now
        if after in (RecoveryPhase.RETURNING, RecoveryPhase.PAID) and self.start_kind not in ORDERED_STARTS:
            self.phase = RecoveryPhase.SERVICE
        return True

    def tick(self, now: float) -> bool:
        """Ends a phase whose time limit or idle time has passed; returns whether it did."""
        if now - self.phase_started_at >= self.timeouts.for_phase(self.phase):
            return self.handle_event(now, RecoveryEvent.TIMED_OUT)
        if now - self._last_arrival_at >= self.timeouts.idle:
            return self.handle_event(now, RecoveryEvent.IDLE)
        return False

    @property
    def admits_in_order(self) -> bool:
        """Whether viewers are admitted in order at present, those with an earlier session first."""
        return self.start_kind in ORDERED_STARTS and self.phase in (
            RecoveryPhase.ATTEMPTS,
            RecoveryPhase.RETURNING,
            RecoveryPhase.PAID,
        )

    def note_returning_viewer(self, now: float) -> None:
        """Records the arrival of a viewer with the address of an earlier session."""
        if self.phase is RecoveryPhase.RETURNING:
            self._last_arrival_at = now

    def deferral(self, now: float, paid: bool, max_retry_after: float) -> tuple[float, str] | None:
        """Seconds until a viewer without an earlier session may retry, with the reason; None: admitted now.

        The time is at most `max_retry_after`, the longest that viewers honour. It is randomised so that
        rejected viewers do not all retry at the same moment.
        """
        if self.phase is RecoveryPhase.STANDING_ASIDE:
            return max_retry_after, RecoveryPhase.STANDING_ASIDE.value
        if not self.admits_in_order:
            return None
        if paid and self.phase is RecoveryPhase.PAID:
            self._last_arrival_at = now
            return None
        self.turned_away += 1
        left = max(0.0, self.timeouts.for_phase(self.phase) - (now - self.phase_started_at))
        later = min(
            max_retry_after,
            max(0.2, min(left, self.timeouts.idle)) + self._random.random() * self.timeouts.retry_jitter,
        )
        return later, f"the fleet comes back: {self.phase.value}"
