"""Runs background work on the loop, a slice a turn, as decisions/background.py has it."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterator
from typing import Any

from plovertrail.clock import clock_us
from plovertrail.decisions.background import BackgroundScheduler, BackgroundTask

log = logging.getLogger(__name__)
Begin = Callable[[], Iterator[None]]  # one run: what lies between two yields is a slice


class BackgroundRunner:
    """All background work of one daemon."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.background = BackgroundScheduler(clock_us())
        self.begins: dict[str, Begin] = {}
        self.under_way: dict[str, Iterator[None]] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.wanted_us = 0  # when that should fire
        self.stopped = False

    def add(self, work: BackgroundTask, begin: Begin, first_us: int = 0) -> None:
        """Work that is done again and again; a run that is under way goes on."""
        self.begins[work.name] = begin
        self.background.add(work, clock_us(), first_us)
        self._arm()

    def hurry(self, name: str) -> None:
        """It should not wait for its time."""
        self.background.hurry(name, clock_us())
        self._arm()

    def remove(self, name: str) -> None:
        """Drop a work by its name, with the run that is under way; nothing happens if there is none."""
        self.background.remove(name)
        self.begins.pop(name, None)
        self.under_way.pop(name, None)
        self._arm()

    def _arm(self, lag_us: int = 0) -> None:
        now_us = clock_us()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        at_us = None if self.stopped else self.background.look_us(now_us, lag_us)
        if at_us is not None:
            self.wanted_us = max(at_us, now_us)
            self.timer = self.loop.call_later(max(0, at_us - now_us + 1) / 1e6, self._turn)

    def _turn(self) -> None:
        self.timer = None
        began_us = clock_us()
        lag_us = began_us - self.wanted_us
        name = self.background.next(began_us, lag_us)
        if name is not None:
            over, failed = True, False
            run = self.under_way.pop(name, None)
            try:
                if run is None:
                    run = self.begins[name]()
                next(run)
                over = False
            except StopIteration:
                pass
            except Exception:
                # hazard: a fault in one kind of work would end all of it
                failed = True
                log.exception("background work failed: %s", name)
            if not over and run is not None and name in self.begins:
                self.under_way[name] = run
            now_us = clock_us()
            self.background.ran(name, now_us - began_us, over, now_us, failed)
        self._arm(lag_us)

    def status(self) -> dict[str, Any]:
        """For operators: what each work has taken since it was added."""
        now_us, found = clock_us(), {}
        for name, each in self.background.works.items():
            alive_us = max(1, now_us - self.background.since_us)
            found[name] = {
                "priority": each.work.priority.name.lower(),
                "runs": each.runs,
                "failed": each.failed,
                "due_in_s": round((each.due_us - now_us) / 1e6, 3),
                "running": each.running,
                "worst_slice_ms": round(each.worst_us / 1e3, 3),
                "longest_wait_s": round(each.latest_wait_us / 1e6, 3),
                "share": round(each.took_us / alive_us, 6),
                "share_at_most": each.work.share,
            }
        return found

    def stop(self) -> None:
        """Start no further slice from now on, and cancel the timer; can't be undone."""
        self.stopped = True
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
