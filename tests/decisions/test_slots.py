"""The plain mechanism and each departure from it, seen through events and actions."""

from __future__ import annotations

from dataclasses import replace

import pytest

from plovertrail.decisions.actions import Fail, Log, Reject
from plovertrail.decisions.events import Endpoint, EndpointStatus, ListKind, Outcome
from plovertrail.decisions.settings import Tenant
from tests.decisions.world import START_US, World, classes, settings, upstreams

READ, PAY, MARK = 0, 1, 2


def ready_world(count: int = 4, **changes: object) -> World:
    world = World(settings(**changes))
    world.tell_list(upstreams(count))
    return world


def fill(world: World) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(world.arrive(READ))
        if not world.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def test_a_request_goes_to_a_ready_upstream_at_once() -> None:
    world = ready_world()
    request = world.arrive(READ)
    assert [s.endpoint_id in world.known for s in world.sends(request)] == [True]


def test_choice_is_spread_over_all_upstreams() -> None:
    world = ready_world(6)
    for _ in range(60):
        world.end(world.arrive(READ), 0, Outcome.OK)
    assert {s.endpoint_id for s in world.sends()} == set(world.known)


def test_outstanding_sends_are_capped_and_one_request_waits_and_the_next_is_refused() -> None:
    world = ready_world()
    taken = fill(world)
    assert world.answer(taken[-1]) is None
    last = world.arrive(READ)
    answer = world.answer(last)
    assert isinstance(answer, Reject) and answer.retry_after_us > 0


def test_the_waiting_request_takes_the_first_slot_that_frees() -> None:
    world = ready_world()
    taken = fill(world)
    freed = world.sends(taken[0])[0].endpoint_id
    world.end(taken[0], 0, Outcome.OK)
    assert [s.endpoint_id for s in world.sends(taken[-1])] == [freed]


def test_what_waited_past_the_delay_threshold_is_refused() -> None:
    world = ready_world()
    waiting = fill(world)[-1]
    world.advance(200_000)
    assert isinstance(world.answer(waiting), Reject)


def test_a_request_too_near_its_due_time_is_refused_unsent() -> None:
    world = ready_world()
    request = world.arrive(READ, patience_us=1_000)
    assert isinstance(world.answer(request), Reject) and not world.sends(request)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED])
@pytest.mark.parametrize("class_index", [READ, PAY, MARK])
def test_what_never_ran_is_reissued_elsewhere(outcome: Outcome, class_index: int) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, outcome)
    first, second = world.sends(request)
    assert first.endpoint_id != second.endpoint_id


def test_an_unsafe_request_that_may_have_run_is_failed() -> None:
    world = ready_world()
    request = world.arrive(PAY)
    world.end(request, 0, Outcome.RESET)
    assert isinstance(world.answer(request), Fail) and len(world.sends(request)) == 1


def test_an_unsafe_request_is_waited_for_while_its_answer_is_of_use_and_no_longer() -> None:
    world = ready_world()
    request = world.arrive(PAY)  # a late answer to it is worth nothing
    world.advance(290_000)
    assert world.answer(request) is None
    world.advance(20_000)
    assert isinstance(world.answer(request), Fail)


def test_a_request_whose_late_answer_is_worth_something_is_waited_for_till_due() -> None:
    world = ready_world(max_attempts=1)
    request = world.arrive(READ)
    world.advance(1_400_000)
    assert world.answer(request) is None


def test_no_ready_upstream_waits_and_then_refuses() -> None:
    world = World()
    world.tell_list([])
    request = world.arrive(READ)
    world.advance(400_000)
    assert isinstance(world.answer(request), Reject)
    world.tell_list([Endpoint(5)])
    assert world.sends(world.arrive(READ))


