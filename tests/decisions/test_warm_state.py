"""Histories over a restart: bad ones fade, good ones count for half, warming endpoints have none."""

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
    """Make a load balancer that has just listed eight endpoints and has histories of some."""
    balancer = LoadBalancer(settings(hedging=False), seed, START_US)
    classes = len(balancer.settings.classes)

    def fit(history: EndpointHistory) -> EndpointHistory:
        return replace(
            history,
            no_response_rate=(*history.no_response_rate, *[0.0] * classes)[:classes],
            consecutive_no_response=(*history.consecutive_no_response, *[0] * classes)[:classes],
        )

    balancer.set_endpoint_restorer(
        lambda server: (
            server.listed.id in histories
            and restore_endpoint(balancer, server, fit(histories[server.listed.id]), age_us)
        )
    )
    balancer.handle(START_US, EndpointsUpdated(ListKind.CACHED, ready_endpoints(8)))
    return balancer


@pytest.mark.parametrize("age_us", [0, HALF_LIFE_US, 4 * HALF_LIFE_US])
def test_a_history_fades_by_its_age_and_a_good_one_counts_for_half_at_once(age_us: int) -> None:
    left = 2.0 ** (-age_us / HALF_LIFE_US)
    good, bad = decayed(GOOD, age_us), decayed(BAD, age_us)
    assert good is not None
    assert bad is not None
    assert good.concurrency_limit == pytest.approx(1.0 + 4.0 * 0.5 * left)
    assert good.relative_latency == pytest.approx(1.0 - 0.5 * left)
    assert bad.concurrency_limit == pytest.approx(1.0 - 0.9 * left)
    assert bad.failure_penalty == pytest.approx(0.6 * left)
    assert max(bad.consecutive_no_response) < EXCLUDE_AFTER  # nothing would ever end it


@pytest.mark.parametrize("age_us", [-1, MAX_AGE_US, 7 * 86_400 * 1_000_000])
def test_a_history_that_is_too_old_or_from_the_future_is_ignored(age_us: int) -> None:
    assert decayed(BAD, age_us) is None
    balancer = balancer_with({100: BAD}, age_us)
    assert balancer.endpoints[100].concurrency_limit == 1.0
    assert not balancer.penalties.decay_at_us


def test_a_failing_endpoint_gets_less_from_a_restarted_fleet_than_an_unknown_one() -> None:
    """Two hundred instances begin at one moment, each with eight requests."""
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


def test_a_warming_endpoint_and_an_ordinary_one_have_no_history() -> None:
    balancer = balancer_with({100: BAD, 101: GOOD})
    cold = Endpoint(200, started_us=START_US - 1)
    balancer.handle(START_US, EndpointsUpdated(ListKind.DELTA, [cold]))
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


def test_mean_latencies_are_restored_and_fade_to_the_estimate() -> None:
    name = settings().classes[0].name
    for age_us, part in ((0, 1.0), (HALF_LIFE_US, 0.5), (MAX_AGE_US, 0.0), (-5, 0.0)):
        balancer = balancer_with({})
        guess_us = balancer.latencies.mean_us[0]
        restore_mean_latencies(balancer, PoolHistory(START_US - age_us, {}, {name: 2 * guess_us}), START_US)
        assert balancer.latencies.mean_us[0] == pytest.approx(guess_us * (1 + part))
