"""Clients with an open loop: requests come by the clock and wait for no answer."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Protocol

STILL_S = 10.0  # how long a client waits for an answer that is late, so that a lost one is told from it


class Door(Protocol):
    """Where an instance takes requests."""

    number: int
    port: int

    @property
    def host(self) -> str:
        """The IPv4 address that requests are sent to."""


@dataclass(slots=True)
class Sent:
    """One request as its client saw it. `status` 0: no whole answer; `refused`: no connection was made."""

    ident: str
    unsafe: bool
    instance: int
    sent: float
    deadline_s: float
    status: int = 0
    answers: int = 0
    answered: float = 0.0
    refused: bool = False
    back_after_s: float = 0.0  # as it is told


@dataclass(eq=False)
class Load:
    """Requests at `per_s` from all clients together, spread over the doors, a share of them unsafe. One
    connection a request: what a client's own connections do is not what is tried here."""

    doors: Sequence[Door]
    rng: random.Random
    per_s: float = 50.0
    unsafe: float = 0.7
    deadline_s: float = 3.0
    tries: int = 1
    sent: list[Sent] = field(default_factory=list)
    running: bool = False
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    loop_task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to send, in a task of its own."""
        self.running = True
        self.loop_task = asyncio.create_task(self.run())

    async def run(self) -> None:
        """Send requests at random times, `per_s` a second on average, until stopped."""
        due = time.monotonic()
        while self.running:
            due += self.rng.expovariate(self.per_s)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.send(self.doors[self.rng.randrange(len(self.doors))])

    def send(self, door: Door) -> None:
        """One client, by itself."""
        task = asyncio.create_task(self.ask_on(door))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def ask_on(self, door: Door) -> None:
        """It comes again, to any instance and with another request, while it is refused."""
        for _ in range(self.tries):
            one = await self.ask(door)
            if not (one.refused or one.status == 503) or not self.running:
                return
            await asyncio.sleep(one.back_after_s or self.rng.random())
            door = self.doors[self.rng.randrange(len(self.doors))]

    async def ask(self, door: Door) -> Sent:
        """Send one request on a connection of its own, and return what came of it."""
        unsafe = self.rng.random() < self.unsafe
        one = Sent(f"r{len(self.sent)}", unsafe, door.number, time.monotonic(), self.deadline_s)
        self.sent.append(one)
        try:
            async with asyncio.timeout(self.deadline_s + STILL_S):
                reader, writer = await asyncio.open_connection(door.host, door.port)
                try:
                    one.sent = time.monotonic()
                    writer.write(request(one))
                    await read_answers(reader, one)
                finally:
                    writer.close()
        except ConnectionRefusedError:
            one.refused = True
        except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return one

    async def stop(self) -> None:
        """No new ones; the open ones get their answers, or none."""
        self.running = False
        if self.loop_task is not None:
            await self.loop_task
        await asyncio.gather(*self.tasks)


def request(one: Sent) -> bytes:
    """As a client sends it, on a connection of its own."""
    line = "POST /buy" if one.unsafe else "GET /read"
    length = "Content-Length: 1\r\n" if one.unsafe else ""
    head = (
        f"{line} HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {one.ident}\r\n"
        f"X-Deadline-Ms: {int(one.deadline_s * 1000)}\r\n{length}Connection: close\r\n\r\n"
    )
    return head.encode() + (b"x" if one.unsafe else b"")


async def read_answers(reader: asyncio.StreamReader, one: Sent) -> None:
    """All that comes until the connection ends; more than one answer is counted as such."""
    while True:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError as error:
            if error.partial:
                raise
            return
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
            elif name.lower() == b"retry-after":
                one.back_after_s = float(value)
        await reader.readexactly(length)
        one.status = one.status or int(head.split(b" ")[1])
        one.answered = one.answered or time.monotonic()
        one.answers += 1
