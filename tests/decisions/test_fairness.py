"""The door of a pool on a virtual clock: shares, bounds, promises, and what must not shift them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes.door_model import DoorModel, Load
from plovertrail.decisions.balance import LoadBalancer
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointsUpdated,
    ListKind,
    Outcome,
    RequestArrived,
)
from plovertrail.decisions.fairness import (
    MOST_PROMISES,
    Admitted,
    Door,
    DoorSettings,
    TurnedAway,
)
from plovertrail.decisions.settings import RequestClass, Settings

SMALL = [Load(f"small{number}", 25.0) for number in range(10)]  # 5 slots of work together
SECOND = 1_000_000


def listed(*names: str, weight: float = 1.0, **more: int) -> DoorSettings:
    return DoorSettings(tuple((name, weight) for name in names), **more)


def played(
    loads: list[Load],
    slots: int = 10,
    seconds: float = 8,
    fair: bool = True,
    setup: DoorSettings | None = None,
) -> DoorModel:
    names = [load.name for load in loads if not load.made_up]
    model = DoorModel(setup or listed(*names, max_retry_after_us=10 * SECOND), slots, loads, 1, fair)
    model.play(2)
    model.forget()
    model.play(seconds)
    assert set(model.answers.values()) == {1}  # one answer each
    return model


def service(model: DoorModel, prefix: str) -> list[float]:
    return [seen.served / seen.asked for name, seen in model.seen.items() if name.startswith(prefix)]


def use(model: DoorModel, seconds: float = 8) -> float:
    return sum(seen.work_us for seen in model.seen.values()) / (model.slots * seconds * SECOND)


FLOODS = {
    "ten times what there is": Load("flood", 5000.0, clients=500),
    "at ninety percent": Load("flood", 2250.0, clients=500),
    "a new name on every request": Load("x", 5000.0, clients=500, made_up=True),
    "costly requests": Load("flood", 100.0, work_us=1_000_000.0, clients=100),
    "clients that hammer": Load("flood", 300.0, clients=300, retries_us=20_000),
    "a dear class": Load("flood", 2500.0, clients=500, worth=100.0),
}


@pytest.mark.parametrize("name", FLOODS)
def test_small_tenants_keep_their_service_beside_a_flood(name: str) -> None:
    """They ask for half of what there is; without the door the flood takes nine tenths of it."""
    loads = [*SMALL, FLOODS[name]]
    fair, plain = played(loads), played(loads, fair=False)
    # a slot is held for a second by a costly request, which nobody can take back
    costly = name == "costly requests"
    least = 0.75 if costly else 0.95
    assert min(service(fair, "small")) >= least > max(service(plain, "small"))
    # work is counted where it ends: of requests of a second, part of what began before or ends later
    assert use(fair) >= (0.93 if costly else 0.97) * min(1.0, use(plain))


def test_weights_are_kept_while_all_want_more() -> None:
    loads = [Load("a", 1000.0, clients=99), Load("b", 1000.0, clients=99), Load("c", 1000.0, clients=99)]
    setup = DoorSettings((("a", 1.0), ("b", 2.0), ("c", 5.0)))
    model = played(loads, setup=setup)
    work = [model.seen[name].work_us for name in "abc"]
    assert [round(each / sum(work), 2) for each in work] == pytest.approx([0.125, 0.25, 0.625], abs=0.02)


def test_it_is_work_that_is_shared_and_not_requests() -> None:
    loads = [Load("cheap", 3000.0, work_us=5_000.0, clients=99), Load("dear", 500.0, 100_000.0, clients=99)]
    model = played(loads)
    cheap, dear = model.seen["cheap"], model.seen["dear"]
    assert cheap.work_us / (cheap.work_us + dear.work_us) == pytest.approx(0.5, abs=0.03)
    assert cheap.served > 15 * dear.served


def test_one_alone_may_use_everything_and_owes_nothing_for_it_later() -> None:
    alone = Load("a", 2000.0, clients=99)
    model = played([alone, Load("b", 0.0)])
    assert use(model) >= 0.97
    late = Load("b", 2000.0, clients=99)
    model.loads.append(late)
    model._next_of(late)
    model.play(1)
    model.forget()
    model.play(8)
    parts = [model.seen[name].work_us / (8 * SECOND * model.slots) for name in "ab"]
    assert parts == pytest.approx([0.5, 0.5], abs=0.03)


def test_a_tenant_of_no_weight_has_what_nobody_wants() -> None:
    setup = DoorSettings((("none", 0.0), ("some", 1.0)))
    loads = [Load("none", 1000.0, clients=99), Load("some", 100.0, clients=99)]
    model = played(loads, setup=setup)
    assert service(model, "some")[0] >= 0.98
    assert model.seen["none"].work_us > 0.6 * model.slots * 8 * SECOND
    crowded = played([loads[0], Load("some", 1000.0, clients=99)], setup=setup)
    assert crowded.seen["none"].work_us < 0.02 * model.slots * 8 * SECOND


def test_a_thousand_tenants_with_one_request_each_are_served_as_one() -> None:
    door = Door(DoorSettings(most_waiting=2000, most_wait_us=60 * SECOND), 0, random.Random(1).random)
    for number in range(1000):
        assert not door.arrived(number, f"t{number}", "c", 1.0, 90 * SECOND, 0, False)
    found = [door.next(0) for _ in range(1001)]
    assert found[-1] is None and {each.ident for each in found[:-1] if each} == set(range(1000))


def test_weights_that_change_in_a_flood_lose_nobody_and_hold_from_then_on() -> None:
    loads = [Load("a", 1000.0, clients=99), Load("b", 1000.0, clients=99)]
    model = played(loads)
    before = set(model.door.waiting)
    model.door.configure(DoorSettings((("a", 3.0), ("b", 1.0))))
    assert set(model.door.waiting) == before
    model.play(1)
    model.forget()
    model.play(8)
    work = {name: model.seen[name].work_us for name in "ab"}
    assert work["a"] / (work["a"] + work["b"]) == pytest.approx(0.75, abs=0.03)
    model.door.configure(DoorSettings((("a", 1.0),)))  # b is listed no more
    model.play(2)
    assert set(model.answers.values()) == {1}
    assert set(model.door.shares) == {"a", ""} and model.door.shares[""].out > 0


def test_made_up_names_create_no_state() -> None:
    door = Door(DoorSettings(most_waiting=50), 0, random.Random(1).random)
    for number in range(20_000):
        door.arrived(number, f"name{number}", f"client{number}", 1.0, number + 9 * SECOND, number, False)
        if number % 40 == 0:
            admitted = door.next(number)
            if admitted is not None:
                door.ended(admitted.ident, 20_000, number)
        door.expired(number)
    assert set(door.shares) == {""} and len(door.shares[""].queues) == 65
    assert len(door.waiting) <= 50 and len(door.out) == 0
    assert len(door.promised) <= MOST_PROMISES and len(door.promises) <= MOST_PROMISES
    assert sum(len(queue.heap) for queue in door.shares[""].queues) <= 2 * 50 + 64 * 10
    assert len(door.expiries) <= 2 * 50 + 10


def test_clients_that_come_when_told_are_let_in() -> None:
    """A closed loop of clients that do as told: four in five who come back at the time find a place."""
    flood = Load("flood", 3000.0, clients=1000, closed=True)
    model = played([*SMALL, flood], seconds=15)
    seen = model.seen["flood"]
    assert seen.came_back > 500 and seen.let_in >= 0.8 * seen.came_back
    assert min(service(model, "small")) >= 0.95


def test_the_refused_are_told_different_times_within_their_patience() -> None:
    door = Door(listed("a", most_wait_us=1, max_retry_after_us=2 * SECOND), 0, random.Random(1).random)
    door.out[0] = door.shares["a"].queues[0], 1.0
    told = []
    for number in range(1, 300):
        for action in door.arrived(number, "a", f"c{number}", 1.0, SECOND, 0, False):
            if isinstance(action, TurnedAway):
                told.append(action.retry_after_us)
    assert len(told) > 250 and len(set(told)) > 0.9 * len(told)
    assert max(told) <= 2 * SECOND and min(told) >= 50_000
    steps = [after - before for before, after in zip(told, told[1:], strict=False)][:50]
    assert all(step >= 15_000 for step in steps)  # about one request's time at the speed of one slot


def test_a_loss_of_slots_is_in_the_next_estimate() -> None:
    model = played([Load("a", 2000.0, clients=99), Load("b", 2000.0, clients=99)], slots=20)
    share = model.door.shares["a"]
    before = model.door.wait_us(share, 10)
    model.slots = 5
    model.play(0.2)
    assert model.door.wait_us(share, 10) >= 1.8 * before  # by no more than all slots do
    model.play(4)
    assert model.door.wait_us(share, 10) == pytest.approx(4 * before, rel=0.3)


def test_a_wait_counts_against_the_deadline_and_ends_in_time() -> None:
    door = Door(listed("a", most_wait_us=500_000), 0, random.Random(1).random)
    door.shares["a"].work_us = 1_000.0
    assert not door.arrived(1, "a", "c", 1.0, 100_000, 0, False)  # its own time is shorter
    assert not door.arrived(2, "a", "c", 1.0, 9 * SECOND, 0, False)
    assert door.next_expiry_us() == 99_000
    assert [each.ident for each in door.expired(99_000)] == [1]
    assert [each.ident for each in door.expired(500_000)] == [2]
    assert door.next_expiry_us() is None and not door.waiting
    # one that can't be served in time any more is refused at once
    assert isinstance(door.arrived(3, "a", "c", 1.0, 500_500, 500_000, False)[0], TurnedAway)


def test_one_whose_client_has_gone_waits_no_more() -> None:
    door = Door(listed("a"), 0, random.Random(1).random)
    for ident in (1, 2):
        door.arrived(ident, "a", "c", 1.0, SECOND, 0, False)
    door.gone(1, 0)
    assert door.next(0) == Admitted(2) and door.next(0) is None
    door.ended(2, 5, 0)
    door.ended(2, 5, 0)
    assert door.shares["a"].out == 0 and door.shares["a"].work_done_us == 5


def test_a_clock_that_steps_back_changes_nothing() -> None:
    door = Door(listed("a"), 5 * SECOND, random.Random(1).random)
    door.arrived(1, "a", "c", 1.0, 6 * SECOND, 5 * SECOND, False)
    expires = door.next_expiry_us()
    door.arrived(2, "a", "c", 1.0, 6 * SECOND, 0, False)
    assert door.next_expiry_us() == expires and door.now_us == 5 * SECOND


def test_a_dear_request_makes_a_cheap_one_of_its_own_tenant_go_first() -> None:
    door = Door(listed("a", "b", most_waiting=4, most_wait_us=SECOND), 0, random.Random(1).random)
    door.arrived(1, "b", "c", 1.0, 9 * SECOND, 0, False)
    for ident in (2, 3, 4):
        assert not door.arrived(ident, "a", "c", 1.0, 9 * SECOND, 0, False)
    assert door.arrived(5, "a", "c", 1.0, 9 * SECOND, 0, False)[0].ident == 5  # the queue is full
    assert [each.ident for each in door.arrived(6, "a", "c", 2.0, 9 * SECOND, 0, False)] == [4]
    assert [each.ident for each in door.arrived(7, "b", "c", 1.0, 9 * SECOND, 0, False)] == [3]
    order = [door.next(0) for _ in range(4)]
    assert {each.ident for each in order if each} == {1, 2, 6, 7}
    assert [each.ident for each in order if each and each.ident in (2, 6)] == [6, 2]


@settings(max_examples=60, deadline=None)
@given(st.lists(st.sampled_from([0.5, 1.0, 2.0]), min_size=2, max_size=5), st.integers(0, 2**16))
def test_no_backlogged_tenant_falls_behind_by_more_than_stated(weights: list[float], seed: int) -> None:
    """While both wait, the work let through of two tenants differs, by weight, by no more than one request of
    each, beside what is charged too little: here charges are exact."""
    rng = random.Random(seed)
    setup = DoorSettings(
        tuple((str(n), weight) for n, weight in enumerate(weights)),
        most_waiting=10_000,
        most_wait_us=3600 * SECOND,
    )
    door = Door(setup, 0, rng.random)
    works = {str(n): rng.randrange(1_000, 100_000) for n in range(len(weights))}
    for name, work in works.items():
        door.shares[name].work_us = float(work)
    idents: dict[int, str] = {}
    for _ in range(60):
        for name in works:
            ident = len(idents) + 1
            idents[ident] = name
            assert not door.arrived(ident, name, f"c{rng.random()}", 1.0, 7200 * SECOND, 0, False)
    had = dict.fromkeys(works, 0.0)
    while all(door.shares[name].waiting for name in works):
        admitted = door.next(0)
        assert admitted is not None
        name = idents[admitted.ident]
        had[name] += works[name] / door.shares[name].weight
        door.ended(admitted.ident, works[name], 0)
        for one in works:
            for other in works:
                bound = works[one] / door.shares[one].weight + works[other] / door.shares[other].weight
                assert abs(had[one] - had[other]) <= bound + 1e-6


def test_what_a_request_took_beyond_its_charge_is_charged_at_its_end() -> None:
    door = Door(DoorSettings((("a", 2.0),)), 0, random.Random(1).random)
    share = door.shares["a"]
    charge = share.work_us
    for work_us in (5 * int(charge), int(charge) // 5):
        before = share.tag
        assert door.arrived(1, "a", "c", 1.0, 9 * SECOND, 0, True) == [Admitted(1)]
        door.ended(1, work_us, 0)
        assert share.tag - before == pytest.approx(work_us / 2.0)


def test_slots_open_for_what_waits_at_a_door() -> None:
    """The module opens slots only where they were short; a door keeps shortage from it."""

    def window(asked: bool) -> float:
        kinds = [RequestClass("read", 300_000, 1_500_000)]
        balancer = LoadBalancer(Settings(kinds, max_attempts=3), 1, SECOND)
        balancer.handle(SECOND, EndpointsUpdated(ListKind.FULL, [Endpoint(7)]))
        now_us = 2 * SECOND
        for ident in range(1, 60):
            assert balancer.has_room(now_us) or asked
            balancer.handle(now_us, RequestArrived(ident, now_us + SECOND))
            if asked:
                while balancer.has_room(now_us):  # till all slots are taken
                    ident += 1000
                    balancer.handle(now_us, RequestArrived(ident, now_us + SECOND))
            now_us += 20_000
            for request in list(balancer.requests):
                balancer.handle(now_us, AttemptEnded(request, 0, 7, Outcome.OK, 20_000, True))
        return balancer.endpoints[7].concurrency_limit

    assert window(False) == 1.0 < 2.0 < window(True)
