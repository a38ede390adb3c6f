"""Each benchmark runs in its short form and ends with its figures as JSON. No speed is asserted."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from benchmarks.report import Bar, close

ROOT = Path(__file__).resolve().parents[2]


@pytest.mark.parametrize(
    ("name", "short", "figure"),
    [
        ("routes", ("--seconds", "0.5"), "prefixes"),
        (
            "fleet",
            ("--instances", "200", "--base", "100", "--seconds", "6", "--rate", "150", "--processes", "2")
            + ("--connections", "48"),
            "200, connections_mean",
        ),
        ("websocket_cost", ("--messages", "1800", "--sockets", "100"), "idle_bytes"),
        ("hook_cost", ("--requests", "400"), "one"),
        (
            "coming_back",
            ("--instances", "3", "--seconds", "3", "--case", "10"),
            "stood still, one server drained meanwhile",
        ),
        (
            "coming_back_model",
            ("--sizes", "40", "--seconds", "4", "--case", "0", "--jobs", "1"),
            "40: killed, with state, on",
        ),
        (
            "fleet_budgets",
            ("--seconds", "2", "--case", "6", "--states", "500", "--jobs", "1"),
            "more instances than permits",
        ),
        ("shared_counts", ("--virtual", "--seconds", "8"), "let_through"),
        ("store_cost", ("--servers", "200", "--seconds", "1"), "worst_turn_ms"),
        (
            "capacity.lost_watches",
            ("--short", "--repeats", "1"),
            "silent, no rate stated: worst second at 160",
        ),
        ("capacity.kept_connections", ("--short",), "many services, kept"),
        ("capacity.retry_chain", ("--short", "--repeats", "1"), "safe, reset, told on as 5xx; 100 a second"),
        ("cluster_membership", ("--short", "--seeds", "1", "--seconds", "5"), "load"),
        (
            "capacity",
            ("--short", "--jobs", "2", "--role", "membership", "--role", "evidence", "--role", "counts")
            + ("--role", "reducer"),
            "reducer",
        ),
        (
            "capacity",
            ("--short", "--role", "process-idle", "--role", "process-path", "--role", "process-lists")
            + ("--role", "process-configuration", "--role", "process-restart"),
            "process-lists",
        ),
    ],
)
def test_a_benchmark_prints_its_figures_and_bars(name: str, short: tuple[str, ...], figure: str) -> None:
    done = subprocess.run(
        [sys.executable, "-m", f"benchmarks.{name}", *short],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    told = json.loads(done.stdout.splitlines()[-1])
    assert told["benchmark"] == name
    assert figure in told["figures"]
    assert told["bars"]
    assert done.returncode == int(not all(bar["held"] for bar in told["bars"].values()))


def test_hostile_hooks_break_no_rule() -> None:
    """In the short form; what depends on the machine's speed is told and not held."""
    done = subprocess.run(
        [sys.executable, "-m", "benchmarks.hostile_hooks", "--seconds", "6"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=120,
    )
    bars = json.loads(done.stdout.splitlines()[-1])["bars"]
    for name in (
        "purchases that ran twice",
        "keys that ran in two cells",
        "requests with no answer",
        "tracebacks in the log",
        "exit status",
    ):
        assert bars[name]["held"], (name, bars[name], done.stderr)


def test_a_missed_bar_is_told_and_ends_with_1(capsys: pytest.CaptureFixture[str]) -> None:
    assert close("x", {}, [Bar("a", 1.0, 2.0)]) == 0
    assert close("x", {}, [Bar("a", 1.0, 2.0), Bar("b", 3.0, 2.0)]) == 1
    assert "MISSED: b 3.00, at most 2" in capsys.readouterr().out
