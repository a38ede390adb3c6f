"""Processes of the real daemon: started, stopped, woken, killed, each with a folder of its own."""

from __future__ import annotations

import asyncio
import os
import resource
import shutil
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from plovertrail.cli.daemon_client import DaemonCallError, call_daemon

PATIENCE_S = 30.0
DISK = ("state", "state.journal")
SERVE = ("-m", "plovertrail.cli", "serve")
PLAIN = """import asyncio, sys
from plovertrail.daemon import process
from plovertrail.config.operator import load
from plovertrail.logs import log_to_stderr
log_to_stderr()
asyncio.run(process.serve(load(sys.argv[1])))
"""
LIAR = """import sys
from plovertrail.decisions.health_evidence import HealthReport
from plovertrail.decisions.outlier_detection import OutlierDetector
from plovertrail.cli import main
def lie(self, limit, cluster_size, is_unhealthy, now_us):
    self.sequence += 1
    keys = list(self.own.by_key)[:limit]
    me, number = self.reporter_id, self.sequence
    return [HealthReport(me, number, key, 4000.0, 4000.0, 0.0, 0.0, 0) for key in keys]
OutlierDetector.reports_to_send = lie
OutlierDetector.unhealthy_keys = lambda self, now_us: set(self.own.by_key)
main(["serve", sys.argv[1]])
"""
TALK_PORT = 7400
TALK = """
[peers]
name = "i{number}"
address = "{host}:{port}"
listed_as = "{known_as}"
addresses = [{all}]
key_files = ["{key}"]
period = "1s"
window = "30s"
delay = "20ms"
loss = 0.3
[fellows]
period = "500ms"
gossip = "100ms"
judgements = {judgements}
"""
SITE = """
[daemon]
control_socket = "{folder}/control"
state_file = "{folder}/state"
[limits]
max_body = "64KiB"
instances = {fleet}
[fleet]
name = "{name}"
slow_start = {slow_start}
[listeners.web]
address = "{host}:{port}"
max_connections = 512
[classes.buy]
effect = "unsafe"
aim = "{aim}"
deadline = "{deadline}"
[classes.read]
effect = "safe"
aim = "{aim}"
deadline = "{deadline}"
[pools.main]
servers_from = ["{servers}"]
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = ["main"]
[[routes]]
name = "read"
class = "read"
pools = ["main"]
"""


