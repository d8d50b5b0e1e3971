"""Least squares of cost against size, with confidence intervals by Student's t distribution.

Residuals are weighed by the mean at their size, since CPU time and memory scatter in proportion to
themselves. A cost that a straight line misses, and a power law meets better, is given as a power law.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeAlias

import numpy as np
from numpy.typing import NDArray
from scipy import stats  # type: ignore[import-untyped]

Vector: TypeAlias = NDArray[np.float64]

CONFIDENCE = 0.95
PREFER_LINE = 1.5
"""A power law is chosen only where a straight line's relative residual is this many times its own."""
LEAST_SCALE = 0.02
"""Of the largest mean: below, a residual is weighed as if the mean were so large."""
LINE_WILL_DO = 0.01
"""A relative residual at which a straight line stands, whatever else fits."""
NEGLIGIBLE = 1e-9
"""Of the largest value: what is smaller is rounding, and taken for nothing."""
LEAST_VALUE = 1e-300
MOST_SIZE = 1e9
"""A size beyond is taken for never."""


class FitError(ValueError):
    """Points that no curve can be fitted to."""


class Form(enum.Enum):
    LINEAR = "linear"
    POWER = "power law"


@dataclass(frozen=True, slots=True)
class Estimate:
    """A value and its confidence interval."""

    value: float
    low: float
    high: float

    def times(self, factor: float) -> Estimate:
        return Estimate(self.value * factor, self.low * factor, self.high * factor)


@dataclass(frozen=True, slots=True)
class Fit:
    """A fitted curve. Linear: `first` + `second` * size; power law: exp(`first`) * size ** `second`."""

    form: Form
    first: float
    second: float
    covariance: tuple[tuple[float, float], tuple[float, float]]
    quantile: float
    residual: float
    """Root mean square of the residuals, relative to the mean at their size."""
    smallest: float
    largest: float
    plays: int

    def predict(self, size: float) -> Estimate:
        """The curve at a size, with the confidence interval of its mean there."""
        if self.form is Form.POWER and size <= 0:
            return Estimate(0.0, 0.0, 0.0)
        place = math.log(size) if self.form is Form.POWER else size
        middle = self.first + self.second * place
        (a, b), (_, c) = self.covariance
        reach = self.quantile * math.sqrt(max(0.0, a + 2.0 * b * place + c * place * place))
        if self.form is Form.POWER:
            return Estimate(math.exp(middle), math.exp(middle - reach), math.exp(middle + reach))
        return Estimate(middle, middle - reach, middle + reach)

    @property
    def slope(self) -> Estimate:
        """Of a line the slope, of a power law the exponent."""
        reach = self.quantile * math.sqrt(max(0.0, self.covariance[1][1]))
        return Estimate(self.second, self.second - reach, self.second + reach)

    def size_at(self, value: float) -> float:
        """The size at which the curve reaches a value; infinity where it never does."""
        if self.form is Form.POWER:
            if self.second <= 0 or value <= 0:
                return math.inf
            exponent = (math.log(value) - self.first) / self.second
            return math.exp(exponent) if exponent < math.log(MOST_SIZE) else math.inf
        reached = (value - self.first) / self.second if self.second > 0 else math.inf
        return reached if reached < MOST_SIZE else math.inf


def _solve(places: Vector, values: Vector, scales: Vector) -> tuple[Vector, Vector]:
    """Coefficients and their covariance of a weighted straight line."""
    design = np.column_stack([np.ones_like(places), places]) / scales[:, None]
    target = values / scales
    found, *_ = np.linalg.lstsq(design, target, rcond=None)
    left = target - design @ found
    variance = float(left @ left) / (len(values) - 2)
    if variance < NEGLIGIBLE**2:
        variance = 0.0
    shares = (
        np.abs(found) * np.array([1.0, np.abs(places).max()]) / max(float(np.abs(values).max()), LEAST_VALUE)
    )
    found = np.where(shares < NEGLIGIBLE, 0.0, found)
    covariance = variance * np.linalg.inv(design.T @ design)
    return np.asarray(found, dtype=np.float64), np.asarray(covariance, dtype=np.float64)


def _scales(sizes: Vector, values: Vector) -> Vector:
    """For each play the mean at its size, bounded from below."""
    means = np.array([values[sizes == x].mean() for x in sizes])
    largest = float(np.abs(means).max())
    if largest == 0.0:
        return np.ones_like(means)
    return np.asarray(np.maximum(np.abs(means), LEAST_SCALE * largest), dtype=np.float64)


def _made(form: Form, sizes: Vector, values: Vector, scales: Vector) -> Fit:
    if form is Form.POWER:
        found, covariance = _solve(np.log(sizes), np.log(values), np.ones_like(values))
        curve = np.exp(found[0] + found[1] * np.log(sizes))
    else:
        found, covariance = _solve(sizes, values, scales)
        curve = found[0] + found[1] * sizes
    residual = float(np.sqrt(np.mean(((values - curve) / scales) ** 2)))
    quantile = float(stats.t.ppf(0.5 + CONFIDENCE / 2.0, len(values) - 2))
    (a, b), (c, d) = covariance.tolist()
    return Fit(
        form, float(found[0]), float(found[1]), ((a, b), (c, d)), quantile, residual,
        float(sizes.min()), float(sizes.max()), len(values),
    )  # fmt: skip


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """The better of a line and a power law through the plays. Raises FitError."""
    if len(sizes) < 3 or len({*sizes}) < 2:
        raise FitError(f"{len(sizes)} plays at {len({*sizes})} sizes; at least 3 plays at 2 sizes are due")
    x, y = np.asarray(sizes, dtype=np.float64), np.asarray(values, dtype=np.float64)
    scales = _scales(x, y)
    line = _made(Form.LINEAR, x, y, scales)
    if float(y.min()) <= 0.0 or float(x.min()) <= 0.0:
        return line
    power = _made(Form.POWER, x, y, scales)
    return power if line.residual > max(LINE_WILL_DO, PREFER_LINE * power.residual) else line