def test_a_cold_upstream_gets_little() -> None:
    world = World(settings(instances=24))
    world.tell_list(upstreams(3))
    churn(world, 20, took_us=20_000)
    world.tell_list([Endpoint(1, started_us=world.now_us - 1_000), *upstreams(3)])
    churn(world, 150, took_us=20_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold <= 8  # an even share would be 37


def test_an_upstream_gets_less_than_the_others_until_it_is_warm() -> None:
    world = World(settings(instances=400))
    world.tell_list([Endpoint(1, started_us=world.now_us - 12_000_000), *upstreams(3)])  # two thirds warm
    churn(world, 1000, took_us=5_000)
    cold = sum(1 for s in world.sends() if s.endpoint_id == 1)
    assert 0 < cold < 190  # an even share would be 250


def test_a_cold_upstream_helps_where_the_warm_ones_are_slow() -> None:
    """Turns that the free slots of others outbid would leave it idle beside the warm ones that choke."""

    def part(took_us: int) -> float:
        world = World(settings(instances=40, warm_up_us=2_000_000_000))
        world.tell_list([Endpoint(1, started_us=world.now_us - 1_000), *upstreams(9)])
        churn(world, 600, took_us=took_us)
        before = len(world.sends())
        churn(world, 600, took_us=took_us)
        return sum(1 for s in world.sends()[before:] if s.endpoint_id == 1) / 600

    even = 0.2 / 9.2  # its part by its warmth
    calm, busy = part(20_000), part(100_000)
    assert 0.6 * even < calm <= 1.3 * even
    assert 1.4 * even < busy <= 2.0 * even


@pytest.mark.parametrize("seed", range(20))
def test_a_cold_upstream_beside_no_warm_one_gets_its_whole_part(seed: int) -> None:
    """Each request asked for counts a tenth; its turn comes within 2 thirds of one that was served."""
    world = World(seed=seed)
    world.tell_list(upstreams(1, started_us=START_US))
    for _ in range(8):
        if world.sends(world.arrive(1)):
            return
    raise AssertionError("nothing was sent")


def test_a_larger_cold_upstream_gets_more_by_its_size() -> None:
    world = World(settings(instances=40, warm_up_us=2_000_000_000, weighted=True))
    cold = [Endpoint(1, started_us=world.now_us, weight=3.0), Endpoint(2, started_us=world.now_us)]
    world.tell_list([*cold, *upstreams(8)])
    churn(world, 2_000, took_us=20_000)
    large, small = (sum(1 for s in world.sends() if s.endpoint_id == number) for number in (1, 2))
    assert 2.4 * small < large < 3.6 * small


def test_a_cold_upstream_that_turns_work_away_gets_less() -> None:
    def got(outcome: Outcome) -> int:
        world = World(settings(instances=40, warm_up_us=2_000_000_000))
        world.tell_list([Endpoint(1, started_us=world.now_us), *upstreams(3)])
        for _ in range(600):
            request = world.arrive(READ)
            world.advance(20_000)
            for send in world.sends(request):
                if world.owed[request].tries[0].outcome is None:
                    world.end(request, 0, outcome if send.endpoint_id == 1 else Outcome.OK)
                elif world.owed[request].tries[-1].outcome is None:
                    world.end(request, len(world.owed[request].tries) - 1, Outcome.OK)
        return sum(1 for s in world.sends() if s.endpoint_id == 1)

    assert 0 < got(Outcome.REJECTED) < got(Outcome.OK) / 3


def part_after(outcome: Outcome, wait_us: int = 0) -> float:
    """What the upstream 100 gets of an even share among twelve, once its first request has ended so."""
    got = 0
    for seed in range(10):
        world = World(settings(instances=40), seed)
        world.tell_list(upstreams(12))
        upstream = 0
        while upstream != 100:
            request = world.arrive(PAY)
            upstream = world.sends(request)[0].endpoint_id
            world.advance(10_000)
            world.end(request, 0, outcome if upstream == 100 else Outcome.OK)
        world.advance(wait_us)
        before = len(world.sends())
        churn(world, 120, class_index=PAY)
        got += sum(1 for s in world.sends()[before:] if s.endpoint_id == 100)
    return got / 100


def test_the_first_fault_of_an_upstream_counts_while_few_others_have_any() -> None:
    """It takes what may not be repeated, and a light sidecar would see it fail once more and once more."""
    assert part_after(Outcome.ERROR) < 0.4 and part_after(Outcome.ERROR) < 0.4 * part_after(Outcome.OK)


def test_faults_that_strike_all_alike_shun_none_for_it() -> None:
    world = World(settings(instances=40))
    world.tell_list(upstreams(12))
    for _ in range(600):
        request = world.arrive(PAY)
        world.advance(5_000)
        if world.sends(request) and world.owed[request].tries[0].outcome is None:
            world.end(request, 0, Outcome.ERROR if request % 5 == 0 else Outcome.OK)
        assert len(world.balancer.penalties.decay_at_us) <= 4  # a third
    assert all(any(s.endpoint_id == number for s in world.sends()[-150:]) for number in range(100, 112))


def test_distrust_fades_without_traffic() -> None:
    wait_us = 120_000_000
    assert part_after(Outcome.ERROR, wait_us) > 0.7 * part_after(Outcome.OK, wait_us)


def test_an_upstream_that_left_is_distrusted_no_more() -> None:
    world = World(settings(instances=40))
    world.tell_list(upstreams(6))
    request = world.arrive(PAY)
    upstream = world.sends(request)[0].endpoint_id
    world.end(request, 0, Outcome.ERROR)
    assert list(world.balancer.penalties.decay_at_us) == [upstream]
    world.tell_list([Endpoint(upstream, EndpointStatus.REMOVED)], ListKind.DELTA)
    world.advance(60_000_000)
    world.arrive(PAY)
    assert not world.balancer.penalties.decay_at_us and not world.balancer.penalties


def test_a_late_fault_of_one_that_left_and_came_back_is_not_booked_to_the_new_one() -> None:
    world = World(settings(instances=40))
    world.tell_list(upstreams(1))
    old = world.arrive(PAY)
    world.tell_list([Endpoint(100, EndpointStatus.REMOVED)], ListKind.DELTA)
    world.tell_list(upstreams(1), ListKind.DELTA)
    new = world.arrive(PAY)
    world.end(new, 0, Outcome.ERROR)
    assert (
        list(world.balancer.penalties.decay_at_us) == [100]
        and world.balancer.endpoints[100].failure_penalty > 0
    )
    before = world.balancer.endpoints[100].failure_penalty
    world.end(old, 0, Outcome.ERROR)
    assert (
        list(world.balancer.penalties.decay_at_us) == [100]
        and world.balancer.endpoints[100].failure_penalty == before
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
def test_what_a_jam_thinned_is_let_in_again_in_time_however_little_traffic_there_is(each_us: int) -> None:
    """Judged by the sends of the last seconds a sidecar with little traffic stays shut for half a minute."""
    assert after_a_jam(each_us, 0) < 0.5
    assert after_a_jam(each_us, 2_000_000) > 0.5
    assert after_a_jam(each_us, 5_000_000) > 0.9


def test_where_no_answer_comes_a_little_more_is_let_in_each_second() -> None:
    world = World(settings(instances=40))
    world.tell_list([])  # nothing can be sent, so nothing is learned
    pool = world.balancer.table.groups[0]
    pool.admission.probability, seen = 0.1, []
    for _ in range(20):
        world.arrive(PAY)
        world.advance(500_000)
        seen.append(pool.admission.probability)
    assert seen == sorted(seen) and seen[4] < 0.3 and seen[-1] == 1.0


def test_drained_upstreams_get_nothing() -> None:
    world = ready_world(2)
    world.tell_list([Endpoint(100, EndpointStatus.DRAINING), Endpoint(101, EndpointStatus.REMOVED)])
    request = world.arrive(READ)
    world.advance(1_000_000)
    assert not world.sends(request)


def churn(
    world: World,
    steps: int,
    bad: int | None = None,
    fault: Outcome = Outcome.REJECTED,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        world.arrive(class_index)
        world.advance(took_us)
        for ident in [i for i, owed in world.owed.items() if owed.out()]:
            for attempt in world.owed[ident].out():
                at_bad = world.owed[ident].tries[attempt].upstream == bad
                world.end(ident, attempt, fault if at_bad else Outcome.OK)


def held(world: World) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in fill(world) if world.sends(r)]
    for request in taken:
        world.end(request, 0, Outcome.OK)
    return len(taken)


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.ERROR, Outcome.RESET])
def test_an_upstream_that_fails_at_once_does_not_draw_more(outcome: Outcome) -> None:
    world = ready_world(5)
    churn(world, 200, 100, outcome)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 20


