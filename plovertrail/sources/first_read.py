"""The first read of all lists of a configuration, bounded in time, with one settling time for all of them."""

from __future__ import annotations

import queue
import time

from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.sources.file_reading import SETTLE_S
from plovertrail.sources.read_workers import Reading, ReadJob, ReadWorkers
from plovertrail.sources.subscriptions import FollowedSource

FIRST_READ_S = 3.0  # the longest that a start waits for its lists
FIRST_CHECK_INTERVAL_S = 0.02  # between two checks whether the worker hangs
FIRST_HANG_CHECKS = 5  # after so many checks (0.1 s) at one read, another thread reads the other sources
FirstReading = tuple[ReadJob, Reading, int]  # with `ReadJob.begun` of the read
FirstRead = EndpointList | str  # a list, or what is wrong with it


class FirstReads:
    """Reads sources while the caller waits, which at a start is the loop's thread; one call at a time."""

    def __init__(self, workers: ReadWorkers) -> None:
        self.workers = workers
        self.readings: queue.SimpleQueue[FirstReading] | None = None  # None while no caller waits

    def note(self, job: ReadJob, reading: Reading, begun: int) -> None:
        """Pass on a reading to the waiting caller; called on the worker's thread."""
        readings = self.readings
        if readings is not None:
            readings.put((job, reading, begun))

    def read(self, followed: list[FollowedSource]) -> dict[SourceKey, FirstRead]:
        """Read all sources, then once more those that have not settled, after one settling time for all."""
        # A source that hangs already would make a reload wait in vain.
        waiting = {each.job: each.version.key for each in followed if not each.version.is_hung}
        found: dict[SourceKey, FirstRead] = {
            each.version.key: each.version.problem or "it was not read in time" for each in followed
        }
        self.readings = queue.SimpleQueue()
        ends_s = time.monotonic() + FIRST_READ_S
        unsettled = self._collect(self.readings, waiting, found, ends_s)
        if unsettled:
            time.sleep(max(0.0, min(SETTLE_S + 0.05, ends_s - time.monotonic())))
            self._collect(self.readings, {job: waiting[job] for job in unsettled}, found, ends_s)
        self.readings = None
        for each in followed:
            if isinstance(found[each.version.key], str) and each.last_good is not None:
                found[each.version.key] = each.last_good  # its problem is reported on delivery
        return found

    def _collect(
        self,
        readings: queue.SimpleQueue[FirstReading],
        waiting: dict[ReadJob, SourceKey],
        found: dict[SourceKey, FirstRead],
        ends_s: float,
    ) -> list[ReadJob]:
        """Read each source once; returns those that have not settled."""
        unsettled: list[ReadJob] = []
        last_busy, unchanged_checks = None, 0
        left = {job: self.workers.submit(job, awaited=True) for job in waiting}
        while left and time.monotonic() < ends_s:
            try:
                job, reading, begun = readings.get(timeout=FIRST_CHECK_INTERVAL_S)
            except queue.Empty:
                busy = self.workers.busy()
                last_busy, unchanged_checks = busy, unchanged_checks + 1 if busy == last_busy else 1
                if busy is not None and unchanged_checks >= FIRST_HANG_CHECKS:
                    self.workers.hand_over(*busy)
                continue
            if job not in left or begun < left[job]:
                continue  # this read began before the call, when the file may not have settled
            del left[job]
            if reading.listed is None and not reading.problem:
                unsettled.append(job)
                found[waiting[job]] = "it has not settled yet"
            else:
                found[waiting[job]] = reading.listed or reading.problem
        return unsettled
