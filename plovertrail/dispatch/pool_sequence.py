"""The way of a request through its route's pools: into a queue, to a load balancer, on to the next pool."""

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

if TYPE_CHECKING:  # imported where a queue is configured: the platform's start has none
    from plovertrail.decisions.fair_queue import FairQueueSettings


class RequestOwner(Protocol):
    """What the way through the pools asks of the dispatcher."""

    @property
    def requests(self) -> Mapping[int, LiveRequest]:
        """The requests that are live."""

    def answer(self, request_id: int, response: ProxyResponse) -> None:
        """Give a request its final response."""

    def tenant_share(self, tenant: int) -> float:
        """A tenant's share of all that the fleet is asked for; 0: not known."""


class PoolSequence:
    """Passes requests from pool to pool, in the order that each was given.

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
        """Give a pool a queue, another one, or none; requests that wait stay queued, or are admitted."""
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
        """Let a pool's load balancer act, as time has passed."""
        self.events.put(pool, TimerFired(0))

    def try_next_pool(self, request: LiveRequest, response: ProxyResponse) -> None:
        """Pass a request that no pool has to its next one; without one `response` is its answer."""
        failover = request.failover
        handshake = request.proxied.handshake
        serving = [
            bool(pool.serving) if handshake is None else handshake.has_capacity(pool.name, pool.serving)
            for pool in request.pools
        ]
        max_attempts = request.pools[0].settings.max_attempts
        number = next_pool(failover, serving, max_attempts, self.retry_budget, clock_us())
        if number is None:
            response.result = request.last_result
            self.owner.answer(request.request_id, response)
            return
        self.release_queue_place(request)
        pool = request.pools[number]
        failover.pools_tried = number + 1
        if pool.queue is None and pool.admission is not None and not pool.admits():
            after_us = pool.admission.retry_after_us() if pool.settings.retry_after else 0
            self.try_next_pool(request, ProxyResponse(ResponseKind.REJECTED, after_us))
            return
        request.pool = pool
        request.first_attempt = len(request.attempts)
        left = attempts_left(failover, serving, number, max_attempts)
        request.arrival = self._arrival(request, pool, left)
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
        """Take a request from a pool's queue, as it has waited for too long or in vain."""
        after_us = retry_after_us if pool.settings.retry_after else 0
        self.pool_declined(pool, request_id, ProxyResponse(ResponseKind.REJECTED, after_us))

    def release_queue_place(self, request: LiveRequest) -> None:
        """Release a request's place in the queue of its pool, whether it waits or was admitted."""
        request.arrival = None
        if request.pool is not None and request.pool.queue is not None:
            request.pool.queue.release(request.request_id, request.slot_time_us)
        request.slot_time_us = 0

    def _wake_when_connectable(self, pool: ServerPool, request: LiveRequest) -> None:
        """Wake the load balancer once a connection may be made for a request: that has no event."""
        wait_us = pool.transport.next_connect_us() - clock_us()
        if wait_us > 0 and not request.finished and not request.attempts and pool.connect_timer is None:
            pool.connect_timer = call_at(self.loop, clock_us() + wait_us, self._on_connectable, pool)

    def _on_connectable(self, pool: ServerPool) -> None:
        pool.connect_timer = None
        self.wake(pool)


def rejection_without_endpoints(pool: ServerPool) -> ProxyResponse:
    """The response where no endpoint is listed: the longest Retry-After, as nothing tells a better one."""
    after_us = pool.settings.max_retry_after_us if pool.settings.retry_after else 0
    return ProxyResponse(ResponseKind.REJECTED, after_us)
