"""The daemon with played servers, played clients and no sockets: all between them is its own code."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any, cast

from plovertrail.clock import clock_us
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import PoolSetup, Setup
from plovertrail.daemon import Daemon
from plovertrail.decisions.counts import Counts
from plovertrail.decisions.endpoint_list import Candidate, Entry, State
from plovertrail.decisions.judgements import CAP, Evidence, Judgements
from plovertrail.endpoint_registry import INLINE
from plovertrail.exchange import Call
from plovertrail.fronts import connections
from plovertrail.fronts.ordinary import LocalReply, OrdinaryClient, OrdinaryFront
from plovertrail.generation import Plan
from plovertrail.hearsay import class_key, server_key
from plovertrail.rehearsal.servers import Behaviour, PlayedServers
from plovertrail.rehearsal.written import Event
from plovertrail.sources.file_reading import FileSource, first_read
from plovertrail.upstreams.connections import ConnectionPool


@dataclass
class Sending:
    """One attempt, as it reached a server or would have."""

    at_us: int
    pool: str
    server: str  # its id
    call: Call
    behaviour: Behaviour
    zone: str
    cell: str
    over_us: int = 0
    ended: str = ""  # how; empty: it is out


@dataclass
class Asked:
    """One request of a played client, and all that came of it."""

    number: int
    text: str  # method and target, for traces
    at_us: int
    group: str  # of the scenario's requests
    ident: bytes
    route: str = ""
    kind: str = ""  # its class
    tenant: str = ""
    deadline_us: int = 0  # of its client; 0 = it was turned away before it had one
    attempts: list[Sending] = field(default_factory=list)
    answers: list[tuple[int, bytes]] = field(default_factory=list)  # (when, the whole answer)
    left_us: int = 0  # when its client went

    @property
    def status(self) -> int:
        """Of its answer; 0 = none."""
        return int(self.answers[0][1].split(b" ", 2)[1]) if self.answers else 0

    def header(self, name: str) -> str:
        """Of its answer; empty if it has none."""
        head = self.answers[0][1].partition(b"\r\n\r\n")[0].decode("latin-1") if self.answers else ""
        wanted = name.lower() + ": "
        lines = head.split("\r\n")
        return next((line[len(wanted) :] for line in lines if line.lower().startswith(wanted)), "")


class PlayedTransport(asyncio.Transport):
    """A client's connection with nothing under it."""

    def __init__(self, address: str, written: Callable[[bytes], None]) -> None:
        super().__init__({"peername": (address, 50_000)})
        self.written = written
        self.closed = False

    def write(self, data: Any) -> None:
        """Hand what the daemon writes to the client at once."""
        self.written(bytes(data))

    def is_closing(self) -> bool:
        """Whether the daemon has closed or aborted the connection."""
        return self.closed

    def write_eof(self) -> None:
        """The client is not told: it reads whole answers only."""

    def abort(self) -> None:
        """Close; nothing is ever left to be written."""
        self.closed = True

    def close(self) -> None:
        """Close; nothing is ever left to be written."""
        self.closed = True

    def pause_reading(self) -> None:
        """Nothing to pause: the client sends its request whole."""

    def resume_reading(self) -> None:
        """Nothing to resume: the client sends its request whole."""

    def get_write_buffer_size(self) -> int:
        """Always 0 bytes: the client reads at once."""
        return 0


class PlayedClient(OrdinaryClient):
    """One client with one request."""

    def __init__(self, front: OrdinaryFront, asked: Asked, address: str) -> None:
        super().__init__(front, cast(socket.socket, None))  # `unread` alone would ask it
        self.asked = asked
        front.clients[connections.State.FRESH][self] = None
        self.connection_made(PlayedTransport(address, self.heard_back))

    def unread(self) -> bytes | None:
        """None: there is no socket with bytes that have not been read."""
        return None

    def heard_back(self, data: bytes) -> None:
        """Note an answer with its time; an interim 100 Continue is none."""
        if data != b"HTTP/1.1 100 Continue\r\n\r\n":
            self.asked.answers.append((clock_us(), data))

    def call(self, message: Any) -> tuple[Call, Plan] | LocalReply:
        """As the daemon's own, and noted: the route, class, tenant and deadline that the request got."""
        found = super().call(message)
        if isinstance(found, LocalReply):
            return found
        call, plan = found
        asked = self.asked
        asked.route, asked.kind, asked.tenant = plan.route.name, plan.kind.name, call.tenant_name
        asked.deadline_us = call.deadline_us
        return call, plan

    def leave(self) -> None:
        """Its client goes without waiting for the answer."""
        self.asked.left_us = clock_us()
        self.connection_lost(None)


