"""The events that a load balancer handles, in the order in which they happened.

Times are whole microseconds (`_us`) on the process's monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Container, Mapping
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or health check ended."""

    OK = "ok"
    ERROR = "error"  # an error response; may have run
    REJECTED = "rejected"  # rejected before execution; never ran
    TIMEOUT = "timeout"  # no response in time; may have run, or may still be running
    CONNECT_FAILED = "connect_failed"  # the connection could not be opened; never ran
    RESET = "reset"  # the connection broke; may have run
    MALFORMED = "malformed"  # a response that cannot be parsed; has run
    CANCELLED = "cancelled"  # cancelled by this process; may have run
    NOT_SENT = "not_sent"  # not written to a connection; never ran


class EndpointStatus(enum.Enum):
    """Status of an endpoint in the endpoint list."""

    REMOVED = "removed"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """Kind of list that an `EndpointsUpdated` event carries."""

    DELTA = "delta"  # changed endpoints only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the last complete list from the cache, possibly outdated
    FAILED = "failed"  # no list: a poll failed or the watch was lost; the current list stays in use


@dataclass(slots=True)
class Endpoint:
    """An endpoint as it appears in the endpoint list."""

    id: int
    state: EndpointStatus = EndpointStatus.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0  # time of its last start; 0 = unknown, taken to be long ago


@dataclass(slots=True)
class EndpointsUpdated:
    """A complete or partial endpoint list, or a failure to get one."""

    kind: ListKind
    endpoints: list[Endpoint] = field(default_factory=list)
    version: int = 0
    partial: bool = False  # unlisted endpoints stay unchanged; removed ones are listed as REMOVED
    watch_stalled: bool = False  # with FAILED: the watch went silent, so changes may have been missed


@dataclass(slots=True)
class RequestArrived:
    """A new request, which must get exactly one final answer."""

    request: int
    due_us: int  # when the client stops waiting for the response
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # idempotency key; 0 = none
    cost_us: int = 0  # expected CPU time on a reference core; 0 = unknown
    retried: bool = False  # the client has sent it before
    write: bool = False
    earlier_attempts: int = 0  # attempts made by other pools, none of which was executed
    attempts_left: int | None = None  # attempts that this pool may make; None = as in its settings
    excluded: Container[int] = frozenset()  # endpoints that must not get this request; may change meanwhile
    preferred: tuple[int, ...] = ()  # tried in this order for the first attempt, if they have a free slot
    tenant_share: float = 0.0  # fraction of all the fleet's requests; 0 = estimated from local traffic


@dataclass(slots=True)
class RequestCancelled:
    """The client has disconnected, so the request needs no answer any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt ended `elapsed_us` after it was sent."""

    request: int
    attempt: int
    endpoint_id: int
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False  # the request has been answered; otherwise it still needs an answer
    report: list[float] = field(default_factory=list)  # load report, in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """The first byte of a streamed response arrived `elapsed_us` after the attempt was sent."""

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
    """A timer set by `SetTimer` with this token has fired."""

    token: int


@dataclass(slots=True)
class PeerHealthUpdated:
    """Selection penalties derived from the health reports of peers.

    The mapping replaces all earlier penalties.
    """

    penalties: Mapping[tuple[int, int], float] = field(default_factory=dict)
    """Penalties from 0 (none) to 1 (every reported attempt failed), by endpoint id and class index."""


@dataclass(slots=True)
class PeerMessage:
    """A message from a peer."""

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
