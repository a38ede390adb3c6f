"""Sidecar processes, started by the deploy file's `run` command."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from collections.abc import Sequence
from pathlib import Path
from typing import Any, Protocol

from fakes.ports import free_port
from fakes.sidecar_rig.records import Effect, RequestKind

ROOT = Path(__file__).resolve().parent.parent.parent
READY_WITHIN_S = 20.0
READY_POLL_S = 0.02
EXIT_WITHIN_S = 10.0
ERROR_PREFIXES = ("ERROR", "CRITICAL", "Traceback")
STATUS_BYTES = len(b"HTTP/1.1 200")
EFFECT_SETTINGS = {Effect.UNSAFE: "at_most_once", Effect.KEYED: "deduplicated", Effect.SAFE: "idempotent"}


def class_setting(kind: RequestKind) -> dict[str, Any]:
    """A request class in the settings' form; times in microseconds."""
    setting = {
        "name": kind.name,
        "aim": int(kind.objective_s * 1e6),
        "deadline": int(kind.deadline_s * 1e6),
        "effect": EFFECT_SETTINGS[kind.effect],
        "worth": 10.0,
        "late-worth": 0.3,
    }
    if kind.effect is Effect.KEYED:
        setting |= {"group": "cell", "memory-span": int(kind.window_s * 1e6)}
    return setting


def settings_of(kinds: Sequence[RequestKind], instances: int) -> dict[str, Any]:
    """The settings of the sidecars."""
    return {
        "accounts": [],
        "areas": ["a"],
        "granularity": 5000,
        "bounds": {
            "conn-idle": 5_000_000,
            "dial-timeout": 200_000,
            "most-tries": 4,
            "cancel": True,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
            "max-retry-after": 2_000_000,
        },
        "instances": instances,
        "invariants": {
            "ask-within": 10_000_000,
            "cold-share": 0.32,
            "drain-grace": 2_000_000,
            "fall": 2_000_000,
            "overload-factor": 2.5,
            "warm-up": 8_900_000,
        },
        "kinds": ["m"],
        "locality": 0,
        "registry-mode": "on_request",
        "report": {"how": "probe", "names": ["rif", "q"]},
        "weights": "nominal",
        "request-classes": [class_setting(kind) for kind in kinds],
    }


class Endpoint(Protocol):
    """What a list tells of a server, or of a relay that stands for it."""

    @property
    def name(self) -> str:
        """The name that discovery gives it."""

    @property
    def group(self) -> int:
        """The group that knows the keys of its requests."""

    @property
    def port(self) -> int:
        """Its port on the loopback address."""


def listed(server: Endpoint) -> dict[str, Any]:
    """A server's entry in discovery's form."""
    return {
        "uid": server.name,
        "endpoint": f"127.0.0.1:{server.port}",
        "az": "a",
        "model": "m",
        "pod_group": server.group,
        "state": "active",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }


class SidecarProcess:
    """One sidecar; its log goes to a file."""

    def __init__(
        self, folder: Path, number: int, settings: dict[str, Any], servers: Sequence[Endpoint]
    ) -> None:
        self.environment: dict[str, str] = {}  # besides the configuration
        self.port = free_port()
        self.log_path = folder / f"n{number}.log"
        self.config_path = folder / f"n{number}.json"
        configuration = {
            "name": f"n{number}",
            "listen": f"127.0.0.1:{self.port}",
            "discovery": "127.0.0.1:1",
            "seed": f"{number + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
            "known": {"rev": 40, "all": True, "targets": [listed(server) for server in servers]},
        }
        self.config_path.write_text(json.dumps(configuration))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stderr=log,
                env=plain | self.environment | {"BALANCER_CONFIG": str(self.config_path)},
            )

    def wait_until_ready(self) -> None:
        """Block until it can serve; raises TimeoutError if that takes too long."""
        ends = time.monotonic() + READY_WITHIN_S
        while not self._is_ready():
            if time.monotonic() > ends:
                raise TimeoutError(f"the sidecar on port {self.port} is not ready")
            time.sleep(READY_POLL_S)

    def _is_ready(self) -> bool:
        try:
            with socket.create_connection(("127.0.0.1", self.port), READY_WITHIN_S) as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(STATUS_BYTES).endswith(b"200")
        except OSError:
            return False

    def errors(self) -> list[str]:
        """The lines of its log that tell of an error inside the process."""
        lines = self.log_path.read_text().splitlines()
        return [f"{self.log_path.name}: {line}" for line in lines if line.startswith(ERROR_PREFIXES)]

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    async def stop(self, within_s: float = EXIT_WITHIN_S) -> int:
        """End the process with SIGTERM, and with SIGKILL if it is still there then; returns its status."""
        assert self.process is not None
        self.process.terminate()
        try:
            return await asyncio.to_thread(self.process.wait, within_s)
        except subprocess.TimeoutExpired:
            self.process.kill()
            return await asyncio.to_thread(self.process.wait)
