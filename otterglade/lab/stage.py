"""A stage of separate processes on loopback: registry, hosts, gateways, players; each ended by its id."""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from ..config.script import parse
from ..core.fleet.messages import DatagramCodec
from ..net.http import Client, ExchangeError
from ..standins.host import Fault, HostSpec
from ..standins.player import PlayersSpec
from ..standins.record import Record
from ..standins.titles import TitleSpec
from . import power
from .links import Links

KEY = b"of the lab alone"
"""What the lab's gateways sign with."""
READY_IN = 30.0
"""Seconds that a process may take to say that it is ready."""


class StageError(RuntimeError):
    """A process of the stage did not come up, with what it said."""


@dataclass(frozen=True, slots=True)
class Layout:
    """What a stage is made of. Rates in kB a second, scaled to what loopback and one machine bear."""

    hosts: int = 6
    gateways: int = 1
    racks: int = 2
    ladder: tuple[float, ...] = (4.0, 8.0, 14.0, 24.0, 40.0)
    worth: tuple[float, ...] = (0.25, 0.47, 0.66, 0.83, 1.0)
    link: float = 200.0
    uplink_share: float = 0.75
    """A rack's uplink over its hosts' links together."""
    slots: int = 38
    titles: int = 6
    holders: int = 3
    title_seconds: float = 60.0
    segment: float = 1.0
    maps: bool = False
    """Titles have initialisation sections."""
    cold: float = 12.0
    start_capacity: float = 0.4
    overload_factor: float = 3.0
    fall: float = 3.0
    grace: float = 0.25
    budget: tuple[float, float, float] = (5.0, 3.0, 0.2)
    """Window, free, share."""
    refuses_from: float = 1.0
    by_probe: bool = True
    probes: bool = True
    classes: tuple[dict[str, Any], ...] = (
        {"name": "timelapse", "effect": "safe", "goal": 1.5, "patience": 5.0, "worth": 1.0},
        {"name": "sign-off", "effect": "unsafe", "goal": 1.0, "patience": 3.0, "worth": 2.0, "scale": 1.2,
         "floor": 1, "seats": 8},
    )  # fmt: skip
    class_share: tuple[float, ...] = (0.65, 0.35)
    peers: bool = False
    """Gateways speak to one another."""
    witnesses: int = 3
    late_list: float = 0.5
    """Seconds by which the registry's readers see changes late."""
    log: str = "info"
    voters: int = 0
    """Of duties, the first gateways by number; 0: there are no duties."""
    priorities: tuple[dict[str, Any], ...] = ()
    """Blocks of the script; with them viewers belong to accounts."""
    accounts: tuple[tuple[str, float], ...] = ()
    """Whose viewers come, and how often over one another."""
    regions: tuple[str, ...] = ()
    """Gateways and hosts belong to them in turn, a host by its zone."""

    rules: tuple[tuple[str, ...], ...] = ()
    """Of each region the blocks that its scripts may say, the first at the start."""

    def region_of(self, number: int) -> str:
        """Of a gateway or host; empty: there are no regions."""
        return self.regions[number % len(self.regions)] if self.regions else ""

    @property
    def title_names(self) -> tuple[str, ...]:
        return tuple(f"job-{n}" for n in range(self.titles))

    def title_specs(self) -> tuple[TitleSpec, ...]:
        holders = min(self.holders, self.hosts)
        return tuple(
            TitleSpec(
                name=x, seconds=self.title_seconds, maps=self.maps, home=n % self.hosts, holders=holders
            )
            for n, x in enumerate(self.title_names)
        )

    def script(
        self, name: str, registry: str, state_dir: str, listen: str, record: str = "",
        members: Mapping[str, str] | None = None, routing: str = "",
    ) -> str:  # fmt: skip
        """The configuration script of a gateway; `members`: the addresses of all for their datagrams;
        `routing`: its region's blocks."""
        voters = [f"g{n}" for n in range(self.voters)]
        speaks = (
            ""
            if members is None
            else (
                f"peers(listen = '127.0.0.1:0', members = {dict(members)}, witnesses = {self.witnesses},\n"
                f"      voters = {voters})\n"
                f"tokens(keys = {{'lab': '{KEY.hex()}'}}, sign_with = 'lab')\n"
            )
        )
        classes = "".join(f"session_class({_fields(x)})\n" for x in self.classes)
        priorities = "".join(f"priority({_fields(x)})\n" for x in self.priorities)
        window, free, share = self.budget
        links = self.link * self.hosts
        titles = [(x.name, x.home, x.holders) for x in self.title_specs()]
        return (
            f"site(name = 'stage', gateways = {self.gateways}, cells = {self.hosts}, racks = {self.racks},\n"
            f"     ladder = {list(self.ladder)}, ladder_worth = {list(self.worth)},\n"
            f"     streams = [{self.slots}],\n"
            f"     link_per_weight = {self.link}, rack_link = {links * self.uplink_share / self.racks},\n"
            f"     refuses_from = {self.refuses_from})\n"
            f"reports(names = ['x0', 'x1'], by_probe = {self.by_probe}, probes = {self.probes},\n"
            f"        note_delay = 0.4,"
            f" note_interval = {0.0 if self.by_probe else 2.0})\n"
            f"contract(grace = {self.grace}, cold = {self.cold}, start_capacity = {self.start_capacity},\n"
            f"         overload_factor = {self.overload_factor}, fall = {self.fall},\n"
            f"         budget_window = {window}, budget_free = {free}, budget_share = {share})\n"
            f"gateway(name = '{name}', listen = '{listen}', state_dir = '{state_dir}', record = '{record}')\n"
            f"registry(address = '{registry}', wait = 5.0, retry = 0.2)\n"
            f"limits(fetch_gap = 4.0)\n"
            f"log(level = '{self.log}')\n"
            f"{speaks}{classes}{priorities}{routing}"
            f"[title(name = n, home = h, holders = k) for n, h, k in {titles}]\n"
        )


