"""`plovertrail seal FILE`"""

from __future__ import annotations

import os
import sys

import click

from plovertrail.sources.file_reading import read_bounded
from plovertrail.sources.lists import InvalidListError, sealed
from plovertrail.store.disk import replace_file


@click.command()
@click.argument("file", type=click.Path(dir_okay=False, exists=True))
def seal(file: str) -> None:
    """Check a list of servers, and put its checksum into it: in one rename, so that no daemon sees half of
    it. Exits with 2 if it is no list."""
    try:
        data, _ = read_bounded(file)
        whole = sealed(os.path.basename(file), data)
        replace_file(os.path.realpath(file), whole)
    except (InvalidListError, OSError) as error:
        click.echo(f"{file}: {error}", err=True)
        sys.exit(2)
    click.echo(f"{file}: sealed")
