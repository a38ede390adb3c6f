"""Delivers a pool's endpoint list to its load balancer, in slices and limited to the subset in use."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set
from dataclasses import replace
from itertools import islice
from typing import TYPE_CHECKING

from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.dispatch.types import Address

if TYPE_CHECKING:  # imported only where configured, to keep the platform's sidecar (__main__.py) small
    from plovertrail.decisions.subsetting import EndpointSubset

SLICE_SIZE = 250  # endpoints in one event; a load balancer takes about 10 us for each


class EndpointFeed:
    """Delivers the endpoint list of one pool without blocking the event loop.

    Handling 10,000 endpoints in one event would delay all open requests, some beyond their deadlines, so a
    long list is delivered one slice per iteration of the loop. Endpoints that are draining or removed come
    first. A later list overrides the undelivered part of an earlier one.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, deliver: Callable[[EndpointsUpdated], None]) -> None:
        self.loop = loop
        self.deliver = deliver
        self.subset: EndpointSubset | None = None  # None: this instance uses all endpoints
        self.listed: dict[int, Address] = {}  # all listed endpoints, also those outside the subset
        self.pending_removals: dict[int, Endpoint | None] = {}  # None: no longer listed
        self.pending_updates: dict[int, Endpoint] = {}
        self.scheduled: asyncio.Handle | None = None  # the delivery of the next slice

    @property
    def has_pending(self) -> bool:
        """Whether part of a list is still to be delivered."""
        return bool(self.pending_updates or self.pending_removals)

    def update(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> None:
        """Deliver an update from a source, or its first slice."""
        self.deliver(self._within_subset(self._first_slice(event, addresses)))
        self._schedule_next_slice(event.kind)

    def widen_subset(self, now_us: int) -> None:
        """Add endpoints to the subset, as requests found no free slot."""
        if self.subset is not None:
            self._deliver_changes(self.subset.widen(now_us))

    def shrink_subset(self, now_us: int, busy: Set[int]) -> None:
        """Drop the endpoints that the subset no longer needs, except the `busy` ones."""
        if self.subset is not None:
            self._deliver_changes(self.subset.narrow(now_us, busy))

    def close(self) -> None:
        """Deliver an empty list: the pool is no longer configured."""
        self.subset = None
        self.pending_removals.clear()
        self.pending_updates.clear()
        self.deliver(EndpointsUpdated(ListKind.FULL))

    def _deliver_changes(self, endpoints: list[Endpoint]) -> None:
        if endpoints:
            self.deliver(EndpointsUpdated(ListKind.DELTA, endpoints))

    def _schedule_next_slice(self, kind: ListKind) -> None:
        if self.has_pending and self.scheduled is None:
            self.scheduled = self.loop.call_soon(self._deliver_slice, kind)

    def _deliver_slice(self, kind: ListKind) -> None:
        self.scheduled = None
        endpoints = self._next_slice()
        if endpoints:
            self.deliver(self._within_subset(EndpointsUpdated(kind, endpoints, partial=True)))
            self._schedule_next_slice(kind)

    def _first_slice(self, event: EndpointsUpdated, addresses: dict[int, Address]) -> EndpointsUpdated:
        """Record an update, and return all of it if it is short, else its first slice."""
        replaces_all = event.kind in (ListKind.FULL, ListKind.CACHED) and not event.partial
        unlisted = self.listed.keys() - addresses.keys() if replaces_all else set()
        self.listed |= addresses
        for endpoint_id in unlisted | {
            entry.id for entry in event.endpoints if entry.state is EndpointStatus.REMOVED
        }:
            self.listed.pop(endpoint_id, None)
        if len(event.endpoints) + len(unlisted) > SLICE_SIZE:
            # A slice is only part of the list, so endpoints that are no longer listed are removed explicitly.
            for endpoint_id in unlisted:
                self.pending_updates.pop(endpoint_id, None)
                self.pending_removals[endpoint_id] = None
        elif replaces_all:
            self.pending_removals.clear()
            self.pending_updates.clear()
            return event
        elif not self.has_pending:
            return event
        for entry in event.endpoints:
            self._enqueue(entry)
        return replace(event, endpoints=self._next_slice(), partial=True)

    def _enqueue(self, entry: Endpoint) -> None:
        self.pending_removals.pop(entry.id, None)
        self.pending_updates.pop(entry.id, None)
        if entry.state is EndpointStatus.READY:
            self.pending_updates[entry.id] = entry
        else:
            self.pending_removals[entry.id] = entry

    def _next_slice(self) -> list[Endpoint]:
        """Remove and return the next pending entries: removals and drains if there are any, else updates."""
        if self.pending_removals:
            first = list(islice(self.pending_removals, SLICE_SIZE))
            removals = {endpoint_id: self.pending_removals.pop(endpoint_id) for endpoint_id in first}
            return [entry or Endpoint(number, EndpointStatus.REMOVED) for number, entry in removals.items()]
        return [self.pending_updates.pop(number) for number in list(islice(self.pending_updates, SLICE_SIZE))]

    def _within_subset(self, event: EndpointsUpdated) -> EndpointsUpdated:
        """Limit an event to the endpoints that this instance uses."""
        if self.subset is None:
            return event
        if event.kind in (ListKind.FULL, ListKind.CACHED) and not event.partial:
            endpoints = self.subset.replace(
                {entry.id for entry in event.endpoints}, event.endpoints, self.listed
            )
        else:
            endpoints = self.subset.update(event.endpoints, self.listed, add_missing=not self.has_pending)
        return replace(event, endpoints=endpoints, partial=True)
