"""Tables, figures and bars of the capacity benchmark."""

from __future__ import annotations

from collections.abc import Mapping

from benchmarks.capacity.costs import planned_size
from benchmarks.capacity.roles import Figure, RoleResult, TargetCost, budget_of
from benchmarks.capacity.slopes import Situation, Slope, Unit
from benchmarks.report import Bar, table

LONGEST_NOTE = 60  # characters of a note that stands in each row; longer ones stand below the tables


def print_result(name: str, result: RoleResult, took_s: float) -> None:
    """All samples, fits, costs at the planned size and further figures of one role."""
    print(f"\n{name}: {took_s:.0f} s")
    table(
        ["samples", "against", "cost", "size", "median", "spread"],
        [row for slope in result.slopes for row in _sample_rows(slope)],
    )
    print()
    table(
        ["fit", "against", "cost", "base", "slope", "of", "residual", "planned size", "cost there", ""],
        [_fit_row(slope) for slope in result.slopes],
    )
    print()
    table(
        ["at the planned size", "cost", "figure", "of the budget", ""],
        [_cost_row(cost) for cost in result.costs],
    )
    if result.figures:
        print()
        table(["further", "figure", "", ""], [_figure_row(figure) for figure in result.figures])
    for note in sorted({slope.note for slope in result.slopes if len(slope.note) > LONGEST_NOTE}):
        print(f"note: {note}")
    print(end="", flush=True)


def _label(slope: Slope) -> str:
    """What tells a slope from others of its role: its situation, and a note that is short."""
    parts = [slope.role, slope.situation.value]
    if slope.note and len(slope.note) <= LONGEST_NOTE:
        parts.append(slope.note)
    return ", ".join(parts)


def _sample_rows(slope: Slope) -> list[list[object]]:
    return [
        [
            _label(slope),
            slope.axis.value,
            slope.unit.value,
            f"{sample.size:g}",
            _shown(sample.median),
            _shown(sample.spread),
        ]
        for sample in slope.samples
    ]


def _fit_row(slope: Slope) -> list[object]:
    fit, size = slope.fit, planned_size(slope.axis)
    return [
        _label(slope),
        slope.axis.value,
        slope.unit.value,
        _shown(fit.base),
        _shown(fit.slope),
        "log2" if fit.logarithmic else "size",
        f"{fit.residual:.1%}",
        f"{size:g}",
        _shown(fit.at(size)),
        "extrapolated" if slope.extrapolated(size) else "",
    ]


def _cost_row(cost: TargetCost) -> list[object]:
    budget = budget_of(cost.unit)
    ratio = f"{cost.figure / budget:.1%}" if budget else ""
    return [
        cost.situation.value,
        cost.unit.value,
        _shown(cost.figure),
        ratio,
        "extrapolated" if cost.extrapolated else "",
    ]


def _figure_row(figure: Figure) -> list[object]:
    return [figure.name, _shown(figure.value), figure.unit, figure.note]


def _shown(value: float) -> str:
    """Four significant digits."""
    return f"{value:.4g}" if abs(value) < 10_000 else f"{value:,.0f}"


def figures_of(results: Mapping[str, RoleResult]) -> dict[str, object]:
    """For the last line: of each role its slopes, costs and further figures."""
    return {
        name: {
            "slopes": [_slope_figures(slope) for slope in result.slopes],
            "costs": [
                {
                    "situation": cost.situation.value,
                    "unit": cost.unit.value,
                    "figure": float(f"{cost.figure:.5g}"),
                    "extrapolated": cost.extrapolated,
                }
                for cost in result.costs
            ],
            "further": {figure.name: float(f"{figure.value:.5g}") for figure in result.figures},
        }
        for name, result in results.items()
    }


def _slope_figures(slope: Slope) -> dict[str, object]:
    fit = slope.fit
    return {
        "axis": slope.axis.value,
        "unit": slope.unit.value,
        "situation": slope.situation.value,
        "samples": [
            [sample.size, float(f"{sample.median:.5g}"), float(f"{sample.spread:.5g}")]
            for sample in slope.samples
        ],
        "base": float(f"{fit.base:.5g}"),
        "slope": float(f"{fit.slope:.5g}"),
        "logarithmic": fit.logarithmic,
        "residual": float(f"{fit.residual:.4g}"),
    }


def bars_of(results: Mapping[str, RoleResult]) -> list[Bar]:
    """Each role alone, and the sum of all roles, as shares of the budget of one sidecar: each bar is 1. A
    role's own bars stand beside them."""
    bars = []
    sums: dict[tuple[Situation, Unit], float] = {}
    for name, result in results.items():
        for cost in result.costs:
            budget = budget_of(cost.unit)
            if budget is None:
                continue
            share = cost.figure / budget
            bars.append(Bar(f"{name}, {cost.situation.value}: {cost.unit.value} of the budget", share, 1.0))
            place = cost.situation, cost.unit
            sums[place] = sums.get(place, 0.0) + share
        bars += result.bars
    for (situation, unit), share in sums.items():
        bars.append(Bar(f"all roles, {situation.value}: {unit.value} of the budget", share, 1.0))
    return bars
