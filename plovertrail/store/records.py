"""Stored state as records: a key of several strings and a JSON value; a value of None deletes the key.

Times in records are Unix times in microseconds. They are converted from the monotonic clock by one offset for
a whole snapshot and its journal (`clock_offset_us`), so setting the system clock doesn't shift some of them
relative to others.

The first string of a key is the kind of the record, and part of the file format:

    pool      POOL              generation, endpoints drained by an operator, and sources of a pool
    row       ENDPOINT          an endpoint as one source lists it
    came      STARTED           the time at which an endpoint was first listed
    leaving   REMOVED           a removed endpoint whose connections may still be open
    held      JOIN_HELD         the time until which a flapping endpoint is kept out
    judged    ENDPOINT_HISTORY  what a pool's load balancer learnt about an endpoint
    means     MEAN_LATENCY      the mean latency of each request class of a pool
    limit     LIMITER           a rate limiter's salt
    bucket    BUCKET            the theoretical arrival time of one key of a limiter (GCRA, ITU-T I.371)
    counts    COUNTERS          the window of the shared counters
    count     COUNTER           one row of the shared counters
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
    """Everything that is stored, as immutable values that other threads may read."""

    endpoint_lists: Mapping[str, EndpointListState] = field(default_factory=dict)  # by pool
    pool_histories: Mapping[str, PoolHistory] = field(default_factory=dict)  # by pool
    limiters: Mapping[str, RateLimiterState] = field(default_factory=dict)  # by limiter
    counters: PreviousIncarnation | None = None
