"""Weighted sampling while members are added, changed and removed."""

from __future__ import annotations

import random
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from plovertrail.decisions.load_balancing.weighted_sampler import WeightedSampler

CHANGES = st.lists(st.tuples(st.integers(0, 40), st.one_of(st.none(), st.floats(0, 100))), max_size=200)


@given(CHANGES, st.floats(0, 1, exclude_max=True))
def test_a_sampled_member_has_a_weight_after_any_changes(
    changes: list[tuple[int, float | None]], uniform: float
) -> None:
    sampler, expected = WeightedSampler(), dict[int, float]()
    for member, weight in changes:
        if weight is None:
            sampler.discard(member)
            expected.pop(member, None)
        else:
            sampler.set(member, weight)
            expected[member] = weight
    assert set(sampler) == set(expected)
    assert len(sampler) == len(expected)
    assert all((member in sampler) == (member in expected) for member in range(41))
    sampled = sampler.sample(uniform)
    if sampled is None:
        assert not any(expected.values())
    else:
        assert expected[sampled] > 0


def test_each_member_is_sampled_in_proportion_to_its_weight() -> None:
    sampler, rng = WeightedSampler(), random.Random(5)
    weights = {number: float(1 + number % 7) for number in range(100)}
    for number, weight in weights.items():
        sampler.set(number, weight * 3)
        sampler.set(number, weight)
    for number in range(0, 100, 3):
        sampler.discard(number)
        del weights[number]
    count = 40_000
    sampled = Counter(sampler.sample(rng.random()) for _ in range(count))
    total = sum(weights.values())
    chi_square = sum(
        (sampled[number] - count * weight / total) ** 2 / (count * weight / total)
        for number, weight in weights.items()
    )
    assert chi_square < 110  # 65 degrees of freedom; exceeded by chance once in 2,000 times


def test_nothing_is_sampled_if_all_weights_are_zero() -> None:
    sampler = WeightedSampler()
    assert sampler.sample(0.5) is None
    sampler.set(1, 0.0)
    assert sampler.sample(0.5) is None
    sampler.set(2, 1e-300)
    assert sampler.sample(0.999) == 2
