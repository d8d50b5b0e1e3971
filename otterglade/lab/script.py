"""A day given as a Starlark script: `day(...)`, then any number of `trouble(...)` and `surge(...)`.

day(seconds = 30.0, rate = 5.0, hosts = 6, gateways = 2)
[trouble(at = 5.0 + n, kind = "slow", target = n, seconds = 4.0, value = 1.5) for n in range(3)]
surge(begin = 10.0, end = 20.0, factor = 2.0)
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path
from typing import Annotated, Literal

import msgspec

from ..config.schema import AtLeast0, Block, Count, Index, Positive
from ..config.script import ConfigError, collect, text_of
from .scenarios import TWO, Day, Trouble

Kind = Literal[
    "crash", "drain", "vanish", "hang", "slow", "late", "refuse", "answer_lost", "half", "garbage", "endless",
    "gateway_kill", "gateway_freeze", "registry_outage", "late_list",
]  # fmt: skip
GATEWAY = ("gateway_kill", "gateway_freeze")
REGISTRY = ("registry_outage", "late_list")


class DayBlock(Block, frozen=True):
    """The stage and its crowd."""

    seconds: Positive
    rate: Positive = 4.5
    """New sessions a second."""
    hosts: Annotated[int, msgspec.Meta(ge=1, le=32)] = 6
    gateways: Annotated[int, msgspec.Meta(ge=1, le=16)] = 2
    racks: Count = 2
    watch: tuple[Positive, Positive] = (4.0, 12.0)
    """Seconds that a viewer watches, from and to."""


class TroubleBlock(Block, frozen=True):
    """Something that happens to a host, a gateway or the registry."""

    at: AtLeast0
    kind: Kind
    target: Index = 0
    """Number of the host or gateway."""
    seconds: Positive = 5.0
    value: AtLeast0 = 0.0
    """Share of answers lost, times slower less one, or seconds late."""


class SurgeBlock(Block, frozen=True):
    """A time with more arrivals."""

    begin: AtLeast0
    end: Positive
    factor: Positive


def read(path: Path) -> Day:
    """Read and check a day's script. Raises ConfigError naming file, line, field, found and allowed."""
    found = collect(
        text_of(path), str(path), {"day": DayBlock}, {"trouble": TroubleBlock, "surge": SurgeBlock}
    )
    plan = found.one.get("day")
    if not isinstance(plan, DayBlock):
        raise ConfigError(f"{path}: day: missing; a block day(...) is due")
    troubles = []
    for number, block in enumerate(found.many["trouble"], 1):
        assert isinstance(block, TroubleBlock), "collected as such"
        most = plan.gateways if block.kind in GATEWAY else 1 if block.kind in REGISTRY else plan.hosts
        if block.target >= most:
            raise ConfigError(f"{path}: trouble {number}.target: found {block.target}; allowed: under {most}")
        troubles.append(Trouble(block.at, block.kind, block.target, block.seconds, block.value))
    surges = []
    for number, block in enumerate(found.many["surge"], 1):
        assert isinstance(block, SurgeBlock), "collected as such"
        if block.end <= block.begin:
            raise ConfigError(f"{path}: surge {number}.end: found {block.end}; allowed: over begin")
        surges.append((block.begin, block.end, block.factor))
    layout = replace(TWO, hosts=plan.hosts, gateways=plan.gateways, racks=min(plan.racks, plan.hosts))
    return Day(
        path.stem, layout, plan.seconds, plan.rate, watch=plan.watch,
        troubles=tuple(sorted(troubles, key=lambda x: x.at)), surges=tuple(surges),
    )  # fmt: skip
