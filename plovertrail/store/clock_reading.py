"""Readings of the clocks, by which stored times are converted."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The monotonic clock and the system clock, read at the same moment, in microseconds."""

    now_us: int  # monotonic
    unix_us: int
    boot_id: str = ""  # identifies the boot from which the monotonic clock counts; empty if unknown

    @property
    def offset_us(self) -> int:
        """Unix time minus the monotonic clock."""
        return self.unix_us - self.now_us
