"""When a hook that faults too often is switched off, and when it is tried again (Nygard, "Release It!", 2007:
the circuit breaker). No clock: each call is given the time.

Off it goes when most of its last calls faulted, or when its faults take too much of the loop's time. A few
faults among many good calls don't do it: else anyone who knows one input that it trips over could switch a
route off.
"""

from __future__ import annotations

# calls that make up the share of faults: eleven in a row from a good state are too many
FAULT_AVERAGE_CALLS = 16
MAX_FAULT_SHARE = 0.5
MAX_TIME_SHARE = 0.05  # of the loop's time that faults may take in the long run,
MAX_EXCESS_US = 250_000  # and what they may take beyond that
INITIAL_PAUSE_US = 10_000_000
MAX_PAUSE_US = 600_000_000  # doubled for each trial that fails, up to this


class CircuitBreaker:
    """One hook's. Off, it lets one call through as a trial each time its pause is over."""

    def __init__(self) -> None:
        self.fault_share = 0.0  # share of the last calls
        self.excess_us = 0.0  # by faults, beyond their share of the time
        self.updated_us = 0  # when that was reckoned
        self.off_until_us = 0  # 0 = on
        self.pause_us = INITIAL_PAUSE_US

    def allows_call(self, now_us: int) -> bool:
        """Whether the hook may be called now."""
        return now_us >= self.off_until_us

    def until_trial_us(self, now_us: int) -> int:
        """Till the next trial, in microseconds."""
        return max(0, self.off_until_us - now_us)

    def record_success(self) -> bool:
        """A call went well; whether that switches the hook on again."""
        self.fault_share -= self.fault_share / FAULT_AVERAGE_CALLS
        if not self.off_until_us:
            return False
        self.off_until_us, self.pause_us = 0, INITIAL_PAUSE_US
        self.fault_share = self.excess_us = 0.0
        return True

    def record_fault(self, now_us: int, duration_us: int) -> bool:
        """A call went wrong after so long; whether that switches the hook off."""
        self.fault_share += (1.0 - self.fault_share) / FAULT_AVERAGE_CALLS
        allowed_us = MAX_TIME_SHARE * (now_us - self.updated_us)
        self.excess_us, self.updated_us = max(0.0, self.excess_us - allowed_us) + duration_us, now_us
        if self.off_until_us:  # the trial failed
            self.pause_us = min(2 * self.pause_us, MAX_PAUSE_US)
        elif self.fault_share <= MAX_FAULT_SHARE and self.excess_us <= MAX_EXCESS_US:
            return False
        self.off_until_us = now_us + self.pause_us
        return True
