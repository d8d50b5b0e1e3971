"""A process of hollow gateways: each runs the shipped subscriber and records what it acts upon.

python -m otterglade.lab.hollow.gateways SPEC.json: runs until SIGTERM, says its progress on standard output
each second, and writes its records at the end.
"""

from __future__ import annotations

import importlib
import signal
import sys
import threading
import time
from pathlib import Path

import msgspec

from ...core.distribution.placement import ControlMachine
from ...core.distribution.revision import GENESIS, Change, RevisionId
from ...core.distribution.subscriber import Subscriber
from ...gateway.distribution.client import SubscriberClient
from ...gateway.distribution.envelope import Envelope
from ...net.threads import spawn
from ...obs.logs import Log, logger
from .layout import Gateway
from .records import Applied, AppliedLog, ProcessSummary, Progress, Traffic, TrafficRecord

PROGRAM = "otterglade.lab.hollow.gateways"
PROGRESS_SECONDS = 1.0
CLOSE_SECONDS = 5.0
"""For all subscribers' threads to end."""


class SubscriberPath(msgspec.Struct, frozen=True):
    """Where the class of the subscribers is; the shipped one, but for tests of the judge."""

    module: str = "otterglade.core.distribution.subscriber"
    name: str = "Subscriber"

    def load(self) -> type[Subscriber]:
        """The class. Raises ImportError, AttributeError."""
        found: type[Subscriber] = getattr(importlib.import_module(self.module), self.name)
        return found


class GatewaysSpec(msgspec.Struct, frozen=True):
    """What a process of hollow gateways is started with."""

    gateways: tuple[Gateway, ...]
    machines: dict[str, tuple[ControlMachine, ...]]
    """The control machines as each zone reaches them."""
    key_name: str
    key: bytes
    seed: int
    start_seconds: float
    """Over which the gateways start, evenly."""
    subscriber: SubscriberPath
    records: str
    """Path of the records, without a suffix."""


class HollowGateway:
    """One gateway: a subscriber with its client, and what it acts upon."""

    def __init__(self, gateway: Gateway, spec: GatewaysSpec, group: GatewayGroup) -> None:
        self.in_force = GENESIS
        self.traffic = Traffic(group.began)
        self._number, self._applied = gateway.number, group.applied
        self._counted = 0
        """Bytes counted so far."""
        self._subscriber = spec.subscriber.load()(
            gateway.name,
            f"{spec.seed}-{gateway.number}",
            spec.machines[gateway.zone.name],
            gateway.zone.region,
            gateway.zone.name,
            time.monotonic(),
            spec.seed * 10_000 + gateway.number,
        )
        self.client = SubscriberClient(
            self._subscriber,
            group.envelope,
            on_applied=self._on_applied,
            log=group.log,
            on_failure=group.failed,
        )

    def _on_applied(self, revision: RevisionId, changes: tuple[Change, ...], whole: bool) -> None:
        """From here on the gateway acts upon this revision."""
        self._applied.add(Applied(self._number, revision, self._subscriber.store.root, time.monotonic()))
        self.in_force = revision

    def count_traffic(self, now: float) -> None:
        """Count the bytes exchanged since the last call."""
        total = self.client.bytes_in + self.client.bytes_out
        self.traffic.add(now, total - self._counted)
        self._counted = total


class GatewayGroup:
    """All hollow gateways of this process."""

    def __init__(self, spec: GatewaysSpec) -> None:
        self.began = time.monotonic()
        self.applied = AppliedLog()
        self.envelope = Envelope({spec.key_name: spec.key}, spec.key_name)
        self.log: Log = logger("error")
        self._spec = spec
        self._gateways: dict[int, HollowGateway] = {}
        self._failures: list[str] = []

    def failed(self, name: str, error: BaseException) -> None:
        """A thread has ended with an exception."""
        self._failures.append(f"{name}: {error!r}")

    def start(self, asked_to_end: threading.Event) -> None:
        """Start all gateways, evenly over the time given, saying progress meanwhile."""
        count = len(self._spec.gateways)
        next_progress = self.began
        for place, gateway in enumerate(self._spec.gateways):
            asked_to_end.wait(self.began + place * self._spec.start_seconds / count - time.monotonic())
            if asked_to_end.is_set():
                return
            hollow = HollowGateway(gateway, self._spec, self)
            hollow.client.start()
            self._gateways[gateway.number] = hollow
            if time.monotonic() >= next_progress:
                self.tick()
                next_progress = time.monotonic() + PROGRESS_SECONDS

    def tick(self) -> None:
        """Count traffic and say progress."""
        now = time.monotonic()
        for hollow in self._gateways.values():
            hollow.count_traffic(now)
        in_force = [x.in_force for x in self._gateways.values()]
        holding = sum(x > GENESIS for x in in_force)
        progress = Progress(len(in_force), holding, min(in_force, default=GENESIS))
        print(msgspec.json.encode(progress).decode(), flush=True)

    def end(self) -> None:
        """End all gateways and write the records. Raises OSError."""
        for hollow in self._gateways.values():
            hollow.client.stop()
        deadline = time.monotonic() + CLOSE_SECONDS
        open_clients = sum(
            not x.client.closed(max(0.0, deadline - time.monotonic())) for x in self._gateways.values()
        )
        if open_clients:
            self._failures.append(f"{open_clients} subscribers did not end in {CLOSE_SECONDS:g} s")
        base = self._spec.records
        self.applied.write(Path(f"{base}.applied"))
        traffic = TrafficRecord(self.began, {x: y.traffic.seconds() for x, y in self._gateways.items()})
        Path(f"{base}.traffic").write_bytes(msgspec.msgpack.encode(traffic))
        summary = ProcessSummary(self.applied.lost, self._failures)
        Path(f"{base}.summary.json").write_bytes(msgspec.json.encode(summary))


def _until_parent_ends(asked_to_end: threading.Event) -> None:
    """Whoever started this process holds its standard input open."""
    sys.stdin.buffer.read()
    asked_to_end.set()


def main() -> None:
    """Run until SIGTERM or SIGINT."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=GatewaysSpec)
    asked_to_end = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: asked_to_end.set())
    group = GatewayGroup(spec)
    spawn("parent", lambda: _until_parent_ends(asked_to_end), group.failed)
    group.start(asked_to_end)
    while not asked_to_end.wait(PROGRESS_SECONDS):
        group.tick()
    group.end()


if __name__ == "__main__":
    main()
