"""Which endpoints are selected."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.scenarios import (
    READ,
    churn,
    ready_world,
)


def test_requests_are_spread_over_all_endpoints() -> None:
    world = ready_world(6)
    for _ in range(60):
        world.end(world.arrive(READ), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == set(world.known)


def test_the_own_zone_is_preferred_if_crossing_zones_costs() -> None:
    world = ready_world(8, zone=1, cross_zone_fee=0.03)
    first = [world.arrive(READ) for _ in range(2)]
    assert {world.known[world.sends(r)[0].endpoint_id].zone for r in first} == {1}
    third = world.arrive(READ)
    assert world.known[world.sends(third)[0].endpoint_id].zone != 1


def test_zones_do_not_matter_if_crossing_is_free() -> None:
    world = ready_world(8, zone=1)
    churn(world, 100)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {0, 1, 2, 3}


def test_an_instance_with_little_traffic_uses_few_of_many_endpoints() -> None:
    world = ready_world(60, instances=400)
    churn(world, 100, took_us=1_000_000)
    assert len({s.endpoint_id for s in world.sends()}) <= 6


def test_an_instance_that_becomes_busy_uses_more_endpoints() -> None:
    world = ready_world(60, instances=400)
    churn(world, 600, took_us=20_000)
    assert len({s.endpoint_id for s in world.sends()}) >= 30


def test_an_endpoint_slower_than_the_others_is_selected_less() -> None:
    world = ready_world(4, hedging=False)
    for _ in range(200):
        request = world.arrive(READ)
        slow = world.sends(request)[0].endpoint_id == 100
        world.advance(120_000 if slow else 30_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 25
