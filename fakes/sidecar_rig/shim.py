"""The shim in tests/shims, built where a compiler is there: failing system calls and a stepped wall clock."""

from __future__ import annotations

import shutil
import subprocess
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent.parent / "tests" / "shims" / "failing_calls.c"


@dataclass(frozen=True, slots=True)
class ShimPlan:
    """What the shim does to a process."""

    calls: Sequence[str] = ()  # kinds of calls that fail or come short
    share: float = 0.0  # of these calls
    clock_step_s: int = 0
    clock_step_at_s: float = 0.0

    def environment(self, library: Path, seed: int) -> dict[str, str]:
        """The variables that load the shim into a process, and tell it its plan."""
        return {
            "LD_PRELOAD": str(library),
            "FAILING_CALLS_SEED": str(seed),
            "FAILING_CALLS_SHARE": str(self.share),
            "FAILING_CALLS_KINDS": ",".join(self.calls),
            "CLOCK_STEP_S": str(self.clock_step_s),
            "CLOCK_STEP_AT_S": str(self.clock_step_at_s),
        }


def build_shim(folder: Path) -> Path | None:
    """Build the shim into a folder; None where there is no compiler."""
    compiler = shutil.which("gcc") or shutil.which("cc")
    if compiler is None:
        return None
    library = folder / "failing_calls.so"
    command = [compiler, "-O1", "-shared", "-fPIC", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, timeout=60)
    return library
