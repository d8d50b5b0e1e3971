"""The changes of a day: hosts that come and go and settings that are tuned, at seeded random times."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from ...core.distribution.revision import Change

SECONDS_PER_DAY = 86_400.0
HOSTS = 400
"""Hosts that the generated configuration has."""
SETTINGS = 40
"""Settings that the generated configuration has."""
SETTING_SHARE = 0.05
"""Share of changes that are of a setting; the others are of a host."""
HOST_STATES = ("ready", "draining")


class HostEntry(msgspec.Struct, frozen=True):
    """A host as the configuration lists it; some 95 bytes as JSON with its key."""

    id: int
    address: str
    state: str
    cell: int
    started: int


@dataclass(frozen=True, slots=True)
class TimedChange:
    """A change, and the seconds after the start at which it is proposed."""

    after: float
    change: Change


def host_change(number: int, state: str, started: int) -> Change:
    """The entry of a host in a state; `started` makes each entry differ from the one before."""
    entry = HostEntry(number, f"10.{number // 250}.{number % 250}.7:8554", state, number % 60, started)
    return Change(f"host/{number}", msgspec.json.encode(entry))


def initial_changes() -> tuple[Change, ...]:
    """The configuration before the first timed change."""
    hosts = tuple(host_change(number, "ready", 0) for number in range(HOSTS))
    settings = tuple(Change(f"setting/limit-{number}", b"0") for number in range(SETTINGS))
    return hosts + settings


def timed_changes(seed: int, changes_per_day: float, seconds: float) -> Iterator[TimedChange]:
    """Changes at the times of a Poisson process. No two of them set a key to the same value."""
    random_source = random.Random(seed)
    rate = changes_per_day / SECONDS_PER_DAY
    after = random_source.expovariate(rate)
    serial = 0
    while after < seconds:
        serial += 1
        if random_source.random() < SETTING_SHARE:
            change = Change(f"setting/limit-{random_source.randrange(SETTINGS)}", str(serial).encode())
        else:
            state = random_source.choice(HOST_STATES)
            change = host_change(random_source.randrange(HOSTS), state, serial)
        yield TimedChange(after, change)
        after += random_source.expovariate(rate)
