"""A request is sent, buffered or rejected."""

from __future__ import annotations

import pytest

from plovertrail.decisions.actions import Reject
from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind, Outcome
from plovertrail.decisions.settings import Tenant
from tests.decisions.load_balancing.harness import World
from tests.decisions.load_balancing.scenarios import (
    MARK,
    PAY,
    READ,
    churn,
    fill,
    ready_world,
)


def test_a_request_is_sent_at_once_to_a_ready_endpoint() -> None:
    world = ready_world()
    request = world.arrive(READ)
    assert [s.endpoint_id in world.known for s in world.sends(request)] == [True]


def test_attempts_in_flight_are_limited_and_one_request_is_buffered_and_the_next_rejected() -> None:
    world = ready_world()
    taken = fill(world)
    assert world.answer(taken[-1]) is None
    last = world.arrive(READ)
    answer = world.answer(last)
    assert isinstance(answer, Reject) and answer.retry_after_us > 0


def test_the_buffered_request_gets_the_first_free_slot() -> None:
    world = ready_world()
    taken = fill(world)
    freed = world.sends(taken[0])[0].endpoint_id
    world.end(taken[0], 0, Outcome.OK)
    assert [s.endpoint_id for s in world.sends(taken[-1])] == [freed]


def test_a_request_buffered_past_the_delay_threshold_is_rejected() -> None:
    world = ready_world()
    waiting = fill(world)[-1]
    world.advance(200_000)
    assert isinstance(world.answer(waiting), Reject)


def test_a_request_too_close_to_its_deadline_is_rejected_unsent() -> None:
    world = ready_world()
    request = world.arrive(READ, patience_us=1_000)
    assert isinstance(world.answer(request), Reject) and not world.sends(request)


def test_without_ready_endpoints_a_request_is_buffered_and_then_rejected() -> None:
    world = World()
    world.tell_list([])
    request = world.arrive(READ)
    world.advance(400_000)
    assert isinstance(world.answer(request), Reject)
    world.tell_list([Endpoint(5)])
    assert world.sends(world.arrive(READ))


def test_draining_and_removed_endpoints_get_nothing() -> None:
    world = ready_world(2)
    world.tell_list([Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)])
    request = world.arrive(READ)
    world.advance(1_000_000)
    assert not world.sends(request)


def test_a_request_of_more_value_takes_the_buffer() -> None:
    world = ready_world()
    cheap = fill(world)[-1]
    dear = world.arrive(PAY)
    assert isinstance(world.answer(cheap), Reject) and world.answer(dear) is None
    late = world.arrive(READ)
    assert isinstance(world.answer(late), Reject)
    world.end(world.sends()[0].request, 0, Outcome.OK)
    assert world.sends(dear)


def test_a_request_of_a_tenant_over_its_share_loses_the_buffer() -> None:
    world = ready_world(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_share_weight=0.1)
    for _ in range(50):
        world.arrive(READ, tenant=0)
    holder = world.balancer.buffer.waiting
    assert holder is not None and holder.event.tenant == 0
    modest = world.arrive(READ, tenant=1)
    assert world.answer(modest) is None and world.answer(holder.event.request) is not None


def test_answers_that_took_no_measurable_time_do_no_harm() -> None:
    world = ready_world()
    churn(world, 50, took_us=0)
    waiting, last = fill(world)[-1], world.arrive(PAY)
    assert [world.answer(r) is None for r in (waiting, last)].count(True) == 1


def test_a_stale_timer_does_not_arm_another() -> None:
    world = ready_world(2)
    for _ in range(50):
        fill(world)
        world.advance(1_000)
        for ident, owed in list(world.owed.items()):
            for attempt in owed.out():
                world.end(ident, attempt, Outcome.REJECTED)
    world.advance(10_000_000)
    assert len(world.timers) == 0


def test_removed_endpoints_leave_no_state() -> None:
    world = ready_world(4)
    for n in range(50):
        world.tell_list([Endpoint(1000 + n)], ListKind.DELTA)
        churn(world, 5)
        world.tell_list([Endpoint(1000 + n, EndpointStatus.REMOVED)], ListKind.DELTA)
    assert len(world.balancer.endpoints) == 4 and len(world.balancer.table.groups[0].active) <= 4


@pytest.mark.parametrize("hedging", [True, False])
def test_requests_are_sent_again_after_an_outage_longer_than_every_response(hedging: bool) -> None:
    world = ready_world(2, hedging=hedging)
    for _ in range(20):
        for class_index in (READ, PAY, MARK):
            world.arrive(class_index)
        world.advance(3_000_000)
    for class_index in (READ, PAY, MARK):
        churn(world, 20, class_index=class_index)
        before = len(world.sends())
        churn(world, 20, class_index=class_index)
        assert len(world.sends()) - before >= 15
