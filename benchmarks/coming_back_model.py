"""Seven in ten instances of a large fleet come back at one moment: `python -m benchmarks.coming_back_model`.

The decision modules of 1,000 and 5,000 instances on a virtual clock (plovertrail/simulation), clients who
retry when they are refused or find nobody, servers whose answers take longer the more waits. Each case with
slow start and turns by the list (on) and without (off), on the same seed. Bars, for what is on: 95 % of the
tries served again within the time aimed at, or that of the dials that servers bear if it is longer (none
where servers thrash or the load has grown); no more clients that give up than without, by 2 %; dials at a
server within their bound in each second; nothing late.
"""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from dataclasses import dataclass

from benchmarks.report import Bar, chosen, close, table
from plovertrail.decisions import fleet_limits
from plovertrail.simulation.clients import BIN_US, ClientPlan
from plovertrail.simulation.clock import SECOND_US, START_US
from plovertrail.simulation.fleet import BINS, Fleet, FleetPlan
from plovertrail.simulation.servers import ServerPlan

FAULT_S, WARM_S = 12.0, 7.0
SERVERS, SLOTS, ANSWER_US = 20, 4, 20_000
QUEUE = 60  # at a server; what comes beyond is turned away
LOAD = 0.6  # of what the servers can do
MOST_LESS_SERVED = 0.02
SERVED_AGAIN = 0.95
WITH_STATE_S, WITHOUT_S = 2.0, 5.0
BOUNDS = fleet_limits.FleetLimits(subset_size=4, connections=400, connects_per_s=400.0)


@dataclass(frozen=True)
class Case:
    """A fault: how long instances are down, how often, and under which load they come back."""

    name: str
    down_s: float = 0.5
    with_state: bool = True
    again: int = 1  # times that they are killed, one after the other
    thrash: float = 0.0
    more: float = 1.0  # of the load from the return on


CASES = (
    Case("killed, with state"),
    Case("killed, state lost", with_state=False),
    Case("killed three times in a row", again=3),
    Case("down for 4 s, clients come again", down_s=4.0, with_state=False),
    Case("the same, servers that thrash", down_s=4.0, with_state=False, thrash=0.02),
    Case("the load is 1.4 times as much", with_state=False, thrash=0.02, more=1.4),
)


@dataclass(frozen=True)
class Told:
    """What one play came to."""

    back_s: float
    given_up: int
    asked: int
    worst_requests: float  # the worst second at a server, by its worst one before
    worst_dials: int
    most_in_work: int
    late: int
    events: int


def played(job: tuple[Case, int, bool, float, int]) -> Told:
    """Play one case in the model, for a pool of worker processes."""
    case, instances, on, after_s, seed = job
    per_s = LOAD * SERVERS * SLOTS * SECOND_US / ANSWER_US
    plan = FleetPlan(
        instances=instances,
        servers=SERVERS,
        server=ServerPlan(slots=SLOTS, answer_us=ANSWER_US, thrash=case.thrash, longest_queue=QUEUE),
        clients=ClientPlan(per_s=per_s),
        bounds=BOUNDS,
        admits=on,
        by_list=on,
    )
    fleet = Fleet(plan, seed)
    down_s = case.again * case.down_s
    fleet.clients.play(START_US + int((FAULT_S + down_s + after_s) * SECOND_US))
    fleet.play(FAULT_S)
    down = range(instances * 7 // 10)
    before = fleet.served_part(int(WARM_S) * BINS, int(FAULT_S) * BINS)
    worst_before = fleet.worst_second("requests", int(WARM_S), int(FAULT_S))
    for _ in range(case.again):
        fleet.kill(down)
        fleet.play(case.down_s)
        fleet.start(down, case.with_state)
    back = fleet.clock.play_us // BIN_US
    fleet.clients.per_s *= case.more
    fleet.play(after_s)
    end = back + int(after_s * BINS)
    fleet.play(plan.clients.deadline_us / SECOND_US)
    return Told(
        fleet.back_after_s(back, end - BINS, SERVED_AGAIN * before),
        fleet.clients.given_up,
        sum(fleet.clients.came.values()),
        fleet.worst_second("requests", back // BINS, end // BINS) / max(1, worst_before),
        fleet.worst_second("dials", back // BINS, end // BINS),
        max(server.in_work_most for server in fleet.servers.values()),
        fleet.clients.late,
        fleet.clock.ran,
    )


def bound_s(instances: int) -> float:
    """How long the dials that servers bear need for one of each instance that comes back."""
    usable = fleet_limits.usable_mean(BOUNDS.connects_per_s, SERVERS)
    return 0.7 * instances / (usable * SERVERS)


def main() -> int:
    """Run the cases at each size and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.coming_back_model")
    parser.add_argument("--sizes", type=int, nargs="+", default=[1_000, 5_000])
    parser.add_argument("--seconds", type=float, default=12.0, help="after the return")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--case", type=int, help="one case only, by its place")
    parser.add_argument("--jobs", type=int, default=4)
    asked = parser.parse_args()
    jobs = [
        (case, size, on, asked.seconds, asked.seed)
        for size in asked.sizes
        for case in chosen(list(CASES), asked.case)
        for on in (True, False)
    ]
    with multiprocessing.Pool(asked.jobs) as pool:
        found = dict(zip(jobs, pool.map(played, jobs, chunksize=1), strict=True))
    rows: list[list[object]] = []
    bars: list[Bar] = []
    figures: dict[str, object] = {}
    for (case, size, on, _, _), told in found.items():
        name = f"{size}: {case.name}"
        rows.append(
            [
                name,
                "on" if on else "off",
                told.back_s,
                told.worst_requests,
                told.worst_dials,
                told.most_in_work,
                100.0 * told.given_up / told.asked,
            ]
        )
        figures[f"{name}, {'on' if on else 'off'}"] = {
            "back_s": told.back_s,
            "worst_requests": round(told.worst_requests, 2),
            "worst_dials": told.worst_dials,
            "most_in_work": told.most_in_work,
            "given_up": told.given_up,
            "asked": told.asked,
            "events": told.events,
        }
        if on:
            aim_s = WITH_STATE_S if case.with_state else WITHOUT_S
            off = found[case, size, False, asked.seconds, asked.seed]
            less = told.given_up / told.asked - off.given_up / off.asked
            bars.append(Bar(f"{name}: given up, more than without", max(0.0, less), MOST_LESS_SERVED))
            if not case.thrash:
                bars.append(Bar(f"{name}: s to 95 %", told.back_s, max(aim_s, bound_s(size))))
            bars += [
                Bar(
                    f"{name}: dials at a server, the worst second, of the bound",
                    told.worst_dials / BOUNDS.connects_per_s,
                    1.0,
                ),
                Bar(f"{name}: late", told.late, 0.0),
            ]
    table(
        ["case", "", "95 % after s", "worst second, by before", "dials", "most at a server", "% given up"],
        rows,
    )
    return close("coming_back_model", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
