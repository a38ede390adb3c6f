"""The daemon: builds listeners and pools from an operator's file, and follows the file on SIGHUP."""

from __future__ import annotations

import asyncio
import gc
import hashlib
import logging
import os
import random
import resource
import signal
import socket
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from plovertrail.clock import clock_us
from plovertrail.config import operator
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.control import ControlSocket
from plovertrail.decisions import share
from plovertrail.decisions.fairness import Door
from plovertrail.decisions.limits import Limiter
from plovertrail.decisions.membership import Entry, State
from plovertrail.fronts.ordinary import OrdinaryFront
from plovertrail.fronts.relay import SOCKET_BYTES
from plovertrail.fronts.sockets import SocketKeeper
from plovertrail.generation import Current, Generation, make_generation
from plovertrail.host import Host, ServerPool
from plovertrail.line_log import LineLog
from plovertrail.peers.keeper import PeerKeeper
from plovertrail.recovery_keeper import RecoveryKeeper
from plovertrail.roster import FirstRead, Roster
from plovertrail.sources.files import FileSource, first_read
from plovertrail.sources.instances import InstanceList
from plovertrail.state_keeper import StateKeeper
from plovertrail.upstreams.connections import AnswerRules, ConnectionPool

if TYPE_CHECKING:
    from plovertrail.config.peers import PeersSetup
    from plovertrail.decisions.counts import Counts
    from plovertrail.hooks.engine import Compiled
    from plovertrail.hooks.hook import Hook
    from plovertrail.hooks.keeper import HookKeeper

log = logging.getLogger(__name__)

FAULTS = frozenset((429, 500, 502, 503, 504))  # answers that tell of the server, not of what was asked
OTHER_DESCRIPTORS = 64  # the log, the loop, sockets on their way to be closed
STOP_READING_S = 5.0  # after SIGTERM, for a request that has come in part
STOP_SLACK_S = 1.0
BACKLOG = 1024
Connect = Callable[[operator.Pool, AnswerRules], ConnectionPool]
Approve = Callable[[str], Awaitable[str]]  # what is wrong with a file; empty: nothing
PIPELINED = 64 * 1024 + 256 * 1024  # where reading stops, and the loop's last read


def needed_descriptors(setup: operator.Setup) -> int:
    """The most that a setup may hold."""
    listeners = sum(1 + listener.max_connections for listener in setup.listeners)
    servers = sum(pool.max_connections + pool.max_sockets for pool in setup.pools.values())
    return listeners + servers + OTHER_DESCRIPTORS


def needed_memory(setup: operator.Setup) -> int:
    """The most bytes that messages may hold at once: each client's request as it comes, once more as it goes
    on, what is pipelined behind it and an answer that it doesn't read; each server's answer as it comes; what
    a socket's peers don't take."""
    limits = setup.limits
    client = limits.max_head + 2 * limits.max_body + PIPELINED + limits.max_answer
    clients = sum(listener.max_connections for listener in setup.listeners)
    servers = sum(pool.max_connections for pool in setup.pools.values()) * limits.max_answer
    sockets = sum(pool.max_sockets for pool in setup.pools.values()) * SOCKET_BYTES
    hooks = sum(hook.memory for hook in setup.hooks.values())
    return clients * client + servers + sockets + hooks


def check_descriptors(setup: operator.Setup) -> None:
    """Raise the process's own limit as far as needed; raises ConfigError if it can't be."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    needed = needed_descriptors(setup)
    if hard != resource.RLIM_INFINITY and needed > hard:
        raise ConfigError(setup.path, [Problem(
            "", f"all connections together may take {needed} descriptors, and the process may have {hard}",
            "lower max_connections of listeners or pools, or raise the limit (ulimit -n)")])
    if soft != resource.RLIM_INFINITY and needed > soft:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, hard))


def connect(config: operator.Pool, rules: AnswerRules) -> ConnectionPool:
    """The connections of a pool."""
    return ConnectionPool(config.idle_us, config.settings.connect_timeout_us, most=config.max_connections,
                          rules=rules)


def random_seed() -> int:
    """For the random draws of one Balancer."""
    return int.from_bytes(os.urandom(8))


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


def read_lists(setup: operator.Setup, known: frozenset[tuple[str, bool]]) -> dict[str, FirstRead]:
    """The lists that a setup names and that are not known yet, by their sources' names. Blocking."""
    sources = [FileSource(*key) for pool in setup.pools.values() for key in pool.lists if key not in known]
    return {source.name: first_read(source) for source in sources}


