"""The hosts as the registry lists them: numbers that the module knows, addresses that sockets need."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..core import interface as api
from ..store.small import replace_file


class Listed(msgspec.Struct, frozen=True, kw_only=True):
    """A host as the registry has it; fields that nobody here knows are skipped."""

    id: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    name: str
    address: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.:\[\]-]+:[0-9]{1,5}$")]
    state: Literal["ready", "draining", "gone"]
    cell: Annotated[int, msgspec.Meta(ge=0)]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    kind: Annotated[int, msgspec.Meta(ge=0)] = 0
    zone: Annotated[int, msgspec.Meta(ge=0)] = 0
    started: float = 0.0
    """Unix time of its most recent start, in seconds; 0: long ago."""

    @property
    def socket_address(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host.strip("[]"), int(port)


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """A whole list; the index rises with each change."""

    index: int
    hosts: tuple[Listed, ...]


class ListError(ValueError):
    """A list that can't be used, with the field that is wrong."""


def decode(data: bytes) -> HostList:
    """Read a list. Raises ListError naming the field; a list is taken whole or not at all."""
    try:
        listed = msgspec.json.decode(data, type=HostList)
    except msgspec.MsgspecError as error:
        raise ListError(f"host list: {error}") from error
    ids = [x.id for x in listed.hosts]
    if len({*ids}) != len(ids):
        raise ListError("host list: hosts.id: the same twice")
    return listed


def decode_host(data: bytes) -> Listed:
    """Read one host's entry. Raises ListError naming the field."""
    try:
        return msgspec.json.decode(data, type=Listed)
    except msgspec.MsgspecError as error:
        raise ListError(str(error)) from error


@dataclass(frozen=True, slots=True)
class Clock:
    """Unix times of the registry on the monotonic clock of the gateway, by one offset for its whole life.

    A fixed offset keeps a host's start the same in every list, however the wall clock is set meanwhile: a
    start that seemed to move would look like a restart.
    """

    offset: float

    @classmethod
    def now(cls) -> Clock:
        return cls(time.time() - time.monotonic())

    def monotonic(self, unix: float) -> float:
        return 0.0 if unix <= 0 else max(1e-3, unix - self.offset)


STATES = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


def server_list(listed: HostList, clock: Clock, cached: bool = False) -> api.ServerList:
    """The list as the module is told it."""
    return api.ServerList(
        tuple(
            api.ServerEntry(
                x.id, x.zone, x.kind, x.cell, STATES[x.state], x.weight, clock.monotonic(x.started)
            )
            for x in listed.hosts
        ),
        complete=True,
        cached=cached,
    )


class Cache:
    """The last list on disk, so that a gateway that starts while the registry is away knows its hosts."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "hosts.json"

    def load(self) -> HostList | None:
        """The list kept; None where there is none. Raises ListError where it can't be read."""
        try:
            return decode(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except OSError as error:
            raise ListError(f"{self._path}: {error}") from error

    def save(self, listed: HostList) -> None:
        """Replace it in one step: a kill leaves the old list or the new one, never half. Raises OSError."""
        replace_file(self._path, msgspec.json.encode(listed))
