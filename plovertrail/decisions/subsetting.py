"""Selects the subset of a pool's endpoints that one instance uses.

Each instance uses the endpoints that rank first for its own number, by weighted rendezvous hashing (Thaler
and Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Trans. Networking 6, 1998;
Schindelhauer and Schomaker, "Weighted Distributed Hash Tables", SPAA 2005). The number of instances that use
an endpoint is therefore random; decisions/fleet_limits.py allows for the variation.
"""

from __future__ import annotations

import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass

from plovertrail.decisions.events import Endpoint, EndpointStatus
from plovertrail.decisions.fleet_limits import uniform_hash
from plovertrail.decisions.settings import RequestClass

WIDEN_INTERVAL_US = 250_000  # minimum time between two widenings, for the first one to take effect
NARROW_DELAY_US = 10_000_000  # time without a request that found no slot
MAX_CHANGES = 250  # endpoints added or removed in one step; a load balancer takes about 10 us for each
Address = tuple[str, int]


def dedup_scope_of(classes: Iterable[RequestClass]) -> str:
    """Return the scope whose endpoints are selected together: "zone", "cell", or "" for single endpoints.

    A deduplicated request that may have run may only be retried within its scope. If the subset had only a
    part of the scope, the retry could find no endpoint.
    """
    scopes = {kind.dedup_scope for kind in classes if kind.effect == "deduplicated"}
    if "zone" in scopes:
        return "zone"
    return "cell" if "cell" in scopes else ""


@dataclass(frozen=True, order=True, slots=True)
class _Rank:
    """The rank of a unit; the unit with the lowest rank is selected first."""

    outside_home_zone: bool
    score: float
    name: str


@dataclass(slots=True)
class _Unit:
    """Endpoints that are selected together."""

    rank: _Rank
    endpoints: dict[int, Endpoint]


