"""Work that becomes due by time: the wake-ups of the load balancer, and endpoints to recheck."""

from __future__ import annotations

import enum
import heapq

NEVER_US = 2**62  # later than any clock shows


class TimerKind(enum.IntEnum):
    """What a timer is for; of timers due at one moment, the one with the lower value is handled first."""

    BUFFER_EXPIRY = 0
    HEDGE = 1
    POLL = 2


class TimerQueue:
    """The heap of wake-ups, and the one timer that is requested from outside for the earliest of them."""

    __slots__ = ("_heap", "next_due_us", "armed_us")

    def __init__(self) -> None:
        self._heap: list[tuple[int, TimerKind, int]] = []  # (due, kind, request id)
        self.next_due_us = NEVER_US  # no later than the earliest wake-up
        self.armed_us = NEVER_US  # when the timer that was requested last fires

    def schedule(self, at_us: int, kind: TimerKind, request: int, now_us: int) -> None:
        """Add a wake-up; one that is due already comes with the next batch of events."""
        at_us = max(at_us, now_us + 1)
        heapq.heappush(self._heap, (at_us, kind, request))
        self.ensure_fires_by(at_us)

    def ensure_fires_by(self, at_us: int) -> None:
        """Make sure that the timer fires at this time at the latest."""
        if at_us < self.next_due_us:
            self.next_due_us = at_us

    def pop_due(self, now_us: int) -> tuple[TimerKind, int] | None:
        """Remove and return the earliest wake-up that is due, with its request; None if there is none."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        _, kind, request = heapq.heappop(self._heap)
        return kind, request

    def reset_next_due(self) -> None:
        """Forget requirements that have been met; only the wake-ups in the heap count from now on."""
        self.next_due_us = self._heap[0][0] if self._heap else NEVER_US

    def record_fired(self, now_us: int) -> None:
        """Note that a timer fired.

        A stale timer leaves the armed one in force: if it armed another, the two would never die out.
        """
        if self.armed_us <= now_us:
            self.armed_us = NEVER_US

    def arm(self, at_us: int) -> bool:
        """Return whether a timer has to be requested for this time."""
        if at_us >= self.armed_us:
            return False
        self.armed_us = at_us
        return True


class RecheckQueue:
    """When endpoints are rechecked because a cool-down or a warm-up ends."""

    __slots__ = ("_heap",)

    def __init__(self) -> None:
        self._heap: list[tuple[int, int]] = []  # (due, endpoint id)

    def __len__(self) -> int:
        return len(self._heap)

    def schedule(self, at_us: int, endpoint_id: int) -> None:
        """Recheck an endpoint at this time."""
        heapq.heappush(self._heap, (at_us, endpoint_id))

    def next_due_us(self) -> int:
        """Return the time of the earliest recheck, which may be of an endpoint that is no longer listed."""
        return self._heap[0][0] if self._heap else NEVER_US

    def pop_due(self, now_us: int) -> int | None:
        """Remove and return the earliest endpoint id that is due; None if there is none."""
        if not self._heap or self._heap[0][0] > now_us:
            return None
        return heapq.heappop(self._heap)[1]
