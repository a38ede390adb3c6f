"""`plovertrail check`: check an operator's file and say what it would hold."""

from __future__ import annotations

import os

import click

from plovertrail.cli.files import exit_with, load_or_exit
from plovertrail.clock import clock_us
from plovertrail.config.descriptors import descriptors_allowed
from plovertrail.config.problems import ConfigError, Problem
from plovertrail.config.setup import Setup
from plovertrail.decisions.state_inventory import state_kinds
from plovertrail.hooks.loader import HookLoader
from plovertrail.resource_limits import (
    default_pool_connections,
    descriptor_shortage,
    max_message_bytes,
    required_descriptors,
)
from plovertrail.sources.file_reading import FileSource
from plovertrail.sources.lists import InvalidListError


def list_line(path: str, checksum: bool) -> str:
    """What a list of endpoints holds now, or why it can't be used now."""
    source = FileSource(path, checksum)
    try:
        _, found = source.read(0.0, settle=False)
    except (InvalidListError, OSError) as error:
        return f"{path}: no list now: {error}"
    return f"{path}: {len(found.endpoints) if found is not None else 0} servers"


def descriptor_lines(setup: Setup) -> list[str]:
    """What max_connections comes to where pools don't set it, on this machine."""
    default = default_pool_connections(setup)
    if not default.pools:
        return []
    allowed = descriptors_allowed()
    of_what = "" if allowed is None else f", of the {allowed} descriptors that a process may have here"
    lines = [f"max_connections of {default.pools} pools that write none: {default.per_pool} each{of_what}"]
    shortage = descriptor_shortage(setup)
    if shortage is not None:
        lines.append(f"note: it would not start here: {shortage}")
    return lines


def hook_lines(setup: Setup) -> list[str]:
    """The hooks, each compiled and tried out as at a start; exits with 2 if one can't be used."""
    if not setup.hooks:
        return []
    try:
        modules = HookLoader(clock_us).prepare(setup)
    except ConfigError as error:
        exit_with(error)
    return [
        f"hooks.{name}: {', '.join(sorted(module.phases))}; sha256 {module.digest}"
        for name, module in modules.items()
    ]


def state_file_problem(path: str) -> str:
    """Return the problem of a state file's path, empty if it has none."""
    folder = os.path.dirname(path) or "."
    if not os.path.isdir(folder):
        return f"there is no folder {folder}"
    if not os.access(folder, os.W_OK | os.X_OK):
        return f"the folder {folder} can't be written"
    return f"{path} is a folder" if os.path.isdir(path) else ""


def restart_lines(setup: Setup) -> list[str]:
    """What becomes of each kind of state over a restart."""
    parts = {"limiters": setup.limiters, "tenants": setup.tenants, "peers": setup.peers, "hooks": setup.hooks}
    configured = {name for name, part in parts.items() if part}
    return [
        f"after a restart: {kind.name}: {kind.restored_from}; may be of {kind.max_age}; "
        f"until then {kind.while_missing}"
        for kind in state_kinds(configured, bool(setup.state_file))
    ]


def pool_lines(setup: Setup) -> list[str]:
    """What the lists of each pool hold now, and which pools have no endpoint that takes requests."""
    lines = []
    for name, pool in setup.pools.items():
        lines += [f"pools.{name}: {list_line(path, pool.checksum)}" for path in pool.files]
        if not pool.files and all(server.drain for server in pool.servers):
            lines.append(f"note: pools.{name} has no server that takes requests: it refuses all")
    return lines


def summary_line(file: str, setup: Setup) -> str:
    """Sum up a valid file and the resources it may use."""
    servers = sum(len(pool.servers) for pool in setup.pools.values())
    return (
        f"{file}: good: {len(setup.listeners)} listeners, {len(setup.routes.routes)} routes, "
        f"{len(setup.pools)} pools with {servers} servers, {len(setup.classes)} classes; "
        f"at most {required_descriptors(setup)} descriptors, "
        f"{max_message_bytes(setup) >> 20} MiB of messages"
    )


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Check FILE and start nothing.

    Prints all that is wrong, each with its place, and exits with 2; else says what it would hold.
    """
    setup = load_or_exit(file)
    wrong = state_file_problem(setup.state_file) if setup.state_file else ""
    if wrong:
        problem = Problem("daemon.state_file", wrong, "name a file in a folder that the daemon may write")
        exit_with(ConfigError(file, [problem]))
    click.echo(summary_line(file, setup))
    for lines in (descriptor_lines, hook_lines, restart_lines, pool_lines):
        for line in lines(setup):
            click.echo(line)
