"""Calls at discovery when all watches end at one moment: `python -m benchmarks.capacity.lost_watches`.

A real load balancer for each sidecar, on a virtual clock: each is told that its subscription has broken or
fallen silent, and asked when it calls. Counted: the calls of the worst second, of all sidecars together. The
bar, at the planned size: the stated rate, or what a program without one reckons with for each machine.
"""

from __future__ import annotations

import argparse
import sys
from collections import Counter
from dataclasses import dataclass

from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from benchmarks.report import Bar, close, table
from plovertrail.decisions.actions import Subscribe
from plovertrail.decisions.events import Endpoint, EndpointsUpdated, ListKind, TimerFired
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.poll_schedule import DEFAULT_DISCOVERY_RATE_PER_S
from plovertrail.decisions.settings import RequestClass, Settings

SIZES = (450, 900, TARGET.sidecars, 2 * TARGET.sidecars, 5 * TARGET.sidecars)
SHORT_SIZES = (20, 40, 80, 160)
SECOND_US = 1_000_000
BREAKS_AT_US = 100 * SECOND_US
STATED_PER_S = 500.0  # docs/large-fleets.md reckons with so many calls a second


@dataclass(frozen=True, slots=True)
class Case:
    """How the watches end, and the rate that discovery is said to bear; 0: none is stated."""

    name: str
    silent: bool
    calls_per_s: float


CASES = (
    Case("broken, no rate stated", False, 0.0),
    Case("silent, no rate stated", True, 0.0),
    Case("broken, 500 a second stated", False, STATED_PER_S),
    Case("silent, 500 a second stated", True, STATED_PER_S),
)


def settings(case: Case, sidecars: int) -> Settings:
    """Of every sidecar; the list must be asked for each 10 s, and a drain holds 2 s after word."""
    kind = RequestClass("call", latency_objective_us=SECOND_US, deadline_us=SECOND_US)
    return Settings(
        [kind],
        instances=sidecars,
        endpoints_on_request=True,
        max_poll_interval_us=10 * SECOND_US,
        drain_grace_us=2 * SECOND_US,
        discovery_rate_per_s=case.calls_per_s,
    )


def called_after_us(case: Case, sidecars: int, seed: int) -> int:
    """When one sidecar calls, counted from the end of its watch."""
    balancer = LoadBalancer(settings(case, sidecars), seed, 0)
    balancer.handle(1_000, EndpointsUpdated(ListKind.FULL, [Endpoint(1)]))
    balancer.handle(BREAKS_AT_US, EndpointsUpdated(ListKind.FAILED, watch_stalled=case.silent))
    while True:
        at_us = max(BREAKS_AT_US + 1, balancer.timers.armed_us)
        actions = balancer.handle(at_us, TimerFired(0))
        if any(isinstance(action, Subscribe) for action in actions):
            return at_us - BREAKS_AT_US


def worst_second(case: Case, sidecars: int, repeat: int) -> int:
    """Calls of the worst second, of all sidecars together."""
    seeds = range(repeat * sidecars, (repeat + 1) * sidecars)
    return max(Counter(called_after_us(case, sidecars, seed) // SECOND_US for seed in seeds).values())


class LostWatches:
    """Calls of all sidecars at discovery."""

    name = "lost watches"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """The worst second against the number of sidecars."""
        sizes = SHORT_SIZES if short else SIZES
        slopes = tuple(
            Slope(
                self.name,
                Axis.SIDECARS,
                Unit.MESSAGES_PER_S,
                Situation.REGIONS_JOIN,
                tuple(
                    Sample(size, tuple(float(worst_second(case, size, repeat)) for repeat in range(repeats)))
                    for size in sizes
                ),
                case.name,
            )
            for case in CASES
        )
        figures = tuple(
            Figure(f"{slope.note}: worst second at {sample.size:.0f}", sample.median, "calls")
            for slope in slopes
            for sample in slope.samples
        )
        bars = tuple(
            Bar(f"{case.name}: worst second at {sizes[2]}", slope.samples[2].median, borne_per_s(case))
            for case, slope in zip(CASES, slopes, strict=True)
        )
        return RoleResult(slopes=slopes, figures=figures, bars=bars)


def borne_per_s(case: Case) -> float:
    """Calls a second that all machines of discovery bear together, as far as it is said."""
    return case.calls_per_s or DEFAULT_DISCOVERY_RATE_PER_S * TARGET.control_machines


def main() -> int:
    """Print the table; the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity.lost_watches")
    parser.add_argument("--short", action="store_true", help="small sizes only")
    parser.add_argument("--repeats", type=int, default=3)
    arguments = parser.parse_args()
    result = LostWatches().measure(arguments.short, arguments.repeats)
    sizes = [int(sample.size) for sample in result.slopes[0].samples]
    print("calls at discovery in the worst second after all watches ended, median and spread\n")
    rows = [
        [slope.note, *(f"{sample.median:.0f} ({sample.spread:.0f})" for sample in slope.samples)]
        for slope in result.slopes
    ]
    table(["", *map(str, sizes)], rows)
    figures: dict[str, object] = {figure.name: round(figure.value, 1) for figure in result.figures}
    return close("capacity.lost_watches", figures, result.bars)


if __name__ == "__main__":
    sys.exit(main())
