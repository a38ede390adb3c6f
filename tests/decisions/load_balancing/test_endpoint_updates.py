"""The upstream list: asking for it, failures, deltas, full lists, restarts."""

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
from tests.decisions.load_balancing.harness import START_US, World, settings, upstreams


def asking_world() -> World:
    world = World(settings(endpoints_on_request=True, max_poll_interval_us=10_000_000))
    world.tell_list(upstreams(4), ListKind.CACHED)
    return world


def asks(world: World) -> list[int]:
    """When the world's balancer asked, seen by stepping through time."""
    return [i for i, action in enumerate(world.log) if isinstance(action, Subscribe)]


def test_a_list_that_must_be_asked_for_is_subscribed_to() -> None:
    world = asking_world()
    world.advance(2_000_000)
    assert len(asks(world)) >= 1


def test_a_pushed_list_is_never_asked_for() -> None:
    world = World()
    world.tell_list(upstreams(4), ListKind.CACHED)
    world.advance(60_000_000)
    assert not asks(world)


def test_a_failed_list_call_is_repeated_with_growing_waits_inside_ask_within() -> None:
    world = asking_world()
    world.advance(2_000_000)
    waits = []
    for _ in range(12):
        before = len(asks(world))
        world.tell(EndpointsUpdated(ListKind.FAILED))
        start_us = world.now_us
        while len(asks(world)) == before:
            world.advance(10_000)
            assert world.now_us - start_us < 10_000_000
        waits.append(world.now_us - start_us)
    assert waits[0] < 500_000 and waits[-1] > 1_000_000


@pytest.mark.parametrize("instances", [1, 40, 200, 5_000])
def test_a_silent_subscription_is_renewed_before_what_it_missed_counts_as_told(instances: int) -> None:
    """6 s after its last word, and the 2 s of a drain; 3 s are over when it is seen."""
    waits = []
    for seed in range(40):
        found = settings(
            endpoints_on_request=True,
            max_poll_interval_us=10_000_000,
            drain_grace_us=2_000_000,
            instances=instances,
        )
        balancer = LoadBalancer(found, seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, upstreams(4), 1))
        now_us = START_US + 30_000_000
        actions = balancer.handle(now_us, EndpointsUpdated(ListKind.FAILED, watch_stalled=True))
        while not any(isinstance(action, Subscribe) for action in actions):
            timers = [action.at_us for action in actions if isinstance(action, SetTimer)]
            now_us = max(now_us + 1, min(timers, default=now_us + 10_000))
            assert now_us < START_US + 50_000_000
            actions = balancer.handle(now_us, TimerFired(0))
        waits.append(now_us - START_US - 30_000_000)
    assert max(waits) <= 2_500_000
    assert instances < 40 or max(waits) > 1_000_000  # spread, where there are many


def test_where_it_is_known_what_discovery_bears_even_silent_subscriptions_keep_to_it() -> None:
    calls: Counter[int] = Counter()
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
        calls[(balancer.polls.next_poll_us - START_US) // 1_000_000] += 1
    assert max(calls.values()) <= 500


def test_a_second_failure_before_the_repeat_does_not_double_the_calls() -> None:
    world = asking_world()
    world.advance(2_000_000)
    before = len(asks(world))
    world.tell(EndpointsUpdated(ListKind.FAILED))
    world.tell(EndpointsUpdated(ListKind.FAILED))
    world.advance(4_000_000)
    world.tell_list(upstreams(4), ListKind.DELTA)
    assert len(asks(world)) == before + 1


def test_a_call_that_is_never_answered_is_made_again_within_ask_within() -> None:
    world = asking_world()
    world.advance(10_000_000)
    assert len(asks(world)) >= 2


def test_a_delta_changes_only_what_it_names() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list([Endpoint(100, EndpointStatus.DRAINING)], ListKind.DELTA)
    for _ in range(10):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == {101}


def test_what_a_full_list_leaves_out_is_gone_and_may_come_back() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list(upstreams(1))
    for _ in range(10):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == {100}
    world.tell_list(upstreams(2))
    for _ in range(30):
        world.end(world.arrive(0), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == {100, 101}


def test_a_restart_under_the_same_id_is_cold_again() -> None:
    world = World()
    world.tell_list(upstreams(3))
    world.tell_list([Endpoint(100, started_us=START_US)], ListKind.DELTA)
    for _ in range(60):
        request = world.arrive(0)
        world.advance(5_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) <= 6


def test_an_empty_list_and_an_empty_delta_are_taken_calmly() -> None:
    world = World()
    world.tell_list(upstreams(2))
    world.tell_list([], ListKind.DELTA)
    assert world.sends(world.arrive(0))
    world.tell_list([])
    request = world.arrive(0)
    world.advance(2_000_000)
    assert world.answer(request) is not None
    assert all(t.at_us > START_US for t in world.log if isinstance(t, SetTimer))


def test_forty_that_start_at_once_all_have_the_list_in_time_from_one_that_turns_calls_away() -> None:
    """Discovery takes three calls in each quarter of a second and turns away the others. Hazard: in step, all
    would call again at one moment, and most be turned away over and over."""
    max_poll_interval_us = 10_000_000
    config = settings(instances=40, endpoints_on_request=True, max_poll_interval_us=max_poll_interval_us)
    balancers = [LoadBalancer(config, seed, START_US) for seed in range(40)]
    due = dict.fromkeys(range(40), START_US)
    asked = dict.fromkeys(range(40), START_US)
    told: dict[int, int] = {}
    calls: list[int] = []
    now_us = START_US
    while len(told) < 40 and now_us < START_US + 2 * max_poll_interval_us:
        for number in [number for number, at_us in due.items() if at_us <= now_us]:
            del due[number]
            actions = balancers[number].handle(now_us, TimerFired(0))
            if any(isinstance(action, Subscribe) for action in actions):
                taken = sum(1 for at_us in told.values() if at_us > now_us - 250_000) < 3
                calls.append(now_us)
                assert (
                    now_us - asked[number] <= max_poll_interval_us // 2 + 20_000
                )  # rule 3 goes by the asking
                asked[number] = now_us
                if taken:
                    told[number] = now_us
                kind = ListKind.FULL if taken else ListKind.FAILED
                listed = [Endpoint(1)] if taken else []
                actions += balancers[number].handle(now_us, EndpointsUpdated(kind, listed))
            timers = [action.at_us for action in actions if isinstance(action, SetTimer)]
            if timers:
                due[number] = min(timers)
        now_us += 10_000
    assert len(told) == 40 and max(told.values()) <= START_US + max_poll_interval_us * 3 // 2
    later = [at_us for at_us in calls if at_us > START_US + 1_000_000]
    assert max(later.count(at_us) for at_us in later) <= 4  # never in step
    assert len(calls) <= 10 * 40


def test_one_started_at_once_uses_the_list_it_knows_until_one_comes() -> None:
    config = settings(instances=40, endpoints_on_request=True, max_poll_interval_us=10_000_000)
    balancer = LoadBalancer(config, 1, START_US)
    balancer.handle(START_US, EndpointsUpdated(ListKind.CACHED, [Endpoint(7), Endpoint(8)]))
    balancer.handle(START_US, EndpointsUpdated(ListKind.FAILED))
    actions = balancer.handle(START_US, RequestArrived(1, START_US + 400_000))
    sent = [action for action in actions if isinstance(action, Send)]
    assert [send.endpoint_id in (7, 8) for send in sent] == [True]
    balancer.handle(START_US, AttemptEnded(1, 0, sent[0].endpoint_id, Outcome.OK, 10_000, True))
    balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, [Endpoint(8)]))  # 7 has ended: nothing new
    seen = []
    for request in range(2, 9):
        for action in balancer.handle(START_US, RequestArrived(request, START_US + 400_000)):
            if isinstance(action, Send):
                seen.append(action.endpoint_id)
                balancer.handle(
                    START_US, AttemptEnded(request, 0, action.endpoint_id, Outcome.OK, 10_000, True)
                )
    assert set(seen) == {8} and len(seen) >= 6


