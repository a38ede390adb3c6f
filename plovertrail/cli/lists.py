"""`plovertrail explain list`: the last reads of a watched file, and the pools that follow it."""

from __future__ import annotations

import sys
from typing import Any

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, status_or_exit
from plovertrail.config.problems import did_you_mean

UNKNOWN_FILE = 1  # exit status
GIVES_NO_LIST = 3  # exit status


def print_source(source: dict[str, Any], pools: dict[str, Any]) -> None:
    """Print the last reads of a file, and its problems in each pool that follows it."""
    headline = f"{source['path']}: {source['state']}"
    if source["hung_for_s"] is not None:
        headline += f" for {source['hung_for_s']:.1f} s; what was read last stays"
    click.echo(headline)
    click.echo(
        f"  read {_ago(source['read_s_ago'])}, changed {_ago(source['changed_s_ago'])}; generation "
        f"{source['generation']} here, version {source['version']}, {source['servers']} servers"
    )
    click.echo(f"  sha256 {source['digest'] or 'none: nothing good was read'}")
    if source["refusal"]:
        click.echo(f"  ! {source['refusal']}")
    for subscriber in source["subscribers"]:
        click.echo(f"  followed by {subscriber}")
        for problem in pools.get(subscriber, {}).get("problems", ()):
            click.echo(f"    ! {problem}")


def _ago(seconds: float | None) -> str:
    return "never" if seconds is None else f"{seconds:.1f} s ago"


@click.command(name="list")
@click.argument("file")
@SOCKET_OPTION
def list_file(file: str, path: str) -> None:
    """Say what was read of FILE, when, its generation and digest, and who follows it.

    Exits with 3 if it gives no list.
    """
    status = status_or_exit(path)
    sources = status["lists"]["sources"]
    found = [source for source in sources if source["path"] == file]
    if not found:
        suggestion = did_you_mean(file, [source["path"] for source in sources])
        click.echo(f"no list is read from {file}: {suggestion}", err=True)
        sys.exit(UNKNOWN_FILE)
    for source in found:
        print_source(source, status["pools"])
    if any(source["hung_for_s"] is not None or source["refusal"] for source in found):
        sys.exit(GIVES_NO_LIST)
