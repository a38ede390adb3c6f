"""What is remembered of a pool's servers over a restart: judgements with their age, taken back safely.

Bad news is taken back as it was and fades; good news counts for half, as all instances may come back at one
moment, and the servers they come back to may be others by then in all but name. Pure.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace

from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.response_tracking import EXCLUDE_AFTER

HALF_LIFE_US = 30_000_000  # an outage's judgements should not outlive it by more than a minute or two
OLDEST_US = 600_000_000  # less than a millionth would be left of anything older
KEPT_OF_GOOD = 0.5  # of the slots above one: with all instances back at once no server gets more than before
PLAIN = 0.05  # what differs by less from a server that is not known tells nothing


@dataclass(frozen=True, slots=True)
class EndpointHistory:
    """What one instance thinks of one server. Shares from 0 to 1; by class in the order of the settings."""

    window: float  # slots; below 1 it rests between sends
    pace: float  # time of its answers beside those of the others
    faults: float
    distrust: float
    silence: tuple[float, ...]
    mute: tuple[int, ...]  # unanswered in a row

    @property
    def plain(self) -> bool:
        """Whether it says no more than that the server is not known."""
        return (
            abs(self.window - 1.0) < PLAIN
            and abs(self.pace - 1.0) < PLAIN
            and self.faults < PLAIN
            and self.distrust < PLAIN
            and all(part < PLAIN for part in self.silence)
            and not any(self.mute)
        )


@dataclass(frozen=True, slots=True)
class PoolHistory:
    """A pool's judgements by server, by the server's name and address, and the usual time of each class."""

    at_us: int  # when they were judged
    servers: Mapping[tuple[str, str], EndpointHistory] = field(default_factory=dict)
    means_us: Mapping[str, float] = field(default_factory=dict)


def judgement(balancer: LoadBalancer, server: EndpointState) -> EndpointHistory | None:
    """What is worth remembering of a server; None: nothing. Hazard: a cold one is judged by little work, and
    beside what it will do once it is warm."""
    if balancer.table.warm_up_fraction(server, balancer.now_us) < 1.0:
        return None
    found = EndpointHistory(
        round(server.concurrency_limit, 2),
        round(server.relative_latency, 2),
        round(server.fault_rate, 2),
        round(server.failure_penalty, 2),
        tuple(round(part, 2) for part in server.no_response_rate),
        tuple(server.consecutive_no_response),
    )
    return None if found.plain else found


def means(balancer: LoadBalancer) -> dict[str, float]:
    """The usual time of each class, in us."""
    return {
        kind.name: round(mean_us)
        for kind, mean_us in zip(balancer.settings.classes, balancer.latencies.mean_us, strict=True)
    }


def faded(old: EndpointHistory, age_us: int) -> EndpointHistory | None:
    """A judgement as it counts after so long; None: not any more. One from the future is of no known age."""
    if not 0 <= age_us < OLDEST_US:
        return None
    left = math.exp2(-age_us / HALF_LIFE_US)
    good = KEPT_OF_GOOD if old.window > 1.0 else 1.0
    return replace(
        old,
        window=1.0 + (old.window - 1.0) * left * good,
        pace=1.0 + (old.pace - 1.0) * left,
        faults=old.faults * left,
        distrust=old.distrust * left,
        silence=tuple(part * left for part in old.silence),
        # hazard: one that was muted would be for good, as nothing is sent there that could end it
        mute=tuple(min(EXCLUDE_AFTER - 1, int(count * left)) for count in old.mute),
    )


def recall_server(balancer: LoadBalancer, server: EndpointState, old: EndpointHistory, age_us: int) -> bool:
    """Judge a server that has just been listed as it was before; whether that is of use still. What was
    judged under other classes is not."""
    new = faded(old, age_us)
    classes = len(balancer.settings.classes)
    if new is None or len(new.silence) != classes or len(new.mute) != classes:
        return False
    server.concurrency_limit, server.relative_latency, server.fault_rate = new.window, new.pace, new.faults
    for index in range(classes):
        server.no_response_rate[index], server.consecutive_no_response[index] = (
            new.silence[index],
            new.mute[index],
        )
    if new.distrust:
        server.failure_penalty = new.distrust
    balancer.apply_restored_state(server)
    return True


def recall_means(balancer: LoadBalancer, memory: PoolHistory, now_us: int) -> None:
    """Begin with the usual times as they were, faded towards the guess that is made of them otherwise."""
    age_us = now_us - memory.at_us
    if not 0 <= age_us < OLDEST_US:
        return
    left = math.exp2(-age_us / HALF_LIFE_US)
    for index, kind in enumerate(balancer.settings.classes):
        guess_us = balancer.latencies.mean_us[index]
        known_us = memory.means_us.get(kind.name, guess_us)
        balancer.latencies.mean_us[index] = max(
            1.0, guess_us + (min(known_us, kind.latency_objective_us) - guess_us) * left
        )


def sweep(
    balancer: LoadBalancer, servers: Iterable[tuple[int, tuple[str, str]]]
) -> dict[tuple[str, str], EndpointHistory]:
    """The judgements on some servers, given by their numbers and by what they are called over restarts."""
    found = {}
    for number, called in servers:
        server = balancer.endpoints.get(number)
        told = judgement(balancer, server) if server is not None else None
        if told is not None:
            found[called] = told
    return found
