"""How limits grow and shrink."""

from __future__ import annotations

from plovertrail.decisions.events import ListKind, Outcome
from tests.decisions.load_balancing.harness import World, settings, upstreams
from tests.decisions.load_balancing.scenarios import (
    PAY,
    churn,
    fill,
    held,
    ready_world,
)


def test_limits_grow_only_while_requests_find_no_free_slot() -> None:
    world = ready_world(4)
    churn(world, 100)
    assert held(world) == 4


def test_limits_grow_on_demand_and_shrink_on_slow_responses() -> None:
    world = ready_world(4)

    def rounds(count: int, took_us: int) -> None:
        for _ in range(count):
            fill(world)
            churn(world, 1, took_us=took_us)

    rounds(60, 20_000)
    churn(world, 1)
    grown = held(world)
    assert 8 <= grown <= 32
    rounds(20, 250_000)
    churn(world, 3)
    assert held(world) < grown / 2


def test_limits_begin_at_one_slot_whatever_the_number_of_instances() -> None:
    few, many = ready_world(4, instances=3), ready_world(4, instances=400)
    assert len(fill(many)) == len(fill(few)) == 5


def busy_world() -> World:
    """One upstream whose slots have opened under need."""
    world = ready_world(1)
    for _ in range(80):
        fill(world)
        churn(world, 1, took_us=20_000)
    churn(world, 1)
    return world


def test_one_heavy_request_among_fast_responses_shrinks_no_limit() -> None:
    world = busy_world()
    before = held(world)
    churn(world, 1, took_us=170_000)  # over half the aim
    assert held(world) >= before - 1


def test_without_demand_no_limit_exceeds_one() -> None:
    world = ready_world(40, instances=24)
    churn(world, 400)
    assert all(server.concurrency_limit <= 1 for server in world.balancer.endpoints.values())


def test_limits_grow_until_two_objectives_after_a_shortage() -> None:
    windows = []
    for pause_us in (300_000, 900_000):
        world = ready_world(1)
        taken = fill(world)
        world.advance(10_000)
        for request in (taken[0], taken[-1]):
            world.end(request, 0, Outcome.OK)
        world.advance(pause_us)
        before = world.balancer.endpoints[100].concurrency_limit
        churn(world, 3)
        windows.append(world.balancer.endpoints[100].concurrency_limit - before)
    assert windows[0] > 0 and windows[1] == 0


def test_limits_grow_faster_with_faster_responses() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        world = ready_world(4)
        for _ in range(6):
            fill(world)
            churn(world, 1, took_us=took_us)
        churn(world, 1, took_us=took_us)
        counts.append(held(world))
    assert counts[0] > counts[1]


def test_limits_grow_fast_after_the_start_of_a_busy_instance() -> None:
    def refused(kind: ListKind) -> int:
        world = World(settings())
        world.tell_list(upstreams(4), kind)
        count = 0
        for _ in range(10):  # each time more than the slots that are open
            requests = [world.arrive(PAY) for _ in range(16)]
            sent = [request for request in requests if world.sends(request)]
            count += len(requests) - len(sent)
            world.advance(5_000)
            for request in sent:
                world.end(request, 0, Outcome.OK)
        return count

    assert refused(ListKind.CACHED) < refused(ListKind.FULL) * 0.8
