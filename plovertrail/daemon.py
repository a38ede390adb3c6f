"""The daemon: builds listeners and pools from an operator's file, and follows the file on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import os
import resource
import signal
import socket
from collections.abc import Callable

from plovertrail.clock import clock_us
from plovertrail.config import operator
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.decisions.interface import ListKind, Upstream, UpstreamState, UpstreamsUpdated
from plovertrail.fronts.ordinary import OrdinaryFront
from plovertrail.generation import Current, Generation, make_generation
from plovertrail.host import Host, ServerPool
from plovertrail.upstreams.connections import AnswerRules, ConnectionPool

log = logging.getLogger(__name__)

FAULTS = frozenset((429, 500, 502, 503, 504))  # answers that tell of the server, not of what was asked
OTHER_DESCRIPTORS = 64  # the log, the loop, sockets on their way to be closed
STOP_READING_S = 5.0  # after SIGTERM, for a request that has come in part
STOP_SLACK_S = 1.0
BACKLOG = 1024
PIPELINED = 64 * 1024 + 256 * 1024  # where reading stops, and the loop's last read


def needed_descriptors(setup: operator.Setup) -> int:
    """The most that a setup may hold."""
    listeners = sum(1 + listener.max_connections for listener in setup.listeners)
    return listeners + sum(pool.max_connections for pool in setup.pools.values()) + OTHER_DESCRIPTORS


def needed_memory(setup: operator.Setup) -> int:
    """The most bytes that messages may hold at once: each client's request as it comes, once more as it goes
    on, what is pipelined behind it and an answer that it doesn't read; each server's answer as it comes."""
    limits = setup.limits
    client = limits.max_head + 2 * limits.max_body + PIPELINED + limits.max_answer
    clients = sum(listener.max_connections for listener in setup.listeners)
    return clients * client + sum(pool.max_connections for pool in setup.pools.values()) * limits.max_answer


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


def random_seed() -> int:
    """For the random draws of one Balancer."""
    return int.from_bytes(os.urandom(8))


Key = tuple[str, tuple[str, int]]  # a server's id and address


class Members:
    """The servers of one pool by the numbers that its module knows them by. Hazard: a server at another
    address is another one, and what was learnt of the old one is forgotten with its number."""

    def __init__(self) -> None:
        self.numbers: dict[Key, int] = {}
        self.last = 0

    def entries(self, servers: tuple[operator.ServerEntry, ...],
                came_us: dict[Key, int]) -> tuple[list[Upstream], dict[int, tuple[str, int]]]:
        """The whole list, and the addresses in it; `came_us` tells when each server came, 0 for long ago."""
        before, self.numbers = self.numbers, {}
        entries, addresses = [], {}
        for server in servers:
            key = server.id, server.address
            if key not in before:
                self.last += 1
            ident = self.numbers[key] = before.get(key, self.last)
            state = UpstreamState.DRAINING if server.drain else UpstreamState.READY
            entries.append(Upstream(ident, state, server.zone, 0, server.cell, server.weight, came_us[key]))
            addresses[ident] = server.address
        return entries, addresses


class RunningPool:
    """A pool in force: what was configured, its place in the host, and its connections."""

    def __init__(self, host: Host, config: operator.Pool, max_answer: int, members: Members,
                 seed: int) -> None:
        self.config = config
        self.max_answer = max_answer
        self.members = members
        self.connections = ConnectionPool(
            config.idle_us, config.settings.connect_timeout_us, most=config.max_connections,
            rules=AnswerRules(max_answer, FAULTS, until_close=True))
        self.pool = host.add_pool(config.name, config.settings, seed, self.connections)

    def fits(self, config: operator.Pool, max_answer: int) -> bool:
        """Whether it can go on under a new setup, with another list at most. Hazard: classes are known by
        their number, and requests that are open would be taken for those of another class."""
        mine = self.config
        return (mine.settings == config.settings and mine.idle_us == config.idle_us
                and mine.max_connections == config.max_connections and self.max_answer == max_answer)

    def follow(self, host: Host, config: operator.Pool, came_us: dict[Key, int], known: bool) -> None:
        """Take the list of servers; `known`: they run and are known to bear load, as at the daemon's start or
        where this pool takes the place of one that served them."""
        self.config = config
        entries, addresses = self.members.entries(config.servers, came_us)
        # hazard: a pool that starts anew under load would open its slots one answer at a time
        kind = ListKind.CACHED if known else ListKind.FULL
        host.list_changed(self.pool, UpstreamsUpdated(kind, entries), addresses)

    def retire(self, host: Host) -> None:
        host.retire(self.pool)
        self.connections.ended = True


class Daemon:
    """One process's listeners and pools under the setup in force."""

    def __init__(self, setup: operator.Setup, load: Callable[[str], operator.Setup] = operator.load,
                 seeds: Callable[[], int] = random_seed) -> None:
        self.loop = asyncio.get_running_loop()
        self.load = load
        self.seeds = seeds
        self.host = Host()
        self.pools: dict[str, RunningPool] = {}
        self.came_us: dict[Key, int] = {}
        self.fronts: dict[str, OrdinaryFront] = {}
        self.closing: list[OrdinaryFront] = []  # their addresses are configured no more
        self.current = Current(Generation(0, setup, {}, {}, {}))
        self.apply(setup)

    @property
    def generation(self) -> Generation:
        return self.current.generation

    def addresses(self) -> dict[str, tuple[str, int]]:
        """Where the listeners are."""
        return {name: front.listener.address for name, front in self.fronts.items()}

    def apply(self, setup: operator.Setup) -> None:
        """Put a setup into force, in full or not at all; raises ConfigError."""
        check_descriptors(setup)
        sockets = self._bind(setup)
        # from here on nothing fails
        self.came_us = self._arrivals(setup)
        running = bool(self.pools)
        before, self.pools = self.pools, {}
        replaced = []
        for name, config in setup.pools.items():
            old = before.pop(name, None)
            pool = old
            if pool is None or not pool.fits(config, setup.limits.max_answer):
                members = pool.members if pool is not None else Members()
                pool = RunningPool(self.host, config, setup.limits.max_answer, members, self.seeds())
                if old is not None:
                    replaced.append(old)
            known = not running or (old is not None and pool is not old)
            pool.follow(self.host, config, self.came_us, known)
            self.pools[name] = pool
        pools: dict[str, ServerPool] = {name: pool.pool for name, pool in self.pools.items()}
        self.current.generation = make_generation(self.generation.number + 1, setup, pools)
        self._move_listeners(setup, sockets)
        for gone in [*before.values(), *replaced]:
            gone.retire(self.host)

    def _arrivals(self, setup: operator.Setup) -> dict[Key, int]:
        """When each server came. One that comes to a running daemon, or to another address, is cold from then
        on (rule 4); those of the first setup, and those that another pool had, are not."""
        now_us = clock_us() if self.pools else 0
        servers = [server for pool in setup.pools.values() for server in pool.servers]
        return {(s.id, s.address): self.came_us.get((s.id, s.address), now_us) for s in servers}

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

    def _move_listeners(self, setup: operator.Setup, sockets: dict[str, socket.socket]) -> None:
        before, self.fronts = self.fronts, {}
        for listener in setup.listeners:
            front = before.get(listener.name)
            if listener.name in sockets:
                front = OrdinaryFront(self.host, self.current, listener)
                front.listen_on(sockets[listener.name])
            else:
                assert front is not None
                del before[listener.name]
                front.configure(listener)
            self.fronts[listener.name] = front
        for front in before.values():
            front.stop_listening()
            front.stop_idle()
            self.closing.append(front)

    async def reload(self) -> bool:
        """Read the file again: in full, or the setup in force stays."""
        path = self.generation.setup.path
        try:
            # hazard: a long file takes long to check, and every open request would wait for it
            setup = await asyncio.to_thread(self.load, path)
            self.apply(setup)
        except ConfigError as error:
            log.error("reload refused, the setup in force stays: %s", error)
            return False
        except Exception:
            log.exception("reload refused, the setup in force stays: %s can't be checked", path)
            return False
        log.info("generation %d is in force: %s", self.generation.number, path)
        return True

    def count(self) -> int:
        """Connections of clients."""
        return sum(front.count() for front in (*self.fronts.values(), *self.closing))

    async def stop(self) -> None:
        """Take nothing new, answer all that is open, and end the connections."""
        fronts = (*self.fronts.values(), *self.closing)
        longest_s = max(kind.deadline_us for kind in self.generation.setup.classes) / 1e6
        ends = self.loop.time() + longest_s + STOP_READING_S + STOP_SLACK_S
        for front in fronts:
            front.drain_backlog()
        while True:
            for front in fronts:
                front.stop_idle()
            if not self.count() or self.loop.time() >= ends:
                return
            await asyncio.sleep(0.01)


async def serve(setup: operator.Setup, started: Callable[[Daemon], None] | None = None) -> None:
    """Serve until SIGTERM or SIGINT, then answer what is open; SIGHUP reads the file again. Raises
    ConfigError if it can't start."""
    stop, hangup = asyncio.Event(), asyncio.Event()
    loop = asyncio.get_running_loop()
    signals = {signal.SIGTERM: stop.set, signal.SIGINT: stop.set, signal.SIGHUP: hangup.set}
    for number, handler in signals.items():
        loop.add_signal_handler(number, handler)
    daemon = Daemon(setup)
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
