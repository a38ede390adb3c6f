"""`plovertrail top`: live in a terminal, the phase, tenants, other instances, and what is told of servers."""

from __future__ import annotations

import sys
import time
from collections import Counter
from typing import Any

import click

from plovertrail.cli.control import SOCKET, ask, tell_phase

JUDGED = (
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
SHARED = ("counted over the fleet", "here", "in all")
Figures = dict[str, dict[str, dict[str, Any]]]  # of each tenant, by pool
COLUMNS = (
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


def look(path: str) -> tuple[Figures, dict[str, Any]]:
    """What the daemon tells now: of its tenants, and all."""
    status = ask(path, do="status")["status"]
    doors = {name: pool["fair"] for name, pool in status["pools"].items() if pool.get("fair")}
    return doors, status


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
                found.append(
                    [
                        pool,
                        name,
                        f"{each['weight']:g}",
                        f"{100 * work[name] / whole:.1f} %",
                        *(f"{rate:.1f}" for rate in rates),
                        str(each["waiting"]),
                        str(each["at_work"]),
                        f"{each['work_ms']:.1f}",
                        f"{each['wait_ms']:.1f}",
                    ]
                )
    return found


def shared_rows(peers: dict[str, Any]) -> list[list[str]]:
    """A line for each count that holds anything, the largest first."""
    counts = sorted(peers.get("counts", {}).items(), key=lambda pair: -float(pair[1]["fleet"]))
    return [[name, f"{each['own']:.0f}", f"{each['fleet']:.0f}"] for name, each in counts if each["fleet"]]


def judged_rows(judgements: dict[str, Any]) -> list[list[str]]:
    """A line for each server and class that somebody finds wrong, the one held back most first."""
    found = [
        (
            float(each["held_back"]),
            [
                pool,
                server,
                kind,
                f"{each['held_back']:.2f}",
                str(each["found_wrong_by"]),
                f"{each['own']['attempts']:.1f}",
                f"{sum(each['own'][how] for how in ('faults', 'silent', 'full')):.1f}",
                f"{each['heard']['attempts']:.1f}",
                f"{each['heard']['wrong']:.1f}",
            ],
        )
        for pool, servers in judgements.items()
        for server, kinds in servers.items()
        for kind, each in kinds.items()
    ]
    return [line for _, line in sorted(found, key=lambda pair: (-pair[0], pair[1]))]


def told_of(status: dict[str, Any]) -> list[str]:
    """The lines above the tables: the phase and what is missing, and who else is there."""
    lines = []
    if recovery := status.get("recovery"):
        lines.append(f"phase: {tell_phase(recovery)}")
        lines += [f"  ! {name}: {why}" for name, why in recovery["missing"].items()]
    for name, pool in status.get("pools", {}).items():
        if slow := pool.get("admission"):
            lines.append(
                f"{name}: begins slowly, {slow['window']} at once of {slow['servers']} "
                f"({slow['refused']} refused)"
            )
    if fellows := status.get("fellows"):
        states = Counter(each["state"] for each in fellows["fellows"].values())
        told = ", ".join(f"{count} {state}" for state, count in sorted(states.items())) or "none known"
        doubt = f"; it doubts itself ({fellows['doubt']} of 8)" if fellows["doubt"] else ""
        lines.append(f"other instances: {told}{doubt}" + ("; it hears nobody" if fellows["alone"] else ""))
    return lines


def drawn(lines: list[list[str]], status: dict[str, Any]) -> Any:
    """All of it, for a terminal."""
    from rich.console import Group
    from rich.table import Table
    from rich.text import Text

    parts: list[Any] = [Text(line) for line in told_of(status)]
    if lines:
        table = Table(*COLUMNS)
        for number in range(2, len(COLUMNS)):
            table.columns[number].justify = "right"
        for line in lines:
            table.add_row(*line)
        parts.append(table)
    if peers := status.get("peers"):
        bound = peers["bound"]
        counted = Table(
            *SHARED,
            title=f"{peers['heard']} of {peers['size'] - 1} peers heard; at most "
            f"{bound['under']:.1%} too low, {bound['over']:.1%} too high",
        )
        for line in shared_rows(peers):
            counted.add_row(*line)
        parts.append(counted)
    if judged := judged_rows(status.get("judgements") or {}):
        opinions = Table(*JUDGED, title="servers that somebody finds wrong")
        for line in judged:
            opinions.add_row(*line)
        parts.append(opinions)
    return Group(*parts)


@click.command()
@SOCKET
@click.option("--every", default=1.0, show_default=True, help="Seconds between two looks.")
@click.option("--times", default=0, help="So many looks, then end; 0: until interrupted.")
def top(path: str, every: float, times: int) -> None:
    """Show the phase, the tenants of each pool with `fair` (their share of its work, rates, waits, refusals),
    what is counted together, who else is there, and what is thought of servers."""
    try:
        from rich.console import Console
        from rich.live import Live
    except ImportError as error:
        click.echo(f"it can't be drawn here: {error}; install plovertrail[top]", err=True)
        sys.exit(2)
    (before, status), at = look(path), time.monotonic()
    if not before and not any(status.get(key) for key in ("peers", "fellows", "recovery")):
        click.echo("no pool shares its slots; write fair = {} in [pools.NAME]")
        return
    looks = 0
    with Live(drawn(rows({}, before, 1.0), status), console=Console(), auto_refresh=False) as live:
        try:
            while not times or looks < times:
                time.sleep(every)
                (now, status), then = look(path), time.monotonic()
                live.update(drawn(rows(before, now, then - at), status), refresh=True)
                before, at, looks = now, then, looks + 1
        except KeyboardInterrupt:
            return
