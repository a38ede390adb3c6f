"""Stored state as records: a key (words) and a value of JSON's kinds; a value of None removes the key.

Times in records are Unix times in microseconds. They are made from the monotonic clock by one offset for a
whole snapshot and its journal (`clock_offset_us`), so that setting the system's clock meanwhile doesn't move
one of them against another.

The words that begin a key are part of the format. What each one stands for here:

    pool      POOL              generation, endpoints drained by hand, sources of a pool
    row       ENDPOINT          an endpoint as one source lists it
    came      STARTED           when an endpoint was first listed
    leaving   REMOVED           an endpoint that was removed, with its connections still open
    held      JOIN_HELD         until when a flapping endpoint is kept out
    judged    ENDPOINT_HISTORY  what a pool's load balancer learnt about an endpoint
    means     MEAN_LATENCY      the mean latency of each class of a pool
    limit     LIMITER           a rate limiter's salt
    bucket    BUCKET            the theoretical arrival time of one key (GCRA, ITU-T I.371)
    counts    COUNTERS          the window of the shared counters
    count     COUNTER           one row of them
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from plovertrail.decisions.counter_rows import PreviousIncarnation
from plovertrail.decisions.endpoint_list import EndpointListState
from plovertrail.decisions.rate_limits import RateLimiterState
from plovertrail.decisions.warm_state import PoolHistory

Key = tuple[str, ...]
Record = tuple[Key, Any]

POOL = "pool"
ENDPOINT = "row"
STARTED = "came"
REMOVED = "leaving"
JOIN_HELD = "held"
ENDPOINT_LIST_KINDS = frozenset((POOL, ENDPOINT, STARTED, REMOVED, JOIN_HELD))

ENDPOINT_HISTORY = "judged"
MEAN_LATENCY = "means"
LIMITER = "limit"
BUCKET = "bucket"
COUNTERS = "counts"
COUNTER = "count"


@dataclass(frozen=True, slots=True)
class StoredState:
    """Everything that is stored, as immutable values that another thread may read."""

    endpoint_lists: Mapping[str, EndpointListState] = field(default_factory=dict)  # by pool
    pool_histories: Mapping[str, PoolHistory] = field(default_factory=dict)  # by pool
    limiters: Mapping[str, RateLimiterState] = field(default_factory=dict)  # by limiter
    counters: PreviousIncarnation | None = None