@dataclass(eq=False)
class Instance:
    """One daemon. `stopped` and `killed` keep when (by the monotonic clock) each began and ended."""

    number: int
    folder: Path
    servers: Path  # its list of servers
    aim: str = "1s"
    deadline: str = "3s"
    plain_loop: bool = False  # it runs on a loop that doesn't notice gaps
    fleet: int = 1  # how many there are
    slow_start: bool = True
    port: int = 8080
    talk: str = ""  # what its file says of other instances
    lies: bool = False  # it calls all servers bad
    process: subprocess.Popen[bytes] | None = None
    stopped: list[list[float]] = field(default_factory=list)
    killed: list[list[float]] = field(default_factory=list)

    @property
    def host(self) -> str:
        """A loopback address of its own. Hazard: on a common one its port may be in use for a connection to
        somewhere else while it is down."""
        pid = os.getpid()
        return f"127.{64 + (pid >> 8) % 64}.{pid % 256}.{self.number + 1}"

    @property
    def talks_at(self) -> tuple[str, int]:
        """Where it takes datagrams."""
        return self.host, TALK_PORT

    @property
    def control(self) -> str:
        """The path of its control socket."""
        return f"{self.folder}/control"

    @property
    def pid(self) -> int:
        """The process id of the daemon that runs now."""
        assert self.process is not None
        return self.process.pid

    def write(self) -> Path:
        """Its operator's file."""
        self.folder.mkdir(exist_ok=True)
        path = self.folder / "site.toml"
        path.write_text(
            SITE.format(
                folder=self.folder,
                host=self.host,
                port=self.port,
                aim=self.aim,
                deadline=self.deadline,
                servers=self.servers,
                fleet=self.fleet,
                name=f"i{self.number}",
                slow_start=str(self.slow_start).lower(),
            )
            + self.talk
        )
        return path

    def start(self) -> None:
        """A new process; what its disk holds is as the last one left it."""
        path = self.write()
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.program, str(path)],
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=os.environ | {"PYTHONUNBUFFERED": "1"},
            )
        for span in self.killed:
            span[1] = min(span[1], time.monotonic())

    @property
    def program(self) -> tuple[str, ...]:
        """What it runs."""
        if self.lies:
            return "-c", LIAR
        return ("-c", PLAIN) if self.plain_loop else SERVE

    async def ready(self) -> None:
        """Until it serves in full."""
        ends = time.monotonic() + PATIENCE_S
        while time.monotonic() < ends:
            assert self.process is not None
            if self.process.poll() is not None:
                raise RuntimeError(f"instance {self.number} has ended: {self.log()[-2000:]}")
            status = await self.status()
            if status and status["recovery"]["phase"] == "full":
                return
            await asyncio.sleep(0.02)
        raise RuntimeError(f"instance {self.number} is not ready: {self.log()[-2000:]}")

    async def status(self) -> dict[str, Any]:
        """What it tells; nothing while it doesn't answer."""
        try:
            found: dict[str, Any] = (await asyncio.to_thread(call_daemon, self.control, do="status"))[
                "status"
            ]
            return found
        except DaemonCallError:
            return {}

    def stop(self) -> None:
        """It stands still."""
        os.kill(self.pid, signal.SIGSTOP)
        self.stopped.append([time.monotonic(), float("inf")])

    def wake(self) -> None:
        """Let a stopped process go on."""
        self.stopped[-1][1] = time.monotonic()
        os.kill(self.pid, signal.SIGCONT)

    def kill(self) -> None:
        """It dies at once, with all that it holds."""
        assert self.process is not None
        self.killed.append([time.monotonic(), float("inf")])
        self.process.kill()
        self.process.wait()

    def lose_state(self) -> None:
        """Its disk is gone."""
        for name in DISK:
            (self.folder / name).unlink(missing_ok=True)

    def keep_state(self) -> None:
        """A copy of what its disk holds now,"""
        (self.folder / "kept").mkdir(exist_ok=True)
        for name in DISK:
            shutil.copy(self.folder / name, self.folder / "kept" / name)

    def old_state(self) -> None:
        """and is as it was then."""
        for name in DISK:
            shutil.copy(self.folder / "kept" / name, self.folder / name)

    def fill_disk(self) -> None:
        """Nothing more can be written to it, but what its log holds already."""
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (0, resource.RLIM_INFINITY))

    def free_disk(self) -> None:
        """Let the process write files of any size again."""
        resource.prlimit(self.pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))

    def hide_list(self) -> None:
        """The source of its list is down,"""
        self.servers.rename(self.servers.with_suffix(".hidden"))

    def show_list(self) -> None:
        """and there again, as it was."""
        self.servers.with_suffix(".hidden").rename(self.servers)

    def log(self) -> str:
        """The log of all its processes."""
        return (self.folder / "log").read_text(errors="replace")

    def end(self) -> int | None:
        """SIGTERM, and what it exits with; None: it had to be killed."""
        if self.process is None or self.process.poll() is not None:
            return None
        if self.stopped and self.stopped[-1][1] == float("inf"):
            self.wake()
        self.process.terminate()
        try:
            return self.process.wait(PATIENCE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
            return None


def talk_text(instance: Instance, known_as: list[tuple[str, int]], key: Path, judgements: bool) -> str:
    """What its file says of the others, each known by its place in the switch between them."""
    places = [f"{host}:{port}" for host, port in known_as]
    return TALK.format(
        number=instance.number,
        host=instance.host,
        port=TALK_PORT,
        known_as=places[instance.number],
        key=key,
        judgements=str(judgements).lower(),
        all=", ".join(f'"{place}"' for place in places),
    )
