"""What the daemon adds to a request at the planned rate of one sidecar."""

from __future__ import annotations

import json
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.daemon_process import DaemonProcess, daemon_process, pinned
from benchmarks.capacity.latencies import percentile
from benchmarks.capacity.open_loop import Route, play
from benchmarks.capacity.process_slopes import (
    CLIENT_CORE,
    DAEMON_CORE,
    SERVERS_CORE,
    SERVICES,
    figure,
    has_slope,
    slope,
)
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.service_site import ServiceSite
from benchmarks.capacity.slopes import Axis, Slope, Unit
from benchmarks.capacity.target import BUDGET, TARGET
from benchmarks.processes import child
from benchmarks.report import Bar

PLAY_S = 15.0
WARM_UP_S = 3.0
SETTLE_S = 3.0
SHORT_PLAY_S = 0.5
SHORT_SIZES = (1,)
PERCENTILE = 0.99
QUIET_P99_MS = 5.0  # above, other processes of the machine decide what the daemon seems to add


@dataclass(frozen=True, slots=True)
class PathCost:
    """One run of both ways, interleaved."""

    direct_median_ms: float
    direct_p99_ms: float
    daemon_median_ms: float
    daemon_p99_ms: float
    core_share: float
    failed: int
    forced_switches_per_s: float  # the kernel took the daemon's core for something else
    core_wait_ms: float  # the daemon's loop had something to do and no core, the mean of each time
    machine_busy: float  # of all cores, by all processes of the machine
    machine_stolen: float  # of all cores, by the machine's host

    @property
    def added_median_ms(self) -> float:
        """What the daemon adds to the median."""
        return self.daemon_median_ms - self.direct_median_ms

    @property
    def added_p99_ms(self) -> float:
        """What the daemon adds to the 99th percentile."""
        return self.daemon_p99_ms - self.direct_p99_ms


