"""An event loop that detects that its process was paused, before it handles the events since then."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable
from typing import Protocol

from plovertrail.clock import clock_us
from plovertrail.decisions.recovery import MAX_IDLE_WAIT_US, StallDetector


class PauseListener(Protocol):
    """Is called after a pause, before any event that arrived meanwhile is handled."""

    def process_paused(self, paused_us: int) -> None:
        """Handle a pause of this length."""


class StallDetectingSelector(selectors.DefaultSelector):
    """A selector that reports a pause before it returns any events.

    After a pause the loop finds responses, requests, new connections and due timers all at once. Handling any
    of them may send a request by endpoint lists that are outdated.
    """

    def __init__(self) -> None:
        super().__init__()
        self.detector = StallDetector(clock_us())
        self.pause_listener: PauseListener | None = None

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait for ready files as the base class does, but for at most MAX_IDLE_WAIT_US.

        `timeout` is in seconds. The pause listener is called before this returns.
        """
        timeout_us = (
            MAX_IDLE_WAIT_US if timeout is None else max(0, min(MAX_IDLE_WAIT_US, int(timeout * 1e6)))
        )
        paused_us = self.detector.before_wait(clock_us(), timeout_us)
        events = super().select(timeout_us / 1e6)
        paused_us = max(paused_us, self.detector.after_wait(clock_us()))
        if paused_us and self.pause_listener is not None:
            self.pause_listener.process_paused(paused_us)
        return events


class StallDetectingLoop(asyncio.SelectorEventLoop):
    """asyncio's event loop with a selector that detects pauses."""

    def __init__(self) -> None:
        self._stall_selector = StallDetectingSelector()
        super().__init__(self._stall_selector)

    def notify_of_pauses(self, listener: PauseListener) -> None:
        """Call this listener after each pause, in place of the previous one."""
        self._stall_selector.pause_listener = listener

    def turn_is_stale(self) -> bool:
        """Whether the current iteration of the loop began too long ago."""
        return self._stall_selector.detector.turn_is_stale(clock_us())


def turn_staleness(loop: asyncio.AbstractEventLoop) -> Callable[[], bool]:
    """Return a check whether a loop's current iteration is stale; false for loops that detect no pauses."""
    return loop.turn_is_stale if isinstance(loop, StallDetectingLoop) else lambda: False
