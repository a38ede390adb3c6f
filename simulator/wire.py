"""The simulator's wire protocol: decodes frames into events, encodes actions, and parses settings.

The protocol has names of its own, which are translated only here: an upstream is an endpoint, members are an
endpoint list, a verdict is an outcome, a ticket is a request, refuse is reject, a probe is a health check and
fetch is poll. The message of a `WireError` is one line that says what is malformed and where.
"""

from __future__ import annotations

import enum
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


class EventCode(enum.IntEnum):
    """The first byte of an event's record."""

    ATTEMPT_ENDED = 10
    STREAM_STARTED = 20
    PEER_MESSAGE = 30
    INSTANCE_STOPPED = 40
    TIMER_FIRED = 50
    REQUEST_CANCELLED = 60
    REQUEST_ARRIVED = 70
    ENDPOINTS_UPDATED = 80
    HEALTH_CHECK_ENDED = 90
    INSTANCE_STARTED = 100
    ENDPOINT_LIST = 110


class ActionCode(enum.IntEnum):
    """The first byte of an action's record."""

    POLL_ENDPOINTS = 10
    SEND = 20
    SET_TIMER = 30
    REJECT = 40
    SEND_TO_PEER = 50
    INTERNAL_ERROR = 60
    SUBSCRIBE = 70
    HEALTH_CHECK = 80
    FAIL = 90
    CANCEL = 100
    CLOSE_IDLE = 110
    LOG = 120


HEADER = struct.Struct("<IIQ")
REPLY_HEADER = struct.Struct("<II")
_ENDPOINT = struct.Struct("<IBBHBfQ")
_LIST_HEADER = struct.Struct("<II")
_INSTANCE_STARTED = struct.Struct("<QI")
_ENDPOINTS_UPDATED = struct.Struct("<BII")
_REQUEST_ARRIVED = struct.Struct("<IBIQIBQ")
_ATTEMPT_ENDED = struct.Struct("<IBIHIBB")
_STREAM_STARTED = struct.Struct("<IBII")
_HEALTH_CHECK_ENDED = struct.Struct("<IHIB")
_PEER_MESSAGE = struct.Struct("<HH")
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
_STATUSES = {0: EndpointStatus.REMOVED, 1: EndpointStatus.READY, 2: EndpointStatus.DRAINING}
_LIST_KINDS = {0: ListKind.DELTA, 1: ListKind.FULL, 2: ListKind.CACHED, 3: ListKind.FAILED}
_U32_MAX = 0xFFFFFFFF
V = TypeVar("V")


class WireError(Exception):
    """A frame or setting is malformed."""


@dataclass(slots=True)
class InstanceStarted:
    """Event: an instance starts, without any state from before."""

    seed: int
    options: str


@dataclass(slots=True)
class InstanceStopped:
    """Event: an instance was killed."""


@dataclass(slots=True)
class InternalError:
    """Action: the load balancer raised an exception."""

    text: str


Record = Event | InstanceStarted | InstanceStopped
Reply = Action | InternalError


