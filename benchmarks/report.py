"""What every benchmark prints: a small table, and one JSON object of figures and bars as its last line."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import TypeVar

Case = TypeVar("Case")


@dataclass(frozen=True, slots=True)
class Bar:
    """A figure that must not go over its bar."""

    name: str
    figure: float
    most: float

    @property
    def held(self) -> bool:
        """Whether the figure is within its bar."""
        return self.figure <= self.most


def outage_parser(name: str) -> argparse.ArgumentParser:
    """Of a benchmark that plays outages with processes, one case after the other."""
    parser = argparse.ArgumentParser(prog=f"python -m benchmarks.{name}")
    parser.add_argument("--instances", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", type=int, help="one case only, by its place")
    return parser


def chosen(cases: list[Case], place: int | None) -> list[Case]:
    """All of them, or the one that was asked for."""
    return cases if place is None else cases[place : place + 1]


def table(head: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print columns, the first one to the left."""
    cells = [
        list(head),
        *([f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row] for row in rows),
    ]
    widths = [max(len(row[column]) for row in cells) for column in range(len(head))]
    for row in cells:
        first, *rest = (
            cell.ljust(width) if number == 0 else cell.rjust(width)
            for number, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        print("  ".join([first, *rest]).rstrip())


def close(name: str, figures: dict[str, object], bars: Sequence[Bar]) -> int:
    """Print the last line; the exit status: 1 if a bar is missed."""
    for bar in bars:
        print(f"{'held' if bar.held else 'MISSED'}: {bar.name} {bar.figure:.2f}, at most {bar.most:g}")
    print(
        json.dumps(
            {
                "benchmark": name,
                "figures": figures,
                "bars": {
                    bar.name: {"figure": round(bar.figure, 3), "most": bar.most, "held": bar.held}
                    for bar in bars
                },
            }
        )
    )
    return 0 if all(bar.held for bar in bars) else 1
