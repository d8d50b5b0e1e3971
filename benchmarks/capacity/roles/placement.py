"""Decisions of one gateway: CPU of the module and the session manager for a set-up, by hosts and sessions."""

from __future__ import annotations

from ...decisions import run
from ..model import ONE_CORE, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import Size

NAME = "placement"
MECHANISM = "`core/policy.py`, `core/session_manager.py`"
COUNT = 400
FEW_SESSIONS = 200
FEW_HOSTS = 150
MILLISECONDS = 1000.0

BY_HOSTS = Metric(NAME, "cpu_by_hosts", f"CPU of a set-up, {FEW_SESSIONS} sessions held", "CPU ms", "hosts")
BY_SESSIONS = Metric(NAME, "cpu_by_sessions", f"CPU of a set-up, {FEW_HOSTS} hosts", "CPU ms", "sessions")


def play_hosts(hosts: int) -> tuple[Reading, ...]:
    return (Reading(BY_HOSTS, hosts, MILLISECONDS * run(hosts, COUNT, FEW_SESSIONS)),)


def play_sessions(sessions: int) -> tuple[Reading, ...]:
    return (Reading(BY_SESSIONS, sessions, MILLISECONDS * run(FEW_HOSTS, COUNT, sessions)),)


def rows(size: Size) -> tuple[Row, ...]:
    rate = f"{size.setups:.1f} set-ups a second, ms to %"
    return (
        Row(Resource.CPU, "one set-up, many hosts", BY_HOSTS, float(size.media_hosts), 1.0, "-", "ms",
            MECHANISM),
        Row(Resource.CPU, "one set-up, all viewers' sessions held", BY_SESSIONS, size.viewers, 1.0, "-",
            "ms", MECHANISM),
        Row(Resource.CPU, "set-ups a second", BY_SESSIONS, size.viewers, size.setups / 10, rate,
            "% of a core", MECHANISM, ONE_CORE, Charge.VIEWERS),
    )  # fmt: skip


ROLE = Role(
    NAME, "Gateway, viewers: decisions",
    (
        Experiment((BY_HOSTS,), play_hosts, (36, 360, 3_600, 12_000), (12, 24)),
        Experiment((BY_SESSIONS,), play_sessions, (200, 1_000, 4_000, 12_000), (50, 100)),
    ),
    rows,
)  # fmt: skip
