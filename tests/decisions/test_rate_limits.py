"""Rate and concurrency limits on a virtual clock: admission, Retry-After and bounded memory."""

from __future__ import annotations

import random
from collections import defaultdict

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow
from plovertrail.decisions.rate_limits import (
    SHARED_KEYS,
    Allowance,
    KeyedBy,
    LimitExceeded,
    Permit,
    RateLimiter,
    RateLimiterSettings,
    RateLimiterState,
    admit,
    limit_header,
    policy_header,
)
from plovertrail.decisions.shared_counters import SharedCounters

SECOND = 1_000_000


def make_limiter(
    rate: float = 0.0, burst: int = 1, concurrent: int = 0, by: KeyedBy = KeyedBy.CLIENT, **more: object
) -> RateLimiter:
    limiter = RateLimiterSettings("it", by, Allowance(rate, burst, concurrent), **more)  # type: ignore[arg-type]
    return RateLimiter(limiter, random.Random(1).random)


def send(limiter: RateLimiter, now_us: int, client: str = "c", tenant: str = "") -> Permit | LimitExceeded:
    result = admit([limiter], tenant, client, now_us)
    return result if isinstance(result, LimitExceeded) else result[0]


def admits(limiter: RateLimiter, now_us: int, client: str = "c", tenant: str = "") -> bool:
    """Send a request that ends at once; return whether it was admitted."""
    result = send(limiter, now_us, client, tenant)
    if isinstance(result, Permit):
        limiter.ended(result, now_us)
    return isinstance(result, Permit)


def test_a_burst_is_admitted_and_then_the_rate() -> None:
    limiter = make_limiter(rate=10.0, burst=5)
    assert [admits(limiter, 0) for _ in range(6)] == [True] * 5 + [False]
    result = [admits(limiter, now) for now in range(1, 2 * SECOND, 10_000)]
    assert sum(result) == 19  # one every 100 ms; the twentieth would be due at 2 s
    assert admits(limiter, 10 * SECOND)
    assert sum(admits(limiter, 10 * SECOND) for _ in range(9)) == 4


def test_a_client_within_the_rate_is_never_rejected() -> None:
    limiter = make_limiter(rate=3.0)
    assert all(admits(limiter, number * 333_334) for number in range(1000))


def test_concurrent_requests_are_counted_until_they_end() -> None:
    limiter = make_limiter(concurrent=2)
    first, second = send(limiter, 0), send(limiter, 0)
    assert isinstance(first, Permit)
    assert isinstance(second, Permit)
    exceeded = send(limiter, 0)
    assert isinstance(exceeded, LimitExceeded)
    assert not exceeded.by_rate
    assert exceeded.retry_after_us >= 25_000
    assert admits(limiter, 0, client="another")
    limiter.ended(first, 9)
    assert admits(limiter, 9)
    assert admits(limiter, 9)
    assert limiter.rejected_by_concurrency == 1
    assert limiter.admitted == 5


def test_rejected_clients_that_honour_retry_after_are_admitted() -> None:
    """Twenty clients of one tenant each get a different retry time."""
    limiter = make_limiter(rate=10.0, by=KeyedBy.TENANT)
    assert admits(limiter, 0)
    retry_after = []
    for number in range(20):
        exceeded = send(limiter, 0, client=f"c{number}")
        assert isinstance(exceeded, LimitExceeded)
        assert exceeded.by_rate
        retry_after.append(exceeded.retry_after_us)
    assert retry_after == sorted(retry_after)
    assert len(set(retry_after)) == 20
    assert retry_after[-1] <= 2 * SECOND
    assert all(admits(limiter, when) for when in retry_after)


def test_retry_after_stays_within_its_maximum() -> None:
    limiter = make_limiter(rate=1.0, max_retry_after_us=3 * SECOND)
    assert admits(limiter, 0)
    retry_after = [
        exceeded.retry_after_us for _ in range(50) if isinstance(exceeded := send(limiter, 0), LimitExceeded)
    ]
    assert len(retry_after) == 50
    assert max(retry_after) <= 3 * SECOND
    assert len(set(retry_after[5:])) > 30
    assert min(retry_after[5:]) >= 2 * SECOND


