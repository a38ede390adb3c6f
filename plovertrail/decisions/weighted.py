"""Random draws in proportion to weights that change all the time; bookkeeping that decides nothing.

A binary tree of sums over the weights (Wong and Easton, "An Efficient Method for Weighted Sampling without
Replacement", SIAM J. Comput. 9, 1980): a change goes from a leaf to the root and a draw back, so that both
cost the logarithm of the number of members. Sums are added anew on the way up and not adjusted, so that no
rounding error builds up.
"""

from __future__ import annotations

from collections.abc import Iterator

LEAST_PLACES = 8  # a power of two


class WeightedDraw:
    """Numbers with weights of 0 or more."""

    def __init__(self) -> None:
        self._places = LEAST_PLACES
        self._sums = [0.0] * (2 * LEAST_PLACES)  # the root at 1; the children of i at 2i and 2i + 1
        self._members = [0] * LEAST_PLACES
        self._place: dict[int, int] = {}
        self._free = list(range(LEAST_PLACES - 1, -1, -1))

    def __len__(self) -> int:
        return len(self._place)

    def __contains__(self, member: int) -> bool:
        return member in self._place

    @property
    def whole(self) -> float:
        """The sum of all weights."""
        return self._sums[1]

    def __iter__(self) -> Iterator[int]:
        """In the order in which they came."""
        return iter(self._place)

    def set(self, member: int, weight: float) -> None:
        """Add a member, or change its weight."""
        if not self.change(member, weight):
            if not self._free:
                self._grow()
            place = self._place[member] = self._free.pop()
            self._members[place] = member
            self._put(place, weight)

    def change(self, member: int, weight: float) -> bool:
        """Give a member another weight; False if it is none."""
        place = self._place.get(member)
        if place is None:
            return False
        self._put(place, weight)
        return True

    def discard(self, member: int) -> None:
        """Draw a member no more; nothing happens if there is no such member."""
        place = self._place.pop(member, None)
        if place is not None:
            self._put(place, 0.0)
            self._free.append(place)

    def draw(self, uniform: float) -> int | None:
        """The member that a number from 0 to 1 (without 1) falls to; None if all weights are 0."""
        sums = self._sums
        rest = uniform * sums[1]
        if sums[1] <= 0.0:
            return None
        place = 1
        while place < self._places:
            place *= 2
            # hazard: rounding may carry the rest past the last weight, to a member that has none
            if rest >= sums[place] and sums[place + 1] > 0.0:
                rest -= sums[place]
                place += 1
        return self._members[place - self._places]

    def _put(self, place: int, weight: float) -> None:
        sums = self._sums
        place += self._places
        if sums[place] == weight:
            return
        sums[place] = weight
        while place > 1:
            sums[place >> 1] = sums[place] + sums[place ^ 1]
            place >>= 1

    def _grow(self) -> None:
        weights = self._sums[self._places :]
        self._free = list(range(2 * self._places - 1, self._places - 1, -1))
        self._members += [0] * self._places
        self._places *= 2
        self._sums = [0.0] * self._places + weights + [0.0] * (self._places // 2)
        for place in range(self._places - 1, 0, -1):
            self._sums[place] = self._sums[2 * place] + self._sums[2 * place + 1]
