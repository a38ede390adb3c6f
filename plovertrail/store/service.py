"""Keeps the store up to date, off the loop; a disk that fails costs nothing but a report."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from plovertrail.clock import clock_us
from plovertrail.decisions.endpoint_list import State
from plovertrail.store.records import Kept, Key, Record, list_changes, list_gone, other_records

if TYPE_CHECKING:
    from plovertrail.store.files import Clocks, Files

log = logging.getLogger(__name__)

GATHER_S = 0.05  # changes that come close together are written once; a crash may lose so much of lists
RETRY_S = 2.0  # after a write that failed: a drain by hand should not wait long for a disk that is back
States = Callable[[], Mapping[str, State]]


def boot_id() -> str:
    """What names the machine's start, as the monotonic clock counts from it; empty where nothing tells."""
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""


class StoreService:
    """Writes what is kept, one write at a time. Without a path it does nothing. `instance` names the daemon:
    what is this instance's own is not taken from the store of another."""

    def __init__(self, path: str, instance: str = "") -> None:
        self.path = path
        self.boot = boot_id() if path else ""
        self.files: Files | None = None
        if path:
            from plovertrail.store.files import Files  # brings in the compression, which few need

            self.files = Files(path, instance)
        self.states: States | None = None  # to be written
        self.others: Kept | None = None  # the same
        self.kept = Kept()  # what the files hold by now
        self.others_kept = Kept()  # what they hold beside lists,
        self.other_image: dict[Key, Any] = {}  # and as records
        self.problem = ""  # of the last write, or of the start; shown in the status
        self.found: dict[str, Any] = {}  # at the start, for the status
        self.writer: asyncio.Task[None] | None = None
        self.closing = False

    def clocks(self) -> Clocks:
        """The monotonic and the system's clock now, with the id of this boot."""
        from plovertrail.store.files import Clocks

        return Clocks(clock_us(), time.time_ns() // 1000, self.boot)

    def read(self) -> Kept:
        """Blocking; before the daemon serves."""
        if self.files is None:
            return Kept()
        found = self.files.read(self.clocks())
        for problem in found.problems:
            log.error("%s", problem)
        self.problem = "; ".join(found.problems)
        # hazard: killed again before anything new is known, it would have forgotten all of it
        self.others_kept = found.kept
        self.found = {
            "problems": found.problems,
            "steps": found.journal_frames,
            "age_s": None if found.age_us is None else round(found.age_us / 1e6, 1),
        }
        return found.kept

    def keep(self, states: States) -> None:
        """Lists or drains have changed: on the disk, synced, within GATHER_S and the time of one write."""
        self.states = states
        self._start()

    def keep_others(self, others: Kept) -> None:
        """What is judged and counted now, whole; its `states` are not looked at. Not synced: it outlasts the
        process, and not the machine."""
        self.others = others
        self._start()

    def _start(self) -> None:
        if self.files is not None and (self.writer is None or self.writer.done()):
            self.writer = asyncio.get_running_loop().create_task(self._write(self.files))

    async def _write(self, files: Files) -> None:
        while self.states is not None or self.others is not None:
            if not self.closing:
                await asyncio.sleep(GATHER_S)
            states, self.states = self.states, None
            others, self.others = self.others, None
            # immutable values: the other thread sees one moment
            now = dict(states()) if states is not None else self.kept.states
            try:
                await asyncio.to_thread(self._put, files, now, others, states is not None)
                self.problem = ""
            except Exception as error:
                # hazard: whatever else is wrong with one write, with its task all later ones would end unseen
                why = error.strerror if isinstance(error, OSError) else repr(error)
                self.problem = f"{self.path} can't be written: {why}"
                log.error("%s: after a restart the lists are those of the last write", self.problem)
                files.close()  # so the next one is whole
                if self.closing:
                    return
                self.states = self.states or states or partial(dict, now)
                self.others = self.others or others
                await asyncio.sleep(RETRY_S)

    def _put(self, files: Files, states: Mapping[str, State], others: Kept | None, sync: bool) -> None:
        """On the thread, which alone touches the files and what is known of them."""
        others = others or self.others_kept
        if files.wants_snapshot:
            from plovertrail.store.files import OTHERS

            clocks = self.clocks()
            ahead = clocks.unix_us - clocks.now_us
            image = other_records(others, ahead)
            parts = {name: list_changes(name, State(), state, ahead) for name, state in states.items()}
            files.snapshot({**parts, OTHERS: list(image.items())}, ahead, clocks)
        else:
            records: list[Record] = []
            for name, state in states.items():
                records += list_changes(name, self.kept.states.get(name, State()), state, files.ahead)
            for name in self.kept.states.keys() - states.keys():
                records += list_gone(name, self.kept.states[name], files.ahead)
            image = self.other_image
            if others is not self.others_kept:
                image, before = other_records(others, files.ahead), image
                records += [(key, value) for key, value in image.items() if before.get(key) != value]
                records += [(key, None) for key in before.keys() - image.keys()]
            if records:
                files.append(records, sync)
        self.kept, self.others_kept, self.other_image = Kept(states), others, image

    async def close(self) -> None:
        """Write what has not been written yet."""
        self.closing = True
        if self.writer is not None and not self.writer.done():
            try:
                await asyncio.wait_for(self.writer, 1.0)
            except TimeoutError:
                log.error("%s was not written in time", self.path)
        if self.files is not None and (self.writer is None or self.writer.done()):
            self.files.close()

    def status(self) -> str:
        """For operators."""
        return self.problem or ("kept" if self.path else "off")
