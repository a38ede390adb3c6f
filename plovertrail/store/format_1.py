"""State files of format 1, which earlier versions wrote: read and taken over, never written.

The file is one line (format, length and SHA-256 of what follows) and a JSON object.
"""

from __future__ import annotations

import hashlib
import itertools
import json
import re
from typing import Any

from plovertrail.decisions.endpoint_list import Candidate, Entry, State
from plovertrail.store.records import restored

HEAD = re.compile(rb"plovertrail-state 1 (\d{1,9}) ([0-9a-f]{64})\n")


class InvalidStateFileError(Exception):
    """A file that can't be used; the text says why."""


def decode(data: bytes, clock_us: int, unix_us: int, boot: str = "") -> dict[str, State]:
    """The states in the file's bytes, by pool; raises InvalidStateFileError.

    Hazard: the system's clock may have been set since; by it, a server that came a moment ago would count as
    warm, or as cold for a day.
    """
    head = HEAD.match(data)
    if head is None:
        raise InvalidStateFileError("it has no first line of ours")
    body = data[head.end() :]
    if len(body) != int(head[1]) or hashlib.sha256(body).hexdigest().encode() != head[2]:
        raise InvalidStateFileError("it is damaged: its length or checksum is wrong")
    try:
        whole = json.loads(body)
        same = bool(boot) and whole.get("boot") == boot  # one machine, not started again: its clock went on
        ahead = -int(whole["ahead"]) if same else clock_us - unix_us
        return {name: _state(pool, ahead, clock_us) for name, pool in whole["pools"].items()}
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise InvalidStateFileError(f"it holds no states: {error!r}") from None


def _entry(raw: Any) -> Entry:
    ident, host, port, zone, cell, weight, drain = raw
    return Entry(ident, (host, port), zone, cell, weight, drain)


def _state(raw: Any, ahead: int, now_us: int) -> State:
    entries = iter([_entry(row) for row in raw["entries"]])
    layers = tuple(
        Candidate(source, tuple(itertools.islice(entries, count)), version, by_operator)
        for source, version, by_operator, count in raw["layers"]
    )
    came = {ident: min(now_us, came_us + ahead) for ident, came_us in raw["came"]}
    left = [(_entry(entry), min(now_us, since_us + ahead)) for entry, since_us in raw["leaving"]]
    state = State(by_hand=frozenset(raw["by_hand"]), layers=layers)
    return restored(state, raw["generation"], came, left, {})
