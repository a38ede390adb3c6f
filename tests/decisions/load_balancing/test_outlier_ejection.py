"""Failure penalties, and ejection and restoration of endpoints."""

from __future__ import annotations

import pytest

from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind, Outcome
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints, settings
from tests.decisions.load_balancing.scenarios import (
    PAY,
    Fault,
    count_slots,
    ready_harness,
    run_requests,
)
from tests.decisions.load_balancing.test_concurrency_limits import busy_harness
from tests.decisions.load_balancing.test_overload_logging import log_lines


def traffic_share_after(outcome: Outcome, wait_us: int = 0) -> float:
    """Return the traffic of an endpoint after its first attempt, as a fraction of an even share."""
    sent = 0
    for seed in range(10):
        harness = BalancerHarness(settings(instances=40), seed)
        harness.update_endpoints(ready_endpoints(12))
        endpoint_id = 0
        while endpoint_id != 100:
            request = harness.request_arrives(PAY)
            endpoint_id = harness.sends(request)[0].endpoint_id
            harness.advance(10_000)
            harness.end_attempt(request, 0, outcome if endpoint_id == 100 else Outcome.OK)
        harness.advance(wait_us)
        before = len(harness.sends())
        run_requests(harness, 120, class_index=PAY)
        sent += sum(1 for s in harness.sends()[before:] if s.endpoint_id == 100)
    return sent / 100


def test_the_first_fault_of_an_endpoint_counts_while_few_endpoints_have_faults() -> None:
    """Otherwise an instance with little traffic would lose several requests that must not be retried."""
    assert traffic_share_after(Outcome.ERROR) < 0.4
    assert traffic_share_after(Outcome.ERROR) < 0.4 * traffic_share_after(Outcome.OK)


def test_faults_at_all_endpoints_penalize_at_most_a_third_of_them() -> None:
    harness = BalancerHarness(settings(instances=40))
    harness.update_endpoints(ready_endpoints(12))
    for _ in range(600):
        request = harness.request_arrives(PAY)
        harness.advance(5_000)
        if harness.sends(request) and harness.requests[request].attempts[0].outcome is None:
            harness.end_attempt(request, 0, Outcome.ERROR if request % 5 == 0 else Outcome.OK)
        assert len(harness.balancer.penalties.decay_at_us) <= 4  # a third
    assert all(any(s.endpoint_id == number for s in harness.sends()[-150:]) for number in range(100, 112))


def test_failure_penalties_decay_without_traffic() -> None:
    wait_us = 120_000_000
    assert traffic_share_after(Outcome.ERROR, wait_us) > 0.7 * traffic_share_after(Outcome.OK, wait_us)


def test_a_removed_endpoint_has_no_failure_penalty() -> None:
    harness = BalancerHarness(settings(instances=40))
    harness.update_endpoints(ready_endpoints(6))
    request = harness.request_arrives(PAY)
    endpoint_id = harness.sends(request)[0].endpoint_id
    harness.end_attempt(request, 0, Outcome.ERROR)
    assert list(harness.balancer.penalties.decay_at_us) == [endpoint_id]
    harness.update_endpoints([Endpoint(endpoint_id, EndpointStatus.REMOVED)], ListKind.DELTA)
    harness.advance(60_000_000)
    harness.request_arrives(PAY)
    assert not harness.balancer.penalties.decay_at_us
    assert not harness.balancer.penalties


def test_a_late_fault_of_a_removed_endpoint_does_not_count_after_it_is_added_again() -> None:
    harness = BalancerHarness(settings(instances=40))
    harness.update_endpoints(ready_endpoints(1))
    old = harness.request_arrives(PAY)
    harness.update_endpoints([Endpoint(100, EndpointStatus.REMOVED)], ListKind.DELTA)
    harness.update_endpoints(ready_endpoints(1), ListKind.DELTA)
    new = harness.request_arrives(PAY)
    harness.end_attempt(new, 0, Outcome.ERROR)
    assert list(harness.balancer.penalties.decay_at_us) == [100]
    assert harness.balancer.endpoints[100].failure_penalty > 0
    before = harness.balancer.endpoints[100].failure_penalty
    harness.end_attempt(old, 0, Outcome.ERROR)
    assert list(harness.balancer.penalties.decay_at_us) == [100]
    assert harness.balancer.endpoints[100].failure_penalty == before


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_an_endpoint_that_fails_fast_does_not_attract_traffic(outcome: Outcome) -> None:
    harness = ready_harness(5)
    run_requests(harness, 200, Fault(100, outcome))
    assert sum(1 for s in harness.sends() if s.endpoint_id == 100) < 20


def test_an_ejected_endpoint_is_tried_again_and_restored() -> None:
    harness = ready_harness(2)
    run_requests(harness, 40, Fault(100))
    run_requests(harness, 1000)
    assert sum(1 for s in harness.sends()[-200:] if s.endpoint_id == 100) > 30


def test_after_a_single_error_an_endpoint_keeps_half_of_its_slots() -> None:
    harness = busy_harness()
    before = count_slots(harness)
    harness.end_attempt(harness.request_arrives(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert count_slots(harness) >= before / 2 - 1


def count_rejected(harness: BalancerHarness, count: int) -> int:
    return sum(1 for _ in range(count) if not harness.sends(harness.request_arrives(PAY)))


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED, Outcome.ERROR])
def test_one_fault_at_each_endpoint_ejects_none(fault: Outcome) -> None:
    harness = ready_harness(6)
    for outcome in (Outcome.OK, fault):
        requests = [harness.request_arrives(PAY) for _ in range(6)]  # one at each endpoint
        harness.advance(20_000)
        for request in requests:
            harness.end_attempt(request, 0, outcome)
    assert count_rejected(harness, 6) == 0


def test_ejection_and_restoration_are_logged() -> None:
    harness = ready_harness(2)
    run_requests(harness, 200, Fault(100))
    assert log_lines(harness) == ["endpoint ejected endpoint=100"]
    run_requests(harness, 1000)
    assert log_lines(harness) == ["endpoint ejected endpoint=100", "endpoint restored endpoint=100"]
