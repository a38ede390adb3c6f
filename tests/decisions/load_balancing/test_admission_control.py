"""An overloaded group is sent less, and recovers."""

from __future__ import annotations

import pytest

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import World, settings, upstreams
from tests.decisions.load_balancing.scenarios import (
    PAY,
    churn,
    ready_world,
    slow_spell,
)


def after_a_jam(each_us: int, calm_us: int) -> float:
    """What a sidecar that has a request each so often lets in, so long after a jam that ended a calm."""
    world = World(settings(instances=40))
    world.tell_list(upstreams(8))
    started_us = world.now_us
    jam_us = started_us + 10_000_000
    while world.now_us < jam_us + 4_000_000 + calm_us:
        jam = jam_us <= world.now_us < jam_us + 4_000_000
        took_us = 290_000 if jam else 20_000
        if (world.now_us - started_us) % each_us == 0:
            world.arrive(PAY)
        world.advance(10_000)
        for ident in [ident for ident, owed in world.owed.items() if owed.out()]:
            owed = world.owed[ident]
            for attempt in owed.out():
                if world.now_us >= owed.tries[attempt].sent_us + took_us:
                    world.end(ident, attempt, Outcome.OK)
    return world.balancer.table.groups[0].admission.probability


@pytest.mark.parametrize("each_us", [10_000, 50_000, 150_000, 300_000])
def test_admission_recovers_in_time_after_an_overload_even_with_little_traffic(each_us: int) -> None:
    """Judged by the sends of the last seconds a sidecar with little traffic stays shut for half a minute."""
    assert after_a_jam(each_us, 0) < 0.5
    assert after_a_jam(each_us, 2_000_000) > 0.5
    assert after_a_jam(each_us, 5_000_000) > 0.9


def test_without_responses_admission_grows_each_second() -> None:
    world = World(settings(instances=40))
    world.tell_list([])  # nothing can be sent, so nothing is learned
    pool = world.balancer.table.groups[0]
    pool.admission.probability, seen = 0.1, []
    for _ in range(20):
        world.arrive(PAY)
        world.advance(500_000)
        seen.append(pool.admission.probability)
    assert seen == sorted(seen) and seen[4] < 0.3 and seen[-1] == 1.0


def test_while_all_endpoints_are_slow_an_instance_with_little_traffic_sends_less() -> None:
    world = ready_world(40, instances=400)
    slow_spell(world, 30)
    assert 3 <= len(world.sends()) <= 12
    churn(world, 300)
    before = len(world.sends())
    churn(world, 20)
    assert len(world.sends()) - before == 20


def test_one_slow_response_among_fast_ones_reduces_nothing() -> None:
    world = ready_world(40, instances=400)
    churn(world, 30, class_index=PAY)
    slow_spell(world, 1)
    before = len(world.sends())
    churn(world, 10, class_index=PAY)
    assert len(world.sends()) - before == 10


def test_requests_not_admitted_in_the_own_zone_go_to_another() -> None:
    world = ready_world(8, zone=1, cross_zone_fee=0.2, instances=400)
    churn(world, 30, class_index=PAY)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {1}
    before = len(world.sends())
    for _ in range(30):
        request = world.arrive(PAY)
        home = [s for s in world.sends(request) if world.known[s.endpoint_id].zone == 1]
        world.advance(300_000 if home else 20_000)
        if not home and world.owed[request].out():
            world.end(request, 0, Outcome.OK)
    crossed = [s for s in world.sends()[before:] if world.known[s.endpoint_id].zone != 1]
    assert len(crossed) >= 10 and len(world.sends()) - before >= 25
