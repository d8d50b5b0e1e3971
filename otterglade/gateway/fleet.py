"""The registry's list of media hosts: decoding, conversion for the session core, and the copy on disk."""

from __future__ import annotations

import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..core import interface as api
from ..store.small import replace_file


class ListedHost(msgspec.Struct, frozen=True, kw_only=True):
    """A host's entry in the registry; unknown fields are ignored."""

    id: Annotated[int, msgspec.Meta(ge=0, lt=1 << 32)]
    name: str
    address: Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9_.:\[\]-]+:[0-9]{1,5}$")]
    state: Literal["ready", "draining", "gone"]
    cell: Annotated[int, msgspec.Meta(ge=0)]
    weight: Annotated[float, msgspec.Meta(gt=0)] = 1.0
    kind: Annotated[int, msgspec.Meta(ge=0)] = 0
    zone: Annotated[int, msgspec.Meta(ge=0)] = 0
    started: float = 0.0
    """Unix time of the host's last start in seconds; 0: long ago."""

    @property
    def socket_address(self) -> tuple[str, int]:
        """Host and port of `address`; an IPv6 address without its brackets."""
        host, _, port = self.address.rpartition(":")
        return host.strip("[]"), int(port)


class HostList(msgspec.Struct, frozen=True, kw_only=True):
    """The whole host list; `index` rises with each change."""

    index: int
    hosts: tuple[ListedHost, ...]


class HostListError(ValueError):
    """A host list or entry is invalid; the message names the field."""


def decode_host_list(data: bytes) -> HostList:
    """Decode a host list. Raises HostListError if any entry is invalid or a host's id is listed twice."""
    try:
        listed = msgspec.json.decode(data, type=HostList)
    except msgspec.MsgspecError as error:
        raise HostListError(f"host list: {error}") from error
    ids = [x.id for x in listed.hosts]
    if len({*ids}) != len(ids):
        raise HostListError("host list: hosts.id: found the same id twice")
    return listed


def decode_host(data: bytes) -> ListedHost:
    """Decode one host's entry. Raises HostListError if it is invalid."""
    try:
        return msgspec.json.decode(data, type=ListedHost)
    except msgspec.MsgspecError as error:
        raise HostListError(str(error)) from error


@dataclass(frozen=True, slots=True)
class RegistryClock:
    """Converts Unix times of the registry to the gateway's monotonic clock, with one offset per process.

    With a fixed offset a host's start time stays the same in every list, even if the wall clock is set
    meanwhile: a start time that moved would look like a restart.
    """

    offset: float
    """Unix time minus monotonic time, in seconds."""

    @classmethod
    def now(cls) -> RegistryClock:
        """Create a clock with the present offset."""
        return cls(time.time() - time.monotonic())

    def monotonic(self, unix_time: float) -> float:
        """Return the monotonic time of `unix_time`; 0 for 0 (long ago), else positive."""
        return 0.0 if unix_time <= 0 else max(1e-3, unix_time - self.offset)


HOST_STATES = {"ready": api.State.READY, "draining": api.State.DRAINING, "gone": api.State.GONE}


def server_list(listed: HostList, clock: RegistryClock, cached: bool = False) -> api.ServerList:
    """Convert a host list for the session core. `cached`: it was read from disk, not from the registry."""
    return api.ServerList(
        tuple(
            api.ServerEntry(
                x.id, x.zone, x.kind, x.cell, HOST_STATES[x.state], x.weight, clock.monotonic(x.started)
            )
            for x in listed.hosts
        ),
        complete=True,
        cached=cached,
    )


class HostListCache:
    """The last host list on disk, for a gateway that starts while the registry is unreachable."""

    def __init__(self, folder: Path) -> None:
        self._path = folder / "hosts.json"

    def load(self) -> HostList | None:
        """Return the stored list, None if there is none. Raises HostListError if it can't be read."""
        try:
            return decode_host_list(self._path.read_bytes())
        except FileNotFoundError:
            return None
        except OSError as error:
            raise HostListError(f"{self._path}: {error}") from error

    def save(self, listed: HostList) -> None:
        """Replace the stored list atomically: a crash leaves the old or the new one. Raises OSError."""
        replace_file(self._path, msgspec.json.encode(listed))
