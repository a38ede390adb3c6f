"""Selection of endpoints for attempts."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.scenarios import (
    READ,
    ready_harness,
    run_requests,
)


def test_requests_are_spread_over_all_endpoints() -> None:
    harness = ready_harness(6)
    for _ in range(60):
        harness.end_attempt(harness.request_arrives(READ), 0, Outcome.OK)
    assert {s.endpoint_id for s in harness.sends()} == set(harness.listed)


def test_the_local_zone_is_preferred_if_cross_zone_traffic_has_a_cost() -> None:
    harness = ready_harness(8, zone=1, cross_zone_fee=0.03)
    first = [harness.request_arrives(READ) for _ in range(2)]
    assert {harness.listed[harness.sends(each)[0].endpoint_id].zone for each in first} == {1}
    third = harness.request_arrives(READ)
    assert harness.listed[harness.sends(third)[0].endpoint_id].zone != 1


def test_zones_do_not_matter_if_cross_zone_traffic_is_free() -> None:
    harness = ready_harness(8, zone=1)
    run_requests(harness, 100)
    assert {harness.listed[s.endpoint_id].zone for s in harness.sends()} == {0, 1, 2, 3}


def test_an_instance_with_little_traffic_uses_few_of_many_endpoints() -> None:
    harness = ready_harness(60, instances=400)
    run_requests(harness, 100, response_us=1_000_000)
    assert len({s.endpoint_id for s in harness.sends()}) <= 6


def test_an_instance_that_becomes_busy_uses_more_endpoints() -> None:
    harness = ready_harness(60, instances=400)
    run_requests(harness, 600, response_us=20_000)
    assert len({s.endpoint_id for s in harness.sends()}) >= 30


def test_an_endpoint_slower_than_the_others_is_selected_less_often() -> None:
    harness = ready_harness(4, hedging=False)
    for _ in range(200):
        request = harness.request_arrives(READ)
        is_slow = harness.sends(request)[0].endpoint_id == 100
        harness.advance(120_000 if is_slow else 30_000)
        harness.end_attempt(request, 0, Outcome.OK)
    assert sum(1 for s in harness.sends() if s.endpoint_id == 100) < 25
