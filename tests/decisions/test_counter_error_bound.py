"""The error bound of shared counts: its formula, and simulated errors against it."""

from __future__ import annotations

import random

import pytest

from fakes.peers_model import SECOND_US, PeersModel
from plovertrail.decisions.counter_error_bound import (
    ErrorBound,
    GossipParameters,
    consecutive_loss_bound,
    error_bound,
    partition_undercount,
)

GOSSIP = GossipParameters(
    size=20, period_s=0.1, fan_out=8, window_s=10.0, bucket_s=0.5, loss=0.3, delay_s=0.2
)


def test_the_undercount_grows_with_the_instances_the_losses_and_the_keys() -> None:
    base = error_bound(GOSSIP).under
    worse = [
        GossipParameters(80, 0.1, 8, 10.0, 0.5, 0.3, 0.2),
        GossipParameters(20, 0.2, 8, 10.0, 0.5, 0.3, 0.2),
        GossipParameters(20, 0.1, 4, 10.0, 0.5, 0.3, 0.2),
        GossipParameters(20, 0.1, 8, 10.0, 0.5, 0.5, 0.2),
        GossipParameters(20, 0.1, 8, 10.0, 0.5, 0.3, 0.4),
        GossipParameters(20, 0.1, 8, 10.0, 0.5, 0.3, 0.2, keys=100),
        GossipParameters(20, 0.1, 8, 5.0, 0.5, 0.3, 0.2),
    ]
    assert all(error_bound(each).under > base for each in worse)
    assert error_bound(GOSSIP, 1e-6).under > base
    even = GossipParameters(20, 0.1, 8, 10.0, 0.5, 0.3, 0.2, max_instance_share=0.25)
    assert error_bound(even).under < base


def test_a_single_instance_has_only_the_error_of_the_bucket_at_the_start_of_the_window() -> None:
    assert error_bound(GossipParameters(1, 0.1, 8, 10.0, 0.5, 0.3, 0.2)) == ErrorBound(0.05, 0.05, 0.0, 1e-3)


@pytest.mark.parametrize("shares", [[1.0], [0.5, 0.5], [0.1] * 10, [0.7, 0.1, 0.1, 0.1]])
@pytest.mark.parametrize("loss", [0.05, 0.3, 0.6])
def test_consecutive_losses_stay_within_the_bound_for_each_division_of_the_rate(
    shares: list[float], loss: float
) -> None:
    rng, bound, trials = random.Random(3), consecutive_loss_bound(loss, 0.01), 20_000

    def consecutive_losses() -> int:
        count = 0
        while rng.random() < loss:
            count += 1
        return count

    exceeded = sum(sum(share * consecutive_losses() for share in shares) >= bound for _ in range(trials))
    assert exceeded / trials <= 0.01
    # The bound is not too loose: with all of the rate at one peer, 60 % of it is exceeded sometimes.
    if shares == [1.0]:
        assert sum(consecutive_losses() >= 0.6 * bound for _ in range(trials)) > 0


def measure_errors(
    model: PeersModel, stated: ErrorBound, rates: dict[int, float], seconds: int, extra_under: float = 0.0
) -> tuple[int, int, float]:
    """Return the samples outside the bound, all samples, and the largest error relative to its bound."""
    outside = samples = 0
    worst_ratio = 0.0
    for _ in range(seconds):
        model.load(1.0, rates)
        for key, rate in rates.items():
            # The rate of random arrivals varies; the bound is stated for the highest rate.
            peak = max(rate, model.true_count(key) / model.talk.window_s) * 1.1
            under, over = stated.counts(peak, model.talk.window_s)
            under += extra_under * peak * model.talk.window_s
            for number in range(model.talk.size):
                off = model.estimate(number, key) - model.true_count(key)
                ratio = off / over if off > 0 else -off / under
                worst_ratio = max(worst_ratio, ratio)
                outside += ratio > 1.0
                samples += 1
    return outside, samples, worst_ratio