class RequestPath:
    """An open loop through the daemon and to the same servers directly, in one run."""

    name = "process-path"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against services, the requests spread evenly over all of them."""
        sizes = SHORT_SIZES if short else SERVICES
        with answering_servers() as ports:
            found = {size: path_costs(size, ports, repeats, short) for size in sizes}
        largest = max(sizes)
        added = [each.added_p99_ms for each in found[largest]]
        worst = Bar(
            f"added to the 99th percentile at {largest} services, ms",
            percentile(added, 0.5),
            BUDGET.added_p99_ms,
        )
        slopes = slopes_of(found)
        failed = sum(each.failed for runs in found.values() for each in runs)
        direct = percentile([each.direct_p99_ms for each in found[largest]], 0.5)
        quiet = Bar("99th percentile asked directly, ms: else the machine is too busy", direct, QUIET_P99_MS)
        bars = (worst, quiet, Bar("requests that failed", failed, 0))
        return RoleResult(slopes=slopes, figures=figures_of(found), bars=bars)


def slopes_of(found: dict[int, list[PathCost]]) -> tuple[Slope, ...]:
    """Added latencies and the share of a core, where there are sizes enough."""
    if not has_slope(found):
        return ()
    rate = f"{TARGET.calls_per_s_of_one:.0f} requests/s"
    added_p99 = {size: [each.added_p99_ms for each in runs] for size, runs in found.items()}
    added_median = {size: [each.added_median_ms for each in runs] for size, runs in found.items()}
    share = {size: [each.core_share for each in runs] for size, runs in found.items()}
    axis = Axis.SERVICES
    # a share with traffic is no cost of control, so its unit is told in the note of a figure only
    return (
        slope("path", axis, Unit.MILLISECONDS, added_p99, note=f"added to the 99th percentile; {rate}"),
        slope("path", axis, Unit.MILLISECONDS, added_median, note=f"added to the median; {rate}"),
        slope(
            "path",
            axis,
            Unit.MILLISECONDS,
            {size: [each * 1e3 for each in runs] for size, runs in share.items()},
            note=f"CPU a second, with requests; {rate}",
        ),
    )


def figures_of(found: dict[int, list[PathCost]]) -> tuple[Figure, ...]:
    """All parts of the differences."""
    rows: list[Figure] = []
    for size, runs in found.items():
        parts = {
            "direct median": [each.direct_median_ms for each in runs],
            "direct p99": [each.direct_p99_ms for each in runs],
            "through the daemon, median": [each.daemon_median_ms for each in runs],
            "through the daemon, p99": [each.daemon_p99_ms for each in runs],
            "added median": [each.added_median_ms for each in runs],
            "added p99": [each.added_p99_ms for each in runs],
        }
        rows += [figure(f"path, {size} services: {name}", values, "ms") for name, values in parts.items()]
        shares = [each.core_share for each in runs]
        rows.append(figure(f"path, {size} services: daemon", shares, "core"))
        other_load = {
            "forced switches of the daemon": ([each.forced_switches_per_s for each in runs], "1/s"),
            "wait of the daemon's loop for a core": ([each.core_wait_ms for each in runs], "ms"),
            "machine busy": ([each.machine_busy for each in runs], "of all cores"),
            "machine stolen by its host": ([each.machine_stolen for each in runs], "of all cores"),
        }
        rows += [figure(f"path, {size} services: {name}", *measured) for name, measured in other_load.items()]
    return tuple(rows)


@contextmanager
def answering_servers() -> Iterator[list[int]]:
    """Ports of servers that answer at once, in a process of their own."""
    with child("-m", "benchmarks.path_cost", "--child", "stand-ins", cpu=SERVERS_CORE) as process:
        assert process.stdout is not None
        ports: list[int] = json.loads(process.stdout.readline())
        yield ports[: TARGET.servers_per_service]


def path_costs(services: int, ports: Sequence[int], repeats: int, short: bool) -> list[PathCost]:
    """Repeats on one daemon, after a run that warms it up."""
    with tempfile.TemporaryDirectory() as folder:
        addresses = [f"127.0.0.1:{port}" for port in ports]
        site = ServiceSite(Path(folder), services, len(ports), addresses)
        site.write()
        with daemon_process(site, DAEMON_CORE) as daemon:
            daemon.wait_until_up()
            if not short:
                time.sleep(SETTLE_S)
                one_run(daemon, ports, WARM_UP_S)
            seconds = SHORT_PLAY_S if short else PLAY_S
            return [one_run(daemon, ports, seconds) for _ in range(repeats)]


def one_run(
    daemon: DaemonProcess, ports: Sequence[int], seconds: float, per_s: float = TARGET.calls_per_s_of_one
) -> PathCost:
    """Both ways at one rate."""
    services = daemon.site.service_names()
    direct = Route("direct", lambda number: ports[number % len(ports)], lambda number: "/direct")
    through = Route(
        "daemon",
        lambda number: daemon.site.port,
        lambda number: f"/{services[number % len(services)]}",
    )
    began, before, forced = time.perf_counter(), daemon.cpu_s, daemon.forced_switches
    waits, machine = daemon.core_waits, machine_times()
    with pinned(CLIENT_CORE):
        play([direct, through], per_s, seconds)
    took = time.perf_counter() - began
    share = (daemon.cpu_s - before) / took
    return PathCost(
        percentile(direct.latencies_s, 0.5) * 1e3,
        percentile(direct.latencies_s, PERCENTILE) * 1e3,
        percentile(through.latencies_s, 0.5) * 1e3,
        percentile(through.latencies_s, PERCENTILE) * 1e3,
        share,
        direct.failed + through.failed,
        (daemon.forced_switches - forced) / took,
        daemon.core_waits.mean_ms_since(waits),
        *machine_shares(machine, machine_times()),
    )


def machine_times() -> list[int]:
    """Ticks of all cores since the machine's start: user, nice, system, idle, waiting, two kinds of
    interrupts, stolen."""
    return [int(each) for each in Path("/proc/stat").read_text().split("\n", 1)[0].split()[1:9]]


def machine_shares(before: Sequence[int], after: Sequence[int]) -> tuple[float, float]:
    """Of all cores: what was not idle, and what the host took."""
    spent = [late - soon for soon, late in zip(before, after, strict=True)]
    whole = max(1, sum(spent))
    return 1.0 - (spent[3] + spent[4]) / whole, spent[7] / whole