def _fields(given: dict[str, Any]) -> str:
    return ", ".join(f"{k} = {v!r}" for k, v in given.items())


@dataclass(slots=True)
class Process:
    """A process of the stage that has said it is ready."""

    name: str
    child: subprocess.Popen[bytes]
    address: str

    def kill(self) -> None:
        """End it at once, by its id; it writes nothing more."""
        self.child.kill()
        self.child.wait()


PROGRAM = ("otterglade.cli.main",)
"""Module of the command line."""


@dataclass(slots=True)
class Stage:
    """Starts and ends the processes; the folder holds their records, configurations and logs."""

    layout: Layout
    folder: Path
    seed: int = 1
    conditions: str = ""
    """Conditions of the gateways, with commas between; NAME@NUMBER: of that one alone."""
    program: tuple[str, ...] = PROGRAM
    """Module that is run as a gateway, and what its arguments begin with: tests run one with faults."""
    listen: str = "127.0.0.1:0"
    """Of the first gateway."""
    processes: list[Process] = field(default_factory=list)
    registry: Process | None = None
    hosts: dict[int, Process] = field(default_factory=dict)
    gateways: dict[int, Process] = field(default_factory=dict)
    lives: dict[int, int] = field(default_factory=dict)
    frozen: set[int] = field(default_factory=set)
    """Gateways that stand still."""
    counted: bool = False
    """Gateways' disks count what is synced, so that the power can go."""
    routing: dict[str, str] = field(default_factory=dict)
    """Blocks of each region's scripts, as they stand now."""
    stopped: threading.Event = field(default_factory=threading.Event)
    listens: dict[int, str] = field(default_factory=dict)
    """What each gateway's script says of its address since its last start."""
    record: Record = field(init=False)
    links: Links | None = None
    registry_port: int = 0

    def __post_init__(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        self.record = Record(self.folder / "stage.jsonl")
        if self.layout.rules:
            self.routing = {x: y[0] for x, y in zip(self.layout.regions, self.layout.rules, strict=True)}
        if self.layout.peers:
            names = [f"g{n}" for n in range(self.layout.gateways)]
            self.links = Links(names, DatagramCodec({"lab": KEY}, "lab"), self.seed, self._links_failed)
            self.links.start()

    def _links_failed(self, thread: str, error: BaseException) -> None:
        self.record.write("links_failed", cause=f"{thread}: {error!r}")

    def _spawn(self, name: str, *arguments: str, program: tuple[str, ...] = PROGRAM) -> Process:
        out_path = self.folder / f"{name}.ready"
        with out_path.open("wb") as out, (self.folder / f"{name}.log").open("ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-m", *program, *arguments],
                stdin=subprocess.DEVNULL, stdout=out, stderr=log, env=os.environ | {"PYTHONHASHSEED": "0"},
            )  # fmt: skip
        process = Process(name, child, "")
        self.processes.append(process)
        return process

    def _ready(self, process: Process) -> Process:
        deadline = time.monotonic() + READY_IN
        path = self.folder / f"{process.name}.ready"
        while time.monotonic() < deadline:
            text = path.read_text()
            if text.endswith("\n"):
                process.address = json.loads(text.splitlines()[0])["address"]
                return process
            if process.child.poll() is not None:
                break
            time.sleep(0.01)
        said = (self.folder / f"{process.name}.log").read_text()[-2000:]
        raise StageError(f"{process.name}: not ready: {said}")

    def start(self) -> None:
        """Registry, hosts, gateways, each once the one before is ready."""
        self._start_registry()
        starting = [self._start_host(n, cold=False) for n in range(self.layout.hosts)]
        for number, process in enumerate(starting):
            self.hosts[number] = self._ready(process)
            self.list_host(number, "ready")
        time.sleep(self.layout.late_list + 0.1)
        for region in self.layout.regions:
            self.edition(region)
        begun = [self._start_gateway(n) for n in range(self.layout.gateways)]
        for number, process in enumerate(begun):
            self._gateway_up(number, process)

    def _start_registry(self) -> None:
        life = self.lives[-1] = self.lives.get(-1, 0) + 1
        self.registry = self._ready(
            self._spawn(
                f"registry-{life}", "standin", "registry", "--record",
                str(self.folder / ("registry.jsonl" if life == 1 else f"registry-{life}.jsonl")),
                "--late", str(self.layout.late_list), "--port", str(self.registry_port),
            )
        )  # fmt: skip
        self.registry_port = int(self.registry.address.rpartition(":")[2])

    def host_spec(self, number: int, cold: bool) -> HostSpec:
        layout = self.layout
        per_rack = layout.link * layout.hosts * layout.uplink_share / layout.racks
        return HostSpec(
            id=number, name=f"box-{number}", ladder=layout.ladder,
            scales={x["name"]: x.get("scale", 1.0) for x in layout.classes}, titles=layout.title_specs(),
            cells=layout.hosts, cell=number, link=layout.link, slots=layout.slots,
            rack_file=str(self.folder / f"rack-{number % layout.racks}"), rack_place=number // layout.racks,
            uplink=per_rack, refuses_from=layout.refuses_from, cold=layout.cold,
            start_capacity=layout.start_capacity, overload_factor=layout.overload_factor, fall=layout.fall,
            started_cold=cold, segment=layout.segment, by_probe=layout.by_probe,
            note_interval=0.0 if layout.by_probe else 2.0, record=str(self.folder / f"host-{number}.jsonl"),
            seed=self.seed * 1000 + number,
        )  # fmt: skip

    def _start_host(self, number: int, cold: bool) -> Process:
        life = self.lives[number] = self.lives.get(number, 0) + 1
        path = self.folder / f"host-{number}-{life}.json"
        path.write_bytes(msgspec.json.encode(self.host_spec(number, cold)))
        return self._spawn(f"host-{number}-{life}", "standin", "host", str(path))

    def _start_gateway(self, number: int) -> Process:
        life = self.lives[1000 + number] = self.lives.get(1000 + number, 0) + 1
        assert self.registry is not None, "started before"
        old = self.gateways.get(number)
        listen = old.address if old is not None else self.listen if number == 0 else "127.0.0.1:0"
        self.listens[number] = listen
        path = self.folder / f"gateway-{number}.star"
        state = self.folder / f"gateway-{number}.state"
        path.write_text(self._script(number, str(state), listen))
        name, options = f"gateway-{number}-{life}", self._options(number)
        return self._spawn(name, "run", str(path), *options, program=self.program)

    def _script(self, number: int, state: str, listen: str) -> str:
        assert self.registry is not None, "started before"
        members = None if self.links is None else self.links.members
        return self.layout.script(
            f"g{number}", self.registry.address, state, listen, members=members,
            routing=self.routing.get(self.layout.region_of(number), ""),
        )  # fmt: skip

    def _options(self, number: int) -> list[str]:
        here = [x.partition("@") for x in self.conditions.split(",") if x]
        mine = ",".join(name for name, _, at in here if at in ("", str(number)))
        return (["--conditions", mine] if mine else []) + (["--counted"] if self.counted else [])

    def _gateway_up(self, number: int, process: Process) -> None:
        self.gateways[number] = self._ready(process)
        said = json.loads((self.folder / f"{process.name}.ready").read_text().splitlines()[0])
        self.record.write("gateway_up", gateway=number, address=process.address, run=said["run"])

    # Troubles

    def list_host(self, number: int, state: str, started: float = 0.0) -> None:
        """Have the registry list a host."""
        assert self.registry is not None, "started before"
        entry = {
            "id": number, "name": f"box-{number}", "address": self.hosts[number].address, "state": state,
            "cell": number, "weight": 1.0, "kind": 0, "started": started,
            "zone": number % len(self.layout.regions) if self.layout.regions else 0,
        }  # fmt: skip
        self._call(self.registry.address, b"PUT", f"/v1/hosts/{number}", msgspec.json.encode(entry))

    def fault(self, address: str, kind: str, seconds: float = 0.0, value: float = 0.0) -> None:
        """Command a host or the registry."""
        self._call(address, b"POST", "/control", msgspec.json.encode(Fault(kind, seconds, value)))

    @staticmethod
    def _call(address: str, method: bytes, target: str, body: bytes) -> None:
        host, _, port = address.rpartition(":")
        client = Client((host, int(port)), 2.0)
        answer = client.exchange(method, target.encode(), deadline=time.monotonic() + 5.0, body=body)
        client.close_idle()
        if answer.status >= 300:
            raise StageError(f"{address}{target}: {answer.status} {answer.body!r}")

    def crash_host(self, number: int) -> None:
        self.record.write("host_killed", host=number)
        self.hosts[number].kill()

    def restart_host(self, number: int) -> None:
        """Bring a host back cold, listed with its new start."""
        process = self._ready(self._start_host(number, cold=True))
        self.hosts[number] = process
        self.list_host(number, "ready", time.time())

    def drain_host(self, number: int) -> None:
        self.list_host(number, "draining")

    def kill_gateway(self, number: int) -> None:
        self.record.write("gateway_down", gateway=number, address=self.gateways[number].address)
        self.gateways[number].kill()
        # A process with many threads takes its time to end, and its sockets take connections until then.
        self.record.write("gateway_gone", gateway=number, address=self.gateways[number].address)

    def stop_gateway(self, number: int) -> None:
        """Ask a gateway to stop, and wait until it has."""
        process = self.gateways[number]
        self.record.write("gateway_down", gateway=number, address=process.address, asked=True)
        process.child.send_signal(signal.SIGTERM)
        try:
            process.child.wait(20.0)
        except subprocess.TimeoutExpired:
            process.kill()
        self.record.write("gateway_gone", gateway=number, address=process.address)

    def restart_gateway(self, number: int) -> None:
        self._gateway_up(number, self._start_gateway(number))

    def freeze_gateway(self, number: int, frozen: bool) -> None:
        """Stop a gateway's process where it stands, or let it go on."""
        self.record.write("gateway_frozen" if frozen else "gateway_thawed", gateway=number)
        (self.frozen.add if frozen else self.frozen.discard)(number)
        process = self.gateways[number]
        if process.child.poll() is None:
            process.child.send_signal(signal.SIGSTOP if frozen else signal.SIGCONT)

    def status(self, number: int) -> dict[str, Any] | None:
        """What a gateway tells of itself; None: it does not answer at once."""
        process = self.gateways[number]
        if number in self.frozen or process.child.poll() is not None:
            return None
        host, _, port = process.address.rpartition(":")
        client = Client((host, int(port)), 0.3)
        try:
            answer = client.exchange(b"GET", b"/status", deadline=time.monotonic() + 0.5)
            return dict(msgspec.json.decode(answer.body))
        except (ExchangeError, msgspec.MsgspecError):
            return None
        finally:
            client.close_idle()

    def owner(self) -> int | None:
        """The gateway that owns a duty by its own word, of the latest term that is heard of; None: nobody."""
        found: tuple[int, int] | None = None
        for number in self.gateways:
            duties = ((self.status(number) or {}).get("fleet") or {}).get("duties") or {}
            for duty in (x for x in duties.get("duties", {}).values() if x["mine"]):
                found = max(found or (0, -1), (duty["term"], number))
        return None if found is None else found[1]

    def disk(self, number: int, trouble: power.Trouble) -> None:
        """Have something befall the next syncs of a gateway."""
        power.command(self.folder / f"gateway-{number}.state", trouble)

    def dies(self, number: int, within: float) -> bool:
        """Whether a gateway's process ended by itself in time; at its end it is killed."""
        self.record.write("gateway_down", gateway=number, address=self.gateways[number].address, asked=True)
        try:
            self.gateways[number].child.wait(within)
            return True
        except subprocess.TimeoutExpired:
            self.gateways[number].kill()
            return False
        finally:
            self.disk(number, power.Trouble())  # what it did not meet is not the next run's
            self.record.write("gateway_gone", gateway=number, address=self.gateways[number].address)

    def start_twin(self, number: int) -> Process:
        """A second process with a gateway's name, on an empty disk; players do not know of it."""
        life = self.lives[2000 + number] = self.lives.get(2000 + number, 0) + 1
        path = self.folder / f"twin-{number}-{life}.star"
        path.write_text(self._script(number, str(self.folder / f"twin-{number}-{life}.state"), "127.0.0.1:0"))
        process = self._spawn(f"twin-{number}-{life}", "run", str(path), *self._options(number))
        self.record.write("twin_up", gateway=number)
        return self._ready(process)

    def copy_disk(self, number: int) -> None:
        """Keep what is on a gateway's disk now; its process has ended."""
        shutil.copytree(self.folder / f"gateway-{number}.state", self.folder / f"gateway-{number}.old")

    def old_disk(self, number: int) -> None:
        """Put what was kept in place of the disk; its process has ended."""
        state = self.folder / f"gateway-{number}.state"
        shutil.rmtree(state)
        (self.folder / f"gateway-{number}.old").rename(state)

    def edition(self, region: str) -> None:
        """Note the routing part of a region's scripts, as they stand now, for the referee."""
        number = self.layout.regions.index(region)
        routing = parse(self._script(number, "state", "127.0.0.1:0")).routing()
        self.record.write("edition", region=region, digest=routing.digest, part=msgspec.to_builtins(routing))

    def reload(self, number: int) -> None:
        """Have a gateway read its script again, as it stands now."""
        path = self.folder / f"gateway-{number}.star"
        state = str(self.folder / f"gateway-{number}.state")
        path.write_text(self._script(number, state, self.listens[number]))
        self.record.write("gateway_reload", gateway=number, region=self.layout.region_of(number))
        self.gateways[number].child.send_signal(signal.SIGHUP)

    def power_loss(self, gateways: Iterable[int], hosts: Iterable[int], registry: bool) -> None:
        """At one instant all of these end, and what they had not synced is gone."""
        gateways, hosts = sorted(gateways), sorted(hosts)
        ended = [*(self.gateways[x] for x in gateways), *(self.hosts[x] for x in hosts)]
        if registry and self.registry is not None:
            ended.append(self.registry)
        self.record.write("power_loss", gateways=gateways, hosts=hosts, registry=registry)
        for number in hosts:
            self.record.write("host_killed", host=number)
        for number in gateways:
            self.record.write("gateway_down", gateway=number, address=self.gateways[number].address)
        for process in ended:
            process.child.kill()
        for process in ended:
            process.child.wait()
        draw = random.Random(self.seed)
        for number in gateways:
            self.record.write("gateway_gone", gateway=number, address=self.gateways[number].address)
            lost = power.lose(self.folder / f"gateway-{number}.state", draw)
            self.record.write("lost", gateway=number, what=lost)

    def power_back(self, gateways: Iterable[int], hosts: Iterable[int], registry: bool) -> None:
        """All of these start at once; hosts are cold and are listed as soon as the registry is there."""
        if registry:
            self._start_registry()
            for number in self.hosts:
                if number not in hosts:
                    self.list_host(number, "ready")
        begun = {n: self._start_host(n, cold=True) for n in hosts}
        starting = {n: self._start_gateway(n) for n in gateways}
        for number, process in begun.items():
            self.hosts[number] = self._ready(process)
            self.list_host(number, "ready", time.time())
        for number, process in starting.items():
            self._gateway_up(number, process)

    def players(self, spec: PlayersSpec) -> Process:
        path = self.folder / "players.json"
        path.write_bytes(msgspec.json.encode(spec))
        process = self._ready(self._spawn("players", "standin", "players", str(path)))
        self.record.write("players_up")
        return process

    def stop(self) -> dict[str, int]:
        """End everything; the exit code of each gateway that was asked to stop."""
        self.stopped.set()
        codes: dict[str, int] = {}
        for number, process in self.gateways.items():
            if process.child.poll() is None:
                self.record.write("gateway_stop", gateway=number, address=process.address)
                process.child.send_signal(signal.SIGTERM)
        for process in self.gateways.values():
            with contextlib.suppress(subprocess.TimeoutExpired):
                codes[process.name] = process.child.wait(20.0)
        for process in self.processes:
            if process.child.poll() is None:
                process.kill()
        if self.links is not None:
            self.links.stop()
        return codes
