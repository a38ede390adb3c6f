"""Logging of the process to standard error, at a limited rate."""

from __future__ import annotations

import logging
import sys
import time

from plovertrail.problem_log import PROBLEM_LOGGER

MAX_LINES_PER_S = 5.0
MAX_BURST_LINES = 20.0  # a start followed by a reload logs about ten lines in a second


class TokenBucket:
    """A budget of lines: MAX_LINES_PER_S on average and MAX_BURST_LINES in a burst."""

    def __init__(self) -> None:
        self.tokens = MAX_BURST_LINES
        self.refilled_s = time.monotonic()

    def take(self) -> bool:
        """Take one line from the budget; returns whether there was one."""
        now_s = time.monotonic()
        self.tokens = min(MAX_BURST_LINES, self.tokens + (now_s - self.refilled_s) * MAX_LINES_PER_S)
        self.refilled_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class RateLimitFilter(logging.Filter):
    """Limits the rate of log lines: standard error may be a pipe, and a full pipe would block the process.

    Lines on single requests and connections have a budget of their own, so that they never suppress others.
    """

    def __init__(self) -> None:
        super().__init__()
        self.problems = TokenBucket()
        self.others = TokenBucket()

    def filter(self, record: logging.LogRecord) -> bool:
        """Pass the lines that their budget allows."""
        bucket = self.problems if record.name == PROBLEM_LOGGER else self.others
        return bucket.take()


def log_to_stderr() -> None:
    """Set up logging of the whole process to standard error."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
