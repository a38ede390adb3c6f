"""`plovertrail status`: what is in force in a running daemon, over its control socket."""

from __future__ import annotations

import json
import sys
from typing import Any

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, status_or_exit

HAS_PROBLEMS = 3  # exit status
DIGEST_CHARACTERS = 16  # of a SHA-256 in hexadecimal digits


def phase_text(recovery: dict[str, Any]) -> str:
    """The phase, since when the daemon is in it, and why."""
    text = f"{recovery['phase']} for {recovery['since_s']:.1f} s ({recovery['why']})"
    if recovery["to_full_s"] is not None:
        text += f", last back to full after {recovery['to_full_s']:.3f} s"
    if recovery["gaps"]:
        text += f", stood still {recovery['gaps']} times, {recovery['longest_gap_s']:.1f} s at most"
    return text


def print_peers(peers: dict[str, Any]) -> None:
    """Print which instances count together with this one, and how far the counts may be off."""
    if not peers:
        return
    bound = peers["bound"]
    click.echo(
        f"peers: {peers['name']} hears {peers['heard']} of {peers['size'] - 1}; counts are at most "
        f"{bound['under']:.1%} too low, {bound['over']:.1%} too high, of rate times window"
    )
    _print_problems([peers["problem"], *(f"two instances are called {name}" for name in peers["twins"])])
    for address, peer in peers["peers"].items():
        click.echo(f"  {address} {peer['name'] or '?'}: {_last_heard_text(peer)}")
    for name, count in peers["counts"].items():
        click.echo(f"  {name}: {count['own']:g} here, {count['fleet']:g} in the fleet")


def _last_heard_text(peer: dict[str, Any]) -> str:
    if peer["heard_s_ago"] is None:
        return "never heard"
    return f"heard {peer['heard_s_ago']:.2f} s ago, {peer['loss']:.1%} lost"


def print_lists(lists: dict[str, Any]) -> None:
    """Print the generation of all watched files, and which of them can't be read."""
    click.echo(
        f"lists: generation {lists['generation']}, {len(lists['sources'])} files, "
        f"digest {lists['digest'][:DIGEST_CHARACTERS]}, a change is seen "
        f"within {lists['detects_within_s']:g} s, notifications {lists['notifications']}"
    )
    _print_problems(lists["problems"])
    for source in lists["sources"]:
        if source["hung_for_s"] is not None:
            click.echo(f"  ! {source['path']}: {source['state']} for {source['hung_for_s']:.1f} s")
        elif source["refusal"]:
            click.echo(f"  ! {source['path']}: {source['refusal']}")


def print_pool(name: str, pool: dict[str, Any]) -> None:
    """Print a pool's problems and endpoints."""
    click.echo(f"{name}: generation {pool['generation']}, {len(pool['servers'])} servers")
    _print_problems(pool["problems"])
    for endpoint in pool["servers"]:
        click.echo(f"  {endpoint['id']} {endpoint['address']} {endpoint['state']}, {endpoint['open']} open")


def print_status(status: dict[str, Any]) -> None:
    """Print a daemon's status for a person to read."""
    click.echo(
        f"{status['file']}: generation {status['generation']}, {status['connections']} connections, "
        f"{status['requests']} requests open, state file: {status['state_file']}"
    )
    click.echo(f"phase: {phase_text(status['recovery'])}")
    _print_problems([f"{name}: {why}" for name, why in status["recovery"]["missing"].items()])
    if status["reload"]["problem"]:
        _print_problems([f"the last reload was refused: {status['reload']['problem']}"])
    print_lists(status["lists"])
    for name, pool in status["pools"].items():
        print_pool(name, pool)
    print_peers(status.get("peers") or {})


def _print_problems(problems: list[str]) -> None:
    for problem in problems:
        if problem:
            click.echo(f"  ! {problem}")


def _has_problems(status: dict[str, Any]) -> bool:
    """Whether something is wrong with a list of endpoints, a watched file or the list of peers."""
    if any(pool["problems"] for pool in status["pools"].values()):
        return True
    if status["lists"]["problems"] or status["lists"]["hung"]:
        return True
    return bool((status.get("peers") or {}).get("problem"))


@click.command()
@SOCKET_OPTION
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(path: str, as_json: bool) -> None:
    """Say what is in force; exits with 3 while something is wrong with a list."""
    found = status_or_exit(path)
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        print_status(found)
    if _has_problems(found):
        sys.exit(HAS_PROBLEMS)
