"""Attempts that have had no response for longer than one takes.

An endpoint, or what lies before it, may never answer a part of the requests (dropped, stuck on a lock, bound
for a dead shard) or all of one class, and serve the others well. A request that must not be repeated is lost
there, and its timeout shows it only after many usual response times. So from the latency objective on, the
endpoint is selected less for that class, and only now and then once it has left some in a row without a
response. This also holds for an endpoint that answers nothing at all. It can do harm where a class is slow by
nature and seldom: its late responses then send it elsewhere.
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

MIN_LATER_ANSWERED = 4  # later sends answered first that distinguish a lost attempt from a queued one
RATE_WINDOW = 16  # attempts of a class over which the rate of those without a response is averaged
EXCLUDE_AFTER = 3  # attempts of a class without a response in a row
MAX_CONSECUTIVE = 5  # longer rows count as this long


class NoResponseListener(Protocol):
    """Receives each attempt that has had no response for longer than one takes."""

    def __call__(self, endpoint: EndpointState, class_index: int, /) -> None:
        """Handle one attempt of this class at this endpoint."""


class ResponseTracker:
    """Follows the attempts in flight until they are answered or overdue."""

    __slots__ = ("listener", "_table", "_exclusions", "_random", "_limits_us", "_awaiting")

    def __init__(self, table: EndpointTable, exclusions: ClassExclusions, rng: random.Random) -> None:
        self.listener: NoResponseListener | None = None
        self._table = table
        self._exclusions = exclusions
        self._random = rng
        # Few responses take longer than the objective unless the endpoint is slow to all. With a shorter
        # limit, what an overload makes slow would be taken for lost.
        self._limits_us = [each.latency_objective_us for each in table.settings.classes]
        # By class, in the order of their sends and so of the times at which they are overdue.
        self._awaiting: list[deque[AttemptState]] = [deque() for _ in self._limits_us]

    def track(self, attempt: AttemptState) -> int:
        """Follow a new attempt; returns when it is overdue."""
        self._awaiting[attempt.class_index].append(attempt)
        return attempt.sent_at_us + self._limits_us[attempt.class_index]

    def check_overdue(self, now_us: int) -> int:
        """Handle the attempts that are overdue; returns when the next one may be."""
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
        """Record a response; `earlier` are the attempts sent to the endpoint before and not answered yet."""
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

    def _record_no_response(self, attempt: AttemptState, now_us: int) -> None:
        endpoint = attempt.endpoint
        class_index = attempt.class_index
        attempt.no_response = True
        if self.listener is not None:
            self.listener(endpoint, class_index)
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
        """Free the slot of an overdue attempt that is lost, as its endpoint answers later sends.

        Each of the few that are never answered would hold a slot to its deadline, until all slots are held
        and everything else is rejected. The attempt stays in flight, since its response may still be of use.
        Nothing is answered before an attempt that holds the only slot, so each endpoint may have one released
        on suspicion while the others respond fast. A slow or silent endpoint, or fleet, releases no more. It
        can do harm where an endpoint serves by priority or by time slices, and is still working on the
        attempt: it then gets up to twice its slots.
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
