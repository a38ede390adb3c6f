"""A change of the operator's file at many real processes at once: when the last one has it in force."""

from __future__ import annotations

import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path

from benchmarks.capacity.daemon_process import DaemonProcess, NotReadyError, ProbeConnection, daemon_process
from benchmarks.capacity.process_slopes import figure, has_slope, slope
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.service_site import CONFIGURATION_PATH, ServiceSite
from benchmarks.capacity.slopes import Axis, Situation, Slope, Unit
from benchmarks.capacity.target import BUDGET, TARGET
from benchmarks.report import Bar

PROCESSES = (1, 8, 24, 60, 120)
SHORT_PROCESSES = 2
SHORT_SERVICES = 2
SETTLE_S = 3.0
LOOK_S = 0.02
PATIENCE_S = 120.0
CHECK_PATIENCE_S = 60.0
MOST_MEMORY_SHARE = 0.5  # of the machine, for all processes together


class Notice(Enum):
    """How a daemon learns that its file has changed."""

    SIGNAL = "SIGHUP"
    WATCH = 'reload = "watch"'


@dataclass(frozen=True, slots=True)
class Case:
    """So many daemons of one size."""

    processes: int
    services: int
    notice: Notice
    settle_s: float = SETTLE_S

    def __str__(self) -> str:
        return f"{self.processes} processes, {self.services} services, {self.notice.value}"


@dataclass
class ChangeCosts:
    """Of repeated changes of one case."""

    last_s: list[float] = field(default_factory=list)  # until the last process has it in force
    cpu_s: list[float] = field(default_factory=list)  # of one process
    resident_bytes: int = 0  # of all processes


class ConfigurationChanges:
    """The operator's files of many processes are replaced at one moment."""

    name = "process-configuration"

    def __init__(
        self, processes: tuple[int, ...] = PROCESSES, notices: tuple[Notice, ...] = tuple(Notice)
    ) -> None:
        self.processes = processes
        self.notices = notices

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against processes at once, all on this machine."""
        notices = [each for each in self.notices if each is Notice.SIGNAL or knows_watch()]
        found = {notice: self._by_processes(notice, short, repeats) for notice in notices}
        return RoleResult(
            slopes=tuple(line for notice, costs in found.items() for line in slopes_of(notice, costs)),
            figures=tuple(row for costs in found.values() for row in figures_of(costs)),
            bars=tuple(bar_of(notice, costs) for notice, costs in found.items()),
        )

    def _by_processes(self, notice: Notice, short: bool, repeats: int) -> dict[Case, ChangeCosts]:
        if short:
            cases = [Case(SHORT_PROCESSES, SHORT_SERVICES, notice, settle_s=0.0)]
        else:
            cases = [Case(count, TARGET.services, notice) for count in self.processes]
        return {case: changes(case, repeats) for case in cases}


def knows_watch() -> bool:
    """Whether this version's daemon can follow its file by itself: `plovertrail check` takes such a file."""
    with tempfile.TemporaryDirectory() as folder:
        site = ServiceSite(Path(folder), 1, 1, reload="watch")
        site.write()
        command = [sys.executable, "-m", "plovertrail.cli", "check", str(site.path)]
        return subprocess.run(command, capture_output=True, timeout=CHECK_PATIENCE_S).returncode == 0


def slopes_of(notice: Notice, found: dict[Case, ChangeCosts]) -> tuple[Slope, ...]:
    """Where there are sizes enough."""
    seconds = {case.processes: costs.last_s for case, costs in found.items()}
    if not has_slope(seconds):
        return ()
    note = f"processes on this machine at once, {notice.value}: configuration in force at the last"
    return (slope("configuration", Axis.SIDECARS, Unit.SECONDS, seconds, Situation.ORDINARY_DAY, note),)


def figures_of(found: dict[Case, ChangeCosts]) -> list[Figure]:
    """All that was measured."""
    rows: list[Figure] = []
    for case, costs in found.items():
        rows += [
            figure(f"{case}: configuration in force at the last", costs.last_s, "s"),
            figure(f"{case}: CPU of a change, of one process", costs.cpu_s, "s"),
            figure(f"{case}: resident, all of them", [float(costs.resident_bytes)], "B"),
        ]
    return rows


def bar_of(notice: Notice, found: dict[Case, ChangeCosts]) -> Bar:
    """The worst of the most processes."""
    case, costs = max(found.items(), key=lambda item: item[0].processes)
    return Bar(f"configuration in force, {case}, s", max(costs.last_s), BUDGET.in_force_s)


def changes(case: Case, repeats: int) -> ChangeCosts:
    """Change the files of running daemons again and again."""
    costs = ChangeCosts()
    with tempfile.TemporaryDirectory() as folder, running(Path(folder), case) as daemons:
        time.sleep(case.settle_s)
        for _ in range(repeats):
            before = sum(daemon.cpu_s for daemon in daemons)
            costs.last_s.append(change(daemons, case.notice))
            costs.cpu_s.append((sum(daemon.cpu_s for daemon in daemons) - before) / len(daemons))
            time.sleep(case.settle_s)
        costs.resident_bytes = sum(daemon.resident_bytes for daemon in daemons)
    return costs


@contextmanager
def running(folder: Path, case: Case) -> Iterator[list[DaemonProcess]]:
    """Daemons on all cores, with operator's files of their own and the same lists."""
    reload = "watch" if case.notice is Notice.WATCH else ""
    sites = [
        ServiceSite(folder, case.services, TARGET.servers_per_service, name=f"site-{number}", reload=reload)
        for number in range(case.processes)
    ]
    sites[0].write_lists()
    with ExitStack() as stack:
        daemons: list[DaemonProcess] = []
        for number, site in enumerate(sites):
            site.write_configuration()
            daemons.append(stack.enter_context(daemon_process(site, number)))
        for daemon in daemons:
            daemon.wait_until_up()
        check_memory(daemons)
        yield daemons
        for daemon in daemons:  # all at once: one after the other takes long
            daemon.process.terminate()


def check_memory(daemons: list[DaemonProcess]) -> None:
    """Raise NotReadyError if they hold more than their part of the machine."""
    held = sum(daemon.resident_bytes for daemon in daemons)
    most = MOST_MEMORY_SHARE * machine_bytes()
    if held > most:
        raise NotReadyError(f"{len(daemons)} processes hold {held} bytes, more than {most:.0f}")


def machine_bytes() -> int:
    """The memory of the machine."""
    first = Path("/proc/meminfo").read_text().splitlines()[0]
    return int(first.split()[1]) * 1024


def change(daemons: list[DaemonProcess], notice: Notice) -> float:
    """Replace all files, and wait for the last process; the seconds that it took."""
    connections = [ProbeConnection(daemon.site.port) for daemon in daemons]
    began = time.perf_counter()
    for daemon in daemons:
        daemon.site.configuration += 1
        daemon.site.write_configuration()
        if notice is Notice.SIGNAL:
            daemon.reload()
    for daemon, connection in zip(daemons, connections, strict=True):
        wait_for_configuration(daemon, connection)
    took = time.perf_counter() - began
    for connection in connections:
        connection.close()
    return took


def wait_for_configuration(daemon: DaemonProcess, connection: ProbeConnection) -> None:
    """Until a process answers as its file says; raises NotReadyError."""
    expected = str(daemon.site.configuration).encode()
    ends = time.perf_counter() + PATIENCE_S
    while connection.ask(CONFIGURATION_PATH)[1] != expected:
        if time.perf_counter() > ends:
            raise NotReadyError(f"a configuration is not in force after {PATIENCE_S:g} s")
        time.sleep(LOOK_S)