def door_status(door: Door | None) -> dict[str, Any]:
    """What a pool's tenants have had, for operators; nothing where it has no door."""
    if door is None:
        return {}
    return {name or "(others)": {
        "weight": each.weight, "admitted": each.admitted, "refused": each.refused, "waiting": each.waiting,
        "at_work": each.out, "work_s": round(each.work_done_us / 1e6, 3),
        "work_ms": round(each.work_us / 1e3, 2), "wait_ms": round(each.waited_us / 1e3, 2)}
        for name, each in door.shares.items()}


def limiter_status(limiter: Limiter) -> dict[str, int]:
    """What a limit has done since it was made, and its keys."""
    return {"let_in": limiter.let_in, "over_rate": limiter.over_rate, "over_concurrent": limiter.over_at_once,
            "keys": len(limiter.entries), "without_place": limiter.without_place}


class HookLoader:
    """Brings the engine in when the first hook is configured: it is large, and most daemons have none."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.clock = clock
        self.keeper: HookKeeper | None = None

    def prepare(self, setup: operator.Setup) -> Mapping[str, Compiled]:
        """The modules of a setup's hooks, compiled and tried out; raises ConfigError. Blocking."""
        if not setup.hooks:
            return {}
        if self.keeper is None:
            try:
                from plovertrail.hooks.keeper import HookKeeper
            except ImportError as error:
                raise ConfigError(setup.path, [Problem(
                    "hooks", f"they can't be run here: {error}", "install plovertrail[hooks]")]) from None
            self.keeper = HookKeeper(self.clock)
        return self.keeper.prepare(setup)

    def follow(self, setup: operator.Setup, compiled: Mapping[str, Compiled]) -> Mapping[str, Hook]:
        """The hooks of a setup that comes into force, by name."""
        return self.keeper.follow(setup.hooks, compiled) if self.keeper is not None else {}

    def status(self) -> dict[str, Any]:
        return self.keeper.status() if self.keeper is not None else {}

    def stop(self) -> None:
        if self.keeper is not None:
            self.keeper.stop()


class RunningPool:
    """A pool in force: what was configured, its place in the host, and its connections."""

    def __init__(self, host: Host, config: operator.Pool, max_answer: int, roster: Roster, seed: int,
                 chosen_by: tuple[int, str], connect: Connect) -> None:
        self.config = config
        self.chosen_by = chosen_by  # this instance's number, and which servers are chosen together
        self.max_answer = max_answer
        self.roster = roster
        self.connections = connect(config, AnswerRules(max_answer, FAULTS, until_close=True))
        self.connections.stale = host.stale
        self.pool = host.add_pool(config.name, config.settings, seed, self.connections)
        self.budget = share.Budget()
        self.overdrawn = ""
        self.use_door(host, seed)
        if config.affinity is not None:
            self.pool.use_affinity(config.affinity)
        if config.bounds.servers:
            zones = config.settings.cross_zone_fee > 0
            host.use_subset(self.pool, share.Subset(
                chosen_by[0], config.bounds.servers, chosen_by[1], config.settings.zone if zones else None))

    def use_door(self, host: Host, seed: int) -> None:
        """Share the slots as configured now."""
        host.use_door(self.pool, self.config.door, random.Random(seed).random)

    def take_part(self, fleet: share.Fleet) -> None:
        """Keep to this instance's part of what the servers that are listed bear from the whole fleet."""
        bounds, servers = self.config.bounds, len(self.roster.state.members)
        self.overdrawn = share.overdrawn(fleet, bounds, servers)
        budget = share.budget(fleet, bounds, servers)
        if budget != self.budget:
            self.budget = budget
            self.connections.limit(budget, random.random())

    def fits(self, config: operator.Pool, max_answer: int, chosen_by: tuple[int, str]) -> bool:
        """Whether it can go on under a new setup, with other lists at most. Hazard: classes are known by
        their number, and requests that are open would be taken for those of another class."""
        mine = self.config
        return (mine.settings == config.settings and mine.idle_us == config.idle_us
                and mine.max_connections == config.max_connections and self.max_answer == max_answer
                and mine.home_zone == config.home_zone and mine.affinity == config.affinity
                and mine.bounds.servers == config.bounds.servers
                and (self.chosen_by == chosen_by or not config.bounds.servers))

    def retire(self, host: Host) -> None:
        host.retire(self.pool)


