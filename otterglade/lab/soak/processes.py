"""The gateway processes of a run and their supervisor: starts, signals, earliest kill, use of memory."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import sys
import time
from pathlib import Path

from ...referee.platform_records import ProcessLife, Records
from ...wire import rtsp
from .discovery import HostList, NameServer
from .plan import DESCRIPTORS, MEMORY_MB, Plan
from .ports import Address

MAX_COUNTED_DEADLINE_SECONDS = 3.0
"""A longer deadline counts as this one for the time of the kill."""
KILL_DELAY_SECONDS = 0.7
"""Seconds from the longest deadline, counted from SIGTERM, to the earliest SIGKILL."""
READY_POLL_SECONDS = 0.03
SAMPLE_SECONDS = 0.5
KB_PER_MB = 1024.0
FIRST_GATEWAY_OCTET = 200
TEST = rtsp.request(b"OPTIONS", b"rtsp://media/ping", [(b"CSeq", b"3"), (b"Session", b"0000000000000001")])


class GatewayProcess:
    """One gateway: its processes one after another, all at the same address."""

    def __init__(
        self, number: int, plan: Plan, records: Records, hosts: HostList, names: NameServer, folder: Path,
        address: Address,
    ) -> None:  # fmt: skip
        self.number, self.address = number, address
        self._plan, self._records, self._hosts, self.names = plan, records, hosts, names
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None
        self._watch: asyncio.Task[None] | None = None
        self.life: ProcessLife | None = None
        self.ready = asyncio.Event()

    @property
    def config_path(self) -> Path:
        """The file of its configuration."""
        return self._folder / f"gateway-{self.number}.json"

    def write_config(self) -> None:
        """Write its configuration, as of now."""
        config = {
            "name": f"n{self.number}",
            "listen": "{}:{}".format(*self.address),
            "seed": f"{self._plan.seed * 1009 + len(self._records.lives):016x}",
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
            "resolver": "{}:{}".format(*self.names.address),
            "known": self._hosts.known(self.number),
            "settings": self._plan.settings(),
        }
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    async def start(self) -> None:
        """Start a process; returns once it answers, or has ended."""
        self.write_config()
        log = self._folder / f"gateway-{self.number}-{len(self._records.lives)}.log"
        life = self.life = ProcessLife(self.number, time.time(), self._hosts.serial, log)
        self._records.lives.append(life)
        environment = {
            **os.environ,
            "BALANCER_CONFIG": str(self.config_path),
            "BALANCER_NAME": f"n{self.number}",
        }
        with log.open("wb") as out:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "otterglade.node", stdout=out, stderr=out, env=environment
            )
        self._watch = asyncio.create_task(self._watch_end(self._process, life))
        while life.ended_at > time.time() and not await self._answers():
            await asyncio.sleep(READY_POLL_SECONDS)
        life.ready_at = time.time()
        self.ready.set()

    async def _answers(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        try:
            writer.write(TEST)
            return bool(await asyncio.wait_for(reader.read(64), 2.0))
        except (OSError, TimeoutError):
            return False
        finally:
            writer.close()

    async def _watch_end(self, process: asyncio.subprocess.Process, life: ProcessLife) -> None:
        ended = asyncio.create_task(process.wait())
        while not ended.done():
            self._sample(process.pid, life)
            await asyncio.wait({ended}, timeout=SAMPLE_SECONDS)
        life.ended_at = time.time()
        life.exit_code = ended.result()
        self.ready.clear()

    @staticmethod
    def _sample(process_id: int, life: ProcessLife) -> None:
        with contextlib.suppress(OSError, StopIteration, ValueError):
            lines = Path(f"/proc/{process_id}/status").read_text().splitlines()
            memory = next(x for x in lines if x.startswith("VmRSS:")).split()[1]
            life.peak_memory_mb = max(life.peak_memory_mb, int(memory) / KB_PER_MB)
            life.peak_descriptors = max(life.peak_descriptors, len(os.listdir(f"/proc/{process_id}/fd")))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the running process."""
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def terminate(self) -> None:
        """Send SIGTERM; the first one sets the time of the earliest kill."""
        life = self.life
        if life is None or life.ended_at <= time.time():
            return
        self.signal(signal.SIGTERM)
        if life.terminated_at > time.time():
            life.terminated_at = time.time()
            deadline = min(self._plan.longest_deadline, MAX_COUNTED_DEADLINE_SECONDS)
            life.earliest_kill_at = life.terminated_at + deadline + KILL_DELAY_SECONDS

    async def wait_or_kill(self) -> None:
        """Wait for the end that SIGTERM asked for, until the earliest kill."""
        life = self.life
        assert life is not None and self._watch is not None, "started before"
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(self._watch), max(0.0, life.earliest_kill_at - time.time()))
        await self.kill()

    async def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self._process is not None and self._process.returncode is None:
            assert self.life is not None
            self.life.killed_at = time.time()
            self.signal(signal.SIGKILL)
        if self._watch is not None:
            await self._watch
