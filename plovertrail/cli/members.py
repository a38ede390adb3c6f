"""`plovertrail members` (alias `fellows`) and `plovertrail explain`: cluster members, endpoint health.

The status keys that are read here are listed in peers/membership_transport.py and health_reporter.py.
"""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, status_or_exit

NOT_ENABLED = "instances don't know one another: the daemon's file has no [fellows]"
EXIT_ISOLATED = 3
MAX_HEALTH_SCORE = 8


def print_members(status: dict[str, Any]) -> None:
    """Print the members as this instance sees them."""
    score = status["doubt"]
    health = f", doubts itself ({score} of {MAX_HEALTH_SCORE})" if score else ""
    click.echo(
        f"{status['name']}: {status['size'] - 1} others are there{health}; a dead one is silent here "
        f"within {status['detects_within_s']:g} s"
    )
    if status["alone"]:
        click.echo("  ! it hears nobody, and so judges nobody")
    for name in status["twins"]:
        click.echo(f"  ! two instances are called {name}: give each a name of its own")
    for name, member in status["fellows"].items():
        click.echo(f"  {name} {member_text(member)}")


def member_text(member: dict[str, Any]) -> str:
    """Return one member's address, state and when it was heard."""
    ago = member["heard_s_ago"]
    heard = "never heard itself" if ago is None else f"heard {ago:.1f} s ago"
    zone = f" in {member['zone']}" if member["zone"] else ""
    accusers = ", ".join(member["suspected_by"])
    suspected = f", suspected by {accusers}" if accusers else ""
    state = f"{member['state']} for {member['since_s']:.1f} s"
    return f"{member['address']}{zone}: {state}, {heard}{suspected}"


def print_health(endpoint: str, class_name: str, health: dict[str, Any]) -> None:
    """Print the health of one endpoint for one class, and the evidence."""
    own = health["own"]
    heard = health["heard"]
    penalty = health["held_back"]
    unsuccessful = own["faults"] + own["silent"] + own["full"]
    effect = f"drawn less, by {penalty:.2f} of 1" if penalty else "drawn as any other"
    click.echo(f"{endpoint}, {class_name}: {effect}")
    click.echo(
        f"  here {own['attempts']:g} attempts of late, {unsuccessful:g} came to nothing "
        f"({own['faults']:g} failed, {own['silent']:g} not answered, {own['full']:g} turned away)"
    )
    click.echo(
        f"  elsewhere {heard['attempts']:g}, {heard['wrong']:g} came to nothing, as they count; "
        f"{health['found_wrong_by']} others find it wrong"
    )
    click.echo(f"  at all servers {health['everywhere']:.0%} comes to nothing")


def show_members(path: str, as_json: bool) -> None:
    """Print the members that the daemon at a control socket sees."""
    status = status_or_exit(path).get("fellows")
    if not status:
        click.echo(NOT_ENABLED, err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(status, indent=1))
    else:
        print_members(status)
    if status["alone"]:
        sys.exit(EXIT_ISOLATED)


@click.command()
@SOCKET_OPTION
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def members(path: str, as_json: bool) -> None:
    """Show the members of the cluster and their states; exits with 3 if none is heard."""
    show_members(path, as_json)


@click.command()
@SOCKET_OPTION
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def fellows(path: str, as_json: bool) -> None:
    """Show the members: the older name of `members`."""
    show_members(path, as_json)


@click.group()
def explain() -> None:
    """Say why the daemon decides as it does."""


@explain.command()
@click.argument("server")
@click.option("--pool", help="Of this pool only.")
@SOCKET_OPTION
def server(server: str, pool: str | None, path: str) -> None:
    """Show the health evidence on SERVER, own and peers', and its penalty."""
    status = status_or_exit(path)
    pools = [
        name
        for name, each in status["pools"].items()
        if pool in (None, name) and any(one["id"] == server for one in each["servers"])
    ]
    if not pools:
        click.echo(f"no pool{f' {pool}' if pool else ''} has a server {server!r}", err=True)
        sys.exit(1)
    if not status.get("fellows"):
        click.echo(NOT_ENABLED, err=True)
        sys.exit(1)
    for name in pools:
        by_class = status["judgements"].get(name, {}).get(server, {})
        for class_name, health in by_class.items():
            print_health(f"{name} {server}", class_name, health)
        if not by_class:
            click.echo(f"{name} {server}: nobody finds anything wrong with it")
