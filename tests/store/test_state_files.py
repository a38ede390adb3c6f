"""State files after kills, failed writes, damage, clock changes, and on another instance."""

from __future__ import annotations

import hashlib
import json
import os
import random
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from plovertrail.decisions.counter_rows import PreviousIncarnation
from plovertrail.decisions.endpoint_list import (
    EndpointList,
    EndpointListState,
    Guards,
    ListedEndpoint,
    apply_list,
    set_drained_by_operator,
)
from plovertrail.decisions.rate_limits import RateLimiterState
from plovertrail.decisions.warm_state import EndpointHistory, PoolHistory
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.disk import Disk, replace_file
from plovertrail.store.endpoint_list_records import changed_records
from plovertrail.store.records import Record, StoredState
from plovertrail.store.snapshot_format import WARM_STATE_PART, LoadResult
from plovertrail.store.state_files import StateFiles
from plovertrail.store.warm_state_records import warm_state_records

ROOT = Path(__file__).resolve().parents[2]
S = 1_000_000
DAY = 86_400 * S
NOW = ClockReading(6 * S, 50 * DAY, "a")


def state_of(count: int, started_us: int = 5 * S) -> EndpointListState:
    entries = tuple(ListedEndpoint(f"s{n}", ("127.0.0.1", 9000 + n), "a", "c", 1.5) for n in range(count))
    state = apply_list(
        EndpointListState(started=True), EndpointList("file:x", entries, count), started_us, Guards()
    )[0]
    return set_drained_by_operator(state, "s0", True, started_us, Guards())[0]


HISTORY = EndpointHistory(0.25, 2.0, 0.5, 0.4, (0.3, 0.0), (2, 0))
COUNTERS = PreviousIncarnation("n1", 1 * S, 10 * S, 10, {5: (3, (2, 0, 1))})
WARM_STATE = StoredState(
    {},
    {"main": PoolHistory(6 * S, {("s1", "127.0.0.1:9001"): HISTORY}, {"read": 9000.0})},
    {"each": RateLimiterState(b"salt", {7: 9.0 * S})},
    COUNTERS,
)


def write_snapshot(
    files: StateFiles,
    states: dict[str, EndpointListState],
    warm_state: StoredState = WARM_STATE,
    clocks: ClockReading = NOW,
) -> None:
    offset_us = clocks.offset_us
    parts: dict[str, list[Record]] = {
        name: changed_records(name, EndpointListState(), state, offset_us) for name, state in states.items()
    }
    files.write_snapshot(
        {**parts, WARM_STATE_PART: list(warm_state_records(warm_state, offset_us).items())}, offset_us, clocks
    )


def append_step(files: StateFiles, before: EndpointListState, after: EndpointListState) -> None:
    files.append(changed_records("main", before, after, files.clock_offset_us), sync=True)


def load_from(folder: Path, clocks: ClockReading = NOW, instance: str = "n1") -> LoadResult:
    return StateFiles(str(folder / "state"), instance).load(clocks)


def test_everything_is_restored_after_a_reboot_with_another_monotonic_clock(tmp_path: Path) -> None:
    state = state_of(4)
    state = apply_list(state, EndpointList("file:x", state.layers[0].endpoints[:3], 5), 6 * S, Guards())[0]
    write_snapshot(StateFiles(str(tmp_path / "state"), "n1"), {"main": state})
    # 10 s later by Unix time; the monotonic clock restarted
    found = load_from(tmp_path, ClockReading(1 * S, 50 * DAY + 10 * S, "b"))
    restored = found.stored.endpoint_lists["main"]
    assert found.problems == []
    assert found.snapshot_age_us == 10 * S
    assert restored.started
    assert restored.drained_by_operator == {"s0"}
    assert restored.layers == state.layers
    assert restored.members["s0"].listed.drain
    assert set(restored.members) == set(state.members)
    assert {member.started_us for member in restored.members.values()} == {1 * S - 11 * S}
    assert [(member.listed.id, since) for member, since in restored.removed.values()] == [
        ("s3", 1 * S - 10 * S)
    ]
    extended = EndpointList(
        "file:x", (*restored.layers[0].endpoints, ListedEndpoint("new", ("1.1.1.1", 1))), 6
    )
    joined = apply_list(restored, extended, 2 * S, Guards())[0]
    assert joined.members["new"].started_us == 2 * S  # it warms up, though the daemon has just started
    assert joined.members["new"].endpoint_id not in {
        member.endpoint_id for member, _ in restored.removed.values()
    }
    clock_shift = 6 * S - (1 * S - 10 * S)
    assert found.stored.pool_histories["main"] == replace(
        WARM_STATE.pool_histories["main"], recorded_at_us=6 * S - clock_shift
    )
    assert found.stored.limiters["each"] == RateLimiterState(b"salt", {7: 9.0 * S - clock_shift})
    assert found.stored.counters == replace(COUNTERS, start_us=1 * S - clock_shift)


