"""Sites of any size for plays: settings, scripts and host lists, as the product reads them."""

from __future__ import annotations

from dataclasses import replace

import msgspec

from otterglade.config.script import parse
from otterglade.core import interface as api
from otterglade.lab.stage import Layout

NO_BUDGET = (0.0, 0.0, 0.0)


def layout(hosts: int, titles: int) -> Layout:
    """A site of roomy hosts, its further attempts not rationed."""
    return replace(
        Layout(), hosts=hosts, racks=max(1, hosts // 8), titles=titles, link=1e6, slots=20_000,
        by_probe=False, budget=NO_BUDGET, log="error",
    )  # fmt: skip


def script(hosts: int, titles: int, registry: str = "127.0.0.1:1", state_dir: str = "state") -> str:
    """The script of one gateway of such a site."""
    return layout(hosts, titles).script("gateway-0", registry, state_dir, "127.0.0.1:0")


def settings(hosts: int) -> api.Settings:
    """What the module of such a site is told."""
    return parse(script(hosts, 1)).settings()


class HostEntry(msgspec.Struct, frozen=True):
    """A host as those who run one put it into the registry."""

    id: int
    name: str
    address: str
    state: str
    cell: int
    weight: float = 1.0
    kind: int = 0
    zone: int = 0
    started: float = 0.0


class WholeList(msgspec.Struct, frozen=True):
    """The answer of the registry."""

    index: int
    hosts: tuple[HostEntry, ...]


def host_entries(count: int, address: str = "") -> tuple[HostEntry, ...]:
    """Hosts with addresses of the usual length, or all at one address."""
    return tuple(
        HostEntry(n, f"box-{n}", address or f"10.{n >> 16 & 255}.{n >> 8 & 255}.{n & 255}:8080", "ready", n)
        for n in range(count)
    )


def encoded(entries: tuple[HostEntry, ...], index: int = 1) -> bytes:
    """A whole list as the registry sends it."""
    return msgspec.json.encode(WholeList(index, entries))
