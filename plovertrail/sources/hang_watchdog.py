"""Detects reads that hang, so that another thread reads the other sources."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from plovertrail.sources.read_workers import ReadJob, ReadWorker, ReadWorkers

CHECK_INTERVAL_S = 0.2
HANG_CHECKS = 3  # a worker that is at the same read in so many checks hangs (0.4 to 0.6 s)


class HangWatchdog:
    """Checks the read workers at intervals while they have something to read.

    `on_hang` is called with each job that hangs, and whether its read could begin at all.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        workers: ReadWorkers,
        on_hang: Callable[[ReadJob, bool], None],
    ) -> None:
        self.loop = loop
        self.workers = workers
        self.on_hang = on_hang
        self.timer: asyncio.TimerHandle | None = None
        self.last_busy: tuple[ReadWorker, int] | None = None  # a worker and the number of its read
        self.unchanged_checks = 0
        self.closed = False

    def arm(self) -> None:
        """Schedule the next check unless one is scheduled already."""
        if self.timer is None and not self.closed:
            self.timer = self.loop.call_later(CHECK_INTERVAL_S, self.check)

    def check(self) -> None:
        """Check whether the worker is still at the same read.

        Checks are counted instead of time, so that a pause of the whole process, during which its threads
        stood still too, doesn't look like a hanging read.
        """
        self.timer = None
        busy = self.workers.busy()
        self.unchanged_checks = (
            self.unchanged_checks + 1 if busy is not None and busy == self.last_busy else 1
        )
        self.last_busy = busy
        if busy is not None and self.unchanged_checks >= HANG_CHECKS:
            self.workers.hand_over(*busy)
        for job in self.workers.hanging():
            self.on_hang(job, True)
        for job in self.workers.untried():
            self.on_hang(job, False)
        if busy is not None:
            self.arm()

    def close(self) -> None:
        """Stop the checks."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
