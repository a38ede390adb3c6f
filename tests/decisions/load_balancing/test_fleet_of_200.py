"""Two hundred sidecars: what is harmless in one of them, counted over all."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus, Outcome

SIDECARS = 200
UPSTREAMS = 60
PER_S = 1_500.0  # half of what sixty warm upstreams can do


def served_part(fleet: Fleet, before: Counter[str]) -> float:
    """Of what has ended since then."""
    since = fleet.ended - before
    return since["served"] / max(1, since.total())


@pytest.mark.parametrize("seed", [1, 2])
def test_a_sidecar_with_many_times_the_mean_is_served_beside_light_ones(seed: int) -> None:
    """Hazard: it needs more upstreams than the others hold in use; with as few it would crowd them."""
    fleet = Fleet(UPSTREAMS, sidecars=SIDECARS, seed=seed)
    fleet.busy, fleet.busy_part = 0, 0.1  # twenty times the mean
    fleet.play(6.0, PER_S)
    fleet.settle()
    busy, all_asked = fleet.of_busy, fleet.ended
    assert busy.total() > 0.08 * all_asked.total()
    assert busy["served"] > 0.95 * busy.total()
    assert all_asked["served"] > 0.95 * all_asked.total()


@pytest.mark.parametrize("seed", [1, 2])
def test_thinning_does_not_outlive_a_burst_of_a_second(seed: int) -> None:
    """Hazard: sidecars with a few requests a second each hear of the burst's end by a few answers only."""
    fleet = Fleet(UPSTREAMS, sidecars=SIDECARS, seed=seed)
    fleet.play(3.0, 1.6 * PER_S)
    fleet.play(1.0, 2.4 * PER_S)  # half as much again: more than all can do
    during = Counter(fleet.ended)
    fleet.play(2.0, PER_S)
    after = Counter(fleet.ended)
    fleet.play(2.0, PER_S)
    fleet.settle()
    assert during["refused"] + during["failed"] > 0, "this burst would trouble nobody"
    assert served_part(fleet, after) > 0.97


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fifth_that_falls_silent_is_left_alone_by_all_two_hundred(seed: int) -> None:
    """Each learns it by itself; all together must not lose a request each at each of the silent ones."""
    fleet = Fleet(UPSTREAMS, sidecars=SIDECARS, seed=seed)
    fleet.play(3.0, PER_S)
    silent = [number for number in fleet.servers if number % 5 == 0]
    for number in silent:
        fleet.servers[number].silent = True
    fleet.play(3.0, PER_S)
    sent = sum(len(fleet.servers[number].sent) for number in silent)
    fleet.play(3.0, PER_S)
    fleet.settle()
    late = sum(len(fleet.servers[number].sent) for number in silent) - sent
    # a fifth of all would be 900; what still goes there are tries after rests
    assert late < 0.05 * 3.0 * PER_S
    lost = fleet.outcomes[Outcome.TIMEOUT] + fleet.outcomes[Outcome.RESET]
    assert fleet.ended["failed"] <= lost < SIDECARS * len(silent)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_cold_tenth_stands_the_sum_of_all(seed: int) -> None:
    """A tenth is replaced at once, and all sidecars are told within moments, at nine tenths of full load."""
    fleet = Fleet(UPSTREAMS, sidecars=SIDECARS, seed=seed)
    fleet.play(3.0, 1.8 * PER_S)
    for number in range(1, UPSTREAMS // 10 + 1):
        gone = replace(fleet.servers[number].entry, state=EndpointStatus.DRAINING)
        fleet.change(gone, SECOND_US // 4)
        fleet.change(Endpoint(100 + number, zone=number % 3, started_us=fleet.now_us), SECOND_US // 4)
    fleet.play(5.0, 1.8 * PER_S)
    fleet.settle()
    joined = [100 + number for number in range(1, UPSTREAMS // 10 + 1)]
    assert all(fleet.servers[number].sent for number in joined)
    assert max(fleet.pushed(number) for number in joined) <= 1.0
    assert fleet.ended["served"] > 0.75 * fleet.ended.total()