def test_an_upstream_that_failed_is_tried_again_and_comes_back() -> None:
    world = ready_world(2)
    churn(world, 40, 100)
    churn(world, 1000)
    assert sum(1 for s in world.sends()[-200:] if s.endpoint_id == 100) > 30


def test_slots_open_only_while_requests_find_none_free() -> None:
    world = ready_world(4)
    churn(world, 100)
    assert held(world) == 4


def test_slots_open_under_need_and_close_on_slow_answers() -> None:
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


def test_an_idle_upstream_of_this_zone_is_drawn_first_where_crossing_costs() -> None:
    world = ready_world(8, zone=1, cross_zone_fee=0.03)
    first = [world.arrive(READ) for _ in range(2)]
    assert {world.known[world.sends(r)[0].endpoint_id].zone for r in first} == {1}
    third = world.arrive(READ)
    assert world.known[world.sends(third)[0].endpoint_id].zone != 1


def test_zones_do_not_matter_where_crossing_is_free() -> None:
    world = ready_world(8, zone=1)
    churn(world, 100)
    assert {world.known[s.endpoint_id].zone for s in world.sends()} == {0, 1, 2, 3}


def test_a_dearer_request_takes_the_buffer_from_a_cheaper_one() -> None:
    world = ready_world()
    cheap = fill(world)[-1]
    dear = world.arrive(PAY)
    assert isinstance(world.answer(cheap), Reject) and world.answer(dear) is None
    late = world.arrive(READ)
    assert isinstance(world.answer(late), Reject)
    world.end(world.sends()[0].request, 0, Outcome.OK)
    assert world.sends(dear)


