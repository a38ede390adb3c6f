"""What every control role of the capacity benchmark has in common: how it is measured and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from benchmarks.capacity.slopes import Situation, Slope, Unit
from benchmarks.capacity.target import BUDGET, Budget
from benchmarks.report import Bar


@dataclass(frozen=True, slots=True)
class TargetCost:
    """A cost of one role for one sidecar at the planned size."""

    role: str
    unit: Unit
    situation: Situation
    figure: float
    extrapolated: bool  # the largest measured size is below the planned one
    note: str = ""


@dataclass(frozen=True, slots=True)
class Figure:
    """A measured value that is no point of a slope, such as the time until all views agree."""

    name: str
    value: float
    unit: str
    note: str = ""


@dataclass(frozen=True, slots=True)
class RoleResult:
    """All that one role reports; bars of its own stand beside those that come of its costs."""

    slopes: tuple[Slope, ...] = ()
    costs: tuple[TargetCost, ...] = ()
    figures: tuple[Figure, ...] = ()
    bars: tuple[Bar, ...] = ()


class Role(Protocol):
    """A control role that can be measured by itself."""

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        ...

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Measure it; the short form takes small sizes only."""
        ...


def budget_of(unit: Unit, budget: Budget = BUDGET) -> float | None:
    """The budget of one sidecar for all roles together; None for a unit that has none."""
    return {
        Unit.CORE_SHARE: budget.core_share,
        Unit.RESIDENT_BYTES: float(budget.resident_bytes),
        Unit.BYTES_PER_S: budget.bytes_per_s,
    }.get(unit)
