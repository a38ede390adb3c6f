"""Endpoint statistics of a load balancer that are restored after a restart, decayed by their age.

A bad history is restored as it was before decay. Of a raised concurrency limit only half is restored: all
instances may restart together, and endpoints may behave differently by then.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.response_tracking import EXCLUDE_AFTER

HALF_LIFE_US = 30_000_000  # a history should not last much longer than the outage that it records
MAX_AGE_US = 600_000_000  # less than a millionth would be left of an older history
RESTORED_GROWTH = 0.5  # of a limit above one: restarting all instances must not raise the sum of their limits
INSIGNIFICANT_DIFFERENCE = (
    0.05  # a value that differs by less from that of an unknown endpoint is insignificant
)

EndpointKey = tuple[str, str]  # name and address, which identify an endpoint across restarts


@dataclass(frozen=True, slots=True)
class EndpointHistory:
    """One instance's statistics of one endpoint; values by class are in the order of the settings."""

    concurrency_limit: float  # slots; below 1 there is a pause between sends
    relative_latency: float  # ratio of its response times to those of the others
    fault_rate: float  # 0 to 1
    failure_penalty: float  # 0 to 1
    no_response_rate: tuple[float, ...]  # 0 to 1, by class
    consecutive_no_response: tuple[int, ...]  # by class

    @property
    def is_uninformative(self) -> bool:
        """Whether it hardly differs from the initial state of an unknown endpoint."""
        return (
            abs(self.concurrency_limit - 1.0) < INSIGNIFICANT_DIFFERENCE
            and abs(self.relative_latency - 1.0) < INSIGNIFICANT_DIFFERENCE
            and self.fault_rate < INSIGNIFICANT_DIFFERENCE
            and self.failure_penalty < INSIGNIFICANT_DIFFERENCE
            and all(rate < INSIGNIFICANT_DIFFERENCE for rate in self.no_response_rate)
            and not any(self.consecutive_no_response)
        )


@dataclass(frozen=True, slots=True)
class PoolHistory:
    """The histories of a pool's endpoints, and the mean latency of each request class."""

    recorded_at_us: int
    endpoints: Mapping[EndpointKey, EndpointHistory] = field(default_factory=dict)
    mean_latency_us: Mapping[str, float] = field(default_factory=dict)


def history_of(balancer: LoadBalancer, endpoint: EndpointState) -> EndpointHistory | None:
    """Return the history of an endpoint; None if it has none worth restoring.

    An endpoint that is warming up has no history: its statistics are based on few requests, and it will
    behave differently when warm.
    """
    if balancer.table.warm_up_fraction(endpoint, balancer.now_us) < 1.0:
        return None
    history = EndpointHistory(
        round(endpoint.concurrency_limit, 2),
        round(endpoint.relative_latency, 2),
        round(endpoint.fault_rate, 2),
        round(endpoint.failure_penalty, 2),
        tuple(round(rate, 2) for rate in endpoint.no_response_rate),
        tuple(endpoint.consecutive_no_response),
    )
    return None if history.is_uninformative else history


def mean_latencies(balancer: LoadBalancer) -> dict[str, float]:
    """Return the mean latency of each request class, in microseconds."""
    return {
        kind.name: round(mean_us)
        for kind, mean_us in zip(balancer.settings.classes, balancer.latencies.mean_us, strict=True)
    }


def _remaining_fraction(age_us: int) -> float | None:
    """Return the decay factor for a history of this age; None if it must be ignored.

    A negative age means that the clock was set back, so the real age is unknown.
    """
    if not 0 <= age_us < MAX_AGE_US:
        return None
    return math.exp2(-age_us / HALF_LIFE_US)


def decayed(history: EndpointHistory, age_us: int) -> EndpointHistory | None:
    """Return a history decayed by its age; None if it must be ignored."""
    remaining = _remaining_fraction(age_us)
    if remaining is None:
        return None
    growth = RESTORED_GROWTH if history.concurrency_limit > 1.0 else 1.0
    return replace(
        history,
        concurrency_limit=1.0 + (history.concurrency_limit - 1.0) * remaining * growth,
        relative_latency=1.0 + (history.relative_latency - 1.0) * remaining,
        fault_rate=history.fault_rate * remaining,
        failure_penalty=history.failure_penalty * remaining,
        no_response_rate=tuple(rate * remaining for rate in history.no_response_rate),
        # An endpoint restored as excluded would get no requests, so nothing could end its exclusion.
        consecutive_no_response=tuple(
            min(EXCLUDE_AFTER - 1, int(count * remaining)) for count in history.consecutive_no_response
        ),
    )


def restore_endpoint(
    balancer: LoadBalancer, endpoint: EndpointState, history: EndpointHistory, age_us: int
) -> bool:
    """Apply a history to an endpoint that has just been listed; return whether it was applied.

    A history with a different number of request classes than the settings is ignored.
    """
    restored = decayed(history, age_us)
    class_count = len(balancer.settings.classes)
    if restored is None or len(restored.no_response_rate) != class_count:
        return False
    if len(restored.consecutive_no_response) != class_count:
        return False
    endpoint.concurrency_limit = restored.concurrency_limit
    endpoint.relative_latency = restored.relative_latency
    endpoint.fault_rate = restored.fault_rate
    for index in range(class_count):
        endpoint.no_response_rate[index] = restored.no_response_rate[index]
        endpoint.consecutive_no_response[index] = restored.consecutive_no_response[index]
    if restored.failure_penalty:
        endpoint.failure_penalty = restored.failure_penalty
    balancer.apply_restored_state(endpoint)
    return True


def restore_mean_latencies(balancer: LoadBalancer, history: PoolHistory, now_us: int) -> None:
    """Restore the mean latency of each class, decayed towards the initial estimate."""
    remaining = _remaining_fraction(now_us - history.recorded_at_us)
    if remaining is None:
        return
    for index, kind in enumerate(balancer.settings.classes):
        estimate_us = balancer.latencies.mean_us[index]
        known_us = history.mean_latency_us.get(kind.name, estimate_us)
        excess_us = min(known_us, kind.latency_objective_us) - estimate_us
        balancer.latencies.mean_us[index] = max(1.0, estimate_us + excess_us * remaining)


def collect_histories(
    balancer: LoadBalancer, endpoints: Iterable[tuple[int, EndpointKey]]
) -> dict[EndpointKey, EndpointHistory]:
    """Return the histories of the given endpoints, each given by its id and key."""
    histories: dict[EndpointKey, EndpointHistory] = {}
    for endpoint_id, key in endpoints:
        endpoint = balancer.endpoints.get(endpoint_id)
        history = history_of(balancer, endpoint) if endpoint is not None else None
        if history is not None:
            histories[key] = history
    return histories
