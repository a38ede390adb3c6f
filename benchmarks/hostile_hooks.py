"""The four rules while hooks do their worst: `python -m benchmarks.hostile_hooks`.

`plovertrail serve` with a route of each class for each of two dozen hostile hooks (traps, loops, forged
headers, verdicts that ask for repeats), half of them under each policy, before stand-ins that fail, hang,
reset and turn away, and that are drained by hand in turns; modules are replaced by noise and by themselves
under SIGHUP. Beside it, at the same time and under the same load, the same daemon without hooks. Routes of
each class without a hook are asked in both. Bars: no purchase twice, none of a key in two cells; no answer
late, none missing; nothing new to a server 100 ms after its drain was confirmed; memory of the last quarter
within 10 % of the second; the median of good routes within 10 % of the daemon without hooks; exit status 0.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from benchmarks.processes import child, memory_bytes, pin, wait_for
from benchmarks.report import Bar, close, table
from fakes.hostile_hooks import BAD_PATH, HOSTILE, module
from fakes.ports import free_port
from fakes.web import ERROR, NOT_RUN, Arrival, Line, WebServer

DEADLINE_S = 1.0
SLACK_S = 0.15  # for this client's own loop, and a machine with other work
ANSWER_S = 0.005
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
DRAIN_SLACK_S = 0.1
HOSTILE_CLIENTS, GOOD_CLIENTS = 6, 6
HOSTILE_GAP_S, GOOD_GAP_S = 0.05, 0.03  # between a client's requests, on average
SERVERS, CELLS = 8, 2
CLASSES = {"read": "GET", "buy": "POST", "mark": "POST"}
HEAD = """\
[listeners.web]
address = "127.0.0.1:{port}"
[daemon]
control_socket = "{folder}/control"
[classes.read]
effect = "safe"
aim = "100ms"
deadline = "1s"
[classes.buy]
effect = "unsafe"
aim = "100ms"
deadline = "1s"
[classes.mark]
effect = "keyed"
key_header = "Idempotency-Key"
group = "cell"
memory = "8s"
aim = "100ms"
deadline = "1s"
[pools.main]
servers = [{servers}]
"""


def site(folder: Path, port: int, servers: list[WebServer], hooked: bool) -> str:
    """The operator's file."""
    rows = ", ".join(
        f'{{ id = "s{n}", address = "{server.address}", cell = "{n % CELLS}" }}'
        for n, server in enumerate(servers)
    )
    text = HEAD.format(port=port, folder=folder, servers=rows)
    for number, hostile in enumerate(HOSTILE):
        if hooked:
            path = folder / f"{hostile.name}.wasm"
            path.write_bytes(module(hostile))
            text += f'[hooks.{hostile.name}]\nfile = "{path}"\nfuel = {hostile.fuel}\n'
        for kind in CLASSES:
            text += (
                f'[[routes]]\nname = "{hostile.name}-{kind}"\npath = "/{hostile.name}/{kind}"\n'
                f'class = "{kind}"\npools = ["main"]\n'
            )
            if hooked:
                policy = "pass" if number % 2 else "fail"
                text += f'hooks = ["{hostile.name}"]\non_hook_fault = "{policy}"\n'
                text += 'hook_classes = ["buy"]\n' if kind != "buy" else ""
    for kind in CLASSES:
        text += (
            f'[[routes]]\nname = "good-{kind}"\npath = "/good/{kind}"\nclass = "{kind}"\npools = ["main"]\n'
        )
    return text


