"""Shared counters: the properties of merging, the window against an exact count, and the bounds."""

from __future__ import annotations

import random
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.counter_rows import (
    HISTORY_BITS,
    CounterMessage,
    CounterRow,
    CountingWindow,
    DatagramHistory,
    PreviousIncarnation,
    key_of,
)
from plovertrail.decisions.peer_counters import MAX_INCARNATIONS, MAX_REPLICAS, CounterLimits
from plovertrail.decisions.shared_counters import OVERFLOW_KEYS, SharedCounters, TenantUsage

SECOND = 1_000_000
WINDOW = CountingWindow(4 * SECOND, 8)

bucket_counts = st.dictionaries(st.integers(0, 30), st.integers(0, 1_000), max_size=12)


def row_of(counts: dict[int, int]) -> CounterRow:
    row = CounterRow(WINDOW.slots)
    for bucket, count in counts.items():
        row.raise_to(bucket, count)
    return row


def merged(*rows: CounterRow) -> CounterRow:
    made = CounterRow(WINDOW.slots)
    for row in rows:
        made.merge(row)
    return made


def content_of(row: CounterRow) -> tuple[int, list[tuple[int, int]]]:
    return row.newest, list(row.items())


@settings(max_examples=200, deadline=None, derandomize=True)
@given(bucket_counts, bucket_counts, bucket_counts)
def test_the_merge_is_commutative_associative_and_idempotent(
    one: dict[int, int], other: dict[int, int], third: dict[int, int]
) -> None:
    a, b, c = row_of(one), row_of(other), row_of(third)
    assert content_of(merged(a, b)) == content_of(merged(b, a))
    assert content_of(merged(merged(a, b), c)) == content_of(merged(a, merged(b, c)))
    assert content_of(merged(a, a)) == content_of(a) == content_of(merged(a, CounterRow(WINDOW.slots)))


@settings(max_examples=100, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.sampled_from("ab"), st.integers(1, 2), st.integers(0, 200), st.integers(1, 3)),
        min_size=1,
        max_size=30,
    ),
    st.randoms(use_true_random=False),
)
def test_the_merged_counts_do_not_depend_on_order_or_duplicates(
    requests: list[tuple[str, int, int, int]], rng: random.Random
) -> None:
    """Two instances with two incarnations each count requests, and send all counts after each of them."""
    senders = {
        (name, incarnation): SharedCounters(name, incarnation, WINDOW, 0)
        for name in "ab"
        for incarnation in (1, 2)
    }
    messages = []
    for number, (name, incarnation, tenths, key) in enumerate(
        sorted(requests, key=lambda each: each[2]), start=1
    ):
        sender, now_us = senders[name, incarnation], tenths * 100_000
        sender.add(key, now_us)
        messages.append(message_of(sender, number, now_us, 1, 2, 3))

    def known(order: list[CounterMessage]) -> dict[tuple[str, int, int], tuple[int, list[tuple[int, int]]]]:
        receiver = SharedCounters("c", 1, WINDOW, 0)
        for each in order:
            receiver.merge(each, 30 * SECOND)
        return {
            (*identity, key): content_of(row)
            for identity, replica in receiver.peers.replicas.items()
            for key, row in replica.rows.items()
        }

    shuffled = messages * 2
    rng.shuffle(shuffled)
    assert known(shuffled) == known(messages)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.integers(0, 12 * SECOND), min_size=1, max_size=60), st.integers(0, 4 * SECOND))
