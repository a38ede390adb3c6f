"""The reader of all watched files of a process: endpoint lists, lists of instances, the operator's file.

Subscribers name a path. A file with several subscribers is read and parsed once, and a change is delivered to
its subscribers, one per turn of the loop. Changes are found by file notifications, and by a regular safety
scan in case a notification is lost. docs/membership.md has the design.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from plovertrail.decisions.list_versions import (
    AcceptedContent,
    ReadState,
    SourceKey,
    SourceVersion,
    version_status,
)
from plovertrail.sources.delivery_queue import DeliveryQueue
from plovertrail.sources.file_notifications import FolderNotifications
from plovertrail.sources.file_reading import LOCAL, FileSource, FileSystem
from plovertrail.sources.first_read import FirstRead, FirstReads
from plovertrail.sources.hang_watchdog import HangWatchdog
from plovertrail.sources.quick_looks import QuickLooks
from plovertrail.sources.read_workers import MAX_STUCK_THREADS, Reading, ReadJob, ReadWorkers
from plovertrail.sources.safety_scan import SafetyScan
from plovertrail.sources.source_table import SourceTable
from plovertrail.sources.subscriptions import FollowedSource, OnList, OnProblem, Subscription

log = logging.getLogger(__name__)

MAX_READINGS_A_TURN = 32
Result = TypeVar("Result")


class ListReader:
    """Reads sources through `files` on threads, and delivers to subscribers on one event loop."""

    def __init__(self, files: FileSystem = LOCAL, notifications: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.files = files
        self.sources = SourceTable()
        self.workers = ReadWorkers(self._read_on_thread, time.monotonic)
        self.notifications = FolderNotifications(self._notified_on_thread) if notifications else None
        self.in_force = AcceptedContent()
        self.scan = SafetyScan(self.loop, self.sources.all, self._submit)
        self.watchdog = HangWatchdog(self.loop, self.workers, self._source_hangs)
        self.deliveries = DeliveryQueue(self.loop)
        self.first_reads = FirstReads(self.workers)
        self.readings: deque[tuple[FollowedSource, Reading, int]] = deque()  # still to be applied on the loop
        self.next_turn: asyncio.Handle | None = None  # the turn in which more of them are applied
        self.quick_looks = QuickLooks(self.loop, self._submit)
        self.watch_update: asyncio.Handle | None = None
        self.executor: ThreadPoolExecutor | None = None
        self.closed = False

    # Subscribers

    def subscribe(
        self, key: SourceKey, subscriber: str, on_list: OnList, on_problem: OnProblem
    ) -> Subscription:
        """Deliver the content of a source to a subscriber, now and whenever it changes."""
        followed = self._follow(key)
        subscription = Subscription(self, followed, subscriber, on_list, on_problem)
        followed.subscriptions.append(subscription)
        if followed.version.state is ReadState.UNREAD:
            self._submit([followed])
        else:
            self.queue_delivery(subscription)
        return subscription

    def unsubscribed(self, subscription: Subscription) -> None:
        """Remove a subscription, and the source if it was the last one."""
        followed = subscription.followed
        self.in_force.drop(subscription.subscriber, subscription.key)
        followed.subscriptions.remove(subscription)
        if not followed.subscriptions:
            self._drop(followed)

    def drop_unfollowed(self) -> None:
        """Remove the sources that were read for a configuration that was not applied."""
        for followed in list(self.sources.all()):
            if not followed.subscriptions:
                self._drop(followed)

    def queue_delivery(self, subscription: Subscription) -> None:
        """Queue a delivery to a subscriber."""
        self.deliveries.put(subscription)

    def _follow(self, key: SourceKey) -> FollowedSource:
        followed = self.sources.by_key.get(key)
        if followed is None:
            source = FileSource(key.path, key.checksum, self.files, key.kind)
            followed = FollowedSource(ReadJob(source), SourceVersion(key))
            self.sources.add(followed)
            self._update_watches()
            self.scan.ensure_scheduled()
        return followed

    def _drop(self, followed: FollowedSource) -> None:
        self.quick_looks.remove(followed.version.key)
        self.workers.drop(followed.job)
        _wake_waiters(followed, followed.job.requested)
        self.sources.remove(followed)
        self._update_watches()

    # The first read

    async def first_read(self, keys: Iterable[SourceKey]) -> dict[SourceKey, FirstRead]:
        """Read these sources now, within FIRST_READ_S, without blocking the loop."""
        followed = [self._follow(key) for key in dict.fromkeys(keys)]
        return await asyncio.to_thread(self.first_reads.read, followed)

    def first_read_blocking(self, keys: Iterable[SourceKey]) -> dict[SourceKey, FirstRead]:
        """Read these sources now and block the loop, which at a start has nothing else to do."""
        return self.first_reads.read([self._follow(key) for key in dict.fromkeys(keys)])

    # Reads

    async def read_now(self, followed: FollowedSource) -> None:
        """Return once a read of the source that began after this call has ended, or hangs."""
        ended: asyncio.Future[None] = self.loop.create_future()
        followed.waiters.append((self.workers.submit(followed.job, awaited=True), ended))
        self.watchdog.arm()
        await ended

    def _submit(self, followed: Collection[FollowedSource]) -> None:
        self.workers.submit_all([each.job for each in followed])
        self.watchdog.arm()

    def _read_on_thread(self, job: ReadJob, reading: Reading, begun: int, awaited: bool) -> None:
        """Handle a read on the worker's thread.

        Reads that found nothing new are not passed to the loop, or it would wake up for every source.
        """
        now_us = self._now_us()
        self.scan.source_read(job, reading, now_us)
        self.first_reads.note(job, reading, begun)
        followed = self.sources.by_key.get(job.source.key)
        if followed is None:
            return
        followed.may_change = reading.may_change
        if awaited or not _nothing_new(followed, reading):
            self.readings.append((followed, reading, begun))
            self._call_on_loop(self._apply_readings)
        else:
            followed.version.read_us = now_us

    def _apply_readings(self) -> None:
        """Apply a limited number of readings, so that 200 files that change at once take several turns."""
        if self.next_turn is None:
            for _ in range(min(MAX_READINGS_A_TURN, len(self.readings))):
                self._apply_reading(*self.readings.popleft())
            if self.readings and not self.closed:
                self.next_turn = self.loop.call_soon(self._apply_next_readings)

    def _apply_next_readings(self) -> None:
        self.next_turn = None
        self._apply_readings()

    def _apply_reading(self, followed: FollowedSource, reading: Reading, begun: int) -> None:
        """Update a source with a reading, and queue deliveries if its content has changed."""
        version = followed.version
        if self.sources.by_key.get(version.key) is not followed:
            return
        was_hung = version.is_hung
        followed.is_linked = reading.is_linked
        if followed.is_folder != reading.is_folder:
            followed.is_folder = reading.is_folder
            self._update_watches()
        followed.settled = reading.listed is not None or bool(reading.problem)
        changed = self._update_version(followed, reading)
        if reading.may_change or not followed.settled or was_hung:
            self.quick_looks.add(followed)
        if changed:
            self._queue_deliveries(followed)
        _wake_waiters(followed, begun)

    def _update_version(self, followed: FollowedSource, reading: Reading) -> bool:
        """Update a source's version; returns whether there is something to deliver."""
        version = followed.version
        now_us = self._now_us()
        if reading.listed is not None:
            followed.last_good = reading.listed
            count = len(reading.listed.endpoints)
            return version.list_accepted(
                reading.listed.version, reading.digest, count, reading.changed, now_us
            )
        if reading.problem:
            return version.list_rejected(reading.problem, now_us)
        version.not_settled(now_us)
        return False

    def _source_hangs(self, job: ReadJob, tried: bool) -> None:
        """Note that a read of a source hangs, or can't begin."""
        followed = self.sources.by_key.get(job.source.key)
        if followed is None or followed.job is not job:
            return
        if followed.version.read_hangs(tried, self._now_us()):
            log.error(
                "source hangs source=%s: %s; what was read last stays",
                job.source.name,
                followed.version.problem,
            )
            self._queue_deliveries(followed)
        followed.settled = True
        self.scan.pending.discard(job)
        _wake_waiters(followed, job.requested)

    def _queue_deliveries(self, followed: FollowedSource) -> None:
        for subscription in followed.subscriptions:
            self.queue_delivery(subscription)

    async def run_off_loop(self, work: Callable[[], Result]) -> Result:
        """Run long work for a subscriber on the reader's own executor, one call at a time."""
        if self.executor is None:
            self.executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="list-step")
        return await self.loop.run_in_executor(self.executor, work)

    # Notifications

    def _update_watches(self) -> None:
        if self.notifications is not None and self.watch_update is None and not self.closed:
            self.watch_update = self.loop.call_soon(self._watch_folders)

    def _watch_folders(self) -> None:
        self.watch_update = None
        if self.notifications is not None and not self.closed:
            self.notifications.follow(self.sources.folders_to_watch())

    def _notified_on_thread(self, paths: frozenset[str]) -> None:
        self._call_on_loop(self._notified, paths)

    def _notified(self, paths: frozenset[str]) -> None:
        """Read the sources that may have changed: all of them if there are no paths."""
        concerned = self.sources.concerned_by(paths) if paths else self.sources.all()
        if concerned or not paths:
            self._submit(concerned)

    # Status and end

    def status(self) -> dict[str, Any]:
        """Report all sources for operators, and which content is in force."""
        now_us = self._now_us()
        problems = [self.scan.problem()] if self.scan.schedule.too_slow else []
        if len(self.workers.stuck) >= MAX_STUCK_THREADS:
            problems.append(f"{MAX_STUCK_THREADS} reads hang: no further file is read until one comes back")
        return {
            "generation": self.in_force.generation,
            "digest": self.in_force.digest(),
            "setup_digest": self.in_force.configuration_digest,
            "notifications": _notifications_status(self.notifications),
            "scan_period_s": round(self.scan.schedule.period_us / 1e6, 3),
            "detects_within_s": round(self.scan.schedule.detection_us / 1e6, 3),
            "hung": [each.version.key.path for each in self.sources.all() if each.version.is_hung],
            "problems": problems,
            "sources": [_source_status(each, now_us) for each in self.sources.all()],
        }

    def stop(self) -> None:
        """Stop all reads; those that hang are abandoned."""
        self.closed = True
        if self.watch_update is not None:
            self.watch_update.cancel()
        self.quick_looks.close()
        self.scan.close()
        self.watchdog.close()
        self.deliveries.close()
        if self.notifications is not None:
            self.notifications.stop()
        self.workers.close()
        if self.executor is not None:
            self.executor.shutdown(wait=False)

    def _now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def _call_on_loop(self, call: Callable[..., None], *arguments: object) -> None:
        """Schedule a call on the loop from another thread; does nothing if the loop is closed."""
        try:
            self.loop.call_soon_threadsafe(call, *arguments)
        except RuntimeError:
            self.closed = True


