"""Slow start: how far an endpoint has warmed up, and when the endpoints of a group get their next sends.

Capacity grows linearly over `Settings.warm_up_us`. Sends are scheduled by what the group serves rather than
by time, so that they follow the traffic.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from plovertrail.decisions.events import Endpoint
from plovertrail.decisions.load_balancing.event_rate import EventRate
from plovertrail.decisions.settings import Settings

PEAK_DECAY = 0.999  # of the peak response rate at each response; it outlasts a shortage of a minute
SHORTAGE_INTERVAL_US = 1_000_000  # responses come in bursts within shorter intervals
STALE_ENTRIES = 16  # tolerated in the queue besides two for each endpoint that warms up


def warm_up_fraction(settings: Settings, listed: Endpoint, now_us: int) -> float:
    """Return the fraction of its capacity that an endpoint is certain to have.

    If it counted as warm any sooner, all instances would send to it at one moment and overload it together.
    """
    if listed.started_us == 0:
        return 1.0
    age_us = now_us - listed.started_us
    if age_us >= settings.warm_up_us:
        return 1.0
    initial = settings.warm_up_initial_capacity
    return initial + (1.0 - initial) * max(0, age_us) / settings.warm_up_us


class WarmUpQueue:
    """The next sends to the endpoints of one group that warm up, by the group's progress."""

    __slots__ = (
        "progress",
        "_due",
        "_response_rate",
        "_peak_rate",
        "_interval_progress",
        "_interval_began_us",
    )

    def __init__(self, now_us: int) -> None:
        self.progress = 0.0  # responses so far, and a tenth of the requests admitted
        self._due: list[tuple[float, int]] = []  # (progress, endpoint id); a heap, with stale entries
        self._response_rate = EventRate(now_us)
        self._peak_rate = 0.0  # responses a second at best; it decays
        self._interval_progress = 0.0  # the progress at the end of the last interval of a shortage
        self._interval_began_us = now_us

    def __len__(self) -> int:
        return len(self._due)

    def schedule(self, progress: float, endpoint_id: int) -> None:
        """Open the slot of an endpoint once the group has made this progress."""
        heapq.heappush(self._due, (progress, endpoint_id))

    def drop_stale(self, current: Iterable[tuple[float, int]], count: int) -> None:
        """Keep the current entries only if too many are stale; `count` endpoints warm up.

        With endpoints that restart and next to no traffic, stale entries would accumulate.
        """
        if len(self._due) > 2 * count + STALE_ENTRIES:
            self._due = sorted(current)

    def pop_due(self) -> int | None:
        """Remove and return the next endpoint id that is due; None if there is none."""
        if not self._due or self._due[0][0] > self.progress:
            return None
        return heapq.heappop(self._due)[1]

    def record_response(self, now_us: int) -> None:
        """Count a request that was served."""
        self.progress += 1.0
        self._response_rate.record(now_us)
        self._peak_rate = max(self._peak_rate * PEAK_DECAY, self._response_rate.per_second)

    def record_rejection(self, now_us: int) -> None:
        """Continue the progress at its peak rate while requests are rejected without any attempt.

        Overloaded warm endpoints serve less, and endpoints that warm up beside them would get fewer sends the
        more they are needed. The progress is never faster than what was served, whatever the demand.
        """
        gap_us = now_us - self._interval_began_us
        if gap_us < SHORTAGE_INTERVAL_US:
            return
        if gap_us < 2 * SHORTAGE_INTERVAL_US:
            self.progress = max(self.progress, self._interval_progress + self._peak_rate * gap_us / 1e6)
        self._interval_progress = self.progress
        self._interval_began_us = now_us
