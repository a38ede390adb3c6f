"""The rules hold between real processes under faults that are drawn from a seed, for some seconds each."""

from __future__ import annotations

from pathlib import Path

import pytest

from benchmarks.sidecar_soak import draw_faults, play
from tests.deployed import build
from tests.own_process import in_own_process

SECONDS = 5.0


def test_the_same_seed_draws_the_same_faults() -> None:
    draws = [draw_faults(seed, SECONDS, None) for seed in range(50)]
    assert draws == [draw_faults(seed, SECONDS, None) for seed in range(50)]
    assert len({str(draw) for draw in draws}) > 40


# Guards against faults that break a rule only together.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_no_rule_breaks_under_drawn_faults(seed: int, tmp_path: Path) -> None:
    build()
    result = in_own_process(play, seed, SECONDS, None, tmp_path)
    assert result.requests > 500
    assert result.verdict.total == 0, f"{result.fault}\n{result.verdict.details()}"
