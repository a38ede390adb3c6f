"""What a connection and a request hold in memory: `python -m benchmarks.path_memory`.

`plovertrail serve` in front of stand-ins that never answer: its resident memory, as the kernel counts it,
with so many idle connections of clients, and with requests open on some of them; the difference for each one.
Bars: 16 KiB a connection, 32 KiB an open request with its connection to the server.
"""

from __future__ import annotations

import argparse
import asyncio
import resource
import subprocess
import sys
import tempfile
from pathlib import Path

from benchmarks.processes import child, memory_bytes, wait_for
from benchmarks.report import Bar, close, table
from fakes.ports import free_port

FILE = """\
[listeners.web]
address = "127.0.0.1:{port}"
max_connections = {most}
[classes.read]
effect = "safe"
aim = "60s"
deadline = "60s"
[pools.main]
servers = [{servers}]
max_connections = {most}
[[routes]]
name = "all"
class = "read"
pools = ["main"]
"""
REQUEST = (
    b"GET /comics/7/chapters HTTP/1.1\r\nHost: shop.example\r\nUser-Agent: reader/3\r\nAccept: */*\r\n"
    b"Accept-Encoding: gzip\r\nCookie: session=0123456789abcdef\r\n\r\n"
)
SERVERS = 200  # each takes up to 8 at once from one daemon
SETTLE_S = 1.0
PATIENCE_S = 60.0


async def silent_servers() -> None:
    """Accept, read, and say nothing."""
    hold: list[asyncio.StreamWriter] = []

    async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        hold.append(writer)
        await reader.read()

    servers = [await asyncio.start_server(taken, "127.0.0.1", 0) for _ in range(SERVERS)]
    print(" ".join(str(server.sockets[0].getsockname()[1]) for server in servers), flush=True)
    await asyncio.Event().wait()


async def measure(port: int, daemon: subprocess.Popen[bytes], count: int) -> tuple[float, float, int]:
    """Bytes an idle connection, bytes more with a request open on it, and how many were open."""
    warm = [await asyncio.open_connection("127.0.0.1", port) for _ in range(50)]
    await asyncio.sleep(SETTLE_S)
    before = memory_bytes(daemon)
    lines = [await asyncio.open_connection("127.0.0.1", port) for _ in range(count)]
    await asyncio.sleep(SETTLE_S)
    idle = memory_bytes(daemon)
    asked = lines[: SERVERS // 2]  # one to each server opens at first: all of these are sent
    for _, writer in asked:
        writer.write(REQUEST)
    await asyncio.sleep(SETTLE_S)
    busy = memory_bytes(daemon)
    answered = 0  # refused: their memory is free again
    for reader, _ in asked:
        try:
            await asyncio.wait_for(reader.read(1), 0.001)
            answered += 1
        except TimeoutError:
            pass
    for _, writer in warm + lines:
        writer.close()
    still_open = len(asked) - answered
    return (idle - before) / count, (busy - idle) / max(1, still_open), still_open


def main() -> int:
    """Measure the memory of open connections and print the table; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--connections", type=int, default=4_000)
    parser.add_argument("--child", action="store_true", help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.child:
        asyncio.run(silent_servers())
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    with (
        tempfile.TemporaryDirectory() as folder,
        child("-m", "benchmarks.path_memory", "--child", cpu=2) as servers,
    ):
        assert servers.stdout is not None
        ports = servers.stdout.readline().split()
        path, port = Path(folder) / "site.toml", free_port()
        rows = ", ".join(
            f'{{ id = "s{n}", address = "127.0.0.1:{each.decode()}" }}' for n, each in enumerate(ports)
        )
        path.write_text(FILE.format(port=port, servers=rows, most=options.connections + 100))
        with child("-m", "plovertrail.cli", "serve", str(path), cpu=1) as daemon:
            wait_for(port)
            idle, busy, count = asyncio.run(
                asyncio.wait_for(measure(port, daemon, options.connections), PATIENCE_S)
            )
    rows_: list[list[object]] = [
        [f"an idle connection, of {options.connections:,}", idle / 1024],
        [f"a request open on it, of {count:,}", busy / 1024],
    ]
    table(["", "KiB"], rows_)
    figures: dict[str, object] = {
        "connection_bytes": round(idle),
        "request_bytes": round(busy),
        "open_requests": count,
    }
    bars = [
        Bar("KiB an idle connection", idle / 1024, 16.0),
        Bar("KiB an open request", busy / 1024, 32.0),
    ]
    return close("path_memory", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
