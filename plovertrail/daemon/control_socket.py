"""The control socket: status and manual drains, over a Unix socket that only its owner may open."""

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

MAX_COMMAND_BYTES = 4096
CALL_TIMEOUT_S = 5.0
MAX_CONNECTIONS = 8
PROBE_TIMEOUT_S = 1.0  # for connecting to another daemon that may listen on the same path
OWNER_ONLY_UMASK = 0o177


class ControlHandler(Protocol):
    """The commands that operators may give to a daemon."""

    def status(self) -> dict[str, Any]:
        """The daemon's status; values that JSON can hold."""

    def drain(self, pool: str, server: str, drain: bool) -> str:
        """Start or end a manual drain of an endpoint; returns an error text, empty on success."""


class ControlSocket:
    """Reads one JSON command from each connection, answers it with one JSON object, and closes.

    At most MAX_CONNECTIONS connections are served at once. Each has CALL_TIMEOUT_S, and a command has at most
    MAX_COMMAND_BYTES.
    """

    def __init__(self, daemon: ControlHandler, path: str) -> None:
        self.daemon = daemon
        self.path = path
        self.server: asyncio.Server | None = None
        self.connections = 0

    async def start(self) -> None:
        """Listen if a path is configured, and replace a stale socket file; raises OSError."""
        if not self.path:
            return
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            self._remove_stale_file()
            # The umask instead of a later chmod: until the chmod any user could connect.
            previous_umask = os.umask(OWNER_ONLY_UMASK)
            try:
                sock.bind(self.path)
            finally:
                os.umask(previous_umask)
            self.server = await asyncio.start_unix_server(self._serve, sock=sock, limit=MAX_COMMAND_BYTES)
        except BaseException:
            sock.close()
            raise

    def _remove_stale_file(self) -> None:
        with suppress(FileNotFoundError):
            if not stat.S_ISSOCK(os.stat(self.path).st_mode):
                raise OSError(f"{self.path} exists, but is no socket")
            with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
                probe.settimeout(PROBE_TIMEOUT_S)
                try:
                    probe.connect(self.path)
                except ConnectionRefusedError:
                    os.unlink(self.path)
                else:
                    raise OSError(f"another daemon listens on {self.path}")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; a client that is too slow, sends too much or disconnects gets no response."""
        self.connections += 1
        try:
            if self.connections <= MAX_CONNECTIONS:
                async with asyncio.timeout(CALL_TIMEOUT_S):
                    response = self._run_command(await reader.readline())
                    # Encoding the status of 10,000 endpoints on the event loop would delay requests.
                    text = await asyncio.to_thread(json.dumps, response)
                    writer.write(text.encode() + b"\n")
                    await writer.drain()
        except (TimeoutError, ValueError, ConnectionError):
            pass
        finally:
            self.connections -= 1
            writer.close()

    def _run_command(self, line: bytes) -> dict[str, Any]:
        try:
            command = json.loads(line)
            name = command["do"]
            if name == "status":
                return {"ok": True, "status": self.daemon.status()}
            if name in ("drain", "undrain"):
                problem = self.daemon.drain(str(command["pool"]), str(command["server"]), name == "drain")
                return {"ok": not problem, "error": problem}
        except (ValueError, KeyError, TypeError, RecursionError) as error:
            return {"ok": False, "error": f"invalid command: {error!r}"}
        except Exception:
            # A bug in the status must not stop the daemon; the log has the traceback.
            log.exception("control command failed")
            return {"ok": False, "error": "command failed: see the daemon's log"}
        return {"ok": False, "error": f"unknown command: {name!r}"}

    def stop(self) -> None:
        """Stop listening and remove the socket file; open connections finish by themselves."""
        if self.server is not None:
            self.server.close()
            self.server = None
            with suppress(OSError):
                os.unlink(self.path)
