"""Log lines on overload, and their rate limit."""

from __future__ import annotations

from plovertrail.decisions.actions import Log
from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import BalancerHarness
from tests.decisions.load_balancing.scenarios import (
    PAY,
    READ,
    ready_harness,
    run_requests,
)


def log_lines(harness: BalancerHarness) -> list[str]:
    return [action.text for action in harness.actions if isinstance(action, Log)]


def end_all_attempts(harness: BalancerHarness, outcome: Outcome) -> None:
    """Start 20 requests, and end all attempts in flight with the same outcome."""
    for _ in range(20):
        harness.request_arrives(PAY)
    harness.advance(10_000)
    for request_id, record in list(harness.requests.items()):
        for attempt in record.in_flight():
            harness.end_attempt(request_id, attempt, outcome)


def test_overload_is_logged_when_it_begins_and_ends() -> None:
    harness = ready_harness(2)
    for _ in range(100):
        harness.request_arrives(READ)
    assert log_lines(harness) == ["overload begins"]
    harness.advance(5_000_000)
    run_requests(harness, 1500)
    assert log_lines(harness)[-1] == "overload ends"


def test_log_lines_are_limited_to_one_per_second() -> None:
    harness = ready_harness(50)
    begin_us = harness.now_us
    for fault in (Outcome.REJECTED, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        for _ in range(30):
            end_all_attempts(harness, fault)
    assert 1 <= len(log_lines(harness)) <= 1 + (harness.now_us - begin_us) / 1_000_000
