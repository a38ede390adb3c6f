"""A stand-in WebSocket server on raw streams: it does what its script says, right or wrong."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field

from fakes.frames import BINARY, CLOSE, CONTINUATION, PING, PONG, TEXT, Got, acceptance, frame, read_frame
from fakes.listening import StreamListener


@dataclass(eq=False)
class Line:
    """One connection to a stand-in, and what has come on it."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    head: bytes = b""
    frames: list[Got] = field(default_factory=list)

    async def accept(self, *headers: str) -> None:
        """Answer the handshake as it should be."""
        self.writer.write(acceptance(self.head, *headers))
        await self.writer.drain()

    async def next(self) -> Got:
        """The next frame; raises IncompleteReadError at the end."""
        got = await read_frame(self.reader)
        self.frames.append(got)
        return got

    def send(self, data: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(data)

    def reset(self) -> None:
        """Abort the connection."""
        self.writer.transport.abort()

    async def until_closed(self) -> None:
        """Read on to the end, and answer a close frame."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                got = await self.next()
                if got.opcode == CLOSE:
                    self.send(frame(CLOSE, got.payload[:2]))
                elif got.opcode == PING:
                    self.send(frame(PONG, got.payload))


Script = Callable[[Line], Awaitable[None]]


async def echo(line: Line) -> None:
    """Accept, send every message back as it came, answer pings and the close."""
    await line.accept()
    while True:
        got = await line.next()
        if got.opcode in (TEXT, BINARY, CONTINUATION):
            line.send(frame(got.opcode, got.payload, got.final))
            await line.writer.drain()
        elif got.opcode == PING:
            line.send(frame(PONG, got.payload))
        elif got.opcode == CLOSE:
            line.send(frame(CLOSE, got.payload[:2]))
            return


async def listen(line: Line) -> None:
    """Accept, and say nothing but what the protocol asks for."""
    await line.accept()
    await line.until_closed()


@dataclass(eq=False)
class LiveServer(StreamListener):
    """Listens on a loopback port of the system's choice; `lines` keeps every connection that sent a head."""

    script: Script = echo
    name: str = ""
    row: str = ""  # further keys of its row in an operator's file
    lines: list[Line] = field(default_factory=list)
    open: set[Line] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read the head of one connection and run the script on it."""
        line = Line(reader, writer)
        self.open.add(line)
        try:
            with suppress(asyncio.IncompleteReadError, ConnectionError):
                line.head = await reader.readuntil(b"\r\n\r\n")
                self.lines.append(line)
                await self.script(line)
        finally:
            self.open.discard(line)
            writer.close()

    def reset(self) -> None:
        """Abort all connections."""
        for line in list(self.open):
            line.reset()
