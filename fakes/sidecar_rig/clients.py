"""Clients that send requests at random times to one sidecar, over connections that they keep."""

from __future__ import annotations

import asyncio
import contextlib
import random
from dataclasses import dataclass

from fakes.sidecar_rig.records import ClientRecord, Effect, Records, RequestKind
from fakes.sidecar_rig.resets import reset

GIVE_UP_S = 1.0  # after the deadline; the oracle then counts the request as lost
LATE_S = 0.2  # from the beginning of a connect to the request
MAX_CONNECTS = 3  # for one request
RESET_SHARE = 0.5  # of the clients that leave; the others close
Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


@dataclass(frozen=True, slots=True)
class ClientFaults:
    """The shares of requests whose clients misbehave."""

    leaves: float = 0.0  # closes or resets its connection before the answer
    resets: float = 0.0  # resets its connection behind the answer
    reset_after_s: tuple[float, float] = (0.0, 0.05)  # drawn evenly


class ClientGroup:
    """The clients of one sidecar."""

    def __init__(
        self,
        port: int,
        kinds: dict[RequestKind, float],
        records: Records,
        seed: int,
        faults: ClientFaults | None = None,
    ) -> None:
        self.port = port
        self.faults = faults or ClientFaults()
        self.fault_rng = random.Random(seed + 1)  # the requests stay the same with and without faults
        self.kinds = kinds
        self.records = records
        self.rng = random.Random(seed)
        self.idle: list[Streams] = []

    async def play(self, seconds: float, rate_per_s: float) -> None:
        """Send requests for a time, on a schedule that a busy machine only delays, and await answers."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        ends = due + seconds
        async with asyncio.TaskGroup() as group:
            while (due := due + self.rng.expovariate(rate_per_s)) < ends:
                await asyncio.sleep(max(0.0, due - loop.time()))
                group.create_task(self._ask())
        for _, writer in self.idle:
            writer.close()

    async def _ask(self) -> None:
        """One request; one that crosses the close of a kept connection is sent once more on a new one."""
        kind = self.rng.choices(list(self.kinds), list(self.kinds.values()))[0]
        record = ClientRecord(f"{self.rng.getrandbits(64):016x}", kind, self.records.now())
        self.records.clients[record.request_id] = record
        if self.fault_rng.random() < self.faults.leaves:
            await self._leave(record)
            return
        try:
            async with asyncio.timeout(kind.deadline_s + GIVE_UP_S):
                await self._send(record)
        except (OSError, TimeoutError) as error:
            record.errors.append(repr(error))
            record.ended_s = self.records.now()

    async def _send(self, record: ClientRecord) -> None:
        """Send a request on a kept connection, or on a new one.

        A sidecar that is told to stop keeps a new connection without a byte for a quarter of a second. A
        client that was held up for longer has crossed the close then, as on a kept connection.
        """
        if self.idle and await self._exchange(record, self.idle.pop()):
            return
        loop = asyncio.get_running_loop()
        for _ in range(MAX_CONNECTS):
            began_s = loop.time()
            streams = await self._connect(record)
            was_held_up = loop.time() - began_s > LATE_S
            if streams is None or await self._exchange(record, streams) or not was_held_up:
                return

    async def _leave(self, record: ClientRecord) -> None:
        """Send the request on a connection of its own, and close that before the answer has to come."""
        streams = await self._connect(record)
        if streams is None:
            return
        _, writer = streams
        writer.write(request_bytes(record))
        with contextlib.suppress(OSError):
            await writer.drain()
        await asyncio.sleep(self.fault_rng.uniform(0.0, record.kind.deadline_s / 4))
        record.left = True
        record.ended_s = self.records.now()
        if self.fault_rng.random() < RESET_SHARE:
            reset(writer)
        else:
            writer.close()

    async def _connect(self, record: ClientRecord) -> Streams | None:
        """Open a connection; None if nobody listens, and the request has reached nobody."""
        try:
            return await asyncio.open_connection("127.0.0.1", self.port)
        except ConnectionRefusedError:
            record.left = True
            record.ended_s = self.records.now()
            return None

    async def _exchange(self, record: ClientRecord, streams: Streams) -> bool:
        """Send the request and read its answer; False if the connection ended before any byte of one."""
        reader, writer = streams
        head = b""
        try:
            writer.write(request_bytes(record))
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().split(b"content-length:")[1].split(b"\r\n")[0])
            record.body = await reader.readexactly(length)
            record.status = int(head.split(b" ", 2)[1])
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            writer.close()
            record.ended_s = self.records.now()
            local = writer.get_extra_info("sockname")
            record.errors.append(f"{record.ended_s:.3f} from {local} to port {self.port}: {error!r}")
            return bool(head or getattr(error, "partial", b""))
        record.ended_s = self.records.now()
        if b"connection: close" in head.lower():
            writer.close()
        elif self.fault_rng.random() < self.faults.resets:
            wait_s = self.fault_rng.uniform(*self.faults.reset_after_s)
            asyncio.get_running_loop().call_later(wait_s, reset, writer)
        else:
            self.idle.append(streams)
        return True


def request_bytes(record: ClientRecord) -> bytes:
    """The request as the application sends it; its body names it."""
    kind = record.kind
    method = "GET" if kind.effect is Effect.SAFE else "POST"
    key = f"Idempotency-Key: k{record.request_id}\r\n" if kind.effect is Effect.KEYED else ""
    body = b"" if kind.effect is Effect.SAFE else record.request_id.encode()
    length = "" if kind.effect is Effect.SAFE else f"Content-Length: {len(body)}\r\n"
    head = (
        f"{method} /{kind.name}/it HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {record.request_id}\r\n"
        f"X-Class: {kind.name}\r\nX-Deadline-Ms: {int(kind.deadline_s * 1000)}\r\n{key}{length}\r\n"
    )
    return head.encode() + body
