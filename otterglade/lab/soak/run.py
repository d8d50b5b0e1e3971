"""Plays one run: starts all parts, lets the faults of its plan happen, ends everything, and judges."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ...referee.platform_records import HostStart, HostState, Records
from ...referee.platform_rules import Finding, judge
from .discovery import HostEntry, HostList, NameServer, Service
from .hosts import PlatformHost
from .plan import MS_PER_SECOND, Kind, Plan
from .ports import Address, own_network
from .processes import FIRST_GATEWAY_OCTET, GatewayProcess
from .viewers import Audience, BadViewer, Viewer

DRAIN_SECONDS = (0.5, 2.0)
"""Range of the times from a drain to the host's end."""
FAULTY_SERVICES = (
    Service.SILENT, Service.DOWN, Service.FAILING, Service.OLD, Service.SLOW, Service.SLOW, Service.SLOW
)  # fmt: skip
"""How the name service fails; it is slow as often as it fails in most other ways together."""
SLOW_DRAINS_SECONDS = (1.0, 3.0)
"""Range of the times for which the name service stays slow after a drain began."""
LATENESS_POLL_SECONDS = 0.01
FIRST_FAULT_SECONDS = 1.0
SETTLE_SECONDS = 1.0
"""Seconds after the last request in which answers and releases still count."""


@dataclass(frozen=True, slots=True)
class Played:
    """A run that was played."""

    plan: Plan
    records: Records
    findings: tuple[Finding, ...]


def play(plan: Plan, folder: Path) -> Played:
    """Play a run; configurations and logs go into `folder`."""
    records = asyncio.run(_Run(plan, folder).play())
    return Played(plan, records, tuple(judge(records)))


