"""Small tenants beside a flood: `python -m benchmarks.fair_queue`.

`plovertrail serve` without `fair` and with it, one after the other, before servers of a fixed speed: twenty
small tenants that ask for half of what there is, and one whose clients ask again at once and come back when
they are told to. Then a fair queue alone, under a million made-up names. Bars: the worst small tenant's
service at most five points under what it asks for; the sum of service at least 0.97 of the run without; of
the flood's clients that came back when told, at least four in five served; state flat over the names;
nothing late, nothing unanswered.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import random
import sys
import tempfile
import time
import tracemalloc
from collections import Counter
from pathlib import Path

from benchmarks.processes import child, pin, wait_for
from benchmarks.report import Bar, close, table
from fakes.ports import free_port
from fakes.web import OK, Arrival, Line, WebServer
from plovertrail.decisions.fair_queue import FairQueue, FairQueueRequest, FairQueueSettings

SERVERS, LANES, WORK_S = 4, 2, 0.04  # 200 requests a second
SMALL, SMALL_A_SECOND = 20, 5.0
FLOOD_CLIENTS = 300
DEADLINE_S = 1.2
SLACK_S = 0.15
WARM_S = 3.0
SETTLED = 0.2  # of the names, after which state is measured the first time
FILE = """\
[listeners.web]
address = "127.0.0.1:{port}"
max_connections = 2000
[classes.buy]
effect = "unsafe"
aim = "200ms"
deadline = "1200ms"
[pools.main]
servers = [{servers}]
retry_after = "10s"
{fair}
[[routes]]
name = "all"
class = "buy"
pools = ["main"]
tenant = "header:X-Tenant"
{tenants}
"""


class Play:
    """One daemon under the load."""

    def __init__(self, fair: bool, seconds: float) -> None:
        self.fair = fair
        self.seconds = seconds
        self.rng = random.Random(1)
        self.numbers = itertools.count()
        self.lanes = [asyncio.Semaphore(LANES) for _ in range(SERVERS)]
        self.servers = [WebServer(self.script, keep=False) for _ in range(SERVERS)]
        self.begins = self.ends = 0.0
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.late = self.missing = 0
        self.came_back = self.let_in = 0

    async def script(self, server: WebServer, arrival: Arrival, line: Line) -> bytes:
        """Answer a request after WORK_S, in the server's own slots."""
        async with self.lanes[self.servers.index(server)]:
            await asyncio.sleep(WORK_S)
        return OK

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, tenant: str, told: bool = False
    ) -> tuple[int, float]:
        """One request: its status, and when to come back; raises ConnectionError and the like."""
        began = time.monotonic()
        writer.write(
            f"POST /buy HTTP/1.1\r\nHost: a\r\nX-Tenant: {tenant}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(DEADLINE_S + 2):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                await reader.readexactly(int(head.partition("content-length: ")[2].split("\r\n")[0]))
        except TimeoutError:
            self.missing += 1
            raise ConnectionError from None
        status = int(head[9:12])
        if began > self.begins:
            self.late += time.monotonic() - began > DEADLINE_S + SLACK_S
            self.asked[tenant] += 1
            self.served[tenant] += status == 200
            self.came_back += told
            self.let_in += told and status == 200
        after = head.partition("retry-after: ")[2].split("\r\n")[0]
        return status, float(after or 0)

    async def small(self, port: int, tenant: str) -> None:
        """Asks at its own pace, whatever comes of it, each time on a connection that is free."""
        idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

        async def once() -> None:
            pair = idle.pop() if idle else await asyncio.open_connection("127.0.0.1", port)
            try:
                await self.ask(*pair, tenant)
                idle.append(pair)
            except (ConnectionError, asyncio.IncompleteReadError):
                pair[1].close()

        tasks = set()
        while time.monotonic() < self.ends:
            await asyncio.sleep(self.rng.expovariate(SMALL_A_SECOND))
            task = asyncio.ensure_future(once())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
        await asyncio.gather(*tasks)

    async def flood(self, port: int, number: int) -> None:
        """Asks again at once when it was served, and when it was told to, if not."""
        source = f"127.0.{1 + number // 250}.{1 + number % 250}"  # a client is known by its address
        while time.monotonic() < self.ends:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(source, 0))
                told = False
                while time.monotonic() < self.ends:
                    status, after_s = await self.ask(reader, writer, "flood", told)
                    told = status == 503 and after_s > 0
                    await asyncio.sleep(after_s if told else 0.01)
                writer.close()
            except (ConnectionError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)

    async def play(self) -> None:
        """Start the servers and a daemon, and send the load of all tenants to it."""
        for server in self.servers:
            await server.start()
        port = free_port()
        names = [*(f"small{n}" for n in range(SMALL)), "flood"]
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "site.toml"
            path.write_text(
                FILE.format(
                    port=port,
                    fair="fair = {}" if self.fair else "",
                    servers=", ".join(
                        f'{{ id = "s{n}", address = "{server.address}" }}'
                        for n, server in enumerate(self.servers)
                    ),
                    tenants="".join(f"[tenants.{name}]\nallowance_per_s = 10\n" for name in names),
                )
            )
            with child("-m", "plovertrail.cli", "serve", str(path), cpu=2):
                await asyncio.to_thread(wait_for, port)
                self.begins = time.monotonic() + WARM_S
                self.ends = self.begins + self.seconds
                await asyncio.gather(
                    *(self.small(port, name) for name in names[:-1]),
                    *(self.flood(port, number) for number in range(FLOOD_CLIENTS)),
                )
        for server in self.servers:
            server.stop()

    def worst_small(self) -> float:
        """The share of its requests that the worst served small tenant had served."""
        return min(self.served[f"small{n}"] / max(1, self.asked[f"small{n}"]) for n in range(SMALL))