class Daemon:
    """One process's listeners and pools under the setup in force."""

    def __init__(self, setup: operator.Setup, seeds: Callable[[], int] = random_seed,
                 connect: Connect = connect) -> None:
        self.connect = connect
        self.approve: Approve | None = None  # what a file must pass before it is taken on a reload
        self.loop = asyncio.get_running_loop()
        self.seeds = seeds
        self.host = Host()
        self.lines = LineLog(setup.socket_log)
        self.sockets = SocketKeeper(self.host, seeds(), self.lines)
        self.pools: dict[str, RunningPool] = {}
        self.keeper = StateKeeper(setup.state_file)
        self.kept = self.keeper.read()  # as it was when the last daemon ended; each pool takes its own once
        self.fronts: dict[str, OrdinaryFront] = {}
        self.control = ControlSocket(self, setup.control_socket)
        self.closing: list[OrdinaryFront] = []  # their addresses are configured no more
        self.fleet = share.Fleet()
        self.fleet_list = InstanceList("instances", self._fleet_listed)
        self.hooks = HookLoader(clock_us)
        self.limiters: dict[str, Limiter] = {}
        self.peers = PeerKeeper(seeds)
        self.reloading = asyncio.Lock()
        self.recovery = RecoveryKeeper(
            self.host, lambda: {name: pool.roster for name, pool in self.pools.items()}, self._reloaded)
        self.current = Current(Generation(0, setup, {}, {}, {}))
        compiled = self.hooks.prepare(setup)
        self.apply(setup, read_lists(setup, frozenset()), compiled)

    @property
    def generation(self) -> Generation:
        return self.current.generation

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Where the listeners are."""
        return {name: front.listener.address for name, front in self.fronts.items()}

    def apply(self, setup: operator.Setup, fresh: Mapping[str, FirstRead],
              compiled: Mapping[str, Compiled]) -> None:
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
            roster = old.roster if old is not None else self._roster(name)
            sources = [FileSource(path, config.checksum) for path in config.files]
            pool = old
            chosen_by = setup.fleet.fleet.number, share.group_of(setup.classes_at(name))
            if pool is None or not pool.fits(config, setup.limits.max_answer, chosen_by):
                if old is not None:
                    replaced.append(old)
                roster.pool = None
                roster.configure(config.servers, sources, config.guards, config.home_zone, fresh)
                pool = RunningPool(self.host, config, setup.limits.max_answer, roster, self.seeds(),
                                   chosen_by, self.connect)
                roster.attach(pool.pool)
            else:
                pool.config = config
                pool.use_door(self.host, self.seeds())
                roster.configure(config.servers, sources, config.guards, config.home_zone, fresh)
            pools[name] = pool
        self.pools = pools  # till here the old ones, which tell what servers are known already
        modules: dict[str, ServerPool] = {name: pool.pool for name, pool in pools.items()}
        self._follow_limits(setup, self._follow_peers(setup, talks))
        self.current.generation = make_generation(self.generation.number + 1, setup, modules,
                                                  self.hooks.follow(setup, compiled), self.limiters)
        self._move_listeners(setup, sockets)
        for gone in [*before.values(), *replaced]:
            gone.retire(self.host)
        for gone in before.values():
            gone.roster.stop()
        self.sockets.reconfigure(
            self.generation.plans,
            {name: (pool.max_sockets, pool.max_sockets_per_server) for name, pool in setup.pools.items()},
            self.fronts)
        self._follow_fleet(setup.fleet)
        self._list_changed()
        self.recovery.follow()

    def _bind_peers(self, setup: operator.Setup) -> socket.socket | None:
        return self.peers.bind(setup)

    def _follow_peers(self, setup: operator.Setup, sock: socket.socket | None) -> Counts | None:
        """Count together with other instances, where the setup says so."""
        counts = self._counts(setup.peers, sock)
        self.host.tenant_use = None
        if counts is not None and setup.fleet_tenants:
            from plovertrail.decisions.counts import TenantUse

            names = [tenant.name for tenant in setup.tenants]
            self.host.tenant_use = TenantUse(counts, names, setup.fleet_tenants)
        return counts

    def _counts(self, setup: PeersSetup | None, sock: socket.socket | None) -> Counts | None:
        return self.peers.follow(setup, sock)

    def _follow_limits(self, setup: operator.Setup, counts: Counts | None) -> None:
        """What keys have had counts on under other figures. Hazard: begun anew by every reload, a limit would
        let each key have its burst again."""
        before, self.limiters = self.limiters, {}
        for name, settings in setup.limiters.items():
            limiter = before.get(name)
            if limiter is None:
                limiter = Limiter(settings, random.Random(self.seeds()).random)
            limiter.configure(settings)
            limiter.counts = counts if settings.fleet_wide else None
            self.limiters[name] = limiter

    def _follow_fleet(self, setup: operator.FleetSetup) -> None:
        """Count the instances by their list, where there is one; limits.instances holds until it is read."""
        another = self.fleet_list.follow(setup.list_path)
        counted = bool(setup.list_path) and not another
        self.fleet = replace(setup.fleet, size=self.fleet.size) if counted else setup.fleet

    def _fleet_listed(self, entries: tuple[Entry, ...]) -> None:
        size = len({entry.id for entry in entries})
        if size != self.fleet.size:
            self.fleet = replace(self.fleet, size=size)
            log.info("%d instances share the servers", size)
            self._list_changed()

    def _roster(self, name: str) -> Roster:
        state = self.kept.pop(name, None) or State(started=bool(self.generation.number))
        roster = Roster(name, self.host, state, partial(self._elsewhere, name), self._list_changed)
        roster.heard = partial(self.recovery.told, name)
        return roster

    def _elsewhere(self, name: str) -> dict[tuple[str, tuple[str, int]], int]:
        """Since when the servers of other pools are known: one that another pool has is no newcomer here."""
        return {(ident, member.entry.address): member.came_us
                for other, pool in list(self.pools.items()) if other != name
                for ident, member in pool.roster.state.members.items()}

    def _list_changed(self) -> None:
        for pool in self.pools.values():
            before = pool.overdrawn
            pool.take_part(self.fleet)
            if pool.overdrawn and not before:
                log.error("%s: %s", pool.config.name, pool.overdrawn)
        self.keeper.keep(lambda: {name: pool.roster.state for name, pool in self.pools.items()})

    def _bind(self, setup: operator.Setup) -> dict[str, socket.socket]:
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
                problems.append(Problem(f"listeners.{listener.name}.address",
                                        f"can't listen on {listener.address[0]}:{listener.address[1]}: "
                                        f"{error.strerror}", "write an address that is free here"))
        if problems:
            for sock in sockets.values():
                sock.close()
            raise ConfigError(setup.path, problems)
        return sockets

    def _open(self, front: OrdinaryFront, sock: socket.socket) -> None:
        front.listen_on(sock)

    def _move_listeners(self, setup: operator.Setup, sockets: dict[str, socket.socket]) -> None:
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

    async def _reload(self) -> bool:
        self.lines.reopen()
        path = self.generation.setup.path
        try:
            # hazard: a long file takes long to check, and every open request would wait for it
            if self.approve is None:
                setup = await asyncio.to_thread(operator.load, path)
            else:
                setup = await self._approved(path, self.approve)
            known = frozenset(key for pool in self.pools.values() for key in pool.config.lists)
            fresh = await asyncio.to_thread(read_lists, setup, known)
            self.apply(setup, fresh, await asyncio.to_thread(self.hooks.prepare, setup))
        except ConfigError as error:
            log.error("reload refused, the setup in force stays: %s", error)
            return False
        except Exception:
            log.exception("reload refused, the setup in force stays: %s can't be checked", path)
            return False
        log.info("generation %d is in force: %s", self.generation.number, path)
        return True

    @staticmethod
    async def _approved(path: str, approve: Approve) -> operator.Setup:
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
        roster = self.pools[pool].roster
        if drain and server not in roster.state.members:
            return f'pool "{pool}" has no server "{server}"'
        roster.drain(server, drain)
        return ""

    def status(self) -> dict[str, Any]:
        """What is in force, for operators."""
        pools = {}
        for name, running in self.pools.items():
            state = running.roster.state
            used = {number: server.used for number, server in running.pool.balancer.servers.items()}
            pools[name] = {
                "generation": state.generation, "drained_by_hand": sorted(state.by_hand),
                "held_back": sorted(state.held),
                "problems": [*running.roster.loud(), *filter(None, [running.overdrawn])],
                "share": {"connections": running.budget.connections,
                          "connections_each": running.budget.connections_each,
                          "dial_gap_us": running.budget.dial_gap_us,
                          "servers": len(running.pool.serving)},
                "fair": door_status(running.pool.door),
                "sources": {layer.source: {"servers": len(layer.entries), "version": layer.version}
                            for layer in state.layers},
                "leaving": [member.entry.id for member, _ in state.leaving.values()],
                "servers": [{"id": ident, "address": "{}:{}".format(*member.entry.address),
                             "state": "draining" if member.entry.drain else "ready",
                             "zone": member.entry.zone, "weight": member.entry.weight,
                             "open": used.get(member.number, 0)}
                            for ident, member in state.members.items()]}
        return {"recovery": self.recovery.status(),
                "fleet": {"instances": self.fleet.size, "problem": self.fleet_list.problem},
                "generation": self.generation.number, "file": self.generation.setup.path, "pools": pools,
                "connections": self.count(), "requests": len(self.host.requests),
                "sockets": len(self.sockets.relays),
                "hooks": self.hooks.status(),
                "peers": self.peers.status(self.generation.setup, self.limiters),
                "limiters": {name: limiter_status(each) for name, each in self.limiters.items()},
                "state_file": self.keeper.problem or ("kept" if self.keeper.path else "off")}

    def count(self) -> int:
        """Connections of clients."""
        return sum(front.count() for front in (*self.fronts.values(), *self.closing))

    async def stop(self) -> None:
        """Take nothing new, answer all that is open, and end the connections."""
        fronts = (*self.fronts.values(), *self.closing)
        self.control.stop()
        self.recovery.stop()
        for pool in self.pools.values():
            pool.roster.stop()
        self.fleet_list.stop()
        self.peers.stop()
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
            if not (self.count() or self.sockets.table.sockets) or self.loop.time() >= ends:
                break
            await asyncio.sleep(0.01)
        self.hooks.stop()
        await self.keeper.close()
        if not await asyncio.to_thread(self.lines.close, STOP_SLACK_S):
            log.error("lines on sockets that have ended could not be written")


async def serve(setup: operator.Setup, started: Callable[[Daemon], None] | None = None,
                approve: Approve | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then answer what is open; SIGHUP reads the file again, and takes it if
    `approve` finds nothing wrong. Raises ConfigError if it can't start."""
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    signals = {signal.SIGTERM: stop.set, signal.SIGINT: stop.set, signal.SIGHUP: hangup.set}
    for number, handler in signals.items():
        loop.add_signal_handler(number, handler)
    daemon = Daemon(setup)
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
