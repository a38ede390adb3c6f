"""The servers and the discovery of a fleet, in one process: what reaches them is counted each second."""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from collections import Counter, deque
from typing import Any

import httptools

from fakes.fleet.plan import Plan

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
WATCH = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
LONGEST_QUEUE_S = 2.0  # a call for the list that would wait longer is turned away
BACKLOG = 4096
BEAT_S = 2.0  # an empty line so often to each watch
BEATS = 50


class Counts:
    """What happened in each second of the play."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.counts: dict[str, Counter[int]] = {}
        self.open_now = 0
        self.open_most: Counter[int] = Counter()

    def second(self) -> int:
        """Hazard: cut off instead of rounded down, the second before the play would count with its first."""
        return math.floor(time.monotonic() - self.plan.starts_at)

    def count(self, name: str) -> None:
        """Count one event under a name, in this second."""
        self.counts.setdefault(name, Counter())[self.second()] += 1

    def opened(self, change: int) -> None:
        """Note connections that were opened, or closed if negative."""
        self.open_now += change
        self.look()

    def look(self) -> None:
        """Note how many connections are open, for the most in this second."""
        second = self.second()
        self.open_most[second] = max(self.open_most[second], self.open_now)

    def told(self) -> dict[str, Any]:
        """The counts of each name by second, and the most open connections in each."""
        seconds = range(int(self.plan.seconds))
        found = {name: [counter[second] for second in seconds] for name, counter in self.counts.items()}
        return found | {"open": [self.open_most[second] for second in seconds]}


class Line(asyncio.Protocol):
    """A connection of an instance to a server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection has been opened."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.lines.add(self)
        self.server.counts.opened(1)
        self.server.counts.count("dials")

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is over."""
        self.server.lines.discard(self)
        self.server.counts.opened(-1)

    def data_received(self, data: bytes) -> None:
        """Give bytes to the parser."""
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Parser callback: the request target."""
        self.target = url

    def on_message_complete(self) -> None:
        """Parser callback: answer the request after its work, or at once if there is no room."""
        probe = self.target in (b"/alive", b"/metrics/load")
        self.server.counts.count("probes" if probe else "requests")
        if self.server.takes():
            asyncio.get_running_loop().call_later(self.server.counts.plan.answer_s, self.write, ANSWER)
        else:
            self.write(NOT_RUN)

    def write(self, data: bytes) -> None:
        """Write, unless the connection is over."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


class Server:
    """One server. While it is cold it falls over, for good, when it is sent more than `overload_factor` times
    what it can do for `fall_s`."""

    def __init__(self, plan: Plan, number: int) -> None:
        self.counts = Counts(plan)
        self.number = number
        self.port = 0
        self.lines: set[Line] = set()
        self.listener: asyncio.Server | None = None
        self.boot_at: float | None = None  # by the monotonic clock; None: long ago
        self.fallen = False
        self.state = "active"
        self.sends: deque[float] = deque()  # of the last fall_s, while it is cold
        self.most_of_bound = 0.0  # the highest share of what would have pushed it over

    async def listen(self) -> None:
        """Listen on the server's port; on any free one the first time."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: Line(self), "127.0.0.1", self.port, backlog=BACKLOG, reuse_address=True
        )
        self.port = self.listener.sockets[0].getsockname()[1]

    def vanish(self) -> None:
        """Stop listening and abort all connections."""
        if self.listener is not None:
            self.listener.close()
        for line in list(self.lines):
            if line.transport is not None:
                line.transport.abort()

    def takes(self) -> bool:
        """Whether it is up; one more request has come."""
        plan, now = self.counts.plan, time.monotonic()
        if self.boot_at is None or now > self.boot_at + plan.warm_up_s:
            return not self.fallen
        self.sends.append(now)
        while self.sends[0] < now - plan.fall_s:
            self.sends.popleft()
        warmth = plan.cold_share + (1 - plan.cold_share) * (now - self.boot_at) / plan.warm_up_s
        bound = plan.overload_factor * warmth * plan.capacity_per_s * plan.fall_s
        self.most_of_bound = max(self.most_of_bound, len(self.sends) / bound)
        self.fallen |= len(self.sends) > bound
        return not self.fallen


