"""When listed endpoints started, on the monotonic clock, though the wall clock may be stepped."""

from __future__ import annotations

import time
from collections.abc import Container

from plovertrail.clock import clock_us

MIN_STEP_US = 500_000  # a smaller change of the distance between the clocks is no step
MAX_STEPS = 8  # that are remembered


def clock_offset_us() -> int:
    """Return the difference of the monotonic clock to Unix time."""
    return clock_us() - time.time_ns() // 1000


class StartTimes:
    """Converts the Unix times at which endpoints started.

    After a step of the wall clock, either reading may be wrong. The offset with the latest time is used:
    a warm endpoint then gets too few requests for a while, but no cold one is overloaded. A converted time is
    kept, as a different one would be taken for a restart.
    """

    def __init__(self) -> None:
        self._offsets_us = [clock_offset_us()]
        self._known: dict[str, tuple[int, int]] = {}  # by endpoint: the time as listed, and as converted

    @property
    def offset_us(self) -> int:
        """The offset that new start times are converted with."""
        return max(self._offsets_us)

    def refresh(self) -> None:
        """Compare the clocks, before a list is read."""
        offset_us = clock_offset_us()
        if abs(offset_us - self._offsets_us[-1]) >= MIN_STEP_US:
            self._offsets_us = [*self._offsets_us[1 - MAX_STEPS :], offset_us]

    def started_us(self, endpoint: str, boot_ms: int) -> int:
        """Return when an endpoint started; 0: long ago."""
        if not boot_ms:
            return 0
        known = self._known.get(endpoint)
        if known is not None and known[0] == boot_ms:
            return known[1]
        started_us = min(clock_us(), boot_ms * 1000 + self.offset_us)
        self._known[endpoint] = (boot_ms, started_us)
        return started_us

    def forget(self, endpoint: str) -> None:
        """Forget an endpoint that is no longer listed."""
        self._known.pop(endpoint, None)

    def forget_unlisted(self, listed: Container[str]) -> None:
        """Forget the endpoints that are no longer listed."""
        self._known = {name: times for name, times in self._known.items() if name in listed}
