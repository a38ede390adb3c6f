"""Gossip of shared counters between instances, without sockets."""

from __future__ import annotations

import random
from collections import Counter

from fakes.peers_model import KEY, SECOND_US, PeersModel
from plovertrail.decisions.counter_error_bound import GossipParameters, error_bound
from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow, key_of
from plovertrail.decisions.peer_counters import CounterLimits
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.peers.address import format_address
from plovertrail.peers.counter_codec import CounterCodec, encode_row
from plovertrail.peers.counter_gossip import MAX_DATAGRAMS_PER_PERIOD, CounterGossip
from plovertrail.peers.envelope import MAX_DATAGRAM_BYTES, DropReason, digest

WINDOW = CountingWindow(10 * SECOND_US, 20)
ADDRESSES = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]


def gossip(number: int = 0, fan_out: int = 8, window: CountingWindow = WINDOW) -> CounterGossip:
    created = CounterGossip(
        SharedCounters(f"i{number}", 1, window, 0),
        CounterCodec("f", [KEY], window),
        ADDRESSES[number],
        random.Random(number),
    )
    created.set_peers(ADDRESSES, fan_out)
    return created


def test_each_peer_is_sent_to_once_a_round_and_the_sender_never() -> None:
    first = gossip(fan_out=1)
    to = [address for _ in range(6) for address, _ in first.tick(0)]
    assert Counter(to) == {ADDRESSES[1]: 3, ADDRESSES[2]: 3}
    assert all(to[i] != to[i + 1] for i in range(5))


def test_datagrams_stay_within_the_size_limit_and_all_keys_are_sent() -> None:
    first, second = gossip(0), gossip(1)
    for key in range(300):
        first.counters.add(key_of(str(key)), 0, 40_000)
    received_keys: set[int] = set()
    for period in range(1, 80):
        for key in range(300):
            first.counters.add(key_of(str(key)), period * 100_000, 1_000_000 if key < 5 else 0)
        for address, data in first.tick(period * 100_000):
            assert len(data) <= MAX_DATAGRAM_BYTES
            if address == ADDRESSES[1]:
                second.tick(period * 100_000)
                assert second.receive(data, ADDRESSES[0], period * 100_000) is None
        received_keys = {key for part in second.counters.peers.replicas.values() for key in part.rows}
    assert len(received_keys) == 300  # including those whose counts no longer change


def test_datagrams_of_a_flooding_peer_are_dropped_and_those_of_others_are_read() -> None:
    first, second, third = gossip(0), gossip(1), gossip(2)
    second.tick(0)
    data = dict(first.tick(0))[ADDRESSES[1]]
    reasons = [second.receive(b"junk" * 100, ADDRESSES[0], 0) for _ in range(1_000)]
    assert Counter(reasons) == {
        DropReason.MALFORMED: MAX_DATAGRAMS_PER_PERIOD,
        DropReason.RATE_LIMITED: 1_000 - MAX_DATAGRAMS_PER_PERIOD,
    }
    assert second.receive(dict(third.tick(0))[ADDRESSES[1]], ADDRESSES[2], 0) is None
    assert second.receive(data, ADDRESSES[0], 0) is DropReason.RATE_LIMITED
    second.tick(100_000)
    assert second.receive(data, ADDRESSES[0], 100_000) is None
    assert second.receive(data, ADDRESSES[0], 100_000) is DropReason.DUPLICATE
    assert second.receive(data, ("10.9.9.9", 1), 100_000) is DropReason.UNKNOWN_SENDER


def test_changing_the_peers_keeps_the_state_of_those_that_stay() -> None:
    first, second = gossip(0), gossip(1)
    first.counters.add(7, 0, 5)
    assert second.receive(dict(first.tick(0))[ADDRESSES[1]], ADDRESSES[0], 0) is None
    second.set_peers(ADDRESSES[:2], 8)
    assert second.counters.cluster_size == 2
    assert second.peers[ADDRESSES[0]].name == "i0"
    assert second.counters.estimate(7, 0) == 5
    second.set_peers([ADDRESSES[1]], 8)
    assert second.counters.cluster_size == 1
    assert second.tick(0) == []
    # The usage of a peer that was removed counts until it is outside the window.
    assert second.counters.estimate(7, SECOND_US) == 5


def test_observed_loss_can_only_raise_the_error_bound() -> None:
    parameters = GossipParameters(
        size=6, period_s=0.1, fan_out=5, window_s=10.0, bucket_s=0.5, loss=0.4, delay_s=0.1
    )
    model = PeersModel(parameters, seed=3)
    model.load(20.0, {1: 20.0})
    observed = [model.gossips[0].loss_from(peer) for peer in model.gossips[0].order]
    assert all(0.25 < loss < 0.55 for loss in observed)
    optimistic = GossipParameters(
        size=6, period_s=0.1, fan_out=5, window_s=10.0, bucket_s=0.5, loss=0.01, delay_s=0.1
    )
    assert model.gossips[0].bound(optimistic).under > 1.3 * error_bound(optimistic).under
    pessimistic = GossipParameters(
        size=6, period_s=0.1, fan_out=5, window_s=10.0, bucket_s=0.5, loss=0.6, delay_s=0.1
    )
    assert model.gossips[0].bound(pessimistic).under == error_bound(pessimistic).under


def test_the_keys_of_two_hundred_peers_stay_within_the_memory_bound() -> None:
    addresses = [(f"10.0.0.{number}", 1) for number in range(201)]
    counts = SharedCounters("me", 1, WINDOW, 0, limits=CounterLimits(max_keys=64))
    receiver = CounterGossip(counts, CounterCodec("f", [KEY], WINDOW), addresses[0], random.Random(1))
    receiver.set_peers(addresses, 40)
    assert len(receiver.tick(0)) == 40
    for number, address in enumerate(addresses[1:]):
        rows = [encode_row((number * 1_000 + key, 0, (1,))) for key in range(80)]
        head = CounterMessage(f"p{number}", 1, 1, 0, ())
        data = receiver.codec.encode(digest(format_address(addresses[0])), head, rows)
        assert receiver.receive(data, address, 0) is None
    assert counts.peers.heard_count(0) == len(counts.peers.replicas) == 200
    assert counts.peers.key_count == 16 * 64
    assert counts.peers.rejected_keys == 200 * 80 - 16 * 64
