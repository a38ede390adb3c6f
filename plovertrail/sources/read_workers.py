"""Threads that read sources, arranged so that a read that hangs blocks no other source.

One thread at a time reads the queued sources, one after the other. A watchdog calls `hand_over` when it has
been at one source for too long: that thread is abandoned, and another one reads the rest. A source has at
most one read in flight.
"""

from __future__ import annotations

import logging
import threading
import time
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.sources.file_reading import FileSource, describe_error
from plovertrail.sources.lists import InvalidListError

log = logging.getLogger(__name__)

MAX_STUCK_THREADS = 8  # threads whose reads hang; with so many, no further source is read
Clock = Callable[[], float]  # seconds of a monotonic clock


@dataclass(frozen=True, slots=True)
class Reading:
    """The result of one read; with neither a list nor a problem the source has not settled yet."""

    listed: EndpointList | None
    problem: str
    changed: bool  # since the previous read
    may_change: bool  # modified so recently that its times may not show the next change
    opened: bool  # a file was opened, as its times had changed or were recent
    is_folder: bool
    is_linked: bool
    digest: str
    cost_s: float  # CPU time of the thread


class ReadJob:
    """A source in the queue; everything but `source` is guarded by the workers' lock."""

    def __init__(self, source: FileSource) -> None:
        self.source = source
        self.requested = 0  # number of reads requested so far
        self.begun = 0  # value of `requested` when the last read began
        self.queued = False
        self.in_flight = False
        self.awaited = False  # a caller waits for the next read, even if it finds nothing new
        self.dropped = False  # the source has no subscriptions any more


class ReadWorker:
    """One thread, and the job that it works on."""

    def __init__(self, run: Callable[[ReadWorker], None], number: int) -> None:
        self.job: ReadJob | None = None
        self.read_number = 0  # grows with each read, to tell one long read from many short ones
        self.abandoned = False
        # A thread that hangs would keep the process from exiting unless it is a daemon thread.
        self.thread = threading.Thread(target=run, args=(self,), name=f"list-reader-{number}", daemon=True)


def read_source(source: FileSource, clock: Clock) -> Reading:
    """Read a source once; an error is reported in the reading."""
    began_s = time.thread_time()
    candidate, refusal, new = None, "", False
    try:
        new, candidate = source.read(clock())
    except (InvalidListError, OSError) as error:
        refusal = describe_error(error)
    except Exception as error:
        # A fault in one source must not end the thread: no drain in any file would be seen any more.
        log.exception("source read failed source=%s", source.name)
        refusal = f"it can't be read: {error!r}"
    cost_s = time.thread_time() - began_s
    return Reading(
        candidate,
        refusal,
        new,
        source.may_change,
        source.opened,
        source.is_folder,
        source.is_linked,
        source.digest if candidate is not None else "",
        cost_s,
    )


class ReadWorkers:
    """The queue of reads and the threads that work on it; may be called from any thread."""

    def __init__(self, read: Callable[[ReadJob, Reading, int, bool], None], clock: Clock) -> None:
        self.read = read  # called on the worker's thread with the job, the reading, `begun` and `awaited`
        self.clock = clock
        self.lock = threading.Condition()
        self.pending: deque[ReadJob] = deque()
        self.worker: ReadWorker | None = None  # the one that takes pending jobs
        self.stuck: set[ReadWorker] = set()  # abandoned ones whose reads have not ended
        self.started = 0  # number of threads started
        self.closed = False

    def submit(self, job: ReadJob, awaited: bool = False) -> int:
        """Queue a read of a source; returns the number of the request.

        A read whose `begun` is at least that number began after the request. If one is in flight, another
        one follows it.
        """
        with self.lock:
            requested = self._submit(job, awaited)
            self._wake()
            return requested

    def submit_all(self, jobs: Iterable[ReadJob]) -> None:
        """Queue reads of these sources, in this order."""
        with self.lock:
            for job in jobs:
                self._submit(job, False)
            self._wake()

    def _submit(self, job: ReadJob, awaited: bool) -> int:
        job.requested += 1
        job.awaited |= awaited
        if not job.queued and not job.in_flight:
            job.queued = True
            self.pending.append(job)
        return job.requested

    def drop(self, job: ReadJob) -> None:
        """Note that the source has no subscriptions any more."""
        with self.lock:
            job.dropped = True

    def busy(self) -> tuple[ReadWorker, int] | None:
        """Return the worker and the number of its read; None if there is nothing to read."""
        with self.lock:
            worker = self.worker
            if worker is None or (worker.job is None and not self.pending):
                return None
            return worker, worker.read_number

    def hand_over(self, worker: ReadWorker, read_number: int) -> None:
        """Abandon the worker if it is still at the same read, and start another one."""
        with self.lock:
            if worker is not self.worker or worker.read_number != read_number or worker.job is None:
                return
            worker.abandoned = True
            self.stuck.add(worker)
            self.worker = None
            self._start_worker()

    def hanging(self) -> list[ReadJob]:
        """Return the jobs whose reads hang."""
        with self.lock:
            return [worker.job for worker in self.stuck if worker.job is not None]

    def untried(self) -> list[ReadJob]:
        """Return the jobs that can't begin because too many threads hang."""
        with self.lock:
            return list(self.pending) if self.worker is None and len(self.stuck) >= MAX_STUCK_THREADS else []

    def close(self) -> None:
        """Stop all reads; those that hang are abandoned."""
        with self.lock:
            self.closed = True
            self.pending.clear()
            self.lock.notify_all()

    def _wake(self) -> None:
        """Start a worker if jobs are pending and there is none; otherwise wake it."""
        if self.pending and self.worker is None:
            self._start_worker()
        self.lock.notify_all()

    def _start_worker(self) -> None:
        if self.closed or len(self.stuck) >= MAX_STUCK_THREADS:
            return
        self.started += 1
        self.worker = ReadWorker(self._work, self.started)
        self.worker.thread.start()

    def _work(self, worker: ReadWorker) -> None:
        while (job := self._next(worker)) is not None:
            with self.lock:
                begun, awaited = job.begun, job.awaited
                job.awaited = False
            reading = read_source(job.source, self.clock)
            # This comes before the job can be queued again, or a later read could be handled first.
            self.read(job, reading, begun, awaited)
            self._read_ended(worker, job)

    def _next(self, worker: ReadWorker) -> ReadJob | None:
        with self.lock:
            while not self.pending and not self.closed and not worker.abandoned:
                self.lock.wait()
            if self.closed or worker.abandoned:
                return None
            job = self.pending.popleft()
            job.queued, job.in_flight, job.begun = False, True, job.requested
            worker.job = job
            worker.read_number += 1
            return job

    def _read_ended(self, worker: ReadWorker, job: ReadJob) -> None:
        """Finish a job after its reading was handled; queue it again if it was requested meanwhile."""
        with self.lock:
            worker.job = None
            job.in_flight = False
            self.stuck.discard(worker)
            if job.requested > job.begun and not job.dropped and not self.closed:
                job.queued = True
                self.pending.append(job)
            self._wake()
