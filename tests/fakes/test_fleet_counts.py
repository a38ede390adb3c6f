"""The counts of the fleet's rig: each second by itself."""

from __future__ import annotations

import time

import pytest

from fakes.fleet.plan import Plan
from fakes.fleet.servers import Counts


def test_what_comes_before_the_play_is_not_counted_with_its_first_second(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    counts = Counts(Plan(instances=1, seconds=2.0, starts_at=100.0))
    for at in (99.5, 100.0, 100.9, 101.0):
        monkeypatch.setattr(time, "monotonic", lambda at=at: at)
        counts.count("calls")
    assert counts.told()["calls"] == [2, 1]
