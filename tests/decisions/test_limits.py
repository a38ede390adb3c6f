"""Limits by key on a virtual clock: what gets in, what is told, and that memory stays bounded."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.counts import Counts, Message, Window
from plovertrail.decisions.limits import (
    SHARED_ENTRIES,
    Allowance,
    KeyedBy,
    Limiter,
    LimiterSettings,
    OverLimit,
    Permit,
    Remembered,
    admit,
    limit_header,
    policy_header,
)

SECOND = 1_000_000


def limiter(
    rate: float = 0.0, burst: int = 1, at_once: int = 0, by: KeyedBy = KeyedBy.CLIENT, **more: object
) -> Limiter:
    made = LimiterSettings("it", by, Allowance(rate, burst, at_once), **more)  # type: ignore[arg-type]
    return Limiter(made, random.Random(1).random)


def ask(limit: Limiter, now_us: int, client: str = "c", tenant: str = "") -> Permit | OverLimit:
    found = admit([limit], tenant, client, now_us)
    return found if isinstance(found, OverLimit) else found[0]


def let_in(limit: Limiter, now_us: int, client: str = "c", tenant: str = "") -> bool:
    """Whether a request gets in; it is over at once."""
    found = ask(limit, now_us, client, tenant)
    if isinstance(found, Permit):
        limit.ended(found, now_us)
    return isinstance(found, Permit)


def test_a_burst_gets_in_and_then_the_rate() -> None:
    limit = limiter(rate=10.0, burst=5)
    assert [let_in(limit, 0) for _ in range(6)] == [True] * 5 + [False]
    found = [let_in(limit, now) for now in range(1, 2 * SECOND, 10_000)]
    assert sum(found) == 19  # one each tenth of a second; the last one's comes at 2 s
    assert let_in(limit, 10 * SECOND) and sum(let_in(limit, 10 * SECOND) for _ in range(9)) == 4


def test_one_who_keeps_to_the_rate_is_never_refused() -> None:
    limit = limiter(rate=3.0)
    assert all(let_in(limit, number * 333_334) for number in range(1000))


def test_requests_at_once_are_counted_till_they_are_over() -> None:
    limit = limiter(at_once=2)
    first, second = ask(limit, 0), ask(limit, 0)
    assert isinstance(first, Permit) and isinstance(second, Permit)
    over = ask(limit, 0)
    assert isinstance(over, OverLimit) and not over.by_rate and over.retry_after_us >= 25_000
    assert let_in(limit, 0, client="another")
    limit.ended(first, 9)
    assert let_in(limit, 9) and let_in(limit, 9)
    assert limit.over_at_once == 1 and limit.let_in == 5


def test_the_refused_are_told_different_times_that_prove_true() -> None:
    """Twenty clients of one tenant; each that comes when told gets in."""
    limit = limiter(rate=10.0, by=KeyedBy.TENANT)
    assert let_in(limit, 0)
    told = []
    for number in range(20):
        over = ask(limit, 0, client=f"c{number}")
        assert isinstance(over, OverLimit) and over.by_rate
        told.append(over.retry_after_us)
    assert told == sorted(told) and len(set(told)) == 20 and told[-1] <= 2 * SECOND
    assert all(let_in(limit, when) for when in told)


def test_no_time_is_told_beyond_the_longest() -> None:
    limit = limiter(rate=1.0, max_retry_after_us=3 * SECOND)
    assert let_in(limit, 0)
    told = [over.retry_after_us for _ in range(50) if isinstance(over := ask(limit, 0), OverLimit)]
    assert len(told) == 50 and max(told) <= 3 * SECOND
    assert len(set(told[5:])) > 30 and min(told[5:]) >= 2 * SECOND  # spread over its end


def test_all_limits_let_a_request_in_or_none_counts_it() -> None:
    tight, wide = limiter(rate=1.0), limiter(rate=100.0, burst=100, at_once=50)
    assert not isinstance(admit([wide, tight], "", "c", 0), OverLimit)
    for _ in range(200):
        over = admit([wide, tight], "", "c", 0)
        assert isinstance(over, OverLimit) and over.limiter is tight.settings
    assert wide.let_in == 1 and next(iter(wide.entries.values())).at_once == 1
    assert wide.over_rate == 0 and tight.over_rate == 200


def test_of_two_that_refuse_the_longer_wait_is_told() -> None:
    short, long = limiter(rate=10.0), limiter(rate=1.0)
    assert not isinstance(admit([short, long], "", "c", 0), OverLimit)
    over = admit([short, long], "", "c", 0)
    assert isinstance(over, OverLimit) and over.retry_after_us == pytest.approx(SECOND, rel=0.01)


@pytest.mark.parametrize(
    ("by", "apart"),
    [
        (KeyedBy.CLIENT, {("a", "1"): 0, ("b", "1"): 0, ("a", "2"): 1, ("x", "2"): 1}),
        (KeyedBy.TENANT, {("a", "1"): 0, ("a", "2"): 0, ("b", "1"): 1, ("x", "1"): 2, ("y", "2"): 2}),
        (
            KeyedBy.TENANT_AND_CLIENT,
            {("a", "1"): 0, ("a", "2"): 1, ("b", "1"): 2, ("x", "1"): 3, ("y", "1"): 3},
        ),
        (KeyedBy.ALL, {("a", "1"): 0, ("b", "2"): 0, ("x", ""): 0}),
    ],
)
def test_whose_requests_count_together(by: KeyedBy, apart: dict[tuple[str, str], int]) -> None:
    limit = limiter(rate=1.0, by=by, listed=frozenset("ab"))
    entries = {pair: id(limit.entry_of(*pair)) for pair in apart}
    for one, its in entries.items():
        for other, others in entries.items():
            assert (its == others) == (apart[one] == apart[other]), (one, other)


def test_tenants_that_are_not_listed_may_have_a_key_each() -> None:
    limit = limiter(rate=1.0, by=KeyedBy.TENANT, unlisted_each=True)
    assert let_in(limit, 0, tenant="x") and let_in(limit, 0, tenant="y") and not let_in(limit, 0, tenant="x")


def test_a_tenant_may_have_an_allowance_of_its_own() -> None:
    limit = limiter(
        rate=1.0, by=KeyedBy.TENANT, listed=frozenset("ab"), tenants=(("a", Allowance(50.0, 30)),)
    )
    assert sum(let_in(limit, 0, tenant="a") for _ in range(99)) == 30
    assert sum(let_in(limit, 0, tenant="b") for _ in range(99)) == 1


def test_made_up_names_neither_grow_the_table_nor_loosen_a_limit() -> None:
    """A thousand new clients a second, and one that is over its limit all the time."""
    limit = limiter(rate=1.0, burst=2, most_keys=100)
    mine = 0
    for number in range(20_000):
        now_us = number * 1000
        let_in(limit, now_us, f"made up {number}")
        mine += let_in(limit, now_us, "hammer")
        assert len(limit.entries) <= 100
    assert mine <= 2 + 20
    assert limit.without_place > 10_000 and len(limit.shared) == SHARED_ENTRIES


def test_keys_that_are_idle_make_room() -> None:
    limit = limiter(rate=10.0, most_keys=3)
    for number in range(100):
        assert let_in(limit, number * SECOND, f"c{number}")
    assert len(limit.entries) <= 3 and limit.without_place == 0


def test_a_key_with_a_request_out_is_not_forgotten() -> None:
    limit = limiter(at_once=1, most_keys=2)
    held = ask(limit, 0, "held")
    assert isinstance(held, Permit)
    for number in range(50):
        let_in(limit, number, f"c{number}")
    assert not let_in(limit, 99, "held")
    limit.ended(held, 100)
    assert let_in(limit, 100, "held")


def test_a_key_that_leaves_a_shared_entry_gets_no_second_burst() -> None:
    limit = limiter(rate=1.0, burst=5, at_once=9, most_keys=1)
    blocker = ask(limit, 0, "blocker")
    assert isinstance(blocker, Permit)
    held = [ask(limit, 0, "late") for _ in range(6)]  # shared
    assert [type(each) for each in held] == [Permit] * 5 + [OverLimit] and limit.without_place == 6
    limit.ended(blocker, 0)
    assert not let_in(limit, SECOND - 1000, "late") and limit.without_place == 7  # the blocker's rate runs on
    assert let_in(limit, SECOND, "late") and limit.without_place == 7  # an entry of its own, with one due
    assert not let_in(limit, SECOND, "late")
    assert limit.entry_of("", "late").counted == 5  # those out count on
    for each in held[:5]:
        assert isinstance(each, Permit)
        limit.ended(each, 2 * SECOND)
    assert limit.entry_of("", "late").counted == 0


def test_a_reload_with_a_smaller_table_shrinks_it_as_keys_rest() -> None:
    limit = limiter(rate=1.0, most_keys=50)
    for number in range(50):
        let_in(limit, 0, f"c{number}")
    limit.configure(LimiterSettings("it", KeyedBy.CLIENT, Allowance(2.0, 1), most_keys=5))
    assert not let_in(limit, 0, "c3")  # what it has had still counts
    for number in range(50):
        let_in(limit, 9 * SECOND + number, f"new{number}")
    assert len(limit.entries) <= 5


def test_a_clock_that_steps_back_frees_nobody_and_holds_nobody() -> None:
    limit = limiter(rate=1.0)
    permit = ask(limit, 100 * SECOND)
    assert isinstance(permit, Permit)
    limit.ended(permit, 0)
    assert limit.hold_us >= 0
    assert not let_in(limit, 0) and not let_in(limit, 100 * SECOND + 1)
    assert let_in(limit, 101 * SECOND)


def test_what_a_refusal_tells_is_as_the_draft_has_it() -> None:
    limit = limiter(rate=2.0, burst=10, at_once=4)
    for _ in range(4):
        ask(limit, 0)
    over = ask(limit, 0)
    assert isinstance(over, OverLimit)
    assert policy_header(over) == '"it";q=4;qu="concurrent-requests"' and limit_header(over) == '"it";r=0;t=1'
    rate = limiter(rate=2.0, burst=10)
    for _ in range(10):
        let_in(rate, 0)
    over = ask(rate, 0)
    assert isinstance(over, OverLimit)
    assert policy_header(over) == '"it";q=10;w=5' and limit_header(over) == '"it";r=0;t=1'


EVENTS = st.lists(st.tuples(st.integers(0, 400_000), st.integers(0, 8), st.booleans()), max_size=150)


@settings(max_examples=80, deadline=None)
@given(EVENTS, st.floats(0.5, 20.0), st.integers(1, 6), st.integers(1, 4), st.integers(1, 12))
def test_no_key_ever_has_more_than_its_limit(
    events: list[tuple[int, int, bool]], rate: float, burst: int, at_once: int, most_keys: int
) -> None:
    """Whatever the size of the table: in no interval more than the burst and the rate's part, never more at
    once; and where there is room for all keys, none is refused by others' requests."""
    limit = limiter(rate, burst, at_once, most_keys=most_keys)
    alone = {key: limiter(rate, burst, at_once) for key in range(9)}
    ins: dict[int, list[int]] = defaultdict(list)
    out: dict[int, list[tuple[Permit, Permit | OverLimit]]] = defaultdict(list)
    now_us = 0
    for step_us, key, ends in events:
        now_us += step_us
        if ends and out[key]:
            permit, other = out[key].pop(0)
            limit.ended(permit, now_us)
            if isinstance(other, Permit):
                alone[key].ended(other, now_us)
            continue
        found, other = ask(limit, now_us, str(key)), ask(alone[key], now_us, str(key))
        if most_keys >= 9:
            assert type(found) is type(other)
        if isinstance(found, Permit):
            out[key].append((found, other))
            ins[key].append(now_us)
            assert len(out[key]) <= at_once
            for number, since_us in enumerate(ins[key]):
                most = burst + rate * (now_us - since_us) / SECOND
                assert len(ins[key]) - number <= most + 1e-3
    assert len(limit.entries) <= most_keys


