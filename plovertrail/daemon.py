"""The daemon: builds listeners and pools from an operator's file, and follows the file on SIGHUP."""

from __future__ import annotations

import asyncio
import gc
import hashlib
import logging
import os
import random
import signal
import socket
from collections.abc import Awaitable, Callable, Iterator, Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from plovertrail.background import Runner
from plovertrail.bounds import check_descriptors
from plovertrail.clock import clock_us
from plovertrail.config import operator
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.control import ControlSocket
from plovertrail.decisions import share
from plovertrail.decisions.background import Priority, Work
from plovertrail.decisions.endpoint_list import State
from plovertrail.decisions.limits import Limiter
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.endpoint_registry import EndpointRegistry
from plovertrail.fleet_manager import FleetManager
from plovertrail.fronts.ordinary import OrdinaryFront
from plovertrail.fronts.sockets import SocketKeeper
from plovertrail.generation import Current, Generation, make_generation
from plovertrail.hearsay import HearsayKeeper
from plovertrail.hooks.loader import HookLoader
from plovertrail.host import Host, ServerPool
from plovertrail.line_log import LineLog
from plovertrail.peers.keeper import PeerKeeper
from plovertrail.recovery_manager import RecoveryManager
from plovertrail.running_pool import Connect, ElsewhereKnown, RunningPool, connect
from plovertrail.setup_file import SetupFile
from plovertrail.sources.first_read import FirstRead
from plovertrail.sources.list_reader import ListReader
from plovertrail.status import limiter_status, pool_status
from plovertrail.store.keeper import StoreKeeper
from plovertrail.store.memory import MemoryKeeper

if TYPE_CHECKING:
    from plovertrail.decisions.counts import Counts
    from plovertrail.decisions.judgements import Judgements
    from plovertrail.hooks.engine import Compiled

log = logging.getLogger(__name__)

STOP_READING_S = 5.0  # after SIGTERM, for a request that has come in part
STOP_SLACK_S = 1.0
BACKLOG = 1024
SUBSETS = Work("subsets", Priority.LISTS, every_us=1_000_000, latest_us=1_000_000, share=0.02)
REPORTS = Work("reports", Priority.REPORTS, every_us=2_000_000, latest_us=8_000_000, share=0.01)
Approve = Callable[[str], Awaitable[str]]  # what is wrong with a file; empty: nothing


def random_seed() -> int:
    """For the random draws of one Balancer."""
    return int.from_bytes(os.urandom(8))


def instance_name(setup: Setup) -> str:
    """What this instance is called among those that could come by its disk; empty where nothing names it."""
    if setup.peers is not None:
        return setup.peers.name
    return str(setup.fleet.fleet.number) if setup.fleet.fleet.size > 1 else ""


def digest(path: str) -> bytes:
    """Tells a file's bytes from others; nothing where it can't be read."""
    try:
        return hashlib.sha256(Path(path).read_bytes()).digest()
    except OSError:
        return b""


def settle_heap() -> None:
    """What a daemon holds once it serves stays, by and large. Hazard: the collector would go through all of
    it each time that a long list comes, and hold all threads up meanwhile."""
    gc.collect()
    gc.freeze()


def lists_of(setup: Setup) -> list[SourceKey]:
    """The lists that have to be read before a setup comes into force."""
    found = [SourceKey(*key) for pool in setup.pools.values() for key in pool.lists]
    if setup.fleet.list_path:
        found.append(SourceKey(setup.fleet.list_path, False))
    return found


