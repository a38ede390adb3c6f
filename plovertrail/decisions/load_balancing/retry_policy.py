"""Decides whether and until when attempts may be made, and the final answer if there is no further attempt.

This covers rules 1 and 2 of the contract as far as they do not depend on the endpoint: each request gets one
final answer, and is rejected or retried only where a second execution is impossible or allowed.
"""

from __future__ import annotations

from plovertrail.decisions.actions import Fail, Reject
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.latency_estimates import LatencyEstimates
from plovertrail.decisions.load_balancing.outcomes import RETRYABLE
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.decisions.settings import RequestClass, Settings


class RetryPolicy:
    """Decides by request class, earlier attempts, remaining time and retry budget."""

    __slots__ = ("_settings", "_latencies", "_budget")

    def __init__(self, settings: Settings, latencies: LatencyEstimates, budget: RetryBudget) -> None:
        self._settings = settings
        self._latencies = latencies
        self._budget = budget

    def may_send(self, request: RequestState, now_us: int) -> bool:
        """Return whether a request may be sent to any endpoint now."""
        event = request.event
        if request.is_closed or request.is_streaming or now_us >= event.due_us:
            return False
        attempt_limit = self._settings.max_attempts if event.attempts_left is None else event.attempts_left
        if len(request.attempts) >= attempt_limit:
            return False
        if request.in_flight > 0 and not self._settings.hedging:
            return False
        if not request.attempts:
            return True
        first = request.first_that_may_have_run()
        request_class = self._settings.classes[event.class_index]
        if first is None or request_class.effect == "idempotent":
            return True
        return (
            request_class.effect == "deduplicated"
            and now_us - first.sent_at_us < request_class.dedup_window_us
        )

    def may_retry(self, request: RequestState, outcome: Outcome, now_us: int) -> bool:
        """Return whether a request may be retried after an attempt with this outcome.

        Without a budget, retries after timeouts would double the load that makes a fleet slow.
        """
        return outcome in RETRYABLE and self.may_send(request, now_us) and self._budget.allows_retry()

    def charge_attempt(self, request: RequestState) -> None:
        """Credit the budget for a first attempt, or charge it for a later one."""
        if request.total_attempts() == 0:
            self._budget.record_first_attempt()
        else:
            self._budget.record_retry()

    def latest_start_us(self, request: RequestState) -> int:
        """Return the latest time at which an attempt can be expected to respond in time.

        The expected response time is at most half the latency objective: otherwise, after an outage in which
        all attempts timed out, no request would be sent any more.
        """
        class_index = request.event.class_index
        response_us = min(self._latencies.mean_us[class_index], self._latencies.slow_us[class_index])
        return request.useful_until_us - int(response_us)

    def attempt_timeout_us(self, request: RequestState, now_us: int) -> int:
        """Return the timeout of an attempt: the useful time left, or less if a retry may follow."""
        left_us = max(1, request.useful_until_us - now_us)
        may_retry = not self._settings.hedging and self._class_of(request).effect != "at_most_once"
        if not may_retry or not self._budget.allows_retry():
            return left_us
        index = request.event.class_index
        typical_us = max(int(4 * self._latencies.mean_us[index]), self._latencies.slow_us[index])
        return min(left_us, max(typical_us, 4 * request.event.cost_us))

    def start_within_us(self, request: RequestState, now_us: int) -> int:
        """Return within what time a retry must be written to be recognized as a duplicate; 0 = no limit.

        Its connection may take so long to open that the endpoints no longer remember the idempotency key.
        """
        request_class = self._class_of(request)
        if request_class.effect != "deduplicated":
            return 0
        first = request.first_that_may_have_run()
        if first is None or first is request.attempts[-1]:
            return 0
        return max(1, first.sent_at_us + request_class.dedup_window_us - now_us)

    def hedge_delay_us(self, request: RequestState) -> int | None:
        """Return the delay of a hedge, short enough to be useful and long enough to be rare; None = never."""
        if not self._settings.hedging or self._class_of(request).effect == "at_most_once":
            return None
        index = request.event.class_index
        return min(int(2 * self._latencies.mean_us[index]), self._latencies.slow_us[index])

    def final_answer(self, request: RequestState, uniform: float) -> Reject | Fail:
        """Return the final answer to a request without a response; `uniform` is a random number from 0 to 1.

        Retry-After is about one response time, with jitter so that rejected clients do not retry together.
        """
        if not self._may_reject(request):
            return Fail(request.event.request)
        after_us = self._latencies.mean_us[request.event.class_index] * (0.5 + uniform)
        after_us = min(after_us, self._settings.max_retry_after_us)
        return Reject(request.event.request, int(after_us) if self._settings.retry_after else 0)

    def _may_reject(self, request: RequestState) -> bool:
        """Return whether a retry by the client is safe; if not, the request must be answered as failed."""
        request_class = self._class_of(request)
        return (
            request_class.effect == "idempotent"
            or request.first_that_may_have_run() is None
            or (request_class.effect == "deduplicated" and request_class.dedup_scope == "all")
        )

    def _class_of(self, request: RequestState) -> RequestClass:
        return self._settings.classes[request.event.class_index]
