"""Forty instances and sixty endpoints: faults in a large fleet, measured over all instances."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fakes.balancers_model import SECOND_US, AnswerKind, Fleet
from plovertrail.decisions.events import Endpoint, EndpointStatus, Outcome

REQUESTS_PER_S = 1_500.0  # half the capacity of sixty warm endpoints


@pytest.mark.parametrize("seed", [1, 2])
def test_six_in_ten_endpoints_are_replaced_within_seven_seconds(seed: int) -> None:
    """Draining endpoints get no requests (checked at each send), and no new endpoint is overloaded."""
    fleet = Fleet(60, seed=seed)
    fleet.play(2.0, REQUESTS_PER_S)
    for number in range(1, 37):
        fleet.update_endpoint(
            replace(fleet.endpoints[number].listed, state=EndpointStatus.DRAINING), late_us=SECOND_US
        )
        fleet.update_endpoint(
            Endpoint(100 + number, zone=number % 3, started_us=fleet.now_us), late_us=SECOND_US
        )
        fleet.play(7.0 / 36, REQUESTS_PER_S)
    fleet.play(6.0, REQUESTS_PER_S)
    fleet.finish()
    peak_loads = [fleet.peak_load(100 + number) for number in range(1, 37)]
    assert 0.0 < max(peak_loads) <= 1.0
    assert min(len(fleet.endpoints[100 + number].sent_at_us) for number in range(1, 37)) > 0
    assert fleet.answers[AnswerKind.SERVED] > 0.6 * fleet.answers.total()


@pytest.mark.parametrize("seed", [1, 2])
def test_a_zone_that_stops_responding_and_restarts_repeats_no_at_most_once_request(seed: int) -> None:
    """An at-most-once request without a response is never retried (checked at each send)."""
    fleet = Fleet(60, seed=seed)
    fleet.play(2.0, REQUESTS_PER_S)
    silent = [number for number in fleet.endpoints if number % 3 == 0]
    for number in silent:
        fleet.endpoints[number].is_silent = True
    fleet.play(3.0, REQUESTS_PER_S)
    assert fleet.outcomes[Outcome.TIMEOUT] > 0
    assert fleet.outcomes[Outcome.RESET] > 0
    for number in silent:
        fleet.update_endpoint(
            replace(fleet.endpoints[number].listed, state=EndpointStatus.REMOVED), late_us=SECOND_US
        )
    fleet.play(3.0, REQUESTS_PER_S)
    for number in silent:
        fleet.update_endpoint(Endpoint(number + 100, zone=0, started_us=fleet.now_us), late_us=SECOND_US)
    fleet.play(5.0, REQUESTS_PER_S)
    fleet.finish()
    assert 0.0 < max(fleet.peak_load(number + 100) for number in silent) <= 1.0
    unanswered = fleet.outcomes[Outcome.TIMEOUT] + fleet.outcomes[Outcome.RESET]
    # The silent endpoints are soon avoided.
    assert fleet.answers[AnswerKind.FAILED] <= unanswered < 0.1 * fleet.answers.total()


def test_full_connection_tables_cause_no_failed_requests() -> None:
    """Each endpoint accepts 16 connections, fewer than the instances would open.

    An attempt whose connection is refused never ran, and is retried elsewhere.
    """
    fleet, unlimited = Fleet(60, connection_limit=16), Fleet(60)
    for each in (fleet, unlimited):
        each.play(8.0, REQUESTS_PER_S)
        each.finish()
    peak_connections = max(endpoint.connections for endpoint in unlimited.endpoints.values())
    assert peak_connections > 16, "the connection tables never fill up in this test"
    assert max(endpoint.connections for endpoint in fleet.endpoints.values()) == 16
    assert fleet.outcomes[Outcome.CONNECT_FAILED] > 0
    assert fleet.answers[AnswerKind.FAILED] == 0
    assert fleet.answers[AnswerKind.REJECTED] <= fleet.outcomes[Outcome.CONNECT_FAILED] / 4
