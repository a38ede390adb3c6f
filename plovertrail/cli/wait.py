"""`plovertrail wait`: wait until a running daemon has reached a phase of its start."""

from __future__ import annotations

import sys
import time
from typing import Any

import click

from plovertrail.cli.daemon_client import SOCKET_OPTION, DaemonCallError, call_daemon
from plovertrail.cli.status import phase_text
from plovertrail.decisions.recovery import Phase

POLL_S = 0.05
PHASES = [phase.value for phase in Phase]  # in the order in which a daemon goes through them
NOT_REACHED = 4  # exit status


@click.command()
@click.option(
    "--phase",
    type=click.Choice(PHASES),
    default=Phase.FULL.value,
    help="The phase to wait for; a later one counts as well. Default: full.",
)
@click.option(
    "--within",
    "within_s",
    type=click.FloatRange(min=0),
    default=60.0,
    help="Seconds to wait at most. Default: 60.",
)
@SOCKET_OPTION
def wait(phase: str, within_s: float, path: str) -> None:
    """Wait until the daemon has come so far, for rollouts: exits with 0 then, with 4 if it hasn't in time."""
    ends = time.monotonic() + within_s
    while True:
        try:
            recovery = call_daemon(path, do="status")["status"]["recovery"]
        except DaemonCallError as error:
            progress = str(error)
        else:
            if PHASES.index(recovery["phase"]) >= PHASES.index(phase):
                click.echo(phase_text(recovery))
                return
            progress = _progress_text(recovery)
        if time.monotonic() >= ends:
            click.echo(f"not {phase} within {within_s:g} s: {progress}", err=True)
            sys.exit(NOT_REACHED)
        time.sleep(min(POLL_S, max(0.0, ends - time.monotonic())))


def _progress_text(recovery: dict[str, Any]) -> str:
    missing = "".join(f"\n  {name}: {why}" for name, why in recovery["missing"].items())
    return phase_text(recovery) + missing