class Daemon:
    """One process's listeners and pools under the setup in force."""

    def __init__(
        self,
        setup: Setup,
        seeds: Callable[[], int] = random_seed,
        connect: Connect = connect,
        lists: ListReader | None = None,
        fresh: Mapping[SourceKey, FirstRead] | None = None,
    ) -> None:
        """`lists` is the reader that has read `fresh`; without them the lists are read here, and block."""
        self.connect = connect
        self.lists = lists or ListReader()
        self.approve: Approve | None = None  # what a file must pass before it is taken on a reload
        self.loop = asyncio.get_running_loop()
        self.seeds = seeds
        self.host = Host()
        self.lines = LineLog(setup.socket_log)
        self.sockets = SocketKeeper(self.host, seeds(), self.lines)
        self.pools: dict[str, RunningPool] = {}
        self.keeper = StoreKeeper(setup.state_file, instance_name(setup))
        self.memory = MemoryKeeper(self.keeper, self._pools, lambda: self.limiters, lambda: self.peers.counts)
        self.peers = PeerKeeper(seeds, self.lists)
        self.hearsay = HearsayKeeper(self.host, self._registries, self._judgements, self.peers.hurry)
        self.background = Runner(self.loop)
        self.subsets: list[RunningPool] = []  # the pools of which this instance uses a part
        self.troubled: set[str] = set()  # the pools whose reports last
        self.fronts: dict[str, OrdinaryFront] = {}
        self.control = ControlSocket(self, setup.control_socket)
        self.closing: list[OrdinaryFront] = []  # their addresses are configured no more
        self.instances = FleetManager(self._fleet_changed, self.lists)
        self.hooks = HookLoader(clock_us)
        self.limiters: dict[str, Limiter] = {}
        self.reloading = asyncio.Lock()
        self.reload_problem = ""  # why the last reload was refused; empty: it was not
        self.setup_file = SetupFile(self.lists, self._reload_changed)
        self.recovery = RecoveryManager(self.host, self._registries, self._reloaded, self._stood_still)
        self.current = Current(Generation(0, setup, {}, {}, {}))
        compiled = self.hooks.prepare(setup)
        if fresh is None:
            fresh = self.lists.first_read_blocking(lists_of(setup))
        try:
            self.apply(setup, fresh, compiled)
        except BaseException:
            self.lists.stop()
            raise
        self.recovery.started()

    @property
    def generation(self) -> Generation:
        """The setup in force with all that was built from it; each applied setup makes a new one."""
        return self.current.generation

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Where the listeners are."""
        return {name: front.listener.address for name, front in self.fronts.items()}

    def apply(
        self,
        setup: Setup,
        fresh: Mapping[SourceKey, FirstRead],
        compiled: Mapping[str, Compiled],
    ) -> None:
        """Put a setup into force, in full or not at all; `fresh` has the lists that are not watched yet,
        `compiled` the modules of its hooks. Raises ConfigError."""
        check_descriptors(setup)
        talks = self._bind_peers(setup)
        try:
            sockets = self._bind(setup)
        except ConfigError:
            if talks is not None:
                talks.close()
            raise
        # from here on nothing fails
        before, pools = dict(self.pools), dict[str, RunningPool]()
        replaced = []
        for name, config in setup.pools.items():
            old = before.pop(name, None)
            registry = old.registry if old is not None else self._registry(name)
            sources = [SourceKey(*key) for key in config.lists]
            pool = old
            chosen_by = setup.fleet.fleet.number, share.group_of(setup.classes_at(name))
            if pool is None or not pool.fits(config, setup.limits.max_answer, chosen_by):
                if old is not None:
                    replaced.append(old)
                registry.pool = None
                registry.configure(config.servers, sources, config.guards, config.home_zone, fresh)
                pool = RunningPool(
                    self.host,
                    config,
                    setup.limits.max_answer,
                    registry,
                    self.seeds(),
                    chosen_by,
                    self.connect,
                )
                self.memory.recall_pool(name, pool.pool, registry.state)
                registry.attach(pool.pool)
            else:
                pool.adopt(config)
                pool.use_door(self.host, self.seeds())
                registry.configure(config.servers, sources, config.guards, config.home_zone, fresh)
            pools[name] = pool
        self.pools = pools  # till here the old ones, which tell what servers are known already
        modules: dict[str, ServerPool] = {name: pool.pool for name, pool in pools.items()}
        self._follow_limits(setup, self._follow_peers(setup, talks))
        self.current.generation = make_generation(
            self.generation.number + 1, setup, modules, self.hooks.follow(setup, compiled), self.limiters
        )
        self._move_listeners(setup, sockets)
        for gone in [*before.values(), *replaced]:
            gone.retire(self.host)
        for gone in before.values():
            gone.registry.stop()
        self.sockets.reconfigure(
            self.generation.plans,
            {name: (pool.max_sockets, pool.max_sockets_per_server) for name, pool in setup.pools.items()},
            self.fronts,
        )
        self.instances.follow(setup.fleet, fresh)
        self._fleet_changed()
        self.setup_file.follow(setup)
        self.recovery.follow()
        self.memory.follow(self.background)
        self.hearsay.follow(self.background)
        self.subsets = [pool for pool in pools.values() if pool.pool.subset is not None]
        self.troubled &= pools.keys()
        self.background.add(SUBSETS, self._narrow, SUBSETS.every_us)
        self.background.add(REPORTS, self._speak, REPORTS.every_us)

    def _narrow(self) -> Iterator[None]:
        for pool in self.subsets:
            self.host.narrow(pool.pool)
            yield

    def _speak(self) -> Iterator[None]:
        for name in list(self.troubled):
            if name in self.pools:
                self.pools[name].registry.speak()
            yield

    def _lasting(self, name: str, lasting: bool) -> None:
        """A pool's list has something wrong that is to be repeated, or has it no more."""
        if lasting:
            self.troubled.add(name)
        else:
            self.troubled.discard(name)

    def _stood_still(self, gap_us: int) -> None:
        fleet, slow_start = self.instances, self.generation.setup.fleet.slow_start
        for pool in self.pools.values():
            pool.stood_still(fleet.fleet, fleet.place, slow_start)
        self.peers.stood_still(gap_us)

    def _registries(self) -> Mapping[str, EndpointRegistry]:
        return {name: pool.registry for name, pool in self.pools.items()}

    def _judgements(self) -> Judgements | None:
        return self.peers.judgements

    def _pools(self) -> Mapping[str, tuple[ServerPool, State]]:
        return {name: (pool.pool, pool.registry.state) for name, pool in self.pools.items()}

    def _bind_peers(self, setup: Setup) -> socket.socket | None:
        return self.peers.bind(setup)

    def _follow_peers(self, setup: Setup, sock: socket.socket | None) -> Counts | None:
        """Count together with other instances, where the setup says so."""
        counts = self._counts(setup, sock)
        if counts is not None:
            self.memory.recall_counts(counts)
        self.host.tenant_use = None
        if counts is not None and setup.fleet_tenants:
            from plovertrail.decisions.counts import TenantUse

            names = [tenant.name for tenant in setup.tenants]
            self.host.tenant_use = TenantUse(counts, names, setup.fleet_tenants)
        return counts

    def _counts(self, setup: Setup, sock: socket.socket | None) -> Counts | None:
        return self.peers.follow(setup.peers, sock, setup.fellows)

    def _follow_limits(self, setup: Setup, counts: Counts | None) -> None:
        """What keys have had counts on under other figures. Hazard: begun anew by every reload, a limit would
        let each key have its burst again."""
        before, self.limiters = self.limiters, {}
        for name, settings in setup.limiters.items():
            limiter = before.get(name)
            if limiter is None:
                limiter = Limiter(settings, random.Random(self.seeds()).random)
                self.memory.recall_limiter(name, limiter)
            limiter.configure(settings)
            limiter.counts = counts if settings.fleet_wide else None
            self.limiters[name] = limiter

    def _registry(self, name: str) -> EndpointRegistry:
        state = self.memory.state_of(name) or State(started=bool(self.generation.number))
        elsewhere = ElsewhereKnown(name, lambda: self.pools)
        registry = EndpointRegistry(
            name, self.host, state, lambda: elsewhere, partial(self._list_changed, name), self.lists
        )
        registry.heard = partial(self.recovery.told, name)
        registry.lasting = partial(self._lasting, name)
        return registry

    def _fleet_changed(self) -> None:
        """The number of instances, or a setup: all pools take their parts anew."""
        for pool in self.pools.values():
            self._take_part(pool)
        self._keep_lists()

    def _list_changed(self, name: str) -> None:
        """One pool's servers have changed."""
        pool = self.pools.get(name)
        if pool is not None:
            self._take_part(pool)
        self._keep_lists()

    def _take_part(self, pool: RunningPool) -> None:
        before = pool.overdrawn
        # a reload is no start: this instance has its traffic, and would refuse some of it
        starts = self.generation.number == 1 and self.generation.setup.fleet.slow_start
        pool.take_part(self.instances.fleet, self.instances.place, starts)
        if pool.overdrawn and not before:
            log.error("%s: %s", pool.config.name, pool.overdrawn)

    def _keep_lists(self) -> None:
        self.keeper.keep(lambda: {name: pool.registry.state for name, pool in self.pools.items()})

    def _bind(self, setup: Setup) -> dict[str, socket.socket]:
        """The sockets of the listeners that are new or have moved."""
        sockets: dict[str, socket.socket] = {}
        problems = []
        for listener in setup.listeners:
            old = self.fronts.get(listener.name)
            if old is not None and old.listener.address == listener.address:
                continue
            try:
                sockets[listener.name] = socket.create_server(listener.address, backlog=BACKLOG)
            except OSError as error:
                problems.append(
                    Problem(
                        f"listeners.{listener.name}.address",
                        f"can't listen on {listener.address[0]}:{listener.address[1]}: {error.strerror}",
                        "write an address that is free here",
                    )
                )
        if problems:
            for sock in sockets.values():
                sock.close()
            raise ConfigError(setup.path, problems)
        return sockets

    def _open(self, front: OrdinaryFront, sock: socket.socket) -> None:
        front.listen_on(sock)

    def _move_listeners(self, setup: Setup, sockets: dict[str, socket.socket]) -> None:
        self.closing = [front for front in self.closing if front.count()]
        before, self.fronts = self.fronts, {}
        for listener in setup.listeners:
            front = before.get(listener.name)
            if listener.name in sockets:
                front = OrdinaryFront(self.host, self.current, listener, self.sockets)
                self._open(front, sockets[listener.name])
            else:
                assert front is not None
                del before[listener.name]
                front.configure(listener)
            self.fronts[listener.name] = front
        for front in before.values():
            front.stop_listening()
            front.stop_idle()
            self.closing.append(front)

    async def _reloaded(self) -> None:
        """Until no reload is under way."""
        async with self.reloading:
            pass

    async def reload(self) -> bool:
        """Read the file again: in full, or the setup in force stays."""
        async with self.reloading:
            return await self._reload()

    async def _reload_changed(self, digest: str) -> None:
        """The operator's file has changed to what has this digest."""
        async with self.reloading:
            if self.generation.setup.digest != digest:
                await self._reload()

    async def _reload(self) -> bool:
        self.lines.reopen()
        path = self.generation.setup.path
        try:
            # hazard: a long file takes long to check, and every open request would wait for it
            if self.approve is None:
                setup = await asyncio.to_thread(operator.load, path)
            else:
                setup = await self._approved(path, self.approve)
            fresh = await self.lists.first_read(lists_of(setup))
            self.apply(setup, fresh, await asyncio.to_thread(self.hooks.prepare, setup))
        except ConfigError as error:
            log.error("reload refused, the setup in force stays: %s", error)
            self.reload_problem = str(error)
            return False
        except Exception as error:
            log.exception("reload refused, the setup in force stays: %s can't be checked", path)
            self.reload_problem = repr(error)
            return False
        finally:
            self.lists.drop_unfollowed()
        self.reload_problem = ""
        log.info("generation %d is in force: %s", self.generation.number, path)
        return True

    @staticmethod
    async def _approved(path: str, approve: Approve) -> Setup:
        """A file that nothing is wrong with; raises ConfigError."""
        before = await asyncio.to_thread(digest, path)
        wrong = await approve(path)
        setup = await asyncio.to_thread(operator.load, path)
        if not wrong and await asyncio.to_thread(digest, path) != before:
            wrong = "it changed while it was read"  # hazard: what was held to tests would be another file
        if wrong:
            raise ConfigError(path, [Problem("", wrong)])
        return setup

    def drain(self, pool: str, server: str, drain: bool) -> str:
        """Drain a server by hand, or end that; returns what is wrong, or nothing."""
        if pool not in self.pools:
            return f'no pool is called "{pool}"'
        registry = self.pools[pool].registry
        if drain and server not in registry.state.members:
            return f'pool "{pool}" has no server "{server}"'
        registry.drain(server, drain)
        return ""

    def status(self) -> dict[str, Any]:
        """What is in force, for operators."""
        return {
            "recovery": self.recovery.status(),
            "fleet": self.instances.status(),
            "lists": self.lists.status(),
            "generation": self.generation.number,
            "file": self.generation.setup.path,
            "reload": {
                "on": "change" if self.generation.setup.watched else "signal",
                "problem": self.setup_file.unreadable or self.reload_problem,
            },
            "pools": {name: pool_status(running) for name, running in self.pools.items()},
            "connections": self.count(),
            "requests": len(self.host.requests),
            "sockets": len(self.sockets.relays),
            "hooks": self.hooks.status(),
            "peers": self.peers.status(self.generation.setup, self.limiters),
            "fellows": self.peers.fellows_status(),
            "judgements": self.hearsay.status(),
            "limiters": {name: limiter_status(each) for name, each in self.limiters.items()},
            "state_file": self.keeper.status(),
            "kept": self.memory.status(),
            "background": self.background.status(),
        }

    def count(self) -> int:
        """Connections of clients."""
        return sum(front.count() for front in (*self.fronts.values(), *self.closing))

    async def stop(self) -> None:
        """Take nothing new, answer all that is open, and end the connections."""
        fronts = (*self.fronts.values(), *self.closing)
        self.control.stop()
        self.recovery.stop()
        for pool in self.pools.values():
            pool.registry.stop()
        self.instances.stop()
        self.peers.stop()
        self.setup_file.stop()
        self.lists.stop()
        longest_us = max(kind.deadline_us for kind in self.generation.setup.classes)
        for front in fronts:
            front.drain_backlog()
        self.sockets.shut_down()
        longest_s = max(longest_us, self.sockets.longest_end_us()) / 1e6
        ends = self.loop.time() + longest_s + STOP_READING_S + STOP_SLACK_S
        while True:
            for front in fronts:
                front.stop_idle()
            # hazard: a socket whose client has gone first still closes at its server, and has a line to write
            owing = any(front.owing() for front in fronts) or self.sockets.table.sockets
            if not owing or self.loop.time() >= ends:
                break
            await asyncio.sleep(0.01)
        self.hooks.stop()
        self.background.stop()
        self.memory.gather()
        await self.keeper.close()
        if not await asyncio.to_thread(self.lines.close, STOP_SLACK_S):
            log.error("lines on sockets that have ended could not be written")


async def serve(
    setup: Setup, started: Callable[[Daemon], None] | None = None, approve: Approve | None = None
) -> None:
    """Serve until SIGTERM or SIGINT, then answer what is open; SIGHUP reads the file again, and takes it if
    `approve` finds nothing wrong. Raises ConfigError if it can't start."""
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    signals = {signal.SIGTERM: stop.set, signal.SIGINT: stop.set, signal.SIGHUP: hangup.set}
    for number, handler in signals.items():
        loop.add_signal_handler(number, handler)
    lists = ListReader()
    daemon = Daemon(setup, lists=lists, fresh=await lists.first_read(lists_of(setup)))
    daemon.approve = approve
    await daemon.control.start()
    settle_heap()
    for name, address in daemon.addresses().items():
        log.info("listener %s on %s:%d", name, *address)
    if started is not None:
        started(daemon)

    async def follow() -> None:
        while True:
            await hangup.wait()
            hangup.clear()
            await daemon.reload()

    following = asyncio.create_task(follow())
    await stop.wait()
    following.cancel()
    log.info("stopping: what is open is answered")
    await daemon.stop()
    signal.pthread_sigmask(signal.SIG_BLOCK, set(signals))  # the loop's end frees them