def test_twenty_instances_stay_within_the_bound_under_loss_delay_and_repeats() -> None:
    model = PeersModel(GOSSIP, seed=5, duplicate_rate=0.1)
    rates = {1: 60.0, 2: 20.0, 3: 5.0}
    outside, samples, worst_ratio = measure_errors(model, error_bound(GOSSIP), rates, 20)
    assert outside <= 1e-3 * samples
    assert samples == 20 * 20 * 3
    assert worst_ratio > 0.2, "the bound is not too loose"


def test_a_partition_adds_the_stated_undercount_and_healing_counts_nothing_twice() -> None:
    model = PeersModel(GOSSIP, seed=6)
    rates = {1: 80.0}
    measure_errors(model, error_bound(GOSSIP), rates, 12)
    model.delivers = lambda sender, receiver: sender % 2 == receiver % 2
    ratios = []
    for second in range(1, 8):
        outside, samples, _ = measure_errors(
            model, error_bound(GOSSIP), rates, 1, partition_undercount(second, 0.5, GOSSIP)
        )
        assert outside <= 1
        ratios.append(model.estimate(0, 1) / model.true_count(1))
    assert ratios[-1] < 0.75, "the counts of the other half are missing"
    model.delivers = lambda sender, receiver: True
    model.load(2.0, rates)
    outside, samples, _ = measure_errors(model, error_bound(GOSSIP), rates, 10)
    assert outside <= 1  # all is counted again, and nothing twice


def test_loss_in_one_direction_affects_only_one_side() -> None:
    gossip = GossipParameters(
        size=2, period_s=0.1, fan_out=1, window_s=4.0, bucket_s=0.5, loss=0.0, delay_s=0.05
    )
    model = PeersModel(gossip, seed=1)
    model.delivers = lambda sender, receiver: sender == 0
    model.load(6.0, {1: 100.0})
    own = model.gossips[0].counters.own_count(1, model.local_us(0))
    assert model.estimate(0, 1) == own
    assert model.estimate(1, 1) == pytest.approx(model.true_count(1), rel=0.1)
    # The side that receives nothing uses its equal share, so both together stay near the limit.
    rate_shares = [
        each.counters.shares_of(1, 1, model.local_us(n))[0] for n, each in enumerate(model.gossips)
    ]
    assert rate_shares[0] == pytest.approx(0.5)
    assert sum(rate_shares) < 1.15


def test_restarts_and_a_start_of_all_at_once_stay_within_the_bound() -> None:
    model = PeersModel(GOSSIP, seed=7)
    model.load(10.0, {1: 80.0})
    for number in range(0, 20, 2):
        model.restart(number)
    # Counts that the old incarnations had not sent are lost: as many as while a peer is silent.
    model.load(2 * error_bound(GOSSIP).staleness_s, {1: 80.0})
    outside, samples, _ = measure_errors(model, error_bound(GOSSIP), {1: 80.0}, 5)
    assert outside <= 1e-2 * samples
    model.run(model.now_us + 40 * SECOND_US)
    assert all(each.counters.estimate(1, model.local_us(n)) == 0 for n, each in enumerate(model.gossips))
    assert all(len(each.counters.peers.replicas) == 19 for each in model.gossips)


def test_a_burst_is_counted_whole_until_it_leaves_the_window() -> None:
    model = PeersModel(GOSSIP, seed=8)
    model.load(2.0, {1: 10.0})
    for number in range(500):
        model.count(number % 20, 1)
    burst_us, staleness_us = model.now_us, int(error_bound(GOSSIP).staleness_s * SECOND_US)
    model.run(burst_us + staleness_us)
    assert model.estimate(3, 1) >= 500
    model.run(burst_us + int((GOSSIP.window_s - GOSSIP.bucket_s) * SECOND_US))
    assert model.estimate(3, 1) >= 500  # still in the window, in its last bucket
    model.run(burst_us + int((GOSSIP.window_s + GOSSIP.bucket_s + GOSSIP.delay_s) * SECOND_US))
    assert model.estimate(3, 1) == 0
