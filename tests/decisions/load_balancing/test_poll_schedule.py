"""The bounds of calls for the list: what discovery has is known in time, whatever calls failed before."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

import pytest

from plovertrail.decisions.actions import Action, SetTimer, Subscribe
from plovertrail.decisions.events import Endpoint, EndpointsUpdated, ListKind, TimerFired
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.poll_schedule import (
    MIN_SPREAD_US,
    NOTIFICATION_LIMIT_US,
    POLL_TIMEOUT_US,
    RESPONSE_LIMIT_US,
    WATCH_TIMEOUT_US,
    max_notification_delay_us,
    max_poll_gap_us,
)
from plovertrail.decisions.settings import Settings
from tests.decisions.load_balancing.harness import START_US, settings

SLACK_US = 50_000  # the protocol page: each time limit is so much longer on sockets
GRACES_US = [250_000, 1_000_000, 2_000_000]
REFUSED, WAITS, LOST = "refused at once", "503 after its wait", "no answer at all"


def asked(grace_us: int, **changes: object) -> Settings:
    values: dict[str, object] = {
        "endpoints_on_request": True,
        "max_poll_interval_us": 10_000_000,
        "drain_grace_us": grace_us,
    }
    return settings(**(values | changes))


@dataclass
class Discovery:
    """One that is down for a while. A call that is made meanwhile fails, also if it is back by then."""

    back_us: int
    how: str
    rng: random.Random
    silent_us: int = 0  # when open subscriptions fall silent, once
    told: list[int] = field(default_factory=list)

    def call(self, now_us: int) -> tuple[int, EndpointsUpdated]:
        """When a call ends, and how."""
        if now_us < self.back_us:
            waits_us = {REFUSED: 1_000, WAITS: RESPONSE_LIMIT_US, LOST: POLL_TIMEOUT_US}[self.how]
            return now_us + waits_us, EndpointsUpdated(ListKind.FAILED)
        return now_us + self.rng.randint(0, RESPONSE_LIMIT_US), EndpointsUpdated(
            ListKind.FULL, [Endpoint(1)], 1
        )


def next_us(actions: list[Action], now_us: int) -> int:
    """When to look again: at the next timer, or soon, as one may have been asked for before."""
    timers = [action.at_us for action in actions if isinstance(action, SetTimer)]
    return min([*timers, now_us + 10_000])


def told_at(config: Settings, discovery: Discovery, seed: int) -> int:
    """When an instance has the list after discovery's return."""
    balancer = LoadBalancer(config, seed, START_US)
    due: list[tuple[int, int, EndpointsUpdated | TimerFired]] = [(START_US, 0, TimerFired(0))]
    number = 0
    while due:
        now_us, _, event = heapq.heappop(due)
        assert now_us < START_US + 120_000_000
        if isinstance(event, EndpointsUpdated) and event.kind is ListKind.FULL:
            return now_us
        for action in balancer.handle(now_us, event):
            number += 1
            if isinstance(action, Subscribe):
                at_us, ends = discovery.call(now_us)
                heapq.heappush(due, (at_us, number, ends))
            elif isinstance(action, SetTimer):
                heapq.heappush(due, (action.at_us, number, TimerFired(0)))
    raise AssertionError("it has stopped calling")


@pytest.mark.parametrize("grace_us", GRACES_US)
@pytest.mark.parametrize("how", [REFUSED, WAITS, LOST])
def test_what_discovery_has_is_known_in_time_after_an_outage(grace_us: int, how: str) -> None:
    """Six seconds after its return, and the grace of a drain, of one instance and of two hundred alike."""
    worst_us = 0
    for seed in range(60):
        rng = random.Random(seed)
        instances = rng.choice([1, 5, 40, 200])
        back_us = START_US + rng.randint(0, 20_000_000)
        config = asked(
            grace_us, instances=instances, max_poll_interval_us=rng.choice([4_000_000, 60_000_000])
        )
        told_us = told_at(config, Discovery(back_us, how, rng), seed)
        worst_us = max(worst_us, told_us - back_us)
    assert RESPONSE_LIMIT_US < worst_us <= NOTIFICATION_LIMIT_US + grace_us + SLACK_US


@pytest.mark.parametrize("grace_us", GRACES_US)
def test_the_sum_of_the_bounds_keeps_to_the_term(grace_us: int) -> None:
    config = asked(grace_us)
    assert max_notification_delay_us(config) <= NOTIFICATION_LIMIT_US + grace_us
    assert NOTIFICATION_LIMIT_US + grace_us >= WATCH_TIMEOUT_US + MIN_SPREAD_US + RESPONSE_LIMIT_US
    assert max_poll_gap_us(config) >= WATCH_TIMEOUT_US


@pytest.mark.parametrize("grace_us", GRACES_US)
def test_what_a_silent_subscription_misses_is_known_in_time(grace_us: int) -> None:
    """It fell silent after its last word, and is broken once nothing has come for `WATCH_TIMEOUT_US`."""
    for seed in range(60):
        rng = random.Random(seed)
        config = asked(grace_us, instances=rng.choice([1, 40, 200]))
        balancer = LoadBalancer(config, seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, [Endpoint(1)], 1))
        heard_us = START_US + 30_000_000
        now_us = heard_us + WATCH_TIMEOUT_US
        actions = balancer.handle(now_us, EndpointsUpdated(ListKind.FAILED, watch_stalled=True))
        while not any(isinstance(action, Subscribe) for action in actions):
            now_us = next_us(actions, now_us)
            actions = balancer.handle(now_us, TimerFired(0))
        assert now_us + RESPONSE_LIMIT_US <= heard_us + NOTIFICATION_LIMIT_US + grace_us + SLACK_US


def test_a_fleet_that_has_failed_together_does_not_call_again_together() -> None:
    """All two hundred wait for three seconds in vain; what the bound leaves is a span to be spread over, and
    no single moment."""
    calls: list[int] = []
    config = asked(2_000_000, instances=200)
    for seed in range(200):
        balancer = LoadBalancer(config, seed, START_US)
        now_us, made = START_US, 0
        while made < 2:
            actions = balancer.handle(now_us, TimerFired(0))
            if any(isinstance(action, Subscribe) for action in actions):
                made += 1
                calls.append(now_us)
                now_us += RESPONSE_LIMIT_US
                actions = balancer.handle(now_us, EndpointsUpdated(ListKind.FAILED))
            now_us = next_us(actions, now_us)
    last = calls[1::2]
    worst = max(sum(1 for at_us in last if since_us <= at_us < since_us + 1_000_000) for since_us in last)
    assert worst <= 80


def test_a_stated_rate_goes_before_the_six_seconds() -> None:
    """Where the settings say what discovery bears, a fleet keeps to that, and is told later."""
    config = asked(250_000, instances=5_000, discovery_rate_per_s=500.0, max_poll_interval_us=60_000_000)
    assert max_poll_gap_us(config) > 5 * NOTIFICATION_LIMIT_US
