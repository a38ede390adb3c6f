"""Lists of servers that are replaced under a running daemon: when they are in force, and what that costs."""

from __future__ import annotations

import statistics
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.daemon_process import (
    DaemonProcess,
    daemon_process,
    list_version,
    server_state,
)
from benchmarks.capacity.process_slopes import (
    DAEMON_CORE,
    PROBE_CORE,
    SERVICES,
    SHORT_SERVICES,
    cost_at,
    figure,
    has_slope,
    slope,
)
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.service_site import ServiceSite
from benchmarks.capacity.slopes import Axis, Situation, Slope, Unit
from benchmarks.capacity.steady_probe import ProbeReport, steady_probe
from benchmarks.capacity.target import BUDGET, TARGET
from benchmarks.report import Bar

DAY_S = 86_400
SETTLE_S = 3.0
CHANGES_PER_S = 5.0
CHANGING_S = 8.0
RATES_PER_S = (0.5, 1.0, 2.0, 5.0)
HOLD_S = 4.0
OLD_S = 4.0  # a daemon may look more often at a file that has changed of late
PHASE_S = 0.37  # by which repeats are shifted against what the daemon does at a steady pace
BEFORE_ALL_S = 0.5  # a probe's time before the lists are replaced
MOST_COST_RATIO = 1.3
MOST_HOLD_MS = 5.0
DRAINED = "s0"


@dataclass(frozen=True, slots=True)
class Pace:
    """How long each part of a measurement takes."""

    settle_s: float = SETTLE_S
    changing_s: float = CHANGING_S
    hold_s: float = HOLD_S
    old_s: float = OLD_S


SHORT_PACE = Pace(settle_s=0.2, changing_s=0.6, hold_s=0.6, old_s=0.2)


@dataclass
class ChangeCosts:
    """At one number of services."""

    in_force_s: list[float] = field(default_factory=list)
    drained_s: list[float] = field(default_factory=list)
    cpu_ms: list[float] = field(default_factory=list)  # of one change
    all_in_force_s: list[float] = field(default_factory=list)
    hold_ms: list[float] = field(default_factory=list)  # while all lists are replaced at one moment
    quiet_hold_ms: list[float] = field(default_factory=list)


class ListEditor:
    """Replaces the lists of a running daemon's services, in rising versions."""

    def __init__(self, daemon: DaemonProcess) -> None:
        self.daemon = daemon
        self.site = daemon.site
        self.services = daemon.site.service_names()
        self.versions = dict.fromkeys(self.services, 1)

    def change(self, service: str, first_drains: bool = False) -> float:
        """Replace one list; the moment of the rename."""
        self.versions[service] += 1
        replacement = self.site.prepare(service, self.versions[service], first_drains)
        began = time.perf_counter()
        replacement.apply()
        return began

    def change_all(self) -> float:
        """Replace all lists at one moment."""
        for service in self.services:
            self.versions[service] += 1
        replacements = [self.site.prepare(each, version) for each, version in self.versions.items()]
        began = time.perf_counter()
        for replacement in replacements:
            replacement.apply()
        return began

    def wait_for(self, service: str, began: float) -> float:
        """Seconds until the list of a service is in force."""
        version = self.versions[service]
        return self.daemon.wait_until(lambda status: list_version(status, service) == version, began)

    def wait_for_all(self, began: float) -> float:
        """Seconds until all lists are in force."""
        return self.daemon.wait_until(
            lambda status: all(list_version(status, each) == self.versions[each] for each in self.services),
            began,
        )

    def wait_for_drain(self, service: str, began: float) -> float:
        """Seconds until the first server of a service drains."""
        return self.daemon.wait_until(
            lambda status: server_state(status, service, DRAINED) == "draining", began
        )

    def share_at(self, per_s: float, seconds: float) -> float:
        """The daemon's share of a core while lists change at this rate, one service after the other."""
        began, before = time.perf_counter(), self.daemon.cpu_s
        for number in range(max(1, round(per_s * seconds))):
            time.sleep(max(0.0, began + number / per_s - time.perf_counter()))
            self.change(self.services[number % len(self.services)])
        time.sleep(max(0.0, began + seconds - time.perf_counter()))
        return (self.daemon.cpu_s - before) / (time.perf_counter() - began)