def test_a_tenant_beyond_its_share_yields_the_buffer() -> None:
    world = ready_world(tenants=[Tenant("big", 100.0), Tenant("small", 100.0)], over_share_weight=0.1)
    for _ in range(50):
        world.arrive(READ, tenant=0)
    holder = world.balancer.buffer.waiting
    assert holder is not None and holder.event.tenant == 0
    modest = world.arrive(READ, tenant=1)
    assert world.answer(modest) is None and world.answer(holder.event.request) is not None


def test_a_late_answer_gets_a_copy_elsewhere_and_the_first_may_still_answer() -> None:
    world = ready_world()
    request = world.arrive(READ)
    world.advance(250_000)
    first, second = world.sends(request)
    assert first.endpoint_id != second.endpoint_id
    world.end(request, 0, Outcome.OK)
    assert world.answer(request) is None and world.owed[request].answers == 1


@pytest.mark.parametrize(("class_index", "hedging"), [(PAY, True), (READ, False)])
def test_no_copy_where_none_is_allowed(class_index: int, hedging: bool) -> None:
    world = ready_world(hedging=hedging)
    request = world.arrive(class_index)
    world.advance(250_000)
    assert len(world.sends(request)) == 1


def test_no_copy_while_others_wait_for_a_slot() -> None:
    world = ready_world()
    fill(world)
    world.advance(140_000)
    fill(world)
    world.advance(20_000)
    assert all(len(owed.tries) <= 1 for owed in world.owed.values())


def test_answers_that_took_no_measurable_time_do_no_harm() -> None:
    world = ready_world()
    churn(world, 50, took_us=0)
    waiting, last = fill(world)[-1], world.arrive(PAY)
    assert [world.answer(r) is None for r in (waiting, last)].count(True) == 1


@pytest.mark.parametrize(("class_index", "again"), [(READ, True), (MARK, True), (PAY, False)])
def test_an_error_is_reissued_where_the_class_may_run_again(class_index: int, again: bool) -> None:
    world = ready_world()
    request = world.arrive(class_index)
    world.end(request, 0, Outcome.ERROR)
    assert (len(world.sends(request)) == 2) is again


def test_the_first_slot_is_a_whole_one_however_many_sidecars_there_are() -> None:
    few, many = ready_world(4, instances=3), ready_world(4, instances=400)
    assert len(fill(many)) == len(fill(few)) == 5


