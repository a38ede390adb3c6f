"""How many lookups a second a table of 10, 1,000 and 10,000 routes gives: `python -m benchmarks.routes`.

Three tables of each size: prefixes below one host, one prefix below each host, and regular expressions of one
host. Requests are drawn evenly over the routes with a fixed seed, one in eight takes no route. The bar: a
lookup among 10,000 costs at most 3 times one among 10.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from collections.abc import Callable

from benchmarks.report import Bar, close, table
from plovertrail.decisions.routes import Head, PathKind, Route, RouteTable

SIZES = (10, 1_000, 10_000)
DIFFERENT = 2_000  # requests, asked over and over
ROUNDS = 5


def prefixes(count: int) -> list[Route]:
    """Routes by prefixes of the path, on one host."""
    return [
        Route(str(n), ("p",), "c", hosts=("shop.example",), path=f"/area{n % 50}/shelf{n}")
        for n in range(count)
    ]


def hosts(count: int) -> list[Route]:
    """Routes by hosts, one for each."""
    return [Route(str(n), ("p",), "c", hosts=(f"h{n}.example",), path="/shop") for n in range(count)]


def regexes(count: int) -> list[Route]:
    """Routes by regular expressions of the path, on one host."""
    return [
        Route(
            str(n),
            ("p",),
            "c",
            hosts=("shop.example",),
            path_kind=PathKind.REGEX,
            path=rf"/area{n % 50}/shelf{n}/[a-z]+/\d+",
        )
        for n in range(count)
    ]


def requests(kind: str, count: int, rng: random.Random) -> list[Head]:
    """Requests for routes of one kind drawn at random; one in eight matches none."""
    found = []
    for number in range(DIFFERENT):
        n = rng.randrange(count)
        path = "/shop/comic/7" if kind == "hosts" else f"/area{n % 50}/shelf{n}/comic/7"
        if number % 8 == 7:
            path = "/nowhere/comic/7"
        host = f"h{n}.example" if kind == "hosts" else "shop.example"
        found.append(Head("GET", host, path, b"", {}))
    return found


def measure(routes: RouteTable, asked: list[Head], seconds: float) -> float:
    """Microseconds a lookup: the median of the rounds."""
    rounds = []
    for _ in range(ROUNDS):
        count, began = 0, time.process_time()
        while (took := time.process_time() - began) < seconds / ROUNDS:
            for head in asked:
                routes.lookup(head)
            count += len(asked)
        rounds.append(took / count * 1e6)
    return statistics.median(rounds)


def main() -> int:
    """Measure tables of several kinds and sizes and print the figures; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=18.0, help="for all tables together")
    options = parser.parse_args()
    kinds: dict[str, Callable[[int], list[Route]]] = {
        "prefixes": prefixes,
        "hosts": hosts,
        "regexes": regexes,
    }
    rows: list[list[object]] = []
    costs: dict[str, dict[int, float]] = {}
    for kind, make in kinds.items():
        for count in SIZES:
            began = time.process_time()
            routes = RouteTable(make(count))
            built_ms = (time.process_time() - began) * 1e3
            asked = requests(kind, count, random.Random(count))
            wrong = [
                head
                for number, head in enumerate(asked)
                if (routes.lookup(head).route is None) != (number % 8 == 7)
            ]
            if wrong:
                raise SystemExit(f"a lookup went wrong: {wrong[0]}")
            cost = measure(routes, asked, options.seconds / 9)
            costs.setdefault(kind, {})[count] = cost
            rows.append([kind, count, f"{1e6 / cost:,.0f}", cost, f"{built_ms:.0f}"])
    table(["table", "routes", "lookups/s", "us each", "built ms"], rows)
    bars = [
        Bar(f"{kind}: 10,000 routes beside 10", costs[kind][10_000] / costs[kind][10], 3.0) for kind in kinds
    ]
    figures: dict[str, object] = {
        kind: {str(n): round(cost, 2) for n, cost in found.items()} for kind, found in costs.items()
    }
    return close("routes", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
