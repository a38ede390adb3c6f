"""How lists of servers come into force: `python -m benchmarks.membership`.

Five parts: (1) from the write of a file to its effect, with notifications and by the safety scan alone; (2)
the longest the loop stands still while one weight of 100, 1,000 and 10,000 servers changes, by a task that
wakes every millisecond; (3) requests lost while servers come and go under load; (4) a file torn in every way
for a while, and the active set after each moment; (5) kills in mid-write of the state file, a daemon
started after each.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from benchmarks.report import Bar, close, table
from fakes.ports import free_port
from fakes.web import OK, WebServer, slowly
from plovertrail.clock import clock_us
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon, freeze_heap
from plovertrail.decisions.endpoint_list import (
    EndpointList,
    EndpointListState,
    Guards,
    ListedEndpoint,
    apply_list,
)
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.lists import parse, sealed
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.disk import replace_file
from plovertrail.store.endpoint_list_records import changed_records
from plovertrail.store.snapshot_format import encode_snapshot

SIZES = (100, 1_000, 10_000)
FILE = """\
[listeners.web]
address = "127.0.0.1:{port}"
[daemon]
state_file = "{folder}/state"
[classes.buy]
effect = "unsafe"
aim = "1s"
deadline = "5s"
[pools.main]
servers_from = ["{folder}/servers.json"]
[pools.main.guards]
most_dropped = 1.0
damping = {damping}
[[routes]]
name = "all"
class = "buy"
pools = ["main"]
"""


def listing(rows: list[tuple[str, str, float]]) -> bytes:
    """A sealed JSON list of servers from rows of id, address (`host:port`) and weight."""
    servers = [{"id": ident, "address": address, "weight": weight} for ident, address, weight in rows]
    return sealed("x.json", json.dumps({"servers": servers}).encode())


def many(count: int, weight: float = 1.0) -> bytes:
    """A sealed list of `count` servers on loopback addresses; only the first one's weight is `weight`, the
    others' is 1."""
    rows = [(f"s{n}", f"127.{n >> 16}.{(n >> 8) & 255}.{n & 255}:9", 1.0) for n in range(1, count)]
    return listing([("first", "127.200.0.1:9", weight), *rows])


def put(path: Path, data: bytes) -> float:
    """Replace a file atomically; returns the `time.perf_counter()` in seconds just before the rename."""
    beside = path.with_suffix(".tmp")
    beside.write_bytes(data)
    began = time.perf_counter()
    os.replace(beside, path)
    return began


def daemon_in(folder: Path, damping: bool = True, notifications: bool = True) -> tuple[Daemon, int]:
    """Start a daemon whose only list is `servers.json` in the folder; returns it with the port of its
    listener."""
    port = free_port()
    path = folder / "site.toml"
    path.write_text(FILE.format(port=port, folder=folder, damping=str(damping).lower()))
    daemon = Daemon(load(str(path)), lists=ListReader(notifications=notifications))
    freeze_heap()  # as `serve` does
    return daemon, port


def members(daemon: Daemon) -> dict[str, ListedEndpoint]:
    """The servers in force in the daemon's pool, by id."""
    return {ident: member.listed for ident, member in daemon.pools["main"].registry.state.members.items()}


async def until(condition: Callable[[], bool]) -> None:
    """Poll a condition every millisecond; raises TimeoutError after 60 s."""
    async with asyncio.timeout(60):
        while not condition():
            await asyncio.sleep(0.001)


class Stall:
    """The longest that the loop didn't turn, in milliseconds."""

    def __init__(self) -> None:
        self.worst_ms = 0.0
        self.task = asyncio.create_task(self.tick())

    async def tick(self) -> None:
        """Measure for ever by how much a sleep of 1 ms overruns, and keep the worst in `worst_ms`; runs until
        cancelled."""
        before = time.perf_counter()
        while True:
            await asyncio.sleep(0.001)
            now = time.perf_counter()
            self.worst_ms = max(self.worst_ms, (now - before) * 1e3 - 1.0)
            before = now


async def effect(folder: Path, writes: int, notifications: bool) -> list[float]:
    """Milliseconds from each rename to the new set, with three servers."""
    path = folder / "servers.json"
    put(path, many(3))
    daemon, _ = daemon_in(folder, notifications=notifications)
    rng = random.Random(1)
    await asyncio.sleep(0.5)
    took = []
    for number in range(writes):
        weight = 2.0 + number
        began = put(path, many(3, weight))
        await until(lambda: members(daemon)["first"].weight == weight)  # noqa: B023
        took.append((time.perf_counter() - began) * 1e3)
        await asyncio.sleep(0.05 + rng.random() * 0.25)
    await daemon.stop()
    return took


