"""What one of many instances lets in after a start: few at once, and more only as answers come in time."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.startup_admission import CALM_PERIOD_US, MAX_RETRY_AFTER_US, StartupAdmission

AIM_US = 300_000


def began(size: int, servers: int, seed: int = 1) -> StartupAdmission:
    it = StartupAdmission(size, 0, random.Random(seed).random)
    it.endpoints_changed(servers)
    return it


def answer(
    it: StartupAdmission, outcome: Outcome = Outcome.OK, elapsed_us: int = 20_000, now_us: int = 1
) -> None:
    it.attempt_ended(outcome, elapsed_us, AIM_US, now_us)


def test_one_alone_is_never_held_back() -> None:
    it = began(1, 8)
    assert all(it.admits(at_once, 0) for at_once in range(1_000))


@pytest.mark.parametrize(("size", "servers"), [(4, 8), (10, 8), (24, 8), (1_000, 20), (3, 100)])
def test_all_together_begin_with_one_request_at_each_server_or_two_each(size: int, servers: int) -> None:
    together = sum(began(size, servers, seed).limit for seed in range(size))
    assert max(2 * size, 0.6 * servers) <= together <= max(2 * size, servers) + size


def test_each_answer_in_time_lets_one_more_in_so_that_a_round_doubles_it() -> None:
    it = began(24, 16)
    for _ in range(2):
        for _ in range(int(it.limit)):
            answer(it)
    assert it.limit == 8.0
    assert it.admits(7, 1) and not it.admits(8, 1)
    assert it.rejected == 1


def test_late_answers_and_turnings_away_take_it_back_and_faults_change_nothing() -> None:
    it = began(24, 16)
    for _ in range(4):
        answer(it)
    for outcome in (Outcome.ERROR, Outcome.RESET, Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
        answer(it, outcome)
    assert it.limit == 6.0
    answer(it, Outcome.TIMEOUT, AIM_US)
    answer(it, Outcome.REJECTED)
    answer(it, Outcome.OK, AIM_US * 9 // 10)
    assert it.limit == 3.0
    for _ in range(10):
        answer(it, Outcome.TIMEOUT, AIM_US)
    assert it.limit == it.min_limit == 2.0 and it.admits(1, 1), "two at a time, whatever comes"


def test_it_is_over_with_one_for_each_server_and_for_good() -> None:
    it = began(24, 4)
    for _ in range(2):
        answer(it)
    assert it.admits(100, 1) and it.finished
    answer(it, Outcome.TIMEOUT, AIM_US)
    assert it.admits(1_000, 2)


def test_time_alone_ends_it_only_where_nothing_was_late() -> None:
    calm, choked = began(24, 8), began(24, 8)
    answer(choked, Outcome.TIMEOUT, AIM_US, CALM_PERIOD_US - 1)
    assert not calm.admits(2, CALM_PERIOD_US - 1)
    assert calm.admits(2, CALM_PERIOD_US)
    assert not choked.admits(2, CALM_PERIOD_US) and not choked.admits(2, 2 * CALM_PERIOD_US - 2)


def test_a_list_that_grows_leaves_what_was_won() -> None:
    it = began(24, 4)
    answer(it)
    it.endpoints_changed(400)
    assert it.limit == it.min_limit >= 16.0, "its part of more servers"
    won = it.limit
    it.endpoints_changed(8)
    assert it.limit == won


def test_the_refused_are_told_times_that_differ() -> None:
    it = began(24, 8)
    told = [it.retry_after_us() for _ in range(400)]
    assert all(0 < after_us <= MAX_RETRY_AFTER_US for after_us in told)
    whole = Counter(-(-after_us // 1_000_000) for after_us in told)
    assert whole.keys() == {1, 2, 3} and min(whole.values()) > 100, "in whole seconds as well"


def test_before_any_server_is_known_it_neither_holds_back_nor_ends() -> None:
    it = StartupAdmission(24, 0, random.Random(1).random)
    assert it.admits(50, 0) and not it.finished
    it.endpoints_changed(8)
    assert not it.admits(2, 0)
