"""The settings of a load balancer: request classes, tenants and what the operator allows.

All times are whole microseconds (`_us`). A check raises ValueError with what it expected and what it found.
"""

from __future__ import annotations

from dataclasses import dataclass, field

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
