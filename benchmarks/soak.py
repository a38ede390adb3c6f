"""The four rules under everything at once: `python -m benchmarks.soak`.

Stand-ins that reset, stay silent, fail, turn work away, or answer cut, twice, in noise or after an interim
answer; they stop and come back. Clients that leave in mid-request, and hostile ones that send noise, floods
of pipelined requests, half requests, endless heads and chunks. The file is reloaded three times a second,
now broken, now with other settings, now with a server drained. Bars, all 0: purchases that ran twice,
answers later than the deadline, requests with no answer, requests still open at the end, faults in the
daemon's log.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import logging
import random
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

from benchmarks.report import Bar, close, table
from fakes.ports import free_port
from fakes.web import ERROR, NOT_RUN, OK, Arrival, Line, WebServer
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon

DEADLINE_S = 1.0
SLACK_S = 0.1  # for this client's own loop
CLIENTS, HOSTILE = 20, 10
HEAD = """\
[listeners.web]
address = "127.0.0.1:{port}"
[classes.buy]
effect = "unsafe"
aim = "100ms"
deadline = "1s"
[classes.read]
effect = "safe"
aim = "100ms"
deadline = "1s"
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = ["first", "second"]
[[routes]]
name = "rest"
class = "read"
pools = ["first", "second"]
"""


class Soak:
    """One run: the daemon, its servers, its clients, and what was seen."""

    def __init__(self, seconds: float, seed: int) -> None:
        self.rng = random.Random(seed)
        self.ends = time.monotonic() + seconds
        self.ran: Counter[bytes] = Counter()  # purchases, by id, that a server did not turn away
        self.answers: Counter[str] = Counter()
        self.late = 0
        self.numbers = itertools.count()
        self.port = free_port()
        self.pools = {
            name: [WebServer(self.script) for _ in range(count)]
            for name, count in (("first", 5), ("second", 4))
        }
        self.text = ""

    @property
    def servers(self) -> list[WebServer]:
        """The servers of all pools."""
        return [server for servers in self.pools.values() for server in servers]

    async def script(self, server: WebServer, arrival: Arrival, line: Line) -> bytes:
        """What a bad server does with a request."""
        draw = self.rng.random()
        if draw < 0.08:
            return NOT_RUN
        if arrival.target.startswith(b"/buy"):
            self.ran.update(arrival.all("X-Request-Id"))
        if draw < 0.12:
            line.reset()
            return b""
        if draw < 0.14:
            return b""  # silent
        if draw < 0.30:
            return self.rng.choice(
                [
                    ERROR,
                    OK + OK,
                    b"\x00\x01noise\r\n\r\n",
                    b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nshort",
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                    b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
                ]
            )
        await asyncio.sleep(self.rng.random() * 0.02)
        return OK

    async def client(self) -> None:
        """Asks one request after another, and goes now and then without waiting."""
        while time.monotonic() < self.ends:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                for _ in range(self.rng.randrange(1, 8)):
                    line = self.rng.choice(["POST /buy", "GET /page"])
                    began = time.monotonic()
                    writer.write(
                        f"{line} HTTP/1.1\r\nHost: a\r\nX-Request-Id: {next(self.numbers)}\r\n"
                        "Content-Length: 0\r\n\r\n".encode()
                    )
                    if self.rng.random() < 0.05:
                        break
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
                    length = int(head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0])
                    await reader.readexactly(length)
                    self.late += time.monotonic() - began > DEADLINE_S + SLACK_S
                    self.answers[head[9:12].decode()] += 1
                    if b"Connection: close" in head:
                        break
                writer.close()
            except (ConnectionError, asyncio.IncompleteReadError):
                self.answers["connection ended"] += 1
            except TimeoutError:
                self.answers["no answer"] += 1

    def hostile_bytes(self) -> bytes:
        """Bytes that are no good request: noise, mangled ones, floods and unfinished ones."""
        get = b"GET /page HTTP/1.1\r\nHost: a\r\n\r\n"
        post = b"POST /buy HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
        mangled = bytearray(post)
        mangled[self.rng.randrange(len(mangled))] = self.rng.randrange(256)
        return self.rng.choice(
            [
                self.rng.randbytes(self.rng.randrange(1, 5000)),
                get * self.rng.randrange(1, 60),
                post[:-1],
                bytes(mangled),
                b"POST /buy HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 2000,
                b"GET /" + b"a" * 30_000,
                b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n" + get,
                b"",
            ]
        )

    async def hostile(self) -> None:
        """Send hostile bytes on connections that are broken off, until the soak ends."""
        while time.monotonic() < self.ends:
            try:
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(self.hostile_bytes())
                await asyncio.sleep(self.rng.random() * 0.05)
                if self.rng.random() < 0.5:
                    await asyncio.wait_for(reader.read(100_000), 0.2)
                writer.transport.abort() if self.rng.random() < 0.5 else writer.close()
            except (ConnectionError, TimeoutError):
                pass

    async def reloads(self, daemon: Daemon, path: Path) -> None:
        """Reload the daemon again and again, with changed files and with broken ones."""
        for number in itertools.count():
            if time.monotonic() >= self.ends:
                return
            text = self.text
            if number % 3 == 1:
                text = text.replace('aim = "100ms"', f'aim = "{80 + number % 40}ms"')
            if number % 4 == 2:
                address = f'"{self.pools["first"][0].address}"'
                text = text.replace(address, f"{address}, drain = true")
            if number % 5 == 3:
                text = "broken["
            path.write_text(text)
            await daemon.reload()
            await asyncio.sleep(0.3)

    async def outages(self) -> None:
        """Stop a server drawn at random for 0.3 s, again and again."""
        while time.monotonic() < self.ends:
            await asyncio.sleep(0.5)
            server = self.rng.choice(self.servers)
            port = server.port
            server.stop()
            await asyncio.sleep(0.3)
            await server.start(port)

    async def play(self, folder: Path) -> int:
        """How many requests are still open at the end."""
        for server in self.servers:
            await server.start()
        self.text = HEAD.format(port=self.port)
        for name, servers in self.pools.items():
            rows = ", ".join(
                f'{{ id = "s{n}", address = "{server.address}" }}' for n, server in enumerate(servers)
            )
            self.text += f"[pools.{name}]\nservers = [{rows}]\n"
        path = folder / "site.toml"
        path.write_text(self.text)
        daemon = Daemon(load(str(path)))
        await asyncio.gather(
            *(self.client() for _ in range(CLIENTS)),
            *(self.hostile() for _ in range(HOSTILE)),
            self.reloads(daemon, path),
            self.outages(),
        )
        await asyncio.sleep(DEADLINE_S + 0.5)
        left = len(daemon.dispatcher.requests)
        await daemon.stop()
        for server in self.servers:
            server.stop()
        return left


class Faults(logging.Handler):
    """Counts what the daemon did not expect."""

    def __init__(self) -> None:
        super().__init__()
        self.found: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record that tells of a fault of the daemon's."""
        if record.exc_info or (
            record.levelno >= logging.ERROR and "reload refused" not in record.getMessage()
        ):
            self.found.append(record.getMessage())


def main() -> int:
    """Run the soak and print its figures; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    faults = Faults()
    logging.getLogger().addHandler(faults)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(options.seconds, options.seed)
        left = asyncio.run(soak.play(Path(folder)))
    twice = sum(1 for count in soak.ran.values() if count > 1)
    table(["answer", "count"], sorted(soak.answers.items()))
    print(f"{len(soak.ran)} purchases ran, {twice} of them twice")
    for fault in dict.fromkeys(faults.found[:5]):
        print(f"fault: {fault}")
    bars = [
        Bar("purchases that ran twice", twice, 0),
        Bar("answers later than the deadline", soak.late, 0),
        Bar("requests with no answer", soak.answers["no answer"], 0),
        Bar("requests left open", left, 0),
        Bar("faults in the log", len(faults.found), 0),
    ]
    return close("soak", {"answers": dict(soak.answers), "ran": len(soak.ran)}, bars)


if __name__ == "__main__":
    sys.exit(main())
