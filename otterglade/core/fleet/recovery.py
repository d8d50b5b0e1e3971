"""How a gateway comes back: what it takes to have happened, and in which order its service returns.

The danger is everyone returning at once: all hosts cold, all players in the same second, and each gateway
alone sees only that it was restarted. What happened is told from boots on disk, ages of runs and hosts'
epochs, never from a wall clock; a wrong guess costs time, and allows nothing.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum


class Start(Enum):
    """What has happened, as far as this gateway can tell."""

    FIRST = "first start: nothing on disk, and nobody knows this name"
    OWN = "own restart: others ran on"
    PART = "a part of the fleet started with this one"
    WHOLE = "the whole fleet started, hosts ran on"
    BLACKOUT = "the whole fleet and its hosts started"
    NEW_DISK = "an empty disk or an old one: others know a later start of this name"


class Phase(Enum):
    """How far it has come, in this order."""

    STORE = "reading the store"
    PEERS = "meeting peers"
    LIST = "waiting for the list of hosts"
    ATTEMPTS = "finding out open attempts"
    RETURNING = "serving viewers who had a session"
    PAID = "serving paid sessions"
    SERVICE = "in service"
    ASIDE = "standing aside: another process has this name"


class Event(Enum):
    READ = "store read"
    MET = "peers met"
    LISTED = "a list of hosts is there"
    FOUND = "attempts found out"
    QUIET = "nobody of this step's viewers came for a while"
    BOUND = "the step's time is up"
    SUPERSEDED = "a later start of this name is about"


_NEXT_OF = [Phase.STORE, Phase.PEERS, Phase.LIST, Phase.ATTEMPTS, Phase.RETURNING, Phase.PAID, Phase.SERVICE]
_OPENS = {
    Phase.STORE: Event.READ, Phase.PEERS: Event.MET, Phase.LIST: Event.LISTED, Phase.ATTEMPTS: Event.FOUND,
    Phase.RETURNING: Event.QUIET, Phase.PAID: Event.QUIET,
}  # fmt: skip
"""What ends each step; time ends all but the first, which is the disk's."""

NEXT: dict[tuple[Phase, Event], Phase] = {}
"""Every pair. Where an event comes in a phase that it does not end, the phase stays: peers may be met and
lists come at any time."""
for _phase in Phase:
    for _event in Event:
        _after = _phase
        if _phase is not Phase.ASIDE and _event is Event.SUPERSEDED:
            _after = Phase.ASIDE
        elif _phase in _OPENS and (
            _event is _OPENS[_phase] or (_event is Event.BOUND and _phase is not Phase.STORE)
        ):
            _after = _NEXT_OF[_NEXT_OF.index(_phase) + 1]
        NEXT[_phase, _event] = _after


@dataclass(frozen=True, slots=True)
class Bounds:
    """Seconds; each step ends by then, with what is not known taken for the more careful."""

    peers: float = 1.5
    listed: float = 2.0
    attempts: float = 10.0
    returning: float = 3.0
    paid: float = 3.0
    quiet: float = 0.7
    """Without a viewer of the step."""
    together: float = 30.0
    """Runs that began within so many seconds of this one count as started with it."""
    spread: float = 1.0
    """Who is turned away is told to come back within so many seconds more, drawn evenly."""

    def of(self, phase: Phase) -> float:
        return {
            Phase.PEERS: self.peers, Phase.LIST: self.listed, Phase.ATTEMPTS: self.attempts,
            Phase.RETURNING: self.returning, Phase.PAID: self.paid,
        }.get(phase, float("inf"))  # fmt: skip


def what_happened(
    boot: int, behind: int, ages: Mapping[str, float], own_age: float,
    hosts: tuple[int, int], bounds: Bounds,
) -> Start:  # fmt: skip
    """Which start this is. `ages`: seconds of the runs of peers that were met;
    `hosts`: of those whose run is known from before, how many there are and how many have started anew."""
    if behind:
        return Start.NEW_DISK
    young = sum(age < own_age + bounds.together for age in ages.values())
    if boot == 1 and young == len(ages):
        return Start.FIRST
    if young < len(ages):
        return Start.PART if young else Start.OWN
    if not ages:
        return Start.OWN
    known, anew = hosts
    return Start.WHOLE if known and 2 * anew <= known else Start.BLACKOUT  # not known: the more careful


ORDERED = {Start.BLACKOUT}
"""Starts after which viewers are served in order: with the hosts' room gone, who had a session goes first."""


class Returns:
    """One for a run of a gateway: its phase, and whom it takes. Belongs to the decision loop."""

    def __init__(self, now: float, seed: int, bounds: Bounds | None = None) -> None:
        self.bounds = bounds or Bounds()
        self.phase = Phase.STORE
        self.since = now
        self.start: Start | None = None
        self.history: list[tuple[Phase, float, str]] = []
        """Phases left, seconds in each, and what ended it."""
        self._random = random.Random(seed)
        self._last_of_step = now
        self.turned_away = 0

    def tell(self, now: float, event: Event) -> bool:
        """Something has come about; whether that ended a phase."""
        after = NEXT[self.phase, event]
        if after is self.phase:
            return False
        self.history.append((self.phase, now - self.since, event.value))
        self.phase, self.since, self._last_of_step = after, now, now
        if after in (Phase.RETURNING, Phase.PAID) and self.start not in ORDERED:
            self.phase = Phase.SERVICE
        return True

    def tick(self, now: float) -> bool:
        """Time has passed; whether that ended a phase."""
        if now - self.since >= self.bounds.of(self.phase):
            return self.tell(now, Event.BOUND)
        if now - self._last_of_step >= self.bounds.quiet:
            return self.tell(now, Event.QUIET)
        return False

    @property
    def in_order(self) -> bool:
        """Whether viewers are taken in order now."""
        return self.start in ORDERED and self.phase in (Phase.ATTEMPTS, Phase.RETURNING, Phase.PAID)

    def returned(self, now: float) -> None:
        """A viewer came with the address of a session that he had."""
        if self.phase is Phase.RETURNING:
            self._last_of_step = now

    def away(self, now: float, paid: bool, most: float) -> tuple[float, str] | None:
        """Whether a viewer without a session from before is turned away: when to come back, and why.

        `most`: the longest time that viewers honour. Told at once and spread, so that they do not all come
        back in one moment; None: he is taken.
        """
        if self.phase is Phase.ASIDE:
            return most, Phase.ASIDE.value
        if not self.in_order:
            return None
        if paid and self.phase is Phase.PAID:
            self._last_of_step = now
            return None
        self.turned_away += 1
        left = max(0.0, self.bounds.of(self.phase) - (now - self.since))
        later = min(most, max(0.2, min(left, self.bounds.quiet)) + self._random.random() * self.bounds.spread)
        return later, f"the fleet comes back: {self.phase.value}"