class Decoder:
    """Decodes batches, and keeps the numbered endpoint lists that events refer to."""

    def __init__(self) -> None:
        self.lists: dict[int, list[Endpoint]] = {}
        self.data = b""
        self.position = 0

    def decode(self, data: bytes, count: int) -> Iterator[tuple[int, Record]]:
        """Yield the (instance, event) pairs of a batch in order; raises WireError."""
        self.data = data
        self.position = 0
        for index in range(count):
            start = self.position
            try:
                code = self.read_bytes(1)[0]
                if code == EventCode.ENDPOINT_LIST:
                    self.read_list()
                    continue
                reader = _READERS.get(code)
                if reader is None:
                    raise WireError(f"unknown event code {code}")
                instance = self.read_fields(_U16)[0]
                event = reader(self)
            except (WireError, UnicodeDecodeError) as error:
                raise WireError(f"record {index} at byte {start}: {error}") from error
            yield instance, event
        if self.position != len(data):
            raise WireError(f"{len(data) - self.position} bytes left over after {count} records")

    def read_bytes(self, size: int) -> bytes:
        """Return the next `size` bytes; raises WireError if fewer are left."""
        end = self.position + size
        if end > len(self.data):
            raise WireError(f"truncated: {size} bytes wanted, {len(self.data) - self.position} left")
        piece = self.data[self.position : end]
        self.position = end
        return piece

    def read_fields(self, layout: struct.Struct) -> tuple[int, ...]:
        """Return the next fields of a fixed layout; raises WireError if the data is truncated."""
        return layout.unpack(self.read_bytes(layout.size))

    def read_floats(self, count: int) -> list[float]:
        """Return the next `count` 32-bit floats; raises WireError if one is not finite."""
        values = list(struct.unpack(f"<{count}f", self.read_bytes(4 * count)))
        if not all(map(math.isfinite, values)):
            raise WireError("a load report value that is not a finite number")
        return values

    def read_list(self) -> None:
        """Read an endpoint list and keep it by its number, for the events that refer to it."""
        number, count = self.read_fields(_LIST_HEADER)
        endpoints = []
        for endpoint_id, zone, kind, cell, state, weight, started_us in _ENDPOINT.iter_unpack(
            self.read_bytes(_ENDPOINT.size * count)
        ):
            if not math.isfinite(weight):
                raise WireError(f"upstream {endpoint_id} has a weight that is not a finite number")
            status = _lookup(_STATUSES, state, "upstream condition")
            endpoints.append(Endpoint(endpoint_id, status, zone, kind, cell, weight, started_us))
        self.lists[number] = endpoints


def _lookup(table: dict[int, V], code: int, what: str) -> V:
    value = table.get(code)
    if value is None:
        raise WireError(f"unknown {what} {code}")
    return value


def _instance_started(decoder: Decoder) -> Record:
    seed, size = decoder.read_fields(_INSTANCE_STARTED)
    return InstanceStarted(seed, decoder.read_bytes(size).decode())


def _instance_stopped(_decoder: Decoder) -> Record:
    return InstanceStopped()


def _endpoints_updated(decoder: Decoder) -> Record:
    kind_code, version, number = decoder.read_fields(_ENDPOINTS_UPDATED)
    kind = _lookup(_LIST_KINDS, kind_code, "list kind")
    if kind is ListKind.FAILED:
        return EndpointsUpdated(kind, [], version)
    if number not in decoder.lists:
        raise WireError(f"upstream list {number} was never sent")
    return EndpointsUpdated(kind, decoder.lists[number], version)


def _request_arrived(decoder: Decoder) -> Record:
    request, class_index, tenant, key, cost_us, flags, due_us = decoder.read_fields(_REQUEST_ARRIVED)
    return RequestArrived(
        request,
        due_us,
        class_index,
        tenant,
        key,
        cost_us if flags & 1 else 0,
        bool(flags & 2),
        bool(flags & 4),
    )


def _attempt_ended(decoder: Decoder) -> Record:
    request, attempt, endpoint_id, outcome, elapsed_us, final, count = decoder.read_fields(_ATTEMPT_ENDED)
    return AttemptEnded(
        request,
        attempt,
        endpoint_id,
        _lookup(_OUTCOMES, outcome, "outcome"),
        elapsed_us,
        bool(final),
        decoder.read_floats(count),
    )


def _stream_started(decoder: Decoder) -> Record:
    request, attempt, elapsed_us, endpoint_id = decoder.read_fields(_STREAM_STARTED)
    return StreamStarted(request, attempt, endpoint_id, elapsed_us)


def _health_check_ended(decoder: Decoder) -> Record:
    endpoint_id, outcome_code, elapsed_us, count = decoder.read_fields(_HEALTH_CHECK_ENDED)
    outcome = _lookup(_OUTCOMES, outcome_code, "outcome")
    return HealthCheckEnded(endpoint_id, outcome, elapsed_us, decoder.read_floats(count))


