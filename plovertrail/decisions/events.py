"""The events that a load balancer handles, in the order in which they happened.

Times are whole microseconds (`_us`) on the process's own monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Container, Mapping
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or health check ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # rejected before any work was done; never ran
    TIMEOUT = "timeout"  # no response in time; may have run or be running
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    MALFORMED = "malformed"  # a response that cannot be parsed; has run
    CANCELLED = "cancelled"  # cancelled by this process; may have run
    NOT_SENT = "not_sent"  # not written to any connection; never ran


class EndpointStatus(enum.Enum):
    """What the endpoint list says of one endpoint."""

    REMOVED = "removed"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `EndpointsUpdated` event carries."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known, possibly outdated
    FAILED = "failed"  # a poll failed or the watch broke; the list stays as it was


@dataclass(slots=True)
class Endpoint:
    """One endpoint as listed."""

    id: int
    state: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0  # its most recent start; 0 = long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """A new endpoint list, complete or in part, or the failure to get one."""

    kind: ListKind
    endpoints: list[Endpoint] = field(default_factory=list)
    version: int = 0
    partial: bool = False  # endpoints that are missing stay as they were; removed ones are named
    watch_stalled: bool = False  # FAILED: the watch went silent, so changes may have been missed


@dataclass(slots=True)
class RequestArrived:
    """A request that is owed exactly one final answer."""

    request: int
    due_us: int  # when the client stops waiting
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # idempotency key; 0 = none
    cost_us: int = 0  # expected work on a standard core; 0 = not known
    retried: bool = False  # the client sends it again
    write: bool = False
    earlier_attempts: int = 0  # by other pools, all known not to have run
    attempts_left: int | None = None  # that this pool may make; None: as many as its settings say
    excluded: Container[int] = frozenset()  # endpoints that cannot take this kind now; may be a live view
    preferred: tuple[int, ...] = ()  # endpoints for the first attempt, if they have a free slot
    tenant_share: float = 0.0  # fraction of the whole fleet's requests; 0 = estimated from local traffic


@dataclass(slots=True)
class RequestCancelled:
    """The client has disconnected; no answer is owed any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended `elapsed_us` after it was sent."""

    request: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False  # the request has ended; otherwise an answer is still owed
    report: list[float] = field(default_factory=list)  # load report, in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """The first byte of a streamed response came `elapsed_us` after the attempt was sent."""

    request: int
    attempt: int
    endpoint_id: int
    elapsed_us: int = 0


@dataclass(slots=True)
class HealthCheckEnded:
    """A health check of an endpoint has ended."""

    endpoint_id: int
    outcome: Outcome
    elapsed_us: int = 0
    report: list[float] = field(default_factory=list)  # load report, in the order of `report_names`


@dataclass(slots=True)
class TimerFired:
    """A timer set by `SetTimer` is due; `token` is the one given there."""

    token: int


@dataclass(slots=True)
class PeerHealthUpdated:
    """Selection penalties derived from the health reports of other instances.

    The mapping is complete: a penalty that it does not name is lifted.
    """

    penalties: Mapping[tuple[int, int], float] = field(default_factory=dict)
    """From 0 (none) to 1 (every known attempt failed), by endpoint id and class index."""


@dataclass(slots=True)
class PeerMessage:
    """A message from another instance."""

    sender: int
    payload: bytes


Event = (
    EndpointsUpdated
    | RequestArrived
    | RequestCancelled
    | AttemptEnded
    | StreamStarted
    | HealthCheckEnded
    | TimerFired
    | PeerHealthUpdated
    | PeerMessage
)