class Call(asyncio.Protocol):
    """A connection to discovery: a watch."""

    def __init__(self, discovery: DiscoveryService) -> None:
        self.discovery = discovery
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A client of the discovery has connected."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is over, and with it its watch."""
        self.discovery.watches.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Give bytes to the parser."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Parser callback: a call has come whole."""
        self.discovery.called(self)

    def write(self, data: bytes) -> None:
        """Write, unless the connection is over."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def line(self, text: bytes) -> None:
        """Write one line as a chunk of the answer."""
        self.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))


class DiscoveryService:
    """Works through calls in turn, so many a second; a call that would wait too long is turned away."""

    def __init__(self, plan: Plan, servers: list[Server]) -> None:
        self.plan = plan
        self.servers = servers
        self.counts = Counts(plan)
        self.watches: set[Call] = set()
        self.free_at = 0.0  # when all calls so far have been worked through
        self.rev = 1
        self.port = 0

    async def listen(self) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        service = await loop.create_server(lambda: Call(self), "127.0.0.1", 0, backlog=BACKLOG)
        self.port = service.sockets[0].getsockname()[1]

    def entry(self, server: Server) -> dict[str, Any]:
        """A server as the discovery lists it."""
        boot_ms = 0
        if server.boot_at is not None:
            boot_ms = int((time.time() - (time.monotonic() - server.boot_at)) * 1000)
        return {
            "uid": f"s{server.number}",
            "endpoint": f"127.0.0.1:{server.port}",
            "az": "a",
            "model": "m",
            "pod_group": server.number,
            "state": server.state,
            "capacity_hint": 1.0,
            "boot_ms": boot_ms,
        }

    def known(self) -> dict[str, Any]:
        """The whole list."""
        return {"rev": 1, "all": True, "targets": [self.entry(server) for server in self.servers]}

    def called(self, call: Call) -> None:
        """Answer a call in its turn, `list_calls_per_s` a second; turn it away if the queue is too long."""
        self.counts.count("calls")
        now = time.monotonic()
        if self.free_at > now + LONGEST_QUEUE_S:
            self.counts.count("turned_away")
            call.write(TURNED_AWAY)
            return
        self.free_at = max(self.free_at, now) + 1 / self.plan.list_calls_per_s
        asyncio.get_running_loop().call_later(self.free_at - now, self.answer, call)

    def answer(self, call: Call) -> None:
        """Begin a watch with the whole list."""
        call.write(WATCH)
        call.line(json.dumps(self.known() | {"rev": self.rev}).encode())
        self.watches.add(call)

    def tell(self, server: Server) -> None:
        """A change, to all who watch."""
        self.rev += 1
        text = json.dumps({"rev": self.rev, "all": False, "targets": [self.entry(server)]}).encode()
        for call in list(self.watches):
            call.line(text)

    async def beat(self) -> None:
        """Send an empty line on every watch each BEAT_S seconds, forever."""
        while True:
            calls = list(self.watches)
            for part in range(BEATS):  # hazard: 5,000 lines in one go would hold up the servers beside it
                for call in calls[part::BEATS]:
                    call.line(b"")
                await asyncio.sleep(BEAT_S / BEATS)

    def end_watches(self) -> None:
        """Abort all watches."""
        for call in list(self.watches):
            if call.transport is not None:
                call.transport.abort()


async def play(plan: Plan) -> None:
    """Serve until the play is over, and print what was counted."""
    servers = [Server(plan, number) for number in range(plan.servers)]
    discovery = DiscoveryService(plan, servers)
    for server in servers:
        await server.listen()
    await discovery.listen()
    print(json.dumps({"discovery": discovery.port, "known": discovery.known()}), flush=True)
    beating = asyncio.ensure_future(discovery.beat())
    loop, now = asyncio.get_running_loop(), time.monotonic()

    def at(second: float, what: Any, *args: Any) -> None:
        if second >= 0:
            loop.call_later(plan.starts_at + second - now, what, *args)

    async def come_back(server: Server) -> None:
        await server.listen()
        server.boot_at = time.monotonic()
        discovery.tell(server)

    def restart(server: Server) -> None:
        server.vanish()
        loop.call_later(1.0, lambda: asyncio.ensure_future(come_back(server)))

    def leave(server: Server) -> None:
        server.state = "leaving"
        discovery.tell(server)

    at(plan.restart_at, restart, servers[0])
    at(plan.leave_at, leave, servers[1])
    at(plan.watches_end_at, discovery.end_watches)
    while time.monotonic() < plan.starts_at + plan.seconds:
        await asyncio.sleep(0.1)
        for server in servers:
            server.counts.look()
    beating.cancel()
    told = {
        "servers": [server.counts.told() for server in servers],
        "cold": {"fallen": servers[0].fallen, "most_of_bound": round(servers[0].most_of_bound, 3)},
        "discovery": discovery.counts.told(),
    }
    print(json.dumps(told), flush=True)


if __name__ == "__main__":
    asyncio.run(play(Plan.load(sys.argv[1])))
