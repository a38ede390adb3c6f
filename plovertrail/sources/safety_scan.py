"""The regular scan of all sources, which finds changes whose notifications were lost."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Collection

from plovertrail.decisions.list_versions import ScanSchedule
from plovertrail.sources.read_workers import Reading, ReadJob
from plovertrail.sources.subscriptions import FollowedSource

log = logging.getLogger(__name__)


class SafetyScan:
    """Reads all sources at intervals, and measures the cost.

    `sources` returns all sources that have subscriptions; `submit` queues their reads.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sources: Callable[[], Collection[FollowedSource]],
        submit: Callable[[Collection[FollowedSource]], None],
    ) -> None:
        self.loop = loop
        self.sources = sources
        self.submit = submit
        self.schedule = ScanSchedule()
        self.timer: asyncio.TimerHandle | None = None
        self.began_us = 0  # 0: no scan has begun
        self.ended_us = 0  # when the latest source of the current scan was read
        self.cost_s = 0.0  # of reads that opened no file, since the scan began; set by the worker
        self.pending: set[ReadJob] = set()  # not read yet in the current scan; changed by the worker
        self.closed = False

    def ensure_scheduled(self) -> None:
        """Schedule the next scan unless one is scheduled already."""
        if self.timer is None:
            self.timer = self.loop.call_later(self.schedule.period_us / 1e6, self.begin)

    def begin(self) -> None:
        """End the previous scan and begin the next: read all sources, whatever was notified."""
        self.timer = None
        if not self.sources() or self.closed:
            return
        now_us = self._now_us()
        was_too_slow = self.schedule.too_slow
        if self.began_us:
            ended_us = now_us if self.pending else self.ended_us
            self.schedule.scan_ended(int(self.cost_s * 1e6), ended_us - self.began_us)
        if self.schedule.too_slow and not was_too_slow:
            log.error("safety scan too slow: %s", self.problem())
        self.began_us = now_us
        self.ended_us = now_us
        self.cost_s = 0.0
        # A source that hangs would make every scan look slow.
        self.pending = {each.job for each in self.sources() if not each.version.is_hung}
        self.submit(self.sources())
        self.ensure_scheduled()

    def source_read(self, job: ReadJob, reading: Reading, now_us: int) -> None:
        """Account for a read; called on the worker's thread."""
        if not reading.opened:
            self.cost_s += reading.cost_s
        if job in self.pending:
            self.pending.discard(job)
            self.ended_us = now_us

    def problem(self) -> str:
        """Return what is wrong with the scan, or an empty text."""
        if not self.schedule.too_slow:
            return ""
        return (
            f"the scan of {len(self.sources())} files takes so long that a change which no notification "
            f"tells of is seen within {self.schedule.detection_us / 1e6:.1f} s only"
        )

    def close(self) -> None:
        """Stop the scans."""
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()

    def _now_us(self) -> int:
        return int(self.loop.time() * 1e6)