class Lines:
    """Where lines on sockets would go."""

    full = False

    def write(self, line: str) -> None:
        """Drop the line."""

    def reopen(self) -> None:
        """No file is open."""

    def close(self, patience_s: float) -> bool:
        """True: no line ever waits to be written."""
        return True


class PlayedDaemon(Daemon):
    """Everything but sockets, threads and files is the daemon's."""

    def __init__(self, setup: Setup, seed: int, behaviour: Callable[[str, str], Behaviour]) -> None:
        self.behaviour = behaviour  # of a pool's server, by their names
        self.by_ident: dict[bytes, Asked] = {}
        self.asked: list[Asked] = []
        self.entries: dict[str, tuple[State, dict[tuple[str, int], Entry]]] = {}  # of pools, by address
        self.counts: Counts | None = None  # of all instances, where the setup has others
        self.told: Judgements | None = None  # what they tell of servers, where they do
        seeds = itertools.count(seed * 1_000_003 + 1)
        super().__init__(alone(setup), seeds.__next__, self.connections)
        self.lines = self.sockets.lines = Lines()  # type: ignore[assignment]

    # What would touch the system

    def _bind(self, setup: Setup) -> dict[str, socket.socket]:
        new = [listener for listener in setup.listeners if listener.name not in self.fronts]
        return dict.fromkeys((listener.name for listener in new), cast(socket.socket, None))

    def _bind_peers(self, setup: Setup) -> None:
        return None

    def _counts(self, setup: Setup, sock: socket.socket | None) -> Counts | None:
        """What the daemon would count with its peers; they are played."""
        counts, self.counts, peers = self.counts, None, setup.peers
        if peers is not None:
            if counts is None or (counts.name, counts.window) != (peers.name, peers.window):
                counts = Counts(peers.name, 1, peers.window, clock_us())
            peers.apply_to(counts, peers.size)
            self.counts = counts
        on = setup.fellows is not None and setup.fellows.judgements
        self.told = (self.told or Judgements(0, clock_us())) if on else None
        return self.counts

    def _judgements(self) -> Judgements | None:
        """What the daemon would make of what others tell; they are played."""
        return self.told

    def hears(self, event: Event) -> None:
        """Other instances tell what they have seen of a server of late."""
        if self.told is None:
            return  # a reload has ended it
        names = [kind.name for kind in self.generation.setup.classes]
        now_us = clock_us()
        for name in names:
            if event.kind in ("", name):
                for number in range(1, event.tellers + 1):
                    wrong = CAP if event.heard == "wrong" else 0.0
                    key = server_key(event.pool, event.server), class_key(name)
                    self.told.take(Evidence(number, now_us, key, CAP, wrong, 0.0, 0.0, 0), now_us)
        self.hearsay.news()

    def _open(self, front: OrdinaryFront, sock: socket.socket) -> None:
        pass

    def connections(self, config: PoolSetup, rules: object) -> ConnectionPool:
        """Played ones: the daemon asks no more of them than `exchange.Upstreams` and `limit`."""
        return cast(
            ConnectionPool,
            PlayedServers(
                config.name,
                self.sent,
                lambda address: self.behaviour(config.name, self.entry(config.name, address).id),
            ),
        )

    # What happens

    def entry(self, pool: str, address: tuple[str, int]) -> Entry:
        """The server that a pool has at an address, or had; looked for anew when its list has changed."""
        if pool in self.pools:
            state = self.pools[pool].registry.state
            known = self.entries.get(pool)
            if known is None or known[0] is not state:
                members = [*(member for member, _ in state.leaving.values()), *state.members.values()]
                known = state, {member.entry.address: member.entry for member in members}
                self.entries[pool] = known
            if address in known[1]:
                return known[1][address]
        return Entry("{}:{}".format(*address), address)

    def sent(
        self, pool: str, upstream: int, address: tuple[str, int], call: Call, behaviour: Behaviour
    ) -> Callable[[str], None]:
        """An attempt begins."""
        entry = self.entry(pool, address)
        sending = Sending(clock_us(), pool, entry.id, call, behaviour, entry.zone, entry.cell)
        self.by_ident[call.ident].attempts.append(sending)

        def over(how: str) -> None:
            sending.over_us, sending.ended = clock_us(), how

        return over

    def ask(self, listener: str, address: str, data: bytes, asked: Asked) -> PlayedClient:
        """A client sends a whole request."""
        asked.at_us = clock_us()
        self.by_ident[asked.ident] = asked
        self.asked.append(asked)
        client = PlayedClient(self.fronts[listener], asked, address)
        client.data_received(data)
        return client

    def change_servers(self, pool: str, change: Callable[[tuple[Entry, ...]], tuple[Entry, ...]]) -> None:
        """What is listed of a pool changes."""
        registry = self.pools[pool].registry
        layer = next(layer for layer in registry.state.layers if layer.source == INLINE)
        registry.step(Candidate(INLINE, change(tuple(layer.entries)), by_operator=True))

    def list_servers(
        self, pool: str, wanted: frozenset[str], known: tuple[Entry, ...], version: int
    ) -> tuple[str, ...]:
        """A source's list comes, and is held to the guards as a file's would be; why it is refused, if so."""
        registry = self.pools[pool].registry
        entries = tuple(entry for entry in known if entry.id in wanted)
        registry.step(Candidate(INLINE, entries, version))
        return registry.state.refused.get(INLINE, ())

    def refusing(self) -> set[str]:
        """The limits, doors and hooks that have held a request back, or had a say."""
        found = {
            f"limiter {name}" for name, each in self.limiters.items() if each.over_rate or each.over_at_once
        }
        for name, running in self.pools.items():
            door = running.pool.door
            if door is not None and any(each.refused or each.waited_us for each in door.shares.values()):
                found.add(f"door of pool {name}")
        return found | {f"hook {name}" for name, each in self.hooks.status().items() if each.get("calls")}

    def follow(self, setup: Setup) -> None:
        """A reload; raises ConfigError."""
        setup = alone(setup)
        self.apply(setup, {}, self.hooks.prepare(setup))


