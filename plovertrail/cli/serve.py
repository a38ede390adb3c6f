"""`plovertrail serve FILE`"""

from __future__ import annotations

import asyncio
import sys

import click

from plovertrail import daemon
from plovertrail.cli.files import load_or_exit
from plovertrail.config.problems import ConfigError
from plovertrail.logs import log_to_stderr


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def serve(file: str) -> None:
    """Serve under FILE. SIGHUP reads it again, in full or not at all; SIGTERM answers all that is open and
    exits with 0."""
    setup = load_or_exit(file)
    log_to_stderr()
    try:
        asyncio.run(daemon.serve(setup))
    except (ConfigError, OSError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
