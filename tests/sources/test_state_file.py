"""The last known good lists: the old or the new state after a kill, never a mixture; damage is set aside."""

from __future__ import annotations

import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from plovertrail.decisions.membership import Candidate, Entry, Guards, State, drained_by_hand, reduce
from plovertrail.sources import state_file

ROOT = Path(__file__).resolve().parents[2]
S = 1_000_000


def state_of(count: int, came_us: int = 5 * S) -> State:
    entries = tuple(Entry(f"s{n}", ("127.0.0.1", 9000 + n), "a", "c", 1.5) for n in range(count))
    state = State(started=True)
    state = reduce(state, Candidate("file:x", entries, count), came_us, Guards())[0]
    return drained_by_hand(state, "s0", True, came_us, Guards())[0]


def test_states_come_back_with_drains_starts_and_those_that_leave(tmp_path: Path) -> None:
    path = str(tmp_path / "state")
    state = state_of(4)
    state = reduce(state, Candidate("file:x", state.layers[0].entries[:3], 5), 6 * S, Guards())[0]
    # the machine has started again since: another clock, 10 s later
    state_file.write(path, state_file.encode({"main": state}, 6 * S, 1_000_000 * S))
    found, problem = state_file.read(path, 1 * S, 1_000_010 * S)
    back = found["main"]
    assert problem == "" and back.started and back.by_hand == {"s0"} and back.layers == state.layers
    assert back.members["s0"].entry.drain and set(back.members) == set(state.members)
    assert {member.came_us for member in back.members.values()} == {1 * S - 11 * S}
    assert [(member.entry.id, since) for member, since in back.leaving.values()] == [("s3", 1 * S - 10 * S)]
    joined = reduce(
        back, Candidate("file:x", (*back.layers[0].entries, Entry("new", ("1.1.1.1", 1))), 6), 2 * S, Guards()
    )[0]
    assert joined.members["new"].came_us == 2 * S  # cold, though the daemon has just started
    assert joined.members["new"].number not in {member.number for member, _ in back.leaving.values()}


DAY = 86_400 * S


@pytest.mark.parametrize("stepped", [-DAY, 0, DAY])
def test_a_clock_that_was_set_meanwhile_makes_no_server_warm_or_cold(stepped: int) -> None:
    data = state_file.encode({"main": state_of(2, came_us=100 * S)}, 101 * S, 50 * DAY, boot="a")
    back = state_file.decode(data, 103 * S, 50 * DAY + 2 * S + stepped, boot="a")["main"]
    assert {member.came_us for member in back.members.values()} == {100 * S}


@pytest.mark.parametrize(("stepped", "came_us"), [(-DAY, 9 * S), (0, 6 * S), (DAY, 6 * S - DAY)])
def test_after_a_start_of_the_machine_the_systems_clock_counts_and_nothing_comes_later_than_now(
        stepped: int, came_us: int) -> None:
    data = state_file.encode({"main": state_of(2, came_us=100 * S)}, 101 * S, 50 * DAY, boot="a")
    back = state_file.decode(data, 9 * S, 50 * DAY + 2 * S + stepped, boot="b")["main"]
    assert {member.came_us for member in back.members.values()} == {came_us}


def test_a_file_from_before_the_machines_start_was_written_is_read(tmp_path: Path) -> None:
    import hashlib

    head, body = state_file.encode({"main": state_of(2)}, 6 * S, 50 * DAY, boot="a").split(b"\n", 1)
    old = b'{"pools"' + body.split(b',"pools"', 1)[1]
    digest = hashlib.sha256(old).hexdigest().encode()
    data = b"plovertrail-state 1 %d %s\n%s" % (len(old), digest, old)
    assert set(state_file.decode(data, 6 * S, 50 * DAY, boot="a")["main"].members) == {"s0", "s1"}


def test_a_file_cut_or_changed_anywhere_is_set_aside_whole(tmp_path: Path) -> None:
    path = tmp_path / "state"
    whole = state_file.encode({"main": state_of(3)}, 0, 0)
    rng = random.Random(3)
    for number in range(0, len(whole), 7):
        broken = (
            whole[:number]
            if number % 2
            else (whole[:number] + bytes([whole[number] ^ (1 + rng.randrange(255))]) + whole[number + 1 :])
        )
        path.write_bytes(broken)
        found, problem = state_file.read(str(path), 0, 0)
        assert found == {} and "set aside" in problem and not path.exists()
        assert (tmp_path / "state.bad").read_bytes() == broken


@pytest.mark.parametrize(
    ("data", "told"),
    [
        (b"plovertrail-state 2 2 " + b"0" * 64 + b"\n{}", "its format is 2, and 1 is known"),
        (b"", "no first line"),
        (b"\0" * 100, "no first line"),
    ],
)
def test_what_is_not_known_here_is_set_aside(tmp_path: Path, data: bytes, told: str) -> None:
    path = tmp_path / "state"
    path.write_bytes(data)
    assert told in state_file.read(str(path), 0, 0)[1]


def test_a_whole_file_of_another_shape_is_set_aside(tmp_path: Path) -> None:
    import hashlib

    for body in (
        b"[]",
        b'{"pools":[]}',
        b'{"pools":{"a":{}}}',
        b'{"pools":{"a":{"layers":[{}]}}}',
        b"[" * 50_000,
    ):
        head = f"plovertrail-state 1 {len(body)} {hashlib.sha256(body).hexdigest()}\n".encode()
        (tmp_path / "state").write_bytes(head + body)
        found, problem = state_file.read(str(tmp_path / "state"), 0, 0)
        assert found == {} and "it holds no states" in problem


def test_no_file_is_no_problem_and_one_that_can_not_be_read_is_told(tmp_path: Path) -> None:
    assert state_file.read(str(tmp_path / "state"), 0, 0) == ({}, "")
    (tmp_path / "folder").mkdir()
    found, problem = state_file.read(str(tmp_path / "folder"), 0, 0)
    assert found == {} and "can't be read" in problem


WRITER = """
import sys
from plovertrail.sources import state_file
from tests.sources.test_state_file import state_of
path = sys.argv[1]
datas = [state_file.encode({"main": state_of(n)}, 0, 0) for n in (20, 300)]
print("ready", flush=True)
while True:
    for data in datas:
        state_file.write(path, data)
"""


def test_a_kill_at_any_moment_of_a_write_leaves_the_old_or_the_new_state(tmp_path: Path) -> None:
    """A short form of what benchmarks/membership.py does 300 times, with a daemon started after each."""
    path = tmp_path / "state"
    rng = random.Random(5)
    seen = set()
    for _ in range(12):
        process = subprocess.Popen(
            [sys.executable, "-c", WRITER, str(path)],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        assert process.stdout is not None and process.stdout.readline() == b"ready\n"
        time.sleep(rng.random() * 0.03)
        process.send_signal(signal.SIGKILL)
        process.communicate()
        found, problem = state_file.read(str(path), 0, 0)
        assert problem == ""
        if found:
            assert len(found["main"].members) in (20, 300)
            seen.add(len(found["main"].members))
    assert seen
