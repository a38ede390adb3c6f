"""Timers that fire at a time of the monotonic clock, in microseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plovertrail.clock import clock_us


def call_at(
    loop: asyncio.AbstractEventLoop, at_us: int, callback: Callable[..., None], *args: object
) -> asyncio.TimerHandle:
    """Schedule a callback for a time; it is never called earlier, not even by a microsecond."""
    return loop.call_later(max(0, at_us - clock_us() + 1) / 1e6, callback, *args)
