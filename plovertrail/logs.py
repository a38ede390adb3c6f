"""The log: standard error, a few lines a second."""

from __future__ import annotations

import logging
import sys
import time

LINES_A_SECOND = 5.0
LINES_AT_ONCE = 20.0  # a start with a reload behind it says about ten things in a second


class RateLimit(logging.Filter):
    """Lets a few lines a second through: the log may be a pipe, and a full one would hold up everything."""

    def __init__(self) -> None:
        super().__init__()
        self.left = LINES_AT_ONCE
        self.at = time.monotonic()

    def filter(self, record: logging.LogRecord) -> bool:
        """Whether the line may pass: LINES_A_SECOND on average, LINES_AT_ONCE in a burst."""
        now = time.monotonic()
        self.left = min(LINES_AT_ONCE, self.left + (now - self.at) * LINES_A_SECOND)
        self.at = now
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


def log_to_stderr() -> None:
    """For the whole process."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimit())
