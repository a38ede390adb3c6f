"""Hundreds of clients stop in the middle of a head: the sidecar goes over its memory limit and is killed."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections import Counter
from pathlib import Path

from review.rig import (
    BROKEN,
    BUY,
    CANNOT_RUN,
    HELD,
    TOP_UP,
    Clients,
    Discovery,
    KeyMemory,
    Record,
    Server,
    Sidecar,
    run_case,
    settings,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MEMORY_MB, SOCKETS = 64, 512
BAD_CLIENTS = 200  # the sidecar gives clients half of its descriptors
BAD_CLIENTS_AT_S = 5.0
HEAD_BYTES = 16_000
HEADER = b"ab:cd\r\n"
CLIENTS_UNTIL_S = 14.0
PER_S = 30.0
LOOK_S = 0.01
WORK_S = {BUY: 0.05, TOP_UP: 0.1}


def endless_head() -> bytes:
    """Return the beginning of a head that does not end: a request with many short headers."""
    head = b"POST /chapter-buy/it HTTP/1.1\r\nHost: api.internal\r\nX-Class: chapter-buy\r\n"
    return (head + HEADER * HEAD_BYTES)[:HEAD_BYTES]


async def send_half_a_request(port: int, ends: Counter[str]) -> None:
    """Connect, send a head that does not end at full speed, stay, and read what comes."""
    end = "left with neither an error nor a close"
    with contextlib.suppress(TimeoutError):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(endless_head())
            first = await asyncio.wait_for(reader.read(12), 8.0)
            end = first[9:12].decode() or "closed"
            writer.close()
        except OSError:
            end = "reset"
    ends[end] += 1


async def watch_memory(record: Record, sidecar: Sidecar, peak: list[float]) -> None:
    """Do what the platform does: kill the sidecar once it holds more memory than it may."""
    while peak[0] <= MEMORY_MB:
        peak[0] = max(peak[0], sidecar.memory_mb())
        await asyncio.sleep(LOOK_S)
    record.write(f"the sidecar holds {peak[0]:.1f} MB of {MEMORY_MB}: the platform kills it")
    sidecar.signal(signal.SIGKILL)


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    kinds: dict[str, str] = {}
    servers = [
        Server(record, f"s-{number}", number % 2, KeyMemory(8.0), lambda it: WORK_S[kinds[it]])
        for number in range(4)
    ]
    for server in servers:
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    configuration = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": discovery.whole(),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": settings(),
    }
    sidecar = Sidecar(record, folder, configuration)
    clients = Clients(record, sidecar.port, kinds)
    ends: Counter[str] = Counter()
    peak = [0.0]
    try:
        await sidecar.start()
        watching = asyncio.create_task(watch_memory(record, sidecar, peak))
        playing = asyncio.create_task(clients.play([BUY, BUY, TOP_UP], PER_S, CLIENTS_UNTIL_S))
        await record.wait_until(BAD_CLIENTS_AT_S)
        record.write(f"memory before: {sidecar.memory_mb():.1f} MB")
        if TROUBLE:
            record.write(
                f"{BAD_CLIENTS} clients send {HEAD_BYTES} bytes of a head that does not end, and stay"
            )
            bad = (send_half_a_request(sidecar.port, ends) for _ in range(BAD_CLIENTS))
            await asyncio.gather(*bad)
            record.write(f"ends of the bad clients: {dict(ends)}")
        await playing
        await clients.finish()
        watching.cancel()
    finally:
        await sidecar.stop()
        for server in servers:
            server.end()
        discovery.stop()
    crashed = peak[0] > MEMORY_MB
    served = sum(each.status == 200 for each in clients.asked)
    unanswered = [each for each in clients.asked if each.status == 0]
    for each in unanswered:
        record.write(f"unanswered: {each.kind} {each.request_id} sent at {each.sent_s:.3f}")
    summary = f"requests {len(clients.asked)}, served {served}, unanswered {len(unanswered)}, "
    summary += f"peak {peak[0]:.1f} of {MEMORY_MB} MB, killed: {crashed}"
    record.write(summary)
    print(summary)
    if not served:
        return CANNOT_RUN
    return BROKEN if crashed else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().with_name("record.txt"), play))
