"""One watch for the system's notifications on all folders that hold watched files.

What it tells is a hint: notifications get lost, and the safety scan of the list reader is there for that. Its
calls on the file system are made on a thread of its own, so that a folder that hangs holds up nothing else.
"""

from __future__ import annotations

import logging
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

log = logging.getLogger(__name__)

DEBOUNCE_MS = 50  # changes that come within it are told together
STEP_MS = 20  # with less, the thread's wake-ups are most of the CPU time of an idle process
RETRY_S = 10.0  # after a watch that could not be made, as when the machine has no inotify instance left
FOLDER_CHECK_MS = (
    1000  # between two looks at the folders themselves: one may have been unlinked and made again
)
Inodes = dict[str, tuple[int, int]]


class FolderWatch(Protocol):
    """The system's notifications on some folders."""

    def watch(
        self, debounce_ms: int, step_ms: int, timeout_ms: int, stop_event: threading.Event
    ) -> set[tuple[int, str]] | str:
        """Wait for changes; a text where there are none."""

    def close(self) -> None:
        """Watch no more."""


def open_watch(folders: list[str]) -> FolderWatch:
    """Of the system itself; raises FileNotFoundError."""
    from watchfiles._rust_notify import RustNotify

    return RustNotify(folders, False, False, 0, False, True)


def folder_inodes(folders: frozenset[str]) -> Inodes:
    """The folders that are there, each with its device and inode."""
    found: Inodes = {}
    for folder in sorted(folders):
        try:
            status = os.stat(folder)
        except OSError:
            continue
        found[folder] = status.st_dev, status.st_ino
    return found


class FolderNotifications:
    """Calls `changed` with the paths of what changed, on its own thread; an empty set: anything may have."""

    def __init__(
        self,
        changed: Callable[[frozenset[str]], None],
        open_watch: Callable[[list[str]], FolderWatch] = open_watch,
    ) -> None:
        self.changed = changed
        self.open_watch = open_watch
        self.folders: frozenset[str] = frozenset()
        self.outdated = threading.Event()  # the set of folders is another one, or the watch is over
        self.stopped = False
        self.problem = ""  # why there are no notifications; empty: there are
        self.watches_opened = 0
        self.thread: threading.Thread | None = None

    def follow(self, folders: frozenset[str]) -> None:
        """Watch these from now on."""
        if folders == self.folders:
            return
        self.folders = folders
        self.outdated.set()
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="file-notifications", daemon=True)
            self.thread.start()

    def stop(self) -> None:
        """Watch nothing more."""
        self.stopped = True
        self.outdated.set()

    def _run(self) -> None:
        while not self.stopped:
            self.outdated.clear()
            try:
                self._watch(self.folders)
            except Exception as error:
                if self.problem != repr(error):
                    self.problem = repr(error)
                    log.warning("no notifications of changed files, they are looked at only: %r", error)
                self.outdated.wait(RETRY_S)

    def _watch(self, folders: frozenset[str]) -> None:
        """Until the folders are others."""
        watched = folder_inodes(folders)
        if not watched:
            self.outdated.wait(FOLDER_CHECK_MS / 1000)
            return
        try:
            notify = self.open_watch(list(watched))
        except FileNotFoundError:
            return  # a folder went meanwhile
        self.watches_opened, self.problem = self.watches_opened + 1, ""
        # What changed between two watches is reported by neither.
        self.changed(frozenset())
        try:
            while not self.outdated.is_set():
                found = notify.watch(DEBOUNCE_MS, STEP_MS, FOLDER_CHECK_MS, self.outdated)
                if isinstance(found, set):
                    self.changed(frozenset(str(Path(path)) for _, path in found))
                if folder_inodes(folders) != watched:
                    return
        finally:
            notify.close()
