"""Lines are written once and in order whatever errors the file gives, and a full queue is reported."""

from __future__ import annotations

import os
import time
from pathlib import Path

import pytest

from plovertrail import event_log
from plovertrail.event_log import MAX_QUEUED_LINES, EventLog
from tests.net import PATIENCE_S


def wait_until_written(events: EventLog) -> None:
    deadline_s = time.monotonic() + PATIENCE_S
    while events.queued and time.monotonic() < deadline_s:
        time.sleep(0.005)


def test_lines_are_written_once_and_in_order(tmp_path: Path) -> None:
    events = EventLog(str(tmp_path / "log"))
    for number in range(1000):
        events.write(f"line {number}")
    assert events.close(PATIENCE_S)
    assert (tmp_path / "log").read_text().splitlines() == [f"line {number}" for number in range(1000)]


def test_reopen_continues_in_a_new_file(tmp_path: Path) -> None:
    path = tmp_path / "log"
    events = EventLog(str(path))
    events.write("one")
    wait_until_written(events)
    path.rename(tmp_path / "old")
    events.reopen()
    events.write("two")
    assert events.close(PATIENCE_S)
    assert (tmp_path / "old").read_text() == "one\n"
    assert path.read_text() == "two\n"


def test_unwritable_lines_are_kept_until_the_file_is_writable(tmp_path: Path) -> None:
    folder = tmp_path / "not yet"
    events = EventLog(str(folder / "log"))
    events.write("kept")
    time.sleep(0.05)
    assert events.queued
    folder.mkdir()
    wait_until_written(events)
    assert events.close(PATIENCE_S)
    assert (folder / "log").read_text() == "kept\n"


def test_an_unread_pipe_blocks_no_writer_and_fills_the_log(tmp_path: Path) -> None:
    path = tmp_path / "pipe"
    os.mkfifo(path)
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    events = EventLog(str(path))
    count = MAX_QUEUED_LINES + 2000  # the pipe's own buffer holds some
    for _ in range(count):
        events.write("x" * 200)
    assert events.full
    assert not events.close(0.05)
    os.set_blocking(reader, True)
    data = b""
    while len(data) < count * 201:
        data += os.read(reader, 1 << 16)
    os.close(reader)
    assert data == (b"x" * 200 + b"\n") * count


def test_a_write_that_fails_within_a_line_repeats_no_byte(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "log"
    events = EventLog(str(path))
    real_write, calls = os.write, 0

    def failing_write(file: int, data: bytes) -> int:
        nonlocal calls
        calls += 1
        if calls % 2 == 0:
            raise OSError(28, "No space left on device")
        return real_write(file, data[:7])

    monkeypatch.setattr(event_log, "RETRY_S", 0.001)
    monkeypatch.setattr(os, "write", failing_write)
    for number in range(20):
        events.write(f"line {number}")
    wait_until_written(events)
    monkeypatch.setattr(os, "write", real_write)
    assert events.close(PATIENCE_S)
    assert path.read_text().splitlines() == [f"line {number}" for number in range(20)]
