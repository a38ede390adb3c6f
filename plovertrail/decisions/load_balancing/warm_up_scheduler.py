"""When an endpoint that warms up gets its next send (rule 4 of the contract: none is overloaded)."""

from __future__ import annotations

import random

from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable

# Of the overload factor, if the warm endpoints are at their limits: work comes in bursts.
OVERLOAD_MARGIN = 0.6
LOW_LOAD_SHARE = 0.4  # of that, while the warm endpoints respond fast and need no help
FULL_SHARE_LOAD = 0.4  # of the slow response time: from here on they need all of it


class WarmUpScheduler:
    """Schedules the sends to endpoints that warm up."""

    __slots__ = ("_table", "_random")

    def __init__(self, table: EndpointTable, rng: random.Random) -> None:
        self._table = table
        self._random = rng

    def schedule_first_send(self, endpoint: EndpointState, now_us: int) -> None:
        """Schedule the first send after a random part of the usual interval.

        All instances learn of a start almost together, and must not send to the endpoint in one burst.
        """
        self.schedule_send(endpoint, self._random.random(), now_us)

    def schedule_send(self, endpoint: EndpointState, intervals: float, now_us: int) -> None:
        """Schedule the next send after a number of usual intervals.

        An endpoint gets a share of what this instance sees served by the group, by its warm-up fraction and
        capacity, times what it tolerates. Whatever the demand, the fleet serves no more than it can.
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
        """Return the fraction of a warm endpoint's share that an endpoint may be sent."""
        group = endpoint.group
        # Beside no warm endpoint at all, no response would show that help is needed.
        has_warm = len(group.active) + len(group.standby) > 0
        low_load_share = LOW_LOAD_SHARE if has_warm else 1.0
        load_share = min(1.0, max(low_load_share, group.admission.load / FULL_SHARE_LOAD))
        fraction = self._table.warm_up_fraction(endpoint, now_us)
        tolerated = min(1.0, fraction * OVERLOAD_MARGIN * self._table.settings.overload_factor * load_share)
        return tolerated * min(1.0, endpoint.concurrency_limit)  # one that rejects may be about to collapse
