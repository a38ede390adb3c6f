"""What a request costs the load balancer as endpoint lists grow: `python -m benchmarks.decision_cost`.

A load balancer on a virtual clock, with 15 to 10,000 endpoints: requests arrive, are sent, and answered after
a random time; timers fire when they are due. Calm: 60 a second, answered in 40 ms. Busy: 2,000 a second, so
that many endpoints are needed at once. Short: every endpoint is ejected or full, so that most are rejected.
In turns with the reference, which goes through all endpoints for each request (reference_balance.py), in one
run, round by round; microseconds in the load balancer for a request with all its events, the median. Bars:
10,000 endpoints at most 1.5 times 15; 15 at most half of the reference's.
"""

from __future__ import annotations

import argparse
import gc
import heapq
import random
import statistics
import sys
import time
from collections.abc import Callable
from typing import Protocol

from benchmarks import reference_balance
from benchmarks.report import Bar, close, table
from plovertrail.decisions.actions import Action, Send, SetTimer
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.settings import RequestClass, Settings

SIZES = (15, 150, 1_500, 10_000)
ROUNDS = 40  # short plays in turn meet the machine in the same state
# arrivals a second and the mean response time; in a shortage, arrivals a second for each endpoint
LOADS = {"calm": (60.0, 40_000.0), "busy": (2_000.0, 40_000.0), "short": (20.0, 800_000.0)}
WARM_UP_REQUESTS = 300
SLOWEST_RUN_US = 3e6  # what the beginning of the reference may take on a long list
LONGEST_PLAY_US = 5e4


class Balancer(Protocol):
    """A load balancer, the present one or the reference."""

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """Handle an event at a time in us, and return the actions."""


Make = Callable[[Settings, int, int], Balancer]
MODULES: dict[str, Make] = {"module": LoadBalancer, "reference": reference_balance.LoadBalancer}


class Run:
    """One load balancer, its clock and its pending events."""

    def __init__(self, make: Make, endpoint_count: int, load: str, seed: int) -> None:
        self.rng = random.Random(seed)
        arrivals_per_s, self.response_us = LOADS[load]
        self.gap_us = 1e6 / (arrivals_per_s * endpoint_count if load == "short" else arrivals_per_s)
        self.now_us = 1_000_000
        kind = RequestClass("read", 300_000, 1_500_000, late_weight=0.3)
        settings = Settings([kind], max_attempts=3, cancel=True, max_retry_after_us=1_000_000)
        self.balancer = make(settings, seed, self.now_us)
        self.events: list[tuple[int, int, Event]] = []
        self.number = 0
        self.spent_ns = 0  # in the load balancer
        self.attempts: dict[int, int] = {}
        endpoints = [Endpoint(endpoint_id) for endpoint_id in range(1, endpoint_count + 1)]
        self.handle_event(EndpointsUpdated(ListKind.FULL, endpoints))

    def handle_event(self, event: Event) -> None:
        """Handle an event, measure the time that it takes, and carry out the actions."""
        began = time.perf_counter_ns()
        actions = self.balancer.handle(self.now_us, event)
        self.spent_ns += time.perf_counter_ns() - began
        for action in actions:
            if isinstance(action, Send):
                number = self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                took_us = int(self.rng.expovariate(1 / self.response_us))
                self.schedule(
                    took_us,
                    AttemptEnded(action.request, number, action.endpoint_id, Outcome.OK, took_us, True),
                )
            elif isinstance(action, SetTimer):
                self.schedule(action.at_us - self.now_us, TimerFired(action.token))

    def schedule(self, after_us: int, event: Event) -> None:
        """Schedule an event after `after_us`."""
        self.number += 1
        heapq.heappush(self.events, (self.now_us + max(0, after_us), self.number, event))

    def play(self, requests: int) -> float:
        """Return the microseconds in the load balancer for each request."""
        before_ns = self.spent_ns
        arrives_us = float(self.now_us)
        for _ in range(requests):
            arrives_us += self.rng.expovariate(1 / self.gap_us)
            while self.events and self.events[0][0] <= arrives_us:
                at_us, _, event = heapq.heappop(self.events)
                self.now_us = max(self.now_us, at_us)
                self.handle_event(event)
            self.now_us = max(self.now_us, int(arrives_us))
            self.number += 1
            self.handle_event(RequestArrived(self.number, self.now_us + 1_500_000))
        return (self.spent_ns - before_ns) / requests / 1e3


def prepared(load: str) -> dict[tuple[str, int, str], tuple[Run, float]]:
    """Return runs past their warm-up, with the microseconds that a request took there."""
    runs: dict[tuple[str, int, str], tuple[Run, float]] = {}
    for size in SIZES:
        # a shortage begins when all endpoints are busy
        warm_up = 3 * size if load == "short" else WARM_UP_REQUESTS
        for name, make in MODULES.items():
            run = Run(make, size, load, seed=1)
            took = run.play(min(warm_up, WARM_UP_REQUESTS))
            if name == "reference" and took * warm_up > 2 * SLOWEST_RUN_US:
                continue  # it would take minutes; shown as missing
            if warm_up > WARM_UP_REQUESTS:
                run.play(warm_up - WARM_UP_REQUESTS)
            runs[load, size, name] = run, took
    return runs


def measure(requests: int) -> dict[tuple[str, int, str], float]:
    """Return the microseconds of a request by load, size and module.

    All runs of a load take turns in each round, as the speed of a machine changes within minutes.
    """
    found: dict[tuple[str, int, str], list[float]] = {}
    for load in LOADS:
        runs = prepared(load)
        gc.collect()
        gc.freeze()  # as the program does; otherwise each run would pay for the others' lists
        for _ in range(ROUNDS):
            for key, (run, took) in runs.items():
                count = max(20, min(requests // ROUNDS, int(LONGEST_PLAY_US / took)))
                found.setdefault(key, []).append(run.play(count))
        del runs
        gc.unfreeze()
    return {key: statistics.median(taken) for key, taken in found.items()}


def main() -> int:
    """Measure both and print the table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=16_000, help="of each run, over all rounds")
    options = parser.parse_args()
    found = measure(options.requests)
    rows: list[list[object]] = []
    for load, size, name in found:
        if name == "module":
            ours, before = found[load, size, name], found.get((load, size, "reference"), 0.0)
            beside = [f"{before:.0f}", ours / before] if before else ["too slow", ""]
            rows.append([f"{load}, {size:,} servers", f"{ours:.0f}", *beside])
    table(["", "us a request", "reference", "ratio"], rows)
    bars = []
    for load in LOADS:
        least = found[load, SIZES[0], "module"]
        bars.append(Bar(f"{load}: 10,000 servers beside 15", found[load, SIZES[-1], "module"] / least, 1.5))
        bars.append(Bar(f"{load}: 15 beside the reference", least / found[load, SIZES[0], "reference"], 0.5))
    figures: dict[str, object] = {
        f"{load}, {size}, {name}": round(took, 1) for (load, size, name), took in found.items()
    }
    return close("decision_cost", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
