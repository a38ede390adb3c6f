"""Endpoints excluded for a request class because they left attempts of it without a response."""

from __future__ import annotations

import heapq

from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.timers import NEVER_US

MAX_EXCLUDED_SHARE = 2 / 3  # of the endpoints: if more are excluded, the whole fleet is slow, and none is


class ClassExclusions:
    """Owns the number of exclusions per class, and ends exclusions when they expire."""

    __slots__ = ("counts", "_table", "_ends")

    def __init__(self, table: EndpointTable) -> None:
        classes = table.settings.classes
        self.counts = [0] * len(classes)  # by class; listed endpoints only
        self._table = table
        self._ends: list[list[tuple[int, int]]] = [[] for _ in classes]  # (expiry, endpoint id); heaps

    def are_effective(self, class_index: int) -> bool:
        """Return whether exclusions for a class apply: not if too many endpoints are excluded."""
        return self.counts[class_index] <= MAX_EXCLUDED_SHARE * len(self._table.by_id)

    def exclude(self, endpoint: EndpointState, class_index: int, until_us: int) -> None:
        """Exclude an endpoint for a class until `until_us`; 0 ends the exclusion."""
        endpoint.excluded_until_us[class_index] = until_us
        if self._table.is_current(endpoint):
            self.counts[class_index] += (until_us > 0) - endpoint.counted_as_excluded[class_index]
            endpoint.counted_as_excluded[class_index] = until_us > 0
            if until_us > 0:
                heapq.heappush(self._ends[class_index], (until_us, endpoint.listed.id))

    def end_due(self, now_us: int) -> None:
        """End the exclusions that have expired."""
        for class_index, ends in enumerate(self._ends):
            while ends and ends[0][0] <= now_us:
                endpoint = self._table.by_id.get(heapq.heappop(ends)[1])
                if endpoint is not None and endpoint.excluded_until_us[class_index] <= now_us:
                    self.exclude(endpoint, class_index, 0)

    def next_end_us(self, class_index: int) -> int:
        """Return the earliest time at which an exclusion for a class may end."""
        ends = self._ends[class_index]
        return ends[0][0] if ends else NEVER_US

    def forget(self, endpoint: EndpointState) -> None:
        """Subtract a removed endpoint from the counts."""
        self.counts = [
            count - counted for count, counted in zip(self.counts, endpoint.counted_as_excluded, strict=True)
        ]
