"""The settings of a load balancer: request classes, tenants and what the operator allows.

Durations are whole microseconds (`_us`). A check raises ValueError with what it expected and what it found.
"""

from __future__ import annotations

from dataclasses import dataclass, field

EFFECTS = ("idempotent", "deduplicated", "at_most_once")  # from the least to the most restrictive
DEDUP_SCOPES = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """One class of requests: its latency objective, its weight and whether it may be retried."""

    name: str
    latency_objective_us: int  # a response within this earns the full weight
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight left for a response after the objective
    objective_stretch: float = 0.0  # the objective grows by this multiple of the request's own work
    effect: str = "idempotent"
    dedup_scope: str = "all"  # deduplicated: which endpoints drop each other's duplicates
    dedup_window_us: int = 0  # deduplicated: how long an idempotency key is remembered
    stream: bool = False

    def __post_init__(self) -> None:
        _require(
            self.latency_objective_us > 0,
            "a request class latency_objective_us above 0",
            self.latency_objective_us,
        )
        _require(self.deadline_us > 0, "a request class deadline_us above 0", self.deadline_us)
        _require(
            self.priority_weight >= 0, "a request class priority_weight of 0 or more", self.priority_weight
        )
        _require(0 <= self.late_weight <= 1, "a late_weight from 0 to 1", self.late_weight)
        _require(self.objective_stretch >= 0, "an objective_stretch of 0 or more", self.objective_stretch)
        _require(self.effect in EFFECTS, f"an effect out of {', '.join(EFFECTS)}", self.effect)
        _require(
            self.dedup_scope in DEDUP_SCOPES,
            f"a dedup_scope out of {', '.join(DEDUP_SCOPES)}",
            self.dedup_scope,
        )
        _require(self.dedup_window_us >= 0, "a dedup_window_us of 0 or more", self.dedup_window_us)


@dataclass(slots=True)
class Tenant:
    """One tenant, and the request rate within its quota over all instances together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "a tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "a tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """What the operator allows; the same for all instances except `self_index` and `zone`."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_weight: float = 1.0
    weight_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # the shortest interval between batches of events
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # rejections carry Retry-After
    cancel: bool = False
    health_checks: bool = False
    hedging: bool = False  # two attempts of a request may be in flight together
    endpoints_on_request: bool = False  # changes come only after Subscribe or PollEndpoints
    max_poll_interval_us: int = 0  # how often to poll the endpoint list without a watch
    drain_grace_us: int = 0  # how long after a drain notice an endpoint may still be sent to
    discovery_rate_per_s: float = 0.0  # capacity of discovery for all instances together; 0 = not known
    warm_up_initial_capacity: float = 1.0  # the least fraction of its capacity at which an endpoint starts
    warm_up_us: int = 0  # time to full capacity
    overload_factor: float = 1.0  # a warming endpoint collapses at this multiple of its capacity,
    overload_duration_us: int = 0  # sustained for this long
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # listed weights are relative capacities
    select_by_weight: bool = False  # free slots are selected in proportion to the weights

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "an instances of 1 or more", self.instances)
        _require(self.self_index >= 0, "a self_index of 0 or more", self.self_index)
        _require(0 <= self.over_share_weight <= 1, "an over_share_weight from 0 to 1", self.over_share_weight)
        _require(self.max_attempts >= 1, "a max_attempts of 1 or more", self.max_attempts)
        _require(
            0 < self.warm_up_initial_capacity <= 1,
            "a warm_up_initial_capacity above 0, at most 1",
            self.warm_up_initial_capacity,
        )
        _require(self.overload_factor > 0, "an overload_factor above 0", self.overload_factor)
        for name in (
            "zone",
            "tick_us",
            "max_retry_after_us",
            "connect_timeout_us",
            "max_poll_interval_us",
            "drain_grace_us",
            "warm_up_us",
            "overload_duration_us",
            "cross_zone_fee",
            "discovery_rate_per_s",
        ):
            _require(getattr(self, name) >= 0, f"a {name} of 0 or more", getattr(self, name))
