"""Timers at times of the monotonic clock, in microseconds."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plovertrail.clock import clock_us


def call_at(
    loop: asyncio.AbstractEventLoop, at_us: int, callback: Callable[..., None], *args: object
) -> asyncio.TimerHandle:
    """Call back at a time, and not a microsecond sooner."""
    return loop.call_later(max(0, at_us - clock_us() + 1) / 1e6, callback, *args)
