"""The rate limit of the log: a burst of lines, then a few per second."""

from __future__ import annotations

import logging

import pytest

from plovertrail.logs import MAX_BURST_LINES, MAX_LINES_PER_S, RateLimitFilter


def test_a_burst_passes_and_further_lines_are_limited(monkeypatch: pytest.MonkeyPatch) -> None:
    now_s = 100.0
    monkeypatch.setattr("plovertrail.logs.time.monotonic", lambda: now_s)
    limit = RateLimitFilter()
    record = logging.makeLogRecord({})
    assert sum(limit.filter(record) for _ in range(1000)) == MAX_BURST_LINES
    now_s += 2.0
    assert sum(limit.filter(record) for _ in range(1000)) == 2 * MAX_LINES_PER_S
