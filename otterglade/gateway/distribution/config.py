"""The configuration of a control machine: a JSON file, read whole or not at all."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Any

import msgspec

from ...config.script import address as parse_address
from ...core.distribution.placement import ControlMachine

Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._~-]{1,100}$")]
Text = Annotated[str, msgspec.Meta(min_length=1)]
HexKey = Annotated[str, msgspec.Meta(pattern=r"^([0-9a-fA-F]{2}){16,64}$")]
MOST_MACHINES = 36
VOTER_COUNTS = (1, 3, 5)
MOST_READERS = 1000
DEFAULT_LEASE_SECONDS = 2.0
LEAST_LEASE_SECONDS = 0.5
MOST_LEASE_SECONDS = 60.0
LOG_LEVELS = ("debug", "info", "warning", "error")
_PLACE = re.compile(r" - at `\$\.?(.*)`$")
"""Where msgspec's text of an error names the field."""
_PLACE_PART = re.compile(r"[A-Za-z_]\w*|\d+")


class ConfigError(ValueError):
    """A configuration that can't be used; the text names file, field, what was found and what is allowed."""


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One of the control machines, as all of them know it."""

    name: Name
    address: Text
    """HOST:PORT of its HTTP listener."""
    region: Name
    zone: Name
    voter: bool = False
    peer_address: str = ""
    """HOST:PORT of a voter's datagrams; empty for others."""


class ControlConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """What `otterglade control run` reads."""

    name: Name
    """Which of the machines this one is."""
    listen: str = ""
    """HOST:PORT to listen on; empty: the machine's address."""
    peer_listen: str = ""
    """HOST:PORT for a voter's datagrams; empty: the machine's peer address."""
    folder: Text
    """Where it keeps its revisions and votes; relative to the file."""
    keys: Annotated[dict[Name, HexKey], msgspec.Meta(min_length=1)]
    """By name, 16 to 64 bytes in hexadecimal; the same at all machines and subscribers."""
    sign_with: Name
    """The name of the key that signs; bodies signed with another one are accepted too."""
    machines: Annotated[tuple[Machine, ...], msgspec.Meta(min_length=1, max_length=MOST_MACHINES)]
    voters_number: Annotated[int, msgspec.Meta(ge=1)] = 1
    """Which set of voters this is: raised by one at each change, which replaces one voter at most."""
    voters_before: tuple[Name, ...] = ()
    """The set that this one replaces, until both have agreed once."""
    voters_forced: str = ""
    """Why this set stands without the one before it: a person's word."""
    most_readers: Annotated[int, msgspec.Meta(ge=1, le=MOST_READERS)] = MOST_READERS
    """Connections that read at once."""
    lease_s: Annotated[float, msgspec.Meta(ge=LEAST_LEASE_SECONDS, le=MOST_LEASE_SECONDS)] = (
        DEFAULT_LEASE_SECONDS
    )
    """For which voters keep their word to a writer; the same at all voters. A writer that is lost is
    replaced after about two of it."""
    log_level: str = "info"

    @property
    def me(self) -> Machine:
        """This machine among the others."""
        return next(x for x in self.machines if x.name == self.name)

    @property
    def voters(self) -> tuple[Machine, ...]:
        """The machines that vote."""
        return tuple(x for x in self.machines if x.voter)

    @property
    def key_bytes(self) -> dict[str, bytes]:
        """The keys by name."""
        return {name: bytes.fromhex(key) for name, key in self.keys.items()}


def control_machine(machine: Machine) -> ControlMachine:
    """A machine as the core of distribution knows it."""
    return ControlMachine(machine.name, machine.address, machine.region, machine.zone, machine.voter)


def load(path: Path) -> ControlConfig:
    """Read and check a configuration. Raises ConfigError."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    try:
        tree = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ConfigError(f"{path}: no JSON: {error}") from error
    try:
        config = msgspec.convert(tree, ControlConfig)
    except msgspec.ValidationError as error:
        raise ConfigError(f"{path}: {_explained(str(error), tree)}") from error
    try:
        _check(config)
    except ValueError as error:
        raise ConfigError(f"{path}: {error}") from error
    return msgspec.structs.replace(config, folder=str(path.parent / config.folder))


def _explained(text: str, tree: Any) -> str:
    """msgspec's text of an error as field, found and allowed."""
    place = _PLACE.search(text)
    if place is None:
        return text
    field, allowed = place[1], text[: place.start()].removeprefix("Expected ")
    if allowed.startswith("Object ") or "[...]" in field:  # a field is missing or unknown, or a key is bad
        return f"{field}: {allowed}" if field else allowed
    if field.startswith("keys"):  # never a key into a terminal or log
        return f"{field}: found a key that is none; allowed: {allowed}"
    found = tree
    for part in _PLACE_PART.findall(field):
        found = found[int(part)] if part.isdigit() else found[part]
    return f"{field}: found {found!r}; allowed: {allowed}"


def _check(config: ControlConfig) -> None:
    """What no field can tell alone. Raises ValueError."""
    names = [x.name for x in config.machines]
    repeated = sorted({x for x in names if names.count(x) > 1})
    if repeated:
        raise ValueError(f"machines: found {repeated[0]!r} twice; allowed: each name once")
    if config.name not in names:
        raise ValueError(f"name: found {config.name!r}; allowed: {', '.join(names)}")
    if config.sign_with not in config.keys:
        raise ValueError(f"sign_with: found {config.sign_with!r}; allowed: {', '.join(sorted(config.keys))}")
    if config.log_level not in LOG_LEVELS:
        raise ValueError(f"log_level: found {config.log_level!r}; allowed: {', '.join(LOG_LEVELS)}")
    if len(config.voters) not in VOTER_COUNTS:
        raise ValueError(f"machines: found {len(config.voters)} voters; allowed: 1, 3 or 5")
    strangers = sorted(set(config.voters_before) - set(names))
    if strangers:
        raise ValueError(f"voters_before: found {strangers[0]!r}; allowed: {', '.join(names)}")
    for number, machine in enumerate(config.machines):
        _check_machine(machine, f"machines[{number}]")
    for field in ("listen", "peer_listen"):
        if getattr(config, field):
            parse_address(getattr(config, field), field)


def _check_machine(machine: Machine, field: str) -> None:
    parse_address(machine.address, f"{field}.address")
    if machine.voter:
        parse_address(machine.peer_address, f"{field}.peer_address")
