"""From repeated measurements of one sidecar's costs to slopes and to costs at the planned size."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from benchmarks.capacity.roles import TargetCost
from benchmarks.capacity.slopes import LEAST_SIZES, Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET

Costs = Mapping[Unit, float]


@dataclass(frozen=True, slots=True)
class Run:
    """The costs that one run measured at one size."""

    size: float
    costs: Costs


@dataclass(frozen=True, slots=True)
class Measurement:
    """What the runs of one role were about."""

    role: str
    axis: Axis
    situation: Situation
    note: str = ""


def slopes_of(measurement: Measurement, runs: Sequence[Run]) -> tuple[Slope, ...]:
    """A slope for each unit that the runs measured; none where they cover too few sizes."""
    sizes = sorted({run.size for run in runs})
    if len(sizes) < LEAST_SIZES:
        return ()
    units = [unit for unit in Unit if all(unit in run.costs for run in runs)]
    return tuple(
        Slope(
            measurement.role,
            measurement.axis,
            unit,
            measurement.situation,
            tuple(Sample(size, tuple(run.costs[unit] for run in runs if run.size == size)) for size in sizes),
            measurement.note,
        )
        for unit in units
    )


def planned_size(axis: Axis) -> float:
    """The planned installation's size on an axis."""
    changes_per_s = TARGET.changes_per_day / 86_400
    return {
        Axis.SIDECARS: float(TARGET.sidecars),
        Axis.SERVICES: float(TARGET.services),
        Axis.SERVERS: float(TARGET.servers_per_service),
        Axis.CHANGES: changes_per_s,
        Axis.DEPTH: float(TARGET.call_depth),
    }[axis]


def target_cost(slope: Slope, size: float | None = None) -> TargetCost:
    """The cost at the planned size: the median measured there, or else what the fit gives."""
    size = planned_size(slope.axis) if size is None else size
    measured = [sample for sample in slope.samples if sample.size == size]
    figure = measured[0].median if measured else max(0.0, slope.fit.at(size))
    extrapolated = slope.extrapolated(size)
    return TargetCost(slope.role, slope.unit, slope.situation, figure, extrapolated, slope.note)
