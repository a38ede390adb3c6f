"""What a request costs on its way through: `python -m benchmarks.path_cost`.

One run, in turns: the stand-ins asked directly, `plovertrail serve`, the platform's program, and a minimal
reverse proxy made of aiohttp's server and client. Each is a process of its own, all on one core; 15 stand-ins
on another, the client on a third. CPU is the process's own (user and system), by the kernel; ratios are
taken within the run. The bar: at 16 connections at most half of the aiohttp proxy's CPU a request.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib.util
import json
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.processes import child, cpu_s, memory_bytes, pin, wait_for
from benchmarks.report import Bar, close, table
from fakes.ports import free_port

SERVERS = 15
CONNECTIONS = (4, 16)
ROUNDS = 3

SETTINGS: dict[str, Any] = {
    "accounts": [],
    "areas": ["a"],
    "granularity": 5000,
    "instances": 1,
    "kinds": ["m"],
    "locality": 0,
    "bounds": {
        "conn-idle": 60_000_000,
        "dial-timeout": 200_000,
        "most-tries": 4,
        "cancel": True,
        "probes": False,
        "retry-after": True,
        "second-copies": False,
        "max-retry-after": 1_000_000,
    },
    "invariants": {
        "ask-within": 10_000_000,
        "cold-share": 0.32,
        "fall": 2_000_000,
        "overload-factor": 2.5,
        "warm-up": 8_900_000,
    },
    "registry-mode": "on_request",
    "report": {"how": "none", "names": []},
    "request-classes": [
        {"name": "read", "aim": 400_000, "deadline": 1_200_000, "effect": "idempotent", "worth": 1.0}
    ],
}
FILE = """\
[listeners.web]
address = "127.0.0.1:{port}"
[classes.read]
effect = "safe"
aim = "400ms"
deadline = "1200ms"
[pools.main]
servers = [{servers}]
[[routes]]
name = "all"
class = "read"
pools = ["main"]
"""


# The children


async def stand_ins() -> None:
    """Serve, and tell the ports on standard output."""
    from fakes.web import OK, WebServer, always

    servers = [WebServer(always(OK), keep=False) for _ in range(SERVERS)]
    for server in servers:
        await server.start()
    print(json.dumps([server.port for server in servers]), flush=True)
    await asyncio.Event().wait()


def aiohttp_proxy(port: int, targets: list[int]) -> None:
    """The least that passes a request on and its answer back."""
    import random

    from aiohttp import ClientSession, TCPConnector, web

    draw = random.Random(1)

    async def handle(request: web.Request) -> web.Response:
        session: ClientSession = request.app["session"]
        url = f"http://127.0.0.1:{draw.choice(targets)}{request.raw_path}"
        async with session.request(
            request.method, url, headers=request.headers, data=await request.read() or None
        ) as answer:
            return web.Response(
                status=answer.status,
                body=await answer.read(),
                headers={"Content-Type": answer.headers.get("Content-Type", "text/plain")},
            )

    async def app() -> web.Application:
        made = web.Application()
        made["session"] = ClientSession(connector=TCPConnector(limit=0), auto_decompress=False)
        made.router.add_route("*", "/{rest:.*}", handle)
        return made

    web.run_app(app(), host="127.0.0.1", port=port, print=None, access_log=None)


# The client


class Client(asyncio.Protocol):
    """Sends one request after another on one connection, until none are left."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.pending = b""
        self.sent = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is up: send the first request."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.ask()

    def ask(self) -> None:
        """Send the next request, or close if none is left."""
        if self.run.left <= 0:
            self.transport.close()
            return
        self.run.left -= 1
        self.sent = time.perf_counter()
        self.transport.write(self.run.make(self.run.left))

    def data_received(self, data: bytes) -> None:
        """Collect an answer; once it is whole note the time that it took and send the next request."""
        self.pending += data
        head, end, body = self.pending.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]) if end else 0
        if not end or len(body) < length:
            return
        self.pending = b""
        self.run.taken.append(time.perf_counter() - self.sent)
        self.run.good += head.startswith(b"HTTP/1.1 200")
        self.ask()

    def connection_lost(self, error: Exception | None) -> None:
        """Connect again if requests are left."""
        if self.run.left > 0:
            asyncio.ensure_future(self.run.connect())  # closed between requests
        else:
            self.run.closed()


class Run:
    """So many requests over so many connections."""

    def __init__(
        self, ports: list[int], make: Callable[[int], bytes], requests: int, connections: int
    ) -> None:
        self.ports, self.make, self.left, self.open = ports, make, requests, connections
        self.good = 0
        self.taken: list[float] = []
        self.done = asyncio.Event()

    async def connect(self) -> None:
        """Open one connection, to each port in turn."""
        port = self.ports[self.left % len(self.ports)]
        await asyncio.get_running_loop().create_connection(lambda: Client(self), "127.0.0.1", port)

    def closed(self) -> None:
        """A connection is over; after the last one the run is done."""
        self.open -= 1
        if self.open == 0:
            self.done.set()

    async def play(self) -> float:
        """The seconds that it took."""
        began = time.perf_counter()
        for _ in range(self.open):
            await self.connect()
        await self.done.wait()
        return time.perf_counter() - began


# Measuring


@dataclass
class Subject:
    """What is measured: its ports, the requests that it takes, and its process if it has one of its own."""

    name: str
    ports: list[int]
    make: Callable[[int], bytes]
    process: subprocess.Popen[bytes] | None = None

    def cpu_s(self) -> float:
        """CPU seconds of its process so far; 0 without one."""
        if self.process is None:
            return 0.0
        return cpu_s(self.process)

    def memory_mb(self) -> float:
        """Resident memory of its process in MB; 0 without one."""
        if self.process is None:
            return 0.0
        return memory_bytes(self.process) / 1e6


