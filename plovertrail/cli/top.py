"""`plovertrail top`: tenants, shared counts, other instances and outliers, live in a terminal."""

from __future__ import annotations

import importlib
import sys
import time
from collections import Counter
from typing import TYPE_CHECKING, Any

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, status_or_exit
from plovertrail.cli.status import phase_text

if TYPE_CHECKING:
    from rich.console import Group
    from rich.table import Table

TENANT_COLUMNS = (
    "pool",
    "tenant",
    "weight",
    "share",
    "admitted/s",
    "refused/s",
    "waiting",
    "at work",
    "work ms",
    "wait ms",
)
FIRST_NUMBER_COLUMN = 2
OUTLIER_COLUMNS = (
    "pool",
    "server",
    "class",
    "drawn less by",
    "found wrong by",
    "here",
    "went wrong",
    "elsewhere",
    "went wrong",
)
COUNT_COLUMNS = ("counted over the fleet", "here", "in all")
REFRESHED_KEYS = ("peers", "fellows", "recovery")  # what else is worth drawing where no pool has tenants

TenantFigures = dict[str, dict[str, dict[str, Any]]]  # by pool and tenant, as `fair` of the status has it
Row = list[str]


def tenant_figures(status: dict[str, Any]) -> TenantFigures:
    """The figures of the tenants of each pool that queues requests by tenant."""
    return {name: pool["fair"] for name, pool in status["pools"].items() if pool.get("fair")}


def tenant_rows(before: TenantFigures, now: TenantFigures, seconds: float) -> list[Row]:
    """A row for each tenant that has done or wanted anything, the largest share of a pool's work first.

    Shares and rates are of the time since `before`.
    """
    return [
        row
        for pool, tenants in now.items()
        for row in _pool_rows(pool, before.get(pool, {}), tenants, seconds)
    ]


def _pool_rows(
    pool: str, before: dict[str, dict[str, Any]], now: dict[str, dict[str, Any]], seconds: float
) -> list[Row]:
    work_s = {name: _increase(before, now, name, "work_s") for name in now}
    total_s = sum(work_s.values()) or 1.0
    rows = []
    for name in sorted(work_s, key=work_s.__getitem__, reverse=True):
        tenant = now[name]
        rates = [_increase(before, now, name, key) / seconds for key in ("admitted", "refused")]
        if not (work_s[name] or any(rates) or tenant["waiting"] or tenant["at_work"]):
            continue
        rows.append(
            [
                pool,
                name,
                f"{tenant['weight']:g}",
                f"{100 * work_s[name] / total_s:.1f} %",
                *(f"{rate:.1f}" for rate in rates),
                str(tenant["waiting"]),
                str(tenant["at_work"]),
                f"{tenant['work_ms']:.1f}",
                f"{tenant['wait_ms']:.1f}",
            ]
        )
    return rows


def _increase(
    before: dict[str, dict[str, Any]], now: dict[str, dict[str, Any]], name: str, key: str
) -> float:
    """How far a tenant's counter has risen; 0 for one that a reload has made anew."""
    return max(0.0, float(now[name][key] - before.get(name, {}).get(key, 0)))


def count_rows(peers: dict[str, Any]) -> list[Row]:
    """A row for each shared count that is not zero, the largest first."""
    counts = sorted(peers.get("counts", {}).items(), key=lambda item: -float(item[1]["fleet"]))
    return [
        [name, f"{count['own']:.0f}", f"{count['fleet']:.0f}"] for name, count in counts if count["fleet"]
    ]


def outlier_rows(outliers: dict[str, Any]) -> list[Row]:
    """A row for each endpoint and class that an instance finds unhealthy, the largest penalty first."""
    found = [
        (float(health["held_back"]), [pool, endpoint, class_name, *_health_columns(health)])
        for pool, endpoints in outliers.items()
        for endpoint, classes in endpoints.items()
        for class_name, health in classes.items()
    ]
    return [row for _, row in sorted(found, key=lambda item: (-item[0], item[1]))]


