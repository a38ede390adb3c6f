"""Adapts the concurrency limit of an endpoint after each attempt.

Limits settle where responses take `TARGET_LOAD` of the slow response time: higher limits overload busy
endpoints, lower ones cause unnecessary rejections.
"""

from __future__ import annotations

from plovertrail.decisions.load_balancing.admission_control import TARGET_LOAD
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates

MAX_LIMIT = 8  # slots of one instance at one endpoint, however fast its responses are
MIN_LIMIT = 1 / 64  # a failing endpoint is tried about once in 64 mean response times
GROWTH = 0.4  # change of a limit, in slots, per round of responses and unit of distance from the target load
SHORTAGE_WINDOW = 4  # in slow response times; a limit grows only after a shortage this recent


class ConcurrencyLimiter:
    """Raises limits after a shortage if responses are fast, and lowers them if responses are slow."""

    __slots__ = ("last_shortage_us", "_latencies")

    def __init__(self, latencies: LatencyEstimates) -> None:
        self.last_shortage_us = 0  # when a request last found no free slot
        self._latencies = latencies

    def update(self, attempt: AttemptState, load: float, is_outlier: bool) -> None:
        """Adapt the limit to the load measured by one attempt; 1 is half the latency objective.

        Each response changes the limit by a little only, since a single heavy request is slow by itself.
        """
        endpoint = attempt.endpoint
        limit = endpoint.concurrency_limit
        step = GROWTH * (TARGET_LOAD - load) / max(limit, 1.0)
        endpoint.fast_growth = endpoint.fast_growth and step > 0.0 and not is_outlier
        if endpoint.fast_growth:
            # With normal growth, an instance that starts at peak time would reject a third of the traffic.
            step = 1.0 - load / TARGET_LOAD
        if is_outlier:
            # An endpoint that fails fast frees its slots fast and would otherwise attract more traffic.
            limit /= 2
        elif step < 0.0:
            # Slow responses never take the last slot: otherwise all endpoints would stay ejected for a long
            # time after an outage.
            limit = max(limit * (1.0 + step), min(limit, 1.0))
        elif limit < 1.0 or self._was_after_shortage(attempt):
            limit += min(limit, step)
        endpoint.concurrency_limit = min(max(limit, MIN_LIMIT), float(MAX_LIMIT))

    def _was_after_shortage(self, attempt: AttemptState) -> bool:
        """Return whether there was a shortage within `SHORTAGE_WINDOW` before an attempt, or since.

        Slots opened without need, especially by many instances at once, let a burst overload endpoints.
        """
        window_us = SHORTAGE_WINDOW * self._latencies.slow_us[attempt.class_index]
        return attempt.sent_at_us <= self.last_shortage_us + window_us
