"""Passes a request through the pools of its route: the queue and the load balancer of each in turn."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol

from plovertrail.clock import clock_us
from plovertrail.decisions.events import RequestArrived, TimerFired
from plovertrail.decisions.failover import attempts_left, next_pool
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.dispatch.event_queue import EventQueue
from plovertrail.dispatch.live_request import LiveRequest
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.timers import call_at
from plovertrail.dispatch.types import ProxyResponse, ResponseKind, UnionContainer

if TYPE_CHECKING:  # imported only where configured, to keep the platform's sidecar (__main__.py) small
    from plovertrail.decisions.fair_queue import FairQueueSettings


class RequestOwner(Protocol):
    """What PoolSequence needs of the dispatcher."""

    @property
    def requests(self) -> Mapping[int, LiveRequest]:
        """The live requests by their numbers."""

    def answer(self, request_id: int, response: ProxyResponse) -> None:
        """Give a request its final response."""

    def tenant_share(self, tenant: int) -> float:
        """A tenant's share of the requests to the whole fleet; 0: unknown."""


class PoolSequence:
    """Passes requests from pool to pool, each in the order of its route.

    `retry_budget` bounds the retries of all pools together.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        events: EventQueue,
        retry_budget: RetryBudget,
        owner: RequestOwner,
    ) -> None:
        self.loop = loop
        self.events = events
        self.retry_budget = retry_budget
        self.owner = owner

    def configure_queue(
        self, pool: ServerPool, settings: FairQueueSettings | None, rng: Callable[[], float]
    ) -> None:
        """Set up, change or remove a pool's queue; requests that wait in a removed queue are admitted."""
        if settings is not None and pool.queue is not None:
            pool.queue.configure(settings)
        elif settings is not None:
            from plovertrail.dispatch.queueing import PoolQueue

            pool.queue = PoolQueue(pool, settings, rng, self)
        elif pool.queue is not None:
            waiting = pool.queue.close()
            pool.queue = None
            for request_id in waiting:
                self.admit(pool, request_id)

    def wake(self, pool: ServerPool) -> None:
        """Let a pool's load balancer act on the time that has passed."""
        self.events.put(pool, TimerFired(0))

    def try_next_pool(self, request: LiveRequest, response: ProxyResponse) -> None:
        """Pass a request to its next pool; if there is none, answer it with `response`."""
        failover = request.failover
        handshake = request.proxied.handshake
        serving = [
            bool(pool.serving) if handshake is None else handshake.has_capacity(pool.name, pool.serving)
            for pool in request.pools
        ]
        max_attempts = request.pools[0].settings.max_attempts
        pool_index = next_pool(failover, serving, max_attempts, self.retry_budget, clock_us())
        if pool_index is None:
            response.result = request.last_result
            self.owner.answer(request.request_id, response)
            return
        self.release_queue_place(request)
        pool = request.pools[pool_index]
        failover.pools_tried = pool_index + 1
        if pool.queue is None and pool.admission is not None and not pool.admits():
            after_us = pool.admission.retry_after_us() if pool.settings.retry_after else 0
            self.try_next_pool(request, ProxyResponse(ResponseKind.REJECTED, after_us))
            return
        request.pool = pool
        request.first_attempt = len(request.attempts)
        attempt_limit = attempts_left(failover, serving, pool_index, max_attempts)
        request.arrival = self._arrival(request, pool, attempt_limit)
        if pool.queue is None:
            self.admit(pool, request.request_id)
        else:
            pool.queue.enqueue(request.request_id, request.proxied, request.due_us)

    def _arrival(self, request: LiveRequest, pool: ServerPool, attempts: int) -> RequestArrived:
        """The event that hands a request to a pool's load balancer."""
        proxied = request.proxied
        excluded = pool.transport.unreachable(proxied.handshake is not None)
        if proxied.handshake is not None:
            excluded = UnionContainer(excluded, proxied.handshake.excluded_endpoints(pool.name))
        return RequestArrived(
            request.request_id,
            request.due_us,
            proxied.class_index,
            proxied.tenant,
            proxied.key,
            proxied.cost_us,
            proxied.retried,
            earlier_attempts=request.failover.attempts,
            attempts_left=attempts,
            excluded=excluded,
            preferred=pool.preferred_endpoints(proxied),
            tenant_share=self.owner.tenant_share(proxied.tenant),
        )

    def pool_declined(self, pool: ServerPool, request_id: int, response: ProxyResponse) -> None:
        """A pool rejects or fails a request: try the next pool."""
        request = self.owner.requests.get(request_id)
        if request is not None and request.pool is pool and not request.finished:
            self.try_next_pool(request, response)

    @property
    def has_events(self) -> bool:
        """Whether events wait to be handled."""
        return bool(self.events.events)

    def admit(self, pool: ServerPool, request_id: int) -> None:
        """Hand a request to its pool's load balancer."""
        request = self.owner.requests.get(request_id)
        if request is not None and not request.finished and request.arrival is not None:
            arrival, request.arrival = request.arrival, None
            self.events.put(pool, arrival)
            self._wake_when_connectable(pool, request)

    def reject(self, pool: ServerPool, request_id: int, retry_after_us: int) -> None:
        """Reject a request at a pool's queue: the queue is full, or the wait is too long or has expired."""
        after_us = retry_after_us if pool.settings.retry_after else 0
        self.pool_declined(pool, request_id, ProxyResponse(ResponseKind.REJECTED, after_us))

    def release_queue_place(self, request: LiveRequest) -> None:
        """Release a request's place in the queue of its pool, whether it waits or has been admitted."""
        request.arrival = None
        if request.pool is not None and request.pool.queue is not None:
            request.pool.queue.release(request.request_id, request.slot_time_us)
        request.slot_time_us = 0

    def _wake_when_connectable(self, pool: ServerPool, request: LiveRequest) -> None:
        """Wake the load balancer when a connection may be made for a request, as no event reports that."""
        wait_us = pool.transport.next_connect_us() - clock_us()
        if wait_us > 0 and not request.finished and not request.attempts and pool.connect_timer is None:
            pool.connect_timer = call_at(self.loop, clock_us() + wait_us, self._on_connectable, pool)

    def _on_connectable(self, pool: ServerPool) -> None:
        pool.connect_timer = None
        self.wake(pool)


def rejection_without_endpoints(pool: ServerPool) -> ProxyResponse:
    """The response where no endpoint is listed: the longest Retry-After, as no better time is known."""
    after_us = pool.settings.max_retry_after_us if pool.settings.retry_after else 0
    return ProxyResponse(ResponseKind.REJECTED, after_us)