def test_the_error_of_a_window_is_at_most_the_bucket_that_its_start_cuts(
    times: list[int], later_us: int
) -> None:
    counts = SharedCounters("a", 1, WINDOW, 0)
    for at_us in sorted(times):
        counts.add(7, at_us)
    now_us = max(times) + later_us
    start_us = now_us - WINDOW.span_us
    true = sum(at_us > start_us for at_us in times)
    cut = start_us // WINDOW.bucket_us
    in_cut = sum(at_us // WINDOW.bucket_us == cut for at_us in times)
    assert abs(counts.estimate(7, now_us) - true) <= in_cut


def message_of(counts: SharedCounters, sequence: int, now_us: int, *keys: int) -> CounterMessage:
    rows = tuple(row for key in keys if (row := counts.encoded_row(key, now_us)) is not None)
    return CounterMessage(counts.name, counts.incarnation, sequence, now_us - counts.start_us, rows)


def new_pair() -> tuple[SharedCounters, SharedCounters]:
    return SharedCounters("a", 1, WINDOW, 5 * SECOND), SharedCounters("b", 1, WINDOW, 900 * SECOND)


def test_counts_of_peers_are_merged_across_different_clocks() -> None:
    a, b = new_pair()
    for _ in range(30):
        a.add(7, 6 * SECOND)
    assert b.merge(message_of(a, 1, 6 * SECOND, 7), 1_000 * SECOND)
    assert b.estimate(7, 1_000 * SECOND) == 30
    assert b.estimate(7, 1_003 * SECOND) == 30
    assert b.estimate(7, 1_005 * SECOND) == 0  # the counts have left the window here as well


def test_duplicates_reordering_and_late_datagrams_change_nothing() -> None:
    a, b = new_pair()
    sent = []
    for number in range(1, 21):
        a.add(7, 5 * SECOND + number * 100_000)
        sent.append(message_of(a, number, 5 * SECOND + number * 100_000, 7))
    order = sent * 3
    random.Random(5).shuffle(order)
    accepted = sum(b.merge(each, 1_000 * SECOND) for each in order)
    assert accepted == 20
    assert b.peers.duplicates == 40
    assert b.estimate(7, 1_000 * SECOND) == 20


def test_a_restarted_peer_counts_under_both_incarnations_within_the_window() -> None:
    a, b = new_pair()
    for _ in range(10):
        a.add(7, 6 * SECOND)
    old = message_of(a, 1, 6 * SECOND, 7)
    late = message_of(a, 2, 6 * SECOND, 7)
    assert b.merge(old, 1_000 * SECOND)
    restarted = SharedCounters("a", 2, WINDOW, 7 * SECOND)
    restarted.add(7, 8 * SECOND, 5)
    assert b.merge(message_of(restarted, 1, 8 * SECOND, 7), 1_001 * SECOND)
    assert b.merge(late, 1_001 * SECOND)  # sent before the restart: counts once, for the old incarnation
    assert b.estimate(7, 1_001 * SECOND) == 15
    assert not b.peers.name_conflicts
    assert not b.merge(old, 1_002 * SECOND)
    b.sweep(1_020 * SECOND)
    assert not b.peers.replicas
    assert b.peers.key_count == 0
    assert not b.merge(late, 1_020 * SECOND)  # a replayed datagram brings no counts back
    assert b.estimate(7, 1_020 * SECOND) == 0


def test_a_restart_is_no_name_conflict() -> None:
    b = SharedCounters("b", 1, WINDOW, 0)
    for incarnation, start_us in (
        (5, 0),
        (6, 3 * SECOND),
        (4, 6 * SECOND),
    ):  # incarnation 4: the wall clock was set back
        for number in range(1, 31):
            sent_us = number * 100_000
            b.merge(CounterMessage("a", incarnation, number, sent_us, ()), start_us + sent_us)
            assert not b.peers.name_conflicts


def test_two_instances_under_one_name_both_count_and_are_reported() -> None:
    one, other, third = (
        SharedCounters("a", 1, WINDOW, 0),
        SharedCounters("a", 2, WINDOW, 0),
        SharedCounters("c", 1, WINDOW, 0),
    )
    for number in range(1, 60):
        now_us = number * 100_000
        one.add(7, now_us)
        other.add(7, now_us)
        for each in (one, other):
            each.merge(message_of(other if each is one else one, number, now_us, 7), now_us)
            third.merge(message_of(each, number, now_us, 7), now_us)
    now_us = 59 * 100_000
    assert third.estimate(7, now_us) == pytest.approx(2 * one.own_count(7, now_us))
    assert one.estimate(7, now_us) == pytest.approx(third.estimate(7, now_us))
    assert set(third.peers.name_conflicts) == set(one.peers.name_conflicts) == {"a"}


def test_a_replay_of_a_forgotten_incarnation_is_rejected() -> None:
    counts = SharedCounters("b", 1, WINDOW, 0)
    for incarnation in range(100, 100 + MAX_INCARNATIONS):
        assert counts.merge(CounterMessage("a", incarnation, 1, 0, ()), 1_000)
    assert not counts.merge(CounterMessage("a", 99, 1, 0, ((7, 0, (50,)),)), 2_000)
    assert counts.peers.rejected_datagrams == 1
    assert counts.estimate(7, 2_000) == 0
    assert counts.merge(CounterMessage("a", 200, 1, 0, ()), 3_000)


def test_names_keys_and_replicas_are_bounded() -> None:
    counts = SharedCounters("me", 1, WINDOW, 0, limits=CounterLimits(max_keys=100))
    for number in range(1_000):  # invented names, new with every request
        counts.add(key_of(f"made up {number}"), 1_000)
    assert len(counts.own) <= 100 + OVERFLOW_KEYS
    assert counts.overflowed > 800
    assert sum(counts.own_count(key, 1_000) for key in counts.own) == 1_000  # no request is lost
    rows = tuple((key, 0, (1,)) for key in range(2_000))
    for number in range(12):  # peers that send too many keys
        counts.merge(CounterMessage(f"p{number}", 1, 1, 0, rows), 1_000)
    assert counts.peers.key_count <= 16 * 100 + 1
    assert counts.peers.rejected_keys > 20_000
    assert max(len(replica.rows) for replica in counts.peers.replicas.values()) <= 200
    for number in range(2 * MAX_REPLICAS):
        counts.merge(CounterMessage(f"q{number}", 1, 1, 0, ()), 1_000)
    assert len(counts.peers.replicas) <= MAX_REPLICAS
    assert len(counts.peers.histories) <= MAX_REPLICAS + 1


def test_a_bucket_in_the_future_evicts_no_valid_one() -> None:
    counts = SharedCounters("b", 1, WINDOW, 0)
    counts.merge(CounterMessage("a", 1, 1, SECOND, ((7, 2, (5, 5)),)), SECOND)
    counts.merge(CounterMessage("a", 1, 2, SECOND, ((7, 10**9, (5,)),)), SECOND)
    assert counts.estimate(7, SECOND) == 10


def test_the_fastest_datagram_sets_the_clock_offset_and_drift_is_followed() -> None:
    a, b = new_pair()
    for number, delay_us in enumerate((180_000, 20_000, 150_000), start=1):
        at_us = 6 * SECOND + number * 100_000
        b.merge(message_of(a, number, at_us), 995 * SECOND + at_us + delay_us)
    (replica,) = b.peers.replicas.values()
    assert 1_000 * SECOND + 20_000 <= replica.clock_offset_us <= 1_000 * SECOND + 20_300
    for number in range(4, 400):  # its clock runs slow by 500 ppm
        at_us = 6 * SECOND + number * 100_000
        b.merge(message_of(a, number, at_us), 995 * SECOND + at_us + 20_000 + int(at_us * 5e-4))
    assert abs(replica.clock_offset_us - (1_000 * SECOND + 20_000 + int(at_us * 5e-4))) < 1_000


def test_shares_of_a_limit_follow_the_usage_and_add_up_to_one() -> None:
    instances = [SharedCounters(name, 1, WINDOW, 0) for name in "abc"]
    for each in instances:
        each.cluster_size = 3
    for number in range(1, 81):
        now_us = number * 50_000
        for each, load in zip(instances, (6, 3, 1), strict=True):
            each.add(7, now_us, load)
        for each in instances:
            for other in instances:
                if other is not each:
                    each.merge(message_of(other, number, now_us, 7), now_us)
    rate_shares, burst_shares = zip(*(each.shares_of(7, 30, now_us) for each in instances), strict=True)
    assert sum(burst_shares) == pytest.approx(1.0, abs=0.02)
    assert burst_shares[0] > burst_shares[1] > burst_shares[2]
    for share, expected in zip(rate_shares, (0.6, 0.3, 0.1), strict=True):
        assert share == pytest.approx(expected, abs=0.01)


@pytest.mark.parametrize(("share_when_alone", "expected"), [(True, 0.25), (False, 1.0)])
def test_the_configured_share_applies_while_all_peers_are_silent(
    share_when_alone: bool, expected: float
) -> None:
    counts = SharedCounters(
        "a", 1, WINDOW, 0, limits=CounterLimits(silence_timeout_us=SECOND, share_when_alone=share_when_alone)
    )
    counts.cluster_size = 4
    counts.add(7, 0)
    assert counts.shares_of(7, 4, 0)[0] == expected  # no peer was heard yet
    for name in "bcd":
        counts.merge(CounterMessage(name, 1, 1, 100_000, ()), 100_000)
    assert counts.shares_of(7, 4, 200_000)[0] == 1.0  # all peers are heard, and have no usage
    counts.peers._usage.clear()
    assert counts.shares_of(7, 4, 2 * SECOND)[0] == expected


def test_keys_with_most_change_are_sent_first_and_none_starves() -> None:
    counts = SharedCounters("a", 1, WINDOW, 0)
    for key in range(40):
        counts.add(key, 0)
    seen: set[int] = set()
    rounds_with_both = 0
    for _ in range(16):  # twice the rounds that 40 keys take, with 5 in each
        counts.add(39, 0, 100)
        counts.add(38, 0, 50)
        chosen = counts.keys_to_send(5, 5)
        rounds_with_both += {38, 39} <= set(chosen)
        counts.sent(chosen)
        seen |= set(chosen)
    assert rounds_with_both >= 8  # both go first unless keys have waited for too long
    assert seen == set(range(40))
    counts.add(20, 0, 500)
    assert 20 in counts.keys_to_send(5, 5)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, 900), min_size=1, max_size=120))
