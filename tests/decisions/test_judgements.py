"""Evidence on servers: the laws of its merge, the stated bounds, and what comes of it in a fleet."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes.membership_model import MembershipModel
from plovertrail.decisions.actions import Send
from plovertrail.decisions.balance import Balancer
from plovertrail.decisions.events import EndpointsUpdated, ListKind, PeerHealthUpdated, RequestArrived
from plovertrail.decisions.judgements import (
    CAP,
    HALF_LIFE_US,
    MOST_ROWS,
    OLDEST_US,
    Evidence,
    Judgements,
    Known,
    hearsay,
    held_back,
    worst_share,
)
from tests.decisions.world import START_US, upstreams
from tests.decisions.world import settings as module_settings

S = 1_000_000
READ, BUY = 1, 2
SERVERS = frozenset(range(8))


def row(
    teller: int,
    server: int = 0,
    wrong: float = 4.0,
    attempts: float = 4.0,
    sequence: int = 1,
    kind: int = READ,
    age_us: int = 0,
) -> Evidence:
    return Evidence(teller, sequence, (server, kind), attempts, wrong, 0.0, 0.0, age_us)


def one(zone: str = "") -> Judgements:
    made = Judgements(99, 0)
    made.zone = zone
    return made


rows = st.lists(
    st.builds(row, st.integers(0, 3), st.integers(0, 2), st.floats(0, 4), st.just(4.0), st.integers(1, 5)),
    max_size=12,
    unique_by=lambda each: (each.teller, each.key, each.sequence),
)


@settings(max_examples=150, deadline=None)
@given(rows, st.randoms(use_true_random=False))
def test_evidence_is_joined_the_same_in_any_order_and_however_often(
    said: list[Evidence], rng: random.Random
) -> None:
    first, second = one(), one()
    for each in said:
        first.take(each, S)
    again = [*said, *said]
    rng.shuffle(again)
    for each in again:
        second.take(each, S)
    plain = [
        {
            (key, teller): kept.evidence
            for key, by_teller in each.heard.items()
            for teller, kept in by_teller.items()
        }
        for each in (first, second)
    ]
    assert plain[0] == plain[1]
    last = sorted(said, key=lambda each: each.sequence)
    assert plain[0] == {(each.key, each.teller): each for each in last}


def test_one_teller_is_no_opinion_and_two_are() -> None:
    it = one()
    it.take(row(1), 0)
    assert it.opinion((0, READ), 0, 0.0).held_back == 0.0
    it.take(row(2), 0)
    found = it.opinion((0, READ), 0, 0.0)
    assert found.tellers == 2 and found.held_back > 0.5
    assert 0.0 < it.opinion((0, BUY), 0, 0.0).held_back < found.held_back  # of a class that nobody tried
    mine = one()
    mine.take(row(1), 0)
    mine.ended((0, READ), 0, fault=True)  # one and ourselves
    assert mine.opinion((0, READ), 0, 0.0).held_back > 0.3


def test_a_server_that_fails_for_one_class_only_is_held_back_for_that_alone() -> None:
    it = one()
    for teller in range(6):
        it.take(row(teller, age_us=S), 2 * S)  # all fail at one second
        it.take(row(teller, wrong=0.0, kind=BUY), 2 * S)  # and go well a second later
    assert it.opinion((0, READ), 2 * S, 0.0).held_back > 0.5
    assert it.opinion((0, BUY), 2 * S, 0.0).held_back < 0.15


def test_what_went_well_before_a_server_turned_bad_hides_nothing() -> None:
    it, steady = one(), one()
    for teller in range(20):
        it.take(row(teller, wrong=0.0, attempts=2.0), S)  # just before
        steady.take(row(teller, wrong=0.0, attempts=2.0), 2 * S)  # and just after
    for teller in (30, 31):
        for each in (it, steady):
            each.take(row(teller, wrong=1.0, attempts=1.0, age_us=500_000), 2 * S)
    assert it.opinion((0, READ), 2 * S, 0.0).held_back > 0.1
    assert steady.opinion((0, READ), 2 * S, 0.0).held_back == 0.0
    for number in range(2, 40):  # liars who lie anew each moment don't make that old news
        for teller in (30, 31):
            steady.take(row(teller, sequence=number), 2 * S + number)
    assert steady.opinion((0, READ), 2 * S + 50, 0.0).held_back < 0.1


def test_what_we_see_ourselves_outweighs_what_some_say() -> None:
    it = one()
    for teller in range(4):
        it.take(row(teller), 0)
    before = it.opinion((0, READ), 0, 0.0).held_back
    for _ in range(16):
        it.ended((0, READ), 0)
    assert before > 0.7 and it.opinion((0, READ), 0, 0.0).held_back < 0.2


def test_a_wrong_opinion_fades_and_ends_at_the_stated_time() -> None:
    it, held = one(), []
    for teller in range(3):
        it.take(row(teller), 0)
    for at_us in range(0, OLDEST_US + 2 * S, S):
        held.append(it.opinion((0, READ), at_us, 0.0).held_back)
    assert held == sorted(held, reverse=True) and held[0] > 0.6 and held[-1] == 0.0
    assert held[3 * HALF_LIFE_US // S] < held[0] / 2
    it.sweep(OLDEST_US + S)
    assert not it.heard and it.rows == 0
    late = one()
    for teller in range(3):  # by their own age, whenever it comes
        late.take(row(teller, age_us=3 * HALF_LIFE_US), 0)
    assert late.opinion((0, READ), 0, 0.0).held_back == pytest.approx(held[3 * HALF_LIFE_US // S], abs=0.01)


@pytest.mark.parametrize(("liars", "honest"), [(1, 23), (2, 22), (8, 16)])
def test_liars_do_no_more_than_is_stated(liars: int, honest: int) -> None:
    for attempts in (1.0, 4.0, 40.0):
        it = one()
        for teller in range(honest):
            it.take(row(teller, wrong=0.0, attempts=attempts), 0)
        for teller in range(honest, honest + liars):
            it.take(row(teller, wrong=1_000.0, attempts=1_000.0), 0)
        found = it.opinion((0, READ), 0, 0.0).held_back
        assert found <= held_back(worst_share(liars, honest, attempts), 0.0) + 1e-9
        if liars <= honest // 10 and attempts >= CAP:
            assert found == 0.0  # a tenth has no say at all where the others have tried it


def test_liars_who_call_all_bad_or_all_good_hold_back_a_third_at_most() -> None:
    it = one()
    for server in SERVERS:
        for teller in range(20):
            it.take(row(teller, server), 0)
    found = it.opinions(SERVERS, 0)
    assert sum(opinion.held_back > 0 for opinion in found.values()) == len(SERVERS) // 3
    good = one()
    for teller in range(20):
        good.take(row(teller, wrong=4.0 if teller < 14 else 0.0), 0)
    assert good.opinion((0, READ), 0, 0.0).held_back > 0.4


def test_a_server_that_only_another_zone_can_not_reach_is_held_back_less_here() -> None:
    def seen(zone: str) -> float:
        it = one("a")
        for teller in range(10):
            it.zones[teller] = "b" if teller < 5 else "a"
            it.take(row(teller, wrong=4.0 if it.zones[teller] == zone else 0.0), 0)
        return it.opinion((0, READ), 0, 0.0).held_back

    assert seen("b") < 0.2 < 0.4 < seen("a")


def test_one_that_finds_all_servers_bad_says_nothing_and_one_that_doubts_itself_counts_for_nothing() -> None:
    it = one()
    for server in range(6):
        for _ in range(3):
            it.ended((server, READ), 0, fault=server < 4)
    assert it.finds_all_bad(0) and it.tell(30, 24, False, 0) == []
    it.own.clear()
    for server in range(6):
        it.ended((server, READ), 0, fault=server < 1)
    assert [each.key for each in it.tell(30, 24, False, 0)] == [(0, READ)]
    assert it.tell(30, 24, True, 0) == []
    it.stood_still(S)
    it.ended((0, READ), S, fault=True)
    assert it.tell(30, 24, False, S) == [] and it.tell(30, 24, False, S + HALF_LIFE_US) != []
    for teller in (1, 2):
        it.take(row(teller, 5), S)
    assert it.opinion((5, READ), S, 0.0).held_back > 0
    it.unwell.add(1)
    assert it.opinion((5, READ), S, 0.0).held_back == 0.0


def test_what_strikes_all_servers_alike_holds_none_back() -> None:
    it = one()
    for server in SERVERS:
        for number in range(10):
            it.ended((server, READ), 0, fault=number < 4)
        for teller in range(5):
            it.take(row(teller, server, wrong=1.6), 0)
    assert all(opinion.held_back == 0.0 for opinion in it.opinions(SERVERS, 0).values())


def test_rows_are_bounded_and_nonsense_is_dropped() -> None:
    it = one()
    for number in range(MOST_ROWS + 50):
        it.take(row(number % 300, number // 300, sequence=1), 0)
    assert it.rows == MOST_ROWS == sum(len(by) for by in it.heard.values()) == len(it.order)
    dropped = it.dropped
    for bad in (
        row(1, wrong=9.0),
        row(1, attempts=float("nan")),
        row(1, wrong=-1.0),
        row(1, age_us=OLDEST_US + 1),
    ):
        assert not it.take(bad, 0)
    assert it.dropped == dropped + 4
    assert not it.take(row(99), 0) and not it.take(row(299, 0, sequence=0), 0)


# What the module makes of it


def drawn(held: dict[tuple[int, int], float]) -> dict[int, int]:
    """Where 2,000 first requests of class 0 go, of eight servers."""
    sent = dict.fromkeys(range(100, 108), 0)
    for seed in range(250):
        balancer = Balancer(module_settings(hedging=False), seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, upstreams(8)))
        balancer.handle(START_US, PeerHealthUpdated(held))
        for request in range(4):
            for action in balancer.handle(START_US, RequestArrived(request, START_US + S)):
                if isinstance(action, Send):
                    sent[action.endpoint_id] += 1
    return sent


def test_the_module_draws_what_is_held_back_less_and_never_shuts_it() -> None:
    sent = drawn({(100, 0): 1.0, (101, 0): 0.1, (102, 1): 1.0})
    usual = sum(sent[number] for number in range(103, 108)) / 5
    assert sum(sent.values()) == 1_000
    assert sent[100] < 0.1 * usual and 0.1 * usual < sent[101] < 0.6 * usual and sent[102] > 0.7 * usual
    all_bad = drawn({(number, 0): 1.0 - number / 1_000 for number in range(100, 108)})
    assert sum(count < 40 for count in all_bad.values()) == 2  # a third of eight, whatever is said
    assert sum(all_bad.values()) == 1_000


def test_one_that_was_not_used_yet_and_is_held_back_waits_for_all_others() -> None:
    """With little traffic servers that are not in use are drawn first, and it may be the only one of them."""
    sent = []
    for seed in range(40):
        balancer = Balancer(module_settings(hedging=False), seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, upstreams(4)))
        for server in list(balancer.servers.values())[1:]:
            balancer.use(server, True)
        balancer.handle(START_US, PeerHealthUpdated({(100, 0): 0.4}))
        for request in range(4):
            found = balancer.handle(START_US, RequestArrived(request, START_US + S))
            sent += [action.endpoint_id for action in found if isinstance(action, Send)]
    assert sent[3::4] == [100] * 40  # the fourth finds no other slot
    assert sum(upstream == 100 for upstream in sent) <= 45


def test_hearsay_is_whole_and_speaks_of_servers_that_are_there() -> None:
    balancer = Balancer(module_settings(), 1, START_US)
    balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, upstreams(8)))
    balancer.handle(START_US, PeerHealthUpdated({(100, 0): 0.5, (999, 0): 1.0, (101, 77): 1.0}))
    assert balancer.servers[100].hearsay == {0: 0.5} and balancer.hearsay == {100}
    balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, upstreams(8)[1:]))
    balancer.handle(START_US, PeerHealthUpdated({(102, 0): 0.5}))
    assert balancer.hearsay == {102} and balancer.servers[101].hearsay is None
    known = Known({100: 7, 101: 8}, (READ, BUY))
    it = one()
    for teller in (1, 2, 3):
        it.take(replace(row(teller), key=(8, BUY)), 0)
        it.take(replace(row(teller), key=(5, BUY)), 0)
    assert set(hearsay(it.opinions({7, 8}, 0), known)) == set()  # a third of two is none
    assert set(hearsay(it.opinions({7, 8, 9}, 0), known)) == {(101, 1)}


# A fleet on a virtual clock


def until_heard(fleet: MembershipModel, bad: int, seconds: float, part: float) -> float:
    """How long until so large a part of the instances holds a server back."""
    begun_us = fleet.now_us
    while fleet.now_us < begun_us + seconds * S:
        fleet.run(0.1)
        held = sum(
            fleet.judgements(number).opinion((bad, READ), fleet.local_us(number), 0.0).held_back > 0
            for number in range(fleet.size)
        )
        if held >= part * fleet.size:
            return (fleet.now_us - begun_us) / S
    return seconds


@pytest.mark.parametrize(("size", "loss"), [(24, 0.0), (24, 0.3), (100, 0.1)])
def test_what_three_have_seen_nine_in_ten_know_within_seconds(size: int, loss: float) -> None:
    fleet = MembershipModel(size, seed=3, loss=loss)
    fleet.run(2)
    for number in range(3):
        for _ in range(2):
            fleet.judgements(number).ended((5, READ), fleet.local_us(number), fault=True)
    assert until_heard(fleet, 5, 10.0, 0.9) < 4.0


def test_in_a_split_each_part_judges_by_its_own_and_old_news_judges_nothing_after_it() -> None:
    fleet = MembershipModel(12, seed=4)
    fleet.run(2)
    fleet.delivers = lambda sender, receiver: (sender < 6) == (receiver < 6)
    for number in range(3):
        fleet.judgements(number).ended((5, READ), fleet.local_us(number), fault=True)
        fleet.judgements(number).ended((5, READ), fleet.local_us(number), fault=True)
    fleet.run(3)

    def held(number: int) -> float:
        return fleet.judgements(number).opinion((5, READ), fleet.local_us(number), 0.0).held_back

    assert all(held(number) > 0 for number in range(6)) and all(held(number) == 0 for number in range(6, 12))
    fleet.run(OLDEST_US / S)
    fleet.delivers = lambda sender, receiver: True
    fleet.run(20)
    assert all(held(number) == 0 for number in range(12))
