"""The clocks at one moment, by which stored times are translated."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ClockReading:
    """The monotonic clock and the system's clock at one moment, in microseconds."""

    now_us: int  # monotonic
    unix_us: int
    boot_id: str = ""  # names the machine's start, from which the monotonic clock counts; empty: not known

    @property
    def offset_us(self) -> int:
        """Unix time less the monotonic clock."""
        return self.unix_us - self.now_us
