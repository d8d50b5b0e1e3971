"""The hosts' utilization as one number that gateways can compare: load at the lowest rungs over capacity.

Rungs are chosen by the placement module. While sessions run above their lowest allowed rung ("floor"),
capacity can still be freed, so no session is rejected for it: utilization counts all active sessions as if
they were at their floors. A gateway knows the rungs of its own sessions only; as all gateways run the same
module, the sessions of the others are assumed to be distributed over rungs alike.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..interface import Settings
from ..state import Fleet


@dataclass(frozen=True, slots=True)
class HostUtilization:
    """Utilization of the hosts as one gateway estimates it."""

    utilization: float
    """Load at floors over capacity: the highest of links, uplinks and stream slots."""
    host_count: int
    """Hosts with readings; 0: the utilization is unknown."""


UNKNOWN_UTILIZATION = HostUtilization(0.0, 0)


def host_utilization(now: float, fleet: Fleet, settings: Settings) -> HostUtilization:
    """Estimate the utilization from the hosts' reports.

    Cold hosts are left out unless all are cold: their capacity is not available yet, and the module decides
    how fast they are filled.
    """
    warm = [x for x in fleet.ready if x.cold_until <= now] or fleet.ready
    reporting = [x for x in warm if x.link.last_reading is not None]
    if not reporting:
        return UNKNOWN_UTILIZATION
    limit = min(settings.refuses_from or 1.0, 1.0)
    rate = floor_rate = 0.0
    for server in reporting:
        for session in server.sessions.values():
            rate += session.rate
            floor_rate += min(session.rate, settings.ladder[session.terms.floor] * session.terms.scale)
    floor_share = floor_rate / rate if rate > 0 else 1.0
    utilizations = []
    for uses in ([x.link for x in reporting], list({id(x.uplink): x.uplink for x in reporting}.values())):
        measured = [x for x in uses if x.last_reading is not None and x.capacity > 0]
        size = sum(x.capacity for x in measured)
        if size > 0:
            utilizations.append(
                floor_share / limit * sum(x.estimate(0.0) * x.capacity for x in measured) / size
            )
    slot_use = [(x.streams, x.max_streams) for x in reporting if x.streams is not None]
    if slot_use:
        utilizations.append(sum(x for x, _ in slot_use) / sum(x for _, x in slot_use))
    return HostUtilization(max(utilizations, default=0.0), len(reporting))
