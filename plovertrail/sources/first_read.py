"""The first read of all lists of a setup: one pass, one settling time, bounded in time."""

from __future__ import annotations

import queue
import time

from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.sources.file_reading import SETTLE_S
from plovertrail.sources.read_workers import Reading, ReadJob, ReadWorkers
from plovertrail.sources.subscriptions import Followed

FIRST_READ_S = 3.0  # a start waits no longer for its lists
FIRST_WAIT_S = 0.02  # between two looks at the worker meanwhile
FIRST_SIGHTINGS = 5  # a start goes on with other sources after 0.1 s
FirstReading = tuple[ReadJob, Reading, int]  # with the number of the call that its look came after
FirstRead = EndpointList | str  # a list, or what is wrong with it


class FirstReads:
    """Blocks its caller, which may be the loop's thread at a start; one at a time."""

    def __init__(self, workers: ReadWorkers) -> None:
        self.workers = workers
        self.readings: queue.SimpleQueue[FirstReading] | None = None  # None: nobody waits

    def note(self, job: ReadJob, reading: Reading, begun: int) -> None:
        """On the worker's thread: a look has ended."""
        readings = self.readings
        if readings is not None:
            readings.put((job, reading, begun))

    def read(self, followed: list[Followed]) -> dict[SourceKey, FirstRead]:
        """Read all, and once more those that have not settled: one settling time for all of them."""
        # hazard: a reload would wait in vain for what hangs already
        waiting = {each.job: each.version.key for each in followed if not each.version.hung}
        found: dict[SourceKey, FirstRead] = {
            each.version.key: each.version.complaint or "it was not read in time" for each in followed
        }
        self.readings = queue.SimpleQueue()
        ends_s = time.monotonic() + FIRST_READ_S
        unsettled = self._collect(self.readings, waiting, found, ends_s)
        if unsettled:
            time.sleep(max(0.0, min(SETTLE_S + 0.05, ends_s - time.monotonic())))
            self._collect(self.readings, {job: waiting[job] for job in unsettled}, found, ends_s)
        self.readings = None
        for each in followed:
            if isinstance(found[each.version.key], str) and each.candidate is not None:
                found[each.version.key] = each.candidate  # the last good one; what is wrong is told later
        return found

    def _collect(
        self,
        readings: queue.SimpleQueue[FirstReading],
        waiting: dict[ReadJob, SourceKey],
        found: dict[SourceKey, FirstRead],
        ends_s: float,
    ) -> list[ReadJob]:
        """One look at each; returns those that have not settled."""
        unsettled: list[ReadJob] = []
        sighted, sightings = None, 0
        left = {job: self.workers.submit(job, wanted=True) for job in waiting}
        while left and time.monotonic() < ends_s:
            try:
                job, reading, begun = readings.get(timeout=FIRST_WAIT_S)
            except queue.Empty:
                busy = self.workers.busy()
                sighted, sightings = busy, sightings + 1 if busy == sighted else 1
                if busy is not None and sightings >= FIRST_SIGHTINGS:
                    self.workers.hand_over(*busy)
                continue
            if job not in left or begun < left[job]:
                continue  # hazard: a quick look that came before would tell what had not settled then
            del left[job]
            if reading.candidate is None and not reading.refusal:
                unsettled.append(job)
                found[waiting[job]] = "it has not settled yet"
            else:
                found[waiting[job]] = reading.candidate or reading.refusal
        return unsettled
