"""The registry as gateways load it: bytes of one change of the host list to all that follow it.

The registry of the measurement is the stand-in, which is no part of the product, so its CPU is not taken.
"""

from __future__ import annotations

import threading
import time

import msgspec

from otterglade.net.http import Client
from otterglade.standins.registry import StandInRegistry

from .. import sites
from ..model import MISSING, Experiment, Metric, Reading, Resource, Role, Row
from ..size import MB, Size
from . import host_list

NAME = "registry"
MECHANISM = "`gateway/registry.py`: each gateway reads the registry itself"
HOSTS = 100
WITHIN = 20.0
READ_WAIT = 10.0

BYTES = Metric(NAME, "bytes", f"bytes sent for a change of one of {HOSTS} hosts", "B", "gateways")


def _put(client: Client, entry: sites.HostEntry) -> None:
    answer = client.exchange(
        b"PUT", f"/v1/hosts/{entry.id}".encode(), deadline=time.monotonic() + WITHIN,
        body=msgspec.json.encode(entry),
    )  # fmt: skip
    assert answer.status == 200, answer.status


def play(gateways: int) -> tuple[Reading, ...]:
    """So many readers wait for a change, and get it."""
    failures: list[tuple[str, BaseException]] = []
    registry = StandInRegistry(lambda name, error: failures.append((name, error)))
    registry.start()
    address = registry.listener.address
    entries = sites.host_entries(HOSTS)
    operator = Client(address, connect_limit=2.0)
    for entry in entries:
        _put(operator, entry)
    index = 1 + HOSTS
    received: list[int] = []

    def read() -> None:
        target = f"/v1/hosts?index={index}&wait={READ_WAIT}&client=gateway".encode()
        answer = Client(address, connect_limit=2.0).exchange(
            b"GET", target, deadline=time.monotonic() + WITHIN
        )
        received.append(len(answer.body))

    readers = [threading.Thread(target=read) for _ in range(gateways)]
    for reader in readers:
        reader.start()
    deadline = time.monotonic() + WITHIN
    while registry.listener.connections < gateways + 1 and time.monotonic() < deadline:
        time.sleep(0.01)
    _put(operator, msgspec.structs.replace(entries[0], state="draining"))
    for reader in readers:
        reader.join()
    registry.listener.stop_accepting()
    registry.listener.abort_all()
    assert len(received) == gateways, f"{len(received)} of {gateways} readers were answered"
    return (Reading(BYTES, gateways, float(sum(received))),)


def rows(size: Size) -> tuple[Row, ...]:
    gateways, changes = float(size.gateways), size.a_second(size.host_list_changes)
    hosts, often = float(size.media_hosts), f"{size.host_list_changes:,.0f} changes a day"
    return (
        Row(Resource.MESSAGES, f"a change of one of {HOSTS} hosts", BYTES, gateways, 1 / MB, "B to MB",
            "MB a change", MECHANISM),
        Row(Resource.MESSAGES, "a change to all gateways, all hosts", host_list.BYTES, hosts,
            size.gateways / MB, f"{size.gateways:,} gateways", "MB a change",
            f"{MECHANISM}; relays: {MISSING}"),
        Row(Resource.MESSAGES, "sent all day, all hosts", host_list.BYTES, hosts,
            size.gateways * changes / MB, f"{size.gateways:,} gateways, {often}", "MB/s",
            f"{MECHANISM}; differences: {MISSING}"),
    )  # fmt: skip


ROLE = Role(
    NAME, "Registry",
    (Experiment((BYTES,), play, (4, 16, 64, 128), (2, 4)),),
    rows,
)  # fmt: skip
