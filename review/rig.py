"""Stand-ins for the platform, servers and clients of one small deployment, on loopback and the real clock.

They follow the platform's protocol page. Each case has its own timeline and its own check; this module has
what the cases share. Only the standard library is used.
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
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
READY_POLLS, READY_POLL_S = 400, 0.05
CANNOT_RUN = 2
BROKEN = 1
HELD = 0


class Record:
    """The record of one run: one line an event, with the seconds since the run began."""

    def __init__(self, path: Path) -> None:
        self.started_s = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_s

    async def wait_until(self, at_s: float) -> None:
        """Return at a time of the run."""
        await asyncio.sleep(max(0.0, at_s - self.now()))

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f} {text}\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


def free_port() -> int:
    """Return a free port of the loopback address."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port: int = sock.getsockname()[1]
        return port


def parse_head(head: bytes) -> tuple[bytes, bytes, dict[bytes, bytes]]:
    """Return the method, the target and the headers of a request."""
    first, *lines = head.split(b"\r\n")
    method, target, _version = first.split(b" ", 2)
    pairs = (line.partition(b":") for line in lines)
    return method, target, {name.strip().lower(): value.strip() for name, _, value in pairs}


# Servers


@dataclass(slots=True)
class Run:
    """A request that a server ran."""

    request_id: str
    server: str
    began_s: float


@dataclass(slots=True)
class KeyMemory:
    """The keys that a group of servers has seen: a repeat is answered and not run again."""

    span_s: float
    seen: dict[str, float] = field(default_factory=dict)

    def is_repeat(self, key: str, now_s: float) -> bool:
        """Record a key; return whether it was seen within the span."""
        first_s = self.seen.get(key)
        if first_s is not None and now_s - first_s < self.span_s:
            return True
        self.seen[key] = now_s
        return False


