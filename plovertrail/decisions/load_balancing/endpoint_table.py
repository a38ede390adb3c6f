"""The ready endpoints with their groups, selection weights and dedup groups."""

from __future__ import annotations

from collections.abc import Collection, Mapping

from plovertrail.decisions.events import Endpoint
from plovertrail.decisions.load_balancing.endpoint_group import EndpointGroup
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.slow_start import warm_up_fraction
from plovertrail.decisions.settings import Settings

PENALTY_SCALE = 0.1  # a failure penalty of this size quarters the weight; one failure divides it by twelve
NO_ENDPOINTS: Mapping[int, EndpointState] = {}


class EndpointTable:
    """Owns the endpoints by id, their groups, and the weight of each endpoint in its sampler."""

    __slots__ = ("settings", "by_id", "groups", "dedup_groups")

    def __init__(self, settings: Settings, now_us: int) -> None:
        self.settings = settings
        self.by_id: dict[int, EndpointState] = {}  # in the order in which they were added
        # In the order of selection; if cross-zone traffic has a cost, the second group holds other zones.
        self.groups = [EndpointGroup(now_us) for _ in range(2 if settings.cross_zone_fee > 0 else 1)]
        self.dedup_groups: dict[tuple[str, int], dict[int, EndpointState]] = {}  # by (scope, zone or cell)

    def is_current(self, endpoint: EndpointState) -> bool:
        """Return whether an endpoint is still listed; it is not if its id was removed and added again."""
        return self.by_id.get(endpoint.listed.id) is endpoint

    def warm_up_fraction(self, endpoint: EndpointState, now_us: int) -> float:
        """Return the fraction of its full capacity that an endpoint has reached for certain."""
        return warm_up_fraction(self.settings, endpoint.listed, now_us)

    def relative_capacity(self, listed: Endpoint) -> float:
        """Return the capacity of an endpoint when warm, relative to the others; 1 if none is listed."""
        return listed.weight if self.settings.weighted else 1.0

    def open_slots(self, endpoint: EndpointState, now_us: int) -> int:
        """Return how many attempts this instance may have in flight at an endpoint now."""
        if now_us < endpoint.ejected_until_us:
            return 0
        if endpoint.listed.started_us != 0 and self.warm_up_fraction(endpoint, now_us) < 1.0:
            return int(endpoint.group.warm_up.progress >= endpoint.next_warm_up_send)
        return int(endpoint.concurrency_limit) or 1

    def selection_weight(self, endpoint: EndpointState, now_us: int) -> float:
        """Return the weight of an endpoint: its free slots, reduced if it is slow or failing."""
        free_slots = self.open_slots(endpoint, now_us) - endpoint.in_flight
        if free_slots <= 0:
            return 0.0
        weight = endpoint.listed.weight if self.settings.select_by_weight else 1.0
        penalty = 1.0 + endpoint.failure_penalty / PENALTY_SCALE
        return free_slots * weight / (endpoint.relative_latency * penalty) ** 2

    def update_selection_weight(self, endpoint: EndpointState | None, now_us: int) -> None:
        """Update the weight of an endpoint after a change of anything that it depends on."""
        if endpoint is None:
            return
        endpoint_id = endpoint.listed.id
        if self.by_id.get(endpoint_id) is not endpoint:
            return
        group = endpoint.group
        weight = self.selection_weight(endpoint, now_us)
        if not group.warming.change(endpoint_id, weight) and not group.active.change(endpoint_id, weight):
            group.standby.set(endpoint_id, weight)

    def set_active(self, endpoint: EndpointState, active: bool, now_us: int) -> bool:
        """Move an endpoint between active and standby; return whether it was moved."""
        group = endpoint.group
        endpoint_id = endpoint.listed.id
        if not self.is_current(endpoint) or endpoint_id in group.warming:
            return False
        if (endpoint_id in group.active) == active:
            return False
        source, target = (group.standby, group.active) if active else (group.active, group.standby)
        source.discard(endpoint_id)
        target.set(endpoint_id, self.selection_weight(endpoint, now_us))
        return True

    def add(self, listed: Endpoint) -> EndpointState:
        """Add a new endpoint; `apply_listing` adds it to a sampler."""
        is_remote = self.settings.cross_zone_fee > 0 and listed.zone != self.settings.zone
        group = self.groups[int(is_remote)]
        endpoint = self.by_id[listed.id] = EndpointState(listed, group, len(self.settings.classes))
        group.capacity += self.relative_capacity(listed)
        return endpoint

    def adjust_capacity(self, endpoint: EndpointState, listed: Endpoint) -> None:
        """Update the capacity of the group before the listing of a known endpoint changes."""
        endpoint.group.capacity -= self.relative_capacity(endpoint.listed)
        endpoint.group.capacity += self.relative_capacity(listed)

    def apply_listing(self, endpoint: EndpointState, listed: Endpoint, now_us: int) -> bool:
        """Apply an entry of the endpoint list; return whether the endpoint is warming up."""
        group = endpoint.group
        self._remove_from_dedup_groups(endpoint)
        endpoint.listed = listed
        for key in (("zone", listed.zone), ("cell", listed.cell)):
            self.dedup_groups.setdefault(key, {})[listed.id] = endpoint
        is_warming = self.warm_up_fraction(endpoint, now_us) < 1.0
        if is_warming:
            group.active.discard(listed.id)
            group.standby.discard(listed.id)
            group.warming.set(listed.id, 0.0)
        else:
            group.warming.discard(listed.id)
        self.update_selection_weight(endpoint, now_us)
        return is_warming

    def remove(self, endpoint_id: int) -> EndpointState | None:
        """Remove an endpoint; its attempts in flight are left to end by themselves."""
        endpoint = self.by_id.pop(endpoint_id, None)
        if endpoint is not None:
            for sampler in endpoint.group.samplers:
                sampler.discard(endpoint_id)
            endpoint.group.capacity -= self.relative_capacity(endpoint.listed)
            self._remove_from_dedup_groups(endpoint)
        return endpoint

    def dedup_group(self, scope: str, location: int) -> Collection[EndpointState]:
        """Return the endpoints of a zone or cell, which recognize each other's duplicates."""
        return self.dedup_groups.get((scope, location), NO_ENDPOINTS).values()

    def _remove_from_dedup_groups(self, endpoint: EndpointState) -> None:
        for key in (("zone", endpoint.listed.zone), ("cell", endpoint.listed.cell)):
            group = self.dedup_groups.get(key, {})
            group.pop(endpoint.listed.id, None)
            if not group:
                self.dedup_groups.pop(key, None)
