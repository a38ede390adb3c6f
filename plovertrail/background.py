"""Runs background tasks on the event loop, one slice per turn, as decisions/background.py schedules them."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import Any

from plovertrail.clock import clock_us
from plovertrail.decisions.background import BackgroundScheduler, BackgroundTask, TaskState

log = logging.getLogger(__name__)
Run = Iterator[None]  # one run of a task; a slice is the work between two yields
StartRun = Callable[[], Run]


class BackgroundRunner:
    """Runs all background tasks of one daemon."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.scheduler = BackgroundScheduler(clock_us())
        self.start_run: dict[str, StartRun] = {}
        self.runs: dict[str, Run] = {}  # runs in progress, by task name
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_us = 0
        self.stopped = False

    def add(self, task: BackgroundTask, start_run: StartRun, first_us: int = 0) -> None:
        """Run a task periodically; a run of it that is in progress continues."""
        self.start_run[task.name] = start_run
        self.scheduler.add(task, clock_us(), first_us)
        self._schedule_turn()

    def make_due(self, name: str) -> None:
        """Run a task now instead of when it is due."""
        self.scheduler.make_due(name, clock_us())
        self._schedule_turn()

    def remove(self, name: str) -> None:
        """Remove a task and its run in progress; does nothing if there is no task of this name."""
        self.scheduler.remove(name)
        self.start_run.pop(name, None)
        self.runs.pop(name, None)
        self._schedule_turn()

    def _schedule_turn(self, lag_us: int = 0) -> None:
        now_us = clock_us()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.stopped:
            return
        at_us = self.scheduler.next_check_us(now_us, lag_us)
        if at_us is not None:
            self.timer_due_us = max(at_us, now_us)
            self.timer = self.loop.call_later(max(0, at_us - now_us + 1) / 1e6, self._turn)

    def _turn(self) -> None:
        """Run one slice, if one is due."""
        self.timer = None
        began_us = clock_us()
        lag_us = began_us - self.timer_due_us
        name = self.scheduler.next_task(began_us, lag_us)
        if name is not None:
            self._run_slice(name, began_us)
        self._schedule_turn(lag_us)

    def _run_slice(self, name: str, began_us: int) -> None:
        """Run the next slice of a task."""
        run_ended = True
        failed = False
        run = self.runs.pop(name, None)
        try:
            if run is None:
                run = self.start_run[name]()
            next(run)
            run_ended = False
        except StopIteration:
            pass
        except Exception:
            # An exception in one task must not stop the others.
            failed = True
            log.exception("background task failed task=%s", name)
        if not run_ended and run is not None and name in self.start_run:
            self.runs[name] = run
        now_us = clock_us()
        self.scheduler.slice_ended(name, now_us - began_us, run_ended, now_us, failed)

    def status(self) -> dict[str, Any]:
        """Report for operators the runs and the CPU share of each task."""
        now_us = clock_us()
        alive_us = max(1, now_us - self.scheduler.started_us)
        return {name: _task_status(state, now_us, alive_us) for name, state in self.scheduler.tasks.items()}

    def stop(self) -> None:
        """Start no further slice, and cancel the timer; can't be undone."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


def _task_status(state: TaskState, now_us: int, alive_us: int) -> dict[str, Any]:
    """Report one task."""
    return {
        "priority": state.task.priority.name.lower(),
        "runs": state.runs,
        "failed": state.failures,
        "due_in_s": round((state.due_us - now_us) / 1e6, 3),
        "running": state.running,
        "worst_slice_ms": round(state.longest_slice_us / 1e3, 3),
        "longest_wait_s": round(state.longest_wait_us / 1e6, 3),
        "share": round(state.used_us / alive_us, 6),
        "share_at_most": state.task.loop_fraction,
    }
