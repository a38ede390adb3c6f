"""Histories over a restart: decay, half of good ones restored, none for endpoints that warm up."""

from __future__ import annotations

from dataclasses import replace

import pytest

from plovertrail.decisions.actions import Send
from plovertrail.decisions.events import Endpoint, EndpointsUpdated, ListKind, RequestArrived
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.response_tracking import EXCLUDE_AFTER
from plovertrail.decisions.warm_state import (
    HALF_LIFE_US,
    MAX_AGE_US,
    EndpointHistory,
    PoolHistory,
    collect_histories,
    decayed,
    history_of,
    restore_endpoint,
    restore_mean_latencies,
)
from tests.decisions.load_balancing.harness import START_US, ready_endpoints, settings

GOOD = EndpointHistory(5.0, 0.5, 0.0, 0.0, (0.0, 0.0), (0, 0))
BAD = EndpointHistory(0.1, 3.0, 0.8, 0.6, (0.4, 0.0), (5, 1))


def balancer_with(histories: dict[int, EndpointHistory], age_us: int = 0, seed: int = 1) -> LoadBalancer:
    """Return a load balancer with eight newly listed endpoints, some of them with histories."""
    balancer = LoadBalancer(settings(hedging=False), seed, START_US)
    classes = len(balancer.settings.classes)

    def adapt_classes(history: EndpointHistory) -> EndpointHistory:
        return replace(
            history,
            no_response_rate=(*history.no_response_rate, *[0.0] * classes)[:classes],
            consecutive_no_response=(*history.consecutive_no_response, *[0] * classes)[:classes],
        )

    balancer.set_endpoint_restorer(
        lambda endpoint: (
            endpoint.listed.id in histories
            and restore_endpoint(balancer, endpoint, adapt_classes(histories[endpoint.listed.id]), age_us)
        )
    )
    balancer.handle(START_US, EndpointsUpdated(ListKind.CACHED, ready_endpoints(8)))
    return balancer


@pytest.mark.parametrize("age_us", [0, HALF_LIFE_US, 4 * HALF_LIFE_US])
def test_a_history_decays_with_age_and_half_of_a_good_one_is_restored(age_us: int) -> None:
    remaining = 2.0 ** (-age_us / HALF_LIFE_US)
    good, bad = decayed(GOOD, age_us), decayed(BAD, age_us)
    assert good is not None
    assert bad is not None
    assert good.concurrency_limit == pytest.approx(1.0 + 4.0 * 0.5 * remaining)
    assert good.relative_latency == pytest.approx(1.0 - 0.5 * remaining)
    assert bad.concurrency_limit == pytest.approx(1.0 - 0.9 * remaining)
    assert bad.failure_penalty == pytest.approx(0.6 * remaining)
    assert max(bad.consecutive_no_response) < EXCLUDE_AFTER  # nothing could end the exclusion


@pytest.mark.parametrize("age_us", [-1, MAX_AGE_US, 7 * 86_400 * 1_000_000])
def test_a_history_that_is_too_old_or_from_the_future_is_ignored(age_us: int) -> None:
    assert decayed(BAD, age_us) is None
    balancer = balancer_with({100: BAD}, age_us)
    assert balancer.endpoints[100].concurrency_limit == 1.0
    assert not balancer.penalties.decay_at_us


def test_a_restarted_fleet_sends_less_to_a_failing_endpoint_than_to_unknown_ones() -> None:
    """Two hundred instances start together, each with eight requests."""
    sent = dict.fromkeys(range(100, 108), 0)
    for seed in range(200):
        balancer = balancer_with({100: BAD, 101: GOOD}, 1_000_000, seed)
        for request in range(8):
            for action in balancer.handle(START_US, RequestArrived(request, START_US + 1_000_000)):
                if isinstance(action, Send):
                    sent[action.endpoint_id] += 1
    others = [sent[number] for number in range(102, 108)]
    assert sent[100] == 0
    assert sent[101] > max(others)
    assert sum(sent.values()) == 1_600


def test_endpoints_that_warm_up_or_are_unremarkable_have_no_history() -> None:
    balancer = balancer_with({100: BAD, 101: GOOD})
    warming = Endpoint(200, started_us=START_US - 1)
    balancer.handle(START_US, EndpointsUpdated(ListKind.DELTA, [warming]))
    balancer.endpoints[200].concurrency_limit = 0.1
    assert history_of(balancer, balancer.endpoints[200]) is None
    assert history_of(balancer, balancer.endpoints[102]) is None
    found = collect_histories(
        balancer, [(number, (str(number), "a")) for number in (*balancer.endpoints, 999)]
    )
    assert set(found) == {("100", "a"), ("101", "a")}


def test_a_history_with_other_classes_is_ignored() -> None:
    balancer = balancer_with({})
    old = EndpointHistory(0.1, 3.0, 0.0, 0.0, (0.0,) * 9, (0,) * 9)
    assert not restore_endpoint(balancer, balancer.endpoints[100], old, 0)
    assert balancer.endpoints[100].concurrency_limit == 1.0


def test_mean_latencies_are_restored_with_decay_to_the_estimate() -> None:
    name = settings().classes[0].name
    for age_us, remaining in ((0, 1.0), (HALF_LIFE_US, 0.5), (MAX_AGE_US, 0.0), (-5, 0.0)):
        balancer = balancer_with({})
        estimate_us = balancer.latencies.mean_us[0]
        restore_mean_latencies(
            balancer, PoolHistory(START_US - age_us, {}, {name: 2 * estimate_us}), START_US
        )
        assert balancer.latencies.mean_us[0] == pytest.approx(estimate_us * (1 + remaining))
