"""Samples of a cost against a size, and the line fitted through them."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

LEAST_SIZES = 4  # a slope through fewer sizes says nothing about its own error


class Axis(Enum):
    """What a cost was measured against."""

    SIDECARS = "sidecars"
    SERVICES = "services"
    SERVERS = "servers of a service"
    CHANGES = "changes a second"
    DEPTH = "services called one behind the other"


class Unit(Enum):
    """The unit of a cost, of one sidecar."""

    CORE_SHARE = "core"
    RESIDENT_BYTES = "resident B"
    BYTES_PER_S = "B/s"
    MILLISECONDS = "ms"
    SECONDS = "s"
    MESSAGES_PER_S = "messages/s"
    ATTEMPTS_PER_CALL = "attempts of a call at the top"


class Situation(Enum):
    """What happened while a cost was measured."""

    QUIET = "quiet"
    RESTARTS = "a tenth restarts"
    ZONE_RETURNS = "an eighth comes back at once"
    REGIONS_JOIN = "the regions meet again after five minutes"
    ORDINARY_DAY = "an ordinary day"
    LAST_SERVICE_FAILS = "the last service fails every attempt"


@dataclass(frozen=True, slots=True)
class Sample:
    """Repeated measurements of a cost at one size."""

    size: float
    values: tuple[float, ...]

    @property
    def median(self) -> float:
        """The median of the repeats."""
        return statistics.median(self.values)

    @property
    def spread(self) -> float:
        """The largest less the smallest repeat."""
        return max(self.values) - min(self.values)


@dataclass(frozen=True, slots=True)
class Fit:
    """cost = base + slope * f(size), f the identity or the logarithm.

    `residual` is the root mean square error as a share of the mean cost.
    """

    base: float
    slope: float
    residual: float
    logarithmic: bool = False

    def at(self, size: float) -> float:
        """The cost that the line gives for a size."""
        return self.base + self.slope * (math.log2(size) if self.logarithmic else size)


@dataclass(frozen=True, slots=True)
class Slope:
    """One cost of one role against one axis."""

    role: str
    axis: Axis
    unit: Unit
    situation: Situation
    samples: tuple[Sample, ...]
    note: str = ""

    @property
    def fit(self) -> Fit:
        """The better of a line and a logarithm through the medians."""
        return best_fit(self.samples)

    def extrapolated(self, size: float) -> bool:
        """Whether no sample was taken at this size or above."""
        return size > max(sample.size for sample in self.samples)


def best_fit(samples: Sequence[Sample]) -> Fit:
    """Least squares through the medians, of a line and of a logarithm; the one with the smaller residual.
    Raises ValueError for fewer than LEAST_SIZES sizes."""
    if len({sample.size for sample in samples}) < LEAST_SIZES:
        raise ValueError(f"a slope needs {LEAST_SIZES} sizes or more")
    fits = [_fit(samples, False)]
    if min(sample.size for sample in samples) >= 1:
        fits.append(_fit(samples, True))
    return min(fits, key=lambda fit: fit.residual)


def _fit(samples: Sequence[Sample], logarithmic: bool) -> Fit:
    sizes = [math.log2(sample.size) if logarithmic else sample.size for sample in samples]
    costs = [sample.median for sample in samples]
    slope, base = statistics.linear_regression(sizes, costs)
    errors = [cost - (base + slope * size) for size, cost in zip(sizes, costs, strict=True)]
    mean = statistics.fmean(map(abs, costs))
    residual = math.sqrt(statistics.fmean(error * error for error in errors)) / mean if mean else 0.0
    return Fit(base, slope, residual, logarithmic)
