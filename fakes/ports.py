"""Loopback ports."""

from __future__ import annotations

import socket


def free_port() -> int:
    """One that nobody listens on at this moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])
