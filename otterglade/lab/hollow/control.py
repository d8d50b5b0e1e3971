"""The control machines of a hollow fleet: their ports and their configuration files."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from ...core.distribution.placement import ControlMachine
from ...gateway.distribution.config import ControlConfig, control_machine
from ...gateway.distribution.config import Machine as ConfiguredMachine
from .layout import Layout, Machine, zones
from .ports import free_ports

PROGRAM = ("otterglade.cli.main", "control", "run")
"""Module and arguments, to which the file of the configuration is added."""


@dataclass(frozen=True, slots=True)
class MachinePorts:
    """Where one control machine listens."""

    readers: int
    """For HTTP."""
    peers: int
    """For datagrams of voters."""


class ControlMachines:
    """All control machines, as each zone reaches them."""

    def __init__(self, layout: Layout, folder: Path, key_name: str, key: bytes) -> None:
        """Choose the ports. With faults, each zone reaches each machine by a port of a proxy."""
        self._folder, self._key_name, self._key = folder, key_name, key
        self._machines = {x.name: x for x in layout.machines()}
        ports = iter(free_ports(2 * len(self._machines)))
        self._ports = {name: MachinePorts(next(ports), next(ports)) for name in self._machines}
        self._proxied: dict[tuple[str, str], int] = {}
        if layout.faults:
            pairs = [(zone.name, name) for zone in zones() for name in self._machines]
            taken = {port for x in self._ports.values() for port in (x.readers, x.peers)}
            self._proxied = dict(zip(pairs, free_ports(len(pairs), taken), strict=True))

    @property
    def names(self) -> tuple[str, ...]:
        """Of all machines."""
        return tuple(self._machines)

    @property
    def voters(self) -> tuple[str, ...]:
        """Names of those that vote."""
        return tuple(x.name for x in self._machines.values() if x.voter)

    def port_of(self, name: str) -> int:
        """Where a machine itself listens for HTTP."""
        return self._ports[name].readers

    def port_from(self, zone: str, name: str) -> int:
        """Where a zone reaches a machine."""
        return self._proxied.get((zone, name), self.port_of(name))

    def name_at(self, address: str) -> str:
        """The machine that is reached there, directly or by a proxy; empty: none is."""
        port = int(address.rpartition(":")[2])
        by_port = {x.readers: name for name, x in self._ports.items()}
        by_port |= {proxied: name for (_, name), proxied in self._proxied.items()}
        return by_port.get(port, "")

    def seen_from(self, zone: str) -> tuple[ControlMachine, ...]:
        """All machines with the addresses by which a zone reaches them."""
        return tuple(control_machine(x) for x in self._configured(zone))

    def arguments(self, name: str) -> tuple[str, ...]:
        """Write a machine's configuration; module and arguments that start it. Raises OSError."""
        path = self._folder / f"{name}.json"
        config = ControlConfig(
            name=name,
            listen=_loopback(self.port_of(name)),
            folder=f"{name}.state",
            keys={self._key_name: self._key.hex()},
            sign_with=self._key_name,
            machines=self._configured(self._machines[name].zone.name),
            log_level="warning",
        )
        path.write_bytes(msgspec.json.encode(config))
        return (*PROGRAM, str(path))

    def _configured(self, zone: str) -> tuple[ConfiguredMachine, ...]:
        return tuple(self._one(zone, x) for x in self._machines.values())

    def _one(self, zone: str, machine: Machine) -> ConfiguredMachine:
        return ConfiguredMachine(
            name=machine.name,
            address=_loopback(self.port_from(zone, machine.name)),
            region=machine.zone.region,
            zone=machine.zone.name,
            voter=machine.voter,
            peer_address=_loopback(self._ports[machine.name].peers) if machine.voter else "",
        )


def _loopback(port: int) -> str:
    return f"127.0.0.1:{port}"
