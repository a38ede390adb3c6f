"""Restarts with what the daemon keeps in its state file, and what the store writes for a change."""

from __future__ import annotations

import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.capacity.daemon_process import daemon_process
from benchmarks.capacity.list_changes import ListEditor
from benchmarks.capacity.process_slopes import DAEMON_CORE, SERVICES, figure, has_slope, slope
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.service_site import ServiceSite
from benchmarks.capacity.slopes import Axis, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from benchmarks.report import Bar

UP_S = 2.0
SETTLE_S = 3.0
SHORT_SETTLE_S = 0.5
CHANGES = 5
SHORT_SIZES = (1,)


@dataclass
class RestartCosts:
    """At one number of services."""

    without_state_s: list[float] = field(default_factory=list)
    with_state_s: list[float] = field(default_factory=list)
    state_bytes: list[float] = field(default_factory=list)
    bytes_per_change: list[float] = field(default_factory=list)


class Restarts:
    """A start with an empty state file, list changes, an orderly end, and a start with what was kept."""

    name = "process-restart"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against services."""
        settle_s = SHORT_SETTLE_S if short else SETTLE_S
        sizes = SHORT_SIZES if short else SERVICES
        found = {size: restart_costs(size, repeats, settle_s) for size in sizes}
        slopes = slopes_of(found)
        largest = max(found)
        worst = max(found[largest].with_state_s)
        return RoleResult(
            slopes=slopes,
            figures=figures_of(found),
            bars=(Bar(f"a restart with state at {largest} services, s", worst, UP_S),),
        )


def restart_costs(services: int, repeats: int, settle_s: float) -> RestartCosts:
    """All repeats at one size."""
    costs = RestartCosts()
    for _ in range(repeats):
        with tempfile.TemporaryDirectory() as folder:
            site = ServiceSite(Path(folder), services, TARGET.servers_per_service, state=True)
            site.write()
            with daemon_process(site, DAEMON_CORE) as daemon:
                costs.without_state_s.append(daemon.wait_until_up().seconds)
                time.sleep(settle_s)
                costs.bytes_per_change.append(written_per_change(ListEditor(daemon), settle_s))
            costs.state_bytes.append(float(kept_bytes(site)))
            with daemon_process(site, DAEMON_CORE) as daemon:
                costs.with_state_s.append(daemon.wait_until_up().seconds)
    return costs


def written_per_change(editor: ListEditor, settle_s: float) -> float:
    """Bytes by which the journal grows for one change of a list. A snapshot that comes between makes it
    shorter; the figure is then of the changes since."""
    before = journal_bytes(editor.site)
    for number in range(CHANGES):
        service = editor.services[number % len(editor.services)]
        editor.wait_for(service, editor.change(service))
    time.sleep(settle_s)
    return max(0, journal_bytes(editor.site) - before) / CHANGES


def journal_bytes(site: ServiceSite) -> int:
    """The size of the journal; 0 where there is none yet."""
    return size_of(site.state_file.with_name(site.state_file.name + ".journal"))


def kept_bytes(site: ServiceSite) -> int:
    """All that the store holds."""
    return size_of(site.state_file) + journal_bytes(site)


def size_of(path: Path) -> int:
    """Bytes of a file; 0 where there is none."""
    return path.stat().st_size if path.exists() else 0


def slopes_of(found: dict[int, RestartCosts]) -> tuple[Slope, ...]:
    """Where there are sizes enough."""
    if not has_slope(found):
        return ()
    axis, again = Axis.SERVICES, Situation.RESTARTS
    with_state = {size: each.with_state_s for size, each in found.items()}
    without = {size: each.without_state_s for size, each in found.items()}
    return (
        slope("restart", axis, Unit.SECONDS, with_state, again, "with state, until up"),
        slope("restart", axis, Unit.SECONDS, without, again, "without state, until up"),
    )


def figures_of(found: dict[int, RestartCosts]) -> tuple[Figure, ...]:
    """Times and sizes of each number of services."""
    rows: list[Figure] = []
    for size, each in found.items():
        rows += [
            figure(f"{size} services: up without state", each.without_state_s, "s"),
            figure(f"{size} services: up with state", each.with_state_s, "s"),
            figure(f"{size} services: state file and journal", each.state_bytes, "B"),
            figure(f"{size} services: journal of a change", each.bytes_per_change, "B"),
        ]
    return tuple(rows)
