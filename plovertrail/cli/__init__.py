"""The command line: one file a command."""

from __future__ import annotations

import click

from plovertrail.cli.check import check
from plovertrail.cli.counts import counts
from plovertrail.cli.demo import demo
from plovertrail.cli.drain import drain, undrain
from plovertrail.cli.hook import hook
from plovertrail.cli.import_nginx import import_nginx
from plovertrail.cli.lists import list_file
from plovertrail.cli.members import explain, fellows, members
from plovertrail.cli.route import route
from plovertrail.cli.seal import seal
from plovertrail.cli.serve import serve
from plovertrail.cli.status import status
from plovertrail.cli.test import test
from plovertrail.cli.top import top
from plovertrail.cli.wait import wait


@click.group()
def main() -> None:
    """A balancer that keeps its rules when things break."""


explain.add_command(list_file)
for command in (
    serve,
    check,
    test,
    route,
    counts,
    members,
    fellows,
    explain,
    status,
    wait,
    drain,
    undrain,
    seal,
    hook,
    import_nginx,
    top,
    demo,
):
    main.add_command(command)
