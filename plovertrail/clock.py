"""The clock of the decisions."""

from __future__ import annotations

import time


def clock_us() -> int:
    """The module's clock."""
    return time.monotonic_ns() // 1000