def test_a_datagram_is_accepted_once(sequence: list[int]) -> None:
    history = DatagramHistory(sequence[0], sequence[0])
    accepted = {sequence[0]}
    for each in sequence[1:]:
        is_accepted = history.accept(each)
        assert not (is_accepted and each in accepted)
        if history.highest - each < HISTORY_BITS and each not in accepted:
            assert is_accepted
        if is_accepted:
            accepted.add(each)


def test_tenants_have_shares_of_the_fleet_usage() -> None:
    a, b = SharedCounters("a", 1, WINDOW, 0), SharedCounters("b", 1, WINDOW, 0)
    local, remote = (TenantUsage(each, ["big", "small", "here"], frozenset((0, 1))) for each in (a, b))
    for _ in range(10):
        local.record_request(1, 0)
        remote.record_request(0, 0)
        remote.record_request(0, 0)
    local.record_request(3, 0)  # not listed
    assert local.share(1, 0) == 1.0
    a.merge(message_of(b, 1, 0, *remote.keys), 0)
    assert local.share(1, SECOND) == pytest.approx(1 / 3)
    assert local.share(0, SECOND) == pytest.approx(2 / 3)
    assert local.share(2, SECOND) == 0.0  # its allowance is for one instance
    assert local.share(3, SECOND) == 0.0


