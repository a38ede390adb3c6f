"""A pool in force: its configuration, its load balancer, its connections and its limits."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.clock import clock_us
from plovertrail.config.setup import PoolSetup
from plovertrail.decisions.fleet_limits import Fleet, InstanceLimits, instance_limits, oversubscribed
from plovertrail.decisions.pacing import InstanceRank
from plovertrail.decisions.startup_admission import StartupAdmission
from plovertrail.decisions.subsetting import EndpointSubset
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.endpoint_registry import EndpointRegistry
from plovertrail.upstreams.connection_pool import ConnectionPool
from plovertrail.upstreams.response_reader import ResponseRules

# Responses that tell of the endpoint's health, not of the request.
ENDPOINT_FAULT_STATUSES = frozenset((429, 500, 502, 503, 504))
StalenessCheck = Callable[[], bool]  # whether the process was paused in this turn of the loop
ConnectionFactory = Callable[[PoolSetup, ResponseRules, StalenessCheck], ConnectionPool]


def open_connection_pool(
    config: PoolSetup, rules: ResponseRules, turn_is_stale: StalenessCheck
) -> ConnectionPool:
    """Make the connection pool of a configured pool; connections are opened as requests need them."""
    return ConnectionPool(
        config.idle_us,
        config.settings.connect_timeout_us,
        config.max_connections,
        rules,
        turn_is_stale,
    )


@dataclass(frozen=True, slots=True)
class PoolSpec:
    """What a pool is built from."""

    config: PoolSetup
    max_response_bytes: int
    instance: int  # this instance's number, by which its subset is drawn
    dedup_scope: str  # endpoints that a subset takes together; empty: each for itself

    def can_reconfigure_to(self, new: PoolSpec) -> bool:
        """Whether a pool can continue under a new specification, which differs in its endpoints at most.

        Open requests know their class by its index, so with other settings they would be taken for requests
        of another class.
        """
        old_config, new_config = self.config, new.config
        return (
            old_config.settings == new_config.settings
            and old_config.idle_us == new_config.idle_us
            and self._same_connections(new_config)
            and self.max_response_bytes == new.max_response_bytes
            and old_config.home_zone == new_config.home_zone
            and old_config.affinity == new_config.affinity
            and old_config.bounds.subset_size == new_config.bounds.subset_size
            and (not new_config.bounds.subset_size or self._same_subset(new))
        )

    def _same_connections(self, new_config: PoolSetup) -> bool:
        """Whether max_connections is the same, or is by default in both and so follows the other pools."""
        if self.config.even_part and new_config.even_part:
            return True
        return self.config.max_connections == new_config.max_connections

    def _same_subset(self, new: PoolSpec) -> bool:
        return (self.instance, self.dedup_scope) == (new.instance, new.dedup_scope)


class RunningPool:
    """A pool in force: its configuration, its load balancer, its connections and its limits."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        spec: PoolSpec,
        registry: EndpointRegistry,
        seed: int,
        connect: ConnectionFactory,
    ) -> None:
        self.spec = spec
        self.registry = registry
        rules = ResponseRules(spec.max_response_bytes, ENDPOINT_FAULT_STATUSES)
        self.connections = connect(spec.config, rules, dispatcher.turn_is_stale)
        self.pool = dispatcher.pools.add(spec.config.name, spec.config.settings, seed, self.connections)
        self.limits = InstanceLimits()
        self.oversubscribed = ""  # what the endpoints can't bear from the whole fleet; empty: nothing
        self.started = False  # its limits have been set once
        self.random = random.Random(seed).random
        self.use_fair_queue(dispatcher, seed)
        if spec.config.affinity is not None:
            self.pool.use_affinity(spec.config.affinity)
        if spec.config.bounds.subset_size:
            self.pool.use_subset(_endpoint_subset(spec))

    @property
    def config(self) -> PoolSetup:
        """The configuration in force."""
        return self.spec.config

    def reconfigure(self, spec: PoolSpec) -> None:
        """Continue under a specification that the pool can become."""
        self.spec = spec
        self.connections.configure(spec.config.max_connections)

    def use_fair_queue(self, dispatcher: Dispatcher, seed: int) -> None:
        """Queue requests by tenant as configured now."""
        dispatcher.sequence.configure_queue(self.pool, self.config.door, random.Random(seed).random)

    def update_limits(self, fleet: Fleet, rank: InstanceRank, slow_start: bool) -> None:
        """Set this instance's part of what the endpoints bear from the whole fleet.

        `rank` is this instance's among all, by which it is paced; `slow_start` has effect at the first call.
        """
        if not self.started:
            self.started = True
            self._start_admission(fleet, slow_start)
        elif self.pool.admission is not None:
            self.pool.admission.instances = fleet.size
        bounds, endpoints = self.config.bounds, len(self.registry.state.members)
        self.oversubscribed = oversubscribed(fleet, bounds, endpoints)
        limits = instance_limits(fleet, bounds, endpoints)
        if limits != self.limits:
            self.limits = limits
            self.connections.apply_limits(limits, rank.delay_fraction(self.random()))

    def resume_after_pause(self, fleet: Fleet, rank: InstanceRank, slow_start: bool) -> None:
        """Start slowly again after the process was paused, perhaps with all others of its machine."""
        self.connections.process_paused(rank.delay_fraction(self.random()))
        self._start_admission(fleet, slow_start)

    def _start_admission(self, fleet: Fleet, slow_start: bool) -> None:
        """Admit requests slowly at first, as a whole fleet may start or resume at this moment."""
        slowly = slow_start and fleet.size > 1
        self.pool.admission = StartupAdmission(fleet.size, clock_us(), self.random) if slowly else None

    def retire(self, dispatcher: Dispatcher) -> None:
        """Take the pool out of service: requests in flight finish, and those that wait are rejected."""
        dispatcher.retire(self.pool)


def _endpoint_subset(spec: PoolSpec) -> EndpointSubset:
    settings = spec.config.settings
    home_zone = settings.zone if settings.cross_zone_fee > 0 else None
    return EndpointSubset(spec.instance, spec.config.bounds.subset_size, spec.dedup_scope, home_zone)
