"""The catalogue in one gateway: every title stands in the script, which is read whole at start and reload."""

from __future__ import annotations

import resource

from otterglade.config.script import parse
from otterglade.core import messages as d
from otterglade.gateway.lifecycle import needs_restart

from .. import sites
from ..isolated import CpuTimer, resident_bytes
from ..model import CONTROL_LIMITS, MISSING, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import MB, Size

NAME = "catalogue"
SCRIPT = "`config/script.py`: the whole script"
HOSTS = 36
KIB = 1024.0


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "titles")


BYTES = metric("script_bytes", "bytes of the script", "B")
READ = metric("read_cpu", "CPU to read and check the script", "CPU s")
RELOAD = metric("reload_cpu", "CPU of a reload that changes nothing", "CPU s")
MEMORY = metric("memory", "memory kept for the catalogue", "B")
PEAK = metric("peak", "highest memory while the script is read twice", "B")


def play(titles: int) -> tuple[Reading, ...]:
    """A start's reading of the script, and a reload's."""
    parse(sites.script(HOSTS, 1))
    text = sites.script(HOSTS, titles)
    before = resident_bytes()
    reading, reloading = CpuTimer(), CpuTimer()
    with reading:
        config = parse(text)
        places = {x.name: d.TitleLocation(x.home, x.holders) for x in config.titles}
        offered = frozenset(x.name for x in config.titles)
    memory = resident_bytes() - before
    with reloading:
        again = parse(text)
        needs_restart(config, again)
        again.routing()
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB - before
    assert len(places) == len(offered) == titles
    return (
        Reading(BYTES, titles, len(text)),
        Reading(READ, titles, reading.seconds),
        Reading(RELOAD, titles, reloading.seconds),
        Reading(MEMORY, titles, memory),
        Reading(PEAK, titles, peak),
    )


def rows(size: Size) -> tuple[Row, ...]:
    titles, changes = float(size.titles), size.a_second(size.changes)
    memory = CONTROL_LIMITS[Resource.MEMORY]
    often = f"{size.changes:,} changes a day"
    distributed = f"a file and SIGHUP on each gateway; distribution: {MISSING}"
    return (
        Row(Resource.STATE, "script", BYTES, titles, 1 / MB, "B to MB", "MB", SCRIPT),
        Row(Resource.MEMORY, "catalogue", MEMORY, titles, 1 / MB, "B to MB", "MB",
            "`gateway/daemon.py`, `core/session_manager.py`", memory, charged=Charge.CONTROL),
        Row(Resource.MEMORY, "highest, at a reload", PEAK, titles, 1 / MB, "B to MB", "MB", SCRIPT, memory),
        Row(Resource.MESSAGES, "script sent whole at each change", BYTES, titles, changes / 1000, often,
            "KB/s", distributed, CONTROL_LIMITS[Resource.MESSAGES]),
        Row(Resource.CPU, "reload at each change", RELOAD, titles, 100 * changes, often, "% of a core",
            f"{SCRIPT}; titles in service: {MISSING}", CONTROL_LIMITS[Resource.CPU], charged=Charge.CONTROL),
        Row(Resource.CPU, "one reading", READ, titles, 1.0, "-", "CPU s", SCRIPT),
    )  # fmt: skip


ROLE = Role(
    NAME, "Gateway, control: catalogue and reload of the script",
    (Experiment((BYTES, READ, RELOAD, MEMORY, PEAK), play, (2_000, 20_000, 100_000, 620_000), (20, 40)),),
    rows,
)  # fmt: skip
