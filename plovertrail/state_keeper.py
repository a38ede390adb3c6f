"""Keeps the state file up to date, off the loop; a disk that fails costs nothing but a report."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from pathlib import Path

from plovertrail.clock import clock_us
from plovertrail.decisions.membership import State
from plovertrail.sources import state_file

log = logging.getLogger(__name__)

GATHER_S = 0.05  # changes that come close together are written once
RETRY_S = 10.0  # after a write that failed
States = Callable[[], Mapping[str, State]]


def unix_us() -> int:
    return time.time_ns() // 1000


def boot_id() -> str:
    """What names the machine's start, as the monotonic clock counts from it; empty where nothing tells."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


class StateKeeper:
    """Writes the newest states, one write at a time. Without a path it does nothing."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.boot = boot_id() if path else ""
        self.states: States | None = None  # to be written
        self.problem = ""  # of the last write; shown in the status
        self.writer: asyncio.Task[None] | None = None
        self.closing = False

    def read(self) -> dict[str, State]:
        """Blocking; before the daemon serves."""
        if not self.path:
            return {}
        states, problem = state_file.read(self.path, clock_us(), unix_us(), self.boot)
        if problem:
            self.problem = problem
            log.error("%s", problem)
        return states

    def keep(self, states: States) -> None:
        """They have changed."""
        if not self.path:
            return
        self.states = states
        if self.writer is None or self.writer.done():
            self.writer = asyncio.get_running_loop().create_task(self._write())

    async def _write(self) -> None:
        while self.states is not None:
            if not self.closing:
                await asyncio.sleep(GATHER_S)
            states, self.states = self.states, None
            found = dict(states())  # immutable values: the other thread sees one moment
            try:
                await asyncio.to_thread(self._put, found)
                self.problem = ""
            except OSError as error:
                self.problem = f"{self.path} can't be written: {error.strerror}"
                log.error("%s: after a restart the lists are those of the last write", self.problem)
                if self.closing:
                    return
                self.states = self.states or states
                await asyncio.sleep(RETRY_S)

    def _put(self, states: dict[str, State]) -> None:
        state_file.write(self.path, state_file.encode(states, clock_us(), unix_us(), self.boot))

    async def close(self) -> None:
        """Write what has not been written yet."""
        self.closing = True
        if self.writer is not None and not self.writer.done():
            try:
                await asyncio.wait_for(self.writer, 1.0)
            except TimeoutError:
                log.error("%s was not written in time", self.path)
