"""`plovertrail status`, `drain` and `undrain`: over the control socket of a running daemon."""

from __future__ import annotations

import json
import socket
import sys
import time
from typing import Any

import click

from plovertrail.decisions.recovery import Phase

SOCKET = click.option(
    "--socket",
    "path",
    envvar="PLOVERTRAIL_SOCKET",
    required=True,
    help="control_socket of the daemon's file; or in PLOVERTRAIL_SOCKET.",
)
PATIENCE_S = 5.0
LONGEST_ANSWER = 64 << 20
LOOK_S = 0.05  # between two looks while waiting


class NoAnswerError(Exception):
    """A call that was not answered as asked; the text says why."""


def asked(path: str, **what: str) -> dict[str, Any]:
    """One call; raises NoAnswerError."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(PATIENCE_S)
            sock.connect(path)
            sock.sendall(json.dumps(what).encode() + b"\n")
            with sock.makefile("rb") as file:
                answer: dict[str, Any] = json.loads(file.readline(LONGEST_ANSWER))
    except (OSError, ValueError) as error:
        raise NoAnswerError(f"no daemon answers on {path}: {error}") from None
    if not answer.get("ok"):
        raise NoAnswerError(answer.get("error", "it failed"))
    return answer


def ask(path: str, **what: str) -> dict[str, Any]:
    """One call; prints what went wrong and exits with 1."""
    try:
        return asked(path, **what)
    except NoAnswerError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


@click.command()
@click.argument("pool")
@click.argument("server")
@SOCKET
def drain(pool: str, server: str, path: str) -> None:
    """Send SERVER of POOL nothing new, from now on and through restarts, whatever its sources say."""
    ask(path, do="drain", pool=pool, server=server)
    click.echo(f"{pool} {server}: drains; nothing new is sent to it")


@click.command()
@click.argument("pool")
@click.argument("server")
@SOCKET
def undrain(pool: str, server: str, path: str) -> None:
    """End a drain by hand; where a source drains the server, it drains on."""
    ask(path, do="undrain", pool=pool, server=server)
    click.echo(f"{pool} {server}: drained by hand no more")


def tell_phase(recovery: dict[str, Any]) -> str:
    """The phase, since when, and what is missing."""
    told = f"{recovery['phase']} for {recovery['since_s']:.1f} s ({recovery['why']})"
    if recovery["to_full_s"] is not None:
        told += f", last back to full after {recovery['to_full_s']:.3f} s"
    if recovery["gaps"]:
        told += f", stood still {recovery['gaps']} times, {recovery['longest_gap_s']:.1f} s at most"
    return told


@click.command()
@click.option(
    "--phase",
    type=click.Choice([phase.value for phase in Phase]),
    default=Phase.FULL.value,
    help="The phase to wait for; a later one counts as well. Default: full.",
)
@click.option(
    "--within",
    "within_s",
    type=click.FloatRange(min=0),
    default=60.0,
    help="Seconds to wait at most. Default: 60.",
)
@SOCKET
def wait(phase: str, within_s: float, path: str) -> None:
    """Wait until the daemon has come so far, for rollouts: exits with 0 then, with 4 if it hasn't in time."""
    order = [each.value for each in Phase]
    ends = time.monotonic() + within_s
    while True:
        try:
            recovery = asked(path, do="status")["status"]["recovery"]
        except NoAnswerError as error:
            told = str(error)
        else:
            told = tell_phase(recovery)
            if order.index(recovery["phase"]) >= order.index(phase):
                click.echo(told)
                return
            told += "".join(f"\n  {name}: {why}" for name, why in recovery["missing"].items())
        if time.monotonic() >= ends:
            click.echo(f"not {phase} within {within_s:g} s: {told}", err=True)
            sys.exit(4)
        time.sleep(min(LOOK_S, max(0.0, ends - time.monotonic())))


def tell_peers(peers: dict[str, Any]) -> None:
    """Who counts together with this instance, and how far the counts may be off."""
    if not peers:
        return
    bound = peers["bound"]
    click.echo(
        f"peers: {peers['name']} hears {peers['heard']} of {peers['size'] - 1}; counts are at most "
        f"{bound['under']:.1%} too low, {bound['over']:.1%} too high, of rate times window"
    )
    for told in [peers["problem"], *(f"two instances are called {name}" for name in peers["twins"])]:
        if told:
            click.echo(f"  ! {told}")
    for address, peer in peers["peers"].items():
        heard = (
            "never heard"
            if peer["heard_s_ago"] is None
            else (f"heard {peer['heard_s_ago']:.2f} s ago, {peer['loss']:.1%} lost")
        )
        click.echo(f"  {address} {peer['name'] or '?'}: {heard}")
    for name, each in peers["counts"].items():
        click.echo(f"  {name}: {each['own']:g} here, {each['fleet']:g} in the fleet")


def tell_lists(lists: dict[str, Any]) -> None:
    """What is in force of all files, and which of them give none."""
    click.echo(
        f"lists: generation {lists['generation']}, {len(lists['sources'])} files, "
        f"digest {lists['digest'][:16]}, a change is seen "
        f"within {lists['detects_within_s']:g} s, notifications {lists['notifications']}"
    )
    for told in lists["problems"]:
        click.echo(f"  ! {told}")
    for source in lists["sources"]:
        if source["hung_for_s"] is not None:
            click.echo(f"  ! {source['path']}: {source['state']} for {source['hung_for_s']:.1f} s")
        elif source["refusal"]:
            click.echo(f"  ! {source['path']}: {source['refusal']}")


@click.command()
@SOCKET
@click.option("--json", "as_json", is_flag=True, help="All of it, as JSON.")
def status(path: str, as_json: bool) -> None:
    """Say what is in force; exits with 3 while something is wrong with a list."""
    found = ask(path, do="status")["status"]
    if as_json:
        click.echo(json.dumps(found, indent=1))
    else:
        click.echo(
            f"{found['file']}: generation {found['generation']}, {found['connections']} connections, "
            f"{found['requests']} requests open, state file: {found['state_file']}"
        )
        click.echo(f"phase: {tell_phase(found['recovery'])}")
        for name, why in found["recovery"]["missing"].items():
            click.echo(f"  ! {name}: {why}")
        if found["reload"]["problem"]:
            click.echo(f"  ! the last reload was refused: {found['reload']['problem']}")
        tell_lists(found["lists"])
        for name, pool in found["pools"].items():
            click.echo(f"{name}: generation {pool['generation']}, {len(pool['servers'])} servers")
            for told in pool["problems"]:
                click.echo(f"  ! {told}")
            for server in pool["servers"]:
                click.echo(f"  {server['id']} {server['address']} {server['state']}, {server['open']} open")
        tell_peers(found.get("peers") or {})
    pools = any(pool["problems"] for pool in found["pools"].values())
    lists = found["lists"]["problems"] or found["lists"]["hung"]
    if pools or lists or (found.get("peers") or {}).get("problem"):
        sys.exit(3)