def _health_columns(health: dict[str, Any]) -> Row:
    own, heard = health["own"], health["heard"]
    return [
        f"{health['held_back']:.2f}",
        str(health["found_wrong_by"]),
        f"{own['attempts']:.1f}",
        f"{own['faults'] + own['silent'] + own['full']:.1f}",
        f"{heard['attempts']:.1f}",
        f"{heard['wrong']:.1f}",
    ]


def summary_lines(status: dict[str, Any]) -> list[str]:
    """Return the lines above the tables: phase, failed sources, slow starts and other instances."""
    lines = []
    if recovery := status.get("recovery"):
        lines.append(f"phase: {phase_text(recovery)}")
        lines += [f"  ! {name}: {why}" for name, why in recovery["missing"].items()]
    for name, pool in status.get("pools", {}).items():
        if admission := pool.get("admission"):
            lines.append(
                f"{name}: begins slowly, {admission['window']} at once of {admission['servers']} "
                f"({admission['refused']} refused)"
            )
    if membership := status.get("fellows"):
        lines.append(_membership_line(membership))
    return lines


def _membership_line(membership: dict[str, Any]) -> str:
    states = Counter(member["state"] for member in membership["fellows"].values())
    line = "other instances: "
    line += ", ".join(f"{count} {state}" for state, count in sorted(states.items())) or "none known"
    if membership["doubt"]:
        line += f"; it doubts itself ({membership['doubt']} of 8)"
    if membership["alone"]:
        line += "; it hears nobody"
    return line


def screen(tenants: list[Row], status: dict[str, Any]) -> Group:
    """All of it, for a terminal."""
    from rich.console import Group
    from rich.text import Text

    parts: list[Text | Table] = [Text(line) for line in summary_lines(status)]
    if tenants:
        table = _table(TENANT_COLUMNS, tenants)
        for column in table.columns[FIRST_NUMBER_COLUMN:]:
            column.justify = "right"
        parts.append(table)
    if peers := status.get("peers"):
        bound = peers["bound"]
        title = (
            f"{peers['heard']} of {peers['size'] - 1} peers heard; at most "
            f"{bound['under']:.1%} too low, {bound['over']:.1%} too high"
        )
        parts.append(_table(COUNT_COLUMNS, count_rows(peers), title))
    if outliers := outlier_rows(status.get("judgements") or {}):
        parts.append(_table(OUTLIER_COLUMNS, outliers, "servers that somebody finds wrong"))
    return Group(*parts)


def _table(columns: tuple[str, ...], rows: list[Row], title: str | None = None) -> Table:
    from rich.table import Table

    table = Table(*columns, title=title)
    for row in rows:
        table.add_row(*row)
    return table


def refresh(path: str, every_s: float, times: int) -> None:
    """Draw the status again and again, `times` times or until interrupted."""
    from rich.console import Console
    from rich.live import Live

    status = status_or_exit(path)
    before, before_s = tenant_figures(status), time.monotonic()
    if not before and not any(status.get(key) for key in REFRESHED_KEYS):
        click.echo("no pool shares its slots; write fair = {} in [pools.NAME]")
        return
    drawn = 0
    with Live(screen(tenant_rows({}, before, 1.0), status), console=Console(), auto_refresh=False) as live:
        while not times or drawn < times:
            time.sleep(every_s)
            status = status_or_exit(path)
            now, now_s = tenant_figures(status), time.monotonic()
            live.update(screen(tenant_rows(before, now, now_s - before_s), status), refresh=True)
            before, before_s = now, now_s
            drawn += 1


@click.command()
@SOCKET_OPTION
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
@click.option("--times", default=0, help="So many looks, then end; 0: until interrupted.")
def top(path: str, every: float, times: int) -> None:
    """Show the phase, the tenants of each pool with `fair`, shared counts, other instances and outliers.

    Of tenants it shows their share of the pool's work, rates, waits and refusals.
    """
    try:
        importlib.import_module("rich")
    except ImportError as error:
        click.echo(f"it can't be drawn here: {error}; install plovertrail[top]", err=True)
        sys.exit(2)
    try:
        refresh(path, every, times)
    except KeyboardInterrupt:
        return
