"""`plovertrail check FILE`"""

from __future__ import annotations

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.daemon import needed_descriptors, needed_memory


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check FILE and start nothing. Prints all that is wrong, each with its place, and exits with 2; else
    says what it would hold."""
    setup = load_or_exit(file)
    servers = sum(len(pool.servers) for pool in setup.pools.values())
    click.echo(f"{file}: good: {len(setup.listeners)} listeners, {len(setup.routes.routes)} routes, "
               f"{len(setup.pools)} pools with {servers} servers, {len(setup.classes)} classes; "
               f"at most {needed_descriptors(setup)} descriptors, "
               f"{needed_memory(setup) >> 20} MiB of messages")
    for name, pool in setup.pools.items():
        if not any(not server.drain for server in pool.servers):
            click.echo(f"note: pools.{name} has no server that takes requests: it refuses all")
