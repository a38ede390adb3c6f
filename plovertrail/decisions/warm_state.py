"""What a load balancer learnt about its endpoints, over a restart: histories that fade by their age.

A bad history is restored as it was, and fades. A good one counts for half: all instances may restart at one
moment, and the endpoints that they come back to may behave differently by then.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.response_tracking import EXCLUDE_AFTER

HALF_LIFE_US = 30_000_000  # a history should not outlive the outage that it tells of by much
MAX_AGE_US = 600_000_000  # less than a millionth would be left of anything older
RESTORED_GROWTH = 0.5  # fraction of a limit above one: a restart of all instances must not raise their sum
UNINFORMATIVE = 0.05  # a value that differs by less from an unknown endpoint's tells nothing

EndpointKey = tuple[str, str]  # name and address: what an endpoint is known by over restarts


@dataclass(frozen=True, slots=True)
class EndpointHistory:
    """What one instance learnt about one endpoint; values by class are in the order of the settings."""

    concurrency_limit: float  # slots; below 1 it cools down between sends
    relative_latency: float  # its response times over those of the others
    fault_rate: float  # 0 to 1
    failure_penalty: float  # 0 to 1
    no_response_rate: tuple[float, ...]  # 0 to 1, by class
    consecutive_no_response: tuple[int, ...]  # by class

    @property
    def is_uninformative(self) -> bool:
        """Whether it says no more than that the endpoint is not known."""
        return (
            abs(self.concurrency_limit - 1.0) < UNINFORMATIVE
            and abs(self.relative_latency - 1.0) < UNINFORMATIVE
            and self.fault_rate < UNINFORMATIVE
            and self.failure_penalty < UNINFORMATIVE
            and all(rate < UNINFORMATIVE for rate in self.no_response_rate)
            and not any(self.consecutive_no_response)
        )


@dataclass(frozen=True, slots=True)
class PoolHistory:
    """The histories of a pool's endpoints, and the mean latency of each class."""

    recorded_at_us: int
    endpoints: Mapping[EndpointKey, EndpointHistory] = field(default_factory=dict)
    mean_latency_us: Mapping[str, float] = field(default_factory=dict)


def history_of(balancer: LoadBalancer, endpoint: EndpointState) -> EndpointHistory | None:
    """Record what is worth restoring of an endpoint; None: nothing.

    While an endpoint warms up it has no history: it is judged by little work, and will behave differently.
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
    """Record the mean latency of each class, in microseconds."""
    return {
        kind.name: round(mean_us)
        for kind, mean_us in zip(balancer.settings.classes, balancer.latencies.mean_us, strict=True)
    }


def _remaining_fraction(age_us: int) -> float | None:
    """Compute what is left of a history of this age; None: nothing.

    A negative age is that of a history from the future, after a clock was set: it is not known.
    """
    if not 0 <= age_us < MAX_AGE_US:
        return None
    return math.exp2(-age_us / HALF_LIFE_US)


def decayed(history: EndpointHistory, age_us: int) -> EndpointHistory | None:
    """Compute what a history of this age still says; None: nothing."""
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
        # An endpoint restored as excluded would stay so, as nothing is sent there that could end it.
        consecutive_no_response=tuple(
            min(EXCLUDE_AFTER - 1, int(count * remaining)) for count in history.consecutive_no_response
        ),
    )


def restore_endpoint(
    balancer: LoadBalancer, endpoint: EndpointState, history: EndpointHistory, age_us: int
) -> bool:
    """Apply a history to an endpoint that has just been listed; returns whether it was of use.

    A history with another number of classes than the settings have is ignored.
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
    """Begin with the mean latencies of each class as they were, fading towards the initial estimate."""
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
    """Record the histories of some endpoints, given by their ids and by what they are known by."""
    histories: dict[EndpointKey, EndpointHistory] = {}
    for endpoint_id, key in endpoints:
        endpoint = balancer.endpoints.get(endpoint_id)
        history = history_of(balancer, endpoint) if endpoint is not None else None
        if history is not None:
            histories[key] = history
    return histories
