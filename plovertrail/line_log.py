"""A log that loses no line: its own thread writes it, so that a full pipe or a slow disk holds nothing up."""

from __future__ import annotations

import logging
import os
import sys
import threading
from collections import deque

log = logging.getLogger(__name__)

MOST_WAITING = 10_000  # lines; from here on it is full
RETRY_S = 1.0
WRITE_BYTES = 64 * 1024


class LineLog:
    """Lines to a file, or to standard error if the path is empty. Bound: whoever begins what will end with a
    line asks `full` first, so that no more wait than MOST_WAITING and those that had begun."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._lines: deque[bytes] = deque()
        self._changed = threading.Condition()
        self._closing = False
        self._reopen = False
        self._thread: threading.Thread | None = None

    @property
    def full(self) -> bool:
        """Whether so many lines wait that nothing more should begin."""
        return len(self._lines) >= MOST_WAITING

    def write(self, line: str) -> None:
        """Never blocks."""
        with self._changed:
            self._lines.append(line.encode("utf-8", "backslashreplace") + b"\n")
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="line-log", daemon=True)
                self._thread.start()
            self._changed.notify()

    def reopen(self) -> None:
        """Go on in a new file: the old one may have been moved away."""
        self._reopen = True

    def close(self, longest_s: float) -> bool:
        """Blocking: write what waits, for so long at most; whether all is written."""
        with self._changed:
            self._closing = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(longest_s)
        return not self._lines

    def _run(self) -> None:
        file, pending, count = -1, b"", 0
        while True:
            if not pending:
                with self._changed:
                    for _ in range(count):
                        self._lines.popleft()
                    while not self._lines and not self._closing:
                        self._changed.wait()
                    count = len(self._lines)
                    pending = b"".join(self._lines)
                if not pending:
                    break
            try:
                if self._reopen and file >= 0 and self.path:
                    os.close(file)
                    file = -1
                self._reopen = False
                if file < 0:
                    file = self._open()
                # hazard: what of it is out must not be written once more after a fault
                pending = pending[os.write(file, pending[:WRITE_BYTES]) :]
            except OSError as error:
                log.error("lines on sockets can't be written, and are kept: %s", error.strerror)
                with self._changed:
                    if self._closing:
                        return
                    self._changed.wait(RETRY_S)
        if file >= 0 and self.path:
            os.close(file)

    def _open(self) -> int:
        if not self.path:
            return sys.stderr.fileno()
        return os.open(self.path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC, 0o640)
