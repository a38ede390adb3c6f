"""Threads that read sources one after the other, so that a read that hangs holds up no other source.

One thread works at a time. Whoever watches calls `hand_over` when it has been at one source for too long:
that thread is left to itself and another one goes on with the rest. A source has one read in flight at most.
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
    """What one read of a source found; with neither a list nor a problem it has not settled yet."""

    listed: EndpointList | None
    problem: str
    changed: bool  # since the read before
    may_change: bool  # it may change again under the same times
    opened: bool  # its bytes were read, as its times had changed or were recent
    is_folder: bool
    is_linked: bool
    digest: str
    cost_s: float  # of the thread's own time


class ReadJob:
    """A source in the queue; everything but `source` is guarded by the workers' lock."""

    def __init__(self, source: FileSource) -> None:
        self.source = source
        self.requested = 0  # number of reads that were asked for
        self.begun = 0  # `asked` when the last read began
        self.queued = False
        self.in_flight = False
        self.awaited = False  # somebody waits for the read, though it may find nothing new
        self.dropped = False  # nobody follows the source any more


class ReadWorker:
    """One thread, and the source that it reads."""

    def __init__(self, run: Callable[[ReadWorker], None], number: int) -> None:
        self.job: ReadJob | None = None
        self.read_number = 0  # grows with each source, which tells a long read from many short ones
        self.abandoned = False
        # A thread that hangs would keep the process from exiting unless it is a daemon thread.
        self.thread = threading.Thread(target=run, args=(self,), name=f"list-reader-{number}", daemon=True)


def read_source(source: FileSource, clock: Clock) -> Reading:
    """Read a source once; whatever is wrong with it is in the reading."""
    began_s = time.thread_time()
    candidate, refusal, new = None, "", False
    try:
        new, candidate = source.read(clock())
    except (InvalidListError, OSError) as error:
        refusal = describe_error(error)
    except Exception as error:
        # A fault with one source must not end the thread, and with it all drains in files.
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
        self.read = read  # called on the worker's thread with the job, what was found, `begun` and `wanted`
        self.clock = clock
        self.lock = threading.Condition()
        self.pending: deque[ReadJob] = deque()
        self.worker: ReadWorker | None = None  # the one that takes what is pending
        self.stuck: set[ReadWorker] = set()
        self.started = 0
        self.closed = False

    def submit(self, job: ReadJob, awaited: bool = False) -> int:
        """Read a source soon; returns the number of the call.

        A read whose `begun` is at least that number began after the call. One in flight is followed by
        another one.
        """
        with self.lock:
            requested = self._submit(job, awaited)
            self._wake()
            return requested

    def submit_all(self, jobs: Iterable[ReadJob]) -> None:
        """Read all of these soon, in this order."""
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
        """Note that nobody follows the source any more."""
        with self.lock:
            job.dropped = True

    def busy(self) -> tuple[ReadWorker, int] | None:
        """Return the worker that has something to read, and the number of its read; None: there is none."""
        with self.lock:
            worker = self.worker
            if worker is None or (worker.job is None and not self.pending):
                return None
            return worker, worker.read_number

    def hand_over(self, worker: ReadWorker, read_number: int) -> None:
        """Let another thread take over if this one is still at the same read."""
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
        """Return what waits though no further thread may be started for it."""
        with self.lock:
            return list(self.pending) if self.worker is None and len(self.stuck) >= MAX_STUCK_THREADS else []

    def close(self) -> None:
        """Read nothing more; reads that hang are abandoned."""
        with self.lock:
            self.closed = True
            self.pending.clear()
            self.lock.notify_all()

    def _wake(self) -> None:
        """Start a worker, or wake the one there is, if something is pending."""
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
            # Before the job may be queued again, or it could be handled after a later read.
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
        """Note that a read has ended and was handled."""
        with self.lock:
            worker.job = None
            job.in_flight = False
            self.stuck.discard(worker)
            if job.requested > job.begun and not job.dropped and not self.closed:
                job.queued = True
                self.pending.append(job)
            self._wake()
