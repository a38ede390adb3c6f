"""Records ended attempts: health, selection weight, warm-up progress, responses and latency."""

from __future__ import annotations

from plovertrail.decisions.actions import CloseIdle
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.endpoint_health import EndpointHealth
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates
from plovertrail.decisions.load_balancing.outcomes import RESPONDED, TIMED
from plovertrail.decisions.load_balancing.pending_actions import PendingActions
from plovertrail.decisions.load_balancing.response_tracking import ResponseTracker

STANDBY_BELOW = 0.5  # slots; an endpoint with a lower concurrency limit is moved to standby
LOG_EJECTED_BELOW = 0.25  # slots; endpoints with a lower concurrency limit are logged as ejected
LOG_RESTORED_FROM = 1.0  # slots; from this limit on, they are logged as restored


class OutcomeRecorder:
    """Records ended attempts."""

    __slots__ = ("_table", "_latencies", "_health", "_tracker", "_actions")

    def __init__(
        self,
        table: EndpointTable,
        latencies: LatencyEstimates,
        health: EndpointHealth,
        tracker: ResponseTracker,
        actions: PendingActions,
    ) -> None:
        self._table = table
        self._latencies = latencies
        self._health = health
        self._tracker = tracker
        self._actions = actions

    def record(self, attempt: AttemptState, outcome: Outcome, elapsed_us: int, now_us: int) -> None:
        """Record an attempt that has just ended."""
        endpoint = attempt.endpoint
        earlier = endpoint.end_attempt(attempt)
        # A timeout while later sends were answered does not indicate load. If it did, an endpoint that leaves
        # some attempts without a response would be reduced to one slot, and its latency would be distorted.
        is_out_of_order = attempt.slot_released or attempt.later_answered > 0
        is_relevant = not (is_out_of_order and outcome is Outcome.TIMEOUT)
        if is_relevant and self._health.update(attempt, outcome, elapsed_us, now_us):
            self._move_to_standby_if_failing(endpoint, now_us)
            self._log_ejection(endpoint, now_us)
        self._table.update_selection_weight(endpoint, now_us)
        if outcome in RESPONDED:
            endpoint.group.warm_up.record_response(now_us)
            self._tracker.record_response(attempt, earlier, now_us)
        elif outcome is Outcome.TIMEOUT:
            self._tracker.record_timeout(attempt, elapsed_us)
        if is_relevant and outcome in TIMED:
            self._latencies.record(attempt.class_index, elapsed_us)

    def _move_to_standby_if_failing(self, endpoint: EndpointState, now_us: int) -> None:
        """Move a failing endpoint to standby, so that another replaces it, and close its idle connections."""
        if endpoint.concurrency_limit < STANDBY_BELOW and self._table.set_active(endpoint, False, now_us):
            self._actions.pending.append(CloseIdle(endpoint.listed.id))

    def _log_ejection(self, endpoint: EndpointState, now_us: int) -> None:
        limit = LOG_RESTORED_FROM if endpoint.logged_as_ejected else LOG_EJECTED_BELOW
        is_ejected = endpoint.concurrency_limit < limit
        if is_ejected == endpoint.logged_as_ejected:
            return
        event = "endpoint ejected" if is_ejected else "endpoint restored"
        if self._actions.log(f"{event} endpoint={endpoint.listed.id}", now_us):
            endpoint.logged_as_ejected = is_ejected
