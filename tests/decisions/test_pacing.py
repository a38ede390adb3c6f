"""Delays by an instance's rank: an even spread, or random delays if the rank is unknown."""

from __future__ import annotations

import random

from plovertrail.decisions.pacing import InstanceRank, rank_of


def test_listed_instances_spread_evenly_over_a_period() -> None:
    rng = random.Random(1)
    names = [f"app-{number}" for number in range(100)]
    shuffled = rng.sample(names, 100)
    fractions = sorted(rank_of(name, shuffled).delay_fraction(rng.random()) for name in names)
    assert [int(100 * fraction) for fraction in fractions] == list(range(100))


def test_the_order_of_a_list_and_duplicate_names_make_no_difference() -> None:
    assert rank_of("b", ["c", "a", "b"]) == rank_of("b", ["b", "a", "c", "a"]) == InstanceRank(1, 3)


def test_an_unlisted_instance_has_a_random_delay() -> None:
    assert rank_of("x", ["a", "b"]) == InstanceRank(None, 2)
    assert rank_of("x", ["a", "b"]).delay_fraction(0.7) == 0.7
    assert rank_of("x", []) == InstanceRank(None, 1)


def test_two_instances_of_the_same_name_have_different_delays() -> None:
    one, other = InstanceRank(3, 10), InstanceRank(3, 10)
    assert one.delay_fraction(0.2) != other.delay_fraction(0.9)
    assert all(0.3 <= one.delay_fraction(draw) < 0.4 for draw in (0.0, 0.5, 0.999))
