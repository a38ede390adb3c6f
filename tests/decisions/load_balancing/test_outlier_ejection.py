"""Failure penalties, ejection and restoration."""

from __future__ import annotations

import pytest

from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind, Outcome
from tests.decisions.load_balancing.harness import World, settings, upstreams
from tests.decisions.load_balancing.scenarios import (
    PAY,
    churn,
    held,
    ready_world,
)
from tests.decisions.load_balancing.test_concurrency_limits import busy_world
from tests.decisions.load_balancing.test_overload_logging import log_lines


def part_after(outcome: Outcome, wait_us: int = 0) -> float:
    """What the upstream 100 gets of an even share among twelve, once its first request has ended so."""
    got = 0
    for seed in range(10):
        world = World(settings(instances=40), seed)
        world.tell_list(upstreams(12))
        upstream = 0
        while upstream != 100:
            request = world.arrive(PAY)
            upstream = world.sends(request)[0].endpoint_id
            world.advance(10_000)
            world.end(request, 0, outcome if upstream == 100 else Outcome.OK)
        world.advance(wait_us)
        before = len(world.sends())
        churn(world, 120, class_index=PAY)
        got += sum(1 for s in world.sends()[before:] if s.endpoint_id == 100)
    return got / 100


def test_the_first_fault_of_an_endpoint_counts_while_few_others_have_any() -> None:
    """It takes what may not be repeated, and a light sidecar would see it fail once more and once more."""
    assert part_after(Outcome.ERROR) < 0.4 and part_after(Outcome.ERROR) < 0.4 * part_after(Outcome.OK)


def test_faults_at_all_endpoints_alike_penalize_at_most_a_third() -> None:
    world = World(settings(instances=40))
    world.tell_list(upstreams(12))
    for _ in range(600):
        request = world.arrive(PAY)
        world.advance(5_000)
        if world.sends(request) and world.owed[request].tries[0].outcome is None:
            world.end(request, 0, Outcome.ERROR if request % 5 == 0 else Outcome.OK)
        assert len(world.balancer.penalties.decay_at_us) <= 4  # a third
    assert all(any(s.endpoint_id == number for s in world.sends()[-150:]) for number in range(100, 112))


def test_failure_penalties_decay_without_traffic() -> None:
    wait_us = 120_000_000
    assert part_after(Outcome.ERROR, wait_us) > 0.7 * part_after(Outcome.OK, wait_us)


def test_a_removed_endpoint_has_no_failure_penalty() -> None:
    world = World(settings(instances=40))
    world.tell_list(upstreams(6))
    request = world.arrive(PAY)
    upstream = world.sends(request)[0].endpoint_id
    world.end(request, 0, Outcome.ERROR)
    assert list(world.balancer.penalties.decay_at_us) == [upstream]
    world.tell_list([Endpoint(upstream, EndpointStatus.REMOVED)], ListKind.DELTA)
    world.advance(60_000_000)
    world.arrive(PAY)
    assert not world.balancer.penalties.decay_at_us and not world.balancer.penalties


def test_a_late_fault_of_a_removed_endpoint_does_not_count_against_its_successor() -> None:
    world = World(settings(instances=40))
    world.tell_list(upstreams(1))
    old = world.arrive(PAY)
    world.tell_list([Endpoint(100, EndpointStatus.REMOVED)], ListKind.DELTA)
    world.tell_list(upstreams(1), ListKind.DELTA)
    new = world.arrive(PAY)
    world.end(new, 0, Outcome.ERROR)
    assert (
        list(world.balancer.penalties.decay_at_us) == [100]
        and world.balancer.endpoints[100].failure_penalty > 0
    )
    before = world.balancer.endpoints[100].failure_penalty
    world.end(old, 0, Outcome.ERROR)
    assert (
        list(world.balancer.penalties.decay_at_us) == [100]
        and world.balancer.endpoints[100].failure_penalty == before
    )


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_an_endpoint_that_fails_fast_does_not_attract_traffic(outcome: Outcome) -> None:
    world = ready_world(5)
    churn(world, 200, 100, outcome)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 20


def test_an_ejected_endpoint_is_tried_again_and_restored() -> None:
    world = ready_world(2)
    churn(world, 40, 100)
    churn(world, 1000)
    assert sum(1 for s in world.sends()[-200:] if s.endpoint_id == 100) > 30


def test_a_single_error_leaves_an_endpoint_its_other_slots() -> None:
    world = busy_world()
    before = held(world)
    world.end(world.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert held(world) >= before / 2 - 1


def refused_of(world: World, count: int) -> int:
    return sum(1 for _ in range(count) if not world.sends(world.arrive(PAY)))


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED, Outcome.ERROR])
def test_a_fault_at_all_endpoints_alike_ejects_none(fault: Outcome) -> None:
    world = ready_world(6)
    for outcome in (Outcome.OK, fault):
        requests = [world.arrive(PAY) for _ in range(6)]  # one at each upstream
        world.advance(20_000)
        for request in requests:
            world.end(request, 0, outcome)
    assert refused_of(world, 6) == 0


def test_ejection_and_restoration_are_logged() -> None:
    world = ready_world(2)
    churn(world, 200, 100)
    assert log_lines(world) == ["endpoint ejected endpoint=100"]
    churn(world, 1000)
    assert log_lines(world) == ["endpoint ejected endpoint=100", "endpoint restored endpoint=100"]
