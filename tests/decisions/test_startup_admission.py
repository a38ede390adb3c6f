"""Startup admission: an instance of a fleet starts with few requests and admits more as responses succeed."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.startup_admission import MAX_RETRY_AFTER_US, ON_TIME_PERIOD_US, StartupAdmission

OBJECTIVE_US = 300_000


def started_admission(instances: int, endpoints: int, seed: int = 1) -> StartupAdmission:
    admission = StartupAdmission(instances, 0, random.Random(seed).random)
    admission.endpoints_changed(endpoints)
    return admission


def respond(
    admission: StartupAdmission, outcome: Outcome = Outcome.OK, elapsed_us: int = 20_000, now_us: int = 1
) -> None:
    admission.attempt_ended(outcome, elapsed_us, OBJECTIVE_US, now_us)


def test_a_single_instance_is_never_limited() -> None:
    admission = started_admission(1, 8)
    assert all(admission.admits(in_flight, 0) for in_flight in range(1_000))


@pytest.mark.parametrize(("instances", "endpoints"), [(4, 8), (10, 8), (24, 8), (1_000, 20), (3, 100)])
def test_a_fleet_starts_with_one_request_per_endpoint_or_two_per_instance(
    instances: int, endpoints: int
) -> None:
    total_limit = sum(started_admission(instances, endpoints, seed).limit for seed in range(instances))
    assert max(2 * instances, 0.6 * endpoints) <= total_limit <= max(2 * instances, endpoints) + instances


def test_each_response_in_time_raises_the_limit_by_one() -> None:
    admission = started_admission(24, 16)
    for _ in range(2):
        for _ in range(int(admission.limit)):
            respond(admission)
    assert admission.limit == 8.0
    assert admission.admits(7, 1)
    assert not admission.admits(8, 1)
    assert admission.rejected == 1


def test_late_responses_and_rejections_lower_the_limit_but_failures_do_not() -> None:
    admission = started_admission(24, 16)
    for _ in range(4):
        respond(admission)
    for outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
        respond(admission, outcome)
    assert admission.limit == 6.0
    respond(admission, Outcome.TIMEOUT, OBJECTIVE_US)
    respond(admission, Outcome.REJECTED)
    respond(admission, Outcome.OK, OBJECTIVE_US * 9 // 10)
    assert admission.limit == 3.0
    for _ in range(10):
        respond(admission, Outcome.TIMEOUT, OBJECTIVE_US)
    assert admission.limit == admission.min_limit == 2.0, "the minimum limit is two"
    assert admission.admits(1, 1), "two requests are always admitted"


def test_the_limit_is_lifted_for_good_at_one_request_per_endpoint() -> None:
    admission = started_admission(24, 4)
    for _ in range(2):
        respond(admission)
    assert admission.admits(100, 1)
    assert admission.finished
    respond(admission, Outcome.TIMEOUT, OBJECTIVE_US)
    assert admission.admits(1_000, 2)


def test_the_limit_is_lifted_after_a_period_without_late_responses() -> None:
    on_time, late = started_admission(24, 8), started_admission(24, 8)
    respond(late, Outcome.TIMEOUT, OBJECTIVE_US, ON_TIME_PERIOD_US - 1)
    assert not on_time.admits(2, ON_TIME_PERIOD_US - 1)
    assert on_time.admits(2, ON_TIME_PERIOD_US)
    assert not late.admits(2, ON_TIME_PERIOD_US)
    assert not late.admits(2, 2 * ON_TIME_PERIOD_US - 2)


def test_a_growing_endpoint_list_never_lowers_the_limit() -> None:
    admission = started_admission(24, 4)
    respond(admission)
    admission.endpoints_changed(400)
    assert admission.limit == admission.min_limit >= 16.0, "the instance's share of more endpoints"
    limit_before = admission.limit
    admission.endpoints_changed(8)
    assert admission.limit == limit_before


def test_rejected_clients_retry_at_different_times() -> None:
    admission = started_admission(24, 8)
    retry_after_us = [admission.retry_after_us() for _ in range(400)]
    assert all(0 < after_us <= MAX_RETRY_AFTER_US for after_us in retry_after_us)
    whole_seconds = Counter(-(-after_us // 1_000_000) for after_us in retry_after_us)
    assert whole_seconds.keys() == {1, 2, 3}, "spread over the whole seconds of Retry-After"
    assert min(whole_seconds.values()) > 100, "spread over the whole seconds of Retry-After"


def test_without_endpoints_requests_are_admitted_and_the_limit_stays() -> None:
    admission = StartupAdmission(24, 0, random.Random(1).random)
    assert admission.admits(50, 0)
    assert not admission.finished
    admission.endpoints_changed(8)
    assert not admission.admits(2, 0)
