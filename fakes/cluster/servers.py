"""Servers that write down what reaches them, and the list that tells of them."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass, field
from pathlib import Path

from fakes.web import ERROR, NOT_RUN, OK, Arrival, Line, WebServer
from plovertrail.sources.lists import sealed

QUEUE = 16


@dataclass(frozen=True, slots=True)
class Run:
    """A request that reached a server, by the monotonic clock; `ran`: it was not turned away."""

    at: float
    ident: str
    ran: bool


@dataclass(eq=False)
class Shop:
    """A server; `told_drain` is when its list said that it drains."""

    name: str
    answer_s: float = 0.02
    slots: int = 64  # worked on at once; as many more as QUEUE wait, the rest is turned away
    silent: bool = False
    failing: bool = False
    runs: list[Run] = field(default_factory=list)
    told_drain: float = float("inf")
    open: int = 0
    web: WebServer = field(init=False)
    room: asyncio.Semaphore = field(init=False)

    def __post_init__(self) -> None:
        self.web = WebServer(self.script, self.name, keep=False)
        self.room = asyncio.Semaphore(self.slots)

    async def script(self, server: WebServer, arrival: Arrival, line: Line) -> bytes:
        """Answer a request after its work, or at once that it has not run if the queue is full."""
        ident = arrival.all("X-Request-Id")[0].decode()
        ran = self.open < self.slots + QUEUE
        self.runs.append(Run(time.monotonic(), ident, ran))
        if not ran:
            return NOT_RUN
        self.open += 1
        try:
            async with self.room:
                await asyncio.sleep(self.answer_s)
            return b"" if self.silent else ERROR if self.failing else OK
        finally:
            self.open -= 1

    def worst_second(self, since: float = 0.0, until: float = float("inf")) -> int:
        """The most requests that reached it within one second of that time."""
        runs = [run for run in self.runs if since <= run.at < until]
        most = first = 0
        for last, run in enumerate(runs):
            while runs[first].at <= run.at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most


@dataclass(eq=False)
class ServerList:
    """A file that an instance watches; it is replaced whole. Each server is listed at the relay before it."""

    path: Path
    shops: list[Shop]
    ports: dict[str, int]  # of those relays, by the servers' names

    def write(self) -> None:
        """As the servers are now."""
        lines = [
            f"127.0.0.1:{self.ports[shop.name]} id={shop.name} drain="
            f"{'true' if shop.told_drain < float('inf') else 'false'}"
            for shop in self.shops
        ]
        beside = self.path.with_suffix(".tmp")
        beside.write_bytes(sealed(self.path.name, ("\n".join(lines) + "\n").encode()))
        os.replace(beside, self.path)
