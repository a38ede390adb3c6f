"""The active pools, and updates to their endpoints from sources and other instances."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from plovertrail.clock import clock_us
from plovertrail.decisions.events import EndpointsUpdated, ListKind, Outcome, PeerHealthUpdated
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.retry_budget import RetryBudget
from plovertrail.decisions.settings import Settings
from plovertrail.dispatch.event_queue import EventQueue
from plovertrail.dispatch.live_request import LiveAttempt
from plovertrail.dispatch.observers import AttemptObserver, EndpointObserver
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import Address, EndpointTransport


class Pools:
    """The active pools, in the order in which they were added.

    `retry_budget` bounds the retries of all pools together.
    """

    def __init__(self, events: EventQueue, retry_budget: RetryBudget) -> None:
        self.events = events
        self.retry_budget = retry_budget
        self.endpoint_observer: EndpointObserver | None = None
        self.attempt_observer: AttemptObserver | None = None
        self._pools: list[ServerPool] = []

    def __iter__(self) -> Iterator[ServerPool]:
        return iter(self._pools)

    def __getitem__(self, number: int) -> ServerPool:
        return self._pools[number]

    def add(self, name: str, settings: Settings, seed: int, transport: EndpointTransport) -> ServerPool:
        """Create a pool with its load balancer and add it."""
        balancer = LoadBalancer(settings, seed, clock_us(), self.retry_budget)
        pool = ServerPool(name, settings, balancer, transport, self._deliver_endpoints)
        self._pools.append(pool)
        return pool

    def update_endpoints(
        self, pool: ServerPool, event: EndpointsUpdated, addresses: dict[int, Address]
    ) -> None:
        """Apply what a source reports about a pool's endpoints."""
        if event.kind is ListKind.FAILED:
            self.events.put(pool, event)
            return
        if self.endpoint_observer is not None:
            self.endpoint_observer.endpoints_changed(pool, event)
        pool.feed.update(event, addresses)

    def update_peer_health(self, pool: ServerPool, penalties: Mapping[tuple[int, int], float]) -> None:
        """Apply the penalties that other instances report for a pool's endpoints, by endpoint and class."""
        self.events.put(pool, PeerHealthUpdated(penalties))

    @property
    def has_endpoints(self) -> bool:
        """Whether any pool has an endpoint to send to."""
        return any(pool.addresses for pool in self._pools)

    def _deliver_endpoints(self, pool: ServerPool, event: EndpointsUpdated) -> None:
        pool.apply(event)
        self.events.put(pool, event)

    def attempt_ended(
        self, attempt: LiveAttempt, class_index: int, outcome: Outcome, elapsed_us: int
    ) -> None:
        """Tell the observer and the startup admission how an attempt ended.

        The load balancer is told by an event.
        """
        pool = attempt.pool
        if self.attempt_observer is not None:
            self.attempt_observer.attempt_ended(pool, attempt.endpoint_id, class_index, outcome, elapsed_us)
        if pool.admission is not None:
            objective_us = pool.settings.classes[class_index].latency_objective_us
            pool.admission.attempt_ended(outcome, elapsed_us, objective_us, clock_us())

    def remove(self, pool: ServerPool) -> None:
        """Remove a pool: its load balancer gets an empty endpoint list."""
        self._pools.remove(pool)
        pool.retired = True
        pool.feed.close()
