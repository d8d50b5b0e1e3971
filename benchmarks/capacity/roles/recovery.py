"""A gateway's start with and without its disk: CPU from the script's text until it takes viewers.

The registry is another process's thread and not counted. The hosts refuse connections, as after a power loss.
"""

from __future__ import annotations

import shutil
import tempfile
import time
from io import StringIO
from pathlib import Path

import msgspec

from otterglade.config.script import parse
from otterglade.gateway.daemon import Gateway
from otterglade.net.http import Client
from otterglade.obs.logs import logger
from otterglade.standins.registry import StandInRegistry

from .. import sites
from ..isolated import isolated
from ..model import Experiment, Limit, Metric, Reading, Resource, Role, Row
from ..size import CONFIGURATION_LIMIT, Size

NAME = "recovery"
MECHANISM = "`gateway/daemon.py`, `core/fleet/recovery.py`"
FEW_HOSTS = 12
FEW_TITLES = 20
REFUSING = "127.0.0.1:1"
WITHIN = 20.0
START_LIMIT = Limit(CONFIGURATION_LIMIT, "a change in force")

BY_TITLES_BARE = Metric(NAME, "cpu_by_titles_bare", "CPU of a start without its disk", "CPU s", "titles")
BY_TITLES_DISK = Metric(NAME, "cpu_by_titles_disk", "CPU of a start with its disk", "CPU s", "titles")
BY_HOSTS_BARE = Metric(NAME, "cpu_by_hosts_bare", "CPU of a start without its disk", "CPU s", "hosts")
BY_HOSTS_DISK = Metric(NAME, "cpu_by_hosts_disk", "CPU of a start with its disk", "CPU s", "hosts")


def start_once(text: str) -> float:
    """CPU seconds from a script's text until the gateway takes viewers; in a process of its own."""
    began = time.process_time()
    gateway = Gateway(parse(text), logger("error", "json", StringIO()))
    gateway.start()
    spent = time.process_time() - began
    gateway.stop()
    return spent


def _starts(hosts: int, titles: int) -> tuple[float, float]:
    """Without the disk, and then with it."""
    failures: list[tuple[str, BaseException]] = []
    registry = StandInRegistry(lambda name, error: failures.append((name, error)))
    registry.start()
    address = f"{registry.listener.address[0]}:{registry.listener.address[1]}"
    client = Client(registry.listener.address, connect_limit=2.0)
    for entry in sites.host_entries(hosts, REFUSING):
        client.exchange(
            b"PUT", f"/v1/hosts/{entry.id}".encode(), deadline=time.monotonic() + WITHIN,
            body=msgspec.json.encode(entry),
        )  # fmt: skip
    state = tempfile.mkdtemp(prefix="otterglade-capacity-")
    try:
        text = sites.script(hosts, titles, address, state)
        return isolated(start_once, text), isolated(start_once, text)
    finally:
        registry.listener.stop_accepting()
        registry.listener.abort_all()
        shutil.rmtree(Path(state), ignore_errors=True)


def play_titles(titles: int) -> tuple[Reading, ...]:
    bare, disk = _starts(FEW_HOSTS, titles)
    return Reading(BY_TITLES_BARE, titles, bare), Reading(BY_TITLES_DISK, titles, disk)


def play_hosts(hosts: int) -> tuple[Reading, ...]:
    bare, disk = _starts(hosts, FEW_TITLES)
    return Reading(BY_HOSTS_BARE, hosts, bare), Reading(BY_HOSTS_DISK, hosts, disk)


def rows(size: Size) -> tuple[Row, ...]:
    titles, hosts = float(size.titles), float(size.media_hosts)
    return (
        Row(Resource.CPU, "start, all titles, without its disk", BY_TITLES_BARE, titles, 1.0, "-", "CPU s",
            MECHANISM, START_LIMIT),
        Row(Resource.CPU, "start, all titles, with its disk", BY_TITLES_DISK, titles, 1.0, "-", "CPU s",
            MECHANISM, START_LIMIT),
        Row(Resource.CPU, "start, all hosts, without its disk", BY_HOSTS_BARE, hosts, 1.0, "-", "CPU s",
            MECHANISM, START_LIMIT),
        Row(Resource.CPU, "start, all hosts, with its disk", BY_HOSTS_DISK, hosts, 1.0, "-", "CPU s",
            MECHANISM, START_LIMIT),
    )  # fmt: skip


ROLE = Role(
    NAME, "Recovery: a gateway's start",
    (
        Experiment(
            (BY_TITLES_BARE, BY_TITLES_DISK), play_titles, (2_000, 10_000, 50_000, 100_000), (20, 40)
        ),
        Experiment((BY_HOSTS_BARE, BY_HOSTS_DISK), play_hosts, (12, 50, 100, 200), (4, 8)),
    ),
    rows,
)  # fmt: skip