async def stalls(folder: Path, count: int, changes: int) -> tuple[float, float]:
    """The longest stall and the longest way from write to effect, in milliseconds."""
    path = folder / "servers.json"
    put(path, many(count))
    daemon, _ = daemon_in(folder)
    await asyncio.sleep(1.0)
    first = daemon.pools["main"].registry
    datas = [many(count, 2.0 + number) for number in range(changes)]  # not on the loop's account
    await asyncio.sleep(0.1)
    stall, slowest = Stall(), 0.0
    for number in range(changes):
        began = await asyncio.to_thread(put, path, datas[number])
        await until(lambda: first.state.members["first"].listed.weight == 2.0 + number)  # noqa: B023
        slowest = max(slowest, (time.perf_counter() - began) * 1e3)
        await asyncio.sleep(0.5)
    worst = stall.worst_ms
    stall.task.cancel()
    await daemon.stop()
    return worst, slowest


async def churn(folder: Path, seconds: float) -> dict[str, int]:
    """Clients buy one after another while servers come and go: how each request ended."""
    path = folder / "servers.json"
    servers = [WebServer(slowly(OK, 0.005)) for _ in range(12)]
    for server in servers:
        await server.start()
    rng = random.Random(2)

    def rows(chosen: list[int]) -> bytes:
        return listing([(f"s{n}", servers[n].address, 1.0) for n in chosen])

    put(path, rows(list(range(8))))
    daemon, port = daemon_in(folder, damping=False)
    ended = {"200": 0, "503 with Retry-After": 0, "lost": 0, "other": 0, "lists": 0}
    ends = time.monotonic() + seconds

    async def client(name: int) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        while time.monotonic() < ends:
            writer.write(b"POST /buy HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
            try:
                async with asyncio.timeout(10):
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                    await reader.readexactly(length)
            except (asyncio.IncompleteReadError, ConnectionError, TimeoutError):
                ended["lost"] += 1
                return
            if head.startswith(b"HTTP/1.1 200"):
                ended["200"] += 1
            elif head.startswith(b"HTTP/1.1 503") and b"Retry-After" in head:
                ended["503 with Retry-After"] += 1
            else:
                ended["other"] += 1
            await asyncio.sleep(0.005)
        writer.close()

    async def lists() -> None:
        while time.monotonic() < ends:
            chosen = rng.sample(range(12), rng.randrange(5, 12))
            put(path, rows(chosen))
            ended["lists"] += 1
            await asyncio.sleep(0.3)

    await asyncio.gather(lists(), *(client(n) for n in range(8)))
    await daemon.stop()
    for server in servers:
        server.stop()
    return ended


async def torn(folder: Path, seconds: float) -> tuple[int, int]:
    """Torn writes, and the moments at which the active set was none that a whole file stated."""
    path = folder / "servers.json"
    wholes = [
        listing([(f"s{n}", f"127.0.0.1:{9000 + lot * 50 + n}", 1.0) for n in range(3 + lot % 5)])
        for lot in range(20)
    ]
    good = {frozenset(parse("x.json", data, "", True).endpoints) for data in wholes}
    put(path, wholes[0])
    daemon, _ = daemon_in(folder, damping=False)
    rng = random.Random(3)
    writes = invalid = 0
    ends = time.monotonic() + seconds
    while time.monotonic() < ends:
        old, new = rng.choice(wholes), rng.choice(wholes)
        cut = rng.randrange(len(new))
        torn_data = rng.choice(
            [
                new[:cut],
                new[:cut] + old[cut:],
                new + old,
                b"\xef\xbb\xbf" + new,
                b"",
                bytes(99),
                new.decode().encode("utf-16"),
                b"[" * 5000,
                new,
            ]
        )
        if rng.random() < 0.5:
            path.write_bytes(torn_data)
        else:
            put(path, torn_data)
        writes += 1
        for _ in range(4):
            await asyncio.sleep(0.002)
            invalid += frozenset(members(daemon).values()) not in good
    put(path, wholes[-1])
    last = frozenset(parse("x.json", wholes[-1], "", True).endpoints)
    await until(lambda: frozenset(members(daemon).values()) == last)
    await daemon.stop()
    return writes, invalid


def states(count: int, source: str) -> bytes:
    """The state file's bytes, with one pool of so many servers from one source."""
    entries = tuple(ListedEndpoint(f"s{n}", ("127.0.0.1", 1000 + n)) for n in range(count))
    state = apply_list(EndpointListState(started=True), EndpointList(source, entries), clock_us(), Guards())[
        0
    ]
    return encode_snapshot(
        {"main": changed_records("main", EndpointListState(), state, 0)}, "", 0, ClockReading(0, 0), bytes(8)
    )


def write_for_ever(path: str) -> None:
    """The child that is killed."""
    source = f"file:{Path(path).parent}/servers.json"
    datas = [states(20, source), states(2_000, source)]
    print("ready", flush=True)
    while True:
        for data in datas:
            replace_file(path, data)


async def kills(folder: Path, count: int) -> tuple[int, int]:
    """How many daemons, of so many killed writes, started from neither the old nor the new state. Their list
    is missing, so that they serve from what was kept."""
    state, wrong, rng = folder / "state", 0, random.Random(4)
    for _ in range(count):
        process = subprocess.Popen(
            [sys.executable, "-m", "benchmarks.membership", "--writer", str(state)], stdout=subprocess.PIPE
        )
        assert process.stdout is not None
        process.stdout.readline()
        await asyncio.sleep(0.005 + rng.random() * 0.05)
        process.send_signal(signal.SIGKILL)
        process.communicate()
        daemon, _ = daemon_in(folder)
        wrong += bool(daemon.services.store.problem) or len(members(daemon)) not in (20, 2_000)
        await daemon.stop()
    return count, wrong


def main() -> int:
    """Run all five parts, or the writing child with `--writer`, and print the figures; returns the process's
    exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0, help="of churn; the torn file has half of it")
    parser.add_argument("--kills", type=int, default=300)
    parser.add_argument("--writer", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.writer:
        write_for_ever(options.writer)
    logging.disable(logging.CRITICAL)
    writes = max(5, min(60, int(options.seconds)))
    figures: dict[str, object] = {}
    bars: list[Bar] = []
    rows: list[list[object]] = []
    for name, notified in (("with notifications", True), ("by the safety scan alone", False)):
        with tempfile.TemporaryDirectory() as folder:
            took = asyncio.run(effect(Path(folder), writes, notified))
        rows.append(
            [
                f"write to effect, {name}",
                f"median {statistics.median(took):.0f} ms",
                f"worst {max(took):.0f} ms",
            ]
        )
        figures[name] = {"median_ms": round(statistics.median(took), 1), "worst_ms": round(max(took), 1)}
        bars.append(Bar(f"write to effect, {name}, worst ms", max(took), 1000.0))
    for count in SIZES:
        with tempfile.TemporaryDirectory() as folder:
            worst, slowest = asyncio.run(stalls(Path(folder), count, 5))
        rows.append([f"one weight of {count}", f"loop still {worst:.1f} ms", f"effect {slowest:.0f} ms"])
        figures[f"servers_{count}"] = {"stall_ms": round(worst, 2), "effect_ms": round(slowest, 1)}
        bars.append(Bar(f"longest stall at {count} servers, ms", worst, 20.0))
    with tempfile.TemporaryDirectory() as folder:
        ended = asyncio.run(churn(Path(folder), options.seconds))
    rows.append([f"churn, {ended['lists']} lists", f"{ended['200']} served", f"{ended['lost']} lost"])
    figures["churn"] = ended
    bars.append(Bar("requests lost or failed in churn", ended["lost"] + ended["other"], 0.0))
    with tempfile.TemporaryDirectory() as folder:
        torn_writes, invalid = asyncio.run(torn(Path(folder), options.seconds / 2))
    rows.append(["torn file", f"{torn_writes} writes", f"{invalid} invalid sets"])
    figures["torn"] = {"writes": torn_writes, "invalid": invalid}
    bars.append(Bar("invalid sets", invalid, 0.0))
    with tempfile.TemporaryDirectory() as folder:
        killed, wrong = asyncio.run(kills(Path(folder), options.kills))
    rows.append(["kills in mid-write", str(killed), f"{wrong} mixtures"])
    figures["kills"] = {"kills": killed, "wrong": wrong}
    bars.append(Bar("starts from a mixture", wrong, 0.0))
    table(["measured", "", ""], rows)
    return close("membership", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
