"""How the end of an attempt moves the concurrency limit of its endpoint.

Limits settle where responses take `TARGET_LOAD` of the slow response time: higher limits overload crowded
endpoints, lower ones reject early.
"""

from __future__ import annotations

from plovertrail.decisions.load_balancing.admission_control import TARGET_LOAD
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates

MAX_LIMIT = 8  # slots of one instance at one endpoint, even if its responses are fast
MIN_LIMIT = 1 / 64  # a failing endpoint is tried about once in 64 usual response times
GROWTH = 0.4  # slots that a round of responses moves the limit by, for each unit of distance from the target
SHORTAGE_WINDOW = 4  # slow response times before a send within which a shortage must have been seen


class ConcurrencyLimiter:
    """Grows limits that were short while responses are fast, and cuts them when responses are slow."""

    __slots__ = ("last_shortage_us", "_latencies")

    def __init__(self, latencies: LatencyEstimates) -> None:
        self.last_shortage_us = 0  # when a request last found no free slot
        self._latencies = latencies

    def update(self, attempt: AttemptState, load: float, is_outlier: bool) -> None:
        """Move the limit by the load that one attempt has shown; 1 is half the latency objective.

        A heavy request is slow by itself, so many responses move the limit together, each by a little.
        """
        endpoint = attempt.endpoint
        limit = endpoint.concurrency_limit
        step = GROWTH * (TARGET_LOAD - load) / max(limit, 1.0)
        endpoint.fast_growth = endpoint.fast_growth and step > 0.0 and not is_outlier
        if endpoint.fast_growth:
            # At the usual growth, an instance that starts in a busy hour would reject a third of the traffic.
            step = 1.0 - load / TARGET_LOAD
        if is_outlier:
            # An endpoint that fails fast frees its slot fast and would attract ever more traffic.
            limit /= 2
        elif step < 0.0:
            # Slow responses leave one slot: otherwise all endpoints would be ejected for long after an
            # outage.
            limit = max(limit * (1.0 + step), min(limit, 1.0))
        elif limit < 1.0 or self._was_after_shortage(attempt):
            limit += min(limit, step)
        endpoint.concurrency_limit = min(max(limit, MIN_LIMIT), float(MAX_LIMIT))

    def _was_after_shortage(self, attempt: AttemptState) -> bool:
        """Whether slots were short around the time of a send.

        Slots that are opened without need, above all by many instances, overload endpoints in a burst.
        """
        window_us = SHORTAGE_WINDOW * self._latencies.slow_us[attempt.class_index]
        return attempt.sent_at_us <= self.last_shortage_us + window_us