@pytest.mark.parametrize("clock_change", [-DAY, 0, DAY])
def test_setting_the_system_clock_shifts_no_stored_time(tmp_path: Path, clock_change: int) -> None:
    write_snapshot(StateFiles(str(tmp_path / "state"), "n1"), {"main": state_of(2)})
    found = load_from(tmp_path, ClockReading(8 * S, 50 * DAY + 2 * S + clock_change, "a"))
    assert {member.started_us for member in found.stored.endpoint_lists["main"].members.values()} == {5 * S}
    assert found.stored.limiters["each"].theoretical_arrivals_us == {7: 9.0 * S}
    assert found.stored.pool_histories["main"].recorded_at_us == 6 * S


@pytest.mark.parametrize(("clock_change", "started_us"), [(-DAY, 9 * S), (0, 6 * S), (DAY, 6 * S - DAY)])
def test_after_a_reboot_no_start_time_lies_in_the_future(
    tmp_path: Path, clock_change: int, started_us: int
) -> None:
    write_snapshot(StateFiles(str(tmp_path / "state")), {"main": state_of(2)})
    found = load_from(tmp_path, ClockReading(9 * S, 50 * DAY + 2 * S + clock_change, "b"), "")
    assert {member.started_us for member in found.stored.endpoint_lists["main"].members.values()} == {
        started_us
    }


def test_the_warm_state_of_another_instance_is_not_restored(tmp_path: Path) -> None:
    write_snapshot(StateFiles(str(tmp_path / "state"), "n2"), {"main": state_of(2)})
    found = load_from(tmp_path, instance="n1")
    assert set(found.stored.endpoint_lists) == {"main"}
    assert "of the instance 'n2', and this is 'n1'" in found.problems[0]
    assert not found.stored.pool_histories
    assert not found.stored.limiters
    assert found.stored.counters is None


def write_history(files: StateFiles, steps: int = 12) -> list[EndpointListState]:
    """Write a snapshot and steps after it; returns the state after each write."""
    rng, states = random.Random(4), [state_of(5)]
    write_snapshot(files, {"main": states[0]})
    for number in range(steps):
        before = states[-1]
        ids = rng.sample(range(12), rng.randrange(3, 9))
        entries = tuple(
            ListedEndpoint(f"s{n}", ("127.0.0.1", 9000 + n), weight=1.0 + rng.randrange(2)) for n in ids
        )
        after = apply_list(
            before,
            EndpointList("file:x", entries, 100 + number),
            (7 + number) * S,
            Guards(max_dropped_fraction=1.0),
        )[0]
        if number % 3 == 0:
            after = set_drained_by_operator(after, f"s{rng.randrange(12)}", number % 2 == 0, 8 * S, Guards())[
                0
            ]
        append_step(files, before, after)
        states.append(after)
    return states


def persistent_parts(state: EndpointListState) -> object:
    """The parts of a state that survive the process, so without endpoint ids."""
    return (
        state.drained_by_operator,
        {
            layer.source: (layer.version, {entry.id: entry for entry in layer.endpoints})
            for layer in state.layers
        },
        {name: (member.listed, member.started_us) for name, member in state.members.items()},
        state.held_joins,
        sorted((member.listed.id, since) for member, since in state.removed.values()),
    )


def test_replaying_a_journal_gives_the_last_state_and_a_truncated_one_an_earlier_state(
    tmp_path: Path,
) -> None:
    files = StateFiles(str(tmp_path / "state"), "n1")
    states = write_history(files)
    clocks = ClockReading(100 * S, 50 * DAY + 94 * S, "a")
    last = load_from(tmp_path, clocks)
    assert last.problems == []
    assert last.replayed_steps == 12
    assert persistent_parts(last.stored.endpoint_lists["main"]) == persistent_parts(states[-1])
    assert any(state.held_joins for state in states)
    journal, data = tmp_path / "state.journal", (tmp_path / "state.journal").read_bytes()
    reached = set()
    for length in range(0, len(data), 13):
        journal.write_bytes(data[:length])
        found = load_from(tmp_path, clocks)
        assert persistent_parts(found.stored.endpoint_lists["main"]) == persistent_parts(
            states[found.replayed_steps]
        )
        reached.add(found.replayed_steps)
    assert reached == set(range(12))


