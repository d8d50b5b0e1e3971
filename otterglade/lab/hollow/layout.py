"""Who is in a hollow fleet: regions, zones, control machines, gateways, and the processes that hold them."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

ZONES_PER_REGION = (3, 3, 3, 3, 2)
"""Zones of each region; 14 in all."""
MOST_VOTERS = 5
FEW_VOTERS = 3
RELAYS_FOR_MOST_VOTERS = 8
"""Control machines from which on five of them vote instead of three."""
GATEWAYS_PER_PROCESS = 200
GATEWAYS_STARTED_PER_SECOND = 100
"""Rate at which gateways of the whole fleet start, so that the start itself does not take the machine."""
DRAIN_SECONDS = 22.0
"""A little longer than the time after which a change is late."""
CHANGES_PER_DAY = 20 * 5_700
"""Twenty times the changes of an ordinary day."""


class LayoutError(ValueError):
    """A fleet that can't be played; the text names what was found and what is allowed."""


class Zone(msgspec.Struct, frozen=True):
    """A failure domain within a region."""

    region: str
    name: str


class Machine(msgspec.Struct, frozen=True):
    """A control machine: where it stands and whether it votes."""

    name: str
    zone: Zone
    voter: bool


class Gateway(msgspec.Struct, frozen=True):
    """A hollow gateway; its number identifies it in the records."""

    number: int
    name: str
    zone: Zone


def zones() -> tuple[Zone, ...]:
    """All zones, region by region in turn, so that the first five stand in five regions."""
    longest = max(ZONES_PER_REGION)
    return tuple(
        Zone(f"region-{region}", f"zone-{region}-{place}")
        for place in range(longest)
        for region, count in enumerate(ZONES_PER_REGION)
        if place < count
    )


@dataclass(frozen=True, slots=True)
class Layout:
    """How many take part, for how long, and what is done to them."""

    gateways: int
    relays: int
    seconds: float
    seed: int
    changes_per_day: float = CHANGES_PER_DAY
    faults: bool = False
    drain_seconds: float = DRAIN_SECONDS
    """After the last change, at most, until it must be in force everywhere."""

    def __post_init__(self) -> None:
        if self.relays < FEW_VOTERS:
            raise LayoutError(f"relays: found {self.relays}; allowed: {FEW_VOTERS} or more")
        if self.gateways < 1:
            raise LayoutError(f"gateways: found {self.gateways}; allowed: 1 or more")

    @property
    def voters(self) -> int:
        """Control machines that vote: the first ones."""
        return MOST_VOTERS if self.relays >= RELAYS_FOR_MOST_VOTERS else FEW_VOTERS

    def machines(self) -> tuple[Machine, ...]:
        """All control machines, spread over the zones."""
        places = zones()
        return tuple(
            Machine(f"control-{number:02d}", places[number % len(places)], number < self.voters)
            for number in range(self.relays)
        )

    def all_gateways(self) -> tuple[Gateway, ...]:
        """All hollow gateways, spread over the zones."""
        places = zones()
        return tuple(
            Gateway(number, f"hollow-{number:04d}", places[number % len(places)])
            for number in range(self.gateways)
        )

    def groups(self) -> tuple[tuple[Gateway, ...], ...]:
        """The gateways of each process."""
        gateways = self.all_gateways()
        return tuple(
            gateways[first : first + GATEWAYS_PER_PROCESS]
            for first in range(0, len(gateways), GATEWAYS_PER_PROCESS)
        )

    @property
    def start_seconds(self) -> float:
        """How long the gradual start of all gateways takes."""
        return self.gateways / GATEWAYS_STARTED_PER_SECOND
