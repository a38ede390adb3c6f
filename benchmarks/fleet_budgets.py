"""A budget for a whole fleet that is never overspent: `python -m benchmarks.fleet_budgets`.

Real holders, acceptors and planners on a virtual clock (fakes/lease_model.py), each with one of its own
speed. Told for each case: the most that was in use at one moment beside the budget; what was let in, of what
one who knows all would have let in of the same requests, and the same for fixed parts by number; messages a
second of one instance. Bars: never over budget, in any case; the share let in under moving demand and in a
split; no history that the model checker finds.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections.abc import Callable
from dataclasses import dataclass, replace

from benchmarks.report import Bar, chosen, close, table
from fakes.lease_checker import LIMITS, Checker, SearchResult
from fakes.lease_model import Model, Plan
from plovertrail.decisions.leases import LeaseRules
from plovertrail.simulation.clock import SECOND_US

SETTLE_S = 9.0
LEASE_US, HOLD_US = 6 * SECOND_US, SECOND_US
BASE = Plan(rules=LeaseRules(480, 96, LEASE_US, HOLD_US), requests_per_s=3_000.0)
MOVING = replace(BASE, even_demand=False, demand_shift_s=5.0)
SMALL = replace(BASE, rules=LeaseRules(96, 48, LEASE_US, HOLD_US), requests_per_s=600.0)
FEWER = replace(BASE, rules=LeaseRules(12, 12, LEASE_US, HOLD_US), requests_per_s=75.0)
MOVING_SHARE, SPLIT_SHARE = 0.9, 0.7


def nothing(model: Model) -> None:
    """No fault."""


def halves(model: Model) -> None:
    """Three of the five acceptors in one half, two in the other."""
    model.split([[0, 2, 4, *range(5, 24, 2)], [1, 3, *range(6, 24, 2)]])


def killed(model: Model) -> None:
    """Seven in ten, with two acceptors among them."""
    down = range(3, 20)
    model.kill(down)
    model.run(0.5)
    model.start(down)


def all_killed(model: Model) -> None:
    """All instances are killed at once, and started half a second later."""
    model.kill(range(24))
    model.run(0.5)
    model.start(range(24))


def stood_still(model: Model) -> None:
    """Six instances, an acceptor among them, for longer than a lease."""
    model.pause(range(4, 10))
    model.run(8.0)
    model.resume(range(4, 10))


@dataclass(frozen=True)
class Case:
    """A plan with a fault in it, and the least part of the budget that must be let in."""

    name: str
    plan: Plan
    fault: Callable[[Model], None] = nothing
    least: float = 0.0  # of what one who knows all lets in


CASES = (
    Case("even demand", BASE, least=MOVING_SHARE),
    Case("demand moves each 5 s", MOVING, least=MOVING_SHARE),
    Case("demand moves each second", replace(MOVING, demand_shift_s=1.0)),
    Case("demand moves, 30 % lost", replace(MOVING, loss=0.3)),
    Case("twice what there is is asked for", replace(BASE, requests_per_s=9_600.0)),
    Case("a fifth of it: 96 for 24", SMALL),
    Case("more instances than permits", FEWER),
    Case("split in halves", BASE, halves, SPLIT_SHARE),
    Case("split in halves, 30 % lost", replace(BASE, loss=0.3), halves),
    Case("7 of 10 killed", BASE, killed),
    Case("all killed", BASE, all_killed),
    Case("six stood still for 8 s", BASE, stood_still),
    Case("100 instances", replace(BASE, instances=100, rules=LeaseRules(480, 240, LEASE_US, HOLD_US))),
)


@dataclass(frozen=True)
class Told:
    """The figures of one play: the most let in at once, all of it, and the messages that it took."""

    worst: int
    total: int
    share: float
    fixed: float
    messages: float


def played(job: tuple[Case, float, int]) -> Told:
    """Play one case in the model, for a pool of worker processes."""
    case, seconds, seed = job
    model = Model(case.plan, seed)
    model.run(SETTLE_S)
    model.reset_counts()
    sent = sum(member.sent for member in model.members)
    began_us = model.clock.now_us
    case.fault(model)
    model.run(seconds)
    took_s = (model.clock.now_us - began_us) / SECOND_US
    messages = (sum(member.sent for member in model.members) - sent) / len(model.members) / took_s
    return Told(
        model.peak_in_use,
        case.plan.rules.total,
        model.admitted / max(1, model.ideal),
        model.fixed / max(1, model.ideal),
        messages,
    )


def explored(job: tuple[str, int]) -> SearchResult:
    """Search the states of one set of limits, for a pool of worker processes."""
    return Checker(LIMITS[job[0]]).explore(12, job[1])


def main() -> int:
    """Run the cases and the model checker, and print their tables; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.fleet_budgets")
    parser.add_argument("--seconds", type=float, default=10.0, help="of each play, after it has settled")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", type=int, help="one case only, by its place")
    parser.add_argument("--states", type=int, default=200_000, help="of the model checker, in each part")
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    cases = chosen(list(CASES), asked.case)
    with multiprocessing.Pool(asked.jobs) as pool:
        told = pool.map(played, [(case, asked.seconds, asked.seed) for case in cases], chunksize=1)
        found = pool.map(explored, [(name, asked.states) for name in LIMITS], chunksize=1)
    bars = []
    for case, each in zip(cases, told, strict=True):
        bars.append(Bar(f"{case.name}: in use at one moment, of the budget", each.worst / each.total, 1.0))
        if case.least:
            bars.append(
                Bar(
                    f"{case.name}: not let in, of what one who knows all lets in",
                    round(1.0 - each.share, 4),
                    round(1.0 - case.least, 4),
                )
            )
    table(
        ["case", "most in use", "budget", "let in, of one who knows all", "fixed parts", "messages/s"],
        [
            [case.name, each.worst, each.total, each.share, each.fixed, each.messages]
            for case, each in zip(cases, told, strict=True)
        ],
    )
    for name, history in zip(LIMITS, found, strict=True):
        print(
            f"checked: {name}: {history.states:,} states, to {history.depth} steps, {history.seconds:.0f} s"
        )
        bars.append(Bar(f"histories that overspend: {name}", float(bool(history.history)), 0.0))
    figures: dict[str, object] = {
        case.name: {
            "worst": each.worst,
            "budget": each.total,
            "share": round(each.share, 3),
            "fixed": round(each.fixed, 3),
            "messages_per_s": round(each.messages, 1),
        }
        for case, each in zip(cases, told, strict=True)
    }
    return close("fleet_budgets", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
