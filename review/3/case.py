"""New settings at SIGHUP are not taken: a top-up is repeated outside the pod that knows its key."""

from __future__ import annotations

import asyncio
import copy
import os
import random
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
NEW_SETTINGS_AT_S = 3.0
IN_USE_AFTER_S = 1.2
FAILING_S = (5.0, 33.0)  # one of six servers fails for 28 s
FAIL_SHARE = 0.8
CLIENTS_UNTIL_S = 34.0
PODS, SERVERS = 3, 6
SPAN_S = 8.0
PER_S = 40.0
WORK_S = {BUY: 0.05, TOP_UP: 0.1}


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    kinds: dict[str, str] = {}
    memories = [KeyMemory(SPAN_S)] * PODS  # the group is `all`: one memory
    servers = [
        Server(record, f"s-{number}", number % PODS, memories[number % PODS], lambda it: WORK_S[kinds[it]])
        for number in range(SERVERS)
    ]
    rng = random.Random(1)
    servers[0].fails = lambda it: (
        kinds[it] == TOP_UP and FAILING_S[0] < record.now() < FAILING_S[1] and rng.random() < FAIL_SHARE
    )
    for server in servers:
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    configuration = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": discovery.whole(),
        "settings": settings(top_up_group="all"),
    }
    sidecar = Sidecar(record, folder, configuration)
    clients = Clients(record, sidecar.port, kinds)
    try:
        await sidecar.start()
        playing = asyncio.create_task(clients.play([BUY, TOP_UP], PER_S, CLIENTS_UNTIL_S))
        await record.wait_until(NEW_SETTINGS_AT_S)
        if TROUBLE:
            changed = copy.deepcopy(sidecar.configuration)
            changed["settings"] = settings(top_up_group="cell")
            record.write("the file now has new settings: the group of coin-topup is `cell`")
            sidecar.write(changed)
            sidecar.signal(signal.SIGHUP)
            await asyncio.sleep(IN_USE_AFTER_S)
            seen = memories[0].seen
            pods = [KeyMemory(SPAN_S, dict(seen)) for _ in range(PODS)]  # each keeps what all have seen
            for server in servers:
                server.memory = pods[server.pod]
            record.write("from now on each pod drops the repeats that it has seen itself")
        await playing
        await clients.finish()
    finally:
        await sidecar.stop()
        for server in servers:
            server.end()
        discovery.stop()
    runs = Counter(run.request_id for server in servers for run in server.runs)
    twice = [each for each in clients.asked if runs[each.request_id] > 1]
    asked = [each for each in clients.asked if each.kind == TOP_UP]
    served = sum(each.status == 200 for each in asked)
    for each in twice:
        pods = [
            (run.server, server.pod)
            for server in servers
            for run in server.runs
            if run.request_id == each.request_id
        ]
        record.write(f"ran twice: {each.kind} {each.request_id} key {each.key} at (server, pod) {pods}")
    record.write(f"top-ups {len(asked)}, served {served}, ran twice {len(twice)}")
    print(f"top-ups {len(asked)} served {served} ran twice {len(twice)}")
    if served < len(asked) / 2:
        return CANNOT_RUN
    return BROKEN if twice else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().with_name("record.txt"), play))
