"""How long the join of an endpoint is held back that was removed again and again."""

from __future__ import annotations

import math
from dataclasses import dataclass

REMOVAL_HALF_LIFE_US = 60_000_000
FREE_REMOVALS = 2.0  # within about a minute, after which a join is held back
INITIAL_HOLD_DOWN_US = 2_000_000  # doubles with each further removal
MAX_HOLD_DOWN_US = 60_000_000


@dataclass(frozen=True, slots=True)
class RemovalCount:
    """How often an endpoint was removed of late; the count decays."""

    removals: float
    updated_us: int

    def removals_at(self, now_us: int) -> float:
        """Compute the count at `now_us`, halved for each REMOVAL_HALF_LIFE_US."""
        return self.removals * math.exp2((self.updated_us - now_us) / REMOVAL_HALF_LIFE_US)


def hold_down_us(removal_count: RemovalCount | None, now_us: int) -> int:
    """Compute for how long a join is held back after the removals of late."""
    removals = removal_count.removals_at(now_us) if removal_count is not None else 0.0
    if removals <= FREE_REMOVALS:
        return 0
    return min(MAX_HOLD_DOWN_US, int(INITIAL_HOLD_DOWN_US * math.exp2(removals - FREE_REMOVALS)))
