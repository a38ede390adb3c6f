"""Asks a daemon's smallest route at a steady pace and tells how long it waited; a process of its own:
`python -m benchmarks.capacity.steady_probe PORT SECONDS`."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass

from benchmarks.capacity.daemon_process import ProbeConnection
from benchmarks.capacity.latencies import longest_gap, percentile
from benchmarks.capacity.service_site import PROBE_PATH
from benchmarks.processes import child

PROBE_EVERY_S = 0.002
READY = "probing"


@dataclass(frozen=True, slots=True)
class ProbeReport:
    """What a probe saw. A hold of the daemon's loop is a long wait for an answer."""

    requests: int
    median_ms: float
    longest_ms: float  # the longest wait for an answer
    longest_gap_ms: float  # the longest time between two answers


class RunningProbe:
    """A probe in a process of its own."""

    def __init__(self, output: Iterator[bytes]) -> None:
        self.output = output

    def report(self) -> ProbeReport:
        """Wait for its end."""
        return ProbeReport(**json.loads(next(self.output)))


@contextmanager
def steady_probe(port: int, seconds: float, core: int) -> Iterator[RunningProbe]:
    """Probe for so long; entered once the first request is answered."""
    with child("-m", "benchmarks.capacity.steady_probe", str(port), str(seconds), cpu=core) as process:
        assert process.stdout is not None
        output = iter(process.stdout)
        next(output)
        yield RunningProbe(output)


def probe(port: int, seconds: float) -> ProbeReport:
    """Ask every PROBE_EVERY_S, or as soon as the answer before has come."""
    connection = ProbeConnection(port)
    connection.ask(PROBE_PATH)
    print(READY, flush=True)
    began = time.perf_counter()
    waits_s: list[float] = []
    answered: list[float] = []
    while time.perf_counter() - began < seconds:
        sent = time.perf_counter()
        connection.ask(PROBE_PATH)
        now = time.perf_counter()
        waits_s.append(now - sent)
        answered.append(now)
        time.sleep(max(0.0, PROBE_EVERY_S - (now - sent)))
    connection.close()
    return ProbeReport(
        requests=len(waits_s),
        median_ms=percentile(waits_s, 0.5) * 1e3,
        longest_ms=max(waits_s) * 1e3,
        longest_gap_ms=longest_gap(answered) * 1e3,
    )


if __name__ == "__main__":
    print(json.dumps(asdict(probe(int(sys.argv[1]), float(sys.argv[2])))), flush=True)
