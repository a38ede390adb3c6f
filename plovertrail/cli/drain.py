"""`plovertrail drain` and `undrain`: drains by hand, over the control socket of a running daemon."""

from __future__ import annotations

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, call_or_exit


@click.command()
@click.argument("pool")
@click.argument("server")
@SOCKET_OPTION
def drain(pool: str, server: str, path: str) -> None:
    """Send SERVER of POOL nothing new, from now on and through restarts, whatever its sources say."""
    call_or_exit(path, do="drain", pool=pool, server=server)
    click.echo(f"{pool} {server}: drains; nothing new is sent to it")


@click.command()
@click.argument("pool")
@click.argument("server")
@SOCKET_OPTION
def undrain(pool: str, server: str, path: str) -> None:
    """End a drain by hand; where a source drains the server, it drains on."""
    call_or_exit(path, do="undrain", pool=pool, server=server)
    click.echo(f"{pool} {server}: drained by hand no more")
