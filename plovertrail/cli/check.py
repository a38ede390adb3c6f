"""`plovertrail check FILE`"""

from __future__ import annotations

import os
import sys

import click

from plovertrail.cli.files import load_or_exit
from plovertrail.clock import clock_us
from plovertrail.config.descriptors import descriptors_allowed
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.decisions.recovery import pieces
from plovertrail.hooks.loader import HookLoader
from plovertrail.resource_limits import (
    default_pool_connections,
    descriptor_shortage,
    max_message_bytes,
    required_descriptors,
)
from plovertrail.sources.file_reading import FileSource
from plovertrail.sources.lists import InvalidListError


def told_of(path: str, checksum: bool) -> str:
    """What a list of servers holds now, or why it can't be used now."""
    source = FileSource(path, checksum)
    try:
        _, found = source.read(0.0, settle=False)
    except (InvalidListError, OSError) as error:
        return f"{path}: no list now: {error}"
    return f"{path}: {len(found.entries) if found is not None else 0} servers"


def descriptors_of(setup: Setup) -> list[str]:
    """What max_connections comes to where pools don't write it, on this machine."""
    pools, part = default_pool_connections(setup)
    if not pools:
        return []
    allowed = descriptors_allowed()
    of_what = "" if allowed is None else f", of the {allowed} descriptors that a process may have here"
    found = [f"max_connections of {pools} pools that write none: {part} each{of_what}"]
    few = descriptor_shortage(setup)
    return found if few is None else [*found, f"note: it would not start here: {few}"]


def hooks_of(setup: Setup) -> list[str]:
    """What the setup's hooks are, each compiled and tried out as at a start; exits with 2 if one can't be
    used."""
    if not setup.hooks:
        return []
    try:
        compiled = HookLoader(clock_us).prepare(setup)
    except ConfigError as error:
        click.echo(str(error), err=True)
        sys.exit(2)
    return [
        f"hooks.{name}: {', '.join(sorted(hook.phases))}; sha256 {hook.digest}"
        for name, hook in compiled.items()
    ]


def unwritable(path: str) -> str:
    """What is wrong with the place of a state file; empty: nothing."""
    folder = os.path.dirname(path) or "."
    if not os.path.isdir(folder):
        return f"there is no folder {folder}"
    if not os.access(folder, os.W_OK | os.X_OK):
        return f"the folder {folder} can't be written"
    return f"{path} is a folder" if os.path.isdir(path) else ""


def state_of(setup: Setup) -> list[str]:
    """What becomes of each piece of the setup's state over a restart."""
    used = {"limiters": setup.limiters, "tenants": setup.tenants, "peers": setup.peers, "hooks": setup.hooks}
    return [
        f"after a restart: {piece.name}: {piece.from_where}; may be of {piece.oldest}; "
        f"until then {piece.meanwhile}"
        for piece in pieces({part for part, has in used.items() if has}, bool(setup.state_file))
    ]


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check FILE and start nothing. Prints all that is wrong, each with its place, and exits with 2; else
    says what it would hold."""
    setup = load_or_exit(file)
    wrong = unwritable(setup.state_file) if setup.state_file else ""
    if wrong:
        problem = Problem("daemon.state_file", wrong, "name a file in a folder that the daemon may write")
        click.echo(str(ConfigError(file, [problem])), err=True)
        sys.exit(2)
    servers = sum(len(pool.servers) for pool in setup.pools.values())
    click.echo(
        f"{file}: good: {len(setup.listeners)} listeners, {len(setup.routes.routes)} routes, "
        f"{len(setup.pools)} pools with {servers} servers, {len(setup.classes)} classes; "
        f"at most {required_descriptors(setup)} descriptors, "
        f"{max_message_bytes(setup) >> 20} MiB of messages"
    )
    for line in descriptors_of(setup):
        click.echo(line)
    for line in hooks_of(setup):
        click.echo(line)
    for line in state_of(setup):
        click.echo(line)
    for name, pool in setup.pools.items():
        for path in pool.files:
            click.echo(f"pools.{name}: {told_of(path, pool.checksum)}")
        if not pool.files and not any(not server.drain for server in pool.servers):
            click.echo(f"note: pools.{name} has no server that takes requests: it refuses all")
