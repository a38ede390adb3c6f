"""Collects the warm state (endpoint histories, rate limiters, shared counters) and restores it at startup."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

from plovertrail.background import BackgroundRunner
from plovertrail.clock import clock_us
from plovertrail.decisions.background import BackgroundTask, Priority
from plovertrail.decisions.counter_rows import PreviousIncarnation
from plovertrail.decisions.endpoint_list import Address, EndpointListState
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.rate_limits import RateLimiter, RateLimiterState
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.decisions.warm_state import (
    EndpointHistory,
    EndpointKey,
    PoolHistory,
    collect_histories,
    mean_latencies,
    restore_endpoint,
    restore_mean_latencies,
)
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.store.records import StoredState
from plovertrail.store.service import StoreService

SLICE_LENGTH = 200  # endpoints or keys in one turn of the event loop: under a millisecond
MAX_UNCHANGED_POOLS = 200  # skipped in one turn of the event loop
# Runs once a second with few endpoints; with 10,000 of them, as often as loop_fraction allows.
COLLECTION = BackgroundTask(
    "state", Priority.STATE, interval_us=1_000_000, max_delay_us=10_000_000, loop_fraction=0.005
)
Pools = Callable[[], Mapping[str, tuple[ServerPool, EndpointListState]]]


@dataclass(frozen=True, slots=True)
class CollectedPool:
    """The history collected from a pool, and the state of the pool at that time."""

    pool: ServerPool
    state: EndpointListState
    last_event_us: int  # of the pool's load balancer
    history: PoolHistory

    def is_current(self, pool: ServerPool, state: EndpointListState) -> bool:
        """Whether the history is up to date: between events it changes by decay only, which its age tells.

        An endpoint has no history until it has warmed up, and no event marks that. So the pool is collected
        again until all endpoints that were known at the last event have warmed up.
        """
        balancer = pool.balancer
        all_warm_us = self.last_event_us + balancer.settings.warm_up_us
        unchanged = self.pool is pool and self.state is state and self.last_event_us == balancer.now_us
        return unchanged and self.history.recorded_at_us >= all_warm_us


def address_text(address: Address) -> str:
    """Format an address as in records."""
    return f"{address[0]}:{address[1]}"


class WarmStateManager:
    """Restores each part of the stored warm state once, and collects the warm state to store.

    State may change between two slices of a run: each endpoint and key is collected as of some moment of the
    run.
    """

    def __init__(
        self,
        store: StoreService,
        pools: Pools,
        limiters: Callable[[], Mapping[str, RateLimiter]],
        counters: Callable[[], SharedCounters | None],
    ) -> None:
        self.store = store
        self.pools = pools
        self.limiters = limiters
        self.counters = counters
        stored = store.load()
        self.stored_lists = dict(stored.endpoint_lists)
        self.stored_histories = dict(stored.pool_histories)
        self.stored_limiters = dict(stored.limiters)
        self.stored_counters = stored.counters
        self.collected: dict[str, CollectedPool] = {}
        self.restored: dict[str, int] = {"servers": 0, "limits": 0, "counts": 0}  # for the status

    def schedule(self, runner: BackgroundRunner) -> None:
        """Start collecting in the background if there is a state file."""
        if self.store.path:
            runner.add(COLLECTION, self.collect, COLLECTION.interval_us)

    # Restoring

    def take_lists(self, pool: str) -> EndpointListState | None:
        """Return a pool's stored endpoint lists on the first call, then None."""
        return self.stored_lists.pop(pool, None)

    def restore_pool(self, name: str, pool: ServerPool, state: EndpointListState) -> None:
        """Give a load balancer the stored histories of its endpoints; called before its first list."""
        stored = self.stored_histories.pop(name, None)
        if stored is None:
            return
        restore_mean_latencies(pool.balancer, stored, clock_us())
        histories = _histories_by_id(stored, state)

        def restore(endpoint: EndpointState) -> None:
            history = histories.pop(endpoint.listed.id, None)
            if history is not None:
                age_us = pool.balancer.now_us - stored.recorded_at_us
                self.restored["servers"] += restore_endpoint(pool.balancer, endpoint, history, age_us)

        pool.balancer.set_endpoint_restorer(restore)

    def restore_limiter(self, name: str, limiter: RateLimiter) -> None:
        """Give a new limiter the levels stored under its name; only the first limiter of a name gets them."""
        stored = self.stored_limiters.pop(name, None)
        if stored is not None:
            limiter.restore(stored, clock_us())
            self.restored["limits"] += len(limiter.keys)

    def restore_counters(self, counters: SharedCounters) -> None:
        """Give new counters the stored ones if both have the same window; only the first call does."""
        stored = self.stored_counters
        self.stored_counters = None
        if stored is not None and counters.restore(stored, clock_us()):
            self.restored["counts"] += len(counters.previous)

    # Collecting

    def collect_now(self) -> None:
        """Collect everything without pauses, before exit."""
        if self.store.path:
            for _ in self.collect():
                pass

    def collect(self) -> Iterator[None]:
        """Collect everything and pass it to the store; yields after each slice."""
        yield from self._collect_pools()
        limiters: dict[str, RateLimiterState] = {}
        yield from self._collect_limiters(limiters)
        counters = self.counters()
        stored_counters: PreviousIncarnation | None = None
        if counters is not None:
            rows: dict[int, tuple[int, tuple[int, ...]]] = {}
            yield from self._collect_counters(counters, rows)
            window = counters.window
            stored_counters = PreviousIncarnation(
                counters.name, counters.saved_from_us, window.span_us, window.buckets, rows
            )
        histories = {name: each.history for name, each in self.collected.items()}
        self.store.store_warm_state(StoredState({}, histories, limiters, stored_counters))

    def _collect_pools(self) -> Iterator[None]:
        """Collect the pools that may have changed since the last run; yields after each slice."""
        pools = dict(self.pools())
        unchanged_pools = 0
        self.collected = {name: each for name, each in self.collected.items() if name in pools}
        for name, (pool, state) in pools.items():
            collected = self.collected.get(name)
            if collected is None or not collected.is_current(pool, state):
                yield from self._collect_pool(name, pool, state)
                continue
            unchanged_pools += 1
            if unchanged_pools % MAX_UNCHANGED_POOLS == 0:
                yield

    def _collect_pool(self, name: str, pool: ServerPool, state: EndpointListState) -> Iterator[None]:
        """Collect one pool; yields after each slice of its endpoints."""
        recorded_at_us = clock_us()
        last_event_us = pool.balancer.now_us
        histories: dict[EndpointKey, EndpointHistory] = {}
        endpoints = (
            (member.endpoint_id, (endpoint_name, address_text(member.listed.address)))
            for endpoint_name, member in state.members.items()
        )  # the state is immutable, so it may be iterated over several turns of the event loop
        while batch := list(islice(endpoints, SLICE_LENGTH)):
            histories |= collect_histories(pool.balancer, batch)
            yield
        history = PoolHistory(recorded_at_us, histories, mean_latencies(pool.balancer))
        self.collected[name] = CollectedPool(pool, state, last_event_us, history)

    def _collect_limiters(self, collected: dict[str, RateLimiterState]) -> Iterator[None]:
        """Collect the levels of all rate limiters; yields after each slice of their keys."""
        for name, limiter in list(self.limiters().items()):
            arrivals_us: dict[int, float] = {}
            keys = iter(list(limiter.keys))
            while batch := list(islice(keys, SLICE_LENGTH)):
                arrivals_us |= limiter.pending_arrivals(batch, clock_us())
                yield
            collected[name] = RateLimiterState(limiter.salt, arrivals_us)

    def _collect_counters(
        self, counters: SharedCounters, rows: dict[int, tuple[int, tuple[int, ...]]]
    ) -> Iterator[None]:
        """Collect the rows of the shared counters; yields after each slice."""
        keys = iter(list(counters.own.keys() | counters.previous.keys()))
        while batch := list(islice(keys, SLICE_LENGTH)):
            rows |= counters.saved_rows(batch)
            yield

    def status(self) -> dict[str, Any]:
        """Return for operators what was loaded at startup, and how much of it was restored."""
        return {**self.store.load_report, "taken_back": dict(self.restored)} if self.store.path else {}


def _histories_by_id(stored: PoolHistory, state: EndpointListState) -> dict[int, EndpointHistory]:
    """Find the stored histories of the endpoints that are listed now, by endpoint id.

    An endpoint that started after the histories were recorded is another one under the same name.
    """
    histories: dict[int, EndpointHistory] = {}
    for name, member in state.members.items():
        history = stored.endpoints.get((name, address_text(member.listed.address)))
        if history is not None and member.started_us <= stored.recorded_at_us:
            histories[member.endpoint_id] = history
    return histories
