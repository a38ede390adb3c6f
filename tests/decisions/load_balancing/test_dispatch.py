"""Dispatch of requests: sent, buffered or rejected."""

from __future__ import annotations

import pytest

from plovertrail.decisions.actions import Reject
from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind, Outcome
from plovertrail.decisions.settings import Tenant
from tests.decisions.load_balancing.harness import BalancerHarness
from tests.decisions.load_balancing.scenarios import (
    MARK,
    PAY,
    READ,
    fill_slots,
    ready_harness,
    run_requests,
)


def test_a_request_is_sent_at_once_to_a_ready_endpoint() -> None:
    harness = ready_harness()
    request = harness.request_arrives(READ)
    assert [s.endpoint_id in harness.listed for s in harness.sends(request)] == [True]


def test_without_a_free_slot_one_request_is_buffered_and_the_next_is_rejected() -> None:
    harness = ready_harness()
    requests = fill_slots(harness)
    assert harness.answer(requests[-1]) is None
    last = harness.request_arrives(READ)
    answer = harness.answer(last)
    assert isinstance(answer, Reject)
    assert answer.retry_after_us > 0


def test_the_buffered_request_gets_the_first_free_slot() -> None:
    harness = ready_harness()
    requests = fill_slots(harness)
    freed = harness.sends(requests[0])[0].endpoint_id
    harness.end_attempt(requests[0], 0, Outcome.OK)
    assert [s.endpoint_id for s in harness.sends(requests[-1])] == [freed]


def test_a_request_buffered_for_too_long_is_rejected() -> None:
    harness = ready_harness()
    buffered = fill_slots(harness)[-1]
    harness.advance(200_000)
    assert isinstance(harness.answer(buffered), Reject)


def test_a_request_too_close_to_its_deadline_is_rejected_without_an_attempt() -> None:
    harness = ready_harness()
    request = harness.request_arrives(READ, timeout_us=1_000)
    assert isinstance(harness.answer(request), Reject)
    assert not harness.sends(request)


def test_without_ready_endpoints_a_request_is_buffered_and_then_rejected() -> None:
    harness = BalancerHarness()
    harness.update_endpoints([])
    request = harness.request_arrives(READ)
    harness.advance(400_000)
    assert isinstance(harness.answer(request), Reject)
    harness.update_endpoints([Endpoint(5)])
    assert harness.sends(harness.request_arrives(READ))


def test_draining_and_removed_endpoints_get_no_requests() -> None:
    harness = ready_harness(2)
    harness.update_endpoints([Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)])
    request = harness.request_arrives(READ)
    harness.advance(1_000_000)
    assert not harness.sends(request)


def test_a_request_of_higher_value_replaces_the_buffered_one() -> None:
    harness = ready_harness()
    low = fill_slots(harness)[-1]
    high = harness.request_arrives(PAY)
    assert isinstance(harness.answer(low), Reject)
    assert harness.answer(high) is None
    next_low = harness.request_arrives(READ)
    assert isinstance(harness.answer(next_low), Reject)
    harness.end_attempt(harness.sends()[0].request, 0, Outcome.OK)
    assert harness.sends(high)


def test_a_buffered_request_of_a_tenant_over_its_share_is_replaced() -> None:
    harness = ready_harness(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_share_weight=0.1)
    for _ in range(50):
        harness.request_arrives(READ, tenant=0)
    buffered = harness.balancer.buffer.waiting
    assert buffered is not None
    assert buffered.event.tenant == 0
    within_share = harness.request_arrives(READ, tenant=1)
    assert harness.answer(within_share) is None
    assert harness.answer(buffered.event.request) is not None


def test_response_times_of_zero_are_handled() -> None:
    harness = ready_harness()
    run_requests(harness, 50, response_us=0)
    buffered, last = fill_slots(harness)[-1], harness.request_arrives(PAY)
    assert [harness.answer(request) is None for request in (buffered, last)].count(True) == 1


def test_a_stale_timer_does_not_arm_another() -> None:
    harness = ready_harness(2)
    for _ in range(50):
        fill_slots(harness)
        harness.advance(1_000)
        for request_id, record in list(harness.requests.items()):
            for attempt in record.in_flight():
                harness.end_attempt(request_id, attempt, Outcome.REJECTED)
    harness.advance(10_000_000)
    assert len(harness.timers) == 0


def test_removed_endpoints_leave_no_state() -> None:
    harness = ready_harness(4)
    for number in range(50):
        harness.update_endpoints([Endpoint(1000 + number)], ListKind.DELTA)
        run_requests(harness, 5)
        harness.update_endpoints([Endpoint(1000 + number, EndpointStatus.REMOVED)], ListKind.DELTA)
    assert len(harness.balancer.endpoints) == 4
    assert len(harness.balancer.table.groups[0].active) <= 4


@pytest.mark.parametrize("hedging", [True, False])
def test_requests_are_sent_again_after_an_outage_in_which_all_attempts_timed_out(hedging: bool) -> None:
    harness = ready_harness(2, hedging=hedging)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            harness.request_arrives(class_index)
        harness.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        run_requests(harness, 20, class_index=class_index)
        before = len(harness.sends())
        run_requests(harness, 20, class_index=class_index)
        assert len(harness.sends()) - before >= 15
