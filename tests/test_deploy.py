"""The deploy file's command answers a real frame; the limits on the decision modules."""

from __future__ import annotations

import ast
import os
import struct
import subprocess
import sys
from pathlib import Path

import pytest

from tests.deployed import DEPLOY, ROOT, build
from tests.simulator.test_wire import EMPTY_BATCH, ENDPOINT_LIST, batch, instance_started

DECISIONS = ROOT / "plovertrail" / "decisions"
MAX_LINES = 450
# by path, the modules that are longer, with their present lengths: a list that only shrinks
NOT_SPLIT_YET = {
    "leases.py": 476,
}
# in classes and functions of the modules besides load balancing, which has none
OTHER_FIGURES: dict[str, set[float]] = {
    "endpoint_list.py": {1000},
    "fleet_limits.py": {64},
    "settings.py": {1000},
}


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
    frames = bytes.fromhex(EMPTY_BATCH) + batch([instance_started(), bytes.fromhex(ENDPOINT_LIST), members])
    done = start(sim, frames)
    assert (done.returncode, done.stderr) == (0, b"")
    assert done.stdout.startswith(bytes(8))
    size, _ = struct.unpack_from("<II", done.stdout, 8)
    assert len(done.stdout) == 16 + size


def test_the_deployed_command_ends_on_a_bad_frame_with_one_line(sim: str) -> None:
    done = start(sim, bytes.fromhex(EMPTY_BATCH) + b"\x01\x00")
    assert done.returncode != 0
    assert done.stdout == bytes(8)
    assert done.stderr.decode().splitlines() == ["plovertrail: batch 1: truncated header: 2 of 16 bytes"]


def decision_modules_loaded() -> set[str]:
    """The files of decisions/ that the platform's program loads."""
    code = (
        "import sys, plovertrail.__main__; "
        "print(*(m.__file__ for n, m in sys.modules.items() if n.startswith('plovertrail.decisions')))"
    )
    files = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    return {Path(file).relative_to(ROOT).as_posix() for file in files}


def test_the_policy_is_just_the_decision_modules_that_the_program_loads() -> None:
    assert len(DEPLOY["policy"]) == len(set(DEPLOY["policy"]))
    assert set(DEPLOY["policy"]) == decision_modules_loaded()
    assert {path for path in DEPLOY["policy"] if "/load_balancing/" in path} == {
        path.relative_to(ROOT).as_posix() for path in (DECISIONS / "load_balancing").glob("*.py")
    }


def test_no_decision_module_is_longer_than_450_lines_but_those_not_split_yet() -> None:
    lengths = {
        path.relative_to(DECISIONS).as_posix(): len(path.read_text().splitlines())
        for path in DECISIONS.rglob("*.py")
    }
    too_long = {path: length for path, length in lengths.items() if length > MAX_LINES}
    assert too_long == NOT_SPLIT_YET, "the list only shrinks: split the module, or lower its entry"


def test_the_policy_keeps_to_110_columns() -> None:
    assert (
        max(len(line) for name in DEPLOY["policy"] for line in (ROOT / name).read_text().splitlines()) <= 110
    )


@pytest.mark.parametrize("name", DEPLOY["policy"])
def test_figures_stand_in_named_constants_or_are_plain_fractions(name: str) -> None:
    plain = {0, 1, 2, 4, 8, 20, 0.02, 0.1, 0.2, 0.25, 0.3, 0.5, 1_000_000}  # fit nobody
    tree = ast.parse((ROOT / name).read_text())
    bodies = [node for node in tree.body if isinstance(node, ast.ClassDef | ast.FunctionDef)]
    figures = {
        node.value
        for body in bodies
        for node in ast.walk(body)
        if isinstance(node, ast.Constant) and type(node.value) in (int, float)
    }
    assert figures - plain == OTHER_FIGURES.get(name.removeprefix("plovertrail/decisions/"), set())
    assert "deployment" not in ast.dump(tree).lower()


def test_run_is_one_process_that_uses_nothing_the_platform_refuses() -> None:
    """Further processes, Unix sockets, splice and sendfile belong to fronts that are off there."""
    assert DEPLOY["run"].startswith("exec ")
    assert not set(DEPLOY["run"]) & set(";&|`$")
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
        "plovertrail/decisions/counter_",
        "plovertrail/decisions/peer_counters",
        "plovertrail/decisions/shared_counters",
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
        "plovertrail/decisions/member_table",
        "plovertrail/decisions/membership",
        "plovertrail/decisions/prober",
        "plovertrail/decisions/health_evidence",
        "plovertrail/decisions/outlier_detection",
        "plovertrail/decisions/warm_state",
        "plovertrail/decisions/recovery",
        "plovertrail/decisions/state_inventory",
    )
    assert not [file for file in loaded if file.startswith(off)]


@pytest.mark.parametrize("name", DEPLOY["policy"])
def test_the_decisions_read_no_name_and_no_number_of_an_instance(name: str) -> None:
    text = (ROOT / name).read_text()
    words = {".name", "self_index", "entry.kind", "listed.kind", "endpoint.kind", "os.environ", "open("}
    if name.endswith("/settings.py"):
        words.remove("self_index")  # it is defined there
    assert not [word for word in words if word in text]


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
