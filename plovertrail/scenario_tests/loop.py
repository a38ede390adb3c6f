"""An event loop whose time is played: it goes on to the next timer at once."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Callable
from contextvars import Context
from typing import Any

START_S = 1_000.0  # hazard: a clock that starts at nothing hides a 0 that is taken for "never"
ROUNDING = 1e-9
TIE = 4e-7  # seconds: what falls on one microsecond comes in an order that the seed chooses


class _Selector(selectors.SelectSelector):
    """Waits for no descriptor: the time till the next timer is passed over."""

    loop: VirtualLoop

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("nothing is left to happen, and something is waited for")
        if timeout > 0:
            self.loop.now += timeout
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """One rehearsal's. Nothing may wait for a thread or a descriptor on it."""

    def __init__(self, seed: int) -> None:
        selector = _Selector()
        selector.loop = self
        self.now = START_S
        self.ties = random.Random(seed)
        super().__init__(selector)

    def time(self) -> float:
        """The virtual time in seconds, in place of the system's monotonic clock."""
        return self.now

    def nanoseconds(self) -> int:
        """For the clock of the decisions."""
        # hazard: a sum of times a hair below a whole microsecond would be counted as the one before
        return int((self.now + ROUNDING) * 1e6) * 1000

    def call_at(  # type: ignore[override]  # its arguments' types are the caller's to match
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Timers of one microsecond fire in any order, as they do where time is real."""
        return super().call_at(when + self.ties.random() * TIE, callback, *args, context=context)
