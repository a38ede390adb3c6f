"""Stalls of the rig's own event loop: kept from garbage collection, and measured."""

from __future__ import annotations

import asyncio
import contextlib
import gc
from collections.abc import Iterator

LOOK_INTERVAL_S = 0.01
MIN_STALL_S = 0.03  # shorter delays leave the servers' answers well under the sidecars' limit of slow ones


@contextlib.contextmanager
def collector_paused() -> Iterator[None]:
    """Keep the garbage collector from stopping the servers and clients of a play.

    In a test process with a large heap, one full collection takes longer than a server works on a request.
    """
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
        gc.unfreeze()


class StallMeter:
    """Measures for how long the event loop ran nothing that was due."""

    def __init__(self) -> None:
        self.stalled_s = 0.0
        self._task = asyncio.create_task(self._watch())

    def stop(self) -> float:
        """End the measurement, and return the sum of all stalls in seconds."""
        self._task.cancel()
        return self.stalled_s

    async def _watch(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + LOOK_INTERVAL_S
            await asyncio.sleep(LOOK_INTERVAL_S)
            late_s = loop.time() - due
            if late_s >= MIN_STALL_S:
                self.stalled_s += late_s
