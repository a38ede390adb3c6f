"""The events that a load balancer handles, in the order in which they happened.

Times are whole microseconds (`_us`) on the process's own monotonic clock.
"""

from __future__ import annotations

import enum
from collections.abc import Container, Mapping
from dataclasses import dataclass, field


class Outcome(enum.Enum):
    """How one attempt or probe ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen; never ran
    TIMEOUT = "timeout"  # no answer in time; may have run or be running
    CONNECT_FAILED = "connect_failed"  # no connection; never ran
    RESET = "reset"  # the connection broke; may have run
    SPOILT = "spoilt"  # an answer that can't be read; has run
    CANCELLED = "cancelled"  # cancelled by us; may have run
    NOT_SENT = "not_sent"  # the sidecar could not send it; never ran


class UpstreamState(enum.Enum):
    """What the upstream list says of one upstream."""

    GONE = "gone"
    READY = "ready"
    DRAINING = "draining"


class ListKind(enum.Enum):
    """What an `UpstreamsUpdated` event carries."""

    DELTA = "delta"  # changed entries only
    FULL = "full"  # the complete list
    CACHED = "cached"  # the complete list as last known, possibly outdated
    FAILED = "failed"  # a call failed or the subscription broke; the list stays as it was


@dataclass(slots=True)
class Upstream:
    """One entry of the upstream list."""

    id: int
    state: UpstreamState = UpstreamState.READY
    zone: int = 0
    kind: int = 0
    cell: int = 0
    weight: float = 1.0
    started_us: int = 0  # its most recent start; 0 = long ago


@dataclass(slots=True)
class UpstreamsUpdated:
    """A list of upstreams has come, whole or in part, or could not be had."""

    kind: ListKind
    upstreams: list[Upstream] = field(default_factory=list)
    version: int = 0
    part: bool = False  # of a long list: what is not in it stays as it was, and who is gone is named
    silent: bool = False  # FAILED: the subscription was up and fell silent, so changes may have been missed


@dataclass(slots=True)
class RequestArrived:
    """A request has come; exactly one final answer is owed to it."""

    request: int
    due_us: int  # when the client stops waiting
    class_index: int = 0
    tenant: int = 0
    key: int = 0  # 0 = none
    cost_us: int = 0  # expected work on a standard core; 0 = not known
    retried: bool = False  # the client sends it again
    write: bool = False
    earlier_attempts: int = 0  # by other pools, all known not to have run
    attempts_left: int | None = None  # that this pool may make; None: as many as its settings say
    barred: Container[int] = frozenset()  # upstreams that take none of its kind now; may be a live view
    preferred: tuple[int, ...] = ()  # upstreams that its first attempt should go to if they have a free slot
    tenant_share: float = 0.0  # of what the fleet is asked for, if that is known; 0 = as it is seen here


@dataclass(slots=True)
class RequestGone:
    """The client has quit; no answer is owed any more."""

    request: int


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended, `elapsed_us` after it was sent; `report` is the server's load report, if any."""

    request: int
    attempt: int
    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    final: bool = False  # the request has ended; otherwise an answer is still owed
    report: list[float] = field(default_factory=list)  # values in the order of `report_names`


@dataclass(slots=True)
class StreamStarted:
    """The first byte of a streamed answer has come, `elapsed_us` after the attempt was sent."""

    request: int
    attempt: int
    upstream: int
    elapsed_us: int = 0


@dataclass(slots=True)
class ProbeEnded:
    """A probe of an upstream has ended."""

    upstream: int
    outcome: Outcome
    elapsed_us: int = 0
    report: list[float] = field(default_factory=list)


@dataclass(slots=True)
class TimerFired:
    """A timer that SetTimer asked for is due; `token` is that of SetTimer."""

    token: int


@dataclass(slots=True)
class Hearsay:
    """What other instances make of upstreams: how much less each is drawn for a class, from 0 to 1 (all that
    is known went wrong). Whole: what is not in it is held back no more."""

    held_back: Mapping[tuple[int, int], float] = field(default_factory=dict)  # by upstream and class index


@dataclass(slots=True)
class PeerMessage:
    """A message of another instance has come."""

    sender: int
    payload: bytes


Event = (
    UpstreamsUpdated
    | RequestArrived
    | RequestGone
    | AttemptEnded
    | StreamStarted
    | ProbeEnded
    | TimerFired
    | Hearsay
    | PeerMessage
)
