"""Schedules background tasks on an event loop by priority, within a time budget and with bounded delays.

A task runs in slices, each within one iteration of the loop. After a slice a task waits, so that it never
uses more than its fraction of the loop's time; all tasks together are limited in the same way. A task that
has waited for its maximum delay is overdue: it runs before all others, regardless of budget and load, one
slice at a time with a pause between slices. Times are in microseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

TOTAL_LOOP_FRACTION = 0.05  # of the loop's time, for all tasks together
MAX_BALANCE_US = 20_000  # unused budget that can be saved
BUSY_LAG_US = 5_000  # with a longer lag requests are waiting too, so tasks are postponed
BUSY_INTERVAL_US = 50_000  # until the next check if tasks are postponed
OVERDUE_PAUSE_US = 2_000  # between two slices of overdue tasks, so that requests are processed


class Priority(enum.IntEnum):
    """The priority of a task; the lowest value runs first."""

    LISTS = 0  # endpoint lists
    PEERS = 1  # exchange with other instances
    STATE = 2  # state stored for the next start
    REPORTS = 3  # output for operators


@dataclass(frozen=True, slots=True)
class BackgroundTask:
    """A periodic task."""

    name: str
    priority: Priority
    interval_us: int  # from the end of a run until the next one is due
    max_delay_us: int  # maximum wait of a due slice; after it the task is overdue
    loop_fraction: float  # maximum fraction of the loop's time, unless the task is overdue


@dataclass(slots=True)
class TaskState:
    """The progress of a task, and its statistics since it was added."""

    task: BackgroundTask
    due_us: int
    running: bool = False  # a run has begun and not ended
    not_before_us: int = 0  # earliest time of the next slice by the task's fraction of the loop
    waiting_since_us: int = 0  # the end of its last slice, or the time it became due
    runs: int = 0
    slices: int = 0
    failures: int = 0
    used_us: int = 0
    longest_slice_us: int = 0
    longest_wait_us: int = 0  # of a slice

    def is_overdue(self, now_us: int) -> bool:
        """Whether the task has waited for its maximum delay."""
        return now_us - max(self.due_us, self.waiting_since_us) >= self.task.max_delay_us

    def slice_ended(self, took_us: int, run_ended: bool, failed: bool, now_us: int) -> None:
        """Account for a slice, and for the run if it ended with this slice."""
        waited_us = now_us - took_us - max(self.due_us, self.waiting_since_us)
        self.longest_wait_us = max(self.longest_wait_us, waited_us)
        self.slices += 1
        self.used_us += took_us
        self.longest_slice_us = max(self.longest_slice_us, took_us)
        self.failures += failed
        self.running = not run_ended
        self.waiting_since_us = now_us
        self.not_before_us = now_us + int(took_us / self.task.loop_fraction)
        if run_ended:
            self.runs += 1
            self.due_us = now_us + self.task.interval_us
            self.waiting_since_us = self.due_us


class BackgroundScheduler:
    """The background tasks of one event loop."""

    def __init__(self, now_us: int, loop_fraction: float = TOTAL_LOOP_FRACTION) -> None:
        self.loop_fraction = loop_fraction
        self.balance_us = float(MAX_BALANCE_US)  # unused budget; at 0 or below only overdue tasks run
        self.refilled_us = now_us
        self.paused_until_us = now_us
        self.tasks: dict[str, TaskState] = {}
        self.started_us = now_us

    def add(self, task: BackgroundTask, now_us: int, first_us: int = 0) -> None:
        """Add a task whose first run is due after `first_us`; a task of the same name is updated."""
        state = self.tasks.get(task.name)
        if state is not None:
            state.task = task
            state.due_us = min(state.due_us, now_us + task.interval_us)
        else:
            due_us = now_us + first_us
            self.tasks[task.name] = TaskState(task, due_us, waiting_since_us=due_us)

    def remove(self, name: str) -> None:
        """Remove a task by its name, if there is one."""
        self.tasks.pop(name, None)

    def make_due(self, name: str, now_us: int) -> None:
        """Make a task due now."""
        state = self.tasks[name]
        if not state.running and state.due_us > now_us:
            state.due_us = now_us
            state.waiting_since_us = now_us

    def next_task(self, now_us: int, lag_us: int = 0) -> str | None:
        """Return the task whose next slice should run now, if any; `lag_us` is the loop's current lag."""
        self._refill(now_us)
        due = [state for state in self.tasks.values() if state.due_us <= now_us]
        overdue = [state for state in due if state.is_overdue(now_us)]
        if overdue:
            if now_us < self.paused_until_us:
                return None
            return min(overdue, key=lambda each: each.waiting_since_us + each.task.max_delay_us).task.name
        if lag_us > BUSY_LAG_US or self.balance_us <= 0.0:
            return None
        ready = [state for state in due if state.not_before_us <= now_us]
        if not ready:
            return None
        return min(ready, key=lambda each: (each.task.priority, each.due_us)).task.name

    def slice_ended(
        self, name: str, took_us: int, run_ended: bool, now_us: int, failed: bool = False
    ) -> None:
        """Account for a slice of a task, which may have been removed in the meantime."""
        self._refill(now_us)
        self.balance_us -= took_us
        self.paused_until_us = now_us + OVERDUE_PAUSE_US
        state = self.tasks.get(name)
        if state is not None:
            state.slice_ended(took_us, run_ended, failed, now_us)

    def next_check_us(self, now_us: int, lag_us: int = 0) -> int | None:
        """Return when to call `next_task` next; None if there are no tasks."""
        if not self.tasks:
            return None
        self._refill(now_us)
        earliest_us = min(self._next_slice_us(state, now_us, lag_us) for state in self.tasks.values())
        return max(earliest_us, now_us)

    def _next_slice_us(self, state: TaskState, now_us: int, lag_us: int) -> int:
        """Return when the next slice of a task may run."""
        at_us = max(state.due_us, state.not_before_us)
        if self.balance_us <= 0.0:
            at_us = max(at_us, now_us + 1 + int(-self.balance_us / self.loop_fraction))
        if lag_us > BUSY_LAG_US:
            at_us = max(at_us, now_us + BUSY_INTERVAL_US)
        overdue_us = max(state.due_us, state.waiting_since_us) + state.task.max_delay_us
        return min(at_us, max(overdue_us, self.paused_until_us))

    def _refill(self, now_us: int) -> None:
        earned_us = max(0, now_us - self.refilled_us) * self.loop_fraction
        self.balance_us = min(float(MAX_BALANCE_US), self.balance_us + earned_us)
        self.refilled_us = max(self.refilled_us, now_us)
