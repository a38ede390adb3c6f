"""Applies a configuration atomically: in full or not at all.

Every step that can fail comes first: `prepare` returns a PreparedConfiguration, or raises ConfigError and
changes nothing. `put_into_force` accepts only a PreparedConfiguration, and none of its steps can fail.
"""

from __future__ import annotations

import socket
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from typing import TYPE_CHECKING

from plovertrail.config.setup import Setup
from plovertrail.daemon.wiring import Services
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.generation import make_generation
from plovertrail.resource_limits import raise_descriptor_limit
from plovertrail.sources.first_read import FirstRead

if TYPE_CHECKING:
    from plovertrail.decisions.shared_counters import SharedCounters
    from plovertrail.hooks.engine import Compiled

FirstLists = Mapping[SourceKey, FirstRead]


@dataclass(frozen=True, slots=True)
class PreparedConfiguration:
    """A configuration whose lists are read, hooks compiled and sockets bound: nothing left can fail."""

    setup: Setup
    first_lists: FirstLists  # the lists that aren't watched yet
    hook_modules: Mapping[str, Compiled]
    peer_socket: socket.socket | None  # None if the address is unchanged or not configured
    listener_sockets: Mapping[str, socket.socket]  # of listeners that are new or whose address changed


def watched_lists(setup: Setup) -> list[SourceKey]:
    """The lists that have to be read before a configuration is applied."""
    keys = [SourceKey(*key) for pool in setup.pools.values() for key in pool.lists]
    if setup.fleet.list_path:
        keys.append(SourceKey(setup.fleet.list_path, False))
    return keys


class ConfigurationApplier:
    """Prepares configurations, and applies the prepared ones."""

    def __init__(self, services: Services) -> None:
        self.services = services

    def prepare(
        self, setup: Setup, first_lists: FirstLists, hook_modules: Mapping[str, Compiled]
    ) -> PreparedConfiguration:
        """Run every step that can fail; on ConfigError no socket stays bound."""
        raise_descriptor_limit(setup)
        with ExitStack() as on_failure:
            peer_socket = self.services.peers.bind(setup)
            if peer_socket is not None:
                on_failure.callback(peer_socket.close)
            listener_sockets = self.services.listeners.bind(setup)
            on_failure.pop_all()
        return PreparedConfiguration(setup, first_lists, hook_modules, peer_socket, listener_sockets)

    def put_into_force(self, prepared: PreparedConfiguration) -> None:
        """Replace the configuration in force; requests in flight keep the generation they started with."""
        services, setup = self.services, prepared.setup
        superseded = services.pools.apply(setup, prepared.first_lists)
        counts = self._apply_peers(prepared)
        services.limiters.apply(setup, counts, services.warm_state)
        self._replace_generation(prepared)
        services.listeners.apply(setup, prepared.listener_sockets)
        services.pools.retire(superseded)
        self._apply_websocket_limits(setup)
        services.pools.fleet_tracker.apply(setup.fleet, prepared.first_lists)
        services.pools.update_all_limits()
        services.config_watcher.apply(setup)
        services.recovery.configuration_applied()
        self._schedule_background_work()

    def _apply_peers(self, prepared: PreparedConfiguration) -> SharedCounters | None:
        """Exchange counters with other instances if configured; returns the fleet's counters, or None."""
        services, setup = self.services, prepared.setup
        counts = services.peers.apply_setup(setup.peers, prepared.peer_socket, setup.membership)
        if counts is not None:
            services.warm_state.restore_counters(counts)
        services.dispatcher.tenant_use = None
        if counts is not None and setup.fleet_tenants:
            from plovertrail.decisions.shared_counters import TenantUsage

            tenants = [tenant.name for tenant in setup.tenants]
            services.dispatcher.tenant_use = TenantUsage(counts, tenants, setup.fleet_tenants)
        return counts

    def _replace_generation(self, prepared: PreparedConfiguration) -> None:
        """Make the new generation current: requests that arrive from now on are routed by it."""
        services, setup = self.services, prepared.setup
        pools: dict[str, ServerPool] = {name: pool.pool for name, pool in services.pools.running.items()}
        hooks = services.hooks.follow(setup, prepared.hook_modules)
        number = services.current.generation.number + 1
        services.current.generation = make_generation(number, setup, pools, hooks, services.limiters.active)

    def _apply_websocket_limits(self, setup: Setup) -> None:
        limits = {name: (pool.max_sockets, pool.max_sockets_per_server) for name, pool in setup.pools.items()}
        services = self.services
        services.websockets.reconfigure(services.current.generation.plans, limits, services.listeners.active)

    def _schedule_background_work(self) -> None:
        services = self.services
        services.warm_state.schedule(services.background)
        services.health_reporter.apply(services.background)
        services.pools.schedule(services.background)
