"""Growth and reduction of concurrency limits."""

from __future__ import annotations

from plovertrail.decisions.events import ListKind, Outcome
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints, settings
from tests.decisions.load_balancing.scenarios import (
    PAY,
    count_slots,
    fill_slots,
    ready_harness,
    run_requests,
)


def test_limits_grow_only_while_requests_find_no_free_slot() -> None:
    harness = ready_harness(4)
    run_requests(harness, 100)
    assert count_slots(harness) == 4


def test_limits_grow_on_demand_and_are_reduced_by_slow_responses() -> None:
    harness = ready_harness(4)

    def run_rounds(count: int, response_us: int) -> None:
        for _ in range(count):
            fill_slots(harness)
            run_requests(harness, 1, response_us=response_us)

    run_rounds(60, 20_000)
    run_requests(harness, 1)
    slots_before = count_slots(harness)
    assert 8 <= slots_before <= 32
    run_rounds(20, 250_000)
    run_requests(harness, 3)
    assert count_slots(harness) < slots_before / 2


def test_limits_begin_at_one_slot_whatever_the_number_of_instances() -> None:
    few, many = ready_harness(4, instances=3), ready_harness(4, instances=400)
    assert len(fill_slots(many)) == len(fill_slots(few)) == 5


def busy_harness() -> BalancerHarness:
    """Return a harness with one endpoint whose limit has grown in a shortage of slots."""
    harness = ready_harness(1)
    for _ in range(80):
        fill_slots(harness)
        run_requests(harness, 1, response_us=20_000)
    run_requests(harness, 1)
    return harness


def test_one_heavy_request_among_fast_ones_reduces_no_limit() -> None:
    harness = busy_harness()
    before = count_slots(harness)
    run_requests(harness, 1, response_us=170_000)  # more than half the latency objective
    assert count_slots(harness) >= before - 1


def test_without_demand_no_limit_exceeds_one() -> None:
    harness = ready_harness(40, instances=24)
    run_requests(harness, 400)
    assert all(endpoint.concurrency_limit <= 1 for endpoint in harness.balancer.endpoints.values())


def test_limits_grow_until_two_objectives_after_a_shortage() -> None:
    growth = []
    for pause_us in (300_000, 900_000):
        harness = ready_harness(1)
        requests = fill_slots(harness)
        harness.advance(10_000)
        for request in (requests[0], requests[-1]):
            harness.end_attempt(request, 0, Outcome.OK)
        harness.advance(pause_us)
        before = harness.balancer.endpoints[100].concurrency_limit
        run_requests(harness, 3)
        growth.append(harness.balancer.endpoints[100].concurrency_limit - before)
    assert growth[0] > 0
    assert growth[1] == 0


def test_limits_grow_faster_with_faster_responses() -> None:
    slots = []
    for response_us in (10_000, 120_000):
        harness = ready_harness(4)
        for _ in range(6):
            fill_slots(harness)
            run_requests(harness, 1, response_us=response_us)
        run_requests(harness, 1, response_us=response_us)
        slots.append(count_slots(harness))
    assert slots[0] > slots[1]


def test_limits_grow_fast_after_an_instance_starts_under_load() -> None:
    def count_rejected(kind: ListKind) -> int:
        harness = BalancerHarness(settings())
        harness.update_endpoints(ready_endpoints(4), kind)
        count = 0
        for _ in range(10):  # each time more requests than open slots
            requests = [harness.request_arrives(PAY) for _ in range(16)]
            sent = [request for request in requests if harness.sends(request)]
            count += len(requests) - len(sent)
            harness.advance(5_000)
            for request in sent:
                harness.end_attempt(request, 0, Outcome.OK)
        return count

    assert count_rejected(ListKind.CACHED) < count_rejected(ListKind.FULL) * 0.8
