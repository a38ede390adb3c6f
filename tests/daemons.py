"""Helpers that run a daemon in the test process: its configuration file, and a raw HTTP client."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Awaitable, Callable, Mapping, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path

from fakes.ports import free_port
from fakes.web import OK, Arrival, Line, WebServer
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon
from plovertrail.daemon.wiring import Environment
from tests.net import PATIENCE_S

CLASSES = """
[classes.read]
effect = "safe"
aim = "1s"
deadline = "15s"
[classes.buy]
effect = "unsafe"
aim = "1s"
deadline = "15s"
[classes.mark]
effect = "keyed"
key_header = "Idempotency-Key"
memory = "15s"
group = "cell"
aim = "1s"
deadline = "15s"
"""
ROUTES = """
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = [{pools}]
[[routes]]
name = "mark"
path = "/mark"
class = "mark"
pools = [{pools}]
[[routes]]
name = "rest"
class = "read"
pools = [{pools}]
"""
LIMITED = """
[[routes]]
name = "all"
class = "buy"
pools = ["main"]
tenant = "header:X-Tenant"
client = "{client}"
limiters = ["it"]
"""


def run(
    test: Callable[[], Awaitable[None]], loop_factory: Callable[[], asyncio.AbstractEventLoop] | None = None
) -> None:
    """Run a test, for a minute at most."""

    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE_S):
            await test()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(limited())


def pool_text(name: str, servers: Sequence[WebServer], extra: str = "") -> str:
    rows = ", ".join(
        f'{{ id = "{name}{number}", address = "{server.address}"{server.row} }}'
        for number, server in enumerate(servers)
    )
    return f"[pools.{name}]\nservers = [{rows}]\n{extra}\n"


def site(
    port: int,
    pools: Mapping[str, Sequence[WebServer]],
    routes: str = "",
    listener: str = "",
    pool_extra: str = "",
    head: str = "",
) -> str:
    """An operator's file; without `routes` each class has a route to all pools, in their order."""
    names = ", ".join(f'"{name}"' for name in pools)
    return (
        head
        + f'[listeners.web]\naddress = "127.0.0.1:{port}"\n{listener}\n'
        + CLASSES
        + "".join(pool_text(name, servers, pool_extra) for name, servers in pools.items())
        + (routes or ROUTES.replace("{pools}", names))
    )


@dataclass
class Reply:
    """A complete response."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes

    def all(self, name: str) -> list[str]:
        return [value for key, value in self.headers if key.lower() == name.lower()]


class Client:
    """One connection of a client."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    async def reply(self, to_head: bool = False) -> Reply:
        """Read the next response, of the length in its head; raises IncompleteReadError if there is none."""
        async with asyncio.timeout(PATIENCE_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.rstrip().split("\r\n")
            headers = [(name, value.strip()) for name, _, value in (line.partition(":") for line in lines)]
            length = next((int(value) for name, value in headers if name.lower() == "content-length"), 0)
            body = b"" if to_head or " 304 " in first + " " else await self.reader.readexactly(length)
        return Reply(int(first.split(" ")[1]), headers, body)

    async def ask(self, data: bytes) -> Reply:
        self.writer.write(data)
        return await self.reply(to_head=data.startswith(b"HEAD "))

    async def ended(self) -> bool:
        """Wait until the daemon closes the connection; returns whether it sent nothing more."""
        async with asyncio.timeout(PATIENCE_S):
            try:
                return await self.reader.read() == b""
            except ConnectionError:
                return True

    def close(self) -> None:
        self.writer.close()


@dataclass
class Running:
    """A running daemon with its port and configuration file."""

    daemon: Daemon
    port: int
    path: Path

    async def connect(self) -> Client:
        return Client(*await asyncio.open_connection("127.0.0.1", self.port))

    async def ask(self, data: bytes) -> Reply:
        """Send one request on a new connection."""
        client = await self.connect()
        try:
            return await client.ask(data)
        finally:
            client.close()

    async def change(self, text: str) -> bool:
        """Replace the configuration file, and reload it."""
        self.path.write_text(text)
        return await self.daemon.reload()


class Held:
    """A server that holds requests; each release of the semaphore answers one."""

    def __init__(self) -> None:
        self.release = asyncio.Semaphore(0)
        self.server = WebServer(self.script)

    async def script(self, _server: WebServer, _arrival: Arrival, _line: Line) -> bytes:
        await self.release.acquire()
        return OK

    @property
    def order(self) -> list[str]:
        """The tenants of the received requests, in order of arrival."""
        return [arrival.all("X-Tenant")[0].decode() for arrival in self.server.arrivals]


def message(line: str, *headers: str, body: bytes = b"", host: str = "shop.example") -> bytes:
    """An encoded request; `line` has its method and target."""
    lines = [f"{line} HTTP/1.1", *([f"Host: {host}"] if host else []), *headers]
    if body or line.startswith("POST"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@asynccontextmanager
async def running(
    folder: Path, pools: Mapping[str, Sequence[WebServer]], **site_options: str
) -> AsyncIterator[Running]:
    """A daemon in front of these fake servers; all are stopped at the end."""
    for servers in pools.values():
        for server in servers:
            if server.port == 0:
                await server.start()
    port, path = free_port(), folder / "site.toml"
    path.write_text(site(port, pools, **site_options))
    daemon = Daemon(load(str(path)), Environment(new_seed=itertools.count(1).__next__))
    try:
        yield Running(daemon, port, path)
    finally:
        async with asyncio.timeout(PATIENCE_S):
            await daemon.stop()
        for servers in pools.values():
            for server in servers:
                server.stop()
