"""Slow start: the warm-up fraction of an endpoint, and the queue of sends to warming endpoints of a group.

Capacity grows linearly over `Settings.warm_up_us`. Sends are scheduled by the number of requests that the
group serves rather than by time, so that they follow the traffic.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from plovertrail.decisions.events import Endpoint
from plovertrail.decisions.load_balancing.event_rate import EventRate
from plovertrail.decisions.settings import Settings

PEAK_DECAY = 0.999  # of the peak response rate, per response; the peak outlasts a shortage of a minute
SHORTAGE_INTERVAL_US = 1_000_000  # in shorter intervals, responses come in bursts
STALE_ENTRIES = 16  # tolerated in the queue besides two entries per warming endpoint


def warm_up_fraction(settings: Settings, listed: Endpoint, now_us: int) -> float:
    """Return the fraction of its full capacity that an endpoint has reached for certain.

    If this were too high, all instances would send to the endpoint at once and overload it together.
    """
    if listed.started_us == 0:
        return 1.0
    age_us = now_us - listed.started_us
    if age_us >= settings.warm_up_us:
        return 1.0
    initial = settings.warm_up_initial_capacity
    return initial + (1.0 - initial) * max(0, age_us) / settings.warm_up_us


class WarmUpQueue:
    """The next sends to the warming endpoints of a group, ordered by the progress at which they are due."""

    __slots__ = (
        "progress",
        "_due",
        "_response_rate",
        "_peak_rate",
        "_interval_progress",
        "_interval_began_us",
    )

    def __init__(self, now_us: int) -> None:
        self.progress = 0.0  # responses so far, plus a tenth of the admitted requests
        self._due: list[tuple[float, int]] = []  # (progress, endpoint id); a heap, with stale entries
        self._response_rate = EventRate(now_us)
        self._peak_rate = 0.0  # peak of responses per second, with decay
        self._interval_progress = 0.0  # the progress at the start of the current interval of a shortage
        self._interval_began_us = now_us

    def __len__(self) -> int:
        return len(self._due)

    def schedule(self, progress: float, endpoint_id: int) -> None:
        """Schedule a send to an endpoint for this progress of the group."""
        heapq.heappush(self._due, (progress, endpoint_id))

    def drop_stale(self, current: Iterable[tuple[float, int]], count: int) -> None:
        """Remove stale entries if there are too many; `count` endpoints are warming up.

        They would accumulate if endpoints restart repeatedly while there is almost no traffic.
        """
        if len(self._due) > 2 * count + STALE_ENTRIES:
            self._due = sorted(current)

    def pop_due(self) -> int | None:
        """Remove and return the next due endpoint id; None if there is none."""
        if not self._due or self._due[0][0] > self.progress:
            return None
        return heapq.heappop(self._due)[1]

    def record_response(self, now_us: int) -> None:
        """Count a response as progress."""
        self.progress += 1.0
        self._response_rate.record(now_us)
        self._peak_rate = max(self._peak_rate * PEAK_DECAY, self._response_rate.per_second)

    def record_rejection(self, now_us: int) -> None:
        """Let the progress continue at its peak rate while requests are rejected without any attempt.

        Overloaded warm endpoints serve fewer requests, so warming ones would get fewer sends the more they
        are needed. The progress is never faster than the peak response rate, whatever the demand.
        """
        gap_us = now_us - self._interval_began_us
        if gap_us < SHORTAGE_INTERVAL_US:
            return
        if gap_us < 2 * SHORTAGE_INTERVAL_US:
            self.progress = max(self.progress, self._interval_progress + self._peak_rate * gap_us / 1e6)
        self._interval_progress = self.progress
        self._interval_began_us = now_us