class Play:
    """One daemon, its servers and its clients."""

    def __init__(self, hooked: bool, seconds: float, seed: int, cpu: int) -> None:
        self.hooked = hooked
        self.seconds = seconds
        self.cpu = cpu
        self.rng = random.Random(seed)
        self.ends = 0.0
        self.numbers = itertools.count()
        self.servers = [WebServer(self.script, keep=False) for _ in range(SERVERS)]
        self.ran: Counter[bytes] = Counter()  # purchases that a server did not turn away, by id
        self.cells: dict[bytes, set[int]] = {}  # where a key has run
        self.drained: dict[int, float] = {}  # server by number, since when
        self.to_drained = 0
        self.answers: Counter[str] = Counter()
        self.late = 0
        self.missing = 0
        self.good_s: list[float] = []
        self.memory: list[int] = []

    async def script(self, server: WebServer, arrival: Arrival, line: Line) -> bytes:
        """What a server of mixed health does with a request."""
        number, draw = self.servers.index(server), self.rng.random()
        self.to_drained += time.monotonic() > self.drained.get(number, float("inf")) + DRAIN_SLACK_S
        if draw < 0.03:
            return NOT_RUN
        kind = arrival.target.split(b"/")[2][:4]
        if kind == b"buy":
            self.ran.update(arrival.all("X-Request-Id"))
        elif kind == b"mark":
            for key in arrival.all("Idempotency-Key"):
                self.cells.setdefault(key, set()).add(number % CELLS)
        await asyncio.sleep(ANSWER_S)
        if draw < 0.04:
            line.reset()
            return b""
        if draw < 0.05:
            return b""  # silent
        return ERROR if draw < 0.07 else OK

    async def ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, target: str, kind: str, good: bool
    ) -> bool:
        """One request; whether its connection goes on."""
        number = next(self.numbers)
        began = time.monotonic()
        key = f"Idempotency-Key: k{number}\r\n" if kind == "mark" else ""
        writer.write(
            f"{CLASSES[kind]} {target} HTTP/1.1\r\nHost: a\r\nX-Request-Id: r{number}\r\n{key}"
            "Content-Length: 0\r\n\r\n".encode()
        )
        try:
            async with asyncio.timeout(DEADLINE_S + 2):
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                await reader.readexactly(length)
        except (TimeoutError, ConnectionError, asyncio.IncompleteReadError):
            self.missing += 1
            return False
        took = time.monotonic() - began
        self.late += took > DEADLINE_S + SLACK_S
        self.answers[f"{'good' if good else 'hooked'} {head[9:12].decode()}"] += 1
        if good and head[9:12] == b"200":
            self.good_s.append(took)
        return b"connection: close" not in head.lower()

    async def client(self, port: int, good: bool) -> None:
        """Send requests, to good routes or to hostile ones, until the play ends."""
        gap_s = GOOD_GAP_S if good else HOSTILE_GAP_S
        while time.monotonic() < self.ends:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            goes_on = True
            while goes_on and time.monotonic() < self.ends:
                await asyncio.sleep(self.rng.expovariate(1 / gap_s))
                kind = self.rng.choice(list(CLASSES))
                name = "good" if good else self.rng.choice(HOSTILE).name
                path = "" if good else f"/{BAD_PATH}"
                goes_on = await self.ask(reader, writer, f"/{name}/{kind}{path}", kind, good)
            writer.close()

    async def control(self, folder: Path, what: str, number: int) -> None:
        """Have the daemon drain or undrain a server, over its control socket."""
        reader, writer = await asyncio.open_unix_connection(str(folder / "control"))
        writer.write(json.dumps({"do": what, "pool": "main", "server": f"s{number}"}).encode() + b"\n")
        assert json.loads(await reader.readline())["ok"]
        writer.close()

    async def drains(self, folder: Path) -> None:
        """Drains one server after another."""
        for number in itertools.cycle(range(SERVERS)):
            await asyncio.sleep(1.0)
            if time.monotonic() > self.ends - 2.0:
                return
            await self.control(folder, "drain", number)
            self.drained[number] = time.monotonic()
            await asyncio.sleep(1.0)
            del self.drained[number]
            await self.control(folder, "undrain", number)

    async def reloads(self, folder: Path, pid: int) -> None:
        """Replaces modules by noise and by what they were."""
        while time.monotonic() < self.ends - 2.0:
            await asyncio.sleep(3.0)
            if self.hooked:
                hostile = self.rng.choice(HOSTILE)
                noise = self.rng.random() < 0.5
                (folder / f"{hostile.name}.wasm").write_bytes(b"noise" if noise else module(hostile))
            os.kill(pid, signal.SIGHUP)

    async def watch(self, daemon: subprocess.Popen[bytes]) -> None:
        """Note the daemon's memory in bytes about once a second."""
        while time.monotonic() < self.ends:
            self.memory.append(memory_bytes(daemon))
            await asyncio.sleep(min(1.0, self.seconds / 40))

    async def play(self) -> dict[str, Any]:
        """Start the servers and a daemon, play all clients against it, and return the figures."""
        for server in self.servers:
            await server.start()
        port = free_port()
        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            path = folder / "site.toml"
            path.write_text(site(folder, port, self.servers, self.hooked))
            with (
                (folder / "log").open("wb") as log,
                child("-m", "plovertrail.cli", "serve", str(path), cpu=self.cpu, log=log.fileno()) as daemon,
            ):
                await asyncio.to_thread(wait_for, port)
                self.ends = time.monotonic() + self.seconds
                await asyncio.gather(
                    *(self.client(port, True) for _ in range(GOOD_CLIENTS)),
                    *(self.client(port, False) for _ in range(HOSTILE_CLIENTS)),
                    self.drains(folder),
                    self.reloads(folder, daemon.pid),
                    self.watch(daemon),
                )
                daemon.send_signal(signal.SIGTERM)
                ended = await asyncio.to_thread(daemon.wait, 20)
            log_bytes = (folder / "log").stat().st_size
            text = (folder / "log").read_text(errors="replace")
        for server in self.servers:
            server.stop()
        quarter = max(1, len(self.memory) // 4)
        return {
            "answers": dict(self.answers),
            "purchases": len(self.ran),
            "twice": sum(count > 1 for count in self.ran.values()),
            "two_cells": sum(len(cells) > 1 for cells in self.cells.values()),
            "to_drained": self.to_drained,
            "late": self.late,
            "missing": self.missing,
            "ended": ended,
            "memory_second": statistics.median(self.memory[quarter : 2 * quarter]) / 1e6,
            "memory_last": statistics.median(self.memory[-quarter:]) / 1e6,
            "good_p50_ms": statistics.median(self.good_s) * 1e3,
            "good_p99_ms": sorted(self.good_s)[int(len(self.good_s) * 0.99)] * 1e3,
            "log_bytes_s": log_bytes / self.seconds,
            "switched_off": text.count("switched off"),
            "tracebacks": text.count("Traceback"),
        }


def worker(hooked: bool, seconds: float, seed: int) -> None:
    """Run one play on cores of its own, and print its figures as JSON for the parent process."""
    pin(1 + 2 * hooked)
    play = Play(hooked, seconds, seed, 2 + 2 * hooked)
    print(json.dumps(asyncio.run(play.play())), flush=True)


def main() -> int:
    """Run both plays side by side and print their table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--worker", choices=["hooked", "plain"], help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.worker:
        worker(options.worker == "hooked", options.seconds, options.seed)
        return 0
    command = [
        sys.executable,
        "-m",
        "benchmarks.hostile_hooks",
        "--seconds",
        str(options.seconds),
        "--seed",
        str(options.seed),
        "--worker",
    ]
    workers = {
        name: subprocess.Popen([*command, name], stdout=subprocess.PIPE) for name in ("plain", "hooked")
    }
    try:
        found = {
            name: json.loads(process.communicate(timeout=options.seconds + 120)[0])
            for name, process in workers.items()
        }
    finally:
        for process in workers.values():
            if process.poll() is None:
                process.kill()
                process.wait()
    plain, hooked = found["plain"], found["hooked"]
    table(
        ["", "no hooks", "hostile hooks"],
        [[name, plain[name], hooked[name]] for name in plain if name != "answers"],
    )
    table(
        ["answers", "no hooks", "hostile hooks"],
        [
            [name, plain["answers"].get(name, 0), hooked["answers"].get(name, 0)]
            for name in sorted(plain["answers"] | hooked["answers"])
        ],
    )
    bars = [
        Bar("purchases that ran twice", hooked["twice"], 0),
        Bar("keys that ran in two cells", hooked["two_cells"], 0),
        Bar("answers later than the deadline", hooked["late"], 0),
        Bar("requests with no answer", hooked["missing"], 0),
        Bar("sent to a drained server", hooked["to_drained"], 0),
        Bar("tracebacks in the log", hooked["tracebacks"], 0),
        Bar("exit status", abs(hooked["ended"]), 0),
        Bar(
            "memory, the last quarter beside the second", hooked["memory_last"] / hooked["memory_second"], 1.1
        ),
        Bar("median of good routes, beside no hooks", hooked["good_p50_ms"] / plain["good_p50_ms"], 1.1),
    ]
    return close("hostile_hooks", {"no hooks": plain, "hostile hooks": hooked}, bars)


if __name__ == "__main__":
    sys.exit(main())
