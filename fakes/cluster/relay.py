"""Relays between processes: what goes through is dropped, delayed, repeated, reordered, slowed or cut."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from functools import partial

from fakes.listening import StreamListener

Address = tuple[str, int]
CHUNK = 64 * 1024
MOST_HELD = 4096  # datagrams on their way at once; more are dropped, as a full queue would


@dataclass
class Way:
    """What becomes of what goes one way. A cut link says nothing: connections stay open and silent, and what
    was sent comes once it is mended, as with TCP's repeats; datagrams are gone."""

    delay_s: float = 0.0
    jitter_s: float = 0.0  # up to so much more, drawn for each piece
    loss: float = 0.0  # share of datagrams that get lost
    repeats: float = 0.0  # share of datagrams that come twice
    reordered: float = 0.0  # share of datagrams that come after the next ones
    bytes_per_s: float = 0.0  # 0: as fast as it goes
    open: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self.open.set()

    def cut(self) -> None:
        """Let no bytes through from now on."""
        self.open.clear()

    def mend(self) -> None:
        """Let bytes through again."""
        self.open.set()

    def wait_s(self, rng: random.Random, size: int) -> float:
        """For how long a piece is held."""
        slow_s = size / self.bytes_per_s if self.bytes_per_s else 0.0
        return self.delay_s + self.jitter_s * rng.random() + slow_s


@dataclass(eq=False)
class TcpRelay(StreamListener):
    """Listens on a loopback port of the system's choice, and connects each caller to `target`."""

    target: Address
    rng: random.Random
    forth: Way = field(default_factory=Way)  # from the callers to the target
    back: Way = field(default_factory=Way)
    refusing: bool = False  # new connections are reset, and so were those that were open
    writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass one connection on to the target, in both directions, until one side ends it."""
        self.writers.add(writer)
        try:
            if self.refusing:
                return
            await self.forth.open.wait()
            far_reader, far_writer = await asyncio.open_connection(*self.target)
            self.writers.add(far_writer)
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(self.pump(reader, far_writer, self.forth))
                    group.create_task(self.pump(far_reader, writer, self.back))
            finally:
                self.writers.discard(far_writer)
                far_writer.transport.abort()
        except* OSError:
            pass  # it was reset, by one side or by us
        finally:
            self.writers.discard(writer)
            writer.transport.abort()

    async def pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        """One direction, to its end; the end is passed on, a reset as a reset of both."""
        while data := await reader.read(CHUNK):
            held_s = way.wait_s(self.rng, len(data))
            if held_s:
                await asyncio.sleep(held_s)
            await way.open.wait()
            writer.write(data)
            await writer.drain()
        await way.open.wait()
        if writer.can_write_eof():
            writer.write_eof()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self.writers):
            writer.transport.abort()


class Switch:
    """Datagrams between instances: each has an address that the others know it by, behind which the switch
    carries what comes from one to another as the way between these two is. What reaches an instance comes
    from the address that its sender is known by."""

    def __init__(self, bound: list[Address], rng: random.Random) -> None:
        self.bound = bound  # where each instance takes datagrams, by number
        self.numbers = {address: number for number, address in enumerate(bound)}
        self.rng = rng
        self.ways: dict[tuple[int, int], Way] = {
            (one, other): Way() for one in range(len(bound)) for other in range(len(bound)) if one != other
        }
        self.transports: list[asyncio.DatagramTransport] = []
        self.known_as: list[Address] = []
        self.passed = self.lost = 0
        self.held = 0

    async def start(self) -> None:
        """Open a port for each instance."""
        loop = asyncio.get_running_loop()
        for number in range(len(self.bound)):
            transport, _ = await loop.create_datagram_endpoint(
                partial(Port, self, number), local_addr=("127.0.0.1", 0)
            )
            self.transports.append(transport)
            self.known_as.append(transport.get_extra_info("sockname")[:2])

    def came(self, data: bytes, sender: Address, to: int) -> None:
        """A datagram for an instance has come from the place where another one sends."""
        number = self.numbers.get(sender)
        if number is None or number == to:
            return
        way = self.ways[number, to]
        if not way.open.is_set() or self.rng.random() < way.loss or self.held >= MOST_HELD:
            self.lost += 1
            return
        copies = 2 if self.rng.random() < way.repeats else 1
        for _ in range(copies):
            wait_s = way.wait_s(self.rng, len(data))
            if self.rng.random() < way.reordered:
                wait_s += 2 * (way.delay_s + way.jitter_s) + 0.01
            self.held += 1
            asyncio.get_running_loop().call_later(wait_s, self.leave, data, number, to)

    def leave(self, data: bytes, sender: int, to: int) -> None:
        """Send a datagram on that was held for its delay."""
        self.held -= 1
        self.passed += 1
        if self.transports:
            self.transports[sender].sendto(data, self.bound[to])

    def stop(self) -> None:
        """Close all ports; what is still held is dropped."""
        for transport in self.transports:
            transport.close()
        self.transports = []


class Port(asyncio.DatagramProtocol):
    """Where datagrams for one instance come in."""

    def __init__(self, switch: Switch, number: int) -> None:
        self.switch = switch
        self.number = number

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Hand a datagram to the switch."""
        self.switch.came(data, address, self.number)
