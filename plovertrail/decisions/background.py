"""When work that is no request gets its turn: by priority and budget, and at the latest so long after it is
due.

Work comes in slices, each a turn of the loop. What a slice took is paid back by waiting: a work never has
more than its share of the loop's time, and all together never more than theirs. What has waited too long goes
before all that has not, whatever the budget or the load, one slice after the other with a pause between.
Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

ALL_SHARE = 0.05  # of the loop's time, for all work together
MOST_IN_HAND_US = 20_000  # of that, saved up in a calm spell
BUSY_LAG_US = 5_000  # a turn that comes later than this: requests wait as well, so what can wait longer does
BUSY_PAUSE_US = 50_000  # till the next look then
OVERDUE_PAUSE_US = 2_000  # between two slices of what has waited too long: requests have their turns between


class Priority(enum.IntEnum):
    """What goes first of all that is due."""

    LISTS = 0  # where requests may go
    PEERS = 1  # what others should know
    STATE = 2  # what should outlast the process
    REPORTS = 3  # what people read


@dataclass(frozen=True, slots=True)
class BackgroundTask:
    """One kind of work. `every_us` counts from the end of one run to the next one's due time."""

    name: str
    priority: Priority
    every_us: int
    latest_us: int  # a run begins, and goes on, at the latest so long after it is due
    share: float  # of the loop's time, at most, while it is not overdue


@dataclass(slots=True)
class TaskState:
    """How far a work is, and what it has taken since it was added."""

    work: BackgroundTask
    due_us: int
    running: bool = False  # a run has begun and is not over
    next_us: int = 0  # its share lets no slice out before
    waits_since_us: int = 0  # its last slice's end, or when it became due
    runs: int = 0
    slices: int = 0
    failed: int = 0
    took_us: int = 0
    worst_us: int = 0  # the longest slice
    latest_wait_us: int = 0  # the longest that a slice has waited

    def overdue(self, now_us: int) -> bool:
        """Whether the work has waited for its latest start since it was due."""
        return now_us - max(self.due_us, self.waits_since_us) >= self.work.latest_us


class BackgroundScheduler:
    """All work of one loop."""

    def __init__(self, now_us: int, share: float = ALL_SHARE) -> None:
        self.share = share
        self.in_hand_us = float(MOST_IN_HAND_US)
        self.at_us = now_us
        self.paused_until_us = now_us
        self.works: dict[str, TaskState] = {}
        self.since_us = now_us

    def add(self, work: BackgroundTask, now_us: int, first_us: int = 0) -> None:
        """Its first run is due after `first_us`; one of the same name goes on under the new figures."""
        old = self.works.get(work.name)
        if old is not None:
            old.work = work
            old.due_us = min(old.due_us, now_us + work.every_us)
        else:
            self.works[work.name] = TaskState(work, now_us + first_us, waits_since_us=now_us + first_us)

    def remove(self, name: str) -> None:
        """Forget a work by its name; nothing happens if there is none."""
        self.works.pop(name, None)

    def hurry(self, name: str, now_us: int) -> None:
        """It is due now."""
        standing = self.works[name]
        if not standing.running and standing.due_us > now_us:
            standing.due_us = standing.waits_since_us = now_us

    def next(self, now_us: int, lag_us: int = 0) -> str | None:
        """The work whose next slice runs now, if one does. `lag_us`: how late this turn came."""
        self._earn(now_us)
        due = [each for each in self.works.values() if each.due_us <= now_us]
        overdue = [each for each in due if each.overdue(now_us)]
        if overdue:
            if now_us < self.paused_until_us:
                return None
            return min(overdue, key=lambda each: each.waits_since_us + each.work.latest_us).work.name
        if lag_us > BUSY_LAG_US or self.in_hand_us <= 0.0:
            return None
        ready = [each for each in due if each.next_us <= now_us]
        if not ready:
            return None
        return min(ready, key=lambda each: (each.work.priority, each.due_us)).work.name

    def ran(self, name: str, took_us: int, over: bool, now_us: int, failed: bool = False) -> None:
        """A slice has ended; `over`: and the run with it."""
        self._earn(now_us)
        self.in_hand_us -= took_us
        self.paused_until_us = now_us + OVERDUE_PAUSE_US
        standing = self.works.get(name)
        if standing is None:
            return
        standing.latest_wait_us = max(
            standing.latest_wait_us, now_us - took_us - max(standing.due_us, standing.waits_since_us)
        )
        standing.slices += 1
        standing.took_us += took_us
        standing.worst_us = max(standing.worst_us, took_us)
        standing.failed += failed
        standing.running = not over
        standing.waits_since_us = now_us
        standing.next_us = now_us + int(took_us / standing.work.share)
        if over:
            standing.runs += 1
            standing.due_us = standing.waits_since_us = now_us + standing.work.every_us

    def look_us(self, now_us: int, lag_us: int = 0) -> int | None:
        """When to ask for the next slice; None: there is no work."""
        if not self.works:
            return None
        self._earn(now_us)
        earliest = []
        for each in self.works.values():
            begins_us = max(each.due_us, each.waits_since_us)
            at_us = max(each.due_us, each.next_us)
            if self.in_hand_us <= 0.0:
                at_us = max(at_us, now_us + 1 + int(-self.in_hand_us / self.share))
            if lag_us > BUSY_LAG_US:
                at_us = max(at_us, now_us + BUSY_PAUSE_US)
            latest_us = max(begins_us + each.work.latest_us, self.paused_until_us)
            earliest.append(min(at_us, latest_us))
        return max(min(earliest), now_us)

    def _earn(self, now_us: int) -> None:
        earned = max(0, now_us - self.at_us) * self.share
        self.in_hand_us = min(float(MOST_IN_HAND_US), self.in_hand_us + earned)
        self.at_us = max(self.at_us, now_us)
