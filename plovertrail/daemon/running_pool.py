"""A pool in force: its configuration, load balancer, connections and limits."""

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

# Responses that indicate a fault of the endpoint, not of the request.
ENDPOINT_FAULT_STATUSES = frozenset((429, 500, 502, 503, 504))
StalenessCheck = Callable[[], bool]  # whether the process was paused during this event loop iteration
ConnectionFactory = Callable[[PoolSetup, ResponseRules, StalenessCheck], ConnectionPool]


def open_connection_pool(
    config: PoolSetup, rules: ResponseRules, turn_is_stale: StalenessCheck
) -> ConnectionPool:
    """Make a pool's connection pool; its connections are opened on demand."""
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
    instance: int  # this instance's number, which selects its subset
    dedup_scope: str  # groups the endpoints that a subset takes together; empty if it takes each by itself

    def can_reconfigure_to(self, new: PoolSpec) -> bool:
        """Whether a pool can stay in use under a new specification, because at most its endpoints differ.

        With other settings it can't: open requests refer to their class by index, and would be handled as
        requests of another class.
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
        """Whether max_connections is equal, or unset in both and so depends on the other pools."""
        if self.config.even_part and new_config.even_part:
            return True
        return self.config.max_connections == new_config.max_connections

    def _same_subset(self, new: PoolSpec) -> bool:
        return (self.instance, self.dedup_scope) == (new.instance, new.dedup_scope)


class RunningPool:
    """A pool in force: its configuration, load balancer, connections and limits."""

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
        self.oversubscribed = ""  # why the fleet exceeds what the endpoints can bear; empty if it doesn't
        self.started = False  # whether its limits have been set once
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
        """Apply a specification for which can_reconfigure_to is true."""
        self.spec = spec
        self.connections.configure(spec.config.max_connections)

    def use_fair_queue(self, dispatcher: Dispatcher, seed: int) -> None:
        """Apply the configured queueing of requests by tenant."""
        dispatcher.sequence.configure_queue(self.pool, self.config.door, random.Random(seed).random)

    def update_limits(self, fleet: Fleet, rank: InstanceRank, slow_start: bool) -> None:
        """Set this instance's share of the load that the endpoints bear from the whole fleet.

        `rank` is this instance's rank in the fleet, which staggers its new connections. `slow_start` matters
        in the first call only.
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
        """Begin a slow start after a pause of the process, which may have hit the whole machine."""
        self.connections.process_paused(rank.delay_fraction(self.random()))
        self._start_admission(fleet, slow_start)

    def _start_admission(self, fleet: Fleet, slow_start: bool) -> None:
        """Limit the requests admitted at first, as the whole fleet may start or resume at the same time."""
        slowly = slow_start and fleet.size > 1
        self.pool.admission = StartupAdmission(fleet.size, clock_us(), self.random) if slowly else None

    def retire(self, dispatcher: Dispatcher) -> None:
        """Take the pool out of service: requests in flight finish, and queued ones are rejected."""
        dispatcher.retire(self.pool)


def _endpoint_subset(spec: PoolSpec) -> EndpointSubset:
    settings = spec.config.settings
    home_zone = settings.zone if settings.cross_zone_fee > 0 else None
    return EndpointSubset(spec.instance, spec.config.bounds.subset_size, spec.dedup_scope, home_zone)
