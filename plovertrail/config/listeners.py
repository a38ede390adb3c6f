"""The operator's file, `[listeners.NAME]` and `[websockets.NAME]`: where and how clients connect."""

from __future__ import annotations

import re
from typing import Any

from plovertrail.config.schema import ListenerTable, WebSocketTable
from plovertrail.config.setup import ListenerSetup, WebSocketSetup
from plovertrail.config.table_reader import TableReader
from plovertrail.config.tables import duration_us, key_path, read_table, size_bytes
from plovertrail.decisions import websocket_messages

ORIGIN = re.compile(r"[A-Za-z][A-Za-z0-9+.-]*://[A-Za-z0-9._-]+(:[0-9]{1,5})?")


class ListenerReader(TableReader):
    """Reads listeners, and tables of what sockets may do."""

    def listeners(self, raw: dict[str, Any]) -> list[ListenerSetup]:
        """All listeners; no two may have one address."""
        found: list[ListenerSetup] = []
        taken: dict[tuple[str, int], str] = {}
        for name, item in raw.items():
            place = key_path("listeners", name)
            self.name(name, place)
            table = read_table(ListenerTable, item, place, self.problems)
            if table is None:
                continue
            address = self.address(table.address, f"{place}.address")
            if address in taken and address[1]:
                self.wrong(
                    f"{place}.address", f"listeners.{taken[address]} has this address", "write another one"
                )
            taken[address] = name
            found.append(
                ListenerSetup(
                    name,
                    address,
                    table.max_connections,
                    duration_us(table.read_timeout, f"{place}.read_timeout", self.problems),
                    duration_us(table.idle_timeout, f"{place}.idle_timeout", self.problems),
                    table.forwarded,
                    table.trust_forwarded,
                    self.header_name(table.request_id_header, f"{place}.request_id_header"),
                    self.header_name(table.deadline_header, f"{place}.deadline_header").lower(),
                )
            )
        return found

    def websocket(self, name: str, raw: object) -> WebSocketSetup | None:
        """One table of sockets; None if it is wrong."""
        place = key_path("websockets", name)
        self.name(name, place)
        table = read_table(WebSocketTable, raw, place, self.problems)
        if table is None:
            return None

        def time(key: str, least_us: int = 1) -> int:
            return duration_us(getattr(table, key), f"{place}.{key}", self.problems, least_us)

        for number, origin in enumerate(table.origins):
            if not ORIGIN.fullmatch(origin):
                self.wrong(
                    f"{place}.origins[{number}]",
                    f"{origin!r} is no origin",
                    "write scheme and host, and the port if it is not the usual one, "
                    'as "https://shop.example"',
                )
        return WebSocketSetup(
            frozenset(origin.lower() for origin in table.origins),
            websocket_messages.SessionLimits(
                size_bytes(table.max_message, f"{place}.max_message", self.problems, 1, 1 << 30),
                table.messages_per_s,
                table.burst,
                table.max_per_tenant,
                time("lifetime", 0),
                time("idle_timeout"),
                time("ping_interval"),
                time("ping_timeout"),
                time("slow_timeout"),
                time("drain_grace", 0),
                time("drain_spread", 0),
                time("close_timeout"),
            ),
        )
