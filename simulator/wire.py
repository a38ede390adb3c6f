"""The bench's wire: frames to events, actions to frames, settings from text.

No decision is made here. `WireError` says in one line what is malformed and where.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, TypeVar

from plovertrail.config.settings import SettingsError, settings_from_pairs
from plovertrail.decisions.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    HealthCheck,
    Log,
    PollEndpoints,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Subscribe,
)
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    HealthCheckEnded,
    ListKind,
    Outcome,
    PeerMessage,
    RequestArrived,
    RequestCancelled,
    StreamStarted,
    TimerFired,
)
from plovertrail.decisions.settings import Settings

HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
_ENTRY = struct.Struct("<IBBHBfQ")
_LIST_HEAD = struct.Struct("<II")
_POWER_ON = struct.Struct("<QI")
_MEMBERS = struct.Struct("<BII")
_ACCEPT = struct.Struct("<IBIQIBQ")
_COMPLETED = struct.Struct("<IBIHIBB")
_BEGUN = struct.Struct("<IBII")
_HEALTH = struct.Struct("<IHIB")
_DATAGRAM = struct.Struct("<HH")
_U16 = struct.Struct("<H")
_U32 = struct.Struct("<I")

_OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.REJECTED,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.NOT_SENT,
}
_STATES = {0: EndpointStatus.REMOVED, 1: EndpointStatus.READY, 2: EndpointStatus.DRAINING}
_LIST_KINDS = {0: ListKind.DELTA, 1: ListKind.FULL, 2: ListKind.CACHED, 3: ListKind.FAILED}
_U32_MAX = 0xFFFFFFFF
V = TypeVar("V")


class WireError(Exception):
    """A frame or a setting that cannot be read."""


@dataclass(slots=True)
class InstanceStarted:
    """An instance comes up with no state."""

    seed: int
    options: str


@dataclass(slots=True)
class InstanceStopped:
    """The instance has been killed."""


@dataclass(slots=True)
class InternalError:
    """Action: the decision code has failed; the text says how."""

    text: str


Record = Event | InstanceStarted | InstanceStopped
Reply = Action | InternalError


class Decoder:
    """Reads batches; remembers the numbered upstream lists, which events refer to."""

    def __init__(self) -> None:
        self.lists: dict[int, list[Endpoint]] = {}
        self.data = b""
        self.at = 0

    def batch(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """The (instance, event) pairs of a batch's body, in order."""
        self.data, self.at = data, 0
        for index in range(count):
            start = self.at
            try:
                code = self.take(1)[0]
                if code == 110:
                    self.read_list()
                    continue
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown event code {code}")
                instance = self.fields(_U16)[0]
                event = reader(self)
            except (WireError, UnicodeDecodeError) as error:
                raise WireError(f"record {index} at byte {start}: {error}") from error
            yield instance, event
        if self.at != len(data):
            raise WireError(f"{len(data) - self.at} bytes left over after {count} records")

    def take(self, size: int) -> bytes:
        """The next `size` bytes; raises WireError if fewer are left."""
        end = self.at + size
        if end > len(self.data):
            raise WireError(f"truncated: {size} bytes wanted, {len(self.data) - self.at} left")
        piece = self.data[self.at : end]
        self.at = end
        return piece

    def fields(self, layout: struct.Struct) -> tuple[int, ...]:
        """The next fields of a fixed layout; raises WireError if it is cut short."""
        return layout.unpack(self.take(layout.size))

    def floats(self, count: int) -> list[float]:
        """The next `count` 32-bit floats; raises WireError if one is not finite."""
        values = list(struct.unpack(f"<{count}f", self.take(4 * count)))
        if not all(map(math.isfinite, values)):
            raise WireError("a load report value that is not a finite number")
        return values

    def read_list(self) -> None:
        """Read a list of upstreams and keep it under its number, for the events that refer to it."""
        number, count = self.fields(_LIST_HEAD)
        entries = []
        for upstream, zone, kind, cell, state, weight, started in _ENTRY.iter_unpack(
            self.take(_ENTRY.size * count)
        ):
            if not math.isfinite(weight):
                raise WireError(f"upstream {upstream} has a weight that is not a finite number")
            entries.append(
                Endpoint(
                    upstream, _known(_STATES, state, "upstream condition"), zone, kind, cell, weight, started
                )
            )
        self.lists[number] = entries


def _known(table: dict[int, V], code: int, what: str) -> V:
    value = table.get(code)
    if value is None:
        raise WireError(f"unknown {what} {code}")
    return value


