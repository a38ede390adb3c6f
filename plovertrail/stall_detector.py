"""An event loop that notices when its process has stood still, before it acts on what has come since."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable

from plovertrail.clock import clock_us
from plovertrail.decisions.recovery import LONGEST_IDLE_WAIT_US, StallDetector


class StallDetectingSelector(selectors.DefaultSelector):
    """Hazard: after a stop the loop finds answers, requests, connections that came up and timers due all at
    once, and any of them may send by what was known before. So the gap is told before all of them."""

    def __init__(self) -> None:
        super().__init__()
        self.detector = StallDetector(clock_us())
        self.on_gap: Callable[[int], None] = lambda gap_us: None  # for how long it stood still

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for ready files as the base class does, for LONGEST_IDLE_WAIT_US at most whatever `timeout`
        (in seconds) says. Calls `on_gap` before it returns if the process stood still."""
        longest_us = (
            LONGEST_IDLE_WAIT_US if timeout is None else max(0, min(LONGEST_IDLE_WAIT_US, int(timeout * 1e6)))
        )
        gap_us = self.detector.before_wait(clock_us(), longest_us)
        found = super().select(longest_us / 1e6)
        gap_us = max(gap_us, self.detector.after_wait(clock_us()))
        if gap_us:
            self.on_gap(gap_us)
        return found


class StallDetectingLoop(asyncio.SelectorEventLoop):
    """asyncio's own loop on such a selector."""

    def __init__(self) -> None:
        self.stall_selector = StallDetectingSelector()
        super().__init__(self.stall_selector)

    def stale(self) -> bool:
        """Whether the turn under way began too long ago."""
        return self.stall_selector.detector.stale(clock_us())


def turn_staleness(loop: asyncio.AbstractEventLoop) -> Callable[[], bool]:
    """What tells whether the present turn of a loop began too long ago to act on; of other loops, never."""
    return loop.stale if isinstance(loop, StallDetectingLoop) else lambda: False