def test_a_flipped_bit_is_reported_and_leaves_no_wrong_state(tmp_path: Path) -> None:
    files = StateFiles(str(tmp_path / "state"), "n1")
    write_snapshot(files, {"main": state_of(3), "other": state_of(2)})
    before = state_of(3)
    append_step(files, before, set_drained_by_operator(before, "s2", True, 6 * S, Guards())[0])
    rng = random.Random(3)
    intact = {name: (tmp_path / name).read_bytes() for name in ("state", "state.journal")}
    some_restored = set_aside = 0
    for name, data in intact.items():
        for position in range(0, len(data), 5):
            for other, good in intact.items():
                (tmp_path / other).write_bytes(good)
            damaged = data[:position] + bytes([data[position] ^ 1 << rng.randrange(8)]) + data[position + 1 :]
            (tmp_path / name).write_bytes(damaged)
            found = load_from(tmp_path)
            assert found.problems, (name, position)
            for pool, count in (("main", 3), ("other", 2)):
                state = found.stored.endpoint_lists.get(pool)
                assert state is None or len(state.members) == count
                assert (
                    state is None
                    or state.drained_by_operator <= {"s0", "s2"}
                    and "s0" in state.drained_by_operator
                )
            some_restored += bool(found.stored.endpoint_lists)
            set_aside += not found.stored.endpoint_lists
            assert (tmp_path / f"{name}.bad").read_bytes() == damaged
    assert some_restored > 20
    assert set_aside > 5


def test_a_journal_of_another_snapshot_is_not_replayed(tmp_path: Path) -> None:
    files = StateFiles(str(tmp_path / "state"), "n1")
    write_history(files)
    old = (tmp_path / "state.journal").read_bytes()
    files.close()
    write_snapshot(files, {"main": state_of(2)})
    (tmp_path / "state.journal").write_bytes(old)  # as after a kill between the two files
    found = load_from(tmp_path)
    assert found.problems == []
    assert set(found.stored.endpoint_lists["main"].members) == {"s0", "s1"}


class KilledError(Exception):
    """Stands for a kill of the process at this call."""


