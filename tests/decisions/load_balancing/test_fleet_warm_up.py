"""Cold upstreams under the sum of all processes: what each may send on its own account, over many fleets."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus

ROOTS = 2.0  # that are put down to chance, beyond N calls and two
# cold share, warm-up, what pushes over and for how long, in seconds: as several deployments state them
SETTINGS = [
    (0.33, 8.9, 2.5, 2.0),
    (0.31, 3.1, 2.5, 1.0),
    (0.32, 3.3, 3.0, 1.0),
    (0.54, 8.8, 2.0, 3.0),
    (0.31, 8.8, 2.0, 1.0),
]


def drawn(sidecars: int, upstreams: int, rng: random.Random) -> Fleet:
    """A fleet whose settings are drawn."""
    fleet = Fleet(upstreams, sidecars=sidecars, seed=rng.randrange(2**30))
    s = fleet.settings
    s.warm_up_initial_capacity, warm_s, s.overload_factor, fall_s = rng.choice(SETTINGS)
    s.warm_up_us, s.overload_duration_us = int(warm_s * SECOND_US), int(fall_s * SECOND_US)
    for kind in s.classes:
        kind.latency_objective_us, kind.deadline_us = 3 * kind.latency_objective_us, 2 * kind.deadline_us
    return fleet


def join(fleet: Fleet, count: int, work_us: int) -> list[int]:
    """So many are replaced by cold ones at one moment, and all are told within a quarter of a second."""
    for number in range(1, count + 1):
        gone = replace(fleet.servers[number].entry, state=EndpointStatus.DRAINING)
        fleet.change(gone, SECOND_US // 4)
        fleet.change(Endpoint(1000 + number, zone=number % 3, started_us=fleet.now_us), SECOND_US // 4)
    for server in fleet.servers.values():
        server.work_us, server.longest_wait_us = work_us, SECOND_US
    return [1000 + number for number in range(1, count + 1)]


@pytest.mark.parametrize("sidecars", [2, 20, 30, 200])
@pytest.mark.parametrize("part", [0.1, 0.6, 1.0], ids=["some", "most", "no warm ones at all"])
def test_the_sum_of_all_processes_stays_in_a_cold_upstreams_budget(sidecars: int, part: float) -> None:
    """All starting at once, one with several times the mean, warm ones that choke, most restarted with
    nothing known beside cold ones: in each drawn fleet one of these, or several."""
    rng = random.Random(f"{sidecars} {part}")
    for _ in range(2 if sidecars == 200 else 6):
        upstreams, work_us = rng.choice([8, 20, 30]), rng.choice([15_000, 60_000, 80_000])
        fleet = drawn(sidecars, upstreams, rng)
        full_per_s = upstreams * SECOND_US / work_us
        per_s = min(600.0, rng.choice([0.4, 0.9, 1.5]) * full_per_s)
        if rng.random() < 0.4:
            fleet.busy, fleet.busy_part = 0, min(0.6, 5.0 / sidecars)
        fleet.play(0.1 if rng.random() < 0.3 else 2.0, per_s)
        cold = join(fleet, max(1, int(part * upstreams)), work_us)
        fleet.play(0.5, per_s)
        for number in range(sidecars * 7 // 10 if rng.random() < 0.5 else 0):
            fleet.restart(number)
        fleet.play(2.5, per_s)
        assert max(fleet.beyond(number) for number in cold) <= ROOTS
        assert sum(len(fleet.servers[number].sent) for number in cold) > len(cold) // 2  # they are not shut
