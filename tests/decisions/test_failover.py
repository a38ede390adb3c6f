"""A request goes on to its next pool only while no attempt may have run, under bounds over all pools."""

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
    standing: FailoverState,
    *serving: bool,
    most: int = 3,
    retry_budget: RetryBudget | None = None,
    now_us: int = 0,
) -> int | None:
    return next_pool(standing, serving, most, retry_budget or RetryBudget(), now_us)


def tried(*outcomes: Outcome, pools_tried: int = 1) -> FailoverState:
    standing = FailoverState(due_us=100, pools_tried=pools_tried)
    for outcome in outcomes:
        standing.attempt_began()
        standing.attempt_ended(outcome)
    return standing


def test_pools_are_asked_in_their_order_and_empty_ones_passed_over() -> None:
    assert next_pool_of(FailoverState(100), True, True) == 0
    assert next_pool_of(FailoverState(100), False, True) == 1
    assert next_pool_of(FailoverState(100), False, False) is None
    assert next_pool_of(FailoverState(100, pools_tried=1), True, True, True) == 1
    assert next_pool_of(FailoverState(100, pools_tried=2), True, True) is None


@pytest.mark.parametrize("outcome", list(Outcome))
def test_only_what_never_ran_goes_on(outcome: Outcome) -> None:
    assert next_pool_of(tried(outcome), True, True) == (1 if outcome in NEVER_RAN else None)
    assert next_pool_of(tried(Outcome.REJECTED, outcome), True, True) == (1 if outcome in NEVER_RAN else None)
    assert next_pool_of(tried(outcome, Outcome.REJECTED), True, True) == (1 if outcome in NEVER_RAN else None)


def test_an_attempt_that_is_out_holds_the_request() -> None:
    standing = tried(Outcome.REJECTED)
    standing.attempt_began()
    assert next_pool_of(standing, True, True) is None


def test_attempts_time_and_reissues_are_counted_over_all_pools() -> None:
    two = tried(Outcome.REJECTED, Outcome.REJECTED)
    assert next_pool_of(two, True, True, most=3) == 1
    assert next_pool_of(two, True, True, most=2) is None
    assert next_pool_of(two, True, True, now_us=100) is None
    spent = RetryBudget()
    spent.balance = 0.9
    assert next_pool_of(two, True, True, retry_budget=spent) is None
    assert next_pool_of(tried(), True, True, retry_budget=spent) == 1  # the first attempt is no reissue


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
        """How often a request is sent that every server turns away."""
        event = RequestArrived(9, 900_000, earlier_attempts=earlier, attempts_left=3 - earlier)
        actions = balancer.handle(1, event)
        count = 0
        while any(isinstance(action, Send) for action in actions):
            upstream = next(action.endpoint_id for action in actions if isinstance(action, Send))
            actions = balancer.handle(2, AttemptEnded(9, count, upstream, Outcome.REJECTED))
            count += 1
        return count

    assert sends(first, earlier=0) == 3
    after = retry_budget.balance
    assert after == MAX_RETRY_BALANCE - 2
    assert sends(second, earlier=2) == 1
    assert retry_budget.balance == after - 1


def test_a_pool_leaves_an_attempt_to_each_pool_behind_it() -> None:
    def left(standing: FailoverState, *serving: bool, number: int = 0, most: int = 4) -> int:
        return attempts_left(standing, serving, number, most)

    assert left(tried(), True) == 4
    assert left(tried(), True, True) == 3
    assert left(tried(), True, False, True) == 3  # an empty one needs none
    assert left(tried(), *[True] * 8) == 1  # it has one itself
    assert left(tried(Outcome.REJECTED, Outcome.REJECTED), True, True, True, number=1) == 1
    assert left(tried(*[Outcome.REJECTED] * 3), True, True, True, number=1) == 1


def test_the_figure_that_a_request_brings_counts_and_not_the_pool_s_own() -> None:
    """The first pool's figure is four, and three attempts were made: a pool of one or of six has one left."""
    for own in (1, 6):
        settings = Settings([RequestClass("read", 100_000, 1_000_000)], max_attempts=own)
        balancer = LoadBalancer(settings, 1, 0)
        balancer.handle(0, EndpointsUpdated(ListKind.FULL, [Endpoint(1), Endpoint(2), Endpoint(3)]))
        actions = balancer.handle(1, RequestArrived(9, 900_000, earlier_attempts=3, attempts_left=1))
        sends = [action for action in actions if isinstance(action, Send)]
        assert len(sends) == 1
        actions = balancer.handle(2, AttemptEnded(9, 0, sends[0].endpoint_id, Outcome.REJECTED))
        assert not [action for action in actions if isinstance(action, Send)]
