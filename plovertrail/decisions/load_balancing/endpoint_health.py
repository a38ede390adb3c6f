"""Updates the load and health estimates of an endpoint after an attempt."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.concurrency_limits import ConcurrencyLimiter
from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates
from plovertrail.decisions.load_balancing.outcomes import FAULTS, LOAD_SIGNALS, RESPONDED
from plovertrail.decisions.load_balancing.outlier_ejection import OutlierEjector

MAX_LOAD = 2.0  # of one attempt, in halves of the latency objective; also the load of one without a response
MIN_RELATIVE_LATENCY = 0.1
MAX_RELATIVE_LATENCY = 4.0  # also the relative latency of an outlier
LATENCY_WINDOW = 4  # attempts over which the relative latency of an endpoint is averaged


class EndpointHealth:
    """Updates, in order: outlier state, relative latency, admission, concurrency limit and cool-down."""

    __slots__ = ("_latencies", "_limiter", "_ejector")

    def __init__(
        self, latencies: LatencyEstimates, limiter: ConcurrencyLimiter, ejector: OutlierEjector
    ) -> None:
        self._latencies = latencies
        self._limiter = limiter
        self._ejector = ejector

    def update(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, now_us: int) -> bool:
        """Record an ended attempt; return whether it may have changed the concurrency limit."""
        endpoint = attempt.endpoint
        is_fault = outcome in FAULTS
        is_outlier = self._ejector.record_attempt(endpoint, outcome, is_fault, now_us)
        if is_fault and not is_outlier and outcome is not Outcome.MALFORMED:
            return False  # the elapsed time of a failure says nothing about the load
        mean_us = self._latencies.mean_us[attempt.class_index]
        slow_us = self._latencies.slow_us[attempt.class_index]
        load = min(MAX_LOAD, elapsed_us / slow_us) if outcome in RESPONDED else MAX_LOAD
        latency = MAX_RELATIVE_LATENCY if is_outlier else elapsed_us / mean_us
        latency = min(max(latency, MIN_RELATIVE_LATENCY), MAX_RELATIVE_LATENCY)
        endpoint.relative_latency += (latency - endpoint.relative_latency) / LATENCY_WINDOW
        group = endpoint.group
        # Fast responses of warming endpoints must not raise the admission while warm ones are overloaded.
        if outcome in LOAD_SIGNALS and endpoint.listed.id not in group.warming:
            group.admission.record_load(load, now_us)
        self._limiter.update(attempt, load, is_outlier)
        if endpoint.concurrency_limit < 1.0:
            # If responses take seconds, a short cool-down would not relieve an overloaded endpoint.
            busy_us = max(min(mean_us, slow_us), min(elapsed_us, 2 * slow_us))
            self._ejector.eject(endpoint, busy_us, now_us)
        return True