class WorksInTurn:
    """A discovery that does one call after the other; one that has waited for two seconds fails, and is work
    all the same when its turn comes; where 32 wait, further ones fail at once."""

    PATIENCE_US, MOST = 2_000_000, 32

    def __init__(self, each_us: int) -> None:
        self.each_us = each_us
        self.free_us = 0

    def call(self, now_us: int) -> tuple[int, bool]:
        """When a call ends, and whether with a list."""
        if self.free_us - now_us > self.MOST * self.each_us:
            return now_us, False
        self.free_us = max(self.free_us, now_us) + self.each_us
        in_time = self.free_us <= now_us + self.PATIENCE_US
        return (self.free_us, True) if in_time else (now_us + self.PATIENCE_US, False)


@pytest.mark.parametrize("each_us", [125_000, 160_000])
def test_forty_do_not_keep_a_discovery_down_that_works_on_calls_that_have_failed(each_us: int) -> None:
    """Hazard: calls that come faster than they are done all fail, for as long as they do."""
    config = settings(
        instances=40, endpoints_on_request=True, max_poll_interval_us=6_600_000, drain_grace_us=2_000_000
    )
    balancers = [LoadBalancer(config, seed, START_US) for seed in range(40)]
    discovery = WorksInTurn(each_us)
    due: list[tuple[int, int, int]] = [(START_US, number, 0) for number in range(40)]
    told: dict[int, int] = {}
    calls = 0
    while due and due[0][0] < START_US + 30_000_000:
        now_us, number, how = heapq.heappop(due)
        if how:
            if how == 1:
                told.setdefault(number, now_us)
            kind, listed = (ListKind.FULL, [Endpoint(1)]) if how == 1 else (ListKind.FAILED, [])
            actions = balancers[number].handle(now_us, EndpointsUpdated(kind, listed))
        else:
            actions = balancers[number].handle(now_us, TimerFired(0))
        for action in actions:
            if isinstance(action, Subscribe):
                calls += 1
                ends_us, done = discovery.call(now_us)
                heapq.heappush(due, (ends_us, number, 1 if done else 2))
            elif isinstance(action, SetTimer):
                heapq.heappush(due, (action.at_us, number, 0))
    assert len(told) == 40 and max(told.values()) <= START_US + 12_000_000
    assert calls <= 3 * 40


def test_waits_after_failed_calls_stay_within_what_rule_3_allows() -> None:
    """After a failed call an instance counts as told when it has not asked for four times ask-within."""
    for seed in range(20):
        world = World(settings(instances=40, endpoints_on_request=True, max_poll_interval_us=6_600_000), seed)
        world.tell_list(upstreams(4), ListKind.CACHED)
        world.advance(3_300_000)
        assert len(asks(world)) == 1  # at the start within half of it
        for _ in range(6):
            before = len(asks(world))
            world.advance(1_000_000)  # it waits in vain
            start_us = world.now_us
            world.tell(EndpointsUpdated(ListKind.FAILED))
            while len(asks(world)) == before:
                world.advance(50_000)
            assert world.now_us - start_us < 6_600_000
