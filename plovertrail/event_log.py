"""The event log: one line for each closed WebSocket, written by a thread so that a slow disk never blocks."""

from __future__ import annotations

import logging
import os
import sys
import threading
from collections import deque
from typing import Protocol

log = logging.getLogger(__name__)

MAX_QUEUED_LINES = 10_000
RETRY_S = 1.0
MAX_WRITE_BYTES = 64 * 1024
FILE_MODE = 0o640


class EventSink(Protocol):
    """Where event lines go."""

    @property
    def full(self) -> bool:
        """Whether the queue is too long to accept anything that will write a line at its end."""

    def write(self, line: str) -> None:
        """Queue one line without blocking."""

    def reopen(self) -> None:
        """Open the file again before the next write, as it may have been rotated."""

    def close(self, timeout_s: float) -> bool:
        """Write the queued lines within `timeout_s`; returns whether all were written."""


class EventLog:
    """Writes lines to a file, or to standard error if the path is empty, and loses none of them.

    Callers check `full` before they accept a connection that will write a line at its end. So the queue holds
    at most MAX_QUEUED_LINES and the lines of the connections that were open by then.
    """

    def __init__(self, path: str) -> None:
        self.path = path
        self._queue: deque[bytes] = deque()
        self._changed = threading.Condition()
        self._closing = False
        self._reopen_requested = False
        self._thread: threading.Thread | None = None
        self._file: int | None = None  # touched by the writer thread alone

    @property
    def full(self) -> bool:
        """Whether the queue is too long to accept anything that will write a line at its end."""
        return len(self._queue) >= MAX_QUEUED_LINES

    @property
    def queued(self) -> int:
        """The number of lines that are not written yet."""
        return len(self._queue)

    def write(self, line: str) -> None:
        """Queue one line; never blocks."""
        with self._changed:
            self._queue.append(line.encode("utf-8", "backslashreplace") + b"\n")
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="event-log", daemon=True)
                self._thread.start()
            self._changed.notify()

    def reopen(self) -> None:
        """Open the file again before the next write, as it may have been rotated."""
        self._reopen_requested = True

    def close(self, timeout_s: float) -> bool:
        """Write the queued lines within `timeout_s`, blocking; returns whether all were written."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
        return not self._queue

    def _run(self) -> None:
        """Write batch after batch until the log is closed."""
        batch_lines = 0
        while True:
            batch, batch_lines = self._next_batch(batch_lines)
            if not batch:
                break
            if not self._write_batch(batch):
                return
        self._close_file()

    def _next_batch(self, written_lines: int) -> tuple[bytes, int]:
        """Remove the lines that are written and wait for new ones; returns them joined, and their number."""
        with self._changed:
            for _ in range(written_lines):
                self._queue.popleft()
            while not self._queue and not self._closing:
                self._changed.wait()
            return b"".join(self._queue), len(self._queue)

    def _write_batch(self, batch: bytes) -> bool:
        """Write all bytes, with a retry after each failure; returns False if the log was closed meanwhile."""
        pending = batch
        while pending:
            try:
                file = self._open_file()
                # A write may be partial: only the rest is retried, so that no byte is written twice.
                pending = pending[os.write(file, pending[:MAX_WRITE_BYTES]) :]
            except OSError as error:
                log.error(
                    "event log not writable path=%s error=%s: lines are kept in memory",
                    self.path,
                    error.strerror,
                )
                with self._changed:
                    if self._closing:
                        return False
                    self._changed.wait(RETRY_S)
        return True

    def _open_file(self) -> int:
        """Return the open file, after closing and reopening it if that was requested."""
        if self._reopen_requested:
            self._reopen_requested = False
            self._close_file()
        if self._file is None:
            self._file = self._open()
        return self._file

    def _close_file(self) -> None:
        file, self._file = self._file, None
        if file is not None and self.path:  # standard error stays open
            os.close(file)

    def _open(self) -> int:
        if not self.path:
            return sys.stderr.fileno()
        return os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, FILE_MODE)
