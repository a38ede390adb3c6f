"""Blocking file operations of the store."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Disk:
    """The system calls that write; tests replace them to inject faults."""

    write: Callable[[int, Any], int] = os.write
    sync: Callable[[int], None] = os.fsync
    replace: Callable[[str, str], None] = os.replace


def write_all(fd: int, data: bytes, disk: Disk) -> None:
    """Write all bytes to a file descriptor, over several calls if needed; raises OSError."""
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[disk.write(fd, remaining) :]


def replace_file(path: str, data: bytes, disk: Disk | None = None) -> None:
    """Replace a file's contents atomically; raises OSError.

    A reader finds either the old contents or the new, even if the process is killed meanwhile: the new file
    is written under a temporary name, synced and renamed, and the directory is synced.
    """
    disk = disk or Disk()
    temporary_path = f"{path}.new"
    fd = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
    try:
        write_all(fd, data, disk)
        disk.sync(fd)
    finally:
        os.close(fd)
    disk.replace(temporary_path, path)
    directory_fd = os.open(os.path.dirname(path) or ".", os.O_RDONLY | os.O_DIRECTORY)
    try:
        disk.sync(directory_fd)
    finally:
        os.close(directory_fd)


def read_bounded(path: str, max_bytes: int) -> bytes:
    """Read at most `max_bytes` + 1 bytes of a file, so that a longer one can be told; raises OSError."""
    # Without O_NONBLOCK, opening a named pipe at this path would block startup.
    fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(fd, "rb") as file:
        return file.read(max_bytes + 1)
