"""When one instance acts among many that start, resume or reconfigure at one moment.

Instances that know their rank in the list of instances spread evenly by it, no two at one moment. Those that
don't spread at random.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceRank:
    """The rank of an instance among all; a `rank` of None is not known."""

    rank: int | None = None
    size: int = 1

    def delay_fraction(self, draw: float) -> float:
        """Compute after which part of a span, from 0 to 1, this instance acts.

        `draw` is a random number from 0 to 1. It moves the instance within the part that falls to its rank:
        by rank alone, two whose lists differ or who share a name would act at the same moment each time.
        """
        if self.rank is None:
            return draw
        return (self.rank + draw) / self.size


def rank_of(name: str, names: Sequence[str]) -> InstanceRank:
    """Find the rank of an instance among those that a list names, in whatever order.

    An instance that is not in the list has no rank.
    """
    sorted_names = sorted(set(names))
    size = max(1, len(sorted_names))
    return InstanceRank(sorted_names.index(name), size) if name in sorted_names else InstanceRank(None, size)