def test_the_reported_loss_is_recent() -> None:
    history = DatagramHistory(1, 1)
    for sequence in range(2, 2_001):
        if sequence > 1_000 or sequence % 2:  # half is lost at first, then nothing
            assert history.accept(sequence)
        if sequence == 1_000:
            assert history.loss == pytest.approx(0.5, abs=0.01)
    assert history.loss == 0.0


def test_invented_names_evict_no_listed_tenant() -> None:
    counts = SharedCounters("a", 1, WINDOW, 0, limits=CounterLimits(max_keys=64))
    usage = TenantUsage(counts, ["big", "small"], frozenset((0, 1)))
    for number in range(1_000):
        counts.add(key_of(f"made up {number}"), 0)
    usage.record_request(0, 0)
    usage.record_request(0, 0)
    usage.record_request(1, 0)
    assert usage.share(0, SECOND) == pytest.approx(2 / 3)
    assert len(counts.own) <= 64 + 2 + OVERFLOW_KEYS


def test_expired_keys_are_dropped_even_if_they_are_still_sent() -> None:
    counts = SharedCounters("a", 1, WINDOW, 0)
    counts.add(7, 0)
    for step in range(1, 20):
        counts.encoded_row(7, step * SECOND // 2)
        counts.sweep(step * SECOND // 2)
        assert 7 in counts.own or step > WINDOW.buckets
    assert not counts.own
    assert not counts._changes
    assert not counts._sent_round


def test_keys_of_peers_are_swept_in_turns() -> None:
    counts = SharedCounters("me", 1, WINDOW, 0)
    rows = tuple((key, 0, (1,)) for key in range(4_096))
    for number in range(8):
        counts.merge(CounterMessage(f"p{number}", 1, 1, 0, rows), 0)
    assert counts.peers.key_count == 8 * 4_096
    for step in range(1, 5):  # each peer goes on sending, without those keys
        now_us = 10 * SECOND + step * WINDOW.bucket_us
        for number in range(8):
            counts.merge(CounterMessage(f"p{number}", 1, 1 + step, now_us, ()), now_us)
        counts.sweep(now_us)
        assert counts.peers.key_count == (8 - 2 * step) * 4_096


def test_counters_continue_after_restarts_and_peers_count_nothing_twice() -> None:
    one, peer = SharedCounters("a", 1, WINDOW, 0), SharedCounters("b", 1, WINDOW, 0)
    for counts in (one, peer):
        counts.cluster_size = 2
    one.add(7, 1 * SECOND, 10)

    def send(counts: SharedCounters, now_us: int) -> None:
        row = counts.encoded_row(7, now_us)
        rows = (row,) if row else ()
        peer.merge(CounterMessage(counts.name, counts.incarnation, 1, now_us - counts.start_us, rows), now_us)

    def restart(counts: SharedCounters, incarnation: int, now_us: int) -> SharedCounters:
        rows = counts.saved_rows([*counts.own, *counts.previous])
        old = PreviousIncarnation(counts.name, counts.saved_from_us, WINDOW.span_us, WINDOW.buckets, rows)
        restarted = SharedCounters("a", incarnation, WINDOW, now_us)
        assert restarted.restore(old, now_us)
        return restarted

    send(one, 1 * SECOND)
    two = restart(one, 2, 2 * SECOND + 123_000)
    two.add(7, 2 * SECOND + 200_000, 5)
    three = restart(two, 3, 3 * SECOND)
    three.add(7, 3 * SECOND, 1)
    for each in (two, three):
        send(each, 3 * SECOND)
    assert three.own_count(7, 3 * SECOND) == 16
    assert three.estimate(7, 3 * SECOND) == 16
    assert peer.estimate(7, 3 * SECOND) == 16
    three.reconfigure(CounterLimits(share_when_alone=False), 2)
    assert three.shares_of(7, 1.0, 3 * SECOND)[1] == pytest.approx(
        16 / 17
    )  # with the 15 requests from before the restart
    assert three.own_count(7, 5 * SECOND + 500_000) <= 6  # the first ten have left the window
    assert three.own_count(7, 8 * SECOND) == 0
    three.sweep(8 * SECOND)
    assert not three.previous


@pytest.mark.parametrize("changes", [{"name": "b"}, {"buckets": 4}, {"start_us": 9 * SECOND}])
def test_saved_counts_of_another_name_window_or_time_are_not_restored(changes: dict[str, object]) -> None:
    old = replace(PreviousIncarnation("a", 0, WINDOW.span_us, WINDOW.buckets, {1: (0, (4,))}), **changes)  # type: ignore[arg-type]
    counts = SharedCounters("a", 2, WINDOW, SECOND)
    assert not counts.restore(old, SECOND)
    assert counts.own_count(1, SECOND) == 0


def test_saved_counts_from_the_future_are_left_out() -> None:
    counts = SharedCounters("a", 2, WINDOW, SECOND)
    assert counts.restore(
        PreviousIncarnation("a", 0, WINDOW.span_us, WINDOW.buckets, {1: (900, (4, 3))}), SECOND
    )
    assert counts.own_count(1, SECOND) == 0
