"""Retries over a chain: the bounds against brute force, and the model never above the bounds."""

from __future__ import annotations

import itertools
from collections.abc import Iterator, Sequence
from dataclasses import replace

import pytest

from benchmarks.capacity import retry_bound
from benchmarks.capacity.retry_bound import Chain, Effect, Failure, Propagation
from benchmarks.capacity.retry_chain import ALONE, BUSY, SCENARIOS, Job, Load, RetryChain, Scenario, play
from benchmarks.capacity.retry_model import Model, Plan
from benchmarks.capacity.slopes import Unit
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.load_balancing.outcomes import RETRYABLE
from plovertrail.decisions.load_balancing.retry_budget import MAX_RETRY_BALANCE, RETRY_SHARE, RetryBudget


def brute_force(factors: Sequence[int]) -> list[int]:
    """Each attempt makes all attempts of the next hop: counted one by one."""
    counts = [0] * len(factors)

    def call(depth: int) -> None:
        if depth == len(factors):
            return
        for _ in range(factors[depth]):
            counts[depth] += 1
            call(depth + 1)

    call(0)
    return counts


def brute_force_with_budgets(factors: Sequence[int], servers: int) -> list[int]:
    """The same with real budgets, each attempt at the next server in turn."""
    counts = [0] * len(factors)
    budgets = [[RetryBudget() for _ in range(servers if depth else 1)] for depth in range(len(factors))]

    def call(depth: int, sidecar: int) -> None:
        if depth == len(factors):
            return
        budget = budgets[depth][sidecar]
        for number in range(factors[depth]):
            if number and budget.balance < 1.0:
                return
            if number:
                budget.record_retry()
            else:
                budget.record_first_attempt()
            counts[depth] += 1
            call(depth + 1, counts[depth] % servers)

    call(0, 0)
    return counts


FACTORS = list(itertools.chain.from_iterable(itertools.product((1, 2, 3, 4), repeat=n) for n in (1, 2, 3, 4)))


@pytest.mark.parametrize("factors", FACTORS[::3])
def test_attempts_multiply_as_counted_one_by_one(factors: tuple[int, ...]) -> None:
    assert retry_bound.by_attempts(factors) == brute_force(factors)


@pytest.mark.parametrize("servers", [1, 2, 9])
@pytest.mark.parametrize(
    "factors", [(3,), (3, 3), (3, 3, 3), (3, 3, 3, 3), (2, 4, 3, 2, 3), (10, 10, 10), (3,) * 9]
)
def test_budgets_allow_no_more_than_the_bound(factors: tuple[int, ...], servers: int) -> None:
    chain = Chain(len(factors), servers, 4_000_000, 500)
    bound = retry_bound.by_budget(chain, factors)
    counted = brute_force_with_budgets(factors, servers)
    assert all(count <= most for count, most in zip(counted, bound, strict=True))
    assert counted[0] == bound[0]


def outcomes_seen(effect: Effect, outcome: Outcome, attempts: int) -> Iterator[int]:
    """Attempts of one call that a real model of one hop makes, over several seeds."""
    for seed in range(5):
        failure = Failure(outcome)
        plan = Plan(1, effect, failure, Propagation.ERROR, 1, 1.0, attempts=attempts)
        # time for all of them
        model = Model(replace(plan, deadline_us=60_000_000, memory_us=60_000_000), seed)
        model.play()
        yield model.worst(1)


@pytest.mark.parametrize("attempts", [1, 2, 3, 5])
@pytest.mark.parametrize("failure", list(Failure))
@pytest.mark.parametrize("effect", list(Effect))
def test_one_hop_makes_as_many_attempts_as_the_rules_say(
    effect: Effect, failure: Failure, attempts: int
) -> None:
    most = retry_bound.attempts_of_one_call(effect, failure.value, attempts)
    assert max(outcomes_seen(effect, failure.value, attempts)) == most


def test_an_outcome_that_is_not_reissued_has_one_attempt() -> None:
    for outcome in set(Outcome) - set(RETRYABLE):
        assert retry_bound.attempts_of_one_call(Effect.SAFE, outcome, 3) == 1


def test_a_chain_of_unsafe_calls_multiplies_only_where_services_tell_that_nothing_has_run() -> None:
    chain = Chain(24, 9, 4_000_000, 500)
    refused = Failure.CONNECT_REFUSED
    told = retry_bound.factors(chain, Effect.UNSAFE, refused, Propagation.NOT_RUN)
    untold = retry_bound.factors(chain, Effect.UNSAFE, refused, Propagation.ERROR)
    ran = retry_bound.factors(chain, Effect.UNSAFE, Failure.RESET, Propagation.NOT_RUN)
    assert retry_bound.by_attempts(told)[-1] == 3**24
    assert retry_bound.by_attempts(untold)[-1] == 3
    assert retry_bound.by_attempts(ran)[-1] == 1


def test_the_long_run_goes_by_the_share_of_reissues() -> None:
    assert retry_bound.sustained([3] * 24)[-1] == pytest.approx((1 + RETRY_SHARE) ** 24)
    assert retry_bound.sustained([1] * 24)[-1] == 1.0
    assert retry_bound.most_reissues(0, 1) == MAX_RETRY_BALANCE


@pytest.mark.parametrize("load", [ALONE, BUSY], ids=["alone", "busy"])
@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_the_model_is_never_above_the_bounds(scenario: Scenario, load: Load) -> None:
    for seed in range(2):
        count = play(Job(scenario, load, 6, seed))
        assert (count.above_bound, count.above_budget) == (0, 0), count


def test_the_model_reaches_the_bound_of_two_hops() -> None:
    """Else it would show little that it stays below."""
    scenario = Scenario(Effect.SAFE, Failure.ERROR_ANSWER, Propagation.ERROR)
    assert max(play(Job(scenario, ALONE, 2, seed)).worst[-1] for seed in range(5)) == 9


@pytest.mark.parametrize("share", [0.3, 0.9])
@pytest.mark.parametrize("propagation", list(Propagation))
def test_the_model_is_not_above_the_bounds_while_a_part_fails(share: float, propagation: Propagation) -> None:
    scenario = Scenario(Effect.SAFE, Failure.NOT_RUN_REFUSAL, propagation)
    plan = replace(Job(scenario, BUSY, 8, 1).plan, failing_share=share)
    model = Model(plan, 1)
    model.play()
    bounds = retry_bound.of_one_call(plan.chain, scenario.effect, scenario.failure, propagation, alone=False)
    for depth, bound in enumerate(bounds, 1):
        assert model.worst(depth) <= bound
        assert model.reissues(depth) <= retry_bound.most_reissues(model.first_sends[depth], plan.servers)


def test_a_healthy_chain_serves_all_that_comes_slowly() -> None:
    plan = Plan(4, Effect.SAFE, Failure.ERROR_ANSWER, Propagation.ERROR, 0, 2.0, calm_s=10.0)
    model = Model(plan, 1)
    model.play()
    assert model.served_in_calm == 1.0
    assert set(model.served_by_second()) == {1.0}
    assert not model.failing
    assert not any(model.reissues(depth) for depth in range(1, 5))


def test_the_role_reports_slopes_over_depths() -> None:
    role = RetryChain()
    role.counts = [play(Job(SCENARIOS[0], ALONE, depth, seed)) for depth in (1, 2, 3, 4) for seed in range(2)]
    slope = role.slope(SCENARIOS[0], ALONE)
    assert slope.unit is Unit.ATTEMPTS_PER_CALL
    assert [sample.size for sample in slope.samples] == [1, 2, 3, 4]
    assert slope.fit.slope > 0
