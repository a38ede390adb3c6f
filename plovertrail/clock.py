"""The clock of the decisions."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

_nanoseconds: Callable[[], int] = time.monotonic_ns


def clock_us() -> int:
    """The module's clock."""
    return _nanoseconds() // 1000


@contextmanager
def override_clock(nanoseconds: Callable[[], int]) -> Iterator[None]:
    """Have all decisions in this process go by another clock meanwhile: a rehearsal's."""
    global _nanoseconds
    before, _nanoseconds = _nanoseconds, nanoseconds
    try:
        yield
    finally:
        _nanoseconds = before
