"""Sizes that real processes are measured at, and results made of repeats."""

from __future__ import annotations

import statistics
from collections.abc import Collection, Mapping, Sequence

from benchmarks.capacity.roles import Figure, TargetCost
from benchmarks.capacity.slopes import LEAST_SIZES, Axis, Sample, Situation, Slope, Unit

SERVICES = (1, 10, 50, 100, 200)
SERVERS = (3, 9, 30, 100)
SHORT_SERVICES = (1, 2, 3, 4)
SERVERS_AXIS_SERVICES = 50  # services while the number of servers is varied
DAEMON_CORE, SERVERS_CORE, CLIENT_CORE, PROBE_CORE = 1, 2, 3, 4


def slope(
    role: str,
    axis: Axis,
    unit: Unit,
    found: Mapping[int, Sequence[float]] | Mapping[float, Sequence[float]],
    situation: Situation = Situation.QUIET,
    note: str = "",
) -> Slope:
    """A slope of repeats by their sizes."""
    samples = tuple(Sample(float(size), tuple(values)) for size, values in found.items())
    return Slope(role, axis, unit, situation, samples, note)


def has_slope(sizes: Collection[float]) -> bool:
    """Whether these sizes are enough to fit a line."""
    return len(sizes) >= LEAST_SIZES


def cost_at(line: Slope, size: float) -> TargetCost:
    """The cost at a size: the median measured there, else what the fit gives, which is never below 0."""
    measured = [sample.median for sample in line.samples if sample.size == size]
    figure = measured[0] if measured else max(0.0, line.fit.at(size))
    return TargetCost(line.role, line.unit, line.situation, figure, line.extrapolated(size), line.note)


def largest_sample(line: Slope) -> Sample:
    """The one at the largest size."""
    return max(line.samples, key=lambda sample: sample.size)


def figure(name: str, values: Sequence[float], unit: str, note: str = "") -> Figure:
    """The median of repeats, with their range in the note."""
    spread = f"{min(values):.4g} to {max(values):.4g} in {len(values)}"
    return Figure(name, statistics.median(values), unit, f"{spread}; {note}" if note else spread)
