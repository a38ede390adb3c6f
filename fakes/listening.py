"""What listens on a loopback port with streams, one task a connection, and ends whole."""

from __future__ import annotations

import asyncio
from abc import abstractmethod
from contextlib import suppress
from dataclasses import dataclass, field

BACKLOG = 4096


@dataclass(eq=False)
class StreamListener:
    """Listens on a port of the system's choice, unless one is given."""

    port: int = field(default=0, kw_only=True)
    server: asyncio.Server | None = field(default=None, kw_only=True)
    tasks: set[asyncio.Task[None]] = field(default_factory=set, kw_only=True)

    @property
    def address(self) -> str:
        """The address and port that it listens on."""
        return f"127.0.0.1:{self.port}"

    async def start(self, port: int = 0) -> None:
        """Listen on a port, on any free one for 0."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=BACKLOG)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        with suppress(asyncio.CancelledError):  # hazard: the stream's own callback would log it as a fault
            await self.serve(reader, writer)

    @abstractmethod
    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection, to its end."""

    @abstractmethod
    def reset(self) -> None:
        """Break all that is open."""

    def stop(self) -> None:
        """Close the port, and reset all connections."""
        if self.server is not None:
            self.server.close()
            self.server = None
        self.reset()
        for task in list(self.tasks):
            task.cancel()