def shared(size: int, rate: float, burst: int) -> list[tuple[Limiter, Counts]]:
    """The limits of so many instances that count together, and their counts."""
    found = []
    for number in range(size):
        made = limiter(rate=rate, burst=burst, by=KeyedBy.ALL, fleet_wide=True)
        made.counts = Counts(f"i{number}", 1, Window(10 * SECOND, 20), 0)
        made.counts.size = size
        found.append((made, made.counts))
    return found


def exchange(fleet: list[tuple[Limiter, Counts]], sequence: int, now_us: int) -> None:
    key = fleet[0][0].shared_key("", "c")
    for _, counts in fleet:
        row = counts.row_out(key, now_us)
        message = Message(counts.name, 1, sequence, now_us, (row,) if row is not None else ())
        for _, other in fleet:
            if other is not counts:
                other.take(message, now_us)


def test_a_part_that_shrinks_brings_no_burst_back() -> None:
    fleet = shared(3, rate=0.01, burst=6)
    got = [sum(let_in(limit, number * 1_000) for limit, _ in fleet) for number in range(4)]
    exchange(fleet, 1, 5_000)
    assert sum(got) == 6  # two each
    for number in range(10, 400):  # the others are known now, and the part of each falls to a third
        assert not any(let_in(limit, number * 1_000) for limit, _ in fleet)


