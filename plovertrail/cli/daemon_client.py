"""Calls of commands to a running daemon over its control socket."""

from __future__ import annotations

import json
import socket
import sys
from typing import Any

import click

CALL_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 64 << 20

SOCKET_OPTION = click.option(
    "--socket",
    "path",
    envvar="PLOVERTRAIL_SOCKET",
    required=True,
    help="control_socket of the daemon's file; or in PLOVERTRAIL_SOCKET.",
)


class DaemonCallError(Exception):
    """A call that no daemon answered, or that the daemon refused; the text says why."""


def call_daemon(path: str, **command: str) -> dict[str, Any]:
    """Send one command to the control socket at `path` and return the answer; raises DaemonCallError."""
    try:
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(CALL_TIMEOUT_S)
            sock.connect(path)
            sock.sendall(json.dumps(command).encode() + b"\n")
            with sock.makefile("rb") as file:
                answer: dict[str, Any] = json.loads(file.readline(MAX_ANSWER_BYTES))
    except (OSError, ValueError) as error:
        raise DaemonCallError(f"no daemon answers on {path}: {error}") from None
    if not answer.get("ok"):
        raise DaemonCallError(answer.get("error", "it failed"))
    return answer


def call_or_exit(path: str, **command: str) -> dict[str, Any]:
    """Send one command and return the answer; prints what went wrong and exits with 1."""
    try:
        return call_daemon(path, **command)
    except DaemonCallError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


def status_or_exit(path: str) -> dict[str, Any]:
    """The status of the daemon; prints what went wrong and exits with 1."""
    status: dict[str, Any] = call_or_exit(path, do="status")["status"]
    return status
