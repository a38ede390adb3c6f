"""The circuit breaker of a hook (Nygard, "Release It!", 2007). It has no clock: calls are given the time.

A hook is switched off when most of its recent calls faulted, or when its faults take too much of the event
loop's time. A few faults among many successful calls do not switch it off: otherwise anyone who knows an
input on which it faults could disable a route.
"""

from __future__ import annotations

# calls of the moving average: eleven faults in a row after successful calls switch the hook off
FAULT_AVERAGE_CALLS = 16
MAX_FAULT_SHARE = 0.5
MAX_TIME_SHARE = 0.05  # of the event loop's time that faults may take in the long run
MAX_EXCESS_US = 250_000  # that faults may take beyond that share
INITIAL_PAUSE_US = 10_000_000
MAX_PAUSE_US = 600_000_000  # the pause doubles with each failed trial, up to this


class CircuitBreaker:
    """The circuit breaker of one hook; while it is off, a trial call is allowed after each pause."""

    def __init__(self) -> None:
        self.fault_share = 0.0  # moving average over calls, from 0 to 1
        self.excess_us = 0.0  # time taken by faults beyond their share
        self.updated_us = 0  # when `excess_us` was updated
        self.off_until_us = 0  # 0 = on
        self.pause_us = INITIAL_PAUSE_US

    def allows_call(self, now_us: int) -> bool:
        """Whether the hook may be called now."""
        return now_us >= self.off_until_us

    def until_trial_us(self, now_us: int) -> int:
        """Return the time until the next trial; 0 if calls are allowed."""
        return max(0, self.off_until_us - now_us)

    def record_success(self) -> bool:
        """Record a successful call; return whether it switches the hook on again."""
        self.fault_share -= self.fault_share / FAULT_AVERAGE_CALLS
        if not self.off_until_us:
            return False
        self.off_until_us, self.pause_us = 0, INITIAL_PAUSE_US
        self.fault_share = self.excess_us = 0.0
        return True

    def record_fault(self, now_us: int, duration_us: int) -> bool:
        """Record a call that faulted; return whether it switches the hook off, or leaves it off."""
        self.fault_share += (1.0 - self.fault_share) / FAULT_AVERAGE_CALLS
        allowed_us = MAX_TIME_SHARE * (now_us - self.updated_us)
        self.excess_us, self.updated_us = max(0.0, self.excess_us - allowed_us) + duration_us, now_us
        if self.off_until_us:  # the trial failed
            self.pause_us = min(2 * self.pause_us, MAX_PAUSE_US)
        elif self.fault_share <= MAX_FAULT_SHARE and self.excess_us <= MAX_EXCESS_US:
            return False
        self.off_until_us = now_us + self.pause_us
        return True
