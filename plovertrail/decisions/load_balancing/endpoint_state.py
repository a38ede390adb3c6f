"""The state that the load balancer keeps for one endpoint."""

from __future__ import annotations

from array import array
from typing import TYPE_CHECKING

from plovertrail.decisions.events import Endpoint

if TYPE_CHECKING:
    from plovertrail.decisions.load_balancing.attempt_state import AttemptState
    from plovertrail.decisions.load_balancing.endpoint_group import EndpointGroup


class EndpointState:
    """One ready endpoint.

    Values by request class are kept in arrays. As lists, those of 10,000 endpoints would be so many objects
    for the garbage collector to traverse that it pauses the process for 50 ms.
    """

    __slots__ = (
        "listed",
        "group",
        "in_flight",
        "attempts",
        "no_response_rate",
        "consecutive_no_response",
        "excluded_until_us",
        "counted_as_excluded",
        "concurrency_limit",
        "ejected_until_us",
        "next_warm_up_send",
        "relative_latency",
        "fast_growth",
        "fault_rate",
        "failure_penalty",
        "logged_as_ejected",
        "peer_penalties",
    )

    def __init__(self, listed: Endpoint, group: EndpointGroup, class_count: int) -> None:
        self.listed = listed
        self.group = group
        self.in_flight = 0  # slots in use
        self.attempts: list[AttemptState] = []  # in flight, in send order
        # By request class: an endpoint may fail one class and serve the others well.
        self.no_response_rate = array("d", [0.0] * class_count)  # moving average, from 0 to 1
        self.consecutive_no_response = array("b", [0] * class_count)
        self.excluded_until_us = array("q", [0] * class_count)
        self.counted_as_excluded = array("b", [0] * class_count)
        self.concurrency_limit = 1.0  # slots; below 1, the only slot has a cool-down after each attempt
        self.ejected_until_us = 0
        self.next_warm_up_send = 0.0  # during warm-up: the progress of its group at which its slot opens
        self.relative_latency = 1.0  # moving average of its response times relative to those of the class
        self.fast_growth = False  # the limit grows fast until the first slow response or fault
        self.fault_rate = 0.0  # moving average of attempts with an immediate failure or malformed response
        self.failure_penalty = 0.0  # the same, but faults count only while few endpoints have any
        self.logged_as_ejected = False
        self.peer_penalties: dict[int, float] | None = None  # by class, from the reports of peers

    def end_attempt(self, attempt: AttemptState) -> list[AttemptState]:
        """Free the slot of an ended attempt; return the attempts in flight that were sent before it."""
        if not attempt.slot_released:
            self.in_flight -= 1
        index = self.attempts.index(attempt)
        earlier = self.attempts[:index]
        del self.attempts[index]
        return earlier
