"""The control socket: status and hand drains, over a Unix socket that only its owner may open."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import stat
from contextlib import suppress
from typing import Any, Protocol

log = logging.getLogger(__name__)

LONGEST_LINE = 4096
PATIENCE_S = 5.0
MOST_CALLERS = 8


class Controlled(Protocol):
    """What can be asked of a daemon."""

    def status(self) -> dict[str, Any]:
        """What is in force; values that JSON can hold."""

    def drain(self, pool: str, server: str, drain: bool) -> str:
        """Drain a server by hand, or end that with `drain` False; returns what is wrong, empty if nothing."""


class ControlSocket:
    """One JSON object a line in, one out; then the connection ends. Bounds: 8 callers, 5 s and 4 KiB each."""

    def __init__(self, daemon: Controlled, path: str) -> None:
        self.daemon = daemon
        self.path = path
        self.server: asyncio.Server | None = None
        self.callers = 0

    async def start(self) -> None:
        """Listen, if there is a path; a socket file that nobody listens on is replaced. Raises OSError."""
        if not self.path:
            return
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._clear(sock)
            # hazard: between bind and chmod anyone might open it
            before = os.umask(0o177)
            try:
                sock.bind(self.path)
            finally:
                os.umask(before)
            self.server = await asyncio.start_unix_server(self._serve, sock=sock, limit=LONGEST_LINE)
        except BaseException:
            sock.close()
            raise

    def _clear(self, sock: socket.socket) -> None:
        with suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(self.path).st_mode):
                raise OSError(f"{self.path} is there, and is no socket")
            probe = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            try:
                probe.settimeout(1.0)
                probe.connect(self.path)
            except ConnectionRefusedError:
                os.unlink(self.path)
            else:
                raise OSError(f"another daemon listens on {self.path}")
            finally:
                probe.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.callers += 1
        try:
            if self.callers <= MOST_CALLERS:
                async with asyncio.timeout(PATIENCE_S):
                    answer = self._answer(await reader.readline())
                    # hazard: the status of 10,000 servers takes long to write
                    text = await asyncio.to_thread(json.dumps, answer)
                    writer.write(text.encode() + b"\n")
                    await writer.drain()
        except (TimeoutError, ValueError, ConnectionError):
            pass  # too slow, too long, or gone
        finally:
            self.callers -= 1
            writer.close()

    def _answer(self, line: bytes) -> dict[str, Any]:
        try:
            asked = json.loads(line)
            what = asked["do"]
            if what == "status":
                return {"ok": True, "status": self.daemon.status()}
            if what in ("drain", "undrain"):
                wrong = self.daemon.drain(str(asked["pool"]), str(asked["server"]), what == "drain")
                return {"ok": not wrong, "error": wrong}
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return {"ok": False, "error": f"not understood: {error!r}"}
        except Exception:
            log.exception("a call on the control socket failed")
            return {"ok": False, "error": "it failed; the daemon's log tells why"}
        return {"ok": False, "error": f"unknown: {what!r}"}

    def stop(self) -> None:
        """Stop listening and remove the socket's file; calls under way end by themselves."""
        if self.server is not None:
            self.server.close()
            self.server = None
            with suppress(OSError):
                os.unlink(self.path)
