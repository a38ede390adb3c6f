"""Endpoint lists and the reports of other instances, applied to the endpoints."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import EndpointTable
from plovertrail.decisions.load_balancing.slot_reopening import SlotReopener
from plovertrail.decisions.load_balancing.warm_up_scheduler import WarmUpScheduler

MAX_PENALIZED_SHARE = 1 / 3  # of the endpoints, for each class: reports may be wrong


class EndpointRestorer(Protocol):
    """Gives a new endpoint the state that was known of it before a restart of this process."""

    def __call__(self, endpoint: EndpointState, /) -> object:
        """Restore one endpoint that was just added."""


class EndpointUpdates:
    """Applies endpoint lists."""

    __slots__ = ("restorer", "_table", "_warm_ups", "_reopener")

    def __init__(self, table: EndpointTable, warm_ups: WarmUpScheduler, reopener: SlotReopener) -> None:
        self.restorer: EndpointRestorer | None = None
        self._table = table
        self._warm_ups = warm_ups
        self._reopener = reopener

    def apply(self, event: EndpointsUpdated, now_us: int) -> None:
        """Apply a list, complete or in part."""
        table = self._table
        if event.kind is not ListKind.DELTA and not event.partial:
            self._remove_unlisted(event.endpoints)
        self._reopener.reopen_due(now_us)  # without traffic, nothing else would expire stale entries
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
        for endpoint in started:
            if table.warm_up_fraction(endpoint, now_us) < 1.0:
                self._warm_ups.schedule_first_send(endpoint, now_us)
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
        """Rule 3 of the contract: an endpoint that drains or was removed gets nothing from now on."""
        endpoint = self._table.remove(endpoint_id)
        if endpoint is not None:
            self._reopener.forget(endpoint)


class PeerPenalties:
    """The selection penalties that come from the health reports of other instances.

    Whatever they say may be wrong. So endpoints are selected less for it and never excluded, and no more than
    a third of them for each class, the worst ones.
    """

    __slots__ = ("penalized", "_table")

    def __init__(self, table: EndpointTable) -> None:
        self.penalized: set[int] = set()  # endpoint ids
        self._table = table

    def apply(self, penalties: Mapping[tuple[int, int], float]) -> None:
        """Replace all penalties, given by endpoint id and class index."""
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