class ListChanges:
    """Lists of servers in files, replaced by a rename."""

    name = "process-lists"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against services; in the long form against changes a second and without notifications too."""
        sizes = SHORT_SERVICES[:1] if short else SERVICES
        pace = SHORT_PACE if short else Pace()
        found = {size: change_costs(size, repeats, pace) for size in sizes}
        largest = max(sizes)
        unnoticed = drains_without_notification(largest, repeats, pace)
        rates = {} if short else shares_by_rate(largest, repeats, pace)
        slopes = (*slopes_of(found), *rate_slopes(rates))
        return RoleResult(
            slopes=slopes,
            costs=tuple(
                cost_at(line, TARGET.changes_per_day / DAY_S) for line in slopes if line.axis is Axis.CHANGES
            ),
            figures=figures_of(found, unnoticed),
            bars=bars_of(found, unnoticed),
        )


@contextmanager
def settled(services: int, pace: Pace, linked: bool = False) -> Iterator[ListEditor]:
    """A daemon that has been up for a while."""
    with tempfile.TemporaryDirectory() as folder:
        site = ServiceSite(Path(folder), services, TARGET.servers_per_service, linked=linked)
        site.write()
        with daemon_process(site, DAEMON_CORE) as daemon:
            daemon.wait_until_up()
            time.sleep(pace.settle_s)
            yield ListEditor(daemon)


def change_costs(services: int, repeats: int, pace: Pace) -> ChangeCosts:
    """All repeats at one size, on one daemon."""
    costs = ChangeCosts()
    with settled(services, pace) as editor:
        last = editor.services[-1]
        for _ in range(repeats):
            costs.in_force_s.append(editor.wait_for(last, editor.change(last)))
            costs.drained_s.append(editor.wait_for_drain(last, editor.change(last, first_drains=True)))
            editor.wait_for(last, editor.change(last))
            time.sleep(pace.old_s)
            idle = editor.daemon.core_share(pace.changing_s)
            busy = editor.share_at(CHANGES_PER_S, pace.changing_s)
            costs.cpu_ms.append((busy - idle) / CHANGES_PER_S * 1e3)
            costs.all_in_force_s.append(editor.wait_for_all(editor.change_all()))
            time.sleep(pace.settle_s)
            costs.quiet_hold_ms.append(held(editor, pace.hold_s, all_change=False).longest_ms)
            costs.hold_ms.append(held(editor, pace.hold_s, all_change=True).longest_ms)
            time.sleep(pace.settle_s)
    return costs


def held(editor: ListEditor, seconds: float, all_change: bool) -> ProbeReport:
    """What a steady probe sees while all lists are replaced at one moment, or while nothing changes."""
    with steady_probe(editor.site.port, seconds, PROBE_CORE) as probe:
        time.sleep(min(BEFORE_ALL_S, seconds / 4))
        if all_change:
            editor.change_all()
        return probe.report()


def drains_without_notification(services: int, repeats: int, pace: Pace) -> list[float]:
    """Seconds until a drain is in force where the list is a link to a file in another folder."""
    with settled(services, pace, linked=True) as editor:
        last = editor.services[-1]
        found: list[float] = []
        for number in range(repeats):
            time.sleep(pace.old_s + number * PHASE_S)
            found.append(editor.wait_for_drain(last, editor.change(last, first_drains=True)))
            editor.wait_for(last, editor.change(last))
        return found


def shares_by_rate(services: int, repeats: int, pace: Pace) -> dict[float, list[float]]:
    """Shares of a core by changes a second, less the share with none."""
    with settled(services, pace) as editor:
        found: dict[float, list[float]] = {rate: [] for rate in RATES_PER_S}
        for _ in range(repeats):
            time.sleep(pace.old_s)
            idle = editor.daemon.core_share(pace.changing_s)
            for rate in RATES_PER_S:
                found[rate].append(editor.share_at(rate, pace.changing_s) - idle)
        return found


def slopes_of(found: dict[int, ChangeCosts]) -> tuple[Slope, ...]:
    """Against services."""
    if not has_slope(found):
        return ()
    axis = Axis.SERVICES
    day = Situation.ORDINARY_DAY
    in_force = {size: each.in_force_s for size, each in found.items()}
    cpu = {size: each.cpu_ms for size, each in found.items()}
    together = {size: each.all_in_force_s for size, each in found.items()}
    hold = {size: each.hold_ms for size, each in found.items()}
    return (
        slope("lists", axis, Unit.SECONDS, in_force, day, "one list in force"),
        slope("lists", axis, Unit.MILLISECONDS, cpu, day, "CPU of one change"),
        slope("lists", axis, Unit.SECONDS, together, day, "all lists replaced at one moment, in force"),
        slope("lists", axis, Unit.MILLISECONDS, hold, day, "longest answer while all are replaced"),
    )


def rate_slopes(rates: dict[float, list[float]]) -> tuple[Slope, ...]:
    """Against changes a second."""
    if not has_slope(rates):
        return ()
    note = "more than with no change"
    return (slope("lists", Axis.CHANGES, Unit.CORE_SHARE, rates, Situation.ORDINARY_DAY, note),)


def figures_of(found: dict[int, ChangeCosts], unnoticed: list[float]) -> tuple[Figure, ...]:
    """What is no slope."""
    rows = [figure("drain in force without a notification", unnoticed, "s", "lists are links")]
    for size, each in found.items():
        rows += [
            figure(f"{size} services: a list in force", each.in_force_s, "s"),
            figure(f"{size} services: a drain in force", each.drained_s, "s"),
            figure(f"{size} services: CPU of a change", each.cpu_ms, "ms"),
            figure(f"{size} services: all lists in force", each.all_in_force_s, "s"),
            figure(f"{size} services: longest answer, all replaced", each.hold_ms, "ms"),
            figure(f"{size} services: longest answer, no change", each.quiet_hold_ms, "ms"),
        ]
    return tuple(rows)


def bars_of(found: dict[int, ChangeCosts], unnoticed: list[float]) -> tuple[Bar, ...]:
    """Worst of the repeats where a time is promised, medians where costs are compared."""
    least, largest = found[min(found)], found[max(found)]
    services = max(found)
    more_ms = statistics.median(largest.hold_ms) - statistics.median(largest.quiet_hold_ms)
    bars = [
        Bar(f"a list in force at {services} services, s", max(largest.in_force_s), BUDGET.in_force_s),
        Bar(f"a drain in force at {services} services, s", max(largest.drained_s), BUDGET.drain_s),
        Bar("a drain in force without a notification, s", max(unnoticed), BUDGET.drain_s),
        Bar(
            f"{services} lists replaced at once, in force, s", max(largest.all_in_force_s), BUDGET.in_force_s
        ),
        Bar(
            "longest answer while all lists are replaced, ms more than with no change", more_ms, MOST_HOLD_MS
        ),
    ]
    if len(found) > 1:
        ratio = statistics.median(largest.cpu_ms) / max(statistics.median(least.cpu_ms), 1e-9)
        bars.append(Bar(f"CPU of a change at {services} services, by that at one", ratio, MOST_COST_RATIO))
    return tuple(bars)