def _notifications_status(notifications: FolderNotifications | None) -> str:
    """Report for operators whether notifications work."""
    if notifications is None:
        return "off"
    return notifications.problem or "on"


def _nothing_new(followed: FollowedSource, reading: Reading) -> bool:
    """Whether a read found the same as the one before it."""
    state = followed.version.state
    if reading.may_change and not followed.read_again_soon:
        return False
    if reading.listed is not None:
        return state is ReadState.GOOD and followed.settled and not reading.changed
    if reading.problem:
        return state is ReadState.REFUSED and followed.version.rejection == reading.problem
    return not followed.settled and state is not ReadState.UNREAD


def _wake_waiters(followed: FollowedSource, begun: int) -> None:
    """Wake the callers whose requests for a read came before this read began."""
    waiters = followed.waiters
    followed.waiters = []
    for requested, ended in waiters:
        if requested > begun:
            followed.waiters.append((requested, ended))
        elif not ended.done():
            ended.set_result(None)


def _source_status(followed: FollowedSource, now_us: int) -> dict[str, Any]:
    """Report one source for operators."""
    key = followed.version.key
    subscribers = sorted(each.subscriber for each in followed.subscriptions)
    return {
        "path": key.path,
        "kind": key.kind.value,
        "checksum": key.checksum,
        **version_status(followed.version, subscribers, now_us),
    }
