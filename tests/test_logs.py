"""The log's bound: some lines at once, and few a second after that."""

from __future__ import annotations

import logging

import pytest

from plovertrail.logs import LINES_A_SECOND, LINES_AT_ONCE, RateLimit


def test_a_start_may_say_what_it_has_to_and_a_flood_is_cut(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 100.0
    monkeypatch.setattr("plovertrail.logs.time.monotonic", lambda: now)
    limit, record = RateLimit(), logging.makeLogRecord({})
    assert sum(limit.filter(record) for _ in range(1000)) == LINES_AT_ONCE
    now += 2.0
    assert sum(limit.filter(record) for _ in range(1000)) == 2 * LINES_A_SECOND
