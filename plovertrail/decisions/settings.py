"""The settings of a load balancer: request classes, tenants and permitted features.

Durations are whole microseconds (`_us`). An invalid value raises ValueError, which names the expected range
and the value.
"""

from __future__ import annotations

from dataclasses import dataclass, field

# Whether a request may be executed more than once; from the least to the most restrictive.
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
DEDUP_SCOPES = ("all", "zone", "cell")


def _require(condition: bool, expected: str, got: object) -> None:
    if not condition:
        raise ValueError(f"expected {expected}, got {got!r}")


@dataclass(slots=True)
class RequestClass:
    """A class of requests: latency objective, deadline, priority and retry semantics."""

    name: str
    latency_objective_us: int  # a response within this time counts with the full weight
    deadline_us: int
    priority_weight: float = 1.0
    late_weight: float = 0.0  # fraction of the weight that a response after the objective counts with
    objective_stretch: float = 0.0  # the objective is extended by this multiple of the request's CPU time
    effect: str = "idempotent"
    dedup_scope: str = "all"  # for deduplicated: which endpoints recognize each other's duplicates
    dedup_window_us: int = 0  # for deduplicated: how long endpoints remember an idempotency key
    stream: bool = False

    def __post_init__(self) -> None:
        _require(
            self.latency_objective_us > 0,
            "request class latency_objective_us above 0",
            self.latency_objective_us,
        )
        _require(self.deadline_us > 0, "request class deadline_us above 0", self.deadline_us)
        _require(
            self.priority_weight >= 0, "request class priority_weight of 0 or more", self.priority_weight
        )
        _require(0 <= self.late_weight <= 1, "late_weight from 0 to 1", self.late_weight)
        _require(self.objective_stretch >= 0, "objective_stretch of 0 or more", self.objective_stretch)
        _require(self.effect in EFFECTS, f"effect to be one of {', '.join(EFFECTS)}", self.effect)
        _require(
            self.dedup_scope in DEDUP_SCOPES,
            f"dedup_scope to be one of {', '.join(DEDUP_SCOPES)}",
            self.dedup_scope,
        )
        _require(self.dedup_window_us >= 0, "dedup_window_us of 0 or more", self.dedup_window_us)


@dataclass(slots=True)
class Tenant:
    """A tenant and its quota: the request rate allowed over all instances together."""

    name: str
    allowance_per_s: float
    share: float = 0.0

    def __post_init__(self) -> None:
        _require(self.allowance_per_s >= 0, "tenant allowance_per_s of 0 or more", self.allowance_per_s)
        _require(0 <= self.share <= 1, "tenant share from 0 to 1", self.share)


@dataclass(slots=True)
class Settings:
    """Settings of one load balancer; `self_index` and `zone` differ between instances, the others do not."""

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_weight: float = 1.0
    weight_by_work: bool = False
    instances: int = 1
    self_index: int = 0
    zone: int = 0
    tick_us: int = 1000  # minimum interval between batches of events
    max_attempts: int = 1
    max_retry_after_us: int = 0
    connect_timeout_us: int = 0
    retry_after: bool = True  # send Retry-After with rejections
    cancel: bool = False  # attempts may be cancelled
    health_checks: bool = False  # health checks may be sent
    hedging: bool = False  # a request may have two attempts in flight at once
    endpoints_on_request: bool = False  # lists are delivered only after Subscribe or PollEndpoints
    max_poll_interval_us: int = 0  # maximum interval between polls of the endpoint list without a watch
    drain_grace_us: int = 0  # how long after a drain notice an endpoint may still get requests
    discovery_rate_per_s: float = 0.0  # polls that discovery serves for all instances together; 0 = unknown
    warm_up_initial_capacity: float = 1.0  # minimum fraction of full capacity when an endpoint starts
    warm_up_us: int = 0  # time from start to full capacity
    overload_factor: float = 1.0  # a warming endpoint fails at this multiple of its capacity
    overload_duration_us: int = 0  # if the overload lasts this long
    cross_zone_fee: float = 0.0
    report_names: list[str] = field(default_factory=list)
    weighted: bool = False  # the weights in the endpoint list are relative capacities
    select_by_weight: bool = False  # select endpoints in proportion to these weights

    def __post_init__(self) -> None:
        _require(len(self.classes) > 0, "at least one request class", self.classes)
        _require(self.instances >= 1, "instances of 1 or more", self.instances)
        _require(self.self_index >= 0, "self_index of 0 or more", self.self_index)
        _require(0 <= self.over_share_weight <= 1, "over_share_weight from 0 to 1", self.over_share_weight)
        _require(self.max_attempts >= 1, "max_attempts of 1 or more", self.max_attempts)
        _require(
            0 < self.warm_up_initial_capacity <= 1,
            "warm_up_initial_capacity above 0 and at most 1",
            self.warm_up_initial_capacity,
        )
        _require(self.overload_factor > 0, "overload_factor above 0", self.overload_factor)
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
            _require(getattr(self, name) >= 0, f"{name} of 0 or more", getattr(self, name))
