"""Retries, hedged requests and timeouts."""

from __future__ import annotations

import pytest

from plovertrail.decisions.actions import Fail
from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.scenarios import (
    MARK,
    PAY,
    READ,
    churn,
    fill,
    ready_world,
)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_a_request_that_never_ran_is_retried_at_another_endpoint(outcome: Outcome, class_index: int) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, outcome)
    first, second = world.sends(request)
    assert first.endpoint_id != second.endpoint_id


def test_an_at_most_once_request_that_may_have_run_fails() -> None:
    world = ready_world()
    request = world.arrive(PAY)
    world.end(request, 0, Outcome.RESET)
    assert isinstance(world.answer(request), Fail) and len(world.sends(request)) == 1


def test_an_at_most_once_request_times_out_when_its_response_is_of_no_more_use() -> None:
    world = ready_world()
    request = world.arrive(PAY)  # a late answer to it is worth nothing
    world.advance(290_000)
    assert world.answer(request) is None
    world.advance(20_000)
    assert isinstance(world.answer(request), Fail)


def test_a_request_with_a_late_weight_is_waited_for_until_its_deadline() -> None:
    world = ready_world(max_attempts=1)
    request = world.arrive(READ)
    world.advance(1_400_000)
    assert world.answer(request) is None


def test_a_slow_request_is_hedged_elsewhere_and_its_first_attempt_may_still_answer() -> None:
    world = ready_world()
    request = world.arrive(READ)
    world.advance(250_000)
    first, second = world.sends(request)
    assert first.endpoint_id != second.endpoint_id
    world.end(request, 0, Outcome.OK)
    assert world.answer(request) is None and world.owed[request].answers == 1


@pytest.mark.parametrize(("class_index", "hedging"), [(PAY, True), (READ, False)])
def test_a_request_is_not_hedged_where_that_is_not_allowed(class_index: int, hedging: bool) -> None:
    world = ready_world(hedging=hedging)
    request = world.arrive(class_index)
    world.advance(250_000)
    assert len(world.sends(request)) == 1


def test_no_request_is_hedged_while_another_is_buffered() -> None:
    world = ready_world()
    fill(world)
    world.advance(140_000)
    fill(world)
    world.advance(20_000)
    assert all(len(owed.tries) <= 1 for owed in world.owed.values())


@pytest.mark.parametrize(("class_index", "again"), [(READ, True), (MARK, True), (PAY, False)])
def test_an_error_is_retried_if_the_class_may_run_again(class_index: int, again: bool) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, Outcome.ERROR)
    assert (len(world.sends(request)) == 2) is again


def test_the_retry_budget_limits_retries_when_every_attempt_fails() -> None:
    world = ready_world(40, hedging=False)
    errors = 0
    for _ in range(60):
        request = world.arrive(READ)
        world.advance(200_000)
        while world.owed[request].out():
            world.end(request, len(world.owed[request].tries) - 1, Outcome.ERROR)
            errors += 1
    first = sum(1 for owed in world.owed.values() if owed.tries)
    assert 5 <= errors - first <= 5 + first / 5


def test_a_request_known_to_be_heavy_is_not_timed_out_early() -> None:
    world = ready_world(hedging=False)
    churn(world, 50)
    light, heavy = world.arrive(READ, cost_us=10_000), world.arrive(READ, cost_us=200_000)
    assert world.sends(light)[0].timeout_us < 200_000 < 800_000 <= world.sends(heavy)[0].timeout_us
