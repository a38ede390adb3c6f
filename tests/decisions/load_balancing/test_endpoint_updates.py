"""Endpoint updates: polls, failures, deltas, full and cached lists, restarts of endpoints."""

from __future__ import annotations

import heapq
from collections import Counter

import pytest

from plovertrail.decisions.actions import Send, SetTimer, Subscribe
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from tests.decisions.load_balancing.harness import START_US, BalancerHarness, ready_endpoints, settings
from tests.line_counter import count_lines


def polling_harness() -> BalancerHarness:
    harness = BalancerHarness(settings(endpoints_on_request=True, max_poll_interval_us=10_000_000))
    harness.update_endpoints(ready_endpoints(4), ListKind.CACHED)
    return harness


def poll_indexes(harness: BalancerHarness) -> list[int]:
    """Return the indexes of the polls among all actions."""
    return [i for i, action in enumerate(harness.actions) if isinstance(action, Subscribe)]


def test_a_list_available_on_request_is_subscribed_to() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    assert len(poll_indexes(harness)) >= 1


def test_a_pushed_list_is_never_polled() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(4), ListKind.CACHED)
    harness.advance(60_000_000)
    assert not poll_indexes(harness)


def test_a_failed_poll_is_retried_with_backoff_within_the_poll_interval() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    delays_us = []
    for _ in range(12):
        before = len(poll_indexes(harness))
        harness.handle_event(EndpointsUpdated(ListKind.FAILED))
        start_us = harness.now_us
        while len(poll_indexes(harness)) == before:
            harness.advance(10_000)
            assert harness.now_us - start_us < 10_000_000
        delays_us.append(harness.now_us - start_us)
    assert delays_us[0] < 500_000
    assert delays_us[-1] > 1_000_000


@pytest.mark.parametrize("instances", [1, 40, 200, 5_000])
def test_a_stalled_watch_is_renewed_before_missed_changes_count_as_known(instances: int) -> None:
    """The limit is 6 s after the last line plus 2 s of grace; the stall is detected after 3 s."""
    delays_us = []
    for seed in range(40):
        config = settings(
            endpoints_on_request=True,
            max_poll_interval_us=10_000_000,
            drain_grace_us=2_000_000,
            instances=instances,
        )
        balancer = LoadBalancer(config, seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, ready_endpoints(4), 1))
        now_us = START_US + 30_000_000
        actions = balancer.handle(now_us, EndpointsUpdated(ListKind.FAILED, watch_stalled=True))
        while not any(isinstance(action, Subscribe) for action in actions):
            timers = [action.at_us for action in actions if isinstance(action, SetTimer)]
            now_us = max(now_us + 1, min(timers, default=now_us + 10_000))
            assert now_us < START_US + 50_000_000
            actions = balancer.handle(now_us, TimerFired(0))
        delays_us.append(now_us - START_US - 30_000_000)
    assert max(delays_us) <= 2_500_000
    assert instances < 40 or max(delays_us) > 1_000_000  # the polls of many instances are spread


