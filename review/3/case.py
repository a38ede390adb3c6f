"""A configuration that lacks a key is taken in part at SIGHUP: the sidecar leaves discovery for good."""

from __future__ import annotations

import asyncio
import copy
import os
import signal
import sys
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
    free_port,
    run_case,
    settings,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BAD_FILE_AT_S = 3.0
DRAIN_AT_S = 5.0
# the drain counts as told 6 s after discovery had it at the latest; the grace of the settings is 2 s, and
# 50 ms on sockets; a sidecar may be held up for 0.15 s before it writes
LATEST_SEND_S = 6.0 + 2.0 + 0.05 + 0.15
LEFT_AT_S = DRAIN_AT_S + 12.0  # the drained server's process ends
CLIENTS_UNTIL_S = 20.0
PER_S = 60.0
WORK_S = {BUY: 0.06, TOP_UP: 0.12}
MOMENTS = 1000  # of 1 ms, to find the drained server with a chapter-buy in work


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
    known = discovery.whole()
    configuration = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": known,
        "settings": settings(),
    }
    sidecar = Sidecar(record, folder, configuration)
    clients = Clients(record, sidecar.port, kinds)
    try:
        await sidecar.start()
        playing = asyncio.create_task(clients.play([BUY, BUY, TOP_UP], PER_S, CLIENTS_UNTIL_S))
        await record.wait_until(BAD_FILE_AT_S)
        if TROUBLE:
            bad = copy.deepcopy(sidecar.configuration)
            del bad["settings"]["request-classes"][1]["memory-span"]
            bad["discovery"] = f"127.0.0.1:{free_port()}"
            record.write("the file now lacks a key, and names a discovery that does not exist")
            sidecar.write(bad)
            sidecar.signal(signal.SIGHUP)
        await record.wait_until(DRAIN_AT_S)
        announced_s = record.now()
        drained = servers[0]
        discovery.change(drained.name, "leaving")
        await record.wait_until(LEFT_AT_S)
        for _ in range(MOMENTS):
            if any(kinds[it] == BUY for it in drained.in_work):
                break
            await asyncio.sleep(0.001)
        record.write(f"{drained.name} ends, with {len(drained.in_work)} requests in work")
        cut = set(drained.in_work)
        drained.end()
        await playing
        await clients.finish()
    finally:
        await sidecar.stop()
        for server in servers:
            server.end()
        discovery.stop()
    late = [(name, at) for name, at in drained.arrivals if at > announced_s + LATEST_SEND_S]
    lost = [each for each in clients.asked if each.request_id in cut and each.status != 200]
    served = sum(each.status == 200 for each in clients.asked)
    record.write(f"requests {len(clients.asked)}, served {served}")
    for name, at in late:
        record.write(f"late send to {drained.name}: {name}, {at - announced_s:.3f} s after the drain")
    for each in lost:
        record.write(f"cut at the end of {drained.name}: {each.kind} {each.request_id}, status {each.status}")
    record.write(f"late sends {len(late)}, requests cut {len(lost)}")
    print(f"requests {len(clients.asked)} served {served} late sends {len(late)} cut {len(lost)}")
    if served < len(clients.asked) / 2:
        return CANNOT_RUN
    return BROKEN if late else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().with_name("record.txt"), play))
