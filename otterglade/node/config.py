"""Parser of the gateway's configuration, a JSON file from the platform; any error rejects the whole file."""

from __future__ import annotations

import json
import re
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..core import interface as api
from ..core.settings import MAX_NUMBER, JsonValues, read_settings
from ..net.reactor import Address
from ..wire.dns import MAX_START_MS, HostRecord

DRAINING_BY_STATE = {"active": False, "leaving": True}
"""Whether a host is draining, by its lifecycle state; a host in state `left` is removed from the list."""
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 64
MIN_SOCKETS = 56
"""With fewer descriptors a gateway would exceed its limit while serving only a few viewers."""
MAX_SERIAL = 2**32 - 1
"""The numbers of the name service's events have 32 bits, like a zone's serial (RFC 1035)."""
PORT = re.compile(r"[0-9]{1,5}\Z")
SEED = re.compile(r"[0-9a-fA-F]{1,64}\Z")
REQUIRED_SETTINGS = (
    "classes", "n_instances", "bounds.connect_timeout", "bounds.max_attempts", "contract.cold",
    "contract.fall", "contract.overload_factor", "contract.start_capacity", "family_info.cells",
    "family_info.kind_slots", "family_info.ladder_kb", "family_info.ladder_worth", "family_info.see",
    "family_info.weight_kb",
)  # fmt: skip
"""Settings that every site has. Without them a gateway would start and violate rules: repeat a paid set-up,
or overload a cold host. Floors and seats may be left out, as a site may have none."""
REQUIRED_CLASS_SETTINGS = ("name", "goal_time", "idempotency", "points")


class ConfigError(ValueError):
    """An invalid configuration; the text names the field."""


class ConfigFileError(ConfigError):
    """The file can't be opened or read at present, regardless of its content."""


@dataclass(frozen=True, slots=True)
class Config:
    """A gateway's parsed configuration."""

    name: str
    listen: Address
    resolver: Address
    seed: int
    sockets: int
    """Maximum of descriptors that the process may use."""
    memory_mb: int
    """Limit of the process's memory, in units of 2**20 bytes."""
    settings: api.Settings
    longest_deadline: float
    """Longest deadline of a class in seconds."""
    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    serial: int
    """Serial of the last event of the name service that `hosts` includes."""
    hosts: tuple[HostRecord, ...]


def parse_address(text: Any, field: str) -> Address:
    """Parse `HOST:PORT`, with an IPv4 address as host: looking up a name would block the event loop.

    Raises ConfigError, whose text starts with `field`.
    """
    host, sep, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not sep or not PORT.match(port) or not 0 < int(port) < 65536 or not _is_ipv4(host):
        raise ConfigError(f"{field}: {_excerpt(text)} is no HOST:PORT")
    return host, int(port)


def _is_ipv4(host: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, host)
    except (OSError, ValueError):
        return False
    return True


def _excerpt(value: Any) -> str:
    return repr(value)[:60]


def load_config(path: str) -> Config:
    """Parse a file. Raises ConfigError, and ConfigFileError if the file can't be opened or read."""
    try:
        value = json.loads(Path(path).read_bytes())
    except OSError as error:
        raise ConfigFileError(f"{path}: {error}") from None
    except (ValueError, RecursionError) as error:
        raise ConfigError(f"{path}: {error}") from None
    return parse_config(value)


def parse_config(value: Any) -> Config:
    """Parse a configuration from its decoded JSON. Raises ConfigError."""
    if not isinstance(value, dict):
        raise ConfigError("configuration: no object")
    settings, (classes, zones, kinds) = _parse_settings(_object(value, "settings"))
    longest_deadline = _longest_deadline(JsonValues(_object(value, "settings")), settings)
    limits = {} if value.get("limits") is None else _object(value, "limits")
    sockets = limits.get("sockets", DEFAULT_SOCKETS)
    memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    serial, hosts = _parse_known_hosts(_object(value, "known"))
    seed = value.get("seed")
    if not isinstance(seed, str) or not SEED.match(seed):
        raise ConfigError(f"seed: {_excerpt(seed)} is no hex number")
    return Config(
        name=_text(value.get("name", ""), "name"),
        listen=parse_address(value.get("listen"), "listen"),
        resolver=parse_address(value.get("resolver"), "resolver"),
        seed=int(seed, 16),
        sockets=_integer(sockets, "limits.sockets", MIN_SOCKETS, MAX_NUMBER),
        memory_mb=_integer(memory_mb, "limits.memory_mb", 1, MAX_NUMBER),
        settings=settings,
        longest_deadline=longest_deadline,
        classes=classes,
        zones=zones,
        kinds=kinds,
        serial=serial,
        hosts=hosts,
    )