@pytest.mark.parametrize("loads", [(1, 1, 1, 1), (13, 3, 2, 2), (20, 0, 0, 0)])
def test_a_rate_for_the_fleet_holds_in_all_however_the_load_is_spread(loads: tuple[int, ...]) -> None:
    """Four are asked for 400 a second where 100 are allowed; each hears of the others ten times a second."""
    fleet, rng, let = shared(4, rate=100.0, burst=8), random.Random(5), [0, 0, 0, 0]
    for tick in range(12_000):  # 30 s
        now_us = tick * 2_500
        (number,) = rng.choices(range(4), loads)
        if let_in(fleet[number][0], now_us) and now_us >= 5 * SECOND:
            let[number] += 1
        if tick % 40 == 0:
            exchange(fleet, tick + 1, now_us)
    assert 0.93 < sum(let) / 2_500 < 1.07
    for number, load in enumerate(loads):  # each its part by what it is asked for
        assert abs(let[number] / sum(let) - load / sum(loads)) < 0.06


def test_all_that_start_at_once_stay_within_the_limit_before_any_has_heard_of_another() -> None:
    fleet = shared(20, rate=100.0, burst=100)
    let = 0
    for tick in range(2_000):  # 2 s, a request a millisecond
        let += let_in(fleet[tick % 20][0], tick * 1_000)
    assert 150 < let <= 2 * 100 + 100  # the rate, and one burst for all


def test_a_limit_begins_with_what_its_keys_had_and_owes_no_more_than_a_burst() -> None:
    before = limiter(rate=1.0, burst=4)
    assert [let_in(before, 10 * SECOND, client) for client in ("a", "a", "a", "b")] == [True] * 4
    kept = Remembered(before.salt, before.owing(list(before.entries), 10 * SECOND))
    after = limiter(rate=1.0, burst=4)
    after.recall(kept, 11 * SECOND)  # a second has paid for one
    assert [let_in(after, 11 * SECOND, "a") for _ in range(3)] == [True, True, False]
    assert [let_in(after, 11 * SECOND, "b") for _ in range(5)] == [True] * 4 + [False]
    # by a clock that was set back by a day it would owe for a day
    late = limiter(rate=1.0, burst=4)
    late.recall(Remembered(kept.salt, {key: at + 86_400 * SECOND for key, at in kept.free_us.items()}), 0)
    assert not let_in(late, 0, "a") and let_in(late, 4 * SECOND, "a")
    assert before.owing(list(before.entries), 20 * SECOND) == {}
    full = limiter(rate=1.0, burst=4, most_keys=1)
    full.recall(kept, 11 * SECOND)
    assert len(full.entries) == 1
