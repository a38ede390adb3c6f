"""Counts events by kind, and logs those that on-call engineers need to see at a limited rate for each kind.

The lines go to a logger of their own, so that many of them never suppress the lines on changes of state.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable

from plovertrail.clock import clock_us

PROBLEM_LOGGER = "plovertrail.problems"
MAX_BURST_LINES = 4
MIN_LINE_INTERVAL_US = 1_000_000  # on average, for each kind

log = logging.getLogger(PROBLEM_LOGGER)


class _LineBudget:
    """A token bucket for the lines of one kind of event."""

    __slots__ = ("tokens", "refilled_us", "suppressed")

    def __init__(self, now_us: int) -> None:
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_us = now_us
        self.suppressed = 0  # lines that were not written since the last one that was

    def take(self, now_us: int) -> bool:
        """Take one line from the budget; returns whether there was one."""
        refill = (now_us - self.refilled_us) / MIN_LINE_INTERVAL_US
        self.tokens = min(float(MAX_BURST_LINES), self.tokens + refill)
        self.refilled_us = now_us
        if self.tokens < 1.0:
            self.suppressed += 1
            return False
        self.tokens -= 1.0
        return True


class ProblemLog:
    """Counts and logs events. The kinds are a fixed set of names, so memory is bounded."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._budgets: dict[str, _LineBudget] = {}

    def count(self, kind: str) -> None:
        """Count an event without a line."""
        self.counts[kind] += 1

    def report(self, kind: str, fields: Callable[[], str]) -> None:
        """Count an event, and log it with its `fields` if the budget of its kind allows a line."""
        self.counts[kind] += 1
        now_us = clock_us()
        budget = self._budgets.get(kind)
        if budget is None:
            budget = self._budgets[kind] = _LineBudget(now_us)
        if not budget.take(now_us):
            return
        suppressed = f" suppressed={budget.suppressed}" if budget.suppressed else ""
        budget.suppressed = 0
        log.info("%s %s%s", kind.replace("_", " "), fields(), suppressed)


def counters_line(*logs: ProblemLog) -> str:
    """Return the counts of several logs as `key=value` pairs."""
    total: Counter[str] = Counter()
    for each in logs:
        total.update(each.counts)
    return " ".join(f"{kind}={count}" for kind, count in sorted(total.items()))
