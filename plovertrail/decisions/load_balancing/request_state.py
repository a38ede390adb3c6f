"""The state of a request that has no final answer yet, or that still has attempts in flight."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome, RequestArrived
from plovertrail.decisions.load_balancing.attempt_state import AttemptState
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN
from plovertrail.decisions.settings import RequestClass


class RequestState:
    """One request and its attempts."""

    __slots__ = ("event", "useful_until_us", "attempts", "in_flight", "is_closed", "is_streaming")

    def __init__(self, event: RequestArrived, request_class: RequestClass, now_us: int) -> None:
        self.event = event
        late_is_useful = request_class.late_weight > 0
        limit_us = request_class.deadline_us if late_is_useful else request_class.latency_objective_us
        self.useful_until_us = min(now_us + limit_us, event.due_us)  # a later response has no value
        self.attempts: list[AttemptState] = []
        self.in_flight = 0  # number of attempts that have not ended
        self.is_closed = False  # the final answer was given, or the client has disconnected
        self.is_streaming = False  # part of a response has been forwarded

    def total_attempts(self) -> int:
        """Return the number of attempts, including those made by other pools."""
        return self.event.earlier_attempts + len(self.attempts)

    def first_that_may_have_run(self) -> AttemptState | None:
        """Return the first attempt that the endpoint may have executed."""
        for attempt in self.attempts:
            if attempt.outcome not in NEVER_RAN:
                return attempt
        return None

    def endpoints_that_broke(self) -> list[EndpointState]:
        """Return the endpoints whose connections broke under an attempt that may have run."""
        return [attempt.endpoint for attempt in self.attempts if attempt.outcome is Outcome.RESET]
