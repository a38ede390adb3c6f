"""Servers that answer requests, and send further messages that no request asked for as their plan says."""

from __future__ import annotations

import asyncio
import enum
import random
from dataclasses import dataclass

from fakes.sidecar_rig.records import Records, Run

NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
HALF_HEAD = b"HTTP/1.1 200 OK\r\nContent-"
INVENTED_BODY = b"for-no-request"
SLOW_FACTOR = 4


class Stray(enum.Enum):
    """A message that no request asked for."""

    AGAIN = "again"  # the last answer on this connection once more, or an invented one
    NOT_RUN = "not_run"
    ERROR = "error"
    HALF_HEAD = "half_head"


@dataclass(frozen=True, slots=True)
class StrayPlan:
    """When servers send strays: the shares of answers, connections and requests that cause one."""

    kinds: tuple[Stray, ...] = (Stray.AGAIN,)
    after_answer: float = 0.0
    after_answer_s: tuple[float, float] = (0.0, 0.04)  # drawn evenly
    on_connect: float = 0.0
    on_connect_s: tuple[float, float] = (0.0, 0.0)
    on_first_byte: float = 0.0


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How a server does its work."""

    strays: StrayPlan = StrayPlan()
    work_s: tuple[float, float] = (0.03, 0.08)  # drawn evenly
    slow_requests: int = 0  # the first requests of a server, whose work takes SLOW_FACTOR times as long
    turned_away: float = 0.03  # share that is answered X-Not-Run, and does not run
    reset: float = 0.01  # share whose connection is reset while it runs
    closes_when_asked: bool = True  # "Connection: close" in a request ends the connection behind its answer


def answer(body: bytes) -> bytes:
    """A 200 with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class ServerConnection(asyncio.Protocol):
    """One connection to a server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.last_body = INVENTED_BODY
        self.last_answer_closes = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send a stray on connecting, if the plan says so."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.open.add(self)
        plan = self.server.behaviour.strays
        if self.server.rng.random() < plan.on_connect:
            self._send_stray_within(plan.on_connect_s, "on_connect")

    def connection_lost(self, _error: Exception | None) -> None:
        """Forget the connection; requests that are being worked on end with no whole answer."""
        self.server.open.discard(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Take each request whose last byte has come."""
        if not self.buffer and self.server.rng.random() < self.server.behaviour.strays.on_first_byte:
            self._send_stray("on_first_byte")
        self.buffer += data
        while (head_end := self.buffer.find(b"\r\n\r\n")) >= 0:
            head, rest = self.buffer[:head_end], self.buffer[head_end + 4 :]
            headers = parse_headers(head)
            length = int(headers.get(b"content-length", b"0"))
            if len(rest) < length:
                return
            self.buffer = rest[length:]
            asked = headers.get(b"connection", b"").lower() == b"close"
            self.last_answer_closes = asked and self.server.behaviour.closes_when_asked
            self._take(headers[b"x-request-id"].decode())

    def _take(self, request_id: str) -> None:
        server, loop = self.server, self.server.loop
        draw = server.rng.random()
        if draw < server.behaviour.turned_away:
            self._write_last(NOT_RUN)
            return
        run = Run(request_id, server.name, server.group, server.records.now())
        server.records.add_run(run)
        work_s = server.draw_work_s()
        if draw < server.behaviour.turned_away + server.behaviour.reset:
            loop.call_later(work_s, self._reset)
        else:
            loop.call_later(work_s, self._answer, run)

    def _answer(self, run: Run) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        run.whole = True
        self.last_body = run.request_id.encode()
        self._write_last(answer(self.last_body))
        plan = self.server.behaviour.strays
        if self.server.rng.random() < plan.after_answer:
            self._send_stray_within(plan.after_answer_s, "after_answer")

    def _send_stray_within(self, delay_s: tuple[float, float], cause: str) -> None:
        wait_s = self.server.rng.uniform(*delay_s)
        if wait_s > 0:
            self.server.loop.call_later(wait_s, self._send_stray, cause)
        else:
            self._send_stray(cause)

    def _send_stray(self, cause: str) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        kind = self.server.rng.choice(self.server.behaviour.strays.kinds)
        self.server.records.count_stray(f"{cause}:{kind.value}")
        messages = {
            Stray.AGAIN: answer(self.last_body),
            Stray.NOT_RUN: NOT_RUN,
            Stray.ERROR: ERROR,
            Stray.HALF_HEAD: HALF_HEAD,
        }
        self._write(messages[kind])

    def _write_last(self, data: bytes) -> None:
        """Write the answer to a request, and close the connection if that asked for it."""
        self._write(data)
        if self.last_answer_closes and self.transport is not None:
            self.transport.close()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def _reset(self) -> None:
        if self.transport is not None:
            self.transport.abort()


class Server:
    """One listed server."""

    def __init__(
        self,
        name: str,
        group: int,
        behaviour: Behaviour,
        records: Records,
        seed: int,
    ) -> None:
        self.name = name
        self.group = group
        self.behaviour = behaviour
        self.records = records
        self.rng = random.Random(seed)
        self.loop = asyncio.get_running_loop()
        self.open: set[ServerConnection] = set()
        self.port = 0
        self.requests = 0
        self._listener: asyncio.Server | None = None

    def draw_work_s(self) -> float:
        """Draw how long the next request takes."""
        self.requests += 1
        work_s = self.rng.uniform(*self.behaviour.work_s)
        return work_s * SLOW_FACTOR if self.requests <= self.behaviour.slow_requests else work_s

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await self.loop.create_server(lambda: ServerConnection(self), "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port and reset all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self.open):
            if connection.transport is not None:
                connection.transport.abort()


def parse_headers(head: bytes) -> dict[bytes, bytes]:
    """The headers of a head, by their names in lower case."""
    pairs = (line.partition(b":") for line in head.split(b"\r\n")[1:])
    return {name.lower(): value.strip() for name, _, value in pairs}
