"""Endpoint selection compared with a reference that examines all endpoints for each request."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import reference_balance
from plovertrail.decisions.actions import CloseIdle
from plovertrail.decisions.events import (
    Endpoint,
    EndpointStatus,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.class_exclusions import MAX_EXCLUDED_SHARE
from plovertrail.decisions.load_balancing.endpoint_selection import MIN_ACTIVE, SENDS_PER_S_PER_ACTIVE
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import PENALTY_SCALE
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.slow_start import STALE_ENTRIES
from tests.decisions.load_balancing import harness as harness_module
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints

OUTCOMES = [
    Outcome.OK,
    Outcome.OK,
    Outcome.OK,
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.RESET,
    Outcome.MALFORMED,
    Outcome.CONNECT_FAILED,
]
STEP = st.tuples(
    st.sampled_from(["arrive", "arrive", "end", "advance", "list", "cancel"]), st.integers(0, 2**16)
)


def reference_weights(balancer: LoadBalancer, request: RequestState) -> dict[int, float]:
    """Return the endpoints, with their weights, that the reference would select from in the current state."""
    oracle = object.__new__(reference_balance.LoadBalancer)
    oracle.settings, oracle.now_us = balancer.settings, balancer.now_us
    endpoints = list(balancer.endpoints.values())
    index = request.event.class_index
    excluded_count = sum(1 for endpoint in endpoints if balancer.now_us < endpoint.excluded_until_us[index])
    may_exclude = excluded_count <= MAX_EXCLUDED_SHARE * len(endpoints)
    if not balancer.retries.may_send(request, balancer.now_us):
        return {}
    for group in balancer.table.groups:
        if group.admission.credit < 1.0:
            continue
        members = [endpoint for endpoint in endpoints if endpoint.group is group]
        warming, active, standby = (
            free_slots(oracle, request, [each for each in members if each.listed.id in sampler], may_exclude)
            for sampler in (group.warming, group.active, group.standby)
        )
        needed = MIN_ACTIVE + int(group.admission.send_rate.per_second / SENDS_PER_S_PER_ACTIVE)
        if len(group.active) < needed:
            active, standby = standby, active
        weights = warming or active or standby
        if weights:
            return weights
    return {}


def free_slots(
    oracle: reference_balance.LoadBalancer,
    request: RequestState,
    endpoints: list[EndpointState],
    may_exclude: bool,
) -> dict[int, float]:
    shares = oracle.free_slots(request, endpoints, may_exclude)  # type: ignore[arg-type]
    return {
        endpoint.listed.id: share / (1.0 + endpoint.failure_penalty / PENALTY_SCALE) ** 2  # type: ignore[attr-defined]
        for endpoint, share in shares
    }


def select(balancer: LoadBalancer, request: RequestState) -> EndpointState | None:
    """Return the endpoint that the balancer selects for a request now."""
    if not balancer.retries.may_send(request, balancer.now_us):
        return None
    balancer.reopener.reopen_due(balancer.now_us)
    return balancer.selector.select_endpoint(request, balancer.now_us)


def check_consistency(balancer: LoadBalancer) -> None:
    """Check that the indexes and counts are consistent with the endpoints."""
    balancer.reopener.reopen_due(balancer.now_us)
    assert set(balancer.penalties.decay_at_us) == {
        n for n, endpoint in balancer.endpoints.items() if endpoint.failure_penalty
    }
    for index, count in enumerate(balancer.exclusions.counts):
        assert count == sum(
            1 for s in balancer.endpoints.values() if balancer.now_us < s.excluded_until_us[index]
        )
    for group in balancer.table.groups:
        ids = {number for number, endpoint in balancer.endpoints.items() if endpoint.group is group}
        samplers = [set(group.active), set(group.standby), set(group.warming)]
        assert set().union(*samplers) == ids
        assert sum(map(len, samplers)) == len(ids)
        assert group.capacity == pytest.approx(
            sum(balancer.table.relative_capacity(balancer.endpoints[n].listed) for n in ids)
        )
        assert set(group.warming) == {
            n for n in ids if balancer.table.warm_up_fraction(balancer.endpoints[n], balancer.now_us) < 1.0
        }
    for kind in ("zone", "cell"):
        for number, endpoint in balancer.endpoints.items():
            assert balancer.table.dedup_groups[kind, getattr(endpoint.listed, kind)][number] is endpoint
    assert sum(map(len, balancer.table.dedup_groups.values())) == 2 * len(balancer.endpoints)


def run_steps(steps: list[tuple[str, int]], seed: int) -> BalancerHarness:
    """Run some steps, and check consistency and selection after each."""
    harness = BalancerHarness(
        harness_module.settings(
            warm_up_initial_capacity=0.3, warm_up_us=3_000_000, weighted=True, select_by_weight=True
        ),
        seed,
    )
    entries = [Endpoint(100 + i, zone=i // 2, cell=i // 2, weight=1.0 + i % 3) for i in range(8)]
    harness.update_endpoints(entries)
    for kind, number in steps:
        if kind == "arrive":
            for _ in range(1 + number % 4):
                harness.request_arrives(
                    number % 3, key=number, excluded=frozenset((100,)) if number % 5 == 0 else ()
                )
        elif kind == "end":
            in_flight = [
                (request_id, n) for request_id, record in harness.requests.items() for n in record.in_flight()
            ]
            if in_flight:
                harness.end_attempt(*in_flight[number % len(in_flight)], OUTCOMES[number % len(OUTCOMES)])
        elif kind == "advance":
            harness.advance((1, 1_000, 30_000, 200_000, 900_000)[number % 5])
        elif kind == "cancel":
            open_ids = [request_id for request_id, record in harness.requests.items() if not record.is_closed]
            if open_ids:
                harness.cancel_request(open_ids[number % len(open_ids)])
        else:
            entry = changed_entry(entries[number % len(entries)], number, harness.now_us)
            entries[number % len(entries)] = entry
            harness.update_endpoints([entry], ListKind.DELTA)
        check_consistency(harness.balancer)
        check_selection(harness.balancer)
    return harness


def changed_entry(entry: Endpoint, number: int, now_us: int) -> Endpoint:
    """Return a list entry with another status, cell, weight and start time."""
    state = (EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED)[number % 3]
    started_us = now_us - number % 2_000_000 if number % 2 else 0
    return Endpoint(entry.id, state, entry.zone, 0, (entry.cell + number) % 4, 1.0 + number % 4, started_us)


def check_selection(balancer: LoadBalancer) -> None:
    """Check that each open request would get an endpoint that the reference may select."""
    for request in balancer.requests.values():
        if request.in_flight == 0 and not request.is_closed:
            expected = reference_weights(balancer, request)
            selected = select(balancer, request)
            assert (selected is None) == (not expected)
            assert selected is None or selected.listed.id in expected


@settings(max_examples=120, deadline=None)
@given(st.lists(STEP, max_size=60), st.integers(0, 1000))
def test_state_is_consistent_and_selections_agree_with_the_reference(
    steps: list[tuple[str, int]], seed: int
) -> None:
    run_steps(steps, seed)


@pytest.mark.parametrize("seed", range(6))
def test_endpoints_are_selected_as_often_as_by_the_reference(seed: int) -> None:
    rng = random.Random(seed)
    kinds = ["arrive", "arrive", "arrive", "end", "end", "advance", "list"]
    harness = run_steps([(rng.choice(kinds), rng.randrange(2**16)) for _ in range(150)], seed)
    balancer = harness.balancer
    harness.advance(100_000)
    for group in balancer.table.groups:
        group.admission.credit = 2.0
    for class_index in range(3):
        event = RequestArrived(9_999, balancer.now_us + 1_000_000, class_index)
        request = RequestState(event, balancer.settings.classes[class_index], balancer.now_us)
        expected = reference_weights(balancer, request)
        count = 4_000
        selected = Counter(
            endpoint.listed.id for _ in range(count) if (endpoint := select(balancer, request))
        )
        assert set(selected) <= set(expected)
        assert sum(selected.values()) == (count if expected else 0)
        total = sum(expected.values())
        for number, share in expected.items():
            mean = count * share / total
            # Four standard deviations, and four more selections for endpoints that are selected rarely.
            assert abs(selected[number] - mean) <= 4 * (mean * (1 - share / total)) ** 0.5 + 4


def test_an_endpoint_excluded_for_a_request_is_never_selected() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(3))
    excluded = frozenset((100, 102))
    request_ids = [harness.request_arrives(0, excluded=excluded) for _ in range(20)]
    assert {send.endpoint_id for request_id in request_ids for send in harness.sends(request_id)} == {101}
    balancer = harness.balancer
    event = RequestArrived(9_999, balancer.now_us + 1_000_000, excluded=frozenset((100, 101, 102)))
    request = RequestState(event, balancer.settings.classes[0], balancer.now_us)
    assert [select(balancer, request) for _ in range(50)] == [None] * 50


def test_the_count_of_exclusions_is_updated_when_they_end_and_when_endpoints_are_removed() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(4))
    balancer = harness.balancer
    for number in (100, 101, 102):
        balancer.exclusions.exclude(balancer.endpoints[number], 0, harness.now_us + 1_000 * number)
    balancer.exclusions.exclude(balancer.endpoints[100], 0, harness.now_us + 500_000)  # extended
    balancer.exclusions.exclude(balancer.endpoints[101], 0, 0)
    check_consistency(balancer)
    assert balancer.exclusions.counts[0] == 2
    harness.update_endpoints([Endpoint(102, EndpointStatus.REMOVED)], ListKind.DELTA)
    check_consistency(balancer)
    assert balancer.exclusions.counts[0] == 1
    for after_us, count in ((499_999, 1), (2, 0)):
        harness.advance(after_us)
        harness.handle_event(TimerFired(0))  # so that the load balancer learns the time
        check_consistency(balancer)
        assert balancer.exclusions.counts[0] == count


def test_a_retry_goes_to_an_endpoint_not_yet_tried_if_there_is_one() -> None:
    harness = BalancerHarness(harness_module.settings(hedging=False))
    harness.update_endpoints(ready_endpoints(3))
    request_id = harness.request_arrives(0)
    selected = [harness.sends(request_id)[-1].endpoint_id]
    for attempt in range(3):
        harness.end_attempt(request_id, attempt, Outcome.CONNECT_FAILED)
        selected.append(harness.sends(request_id)[-1].endpoint_id)
    assert len(set(selected[:3])) == 3


def test_an_endpoint_that_is_added_again_is_not_affected_by_its_old_attempts() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(1))
    old = harness.request_arrives(0)
    harness.update_endpoints([Endpoint(100, EndpointStatus.REMOVED)], ListKind.DELTA)
    harness.update_endpoints(ready_endpoints(1), ListKind.DELTA)
    harness.request_arrives(0)
    balancer = harness.balancer
    assert 100 in balancer.table.groups[0].active
    assert balancer.endpoints[100].in_flight == 1
    before = len(harness.actions)
    balancer.requests[old].attempts[0].endpoint.concurrency_limit = 0.01
    harness.end_attempt(old, 0, Outcome.REJECTED)
    assert 100 in balancer.table.groups[0].active
    assert not [action for action in harness.actions[before:] if isinstance(action, CloseIdle)]
    check_consistency(balancer)


def test_endpoints_that_restart_repeatedly_without_traffic_leave_no_state() -> None:
    harness = BalancerHarness(harness_module.settings(warm_up_us=1_000_000))
    for _ in range(300):
        harness.update_endpoints(ready_endpoints(4, started_us=harness.now_us))
        harness.advance(600_000)
    group = harness.balancer.table.groups[0]
    assert len(group.warm_up) <= 2 * 4 + STALE_ENTRIES
    assert len(harness.balancer.rechecks) <= 12
    check_consistency(harness.balancer)
    for _ in range(20):
        harness.advance(100_000)
        request_id = harness.request_arrives(0)
        if harness.sends(request_id):
            harness.end_attempt(request_id, 0, Outcome.OK)
    assert len(harness.sends()) > 10
