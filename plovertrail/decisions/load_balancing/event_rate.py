"""Estimates the recent rate of events."""

from __future__ import annotations

import math

TIME_CONSTANT_US = 5_000_000


class EventRate:
    """A rate of events as an exponential moving average."""

    __slots__ = ("per_second", "updated_at_us")

    def __init__(self, now_us: int) -> None:
        self.per_second = 0.0  # as of the most recent event
        self.updated_at_us = now_us

    def record(self, now_us: int) -> None:
        """Count one event."""
        decay = math.exp((self.updated_at_us - now_us) / TIME_CONSTANT_US)
        self.per_second = self.per_second * decay + 1_000_000 / TIME_CONSTANT_US
        self.updated_at_us = now_us
