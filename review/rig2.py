"""Stand-ins and helpers of the cases 6 to 10: upstreams, discovery, HTTP clients, processes and the record.

Everything uses loopback addresses, free ports, the standard library and the real clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_WITHIN_S = 20.0
CASE_LIMIT_S = 110.0
HEAD_END = b"\r\n\r\n"
PORTS = (10_240, 32_000)


def trouble() -> bool:
    """Whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a loopback port that is free now, below those that the system gives to connections."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


class Record:
    """The lines of record.txt: what was sent, answered and run, by seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.began

    def add(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()


@dataclass
class Request:
    """A request as it came to a stand-in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first_byte_s: float
    last_byte_s: float

    @property
    def id(self) -> str:
        """The X-Request-Id."""
        return self.headers.get("x-request-id", "")


def parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    """Return the first line and the headers by lower-case name."""
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_message(
    reader: asyncio.StreamReader, now: Callable[[], float]
) -> tuple[str, dict[str, str], bytes, float, float] | None:
    """Read one HTTP message with a Content-Length or no body; None at the end of the stream."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_s = now()
    head = first + await reader.readuntil(HEAD_END)
    line, headers = parse_head(head[: -len(HEAD_END)])
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return line, headers, body, first_byte_s, now()


def answer(status: int, body: bytes = b"", extra: str = "") -> bytes:
    """Return an HTTP response with a Content-Length."""
    return f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n".encode() + body


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, as a process that dies does."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
    writer.transport.abort()


Handler = Callable[["Upstream", Request, asyncio.StreamWriter], Awaitable[None]]


@dataclass(eq=False)
class Upstream:
    """A stand-in for an upstream; `handler` does the work and writes the response."""

    name: str
    record: Record
    handler: Handler
    group: int = 1
    port: int = 0
    state: str = "active"
    boot_ms: int = 0
    requests: list[Request] = field(default_factory=list)
    writers: set[asyncio.StreamWriter] = field(default_factory=set)
    server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Behave like a process that dies: reset all connections and refuse new ones."""
        assert self.server is not None
        self.server.close()
        for writer in list(self.writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (message := await read_message(reader, self.record.now)) is not None:
                line, headers, body, first_s, last_s = message
                method, target, _ = line.split(" ", 2)
                request = Request(method, target, headers, body, first_s, last_s)
                self.requests.append(request)
                self.record.add(f"upstream {self.name} got {method} {target} id={request.id}")
                await self.handler(self, request, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def listed(self) -> dict[str, Any]:
        """Return the entry in discovery's form."""
        return {
            "uid": self.name,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "a",
            "model": "m",
            "pod_group": self.group,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }


@dataclass
class Answer:
    """What a client got: status 0 if the connection ended without a whole answer."""

    status: int
    body: bytes
    headers: dict[str, str]
    sent_s: float
    ended_s: float


class Client:
    """One keep-alive connection of a client, for one request at a time."""

    def __init__(self, port: int, record: Record) -> None:
        self.port = port
        self.record = record
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Connect, unless connected."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def answer(self, within_s: float) -> Answer:
        """Read the answer to the request that was written."""
        assert self.reader is not None
        sent_s = self.record.now()
        try:
            async with asyncio.timeout(within_s):
                message = await read_message(self.reader, self.record.now)
        except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
            message = None
        if message is None:
            self.close()
            return Answer(0, b"", {}, sent_s, self.record.now())
        line, headers, body, _first_s, last_s = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return Answer(int(line.split(" ")[1]), body, headers, sent_s, last_s)

    async def ask(self, data: bytes, within_s: float) -> Answer:
        """Write a whole request and read its answer."""
        await self.connect()
        assert self.writer is not None
        self.writer.write(data)
        return await self.answer(within_s)


def request_bytes(method: str, path: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: api.internal"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Processes:
    """The project's programs that a case has started; all are ended with it."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.started: list[subprocess.Popen[bytes]] = []

    def start(self, command: list[str], name: str, **environment: str) -> subprocess.Popen[bytes]:
        """Start a program from the repository's root; its log goes to the temporary folder."""
        plain = {key: value for key, value in os.environ.items() if not key.startswith(("PYTHON", "VIRTUAL"))}
        with (self.folder / f"{name}.log").open("ab") as log:
            process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, env=plain | environment)
        self.started.append(process)
        return process

    def end_all(self) -> None:
        """End every process that is still there."""
        for process in self.started:
            if process.poll() is None:
                with contextlib.suppress(OSError):
                    process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()


async def wait_for_port(port: int, process: subprocess.Popen[bytes], probe: bytes = b"") -> None:
    """Wait until a program accepts connections, and answers 200 to `probe` if that is given."""
    ends = time.monotonic() + READY_WITHIN_S
    while time.monotonic() < ends:
        if process.poll() is not None:
            raise RuntimeError(f"a program ended with {process.returncode} before it served")
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                if not probe:
                    return
                writer.write(probe)
                if (await reader.readline()).split(b" ")[1:2] == [b"200"]:
                    return
            finally:
                writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.05)
    raise RuntimeError("a program did not become ready")


UP = b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def sidecar_command() -> list[str]:
    """Return the `run` command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    return ["/bin/sh", "-c", deploy["run"]]


def daemon_command(path: Path) -> list[str]:
    """Return the command that serves an operator's file."""
    return [str(ROOT / ".venv-demo" / "bin" / "plovertrail"), "serve", str(path)]


def settings(classes: list[dict[str, Any]], instances: int, **changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, as on the page of the wire."""
    common = {
        "accounts": [],
        "areas": ["a"],
        "granularity": 5000,
        "bounds": {
            "cancel": True,
            "conn-idle": 5_000_000,
            "dial-timeout": 200_000,
            "max-open": 26666,
            "max-retry-after": 2_000_000,
            "most-tries": 4,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "instances": instances,
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-share": 0.32,
            "drain-grace": 2_000_000,
            "fall": 2_000_000,
            "overload-factor": 2.5,
            "warm-up": 8_900_000,
        },
        "kinds": ["m"],
        "locality": 0,
        "over-share-worth": 0.1,
        "registry-mode": "on_request",
        "report": {"how": "probe", "names": ["rif", "q", "lat_ms"]},
        "self-index": 0,
        "value-by": "request",
        "weights": "nominal",
        "request-classes": classes,
    }
    return common | changes


def sidecar_config(
    path: Path, number: int, ports: tuple[int, int], known: list[Upstream], setting: dict[str, Any]
) -> None:
    """Write the configuration of one sidecar; `ports` are its own and discovery's."""
    port, discovery = ports
    path.write_text(
        json.dumps(
            {
                "name": f"n{number}",
                "listen": f"127.0.0.1:{port}",
                "discovery": f"127.0.0.1:{discovery}",
                "seed": f"{time.time_ns() + number:x}",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "known": {"rev": 1, "all": True, "targets": [each.listed() for each in known]},
                "settings": setting | {"self-index": number},
            }
        )
    )


class Discovery:
    """A stand-in for discovery: it answers watches at once and tells changes as they are made."""

    def __init__(self, record: Record, upstreams: list[Upstream]) -> None:
        self.record = record
        self.rev = 1
        self.targets = {each.name: each.listed() for each in upstreams}
        self.watches: set[asyncio.StreamWriter] = set()
        self.opened = asyncio.Event()  # a watch was opened
        self.server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def watched(self, count: int) -> None:
        """Wait until so many watches are open."""
        while len(self.watches) < count:
            self.opened.clear()
            await self.opened.wait()

    def change(self, target: dict[str, Any]) -> None:
        """Change one entry and tell all watches."""
        self.rev += 1
        self.targets[target["uid"]] = target
        if target["state"] == "left":
            del self.targets[target["uid"]]
        line = json.dumps({"rev": self.rev, "all": False, "targets": [target]})
        self.record.add(f"discovery tells {line}")
        for writer in list(self.watches):
            self.write(writer, line)

    @staticmethod
    def write(writer: asyncio.StreamWriter, line: str) -> None:
        """Write one line of a watch as one chunk."""
        data = line.encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call with the whole list, and keep it open as a watch."""
        try:
            await reader.readuntil(HEAD_END)
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            whole = {"rev": self.rev, "all": True, "targets": list(self.targets.values())}
            self.write(writer, json.dumps(whole))
            self.watches.add(writer)
            self.opened.set()
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self.write(writer, "")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


Body = Callable[[Record, Processes], Awaitable[list[str]]]


async def _limited(body: Body, record: Record, processes: Processes) -> list[str]:
    async with asyncio.timeout(CASE_LIMIT_S):
        return await body(record, processes)


def main(folder: Path, body: Body) -> None:
    """Run a case; `body` returns what broke the rule, one line each. Exits with 0, 1 or 2."""
    record = Record(folder / "record.txt")
    record.add(f"case {folder.name} trouble={int(trouble())}")
    with tempfile.TemporaryDirectory() as temporary:
        processes = Processes(Path(temporary))
        try:
            broken = asyncio.run(_limited(body, record, processes))
        except Exception as error:  # the case could not run, and has no verdict
            record.add(f"could not run: {error!r}")
            print(f"could not run: {error!r}", file=sys.stderr)
            status = COULD_NOT_RUN
        else:
            for line in broken:
                record.add(f"broken: {line}")
                print(f"broken: {line}")
            status = BROKEN if broken else HELD
        finally:
            processes.end_all()
    record.add(f"exit {status}")
    print(f"exit {status}")
    sys.exit(status)
