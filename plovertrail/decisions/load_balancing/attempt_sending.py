"""Starts attempts: takes a slot, charges admission and the retry budget, and sets the timers."""

from __future__ import annotations

from plovertrail.decisions.actions import Send
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.response_tracking import ResponseTracker
from plovertrail.decisions.load_balancing.retry_policy import RetryPolicy
from plovertrail.decisions.load_balancing.timers import TimerKind, TimerQueue
from plovertrail.decisions.load_balancing.warm_up_scheduler import WarmUpScheduler


class AttemptSender:
    """Sends requests to the endpoints selected for them."""

    __slots__ = ("_table", "_warm_ups", "_retries", "_tracker", "_timers")

    def __init__(
        self,
        table: EndpointTable,
        warm_ups: WarmUpScheduler,
        retries: RetryPolicy,
        tracker: ResponseTracker,
        timers: TimerQueue,
    ) -> None:
        self._table = table
        self._warm_ups = warm_ups
        self._retries = retries
        self._tracker = tracker
        self._timers = timers

    def send(self, request: RequestState, endpoint: EndpointState, now_us: int) -> Send:
        """Start an attempt and return the action that sends it."""
        event = request.event
        self._take_slot(endpoint, now_us)
        self._retries.charge_attempt(request)
        attempt = AttemptState(endpoint, endpoint.listed, event.class_index, now_us)
        request.attempts.append(attempt)
        request.in_flight += 1
        endpoint.attempts.append(attempt)
        if not self._table.settings.classes[event.class_index].stream:
            self._timers.ensure_fires_by(self._tracker.track(attempt))
        timeout_us = self._retries.attempt_timeout_us(request, now_us)
        start_within_us = self._retries.start_within_us(request, now_us)
        hedge_delay_us = self._retries.hedge_delay_us(request)
        if hedge_delay_us is not None:
            self._timers.schedule(now_us + hedge_delay_us, TimerKind.HEDGE, event.request, now_us)
        return Send(event.request, endpoint.listed.id, timeout_us, start_within_us)

    def _take_slot(self, endpoint: EndpointState, now_us: int) -> None:
        if self._table.warm_up_fraction(endpoint, now_us) < 1.0:
            self._warm_ups.schedule_send(endpoint, 1.0, now_us)
        endpoint.in_flight += 1
        endpoint.group.admission.record_send(now_us)
        if endpoint.listed.id not in endpoint.group.active:
            self._table.set_active(endpoint, True, now_us)
        self._table.update_selection_weight(endpoint, now_us)