class EndpointSubset:
    """The endpoints of a pool that one instance uses.

    Whole units are selected, the best ranked first, until enough of their endpoints are ready. The methods
    take changes of the pool's list and return the resulting changes of the subset. An endpoint that a better
    ranked one has replaced stays until it has no open requests; a drain or a removal is passed on at once.
    """

    def __init__(
        self, instance: int, target_size: int, dedup_scope: str = "", home_zone: int | None = None
    ) -> None:
        self.instance = instance
        self.target_size = target_size
        self.dedup_scope = dedup_scope
        self.home_zone = home_zone  # its endpoints are selected first; None: zones don't matter
        self.current_size = target_size  # ready endpoints wanted now; above the target in a shortage
        self.last_shortage_us = 0
        self.last_resize_us = 0
        self.units: dict[str, _Unit] = {}
        self.ranking: list[_Rank] = []
        self.endpoints: dict[int, Endpoint] = {}
        self.unit_names: dict[int, str] = {}  # by endpoint id
        self.selected: dict[int, Endpoint] = {}  # the subset, as returned to the caller

    def update(
        self, endpoints: Iterable[Endpoint], addresses: Mapping[int, Address], add_missing: bool = True
    ) -> list[Endpoint]:
        """Apply changed endpoints; return the changes of the subset.

        Without `add_missing` no endpoint joins the subset yet, because more of the same list follows.
        """
        changes: list[Endpoint] = []
        for endpoint in endpoints:
            self._remove(endpoint.id)
            if endpoint.state is not EndpointStatus.REMOVED:
                self._insert(endpoint, addresses[endpoint.id])
            if endpoint.id in self.selected:
                if endpoint.state is EndpointStatus.READY:
                    self.selected[endpoint.id] = endpoint
                else:
                    del self.selected[endpoint.id]
                changes.append(endpoint)
        return changes + self._add_missing() if add_missing else changes

    def replace(
        self, endpoint_ids: Set[int], endpoints: Iterable[Endpoint], addresses: Mapping[int, Address]
    ) -> list[Endpoint]:
        """Apply a complete list, removing endpoints not in it; return the changes of the subset."""
        removed = [
            Endpoint(endpoint_id, EndpointStatus.REMOVED)
            for endpoint_id in self.endpoints.keys() - endpoint_ids
        ]
        return self.update([*removed, *endpoints], addresses)

    def widen(self, now_us: int) -> list[Endpoint]:
        """Double the subset after a request found no free slot; return the endpoints that join."""
        self.last_shortage_us = now_us
        if self.current_size >= len(self.endpoints) or now_us < self.last_resize_us + WIDEN_INTERVAL_US:
            return []
        self.current_size *= 2
        self.last_resize_us = now_us
        return self._add_missing()

    def narrow(self, now_us: int, busy: Set[int]) -> list[Endpoint]:
        """Halve a widened subset some time after the last shortage; return the changes of the subset.

        Units with `busy` endpoints stay, because their requests may have to be retried there.
        """
        settled_us = max(self.last_shortage_us, self.last_resize_us) + NARROW_DELAY_US
        if self.current_size > self.target_size and now_us >= settled_us:
            self.current_size = max(self.target_size, self.current_size // 2)
            self.last_resize_us = now_us
        wanted = self._wanted_units()
        removed: list[Endpoint] = []
        for endpoint_id in [each for each in self.selected if self.unit_names[each] not in wanted]:
            if len(removed) >= MAX_CHANGES:
                break
            if busy.isdisjoint(self.units[self.unit_names[endpoint_id]].endpoints):
                removed.append(Endpoint(endpoint_id, EndpointStatus.REMOVED))
        for endpoint in removed:
            del self.selected[endpoint.id]
        return removed + self._add_missing()

    def _wanted_units(self) -> dict[str, None]:
        """Return the names of the units to select, the best ranked first."""
        names: dict[str, None] = {}
        ready = 0
        for rank in self.ranking:
            if ready >= self.current_size:
                break
            unit = self.units[rank.name]
            ready_here = sum(1 for each in unit.endpoints.values() if each.state is EndpointStatus.READY)
            if ready_here:
                ready += ready_here
                names[rank.name] = None
        return names

    def _add_missing(self) -> list[Endpoint]:
        """Select wanted endpoints that are not selected yet; return them."""
        added: list[Endpoint] = []
        for name in self._wanted_units():
            if len(added) >= MAX_CHANGES:
                break  # the next call continues
            for endpoint_id, endpoint in self.units[name].endpoints.items():
                if endpoint_id not in self.selected and endpoint.state is EndpointStatus.READY:
                    self.selected[endpoint_id] = endpoint
                    added.append(endpoint)
        return added

    def _unit_name(self, endpoint: Endpoint, address: Address) -> str:
        if self.dedup_scope:
            return str(endpoint.zone if self.dedup_scope == "zone" else endpoint.cell)
        return f"{address[0]}:{address[1]}"  # unlike endpoint ids, stable over restarts

    def _insert(self, endpoint: Endpoint, address: Address) -> None:
        name = self._unit_name(endpoint, address)
        self.endpoints[endpoint.id] = endpoint
        self.unit_names[endpoint.id] = name
        unit = self.units.get(name)
        if unit is None:
            unit = self.units[name] = _Unit(_Rank(False, 0.0, name), {})
        else:
            self._remove_rank(unit)
        unit.endpoints[endpoint.id] = endpoint
        self._insert_rank(unit)

    def _remove(self, endpoint_id: int) -> None:
        if self.endpoints.pop(endpoint_id, None) is None:
            return
        unit = self.units[self.unit_names.pop(endpoint_id)]
        self._remove_rank(unit)
        del unit.endpoints[endpoint_id]
        if unit.endpoints:
            self._insert_rank(unit)
        else:
            del self.units[unit.rank.name]

    def _insert_rank(self, unit: _Unit) -> None:
        """Insert a unit by its rank; its probability of ranking first is proportional to its weight."""
        name = unit.rank.name
        weight = sum(endpoint.weight for endpoint in unit.endpoints.values())
        outside = self.home_zone is not None and all(
            endpoint.zone != self.home_zone for endpoint in unit.endpoints.values()
        )
        unit.rank = _Rank(outside, -math.log(uniform_hash(self.instance, name)) / weight, name)
        insort(self.ranking, unit.rank)

    def _remove_rank(self, unit: _Unit) -> None:
        del self.ranking[bisect_left(self.ranking, unit.rank)]