def slow_spell(world: World, seconds: int) -> None:
    """Every answer takes longer than the aim."""
    for _ in range(seconds):
        world.arrive(PAY)
        world.advance(1_000_000)


def test_while_all_upstreams_are_slow_a_light_sidecar_sends_less_and_recovers() -> None:
    world = ready_world(40, instances=400)
    slow_spell(world, 30)
    assert 3 <= len(world.sends()) <= 12
    churn(world, 300)
    before = len(world.sends())
    churn(world, 20)
    assert len(world.sends()) - before == 20


def test_one_slow_answer_among_quick_ones_thins_nothing() -> None:
    world = ready_world(40, instances=400)
    churn(world, 30, class_index=PAY)
    slow_spell(world, 1)
    before = len(world.sends())
    churn(world, 10, class_index=PAY)
    assert len(world.sends()) - before == 10


def test_what_the_own_zone_thins_out_goes_to_another_zone() -> None:
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


def test_when_every_attempt_fails_not_all_are_repeated() -> None:
    world = ready_world(40, hedging=False)
    errors = 0
    for _ in range(60):
        request = world.arrive(READ)
        world.advance(200_000)
        while world.owed[request].out():
            world.end(request, len(world.owed[request].tries) - 1, Outcome.ERROR)
            errors += 1
    first = sum(1 for owed in world.owed.values() if owed.tries)
    assert 5 <= errors - first <= 5 + first / 5


def test_a_sidecar_with_little_traffic_uses_few_of_many_upstreams() -> None:
    world = ready_world(60, instances=400)
    churn(world, 100, took_us=1_000_000)
    assert len({s.endpoint_id for s in world.sends()}) <= 6


def test_a_sidecar_that_turns_busy_spreads_over_more_upstreams() -> None:
    world = ready_world(60, instances=400)
    churn(world, 600, took_us=20_000)
    assert len({s.endpoint_id for s in world.sends()}) >= 30


def test_an_upstream_slower_than_the_others_is_drawn_less() -> None:
    world = ready_world(4, hedging=False)
    for _ in range(200):
        request = world.arrive(READ)
        slow = world.sends(request)[0].endpoint_id == 100
        world.advance(120_000 if slow else 30_000)
        world.end(request, 0, Outcome.OK)
    assert sum(1 for s in world.sends() if s.endpoint_id == 100) < 25


def test_upstreams_long_gone_leave_no_state() -> None:
    world = ready_world(4)
    for n in range(50):
        world.tell_list([Endpoint(1000 + n)], ListKind.DELTA)
        churn(world, 5)
        world.tell_list([Endpoint(1000 + n, EndpointStatus.REMOVED)], ListKind.DELTA)
    assert len(world.balancer.endpoints) == 4 and len(world.balancer.table.groups[0].active) <= 4


def busy_world() -> World:
    """One upstream whose slots have opened under need."""
    world = ready_world(1)
    for _ in range(80):
        fill(world)
        churn(world, 1, took_us=20_000)
    churn(world, 1)
    return world


def test_one_natural_error_leaves_an_upstream_its_other_slots() -> None:
    world = busy_world()
    before = held(world)
    world.end(world.arrive(PAY), 0, Outcome.ERROR)
    assert before >= 4
    assert held(world) >= before / 2 - 1


def test_one_heavy_request_among_quick_answers_closes_no_slot() -> None:
    world = busy_world()
    before = held(world)
    churn(world, 1, took_us=170_000)  # over half the aim
    assert held(world) >= before - 1


def test_without_need_no_second_slot_opens() -> None:
    world = ready_world(40, instances=24)
    churn(world, 400)
    assert all(server.concurrency_limit <= 1 for server in world.balancer.endpoints.values())


def test_slots_go_on_opening_for_two_aims_after_a_shortage_and_no_longer() -> None:
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


def test_quicker_answers_open_slots_faster() -> None:
    counts = []
    for took_us in (10_000, 120_000):
        world = ready_world(4)
        for _ in range(6):
            fill(world)
            churn(world, 1, took_us=took_us)
        churn(world, 1, took_us=took_us)
        counts.append(held(world))
    assert counts[0] > counts[1]


