"""Tracks attempts that are overdue: they have had no response within the latency objective.

An endpoint, or the network before it, may leave some requests (dropped, blocked on a lock, routed to a dead
shard) or all requests of one class without a response, and serve the others well. Requests that must not be
retried are lost there, and their timeouts show this only after many mean response times. So once an attempt
is overdue, the endpoint is selected less for that class, and after several overdue attempts in a row it is
excluded for a time. This also covers endpoints that do not respond at all. The disadvantage: a class that is
slow by nature and rare is moved away from endpoints that would respond late.
"""

from __future__ import annotations

import random
from collections import deque
from typing import Protocol

from plovertrail.decisions.load_balancing.admission_control import TARGET_LOAD
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.class_exclusions import ClassExclusions
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.timers import NEVER_US

MIN_LATER_ANSWERED = 4  # responses to later sends that tell a lost attempt from a queued one
RATE_WINDOW = 16  # attempts of a class over which the rate of overdue ones is averaged
EXCLUDE_AFTER = 3  # consecutive overdue attempts of a class
MAX_CONSECUTIVE = 5  # more are counted as this many, which limits the exclusion time


class NoResponseCallback(Protocol):
    """Callback for each attempt that is overdue without a response."""

    def __call__(self, endpoint: EndpointState, class_index: int, /) -> None:
        """Handle an overdue attempt of this class at this endpoint."""


class ResponseTracker:
    """Tracks attempts in flight until they have ended or are overdue."""

    __slots__ = ("callback", "_table", "_exclusions", "_random", "_limits_us", "_awaiting")

    def __init__(self, table: EndpointTable, exclusions: ClassExclusions, rng: random.Random) -> None:
        self.callback: NoResponseCallback | None = None
        self._table = table
        self._exclusions = exclusions
        self._random = rng
        # Few responses take longer than the objective unless the endpoint is slow for all requests. With a
        # shorter limit, attempts that are slow because of an overload would be mistaken for lost ones.
        self._limits_us = [each.latency_objective_us for each in table.settings.classes]
        # By class, in send order, which is also the order in which they become overdue.
        self._awaiting: list[deque[AttemptState]] = [deque() for _ in self._limits_us]

    def track(self, attempt: AttemptState) -> int:
        """Track a new attempt; return when it becomes overdue."""
        self._awaiting[attempt.class_index].append(attempt)
        return attempt.sent_at_us + self._limits_us[attempt.class_index]

    def check_overdue(self, now_us: int) -> int:
        """Handle the overdue attempts; return when the next one may become overdue."""
        next_us = NEVER_US
        for awaiting, limit_us in zip(self._awaiting, self._limits_us, strict=True):
            while awaiting and (
                awaiting[0].outcome is not None or awaiting[0].sent_at_us + limit_us <= now_us
            ):
                attempt = awaiting.popleft()
                if attempt.outcome is None:
                    self._record_no_response(attempt, now_us)
            if awaiting:
                next_us = min(next_us, awaiting[0].sent_at_us + limit_us)
        return next_us

    def record_response(self, attempt: AttemptState, earlier: list[AttemptState], now_us: int) -> None:
        """Record a response; `earlier` are the attempts in flight that were sent to the endpoint before."""
        endpoint = attempt.endpoint
        class_index = attempt.class_index
        endpoint.no_response_rate[class_index] -= endpoint.no_response_rate[class_index] / RATE_WINDOW
        endpoint.consecutive_no_response[class_index] = 0
        if endpoint.excluded_until_us[class_index]:
            self._exclusions.exclude(endpoint, class_index, 0)
        for other in earlier:
            other.later_answered += 1
            other.later_answered_in_class |= other.class_index == class_index
            if other.no_response and not other.slot_released:
                self._release_slot(other, now_us)

    def record_timeout(self, attempt: AttemptState, elapsed_us: int) -> None:
        """Report an attempt that was overdue when it timed out, unless `check_overdue` has done so.

        If the event loop was held up, an attempt may time out before it is found overdue.
        """
        if attempt.no_response or elapsed_us < self._limits_us[attempt.class_index]:
            return
        if self.callback is not None:
            self.callback(attempt.endpoint, attempt.class_index)

    def _record_no_response(self, attempt: AttemptState, now_us: int) -> None:
        endpoint = attempt.endpoint
        class_index = attempt.class_index
        attempt.no_response = True
        if self.callback is not None:
            self.callback(endpoint, class_index)
        rate = endpoint.no_response_rate[class_index]
        endpoint.no_response_rate[class_index] = rate + (1.0 - rate) / RATE_WINDOW
        if not attempt.later_answered_in_class:
            consecutive = min(endpoint.consecutive_no_response[class_index] + 1, MAX_CONSECUTIVE)
            endpoint.consecutive_no_response[class_index] = consecutive
            if consecutive >= EXCLUDE_AFTER:
                base_us = self._limits_us[class_index] * (0.5 + self._random.random())
                until_us = now_us + int(base_us * 2 ** (consecutive - 1))
                self._exclusions.exclude(endpoint, class_index, until_us)
        self._release_slot(attempt, now_us)

    def _release_slot(self, attempt: AttemptState, now_us: int) -> None:
        """Free the slot of an overdue attempt that is probably lost, since its endpoint answers later sends.

        Otherwise each attempt that never gets a response would hold a slot until its deadline, and once all
        slots are held, other requests are rejected. The attempt stays in flight, since a late response can
        still be used. If the attempt holds the only slot, no later send can prove it lost; so each endpoint
        may have one slot released on suspicion while the group responds fast. Slow or unresponsive endpoints
        and fleets release no more. The disadvantage: an endpoint that serves by priority or time slices may
        still be working on the attempt, and then gets up to twice its limit.
        """
        endpoint = attempt.endpoint
        released = [other for other in endpoint.attempts if other.slot_released]
        is_proven = attempt.later_answered >= MIN_LATER_ANSWERED
        is_suspected = endpoint.group.admission.load < TARGET_LOAD and all(
            other.later_answered >= MIN_LATER_ANSWERED for other in released
        )
        if (is_proven or is_suspected) and len(released) < max(1, int(endpoint.concurrency_limit)):
            attempt.slot_released = True
            endpoint.in_flight -= 1
            self._table.update_selection_weight(endpoint, now_us)
