"""Told each change of a large fleet on a line of its own, a sidecar falls behind and misses drains."""

from __future__ import annotations

import asyncio
import json
import resource
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig2  # noqa: E402

UPSTREAMS = 3200
REPLACED = 1920  # six in ten
WITHIN_S = 7.0
GRACE_S = 2.05  # the drain grace of the settings, and the 50 ms of the protocol page
REST_S = 20.0  # for which clients go on after the last change was told
CLIENTS = 4
DESCRIPTORS = UPSTREAMS + REPLACED + 500
PAGE = {
    "name": "page",
    "aim": 400_000,
    "deadline": 3_000_000,
    "effect": "idempotent",
    "worth": 1.0,
    "late-worth": 0.3,
}


async def work(_upstream: rig2.Upstream, request: rig2.Request, writer: asyncio.StreamWriter) -> None:
    """Serve a request in 40 ms; an upstream that drains does so to the end of the case."""
    await asyncio.sleep(0.04)
    writer.write(rig2.answer(200, request.id.encode()))


async def client(name: str, port: int, record: rig2.Record, stop: asyncio.Event) -> None:
    """Send one request after the other."""
    connection = rig2.Client(port, record)
    number = 0
    while not stop.is_set():
        number += 1
        headers = {"X-Request-Id": f"{name}-{number}", "X-Class": "page", "X-Deadline-Ms": "3000"}
        answer = await connection.ask(rig2.request_bytes("GET", "/page", headers), 4.0)
        record.add(f"client got {answer.status} for {name}-{number}")
        await asyncio.sleep(0.06)
    connection.close()


async def tell_changes(
    discovery: rig2.Discovery, old: list[rig2.Upstream], new: list[rig2.Upstream], record: rig2.Record
) -> dict[str, float]:
    """Tell each drain and each new upstream on a line of its own; returns when each drain was written."""
    (watch,) = discovery.watches
    watch.transport.set_write_buffer_limits(high=0)
    told: dict[str, float] = {}
    began = record.now()
    for number, (leaving, joining) in enumerate(zip(old, new, strict=True)):
        await asyncio.sleep(max(0.0, began + WITHIN_S * number / REPLACED - record.now()))
        leaving.state = "leaving"
        joining.boot_ms = int(time.time() * 1000)
        for each in (leaving, joining):
            discovery.rev += 1
            line = json.dumps({"rev": discovery.rev, "all": False, "targets": [each.listed()]})
            discovery.write(watch, line)
        await watch.drain()  # until all of it has left the process
        told[leaving.name] = record.now()
    return told


async def case(record: rig2.Record, processes: rig2.Processes) -> list[str]:
    """Replace six in ten of the upstreams within 7 s."""
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(DESCRIPTORS, _soft)), hard))
    upstreams = [rig2.Upstream(f"s{number}", record, work) for number in range(UPSTREAMS)]
    joining = [rig2.Upstream(f"t{number}", record, work) for number in range(REPLACED)]
    for each in (*upstreams, *joining):
        await each.start()
    discovery = rig2.Discovery(record, upstreams)
    await discovery.start()
    path, port = processes.folder / "n0.json", rig2.free_port()
    rig2.sidecar_config(path, 0, (port, discovery.port), upstreams, rig2.settings([PAGE], 1))
    process = processes.start(rig2.sidecar_command(), "n0", BALANCER_CONFIG=str(path))
    await rig2.wait_for_port(port, process, rig2.UP)
    await discovery.watched(1)
    record.add("the sidecar watches discovery")
    stop = asyncio.Event()
    tasks = [asyncio.create_task(client(f"c{number}", port, record, stop)) for number in range(CLIENTS)]
    await asyncio.sleep(5.0)
    told: dict[str, float] = {}
    if rig2.trouble():
        record.add("the replacement begins")
        told = await tell_changes(discovery, upstreams[:REPLACED], joining, record)
        record.add("the replacement has been told in full")
    else:
        await asyncio.sleep(WITHIN_S)
    await asyncio.sleep(REST_S)
    stop.set()
    await asyncio.gather(*tasks)
    late = sorted(
        (request.first_byte_s - told[each.name], request.id, each.name)
        for each in upstreams[:REPLACED]
        for request in each.requests
        if each.name in told and request.first_byte_s - told[each.name] > GRACE_S
    )
    for after_s, request_id, name in late:
        record.add(f"late: {request_id} was sent to {name} {after_s:.3f} s after its drain was written")
    if not late:
        return []
    return [
        f"{len(late)} requests were sent to draining upstreams more than {GRACE_S} s after their drain was"
        f" written to the sidecar, the last one {late[-1][0]:.3f} s after it"
    ]


if __name__ == "__main__":
    rig2.main(HERE, case)
