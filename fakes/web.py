"""A stand-in web server: counts what reaches it, and answers, fails or stays silent as its script says."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import httptools

OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\noops\n"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
Headers = list[tuple[bytes, bytes]]


@dataclass(slots=True)
class Arrival:
    """A request as it reached the server."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes

    def all(self, name: str) -> list[bytes]:
        """The values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower().encode()]


Script = Callable[["WebServer", Arrival, "Line"], Awaitable[bytes] | bytes]


class Line(asyncio.Protocol):
    """One connection to a stand-in."""

    def __init__(self, server: WebServer) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: Headers = []
        self.body = b""
        self.closes = False  # the request asks to close the connection behind its answer
        self.tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A connection has been opened."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.lines.add(self)
        self.server.connections += 1

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is over: answers in preparation are given up."""
        self.server.lines.discard(self)
        for task in self.tasks:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Give bytes to the parser."""
        self.parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self.target, self.headers, self.body = b"", [], b""

    def on_url(self, url: bytes) -> None:
        """Parser callback: a further piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        self.headers.append((name, value))

    def on_body(self, data: bytes) -> None:
        """Parser callback: a further piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Parser callback: run the server's script on the request, and write its answer when it is there."""
        arrival = Arrival(self.parser.get_method(), self.target, self.headers, self.body)
        self.server.count += 1
        if self.server.keep:
            self.server.arrivals.append(arrival)
        self.closes = b"close" in [value.lower() for value in arrival.all("Connection")]
        answer = self.server.script(self.server, arrival, self)
        if isinstance(answer, bytes):
            self.write_last(answer)
        else:
            task = asyncio.ensure_future(self.write_later(answer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def write_later(self, answer: Awaitable[bytes]) -> None:
        """Write an answer once it is there."""
        self.write_last(await answer)

    def write_last(self, answer: bytes) -> None:
        """Write the end of an answer, and close the connection if its request asked for that."""
        self.write(answer)
        if answer and self.closes and self.transport is not None:
            self.transport.close()

    def write(self, answer: bytes) -> None:
        """Write, unless the connection is over."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(answer)

    def reset(self) -> None:
        """Break the connection."""
        if self.transport is not None:
            self.transport.abort()


@dataclass(eq=False)
class WebServer:
    """Listens on a loopback port of the system's choice. `arrivals` keeps what came, if `keep` says so."""

    script: Script = lambda server, arrival, line: OK
    name: str = ""
    row: str = ""  # further keys of its row in an operator's file
    keep: bool = True
    count: int = 0
    connections: int = 0
    port: int = 0
    arrivals: list[Arrival] = field(default_factory=list)
    lines: set[Line] = field(default_factory=set)
    server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """The address and port that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a port, on any free one for 0."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: Line(self), "127.0.0.1", port)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port, and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for line in list(self.lines):
            line.reset()


def always(answer: bytes) -> Script:
    """Gives this answer to all."""
    return lambda server, arrival, line: answer


def slowly(answer: bytes, seconds: float) -> Script:
    """Gives this answer to all, later."""

    async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        await asyncio.sleep(seconds)
        return answer

    return script


def never(server: WebServer, arrival: Arrival, line: Line) -> bytes:
    """Says nothing."""
    return b""


def breaking(server: WebServer, arrival: Arrival, line: Line) -> bytes:
    """Resets the connection once the request is whole."""
    line.reset()
    return b""
