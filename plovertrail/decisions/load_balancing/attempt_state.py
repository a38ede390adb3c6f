"""The state of one attempt: a single send of a request to an endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from plovertrail.decisions.events import Endpoint, Outcome

if TYPE_CHECKING:
    from plovertrail.decisions.load_balancing.endpoint_state import EndpointState


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt. Its number is its index in `RequestState.attempts`."""

    endpoint: EndpointState
    listed: Endpoint  # the list entry of the endpoint when the attempt was sent
    class_index: int
    sent_at_us: int
    later_answered: int = 0  # number of later sends to the same endpoint that were answered first
    later_answered_in_class: bool = False  # one of them was of the same request class
    no_response: bool = False  # it is overdue: in flight for longer than the latency objective
    slot_released: bool = False  # its slot was freed before it ended
    outcome: Outcome | None = None  # None while it is in flight
