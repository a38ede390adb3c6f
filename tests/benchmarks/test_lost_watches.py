"""The benchmark of calls at discovery: what it counts, in small."""

from __future__ import annotations

import pytest

from benchmarks.capacity.lost_watches import (
    CASES,
    SECOND_US,
    Case,
    LostWatches,
    called_after_us,
    settings,
    worst_second,
)
from plovertrail.decisions.load_balancing.poll_schedule import WATCH_TIMEOUT_US, max_poll_gap_us


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_each_sidecar_calls_within_the_bound(case: Case) -> None:
    most_us = max_poll_gap_us(settings(case, 100)) - (WATCH_TIMEOUT_US if case.silent else 0)
    assert all(called_after_us(case, 100, seed) <= most_us for seed in range(100))


def test_with_no_rate_stated_a_silent_watch_leaves_two_seconds() -> None:
    broken, silent = CASES[0], CASES[1]
    assert max_poll_gap_us(settings(silent, 100)) - WATCH_TIMEOUT_US == 2 * SECOND_US
    assert worst_second(silent, 400, 0) > worst_second(broken, 400, 0)


def test_the_short_form_has_a_slope_for_each_case() -> None:
    result = LostWatches().measure(short=True, repeats=1)
    assert [slope.note for slope in result.slopes] == [case.name for case in CASES]
    assert all(slope.fit.slope > 0 for slope in result.slopes[:2])
