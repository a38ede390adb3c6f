"""Writes the state to disk off the event loop. A failing disk is reported and doesn't disturb requests."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from plovertrail.clock import clock_us
from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.endpoint_list_records import changed_records, removal_records
from plovertrail.store.records import Key, Record, StoredState
from plovertrail.store.warm_state_records import warm_state_records

if TYPE_CHECKING:
    from plovertrail.store.state_files import StateFiles

log = logging.getLogger(__name__)

COALESCE_S = 0.05  # batches changes; a crash may lose the endpoint list changes of this period
RETRY_S = 2.0  # after a failed write; short, so that an operator's drain is stored soon after a disk recovers
CLOSE_TIMEOUT_S = 1.0
ListStates = Callable[[], Mapping[str, EndpointListState]]


def boot_id() -> str:
    """Return the id of the boot from which the monotonic clock counts; empty if unknown."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


@dataclass(frozen=True, slots=True)
class _Written:
    """What the files hold, as of the last successful write."""

    state: StoredState = field(default_factory=StoredState)
    warm_state: StoredState = field(default_factory=StoredState)  # its endpoint lists are ignored
    warm_state_records: dict[Key, Any] = field(default_factory=dict)  # warm_state as records


class StoreService:
    """Loads the state of one daemon and writes its changes, one write at a time.

    Without a path it does nothing. `instance` is the name of this instance: the warm state of another one
    isn't restored.
    """

    def __init__(self, path: str, instance: str = "") -> None:
        self.path = path
        self.boot_id = boot_id() if path else ""
        self.files: StateFiles | None = None
        if path:
            # Imported only where a state file is configured: it loads zstandard.
            from plovertrail.store.state_files import StateFiles

            self.files = StateFiles(path, instance)
        self.pending_lists: ListStates | None = None
        self.pending_warm_state: StoredState | None = None
        self.written = _Written()
        self.problem = ""  # of the last write, or of loading
        self.load_report: dict[str, Any] = {}
        self.write_task: asyncio.Task[None] | None = None
        self.closing = False

    def clocks(self) -> ClockReading:
        """Read the monotonic clock and the system clock."""
        return ClockReading(clock_us(), time.time_ns() // 1000, self.boot_id)

    def load(self) -> StoredState:
        """Read the state that the last process stored; blocks, so it runs before the daemon serves."""
        if self.files is None:
            return StoredState()
        result = self.files.load(self.clocks())
        for problem in result.problems:
            log.error("state file problem: %s", problem)
        self.problem = "; ".join(result.problems)
        # Until warm state is collected, snapshots include what was loaded. Otherwise a process that is killed
        # before that would lose it.
        self.written = _Written(warm_state=result.stored)
        age_us = result.snapshot_age_us
        self.load_report = {
            "problems": result.problems,
            "steps": result.replayed_steps,
            "age_s": None if age_us is None else round(age_us / 1e6, 1),
        }
        return result.stored

    def store_lists(self, states: ListStates) -> None:
        """Store changed endpoint lists; they are synced after COALESCE_S and the time of one write."""
        self.pending_lists = states
        self._start_writing()

    def store_warm_state(self, warm_state: StoredState) -> None:
        """Store everything except endpoint lists.

        It isn't synced: it survives a crash of the process, but perhaps not of the machine.
        """
        self.pending_warm_state = warm_state
        self._start_writing()

    def _start_writing(self) -> None:
        if self.files is not None and (self.write_task is None or self.write_task.done()):
            self.write_task = asyncio.get_running_loop().create_task(self._write_pending(self.files))

    async def _write_pending(self, files: StateFiles) -> None:
        """Write until nothing is pending; retries after a failure."""
        while self.pending_lists is not None or self.pending_warm_state is not None:
            if not self.closing:
                await asyncio.sleep(COALESCE_S)
            pending_lists = self.pending_lists
            self.pending_lists = None
            warm_state = self.pending_warm_state
            self.pending_warm_state = None
            # The values are immutable, so the thread that writes sees a consistent state.
            lists = self.written.state.endpoint_lists if pending_lists is None else dict(pending_lists())
            try:
                await asyncio.to_thread(self._write, files, lists, warm_state, pending_lists is not None)
                self.problem = ""
            except Exception as error:
                # Any exception is caught: if this task ended, all later writes would fail unnoticed.
                self._report_failure(error)
                files.close()  # makes the next write a snapshot
                if self.closing:
                    return
                self.pending_lists = self.pending_lists or pending_lists or partial(dict, lists)
                self.pending_warm_state = self.pending_warm_state or warm_state
                await asyncio.sleep(RETRY_S)

    def _report_failure(self, error: Exception) -> None:
        """Log a failed write, and keep the problem for the status."""
        reason = error.strerror if isinstance(error, OSError) else repr(error)
        self.problem = f"{self.path} can't be written: {reason}"
        log.error(
            "state file write failed path=%s error=%s: a restart would restore the last state written",
            self.path,
            reason,
        )

    def _write(
        self,
        files: StateFiles,
        lists: Mapping[str, EndpointListState],
        warm_state: StoredState | None,
        sync: bool,
    ) -> None:
        """Write one snapshot or append one step to the journal; runs on a thread, one call at a time."""
        warm_state = warm_state or self.written.warm_state
        if files.needs_snapshot:
            warm_records = self._write_snapshot(files, lists, warm_state)
        else:
            warm_records = self._append_changes(files, lists, warm_state, sync)
        self.written = _Written(StoredState(lists), warm_state, warm_records)

    def _write_snapshot(
        self, files: StateFiles, lists: Mapping[str, EndpointListState], warm_state: StoredState
    ) -> dict[Key, Any]:
        """Write everything to a new snapshot; returns the warm state as records."""
        from plovertrail.store.snapshot_format import WARM_STATE_PART

        clocks = self.clocks()
        offset_us = clocks.offset_us
        warm_records = warm_state_records(warm_state, offset_us)
        parts = {
            pool: changed_records(pool, EndpointListState(), state, offset_us)
            for pool, state in lists.items()
        }
        files.write_snapshot({**parts, WARM_STATE_PART: list(warm_records.items())}, offset_us, clocks)
        return warm_records

    def _append_changes(
        self, files: StateFiles, lists: Mapping[str, EndpointListState], warm_state: StoredState, sync: bool
    ) -> dict[Key, Any]:
        """Append the changes since the last write to the journal; returns the warm state as records."""
        old_lists = self.written.state.endpoint_lists
        offset_us = files.clock_offset_us
        records: list[Record] = []
        for pool, state in lists.items():
            records += changed_records(pool, old_lists.get(pool, EndpointListState()), state, offset_us)
        for pool in old_lists.keys() - lists.keys():
            records += removal_records(pool, old_lists[pool], offset_us)
        warm_records = self.written.warm_state_records
        if warm_state is not self.written.warm_state:
            old_warm_records = warm_records
            warm_records = warm_state_records(warm_state, offset_us)
            records += [
                (key, value) for key, value in warm_records.items() if old_warm_records.get(key) != value
            ]
            records += [(key, None) for key in old_warm_records.keys() - warm_records.keys()]
        if records:
            files.append(records, sync)
        return warm_records

    async def close(self) -> None:
        """Write pending changes, for at most CLOSE_TIMEOUT_S, and close the files."""
        self.closing = True
        if self.write_task is not None and not self.write_task.done():
            try:
                await asyncio.wait_for(self.write_task, CLOSE_TIMEOUT_S)
            except TimeoutError:
                log.error("state file not written before exit path=%s", self.path)
        if self.files is not None and (self.write_task is None or self.write_task.done()):
            self.files.close()

    def status(self) -> str:
        """Return for operators whether state is stored, or the last problem."""
        return self.problem or ("kept" if self.path else "off")
