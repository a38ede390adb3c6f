"""`plovertrail top`: the tenants of pools that share their slots, live in a terminal."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from plovertrail.cli.control import SOCKET, ask

Figures = dict[str, dict[str, dict[str, Any]]]  # of each tenant, by pool
COLUMNS = ("pool", "tenant", "weight", "share", "admitted/s", "refused/s", "waiting", "at work", "work ms",
           "wait ms")


def figures(path: str) -> Figures:
    """What the daemon tells now."""
    pools = ask(path, do="status")["status"]["pools"]
    return {name: pool["fair"] for name, pool in pools.items() if pool.get("fair")}


def rows(before: Figures, now: Figures, seconds: float) -> list[list[str]]:
    """A line for each tenant that has done or wanted anything, the largest share first in its pool: the share
    of the pool's work and the rates since `before`."""
    found = []
    for pool, tenants in now.items():
        old = before.get(pool, {})

        def since(name: str, key: str, old: dict[str, Any] = old, new: dict[str, Any] = tenants) -> float:
            # one that a reload has made anew counts from nothing
            return max(0.0, float(new[name][key] - old.get(name, {}).get(key, 0)))

        work = {name: since(name, "work_s") for name in tenants}
        whole = sum(work.values()) or 1.0
        for name in sorted(work, key=work.__getitem__, reverse=True):
            each = tenants[name]
            rates = [since(name, key) / seconds for key in ("admitted", "refused")]
            if work[name] or any(rates) or each["waiting"] or each["at_work"]:
                found.append([pool, name, f"{each['weight']:g}", f"{100 * work[name] / whole:.1f} %",
                              *(f"{rate:.1f}" for rate in rates), str(each["waiting"]), str(each["at_work"]),
                              f"{each['work_ms']:.1f}", f"{each['wait_ms']:.1f}"])
    return found


def drawn(lines: list[list[str]]) -> Any:
    """The table, for a terminal."""
    from rich.table import Table

    table = Table(*COLUMNS)
    for number in range(2, len(COLUMNS)):
        table.columns[number].justify = "right"
    for line in lines:
        table.add_row(*line)
    return table


@click.command()
@SOCKET
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
@click.option("--times", default=0, help="So many looks, then end; 0: until interrupted.")
def top(path: str, every: float, times: int) -> None:
    """Show the tenants of each pool with `fair`: their share of its work, rates, waits and refusals."""
    try:
        from rich.console import Console
        from rich.live import Live
    except ImportError as error:
        click.echo(f"it can't be drawn here: {error}; install plovertrail[top]", err=True)
        sys.exit(2)
    before, at = figures(path), time.monotonic()
    if not before:
        click.echo("no pool shares its slots; write fair = {} in [pools.NAME]")
        return
    looks = 0
    with Live(drawn(rows({}, before, 1.0)), console=Console(), auto_refresh=False) as live:
        try:
            while not times or looks < times:
                time.sleep(every)
                now, then = figures(path), time.monotonic()
                live.update(drawn(rows(before, now, then - at)), refresh=True)
                before, at, looks = now, then, looks + 1
        except KeyboardInterrupt:
            return
