"""How long lists of 10,000 servers hold up the loop: `python -m benchmarks.long_lists`.

A watch over a real socket, from a process of its own, to a host with its decision module; a clock on the loop
ticks every millisecond, and its longest gap is the stall. In turns: a whole list, changes of one server, a
change of half of them, the whole list again, and one from which half have gone. Bar: no stall over 20 ms.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

from benchmarks.processes import child, pin
from benchmarks.report import Bar, close, table
from plovertrail.decisions.events import EndpointsUpdated
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.sources.directory import Directory
from plovertrail.sources.discovery import FREEZE_DELAY_S, Discovery
from plovertrail.upstreams.connection_pool import ConnectionPool

SERVERS = 10_000
CHANGES = 10
TICK_S = 0.001
MOST_STALL_MS = 20.0
PATIENCE_S = 30.0


def entry(number: int, state: str = "active", weight: float = 1.0) -> dict[str, Any]:
    """A server as the discovery lists it, with an address made of its number."""
    return {
        "uid": f"s-{number:08x}",
        "endpoint": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9000",
        "az": "a",
        "model": "m",
        "pod_group": number // 4,
        "state": state,
        "capacity_hint": weight,
        "boot_ms": 0,
    }


def steps(servers: int) -> list[tuple[str, dict[str, Any], int]]:
    """What comes, and how many servers are in use after it."""
    whole = [entry(number) for number in range(servers)]
    half = [entry(number, weight=2.0) for number in range(0, servers, 2)]
    found: list[tuple[str, dict[str, Any], int]] = []
    found.append(("a whole list", {"all": True, "targets": whole}, servers))
    for number in range(CHANGES):
        change = {"all": False, "targets": [entry(number, "leaving")]}
        found.append(("one server drains", change, servers - number - 1))
    found.append(("half change weight", {"all": False, "targets": half}, servers - CHANGES // 2))
    found.append(("the whole list again", {"all": True, "targets": whole}, servers))
    found.append(("half have gone", {"all": True, "targets": whole[::2]}, (servers + 1) // 2))
    return [(name, lines | {"rev": rev}, count) for rev, (name, lines, count) in enumerate(found, 1)]


async def serve(servers: int) -> None:
    """Tell the port, then send one step for each line on standard input."""
    texts = [json.dumps(lines).encode() for _, lines, _ in steps(servers)]
    asked: asyncio.Future[asyncio.StreamWriter] = asyncio.get_running_loop().create_future()

    async def called(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        asked.set_result(writer)

    server = await asyncio.start_server(called, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    writer = await asked
    print("watched", flush=True)
    for text in texts:
        if not await asyncio.to_thread(sys.stdin.readline):
            return
        writer.write(b"%x\r\n%s\n\r\n" % (len(text) + 1, text))
        await writer.drain()
    await asyncio.to_thread(sys.stdin.readline)


class Clock:
    """The longest gap between two ticks on the loop."""

    def __init__(self) -> None:
        self.last = time.perf_counter()
        self.longest = 0.0
        self.loop = asyncio.get_running_loop()
        self.loop.call_later(TICK_S, self.tick)

    def tick(self) -> None:
        """Note by how much this call of the loop is late, and ask for the next one."""
        now = time.perf_counter()
        self.longest = max(self.longest, now - self.last - TICK_S)
        self.last = now
        self.loop.call_later(TICK_S, self.tick)


async def measure(servers: int, port: int, go: Any) -> dict[str, list[tuple[float, float]]]:
    """Of each kind of step: the longest stall, and the time until it was in force, in ms."""
    dispatcher = Dispatcher()
    settings = Settings(
        [RequestClass("read", 300_000, 1_500_000)], endpoints_on_request=True, max_poll_interval_us=60_000_000
    )
    pool = dispatcher.pools.add("", settings, 1, ConnectionPool(10_000_000, 1_000_000, 100))
    told: list[int] = []

    def listed(event: EndpointsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        dispatcher.pools.update_endpoints(pool, event, addresses)
        told.append(event.version)

    discovery = Discovery(("127.0.0.1", port), Directory(["a"], ["m"]), listed)
    dispatcher.discovery = discovery
    dispatcher.start(pool)
    clock = Clock()
    found: dict[str, list[tuple[float, float]]] = {}
    async with asyncio.timeout(PATIENCE_S * CHANGES):
        await asyncio.to_thread(go.stdout.readline)
        for version, (name, _, count) in enumerate(steps(servers), 1):
            await asyncio.sleep(FREEZE_DELAY_S + 0.2 if version == 2 else 0.1)
            clock.longest, began = 0.0, time.perf_counter()
            go.stdin.write(b"\n")
            go.stdin.flush()
            while not (told and told[-1] == version and not pool.feed.has_pending):
                await asyncio.sleep(TICK_S)
            took = time.perf_counter() - began
            if len(pool.serving) != count or pool.balancer.endpoints.keys() != pool.serving:
                raise SystemExit(f"{name}: {len(pool.serving)} servers are in use, {count} were expected")
            await asyncio.sleep(0.05)
            found.setdefault(name, []).append((clock.longest * 1e3, took * 1e3))
    discovery.stop()
    return found


def main() -> int:
    """Measure a long list and its changes and print the table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--serve", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.serve:
        asyncio.run(serve(options.servers))
        return 0
    me = ("-m", "benchmarks.long_lists", "--serve", "--servers", str(options.servers))
    with child(*me, cpu=1, stdin=True) as process:
        assert process.stdout is not None
        port = int(process.stdout.readline())
        pin(0)
        found = asyncio.run(measure(options.servers, port, process))
    rows: list[list[object]] = [
        [name, max(stall for stall, _ in each), max(took for _, took in each)] for name, each in found.items()
    ]
    table([f"{options.servers:,} servers", "longest stall, ms", "in force after, ms"], rows)
    figures: dict[str, object] = {
        name: {
            "stall_ms": round(max(stall for stall, _ in each), 1),
            "in_force_ms": round(max(took for _, took in each), 1),
        }
        for name, each in found.items()
    }
    bars = [
        Bar(f"{name}: stall, ms", max(stall for stall, _ in each), MOST_STALL_MS)
        for name, each in found.items()
    ]
    return close("long_lists", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
