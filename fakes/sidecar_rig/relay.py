"""A relay between sidecars and one server, which breaks some of its connections as its plan says."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import random
from dataclasses import dataclass

from fakes.sidecar_rig.resets import reset
from fakes.sidecar_rig.servers import Server

CHUNK_BYTES = 65_536
DELAY_S = (0.0, 0.03)  # of a chunk of the answers, drawn evenly
PIECE_BYTES = 7
PIECE_INTERVAL_S = 0.001
BREAK_AFTER_BYTES = (0, 600)  # of requests or answers, drawn evenly


class LinkFault(enum.Enum):
    """What is wrong with a connection between a sidecar and a server."""

    DELAY = "delay"  # answers come later
    PIECES = "pieces"  # answers come in small pieces
    CUT = "cut"  # closed on both sides after some bytes
    RESET = "reset"  # reset on the sidecar's side after some bytes
    HALF_CLOSE = "half_close"  # no more bytes come from the server after some, and the end of the stream does
    SILENCE = "silence"  # no more bytes come either way after some


@dataclass(frozen=True, slots=True)
class LinkPlan:
    """Which faults a relay's connections have: each has one of them with the probability `share`."""

    faults: tuple[LinkFault, ...] = ()
    share: float = 0.0

    def draw(self, rng: random.Random) -> LinkFault | None:
        """Draw the fault of a connection; None: it has none."""
        if not self.faults or rng.random() >= self.share:
            return None
        return rng.choice(self.faults)


class Relay:
    """A port that stands for a server's, and passes on what comes."""

    def __init__(self, server: Server, plan: LinkPlan, seed: int) -> None:
        self.name = server.name
        self.group = server.group
        self.server = server
        self.plan = plan
        self.rng = random.Random(seed)
        self.port = 0
        self._listener: asyncio.Server | None = None
        self._links: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        self._listener = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port and all connections."""
        if self._listener is not None:
            self._listener.close()
        for link in self._links:
            link.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._links.add(task)
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.server.port)
            link = Link(self.plan.draw(self.rng), self.rng, writer, server_writer)
            await link.run(reader, server_reader)
        except OSError:
            writer.close()
        finally:
            self._links.discard(task)


class Link:
    """One relayed connection."""

    def __init__(
        self,
        fault: LinkFault | None,
        rng: random.Random,
        to_sidecar: asyncio.StreamWriter,
        to_server: asyncio.StreamWriter,
    ) -> None:
        self.fault = fault
        self.rng = rng
        self.to_sidecar = to_sidecar
        self.to_server = to_server
        self.breaks_on_request = rng.random() < 0.5
        self.bytes_left = rng.randint(*BREAK_AFTER_BYTES)
        self.silent = False

    async def run(self, from_sidecar: asyncio.StreamReader, from_server: asyncio.StreamReader) -> None:
        """Pass bytes on in both directions until both have ended."""
        requests = asyncio.create_task(self._pass_requests(from_sidecar))
        answers = asyncio.create_task(self._pass_answers(from_server))
        try:
            await asyncio.gather(requests, answers)
        finally:
            requests.cancel()
            answers.cancel()
            self.to_sidecar.close()
            self.to_server.close()

    async def _pass_requests(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                passed = self._passed(data, is_request=True)
                if passed:
                    self.to_server.write(passed)
                if len(passed) < len(data):
                    self._break()
        self.to_server.close()

    async def _pass_answers(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAY:
                    await asyncio.sleep(self.rng.uniform(*DELAY_S))
                passed = self._passed(data, is_request=False)
                await self._write_answer(passed)
                if len(passed) < len(data):
                    self._break()
        if not self.silent:
            self.to_sidecar.close()

    async def _write_answer(self, data: bytes) -> None:
        size = PIECE_BYTES if self.fault is LinkFault.PIECES else CHUNK_BYTES
        for start in range(0, len(data), size):
            self.to_sidecar.write(data[start : start + size])
            if size == PIECE_BYTES:
                await asyncio.sleep(PIECE_INTERVAL_S)

    def _passed(self, data: bytes, is_request: bool) -> bytes:
        """The part of what has come that is passed on."""
        if self.silent:
            return b""
        if (
            self.fault in (None, LinkFault.DELAY, LinkFault.PIECES)
            or is_request is not self.breaks_on_request
        ):
            return data
        passed = data[: self.bytes_left]
        self.bytes_left -= len(passed)
        return passed

    def _break(self) -> None:
        """Break the connection as its fault says."""
        if self.fault is LinkFault.RESET:
            reset(self.to_sidecar)
            self.to_server.close()
        elif self.fault is LinkFault.CUT:
            self.to_sidecar.close()
            self.to_server.close()
        elif self.fault is LinkFault.HALF_CLOSE:
            with contextlib.suppress(OSError):
                self.to_sidecar.write_eof()
            self.silent = True
        else:
            self.silent = True
