"""The configuration that the platform hands to a gateway: a JSON file, read whole or not at all."""

from __future__ import annotations

import json
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..core import interface as api
from ..core.settings import Pairs, paths, settings_of
from ..net.reactor import Address
from ..wire.dns import HostRecord

STATES = {"active": False, "leaving": True}
"""Whether a host in this state drains; `left` is none of the list."""
DEFAULT_SOCKETS = 1024


class ConfigError(ValueError):
    """A configuration that can't be read; the text names the field."""


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    resolver: Address
    seed: int
    sockets: int
    """Descriptors that the process may hold."""
    settings: api.Settings
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    serial: int
    """Number of the last event of the name service in `hosts`."""
    hosts: tuple[HostRecord, ...]


def address(text: Any, field: str) -> Address:
    """`HOST:PORT`. Raises ConfigError."""
    host, sep, port = str(text).rpartition(":")
    if not sep or not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigError(f"{field}: {text!r} is no HOST:PORT")
    return host, int(port)


def load(path: str) -> Config:
    """Read a file. Raises ConfigError, also where the file can't be read."""
    try:
        value = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return read(value)


def read(value: Any) -> Config:
    """A configuration out of its JSON. Raises ConfigError."""
    if not isinstance(value, dict):
        raise ConfigError("configuration: no object")
    given = _object(value, "settings")
    try:
        settings = settings_of(Pairs(paths(given)))
    except (ValueError, KeyError, IndexError) as error:
        raise ConfigError(f"settings: {error}") from None
    limits = value.get("limits") or {}
    known = _object(value, "known")
    try:
        seed = int(str(value.get("seed", "0")), 16)
        sockets = int(limits.get("sockets", DEFAULT_SOCKETS))
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"seed or limits.sockets: {error}") from None
    serial, hosts = _known(known)
    return Config(
        name=str(value.get("name", "")),
        listen=address(value.get("listen"), "listen"),
        resolver=address(value.get("resolver"), "resolver"),
        seed=seed,
        sockets=sockets,
        settings=settings,
        classes=_names(given, "classes"),
        zones=tuple(str(x) for x in given.get("localities", ())),
        kinds=tuple(str(x) for x in given.get("shapes", ())),
        serial=serial,
        hosts=hosts,
    )


def _object(value: dict[str, Any], field: str) -> dict[str, Any]:
    found = value.get(field)
    if not isinstance(found, dict):
        raise ConfigError(f"{field}: no object")
    return found


def _names(given: dict[str, Any], field: str) -> tuple[str, ...]:
    try:
        return tuple(str(x["name"]) for x in given[field])
    except (KeyError, TypeError):
        raise ConfigError(f"settings.{field}: names are missing") from None


def _known(known: dict[str, Any]) -> tuple[int, tuple[HostRecord, ...]]:
    """The list after all events: the first holds it whole, later ones what has changed."""
    hosts: dict[str, HostRecord] = {}
    try:
        for event in known.get("batch", ()):
            topology = event["topology"]
            if topology.get("reset"):
                hosts.clear()
            for x in topology["instances"]:
                state = x["lifecycle"]
                if state == "left":
                    hosts.pop(x["instanceId"], None)
                    continue
                where, port = address(x["hostPort"], "hostPort")
                hosts[x["instanceId"]] = HostRecord(
                    x["instanceId"], x["zone"], where, port, STATES[state], float(x["weight"]),
                    x["machineType"], int(x["cell"]), float(x["startedAtMs"]),
                )  # fmt: skip
        return int(known.get("offset", 0)), tuple(hosts.values())
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"known: {type(error).__name__}: {error}") from None