class Server:
    """One server, in this process; `work_s` gives the time that a request takes."""

    def __init__(
        self, record: Record, name: str, pod: int, memory: KeyMemory, work_s: Callable[[str], float]
    ) -> None:
        self.record = record
        self.name = name
        self.pod = pod
        self.memory = memory
        self.work_s = work_s
        self.idle_s = 5.0
        self.port = 0
        self.arrivals: list[tuple[str, float]] = []  # request id, time of the first byte
        self.runs: list[Run] = []
        self.in_work: set[str] = set()
        self.made: dict[str, bytes] = {}  # the body that was made for each request
        self.spoilt: set[str] = set()  # the requests whose answers were sent spoilt
        self.fails: Callable[[str], bool] = lambda _request_id: False  # runs a request and answers 500
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.listener.sockets[0].getsockname()[1]

    def end(self) -> None:
        """End as a process that dies: the port closes, and all connections are reset."""
        if self.listener is not None:
            self.listener.close()
        for writer in self.writers:
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request; return whether the connection stays open."""
        try:
            first = await asyncio.wait_for(reader.readexactly(1), self.idle_s)
        except TimeoutError:
            return False
        first_s = self.record.now()
        head = first + await reader.readuntil(b"\r\n\r\n")
        _method, _target, headers = parse_head(head[:-4])
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
        request_id = headers.get(b"x-request-id", b"").decode()
        if not request_id:
            writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
            return True
        self.arrivals.append((request_id, first_s))
        key = headers.get(b"idempotency-key", b"").decode()
        self._run_unless_repeat(request_id, key, len(body))
        self.in_work.add(request_id)
        await asyncio.sleep(self.work_s(request_id))
        self.in_work.discard(request_id)
        if self.fails(request_id):
            writer.write(b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
            return True
        writer.write(self.answer(request_id))
        await writer.drain()
        if request_id in self.spoilt:  # the connection stays open and is of no further use
            await reader.read()
            return False
        return headers.get(b"connection", b"").lower() != b"close"

    def answer(self, request_id: str) -> bytes:
        """Return the answer to a request; its body names the request."""
        body = self.made[request_id] = request_id.encode()
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    def _run_unless_repeat(self, request_id: str, key: str, size: int) -> None:
        now_s = self.record.now()
        if key and self.memory.is_repeat(key, now_s):
            self.record.write(f"server {self.name} drops a repeat of {request_id} key {key}")
            return
        self.runs.append(Run(request_id, self.name, now_s))
        self.record.write(f"server {self.name} runs {request_id} key {key or '-'} body {size} bytes")


# Discovery


class Discovery:
    """The platform's discovery service: the whole list, and watches on its changes."""

    def __init__(self, record: Record, servers: list[Server]) -> None:
        self.record = record
        self.rev = 41
        self.entries = {server.name: self._entry(server) for server in servers}
        self.changed: dict[str, int] = {}  # the version at which an entry last changed
        self.watches: set[asyncio.StreamWriter] = set()
        self.calls = 0
        self.port = 0
        self.listener: asyncio.Server | None = None

    @staticmethod
    def _entry(server: Server) -> dict[str, Any]:
        return {
            "uid": server.name,
            "endpoint": f"127.0.0.1:{server.port}",
            "az": "makati",
            "model": "slow-2",
            "pod_group": server.pod,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        listed = [entry for entry in self.entries.values() if entry["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": listed}

    async def start(self, port: int = 0) -> None:
        """Listen on a port."""
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self.listener.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the port and all watches."""
        if self.listener is not None:
            self.listener.close()
        for writer in self.watches:
            writer.transport.abort()

    def change(self, name: str, state: str) -> None:
        """Change a server's state, and tell all watches."""
        self.rev += 1
        self.entries[name]["state"] = state
        self.changed[name] = self.rev
        self.record.write(f"discovery: {name} is {state}, told on {len(self.watches)} watches")
        for writer in self.watches:
            self._write_line(writer, self._changes_since(self.rev - 1))

    def _changes_since(self, rev: int) -> dict[str, Any]:
        changed = [self.entries[name] for name, at in self.changed.items() if at > rev]
        return {"rev": self.rev, "all": False, "targets": changed}

    @staticmethod
    def _write_line(writer: asyncio.StreamWriter, listing: dict[str, Any] | None) -> None:
        line = (json.dumps(listing) if listing is not None else "").encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            _method, target, _headers = parse_head(head[:-4])
            self.calls += 1
            self.record.write(f"discovery on port {self.port} is asked {target.decode()}")
            if b"follow=1" in target:
                await self._watch(reader, writer, target)
            else:
                body = json.dumps(self.whole()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: bytes) -> None:
        since = int(target.partition(b"since=")[2] or b"0")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._write_line(writer, self._changes_since(since) if since >= 41 else self.whole())
        self.watches.add(writer)
        try:
            while not writer.is_closing():
                with contextlib.suppress(TimeoutError):
                    if not await asyncio.wait_for(reader.read(100), 2.0):
                        break
                self._write_line(writer, None)
                await writer.drain()
        finally:
            self.watches.discard(writer)
            self.record.write(f"discovery on port {self.port}: a watch ends")


# The sidecar

BUY = "chapter-buy"
TOP_UP = "coin-topup"
DEADLINE_MS = {BUY: 1200, TOP_UP: 4000}


def settings(top_up_group: str = "cell") -> dict[str, Any]:
    """Return the settings of a small deployment, with the figures of the site komiks-ph-main."""
    return {
        "accounts": [],
        "areas": ["makati", "pasig"],
        "bounds": {
            "cancel": True,
            "conn-idle": 5_000_000,
            "cpu-us-per-request": 0.0,
            "cpu-us-per-s": 106_666,
            "dial-timeout": 200_000,
            "max-open": 26_666,
            "max-retry-after": 2_000_000,
            "most-tries": 4,
            "multiplex": 1,
            "peers": False,
            "probes": True,
            "retry-after": True,
            "second-copies": True,
        },
        "client-habits": {"marks-retry": True},
        "family": "mesh",
        "fees": {"connection": 0.08, "cross-zone": 0.02, "handshake": 0.08, "late-fail": 0.08},
        "granularity": 5000,
        "instances": 1,
        "invariants": {
            "answer-slack": 20_000,
            "ask-within": 10_000_000,
            "cold-share": 0.32,
            "drain-grace": 2_000_000,
            "fall": 2_000_000,
            "overload-factor": 2.5,
            "warm-up": 8_900_000,
        },
        "kinds": ["fast-2", "slow-2"],
        "layer": 0,
        "locality": 0,
        "over-share-worth": 0.1,
        "registry-mode": "on_request",
        "report": {"how": "probe", "names": ["rif", "q", "lat_ms"]},
        "request-classes": [
            {
                "aim": 400_000,
                "deadline": 1_200_000,
                "effect": "at_most_once",
                "group": "all",
                "late-worth": 0.3,
                "memory-span": 5_000_000,
                "name": BUY,
                "stream": False,
                "worth": 10.0,
            },
            {
                "aim": 750_000,
                "deadline": 4_000_000,
                "effect": "deduplicated",
                "group": top_up_group,
                "late-worth": 0.5,
                "memory-span": 8_000_000,
                "name": TOP_UP,
                "stream": False,
                "worth": 8.0,
            },
        ],
        "self-index": 0,
        "specifics": {"warm-keys": False},
        "tiers": ["purchase-fleet"],
        "value-by": "request",
        "weights": "nominal",
    }


class Sidecar:
    """The project's sidecar, started by `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, configuration: dict[str, Any]) -> None:
        self.record = record
        self.port = free_port()
        self.path = folder / "config.json"
        self.log_path = folder / "sidecar.log"
        self.configuration = {
            "name": "n0",
            "listen": f"127.0.0.1:{self.port}",
            "seed": f"{random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "peers_all": f"127.0.0.1:{free_port()}",
            **configuration,
        }
        self.process: subprocess.Popen[bytes] | None = None

    def write(self, configuration: dict[str, Any]) -> None:
        """Replace the file of the configuration in one step."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(configuration))
        fresh.replace(self.path)

    def _launch(self) -> None:
        """Start the process by `run` of the deploy file."""
        self.write(self.configuration)
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        plain = {name: value for name, value in os.environ.items() if not name.startswith("PYTHON")}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env=plain | {"BALANCER_CONFIG": str(self.path)},
            )

    async def start(self) -> None:
        """Start the process and wait until it is ready; raises TimeoutError."""
        self._launch()
        for _ in range(READY_POLLS):
            if await self._is_ready():
                self.record.write("the sidecar is ready")
                return
            await asyncio.sleep(READY_POLL_S)
        raise TimeoutError("the sidecar is not ready")

    async def _is_ready(self) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            first = await reader.readexactly(12)
            writer.close()
            return first.endswith(b"200")
        return False

    def memory_mb(self) -> float:
        """Return the memory that is the process's own, without shared files; 0 once it has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)
        self.record.write(f"the sidecar gets {number.name}")

    async def stop(self) -> None:
        """End the process with SIGTERM, and with SIGKILL after 3.7 s."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.terminate()
        for _ in range(74):
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.05)
        else:
            self.process.kill()
            self.process.wait()
        self.record.write(f"the sidecar has ended with status {self.process.returncode}")
        log = self.log_path.read_text(errors="replace")
        self.record.file.write("".join(f"         log: {line}\n" for line in log.splitlines()))