def failing_disk(failing_call: int, error: Exception, part: int) -> Disk:
    """A disk whose call number `failing_call` raises `error`; a write after `part` quarters of its bytes."""
    calls = iter(range(1_000_000))

    def write(fd: int, data: Any) -> int:
        if next(calls) == failing_call:
            os.write(fd, data[: len(data) * part // 4])
            raise error
        return os.write(fd, data)

    def sync(_fd: int) -> None:
        if next(calls) == failing_call:
            raise error

    def replace_path(old: str, new: str) -> None:
        if next(calls) == failing_call:
            raise error
        os.replace(old, new)

    return Disk(write, sync, replace_path)


@pytest.mark.parametrize("part", [0, 1, 3])
def test_a_kill_in_any_write_leaves_the_old_or_the_new_state(tmp_path: Path, part: int) -> None:
    ends = set()
    for failing_call in range(40):
        folder = tmp_path / str(failing_call)
        folder.mkdir()
        files = StateFiles(str(folder / "state"), "n1", failing_disk(failing_call, KilledError(), part))
        one, two = state_of(2), state_of(3)
        possible: list[EndpointListState] = []  # the states that may be found
        try:
            for state, before in ((one, None), (two, one), (one, two), (two, None)):
                possible = [*possible[-1:], state]
                if before is None:
                    write_snapshot(files, {"main": state})
                else:
                    append_step(files, before, state)
        except KilledError:
            ends.add(len(possible))
        found = load_from(folder)
        restored = found.stored.endpoint_lists.get("main")
        assert (restored is None and len(possible) == 1) or persistent_parts(
            restored or EndpointListState()
        ) in [persistent_parts(each) for each in possible]
    assert ends == {1, 2}


def test_after_a_full_disk_recovers_the_latest_state_is_stored(tmp_path: Path) -> None:
    for failing_call in range(2, 12):
        folder = tmp_path / str(failing_call)
        folder.mkdir()
        files = StateFiles(
            str(folder / "state"), "n1", failing_disk(failing_call, OSError(28, "No space left"), 2)
        )
        state = state_of(1)
        for count in range(1, 8):
            before, state = state, state_of(count)
            try:
                if files.needs_snapshot:
                    write_snapshot(files, {"main": state})
                else:
                    append_step(files, before, state)
            except OSError:
                write_snapshot(files, {"main": state})
        assert len(load_from(folder).stored.endpoint_lists["main"].members) == 7


def test_new_snapshots_bound_the_journal(tmp_path: Path) -> None:
    files = StateFiles(str(tmp_path / "state"))
    states = [state_of(400), state_of(1)]
    write_snapshot(files, {"main": states[0]})
    for number in range(60):
        if files.needs_snapshot:
            write_snapshot(files, {"main": states[number % 2]})
        else:
            append_step(files, states[(number + 1) % 2], states[number % 2])
    assert 1 < files.snapshots_written < 40
    assert (tmp_path / "state.journal").stat().st_size < 400_000


def format_1_file(body: bytes) -> bytes:
    return b"plovertrail-state 1 %d %s\n%s" % (len(body), hashlib.sha256(body).hexdigest().encode(), body)


def test_a_file_of_format_1_is_read(tmp_path: Path) -> None:
    body = {
        "boot": "a",
        "ahead": 50 * DAY - 6 * S,
        "pools": {
            "main": {
                "layers": [["file:x", 4, False, 2]],
                "by_hand": ["s1"],
                "generation": 3,
                "entries": [
                    ["s0", "127.0.0.1", 1, "a", "c", 1.0, False],
                    ["s1", "127.0.0.1", 2, "", "", 2.0, False],
                ],
                "came": [["s0", 50 * DAY - 1 * S]],
                "leaving": [[["s9", "127.0.0.1", 9, "", "", 1.0, False], 50 * DAY - 2 * S]],
            }
        },
    }
    (tmp_path / "state").write_bytes(format_1_file(json.dumps(body).encode()))
    found = load_from(tmp_path)
    state = found.stored.endpoint_lists["main"]
    assert found.problems == []
    assert state.drained_by_operator == {"s1"}
    assert state.generation == 3
    assert state.members["s0"].started_us == 5 * S
    assert state.members["s1"].listed.drain
    assert [(member.listed.id, since) for member, since in state.removed.values()] == [("s9", 4 * S)]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\0" * 100,
        b"plovertrail-state 9 2 " + b"0" * 64 + b"\n{}",
        b"plovertrail-state 2\n",
        format_1_file(b"[]"),
        format_1_file(b'{"pools":{"a":{}}}'),
        format_1_file(b"[" * 50_000),
        format_1_file(b"{}")[:-1],
    ],
)
def test_a_file_that_cannot_be_decoded_is_set_aside(tmp_path: Path, data: bytes) -> None:
    (tmp_path / "state").write_bytes(data)
    found = load_from(tmp_path)
    assert found.stored == StoredState()
    assert "set aside" in found.problems[0]
    assert (tmp_path / "state.bad").read_bytes() == data
    assert not (tmp_path / "state").exists()


def test_only_a_file_that_exists_and_cannot_be_read_is_reported(tmp_path: Path) -> None:
    assert load_from(tmp_path) == LoadResult()
    (tmp_path / "state").mkdir()
    assert "can't be read" in load_from(tmp_path).problems[0]


WRITER = """
import sys
from plovertrail.store.state_files import StateFiles
from tests.store.test_state_files import append_step, state_of, write_snapshot
files = StateFiles(sys.argv[1], "n1")
states = [state_of(n) for n in (20, 300)]
print("ready", flush=True)
while True:
    write_snapshot(files, {"main": states[0]})
    for number in range(9):
        append_step(files, states[number % 2], states[(number + 1) % 2])
"""


def test_sigkill_at_a_random_moment_leaves_a_complete_state(tmp_path: Path) -> None:
    """A short version of benchmarks/membership.py, which kills 300 times and starts a daemon after each."""
    rng, seen = random.Random(5), set()
    for _ in range(8):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(tmp_path / "state")],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        assert process.stdout is not None
        assert process.stdout.readline() == b"ready\n"
        time.sleep(rng.random() * 0.05)
        process.send_signal(signal.SIGKILL)
        process.communicate()
        found = load_from(tmp_path)
        assert all("cut or damaged" in problem for problem in found.problems)
        if found.stored.endpoint_lists:
            seen.add(len(found.stored.endpoint_lists["main"].members))
    assert seen
    assert seen <= {20, 300}


def test_a_file_is_replaced_atomically(tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_bytes(b"old")
    for failing_call in range(3):
        with pytest.raises(OSError, match="full"):
            replace_file(str(path), b"new", failing_disk(failing_call, OSError("full"), 2))
        assert path.read_bytes() == b"old"
    replace_file(str(path), b"new")
    assert path.read_bytes() == b"new"
