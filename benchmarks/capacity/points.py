"""Points as they were measured: one JSON file a role and metric, only ever appended to."""

from __future__ import annotations

import datetime
import os
import subprocess
from collections.abc import Iterable, Mapping
from pathlib import Path

import msgspec

from otterglade.store.small import replace_file

from .model import Metric, Reading

FOLDER = Path(__file__).resolve().parent.parent / "points"
GIB = 1024.0**3


class PointsError(ValueError):
    """A points file that can't be used, by its name."""


class Machine(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    cores: int
    memory_gib: float


class Point(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure of one play."""

    size: int
    value: float
    commit: str
    changed: bool
    """The work tree differed from the commit."""
    machine: Machine
    taken: str
    """UTC, ISO 8601."""


class Series(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All points of a metric, in the order in which they were taken."""

    role: str
    metric: str
    unit: str
    variable: str
    points: tuple[Point, ...] = ()


def machine() -> Machine:
    pages = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return Machine(os.cpu_count() or 1, round(pages / GIB, 1))


def _git(*arguments: str) -> str:
    where = Path(__file__).resolve().parent
    return subprocess.run(
        ("git", *arguments), cwd=where, check=True, capture_output=True, text=True
    ).stdout.strip()


def commit() -> tuple[str, bool]:
    """The commit of the work tree, and whether the package or its measurements differ from it."""
    changed = _git(
        "status", "--porcelain", "--", ":/otterglade", ":/benchmarks/*.py", ":/benchmarks/capacity"
    )
    return _git("rev-parse", "--short=12", "HEAD"), bool(changed)


def load(metric: Metric, folder: Path = FOLDER) -> Series:
    """The points of a metric; none where there is no file yet. Raises PointsError."""
    path = folder / metric.file_name
    empty = Series(metric.role, metric.name, metric.unit, metric.variable)
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        return empty
    except OSError as error:
        raise PointsError(f"{path}: {error.strerror}") from error
    try:
        series = msgspec.json.decode(data, type=Series)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise PointsError(f"{path}: {error}") from error
    if msgspec.structs.replace(series, points=()) != empty:
        raise PointsError(
            f"{path}: is of {series.role}.{series.metric}, {series.unit} against {series.variable}; "
            f"due is {metric.role}.{metric.name}, {metric.unit} against {metric.variable}"
        )
    return series


def append(readings: Iterable[Reading], folder: Path = FOLDER) -> None:
    """Add a play's figures to their files. Raises PointsError."""
    at, changed = commit()
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    for reading in readings:
        series = load(reading.metric, folder)
        point = Point(reading.size, reading.value, at, changed, machine(), now)
        series = msgspec.structs.replace(series, points=(*series.points, point))
        text = msgspec.json.format(msgspec.json.encode(series), indent=1)
        replace_file(folder / reading.metric.file_name, text + b"\n")


def load_all(metrics: Iterable[Metric], folder: Path = FOLDER) -> Mapping[Metric, Series]:
    """The points of each metric. Raises PointsError."""
    return {x: load(x, folder) for x in metrics}
