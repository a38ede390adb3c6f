"""Rules broken on purpose: `python -m benchmarks.planted_faults`.

Each fault of `planted_fault_list` is planted by itself in a copy of the sources or of the example
configuration, and the example's expectations, with the rules that hold in every scenario, are run against it.
Bars: no fault that is not caught, nothing reported where nothing is broken, the run of the unbroken copy in
seconds.
"""

from __future__ import annotations

import argparse
import os
import shutil
import subprocess
import sys
import tempfile
import time
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from benchmarks.planted_fault_list import FAULTS, SITE, Fault
from benchmarks.report import Bar, close, table

ROOT = Path(__file__).resolve().parents[1]
COPIED = ("plovertrail", "fakes", "deploy")  # the command line's demo imports the fakes
EXPECTATION_COUNT = 10_000
TIMEOUT_S = 300.0
CAUGHT = ("caught", "refused by check")  # by an expectation or a rule, or by the check of the configuration


@dataclass(frozen=True)
class Run:
    """What the example's expectations said of a copy, and how long they took."""

    verdict: str
    seconds: float

    @property
    def caught(self) -> bool:
        """Whether the fault in the copy was found."""
        return self.verdict in CAUGHT


def plant(folder: Path, fault: Fault) -> bool:
    """Break the copy in a folder; returns False if a text to replace isn't there exactly once."""
    for replacement in fault.replacements:
        path = folder / replacement.file
        text = path.read_text()
        if text.count(replacement.old) != 1:
            return False
        path.write_text(text.replace(replacement.old, replacement.new))
    return True


def run_expectations(folder: Path, fault: Fault | None) -> Run:
    """Run the example's expectations on a copy of the program, with a fault planted if there is one."""
    for name in COPIED:
        shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
    if fault is not None and not plant(folder, fault):
        return Run("not planted", 0.0)
    began = time.perf_counter()
    try:
        process = subprocess.run(
            [sys.executable, "-B", "-m", "plovertrail.cli", "test", SITE],
            cwd=folder,
            env={**os.environ, "PYTHONPATH": str(folder)},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return Run("no end", TIMEOUT_S)
    return Run(verdict_of(process), time.perf_counter() - began)


def verdict_of(process: subprocess.CompletedProcess[str]) -> str:
    """What `plovertrail test` found, by its exit status and what it printed."""
    if process.returncode == 1 and "BROKEN" in process.stdout:
        return "caught"
    if process.returncode == 2 and "problem" in process.stderr:
        return "refused by check"
    if process.returncode == 0:
        return "held"
    last_line = (process.stderr.strip().splitlines() or [""])[-1]
    return f"ended with {process.returncode}: {last_line[:80]}"


def seconds_of_many_expectations(folder: Path, count: int) -> float:
    """Seconds that so many expectations on single requests take, which hold."""
    path = folder / "many.toml"
    path.write_text(
        "".join(
            f'[[requests]]\nask = "POST http://shop.example/buy/{number}"\nroute = "buy"\n'
            for number in range(count)
        )
    )
    began = time.perf_counter()
    subprocess.run(
        [sys.executable, "-m", "plovertrail.cli", "test", SITE, "--expect", str(path)],
        cwd=ROOT,
        check=True,
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    return time.perf_counter() - began


def main() -> int:
    """Plant each fault and print whether the expectations caught it; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--workers", type=int, default=4)
    parser.add_argument("--only", default="", help="faults with this in their names")
    options = parser.parse_args()
    faults = [fault for fault in FAULTS if options.only in fault.name]
    with tempfile.TemporaryDirectory() as name, ThreadPoolExecutor(options.workers) as workers:
        folder = Path(name)
        unbroken = workers.submit(run_expectations, folder / "unbroken", None)
        planted = [
            workers.submit(run_expectations, folder / str(number), fault)
            for number, fault in enumerate(faults)
        ]
        runs = [future.result() for future in planted]
        many_seconds = seconds_of_many_expectations(folder, EXPECTATION_COUNT)
    without_fault = unbroken.result()
    rows = [["(nothing)", without_fault.verdict, without_fault.seconds]]
    rows += [[fault.name, run.verdict, run.seconds] for fault, run in zip(faults, runs, strict=True)]
    table(["planted", "expectations", "s"], rows)
    survived = [fault.name for fault, run in zip(faults, runs, strict=True) if not run.caught]
    print(f"{len(faults)} planted, {len(faults) - len(survived)} caught")
    bars = [
        Bar("faults that are not caught", len(survived), 0),
        Bar("reported where nothing is broken", int(without_fault.verdict != "held"), 0),
        Bar("seconds of the run with nothing planted", without_fault.seconds, 30),
        Bar(f"seconds of {EXPECTATION_COUNT} expectations", many_seconds, 10),
    ]
    figures: dict[str, object] = {
        "planted": len(faults),
        "survived": survived,
        "seconds": without_fault.seconds,
        "many_seconds": many_seconds,
    }
    return close("planted_faults", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
