"""When a hook that faults too often is switched off, and when it is tried again (Nygard, "Release It!", 2007:
the circuit breaker). No clock: each call is given the time.

Off it goes when most of its last calls faulted, or when its faults take too much of the loop's time. A few
faults among many good calls don't do it: else anyone who knows one input that it trips over could switch a
route off.
"""

from __future__ import annotations

FAULT_MEMORY = 16  # calls that make up the share of faults: eleven in a row from a good state are too many
FAULT_SHARE = 0.5
TIME_SHARE = 0.05  # of the loop's time that faults may take in the long run,
MOST_FAULT_US = 250_000  # and what they may take beyond that
FIRST_OFF_US = 10_000_000
LONGEST_OFF_US = 600_000_000  # doubled for each trial that fails, up to this


class CircuitBreaker:
    """One hook's. Off, it lets one call through as a trial each time its pause is over."""

    def __init__(self) -> None:
        self.faults = 0.0  # share of the last calls
        self.spent_us = 0.0  # by faults, beyond their share of the time
        self.counted_us = 0  # when that was reckoned
        self.off_until_us = 0  # 0 = on
        self.pause_us = FIRST_OFF_US

    def allows_call(self, now_us: int) -> bool:
        """Whether the hook may be called now."""
        return now_us >= self.off_until_us

    def until_trial_us(self, now_us: int) -> int:
        """Till the next trial, in microseconds."""
        return max(0, self.off_until_us - now_us)

    def record_success(self) -> bool:
        """A call went well; whether that switches the hook on again."""
        self.faults -= self.faults / FAULT_MEMORY
        if not self.off_until_us:
            return False
        self.off_until_us, self.pause_us = 0, FIRST_OFF_US
        self.faults = self.spent_us = 0.0
        return True

    def record_fault(self, now_us: int, took_us: int) -> bool:
        """A call went wrong after so long; whether that switches the hook off."""
        self.faults += (1.0 - self.faults) / FAULT_MEMORY
        borne_us = TIME_SHARE * (now_us - self.counted_us)
        self.spent_us, self.counted_us = max(0.0, self.spent_us - borne_us) + took_us, now_us
        if self.off_until_us:  # the trial failed
            self.pause_us = min(2 * self.pause_us, LONGEST_OFF_US)
        elif self.faults <= FAULT_SHARE and self.spent_us <= MOST_FAULT_US:
            return False
        self.off_until_us = now_us + self.pause_us
        return True
