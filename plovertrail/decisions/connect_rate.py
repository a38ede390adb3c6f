"""The rate at which one instance of a fleet opens connections.

The algorithm is the virtual scheduling form of the generic cell rate algorithm (ITU-T I.371). Times are whole
microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

BURST = 4  # an instance with little traffic needs most of its connections in bunches


class ConnectRateLimiter:
    """Allows one connect in each interval, and BURST in a row after a pause.

    The first connect is allowed after a random part of the interval, with no burst before it, so that a fleet
    that starts at one moment is spread over the interval.
    """

    def __init__(self, interval_us: int, now_us: int, start_fraction: float) -> None:
        self.interval_us = interval_us
        self.full_burst_us = self._first_full_burst_us(
            now_us, start_fraction
        )  # when a whole burst is allowed
        self.retry_us = now_us  # the latest time that `reserve_retry_us` has returned

    @property
    def next_us(self) -> int:
        """When the next connect is allowed, or was."""
        return self.full_burst_us - self.interval_us * (BURST - 1)

    def allows(self, now_us: int) -> bool:
        """Whether a connection may be opened now."""
        return now_us >= self.next_us

    def consume(self, now_us: int) -> None:
        """A connection is being opened."""
        self.full_burst_us = max(self.full_burst_us, now_us) + self.interval_us

    def reserve_retry_us(self, now_us: int, longest_us: int) -> int:
        """Return when a client that was rejected for lack of a connection should retry.

        Each client gets a connect of its own, within `longest_us` if there is one. With the next connect
        told to all of them they would return together for a single one; with ever later ones they would stay
        away while connects go unused.
        """
        at_us = max(self.retry_us + self.interval_us, self.next_us, now_us)
        if at_us > now_us + longest_us:  # each connect of that span has been reserved once
            at_us = max(self.next_us, now_us)
        self.retry_us = at_us
        return at_us

    def process_paused(self, now_us: int, start_fraction: float) -> None:
        """The process was paused until now: begin as at a start.

        The bursts that a whole fleet on a frozen host has saved up would otherwise be used at one moment.
        """
        self.full_burst_us = max(self.full_burst_us, self._first_full_burst_us(now_us, start_fraction))

    def set_interval(self, interval_us: int, now_us: int) -> None:
        """The fleet or the endpoint list has another size: connects already made count in the new interval.

        A long wait that has begun under the old one would otherwise outlast it.
        """
        owed_intervals = max(0, self.full_burst_us - now_us) / self.interval_us
        self.interval_us = interval_us
        self.full_burst_us = now_us + int(owed_intervals * interval_us)

    def _first_full_burst_us(self, now_us: int, start_fraction: float) -> int:
        return now_us + int(self.interval_us * start_fraction) + self.interval_us * (BURST - 1)
