"""Time limits of polls: changes are known in time, whichever polls failed before."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass

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

SLACK_US = 50_000  # tolerance that the protocol adds to each time limit on sockets
GRACES_US = [250_000, 1_000_000, 2_000_000]
REJECTED, QUEUED, LOST = "rejected at once", "503 after queueing", "no response"


def polling_settings(grace_us: int, **changes: object) -> Settings:
    values: dict[str, object] = {
        "endpoints_on_request": True,
        "max_poll_interval_us": 10_000_000,
        "drain_grace_us": grace_us,
    }
    return settings(**(values | changes))


@dataclass
class Discovery:
    """A discovery with an outage: polls that begin during it fail, even if they end later."""

    recovered_us: int
    failure: str
    rng: random.Random

    def poll(self, now_us: int) -> tuple[int, EndpointsUpdated]:
        """Return when a poll ends, and its result."""
        if now_us < self.recovered_us:
            duration_us = {REJECTED: 1_000, QUEUED: RESPONSE_LIMIT_US, LOST: POLL_TIMEOUT_US}[self.failure]
            return now_us + duration_us, EndpointsUpdated(ListKind.FAILED)
        return now_us + self.rng.randint(0, RESPONSE_LIMIT_US), EndpointsUpdated(
            ListKind.FULL, [Endpoint(1)], 1
        )


def next_event_us(actions: list[Action], now_us: int) -> int:
    """Return the time of the next event: the next timer, or soon, since one may already be pending."""
    timers = [action.at_us for action in actions if isinstance(action, SetTimer)]
    return min([*timers, now_us + 10_000])


def known_at_us(config: Settings, discovery: Discovery, seed: int) -> int:
    """Return when an instance gets the list after the outage of discovery."""
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
                at_us, result = discovery.poll(now_us)
                heapq.heappush(due, (at_us, number, result))
            elif isinstance(action, SetTimer):
                heapq.heappush(due, (action.at_us, number, TimerFired(0)))
    raise AssertionError("the instance has stopped polling")


@pytest.mark.parametrize("grace_us", GRACES_US)
@pytest.mark.parametrize("failure", [REJECTED, QUEUED, LOST])
def test_changes_are_known_in_time_after_an_outage_of_discovery(grace_us: int, failure: str) -> None:
    """The limit is six seconds after the outage plus the grace period, for 1 to 200 instances."""
    longest_us = 0
    for seed in range(60):
        rng = random.Random(seed)
        instances = rng.choice([1, 5, 40, 200])
        recovered_us = START_US + rng.randint(0, 20_000_000)
        config = polling_settings(
            grace_us, instances=instances, max_poll_interval_us=rng.choice([4_000_000, 60_000_000])
        )
        known_us = known_at_us(config, Discovery(recovered_us, failure, rng), seed)
        longest_us = max(longest_us, known_us - recovered_us)
    assert RESPONSE_LIMIT_US < longest_us <= NOTIFICATION_LIMIT_US + grace_us + SLACK_US


@pytest.mark.parametrize("grace_us", GRACES_US)
def test_the_time_limits_add_up_to_the_notification_limit(grace_us: int) -> None:
    config = polling_settings(grace_us)
    assert max_notification_delay_us(config) <= NOTIFICATION_LIMIT_US + grace_us
    assert NOTIFICATION_LIMIT_US + grace_us >= WATCH_TIMEOUT_US + MIN_SPREAD_US + RESPONSE_LIMIT_US
    assert max_poll_gap_us(config) >= WATCH_TIMEOUT_US


@pytest.mark.parametrize("grace_us", GRACES_US)
def test_changes_missed_by_a_stalled_watch_are_known_in_time(grace_us: int) -> None:
    """A watch is considered broken once nothing was received for `WATCH_TIMEOUT_US`."""
    for seed in range(60):
        rng = random.Random(seed)
        config = polling_settings(grace_us, instances=rng.choice([1, 40, 200]))
        balancer = LoadBalancer(config, seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, [Endpoint(1)], 1))
        last_line_us = START_US + 30_000_000
        now_us = last_line_us + WATCH_TIMEOUT_US
        actions = balancer.handle(now_us, EndpointsUpdated(ListKind.FAILED, watch_stalled=True))
        while not any(isinstance(action, Subscribe) for action in actions):
            now_us = next_event_us(actions, now_us)
            actions = balancer.handle(now_us, TimerFired(0))
        assert now_us + RESPONSE_LIMIT_US <= last_line_us + NOTIFICATION_LIMIT_US + grace_us + SLACK_US


def test_polls_that_failed_together_are_not_retried_together() -> None:
    """All 200 polls fail after three seconds; the retries are spread over the remaining time."""
    polls_us: list[int] = []
    config = polling_settings(2_000_000, instances=200)
    for seed in range(200):
        balancer = LoadBalancer(config, seed, START_US)
        now_us, poll_count = START_US, 0
        while poll_count < 2:
            actions = balancer.handle(now_us, TimerFired(0))
            if any(isinstance(action, Subscribe) for action in actions):
                poll_count += 1
                polls_us.append(now_us)
                now_us += RESPONSE_LIMIT_US
                actions = balancer.handle(now_us, EndpointsUpdated(ListKind.FAILED))
            now_us = next_event_us(actions, now_us)
    retries = polls_us[1::2]
    peak = max(sum(1 for at_us in retries if from_us <= at_us < from_us + 1_000_000) for from_us in retries)
    assert peak <= 80


def test_a_stated_rate_takes_precedence_over_the_six_seconds() -> None:
    """If the settings state the rate that discovery serves, a fleet keeps it and learns changes later."""
    config = polling_settings(
        250_000, instances=5_000, discovery_rate_per_s=500.0, max_poll_interval_us=60_000_000
    )
    assert max_poll_gap_us(config) > 5 * NOTIFICATION_LIMIT_US
