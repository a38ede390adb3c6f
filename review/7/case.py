"""An answer whose Content-Length is too small is served cut off, if its body ends with an empty line."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig2  # noqa: E402

CLIENTS = 4
REQUESTS = 150  # of each client
SPOILT = 0.05  # share of answers whose length does not fit
MISSING = 40  # how many bytes the wrong length is too small by
RECEIPT = "receipt {id}\r\nserial 9\r\ncoins 50\r\nunlocked chapter 12\r\nthank you for reading\r\n\r\n"
BUY = {
    "name": "chapter-buy",
    "aim": 400_000,
    "deadline": 1_200_000,
    "effect": "at_most_once",
    "worth": 10.0,
    "late-worth": 0.3,
}


def receipt(request_id: str) -> bytes:
    """Return the body of the answer to a purchase: lines of text, and an empty line at the end."""
    return RECEIPT.format(id=request_id).encode()


class Store:
    """The upstreams, and which answers they have spoilt."""

    def __init__(self, record: rig2.Record) -> None:
        self.spoilt: set[str] = set()
        self.random = random.Random(5)
        self.upstreams = [rig2.Upstream(f"s{number}", record, self.work) for number in range(4)]

    async def work(
        self, upstream: rig2.Upstream, request: rig2.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Run a purchase in 30 to 60 ms; some answers get a length that does not fit."""
        await asyncio.sleep(self.random.uniform(0.03, 0.06))
        body = receipt(request.id)
        data = rig2.answer(200, body, "Content-Type: text/plain\r\n")
        if rig2.trouble() and self.random.random() < SPOILT:
            self.spoilt.add(request.id)
            length = b"Content-Length: %d\r\n"
            data = data.replace(length % len(body), length % (len(body) - MISSING))
            upstream.record.add(f"upstream {upstream.name} answers {request.id} with a length too small")
        writer.write(data)


async def client(name: str, port: int, record: rig2.Record) -> list[str]:
    """Send purchases, one after the other; returns those served with another answer than theirs."""
    connection = rig2.Client(port, record)
    wrong = []
    for number in range(REQUESTS):
        request_id = f"{name}-{number}"
        headers = {"X-Request-Id": request_id, "X-Class": "chapter-buy", "X-Deadline-Ms": "1200"}
        answer = await connection.ask(rig2.request_bytes("POST", "/chapter-buy", headers, b"9"), 2.0)
        record.add(f"client got {answer.status} with {len(answer.body)} bytes for {request_id}")
        if answer.status == 200 and answer.body != receipt(request_id):
            wrong.append(
                f"{request_id} was served with {len(answer.body)} of {len(receipt(request_id))} bytes"
            )
        await asyncio.sleep(0.02)
    connection.close()
    return wrong


async def case(record: rig2.Record, processes: rig2.Processes) -> list[str]:
    """Let some answers come with a length that does not fit."""
    store = Store(record)
    for each in store.upstreams:
        await each.start()
    discovery = rig2.Discovery(record, store.upstreams)
    await discovery.start()
    path, port = processes.folder / "n0.json", rig2.free_port()
    rig2.sidecar_config(path, 0, (port, discovery.port), store.upstreams, rig2.settings([BUY], 1))
    process = processes.start(rig2.sidecar_command(), "n0", BALANCER_CONFIG=str(path))
    await rig2.wait_for_port(port, process, rig2.UP)
    results = await asyncio.gather(*(client(f"c{each}", port, record) for each in range(CLIENTS)))
    record.add(f"spoilt answers: {len(store.spoilt)}")
    return [line for result in results for line in result]


if __name__ == "__main__":
    rig2.main(HERE, case)
