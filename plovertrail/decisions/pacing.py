"""Spreads the actions of instances that start, resume or reload their configuration at the same time.

Instances that know their rank in the list of instances spread evenly by it, no two at the same time. The
others spread at random.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceRank:
    """The rank of an instance among all instances; a `rank` of None is unknown."""

    rank: int | None = None
    size: int = 1

    def delay_fraction(self, draw: float) -> float:
        """Return this instance's delay as a fraction of a period, from 0 to 1.

        `draw` is a random number from 0 to 1 that places the instance within the slice of its rank. By rank
        alone, two instances with different lists or with the same name would always act at the same time.
        """
        if self.rank is None:
            return draw
        return (self.rank + draw) / self.size


def rank_of(name: str, names: Sequence[str]) -> InstanceRank:
    """Return the rank of an instance among the listed names; the order of the list doesn't matter.

    An instance that is not listed has no rank.
    """
    sorted_names = sorted(set(names))
    size = max(1, len(sorted_names))
    return InstanceRank(sorted_names.index(name), size) if name in sorted_names else InstanceRank(None, size)
