"""Ejection of failing endpoints: a cool-down between attempts, and a selection penalty from the first fault.

A common cause may corrupt responses or reset connections of all endpoints alike, and would eject them all if
one fault sufficed. So only a rejection makes an endpoint an outlier at once; other faults do if about two in
three attempts have one.
"""

from __future__ import annotations

import heapq
import random

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.timers import RecheckQueue

FAULT_WINDOW = 4  # attempts over which the fault rate and the failure penalty are averaged
MAX_FAULT_RATE = 0.35  # two faults in three attempts exceed it
PENALTY_HALF_LIFE_US = 10_000_000  # without traffic, no response would ever lift a penalty
MIN_PENALTY = 0.02  # smaller penalties are lifted
MAX_PENALIZED_SHARE = 1 / 3  # of the endpoints: if more have faults, the cause is likely a common one


class FailurePenalties:
    """Owns the failure penalties: which endpoints have one, and when each is halved.

    An endpoint that fails some attempts loses requests that must not be retried, and an instance with little
    traffic and many endpoints uses each of them too rarely to estimate a failure rate. So the first fault
    already counts, but only for selection and only while few endpoints have faults.
    """

    __slots__ = ("decay_at_us", "_table", "_decays")

    def __init__(self, table: EndpointTable) -> None:
        self.decay_at_us: dict[int, int] = {}  # by endpoint id; the penalized endpoints
        self._table = table
        self._decays: list[tuple[int, int]] = []  # (time, endpoint id); a heap, with stale entries

    def record(self, endpoint: EndpointState, is_fault: bool, now_us: int) -> None:
        """Record an attempt at an endpoint that is penalized or has just had a fault."""
        if not self._table.is_current(endpoint):
            return  # it would count against a new endpoint with the same id
        if not is_fault or len(self.decay_at_us) < MAX_PENALIZED_SHARE * len(self._table.by_id):
            endpoint.failure_penalty += (is_fault - endpoint.failure_penalty) / FAULT_WINDOW
            self.schedule_decay(endpoint, now_us)

    def schedule_decay(self, endpoint: EndpointState, since_us: int) -> None:
        """Schedule the decay of a penalty, or lift the penalty if it is negligible."""
        endpoint_id = endpoint.listed.id
        if endpoint.failure_penalty < MIN_PENALTY:
            endpoint.failure_penalty = 0.0
            self.decay_at_us.pop(endpoint_id, None)
        elif endpoint_id not in self.decay_at_us:
            at_us = self.decay_at_us[endpoint_id] = since_us + PENALTY_HALF_LIFE_US
            heapq.heappush(self._decays, (at_us, endpoint_id))

    def decay_due(self, now_us: int) -> None:
        """Halve the penalties that are due, independent of traffic."""
        while self._decays and self._decays[0][0] <= now_us:
            at_us, endpoint_id = heapq.heappop(self._decays)
            if self.decay_at_us.get(endpoint_id) == at_us:
                endpoint = self._table.by_id[endpoint_id]
                endpoint.failure_penalty /= 2.0
                del self.decay_at_us[endpoint_id]
                # From when it was due: after a long pause, all missed steps are made up for.
                self.schedule_decay(endpoint, at_us)
                self._table.update_selection_weight(endpoint, now_us)

    def forget(self, endpoint_id: int) -> None:
        """Drop the penalty of an endpoint that was removed."""
        self.decay_at_us.pop(endpoint_id, None)

    def __len__(self) -> int:
        """Return the number of scheduled decays."""
        return len(self._decays)


class OutlierEjector:
    """Detects outliers by their faults, and ejects endpoints whose concurrency limit is below one slot."""

    __slots__ = ("penalties", "_rechecks", "_random")

    def __init__(self, penalties: FailurePenalties, rechecks: RecheckQueue, rng: random.Random) -> None:
        self.penalties = penalties
        self._rechecks = rechecks
        self._random = rng

    def record_attempt(self, endpoint: EndpointState, outcome: Outcome, is_fault: bool, now_us: int) -> bool:
        """Record an attempt; return whether its fault makes the endpoint an outlier."""
        endpoint.fault_rate += (is_fault - endpoint.fault_rate) / FAULT_WINDOW
        if is_fault or endpoint.failure_penalty:
            self.penalties.record(endpoint, is_fault, now_us)
        return outcome is Outcome.REJECTED or (is_fault and endpoint.fault_rate > MAX_FAULT_RATE)

    def eject(self, endpoint: EndpointState, busy_us: float, now_us: int) -> None:
        """Close the only slot of an endpoint for a random cool-down in proportion to `busy_us`.

        The lower the limit, the longer the cool-down. `busy_us` is the time that a request occupies a slot.
        """
        cool_down_us = busy_us * (1.0 / endpoint.concurrency_limit - 1.0) * (0.5 + self._random.random())
        endpoint.ejected_until_us = now_us + int(cool_down_us)
        self._rechecks.schedule(endpoint.ejected_until_us, endpoint.listed.id)
