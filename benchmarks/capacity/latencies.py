"""Percentiles of latencies, and the longest wait of a probe."""

from __future__ import annotations

import math
from collections.abc import Sequence


def percentile(values: Sequence[float], share: float) -> float:
    """The smallest value that at least this share of all values does not exceed (nearest rank). Raises
    ValueError for no values or a share outside 0 to 1."""
    if not values:
        raise ValueError("no values")
    if not 0.0 <= share <= 1.0:
        raise ValueError(f"{share} is no share")
    rank = max(1, math.ceil(share * len(values)))
    return sorted(values)[rank - 1]


def longest_gap(moments: Sequence[float]) -> float:
    """The longest time between two moments in a row; 0 for fewer than two."""
    ordered = sorted(moments)
    return max((later - sooner for sooner, later in zip(ordered, ordered[1:], strict=False)), default=0.0)
