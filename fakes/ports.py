"""Loopback ports for processes that are told on which one to listen."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from collections import deque
from pathlib import Path

PORTS = range(
    10_000, 32_768
)  # below those that the system gives to connections and to listeners without a wish
MAX_RESERVED = 256  # ports of one process; an earlier one may be given again

_random = random.SystemRandom()
_locks: deque[int] = deque()


def free_port() -> int:
    """Return one that nobody listens on, and that no other process is given for now."""
    while True:
        port = _random.choice(PORTS)
        if _reserve(port) and _is_free(port):
            return port


def _reserve(port: int) -> bool:
    """Lock the file of a port for this process; return whether no process had done so."""
    folder = Path(tempfile.gettempdir()) / f"loopback-ports-{os.getuid()}"
    folder.mkdir(mode=0o700, exist_ok=True)
    lock = os.open(folder / str(port), os.O_CREAT | os.O_RDWR, 0o600)
    try:
        fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        os.close(lock)
        return False
    _locks.append(lock)
    if len(_locks) > MAX_RESERVED:
        os.close(_locks.popleft())
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