def test_a_request_known_to_be_heavy_is_not_timed_out_early() -> None:
    world = ready_world(hedging=False)
    churn(world, 50)
    light, heavy = world.arrive(READ, cost_us=10_000), world.arrive(READ, cost_us=200_000)
    assert world.sends(light)[0].timeout_us < 200_000 < 800_000 <= world.sends(heavy)[0].timeout_us


def log_lines(world: World) -> list[str]:
    return [action.text for action in world.log if isinstance(action, Log)]


def test_a_failing_upstream_is_logged_when_it_rests_and_when_it_is_back() -> None:
    world = ready_world(2)
    churn(world, 200, 100)
    assert log_lines(world) == ["endpoint ejected endpoint=100"]
    churn(world, 1000)
    assert log_lines(world) == ["endpoint ejected endpoint=100", "endpoint restored endpoint=100"]


def test_overload_is_logged_when_it_begins_and_ends() -> None:
    world = ready_world(2)
    for _ in range(100):
        world.arrive(READ)
    assert log_lines(world) == ["overload begins"]
    world.advance(5_000_000)
    churn(world, 1500)
    assert log_lines(world)[-1] == "overload ends"


def test_log_lines_are_few_on_the_worst_day() -> None:
    world = ready_world(50)
    begin_us = world.now_us
    for fault in (Outcome.REJECTED, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        for _ in range(30):
            churn_all(world, fault)
    assert 1 <= len(log_lines(world)) <= 1 + (world.now_us - begin_us) / 1_000_000


def churn_all(world: World, outcome: Outcome) -> None:
    """A few requests, and one outcome for all that is out."""
    for _ in range(20):
        world.arrive(PAY)
    world.advance(10_000)
    for ident, owed in list(world.owed.items()):
        for attempt in owed.out():
            world.end(ident, attempt, outcome)


@pytest.mark.parametrize("hedging", [True, False])
def test_after_an_outage_that_every_answer_outlasted_requests_are_tried_again(hedging: bool) -> None:
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


def refused_of(world: World, count: int) -> int:
    return sum(1 for _ in range(count) if not world.sends(world.arrive(PAY)))


@pytest.mark.parametrize("fault", [Outcome.RESET, Outcome.MALFORMED, Outcome.ERROR])
def test_a_fault_that_strikes_all_upstreams_alike_shuts_none(fault: Outcome) -> None:
    world = ready_world(6)
    for outcome in (Outcome.OK, fault):
        requests = [world.arrive(PAY) for _ in range(6)]  # one at each upstream
        world.advance(20_000)
        for request in requests:
            world.end(request, 0, outcome)
    assert refused_of(world, 6) == 0


def test_slots_open_fast_after_the_start_of_a_busy_sidecar() -> None:
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


def test_a_class_that_an_upstream_never_answers_is_seldom_sent_there_and_the_others_are() -> None:
    kinds = classes()
    kinds[PAY] = replace(kinds[PAY], late_weight=0.5)  # so that it is waited for to its deadline
    world = ready_world(classes=kinds)
    deaf = min(world.known)

    def sent_to_deaf(class_index: int) -> int:
        request = world.arrive(class_index)
        sends = world.sends(request)
        world.advance(20_000)
        if sends and (sends[0].endpoint_id != deaf or class_index != PAY):
            world.end(request, 0, Outcome.OK)
        return sum(1 for send in sends if send.endpoint_id == deaf)

    assert 3 <= sum(sent_to_deaf(PAY) for _ in range(1000)) <= 15
    assert sum(sent_to_deaf(READ) for _ in range(40)) > 0


def test_an_upstream_slow_to_all_frees_no_more_than_one_slot() -> None:
    world = ready_world(1, hedging=False)
    for _ in range(40):  # requests that meet open slots
        both = [world.arrive(READ), world.arrive(READ)]
        world.advance(10_000)
        for request in both:
            if world.sends(request) and world.answer(request) is None:
                world.end(request, 0, Outcome.OK)
    slots = len(fill(world)) - 1
    kind = world.settings.classes[READ]
    world.advance(kind.latency_objective_us - 1)
    assert len(fill(world)) == 1
    sent = len(world.sends())
    world.advance(1)
    fill(world)
    assert slots > 2 and len(world.sends()) - sent <= 1
