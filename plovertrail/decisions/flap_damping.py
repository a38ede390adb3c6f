"""Flap damping: how long the join of an endpoint is delayed that was removed repeatedly."""

from __future__ import annotations

import math
from dataclasses import dataclass

REMOVAL_HALF_LIFE_US = 60_000_000
FREE_REMOVALS = 2.0  # recent removals, after decay, up to which a join is not delayed
INITIAL_HOLD_DOWN_US = 2_000_000  # doubles with each further removal
MAX_HOLD_DOWN_US = 60_000_000


@dataclass(frozen=True, slots=True)
class RemovalCount:
    """The number of an endpoint's recent removals; it decays exponentially."""

    removals: float
    updated_us: int

    def removals_at(self, now_us: int) -> float:
        """Compute the count at `now_us`, halved for each REMOVAL_HALF_LIFE_US."""
        return self.removals * math.exp2((self.updated_us - now_us) / REMOVAL_HALF_LIFE_US)


def hold_down_us(removal_count: RemovalCount | None, now_us: int) -> int:
    """Compute how long a join is delayed after recent removals."""
    removals = removal_count.removals_at(now_us) if removal_count is not None else 0.0
    if removals <= FREE_REMOVALS:
        return 0
    return min(MAX_HOLD_DOWN_US, int(INITIAL_HOLD_DOWN_US * math.exp2(removals - FREE_REMOVALS)))
