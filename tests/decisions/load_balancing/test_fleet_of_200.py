"""Two hundred instances: effects that are small for one instance, measured over all."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, AnswerKind, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus, Outcome

INSTANCES = 200
ENDPOINTS = 60
REQUESTS_PER_S = 1_500.0  # half the capacity of sixty warm endpoints


def served_share_since(fleet: Fleet, before: Counter[AnswerKind]) -> float:
    """Return the fraction of served requests among the answers since `before`."""
    since = fleet.answers - before
    return since[AnswerKind.SERVED] / max(1, since.total())


@pytest.mark.parametrize("seed", [1, 2])
def test_an_instance_with_many_times_the_mean_traffic_is_served_like_the_others(seed: int) -> None:
    """It needs more active endpoints than the others; with as few it would overload them."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.busy_instance, fleet.busy_share = 0, 0.1  # twenty times the mean
    fleet.play(6.0, REQUESTS_PER_S)
    fleet.finish()
    busy, answers = fleet.busy_answers, fleet.answers
    assert busy.total() > 0.08 * answers.total()
    assert busy[AnswerKind.SERVED] > 0.95 * busy.total()
    assert answers[AnswerKind.SERVED] > 0.95 * answers.total()


@pytest.mark.parametrize("seed", [1, 2])
def test_admission_recovers_soon_after_a_burst_of_one_second(seed: int) -> None:
    """Instances with few requests per second see the end of a burst by few responses only."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.play(3.0, 1.6 * REQUESTS_PER_S)
    fleet.play(1.0, 2.4 * REQUESTS_PER_S)  # 1.2 times the capacity
    after_burst = Counter(fleet.answers)
    fleet.play(2.0, REQUESTS_PER_S)
    after_recovery = Counter(fleet.answers)
    fleet.play(2.0, REQUESTS_PER_S)
    fleet.finish()
    assert after_burst[AnswerKind.REJECTED] + after_burst[AnswerKind.FAILED] > 0, "the burst is no overload"
    assert served_share_since(fleet, after_recovery) > 0.97


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fifth_of_the_endpoints_that_stops_responding_is_avoided_by_all_instances(seed: int) -> None:
    """Each instance detects it alone; not every instance may lose a request at every such endpoint."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.play(3.0, REQUESTS_PER_S)
    silent = [number for number in fleet.endpoints if number % 5 == 0]
    for number in silent:
        fleet.endpoints[number].is_silent = True
    fleet.play(3.0, REQUESTS_PER_S)
    sent = sum(len(fleet.endpoints[number].sent_at_us) for number in silent)
    fleet.play(3.0, REQUESTS_PER_S)
    fleet.finish()
    late = sum(len(fleet.endpoints[number].sent_at_us) for number in silent) - sent
    # An even share would be 900; the remaining sends follow the ends of exclusions.
    assert late < 0.05 * 3.0 * REQUESTS_PER_S
    lost = fleet.outcomes[Outcome.TIMEOUT] + fleet.outcomes[Outcome.RESET]
    assert fleet.answers[AnswerKind.FAILED] <= lost < INSTANCES * len(silent)


@pytest.mark.parametrize("seed", [1, 2])
def test_a_tenth_of_new_endpoints_is_not_overloaded_by_all_instances_together(seed: int) -> None:
    """A tenth is replaced at once, and all instances learn it almost together, at 90% of the capacity."""
    fleet = Fleet(ENDPOINTS, instance_count=INSTANCES, seed=seed)
    fleet.play(3.0, 1.8 * REQUESTS_PER_S)
    for number in range(1, ENDPOINTS // 10 + 1):
        draining = replace(fleet.endpoints[number].listed, state=EndpointStatus.DRAINING)
        fleet.update_endpoint(draining, SECOND_US // 4)
        fleet.update_endpoint(
            Endpoint(100 + number, zone=number % 3, started_us=fleet.now_us), SECOND_US // 4
        )
    fleet.play(5.0, 1.8 * REQUESTS_PER_S)
    fleet.finish()
    joined = [100 + number for number in range(1, ENDPOINTS // 10 + 1)]
    assert all(fleet.endpoints[number].sent_at_us for number in joined)
    assert max(fleet.peak_load(number) for number in joined) <= 1.0
    assert fleet.answers[AnswerKind.SERVED] > 0.75 * fleet.answers.total()
