"""Admission to an overloaded group is reduced, and recovers after the overload."""

from __future__ import annotations

import pytest

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints, settings
from tests.decisions.load_balancing.scenarios import (
    PAY,
    ready_harness,
    run_requests,
    run_slow_requests,
)


def admission_after_overload(interval_us: int, recovery_us: int) -> float:
    """Return the admission probability `recovery_us` after an overload, with one request per interval."""
    harness = BalancerHarness(settings(instances=40))
    harness.update_endpoints(ready_endpoints(8))
    started_us = harness.now_us
    overload_us = started_us + 10_000_000
    while harness.now_us < overload_us + 4_000_000 + recovery_us:
        is_overloaded = overload_us <= harness.now_us < overload_us + 4_000_000
        response_us = 290_000 if is_overloaded else 20_000
        if (harness.now_us - started_us) % interval_us == 0:
            harness.request_arrives(PAY)
        harness.advance(10_000)
        for request_id in [
            request_id for request_id, record in harness.requests.items() if record.in_flight()
        ]:
            record = harness.requests[request_id]
            for attempt in record.in_flight():
                if harness.now_us >= record.attempts[attempt].sent_us + response_us:
                    harness.end_attempt(request_id, attempt, Outcome.OK)
    return harness.balancer.table.groups[0].admission.probability


@pytest.mark.parametrize("interval_us", [10_000, 50_000, 150_000, 300_000])
def test_admission_recovers_in_time_after_an_overload_even_with_little_traffic(interval_us: int) -> None:
    """If responses counted by the send rate alone, little traffic would stay reduced for half a minute."""
    assert admission_after_overload(interval_us, 0) < 0.5
    assert admission_after_overload(interval_us, 2_000_000) > 0.5
    assert admission_after_overload(interval_us, 5_000_000) > 0.9


def test_admission_grows_each_second_without_responses() -> None:
    harness = BalancerHarness(settings(instances=40))
    harness.update_endpoints([])  # nothing can be sent, so there are no responses
    group = harness.balancer.table.groups[0]
    group.admission.probability, probabilities = 0.1, []
    for _ in range(20):
        harness.request_arrives(PAY)
        harness.advance(500_000)
        probabilities.append(group.admission.probability)
    assert probabilities == sorted(probabilities)
    assert probabilities[4] < 0.3
    assert probabilities[-1] == 1.0


def test_while_all_endpoints_are_slow_an_instance_with_little_traffic_sends_less() -> None:
    harness = ready_harness(40, instances=400)
    run_slow_requests(harness, 30)
    assert 3 <= len(harness.sends()) <= 12
    run_requests(harness, 300)
    before = len(harness.sends())
    run_requests(harness, 20)
    assert len(harness.sends()) - before == 20


def test_one_slow_response_among_fast_ones_does_not_reduce_admission() -> None:
    harness = ready_harness(40, instances=400)
    run_requests(harness, 30, class_index=PAY)
    run_slow_requests(harness, 1)
    before = len(harness.sends())
    run_requests(harness, 10, class_index=PAY)
    assert len(harness.sends()) - before == 10


def test_requests_not_admitted_in_the_local_zone_go_to_another() -> None:
    harness = ready_harness(8, zone=1, cross_zone_fee=0.2, instances=400)
    run_requests(harness, 30, class_index=PAY)
    assert {harness.listed[s.endpoint_id].zone for s in harness.sends()} == {1}
    before = len(harness.sends())
    for _ in range(30):
        request = harness.request_arrives(PAY)
        local = [s for s in harness.sends(request) if harness.listed[s.endpoint_id].zone == 1]
        harness.advance(300_000 if local else 20_000)
        if not local and harness.requests[request].in_flight():
            harness.end_attempt(request, 0, Outcome.OK)
    remote = [s for s in harness.sends()[before:] if harness.listed[s.endpoint_id].zone != 1]
    assert len(remote) >= 10
    assert len(harness.sends()) - before >= 25
