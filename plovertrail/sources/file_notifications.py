"""Watches all folders that hold watched files for the system's change notifications.

Notifications are only hints: they can get lost, so the safety scan of the list reader finds the changes that
they miss. All file system calls are made on a separate thread, so a folder that hangs blocks nothing else.
"""

from __future__ import annotations

import logging
import os
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Protocol

log = logging.getLogger(__name__)

DEBOUNCE_MS = 50  # changes within this time are reported together
STEP_MS = 20  # with less, the thread's wake-ups are most of the CPU time of an idle process
RETRY_S = 10.0  # after a watch could not be opened, for example with no inotify instance left
FOLDER_CHECK_MS = 1000  # interval of the checks whether a folder was removed and created again
Inodes = dict[str, tuple[int, int]]


class FolderWatch(Protocol):
    """A watch for the system's notifications on some folders."""

    def watch(
        self, debounce_ms: int, step_ms: int, timeout_ms: int, stop_event: threading.Event
    ) -> set[tuple[int, str]] | str:
        """Wait for changes; returns them, or a text that says why there are none."""

    def close(self) -> None:
        """End the watch."""


def open_watch(folders: list[str]) -> FolderWatch:
    """Open a watch of the operating system; raises FileNotFoundError."""
    from watchfiles._rust_notify import RustNotify

    return RustNotify(folders, False, False, 0, False, True)


def folder_inodes(folders: frozenset[str]) -> Inodes:
    """Return the device and inode of each folder that exists."""
    found: Inodes = {}
    for folder in sorted(folders):
        try:
            status = os.stat(folder)
        except OSError:
            continue
        found[folder] = status.st_dev, status.st_ino
    return found


class FolderNotifications:
    """Calls `changed` on its own thread with the paths that changed; with an empty set if any may have."""

    def __init__(
        self,
        changed: Callable[[frozenset[str]], None],
        open_watch: Callable[[list[str]], FolderWatch] = open_watch,
    ) -> None:
        self.changed = changed
        self.open_watch = open_watch
        self.folders: frozenset[str] = frozenset()
        self.outdated = threading.Event()  # other folders are to be watched, or none any more
        self.stopped = False
        self.problem = ""  # why there are no notifications; empty if they work
        self.watches_opened = 0
        self.thread: threading.Thread | None = None

    def follow(self, folders: frozenset[str]) -> None:
        """Watch these folders from now on."""
        if folders == self.folders:
            return
        self.folders = folders
        self.outdated.set()
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="file-notifications", daemon=True)
            self.thread.start()

    def stop(self) -> None:
        """Stop watching."""
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
                    log.warning("no file notifications, changes are found by the scan only: %r", error)
                self.outdated.wait(RETRY_S)

    def _watch(self, folders: frozenset[str]) -> None:
        """Report changes until the watch is out of date."""
        watched = folder_inodes(folders)
        if not watched:
            self.outdated.wait(FOLDER_CHECK_MS / 1000)
            return
        try:
            notify = self.open_watch(list(watched))
        except FileNotFoundError:
            return  # a folder was removed meanwhile
        self.watches_opened, self.problem = self.watches_opened + 1, ""
        # Changes between two watches are reported by neither.
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
