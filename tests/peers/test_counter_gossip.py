"""What instances say to each other, on a virtual network."""

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
    made = CounterGossip(
        SharedCounters(f"i{number}", 1, window, 0),
        CounterCodec("f", [KEY], window),
        ADDRESSES[number],
        random.Random(number),
    )
    made.set_peers(ADDRESSES, fan_out)
    return made


def test_each_peer_hears_once_a_round_and_never_itself() -> None:
    one = gossip(fan_out=1)
    to = [address for _ in range(6) for address, _ in one.tick(0)]
    assert Counter(to) == {ADDRESSES[1]: 3, ADDRESSES[2]: 3}
    assert all(to[i] != to[i + 1] for i in range(5))


def test_a_datagram_is_never_longer_than_stated_whatever_is_counted() -> None:
    one, two = gossip(0), gossip(1)
    for key in range(300):
        one.counters.add(key_of(str(key)), 0, 40_000)
    told: set[int] = set()
    for period in range(1, 80):
        for key in range(300):
            one.counters.add(key_of(str(key)), period * 100_000, 1_000_000 if key < 5 else 0)
        for address, data in one.tick(period * 100_000):
            assert len(data) <= MAX_DATAGRAM_BYTES
            if address == ADDRESSES[1]:
                two.tick(period * 100_000)
                assert two.receive(data, ADDRESSES[0], period * 100_000) is None
        told = {key for part in two.counters.peers.replicas.values() for key in part.rows}
    assert len(told) == 300  # also those that change no more


def test_a_peer_that_floods_is_dropped_unread_and_the_others_are_heard() -> None:
    one, two, three = gossip(0), gossip(1), gossip(2)
    two.tick(0)
    data = dict(one.tick(0))[ADDRESSES[1]]
    why = [two.receive(b"junk" * 100, ADDRESSES[0], 0) for _ in range(1_000)]
    assert Counter(why) == {
        DropReason.MALFORMED: MAX_DATAGRAMS_PER_PERIOD,
        DropReason.RATE_LIMITED: 1_000 - MAX_DATAGRAMS_PER_PERIOD,
    }
    assert two.receive(dict(three.tick(0))[ADDRESSES[1]], ADDRESSES[2], 0) is None
    assert two.receive(data, ADDRESSES[0], 0) is DropReason.RATE_LIMITED
    two.tick(100_000)
    assert two.receive(data, ADDRESSES[0], 100_000) is None
    assert two.receive(data, ADDRESSES[0], 100_000) is DropReason.DUPLICATE
    assert two.receive(data, ("10.9.9.9", 1), 100_000) is DropReason.UNKNOWN_SENDER


def test_a_reload_that_changes_the_peers_keeps_what_is_known_of_those_that_stay() -> None:
    one, two = gossip(0), gossip(1)
    one.counters.add(7, 0, 5)
    assert two.receive(dict(one.tick(0))[ADDRESSES[1]], ADDRESSES[0], 0) is None
    two.set_peers(ADDRESSES[:2], 8)
    assert two.counters.cluster_size == 2
    assert two.peers[ADDRESSES[0]].name == "i0"
    assert two.counters.estimate(7, 0) == 5
    two.set_peers([ADDRESSES[1]], 8)
    assert two.counters.cluster_size == 1
    assert two.tick(0) == []
    # what one that left has used counts till its window has passed
    assert two.counters.estimate(7, SECOND_US) == 5


def test_the_loss_that_is_seen_makes_the_bound_worse_and_never_better() -> None:
    talk = GossipParameters(
        size=6, period_s=0.1, fan_out=5, window_s=10.0, bucket_s=0.5, loss=0.4, delay_s=0.1
    )
    model = PeersModel(talk, seed=3)
    model.load(20.0, {1: 20.0})
    seen = [model.gossips[0].loss_from(peer) for peer in model.gossips[0].order]
    assert all(0.25 < loss < 0.55 for loss in seen)
    hoped = GossipParameters(
        size=6, period_s=0.1, fan_out=5, window_s=10.0, bucket_s=0.5, loss=0.01, delay_s=0.1
    )
    assert model.gossips[0].bound(hoped).under > 1.3 * error_bound(hoped).under
    feared = GossipParameters(
        size=6, period_s=0.1, fan_out=5, window_s=10.0, bucket_s=0.5, loss=0.6, delay_s=0.1
    )
    assert model.gossips[0].bound(feared).under == error_bound(feared).under


def test_two_hundred_peers_that_claim_all_they_can_fit_into_the_bounds_of_memory() -> None:
    addresses = [(f"10.0.0.{number}", 1) for number in range(201)]
    counts = SharedCounters("me", 1, WINDOW, 0, limits=CounterLimits(max_keys=64))
    one = CounterGossip(counts, CounterCodec("f", [KEY], WINDOW), addresses[0], random.Random(1))
    one.set_peers(addresses, 40)
    assert len(one.tick(0)) == 40
    for number, address in enumerate(addresses[1:]):
        rows = [encode_row((number * 1_000 + key, 0, (1,))) for key in range(80)]
        head = CounterMessage(f"p{number}", 1, 1, 0, ())
        data = one.codec.encode(digest(format_address(addresses[0])), head, rows)
        assert one.receive(data, address, 0) is None
    assert counts.peers.heard_count(0) == len(counts.peers.replicas) == 200
    assert counts.peers.key_count == 16 * 64
    assert counts.peers.rejected_keys == 200 * 80 - 16 * 64
