"""What one of many instances may hold, and what all of them then come to."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions import share
from plovertrail.decisions.events import Endpoint, EndpointStatus
from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.share import Bounds, Dials, Fleet, Subset, budget, overdrawn, usable_mean

GONE, READY, DRAINING = EndpointStatus.REMOVED, EndpointStatus.READY, EndpointStatus.DRAINING


def servers(count: int, first: int = 1, **changes: object) -> list[Endpoint]:
    return [Endpoint(first + i, zone=i % 3, cell=i // 2, **changes) for i in range(count)]  # type: ignore[arg-type]


def addresses(entries: list[Endpoint]) -> dict[int, tuple[str, int]]:
    return {entry.id: ("127.0.0.1", 1000 + entry.id) for entry in entries}


def made(number: int, size: int, entries: list[Endpoint], group: str = "", home: int | None = None) -> Subset:
    subset = Subset(number, size, group, home)
    subset.listed(entries, addresses(entries))
    return subset


# Budgets


def test_a_mean_that_may_be_used_leaves_room_for_chance() -> None:
    rng = random.Random(5)
    for bound, places in ((100, 20), (400, 500)):
        mean = usable_mean(bound, places)
        # 5,000 instances choose places at random, each with the chance that gives this mean
        over = 0
        for _ in range(20):
            counts = Counter(
                place for place in range(places) for _ in range(_binomial(rng, 5_000, mean / 5_000))
            )
            over += any(count > bound for count in counts.values())
        assert over == 0 and mean > 0.5 * bound
    assert usable_mean(100, 20, lot=4) < usable_mean(100, 20) < usable_mean(1_000, 20)


def _binomial(rng: random.Random, count: int, chance: float) -> int:
    return max(0, round(rng.gauss(count * chance, (count * chance * (1 - chance)) ** 0.5)))


@pytest.mark.parametrize("size", [1, 5, 100, 500, 5_000, 100_000])
@pytest.mark.parametrize("count", [1, 3, 20, 10_000])
def test_all_budgets_together_stay_under_the_bound(size: int, count: int) -> None:
    bounds = Bounds(servers=8, connections=400, dials_per_s=100.0)
    numbers = range(min(size, 2_000))
    each = [budget(Fleet(size, number), bounds, count) for number in numbers]
    assert all(mine.connections >= 1 and 1 <= mine.connections_each <= share.MOST_EACH for mine in each)
    kept = sum(mine.connections for mine in each if mine.keep_idle) * size / len(numbers)
    assert kept <= 400 * count
    assert bool(overdrawn(Fleet(size), bounds, count)) == any(not mine.keep_idle for mine in each)
    assert max(each, key=lambda mine: mine.connections).connections <= 1 + min(
        mine.connections for mine in each
    ), "shares are equal but for the fraction"
    assert size / (each[0].dial_gap_us / 1e6) / count <= 100.0


def test_without_bounds_or_servers_nothing_is_limited() -> None:
    assert budget(Fleet(1000), Bounds(), 20) == share.Budget()
    assert budget(Fleet(1000), Bounds(connections=10), 0) == share.Budget()
    assert not overdrawn(Fleet(1000), Bounds(), 20)


@pytest.mark.parametrize(("told", "true"), [(500, 5_000), (50_000, 5_000)])
def test_a_fleet_size_that_is_wrong_by_ten_times_harms_by_ten_times_at_most(told: int, true: int) -> None:
    bounds = Bounds(servers=4, connections=2_000, dials_per_s=100.0)
    right, wrong = budget(Fleet(true), bounds, 20), budget(Fleet(told), bounds, 20)
    assert true / wrong.dial_gap_us <= 10.01 * true / right.dial_gap_us
    if told < true:  # the harm: up to ten times the bound, where all instances use all that they have
        assert right.connections < wrong.connections <= 10.0 * 20 * 2_000 / true
    else:  # the harm: dials ten times as rare, and few keep a connection
        kept = sum(budget(Fleet(told, number), bounds, 20).keep_idle for number in range(1_000))
        assert 500 < kept < 900 and wrong.dial_gap_us > 9 * right.dial_gap_us


# Dials


def test_a_fleet_that_starts_at_one_moment_dials_evenly() -> None:
    rng = random.Random(1)
    gap_us = budget(Fleet(5_000), Bounds(dials_per_s=100.0), 20).dial_gap_us
    fleet = [Dials(gap_us, 0, rng.random()) for _ in range(5_000)]
    seconds: Counter[int] = Counter()
    for dials in fleet:
        at_us = dials.next_us
        while at_us < 20_000_000:  # always in need of one
            assert dials.may(at_us) and not dials.may(at_us - 1)
            dials.took(at_us)
            seconds[at_us // 1_000_000] += 1
            at_us = dials.next_us
    assert max(seconds.values()) <= 20 * 100 and min(seconds.values()) >= 20 * 100 * 0.5


def test_turns_come_back_one_each_gap_and_some_in_a_row_after_a_pause() -> None:
    dials = Dials(1_000_000, 0, 0.5)
    assert not dials.may(499_999)
    now_us, taken = 500_000, 0
    while dials.may(now_us):
        dials.took(now_us)
        taken += 1
    assert taken == 1, "no burst before the first pause"
    assert dials.next_us == 1_500_000
    now_us, taken = 3_600_000_000, 0
    while dials.may(now_us):
        dials.took(now_us)
        taken += 1
    assert taken == share.DIAL_BURST and dials.next_us == now_us + 1_000_000


def test_a_fleet_that_froze_and_wakes_at_one_moment_dials_as_evenly_as_one_that_starts() -> None:
    rng = random.Random(1)
    gap_us = budget(Fleet(5_000), Bounds(dials_per_s=100.0), 20).dial_gap_us
    fleet = [Dials(gap_us, 0, rng.random()) for _ in range(5_000)]
    woke_us = 3_600_000_000
    assert sum(dials.may(woke_us) for dials in fleet) == 5_000  # all at once, four in a row each
    seconds: Counter[int] = Counter()
    for dials in fleet:
        dials.stood_still(woke_us, rng.random())
        at_us = max(woke_us, dials.next_us)
        while at_us < woke_us + 10_000_000:
            dials.took(at_us)
            seconds[(at_us - woke_us) // 1_000_000] += 1
            at_us = dials.next_us
    assert max(seconds.values()) <= 20 * 100
    dials = Dials(gap_us, 0, 0.5)
    for _ in range(3):
        dials.took(0)  # what is owed stays owed
    before_us = dials.next_us
    dials.stood_still(0, 0.0)
    assert dials.next_us == before_us


def test_turns_follow_a_fleet_that_grows_or_shrinks() -> None:
    dials = Dials(60_000_000, 0, 0.0)
    dials.took(0)
    assert dials.next_us == 60_000_000
    dials.change(1_000_000, 0)
    assert dials.next_us == 1_000_000, "what is owed is owed in the new gaps"
    dials.change(60_000_000, 1_000_000)
    assert dials.may(1_000_000) and dials.next_us >= -60_000_000 * share.DIAL_BURST


# Subsets


def test_an_instance_has_the_same_servers_after_a_restart_in_whatever_order_they_come() -> None:
    entries = servers(50)
    first = made(7, 5, entries)
    again = made(7, 5, entries[::-1])
    assert first.chosen.keys() == again.chosen.keys() and len(first.chosen) == 5
    renumbered = [Endpoint(entry.id + 500, zone=entry.zone, cell=entry.cell) for entry in entries]
    other = Subset(7, 5)
    other.listed(renumbered, {entry.id + 500: ("127.0.0.1", 1000 + entry.id) for entry in entries})
    assert {number - 500 for number in other.chosen} == first.chosen.keys()
    assert made(8, 5, entries).chosen.keys() != first.chosen.keys()


def test_servers_are_spread_over_a_fleet_by_chance_and_no_worse() -> None:
    entries = servers(20)
    counts = Counter(number for instance in range(2_000) for number in made(instance, 4, entries).chosen)
    assert sum(counts.values()) == 8_000
    assert all(abs(counts[entry.id] - 400) < 4.5 * 400**0.5 for entry in entries)


def test_weights_of_100_to_1_are_kept() -> None:
    entries = [Endpoint(number, weight=100.0 if number <= 10 else 1.0) for number in range(1, 111)]
    counts = Counter(number for instance in range(2_000) for number in made(instance, 1, entries).chosen)
    heavy = sum(counts[number] for number in range(1, 11))
    assert abs(heavy / 2_000 - 1_000 / 1_100) < 0.025


def test_a_server_that_goes_moves_only_those_who_had_it_and_one_that_comes_only_its_own() -> None:
    entries = servers(40)
    before = {instance: made(instance, 4, entries) for instance in range(400)}
    had = {instance: set(subset.chosen) for instance, subset in before.items()}
    for instance, subset in before.items():
        told = subset.listed([Endpoint(9, GONE)], {})
        assert bool(told) == (9 in had[instance])
        assert len(subset.chosen) == 4 and len(set(subset.chosen) - had[instance]) == (9 in had[instance])
    for instance, subset in before.items():
        subset.listed([entries[8]], addresses(entries))
        subset.narrow(0, set())
        assert set(subset.chosen) == had[instance]


def test_a_drain_is_told_at_once_and_replaced() -> None:
    entries = servers(10)
    subset = made(1, 3, entries)
    drained = min(subset.chosen)
    told = subset.listed([Endpoint(drained, DRAINING, drained % 3)], addresses(entries))
    assert told[0].id == drained and told[0].state is DRAINING
    assert len(subset.chosen) == 3 and drained not in subset.chosen and told[1].state is READY


def test_when_a_whole_subset_is_down_the_next_ones_take_its_place() -> None:
    entries = servers(10)
    subset = made(1, 3, entries)
    had = set(subset.chosen)
    subset.listed([Endpoint(number, DRAINING) for number in had], addresses(entries))
    assert len(subset.chosen) == 3 and had.isdisjoint(subset.chosen)
    subset.listed([Endpoint(entry.id, GONE) for entry in entries], {})
    assert not subset.chosen and not subset.ranked and not subset.units


def test_a_keyed_group_is_chosen_whole_even_where_it_is_larger_than_the_subset() -> None:
    entries = servers(40)
    for instance in range(50):
        for kind in ("cell", "zone"):
            subset = made(instance, 3, entries, kind)
            for number in subset.chosen:
                mine = getattr(subset.entries[number], kind)
                whole = {entry.id for entry in entries if getattr(entry, kind) == mine}
                assert whole <= subset.chosen.keys()
    assert share.group_of([RequestClass("a", 1, 1)]) == ""
    keyed = RequestClass("k", 1, 1, effect="deduplicated", dedup_scope="cell")
    assert share.group_of([keyed]) == "cell"
    assert (
        share.group_of([keyed, RequestClass("z", 1, 1, effect="deduplicated", dedup_scope="zone")]) == "zone"
    )


def test_the_home_zone_comes_first_and_others_when_it_has_too_few() -> None:
    entries = servers(30)
    subset = made(3, 4, entries, home=1)
    assert {entry.zone for entry in subset.chosen.values()} == {1}
    home = [Endpoint(e.id, DRAINING, 1, 0, e.cell) for e in entries if e.zone == 1]
    subset.listed(home, addresses(entries))
    assert len(subset.chosen) == 4 and 1 not in {entry.zone for entry in subset.chosen.values()}


def test_a_subset_widens_while_it_is_short_and_narrows_after_a_calm() -> None:
    entries = servers(20)
    subset = made(1, 3, entries)
    base = set(subset.chosen)
    assert len(subset.short(1_000_000)) == 3 and base < subset.chosen.keys()
    assert subset.short(1_000_001) == [], "not twice at once"
    subset.short(2_000_000)
    subset.short(3_000_000)
    assert len(subset.chosen) == 20 and subset.short(4_000_000) == []
    assert subset.narrow(4_000_000 + share.CALM_US - 1, set()) == []
    now_us = 4_000_000
    for left in (12, 6, 3, 3):
        now_us += share.CALM_US
        subset.narrow(now_us, set())
        assert len(subset.chosen) == left
    assert set(subset.chosen) == base


def test_a_group_with_open_requests_is_not_narrowed_away() -> None:
    entries = servers(20)
    subset = made(1, 2, entries, "cell")
    subset.short(1_000_000)
    assert len(subset.chosen) == 4
    added = [number for number, name in subset.names.items() if number in subset.chosen]
    wanted = Subset(1, 2, "cell")
    wanted.listed(entries, addresses(entries))
    extra = [number for number in added if number not in wanted.chosen]
    now_us = 1_000_000 + share.CALM_US
    assert subset.narrow(now_us, {extra[0]}) == [] and len(subset.chosen) == 4
    assert {entry.id for entry in subset.narrow(now_us, set())} == set(extra)


STEP = st.tuples(st.sampled_from(["ready", "drain", "gone", "short", "narrow", "whole"]), st.integers(0, 11))


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=40), st.sampled_from(["", "cell", "zone"]), st.integers(0, 100))
def test_whatever_happens_the_own_list_is_what_was_told_and_never_empty_without_need(
    steps: list[tuple[str, int]], group: str, instance: int
) -> None:
    subset = Subset(instance, 3, group)
    told: dict[int, Endpoint] = {}
    listed: dict[int, Endpoint] = {}
    where = {number: ("127.0.0.1", 1000 + number) for number in range(12)}
    now_us = 0
    for what, number in steps:
        now_us += 3_000_000
        entry = Endpoint(number, READY, zone=number % 3, cell=number // 2)
        changes: list[Endpoint] = []
        if what in ("ready", "drain", "gone"):
            entry.state = {"ready": READY, "drain": DRAINING, "gone": GONE}[what]
            listed[number] = entry
            changes = subset.listed([entry], where)
        elif what == "whole":
            entries = [Endpoint(n, READY, zone=n % 3, cell=n // 2) for n in range(number)]
            listed = {e.id: e for e in entries}
            changes = subset.only(listed.keys(), entries, where)
        elif what == "short":
            changes = subset.short(now_us)
        else:
            changes = subset.narrow(now_us, {number})
        for change in changes:
            if change.state is READY:
                told[change.id] = change
            else:
                assert told.pop(change.id).id == change.id, "told to go, and was never there"
        ready = {n for n, e in listed.items() if e.state is READY}
        assert told.keys() == subset.chosen.keys() and told.keys() <= ready
        assert len(told) >= min(3, len(ready))
        if group:  # a group with one of its servers chosen is chosen whole
            for n in told:
                mates = {m for m in ready if getattr(listed[m], group) == getattr(listed[n], group)}
                wanted = subset.names[n] in subset._wanted()
                assert not wanted or mates <= told.keys()
        assert sorted(subset.ranked) == subset.ranked and len(subset.ranked) == len(subset.units)


def test_each_that_is_refused_is_told_a_turn_of_its_own_and_none_is_kept_away_while_turns_lapse() -> None:
    dials = share.Dials(gap_us=100_000, now_us=0, part=0.0)
    now_us = dials.next_us - 50_000
    told = [dials.promise_us(now_us, 1_000_000) for _ in range(1_000)]
    assert all(now_us < at_us <= now_us + 1_000_000 for at_us in told)
    counts = Counter(told)
    assert len(counts) == 10 and max(counts.values()) - min(counts.values()) <= 1
    assert dials.promise_us(now_us + 60_000_000, 1_000_000) <= now_us + 61_000_000
    far = share.Dials(gap_us=3_600_000_000, now_us=0, part=0.5)
    assert far.promise_us(0, 1_000_000) == far.next_us, "there is none so soon"
