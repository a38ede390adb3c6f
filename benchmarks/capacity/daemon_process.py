"""One real process of the daemon: its start, its status, its CPU and memory."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.capacity.service_site import PROBE_PATH, ServiceSite
from benchmarks.processes import child, memory_bytes, pin

SERVE = ("-m", "plovertrail.cli", "serve")
START_PATIENCE_S = 180.0
CHANGE_PATIENCE_S = 60.0
LOOK_S = 0.005  # between two attempts to reach a daemon that starts
STATUS_PATIENCE_S = 30.0
# a status of many servers takes time on the daemon's loop: at least so many times as long between two
STATUS_PAUSE_FACTOR = 3
ANSWER_BYTES = 1 << 16
CPU_CLOCK_OF_SCHEDULER = 2  # CPUCLOCK_SCHED of the kernel's posix-timers.h


class NotReadyError(Exception):
    """The daemon did not come so far in time."""


@dataclass(frozen=True, slots=True)
class StartCost:
    """From exec to the first answered request."""

    seconds: float
    cpu_s: float
    resident_bytes: int


@dataclass(frozen=True, slots=True)
class CoreWaits:
    """Of a thread, since its start."""

    seconds: float  # ready to run, with no core
    runs: int  # times that it got one

    def mean_ms_since(self, before: CoreWaits) -> float:
        """For each time that it ran since then."""
        return (self.seconds - before.seconds) / max(1, self.runs - before.runs) * 1e3


def cpu_clock(pid: int) -> int:
    """The id of the clock of a process's CPU time: as clock_getcpuclockid(3) makes it, which Python lacks. It
    has nanoseconds, where /proc has hundredths of a second."""
    return (~pid << 3) | CPU_CLOCK_OF_SCHEDULER


class ProbeConnection:
    """A keep-alive connection of a client that asks one thing after another."""

    def __init__(self, port: int, patience_s: float = STATUS_PATIENCE_S) -> None:
        self.socket = socket.create_connection(("127.0.0.1", port), patience_s)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def ask(self, path: str) -> tuple[int, bytes]:
        """The status and the body of an answer; raises OSError."""
        self.socket.sendall(f"GET {path} HTTP/1.1\r\nHost: probe.example\r\n\r\n".encode())
        pending = b""
        while True:
            part = self.socket.recv(ANSWER_BYTES)
            if not part:
                raise ConnectionError("closed before the answer")
            pending += part
            head, end, body = pending.partition(b"\r\n\r\n")
            if end and len(body) >= content_length(head):
                return int(head.split(b" ", 2)[1]), body

    def close(self) -> None:
        """Close it."""
        self.socket.close()


def content_length(head: bytes) -> int:
    """What an answer's head says of its body; 0 where it says nothing."""
    _, found, rest = head.lower().partition(b"content-length: ")
    return int(rest.split(b"\r\n", 1)[0]) if found else 0


class DaemonProcess:
    """A running `plovertrail serve`."""

    def __init__(self, site: ServiceSite, process: subprocess.Popen[bytes]) -> None:
        self.site = site
        self.process = process
        self.began = time.perf_counter()

    @property
    def cpu_s(self) -> float:
        """User and system time so far, of all threads."""
        return time.clock_gettime(cpu_clock(self.process.pid))

    @property
    def resident_bytes(self) -> int:
        """What it holds in memory."""
        return memory_bytes(self.process)

    @property
    def forced_switches(self) -> int:
        """How often the kernel has taken the core from its main thread for something else."""
        lines = Path(f"/proc/{self.process.pid}/status").read_text().splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("nonvoluntary_ctxt_switches"))

    @property
    def core_waits(self) -> CoreWaits:
        """How long its main thread has waited for a core when it had something to do."""
        fields = Path(f"/proc/{self.process.pid}/schedstat").read_text().split()
        return CoreWaits(int(fields[1]) / 1e9, int(fields[2]))

    def wait_until_up(self, path: str = PROBE_PATH) -> StartCost:
        """Until it answers a request with 200; raises NotReadyError."""
        while time.perf_counter() - self.began < START_PATIENCE_S:
            if self.process.poll() is not None:
                raise NotReadyError(f"the daemon ended with {self.process.returncode}")
            try:
                connection = ProbeConnection(self.site.port)
                status, _ = connection.ask(path)
                connection.close()
            except OSError:
                status = 0
            if status == 200:
                return StartCost(time.perf_counter() - self.began, self.cpu_s, self.resident_bytes)
            time.sleep(LOOK_S)
        raise NotReadyError(f"no answer within {START_PATIENCE_S:g} s")

    def status(self) -> dict[str, Any]:
        """What `plovertrail status` shows; raises OSError."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as sock:
            sock.settimeout(STATUS_PATIENCE_S)
            sock.connect(str(self.site.control_socket))
            sock.sendall(b'{"do": "status"}\n')
            with sock.makefile("rb") as answer:
                found: dict[str, Any] = json.loads(answer.readline())["status"]
        return found

    def wait_until(self, condition: Callable[[dict[str, Any]], bool], began: float) -> float:
        """Seconds since `began` (perf_counter) until the status meets a condition; raises NotReadyError."""
        while time.perf_counter() - began < CHANGE_PATIENCE_S:
            asked = time.perf_counter()
            status = self.status()
            answered = time.perf_counter()
            if condition(status):
                return answered - began
            time.sleep(max(LOOK_S, (answered - asked) * STATUS_PAUSE_FACTOR))
        raise NotReadyError(f"a change is not in force after {CHANGE_PATIENCE_S:g} s")

    def core_share(self, seconds: float) -> float:
        """CPU seconds per second over this time."""
        began, before = time.perf_counter(), self.cpu_s
        time.sleep(seconds)
        return (self.cpu_s - before) / (time.perf_counter() - began)

    def reload(self) -> None:
        """Tell it to read the operator's file again."""
        self.process.send_signal(signal.SIGHUP)


@contextmanager
def daemon_process(
    site: ServiceSite, core: int, program: tuple[str, ...] = SERVE, log: Path | None = None
) -> Iterator[DaemonProcess]:
    """Start one on a core; it is ended with SIGTERM."""
    output = os.open(log, os.O_WRONLY | os.O_CREAT | os.O_APPEND) if log else subprocess.DEVNULL
    try:
        with child(*program, str(site.path), cpu=core, log=output) as process:
            yield DaemonProcess(site, process)
    finally:
        if log:
            os.close(output)


@contextmanager
def pinned(core: int) -> Iterator[None]:
    """Keep this process on a core for a while. Hazard: children started meanwhile inherit it."""
    before = os.sched_getaffinity(0)
    pin(core)
    try:
        yield
    finally:
        os.sched_setaffinity(0, before)


def list_version(status: dict[str, Any], service: str) -> int:
    """The version of the list that is in force for a service; 0: none."""
    sources = status["pools"][service]["sources"]
    return max(
        (int(each["version"]) for name, each in sources.items() if name.startswith("file:")), default=0
    )


def server_state(status: dict[str, Any], service: str, ident: str) -> str:
    """`ready` or `draining`; empty where the service has no such server."""
    for server in status["pools"][service]["servers"]:
        if server["id"] == ident:
            return str(server["state"])
    return ""
