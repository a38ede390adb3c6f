"""Which server a client, tenant or path prefers, so that its requests meet while that server has a free slot.

A ring of points (Karger et al., "Consistent Hashing and Random Trees", STOC 1997), each server with points in
proportion to its weight: a server that comes or goes moves only its own part of the keys. A preference is no
promise: what has no free slot there goes to any other, and so does every further attempt. Pure.
"""

from __future__ import annotations

import enum
from bisect import bisect_left
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass

POINTS_PER_WEIGHT = 100  # of a server of weight 1: its part of the keys then lies within a tenth of its share
MAX_POINTS_PER_ENDPOINT = 1_000  # of one server, however large its weight
MAX_POINTS = 10_000  # hazard: a ring of more takes so long to lay out that open requests would wait for it
PREFERRED_ENDPOINTS = 2  # servers that a key prefers: the second one while the first has no free slot


class AffinitySource(enum.Enum):
    """What requests have in common that should meet at one server."""

    CLIENT = "client"
    TENANT = "tenant"
    PATH = "path"
    HEADER = "header"


@dataclass(frozen=True, slots=True)
class Affinity:
    """What a pool's operator wants to meet."""

    source: AffinitySource
    header: bytes = b""  # in lower case

    def key_of(
        self, client: str, tenant: str, target: bytes, headers: Iterable[tuple[bytes, bytes]]
    ) -> bytes:
        """What of a request is hashed; empty: it prefers no server."""
        if self.source is AffinitySource.CLIENT:
            return client.encode("utf-8", "surrogateescape")
        if self.source is AffinitySource.TENANT:
            return tenant.encode("utf-8", "surrogateescape")
        if self.source is AffinitySource.PATH:
            return target.partition(b"?")[0]
        return b",".join(value for name, value in headers if name.lower() == self.header)


class HashRing:
    """The servers that take requests, by their numbers, each at the points of its name."""

    def __init__(self) -> None:
        from hashlib import blake2b  # late: most hosts have no ring, and the platform's start is small

        self.digest: Callable[..., bytes] = lambda data: blake2b(data, digest_size=8).digest()
        self.endpoints: dict[int, tuple[Hashable, float]] = {}  # and weights
        self.points: list[tuple[int, int]] = []  # (place, server), in the order of places
        self.built = True

    def put(self, endpoint_id: int, name: Hashable, weight: float) -> None:
        """A server takes requests. Its name is the same for all instances; its number need not be."""
        if self.endpoints.get(endpoint_id) != (name, weight):
            self.endpoints[endpoint_id] = name, weight
            self.built = False

    def discard(self, endpoint_id: int) -> None:
        """A server takes requests no more; nothing happens if the ring does not have it."""
        if self.endpoints.pop(endpoint_id, None) is not None:
            self.built = False

    def preferred(self, key: bytes) -> tuple[int, ...]:
        """The servers that a key prefers, the first one first."""
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
