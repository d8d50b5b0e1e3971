"""Versioned distribution as a gateway and a control machine bear it: bytes and CPU against the fleet's size.

Real control machines and hollow gateways, which run the shipped subscriber over sockets (`lab/hollow`), with
twenty times the changes of the users' day.
"""

from __future__ import annotations

from otterglade.lab.hollow.layout import CHANGES_PER_DAY, Layout
from otterglade.lab.hollow.play import play as play_fleet

from ..model import CONTROL_LIMITS, ONE_CORE, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import CONTROL_MACHINES, KB, Size

NAME = "distribution"
MECHANISM = "`core/distribution/subscriber.py`, `gateway/distribution/control.py`"
RELAYS = 3
"""Control machines of a play; all of them vote, one of them writes."""
SECONDS, DRAIN_SECONDS = 12.0, 4.0
PERCENT = 100.0

GATEWAY_BYTES = Metric(NAME, "gateway_bytes", "bytes a second of a gateway", "B/s", "gateways")
GATEWAY_CPU = Metric(NAME, "gateway_cpu", "CPU of a gateway", "% of a core", "gateways")
MACHINE_CPU = Metric(
    NAME, "machine_cpu", "CPU of the busiest control machine", "% of a core", "gateways a control machine"
)


def play(gateways_a_machine: int) -> tuple[Reading, ...]:
    """A fleet of so many gateways for each of its control machines."""
    gateways = gateways_a_machine * RELAYS
    layout = Layout(
        gateways=gateways, relays=RELAYS, seconds=SECONDS, seed=gateways, drain_seconds=DRAIN_SECONDS
    )
    result = play_fleet(layout, lambda text: None)
    shares = (result.relay_cpu_share_max, result.writer_cpu_share_max)
    busiest = max(share for share in shares if share is not None)
    assert result.cpu_share_max is not None, "gateways were watched"
    return (
        Reading(GATEWAY_BYTES, gateways, result.bytes_s_mean),
        Reading(GATEWAY_CPU, gateways, PERCENT * result.cpu_share_max),
        Reading(MACHINE_CPU, gateways_a_machine, PERCENT * busiest),
    )


def rows(size: Size) -> tuple[Row, ...]:
    """At the users' number of gateways; the changes are twenty times theirs."""
    gateways = float(size.gateways)
    often = f"{CHANGES_PER_DAY:,} changes a day"
    limits = CONTROL_LIMITS
    return (
        Row(Resource.MESSAGES, "deltas and acknowledgements", GATEWAY_BYTES, gateways, 1 / KB, often, "KB/s",
            MECHANISM, limits[Resource.MESSAGES], Charge.CONTROL),
        Row(Resource.CPU, "subscriber", GATEWAY_CPU, gateways, 1.0, often, "% of a core", MECHANISM,
            limits[Resource.CPU], Charge.CONTROL),
        Row(Resource.CPU, "control machine", MACHINE_CPU, gateways / CONTROL_MACHINES, 1.0,
            f"{CONTROL_MACHINES} control machines, {often}", "% of a core", MECHANISM, ONE_CORE),
    )  # fmt: skip


ROLE = Role(
    NAME, "Versioned distribution of configuration and host list",
    (Experiment((GATEWAY_BYTES, GATEWAY_CPU, MACHINE_CPU), play, (15, 30, 60, 120), (5, 10)),),
    rows,
)  # fmt: skip
