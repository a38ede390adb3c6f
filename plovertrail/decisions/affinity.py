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

POINTS = 100  # of a server of weight 1: its part of the keys then lies within a tenth of what it should be
MOST_POINTS = 1_000  # of one server, however large its weight
MOST_IN_ALL = 10_000  # hazard: a ring of more takes so long to lay out that open requests would wait for it
CHOICES = 2  # servers that a key prefers: the second one while the first has no free slot


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
        self.names: dict[int, tuple[Hashable, float]] = {}  # and weights
        self.points: list[tuple[int, int]] = []  # (place, server), in the order of places
        self.laid_out = True

    def put(self, server: int, name: Hashable, weight: float) -> None:
        """A server takes requests. Its name is the same for all instances; its number need not be."""
        if self.names.get(server) != (name, weight):
            self.names[server] = name, weight
            self.laid_out = False

    def discard(self, server: int) -> None:
        """A server takes requests no more; nothing happens if the ring does not have it."""
        if self.names.pop(server, None) is not None:
            self.laid_out = False

    def preferred(self, key: bytes) -> tuple[int, ...]:
        """The servers that a key prefers, the first one first."""
        if not self.laid_out:
            self._lay_out()
        if not key or not self.points:
            return ()
        found: list[int] = []
        at = bisect_left(self.points, (int.from_bytes(self.digest(key)), 0))
        for step in range(len(self.points)):
            server = self.points[(at + step) % len(self.points)][1]
            if server not in found:
                found.append(server)
                if len(found) == min(CHOICES, len(self.names)):
                    break
        return tuple(found)

    def _lay_out(self) -> None:
        self.laid_out = True
        whole = sum(weight for _, weight in self.names.values())
        each = min(float(POINTS), MOST_IN_ALL / whole) if whole > 0.0 else 0.0
        self.points = sorted(
            (int.from_bytes(self.digest(f"{name} {number}".encode())), server)
            for server, (name, weight) in self.names.items()
            for number in range(max(1, min(MOST_POINTS, round(each * weight))))
        )
