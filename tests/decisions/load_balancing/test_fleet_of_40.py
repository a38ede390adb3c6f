"""Forty instances and sixty endpoints: the hard cases of a large fleet, counted over all instances."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, AnswerKind, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus, Outcome

PER_S = 1_500.0  # half of what sixty warm upstreams can do


@pytest.mark.parametrize("seed", [1, 2])
def test_six_in_ten_endpoints_are_replaced_within_seven_seconds(seed: int) -> None:
    """Draining endpoints get nothing (checked at each send), and no new one is overloaded."""
    fleet = Fleet(60, seed=seed)
    fleet.play(2.0, PER_S)
    for number in range(1, 37):
        fleet.update_endpoint(
            replace(fleet.endpoints[number].listed, state=EndpointStatus.DRAINING), late_us=SECOND_US
        )
        fleet.update_endpoint(
            Endpoint(100 + number, zone=number % 3, started_us=fleet.now_us), late_us=SECOND_US
        )
        fleet.play(7.0 / 36, PER_S)
    fleet.play(6.0, PER_S)
    fleet.finish()
    pushed = [fleet.peak_load(100 + number) for number in range(1, 37)]
    assert 0.0 < max(pushed) <= 1.0
    assert min(len(fleet.endpoints[100 + number].sent_at_us) for number in range(1, 37)) > 0
    assert fleet.answers[AnswerKind.SERVED] > 0.6 * fleet.answers.total()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_that_stops_answering_and_restarts_under_at_most_once_requests(seed: int) -> None:
    """An at-most-once request that got no response is never sent again (checked at each send)."""
    fleet = Fleet(60, seed=seed)
    fleet.play(2.0, PER_S)
    lost = [number for number in fleet.endpoints if number % 3 == 0]
    for number in lost:
        fleet.endpoints[number].is_silent = True
    fleet.play(3.0, PER_S)
    assert fleet.outcomes[Outcome.TIMEOUT] > 0
    assert fleet.outcomes[Outcome.RESET] > 0
    for number in lost:
        fleet.update_endpoint(
            replace(fleet.endpoints[number].listed, state=EndpointStatus.REMOVED), late_us=SECOND_US
        )
    fleet.play(3.0, PER_S)
    for number in lost:
        fleet.update_endpoint(Endpoint(number + 100, zone=0, started_us=fleet.now_us), late_us=SECOND_US)
    fleet.play(5.0, PER_S)
    fleet.finish()
    assert 0.0 < max(fleet.peak_load(number + 100) for number in lost) <= 1.0
    swallowed = fleet.outcomes[Outcome.TIMEOUT] + fleet.outcomes[Outcome.RESET]
    assert (
        fleet.answers[AnswerKind.FAILED] <= swallowed < 0.1 * fleet.answers.total()
    )  # they were soon left alone


def test_full_connection_tables_make_no_request_fail() -> None:
    """Each endpoint takes 16 connections, fewer than the instances would open.

    A request that is refused a connection never ran, and is sent elsewhere.
    """
    fleet, unlimited = Fleet(60, connection_limit=16), Fleet(60)
    for each in (fleet, unlimited):
        each.play(8.0, PER_S)
        each.finish()
    most = max(endpoint.connections for endpoint in unlimited.endpoints.values())
    assert most > 16, "the tables of this test would never be full"
    assert max(endpoint.connections for endpoint in fleet.endpoints.values()) == 16
    assert fleet.outcomes[Outcome.CONNECT_FAILED] > 0
    assert fleet.answers[AnswerKind.FAILED] == 0
    assert fleet.answers[AnswerKind.REJECTED] <= fleet.outcomes[Outcome.CONNECT_FAILED] / 4