# Clients


@dataclass(slots=True)
class Asked:
    """A request as its client saw it; status 0: no answer."""

    request_id: str
    kind: str
    key: str
    sent_s: float
    status: int = 0
    body: bytes = b""
    ended_s: float = 0.0


class Clients:
    """Clients of one sidecar: one request at a time on a connection, connections are kept."""

    def __init__(self, record: Record, port: int, kinds: dict[str, str]) -> None:
        self.record = record
        self.port = port
        self.kinds = kinds  # the class of each request, by its id; servers look it up
        self.asked: list[Asked] = []
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.tasks: set[asyncio.Task[Asked]] = set()

    def send(self, kind: str) -> asyncio.Task[Asked]:
        """Send a new request."""
        task = asyncio.get_running_loop().create_task(self.ask(kind))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def play(self, kinds: list[str], per_s: float, until_s: float) -> None:
        """Send requests of these kinds in turns, evenly, until a time of the run."""
        number = 0
        while self.record.now() < until_s:
            self.send(kinds[number % len(kinds)])
            number += 1
            await asyncio.sleep(1 / per_s)

    async def finish(self) -> None:
        """Wait for the open requests."""
        await asyncio.gather(*self.tasks)
        for _reader, writer in self.idle:
            writer.close()

    async def ask(self, kind: str) -> Asked:
        """Send a request and wait for its answer; once more on a new connection if a kept one has ended."""
        request_id = f"{random.getrandbits(64):016x}"
        key = f"k{request_id}" if kind == TOP_UP else ""
        asked = Asked(request_id, kind, key, self.record.now())
        self.asked.append(asked)
        self.kinds[request_id] = kind
        self.record.write(f"client sends {kind} {request_id}")
        deadline_s = DEADLINE_MS[kind] / 1000
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(deadline_s + 0.5):
                if not self.idle or not await self._exchange(asked, self.idle.pop()):
                    await self._exchange(asked, await asyncio.open_connection("127.0.0.1", self.port))
        asked.ended_s = self.record.now()
        self.record.write(f"client gets {asked.status} for {kind} {request_id} body {asked.body[:40]!r}")
        return asked

    async def _exchange(
        self, asked: Asked, streams: tuple[asyncio.StreamReader, asyncio.StreamWriter]
    ) -> bool:
        """Send on one connection; return False if it ended before the first byte of an answer."""
        reader, writer = streams
        body = asked.request_id.encode()
        key = f"Idempotency-Key: {asked.key}\r\n" if asked.key else ""
        head = (
            f"POST /{asked.kind}/it HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {asked.request_id}\r\n"
            f"X-Class: {asked.kind}\r\nX-Deadline-Ms: {DEADLINE_MS[asked.kind]}\r\n{key}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            writer.write(head.encode() + body)
            first = await reader.readexactly(1)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
            return False
        answer = first + await reader.readuntil(b"\r\n\r\n")
        length = int(answer.lower().split(b"content-length:")[1].split(b"\r\n")[0])
        asked.body = await reader.readexactly(length)
        asked.status = int(answer.split(b" ", 2)[1])
        if b"connection: close" in answer.lower():
            writer.close()
        else:
            self.idle.append(streams)
        return True


# A case

Play = Callable[[Record, Path], Coroutine[Any, Any, int]]


async def _play_until_told_to_end(play: Play, record: Record, folder: Path) -> int:
    """Play a case; SIGTERM ends it early, and it ends what it has started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await play(record, folder)


def run_case(record_path: Path, play: Play) -> int:
    """Run a case, with its record at this path; return the exit status."""
    record = Record(record_path)
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(_play_until_told_to_end(play, record, Path(folder)))
    except (OSError, TimeoutError, asyncio.CancelledError) as error:
        record.write(f"could not run: {error!r}")
        return CANNOT_RUN
    finally:
        record.close()
