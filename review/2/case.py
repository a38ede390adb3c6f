"""An answer that is longer than its Content-Length says is cut off there and served as a good one."""

from __future__ import annotations

import json
import os
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
    run_case,
    settings,
)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TROUBLE_FROM_S = 4.0
CLIENTS_UNTIL_S = 20.0
PER_S = 40.0
SPOILT_EVERY = 10
SERVERS = 4
WORK_S = {BUY: 0.05, TOP_UP: 0.1}


class Shop(Server):
    """A server whose answers are receipts; some of them are given a length in characters, not bytes."""

    def answer(self, request_id: str) -> bytes:
        """Return the receipt for a request."""
        is_spoilt = TROUBLE and self.record.now() > TROUBLE_FROM_S and len(self.made) % SPOILT_EVERY == 0
        receipt = {"request": request_id, "title": "Ang Niño", "price": "₱150", "booked": True}
        text = json.dumps(receipt, ensure_ascii=False)
        body = self.made[request_id] = text.encode()
        length = len(body)
        if is_spoilt:
            self.spoilt.add(request_id)
            length = len(text)
            self.record.write(
                f"server {self.name} answers {request_id} with {len(body)} bytes, Content-Length: {length}"
            )
        head = f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n"
        return head.encode() + body


async def play(record: Record, folder: Path) -> int:
    """Play the case; return the exit status."""
    kinds: dict[str, str] = {}
    servers = [
        Shop(record, f"s-{number}", number % 2, KeyMemory(8.0), lambda it: WORK_S[kinds[it]])
        for number in range(SERVERS)
    ]
    for server in servers:
        await server.start()
    discovery = Discovery(record, servers)
    await discovery.start()
    configuration = {
        "discovery": f"127.0.0.1:{discovery.port}",
        "known": discovery.whole(),
        "settings": settings(),
    }
    sidecar = Sidecar(record, folder, configuration)
    clients = Clients(record, sidecar.port, kinds)
    try:
        await sidecar.start()
        await clients.play([BUY, BUY, TOP_UP], PER_S, CLIENTS_UNTIL_S)
        await clients.finish()
    finally:
        await sidecar.stop()
        for server in servers:
            server.end()
        discovery.stop()
    made: dict[str, set[bytes]] = {}
    for server in servers:
        for request_id, body in server.made.items():
            made.setdefault(request_id, set()).add(body)
    spoilt = set().union(*(server.spoilt for server in servers))
    served = [each for each in clients.asked if each.status == 200]
    wrong = [each for each in served if each.body not in made.get(each.request_id, set())]
    for each in wrong:
        record.write(f"served wrong: {each.kind} {each.request_id} got {each.body!r}")
        record.write(f"        no server made that; made was {sorted(made.get(each.request_id, set()))!r}")
    summary = f"requests {len(clients.asked)}, served {len(served)}, spoilt {len(spoilt)}, wrong {len(wrong)}"
    record.write(summary)
    print(summary)
    if len(served) < len(clients.asked) / 2:
        return CANNOT_RUN
    return BROKEN if wrong else HELD


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().with_name("record.txt"), play))
