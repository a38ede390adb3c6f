"""Limits the rate at which one instance of a fleet opens connections.

The algorithm is the virtual scheduling form of the generic cell rate algorithm (ITU-T I.371). Times are whole
microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

BURST = 4  # an instance with little traffic opens most of its connections in bursts


class ConnectRateLimiter:
    """Allows one connect per interval, and BURST in a row after an idle time.

    The first connect is allowed after a random fraction of the interval, and without a burst, so that the
    connects of a fleet that starts at the same time are spread over the interval.
    """

    def __init__(self, interval_us: int, now_us: int, start_fraction: float) -> None:
        self.interval_us = interval_us
        # when a full burst is allowed
        self.full_burst_us = self._first_full_burst_us(now_us, start_fraction)
        self.retry_us = now_us  # the last retry time that was reserved

    @property
    def next_us(self) -> int:
        """When the next connect is allowed; may be in the past."""
        return self.full_burst_us - self.interval_us * (BURST - 1)

    def allows(self, now_us: int) -> bool:
        """Whether a connection may be opened now."""
        return now_us >= self.next_us

    def consume(self, now_us: int) -> None:
        """Count a connect."""
        self.full_burst_us = max(self.full_burst_us, now_us) + self.interval_us

    def reserve_retry_us(self, now_us: int, longest_us: int) -> int:
        """Return when a client that was rejected for lack of a connection should retry.

        Each client gets the time of a different connect if one is left within `longest_us`. With the same
        time for all, they would return together for a single connect; with unbounded times, they would stay
        away while connects go unused.
        """
        at_us = max(self.retry_us + self.interval_us, self.next_us, now_us)
        if at_us > now_us + longest_us:  # all connects of that span are reserved: start over
            at_us = max(self.next_us, now_us)
        self.retry_us = at_us
        return at_us

    def process_paused(self, now_us: int, start_fraction: float) -> None:
        """Start over after a pause of the process.

        Otherwise the instances on a host that was frozen would all use their full bursts at the same time.
        """
        self.full_burst_us = max(self.full_burst_us, self._first_full_burst_us(now_us, start_fraction))

    def set_interval(self, interval_us: int, now_us: int) -> None:
        """Change the interval after the size of the fleet or endpoint list changed.

        Past connects count with the new interval; otherwise a long wait under the old one would continue.
        """
        used_intervals = max(0, self.full_burst_us - now_us) / self.interval_us
        self.interval_us = interval_us
        self.full_burst_us = now_us + int(used_intervals * interval_us)

    def _first_full_burst_us(self, now_us: int, start_fraction: float) -> int:
        return now_us + int(self.interval_us * start_fraction) + self.interval_us * (BURST - 1)
