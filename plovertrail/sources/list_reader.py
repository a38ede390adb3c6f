"""The one reader of all watched files of a process: server lists, lists of instances, the operator's file.

Subscribers name a path; a file that several name is read and parsed once, and what changed is delivered to
those concerned, one a turn of the loop. Changes are seen by notifications, and by a safety scan behind them.
Design: docs/membership.md.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections import deque
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

from plovertrail.decisions.list_versions import (
    QUICK_LOOK_US,
    InForce,
    ReadState,
    ScanSchedule,
    SourceKey,
    SourceVersion,
    version_status,
)
from plovertrail.sources.file_notifications import FolderNotifications
from plovertrail.sources.file_reading import LOCAL, FileSource, FileSystem
from plovertrail.sources.first_read import FirstRead, FirstReads
from plovertrail.sources.read_workers import MOST_STUCK, Reading, ReadJob, ReadWorker, ReadWorkers
from plovertrail.sources.subscriptions import Followed, Refused, Subscription, Taken

log = logging.getLogger(__name__)

WATCHDOG_S = 0.2  # between two looks at the worker
WATCHDOG_SIGHTINGS = 3  # of the same look at the same source, after which it hangs: 0.4 to 0.6 s
READINGS_A_TURN = 32  # that are taken over at once
Result = TypeVar("Result")


class ListReader:
    """Made and used on one loop; `files` are the calls on the file system."""

    def __init__(self, files: FileSystem = LOCAL, notifications: bool = True) -> None:
        self.loop = asyncio.get_running_loop()
        self.files = files
        self.followed: dict[SourceKey, Followed] = {}
        self.by_path: dict[str, list[Followed]] = {}  # absolute paths
        self.by_folder: dict[str, list[Followed]] = {}
        self.workers = ReadWorkers(self._read_on_thread, time.monotonic)
        self.notifications = FolderNotifications(self._notified_on_thread) if notifications else None
        self.in_force = InForce()
        self.schedule = ScanSchedule()
        self.scan_began_us = 0
        self.scan_cost_s = 0.0  # of looks that found nothing, since the last scan began; by the worker
        self.scan_left: set[ReadJob] = set()  # what the scan under way has not looked at; by the worker
        self.scan_ended_us = 0
        self.first = FirstReads(self.workers)
        self.ended: deque[tuple[Followed, Reading, int]] = deque()  # looks that the loop has not taken yet
        self.taking: asyncio.Handle | None = None  # the turn that takes more of them
        self.quick: dict[SourceKey, Followed] = {}
        self.deliveries: deque[Subscription] = deque()
        self.delivering: asyncio.Task[None] | None = None
        self.scan_timer: asyncio.TimerHandle | None = None
        self.quick_timer: asyncio.TimerHandle | None = None
        self.watchdog_timer: asyncio.TimerHandle | None = None
        self.sighted: tuple[ReadWorker, int] | None = None
        self.sightings = 0
        self.following: asyncio.Handle | None = None
        self.executor: ThreadPoolExecutor | None = None
        self.closed = False

    # Subscribers

    def subscribe(self, key: SourceKey, subscriber: str, taken: Taken, refused: Refused) -> Subscription:
        """Tell a subscriber what a source holds, now and whenever that changes."""
        followed = self._follow(key)
        made = Subscription(self, followed, subscriber, taken, refused)
        followed.subscriptions.append(made)
        if followed.version.state is ReadState.UNREAD:
            self._submit([followed])
        else:
            self.queue_delivery(made)
        return made

    def unsubscribed(self, subscription: Subscription) -> None:
        """A subscriber follows its source no more."""
        followed = subscription.followed
        self.in_force.drop(subscription.subscriber, subscription.key)
        followed.subscriptions.remove(subscription)
        if not followed.subscriptions:
            self._drop(followed)

    def drop_unfollowed(self) -> None:
        """Forget the sources that were read for a setup that came to nothing."""
        for followed in list(self.followed.values()):
            if not followed.subscriptions:
                self._drop(followed)

    def _follow(self, key: SourceKey) -> Followed:
        found = self.followed.get(key)
        if found is None:
            source = FileSource(key.path, key.checksum, self.files, key.kind)
            found = self.followed[key] = Followed(ReadJob(source), SourceVersion(key))
            path = os.path.abspath(key.path)
            self.by_path.setdefault(path, []).append(found)
            self.by_folder.setdefault(os.path.dirname(path), []).append(found)
            self._folders_changed()
            if self.scan_timer is None:
                self.scan_timer = self.loop.call_later(self.schedule.period_us / 1e6, self._scan)
        return found

    def _drop(self, followed: Followed) -> None:
        key = followed.version.key
        path = os.path.abspath(key.path)
        del self.followed[key]
        self.quick.pop(key, None)
        self.workers.drop(followed.job)
        self._wake(followed, followed.job.asked)
        for table, at in ((self.by_path, path), (self.by_folder, os.path.dirname(path))):
            table[at].remove(followed)
            if not table[at]:
                del table[at]
        self._folders_changed()

    # The first read

    async def first_read(self, keys: Iterable[SourceKey]) -> dict[SourceKey, FirstRead]:
        """What these hold now, within FIRST_READ_S; the loop goes on meanwhile."""
        followed = [self._follow(key) for key in dict.fromkeys(keys)]
        return await asyncio.to_thread(self.first.read, followed)

    def first_read_blocking(self, keys: Iterable[SourceKey]) -> dict[SourceKey, FirstRead]:
        """The same where the loop has nothing else to do yet."""
        return self.first.read([self._follow(key) for key in dict.fromkeys(keys)])

    # Looks

    async def look(self, followed: Followed) -> None:
        """Return once a look at the source that began after this call has ended, or hangs."""
        ended: asyncio.Future[None] = self.loop.create_future()
        followed.waiters.append((self.workers.submit(followed.job, wanted=True), ended))
        self._arm_watchdog()
        await ended

    def _submit(self, followed: Iterable[Followed]) -> None:
        self.workers.submit_all([each.job for each in followed])
        self._arm_watchdog()

    def _scan(self) -> None:
        """Look at all sources, whatever notifications have told."""
        self.scan_timer = None
        if not self.followed or self.closed:
            return
        now_us, was_slow = self._now_us(), self.schedule.too_slow
        if self.scan_began_us:
            ended_us = now_us if self.scan_left else self.scan_ended_us
            self.schedule.scanned(int(self.scan_cost_s * 1e6), ended_us - self.scan_began_us)
        if self.schedule.too_slow and not was_slow:
            log.error("%s", self.too_slow())
        self.scan_began_us, self.scan_ended_us, self.scan_cost_s = now_us, now_us, 0.0
        # hazard: one that hangs would make all scans look slow
        self.scan_left = {each.job for each in self.followed.values() if not each.version.hung}
        self._submit(self.followed.values())
        self.scan_timer = self.loop.call_later(self.schedule.period_us / 1e6, self._scan)

    def too_slow(self) -> str:
        """What is wrong with the safety scan; empty: nothing."""
        if not self.schedule.too_slow:
            return ""
        return (
            f"the scan of {len(self.followed)} files takes so long that a change which no notification "
            f"tells of is seen within {self.schedule.detection_us / 1e6:.1f} s only"
        )

    def _quick_looks(self) -> None:
        """Look again at what was changed a moment ago, or has not settled."""
        self.quick_timer = None
        for key, each in list(self.quick.items()):
            if each.settled and not each.young:
                del self.quick[key]
                each.quick = False
        self._submit(self.quick.values())
        self._arm_quick()

    def _arm_quick(self) -> None:
        if self.quick and self.quick_timer is None and not self.closed:
            self.quick_timer = self.loop.call_later(QUICK_LOOK_US / 1e6, self._quick_looks)

    def _read_on_thread(self, job: ReadJob, reading: Reading, begun: int, wanted: bool) -> None:
        """A look has ended. Hazard: told of each that found nothing, the loop would wake for each source."""
        now_us = self._now_us()
        if not reading.opened:
            self.scan_cost_s += reading.cost_s
        if job in self.scan_left:
            self.scan_left.discard(job)
            self.scan_ended_us = now_us
        self.first.note(job, reading, begun)
        followed = self.followed.get(job.source.key)
        if followed is None:
            return
        followed.young = reading.young
        if wanted or not self._nothing_new(followed, reading):
            self.ended.append((followed, reading, begun))
            self._on_loop(self._take_ended)
        else:
            followed.version.read_us = now_us

    @staticmethod
    def _nothing_new(followed: Followed, reading: Reading) -> bool:
        """Whether a look found what the one before it had found."""
        state = followed.version.state
        if reading.young and not followed.quick:
            return False
        if reading.candidate is not None:
            return state is ReadState.GOOD and followed.settled and not reading.new
        if reading.refusal:
            return state is ReadState.REFUSED and followed.version.refusal == reading.refusal
        return not followed.settled and state is not ReadState.UNREAD

    def _take_ended(self) -> None:
        """Hazard: readings of 200 files that changed in one moment would all be taken in one turn."""
        if self.taking is None:
            for _ in range(min(READINGS_A_TURN, len(self.ended))):
                self._ended(*self.ended.popleft())
            if self.ended and not self.closed:
                self.taking = self.loop.call_soon(self._take_rest)

    def _take_rest(self) -> None:
        self.taking = None
        self._take_ended()

    def _ended(self, followed: Followed, reading: Reading, begun: int) -> None:
        """On the loop: what a look found."""
        version = followed.version
        if self.followed.get(version.key) is not followed:
            return
        now_us, hung = self._now_us(), version.hung
        told = False
        followed.linked = reading.linked
        if followed.folder != reading.folder:
            followed.folder = reading.folder
            self._folders_changed()
        followed.settled = reading.candidate is not None or bool(reading.refusal)
        if reading.candidate is not None:
            followed.candidate = reading.candidate
            servers = len(reading.candidate.endpoints)
            told = version.took(reading.candidate.version, reading.digest, servers, reading.new, now_us)
        elif reading.refusal:
            told = version.refused(reading.refusal, now_us)
        else:
            version.unsettled(now_us)
        if reading.young or not followed.settled or hung:
            self.quick[version.key] = followed
            followed.quick = True
            self._arm_quick()
        if told:
            for subscription in followed.subscriptions:
                self.queue_delivery(subscription)
        self._wake(followed, begun)

    def _wake(self, followed: Followed, begun: int) -> None:
        waiters, followed.waiters = followed.waiters, []
        for asked, ended in waiters:
            if asked > begun:
                followed.waiters.append((asked, ended))
            elif not ended.done():
                ended.set_result(None)

    # Reads that hang

    def _arm_watchdog(self) -> None:
        if self.watchdog_timer is None and not self.closed:
            self.watchdog_timer = self.loop.call_later(WATCHDOG_S, self._watchdog)

    def _watchdog(self) -> None:
        """Hazard: counted by sightings and not by the clock, so that a process that stood still, and with it
        its threads, finds no read to hang for that."""
        self.watchdog_timer = None
        busy = self.workers.busy()
        self.sightings = self.sightings + 1 if busy is not None and busy == self.sighted else 1
        self.sighted = busy
        if busy is not None and self.sightings >= WATCHDOG_SIGHTINGS:
            self.workers.hand_over(*busy)
        for job in self.workers.hanging():
            self._hangs(job, True)
        for job in self.workers.untried():
            self._hangs(job, False)
        if busy is not None:
            self._arm_watchdog()

    def _hangs(self, job: ReadJob, tried: bool) -> None:
        followed = self.followed.get(job.source.key)
        if followed is None or followed.job is not job:
            return
        if followed.version.hangs(tried, self._now_us()):
            log.error("%s: %s; what was read last stays", job.source.name, followed.version.complaint)
            for subscription in followed.subscriptions:
                self.queue_delivery(subscription)
        followed.settled = True
        self.scan_left.discard(job)
        self._wake(followed, job.asked)

    # Notifications

    def _folders_changed(self) -> None:
        if self.notifications is not None and self.following is None and not self.closed:
            self.following = self.loop.call_soon(self._follow_folders)

    def _follow_folders(self) -> None:
        self.following = None
        if self.notifications is not None and not self.closed:
            folders = {path for path, found in self.by_path.items() if any(each.folder for each in found)}
            self.notifications.follow(frozenset(folders | self.by_folder.keys()))

    def _notified_on_thread(self, paths: frozenset[str]) -> None:
        self._on_loop(self._notified, paths)

    def _notified(self, paths: frozenset[str]) -> None:
        """Look at what changed: the file itself, all of a folder that makes one list, and what is reached
        through links that may have been swapped. No path: anything may have."""
        if not paths:
            self._submit(self.followed.values())
            return
        concerned: dict[SourceKey, Followed] = {}
        folders = {os.path.dirname(path) for path in paths}
        for path in paths | folders:
            for each in self.by_path.get(path, ()):
                concerned[each.version.key] = each
        for folder in folders:
            for each in self.by_folder.get(folder, ()):
                if each.linked:
                    concerned[each.version.key] = each
        if concerned:
            self._submit(concerned.values())

    # Delivery

    def queue_delivery(self, subscription: Subscription) -> None:
        """Tell a subscriber in its turn."""
        if not subscription.queued and not self.closed:
            subscription.queued = True
            self.deliveries.append(subscription)
            if self.delivering is None or self.delivering.done():
                self.delivering = self.loop.create_task(self._deliver())

    async def _deliver(self) -> None:
        """One subscriber a turn of the loop. Hazard: 200 lists that change in one moment would hold up all
        requests for as long as their steps take together."""
        while self.deliveries:
            subscription = self.deliveries.popleft()
            subscription.queued = False
            try:
                await subscription.deliver()
            except Exception:
                log.exception("%s: %s can't be told", subscription.subscriber, subscription.key.name)
            await asyncio.sleep(0)

    async def run_off_loop(self, work: Callable[[], Result]) -> Result:
        """Run long work for a subscriber on the reader's own executor, one after the other."""
        if self.executor is None:
            self.executor = ThreadPoolExecutor(max_workers=1, thread_name_prefix="list-step")
        return await self.loop.run_in_executor(self.executor, work)

    # For operators

    def status(self) -> dict[str, Any]:
        """All sources, and what is in force of them."""
        now_us = self._now_us()
        hung = [key.path for key, each in self.followed.items() if each.version.hung]
        problems = [self.too_slow()] if self.schedule.too_slow else []
        if len(self.workers.stuck) >= MOST_STUCK:
            problems.append(f"{MOST_STUCK} reads hang: no further file is read until one comes back")
        return {
            "generation": self.in_force.generation,
            "digest": self.in_force.digest(),
            "setup_digest": self.in_force.setup,
            "notifications": self._notifications_status(),
            "scan_period_s": round(self.schedule.period_us / 1e6, 3),
            "detects_within_s": round(self.schedule.detection_us / 1e6, 3),
            "hung": hung,
            "problems": problems,
            "sources": [
                {
                    "path": key.path,
                    "kind": key.kind.value,
                    "checksum": key.checksum,
                    **version_status(each.version, self._subscribers(each), now_us),
                }
                for key, each in self.followed.items()
            ],
        }

    def _notifications_status(self) -> str:
        if self.notifications is None:
            return "off"
        return self.notifications.problem or "on"

    @staticmethod
    def _subscribers(followed: Followed) -> list[str]:
        return sorted(each.subscriber for each in followed.subscriptions)

    # Its end

    def stop(self) -> None:
        """Read nothing more; what hangs is left to itself."""
        self.closed = True
        for timer in (self.scan_timer, self.quick_timer, self.watchdog_timer, self.following):
            if timer is not None:
                timer.cancel()
        if self.delivering is not None:
            self.delivering.cancel()
        if self.notifications is not None:
            self.notifications.stop()
        self.workers.close()
        if self.executor is not None:
            self.executor.shutdown(wait=False)

    def _now_us(self) -> int:
        return int(self.loop.time() * 1e6)

    def _on_loop(self, what: Callable[..., None], *args: object) -> None:
        """From a thread; a loop that has ended hears nothing more."""
        try:
            self.loop.call_soon_threadsafe(what, *args)
        except RuntimeError:
            self.closed = True
