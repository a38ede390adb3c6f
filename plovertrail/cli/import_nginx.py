"""`plovertrail import-nginx CONF`"""

from __future__ import annotations

import sys
from pathlib import Path

import click


@click.command("import-nginx")
@click.argument("conf", type=click.Path(dir_okay=False))
@click.option(
    "-o", "--output", type=click.Path(dir_okay=False), help="The operator's file; else standard output."
)
@click.option(
    "--report", type=click.Path(dir_okay=False), help="What became of each directive; else standard error."
)
@click.option(
    "--strict", is_flag=True, help="Write no file, and exit with 1, if anything could not be mapped."
)
def import_nginx(conf: str, output: str | None, report: str | None, strict: bool) -> None:
    """Write an operator's file that does as nginx's CONF says, and a report on each of its directives. What
    is not carried over and might keep somebody out is answered 501. Exits with 2 if CONF can't be read."""
    try:
        from plovertrail.nginx.importer import Importer, NothingToServeError
        from plovertrail.nginx.report import Treatment
        from plovertrail.nginx.tree import NginxConfigError, read_tree
    except ImportError as error:
        click.echo(f"it can't be read here: {error}; install plovertrail[nginx]", err=True)
        sys.exit(2)
    try:
        found = Importer(read_tree(conf)).run()
    except (NginxConfigError, NothingToServeError) as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    told = found.report.text()
    if report is not None:
        Path(report).write_text(told)
    else:
        click.echo(told, err=True, nl=False)
    lost = found.report.counts()[Treatment.NOT_MAPPED]
    if strict and lost:
        click.echo(f"{lost} directives are not mapped: no file is written", err=True)
        sys.exit(1)
    if output is not None:
        Path(output).write_text(found.text)
    else:
        click.echo(found.text, nl=False)
