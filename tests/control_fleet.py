"""Control machines as processes on loopback, for tests: started, killed, stopped, waited for by events."""

from __future__ import annotations

import contextlib
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

from otterglade.core.distribution.messages import ProposeAnswer
from otterglade.core.distribution.placement import ControlMachine
from otterglade.core.distribution.revision import Change
from otterglade.gateway.distribution import proposing
from otterglade.gateway.distribution.envelope import Envelope
from otterglade.gateway.distribution.exchange import STATUS_PATH
from otterglade.gateway.distribution.files import RevisionFiles
from otterglade.net.http import Client, ExchangeError
from otterglade.obs.logs import logger

BOUND_SECONDS = 20.0
"""A wait this long means that the event never comes."""
POLL_SECONDS = 0.02
PORTS = range(10_000, 32_000)
KEY = bytes(range(32))
LEASE_SECONDS = 0.8
Line = dict[str, Any]


def until(condition: Callable[[], Any], what: str) -> Any:
    """Wait for a condition, and give its value."""
    deadline = time.monotonic() + BOUND_SECONDS
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < deadline, f"never came: {what}"
        time.sleep(POLL_SECONDS)


class FreePorts:
    """Ports that nobody has. They are below those that the system picks itself: one of these, once let go for
    a process that is about to start, could be picked for a socket of another test."""

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._sockets: list[socket.socket] = []

    def take(self, kind: socket.SocketKind) -> str:
        """An address of that kind."""
        while True:
            sock = socket.socket(socket.AF_INET, kind)
            try:
                sock.bind(("127.0.0.1", self._random.choice(PORTS)))
            except OSError:
                sock.close()
                continue
            self._sockets.append(sock)
            return f"127.0.0.1:{sock.getsockname()[1]}"

    def let_go(self) -> None:
        for sock in self._sockets:
            sock.close()


