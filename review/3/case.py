"""A device on the path forgets idle connections: chapter-buys that are written to them are lost."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path

from review.rig import (
    BROKEN,
    BUY,
    CANNOT_RUN,
    HELD,
    Clients,
    Discovery,
    KeyMemory,
    Record,
    Server,
    Sidecar,
    settings,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FOLDER = Path(__file__).resolve().parent
FORGOTTEN_AFTER_S = 1.5  # of rest; the settings say that servers keep idle connections for 5 s at most
BUYS, BUY_INTERVAL_S = 20, 2.2
SERVERS = 3


class Relay:
    """A port before a server: once a connection has rested for too long, its next bytes reset it."""

    def __init__(self, record: Record, server: Server) -> None:
        self.record = record
        self.server = server
        self.port = 0
        self.eaten = 0
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port and all connections."""
        if self.listener is not None:
            self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        from_server, to_server = await asyncio.open_connection("127.0.0.1", self.server.port)
        self.writers |= {writer, to_server}
        last_s = [self.record.now()]
        answers = asyncio.create_task(self._pass_answers(from_server, writer, last_s, self.record.now))
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                rested_s = self.record.now() - last_s[0]
                if TROUBLE and rested_s > FORGOTTEN_AFTER_S:
                    self.eaten += 1
                    self.record.write(
                        f"the path to {self.server.name} has forgotten a connection after {rested_s:.2f} s"
                    )
                    writer.transport.abort()
                    break
                last_s[0] = self.record.now()
                to_server.write(data)
        to_server.close()
        await answers
        writer.close()

    @staticmethod
    async def _pass_answers(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        last_s: list[float],
        now: Callable[[], float],
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65_536):
                last_s[0] = now()
                writer.write(data)
        if not TROUBLE:
            writer.close()


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    servers = [Server(record, f"s-{n}", n % 2, KeyMemory(8.0), lambda _: 0.05) for n in range(SERVERS)]
    relays = [Relay(record, server) for server in servers]
    for server, relay in zip(servers, relays, strict=True):
        await server.start()
        await relay.start()
    discovery = Discovery(record, servers)
    for server, relay in zip(servers, relays, strict=True):
        discovery.entries[server.name]["endpoint"] = f"127.0.0.1:{relay.port}"
    await discovery.start()
    configuration = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": discovery.whole(),
        "settings": settings(),
    }
    sidecar = Sidecar(record, folder, configuration)
    clients = Clients(record, sidecar.port, {})
    try:
        await sidecar.start()
        for _ in range(BUYS):
            await clients.send(BUY)
            await asyncio.sleep(BUY_INTERVAL_S)
        await clients.finish()
    finally:
        await sidecar.stop()
        for relay in relays:
            relay.stop()
        for server in servers:
            server.end()
        discovery.stop()
    ran = {run.request_id for server in servers for run in server.runs}
    eaten = [
        each for each in clients.asked if each.status not in (200, 429, 503) and each.request_id not in ran
    ]
    served = sum(each.status == 200 for each in clients.asked)
    for each in eaten:
        record.write(f"eaten: {each.kind} {each.request_id}, status {each.status}, no server has seen it")
    record.write(f"chapter-buys {len(clients.asked)}, served {served}, eaten {len(eaten)}")
    print(f"chapter-buys {len(clients.asked)} served {served} eaten {len(eaten)}")
    return BROKEN if eaten else HELD


def main() -> int:
    """Run the case with its record beside it."""
    record = Record(FOLDER / "record.txt")
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(record, Path(folder)))
    except (OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return CANNOT_RUN
    finally:
        record.close()


if __name__ == "__main__":
    sys.exit(main())
