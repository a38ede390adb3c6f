"""The snapshot and journal files of one daemon.

All calls block. They are made before the daemon serves or on a thread, one at a time. The snapshot is
replaced atomically. The journal is appended to, one frame for each step.
"""

from __future__ import annotations

import os
from collections.abc import Mapping, Sequence
from contextlib import suppress

from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.disk import Disk, read_bounded, replace_file, write_all
from plovertrail.store.errors import StateFileError
from plovertrail.store.frames import MAX_PAYLOAD_BYTES, NONCE_BYTES, encode_frame
from plovertrail.store.records import Record
from plovertrail.store.snapshot_format import LoadResult, decode_state, encode_records, encode_snapshot

# A journal longer than both limits is replaced by a new snapshot, which bounds disk usage and startup time.
MIN_JOURNAL_BYTES = 256 << 10
MAX_JOURNAL_TO_SNAPSHOT_RATIO = 2


class StateFiles:
    """Reads and writes one daemon's state files."""

    def __init__(self, path: str, instance: str = "", disk: Disk | None = None) -> None:
        self.path = path
        self.journal_path = f"{path}.journal"
        self.instance = instance
        self.disk = disk or Disk()
        self.journal_fd = -1  # -1: the next write must be a snapshot
        self.nonce = b""
        self.clock_offset_us = 0  # of the snapshot, and so of its journal
        self.journal_frames = 0
        self.journal_bytes = 0
        self.snapshot_bytes = 0
        self.snapshots_written = 0

    def load(self, clocks: ClockReading) -> LoadResult:
        """Read the files of the last process.

        Never raises: a file that can't be used is set aside, and the daemon starts without it.
        """
        journal = b""
        try:
            data = read_bounded(self.path, MAX_PAYLOAD_BYTES)
            with suppress(FileNotFoundError):
                journal = read_bounded(self.journal_path, MAX_PAYLOAD_BYTES)
        except FileNotFoundError:
            return LoadResult()
        except OSError as error:
            return LoadResult(problems=[f"{self.path} can't be read and is not used: {error.strerror}"])
        try:
            if max(len(data), len(journal)) > MAX_PAYLOAD_BYTES:
                raise StateFileError(f"it holds more than {MAX_PAYLOAD_BYTES >> 20} MiB")
            result = decode_state(data, journal, self.instance, clocks)
        except StateFileError as error:
            self._set_aside()
            return LoadResult(problems=[f"{self.path} is not used and set aside as {self.path}.bad: {error}"])
        if any("not used" in problem or "damaged" in problem for problem in result.problems):
            self._copy_aside()
        result.problems = [f"{self.path}: {problem}" for problem in result.problems]
        return result

    def _set_aside(self) -> None:
        """Rename both files, so that an operator can inspect them."""
        for path in (self.path, self.journal_path):
            with suppress(OSError):
                os.replace(path, f"{path}.bad")

    def _copy_aside(self) -> None:
        """Keep both files under other names by hard links; they stay in use until the next snapshot."""
        for path in (self.path, self.journal_path):
            with suppress(OSError):
                with suppress(FileNotFoundError):
                    os.unlink(f"{path}.bad")
                os.link(path, f"{path}.bad")

    @property
    def needs_snapshot(self) -> bool:
        """Whether the next write has to be a snapshot: no journal is open, or it is too long."""
        max_journal_bytes = max(MIN_JOURNAL_BYTES, MAX_JOURNAL_TO_SNAPSHOT_RATIO * self.snapshot_bytes)
        return self.journal_fd < 0 or self.journal_bytes > max_journal_bytes

    def write_snapshot(
        self, parts: Mapping[str, Sequence[Record]], clock_offset_us: int, clocks: ClockReading
    ) -> None:
        """Write a snapshot and begin its journal.

        Raises OSError. The files then hold the old state or the new one, and the next write is a snapshot.
        """
        self.close()
        nonce = os.urandom(NONCE_BYTES)
        data = encode_snapshot(parts, self.instance, clock_offset_us, clocks, nonce)
        replace_file(self.path, data, self.disk)
        self.snapshots_written += 1
        self.snapshot_bytes = len(data)
        self.nonce = nonce
        self.clock_offset_us = clock_offset_us
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC
        fd = os.open(self.journal_path, flags, 0o600)
        first_frame = encode_frame(nonce, 0, nonce)
        try:
            write_all(fd, first_frame, self.disk)
        except OSError:
            os.close(fd)
            raise
        self.journal_fd = fd
        self.journal_frames = 1
        self.journal_bytes = len(first_frame)

    def append(self, records: Sequence[Record], sync: bool) -> None:
        """Append one step to the journal; after a crash it is restored completely or not at all.

        Raises OSError. The next write is a snapshot then, since nothing after a partial frame is ever read.
        """
        frame = encode_frame(self.nonce, self.journal_frames, encode_records(records))
        try:
            write_all(self.journal_fd, frame, self.disk)
            if sync:
                self.disk.sync(self.journal_fd)
        except OSError:
            self.close()
            raise
        self.journal_frames += 1
        self.journal_bytes += len(frame)

    def close(self) -> None:
        """Close the journal; further calls do nothing."""
        fd = self.journal_fd
        self.journal_fd = -1
        if fd >= 0:
            os.close(fd)