class _Run:
    def __init__(self, plan: Plan, folder: Path) -> None:
        self._plan, self._folder = plan, folder
        self._records = Records(plan.terms())
        self._chance = random.Random(plan.seed * 7919)
        self._network = own_network()
        self._list = HostList(self._records)
        self._hosts: dict[str, PlatformHost] = {}
        self._entries: dict[str, HostEntry] = {}
        self._gateways: list[GatewayProcess] = []
        self._next_host = 0

    async def play(self) -> Records:
        """Play all of it; returns the records."""
        watch = asyncio.create_task(self._watch_lateness())
        try:
            for _ in range(self._plan.hosts):
                self._add_host(started=False)
            self._records.changes.clear()  # the first list is known from the start
            self._list.old = (self._list.serial, dict(self._list.entries))
            await self._start_gateways()
            await self._play_day()
            self._records.ended_at = time.time()
        finally:
            watch.cancel()
            for gateway in self._gateways:
                await gateway.kill()
                gateway.names.close()
            for host in self._hosts.values():
                host.die()
        return self._records

    async def _watch_lateness(self) -> None:
        while True:
            due_at = time.time() + LATENESS_POLL_SECONDS
            await asyncio.sleep(LATENESS_POLL_SECONDS)
            self._records.lateness = max(self._records.lateness, time.time() - due_at)

    async def _start_gateways(self) -> None:
        for number in range(self._plan.gateways):
            names = NameServer(number, self._list, self._records, self._network)
            await names.open()
            address = self._free_address(f"{self._network}.{FIRST_GATEWAY_OCTET + number}")
            self._gateways.append(
                GatewayProcess(number, self._plan, self._records, self._list, names, self._folder, address)
            )
        await asyncio.gather(*(x.start() for x in self._gateways))

    @staticmethod
    def _free_address(host: str) -> Address:
        with socket.create_server((host, 0)) as free:
            found: Address = free.getsockname()
            return found

    async def _play_day(self) -> None:
        audience = Audience(self._plan, self._records, self._gateways)
        until = time.time() + self._plan.seconds
        viewers = [Viewer(audience, random.Random(self._chance.random())) for _ in range(self._plan.viewers)]
        work: list[Coroutine[Any, Any, Any]] = [x.run(until) for x in viewers]
        work += [
            self._play_faults(kind, until, audience)
            for kind in sorted(self._plan.kinds, key=lambda x: x.value)
        ]
        if self._plan.crowd_at is not None:
            work.append(self._let_a_crowd_come(audience, self._plan.crowd_at))
        await asyncio.gather(*work)
        await asyncio.sleep(SETTLE_SECONDS)

    @staticmethod
    async def _let_a_crowd_come(audience: Audience, after: float) -> None:
        await asyncio.sleep(after)
        audience.crowd.set()
        await asyncio.sleep(1.0)
        audience.crowd.clear()

    async def _play_faults(self, kind: Kind, until: float, audience: Audience) -> None:
        await asyncio.sleep(self._chance.uniform(0.3, FIRST_FAULT_SECONDS))
        match kind:
            case Kind.SHUTDOWN:
                await self._restart_in_series(until, audience)
            case Kind.DISCOVERY:
                await self._disturb_discovery(until)
            case Kind.CLIENTS:
                bad = [BadViewer(self._gateways, random.Random(self._chance.random())) for _ in range(3)]
                await asyncio.gather(*(x.run(until) for x in bad))
            case Kind.NETWORK:
                await self._disturb_hosts(until)
            case Kind.PIECES:
                pass  # all messages are written in pieces

    # Hosts

    def _add_host(self, started: bool, addresses: list[Address] | None = None) -> None:
        name = f"h{self._next_host}"
        self._next_host += 1
        count = self._plan.gateways
        wanted = addresses or [(f"{self._network}.{1 + self._next_host % 190}", 0)] * count
        try:
            host = PlatformHost(name, self._plan, self._records, wanted, random.Random(self._chance.random()))
        except OSError:
            if addresses is None:
                raise
            return  # the old address is not free yet
        now = time.time()
        entry = HostEntry(
            name, host.addresses, self._next_host % 3, int(now * MS_PER_SECOND) if started else 0
        )
        self._hosts[name], self._entries[name] = host, entry
        self._list.change(entry, HostState.READY)
        if started:
            self._records.starts.append(HostStart(name, now))

    def _ready_hosts(self) -> list[PlatformHost]:
        return [self._hosts[x] for x, entry in self._list.entries.items() if not entry.draining]

    async def _replace(self, host: PlatformHost) -> None:
        """Drain a host, let it go, and start another one, at times at its address."""
        entry = self._entries[host.name]
        self._list.change(entry, HostState.DRAINING)
        await asyncio.sleep(self._chance.uniform(*DRAIN_SECONDS))
        host.die()
        self._list.change(entry, HostState.GONE)
        await asyncio.sleep(self._chance.uniform(0.0, 0.5))
        self._add_host(started=True, addresses=list(host.addresses) if self._chance.random() < 0.3 else None)

    async def _disturb_hosts(self, until: float) -> None:
        faults = (
            self._cut,
            self._vanish,
            self._die,
            self._freeze,
            self._reset,
            self._come_up_late,
            self._replace,
        )
        running: list[asyncio.Task[None]] = []
        while time.time() < until:
            ready = self._ready_hosts()
            if len(ready) > 3:
                fault = self._chance.choice(faults)
                running.append(asyncio.create_task(fault(self._chance.choice(ready))))
            await asyncio.sleep(self._chance.uniform(0.3, 1.5))
        await asyncio.gather(*running)

    async def _cut(self, host: PlatformHost) -> None:
        gateway = self._chance.randrange(self._plan.gateways)
        host.cut(gateway)
        await asyncio.sleep(self._chance.uniform(0.3, 3.0))
        host.heal(gateway)

    async def _freeze(self, host: PlatformHost) -> None:
        for gateway in range(self._plan.gateways):
            host.cut(gateway)
        await asyncio.sleep(self._chance.uniform(0.3, 2.0))
        for gateway in range(self._plan.gateways):
            host.heal(gateway)

    async def _come_up_late(self, host: PlatformHost) -> None:
        gateway = self._chance.randrange(self._plan.gateways)
        host.block_new(gateway)
        await asyncio.sleep(self._chance.uniform(0.1, 1.0))
        host.heal(gateway)

    async def _reset(self, host: PlatformHost) -> None:
        host.reset_all()

    async def _vanish(self, host: PlatformHost) -> None:
        host.vanish()
        await self._take_off_the_list(host)

    async def _die(self, host: PlatformHost) -> None:
        host.die()
        await self._take_off_the_list(host)

    async def _take_off_the_list(self, host: PlatformHost) -> None:
        await asyncio.sleep(self._chance.uniform(0.3, 2.0))
        self._list.change(self._entries[host.name], HostState.GONE)
        self._add_host(started=True)

    # Discovery

    async def _disturb_discovery(self, until: float) -> None:
        running: list[asyncio.Task[None]] = []
        while time.time() < until:
            gateway = self._chance.choice(self._gateways)
            service = self._chance.choice(FAULTY_SERVICES)
            await gateway.names.set_service(service)
            if self._chance.random() < 0.5:
                await self._reload(gateway, self._chance.randint(1, 3))
            await asyncio.sleep(self._chance.uniform(0.2, 3.0))
            ready = self._ready_hosts()
            if len(ready) > 3 and self._chance.random() < 0.7:
                running.append(asyncio.create_task(self._replace(self._chance.choice(ready))))
                await asyncio.sleep(self._chance.uniform(0.0, 0.3))
            if service is Service.SLOW:  # drains are told while it is
                await asyncio.sleep(self._chance.uniform(*SLOW_DRAINS_SECONDS))
            await gateway.names.set_service(Service.GOOD)
            await asyncio.sleep(self._chance.uniform(0.3, 1.0))
        await asyncio.gather(*running)

    async def _reload(self, gateway: GatewayProcess, times: int) -> None:
        """New configurations in quick succession, each with another address of the name service."""
        for _ in range(times):
            if not gateway.ready.is_set():
                return
            service = gateway.names.service
            await gateway.names.move()
            if service is Service.DOWN:
                await gateway.names.set_service(Service.DOWN)
            gateway.write_config()
            gateway.signal(signal.SIGHUP)
            await asyncio.sleep(self._chance.uniform(0.0, 0.3))

    # Shutdowns

    async def _restart_in_series(self, until: float, audience: Audience) -> None:
        while time.time() < until - 1.0:
            for gateway in self._chance.sample(self._gateways, len(self._gateways)):
                if time.time() < until - 1.0:
                    await self._restart(gateway, audience)
                    await asyncio.sleep(self._chance.uniform(0.0, 1.0))

    async def _restart(self, gateway: GatewayProcess, audience: Audience) -> None:
        if not gateway.ready.is_set():
            return
        if self._chance.random() < 0.1:
            await gateway.kill()
        else:
            if self._chance.random() < 0.3:
                await self._reload(gateway, 1)
            gateway.terminate()
            if self._chance.random() < 0.3:
                await asyncio.sleep(self._chance.uniform(0.0, 0.5))
                gateway.terminate()
                gateway.signal(signal.SIGHUP)
            await gateway.wait_or_kill()
        await asyncio.sleep(self._chance.uniform(0.1, 0.6))
        with contextlib.suppress(OSError):
            await gateway.start()
        await audience.hand_over(gateway)