def _peer_message(decoder: Decoder) -> Record:
    sender, size = decoder.read_fields(_PEER_MESSAGE)
    return PeerMessage(sender, decoder.read_bytes(size))


_READERS: dict[int, Callable[[Decoder], Record]] = {
    EventCode.ATTEMPT_ENDED: _attempt_ended,
    EventCode.STREAM_STARTED: _stream_started,
    EventCode.PEER_MESSAGE: _peer_message,
    EventCode.INSTANCE_STOPPED: _instance_stopped,
    EventCode.TIMER_FIRED: lambda decoder: TimerFired(decoder.read_fields(_U32)[0]),
    EventCode.REQUEST_CANCELLED: lambda decoder: RequestCancelled(decoder.read_fields(_U32)[0]),
    EventCode.REQUEST_ARRIVED: _request_arrived,
    EventCode.ENDPOINTS_UPDATED: _endpoints_updated,
    EventCode.HEALTH_CHECK_ENDED: _health_check_ended,
    EventCode.INSTANCE_STARTED: _instance_started,
}


def _record_packer(code: ActionCode, layout: str) -> Callable[..., bytes]:
    """Return a function that packs records with this code and, after the instance, these fields."""
    packer = struct.Struct("<BH" + layout)
    return lambda instance, *values: packer.pack(code, instance, *values)


_send = _record_packer(ActionCode.SEND, "IIi")
_reject = _record_packer(ActionCode.REJECT, "II")
_fail = _record_packer(ActionCode.FAIL, "I")
_cancel = _record_packer(ActionCode.CANCEL, "IB")
_health_check = _record_packer(ActionCode.HEALTH_CHECK, "I")
_set_timer = _record_packer(ActionCode.SET_TIMER, "QI")
_subscribe = _record_packer(ActionCode.SUBSCRIBE, "B")
_poll_endpoints = _record_packer(ActionCode.POLL_ENDPOINTS, "")
_close_idle = _record_packer(ActionCode.CLOSE_IDLE, "I")
_send_to_peer = _record_packer(ActionCode.SEND_TO_PEER, "IH")
_log_header = _record_packer(ActionCode.LOG, "H")
_error_header = _record_packer(ActionCode.INTERNAL_ERROR, "H")


def _text_record(header: Callable[..., bytes], instance: int, text: str) -> bytes:
    raw = text.encode()[:0xFFFF]
    return header(instance, len(raw)) + raw


_WRITERS: dict[type, Callable[[int, Any], bytes]] = {
    Send: lambda i, a: _send(i, a.request, a.endpoint_id, a.timeout_us),
    Reject: lambda i, a: _reject(i, a.request, a.retry_after_us),
    Fail: lambda i, a: _fail(i, a.request),
    Cancel: lambda i, a: _cancel(i, a.request, a.attempt),
    HealthCheck: lambda i, a: _health_check(i, a.endpoint_id),
    SetTimer: lambda i, a: _set_timer(i, a.at_us, a.token),
    Subscribe: lambda i, a: _subscribe(i, int(a.active)),
    PollEndpoints: lambda i, _: _poll_endpoints(i),
    CloseIdle: lambda i, a: _close_idle(i, a.endpoint_id),
    SendToPeer: lambda i, a: _send_to_peer(i, _U32_MAX if a.to is None else a.to, len(a.payload)) + a.payload,
    Log: lambda i, a: _text_record(_log_header, i, a.text),
    InternalError: lambda i, a: _text_record(_error_header, i, a.text),
}


def encode(instance: int, action: Reply) -> bytes:
    """Return the record of one action."""
    return _WRITERS[type(action)](instance, action)


def reply(records: list[bytes]) -> bytes:
    """Return a complete reply frame."""
    body = b"".join(records)
    return REPLY_HEADER.pack(len(body), len(records)) + body


def parse_settings(text: str) -> Settings:
    """Return the settings of one instance; unknown keys are skipped. Raises WireError."""
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
