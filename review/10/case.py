"""A purchase whose Content-Length is too small is forwarded cut off, and its client is served."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig2  # noqa: E402

USUAL_CLIENTS = 3
BAD_CLIENTS = 12
REQUESTS = 40  # of each usual client
MISSING = 3  # how many bytes the wrong length is too small by
# the bytes that the length leaves out are "GET", "PUT" or the beginning of a longer method
BODIES = (b"serial=9&coins=50&op=GET", b"serial=9&coins=50&op=PUT", b"serial=9&coins=50&op=DEL")
PAUSE_S = 0.05
BUY = {
    "name": "chapter-buy",
    "aim": 400_000,
    "deadline": 1_200_000,
    "effect": "at_most_once",
    "worth": 10.0,
    "late-worth": 0.3,
}


class Store:
    """The upstreams, and the bodies that they have run by request id."""

    def __init__(self, record: rig2.Record) -> None:
        self.ran: dict[str, bytes] = {}
        self.upstreams = [rig2.Upstream(f"s{number}", record, self.work) for number in range(4)]

    async def work(
        self, upstream: rig2.Upstream, request: rig2.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a purchase in 40 ms."""
        await asyncio.sleep(0.04)
        self.ran[request.id] = request.body
        upstream.record.add(f"upstream {upstream.name} ran {request.id} body={request.body.decode()}")
        writer.write(rig2.answer(200, request.id.encode()))


def purchase(request_id: str, body: bytes, missing: int = 0) -> bytes:
    """Return the bytes of a purchase; its length is too small by `missing` bytes."""
    headers = {"X-Request-Id": request_id, "X-Class": "chapter-buy", "X-Deadline-Ms": "1200"}
    whole = rig2.request_bytes("POST", "/chapter-buy", headers, body)
    length = b"Content-Length: %d\r\n"
    return whole.replace(length % len(body), length % (len(body) - missing))


async def usual_client(name: str, port: int, record: rig2.Record) -> None:
    """Send purchases, one after the other."""
    client = rig2.Client(port, record)
    for number in range(REQUESTS):
        answer = await client.ask(purchase(f"{name}-{number}", BODIES[0]), 2.0)
        record.add(f"client got {answer.status} for {name}-{number}")
        await asyncio.sleep(PAUSE_S)
    client.close()


async def bad_client(number: int, port: int, record: rig2.Record) -> str:
    """Send one purchase with a wrong length on a new connection; returns what broke the rule, or nothing."""
    client = rig2.Client(port, record)
    body = BODIES[number % len(BODIES)]
    answer = await client.ask(purchase(f"bad-{number}", body, MISSING), 3.0)
    record.add(f"bad client got {answer.status} for bad-{number}, body={body.decode()} less {MISSING}")
    client.close()
    return f"bad-{number} was served with {answer.status}" if answer.status == 200 else ""


async def case(record: rig2.Record, processes: rig2.Processes) -> list[str]:
    """Let bad clients with wrong lengths come beside usual ones."""
    store = Store(record)
    for each in store.upstreams:
        await each.start()
    discovery = rig2.Discovery(record, store.upstreams)
    await discovery.start()
    path, port = processes.folder / "n0.json", rig2.free_port()
    rig2.sidecar_config(path, 0, (port, discovery.port), store.upstreams, rig2.settings([BUY], 1))
    process = processes.start(rig2.sidecar_command(), "n0", BALANCER_CONFIG=str(path))
    await rig2.wait_for_port(port, process, rig2.UP)
    usual = [asyncio.create_task(usual_client(f"c{each}", port, record)) for each in range(USUAL_CLIENTS)]
    broken: list[str] = []
    await asyncio.sleep(1.0)
    if rig2.trouble():
        for number in range(BAD_CLIENTS):
            broken.append(await bad_client(number, port, record))
            await asyncio.sleep(PAUSE_S)
    await asyncio.gather(*usual)
    cut = [
        f"{request_id} ran with the body {body.decode()}, which no client sent"
        for request_id, body in store.ran.items()
        if body not in BODIES
    ]
    return [line for line in broken if line] + cut


if __name__ == "__main__":
    rig2.main(HERE, case)
