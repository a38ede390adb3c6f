"""Turns of one instance among many that come to life, wake or begin anew at one moment.

Those who know their place in the list of instances take turns by it: an even spread, with no two at one
moment. Those who don't take random ones. Pure.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class InstanceRank:
    """Where an instance stands among all. `rank` None: it isn't known."""

    rank: int | None = None
    size: int = 1

    def part(self, draw: float) -> float:
        """Which part of a span, from 0 to 1, its turn comes after; `draw` is a random number from 0 to 1.
        Hazard: by rank alone, two whose lists differ, or who go by one name, would come at the same moment
        each time; so the turn lies at random within the part that falls to the rank."""
        if self.rank is None:
            return draw
        return (self.rank + draw) / self.size


def place(name: str, names: Sequence[str]) -> InstanceRank:
    """The place of `name` among the instances that a list names, in whatever order; one that is not in it has
    none, and takes turns at random."""
    sorted_names = sorted(set(names))
    size = max(1, len(sorted_names))
    return InstanceRank(sorted_names.index(name), size) if name in sorted_names else InstanceRank(None, size)
