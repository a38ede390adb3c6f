"""Unexpected but valid events have no effect; invalid settings raise errors."""

from __future__ import annotations

import pytest

from plovertrail.decisions.actions import Fail
from plovertrail.decisions.events import (
    AttemptEnded,
    EndpointsUpdated,
    HealthCheckEnded,
    Outcome,
    PeerMessage,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.events import ListKind as Kind
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.settings import RequestClass, Tenant
from tests.decisions.load_balancing.harness import START_US, BalancerHarness, ready_endpoints, settings


def test_events_of_unknown_requests_and_endpoints_have_no_effect() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(3))
    for event in (
        AttemptEnded(77, 0, 100, Outcome.OK, 5, True),
        RequestCancelled(77),
        TimerFired(123456),
        StreamStarted(77, 0, 100, 5),
        HealthCheckEnded(4242, Outcome.OK, 5, [1.0, 2.0]),
        PeerMessage(1, b"hi"),
        EndpointsUpdated(Kind.FAILED),
    ):
        assert harness.handle_event(event) == []
    assert harness.sends(harness.request_arrives(0))


def test_outcomes_and_cancellations_after_the_final_answer_are_ignored() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(3))
    request = harness.request_arrives(0)
    harness.cancel_request(request)
    assert harness.end_attempt(request, 0, Outcome.ERROR) == []
    assert harness.handle_event(AttemptEnded(request, 0, 100, Outcome.OK, 5, True)) == []
    assert harness.handle_event(RequestCancelled(request)) == []
    served = harness.request_arrives(0)
    harness.end_attempt(served, 0, Outcome.OK)
    assert harness.handle_event(RequestCancelled(served)) == []


def test_an_outcome_of_a_nonexistent_attempt_is_ignored() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(3))
    request = harness.request_arrives(0)
    assert harness.handle_event(AttemptEnded(request, 9, 100, Outcome.OK, 5, False)) == []


def test_a_request_whose_stream_breaks_is_not_retried() -> None:
    harness = BalancerHarness(settings(classes=[RequestClass("feed", 100_000, 500_000, stream=True)]))
    harness.update_endpoints(ready_endpoints(3))
    request = harness.request_arrives(0)
    harness.start_stream(request, 0)
    harness.advance(3_000_000)
    harness.end_attempt(request, 0, Outcome.RESET)
    assert len(harness.sends(request)) == 1
    assert not isinstance(harness.answer(request), Fail)


def test_the_same_events_and_seed_give_the_same_actions() -> None:
    first, second, other = (LoadBalancer(settings(), seed, START_US) for seed in (5, 5, 6))
    results = []
    for balancer in (first, second, other):
        actions = balancer.handle(START_US, EndpointsUpdated(Kind.FULL, ready_endpoints(9)))
        for n in range(20):
            actions += balancer.handle(START_US, RequestArrived(n, START_US + 900_000))
        results.append(actions)
    assert results[0] == results[1] != results[2]


@pytest.mark.parametrize(
    ("make", "words"),
    [
        (lambda: RequestClass("x", 0, 10), "latency_objective_us above 0"),
        (lambda: RequestClass("x", 10, -1), "deadline_us above 0"),
        (lambda: RequestClass("x", 10, 10, effect="maybe"), "idempotent, deduplicated, at_most_once"),
        (lambda: RequestClass("x", 10, 10, dedup_scope="planet"), "all, zone, cell"),
        (lambda: RequestClass("x", 10, 10, late_weight=2), "late_weight from 0 to 1"),
        (lambda: Tenant("t", -1), "allowance_per_s of 0 or more"),
        (lambda: settings(max_attempts=-1), "max_attempts of 1 or more"),
        (lambda: settings(instances=0), "instances of 1 or more"),
        (lambda: settings(warm_up_initial_capacity=0), "warm_up_initial_capacity above 0"),
        (lambda: settings(warm_up_us=-5), "warm_up_us of 0 or more"),
        (lambda: settings(classes=[]), "at least one request class"),
    ],
)
def test_an_invalid_setting_raises_an_error_that_says_what_was_expected(make: object, words: str) -> None:
    with pytest.raises(ValueError, match="expected") as caught:
        make()  # type: ignore[operator]
    assert words in str(caught.value)
