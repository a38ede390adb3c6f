"""Random sampling in proportion to frequently changing weights.

A binary tree of partial sums of the weights (Wong and Easton, "An Efficient Method for Weighted Sampling
without Replacement", SIAM J. Comput. 9, 1980): a change updates the path from a leaf to the root, and a
sample descends from the root to a leaf, so both take logarithmic time. The sums on the path are recomputed
rather than adjusted by the difference, so that rounding errors do not accumulate.
"""

from __future__ import annotations

from collections.abc import Iterator

INITIAL_CAPACITY = 8  # a power of two


class WeightedSampler:
    """A set of integers, each with a weight of 0 or more."""

    __slots__ = ("_capacity", "_sums", "_members", "_leaves", "_free_leaves")

    def __init__(self) -> None:
        self._capacity = INITIAL_CAPACITY
        self._sums = [0.0] * (2 * INITIAL_CAPACITY)  # the root at 1; the children of i at 2i and 2i + 1
        self._members = [0] * INITIAL_CAPACITY
        self._leaves: dict[int, int] = {}
        self._free_leaves = list(range(INITIAL_CAPACITY - 1, -1, -1))

    def __len__(self) -> int:
        return len(self._leaves)

    def __contains__(self, member: int) -> bool:
        return member in self._leaves

    def __iter__(self) -> Iterator[int]:
        """Iterate in the order in which the members were added."""
        return iter(self._leaves)

    @property
    def total_weight(self) -> float:
        """Sum of all weights."""
        return self._sums[1]

    def set(self, member: int, weight: float) -> None:
        """Add a member, or change its weight."""
        if self.change(member, weight):
            return
        if not self._free_leaves:
            self._grow()
        leaf = self._free_leaves.pop()
        self._leaves[member] = leaf
        self._members[leaf] = member
        self._put(leaf, weight)

    def change(self, member: int, weight: float) -> bool:
        """Change the weight of a member; return False if it is not a member."""
        leaf = self._leaves.get(member)
        if leaf is None:
            return False
        self._put(leaf, weight)
        return True

    def discard(self, member: int) -> None:
        """Remove a member; do nothing if it is not one."""
        leaf = self._leaves.pop(member, None)
        if leaf is not None:
            self._put(leaf, 0.0)
            self._free_leaves.append(leaf)

    def sample(self, uniform: float) -> int | None:
        """Return the member selected by a uniform random number in [0, 1); None if all weights are 0."""
        sums = self._sums
        remainder = uniform * sums[1]
        if sums[1] <= 0.0:
            return None
        node = 1
        while node < self._capacity:
            node *= 2
            # Rounding may carry the remainder past the last weight, to a member whose weight is 0.
            if remainder >= sums[node] and sums[node + 1] > 0.0:
                remainder -= sums[node]
                node += 1
        return self._members[node - self._capacity]

    def _put(self, leaf: int, weight: float) -> None:
        sums = self._sums
        node = leaf + self._capacity
        if sums[node] == weight:
            return
        sums[node] = weight
        while node > 1:
            sums[node >> 1] = sums[node] + sums[node ^ 1]
            node >>= 1

    def _grow(self) -> None:
        weights = self._sums[self._capacity :]
        self._free_leaves = list(range(2 * self._capacity - 1, self._capacity - 1, -1))
        self._members += [0] * self._capacity
        self._capacity *= 2
        self._sums = [0.0] * self._capacity + weights + [0.0] * (self._capacity // 2)
        for node in range(self._capacity - 1, 0, -1):
            self._sums[node] = self._sums[2 * node] + self._sums[2 * node + 1]
