"""A daemon in front of stand-in WebSocket servers, and a raw client of it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from fakes.frames import CLOSE, Got, close_frame, frame, opening, read_frame
from fakes.live import LiveServer
from fakes.ports import free_port
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon
from plovertrail.daemon.wiring import Environment
from plovertrail.decisions.websocket_session import WebSocketSession
from plovertrail.listeners.websocket_service import HandshakeContext, log_line
from tests.daemons import Client
from tests.net import PATIENCE_S

FILE = """
[listeners.web]
address = "127.0.0.1:{port}"
max_connections = 4000
{listener}
[classes.read]
effect = "safe"
aim = "1s"
deadline = "15s"
[classes.buy]
effect = "unsafe"
aim = "1s"
deadline = "15s"
[websockets.live]
{limits}
[pools.main]
servers = [{servers}]
{pool}
{routes}
"""
SOCKETS = "max_sockets = 4000"
ROUTES = """
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = ["main"]
websocket = "live"
methods = ["GET"]
[[routes]]
name = "plain"
path = "/plain"
class = "read"
pools = ["main"]
[[routes]]
name = "live"
class = "read"
pools = ["main"]
websocket = "live"
"""


class SocketClient(Client):
    """A client on raw streams: what it sends is up to the test."""

    async def ask_socket(self, target: str = "/", *headers: str, behind: bytes = b"") -> int:
        """Send a handshake, and bytes right behind it; the status of the answer."""
        return (await self.ask(opening(target, *headers) + behind)).status

    def send(self, opcode: int, payload: bytes = b"", final: bool = True) -> None:
        self.writer.write(frame(opcode, payload, final, masked=True))

    async def next(self) -> Got:
        async with asyncio.timeout(PATIENCE_S):
            return await read_frame(self.reader)

    async def closed(self) -> Got:
        """The close frame, which is answered; messages that come before it are passed over."""
        while True:
            got = await self.next()
            if got.opcode == CLOSE:
                self.writer.write(close_frame(got.code if got.code != 1005 else 1000, masked=True))
                return got


@dataclass
class LiveSite:
    """A daemon that serves; `ended` has all sockets that came to their end, with the lines of the log."""

    daemon: Daemon
    port: int
    path: Path
    text: Callable[..., str]
    ended: list[WebSocketSession] = field(default_factory=list)
    lines: list[str] = field(default_factory=list)

    async def connect(self) -> SocketClient:
        return SocketClient(*await asyncio.open_connection("127.0.0.1", self.port))

    async def open(self, target: str = "/", *headers: str) -> SocketClient:
        """Open a session, with retries.

        A daemon that has just started opens its slots one answer at a time and rejects a burst meanwhile.
        """
        async with asyncio.timeout(PATIENCE_S):
            while True:
                client = await self.connect()
                status = await client.ask_socket(target, *headers)
                if status == 101:
                    return client
                assert status == 503, status
                client.close()
                await asyncio.sleep(0.02)

    @property
    def opened(self) -> list[WebSocketSession]:
        """Those of `ended` that were open."""
        return [socket for socket in self.ended if socket.opened_us]

    def keep(self, socket: WebSocketSession, context: HandshakeContext) -> None:
        self.ended.append(socket)
        self.lines.append(log_line(socket, context, ""))

    async def change(self, **more: str) -> bool:
        """Replace parts of the file, and have it read again."""
        self.path.write_text(self.text(**more))
        return await self.daemon.reload()


def at_once(limits: str) -> str:
    """Limits under which drains and ends wait for little, unless they say so."""
    times = {"drain_grace": "0s", "drain_spread": "0s", "close_timeout": "500ms"}
    return "\n".join([limits, *(f'{key} = "{time}"' for key, time in times.items() if key not in limits)])


@asynccontextmanager
async def live_site(
    folder: Path, servers: Sequence[LiveServer], limits: str = "", pool: str = SOCKETS, routes: str = ROUTES
) -> AsyncIterator[LiveSite]:
    """A daemon in front of these stand-ins, all of them ended with it."""
    for server in servers:
        if server.port == 0:
            await server.start()
    port, path = free_port(), folder / "site.toml"

    def text(**more: str) -> str:
        rows = ", ".join(
            f'{{ id = "s{number}", address = "{server.address}"{server.row} }}'
            for number, server in enumerate(servers)
        )
        parts = {"listener": "", "limits": at_once(limits), "pool": pool, "routes": routes, "servers": rows}
        if "limits" in more:
            more["limits"] = at_once(more["limits"])
        return FILE.format(**{"port": str(port), **parts, **more})

    path.write_text(text())
    daemon = Daemon(load(str(path)), Environment(new_seed=itertools.count(1).__next__))
    site = LiveSite(daemon, port, path, text)
    daemon.services.websockets.observe_ends(site.keep)
    try:
        yield site
    finally:
        async with asyncio.timeout(PATIENCE_S):
            await daemon.stop()
        for server in servers:
            server.stop()
    assert not daemon.services.websockets.sessions.sessions
    assert not daemon.services.websockets.relays
    idents = [socket.session_id for socket in site.ended]
    assert len(idents) == len(set(idents)), "a socket ended twice"
