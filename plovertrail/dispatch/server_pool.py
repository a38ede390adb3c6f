"""A pool of endpoints with its load balancer and the transport to the endpoints."""

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

if TYPE_CHECKING:  # imported only where configured, to keep the platform's sidecar (__main__.py) small
    from plovertrail.decisions.affinity import Affinity, HashRing
    from plovertrail.decisions.fair_queue import FairQueue, FairQueueSettings
    from plovertrail.decisions.startup_admission import StartupAdmission
    from plovertrail.decisions.subsetting import EndpointSubset


class RequestQueue(Protocol):
    """A queue in which requests wait for a free slot of a pool (queueing.PoolQueue)."""

    @property
    def fair_queue(self) -> FairQueue:
        """The waiting requests in order, and the tenants' use of the pool."""

    def configure(self, settings: FairQueueSettings) -> None:
        """Apply other settings; requests that wait stay queued."""

    def enqueue(self, request_id: int, request: ProxyRequest, due_us: int) -> None:
        """Queue a request, or admit it at once where a slot is free."""

    def admit_next(self) -> bool:
        """Admit the next request if there is a slot for it; returns whether one was admitted."""

    def release(self, request_id: int, slot_time_us: int) -> None:
        """Remove a waiting request, or record the end of an admitted one and for how long it held slots."""

    def close(self) -> list[int]:
        """Close the queue and return the waiting requests."""


class ServerPool:
    """The endpoints of one load balancer that requests may be sent to.

    `deliver` is called with each change of the endpoint list that the load balancer has to be told.
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
        self.connect_timer: asyncio.TimerHandle | None = None  # fires when the next connection may be made
        self.affinity: Affinity | None = None  # None: requests prefer no endpoint
        self.ring: HashRing | None = None
        self.queue: RequestQueue | None = None  # None: requests go straight to the load balancer
        self.admission: StartupAdmission | None = None  # None: admission depends on free slots alone

    @property
    def subset(self) -> EndpointSubset | None:
        """The endpoints that this instance uses; None: all of them."""
        return self.feed.subset

    def use_subset(self, subset: EndpointSubset) -> None:
        """Use only a subset of the endpoints; to be called before the first list."""
        self.feed.subset = subset

    def use_affinity(self, affinity: Affinity) -> None:
        """Prefer one endpoint for requests with the same affinity key; to be called before the first list."""
        from plovertrail.decisions.affinity import HashRing

        self.affinity = affinity
        self.ring = HashRing()

    def apply(self, event: EndpointsUpdated) -> None:
        """Update which endpoints may get new requests, by an event that the load balancer gets too."""
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
        """Send no new requests to an endpoint, or to its previous address."""
        self.serving.discard(endpoint_id)
        if self.ring is not None:
            self.ring.discard(endpoint_id)
        if self.addresses.pop(endpoint_id, None) is not None:
            self.transport.forget(endpoint_id)

    def preferred_endpoints(self, request: ProxyRequest) -> tuple[int, ...]:
        """The endpoints that a request should be sent to if they have a free slot."""
        if self.affinity is None or self.ring is None:
            return ()
        key = self.affinity.key_of(request.client, request.tenant_name, request.target, request.headers)
        return self.ring.preferred(key)

    def admits(self) -> bool:
        """Whether this instance admits one more request to the pool."""
        admission = self.admission
        if admission is None:
            return True
        admission.endpoints_changed(len(self.serving))
        return admission.admits(len(self.balancer.requests), clock_us())

    def retry_after_us(self, action: Reject) -> int:
        """The Retry-After of a rejection: not before a connection for the retry may be made."""
        if not action.retry_after_us:
            return 0
        longest_us = self.settings.max_retry_after_us
        connect_us = self.transport.reserve_retry_us(longest_us)
        return max(action.retry_after_us, min(longest_us, connect_us - clock_us()))
