"""One pool of servers: its load balancer, the endpoints in use and the transport that reaches them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, Protocol

from plovertrail.clock import clock_us
from plovertrail.decisions.actions import Reject
from plovertrail.decisions.events import EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.settings import Settings
from plovertrail.dispatch.endpoint_feed import EndpointFeed
from plovertrail.dispatch.types import Address, EndpointTransport, ProxyRequest

if TYPE_CHECKING:  # imported where they are configured: the platform's start has none of them
    from plovertrail.decisions.affinity import Affinity, HashRing
    from plovertrail.decisions.fair_queue import FairQueue, FairQueueSettings
    from plovertrail.decisions.startup_admission import StartupAdmission
    from plovertrail.decisions.subsetting import EndpointSubset


class RequestQueue(Protocol):
    """Where requests wait for a free slot of a pool (queueing.PoolQueue)."""

    @property
    def fair_queue(self) -> FairQueue:
        """The order of those that wait, and what tenants have had."""

    def configure(self, settings: FairQueueSettings) -> None:
        """Apply other settings; requests that wait stay queued."""

    def enqueue(self, request_id: int, request: ProxyRequest, due_us: int) -> None:
        """Queue a request, or admit it at once where a slot is free."""

    def admit_next(self) -> bool:
        """Admit the request that is next, if there is a slot for it; returns whether one was admitted."""

    def release(self, request_id: int, slot_time_us: int) -> None:
        """Remove a request that waits, or end one that was admitted and has held slots for so long."""

    def close(self) -> list[int]:
        """The pool has no queue any more; returns the requests that wait."""


class ServerPool:
    """The endpoints under one load balancer, as far as requests may be sent to them.

    `deliver` takes what the load balancer is to hear of the endpoint list.
    """

    def __init__(
        self,
        name: str,
        settings: Settings,
        balancer: LoadBalancer,
        transport: EndpointTransport,
        deliver: Callable[[ServerPool, EndpointsUpdated], None],
    ) -> None:
        self.name = name
        self.settings = settings
        self.balancer = balancer
        self.transport = transport
        self.feed = EndpointFeed(asyncio.get_running_loop(), partial(deliver, self))
        self.addresses: dict[int, Address] = {}
        self.serving: set[int] = set()  # the endpoints that new requests may go to
        self.retired = False
        self.connect_timer: asyncio.TimerHandle | None = None  # until a further connection may be made
        self.affinity: Affinity | None = None  # None: requests prefer no endpoint
        self.ring: HashRing | None = None
        self.queue: RequestQueue | None = None  # None: requests go to the load balancer as they come
        self.admission: StartupAdmission | None = None  # None: whatever finds a slot is admitted

    @property
    def subset(self) -> EndpointSubset | None:
        """The endpoints that this instance uses; None: all of them."""
        return self.feed.subset

    def use_subset(self, subset: EndpointSubset) -> None:
        """Use a part of the endpoints; call this before the first list."""
        self.feed.subset = subset

    def use_affinity(self, affinity: Affinity) -> None:
        """Prefer an endpoint for requests with the same affinity key; call this before the first list."""
        from plovertrail.decisions.affinity import HashRing

        self.affinity = affinity
        self.ring = HashRing()

    def apply(self, event: EndpointsUpdated) -> None:
        """Keep what new requests may go to in step with what the load balancer hears."""
        if event.kind in (ListKind.FULL, ListKind.CACHED) and not event.partial:
            for endpoint_id in self.addresses.keys() - {entry.id for entry in event.endpoints}:
                self.forget(endpoint_id)
        for entry in event.endpoints:
            address = self.feed.listed.get(entry.id)
            if address is None or self.addresses.get(entry.id, address) != address:
                self.forget(entry.id)
            if address is not None and entry.state is not EndpointStatus.REMOVED:
                self.addresses[entry.id] = address
            if entry.state is EndpointStatus.READY:
                self.serving.add(entry.id)
                if self.ring is not None and address is not None:
                    self.ring.put(entry.id, address, entry.weight)
            else:
                self.forget(entry.id)

    def forget(self, endpoint_id: int) -> None:
        """Send nothing new to an endpoint, or to its old address."""
        self.serving.discard(endpoint_id)
        if self.ring is not None:
            self.ring.discard(endpoint_id)
        if self.addresses.pop(endpoint_id, None) is not None:
            self.transport.forget(endpoint_id)

    def preferred_endpoints(self, request: ProxyRequest) -> tuple[int, ...]:
        """The endpoints that a request should go to if they have a free slot."""
        if self.affinity is None or self.ring is None:
            return ()
        key = self.affinity.key_of(request.client, request.tenant_name, request.target, request.headers)
        return self.ring.preferred(key)

    def admits(self) -> bool:
        """Whether this instance admits one more request beside those that the pool has."""
        admission = self.admission
        if admission is None:
            return True
        admission.endpoints_changed(len(self.serving))
        return admission.admits(len(self.balancer.requests), clock_us())

    def retry_after_us(self, action: Reject) -> int:
        """The Retry-After of a rejection: not before a connection that the request needs may be made."""
        if not action.retry_after_us:
            return 0
        longest_us = self.settings.max_retry_after_us
        connect_us = self.transport.reserve_retry_us(longest_us)
        return max(action.retry_after_us, min(longest_us, connect_us - clock_us()))
