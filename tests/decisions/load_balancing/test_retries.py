"""Retries, hedged requests and timeouts."""

from __future__ import annotations

import pytest

from plovertrail.decisions.actions import Fail
from plovertrail.decisions.events import Endpoint, Outcome
from plovertrail.decisions.settings import RequestClass
from tests.decisions.load_balancing.harness import BalancerHarness, settings
from tests.decisions.load_balancing.scenarios import (
    MARK,
    PAY,
    READ,
    fill_slots,
    ready_harness,
    run_requests,
)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_a_request_that_never_ran_is_retried_at_another_endpoint(outcome: Outcome, class_index: int) -> None:
    harness = ready_harness()
    request = harness.request_arrives(class_index)
    harness.end_attempt(request, 0, outcome)
    first, second = harness.sends(request)
    assert first.endpoint_id != second.endpoint_id


def test_an_at_most_once_request_that_may_have_run_fails() -> None:
    harness = ready_harness()
    request = harness.request_arrives(PAY)
    harness.end_attempt(request, 0, Outcome.RESET)
    assert isinstance(harness.answer(request), Fail)
    assert len(harness.sends(request)) == 1


def test_an_at_most_once_request_times_out_when_a_response_has_no_more_value() -> None:
    harness = ready_harness()
    request = harness.request_arrives(PAY)  # its class has no late weight
    harness.advance(290_000)
    assert harness.answer(request) is None
    harness.advance(20_000)
    assert isinstance(harness.answer(request), Fail)


def test_an_attempt_of_a_class_with_late_weight_lasts_until_the_deadline() -> None:
    harness = ready_harness(max_attempts=1)
    request = harness.request_arrives(READ)
    harness.advance(1_400_000)
    assert harness.answer(request) is None


def test_a_slow_request_is_hedged_at_another_endpoint_and_its_first_attempt_may_still_succeed() -> None:
    harness = ready_harness()
    request = harness.request_arrives(READ)
    harness.advance(250_000)
    first, second = harness.sends(request)
    assert first.endpoint_id != second.endpoint_id
    harness.end_attempt(request, 0, Outcome.OK)
    assert harness.answer(request) is None
    assert harness.requests[request].answers == 1


@pytest.mark.parametrize(("class_index", "hedging"), [(PAY, True), (READ, False)])
def test_a_request_is_not_hedged_where_that_is_not_allowed(class_index: int, hedging: bool) -> None:
    harness = ready_harness(hedging=hedging)
    request = harness.request_arrives(class_index)
    harness.advance(250_000)
    assert len(harness.sends(request)) == 1


def test_no_request_is_hedged_while_another_is_buffered() -> None:
    harness = ready_harness()
    fill_slots(harness)
    harness.advance(140_000)
    fill_slots(harness)
    harness.advance(20_000)
    assert all(len(record.attempts) <= 1 for record in harness.requests.values())


@pytest.mark.parametrize(("class_index", "is_retried"), [(READ, True), (MARK, True), (PAY, False)])
def test_an_error_is_retried_if_the_class_may_run_twice(class_index: int, is_retried: bool) -> None:
    harness = ready_harness()
    request = harness.request_arrives(class_index)
    harness.end_attempt(request, 0, Outcome.ERROR)
    assert (len(harness.sends(request)) == 2) is is_retried


def test_the_retry_budget_limits_retries_when_every_attempt_fails() -> None:
    harness = ready_harness(40, hedging=False)
    errors = 0
    for _ in range(60):
        request = harness.request_arrives(READ)
        harness.advance(200_000)
        while harness.requests[request].in_flight():
            harness.end_attempt(request, len(harness.requests[request].attempts) - 1, Outcome.ERROR)
            errors += 1
    first_attempts = sum(1 for record in harness.requests.values() if record.attempts)
    assert 5 <= errors - first_attempts <= 5 + first_attempts / 5


def test_a_request_known_to_be_heavy_gets_a_longer_timeout() -> None:
    harness = ready_harness(hedging=False)
    run_requests(harness, 50)
    light, heavy = (
        harness.request_arrives(READ, cost_us=10_000),
        harness.request_arrives(READ, cost_us=200_000),
    )
    assert harness.sends(light)[0].timeout_us < 200_000 < 800_000 <= harness.sends(heavy)[0].timeout_us


CELL_SCOPED = RequestClass(
    "top-up", 300_000, 1_500_000, effect="deduplicated", dedup_scope="cell", dedup_window_us=9_000_000
)


# Guards against a keyed request that runs again at another process, which came up at the address of the one
# that had ended under its first attempt.
@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.ERROR])
def test_a_keyed_request_does_not_go_back_to_the_endpoint_whose_connection_broke(outcome: Outcome) -> None:
    harness = BalancerHarness(settings(classes=[CELL_SCOPED]))
    harness.update_endpoints([Endpoint(1, cell=1), Endpoint(2, cell=2)])
    request = harness.request_arrives(0)
    harness.end_attempt(request, 0, outcome)
    harness.advance(1_600_000)
    first, *repeats = [send.endpoint_id for send in harness.sends(request)]
    assert repeats == ([] if outcome is Outcome.RESET else [first])


def test_a_keyed_request_whose_connection_broke_is_repeated_at_another_endpoint_of_its_cell() -> None:
    harness = BalancerHarness(settings(classes=[CELL_SCOPED]))
    harness.update_endpoints([Endpoint(1, cell=1), Endpoint(2, cell=1)])
    request = harness.request_arrives(0)
    harness.end_attempt(request, 0, Outcome.RESET)
    harness.end_attempt(request, 1, Outcome.RESET)
    harness.advance(1_600_000)
    assert {send.endpoint_id for send in harness.sends(request)} == {1, 2}
    assert len(harness.sends(request)) == 2
