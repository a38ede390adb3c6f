"""Sockets through a drain, a death and a hang: `python -m benchmarks.websocket_drain`.

`plovertrail serve` in a process of its own, five stand-in servers, and clients with traffic both ways, in
whole messages and in fragments. While they talk one server drains, one dies (its port closes, its connections
are reset), one hangs (it holds its connections and says nothing); then the daemon is told to stop. Clients
come back when they are told. Each socket has an id; the ledger is the daemon's log, its other side what
clients and servers saw. Bars, all 0: sockets without their one line, or with two; new sockets at the draining
server later than 2 s after the word; clients that saw neither a close frame nor a cut that the log tells of;
faults in the log; an exit status other than 0.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import re
import resource
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.processes import child, pin, wait_for
from benchmarks.report import Bar, close, table
from fakes.frames import CLOSE, CONTINUATION, PING, PONG, TEXT, close_frame, frame, opening, read_frame
from fakes.live import Line, LiveServer, echo
from fakes.ports import free_port

FILE = """\
[listeners.web]
address = "127.0.0.1:{port}"
max_connections = 3000
[daemon]
control_socket = "{control}"
[classes.live]
effect = "safe"
aim = "500ms"
deadline = "3s"
[websockets.live]
ping_interval = "2s"
ping_timeout = "2s"
drain_grace = "1s"
drain_spread = "4s"
close_timeout = "2s"
[pools.main]
servers = [{servers}]
max_sockets = 3000
[[routes]]
name = "live"
class = "live"
pools = ["main"]
websocket = "live"
"""
DRAINS, DIES, HANGS = 0, 1, 2
SERVERS = 5
GAP_S = 0.5  # between a client's messages
LATEST_S = 2.0
SOONEST_BACK_S = 0.2
LONGEST_BACK_S = 3.0
OPENED_AT_ONCE = 20
LINE = re.compile(r'socket id=(\S+) .*? client_close=(\S+)/(\S+) server_close=\S+ cause="(.*)"')


@dataclass
class Seen:
    """What a client saw of one socket."""

    code: int = 0  # of the close frame; 0: none came
    sent: int = 0
    back: int = 0
    closed_by_us: bool = False


@dataclass
class Play:
    """One run: its servers, its clients, and what they saw."""

    port: int
    rng: random.Random
    seen: dict[str, Seen] = field(default_factory=dict)
    accepted: dict[str, list[float]] = field(default_factory=dict)  # when, by server
    hung: asyncio.Event = field(default_factory=asyncio.Event)
    open: int = 0
    refused: int = 0
    stopping: bool = False

    def script(self, name: str, hangs: bool) -> LiveServer:
        """A server that notes when sockets come, and echoes messages; one that hangs stops at the mark."""
        times = self.accepted.setdefault(name, [])

        async def serve(line: Line) -> None:
            times.append(time.monotonic())
            if not hangs:
                await echo(line)
                return
            if self.hung.is_set():
                await asyncio.Event().wait()
            task = asyncio.create_task(echo(line))
            waits = asyncio.create_task(self.hung.wait())
            await asyncio.wait((task, waits), return_when=asyncio.FIRST_COMPLETED)
            waits.cancel()
            if not task.done():  # from now on it says nothing, and holds the connection
                task.cancel()
                await asyncio.Event().wait()

        return LiveServer(serve, name=name)

    async def client(self, number: int, turn: asyncio.Semaphore) -> None:
        """Opens a socket, uses it to its end, and comes back as it is told."""
        tries = 0
        while not self.stopping:
            ident = f"c{number}-{tries}"
            tries += 1
            back_s = SOONEST_BACK_S
            with suppress(OSError, asyncio.IncompleteReadError):
                async with turn:
                    opened = await self.ask(ident)
                if opened is not None:
                    back_s = await self.use(ident, *opened)
            await asyncio.sleep(min(back_s, LONGEST_BACK_S) * self.rng.uniform(1.0, 1.2))

    async def ask(self, ident: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        """Ask for a socket: its streams, or None if it is refused."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(opening("/live", f"X-Request-Id: {ident}"))
        head = await reader.readuntil(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 101"):
            return reader, writer
        self.refused += 1
        writer.close()
        return None

    async def use(self, ident: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> float:
        """When to come back, in seconds."""
        seen = self.seen[ident] = Seen()
        self.open += 1
        talking = asyncio.create_task(self.talk(seen, writer))
        back_s = SOONEST_BACK_S
        try:
            while True:
                got = await read_frame(reader)
                if got.opcode == PING:
                    writer.write(frame(PONG, got.payload, masked=True))
                elif got.opcode in (TEXT, CONTINUATION):
                    seen.back += got.final
                elif got.opcode == CLOSE:
                    seen.code = got.code
                    hint = re.search(r"retry-after=([0-9.]+)", got.reason)
                    back_s = float(hint[1]) if hint else back_s
                    writer.write(close_frame(masked=True))
                    await reader.read()
                    return back_s
        finally:
            self.open -= 1
            talking.cancel()
            writer.close()

    async def talk(self, seen: Seen, writer: asyncio.StreamWriter) -> None:
        """Whole messages and fragments, some of which a drain cuts in two."""
        await asyncio.sleep(self.rng.uniform(0, GAP_S))
        while not writer.is_closing():
            if self.rng.random() < 0.3:
                writer.write(frame(TEXT, b"balance ", final=False, masked=True))
                await asyncio.sleep(self.rng.uniform(0, GAP_S))
                writer.write(frame(CONTINUATION, b"42", masked=True))
            else:
                writer.write(frame(TEXT, b"balance 42", masked=True))
            seen.sent += 1
            await asyncio.sleep(GAP_S)


async def drain(control: str, server: str) -> None:
    """As `plovertrail drain` does."""
    reader, writer = await asyncio.open_unix_connection(control)
    writer.write(json.dumps({"do": "drain", "pool": "main", "server": server}).encode() + b"\n")
    await reader.readline()
    writer.close()


async def play(folder: Path, sockets: int, seconds: float, seed: int, log: Path) -> int:
    """Open the sockets, then drain, hang, reload and stop; returns 1 if a bar is missed."""
    port, control = free_port(), str(folder / "control")
    run = Play(port, random.Random(seed))
    servers = [run.script(f"s{number}", number == HANGS) for number in range(SERVERS)]
    for server in servers:
        await server.start()
    rows = ", ".join(f'{{ id = "{server.name}", address = "{server.address}" }}' for server in servers)
    file = folder / "site.toml"
    file.write_text(FILE.format(port=port, control=control, servers=rows))
    with (
        log.open("w") as out,
        child("-m", "plovertrail.cli", "serve", str(file), cpu=1, log=out.fileno()) as daemon,
    ):
        await asyncio.to_thread(wait_for, port)
        turn = asyncio.Semaphore(OPENED_AT_ONCE)
        clients = [asyncio.create_task(run.client(number, turn)) for number in range(sockets)]
        began = time.monotonic()
        while run.open < sockets:
            await asyncio.sleep(0.05)
            if time.monotonic() > began + 120:
                raise SystemExit(f"only {run.open} sockets opened in two minutes")
        opened_s = time.monotonic() - began
        await asyncio.sleep(seconds)
        await drain(control, f"s{DRAINS}")
        word = time.monotonic()
        await asyncio.sleep(seconds)
        servers[DIES].stop()
        await asyncio.sleep(seconds)
        run.hung.set()
        # the drain's window, and the pings that find the hung server
        await asyncio.sleep(max(12.0, 3 * seconds))
        open_before_stop = run.open
        run.stopping = True
        daemon.terminate()
        status = await asyncio.to_thread(daemon.wait, 60)
        ends = time.monotonic() + 10
        while run.open and time.monotonic() < ends:
            await asyncio.sleep(0.05)
        for task in clients:
            task.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
    for server in servers:
        server.stop()
    return verdict(run, log.read_text(), word, status, sockets, opened_s, open_before_stop)


def verdict(
    run: Play, log: str, word: float, status: int, sockets: int, opened_s: float, open_before_stop: int
) -> int:
    """Hold what both sides saw against the ledger."""
    lines = [match.groups() for match in map(LINE.search, log.splitlines()) if match]
    ledger = Counter(ident for ident, *_ in lines)
    told = {ident: (sent, cause) for ident, _, sent, cause in lines}
    late = [at for at in run.accepted[f"s{DRAINS}"] if at > word + LATEST_S]
    unseen = [
        ident for ident, seen in run.seen.items() if not seen.code and not (ident in told and told[ident][1])
    ]
    cuts = [ident for ident, seen in run.seen.items() if not seen.code]
    codes = Counter(seen.code for seen in run.seen.values())
    causes = Counter(cause for _, cause in told.values())
    faults = [line for line in log.splitlines() if line.startswith(("Traceback", "ERROR"))]
    table(
        ["how sockets ended", "count"],
        [[cause, count] for cause, count in causes.most_common()],
    )
    print()
    table(
        ["what clients saw", "count"],
        [[f"close {code}" if code else "a cut", count] for code, count in codes.most_common()],
    )
    after = [at - word for at in run.accepted[f"s{DRAINS}"] if at > word]
    sent, back = sum(seen.sent for seen in run.seen.values()), sum(seen.back for seen in run.seen.values())
    print(f"\n{len(run.seen)} sockets by {sockets} clients, all open after {opened_s:.1f} s; {run.refused}")
    print(f"handshakes refused; {open_before_stop} open before the stop; {sent} messages, {back} came back")
    bars = [
        Bar("sockets without a line", sum(1 for ident in run.seen if ledger[ident] == 0), 0),
        Bar("sockets with more than one line", sum(1 for count in ledger.values() if count > 1), 0),
        Bar("lines on sockets that no client had", sum(1 for ident in ledger if ident not in run.seen), 0),
        Bar("new sockets later than 2 s after the word", len(late), 0),
        Bar("clients with neither a close frame nor a counted cut", len(unseen), 0),
        Bar("faults in the log", len(faults), 0),
        Bar("exit status", status, 0),
    ]
    figures: dict[str, object] = {
        "sockets": len(run.seen),
        "clients": sockets,
        "opened_s": round(opened_s, 1),
        "refused": run.refused,
        "causes": dict(causes),
        "codes": {str(code): count for code, count in codes.items()},
        "cuts": len(cuts),
        "new_at_drained_after_word": len(after),
        "latest_new_s": round(max(after, default=0.0), 3),
    }
    return close("websocket_drain", figures, bars)


def main() -> int:
    """Run the play in a folder of its own; returns its exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sockets", type=int, default=1000)
    parser.add_argument("--seconds", type=float, default=4.0, help="between the events")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    pin(0)
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "log"
        return asyncio.run(play(Path(folder), options.sockets, options.seconds, options.seed, log))


if __name__ == "__main__":
    sys.exit(main())
