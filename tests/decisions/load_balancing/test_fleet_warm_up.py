"""Load on warming endpoints from all instances together, in many random fleets."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus

MAX_EXCESS = 2.0  # in square roots of N, beyond a budget of N + 2 requests; allowed for chance
# Initial capacity, warm-up time (s), overload factor and overload duration (s) of several deployments.
SETTINGS = [
    (0.33, 8.9, 2.5, 2.0),
    (0.31, 3.1, 2.5, 1.0),
    (0.32, 3.3, 3.0, 1.0),
    (0.54, 8.8, 2.0, 3.0),
    (0.31, 8.8, 2.0, 1.0),
]


def random_fleet(instance_count: int, endpoint_count: int, rng: random.Random) -> Fleet:
    """Return a fleet with random settings."""
    fleet = Fleet(endpoint_count, instance_count=instance_count, seed=rng.randrange(2**30))
    s = fleet.settings
    s.warm_up_initial_capacity, warm_up_s, s.overload_factor, overload_s = rng.choice(SETTINGS)
    s.warm_up_us, s.overload_duration_us = int(warm_up_s * SECOND_US), int(overload_s * SECOND_US)
    for each in s.classes:
        each.latency_objective_us, each.deadline_us = 3 * each.latency_objective_us, 2 * each.deadline_us
    return fleet


def replace_endpoints(fleet: Fleet, count: int, work_us: int) -> list[int]:
    """Replace some endpoints by new ones at once; all instances learn it within 0.25 s."""
    for number in range(1, count + 1):
        draining = replace(fleet.endpoints[number].listed, state=EndpointStatus.DRAINING)
        fleet.update_endpoint(draining, SECOND_US // 4)
        fleet.update_endpoint(
            Endpoint(1000 + number, zone=number % 3, started_us=fleet.now_us), SECOND_US // 4
        )
    for endpoint in fleet.endpoints.values():
        endpoint.work_us, endpoint.max_wait_us = work_us, SECOND_US
    return [1000 + number for number in range(1, count + 1)]


@pytest.mark.parametrize("instance_count", [2, 20, 30, 200])
@pytest.mark.parametrize("share", [0.1, 0.6, 1.0], ids=["some", "most", "all"])
def test_all_instances_together_keep_to_the_budget_of_a_warming_endpoint(
    instance_count: int, share: float
) -> None:
    """A random fleet may have any of several difficulties.

    These are: all instances start at once; one has several times the mean traffic; warm endpoints are
    overloaded; most instances restart without state while endpoints are warming up.
    """
    rng = random.Random(f"{instance_count} {share}")
    for _ in range(2 if instance_count == 200 else 6):
        endpoint_count, work_us = rng.choice([8, 20, 30]), rng.choice([15_000, 60_000, 80_000])
        fleet = random_fleet(instance_count, endpoint_count, rng)
        capacity_per_s = endpoint_count * SECOND_US / work_us
        per_s = min(600.0, rng.choice([0.4, 0.9, 1.5]) * capacity_per_s)
        if rng.random() < 0.4:
            fleet.busy_instance, fleet.busy_share = 0, min(0.6, 5.0 / instance_count)
        fleet.play(0.1 if rng.random() < 0.3 else 2.0, per_s)
        started = replace_endpoints(fleet, max(1, int(share * endpoint_count)), work_us)
        fleet.play(0.5, per_s)
        for number in range(instance_count * 7 // 10 if rng.random() < 0.5 else 0):
            fleet.restart_instance(number)
        fleet.play(2.5, per_s)
        assert max(fleet.excess_over_budget(number) for number in started) <= MAX_EXCESS
        # The budget is not kept by sending nothing.
        assert sum(len(fleet.endpoints[number].sent_at_us) for number in started) > len(started) // 2
