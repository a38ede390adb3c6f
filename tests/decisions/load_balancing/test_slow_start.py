"""Warming endpoints get requests in proportion to the capacity that they have reached."""

from __future__ import annotations

import pytest

from plovertrail.decisions.events import Endpoint, Outcome
from tests.decisions.load_balancing.harness import START_US, BalancerHarness, ready_endpoints, settings
from tests.decisions.load_balancing.scenarios import (
    READ,
    run_requests,
)


def test_an_endpoint_that_just_started_gets_few_requests() -> None:
    harness = BalancerHarness(settings(instances=24))
    harness.update_endpoints(ready_endpoints(3))
    run_requests(harness, 20, response_us=20_000)
    harness.update_endpoints([Endpoint(1, started_us=harness.now_us - 1_000), *ready_endpoints(3)])
    run_requests(harness, 150, response_us=20_000)
    warming = sum(1 for s in harness.sends() if s.endpoint_id == 1)
    assert 0 < warming <= 8  # an even share would be 37


def test_an_endpoint_gets_fewer_requests_than_the_others_until_it_is_warm() -> None:
    harness = BalancerHarness(settings(instances=400))
    # At two thirds of its full capacity.
    harness.update_endpoints([Endpoint(1, started_us=harness.now_us - 12_000_000), *ready_endpoints(3)])
    run_requests(harness, 1000, response_us=5_000)
    warming = sum(1 for s in harness.sends() if s.endpoint_id == 1)
    assert 0 < warming < 190  # an even share would be 250


def test_a_warming_endpoint_gets_more_while_the_warm_ones_are_slow() -> None:
    """If its sends competed with the free slots of others, it would be idle while they are overloaded."""

    def traffic_share(response_us: int) -> float:
        harness = BalancerHarness(settings(instances=40, warm_up_us=2_000_000_000))
        harness.update_endpoints([Endpoint(1, started_us=harness.now_us - 1_000), *ready_endpoints(9)])
        run_requests(harness, 600, response_us=response_us)
        before = len(harness.sends())
        run_requests(harness, 600, response_us=response_us)
        return sum(1 for s in harness.sends()[before:] if s.endpoint_id == 1) / 600

    even = 0.2 / 9.2  # its share by its warm-up fraction
    low_load, high_load = traffic_share(20_000), traffic_share(100_000)
    assert 0.6 * even < low_load <= 1.3 * even
    assert 1.4 * even < high_load <= 2.0 * even


@pytest.mark.parametrize("seed", range(20))
def test_a_warming_endpoint_without_warm_ones_gets_its_full_share(seed: int) -> None:
    """Each admitted request counts as a tenth of a response; a send is due after at most 2/3 of one."""
    harness = BalancerHarness(seed=seed)
    harness.update_endpoints(ready_endpoints(1, started_us=START_US))
    for _ in range(8):
        if harness.sends(harness.request_arrives(1)):
            return
    raise AssertionError("no request was sent")


def test_a_warming_endpoint_of_higher_capacity_gets_more_requests() -> None:
    harness = BalancerHarness(settings(instances=40, warm_up_us=2_000_000_000, weighted=True))
    warming = [Endpoint(1, started_us=harness.now_us, weight=3.0), Endpoint(2, started_us=harness.now_us)]
    harness.update_endpoints([*warming, *ready_endpoints(8)])
    run_requests(harness, 2_000, response_us=20_000)
    large, small = (sum(1 for s in harness.sends() if s.endpoint_id == number) for number in (1, 2))
    assert 2.4 * small < large < 3.6 * small


def test_a_warming_endpoint_that_rejects_gets_fewer_requests() -> None:
    def sends_with(outcome: Outcome) -> int:
        harness = BalancerHarness(settings(instances=40, warm_up_us=2_000_000_000))
        harness.update_endpoints([Endpoint(1, started_us=harness.now_us), *ready_endpoints(3)])
        for _ in range(600):
            request = harness.request_arrives(READ)
            harness.advance(20_000)
            for send in harness.sends(request):
                if harness.requests[request].attempts[0].outcome is None:
                    harness.end_attempt(request, 0, outcome if send.endpoint_id == 1 else Outcome.OK)
                elif harness.requests[request].attempts[-1].outcome is None:
                    harness.end_attempt(request, len(harness.requests[request].attempts) - 1, Outcome.OK)
        return sum(1 for s in harness.sends() if s.endpoint_id == 1)

    assert 0 < sends_with(Outcome.REJECTED) < sends_with(Outcome.OK) / 3
