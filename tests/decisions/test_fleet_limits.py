"""Limits of one instance of a fleet, and their sum over all instances."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from plovertrail.decisions.fleet_limits import (
    MAX_CONNECTIONS_PER_ENDPOINT,
    Fleet,
    FleetLimits,
    InstanceLimits,
    instance_limits,
    oversubscribed,
    usable_mean,
)


def test_usable_mean_leaves_room_for_random_spread() -> None:
    rng = random.Random(5)
    for bound, bins in ((100, 20), (400, 500)):
        mean = usable_mean(bound, bins)
        # 5,000 instances choose bins at random, with the probability that gives this mean
        over = 0
        for _ in range(20):
            counts = Counter(
                bin_index
                for bin_index in range(bins)
                for _ in range(binomial_sample(rng, 5_000, mean / 5_000))
            )
            over += any(count > bound for count in counts.values())
        assert over == 0
        assert mean > 0.5 * bound
    assert usable_mean(100, 20, batch_size=4) < usable_mean(100, 20) < usable_mean(1_000, 20)


def binomial_sample(rng: random.Random, count: int, probability: float) -> int:
    return max(0, round(rng.gauss(count * probability, (count * probability * (1 - probability)) ** 0.5)))


@pytest.mark.parametrize("size", [1, 5, 100, 500, 5_000, 100_000])
@pytest.mark.parametrize("count", [1, 3, 20, 10_000])
def test_limits_of_all_instances_stay_within_the_fleet_limits(size: int, count: int) -> None:
    limits = FleetLimits(subset_size=8, connections=400, connects_per_s=100.0)
    numbers = range(min(size, 2_000))
    each = [instance_limits(Fleet(size, number), limits, count) for number in numbers]
    assert all(
        limits_of_one.connections >= 1
        and 1 <= limits_of_one.connections_per_endpoint <= MAX_CONNECTIONS_PER_ENDPOINT
        for limits_of_one in each
    )
    idle_connections = (
        sum(limits_of_one.connections for limits_of_one in each if limits_of_one.keep_idle)
        * size
        / len(numbers)
    )
    assert idle_connections <= 400 * count
    assert bool(oversubscribed(Fleet(size), limits, count)) == any(
        not limits_of_one.keep_idle for limits_of_one in each
    )
    assert max(each, key=lambda limits_of_one: limits_of_one.connections).connections <= 1 + min(
        limits_of_one.connections for limits_of_one in each
    ), "shares are equal up to rounding"
    assert size / (each[0].connect_interval_us / 1e6) / count <= 100.0


def test_instances_are_unlimited_without_limits_or_endpoints() -> None:
    assert instance_limits(Fleet(1000), FleetLimits(), 20) == InstanceLimits()
    assert instance_limits(Fleet(1000), FleetLimits(connections=10), 0) == InstanceLimits()
    assert not oversubscribed(Fleet(1000), FleetLimits(), 20)


@pytest.mark.parametrize(("configured_size", "true_size"), [(500, 5_000), (50_000, 5_000)])
def test_a_fleet_size_off_by_a_factor_of_ten_changes_limits_by_ten_at_most(
    configured_size: int, true_size: int
) -> None:
    limits = FleetLimits(subset_size=4, connections=2_000, connects_per_s=100.0)
    right, wrong = (
        instance_limits(Fleet(true_size), limits, 20),
        instance_limits(Fleet(configured_size), limits, 20),
    )
    assert true_size / wrong.connect_interval_us <= 10.01 * true_size / right.connect_interval_us
    if configured_size < true_size:  # up to ten times the bound if all instances use their limits fully
        assert right.connections < wrong.connections <= 10.0 * 20 * 2_000 / true_size
    else:  # connects are ten times rarer, and not all instances keep a connection
        keeping_idle = sum(
            instance_limits(Fleet(configured_size, number), limits, 20).keep_idle for number in range(1_000)
        )
        assert 500 < keeping_idle < 900
        assert wrong.connect_interval_us > 9 * right.connect_interval_us
