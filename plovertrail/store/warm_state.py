"""What is remembered beside lists: gathered in slices, handed over whole, and taken back at a start."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import Any

from plovertrail.background import BackgroundRunner
from plovertrail.clock import clock_us
from plovertrail.decisions.background import BackgroundTask, Priority
from plovertrail.decisions.counts import Counts, Former
from plovertrail.decisions.endpoint_list import State
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.rate_limits import RateLimiter, RateLimiterState
from plovertrail.decisions.warm_state import (
    EndpointHistory,
    PoolHistory,
    means,
    recall_means,
    recall_server,
    sweep,
)
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.store.records import Kept
from plovertrail.store.service import StoreService

SLICE = 200  # servers or keys in one turn of the loop: under a millisecond
# once a second where there is little; of 10,000 servers as often as half a hundredth of the loop allows
GATHER = BackgroundTask("state", Priority.STATE, every_us=1_000_000, latest_us=10_000_000, share=0.005)
MOST_UNCHANGED_POOLS = 200  # that are passed over in one turn of the loop
Pools = Callable[[], Mapping[str, tuple[ServerPool, State]]]


@dataclass(frozen=True, slots=True)
class GatheredPool:
    """What was gathered of a pool, and what it was gathered from."""

    pool: ServerPool
    state: State
    last_event_us: int  # of the pool's module
    memory: PoolHistory

    def holds(self, pool: ServerPool, state: State) -> bool:
        """Whether nothing has happened to the pool since: what no event changes fades by its age alone.

        Hazard: a cold server isn't judged, and becomes warm with no event. So it is gathered anew until all
        servers that were known by the last event are warm.
        """
        balancer = pool.balancer
        all_warm_us = self.last_event_us + balancer.settings.warm_up_us
        unchanged = self.pool is pool and self.state is state and self.last_event_us == balancer.now_us
        return unchanged and self.memory.at_us >= all_warm_us


def address_text(address: tuple[str, int]) -> str:
    """An address as records have it."""
    return f"{address[0]}:{address[1]}"


class WarmStateManager:
    """What was kept at the start, of which each part is taken once, and what is to be kept now. What is
    looked at may change between two slices: each server and key is as it was at some moment of the run."""

    def __init__(
        self,
        keeper: StoreService,
        pools: Pools,
        limiters: Callable[[], Mapping[str, RateLimiter]],
        counts: Callable[[], Counts | None],
    ) -> None:
        self.keeper = keeper
        self.pools = pools
        self.limiters = limiters
        self.counts = counts
        found = keeper.read()
        self.states = dict(found.states)
        self.memories = dict(found.memories)
        self.limits = dict(found.limits)
        self.former = found.counts
        self.gathered: dict[str, GatheredPool] = {}
        self.taken: dict[str, int] = {"servers": 0, "limits": 0, "counts": 0}  # of what was kept, by kind

    def follow(self, runner: BackgroundRunner) -> None:
        """A setup has come into force."""
        if self.keeper.path:
            runner.add(GATHER, self.run, GATHER.every_us)

    # What is taken back

    def state_of(self, name: str) -> State | None:
        """A pool's lists as they were."""
        return self.states.pop(name, None)

    def recall_pool(self, name: str, pool: ServerPool, state: State) -> None:
        """A pool's module begins with what was thought of its servers. Before the first list is told."""
        memory = self.memories.pop(name, None)
        if memory is None:
            return
        recall_means(pool.balancer, memory, clock_us())
        # hazard: one that has started since is another server under the same name
        old = {
            member.number: memory.servers[called]
            for ident, member in state.members.items()
            if (called := (ident, address_text(member.entry.address))) in memory.servers
            and member.came_us <= memory.at_us
        }

        def recall(server: EndpointState) -> None:
            judged = old.pop(server.listed.id, None)
            if judged is not None:
                age_us = pool.balancer.now_us - memory.at_us
                self.taken["servers"] += recall_server(pool.balancer, server, judged, age_us)

        pool.balancer.restore_endpoints_with(recall)

    def recall_limiter(self, name: str, limiter: RateLimiter) -> None:
        """Give a new limiter the levels that were stored under its name. A store is recalled once."""
        old = self.limits.pop(name, None)
        if old is not None:
            limiter.restore(old, clock_us())
            self.taken["limits"] += len(limiter.keys)

    def recall_counts(self, counts: Counts) -> None:
        """Give new counts those that were stored, if they are of the same window."""
        old, self.former = self.former, None
        if old is not None and counts.recall(old, clock_us()):
            self.taken["counts"] += len(counts.former)

    # What is kept

    def gather(self) -> None:
        """All of it at once, at the end."""
        if self.keeper.path:
            for _ in self.run():
                pass

    def run(self) -> Iterator[None]:
        """One run over all there is; a yield after each slice."""
        yield from self._gather_pools()
        limits: dict[str, RateLimiterState] = {}
        for name, limiter in list(self.limiters().items()):
            free_us: dict[int, float] = {}
            keys = iter(list(limiter.keys))
            while some := list(islice(keys, SLICE)):
                free_us |= limiter.pending_arrivals(some, clock_us())
                yield
            limits[name] = RateLimiterState(limiter.salt, free_us)
        counts, former = self.counts(), None
        if counts is not None:
            rows: dict[int, tuple[int, tuple[int, ...]]] = {}
            numbers = iter(list(counts.own.keys() | counts.former.keys()))
            while few := list(islice(numbers, SLICE)):
                rows |= counts.remembered(few)
                yield
            window = counts.window
            former = Former(counts.name, counts.remembered_from_us, window.span_us, window.buckets, rows)
        memories = {name: each.memory for name, each in self.gathered.items()}
        self.keeper.keep_others(Kept({}, memories, limits, former))

    def _gather_pools(self) -> Iterator[None]:
        """Gather the pools that something has happened to since the run before."""
        pools, unchanged = dict(self.pools()), 0
        self.gathered = {name: each for name, each in self.gathered.items() if name in pools}
        for name, (pool, state) in pools.items():
            before = self.gathered.get(name)
            if before is None or not before.holds(pool, state):
                yield from self._gather_pool(name, pool, state)
                continue
            unchanged += 1
            if unchanged % MOST_UNCHANGED_POOLS == 0:
                yield

    def _gather_pool(self, name: str, pool: ServerPool, state: State) -> Iterator[None]:
        """Gather one pool; a yield after each slice of its servers."""
        at_us, last_event_us = clock_us(), pool.balancer.now_us
        servers: dict[tuple[str, str], EndpointHistory] = {}
        called = (
            (member.number, (ident, address_text(member.entry.address)))
            for ident, member in state.members.items()
        )  # an immutable value
        while part := list(islice(called, SLICE)):
            servers |= sweep(pool.balancer, part)
            yield
        memory = PoolHistory(at_us, servers, means(pool.balancer))
        self.gathered[name] = GatheredPool(pool, state, last_event_us, memory)

    def status(self) -> dict[str, Any]:
        """For operators: what was found at the start, and how much of it is in use."""
        return {**self.keeper.found, "taken_back": dict(self.taken)} if self.keeper.path else {}
