"""The clock that all decisions use."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_nanoseconds: Callable[[], int] = time.monotonic_ns


def clock_us() -> int:
    """Return the current time in microseconds of a monotonic clock."""
    return _nanoseconds() // 1000


@contextmanager
def override_clock(nanoseconds: Callable[[], int]) -> Iterator[None]:
    """Replace the clock of the whole process within the context, as scenario tests with virtual time do."""
    global _nanoseconds
    before, _nanoseconds = _nanoseconds, nanoseconds
    try:
        yield
    finally:
        _nanoseconds = before