def ordinary(number: int) -> bytes:
    """A request of an ordinary client."""
    return (
        b"GET /comics/7/chapters?page=%d HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: reader/3\r\n"
        b"Accept: */*\r\nAccept-Encoding: gzip\r\nCookie: session=0123456789abcdef\r\n\r\n" % number
    )


def platforms(number: int) -> bytes:
    """A request to the platform's program, with its headers."""
    return (
        b"GET /read/7?page=%d HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %x-%x\r\nX-Class: read\r\n"
        b"X-Deadline-Ms: 1000\r\nAccept: */*\r\n\r\n" % (number, number, time.perf_counter_ns())
    )


def configured(folder: Path, ports: list[int]) -> tuple[Path, int, Path, int]:
    """The files and ports of the two programs."""
    web, app = free_port(), free_port()
    rows = ", ".join(f'{{ id = "s{n}", address = "127.0.0.1:{port}" }}' for n, port in enumerate(ports))
    toml, config = folder / "site.toml", folder / "config.json"
    toml.write_text(FILE.format(port=web, servers=rows))
    targets = [
        {
            "uid": f"s{n}",
            "endpoint": f"127.0.0.1:{port}",
            "az": "a",
            "model": "m",
            "pod_group": 1,
            "state": "active",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }
        for n, port in enumerate(ports)
    ]
    config.write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{app}",
                "discovery": "127.0.0.1:1",
                "seed": "1",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": SETTINGS,
                "known": {"rev": 1, "all": True, "targets": targets},
            }
        )
    )
    return toml, web, config, app


def measure(subjects: list[Subject], requests: int) -> dict[tuple[str, int], dict[str, float]]:
    """The median of the rounds, which the subjects play in turns."""
    played: dict[tuple[str, int], list[dict[str, float]]] = {}
    for number in range(ROUNDS + 1):
        for connections in CONNECTIONS:
            for subject in subjects:
                run = Run(subject.ports, subject.make, requests // (ROUNDS * len(CONNECTIONS)), connections)
                count, before = run.left, subject.cpu_s()
                took = asyncio.run(play(run))
                if number == 0:
                    continue  # the first one warms up
                played.setdefault((subject.name, connections), []).append(
                    {
                        "cpu_us": (subject.cpu_s() - before) / count * 1e6,
                        "per_s": count / took,
                        "p50_ms": statistics.median(run.taken) * 1e3,
                        "p99_ms": sorted(run.taken)[int(len(run.taken) * 0.99)] * 1e3,
                        "good": run.good / count,
                        "memory_mb": subject.memory_mb(),
                    }
                )
    return {
        key: {name: statistics.median(each[name] for each in found) for name in found[0]}
        for key, found in played.items()
    }


async def play(run: Run) -> float:
    """Play a run within five minutes; returns the seconds that it took."""
    async with asyncio.timeout(300):
        return await run.play()


def main() -> int:
    """Measure all subjects in turns and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=60_000, help="to each of the four")
    parser.add_argument("--child", choices=["stand-ins", "aiohttp"], help=argparse.SUPPRESS)
    parser.add_argument("--ports", type=json.loads, default=[], help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child == "stand-ins":
        asyncio.run(stand_ins())
    if options.child == "aiohttp":
        aiohttp_proxy(options.ports[0], options.ports[1:])
        return 0
    me = "benchmarks.path_cost"
    with tempfile.TemporaryDirectory() as folder, child("-m", me, "--child", "stand-ins", cpu=2) as servers:
        assert servers.stdout is not None
        ports = json.loads(servers.stdout.readline())
        toml, web, config, app = configured(Path(folder), ports)
        with (
            child("-m", "plovertrail.cli", "serve", str(toml), cpu=1) as daemon,
            child("-m", "plovertrail", cpu=1, BALANCER_CONFIG=str(config)) as program,
        ):
            subjects = [
                Subject("direct", ports, ordinary),
                Subject("plovertrail serve", [web], ordinary, daemon),
                Subject("platform's program", [app], platforms, program),
            ]
            wait_for(web)
            wait_for(app)
            pin(0)
            if importlib.util.find_spec("aiohttp") is None:
                raise SystemExit("the peer is missing: pip install -e '.[bench]'")
            peer = free_port()
            with child("-m", me, "--child", "aiohttp", "--ports", json.dumps([peer, *ports]), cpu=1) as proxy:
                wait_for(peer)
                subjects.append(Subject("aiohttp proxy", [peer], ordinary, proxy))
                found = measure(subjects, options.requests)
    rows: list[list[object]] = []
    for (name, connections), figures in found.items():
        beside = found["aiohttp proxy", connections]["cpu_us"]
        rows.append(
            [
                name,
                connections,
                f"{figures['per_s']:,.0f}",
                f"{figures['cpu_us']:.0f}",
                figures["cpu_us"] / beside,
                figures["p50_ms"],
                figures["p99_ms"],
                f"{figures['good']:.2%}",
                f"{figures['memory_mb']:.0f}",
            ]
        )
    table(["asked", "connections", "per s", "CPU us", "of aiohttp", "p50 ms", "p99 ms", "good", "MB"], rows)
    ours, theirs = found["plovertrail serve", 16], found["aiohttp proxy", 16]
    bars = [
        Bar("CPU beside the aiohttp proxy, 16 connections", ours["cpu_us"] / theirs["cpu_us"], 0.5),
        Bar("share of requests not answered 200", 1 - min(f["good"] for f in found.values()), 0.02),
    ]
    return close(
        "path_cost",
        {
            f"{name}, {n}": {k: round(v, 4) for k, v in figures.items()}
            for (name, n), figures in found.items()
        },
        bars,
    )


if __name__ == "__main__":
    sys.exit(main())