def test_a_stated_discovery_rate_holds_even_for_stalled_watches() -> None:
    polls_by_second: Counter[int] = Counter()
    for seed in range(5_000):
        balancer = LoadBalancer(
            settings(
                endpoints_on_request=True,
                max_poll_interval_us=60_000_000,
                instances=5_000,
                discovery_rate_per_s=500.0,
            ),
            seed,
            START_US,
        )
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, [], 1))
        balancer.handle(START_US + 1, EndpointsUpdated(ListKind.FAILED, watch_stalled=True))
        polls_by_second[(balancer.polls.next_poll_us - START_US) // 1_000_000] += 1
    assert max(polls_by_second.values()) <= 500


def test_a_second_failure_before_the_retry_causes_no_second_poll() -> None:
    harness = polling_harness()
    harness.advance(2_000_000)
    before = len(poll_indexes(harness))
    harness.handle_event(EndpointsUpdated(ListKind.FAILED))
    harness.handle_event(EndpointsUpdated(ListKind.FAILED))
    harness.advance(4_000_000)
    harness.update_endpoints(ready_endpoints(4), ListKind.DELTA)
    assert len(poll_indexes(harness)) == before + 1


def test_a_poll_without_a_response_is_retried_within_the_poll_interval() -> None:
    harness = polling_harness()
    harness.advance(10_000_000)
    assert len(poll_indexes(harness)) >= 2


def test_a_delta_changes_only_the_endpoints_in_it() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(2))
    harness.update_endpoints([Endpoint(100, EndpointStatus.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        harness.end_attempt(harness.request_arrives(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in harness.sends()} == {101}


def test_endpoints_missing_in_a_full_list_are_removed_and_may_be_listed_again() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(2))
    harness.update_endpoints(ready_endpoints(1))
    for _ in range(10):
        harness.end_attempt(harness.request_arrives(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in harness.sends()} == {100}
    harness.update_endpoints(ready_endpoints(2))
    for _ in range(30):
        harness.end_attempt(harness.request_arrives(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in harness.sends()} == {100, 101}


def test_an_endpoint_that_restarts_under_its_id_warms_up_again() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(3))
    harness.update_endpoints([Endpoint(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = harness.request_arrives(0)
        harness.advance(5_000)
        harness.end_attempt(request, 0, Outcome.OK)
    assert sum(1 for s in harness.sends() if s.endpoint_id == 100) <= 6


def test_empty_lists_and_deltas_are_accepted() -> None:
    harness = BalancerHarness()
    harness.update_endpoints(ready_endpoints(2))
    harness.update_endpoints([], ListKind.DELTA)
    assert harness.sends(harness.request_arrives(0))
    harness.update_endpoints([])
    request = harness.request_arrives(0)
    harness.advance(2_000_000)
    assert harness.answer(request) is not None
    assert all(each.at_us > START_US for each in harness.actions if isinstance(each, SetTimer))


def test_forty_instances_that_start_together_get_the_list_from_an_overloaded_discovery() -> None:
    """Discovery serves three polls per quarter of a second and rejects the others.

    Without jitter, all instances would repeat their polls at once, and most would be rejected each time.
    """
    max_poll_interval_us = 10_000_000
    config = settings(instances=40, endpoints_on_request=True, max_poll_interval_us=max_poll_interval_us)
    balancers = [LoadBalancer(config, seed, START_US) for seed in range(40)]
    due_us = dict.fromkeys(range(40), START_US)
    polled_us = dict.fromkeys(range(40), START_US)
    received_us: dict[int, int] = {}
    polls_us: list[int] = []
    now_us = START_US
    while len(received_us) < 40 and now_us < START_US + 2 * max_poll_interval_us:
        for number in [number for number, at_us in due_us.items() if at_us <= now_us]:
            del due_us[number]
            actions = balancers[number].handle(now_us, TimerFired(0))
            if any(isinstance(action, Subscribe) for action in actions):
                is_served = sum(1 for at_us in received_us.values() if at_us > now_us - 250_000) < 3
                polls_us.append(now_us)
                # The time limit of rule 3 counts from poll to poll.
                assert now_us - polled_us[number] <= max_poll_interval_us // 2 + 20_000
                polled_us[number] = now_us
                if is_served:
                    received_us[number] = now_us
                kind = ListKind.FULL if is_served else ListKind.FAILED
                listed = [Endpoint(1)] if is_served else []
                actions += balancers[number].handle(now_us, EndpointsUpdated(kind, listed))
            timers = [action.at_us for action in actions if isinstance(action, SetTimer)]
            if timers:
                due_us[number] = min(timers)
        now_us += 10_000
    assert len(received_us) == 40
    assert max(received_us.values()) <= START_US + max_poll_interval_us * 3 // 2
    later_us = [at_us for at_us in polls_us if at_us > START_US + 1_000_000]
    assert max(later_us.count(at_us) for at_us in later_us) <= 4  # not synchronized
    assert len(polls_us) <= 10 * 40


def test_an_instance_uses_the_cached_list_until_it_gets_one() -> None:
    config = settings(instances=40, endpoints_on_request=True, max_poll_interval_us=10_000_000)
    balancer = LoadBalancer(config, 1, START_US)
    balancer.handle(START_US, EndpointsUpdated(ListKind.CACHED, [Endpoint(7), Endpoint(8)]))
    balancer.handle(START_US, EndpointsUpdated(ListKind.FAILED))
    actions = balancer.handle(START_US, RequestArrived(1, START_US + 400_000))
    sent = [action for action in actions if isinstance(action, Send)]
    assert [send.endpoint_id in (7, 8) for send in sent] == [True]
    balancer.handle(START_US, AttemptEnded(1, 0, sent[0].endpoint_id, Outcome.OK, 10_000, True))
    balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, [Endpoint(8)]))  # 7 is removed
    selected = []
    for request in range(2, 9):
        for action in balancer.handle(START_US, RequestArrived(request, START_US + 400_000)):
            if isinstance(action, Send):
                selected.append(action.endpoint_id)
                balancer.handle(
                    START_US, AttemptEnded(request, 0, action.endpoint_id, Outcome.OK, 10_000, True)
                )
    assert set(selected) == {8}
    assert len(selected) >= 6


class SequentialDiscovery:
    """A discovery that processes one poll at a time.

    A poll that has waited for two seconds fails but is processed nevertheless. While 32 polls are waiting,
    new ones fail at once.
    """

    TIMEOUT_US, MAX_WAITING = 2_000_000, 32

    def __init__(self, poll_us: int) -> None:
        self.poll_us = poll_us
        self.free_us = 0

    def poll(self, now_us: int) -> tuple[int, bool]:
        """Return when a poll ends, and whether it returns a list."""
        if self.free_us - now_us > self.MAX_WAITING * self.poll_us:
            return now_us, False
        self.free_us = max(self.free_us, now_us) + self.poll_us
        in_time = self.free_us <= now_us + self.TIMEOUT_US
        return (self.free_us, True) if in_time else (now_us + self.TIMEOUT_US, False)


@pytest.mark.parametrize("poll_us", [125_000, 160_000])
def test_forty_instances_do_not_overload_a_discovery_that_processes_abandoned_polls(poll_us: int) -> None:
    """If polls came faster than they are processed, all would fail."""
    config = settings(
        instances=40, endpoints_on_request=True, max_poll_interval_us=6_600_000, drain_grace_us=2_000_000
    )
    balancers = [LoadBalancer(config, seed, START_US) for seed in range(40)]
    discovery = SequentialDiscovery(poll_us)
    # (time, instance, result); 0 for a timer, 1 for a list, 2 for a failed poll
    due: list[tuple[int, int, int]] = [(START_US, number, 0) for number in range(40)]
    received_us: dict[int, int] = {}
    poll_count = 0
    while due and due[0][0] < START_US + 30_000_000:
        now_us, number, result = heapq.heappop(due)
        if result:
            if result == 1:
                received_us.setdefault(number, now_us)
            kind, listed = (ListKind.FULL, [Endpoint(1)]) if result == 1 else (ListKind.FAILED, [])
            actions = balancers[number].handle(now_us, EndpointsUpdated(kind, listed))
        else:
            actions = balancers[number].handle(now_us, TimerFired(0))
        for action in actions:
            if isinstance(action, Subscribe):
                poll_count += 1
                ends_us, succeeded = discovery.poll(now_us)
                heapq.heappush(due, (ends_us, number, 1 if succeeded else 2))
            elif isinstance(action, SetTimer):
                heapq.heappush(due, (action.at_us, number, 0))
    assert len(received_us) == 40
    assert max(received_us.values()) <= START_US + 12_000_000
    assert poll_count <= 3 * 40


def test_backoff_after_failed_polls_keeps_rule_3() -> None:
    """After a failed poll, changes count as known once there was no poll for four poll intervals."""
    for seed in range(20):
        harness = BalancerHarness(
            settings(instances=40, endpoints_on_request=True, max_poll_interval_us=6_600_000), seed
        )
        harness.update_endpoints(ready_endpoints(4), ListKind.CACHED)
        harness.advance(3_300_000)
        assert len(poll_indexes(harness)) == 1  # the first poll comes within half a poll interval
        for _ in range(6):
            before = len(poll_indexes(harness))
            harness.advance(1_000_000)  # the poll is waiting for a response
            start_us = harness.now_us
            harness.handle_event(EndpointsUpdated(ListKind.FAILED))
            while len(poll_indexes(harness)) == before:
                harness.advance(50_000)
            assert harness.now_us - start_us < 6_600_000


def steps_of_joins(count: int) -> int:
    """How many lines of code run to apply one list with so many cold endpoints."""
    harness = BalancerHarness(settings())
    harness.update_endpoints(ready_endpoints(4))
    endpoints = [Endpoint(1000 + number, started_us=harness.now_us) for number in range(count)]
    event = EndpointsUpdated(ListKind.DELTA, endpoints, version=2)
    return count_lines(lambda: harness.balancer.handle(harness.now_us, event))


# Guards against an event loop that is blocked, and drains that wait, while many cold endpoints join at once.
def test_a_list_of_cold_endpoints_takes_steps_in_proportion_to_its_length() -> None:
    assert steps_of_joins(400) < 2.5 * steps_of_joins(200)
