"""The name service of a run: the host list, and an address for each gateway that can fail in several ways."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, replace
from enum import Enum
from typing import Any

from ...referee.platform_records import HostState, ListChange, ListSent, Outage, Records
from ...standins.dns_answers import SERVER_FAILURE, ListedHost, encode_list
from .ports import Address


class Service(Enum):
    """How the name service answers a gateway."""

    GOOD = "good"
    SILENT = "silent"
    DOWN = "down"
    """Its port is closed."""
    FAILING = "failing"
    OLD = "old"
    """It repeats an older list."""
    SLOW = "slow"
    """Its answers take a while and overtake each other, and some get lost."""


SLOW_SECONDS = (0.3, 1.49)
"""Range of the times that answers of a slow name service take; an event counts as told after 1.5 s."""
SLOW_SPREAD_SECONDS = 0.3
"""Range of these times while it is slow once."""
SLOW_LOST_SHARE = 0.1
"""Share of its answers that get lost."""


@dataclass(slots=True)
class HostEntry:
    """A host in the list; its address differs for each gateway."""

    name: str
    addresses: tuple[Address, ...]
    cell: int
    started_ms: int
    draining: bool = False


class HostList:
    """The current list with its serial."""

    def __init__(self, records: Records) -> None:
        self._records = records
        self.serial = 40
        self.entries: dict[str, HostEntry] = {}
        self.old: tuple[int, dict[str, HostEntry]] = (40, {})

    def change(self, entry: HostEntry, state: HostState) -> None:
        """Apply a change as the next numbered event."""
        self.old = (self.serial, {name: replace(x) for name, x in self.entries.items()})
        self.serial += 1
        entry.draining = state is HostState.DRAINING
        if state is HostState.GONE:
            self.entries.pop(entry.name, None)
        else:
            self.entries[entry.name] = entry
        self._records.changes.append(ListChange(self.serial, entry.name, state, time.time()))

    def known(self, gateway: int) -> dict[str, Any]:
        """The list as a configuration holds it for a gateway."""
        instances = [
            {"instanceId": x.name, "hostPort": "{}:{}".format(*x.addresses[gateway]), "zone": "east",
             "machineType": "std", "cell": x.cell, "lifecycle": "leaving" if x.draining else "active",
             "weight": 1.0, "startedAtMs": x.started_ms}
            for x in self.entries.values()
        ]  # fmt: skip
        topology = {"generation": self.serial, "reset": False, "instances": instances}
        return {"offset": self.serial, "batch": [{"offset": self.serial, "topology": topology}]}


class NameServer(asyncio.DatagramProtocol):
    """The name service at one gateway's address."""

    def __init__(self, gateway: int, hosts: HostList, records: Records, network: str) -> None:
        self._gateway, self._hosts, self._records = gateway, hosts, records
        self._host = f"{network}.{230 + gateway}"
        self._transport: asyncio.DatagramTransport | None = None
        self._outage: Outage | None = None
        self._chance = random.Random(gateway)
        self._least_delay = 0.0
        """Least seconds of an answer while it is slow."""
        self.service = Service.GOOD
        self.address: Address = ("", 0)

    async def open(self, port: int = 0) -> None:
        """Listen, at a new port if none is given."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(self._host, port))
        self._transport = transport
        self.address = transport.get_extra_info("sockname")

    def close(self) -> None:
        """Listen no more."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    async def set_service(self, service: Service) -> None:
        """Answer this way from now on."""
        if service is Service.DOWN:
            self.close()
        elif self._transport is None:
            await self.open(self.address[1])
        self.service = service
        self._least_delay = self._chance.uniform(*SLOW_SECONDS)
        now = time.time()
        if self._outage is not None:
            self._outage.ended_at = now
            self._outage = None
        if service not in (Service.GOOD, Service.SLOW):
            self._outage = Outage(self._gateway, now)
            self._records.outages.append(self._outage)

    async def move(self) -> None:
        """Answer at another port only, as a new configuration says; the gateway has to find it."""
        self.close()
        await self.open()
        now = time.time()
        self._records.outages.append(Outage(self._gateway, now, now))

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        """Answer a query."""
        if self._transport is None or self.service in (Service.SILENT, Service.DOWN):
            return
        now = time.time()
        if self.service is not Service.SLOW:
            self._answer(data, addr, self._transport, now)
        elif self._chance.random() >= SLOW_LOST_SHARE:
            drawn = self._least_delay + self._chance.uniform(0.0, SLOW_SPREAD_SECONDS)
            delay = min(drawn, SLOW_SECONDS[1])
            asyncio.get_running_loop().call_later(delay, self._answer, data, addr, self._transport, now)

    def _answer(
        self, data: bytes, addr: tuple[str | Any, int], transport: asyncio.DatagramTransport, asked_at: float
    ) -> None:
        """Send the list as it is now, unless the service has moved since."""
        if transport is not self._transport:
            return
        hosts, serial, flags = self._hosts.entries, self._hosts.serial, 0x8400
        if self.service is Service.OLD:
            serial, hosts = self._hosts.old
        if self.service is Service.FAILING:
            flags, hosts = SERVER_FAILURE, {}
        listed = [
            ListedHost(x.name, x.addresses[self._gateway], x.cell, x.draining, started_ms=x.started_ms)
            for x in hosts.values()
        ]
        transport.sendto(encode_list(data, serial, listed, flags), addr)
        if self.service is not Service.FAILING:
            self._records.lists_sent.append(ListSent(self._gateway, serial, time.time(), asked_at))
