"""`plovertrail top`: what it makes of two looks at a daemon, and of a daemon that is not there."""

from __future__ import annotations

import json
import socket
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from plovertrail.cli import main
from plovertrail.cli.top import count_rows, outlier_rows, tenant_rows


def tenant(admitted: int, work_s: float, waiting: int = 0, refused: int = 0) -> dict[str, Any]:
    return {
        "weight": 2.0,
        "admitted": admitted,
        "refused": refused,
        "waiting": waiting,
        "at_work": 0,
        "work_s": work_s,
        "work_ms": 20.0,
        "wait_ms": 1.5,
    }


def test_shares_and_rates_are_of_the_time_between_two_refreshes() -> None:
    before = {"main": {"a": tenant(100, 9.0), "b": tenant(10, 1.0), "idle": tenant(5, 1.0)}}
    now = {"main": {"a": tenant(120, 10.0), "b": tenant(80, 4.0, 3, 4), "idle": tenant(5, 1.0)}}
    assert tenant_rows(before, now, 2.0) == [
        ["main", "b", "2", "75.0 %", "35.0", "2.0", "3", "0", "20.0", "1.5"],
        ["main", "a", "2", "25.0 %", "10.0", "0.0", "0", "0", "20.0", "1.5"],
    ]
    # a tenant that a reload has made anew has less than before
    assert tenant_rows(now, {"main": {"a": tenant(1, 0.5)}}, 1.0) == []


@contextmanager
def daemon(path: Path, answers: list[dict[str, Any]]) -> Iterator[None]:
    """Answers each call with the next of these."""
    listener = socket.socket(socket.AF_UNIX)
    listener.bind(str(path))
    listener.listen()

    def serve() -> None:
        for answer in answers:
            caller, _ = listener.accept()
            with caller, caller.makefile("rwb") as file:
                file.readline()
                status = answer if "pools" in answer else {"pools": answer}
                file.write(json.dumps({"ok": True, "status": status}).encode() + b"\n")

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    try:
        yield
    finally:
        thread.join(10)
        listener.close()


def test_it_draws_the_tenants_as_many_times_as_given(tmp_path: Path) -> None:
    looks: list[dict[str, Any]] = [
        {"main": {"fair": {"kidlat": tenant(n, n / 10)}}, "plain": {"fair": {}}} for n in range(3)
    ]
    with daemon(tmp_path / "control", looks):
        result = CliRunner().invoke(
            main,
            ["top", "--socket", str(tmp_path / "control"), "--every", "0.01", "--times", "2"],
            env={"COLUMNS": "120"},
        )
    assert result.exit_code == 0, result.output
    assert "kidlat" in result.output
    assert "100.0 %" in result.output
    assert "plain" not in result.output


def test_without_a_fair_queue_or_a_daemon_it_says_so(tmp_path: Path) -> None:
    with daemon(tmp_path / "control", [{"plain": {"fair": {}}}]):
        result = CliRunner().invoke(main, ["top", "--socket", str(tmp_path / "control")])
    assert result.exit_code == 0
    assert "write fair = {}" in result.output
    result = CliRunner().invoke(main, ["top", "--socket", str(tmp_path / "nothing")])
    assert result.exit_code == 1
    assert "no daemon answers" in result.output


def test_shared_counts_are_listed_largest_first() -> None:
    peers = {
        "heard": 2,
        "size": 4,
        "bound": {"under": 0.2, "over": 0.05},
        "counts": {
            "tenant a": {"own": 1.0, "fleet": 9.4},
            "tenant b": {"own": 8.0, "fleet": 20.0},
            "tenant c": {"own": 0.0, "fleet": 0.0},
        },
    }
    assert count_rows(peers) == [["tenant b", "8", "20"], ["tenant a", "1", "9"]]
    assert count_rows({}) == []


def test_the_phase_other_instances_and_outliers_are_shown(tmp_path: Path) -> None:
    own = {"attempts": 2.0, "faults": 1.0, "silent": 0.5, "full": 0.0}

    def opinion(held_back: float) -> dict[str, Any]:
        heard = {"attempts": 9.0, "wrong": 8.0}
        return {"held_back": held_back, "found_wrong_by": 3, "own": own, "heard": heard}

    status = {
        "pools": {},
        "judgements": {"main": {"s1": {"buy": opinion(0.2)}, "s2": {"buy": opinion(0.6)}}},
        "recovery": {
            "phase": "serving in part",
            "since_s": 3.0,
            "why": "a source gives no list",
            "missing": {"main: file:x": "No such file"},
            "to_full_s": 0.4,
            "gaps": 2,
            "longest_gap_s": 5.0,
        },
        "fellows": {
            "doubt": 5,
            "alone": False,
            "fellows": {"a": {"state": "alive"}, "b": {"state": "silent"}, "c": {"state": "alive"}},
        },
    }
    assert [line[1] for line in outlier_rows(status["judgements"])] == ["s2", "s1"]  # type: ignore[arg-type]
    with daemon(tmp_path / "control", [status] * 2):
        result = CliRunner().invoke(
            main,
            ["top", "--socket", str(tmp_path / "control"), "--every", "0.01", "--times", "1"],
            env={"COLUMNS": "160"},
        )
    assert result.exit_code == 0, result.output
    for told in (
        "phase: serving in part for 3.0 s",
        "main: file:x: No such file",
        "2 alive, 1 silent",
        "it doubts itself (5 of 8)",
        "0.60",
    ):
        assert told in result.output, told
