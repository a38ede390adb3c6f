"""Decoder of state files of format 1, which earlier versions wrote.

The file is one line (format, and length and SHA-256 of the rest) followed by a JSON object.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import re
from typing import Any

from plovertrail.decisions.endpoint_list import EndpointList, EndpointListState, ListedEndpoint
from plovertrail.store.clock_reading import ClockReading
from plovertrail.store.endpoint_list_records import restore_state
from plovertrail.store.errors import StateFileError

FIRST_LINE = re.compile(rb"plovertrail-state 1 (\d{1,9}) ([0-9a-f]{64})\n")


def decode(data: bytes, clocks: ClockReading) -> dict[str, EndpointListState]:
    """Decode the states of all pools by name; raises StateFileError."""
    first_line = FIRST_LINE.match(data)
    if first_line is None:
        raise StateFileError("it has no valid first line")
    body = data[first_line.end() :]
    if len(body) != int(first_line[1]) or hashlib.sha256(body).hexdigest().encode() != first_line[2]:
        raise StateFileError("it is damaged: its length or checksum is wrong")
    try:
        content = json.loads(body)
        # After a reboot only Unix time tells how long ago something happened. Without a reboot the offset in
        # the file stays valid, and the current one may be wrong because the system clock was set: an endpoint
        # that has just started would count as warmed up, or would warm up for a day.
        same_boot = bool(clocks.boot_id) and content.get("boot") == clocks.boot_id
        clock_offset_us = int(content["ahead"]) if same_boot else clocks.offset_us
        return {pool: _state(raw, clock_offset_us, clocks.now_us) for pool, raw in content["pools"].items()}
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise StateFileError(f"its content is invalid: {error!r}") from None


def _endpoint(raw: Any) -> ListedEndpoint:
    name, host, port, zone, cell, weight, drain = raw
    return ListedEndpoint(name, (host, port), zone, cell, weight, drain)


def _state(raw: Any, clock_offset_us: int, now_us: int) -> EndpointListState:
    entries = iter([_endpoint(row) for row in raw["entries"]])
    layers = tuple(
        EndpointList(source, tuple(itertools.islice(entries, count)), version, by_operator)
        for source, version, by_operator, count in raw["layers"]
    )
    started_us = {
        name: min(now_us, started_unix_us - clock_offset_us) for name, started_unix_us in raw["came"]
    }
    removed = [(_endpoint(row), min(now_us, since_us - clock_offset_us)) for row, since_us in raw["leaving"]]
    state = EndpointListState(
        generation=raw["generation"], drained_by_operator=frozenset(raw["by_hand"]), layers=layers
    )
    return restore_state(state, started_us, removed, {})
