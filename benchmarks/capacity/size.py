"""The users' size as named constants, the limits that they set, and what follows from both."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_A_DAY = 86_400.0
KB = 1_000.0
"""Bytes: the users' limits are decimal."""
MB = 1_000_000.0

CONTROL_CPU_LIMIT = 2.5
"""Percent of one core that control may cost a gateway."""
CONTROL_MEMORY_LIMIT = 256.0
"""MB that control may cost a gateway."""
CONTROL_BYTES_LIMIT = 14.0
"""KB a second that control may cost a gateway."""
CONTROL_MACHINES = 36
DELIVERY_LIMIT = 0.480
"""Seconds within which 99 of 100 deliveries are due."""
CONFIGURATION_LIMIT = 18.0
"""Seconds within which a change of configuration is in force everywhere."""


@dataclass(frozen=True, slots=True)
class Size:
    """A deployment. The defaults are the users' figures; the last fields are parameters they did not give."""

    gateways: int = 3_200
    connections: int = 240_000_000
    titles: int = 620_000
    largest_title_viewers: int = 4_900_000
    deliveries: float = 63_000_000.0
    """Segments a second."""
    regions: int = 5
    zones: int = 14
    changes: int = 5_700
    """Changes of configuration a day."""
    failed: int = 14
    """Machines that fail on an ordinary day."""
    restarted: int = 410
    """Machines that are restarted or replaced on an ordinary day."""
    media_hosts: int = 2_000
    """Parameter: not given by the users."""
    session_minutes: float = 30.0
    """Parameter: mean length of a session; not given by the users."""
    paid_share: float = 0.1
    """Parameter: share of set-ups that are charged for; not given by the users."""

    @property
    def viewers(self) -> float:
        """Connections of a gateway."""
        return self.connections / self.gateways

    @property
    def segments(self) -> float:
        """Segment requests a second of a gateway."""
        return self.deliveries / self.gateways

    @property
    def setups(self) -> float:
        """Session set-ups a second of a gateway, if as many begin as end."""
        return self.viewers / (60.0 * self.session_minutes)

    @property
    def paid_setups(self) -> float:
        return self.setups * self.paid_share

    @property
    def sessions_a_host(self) -> float:
        return self.connections / self.media_hosts

    @property
    def host_list_changes(self) -> float:
        """Changes of the host list a day: every configuration change may be one; a machine that fails, is
        restarted or replaced leaves the list and comes back."""
        return self.changes + 2.0 * (self.failed + self.restarted)

    def a_second(self, a_day: float) -> float:
        return a_day / SECONDS_A_DAY


USERS_SIZE = Size()
