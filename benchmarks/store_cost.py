"""What the store costs: `python -m benchmarks.store_cost`.

A daemon with 10,000 servers keeps its state: the longest that the loop stands still while servers drain one
by one and what is known of them is gathered, beside the same drains with no store; the share of the loop's
time that gathering has; the bytes and the time of one drain, beside a whole file of JSON (what format 1
wrote) and beside SQLite (WAL, one row a server). Bars: no turn over 5 ms more than without a store, 1 % of
the CPU.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import os
import random
import sqlite3
import statistics
import tempfile
import time
from pathlib import Path

from benchmarks.membership import Stall, daemon_in, many, members, put, until
from benchmarks.report import Bar, close, table
from plovertrail.clock import clock_us
from plovertrail.daemon.process import Daemon
from plovertrail.decisions.endpoint_list import (
    EndpointList,
    EndpointListState,
    Guards,
    ListedEndpoint,
    apply_list,
    set_drained_by_operator,
)
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.disk import replace_file
from plovertrail.store.endpoint_list_records import changed_records
from plovertrail.store.state_files import StateFiles

MOST_MS, MOST_SHARE = 5.0, 0.01


def servers(count: int) -> EndpointListState:
    """The state of a pool with this many servers."""
    entries = tuple(
        ListedEndpoint(f"s{n}", (f"127.{n >> 16}.{n >> 8 & 255}.{n & 255}", 9)) for n in range(count)
    )
    return apply_list(EndpointListState(started=True), EndpointList("file:x", entries), 1, Guards())[0]


def drains(count: int, steps: int, folder: Path) -> dict[str, tuple[float, int]]:
    """The median ms, and the bytes written, of one drain among so many servers, by three ways to keep it."""
    clocks, states = ClockReading(clock_us(), time.time_ns() // 1000), [servers(count)]
    for number in range(steps):
        states.append(set_drained_by_operator(states[-1], f"s{number}", True, 1, Guards())[0])
    found: dict[str, list[float]] = {"journal": [], "whole file": [], "sqlite": []}
    files = StateFiles(str(folder / "state"))
    files.write_snapshot({"main": changed_records("main", EndpointListState(), states[0], 0)}, 0, clocks)
    base = sqlite3.connect(folder / "base", isolation_level=None)
    base.execute("pragma journal_mode=wal")
    base.execute("pragma synchronous=full")
    base.execute("create table servers (id text primary key, row text)")
    base.executemany(
        "insert into servers values (?, ?)",
        [(ident, json.dumps(member.listed.address)) for ident, member in states[0].members.items()],
    )
    sizes = {"journal": 0, "whole file": 0, "sqlite": 4096}
    for number, (before, after) in enumerate(zip(states, states[1:], strict=False)):
        began = time.perf_counter()
        written = files.journal_bytes
        files.append(changed_records("main", before, after, 0), sync=True)
        found["journal"].append(time.perf_counter() - began)
        sizes["journal"] = files.journal_bytes - written
        began = time.perf_counter()
        whole = json.dumps(
            [[ident, *member.listed.address, member.listed.drain] for ident, member in after.members.items()]
        ).encode()
        replace_file(str(folder / "whole"), whole)
        found["whole file"].append(time.perf_counter() - began)
        sizes["whole file"] = len(whole)
        began = time.perf_counter()
        base.execute("update servers set row = ? where id = ?", ("drain", f"s{number}"))
        found["sqlite"].append(time.perf_counter() - began)
    base.close()
    return {name: (statistics.median(took) * 1e3, sizes[name]) for name, took in found.items()}


async def stands_still(daemon: Daemon, seconds: float, rng: random.Random) -> float:
    """The worst turn in ms while a server is drained by hand, and its drain ended, ten times a second."""
    stall, ends = Stall(), time.monotonic() + seconds
    names = [f"s{rng.randrange(1, len(members(daemon)))}" for _ in range(20)]
    while time.monotonic() < ends:
        name = rng.choice(names)
        daemon.drain("main", name, not members(daemon)[name].drain)
        await asyncio.sleep(0.1)
    stall.task.cancel()
    return stall.worst_ms


async def cost(count: int, seconds: float, kept: bool) -> tuple[float, float]:
    """The worst turn in ms, and gathering's share of the loop's time."""
    with tempfile.TemporaryDirectory() as folder:
        put(Path(folder) / "servers.json", many(count))
        daemon, _ = daemon_in(Path(folder), damping=False)
        if not kept:
            daemon.services.store.files = None
            daemon.services.background.remove("state")
        await until(lambda: len(members(daemon)) == count)
        await asyncio.sleep(1.0)
        rng = random.Random(1)
        for server in daemon.pools["main"].pool.balancer.endpoints.values():
            if rng.random() < 0.5:
                server.concurrency_limit, server.relative_latency = (
                    3.0,
                    0.7,
                )  # something to tell of half of them
        worst_ms = await stands_still(daemon, seconds, rng)
        work = daemon.services.background.status().get("state", {})
        await daemon.stop()
        return worst_ms, float(work.get("share", 0.0))


def main() -> int:
    """Measure the journal against whole files and print the tables; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.store_cost")
    parser.add_argument("--servers", type=int, default=10_000)
    parser.add_argument("--seconds", type=float, default=20.0)
    asked = parser.parse_args()
    logging.disable(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        ways = drains(asked.servers, 30, Path(folder))
    table(["one drain, kept by", "ms", "bytes"], [[name, ms, size] for name, (ms, size) in ways.items()])
    began_cpu = time.process_time()
    without_ms, _ = asyncio.run(cost(asked.servers, asked.seconds, False))
    without_cpu = time.process_time() - began_cpu
    began_cpu = time.process_time()
    worst_ms, share = asyncio.run(cost(asked.servers, asked.seconds, True))
    with_cpu = time.process_time() - began_cpu
    table(
        ["", "no store", "store"],
        [
            ["worst turn, ms", without_ms, worst_ms],
            ["CPU s", without_cpu, with_cpu],
            ["gathering, of the loop, 1 in 1,000", 0.0, share * 1000],
        ],
    )
    figures: dict[str, object] = {
        "servers": asked.servers,
        "drain_ms": {name: round(ms, 3) for name, (ms, _) in ways.items()},
        "drain_bytes": {name: size for name, (_, size) in ways.items()},
        "worst_turn_ms": [round(without_ms, 2), round(worst_ms, 2)],
        "share": share,
        "cpu_s": [round(without_cpu, 3), round(with_cpu, 3)],
        "cores": os.cpu_count(),
    }
    return close(
        "store_cost",
        figures,
        [
            Bar("worst turn, ms more than without a store", worst_ms - without_ms, MOST_MS),
            Bar("gathering, of the loop's time", share, MOST_SHARE),
        ],
    )


if __name__ == "__main__":
    raise SystemExit(main())
