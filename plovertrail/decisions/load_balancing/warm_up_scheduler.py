"""Schedules sends to warming endpoints so that none is overloaded (rule 4 of the contract)."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from plovertrail.decisions.load_balancing.endpoint_group import EndpointGroup
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

    def schedule_first_sends(self, endpoints: Iterable[EndpointState], now_us: int) -> None:
        """Schedule the first sends after a random fraction of the normal interval.

        All instances learn of a new endpoint almost at once, and must not send to it in one burst. The
        capacity of a group is summed up once: for each endpoint of a long list it would block the event loop.
        """
        capacities: dict[EndpointGroup, float] = {}
        for endpoint in endpoints:
            group = endpoint.group
            if group not in capacities:
                capacities[group] = self._current_capacity(group, now_us)
            self._schedule(endpoint, self._random.random(), capacities[group], now_us)

    def schedule_send(self, endpoint: EndpointState, intervals: float, now_us: int) -> None:
        """Schedule the next send after a number of normal intervals.

        The endpoint gets a share of the requests that the group serves for this instance, by its capacity,
        warm-up fraction and overload tolerance. This limits the sends of all instances together, since the
        fleet serves no more than its capacity, whatever the demand.
        """
        self._schedule(endpoint, intervals, self._current_capacity(endpoint.group, now_us), now_us)

    def _schedule(self, endpoint: EndpointState, intervals: float, capacity: float, now_us: int) -> None:
        """Schedule the next send to an endpoint of a group with this capacity."""
        group = endpoint.group
        tolerated = self._tolerated_fraction(endpoint, now_us)
        share = tolerated * self._table.relative_capacity(endpoint.listed)
        endpoint.next_warm_up_send = group.warm_up.progress + intervals * capacity / share
        group.warm_up.schedule(endpoint.next_warm_up_send, endpoint.listed.id)
        current = ((other.next_warm_up_send, other.listed.id) for other in self._warming(group))
        group.warm_up.drop_stale(current, len(group.warming))
        self._table.update_selection_weight(endpoint, now_us)

    def _current_capacity(self, group: EndpointGroup, now_us: int) -> float:
        """Return the capacity of a group, less what its warming endpoints lack of theirs."""
        table = self._table
        return group.capacity - sum(
            (1.0 - table.warm_up_fraction(other, now_us)) * table.relative_capacity(other.listed)
            for other in self._warming(group)
        )

    def _warming(self, group: EndpointGroup) -> Iterator[EndpointState]:
        return (self._table.by_id[endpoint_id] for endpoint_id in group.warming)

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
