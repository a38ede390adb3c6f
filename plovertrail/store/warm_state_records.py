"""Records of the warm state: endpoint histories, rate limiters and shared counters.

An endpoint's history is a list, in this order: concurrency limit, relative latency, fault rate, failure
penalty, no-response rate by class, consecutive attempts without a response by class.
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from plovertrail.decisions.counter_rows import PreviousIncarnation
from plovertrail.decisions.rate_limits import RateLimiterState
from plovertrail.decisions.warm_state import EndpointHistory, EndpointKey, PoolHistory
from plovertrail.store.records import (
    BUCKET,
    COUNTER,
    COUNTERS,
    ENDPOINT_HISTORY,
    LIMITER,
    MEAN_LATENCY,
    Key,
    StoredState,
)


def warm_state_records(stored: StoredState, clock_offset_us: int) -> dict[Key, Any]:
    """Build the records of everything except endpoint lists."""
    records: dict[Key, Any] = {}
    for pool, pool_history in stored.pool_histories.items():
        recorded_us = pool_history.recorded_at_us + clock_offset_us
        records[MEAN_LATENCY, pool] = [recorded_us, dict(pool_history.mean_latency_us)]
        for (name, address), history in pool_history.endpoints.items():
            records[ENDPOINT_HISTORY, pool, name, address] = _history_value(history)
    for name, limiter in stored.limiters.items():
        records[LIMITER, name] = [limiter.salt.hex()]
        for bucket, arrival_us in limiter.theoretical_arrivals_us.items():
            records[BUCKET, name, f"{bucket:x}"] = int(arrival_us) + clock_offset_us
    counters = stored.counters
    if counters is not None:
        start_us = counters.start_us + clock_offset_us
        records[COUNTERS,] = [counters.name, start_us, counters.span_us, counters.buckets]
        for counter, (newest, counts) in counters.rows.items():
            records[COUNTER, f"{counter:x}"] = [newest, list(counts)]
    return records


def _history_value(history: EndpointHistory) -> list[Any]:
    return [
        history.concurrency_limit,
        history.relative_latency,
        history.fault_rate,
        history.failure_penalty,
        list(history.no_response_rate),
        list(history.consecutive_no_response),
    ]


def _history(value: Any) -> EndpointHistory:
    limit, relative_latency, fault_rate, failure_penalty, no_response_rate, consecutive = value
    return EndpointHistory(
        float(limit),
        float(relative_latency),
        float(fault_rate),
        float(failure_penalty),
        tuple(map(float, no_response_rate)),
        tuple(map(int, consecutive)),
    )


@dataclass(slots=True)
class _WarmStateRecords:
    """Warm state that is decoded from records, by kind."""

    recorded_at_us: dict[str, int] = field(default_factory=dict)  # by pool
    mean_latency_us: dict[str, dict[str, float]] = field(default_factory=dict)  # by pool and class
    histories: dict[str, dict[EndpointKey, EndpointHistory]] = field(default_factory=dict)  # by pool
    salts: dict[str, bytes] = field(default_factory=dict)  # by limiter
    buckets: dict[str, dict[int, float]] = field(default_factory=dict)  # by limiter
    counter_rows: dict[int, tuple[int, tuple[int, ...]]] = field(default_factory=dict)

    def add(self, key: Key, value: Any, clock_offset_us: int) -> None:
        """Add one record; raises ValueError, TypeError, IndexError or AttributeError."""
        match key:
            case (kind, pool) if kind == MEAN_LATENCY:
                self.recorded_at_us[pool] = int(value[0]) - clock_offset_us
                self.mean_latency_us[pool] = {str(each): float(mean) for each, mean in value[1].items()}
            case (kind, pool, name, address) if kind == ENDPOINT_HISTORY:
                self.histories.setdefault(pool, {})[name, address] = _history(value)
            case (kind, limiter) if kind == LIMITER:
                self.salts[limiter] = bytes.fromhex(value[0])
            case (kind, limiter, bucket) if kind == BUCKET:
                self.buckets.setdefault(limiter, {})[int(bucket, 16)] = float(value - clock_offset_us)
            case (kind, counter) if kind == COUNTER:
                self.counter_rows[int(counter, 16)] = int(value[0]), tuple(map(int, value[1]))

    def pool_histories(self) -> dict[str, PoolHistory]:
        """Build the histories of each pool that has a record of mean latencies."""
        return {
            pool: PoolHistory(self.recorded_at_us[pool], self.histories.get(pool, {}), means)
            for pool, means in self.mean_latency_us.items()
            if pool in self.recorded_at_us
        }

    def limiters(self) -> dict[str, RateLimiterState]:
        """Build the state of each rate limiter that has a record of its salt."""
        return {name: RateLimiterState(salt, self.buckets.get(name, {})) for name, salt in self.salts.items()}


def warm_state_from_records(records: Mapping[Key, Any], clock_offset_us: int) -> StoredState:
    """Build the warm state from its records; records that can't be decoded are left out."""
    warm_records = _WarmStateRecords()
    for key, value in records.items():
        with suppress(ValueError, TypeError, IndexError, AttributeError):
            warm_records.add(key, value, clock_offset_us)
    counters = None
    if (COUNTERS,) in records:
        with suppress(ValueError, TypeError):
            name, start_us, span_us, buckets = records[COUNTERS,]
            counters = PreviousIncarnation(
                str(name),
                int(start_us) - clock_offset_us,
                int(span_us),
                int(buckets),
                warm_records.counter_rows,
            )
    return StoredState({}, warm_records.pool_histories(), warm_records.limiters(), counters)
