"""Children of a benchmark: each on a core of its own, with its CPU and memory as the kernel counts them."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

TICK_S = 1 / os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGESIZE")
PATIENCE_S = 30.0


def pin(cpu: int) -> None:
    """Keep this process on one core, where there are enough."""
    cpus = sorted(os.sched_getaffinity(0))
    if len(cpus) >= 3:
        os.sched_setaffinity(0, {cpus[cpu % len(cpus)]})


@contextmanager
def child(
    *arguments: str,
    cpu: int,
    log: int | None = subprocess.DEVNULL,
    stdin: bool = False,
    **environment: str,
) -> Iterator[subprocess.Popen[bytes]]:
    """A Python program on a core; ended with SIGTERM. `log` is where its standard error goes."""
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.PIPE if stdin else None,
        stdout=subprocess.PIPE,
        stderr=log,
        env=os.environ | environment,
        preexec_fn=lambda: pin(cpu),
    )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(5)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()


def wait_for(port: int) -> None:
    """Until something listens there."""
    ends = time.monotonic() + PATIENCE_S
    while time.monotonic() < ends:
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
            return
        except OSError:
            time.sleep(0.02)
    raise SystemExit(f"nothing listens on port {port}")


def cpu_s(process: subprocess.Popen[bytes]) -> float:
    """User and system time of a process so far."""
    fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_S


def memory_bytes(process: subprocess.Popen[bytes]) -> int:
    """What a process holds in memory."""
    return int(Path(f"/proc/{process.pid}/statm").read_text().split()[1]) * PAGE