def _parse_settings(given: dict[str, Any]) -> tuple[api.Settings, tuple[tuple[str, ...], ...]]:
    """The settings, and the names of classes, zones and kinds."""
    tree = JsonValues(given)
    try:
        class_paths = [
            f"classes.{i}.{x}" for i in range(tree.count("classes")) for x in REQUIRED_CLASS_SETTINGS
        ]
        for path in (*REQUIRED_SETTINGS, *class_paths):
            if tree.get(path) in (None, "", []):
                raise ConfigError(f"{path}: missing")
        settings = read_settings(tree)
        classes = _unique_names([(tree.get(x), x) for x in class_paths if x.endswith(".name")])
        _unique_names([(x.name, f"tenants.{i}.name") for i, x in enumerate(settings.tenants)])
        zones, kinds = (tuple(_text(x, y) for x in tree.list_at(y)) for y in ("localities", "shapes"))
        if zones and settings.zone >= len(zones):
            raise ConfigError(f"zone: {settings.zone} of {len(zones)}")
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    return settings, (classes, zones, kinds)


def _longest_deadline(tree: JsonValues, settings: api.Settings) -> float:
    """Longest deadline of a class in seconds. Raises ConfigError.

    A class without a deadline counts with its goal: a deadline is no shorter, and a process that expects the
    kill too early loses nothing.
    """
    try:
        deadlines = [tree.seconds(f"classes.{index}.hard_limit") for index in range(len(settings.classes))]
    except ValueError as error:
        raise ConfigError(f"settings.{error}") from None
    return max(found or terms.goal for found, terms in zip(deadlines, settings.classes, strict=True))


def _object(value: dict[str, Any], field: str) -> dict[str, Any]:
    found = value.get(field)
    if not isinstance(found, dict):
        raise ConfigError(f"{field}: no object")
    return found


def _text(value: Any, field: str) -> str:
    if not isinstance(value, str):
        raise ConfigError(f"{field}: {_excerpt(value)} is no text")
    return value


def _number(value: Any, field: str, minimum: float, maximum: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ConfigError(f"{field}: {_excerpt(value)} is no number from {minimum:g} to {maximum:g}")
    return float(value)


def _integer(value: Any, field: str, minimum: float, maximum: float) -> int:
    number = _number(value, field, minimum, maximum)
    if number != int(number):
        raise ConfigError(f"{field}: {number!r} is not whole")
    return int(number)


def _unique_names(given: list[tuple[Any, str]]) -> tuple[str, ...]:
    """The names of one list, checked to be unique: of two equal ones, requests would always get the first's
    terms."""
    found: list[str] = []
    for name, field in given:
        if not isinstance(name, str) or not name.strip() or not name.isprintable():
            raise ConfigError(f"{field}: {_excerpt(name)} is no name")
        if name in found:
            raise ConfigError(f"{field}: {_excerpt(name)} for the second time")
        found.append(name)
    return tuple(found)


def _parse_known_hosts(known: dict[str, Any]) -> tuple[int, tuple[HostRecord, ...]]:
    """The serial and the host list after all events: the first has all hosts, later ones the changes."""
    hosts: dict[str, HostRecord] = {}
    for event, event_path in _objects_in(known, "batch", "known"):
        topology = _as_object(event.get("topology"), f"{event_path}.topology")
        if topology.get("reset"):
            hosts.clear()
        for instance, path in _objects_in(topology, "instances", f"{event_path}.topology"):
            name, state = _text(instance.get("instanceId"), f"{path}.instanceId"), instance.get("lifecycle")
            if state == "left":
                hosts.pop(name, None)
            elif isinstance(state, str) and state in DRAINING_BY_STATE:
                hosts[name] = _parse_host(instance, path, name, DRAINING_BY_STATE[state])
            else:
                raise ConfigError(f"{path}.lifecycle: {_excerpt(state)} is no state")
    return _integer(known.get("offset"), "known.offset", 0, MAX_SERIAL), tuple(hosts.values())


def _parse_host(instance: dict[str, Any], path: str, name: str, draining: bool) -> HostRecord:
    host, port = parse_address(instance.get("hostPort"), f"{path}.hostPort")
    return HostRecord(
        name=name,
        zone=_text(instance.get("zone"), f"{path}.zone"),
        address=host,
        port=port,
        draining=draining,
        weight=_number(instance.get("weight"), f"{path}.weight", 0, MAX_NUMBER),
        kind=_text(instance.get("machineType"), f"{path}.machineType"),
        cell=_integer(instance.get("cell"), f"{path}.cell", 0, MAX_NUMBER),
        # Null is treated as 0: started long ago.
        started_ms=_number(instance.get("startedAtMs") or 0, f"{path}.startedAtMs", 0, MAX_START_MS),
    )


def _objects_in(value: dict[str, Any], field: str, parent: str) -> Iterator[tuple[dict[str, Any], str]]:
    """The objects of a list, each with its path. Raises ConfigError."""
    path, found = f"{parent}.{field}", value.get(field)
    if not isinstance(found, list):
        raise ConfigError(f"{path}: no list")
    for index, inner in enumerate(found):
        yield _as_object(inner, f"{path}.{index}"), f"{path}.{index}"


def _as_object(value: Any, path: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigError(f"{path}: no object")
    return value
