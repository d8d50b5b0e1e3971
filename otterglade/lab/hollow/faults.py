"""What is done to a fleet, and when: drawn from a seed over the length of the run."""

from __future__ import annotations

import enum
import random
from collections.abc import Sequence

import msgspec

from .layout import Layout, LayoutError, Machine, zones

LOST_SHARE = 0.1
"""Share of exchanges that are lost while faults are played."""
ZONE_CUT_SECONDS = 30.0
STOPPED_SECONDS = 12.0
"""How long a stopped relay stands still."""
RESTART_SECONDS = 8.0
"""After which a killed machine is started again, as a supervisor would."""
LEAST_SECONDS = 90.0
"""A shorter run has no room for all faults."""
SETTLE_SECONDS = 5.0
"""Between the start and the first fault at least, and between the last one's end and the run's."""


class FaultKind(enum.Enum):
    """What is done."""

    KILL_RELAY = "kill_relay"
    STOP_RELAY = "stop_relay"
    KILL_WRITER = "kill_writer"
    CUT_ZONE = "cut_zone"


class Fault(msgspec.Struct, frozen=True):
    """One thing that is done, and undone after a time."""

    kind: FaultKind
    after: float
    """Seconds after the start of the changes."""
    seconds: float
    """Until it is undone: the machine started again or continued, the zone joined."""
    subject: str = ""
    """Name of the machine or zone; empty: whoever is the writer then."""

    @property
    def until(self) -> float:
        """Seconds after the start of the changes when it is undone."""
        return self.after + self.seconds


def draw_faults(layout: Layout) -> tuple[Fault, ...]:
    """The faults of a run, one of each kind, in its four quarters in a drawn order.

    The zone that is cut has no voter: the voters' datagrams to one another do not pass the proxy.
    Raises LayoutError where the run is too short.
    """
    if not layout.faults:
        return ()
    if layout.seconds < LEAST_SECONDS:
        raise LayoutError(
            f"seconds: found {layout.seconds:g}; allowed with faults: {LEAST_SECONDS:g} or more"
        )
    source = random.Random(f"faults {layout.seed}")
    kinds = list(FaultKind)
    source.shuffle(kinds)
    relays = [x.name for x in layout.machines() if not x.voter] or [layout.machines()[-1].name]
    killed, stopped = source.choice(relays), source.choice(relays)
    subjects = {
        FaultKind.KILL_RELAY: (killed, RESTART_SECONDS),
        FaultKind.STOP_RELAY: (stopped, STOPPED_SECONDS),
        FaultKind.KILL_WRITER: ("", RESTART_SECONDS),
        FaultKind.CUT_ZONE: (source.choice(zones_without_voter(layout.machines())), ZONE_CUT_SECONDS),
    }
    slack = layout.seconds - 2 * SETTLE_SECONDS - sum(seconds for _, seconds in subjects.values())
    faults = []
    at = SETTLE_SECONDS
    for kind in kinds:
        subject, seconds = subjects[kind]
        at += source.uniform(0.0, slack / len(kinds))
        faults.append(Fault(kind, at, seconds, subject))
        at += seconds
    return tuple(faults)


def zones_without_voter(machines: Sequence[Machine]) -> list[str]:
    """Names of zones in which no voter stands."""
    taken = {x.zone for x in machines if x.voter}
    return [x.name for x in zones() if x not in taken]
