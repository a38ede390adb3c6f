"""Forty sidecars and sixty upstreams: the hard cases of a large fleet, counted over all sidecars."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus, Outcome

PER_S = 1_500.0  # half of what sixty warm upstreams can do


@pytest.mark.parametrize("seed", [1, 2])
def test_six_in_ten_replaced_within_seven_seconds(seed: int) -> None:
    """Leavers get nothing after word (checked at each send), no joiner is pushed over by the sum."""
    fleet = Fleet(60, seed=seed)
    fleet.play(2.0, PER_S)
    for number in range(1, 37):
        fleet.change(replace(fleet.servers[number].entry, state=EndpointStatus.DRAINING), late_us=SECOND_US)
        fleet.change(Endpoint(100 + number, zone=number % 3, started_us=fleet.now_us), late_us=SECOND_US)
        fleet.play(7.0 / 36, PER_S)
    fleet.play(6.0, PER_S)
    fleet.settle()
    pushed = [fleet.pushed(100 + number) for number in range(1, 37)]
    assert 0.0 < max(pushed) <= 1.0
    assert min(len(fleet.servers[100 + number].sent) for number in range(1, 37)) > 0
    assert fleet.ended["served"] > 0.6 * fleet.ended.total()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_goes_silent_and_comes_back_cold_under_requests_that_may_not_be_repeated(seed: int) -> None:
    """An unsafe request that it swallowed is never sent again (checked at each send)."""
    fleet = Fleet(60, seed=seed)
    fleet.play(2.0, PER_S)
    lost = [number for number in fleet.servers if number % 3 == 0]
    for number in lost:
        fleet.servers[number].silent = True
    fleet.play(3.0, PER_S)
    assert fleet.outcomes[Outcome.TIMEOUT] > 0 and fleet.outcomes[Outcome.RESET] > 0
    for number in lost:
        fleet.change(replace(fleet.servers[number].entry, state=EndpointStatus.REMOVED), late_us=SECOND_US)
    fleet.play(3.0, PER_S)
    for number in lost:
        fleet.change(Endpoint(number + 100, zone=0, started_us=fleet.now_us), late_us=SECOND_US)
    fleet.play(5.0, PER_S)
    fleet.settle()
    assert 0.0 < max(fleet.pushed(number + 100) for number in lost) <= 1.0
    swallowed = fleet.outcomes[Outcome.TIMEOUT] + fleet.outcomes[Outcome.RESET]
    assert fleet.ended["failed"] <= swallowed < 0.1 * fleet.ended.total()  # they were soon left alone


def test_full_tables_of_connections_cost_no_request_its_life() -> None:
    """Each upstream takes 16 connections, fewer than the sidecars would have: what finds a table full never
    ran, and goes to where there is room."""
    fleet, roomy = Fleet(60, table=16), Fleet(60)
    for each in (fleet, roomy):
        each.play(8.0, PER_S)
        each.settle()
    most = max(server.connections for server in roomy.servers.values())
    assert most > 16, "the tables of this test would never be full"
    assert max(server.connections for server in fleet.servers.values()) == 16
    assert fleet.outcomes[Outcome.CONNECT_FAILED] > 0
    assert fleet.ended["failed"] == 0
    assert fleet.ended["refused"] <= fleet.outcomes[Outcome.CONNECT_FAILED] / 4
