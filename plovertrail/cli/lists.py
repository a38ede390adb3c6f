"""`plovertrail explain list`: what was read of a file, and what became of it."""

from __future__ import annotations

import sys
from typing import Any

import click

from plovertrail.cli.control import SOCKET, ask
from plovertrail.config.problems import did_you_mean


def tell_source(source: dict[str, Any], pools: dict[str, Any]) -> None:
    """One file: what was read of it, when, and what became of it in each pool that follows it."""

    def ago(seconds: float | None) -> str:
        return "never" if seconds is None else f"{seconds:.1f} s ago"

    told = f"{source['path']}: {source['state']}"
    if source["hung_for_s"] is not None:
        told += f" for {source['hung_for_s']:.1f} s; what was read last stays"
    click.echo(told)
    click.echo(
        f"  read {ago(source['read_s_ago'])}, changed {ago(source['changed_s_ago'])}; generation "
        f"{source['generation']} here, version {source['version']}, {source['servers']} servers"
    )
    click.echo(f"  sha256 {source['digest'] or 'none: nothing good was read'}")
    if source["refusal"]:
        click.echo(f"  ! {source['refusal']}")
    for subscriber in source["subscribers"]:
        click.echo(f"  followed by {subscriber}")
        for problem in pools.get(subscriber, {}).get("problems", ()):
            click.echo(f"    ! {problem}")


@click.command(name="list")
@click.argument("file")
@SOCKET
def list_file(file: str, path: str) -> None:
    """Say what was read of FILE, when, its generation and digest, and who follows it; exits with 3 if it
    gives no list."""
    status = ask(path, do="status")["status"]
    found = [source for source in status["lists"]["sources"] if source["path"] == file]
    if not found:
        followed = [source["path"] for source in status["lists"]["sources"]]
        click.echo(f"no list is read from {file}: {did_you_mean(file, followed)}", err=True)
        sys.exit(1)
    for source in found:
        tell_source(source, status["pools"])
    if any(source["hung_for_s"] is not None or source["refusal"] for source in found):
        sys.exit(3)
