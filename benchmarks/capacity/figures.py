"""Figures at the users' size, worked out from the kept points."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

from . import points
from .fit import Fit, FitError, Form, fit
from .model import Charge, Limit, Metric, Resource, Role, Row
from .size import USERS_SIZE, Size


class MissingPointsError(points.PointsError):
    """A metric that was not measured."""


@dataclass(frozen=True, slots=True)
class Figure:
    """A row with its fit and its value."""

    role: str
    title: str
    resource: Resource
    what: str
    metric: str
    variable: str
    form: Form
    first: float
    second: float
    second_low: float
    second_high: float
    residual: float
    at: float
    times: float
    why: str
    unit: str
    value: float
    low: float
    high: float
    limit: Limit | None
    reached_at: float
    """The size at which the limit is reached; infinity: never, or there is none."""
    mechanism: str
    largest: float
    """Size measured."""
    plays: int
    charged: Charge | None

    @property
    def factor(self) -> float | None:
        """Times the limit; None where there is none."""
        return None if self.limit is None else self.value / self.limit.value

    @property
    def extrapolated(self) -> float:
        """Times the largest size measured."""
        return self.at / self.largest


def fitted(metric: Metric, folder: Path = points.FOLDER) -> Fit:
    """The curve through a metric's kept points. Raises PointsError."""
    series = points.load(metric, folder)
    path = folder / metric.file_name
    if not series.points:
        raise MissingPointsError(f"{path}: no points; measure with --role {metric.role}")
    try:
        return fit([x.size for x in series.points], [x.value for x in series.points])
    except FitError as error:
        raise points.PointsError(f"{path}: {error}") from error


Curves: TypeAlias = Mapping[Metric, Fit]


def curves(roles: Iterable[Role], folder: Path = points.FOLDER) -> Curves:
    """The curve of every metric that rows of these roles use. Raises PointsError."""
    used = {row.metric: None for role in roles for row in role.rows(USERS_SIZE)}
    return {x: fitted(x, folder) for x in used}


def figure(role: Role, row: Row, curve: Fit) -> Figure:
    """A row's figure."""
    value, slope = curve.predict(row.at).times(row.times), curve.slope
    reached = math.inf if row.limit is None else curve.size_at(row.limit.value / row.times)
    return Figure(
        role=role.name, title=role.title, resource=row.resource, what=row.what, metric=row.metric.file_name,
        variable=row.metric.variable, form=curve.form, first=curve.first, second=curve.second,
        second_low=slope.low, second_high=slope.high, residual=curve.residual, at=row.at, times=row.times,
        why=row.why, unit=row.unit, value=value.value, low=value.low, high=value.high, limit=row.limit,
        reached_at=reached, mechanism=row.mechanism, largest=curve.largest, plays=curve.plays,
        charged=row.charged,
    )  # fmt: skip


def figures(roles: Iterable[Role], size: Size, found: Curves) -> tuple[Figure, ...]:
    """All roles' figures at a size."""
    return tuple(figure(role, row, found[row.metric]) for role in roles for row in role.rows(size))
