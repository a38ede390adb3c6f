"""What one of many instances admits after a start: few at once, and more only as responses come in time."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.startup_admission import MAX_RETRY_AFTER_US, ON_TIME_PERIOD_US, StartupAdmission

OBJECTIVE_US = 300_000


def started(instances: int, endpoints: int, seed: int = 1) -> StartupAdmission:
    it = StartupAdmission(instances, 0, random.Random(seed).random)
    it.endpoints_changed(endpoints)
    return it


def respond(
    it: StartupAdmission, outcome: Outcome = Outcome.OK, elapsed_us: int = 20_000, now_us: int = 1
) -> None:
    it.attempt_ended(outcome, elapsed_us, OBJECTIVE_US, now_us)


def test_an_instance_that_is_alone_is_never_limited() -> None:
    it = started(1, 8)
    assert all(it.admits(at_once, 0) for at_once in range(1_000))


@pytest.mark.parametrize(("instances", "endpoints"), [(4, 8), (10, 8), (24, 8), (1_000, 20), (3, 100)])
def test_all_instances_together_begin_with_one_request_at_each_endpoint_or_two_each(
    instances: int, endpoints: int
) -> None:
    together = sum(started(instances, endpoints, seed).limit for seed in range(instances))
    assert max(2 * instances, 0.6 * endpoints) <= together <= max(2 * instances, endpoints) + instances


def test_each_response_in_time_admits_one_more_so_that_a_round_doubles_the_limit() -> None:
    it = started(24, 16)
    for _ in range(2):
        for _ in range(int(it.limit)):
            respond(it)
    assert it.limit == 8.0
    assert it.admits(7, 1)
    assert not it.admits(8, 1)
    assert it.rejected == 1


def test_late_responses_and_rejections_lower_the_limit_and_faults_change_nothing() -> None:
    it = started(24, 16)
    for _ in range(4):
        respond(it)
    for outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
        respond(it, outcome)
    assert it.limit == 6.0
    respond(it, Outcome.TIMEOUT, OBJECTIVE_US)
    respond(it, Outcome.REJECTED)
    respond(it, Outcome.OK, OBJECTIVE_US * 9 // 10)
    assert it.limit == 3.0
    for _ in range(10):
        respond(it, Outcome.TIMEOUT, OBJECTIVE_US)
    assert it.limit == it.min_limit == 2.0, "two at a time, whatever comes"
    assert it.admits(1, 1), "two at a time, whatever comes"


def test_it_ends_for_good_with_one_request_for_each_endpoint() -> None:
    it = started(24, 4)
    for _ in range(2):
        respond(it)
    assert it.admits(100, 1)
    assert it.finished
    respond(it, Outcome.TIMEOUT, OBJECTIVE_US)
    assert it.admits(1_000, 2)


def test_time_alone_ends_it_only_without_late_responses() -> None:
    calm, choked = started(24, 8), started(24, 8)
    respond(choked, Outcome.TIMEOUT, OBJECTIVE_US, ON_TIME_PERIOD_US - 1)
    assert not calm.admits(2, ON_TIME_PERIOD_US - 1)
    assert calm.admits(2, ON_TIME_PERIOD_US)
    assert not choked.admits(2, ON_TIME_PERIOD_US)
    assert not choked.admits(2, 2 * ON_TIME_PERIOD_US - 2)


def test_a_growing_endpoint_list_never_lowers_the_limit() -> None:
    it = started(24, 4)
    respond(it)
    it.endpoints_changed(400)
    assert it.limit == it.min_limit >= 16.0, "its part of more servers"
    won = it.limit
    it.endpoints_changed(8)
    assert it.limit == won


def test_rejected_clients_retry_at_different_times() -> None:
    it = started(24, 8)
    told = [it.retry_after_us() for _ in range(400)]
    assert all(0 < after_us <= MAX_RETRY_AFTER_US for after_us in told)
    whole = Counter(-(-after_us // 1_000_000) for after_us in told)
    assert whole.keys() == {1, 2, 3}, "in whole seconds as well"
    assert min(whole.values()) > 100, "in whole seconds as well"


def test_before_any_endpoint_is_known_it_neither_limits_nor_ends() -> None:
    it = StartupAdmission(24, 0, random.Random(1).random)
    assert it.admits(50, 0)
    assert not it.finished
    it.endpoints_changed(8)
    assert not it.admits(2, 0)
