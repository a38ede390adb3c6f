"""Connections that end with a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
