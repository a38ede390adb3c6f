"""The state of one attempt: one send of a request to one endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from plovertrail.decisions.events import Endpoint, Outcome

if TYPE_CHECKING:
    from plovertrail.decisions.load_balancing.endpoint_state import EndpointState


@dataclass(slots=True, eq=False)
class AttemptState:
    """One attempt; its index in the request's list is the attempt's number."""

    endpoint: EndpointState
    listed: Endpoint  # the endpoint as it was listed when the attempt was sent
    class_index: int
    sent_at_us: int
    later_answered: int = 0  # later sends to the same endpoint that were answered first
    later_answered_in_class: bool = False  # one of those was of the same request class
    no_response: bool = False  # it has been in flight for longer than a response takes
    slot_released: bool = False  # its slot was freed although it has not ended
    outcome: Outcome | None = None  # None while it is in flight
