"""The wait for more of a response whose body looks cut off."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plovertrail.upstreams.deferred_response import TimedResponse


class RemainderWait:
    """Holds back one response at a time; calls `on_expiry` when nothing has followed it."""

    def __init__(self, on_expiry: Callable[[], None]) -> None:
        self._on_expiry = on_expiry
        self._response: TimedResponse | None = None
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, response: TimedResponse, wait_us: int) -> None:
        """Hold a response back for this time."""
        self._response = response
        self._timer = asyncio.get_running_loop().call_later(wait_us / 1e6, self._on_expiry)

    def take(self) -> TimedResponse | None:
        """End the wait, and return the response that was held back; None if none was."""
        response, self._response = self._response, None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        return response
