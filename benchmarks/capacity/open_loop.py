"""Requests sent at fixed times, whatever the answers take; latencies count from the planned time.

Several routes to the same servers are asked in turns within one run, so that all of them meet the same
moments of the machine.
"""

from __future__ import annotations

import asyncio
import gc
import selectors
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from benchmarks.capacity.daemon_process import content_length

PATIENCE_S = 5.0  # for the last answers
MOST_CONNECTIONS = 400  # of one route: select() takes descriptors below 1,024


@dataclass
class Route:
    """One way to the servers: where the request of a number goes, and what came back."""

    name: str
    port_of: Callable[[int], int]
    path_of: Callable[[int], str]
    latencies_s: list[float] = field(default_factory=list)
    sent: int = 0
    failed: int = 0
    connections: int = 0
    idle: dict[int, list[ClientConnection]] = field(default_factory=dict)

    def send(self, number: int, planned: float) -> None:
        """Send one request on an idle connection, or on a new one."""
        self.sent += 1
        port = self.port_of(number)
        request = f"GET {self.path_of(number)} HTTP/1.1\r\nHost: shop.example\r\nAccept: */*\r\n\r\n".encode()
        waiting = self.idle.setdefault(port, [])
        if waiting:
            waiting.pop().ask(request, planned)
            return
        if self.connections >= MOST_CONNECTIONS:
            self.failed += 1  # the daemon is too far behind
            return
        self.connections += 1
        connection = ClientConnection(self, port)
        task = asyncio.ensure_future(connection.open_and_ask(request, planned))
        task.add_done_callback(self._opened)

    @property
    def open(self) -> int:
        """Requests that have no answer yet."""
        return self.sent - len(self.latencies_s) - self.failed

    def _opened(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is not None:
            self.failed += 1
            self.connections -= 1


class ClientConnection(asyncio.Protocol):
    """A keep-alive connection; it goes back to its route's idle ones after each answer."""

    def __init__(self, route: Route, port: int) -> None:
        self.route = route
        self.port = port
        self.pending = b""
        self.planned: float | None = None
        self.transport: asyncio.Transport | None = None

    async def open_and_ask(self, request: bytes, planned: float) -> None:
        """Connect, and send the first request. Raises OSError."""
        self.planned = planned
        await asyncio.get_running_loop().create_connection(lambda: self, "127.0.0.1", self.port)
        self.ask(request, planned)

    def ask(self, request: bytes, planned: float) -> None:
        """Send one request."""
        assert self.transport is not None
        self.planned = planned
        self.transport.write(request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Count a whole answer."""
        now = time.perf_counter()
        self.pending += data
        head, end, body = self.pending.partition(b"\r\n\r\n")
        if not end or len(body) < content_length(head) or self.planned is None:
            return
        if head.startswith(b"HTTP/1.1 200"):
            self.route.latencies_s.append(now - self.planned)
        else:
            self.route.failed += 1
        self.pending, self.planned = b"", None
        self.route.idle[self.port].append(self)

    def connection_lost(self, error: Exception | None) -> None:
        """A request that was open has failed."""
        self.route.connections -= 1
        if self.planned is not None:
            self.route.failed += 1
        idle = self.route.idle.get(self.port, [])
        if self in idle:
            idle.remove(self)

    def close(self) -> None:
        """Close it."""
        if self.transport is not None:
            self.transport.close()


class OpenLoop:
    """Sends to each route at the same rate, evenly, the routes shifted against one another."""

    def __init__(self, routes: Sequence[Route], per_s: float) -> None:
        self.routes = routes
        self.gap_s = 1.0 / (per_s * len(routes))

    async def play(self, seconds: float) -> None:
        """Send for so long, and wait for the answers; what has none by then has failed."""
        begins = time.perf_counter() + self.gap_s
        for number in range(int(seconds / self.gap_s)):
            planned = begins + number * self.gap_s
            wait_s = planned - time.perf_counter()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            which = number % len(self.routes)
            self.routes[which].send(number // len(self.routes), planned)
        await self._answered()
        for route in self.routes:
            route.failed += route.open
            for connections in route.idle.values():
                for connection in list(connections):
                    connection.close()

    async def _answered(self) -> None:
        ends = time.perf_counter() + PATIENCE_S
        while any(route.open for route in self.routes) and time.perf_counter() < ends:
            await asyncio.sleep(0.01)


def play(routes: Sequence[Route], per_s: float, seconds: float) -> None:
    """Run an open loop in this thread. Its timers have the microseconds of select(), and the collector of
    garbage stays out of the latencies."""
    gc.collect()
    gc.disable()
    try:
        with asyncio.Runner(loop_factory=precise_loop) as runner:
            runner.run(OpenLoop(routes, per_s).play(seconds))
    finally:
        gc.enable()


def precise_loop() -> asyncio.AbstractEventLoop:
    """epoll, which asyncio takes by default, rounds each wait up to a millisecond."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())
