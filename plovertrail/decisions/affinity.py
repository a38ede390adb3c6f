"""Endpoint affinity by consistent hashing, so that related requests reach the same endpoint. No I/O.

Each endpoint has points on a hash ring in proportion to its weight (Karger et al., "Consistent Hashing and
Random Trees", STOC 1997), so adding or removing an endpoint moves only its own part of the keys. A
preference is not a guarantee: if the preferred endpoints have no free slot, a request goes to any other, and
so does each retry.
"""

from __future__ import annotations

import enum
from bisect import bisect_left
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

POINTS_PER_WEIGHT = 100  # keeps the keys of an endpoint of weight 1 within a tenth of its share
MAX_POINTS_PER_ENDPOINT = 1_000  # however large the weight
MAX_POINTS = 10_000  # open requests wait while the ring is built; a larger one would take too long
PREFERRED_ENDPOINTS = 2  # per key; the second is used while the first has no free slot


class AffinitySource(enum.Enum):
    """What requests have in common that should reach the same endpoint."""

    CLIENT = "client"
    TENANT = "tenant"
    PATH = "path"
    HEADER = "header"


@dataclass(frozen=True, slots=True)
class Affinity:
    """The affinity that is configured for a pool."""

    source: AffinitySource
    header: bytes = b""  # in lower case

    def key_of(
        self, client: str, tenant: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]
    ) -> bytes:
        """Return the key of a request that is hashed; empty: it prefers no endpoint."""
        if self.source is AffinitySource.CLIENT:
            return client.encode("utf-8", "surrogateescape")
        if self.source is AffinitySource.TENANT:
            return tenant.encode("utf-8", "surrogateescape")
        if self.source is AffinitySource.PATH:
            return target.partition(b"?")[0]
        return b",".join(value for name, value in headers if name.lower() == self.header)


class HashRing:
    """The endpoints that accept requests, each at the points that its name hashes to."""

    def __init__(self) -> None:
        from hashlib import blake2b  # imported late, as most processes have no ring and have to start small

        self.digest: Callable[..., bytes] = lambda data: blake2b(data, digest_size=8).digest()
        self.endpoints: dict[int, tuple[Hashable, float]] = {}  # name and weight by id
        self.points: list[tuple[int, int]] = []  # (hash, endpoint id), sorted
        self.built = True

    def put(self, endpoint_id: int, name: Hashable, weight: float) -> None:
        """Add an endpoint or change its weight; its name is the same on all instances, its id need not be."""
        if self.endpoints.get(endpoint_id) != (name, weight):
            self.endpoints[endpoint_id] = name, weight
            self.built = False

    def discard(self, endpoint_id: int) -> None:
        """Remove an endpoint, if the ring has it."""
        if self.endpoints.pop(endpoint_id, None) is not None:
            self.built = False

    def preferred(self, key: bytes) -> tuple[int, ...]:
        """Return the endpoints that a key prefers, the first choice first."""
        if not self.built:
            self._build()
        if not key or not self.points:
            return ()
        found: list[int] = []
        start = bisect_left(self.points, (int.from_bytes(self.digest(key)), 0))
        for step in range(len(self.points)):
            endpoint_id = self.points[(start + step) % len(self.points)][1]
            if endpoint_id not in found:
                found.append(endpoint_id)
                if len(found) == min(PREFERRED_ENDPOINTS, len(self.endpoints)):
                    break
        return tuple(found)

    def _build(self) -> None:
        self.built = True
        total_weight = sum(weight for _, weight in self.endpoints.values())
        points_per_weight = (
            min(float(POINTS_PER_WEIGHT), MAX_POINTS / total_weight) if total_weight > 0.0 else 0.0
        )
        self.points = sorted(
            (int.from_bytes(self.digest(f"{name} {number}".encode())), endpoint_id)
            for endpoint_id, (name, weight) in self.endpoints.items()
            for number in range(max(1, min(MAX_POINTS_PER_ENDPOINT, round(points_per_weight * weight))))
        )
