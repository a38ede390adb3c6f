"""`plovertrail fellows` and `plovertrail explain`: who is there, and what is thought of a server and why."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, call_or_exit

NOT_ON = "instances don't know one another: the daemon's file has no [fellows]"


def tell_fellows(found: dict[str, Any]) -> None:
    """This instance's view of the others."""
    doubt = f", doubts itself ({found['doubt']} of 8)" if found["doubt"] else ""
    click.echo(
        f"{found['name']}: {found['size'] - 1} others are there{doubt}; a dead one is silent here "
        f"within {found['detects_within_s']:g} s"
    )
    if found["alone"]:
        click.echo("  ! it hears nobody, and so judges nobody")
    for name in found["twins"]:
        click.echo(f"  ! two instances are called {name}: give each a name of its own")
    for name, each in found["fellows"].items():
        ago = each["heard_s_ago"]
        heard = "never heard itself" if ago is None else f"heard {ago:.1f} s ago"
        zone = f" in {each['zone']}" if each["zone"] else ""
        by = f", suspected by {', '.join(each['suspected_by'])}" if each["suspected_by"] else ""
        click.echo(
            f"  {name} {each['address']}{zone}: {each['state']} for {each['since_s']:.1f} s, {heard}{by}"
        )


def tell_opinion(server: str, kind: str, found: dict[str, Any]) -> None:
    """One opinion and what it comes of."""
    own, heard = found["own"], found["heard"]
    wrong = own["faults"] + own["silent"] + own["full"]
    held = f"drawn less, by {found['held_back']:.2f} of 1" if found["held_back"] else "drawn as any other"
    click.echo(f"{server}, {kind}: {held}")
    click.echo(
        f"  here {own['attempts']:g} attempts of late, {wrong:g} came to nothing "
        f"({own['faults']:g} failed, {own['silent']:g} not answered, {own['full']:g} turned away)"
    )
    click.echo(
        f"  elsewhere {heard['attempts']:g}, {heard['wrong']:g} came to nothing, as they count; "
        f"{found['found_wrong_by']} others find it wrong"
    )
    click.echo(f"  at all servers {found['everywhere']:.0%} comes to nothing")


@click.command()
@SOCKET_OPTION
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def fellows(path: str, as_json: bool) -> None:
    """Say who else is there, since when, and how each was heard; exits with 3 if nobody is heard."""
    found = call_or_exit(path, do="status")["status"].get("fellows")
    if not found:
        click.echo(NOT_ON, err=True)
        sys.exit(1)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        tell_fellows(found)
    if found["alone"]:
        sys.exit(3)


@click.group()
def explain() -> None:
    """Say why the daemon decides as it does."""


@explain.command()
@click.argument("server")
@click.option("--pool", help="Of this pool only.")
@SOCKET_OPTION
def server(server: str, pool: str | None, path: str) -> None:
    """Say what is thought of SERVER, here and elsewhere, and how much less it is drawn for that."""
    status = call_or_exit(path, do="status")["status"]
    pools = [
        name
        for name, each in status["pools"].items()
        if pool in (None, name) and any(one["id"] == server for one in each["servers"])
    ]
    if not pools:
        click.echo(f"no pool{f' {pool}' if pool else ''} has a server {server!r}", err=True)
        sys.exit(1)
    if not status.get("fellows"):
        click.echo(NOT_ON, err=True)
        sys.exit(1)
    for name in pools:
        found = status["judgements"].get(name, {}).get(server, {})
        for kind, opinion in found.items():
            tell_opinion(f"{name} {server}", kind, opinion)
        if not found:
            click.echo(f"{name} {server}: nobody finds anything wrong with it")
