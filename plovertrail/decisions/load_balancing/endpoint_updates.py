"""Applies endpoint lists and the health reports of peers to the endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.slot_reopening import SlotReopener
from plovertrail.decisions.load_balancing.warm_up_scheduler import WarmUpScheduler

MAX_PENALIZED_SHARE = 1 / 3  # of the endpoints, per class: reports may be wrong


class EndpointRestorer(Protocol):
    """Restores the state of a new endpoint that was saved before a restart of this process."""

    def __call__(self, endpoint: EndpointState, /) -> object:
        """Restore the state of an endpoint that was just added."""


class EndpointUpdates:
    """Applies endpoint lists to the endpoint table."""

    __slots__ = ("restorer", "_table", "_warm_ups", "_reopener")

    def __init__(self, table: EndpointTable, warm_ups: WarmUpScheduler, reopener: SlotReopener) -> None:
        self.restorer: EndpointRestorer | None = None
        self._table = table
        self._warm_ups = warm_ups
        self._reopener = reopener

    def apply(self, event: EndpointsUpdated, now_us: int) -> None:
        """Apply a complete or partial list."""
        table = self._table
        if event.kind is not ListKind.DELTA and not event.partial:
            self._remove_unlisted(event.endpoints)
        self._reopener.reopen_due(now_us)  # without traffic, nothing else would remove stale entries
        added = []
        started = []
        for listed in event.endpoints:
            if listed.state is not EndpointStatus.READY:
                self._remove(listed.id)
                continue
            endpoint = table.by_id.get(listed.id)
            if endpoint is None:
                endpoint = table.add(listed)
                added.append(endpoint)
            else:
                table.adjust_capacity(endpoint, listed)
            endpoint.fast_growth |= event.kind is ListKind.CACHED
            if endpoint.listed.started_us != listed.started_us or endpoint.next_warm_up_send == 0:
                started.append(endpoint)
            self._apply_listing(endpoint, listed, now_us)
        warming = [endpoint for endpoint in started if table.warm_up_fraction(endpoint, now_us) < 1.0]
        self._warm_ups.schedule_first_sends(warming, now_us)
        if self.restorer is not None:
            for endpoint in added:
                self.restorer(endpoint)

    def _remove_unlisted(self, endpoints: list[Endpoint]) -> None:
        for endpoint_id in self._table.by_id.keys() - {listed.id for listed in endpoints}:
            self._remove(endpoint_id)

    def _apply_listing(self, endpoint: EndpointState, listed: Endpoint, now_us: int) -> None:
        if self._table.apply_listing(endpoint, listed, now_us):
            warm_at_us = listed.started_us + self._table.settings.warm_up_us
            self._reopener.rechecks.schedule(warm_at_us, listed.id)

    def _remove(self, endpoint_id: int) -> None:
        """Remove an endpoint, since a draining or removed one gets no requests (rule 3 of the contract)."""
        endpoint = self._table.remove(endpoint_id)
        if endpoint is not None:
            self._reopener.forget(endpoint)


class PeerPenalties:
    """The selection penalties derived from the health reports of peers.

    Reports may be wrong. So penalized endpoints are selected less often but never excluded, and per class no
    more than a third of all endpoints, those with the highest penalties, are penalized.
    """

    __slots__ = ("penalized", "_table")

    def __init__(self, table: EndpointTable) -> None:
        self.penalized: set[int] = set()  # endpoint ids
        self._table = table

    def apply(self, penalties: Mapping[tuple[int, int], float]) -> None:
        """Replace all penalties; keys are endpoint id and class index."""
        by_id = self._table.by_id
        for endpoint_id in self.penalized:
            if endpoint_id in by_id:
                by_id[endpoint_id].peer_penalties = None
        self.penalized = set()
        quotas = [int(MAX_PENALIZED_SHARE * len(by_id))] * len(self._table.settings.classes)
        for (endpoint_id, class_index), penalty in sorted(penalties.items(), key=lambda item: -item[1]):
            endpoint = by_id.get(endpoint_id)
            if endpoint is None or class_index >= len(quotas) or quotas[class_index] <= 0 or penalty <= 0.0:
                continue
            quotas[class_index] -= 1
            endpoint.peer_penalties = (endpoint.peer_penalties or {}) | {class_index: min(1.0, penalty)}
            self.penalized.add(endpoint_id)
