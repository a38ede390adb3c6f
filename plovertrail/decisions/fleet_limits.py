"""Per-instance limits with which a whole fleet stays within the capacity of each endpoint.

The instances don't communicate: each derives its limits from the size of the fleet, with a margin for the
random variation of the other instances' choices. docs/large-fleets.md derives the bound and states its error.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

# Standard deviations above the expected highest count; it is exceeded with a probability of about 0.001.
SPREAD_DEVIATIONS = 3.0
MAX_CONNECTIONS_PER_ENDPOINT = 64  # of one instance


@dataclass(frozen=True, slots=True)
class Fleet:
    """The size of the fleet that shares the endpoints, and the number of this instance in it."""

    size: int = 1
    number: int = 0


@dataclass(frozen=True, slots=True)
class FleetLimits:
    """Limits of one endpoint for all instances together. 0 = unlimited."""

    subset_size: int = 0  # endpoints that one instance uses
    connections: int = 0
    connects_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class InstanceLimits:
    """Limits of one instance in a pool. 0 = unlimited."""

    connections: int = 0  # to all endpoints together
    connections_per_endpoint: int = 0
    keep_idle: bool = True  # False: connections are closed after each request
    connect_interval_us: int = 0  # between two connects, over all endpoints


def usable_mean(bound: float, bins: int, batch_size: int = 1) -> float:
    """Return the highest mean count per bin for which the count of each of `bins` bins stays within `bound`.

    Counts are Poisson-distributed, in independent batches of `batch_size`. The highest of n normal values
    lies about sqrt(2 ln n) standard deviations above the mean.
    """
    deviations = SPREAD_DEVIATIONS + math.sqrt(2.0 * math.log(max(1, bins)))
    spread = deviations * math.sqrt(batch_size)
    return ((math.sqrt(spread * spread + 4.0 * bound) - spread) / 2.0) ** 2


def uniform_hash(instance: int, name: str) -> float:
    """Return a deterministic hash of an instance and a name, between 0 and 1."""
    import hashlib  # imported late: the platform's program has no fleet and needn't load it at startup

    digest = hashlib.blake2b(f"{instance} {name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 0.5) / 2.0**64


def instance_limits(fleet: Fleet, limits: FleetLimits, endpoints: int) -> InstanceLimits:
    """Return one instance's share of the limits of `endpoints` endpoints.

    With a share of 2.5 connections, half of the instances get two and the others three. With a share below
    one, some instances keep no idle connection and open one for each request.
    """
    if endpoints <= 0:
        return InstanceLimits()
    connections, per_endpoint, keep_idle = _connection_limits(fleet, limits, endpoints)
    interval_us = 0
    if limits.connects_per_s:
        interval_us = int(1e6 * fleet.size / (usable_mean(limits.connects_per_s, endpoints) * endpoints))
    return InstanceLimits(connections, per_endpoint, keep_idle, interval_us)


def _connection_limits(fleet: Fleet, limits: FleetLimits, endpoints: int) -> tuple[int, int, bool]:
    """Return the connections in total and per endpoint, and whether idle ones are kept."""
    if not limits.connections:
        return 0, 0, True
    subset_size = min(limits.subset_size or endpoints, endpoints)
    for per_endpoint in range(1, MAX_CONNECTIONS_PER_ENDPOINT + 1):
        share = usable_mean(limits.connections, endpoints, per_endpoint) * endpoints / fleet.size
        if share < subset_size * (per_endpoint + 1):
            break
    # deterministic, so that the same instances round up after a restart
    rounded = int(share + uniform_hash(fleet.number, "connections"))
    return max(1, rounded), per_endpoint, rounded >= 1


def poll_spread_us(instances: int, polls_per_s: float) -> int:
    """Return the period over which all instances randomly spread their polls of the endpoint list."""
    return int(1e6 * instances / usable_mean(polls_per_s, 1))


def oversubscribed(fleet: Fleet, limits: FleetLimits, endpoints: int) -> str:
    """Return why per-instance limits can't keep the fleet within its limits; empty if they can."""
    if not limits.connections or endpoints <= 0:
        return ""
    if fleet.size <= usable_mean(limits.connections, endpoints) * endpoints:
        return ""
    return (
        f"{fleet.size} instances on {endpoints} servers that bear {limits.connections} connections each: "
        "not one for each instance, so some keep none between requests, and dial for each"
    )
