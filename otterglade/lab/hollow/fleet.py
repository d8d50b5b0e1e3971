"""A running hollow fleet: its processes, how they are started, watched and ended."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from ...core.distribution.revision import RevisionId
from ...gateway.distribution.envelope import Envelope
from .control import ControlMachines
from .gateways import PROGRAM, GatewaysSpec, SubscriberPath
from .judge import Outage
from .layout import GATEWAYS_STARTED_PER_SECOND, Layout, zones
from .observer import AcceptedRevisions, Observer
from .processes import READY_SECONDS, Child, Children
from .proxy import ProxyCommand, ProxySpec, Route
from .records import Applied, ProcessSummary, Progress, TrafficRecord, read_applied
from .usage import Subject

PROXY_PROGRAM = "otterglade.lab.hollow.proxy"
PROXIES = 4
"""Processes that forward between zones and control machines while faults are played."""
START_GRACE_SECONDS = 60.0
"""Beyond the planned start, until all gateways must act on the first revision."""
LOOK_SECONDS = 0.25
KEY_NAME, KEY = "lab", b"of the hollow fleet alone"

Say = Callable[[str], None]


class FleetError(RuntimeError):
    """A fleet that could not be played to its end, with the reason."""


@dataclass(slots=True)
class Fleet:
    """A fleet that runs: its processes, and what is known of them."""

    layout: Layout
    folder: Path
    subscriber: SubscriberPath
    say: Say
    children: Children = field(init=False)
    machines: ControlMachines = field(init=False)
    envelope: Envelope = field(init=False)
    accepted: AcceptedRevisions = field(default_factory=AcceptedRevisions)
    progress: dict[str, Progress] = field(default_factory=dict)
    outages: list[Outage] = field(default_factory=list)
    played_faults: list[str] = field(default_factory=list)
    missed_faults: list[str] = field(default_factory=list)
    failures: list[str] = field(default_factory=list)
    _observers: list[Observer] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.children = Children(self.folder)
        self.envelope = Envelope({KEY_NAME: KEY}, KEY_NAME)
        self.machines = ControlMachines(self.layout, self.folder, KEY_NAME, KEY)

    def failed(self, name: str, error: BaseException) -> None:
        """A thread has ended with an exception."""
        self.failures.append(f"{name}: {error!r}")

    # Start

    def start_control(self) -> None:
        """Start the proxies, where there are any, and all control machines. Raises ProcessError, OSError."""
        if self.layout.faults:
            self._start_proxies()
        for name in self.machines.names:
            self.start_machine(name)
        deadline = time.monotonic() + READY_SECONDS
        for name in self.machines.names:
            self.children.running[name].wait_ready(deadline)

    def start_machine(self, name: str) -> None:
        """Start one control machine, without waiting for it."""
        self.children.start(name, *self.machines.arguments(name))

    def _start_proxies(self) -> None:
        places = [zone.name for zone in zones()]
        routes = [
            Route(zone, self.machines.port_from(zone, x.name), x.zone.name, self.machines.port_of(x.name))
            for zone in places
            for x in self.layout.machines()
        ]
        for number in range(PROXIES):
            path = self.folder / f"proxy-{number}.json"
            mine = tuple(x for x in routes if places.index(x.zone) % PROXIES == number)
            path.write_bytes(msgspec.json.encode(ProxySpec(mine, self.layout.seed * PROXIES + number)))
            child = self.children.start(f"proxy-{number}", PROXY_PROGRAM, str(path))
            child.wait_ready(time.monotonic() + READY_SECONDS)

    def start_observers(self) -> None:
        """Follow each voter."""
        for machine in self.layout.machines():
            if machine.voter:
                address = f"127.0.0.1:{self.machines.port_of(machine.name)}"
                observer = Observer(machine.name, address, self.envelope, self.accepted, self.failed)
                observer.start()
                self._observers.append(observer)

    def stop_observers(self) -> None:
        """Let them end."""
        for observer in self._observers:
            observer.stop()

    def start_gateways(self) -> None:
        """Start the processes of gateways one after another, and wait until all gateways act on a revision.
        Raises FleetError, ProcessError."""
        for number, group in enumerate(self.layout.groups()):
            path = self.folder / f"gateways-{number}.json"
            spec = GatewaysSpec(
                gateways=group,
                machines={zone.name: self.machines.seen_from(zone.name) for zone in zones()},
                key_name=KEY_NAME,
                key=KEY,
                seed=self.layout.seed * 1_000 + number,
                start_seconds=len(group) / GATEWAYS_STARTED_PER_SECOND,
                subscriber=self.subscriber,
                records=str(self.folder / f"gateways-{number}"),
            )
            path.write_bytes(msgspec.json.encode(spec))
            self.children.start(f"gateways-{number}", PROGRAM, str(path))
            time.sleep(len(group) / GATEWAYS_STARTED_PER_SECOND)
        deadline = time.monotonic() + START_GRACE_SECONDS
        while sum(x.holding for x in self.look().values()) < self.layout.gateways:
            if time.monotonic() > deadline:
                holding = sum(x.holding for x in self.progress.values())
                raise FleetError(f"{holding} of {self.layout.gateways} gateways act on the first revision")
            time.sleep(LOOK_SECONDS)

    # While it runs

    def gateway_children(self) -> list[Child]:
        """The processes of gateways."""
        return [x for name, x in self.children.running.items() if name.startswith("gateways-")]

    def look(self) -> dict[str, Progress]:
        """The latest progress of each process of gateways. Raises FleetError where one has ended."""
        for child in self.gateway_children():
            lines = child.new_lines()
            if lines:
                self.progress[child.name] = msgspec.json.decode(lines[-1], type=Progress)
            elif not child.running:
                raise FleetError(f"{child.name} has ended: {child.last_words()}")
        return self.progress

    def wait_in_force(self, revision: RevisionId, until: float) -> None:
        """Wait until all gateways act on this revision or a later one, or until a monotonic time."""
        while time.monotonic() < until:
            if all(x.lowest >= revision for x in self.look().values()):
                return
            time.sleep(LOOK_SECONDS)

    def command_proxies(self, command: ProxyCommand) -> None:
        """Have other faults of links from now on."""
        line = msgspec.json.encode(command)
        for name, child in self.children.running.items():
            if name.startswith("proxy-"):
                child.tell(line)

    def subjects(self) -> list[Subject]:
        """All processes that run now."""
        return [Subject(name, x.pid) for name, x in list(self.children.running.items()) if x.running]

    # End

    def end_gateways(self) -> list[ProcessSummary]:
        """Have the gateways end and write their records."""
        children = self.gateway_children()
        for child in children:
            child.end()
        summaries = []
        for number, child in enumerate(children):
            child.process.wait(READY_SECONDS)
            path = self.folder / f"gateways-{number}.summary.json"
            if not path.exists():
                raise FleetError(f"{child.name} left no records: {child.last_words()}")
            summaries.append(msgspec.json.decode(path.read_bytes(), type=ProcessSummary))
        return summaries

    def applied(self) -> dict[int, list[Applied]]:
        """What each gateway has recorded."""
        found: dict[int, list[Applied]] = {}
        for number in range(len(self.layout.groups())):
            for entry in read_applied(self.folder / f"gateways-{number}.applied"):
                found.setdefault(entry.gateway, []).append(entry)
        return found

    def traffic(self) -> list[TrafficRecord]:
        """Bytes of each gateway."""
        paths = [self.folder / f"gateways-{n}.traffic" for n in range(len(self.layout.groups()))]
        return [msgspec.msgpack.decode(x.read_bytes(), type=TrafficRecord) for x in paths]
