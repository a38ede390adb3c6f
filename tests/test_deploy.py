"""The deploy file's command answers a real frame; the limits on the decision module."""

from __future__ import annotations

import ast
import os
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from tests.deployed import DEPLOY, ROOT, build
from tests.simulator.test_wire import EMPTY, LIST, batch, power_on


@pytest.fixture(scope="module")
def sim() -> str:
    build()
    return str(DEPLOY["sim"])


def start(sim: str, data: bytes) -> subprocess.CompletedProcess[bytes]:
    plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    return subprocess.run(
        ["/bin/sh", "-c", sim], cwd=ROOT, input=data, capture_output=True, timeout=60, env=plain
    )


def test_the_deployed_command_answers_and_ends_with_its_input(sim: str) -> None:
    members = bytes.fromhex("50 0300 02 29000000 00000000")
    frames = bytes.fromhex(EMPTY) + batch([power_on(), bytes.fromhex(LIST), members])
    done = start(sim, frames)
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout.startswith(bytes(8))
    size, _ = struct.unpack_from("<II", done.stdout, 8)
    assert len(done.stdout) == 16 + size


def test_the_deployed_command_ends_on_a_bad_frame_with_one_line(sim: str) -> None:
    done = start(sim, bytes.fromhex(EMPTY) + b"\x01\x00")
    assert done.returncode != 0 and done.stdout == bytes(8)
    assert done.stderr.decode().splitlines() == ["plovertrail: batch 1: truncated header: 2 of 16 bytes"]


def test_the_decision_module_keeps_its_limits() -> None:
    lines = []
    for name in DEPLOY["policy"]:
        lines += (ROOT / name).read_text().splitlines()
    assert sum(1 for line in lines if line.strip()) <= 1200
    assert max(map(len, lines)) <= 110
    assert "settings.py, events.py, actions.py" in lines[0]


def test_figures_stand_in_named_constants_or_are_plain_fractions() -> None:
    plain = {0, 1, 2, 4, 8, 20, 0.02, 0.1, 0.2, 0.25, 0.3, 0.5, 1_000_000}  # fit nobody
    tree = ast.parse("".join((ROOT / name).read_text() for name in DEPLOY["policy"]))
    bodies = [node for node in tree.body if isinstance(node, ast.ClassDef)]
    figures = {
        node.value
        for body in bodies
        for node in ast.walk(body)
        if isinstance(node, ast.Constant) and type(node.value) in (int, float)
    }
    assert figures - plain == set()
    assert "deployment" not in ast.dump(tree).lower()


def test_run_is_one_process_that_uses_nothing_the_platform_refuses() -> None:
    """Further processes, Unix sockets, splice and sendfile belong to fronts that are off there."""
    assert DEPLOY["run"].startswith("exec ") and not set(DEPLOY["run"]) & set(";&|`$")
    code = (
        "import sys, plovertrail.__main__; "
        "print(*(m.__file__ for n, m in sys.modules.items() if n.startswith('plovertrail')))"
    )
    files = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    refused = {
        "fork",
        "Popen",
        "create_subprocess_exec",
        "create_subprocess_shell",
        "ProcessPoolExecutor",
        "AF_UNIX",
        "create_unix_server",
        "create_unix_connection",
        "sendfile",
        "sock_sendfile",
        "splice",
    }
    for file in files:
        nodes = ast.walk(ast.parse(Path(file).read_text()))
        used = {getattr(node, "attr", getattr(node, "id", "")) for node in nodes}
        assert not used & refused, file
    assert len(files) > 10
    loaded = {Path(file).relative_to(ROOT).as_posix() for file in files}
    off = (
        "plovertrail/peers/",
        "plovertrail/decisions/counts",
        "plovertrail/hooks/",
        "plovertrail/nginx/",
        "plovertrail/cli/",
        "plovertrail/scenario_tests/",
        "plovertrail/config/operator",
        "plovertrail/config/setup",
        "plovertrail/config/table_reader",
        "plovertrail/config/classes",
        "plovertrail/config/listeners",
        "plovertrail/config/pools",
        "plovertrail/config/route",
        "plovertrail/store/",
        "plovertrail/background",
        "plovertrail/health_reporter",
        "plovertrail/decisions/background",
        "plovertrail/decisions/cluster_members",
        "plovertrail/decisions/health_evidence",
        "plovertrail/decisions/outlier_detection",
        "plovertrail/decisions/warm_state",
        "plovertrail/decisions/recovery",
    )
    assert not [file for file in loaded if file.startswith(off)]


def test_the_decisions_read_no_name_and_no_number_of_an_instance() -> None:
    text = "".join((ROOT / name).read_text() for name in DEPLOY["policy"])
    assert not [word for word in (".name", "self_index", "entry.kind", "os.environ", "open(") if word in text]


def test_the_package_needs_the_standard_library_only() -> None:
    code = "import sys, simulator.adapter; print(*sorted({m.split('.')[0] for m in sys.modules}))"
    found = subprocess.run(
        [sys.executable, "-S", "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    own = {"plovertrail", "simulator", "__main__", "sitecustomize"}
    assert set(found) - set(sys.stdlib_module_names) <= own


def test_the_readme_example_runs_as_written() -> None:
    text = (ROOT / "README.md").read_text()
    example = text.split("```python\n")[1].split("```")[0]
    done = subprocess.run(
        [sys.executable, "-c", example], cwd=ROOT, capture_output=True, text=True, timeout=60, check=True
    )
    shown = text.split("It prints:\n\n```\n")[1].split("```")[0]
    assert done.stdout == shown
