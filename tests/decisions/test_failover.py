"""Failover to the next pool only if no attempt may have run, with limits over all pools."""

from __future__ import annotations

import pytest

from plovertrail.decisions.actions import Send
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsUpdated,
    ListKind,
    Outcome,
    RequestArrived,
)
from plovertrail.decisions.failover import FailoverState, attempts_left, next_pool
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN
from plovertrail.decisions.load_balancing.retry_budget import (
    MAX_RETRY_BALANCE,
    RetryBudget,
)
from plovertrail.decisions.settings import RequestClass, Settings


def next_pool_of(
    failover: FailoverState,
    *serving: bool,
    max_attempts: int = 3,
    retry_budget: RetryBudget | None = None,
    now_us: int = 0,
) -> int | None:
    return next_pool(failover, serving, max_attempts, retry_budget or RetryBudget(), now_us)


def failover_after(*outcomes: Outcome, pools_tried: int = 1) -> FailoverState:
    failover = FailoverState(due_us=100, pools_tried=pools_tried)
    for outcome in outcomes:
        failover.attempt_began()
        failover.attempt_ended(outcome)
    return failover


def test_pools_are_tried_in_order_and_empty_ones_are_skipped() -> None:
    assert next_pool_of(FailoverState(100), True, True) == 0
    assert next_pool_of(FailoverState(100), False, True) == 1
    assert next_pool_of(FailoverState(100), False, False) is None
    assert next_pool_of(FailoverState(100, pools_tried=1), True, True, True) == 1
    assert next_pool_of(FailoverState(100, pools_tried=2), True, True) is None


@pytest.mark.parametrize("outcome", list(Outcome))
def test_only_a_request_that_never_ran_fails_over(outcome: Outcome) -> None:
    assert next_pool_of(failover_after(outcome), True, True) == (1 if outcome in NEVER_RAN else None)
    assert next_pool_of(failover_after(Outcome.REJECTED, outcome), True, True) == (
        1 if outcome in NEVER_RAN else None
    )
    assert next_pool_of(failover_after(outcome, Outcome.REJECTED), True, True) == (
        1 if outcome in NEVER_RAN else None
    )


def test_an_attempt_in_flight_prevents_failover() -> None:
    failover = failover_after(Outcome.REJECTED)
    failover.attempt_began()
    assert next_pool_of(failover, True, True) is None


def test_attempts_deadline_and_retries_are_counted_over_all_pools() -> None:
    rejected_twice = failover_after(Outcome.REJECTED, Outcome.REJECTED)
    assert next_pool_of(rejected_twice, True, True, max_attempts=3) == 1
    assert next_pool_of(rejected_twice, True, True, max_attempts=2) is None
    assert next_pool_of(rejected_twice, True, True, now_us=100) is None
    exhausted_budget = RetryBudget()
    exhausted_budget.balance = 0.9
    assert next_pool_of(rejected_twice, True, True, retry_budget=exhausted_budget) is None
    assert (
        next_pool_of(failover_after(), True, True, retry_budget=exhausted_budget) == 1
    )  # the first attempt is not a retry


def test_two_balancers_share_one_budget_and_one_count_of_attempts() -> None:
    retry_budget = RetryBudget()
    settings = Settings(
        classes=[RequestClass("buy", 100_000, 1_000_000, effect="at_most_once", late_weight=1)],
        max_attempts=3,
    )
    first, second = (LoadBalancer(settings, seed, 0, retry_budget) for seed in (1, 2))
    for balancer in (first, second):
        balancer.handle(0, EndpointsUpdated(ListKind.FULL, [Endpoint(1), Endpoint(2), Endpoint(3)]))

    def sends(balancer: LoadBalancer, earlier: int) -> int:
        """Return how often a request is sent that every endpoint rejects."""
        event = RequestArrived(9, 900_000, earlier_attempts=earlier, attempts_left=3 - earlier)
        actions = balancer.handle(1, event)
        count = 0
        while any(isinstance(action, Send) for action in actions):
            endpoint_id = next(action.endpoint_id for action in actions if isinstance(action, Send))
            actions = balancer.handle(2, AttemptEnded(9, count, endpoint_id, Outcome.REJECTED))
            count += 1
        return count

    assert sends(first, earlier=0) == 3
    after = retry_budget.balance
    assert after == MAX_RETRY_BALANCE - 2
    assert sends(second, earlier=2) == 1
    assert retry_budget.balance == after - 1


def test_a_pool_leaves_an_attempt_to_each_later_pool() -> None:
    def left(failover: FailoverState, *serving: bool, number: int = 0, max_attempts: int = 4) -> int:
        return attempts_left(failover, serving, number, max_attempts)

    assert left(failover_after(), True) == 4
    assert left(failover_after(), True, True) == 3
    assert left(failover_after(), True, False, True) == 3  # a pool without endpoints needs none
    assert left(failover_after(), *[True] * 8) == 1  # each pool has at least one
    assert left(failover_after(Outcome.REJECTED, Outcome.REJECTED), True, True, True, number=1) == 1
    assert left(failover_after(*[Outcome.REJECTED] * 3), True, True, True, number=1) == 1


def test_the_attempts_left_of_a_request_override_the_pool_s_own_maximum() -> None:
    """After three attempts of the first pool's four, a pool that allows one or six has one attempt left."""
    for pool_max_attempts in (1, 6):
        settings = Settings([RequestClass("read", 100_000, 1_000_000)], max_attempts=pool_max_attempts)
        balancer = LoadBalancer(settings, 1, 0)
        balancer.handle(0, EndpointsUpdated(ListKind.FULL, [Endpoint(1), Endpoint(2), Endpoint(3)]))
        actions = balancer.handle(1, RequestArrived(9, 900_000, earlier_attempts=3, attempts_left=1))
        sends = [action for action in actions if isinstance(action, Send)]
        assert len(sends) == 1
        actions = balancer.handle(2, AttemptEnded(9, 0, sends[0].endpoint_id, Outcome.REJECTED))
        assert not [action for action in actions if isinstance(action, Send)]
