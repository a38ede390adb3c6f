"""The process's log: standard error, at a limited rate."""

from __future__ import annotations

import logging
import sys
import time

MAX_LINES_PER_S = 5.0
MAX_BURST_LINES = 20.0  # a start with a reload right after it logs about ten lines in a second


class RateLimitFilter(logging.Filter):
    """Passes a limited rate of lines: the log may be a pipe, and a full one would block the process."""

    def __init__(self) -> None:
        super().__init__()
        self.tokens = MAX_BURST_LINES
        self.refilled_s = time.monotonic()

    def filter(self, _record: logging.LogRecord) -> bool:
        """Whether the line may pass: MAX_LINES_PER_S on average, MAX_BURST_LINES in a burst."""
        now_s = time.monotonic()
        self.tokens = min(MAX_BURST_LINES, self.tokens + (now_s - self.refilled_s) * MAX_LINES_PER_S)
        self.refilled_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def log_to_stderr() -> None:
    """Send the log of the whole process to standard error."""
    logging.basicConfig(level=logging.INFO, format="%(levelname)s %(message)s", stream=sys.stderr)
    logging.getLogger().handlers[0].addFilter(RateLimitFilter())
