"""Endpoints that warm up get sends in proportion to the capacity they have reached."""

from __future__ import annotations

import pytest

from plovertrail.decisions.events import Endpoint, Outcome
from tests.decisions.load_balancing.harness import START_US, World, settings, upstreams
from tests.decisions.load_balancing.scenarios import (
    READ,
    churn,
)


def test_an_endpoint_that_just_started_gets_few_requests() -> None:
    world = World(settings(instances=24))
    world.tell_list(upstreams(3))
    churn(world, 20, took_us=20_000)
    world.tell_list([Endpoint(1, started_us=world.now_us - 1_000), *upstreams(3)])
    churn(world, 150, took_us=20_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold <= 8  # an even share would be 37


def test_an_endpoint_gets_less_than_the_others_until_it_is_warm() -> None:
    world = World(settings(instances=400))
    world.tell_list([Endpoint(1, started_us=world.now_us - 12_000_000), *upstreams(3)])  # two thirds warm
    churn(world, 1000, took_us=5_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold < 190  # an even share would be 250


def test_a_warming_endpoint_helps_if_the_warm_ones_are_slow() -> None:
    """Turns that the free slots of others outbid would leave it idle beside the warm ones that choke."""

    def part(took_us: int) -> float:
        world = World(settings(instances=40, warm_up_us=2_000_000_000))
        world.tell_list([Endpoint(1, started_us=world.now_us - 1_000), *upstreams(9)])
        churn(world, 600, took_us=took_us)
        before = len(world.sends())
        churn(world, 600, took_us=took_us)
        return sum(1 for s in world.sends()[before:] if s.endpoint_id == 1) / 600

    even = 0.2 / 9.2  # its part by its warmth
    calm, busy = part(20_000), part(100_000)
    assert 0.6 * even < calm <= 1.3 * even
    assert 1.4 * even < busy <= 2.0 * even


@pytest.mark.parametrize("seed", range(20))
def test_a_warming_endpoint_without_warm_ones_gets_its_whole_share(seed: int) -> None:
    """Each request asked for counts a tenth; its turn comes within 2 thirds of one that was served."""
    world = World(seed=seed)
    world.tell_list(upstreams(1, started_us=START_US))
    for _ in range(8):
        if world.sends(world.arrive(1)):
            return
    raise AssertionError("nothing was sent")


def test_a_warming_endpoint_of_more_capacity_gets_more() -> None:
    world = World(settings(instances=40, warm_up_us=2_000_000_000, weighted=True))
    cold = [Endpoint(1, started_us=world.now_us, weight=3.0), Endpoint(2, started_us=world.now_us)]
    world.tell_list([*cold, *upstreams(8)])
    churn(world, 2_000, took_us=20_000)
    large, small = (sum(1 for s in world.sends() if s.endpoint_id == number) for number in (1, 2))
    assert 2.4 * small < large < 3.6 * small


def test_a_warming_endpoint_that_rejects_gets_less() -> None:
    def got(outcome: Outcome) -> int:
        world = World(settings(instances=40, warm_up_us=2_000_000_000))
        world.tell_list([Endpoint(1, started_us=world.now_us), *upstreams(3)])
        for _ in range(600):
            request = world.arrive(READ)
            world.advance(20_000)
            for send in world.sends(request):
                if world.owed[request].tries[0].outcome is None:
                    world.end(request, 0, outcome if send.endpoint_id == 1 else Outcome.OK)
                elif world.owed[request].tries[-1].outcome is None:
                    world.end(request, len(world.owed[request].tries) - 1, Outcome.OK)
        return sum(1 for s in world.sends() if s.endpoint_id == 1)

    assert 0 < got(Outcome.REJECTED) < got(Outcome.OK) / 3
