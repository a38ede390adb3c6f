"""Judgements over a restart: bad news as it was and fading, good news for half, nothing of what is cold."""

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


def balancer_with(judged: dict[int, EndpointHistory], age_us: int = 0, seed: int = 1) -> LoadBalancer:
    """A module that has just been told of eight servers and remembers some."""
    made = LoadBalancer(settings(hedging=False), seed, START_US)
    classes = len(made.settings.classes)

    def fit(old: EndpointHistory) -> EndpointHistory:
        return replace(
            old,
            no_response_rate=(*old.no_response_rate, *[0.0] * classes)[:classes],
            consecutive_no_response=(*old.consecutive_no_response, *[0] * classes)[:classes],
        )

    made.restore_endpoints_with(
        lambda server: (
            server.listed.id in judged
            and restore_endpoint(made, server, fit(judged[server.listed.id]), age_us)
        )
    )
    made.handle(START_US, EndpointsUpdated(ListKind.CACHED, ready_endpoints(8)))
    return made


@pytest.mark.parametrize("age_us", [0, HALF_LIFE_US, 4 * HALF_LIFE_US])
def test_news_fades_by_its_age_and_good_news_counts_for_half_at_once(age_us: int) -> None:
    left = 2.0 ** (-age_us / HALF_LIFE_US)
    good, bad = decayed(GOOD, age_us), decayed(BAD, age_us)
    assert good is not None and bad is not None
    assert good.concurrency_limit == pytest.approx(1.0 + 4.0 * 0.5 * left)
    assert good.relative_latency == pytest.approx(1.0 - 0.5 * left)
    assert bad.concurrency_limit == pytest.approx(1.0 - 0.9 * left) and bad.failure_penalty == pytest.approx(
        0.6 * left
    )
    assert max(bad.consecutive_no_response) < EXCLUDE_AFTER  # nothing would ever end it


@pytest.mark.parametrize("age_us", [-1, MAX_AGE_US, 7 * 86_400 * 1_000_000])
def test_what_is_too_old_or_from_the_future_is_no_news(age_us: int) -> None:
    assert decayed(BAD, age_us) is None
    balancer = balancer_with({100: BAD}, age_us)
    assert balancer.endpoints[100].concurrency_limit == 1.0 and not balancer.penalties.decay_at_us


def test_a_bad_server_gets_less_from_a_fleet_that_restarts_than_an_unknown_one() -> None:
    """Two hundred instances begin at one moment, each with eight requests."""
    sent = dict.fromkeys(range(100, 108), 0)
    for seed in range(200):
        balancer = balancer_with({100: BAD, 101: GOOD}, 1_000_000, seed)
        for request in range(8):
            for action in balancer.handle(START_US, RequestArrived(request, START_US + 1_000_000)):
                if isinstance(action, Send):
                    sent[action.endpoint_id] += 1
    others = [sent[number] for number in range(102, 108)]
    assert sent[100] == 0 and sent[101] > max(others)
    assert sum(sent.values()) == 1_600


def test_a_cold_server_and_one_that_is_like_any_other_are_not_remembered() -> None:
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


def test_a_judgement_under_other_classes_is_not_taken() -> None:
    balancer = balancer_with({})
    old = EndpointHistory(0.1, 3.0, 0.0, 0.0, (0.0,) * 9, (0,) * 9)
    assert not restore_endpoint(balancer, balancer.endpoints[100], old, 0)
    assert balancer.endpoints[100].concurrency_limit == 1.0


def test_usual_times_are_begun_with_and_fade_to_the_guess() -> None:
    name = settings().classes[0].name
    for age_us, part in ((0, 1.0), (HALF_LIFE_US, 0.5), (MAX_AGE_US, 0.0), (-5, 0.0)):
        balancer = balancer_with({})
        guess_us = balancer.latencies.mean_us[0]
        restore_mean_latencies(balancer, PoolHistory(START_US - age_us, {}, {name: 2 * guess_us}), START_US)
        assert balancer.latencies.mean_us[0] == pytest.approx(guess_us * (1 + part))