def test_a_request_is_counted_only_if_all_limits_admit_it() -> None:
    tight, wide = make_limiter(rate=1.0), make_limiter(rate=100.0, burst=100, concurrent=50)
    assert not isinstance(admit([wide, tight], "", "c", 0), LimitExceeded)
    for _ in range(200):
        exceeded = admit([wide, tight], "", "c", 0)
        assert isinstance(exceeded, LimitExceeded)
        assert exceeded.limiter is tight.settings
    assert wide.admitted == 1
    assert next(iter(wide.keys.values())).concurrent == 1
    assert wide.rejected_by_rate == 0
    assert tight.rejected_by_rate == 200


def test_of_two_rejections_the_longer_wait_is_returned() -> None:
    short, long = make_limiter(rate=10.0), make_limiter(rate=1.0)
    assert not isinstance(admit([short, long], "", "c", 0), LimitExceeded)
    exceeded = admit([short, long], "", "c", 0)
    assert isinstance(exceeded, LimitExceeded)
    assert exceeded.retry_after_us == pytest.approx(SECOND, rel=0.01)


@pytest.mark.parametrize(
    ("by", "key_numbers"),
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
def test_requests_are_keyed_as_configured(by: KeyedBy, key_numbers: dict[tuple[str, str], int]) -> None:
    limiter = make_limiter(rate=1.0, by=by, listed=frozenset("ab"))
    states = {pair: id(limiter.key_state(*pair)) for pair in key_numbers}
    for one, state in states.items():
        for other, other_state in states.items():
            assert (state == other_state) == (key_numbers[one] == key_numbers[other]), (one, other)


def test_unlisted_tenants_may_have_separate_keys() -> None:
    limiter = make_limiter(rate=1.0, by=KeyedBy.TENANT, unlisted_have_keys=True)
    assert admits(limiter, 0, tenant="x")
    assert admits(limiter, 0, tenant="y")
    assert not admits(limiter, 0, tenant="x")


def test_a_tenant_may_have_its_own_allowance() -> None:
    limiter = make_limiter(
        rate=1.0, by=KeyedBy.TENANT, listed=frozenset("ab"), tenants=(("a", Allowance(50.0, 30)),)
    )
    assert sum(admits(limiter, 0, tenant="a") for _ in range(99)) == 30
    assert sum(admits(limiter, 0, tenant="b") for _ in range(99)) == 1


def test_random_client_names_neither_grow_the_table_nor_loosen_limits() -> None:
    """A thousand new clients per second, and one client that always exceeds its limit."""
    limiter = make_limiter(rate=1.0, burst=2, max_keys=100)
    busy_admitted = 0
    for number in range(20_000):
        now_us = number * 1000
        admits(limiter, now_us, f"random {number}")
        busy_admitted += admits(limiter, now_us, "busy")
        assert len(limiter.keys) <= 100
    assert busy_admitted <= 2 + 20
    assert limiter.counted_as_shared > 10_000
    assert len(limiter.shared_keys) == SHARED_KEYS


def test_idle_keys_are_evicted() -> None:
    limiter = make_limiter(rate=10.0, max_keys=3)
    for number in range(100):
        assert admits(limiter, number * SECOND, f"c{number}")
    assert len(limiter.keys) <= 3
    assert limiter.counted_as_shared == 0


def test_a_key_with_a_request_in_flight_is_not_evicted() -> None:
    limiter = make_limiter(concurrent=1, max_keys=2)
    in_flight = send(limiter, 0, "held")
    assert isinstance(in_flight, Permit)
    for number in range(50):
        admits(limiter, number, f"c{number}")
    assert not admits(limiter, 99, "held")
    limiter.ended(in_flight, 100)
    assert admits(limiter, 100, "held")


def test_a_key_that_leaves_a_shared_entry_gets_no_second_burst() -> None:
    limiter = make_limiter(rate=1.0, burst=5, concurrent=9, max_keys=1)
    blocker = send(limiter, 0, "blocker")
    assert isinstance(blocker, Permit)
    in_flight = [send(limiter, 0, "late") for _ in range(6)]  # counted under a shared entry
    assert [type(each) for each in in_flight] == [Permit] * 5 + [LimitExceeded]
    assert limiter.counted_as_shared == 6
    limiter.ended(blocker, 0)
    assert not admits(limiter, SECOND - 1000, "late")  # the blocker's rate still counts
    assert limiter.counted_as_shared == 7
    assert admits(limiter, SECOND, "late")
    assert limiter.counted_as_shared == 7
    assert not admits(limiter, SECOND, "late")
    assert limiter.key_state("", "late").total_concurrent == 5  # requests in flight still count
    for each in in_flight[:5]:
        assert isinstance(each, Permit)
        limiter.ended(each, 2 * SECOND)
    assert limiter.key_state("", "late").total_concurrent == 0


def test_a_reload_with_a_smaller_table_shrinks_it_as_keys_become_idle() -> None:
    limiter = make_limiter(rate=1.0, max_keys=50)
    for number in range(50):
        admits(limiter, 0, f"c{number}")
    limiter.configure(RateLimiterSettings("it", KeyedBy.CLIENT, Allowance(2.0, 1), max_keys=5))
    assert not admits(limiter, 0, "c3")  # past usage still counts
    for number in range(50):
        admits(limiter, 9 * SECOND + number, f"new{number}")
    assert len(limiter.keys) <= 5


def test_a_clock_that_steps_back_changes_nothing() -> None:
    limiter = make_limiter(rate=1.0)
    permit = send(limiter, 100 * SECOND)
    assert isinstance(permit, Permit)
    limiter.ended(permit, 0)
    assert limiter.mean_duration_us >= 0
    assert not admits(limiter, 0)
    assert not admits(limiter, 100 * SECOND + 1)
    assert admits(limiter, 101 * SECOND)


def test_rejection_headers_follow_the_draft() -> None:
    limiter = make_limiter(rate=2.0, burst=10, concurrent=4)
    for _ in range(4):
        send(limiter, 0)
    exceeded = send(limiter, 0)
    assert isinstance(exceeded, LimitExceeded)
    assert policy_header(exceeded) == '"it";q=4;qu="concurrent-requests"'
    assert limit_header(exceeded) == '"it";r=0;t=1'
    rate = make_limiter(rate=2.0, burst=10)
    for _ in range(10):
        admits(rate, 0)
    exceeded = send(rate, 0)
    assert isinstance(exceeded, LimitExceeded)
    assert policy_header(exceeded) == '"it";q=10;w=5'
    assert limit_header(exceeded) == '"it";r=0;t=1'


EVENTS = st.lists(st.tuples(st.integers(0, 400_000), st.integers(0, 8), st.booleans()), max_size=150)


@settings(max_examples=80, deadline=None)
@given(EVENTS, st.floats(0.5, 20.0), st.integers(1, 6), st.integers(1, 4), st.integers(1, 12))
def test_no_key_exceeds_its_limit(
    events: list[tuple[int, int, bool]], rate: float, burst: int, concurrent: int, max_keys: int
) -> None:
    """Rate, burst and concurrency hold in every interval, for any size of the table.

    If the table has room for all keys, no key is rejected because of the others.
    """
    limiter = make_limiter(rate, burst, concurrent, max_keys=max_keys)
    alone = {key: make_limiter(rate, burst, concurrent) for key in range(9)}
    admitted_us: dict[int, list[int]] = defaultdict(list)
    in_flight_pairs: dict[int, list[tuple[Permit, Permit | LimitExceeded]]] = defaultdict(list)
    now_us = 0
    for step_us, key, ends in events:
        now_us += step_us
        if ends and in_flight_pairs[key]:
            permit, other = in_flight_pairs[key].pop(0)
            limiter.ended(permit, now_us)
            if isinstance(other, Permit):
                alone[key].ended(other, now_us)
            continue
        result, other = send(limiter, now_us, str(key)), send(alone[key], now_us, str(key))
        if max_keys >= 9:
            assert type(result) is type(other)
        if isinstance(result, Permit):
            in_flight_pairs[key].append((result, other))
            admitted_us[key].append(now_us)
            assert len(in_flight_pairs[key]) <= concurrent
            for number, since_us in enumerate(admitted_us[key]):
                allowed = burst + rate * (now_us - since_us) / SECOND
                assert len(admitted_us[key]) - number <= allowed + 1e-3
    assert len(limiter.keys) <= max_keys


def limiters_of_a_fleet(size: int, rate: float, burst: int) -> list[tuple[RateLimiter, SharedCounters]]:
    """Return the limiters of a fleet with a fleet-wide limit, each with its counts."""
    result = []
    for number in range(size):
        limiter = make_limiter(rate=rate, burst=burst, by=KeyedBy.ALL, fleet_wide=True)
        limiter.counts = SharedCounters(f"i{number}", 1, CountingWindow(10 * SECOND, 20), 0)
        limiter.counts.cluster_size = size
        result.append((limiter, limiter.counts))
    return result


def exchange(fleet: list[tuple[RateLimiter, SharedCounters]], sequence: int, now_us: int) -> None:
    key = fleet[0][0].fleet_key("", "c")
    for _, counts in fleet:
        row = counts.encoded_row(key, now_us)
        message = CounterMessage(counts.name, 1, sequence, now_us, (row,) if row is not None else ())
        for _, other in fleet:
            if other is not counts:
                other.merge(message, now_us)


def test_a_shrinking_instance_share_restores_no_burst() -> None:
    fleet = limiters_of_a_fleet(3, rate=0.01, burst=6)
    admitted = [sum(admits(limiter, number * 1_000) for limiter, _ in fleet) for number in range(4)]
    exchange(fleet, 1, 5_000)
    assert sum(admitted) == 6  # two per instance
    for number in range(10, 400):  # the peers' counts are known now, and each share falls to a third
        assert not any(admits(limiter, number * 1_000) for limiter, _ in fleet)


@pytest.mark.parametrize("loads", [(1, 1, 1, 1), (13, 3, 2, 2), (20, 0, 0, 0)])
def test_a_fleet_wide_rate_holds_for_any_distribution_of_load(loads: tuple[int, ...]) -> None:
    """Four instances get 400 requests/s where 100 are allowed, and exchange counts ten times a second."""
    fleet, rng, admitted = limiters_of_a_fleet(4, rate=100.0, burst=8), random.Random(5), [0, 0, 0, 0]
    for tick in range(12_000):  # 30 s
        now_us = tick * 2_500
        (number,) = rng.choices(range(4), loads)
        if admits(fleet[number][0], now_us) and now_us >= 5 * SECOND:
            admitted[number] += 1
        if tick % 40 == 0:
            exchange(fleet, tick + 1, now_us)
    assert 0.93 < sum(admitted) / 2_500 < 1.07
    for number, load in enumerate(loads):  # the share of each instance follows its load
        assert abs(admitted[number] / sum(admitted) - load / sum(loads)) < 0.06


def test_instances_that_start_together_stay_within_the_limit_without_counts() -> None:
    fleet = limiters_of_a_fleet(20, rate=100.0, burst=100)
    admitted = 0
    for tick in range(2_000):  # 2 s at one request per millisecond
        admitted += admits(fleet[tick % 20][0], tick * 1_000)
    assert 150 < admitted <= 2 * 100 + 100  # the rate and one burst for all instances


def test_restored_usage_is_at_most_one_burst() -> None:
    before = make_limiter(rate=1.0, burst=4)
    assert [admits(before, 10 * SECOND, client) for client in ("a", "a", "a", "b")] == [True] * 4
    state = RateLimiterState(before.salt, before.pending_arrivals(list(before.keys), 10 * SECOND))
    after = make_limiter(rate=1.0, burst=4)
    after.restore(state, 11 * SECOND)  # after one second, one request is available again
    assert [admits(after, 11 * SECOND, "a") for _ in range(3)] == [True, True, False]
    assert [admits(after, 11 * SECOND, "b") for _ in range(5)] == [True] * 4 + [False]
    # a clock set back by a day would otherwise block the key for a day
    late = make_limiter(rate=1.0, burst=4)
    late.restore(
        RateLimiterState(
            state.salt, {key: at + 86_400 * SECOND for key, at in state.theoretical_arrivals_us.items()}
        ),
        0,
    )
    assert not admits(late, 0, "a")
    assert admits(late, 4 * SECOND, "a")
    assert before.pending_arrivals(list(before.keys), 20 * SECOND) == {}
    full = make_limiter(rate=1.0, burst=4, max_keys=1)
    full.restore(state, 11 * SECOND)
    assert len(full.keys) == 1
