"""What a role consists of: metrics, experiments that read them, and rows that extrapolate them."""

from __future__ import annotations

import enum
from collections.abc import Callable
from dataclasses import dataclass

from .size import CONTROL_BYTES_LIMIT, CONTROL_CPU_LIMIT, CONTROL_MEMORY_LIMIT, Size


@dataclass(frozen=True, slots=True)
class Metric:
    """A figure that depends on one size."""

    role: str
    name: str
    what: str
    unit: str
    variable: str
    """What the size counts, such as "members"."""

    @property
    def file_name(self) -> str:
        return f"{self.role}.{self.name}.json"


@dataclass(frozen=True, slots=True)
class Reading:
    """One figure of one play."""

    metric: Metric
    size: int
    value: float


Play = Callable[[int], tuple[Reading, ...]]
"""Plays once at a size, in a process of its own; a module-level function."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """A play that reads several metrics, and the sizes at which it is played."""

    metrics: tuple[Metric, ...]
    play: Play
    sizes: tuple[int, ...]
    quick_sizes: tuple[int, ...]


class Resource(enum.Enum):
    """What a row is about."""

    STATE = "state"
    MESSAGES = "messages"
    CPU = "CPU"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True)
class Limit:
    value: float
    source: str


CONTROL_LIMITS = {
    Resource.MESSAGES: Limit(CONTROL_BYTES_LIMIT, "control"),
    Resource.CPU: Limit(CONTROL_CPU_LIMIT, "control"),
    Resource.MEMORY: Limit(CONTROL_MEMORY_LIMIT, "control"),
}
"""Of a gateway's control, in KB a second, percent of a core, and MB."""
ONE_CORE = Limit(100.0, "one core")
"""Of a process with one interpreter lock, in percent of a core."""
MISSING = "missing"
"""In place of a mechanism where there is none."""


class Charge(enum.Enum):
    """Into which sum of a gateway's costs a row counts."""

    CONTROL = "control"
    VIEWERS = "viewers"


@dataclass(frozen=True, slots=True)
class Row:
    """A figure at a deployment's size: the fit's value at `at`, times `times`."""

    resource: Resource
    what: str
    metric: Metric
    at: float
    times: float
    why: str
    """What `times` is made of."""
    unit: str
    mechanism: str
    limit: Limit | None = None
    charged: Charge | None = None


@dataclass(frozen=True, slots=True)
class Role:
    """A part of the fleet with its measurements and its table."""

    name: str
    title: str
    experiments: tuple[Experiment, ...]
    rows: Callable[[Size], tuple[Row, ...]]
