"""Limits by key, alone: `python -m benchmarks.rate_limits_cost`.

Time a request under none, one and five limiters, and over a limit; bytes that a full table holds; state after
a fifth of so many made-up names and after all of them. Bars: the state flat; no more keys than the table has;
while the table holds all that come in the time that a key is in use, no honest client beside them is refused.
"""

from __future__ import annotations

import argparse
import itertools
import random
import statistics
import sys
import time
import tracemalloc

from benchmarks.report import Bar, close, table
from plovertrail.decisions.rate_limits import (
    Allowance,
    KeyedBy,
    LimitExceeded,
    RateLimiter,
    RateLimiterSettings,
    admit,
)

ROUNDS = 7
HONEST = 1000  # clients that ask once a second, at half their rate
SETTLED = 0.2


def limiter(rate: float, by: KeyedBy = KeyedBy.CLIENT, keys: int = 4096) -> RateLimiter:
    """A limiter with `rate` requests a second, and a burst of one second."""
    settings = RateLimiterSettings("it", by, Allowance(rate, max(1, int(rate)), 1000), max_keys=keys)
    return RateLimiter(settings, random.Random(1).random)


def cost_us(limiters: list[RateLimiter], requests: int) -> float:
    """CPU of one request, its permits given back: the median of the rounds."""
    found = []
    clients = [f"192.0.2.{number}" for number in range(250)]
    clock = itertools.count(1_000_000, 100)
    for _ in range(ROUNDS):
        began = time.process_time()
        for number in range(requests):
            now_us = next(clock)
            permits = admit(limiters, "", clients[number % 250], now_us)
            if not isinstance(permits, LimitExceeded):
                for permit in permits:
                    permit.limiter.ended(permit, now_us)
        found.append((time.process_time() - began) / requests * 1e6)
    return statistics.median(found)


def full_table(keys: int) -> float:
    """Bytes of one key, where all are in use."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    limit = limiter(0.001, keys=keys)
    for number in range(keys):
        admit([limit], "", f"client{number}", 0)
    held = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(limit.keys) == keys
    return held / keys


def flooded(names: int, flood_per_s: int) -> tuple[int, int, int, float]:
    """Made-up names, and honest clients among them: bytes after a fifth and after all, keys, and the part of
    honest requests that were refused."""
    limit = limiter(2.0)
    tracemalloc.start()
    first = honest = refused = 0
    for number in range(names):
        now_us = number * 1_000_000 // flood_per_s
        admitted = admit([limit], "", f"made up {number}", now_us)
        if not isinstance(admitted, LimitExceeded):
            limit.ended(admitted[0], now_us)
        if number % (flood_per_s // HONEST) == 0:
            found = admit([limit], "", f"honest {honest % HONEST}", now_us)
            honest += 1
            if isinstance(found, LimitExceeded):
                refused += 1
            else:
                limit.ended(found[0], now_us)
        if number == int(names * SETTLED):
            first = tracemalloc.get_traced_memory()[0]
    last = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return first, last, len(limit.keys), refused / max(1, honest)


def main() -> int:
    """Measure requests with no, one and five limiters and print the table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=50_000, help="of each round")
    parser.add_argument("--names", type=int, default=1_000_000, help="made up")
    options = parser.parse_args()
    costs = {
        "none": cost_us([], options.requests),
        "one": cost_us([limiter(1e6)], options.requests),
        "five": cost_us([limiter(1e6) for _ in range(5)], options.requests),
        "over one": cost_us([limiter(0.01)], options.requests),
    }
    table(["limiters", "us a request"], [[name, cost] for name, cost in costs.items()])
    each = full_table(4096)
    print(f"a full table of 4,096: {each:.0f} bytes a key")
    floods = {rate: flooded(options.names, rate) for rate in (5_000, 50_000)}
    table(
        ["made-up names a second", "bytes after a fifth", "at the end", "keys", "honest refused, %"],
        [[rate, *found[:3], 100 * found[3]] for rate, found in floods.items()],
    )
    bars = [
        Bar(f"state at the end beside a fifth of the way, {rate} names/s", last / first, 1.1)
        for rate, (first, last, _, _) in floods.items()
    ]
    bars.append(Bar("honest refused, percent, 5000 names/s", 100 * floods[5_000][3], 0))
    bars += [Bar(f"keys, {rate} names/s", found[2], 4096) for rate, found in floods.items()]
    refused = {str(rate): found[3] for rate, found in floods.items()}
    return close("rate_limits_cost", {"us": costs, "bytes_a_key": each, "honest_refused": refused}, bars)


if __name__ == "__main__":
    sys.exit(main())
