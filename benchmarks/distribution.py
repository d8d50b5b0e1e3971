"""What a change of the configuration costs: whole lists read by every gateway against deltas by revision.

python -m benchmarks.distribution [--quick]

Both ways bring the same changes of one host, one at a time, to the same number of gateways, from the same
list of hosts. Whole lists: the registry with blocking reads, which each gateway reads anew at each change.
Deltas: three control machines, hollow gateways. Bytes are of a gateway; CPU seconds are of all processes of
the way together. Bytes of the whole lists leave out requests and heads, and so are a lower bound. Last, the
bytes of a gateway in a small and a large fleet.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from otterglade.core.distribution.revision import Change
from otterglade.lab.fleet import cost
from otterglade.lab.hollow.changes import HOSTS, host_change, initial_changes
from otterglade.lab.hollow.fleet import Fleet, FleetError
from otterglade.lab.hollow.gateways import SubscriberPath
from otterglade.lab.hollow.layout import GATEWAYS_PER_PROCESS, Layout
from otterglade.lab.hollow.play import play
from otterglade.lab.hollow.processes import READY_SECONDS, Child, Children
from otterglade.lab.hollow.proposer import Proposer
from otterglade.net.http import Client

from .common import address_of

SIZES, QUICK_SIZES = (100, 200, 400, 800), (100, 200)
CHANGES, QUICK_CHANGES = 10, 4
SPACING_SECONDS = 3.0
"""Between two changes: longer than a subscriber waits between two reads, so that none coalesce."""
SETTLE_SECONDS = 3.0
SCALE_SECONDS = 60.0
SMALL = Layout(gateways=200, relays=4, seconds=SCALE_SECONDS, seed=1)
LARGE = Layout(gateways=3_200, relays=36, seconds=SCALE_SECONDS, seed=1)
SEED = 1
STATES = ("draining", "ready")


@dataclass(frozen=True, slots=True)
class Cost:
    """Of one change."""

    bytes_per_gateway: float
    cpu_seconds: float


def say(text: str) -> None:
    """Tell what is being done, beside the figures."""
    print(text, file=sys.stderr, flush=True)


def used(children: Iterable[Child]) -> float:
    """Processor seconds of all processes so far."""
    return sum(cost(child.pid)[1] for child in children if child.running)


def planned(number: int) -> Change:
    """The number-th change."""
    return host_change(number % HOSTS, STATES[number % 2], number + 1)


def put_host(client: Client, change: Change) -> None:
    """Tell the registry of one host's entry."""
    entry = msgspec.json.decode(change.value or b"{}")
    full = entry | {"name": f"box-{entry['id']}", "weight": 1.0, "kind": 0, "zone": 0}
    target = f"/v1/hosts/{entry['id']}".encode()
    answer = client.exchange(b"PUT", target, deadline=time.monotonic() + 10.0, body=msgspec.json.encode(full))
    if answer.status != 200:
        raise SystemExit(f"registry: {answer.status}")


def whole_lists(count: int, changes: int) -> Cost:
    """Every gateway reads the whole list at each change."""
    with tempfile.TemporaryDirectory(prefix="otterglade-lists-") as name:
        children = Children(Path(name))
        try:
            return _whole_lists(children, count, changes)
        finally:
            children.end_all()


def _whole_lists(children: Children, count: int, changes: int) -> Cost:
    registry = children.start("registry", "otterglade.cli.main", "standin", "registry")
    address = json.loads(registry.wait_ready(time.monotonic() + READY_SECONDS))["address"]
    client = Client(address_of(address), 2.0)
    for change in initial_changes():
        if change.key.startswith("host/"):
            put_host(client, change)
    for first in range(0, count, GATEWAYS_PER_PROCESS):
        some = min(GATEWAYS_PER_PROCESS, count - first)
        children.start(f"readers-{first}", "benchmarks.list_readers", address, str(some), str(first))
    readers = [x for x in children.running.values() if x is not registry]
    wait_for_lists(readers, count)
    before, began = used(children.running.values()), time.monotonic()
    for number in range(changes):
        put_host(client, planned(number))
        time.sleep(max(0.0, began + (number + 1) * SPACING_SECONDS - time.monotonic()))
    spent = used(children.running.values()) - before
    read = lists_read(readers) - count
    if read < count * changes:
        raise SystemExit(f"whole lists: {read} read, {count * changes} expected: the figures prove nothing")
    answer = client.exchange(b"GET", b"/v1/hosts?index=-1", deadline=time.monotonic() + 10.0)
    return Cost(len(answer.body), spent / changes)


