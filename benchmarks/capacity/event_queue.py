"""A virtual clock: events run in the order of their times, and no time passes between them."""

from __future__ import annotations

import heapq
from collections.abc import Callable

SECOND_US = 1_000_000


class EventQueue:
    """Events at virtual times in microseconds; those of one time run in the order they were scheduled in."""

    def __init__(self) -> None:
        self.now_us = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._scheduled = 0

    @property
    def now_s(self) -> float:
        """The virtual time in seconds."""
        return self.now_us / SECOND_US

    def at(self, at_us: int, action: Callable[[], None]) -> None:
        """Run an action at a time, or now if that has passed."""
        self._scheduled += 1
        heapq.heappush(self._events, (max(at_us, self.now_us), self._scheduled, action))

    def after(self, delay_us: int, action: Callable[[], None]) -> None:
        """Run an action so much later."""
        self.at(self.now_us + delay_us, action)

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        ends_us = self.now_us + int(seconds * SECOND_US)
        while self._events and self._events[0][0] <= ends_us:
            self.now_us, _, action = heapq.heappop(self._events)
            action()
        self.now_us = ends_us
