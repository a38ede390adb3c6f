"""How long processes have waited for a CPU, by the kernel's scheduler statistics."""

from __future__ import annotations

from pathlib import Path


def run_delay_s(process_id: int) -> float:
    """The seconds for which a process's main thread was ready to run, and did not; 0 if they are not told."""
    try:
        _run_ns, delay_ns, _slices = Path(f"/proc/{process_id}/schedstat").read_text().split()
    except (OSError, ValueError):
        return 0.0
    return int(delay_ns) / 1e9
