"""Schedules sends to warming endpoints so that none is overloaded (rule 4 of the contract)."""

from __future__ import annotations

import random

from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable

# The fraction of the overload factor that is used at most, since work comes in bursts.
OVERLOAD_MARGIN = 0.6
LOW_LOAD_SHARE = 0.4  # the fraction of that used while the warm endpoints respond fast
FULL_SHARE_LOAD = 0.4  # load of the warm endpoints (1 = slow response time) from which all of it is used


class WarmUpScheduler:
    """Schedules sends to warming endpoints."""

    __slots__ = ("_table", "_random")

    def __init__(self, table: EndpointTable, rng: random.Random) -> None:
        self._table = table
        self._random = rng

    def schedule_first_send(self, endpoint: EndpointState, now_us: int) -> None:
        """Schedule the first send after a random fraction of the normal interval.

        All instances learn of a new endpoint almost at once, and must not send to it in one burst.
        """
        self.schedule_send(endpoint, self._random.random(), now_us)

    def schedule_send(self, endpoint: EndpointState, intervals: float, now_us: int) -> None:
        """Schedule the next send after a number of normal intervals.

        The endpoint gets a share of the requests that the group serves for this instance, by its capacity,
        warm-up fraction and overload tolerance. This limits the sends of all instances together, since the
        fleet serves no more than its capacity, whatever the demand.
        """
        table = self._table
        group = endpoint.group
        warming = [table.by_id[endpoint_id] for endpoint_id in group.warming]
        capacity = group.capacity - sum(
            (1.0 - table.warm_up_fraction(other, now_us)) * table.relative_capacity(other.listed)
            for other in warming
        )
        tolerated = self._tolerated_fraction(endpoint, now_us)
        share = tolerated * table.relative_capacity(endpoint.listed)
        endpoint.next_warm_up_send = group.warm_up.progress + intervals * capacity / share
        group.warm_up.schedule(endpoint.next_warm_up_send, endpoint.listed.id)
        group.warm_up.drop_stale(
            ((other.next_warm_up_send, other.listed.id) for other in warming), len(warming)
        )
        table.update_selection_weight(endpoint, now_us)

    def _tolerated_fraction(self, endpoint: EndpointState, now_us: int) -> float:
        """Return the fraction of a warm endpoint's share that an endpoint may get."""
        group = endpoint.group
        # Without any warm endpoint, no response would indicate a high load.
        has_warm = len(group.active) + len(group.standby) > 0
        low_load_share = LOW_LOAD_SHARE if has_warm else 1.0
        load_share = min(1.0, max(low_load_share, group.admission.load / FULL_SHARE_LOAD))
        fraction = self._table.warm_up_fraction(endpoint, now_us)
        tolerated = min(1.0, fraction * OVERLOAD_MARGIN * self._table.settings.overload_factor * load_share)
        return tolerated * min(1.0, endpoint.concurrency_limit)  # one that rejects may be close to overload
