"""The host list in one gateway: sent whole by the registry at each change, decoded, told to the module."""

from __future__ import annotations

import tempfile
from pathlib import Path

from otterglade.core import messages as d
from otterglade.core.policy import Controller
from otterglade.core.session_manager import SessionManager
from otterglade.gateway.fleet import HostListCache, RegistryClock, decode_host_list, server_list

from .. import sites
from ..isolated import CpuTimer, resident_bytes
from ..model import CONTROL_LIMITS, MISSING, Charge, Experiment, Metric, Reading, Resource, Role, Row
from ..size import KB, MB, Size

NAME = "host_list"
MECHANISM = "`gateway/registry.py`: the whole list, a blocking read"
REPEATS = 3
TERMS = d.SessionLimits((5.0, 3.0), 0.1, 1 << 20)


def metric(name: str, what: str, unit: str) -> Metric:
    return Metric(NAME, name, what, unit, "hosts")


BYTES = metric("bytes", "bytes of a change", "B")
DECODE = metric("decode_cpu", "CPU to decode a list", "CPU s")
MODULE = metric("module_cpu", "CPU of the decision loop for a repeated list", "CPU s")
SAVE = metric("save_cpu", "CPU to keep the list on disk", "CPU s")
MEMORY = metric("memory", "memory of list and module", "B")


def play(hosts: int) -> tuple[Reading, ...]:
    """A first list, and then the same one again."""
    settings, clock = sites.settings(hosts), RegistryClock.now()
    data = sites.encoded(sites.host_entries(hosts))
    before = resident_bytes()
    listed = decode_host_list(data)
    manager = SessionManager(settings, Controller(settings, 1), TERMS, {"title": d.TitleLocation(0, 3)})
    manager.start(1000.0)
    manager.update_servers(1000.0, server_list(listed, clock))
    memory = resident_bytes() - before
    decoding, telling, saving = CpuTimer(), CpuTimer(), CpuTimer()
    with tempfile.TemporaryDirectory() as folder:
        for n in range(1, REPEATS + 1):
            with decoding:
                listed = decode_host_list(data)
            with telling:
                manager.update_servers(1000.0 + n, server_list(listed, clock))
            with saving:
                HostListCache(Path(folder)).save(listed)
    return (
        Reading(BYTES, hosts, len(data)),
        Reading(DECODE, hosts, decoding.seconds / REPEATS),
        Reading(MODULE, hosts, telling.seconds / REPEATS),
        Reading(SAVE, hosts, saving.seconds / REPEATS),
        Reading(MEMORY, hosts, memory),
    )


def rows(size: Size) -> tuple[Row, ...]:
    hosts = float(size.media_hosts)
    changes = size.a_second(size.host_list_changes)
    often = f"{size.host_list_changes:,.0f} changes a day"
    cpu = CONTROL_LIMITS[Resource.CPU]
    return (
        Row(Resource.STATE, "list and module", MEMORY, hosts, 1 / MB, "B to MB", "MB", "`gateway/fleet.py`",
            CONTROL_LIMITS[Resource.MEMORY], charged=Charge.CONTROL),
        Row(Resource.MESSAGES, "whole list at each change", BYTES, hosts, changes / KB, often, "KB/s",
            f"{MECHANISM}; differences: {MISSING}", CONTROL_LIMITS[Resource.MESSAGES],
            charged=Charge.CONTROL),
        Row(Resource.CPU, "decode", DECODE, hosts, 100 * changes, often, "% of a core",
            "`gateway/fleet.py`", cpu, charged=Charge.CONTROL),
        Row(Resource.CPU, "module, repeated list", MODULE, hosts, 100 * changes, often, "% of a core",
            "`core/session_manager.py`, `core/policy.py`", cpu, charged=Charge.CONTROL),
        Row(Resource.CPU, "keep on disk", SAVE, hosts, 100 * changes, often, "% of a core",
            "`gateway/fleet.py`", cpu, charged=Charge.CONTROL),
        Row(Resource.CPU, "decision loop held by a change", MODULE, hosts, 1000, "s to ms", "ms",
            "`core/policy.py`"),
    )  # fmt: skip


ROLE = Role(
    NAME, "Gateway, control: host list",
    (Experiment((BYTES, DECODE, MODULE, SAVE, MEMORY), play, (36, 360, 3_600, 12_000), (36, 72)),),
    rows,
)  # fmt: skip
