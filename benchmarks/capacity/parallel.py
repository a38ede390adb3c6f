"""Cases of a benchmark spread over processes."""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Sequence
from typing import TypeVar

Case = TypeVar("Case")
Measured = TypeVar("Measured")


def map_cases(function: Callable[[Case], Measured], cases: Sequence[Case], jobs: int) -> list[Measured]:
    """The results in the order of the cases; the costliest cases should come first."""
    if jobs <= 1:
        return [function(case) for case in cases]
    with multiprocessing.Pool(jobs) as pool:
        return pool.map(function, cases, chunksize=1)