def alone(setup: Setup) -> Setup:
    """A setup that needs no files, no state and no other instances: lists in files are read now."""
    pools = {}
    for name, pool in setup.pools.items():
        servers = list(pool.servers)
        for path, checksum in pool.lists:
            found = first_read(FileSource(path, checksum))
            if isinstance(found, str):
                raise ConfigError(
                    setup.path,
                    [Problem(f"pools.{name}.servers_from", f"{path}: {found}", "a rehearsal reads it now")],
                )
            known = {server.id for server in servers}
            servers += [entry for entry in found.entries if entry.id not in known]
        pools[name] = replace(pool, servers=tuple(servers), files=())
    fleet = replace(setup.fleet, list_path="")
    peers = setup.peers
    if peers is not None and peers.list_path:
        listed = first_read(FileSource(peers.list_path, False))
        if isinstance(listed, str):
            told = f"{peers.list_path}: {listed}"
            problem = Problem("peers.peers_from", told, "a rehearsal reads it now")
            raise ConfigError(setup.path, [problem])
        addresses = tuple(entry.address for entry in listed.entries)
        peers = replace(peers, addresses=addresses, list_path="", size=len({*addresses, peers.listed_as}))
    return replace(
        setup, pools=pools, fleet=fleet, peers=peers, state_file="", control_socket="", socket_log=""
    )
