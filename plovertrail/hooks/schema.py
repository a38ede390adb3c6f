"""A request written down for a hook to be run against, with no daemon and no server."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from plovertrail.config.hooks import HookSetup
from plovertrail.hooks import abi
from plovertrail.hooks.abi import Read


class WrittenRequest(
    msgspec.Struct, kw_only=True, forbid_unknown_fields=True, rename={"class_name": "class"}
):
    """What may be written of it; all of it has defaults."""

    method: str = "GET"
    path: str = "/"
    query: str = ""
    host: str = "shop.example"
    route: str = "written"
    class_name: str = "read"
    tenant: str = ""
    client: str = "192.0.2.1"
    headers: dict[str, str] = {}
    body: str = ""
    may_choose: list[str] = []
    counters: dict[str, int] = {}
    remaining_ms: int = 1000
    status: int = 200
    outcome: str = "served"
    elapsed_ms: int = 20

    @classmethod
    def read(cls, text: str, headers: Sequence[str] = ()) -> WrittenRequest:
        """From JSON, with further headers as 'name: value'; raises ValueError."""
        request = msgspec.json.decode(text, type=cls)
        more = {}
        for line in headers:
            name, colon, value = line.partition(":")
            if not colon or not name.strip():
                raise ValueError(f"{line!r} is no header: write 'name: value'")
            more[name.strip()] = value.strip()
        return msgspec.structs.replace(request, headers=request.headers | more)


def told(request: WrittenRequest, phase: str, setup: HookSetup) -> bytes:
    """The records that a hook is told of it in a phase."""
    text = {
        Read.METHOD: request.method,
        Read.PATH: request.path,
        Read.QUERY: request.query,
        Read.HOST: request.host,
        Read.ROUTE: request.route,
        Read.CLIENT: request.client,
        Read.TENANT: request.tenant,
        Read.CLASS: request.class_name,
    }
    parts = [abi.record(tag, value.encode()) for tag, value in text.items()]
    parts += [abi.record(Read.MAY_CHOOSE, name.encode()) for name in request.may_choose]
    if phase != "on_end":
        parts.append(abi.headers((name.encode(), value.encode()) for name, value in request.headers.items()))
    if phase != "on_request":
        parts.append(abi.number(Read.STATUS, request.status))
    if phase == "on_request" and setup.body:
        body = request.body.encode()
        parts += [abi.record(Read.BODY, body[: setup.body]), abi.number(Read.BODY_SIZE, len(body))]
    if phase == "on_end":
        parts += [
            abi.record(Read.OUTCOME, request.outcome.encode()),
            abi.number(Read.ELAPSED_MS, request.elapsed_ms),
        ]
    parts.append(abi.number(Read.REMAINING_MS, request.remaining_ms))
    parts += [
        abi.number(Read.COUNTER, request.counters.get(name, 0), name.encode()) for name in setup.counters
    ]
    return b"".join(parts) + abi.config(setup.config)
