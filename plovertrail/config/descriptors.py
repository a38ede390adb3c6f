"""How many connections a pool may have that doesn't say so: an even part of the process's descriptors."""

from __future__ import annotations

import resource
from collections.abc import Iterable
from dataclasses import dataclass

OTHER_DESCRIPTORS = 64  # the log, the loop, sockets on their way to be closed
MOST_BY_DEFAULT = 256  # connections of a pool whose max_connections is not written
LEAST_BY_DEFAULT = 8  # with fewer, a pool is of no use under load


@dataclass(frozen=True, slots=True)
class PoolNeed:
    """What a pool's table says of descriptors."""

    max_connections: int | None  # None: not written
    max_sockets: int


def descriptors_allowed() -> int | None:
    """So many descriptors the process may have; None: any number."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if hard == resource.RLIM_INFINITY else hard


def default_connections(listeners: int, pools: Iterable[PoolNeed], allowed: int | None) -> int:
    """Of each pool that writes none, beside the `listeners` descriptors and what other pools write; 1 at
    least, though the process may not have so many."""
    needs = list(pools)
    unwritten = sum(1 for pool in needs if pool.max_connections is None)
    if not unwritten or allowed is None:
        return MOST_BY_DEFAULT
    written = sum((pool.max_connections or 0) + pool.max_sockets for pool in needs)
    left = allowed - OTHER_DESCRIPTORS - listeners - written
    return max(1, min(MOST_BY_DEFAULT, left // unwritten))
