"""Two hundred instances: what is harmless in one of them, counted over all."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, AnswerKind, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus, Outcome

INSTANCES = 200
ENDPOINTS = 60
PER_S = 1_500.0  # half of what sixty warm upstreams can do


def served_share_since(fleet: Fleet, before: Counter[AnswerKind]) -> float:
    """The fraction of the answers since then that were served."""
    since = fleet.answers - before
    return since[AnswerKind.SERVED] / max(1, since.total())


@pytest.mark.parametrize("seed", [1, 2])
def test_an_instance_with_many_times_the_mean_traffic_is_served_beside_others(seed: int) -> None:
    """It needs more active endpoints than the others; with as few it would crowd them."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.busy_instance, fleet.busy_share = 0, 0.1  # twenty times the mean
    fleet.play(6.0, PER_S)
    fleet.finish()
    busy, answers = fleet.busy_answers, fleet.answers
    assert busy.total() > 0.08 * answers.total()
    assert busy[AnswerKind.SERVED] > 0.95 * busy.total()
    assert answers[AnswerKind.SERVED] > 0.95 * answers.total()


@pytest.mark.parametrize("seed", [1, 2])
def test_reduced_admission_does_not_outlast_a_burst_of_a_second(seed: int) -> None:
    """Instances with a few requests a second notice the end of a burst by few responses only."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.play(3.0, 1.6 * PER_S)
    fleet.play(1.0, 2.4 * PER_S)  # half as much again: more than the capacity
    during = Counter(fleet.answers)
    fleet.play(2.0, PER_S)
    after = Counter(fleet.answers)
    fleet.play(2.0, PER_S)
    fleet.finish()
    assert during[AnswerKind.REJECTED] + during[AnswerKind.FAILED] > 0, "this burst is not an overload"
    assert served_share_since(fleet, after) > 0.97


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fifth_that_stops_answering_is_avoided_by_all_instances(seed: int) -> None:
    """Each learns it by itself; all together must not lose one request for each pair of them."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.play(3.0, PER_S)
    silent = [number for number in fleet.endpoints if number % 5 == 0]
    for number in silent:
        fleet.endpoints[number].is_silent = True
    fleet.play(3.0, PER_S)
    sent = sum(len(fleet.endpoints[number].sent_at_us) for number in silent)
    fleet.play(3.0, PER_S)
    fleet.finish()
    late = sum(len(fleet.endpoints[number].sent_at_us) for number in silent) - sent
    # a fifth of all would be 900; what still goes there are tries after rests
    assert late < 0.05 * 3.0 * PER_S
    lost = fleet.outcomes[Outcome.TIMEOUT] + fleet.outcomes[Outcome.RESET]
    assert fleet.answers[AnswerKind.FAILED] <= lost < INSTANCES * len(silent)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_tenth_that_starts_is_not_overloaded_by_all_instances_together(seed: int) -> None:
    """A tenth is replaced at once and all instances learn it almost together, at nine tenths of full load."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.play(3.0, 1.8 * PER_S)
    for number in range(1, ENDPOINTS // 10 + 1):
        draining = replace(fleet.endpoints[number].listed, state=EndpointStatus.DRAINING)
        fleet.update_endpoint(draining, SECOND_US // 4)
        fleet.update_endpoint(
            Endpoint(100 + number, zone=number % 3, started_us=fleet.now_us), SECOND_US // 4
        )
    fleet.play(5.0, 1.8 * PER_S)
    fleet.finish()
    joined = [100 + number for number in range(1, ENDPOINTS // 10 + 1)]
    assert all(fleet.endpoints[number].sent_at_us for number in joined)
    assert max(fleet.peak_load(number) for number in joined) <= 1.0
    assert fleet.answers[AnswerKind.SERVED] > 0.75 * fleet.answers.total()
