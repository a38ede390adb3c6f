"""Builds the services of a daemon and connects them."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from plovertrail.background import BackgroundRunner
from plovertrail.clock import clock_us
from plovertrail.config.setup import Setup
from plovertrail.daemon.config_watcher import ConfigWatcher
from plovertrail.daemon.limiters import LimiterTable
from plovertrail.daemon.listeners import ListenerSet, ListenerSockets, SystemListenerSockets
from plovertrail.daemon.pool_manager import PoolManager
from plovertrail.daemon.pool_table import PoolTable
from plovertrail.daemon.running_pool import ConnectionFactory, open_connection_pool
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.event_log import EventLog, EventSink
from plovertrail.generation import CurrentGeneration, Generation
from plovertrail.health_reporter import HealthReporter
from plovertrail.hooks.loader import HookLoader
from plovertrail.listeners.websocket_service import WebSocketService
from plovertrail.peers.service import PeerService
from plovertrail.recovery_manager import RecoveryManager
from plovertrail.sources.list_reader import ListReader
from plovertrail.stall_detector import turn_staleness
from plovertrail.store.service import StoreService
from plovertrail.store.warm_state import WarmStateManager


def random_seed() -> int:
    """A seed for the random generator of one service or pool."""
    return int.from_bytes(os.urandom(8))


@dataclass(frozen=True, slots=True)
class Environment:
    """A daemon's dependencies on the operating system; tests replace some of them."""

    new_seed: Callable[[], int] = random_seed
    connect: ConnectionFactory = open_connection_pool
    listener_sockets: ListenerSockets = field(default_factory=SystemListenerSockets)
    open_event_log: Callable[[str], EventSink] = EventLog
    peer_service: Callable[[Callable[[], int], ListReader], PeerService] = PeerService


class DaemonEvents(Protocol):
    """Callbacks from the services to their daemon."""

    async def wait_for_reload(self) -> None:
        """Return once no reload is in progress."""

    async def reload_changed(self, digest: str) -> None:
        """Reload the operator's file, whose content has changed to this digest."""

    def resume_after_pause(self, paused_us: int) -> None:
        """Handle a pause of the process of this length, before any other event is handled."""


@dataclass(frozen=True, slots=True)
class Services:
    """The services of one daemon, which are made once and reconfigured on each reload."""

    current: CurrentGeneration
    dispatcher: Dispatcher
    event_log: EventSink
    websockets: WebSocketService
    peers: PeerService
    warm_state: WarmStateManager
    pools: PoolManager
    limiters: LimiterTable
    health_reporter: HealthReporter
    background: BackgroundRunner
    listeners: ListenerSet
    lists: ListReader
    config_watcher: ConfigWatcher
    recovery: RecoveryManager
    hooks: HookLoader = field(default_factory=partial(HookLoader, clock_us))

    @property
    def store(self) -> StoreService:
        """The service that writes the state file."""
        return self.warm_state.store


def instance_name(setup: Setup) -> str:
    """This instance's name among those that may find its state file; empty if the configuration has none."""
    if setup.peers is not None:
        return setup.peers.name
    return str(setup.fleet.fleet.number) if setup.fleet.fleet.size > 1 else ""


def make_services(
    setup: Setup, environment: Environment, lists: ListReader, events: DaemonEvents
) -> Services:
    """Make the services of a daemon for its first configuration, which is not applied yet."""
    current = CurrentGeneration(Generation(0, setup, {}, {}, {}))
    dispatcher = Dispatcher(turn_staleness(asyncio.get_running_loop()))
    event_log = environment.open_event_log(setup.socket_log)
    websockets = WebSocketService(dispatcher, environment.new_seed(), event_log)
    peers = environment.peer_service(environment.new_seed, lists)
    table = PoolTable()
    limiters = LimiterTable(environment.new_seed)
    warm_state = _make_warm_state(setup, table, limiters, peers)
    reload_done, on_pause = events.wait_for_reload, events.resume_after_pause
    recovery = RecoveryManager(dispatcher, table.registries, reload_done, on_pause)
    pools = PoolManager(
        table=table,
        dispatcher=dispatcher,
        current=current,
        warm_state=warm_state,
        lists=lists,
        source_observer=recovery,
        new_seed=environment.new_seed,
        connect=environment.connect,
    )
    return Services(
        current=current,
        dispatcher=dispatcher,
        event_log=event_log,
        websockets=websockets,
        peers=peers,
        warm_state=warm_state,
        pools=pools,
        limiters=limiters,
        health_reporter=HealthReporter(dispatcher, table.registries, peers),
        background=BackgroundRunner(dispatcher.loop),
        listeners=ListenerSet(dispatcher, current, websockets, environment.listener_sockets),
        lists=lists,
        config_watcher=ConfigWatcher(lists, events.reload_changed),
        recovery=recovery,
    )


def _make_warm_state(
    setup: Setup, table: PoolTable, limiters: LimiterTable, peers: PeerService
) -> WarmStateManager:
    """Make the services that keep warm state; the state file is read here, which blocks."""
    store = StoreService(setup.state_file, instance_name(setup))

    def shared_counts() -> SharedCounters | None:
        return peers.counts

    return WarmStateManager(store, table.pools_with_endpoints, limiters.in_force, shared_counts)