def _started(frame: Decoder) -> Record:
    seed, size = frame.fields(_POWER_ON)
    return InstanceStarted(seed, frame.take(size).decode())


def _stopped(frame: Decoder) -> Record:
    return InstanceStopped()


def _members(frame: Decoder) -> Record:
    how, version, number = frame.fields(_MEMBERS)
    kind = _known(_LIST_KINDS, how, "list kind")
    if kind is ListKind.FAILED:
        return EndpointsUpdated(kind, [], version)
    if number not in frame.lists:
        raise WireError(f"upstream list {number} was never sent")
    return EndpointsUpdated(kind, frame.lists[number], version)


def _accept(frame: Decoder) -> Record:
    request, class_index, tenant, key, cost, marks, due = frame.fields(_ACCEPT)
    return RequestArrived(
        request, due, class_index, tenant, key, cost if marks & 1 else 0, bool(marks & 2), bool(marks & 4)
    )


def _completed(frame: Decoder) -> Record:
    request, attempt, upstream, verdict, spent, last, count = frame.fields(_COMPLETED)
    return AttemptEnded(
        request,
        attempt,
        upstream,
        _known(_OUTCOMES, verdict, "outcome"),
        spent,
        bool(last),
        frame.floats(count),
    )


def _begun(frame: Decoder) -> Record:
    request, attempt, spent, upstream = frame.fields(_BEGUN)
    return StreamStarted(request, attempt, upstream, spent)


def _health(frame: Decoder) -> Record:
    upstream, verdict, spent, count = frame.fields(_HEALTH)
    return HealthCheckEnded(upstream, _known(_OUTCOMES, verdict, "outcome"), spent, frame.floats(count))


def _datagram(frame: Decoder) -> Record:
    sender, size = frame.fields(_DATAGRAM)
    return PeerMessage(sender, frame.take(size))


_READERS: dict[int, Callable[[Decoder], Record]] = {
    10: _completed,
    20: _begun,
    30: _datagram,
    40: _stopped,
    50: lambda frame: TimerFired(frame.fields(_U32)[0]),
    60: lambda frame: RequestCancelled(frame.fields(_U32)[0]),
    70: _accept,
    80: _members,
    90: _health,
    100: _started,
}


def _pack(code: int, layout: str) -> Callable[..., bytes]:
    packer = struct.Struct("<BH" + layout)
    return lambda instance, *values: packer.pack(code, instance, *values)


_send, _refuse, _fail = _pack(20, "IIi"), _pack(40, "II"), _pack(90, "I")
_cancel, _probe, _timer = _pack(100, "IB"), _pack(80, "I"), _pack(30, "QI")
_subscribe, _fetch, _close = _pack(70, "B"), _pack(10, ""), _pack(110, "I")
_tell, _text_log, _text_error = _pack(50, "IH"), _pack(120, "H"), _pack(60, "H")


def _text(head: Callable[..., bytes], instance: int, text: str) -> bytes:
    raw = text.encode()[:0xFFFF]
    return head(instance, len(raw)) + raw


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    Send: lambda i, a: _send(i, a.request, a.endpoint_id, a.timeout_us),
    Reject: lambda i, a: _refuse(i, a.request, a.retry_after_us),
    Fail: lambda i, a: _fail(i, a.request),
    Cancel: lambda i, a: _cancel(i, a.request, a.attempt),
    HealthCheck: lambda i, a: _probe(i, a.endpoint_id),
    SetTimer: lambda i, a: _timer(i, a.at_us, a.token),
    Subscribe: lambda i, a: _subscribe(i, int(a.active)),
    PollEndpoints: lambda i, a: _fetch(i),
    CloseIdle: lambda i, a: _close(i, a.endpoint_id),
    SendToPeer: lambda i, a: _tell(i, _U32_MAX if a.to is None else a.to, len(a.payload)) + a.payload,
    Log: lambda i, a: _text(_text_log, i, a.text),
    InternalError: lambda i, a: _text(_text_error, i, a.text),
}


def encode(instance: int, action: Reply) -> bytes:
    """One action record."""
    return _WRITERS[type(action)](instance, action)


def reply(records: list[bytes]) -> bytes:
    """A whole reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body


def parse_settings(text: str) -> Settings:
    """The settings of one instance; keys that are not known are skipped."""
    pairs: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        path, equals, value = line.partition("=")
        if not equals or not path:
            raise WireError(f"settings line {number}: expected path=value, got {line!r}")
        pairs[path] = value
    try:
        return settings_from_pairs(pairs)
    except SettingsError as error:
        raise WireError(str(error)) from error
