"""Queues of work that becomes due: timers of the load balancer, and endpoints to recheck."""

from __future__ import annotations

import enum
import heapq

NEVER_US = 2**62  # later than any clock value


class TimerKind(enum.IntEnum):
    """Purpose of a timer. Of timers due at the same time, those with a lower value are handled first."""

    BUFFER_EXPIRY = 0
    HEDGE = 1
    POLL = 2


class TimerQueue:
    """A heap of timers, multiplexed onto the one timer that is requested by a `SetTimer` action."""

    __slots__ = ("_heap", "next_due_us", "armed_us")

    def __init__(self) -> None:
        self._heap: list[tuple[int, TimerKind, int]] = []  # (due, kind, request id)
        self.next_due_us = NEVER_US  # not later than the earliest entry
        self.armed_us = NEVER_US  # when the timer requested last fires

    def schedule(self, at_us: int, kind: TimerKind, request: int, now_us: int) -> None:
        """Add a timer; one that is already due fires with the next batch of events."""
        at_us = max(at_us, now_us + 1)
        heapq.heappush(self._heap, (at_us, kind, request))
        self.ensure_fires_by(at_us)

    def ensure_fires_by(self, at_us: int) -> None:
        """Ensure that the requested timer fires by this time."""
        if at_us < self.next_due_us:
            self.next_due_us = at_us

    def pop_due(self, now_us: int) -> tuple[TimerKind, int] | None:
        """Remove and return the earliest due timer as (kind, request id); None if there is none."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        _, kind, request = heapq.heappop(self._heap)
        return kind, request

    def reset_next_due(self) -> None:
        """Reset the next due time to the earliest entry, after all due work has been handled."""
        self.next_due_us = self._heap[0][0] if self._heap else NEVER_US

    def record_fired(self, now_us: int) -> None:
        """Record that a requested timer has fired.

        A stale timer does not clear the armed one: otherwise another timer would be requested, and the number
        of pending timers would never decrease.
        """
        if self.armed_us <= now_us:
            self.armed_us = NEVER_US

    def arm(self, at_us: int) -> bool:
        """Return whether a timer must be requested for this time, and record it as armed if so."""
        if at_us >= self.armed_us:
            return False
        self.armed_us = at_us
        return True


class RecheckQueue:
    """Endpoints to recheck when a cool-down or warm-up ends."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []  # (due, endpoint id)

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, at_us: int, endpoint_id: int) -> None:
        """Schedule a recheck of an endpoint."""
        heapq.heappush(self._heap, (at_us, endpoint_id))

    def next_due_us(self) -> int:
        """Return the time of the earliest recheck; its endpoint may no longer be listed."""
        return self._heap[0][0] if self._heap else NEVER_US

    def pop_due(self, now_us: int) -> int | None:
        """Remove and return the endpoint id of the earliest due recheck; None if there is none."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[1]