def lists_read(readers: Iterable[Child]) -> int:
    """Lists that all readers have taken so far, as of their latest lines."""
    time.sleep(SETTLE_SECONDS)
    return sum(int(reader.new_lines()[-1]) for reader in readers)


def wait_for_lists(readers: list[Child], count: int) -> None:
    """Wait until each gateway has a list."""
    deadline = time.monotonic() + READY_SECONDS
    while lists_read(readers) < count:
        if time.monotonic() > deadline:
            raise SystemExit("whole lists: the readers have not started in time")


def deltas(count: int, changes: int) -> Cost:
    """Every gateway reads the delta of each change."""
    with tempfile.TemporaryDirectory(prefix="otterglade-deltas-") as name:
        layout = Layout(gateways=count, relays=3, seconds=changes * SPACING_SECONDS, seed=SEED)
        fleet = Fleet(layout, Path(name), SubscriberPath(), say)
        try:
            return _deltas(fleet, changes)
        finally:
            fleet.children.end_all()


def _deltas(fleet: Fleet, changes: int) -> Cost:
    fleet.start_control()
    proposer = Proposer(fleet.machines, fleet.envelope, SEED, fleet.failed)
    if proposer.propose_now(initial_changes()) is None:
        raise FleetError(f"first configuration: {proposer.last_reason}")
    fleet.start_gateways()
    time.sleep(SETTLE_SECONDS)
    before, began = used(fleet.children.running.values()), time.monotonic()
    for number in range(changes):
        revision = proposer.propose_now((planned(number),))
        if revision is None:
            raise FleetError(f"change {number}: {proposer.last_reason}")
        fleet.wait_in_force(revision, time.monotonic() + READY_SECONDS)
        time.sleep(max(0.0, began + (number + 1) * SPACING_SECONDS - time.monotonic()))
    spent, ended = used(fleet.children.running.values()) - before, time.monotonic()
    fleet.end_gateways()
    total = 0
    for record in fleet.traffic():
        first, last = int(began - record.began), int(ended - record.began) + 1
        total += sum(sum(seconds[first:last]) for seconds in record.gateways.values())
    return Cost(total / fleet.layout.gateways / changes, spent / changes)


def main() -> None:
    """Measure, and end with one line of JSON."""
    quick = "--quick" in sys.argv[1:]
    sizes, changes = (QUICK_SIZES, QUICK_CHANGES) if quick else (SIZES, CHANGES)
    rows = []
    for count in sizes:
        whole, delta = whole_lists(count, changes), deltas(count, changes)
        row = {
            "gateways": count,
            "whole_bytes": round(whole.bytes_per_gateway),
            "delta_bytes": round(delta.bytes_per_gateway),
            "bytes_ratio": round(whole.bytes_per_gateway / delta.bytes_per_gateway, 1),
            "whole_cpu_s": round(whole.cpu_seconds, 4),
            "delta_cpu_s": round(delta.cpu_seconds, 4),
            "cpu_ratio": round(whole.cpu_seconds / delta.cpu_seconds, 2),
        }
        say(json.dumps(row))
        rows.append(row)
    result: dict[str, object] = {"per_change": rows}
    if not quick:
        small, large = play(SMALL, say), play(LARGE, say)
        result["bytes_s_mean"] = {x.gateways: x.bytes_s_mean for x in (small, large)}
        result["bytes_ratio_large_to_small"] = round(large.bytes_s_mean / small.bytes_s_mean, 3)
    print(json.dumps(result))


if __name__ == "__main__":
    main()
