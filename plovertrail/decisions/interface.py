"""What a sidecar and the decision module say to each other: settings, events in, actions out.

Times are whole microseconds (`_us`) on the sidecar's own clock, which only moves forward.
An embedding sidecar makes a `Settings`, hands events to `Balancer.handle` in their order of
arrival and carries out the actions it gets back in the order given.
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


EFFECTS = ("idempotent", "deduplicated", "at_most_once")  # the stricter the later: verdicts go by it
GROUPS = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim_us: int  # an answer within this earns the full worth
    deadline_us: int
    worth: float = 1.0
    late_worth: float = 0.0  # share of the worth left for an answer after the aim
    aim_stretch: float = 0.0  # the aim grows by this multiple of the request's own work
    effect: str = "idempotent"
    group: str = "all"  # deduplicated: which upstreams drop each other's repeats
    memory_us: int = 0  # deduplicated: how long they remember a request
    stream: bool = False

    def __post_init__(self) -> None:
        _require(self.aim_us > 0, "a request class aim_us above 0", self.aim_us)
        _require(self.deadline_us > 0, "a request class deadline_us above 0", self.deadline_us)
        _require(self.worth >= 0, "a request class worth of 0 or more", self.worth)
        _require(0 <= self.late_worth <= 1, "a late_worth from 0 to 1", self.late_worth)
        _require(self.aim_stretch >= 0, "an aim_stretch of 0 or more", self.aim_stretch)
        _require(self.effect in EFFECTS, f"an effect out of {', '.join(EFFECTS)}", self.effect)
        _require(self.group in GROUPS, f"a group out of {', '.join(GROUPS)}", self.group)
        _require(self.memory_us >= 0, "a memory_us of 0 or more", self.memory_us)


@dataclass(slots=True)
class Tenant:
    """One tenant and the request rate that is within its share, over all sidecars together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """What the operator allows and wants; the same for all sidecars but for `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0
    worth_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # the shortest gap between batches
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # clients are told how long to stay away
    cancel: bool = False
    probes: bool = False
    second_copies: bool = False  # two attempts of a request may be out together
    list_on_request: bool = False  # upstream changes come only after Subscribe or FetchList
    ask_within_us: int = 0  # without a subscription, the list must be asked for this often
    drain_grace_us: int = 0  # for so long after word that it drains an upstream may still be sent to
    list_calls_per_s: float = 0.0  # what the list's service bears from all instances together; 0 = not known
    cold_share: float = 1.0  # an upstream boots at this share of its capacity or more
    warm_up_us: int = 0  # and is warm after this
    overload_factor: float = 1.0  # a cold upstream falls over at this multiple of its capacity
    fall_us: int = 0  # sustained for this long
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # the list's weights speak of size
    draw_by_weight: bool = False  # free slots are drawn in proportion to the weights

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "an instances of 1 or more", self.instances)
        _require(self.self_index >= 0, "a self_index of 0 or more", self.self_index)
        _require(0 <= self.over_share_worth <= 1, "an over_share_worth from 0 to 1", self.over_share_worth)
        _require(self.max_attempts >= 1, "a max_attempts of 1 or more", self.max_attempts)
        _require(0 < self.cold_share <= 1, "a cold_share above 0, at most 1", self.cold_share)
        _require(self.overload_factor > 0, "an overload_factor above 0", self.overload_factor)
        for name in (
            "zone",
            "tick_us",
            "max_retry_after_us",
            "connect_timeout_us",
            "ask_within_us",
            "drain_grace_us",
            "warm_up_us",
            "fall_us",
            "cross_zone_fee",
            "list_calls_per_s",
        ):
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))


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


# Events


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


# Actions


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client quits
    within_us: int = 0  # it may begin within this, and no later; 0 = at any time


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after_us: int = 0  # 0 = no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Give up an attempt that is out."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask an upstream for its health and load, outside of requests."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Tell TimerFired with this token at `at_us`."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Begin to watch the list of upstreams, or end it."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the whole list of upstreams once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an upstream."""

    upstream: int


@dataclass(slots=True)
class TellPeer:
    """Send a message to one other instance, or to all."""

    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | TellPeer | Log
