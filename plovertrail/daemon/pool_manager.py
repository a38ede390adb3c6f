"""Builds, keeps, replaces and removes pools when a configuration is applied, and sets their limits."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from plovertrail.background import BackgroundRunner
from plovertrail.config.setup import PoolSetup, Setup
from plovertrail.daemon.fleet_tracker import FleetTracker
from plovertrail.daemon.pool_table import EndpointsOfOtherPools, PoolTable
from plovertrail.daemon.running_pool import ConnectionFactory, PoolSpec, RunningPool
from plovertrail.decisions import subsetting
from plovertrail.decisions.background import BackgroundTask, Priority
from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.endpoint_registry import EndpointRegistry
from plovertrail.generation import CurrentGeneration
from plovertrail.sources.first_read import FirstRead
from plovertrail.sources.list_reader import ListReader
from plovertrail.store.warm_state import WarmStateManager

log = logging.getLogger(__name__)

SHRINK_SUBSETS = BackgroundTask(
    "subsets", Priority.LISTS, interval_us=1_000_000, max_delay_us=1_000_000, loop_fraction=0.02
)
REPORT_PROBLEMS = BackgroundTask(
    "reports", Priority.REPORTS, interval_us=2_000_000, max_delay_us=8_000_000, loop_fraction=0.01
)


class SourceObserver(Protocol):
    """Is told of each read of an endpoint source."""

    def source_read(self, pool: str, source: str, problem: str) -> None:
        """Note that a source of a pool was read; `problem` is empty if it provided a list."""


@dataclass(frozen=True, slots=True)
class SupersededPools:
    """The pools that a configuration no longer uses; they are retired once new requests use the new pools."""

    removed: list[RunningPool]
    replaced: list[RunningPool]


@dataclass(eq=False)
class PoolManager:
    """Owns the pools in force, their endpoint registries and the fleet tracker."""

    table: PoolTable
    dispatcher: Dispatcher
    current: CurrentGeneration
    warm_state: WarmStateManager
    lists: ListReader
    source_observer: SourceObserver
    new_seed: Callable[[], int]
    connect: ConnectionFactory
    fleet_tracker: FleetTracker = field(init=False)
    subset_pools: list[RunningPool] = field(init=False, default_factory=list)
    pools_with_problems: set[str] = field(
        init=False, default_factory=set
    )  # names; their problems are logged regularly

    def __post_init__(self) -> None:
        self.fleet_tracker = FleetTracker(self.update_all_limits, self.lists)

    @property
    def running(self) -> Mapping[str, RunningPool]:
        """The pools in force by name."""
        return self.table.running

    # Applying a configuration

    def apply(self, setup: Setup, first_lists: Mapping[SourceKey, FirstRead]) -> SupersededPools:
        """Build the pools of a configuration; pools that can be reconfigured are kept."""
        remaining = dict(self.running)
        replaced = []
        running: dict[str, RunningPool] = {}
        for name, config in setup.pools.items():
            previous = remaining.pop(name, None)
            spec = _pool_spec(setup, config)
            if previous is not None and previous.spec.can_reconfigure_to(spec):
                previous.reconfigure(spec)
                previous.use_fair_queue(self.dispatcher, self.new_seed())
                _configure_registry(previous.registry, config, first_lists)
                running[name] = previous
                continue
            if previous is not None:
                replaced.append(previous)
                registry = previous.registry
            else:
                registry = self._make_registry(name)
            running[name] = self._build_pool(spec, registry, first_lists)
        # Set last: building a pool looks up in the previous pools since when an endpoint is known.
        self.table.running = running
        return SupersededPools(list(remaining.values()), replaced)

    def _build_pool(
        self, spec: PoolSpec, registry: EndpointRegistry, first_lists: Mapping[SourceKey, FirstRead]
    ) -> RunningPool:
        registry.pool = None  # changes of the endpoint list wait for the new pool
        _configure_registry(registry, spec.config, first_lists)
        pool = RunningPool(self.dispatcher, spec, registry, self.new_seed(), self.connect)
        self.warm_state.restore_pool(spec.config.name, pool.pool, registry.state)
        registry.attach(pool.pool)
        return pool

    def _make_registry(self, name: str) -> EndpointRegistry:
        started = bool(self.current.generation.number)
        state = self.warm_state.take_lists(name) or EndpointListState(started=started)
        return EndpointRegistry(name, self.dispatcher, state, self, self.lists)

    def retire(self, superseded: SupersededPools) -> None:
        """Take pools out of service; no new request uses them."""
        for pool in (*superseded.removed, *superseded.replaced):
            pool.retire(self.dispatcher)
        for pool in superseded.removed:  # a replaced pool's registry is used by its successor
            pool.registry.stop()

    def schedule(self, background: BackgroundRunner) -> None:
        """Schedule the background work on the pools in force."""
        pools = self.running
        self.subset_pools = [pool for pool in pools.values() if pool.pool.subset is not None]
        self.pools_with_problems &= pools.keys()
        background.add(SHRINK_SUBSETS, self._shrink_subsets, SHRINK_SUBSETS.interval_us)
        background.add(REPORT_PROBLEMS, self._report_problems, REPORT_PROBLEMS.interval_us)

    def _shrink_subsets(self) -> Iterator[None]:
        for pool in self.subset_pools:
            self.dispatcher.shrink_subset(pool.pool)
            yield

    def _report_problems(self) -> Iterator[None]:
        for name in list(self.pools_with_problems):
            if name in self.running:
                self.running[name].registry.log_problems()
            yield

    # Callbacks of the endpoint registries: see endpoint_registry.RegistryOwner

    def endpoints_of_other_pools(self, name: str) -> EndpointsOfOtherPools:
        """Since when (us) the endpoints of all other pools are known."""
        return EndpointsOfOtherPools(name, self.table)

    def source_read(self, name: str, source: str, problem: str) -> None:
        """Note that a source of a pool was read; `problem` is empty if it provided a list."""
        self.source_observer.source_read(name, source, problem)

    def endpoints_changed(self, name: str) -> None:
        """Update the limits of a pool whose endpoints have changed, and store the endpoints."""
        pool = self.running.get(name)
        if pool is not None:
            self._update_limits(pool)
        self._store_endpoints()

    def problems_persist(self, name: str, persist: bool) -> None:
        """Note whether a pool's lists have problems that are to be logged regularly."""
        if persist:
            self.pools_with_problems.add(name)
        else:
            self.pools_with_problems.discard(name)

    # Drains and pauses

    def resume_after_pause(self) -> None:
        """Begin a slow start in all pools after the process was paused."""
        slow_start = self.current.generation.setup.fleet.slow_start
        for pool in self.running.values():
            pool.resume_after_pause(self.fleet_tracker.fleet, self.fleet_tracker.rank, slow_start)

    def drain(self, pool_name: str, endpoint: str, drain: bool) -> str:
        """Start or end a manual drain of an endpoint; returns an error text, empty on success."""
        if pool_name not in self.running:
            return f'no pool is called "{pool_name}"'
        registry = self.running[pool_name].registry
        if drain and endpoint not in registry.state.members:
            return f'pool "{pool_name}" has no server "{endpoint}"'
        registry.drain(endpoint, drain)
        return ""

    # Limits

    def update_all_limits(self) -> None:
        """Set the limits of all pools after a change of the fleet or the configuration."""
        for pool in self.running.values():
            self._update_limits(pool)
        self._store_endpoints()

    def _update_limits(self, pool: RunningPool) -> None:
        previous = pool.oversubscribed
        generation = self.current.generation
        # No slow start after a reload: the instance already has its traffic, and would reject some of it.
        slow_start = generation.number == 1 and generation.setup.fleet.slow_start
        pool.update_limits(self.fleet_tracker.fleet, self.fleet_tracker.rank, slow_start)
        if pool.oversubscribed and not previous:
            log.error("pool oversubscribed pool=%s: %s", pool.config.name, pool.oversubscribed)

    def _store_endpoints(self) -> None:
        self.warm_state.store.store_lists(self.table.endpoint_states)

    def stop(self) -> None:
        """Stop following endpoints and instances; the pools continue to serve."""
        for pool in self.running.values():
            pool.registry.stop()
        self.fleet_tracker.stop()


def _pool_spec(setup: Setup, config: PoolSetup) -> PoolSpec:
    dedup_scope = subsetting.dedup_scope_of(setup.classes_at(config.name))
    return PoolSpec(config, setup.limits.max_answer, setup.fleet.fleet.number, dedup_scope)


def _configure_registry(
    registry: EndpointRegistry, config: PoolSetup, first_lists: Mapping[SourceKey, FirstRead]
) -> None:
    sources = [SourceKey(*key) for key in config.lists]
    registry.configure(config.servers, sources, config.guards, config.home_zone, first_lists)