def state_bytes(names: int) -> tuple[int, int]:
    """Bytes that a fair queue holds after a fifth of so many made-up names, and after all of them."""
    tracemalloc.start()
    queue = FairQueue(FairQueueSettings(), 0, random.Random(1).random)
    first = 0
    for number in range(names):
        now_us = number * 100
        for_us = now_us + 1_000_000
        queue.arrived(
            FairQueueRequest(number, f"name{number}", f"client{number}", 1.0, for_us),
            now_us,
            len(queue.in_flight) < 8,
        )
        queue.expired(now_us)
        if len(queue.in_flight) >= 8 and number % 20 == 0:
            queue.ended(next(iter(queue.in_flight)), 16_000, now_us)
            queue.next(now_us)
        if number == int(names * SETTLED):
            first = tracemalloc.get_traced_memory()[0]
    last = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return first, last


def main() -> int:
    """Run both plays and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=30.0, help="of each play")
    parser.add_argument("--names", type=int, default=1_000_000)
    options = parser.parse_args()
    pin(1)
    plays = {}
    for fair in (False, True):
        plays[fair] = Play(fair, options.seconds)
        asyncio.run(plays[fair].play())
    first, last = state_bytes(options.names)
    off, on = plays[False], plays[True]
    rows: list[list[object]] = [
        ["worst small tenant served", off.worst_small(), on.worst_small()],
        [
            "small tenants, requests served",
            *(sum(each.served[f"small{n}"] for n in range(SMALL)) for each in (off, on)),
        ],
        ["flood, requests served", off.served["flood"], on.served["flood"]],
        ["flood, requests", off.asked["flood"], on.asked["flood"]],
        ["came back when told", off.came_back, on.came_back],
        ["of these served", *(each.let_in / max(1, each.came_back) for each in (off, on))],
        ["late", off.late, on.late],
        ["no answer", off.missing, on.missing],
    ]
    table(["", "without", "fair"], rows)
    print(
        f"state: {first} bytes after {int(options.names * SETTLED):,} made-up names, {last} after "
        f"{options.names:,}"
    )
    whole = {each: sum(each.served.values()) for each in (off, on)}
    bars = [
        Bar("worst small tenant, points under what it asks for", 100 * (1 - on.worst_small()), 5),
        Bar("sum of service lost, percent", 100 * max(0.0, 1 - whole[on] / whole[off]), 3),
        Bar("came back when told and not served, percent", 100 * (1 - on.let_in / max(1, on.came_back)), 20),
        Bar("late or no answer", on.late + on.missing, 0),
        Bar("state at the end beside a fifth of the way", last / first, 1.1),
    ]
    figures: dict[str, object] = {str(row[0]): row[1:] for row in rows}
    return close("fair_queue", figures | {"state": [first, last]}, bars)


if __name__ == "__main__":
    sys.exit(main())