class Process:
    """One run of a control machine; its log lines are kept and can be waited for."""

    def __init__(self, name: str, config: Path) -> None:
        self.name = name
        self.lines: list[Line] = []
        self._changed = threading.Condition()
        self._child = subprocess.Popen(
            [sys.executable, "-m", "otterglade.cli.main", "control", "run", str(config)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self._child.stderr is not None
        for text in self._child.stderr:
            try:
                line = json.loads(text)
            except ValueError:
                line = {"event": "text", "text": text}
            with self._changed:
                self.lines.append(line)
                self._changed.notify_all()

    def ready(self) -> Line:
        """Wait for the line on standard output."""
        assert self._child.stdout is not None
        text = self._child.stdout.readline()
        assert text, f"{self.name} ended before it was ready: {self.lines[-3:]}"
        return dict(json.loads(text))

    def line(self, found: Callable[[Line], bool], what: str) -> Line:
        """Wait for a line of the log."""
        with self._changed:
            assert self._changed.wait_for(lambda: any(map(found, self.lines)), BOUND_SECONDS), what
            return next(filter(found, self.lines))

    def all(self, event: str) -> list[Line]:
        """Lines of an event so far."""
        with self._changed:
            return [x for x in self.lines if x.get("event") == event]

    def signal(self, number: signal.Signals) -> None:
        self._child.send_signal(number)

    def ended(self) -> int:
        """Wait for its end."""
        code = self._child.wait(BOUND_SECONDS)
        self._reader.join(BOUND_SECONDS)
        return code

    def kill(self) -> None:
        """End it at once, as `kill -9` does."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._child.pid, signal.SIGKILL)
        self._child.wait(BOUND_SECONDS)
        self._reader.join(BOUND_SECONDS)
        for stream in (self._child.stdout, self._child.stderr):
            if stream is not None:
                stream.close()


class ControlFleet:
    """Voters v0, v1, ... and relays r0, r1, ..., each with its configuration and folder."""

    def __init__(self, folder: Path, voters: int = 3, relays: int = 2) -> None:
        self.folder = folder
        self.envelope = Envelope({"lab": KEY}, "lab")
        ports = FreePorts()
        self.machines: list[dict[str, Any]] = []
        for number in range(voters + relays):
            voter = number < voters
            machine = {
                "name": f"v{number}" if voter else f"r{number - voters}",
                "address": ports.take(socket.SOCK_STREAM),
                "region": "east",
                "zone": f"z{number % 2}",
                "voter": voter,
                "peer_address": ports.take(socket.SOCK_DGRAM) if voter else "",
            }
            self.machines.append(machine)
        ports.let_go()
        self.addresses = {x["name"]: x["address"] for x in self.machines}
        self.voters = [x["name"] for x in self.machines if x["voter"]]
        self.relays = [x["name"] for x in self.machines if not x["voter"]]
        self.running: dict[str, Process] = {}
        self.all_runs: list[Process] = []
        self._clients = {x: Client((y.split(":")[0], int(y.split(":")[1])), 1.0) for x, y in
                         self.addresses.items()}  # fmt: skip
        for name in self.addresses:
            self.config_file(name).write_text(json.dumps(self.config(name)))

    def config_file(self, name: str) -> Path:
        return self.folder / f"{name}.json"

    def config(self, name: str) -> dict[str, Any]:
        return {
            "name": name, "folder": f"{name}.state", "keys": {"lab": KEY.hex()}, "sign_with": "lab",
            "machines": self.machines, "lease_s": LEASE_SECONDS, "log_level": "debug",
        }  # fmt: skip

    def state(self, name: str) -> Path:
        return self.folder / f"{name}.state"

    def head_on_disk(self, name: str) -> str:
        """The head that a machine would find on its disk if it were killed now, read from a copy."""
        with tempfile.TemporaryDirectory() as folder:
            copy = Path(folder) / "state"
            try:
                shutil.copytree(self.state(name), copy)
            except shutil.Error:
                return ""  # a file went while it was copied
            files, found = RevisionFiles.open(copy, logger("error"), lambda where, error: None)
            assert files.close(BOUND_SECONDS)
        if found.deltas:
            return str(found.deltas[-1].target)
        return "" if found.snapshot is None else str(found.snapshot.revision)

    def start(self, *names: str) -> None:
        """Start these, or all, and wait until each is ready."""
        started = [Process(x, self.config_file(x)) for x in names or self.addresses]
        for process in started:
            self.running[process.name] = process
            self.all_runs.append(process)
        for process in started:
            assert process.ready()["address"] == self.addresses[process.name]

    def kill(self, *names: str) -> None:
        for name in names:
            self.running.pop(name).kill()

    def end(self) -> None:
        for process in self.running.values():
            process.kill()

    def status(self, name: str) -> dict[str, Any]:
        """What a machine says; nothing where it does not answer."""
        try:
            answer = self._clients[name].exchange(b"GET", STATUS_PATH, deadline=time.monotonic() + 1.0)
        except ExchangeError:
            return {}
        return dict(json.loads(answer.body)) if answer.status == 200 else {}

    def writer(self, *among: str) -> str:
        """Wait until one of these is the writer."""
        names = among or tuple(self.voters)
        found = until(lambda: [x for x in names if self.status(x).get("role") == "writer"], "a writer")
        return str(found[0])

    def propose(self, key: str, value: str, *to: str) -> ProposeAnswer:
        """Propose one change until it is accepted or refused."""
        addresses = [self.addresses[x] for x in to or self.addresses]
        change = Change(key, value.encode())
        return proposing.propose([change], addresses, self.envelope, BOUND_SECONDS)

    def all_at(self, head: str, *names: str) -> set[str]:
        """Wait until these, or all that run, hold a revision; their digests."""
        wanted = names or tuple(self.running)
        return {
            until(lambda x=x: self._root_at(x, head), f"{x} at {head}; {self.status(x)}")  # type: ignore[misc]
            for x in wanted
        }

    def _root_at(self, name: str, head: str) -> str:
        told = self.status(name)
        return str(told["root"]) if told.get("head") == head else ""

    def contents(self) -> dict[str, set[str]]:
        """Which digests each revision was held with, by all runs."""
        found: dict[str, set[str]] = {}
        for process in self.all_runs:
            for line in process.all("revision"):
                found.setdefault(line["head"], set()).add(line["root"])
        return found

    def control_machines(self, *names: str) -> list[ControlMachine]:
        return [
            ControlMachine(x["name"], x["address"], x["region"], x["zone"], x["voter"])
            for x in self.machines
            if x["name"] in names
        ]


@contextlib.contextmanager
def control_fleet(folder: Path, voters: int = 3, relays: int = 2) -> Iterator[ControlFleet]:
    """A fleet that is started, and ended whatever happens."""
    folder.mkdir(exist_ok=True)
    fleet = ControlFleet(folder, voters, relays)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.end()
