"""Rate and concurrency limits by client, tenant or both.

The rate limit is the generic cell rate algorithm in its virtual scheduling form (ITU-T I.371). Each key has
one theoretical arrival time, so a key that has been idle long enough is in the same state as a new one and
can be evicted without loss. Keys are stored by a salted hash in a table of fixed size. When the table is
full of keys in use, further keys share a few entries, which makes their limit stricter, never looser.

Times are microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plovertrail.decisions.shared_counters import SharedCounters

SHARED_KEYS = 64  # shared entries for keys that don't fit into the table
EVICTION_CANDIDATES = 4  # entries checked for idle ones when a new key finds the table full
DURATION_SMOOTHING_REQUESTS = 16
INITIAL_DURATION_US = 50_000  # the mean before any request has ended
MIN_RETRY_AFTER_US = 50_000
RETRY_JITTER = 0.25  # of the longest Retry-After
ROUNDING_TOLERANCE_US = 0.5  # rounding error of a sum of intervals


class KeyedBy(enum.Enum):
    """Which requests are counted under one key."""

    CLIENT = "client"
    TENANT = "tenant"
    TENANT_AND_CLIENT = "tenant+client"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Allowance:
    """The rate and concurrency allowed for one key. 0 = unlimited."""

    rate_per_s: float = 0.0
    burst: float = 1  # requests that may arrive at once; may be fractional for one instance's share
    concurrent: int = 0

    @property
    def interval_us(self) -> float:
        """The time between two requests at the allowed rate."""
        return 1e6 / self.rate_per_s


@dataclass(frozen=True, slots=True)
class RateLimiterSettings:
    """The configuration of one limit."""

    name: str
    keyed_by: KeyedBy
    allowance: Allowance
    tenants: tuple[tuple[str, Allowance], ...] = ()  # tenants with their own allowance
    listed: frozenset[str] = frozenset()  # tenants named in the configuration
    unlisted_have_keys: bool = False  # each unlisted tenant has its own key; otherwise they share one
    max_keys: int = 4_096
    max_retry_after_us: int = 10_000_000
    send_headers: bool = True  # rejections carry the RateLimit headers
    fleet_wide: bool = False  # the rate applies to all instances together


@dataclass(slots=True)
class KeyState:
    """The state of one key."""

    theoretical_arrival_us: float = 0.0  # if not in the future, the whole burst is available
    concurrent: int = 0
    reserved_retry_us: float = 0.0  # the latest retry time given to one of its clients
    # the shared entry that may still count earlier requests of this key; None once it counts none
    shared: KeyState | None = None
    interval_us: float = 0.0  # the interval on which `theoretical_arrival_us` is based, if it can change

    @property
    def total_concurrent(self) -> int:
        """Requests in flight, including those counted by a shared entry."""
        if self.shared is None:
            return self.concurrent
        if not self.shared.concurrent:
            self.shared = None
            return self.concurrent
        return self.concurrent + self.shared.concurrent


@dataclass(frozen=True, slots=True)
class RateLimiterState:
    """The state kept over a restart; keys are hashes made with the salt."""

    salt: bytes
    theoretical_arrivals_us: Mapping[int, float]  # by key, only those in the future


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """The rejection of a request by a limit."""

    limiter: RateLimiterSettings
    allowance: Allowance
    by_rate: bool  # otherwise by concurrency
    retry_after_us: int


@dataclass(slots=True)
class Permit:
    """A request that a limiter has admitted and that has not ended yet."""

    limiter: RateLimiter
    key: KeyState
    admitted_us: int


@dataclass(frozen=True, slots=True)
class _Check:
    """The result of checking a request against one limiter."""

    limiter: RateLimiter
    key: KeyState
    allowance: Allowance  # this instance's share
    wait_us: int  # until the request would be admitted; 0 = now
    by_rate: bool


class RateLimiter:
    """One limit with the states of its keys. `rng` returns numbers from 0 to 1."""

    def __init__(self, settings: RateLimiterSettings, rng: Callable[[], float]) -> None:
        from hashlib import blake2b  # imported late to keep startup short; few routes have a limit

        self.hash = blake2b
        self.salt = int(rng() * 2**53).to_bytes(8)
        self.rng = rng
        self.now_us = 0
        self.keys: dict[int, KeyState] = {}  # by hash, the most recently used last
        self.shared_keys = [KeyState() for _ in range(SHARED_KEYS)]
        self.mean_duration_us = float(INITIAL_DURATION_US)  # of one request
        # totals for status output
        self.admitted = 0
        self.rejected_by_rate = 0
        self.rejected_by_concurrency = 0
        self.counted_as_shared = 0  # requests counted under a shared entry
        self.counts: SharedCounters | None = None  # counts of all instances, if the limit is fleet-wide
        self.configure(settings)

    def configure(self, settings: RateLimiterSettings) -> None:
        """Apply other settings; past usage of keys still counts."""
        self.settings = settings
        self.tenants = dict(settings.tenants)

    def pending_arrivals(self, keys: Iterable[int], now_us: int) -> dict[int, float]:
        """Return the theoretical arrival times of `keys` that lie in the future, by key."""
        found = {}
        for key in keys:
            state = self.keys.get(key)
            if state is not None and state.theoretical_arrival_us > now_us:
                found[key] = state.theoretical_arrival_us
        return found

    def restore(self, state: RateLimiterState, now_us: int) -> None:
        """Restore the usage of keys before a restart; no effect after the first request.

        Usage is capped at the largest burst: after a step of the system clock a key could otherwise stay
        blocked for a day.
        """
        if self.keys or self.admitted or not state.salt:
            return
        self.advance(now_us)
        allowances = (self.settings.allowance, *self.tenants.values())
        longest_us = max(
            (each.burst * 1e6 / each.rate_per_s for each in allowances if each.rate_per_s > 0.0), default=0.0
        )
        self.salt = state.salt
        for key, arrival_us in islice(state.theoretical_arrivals_us.items(), self.settings.max_keys):
            owed_us = min(arrival_us - now_us, longest_us)
            if owed_us > 0.0:
                self.keys[key] = KeyState(now_us + owed_us)

    def allowance_of(self, tenant: str) -> Allowance:
        """Return a tenant's own allowance, or that of tenants without one."""
        return self.tenants.get(tenant, self.settings.allowance)

    def fleet_key(self, tenant: str, client: str) -> int:
        """Return a request's key in the counts that instances share."""
        from plovertrail.decisions.counter_rows import key_of

        return key_of("limiter", self.settings.name, *self._key_names(tenant, client))

    def key_state(self, tenant: str, client: str) -> KeyState:
        """Return the state of a request's key, adding it to the table or using a shared entry."""
        key = self._hash_key(tenant, client)
        state = self.keys.pop(key, None)
        if state is None:
            shared = self.shared_keys[key % SHARED_KEYS]
            if not self._make_room():
                self.counted_as_shared += 1
                return shared
            # a key that leaves a shared entry must not get a second burst
            state = KeyState(shared.theoretical_arrival_us, shared=shared)
        self.keys[key] = state
        return state

    def wait_us(self, key: KeyState, allowance: Allowance) -> tuple[int, bool]:
        """Return how long a key's next request must wait (0 = not at all), and whether due to its rate."""
        if allowance.rate_per_s > 0.0:
            early_us = (
                key.theoretical_arrival_us - (allowance.burst - 1) * allowance.interval_us - self.now_us
            )
            if early_us > ROUNDING_TOLERANCE_US:
                return math.ceil(early_us), True
        if allowance.concurrent and key.total_concurrent >= allowance.concurrent:
            return max(MIN_RETRY_AFTER_US, int(self.mean_duration_us / allowance.concurrent)), False
        return 0, True

    def check(self, tenant: str, client: str) -> _Check:
        """Check a request against this limiter without counting it."""
        allowance = self.allowance_of(tenant)
        key = self.key_state(tenant, client)
        if self.counts is not None:
            allowance = self._instance_allowance(self.counts, allowance, key, self.fleet_key(tenant, client))
        wait_us, by_rate = self.wait_us(key, allowance)
        return _Check(self, key, allowance, wait_us, by_rate)

    def admit(self, key: KeyState, allowance: Allowance) -> Permit:
        """Count a request that is admitted."""
        if allowance.rate_per_s > 0.0:
            key.theoretical_arrival_us = max(key.theoretical_arrival_us, self.now_us) + allowance.interval_us
        key.concurrent += 1
        self.admitted += 1
        return Permit(self, key, self.now_us)

    def reject(self, check: _Check, allowance: Allowance) -> LimitExceeded:
        """Reject a request that exceeds `allowance`; `check` has this instance's share of it.

        Each rejected client gets a different retry time. With the same time for all, they would retry
        together and all but one would be rejected again.
        """
        key = check.key
        if check.by_rate:
            self.rejected_by_rate += 1
            step_us = check.allowance.interval_us
        else:
            self.rejected_by_concurrency += 1
            step_us = self.mean_duration_us / check.allowance.concurrent
        longest_us = self.settings.max_retry_after_us
        retry_us = max(float(self.now_us + check.wait_us), key.reserved_retry_us + step_us)
        if retry_us <= self.now_us + longest_us:
            key.reserved_retry_us = retry_us
            retry_after_us = retry_us - self.now_us
        else:  # nothing is left to reserve within the longest Retry-After: spread retries over its last part
            retry_after_us = longest_us * (1.0 - RETRY_JITTER * self.rng())
        return LimitExceeded(self.settings, allowance, check.by_rate, int(retry_after_us))

    def ended(self, permit: Permit, now_us: int) -> None:
        """An admitted request has its response, and none of its attempts is in flight."""
        self.advance(now_us)
        permit.key.concurrent -= 1
        duration_us = self.now_us - permit.admitted_us
        self.mean_duration_us += (duration_us - self.mean_duration_us) / DURATION_SMOOTHING_REQUESTS

    def advance(self, now_us: int) -> None:
        """Advance the clock; a step back is ignored, as it would make durations negative."""
        self.now_us = max(now_us, self.now_us)

    def _instance_allowance(
        self, counts: SharedCounters, allowance: Allowance, key: KeyState, fleet_key: int
    ) -> Allowance:
        """Return this instance's share of a fleet-wide allowance."""
        if not allowance.rate_per_s:
            return allowance
        counted_key = counts.add(fleet_key, self.now_us)
        rate_part, burst_part = counts.shares_of(counted_key, allowance.burst, self.now_us)
        # rescale past usage to the new interval; otherwise a longer interval would restore part of the burst
        interval_us = 1e6 / (allowance.rate_per_s * rate_part)
        if key.interval_us and key.theoretical_arrival_us > self.now_us:
            owed_us = key.theoretical_arrival_us - self.now_us
            key.theoretical_arrival_us = self.now_us + owed_us * interval_us / key.interval_us
        key.interval_us = interval_us
        burst = max(1.0, allowance.burst * burst_part)
        return Allowance(allowance.rate_per_s * rate_part, burst, allowance.concurrent)

    def _hash_key(self, tenant: str, client: str) -> int:
        """Return a key's hash; it is salted so that clients can't choose which shared entry they get."""
        name = "\0".join(self._key_names(tenant, client)).encode("utf-8", "surrogateescape")
        return int.from_bytes(self.hash(name, digest_size=8, key=self.salt).digest())

    def _key_names(self, tenant: str, client: str) -> list[str]:
        kind = self.settings.keyed_by
        parts = []
        if kind in (KeyedBy.TENANT, KeyedBy.TENANT_AND_CLIENT):
            has_key = tenant in self.settings.listed or self.settings.unlisted_have_keys
            parts.append(f"{len(tenant)} {tenant}" if has_key else "")
        if kind in (KeyedBy.CLIENT, KeyedBy.TENANT_AND_CLIENT):
            parts.append(client)
        return parts

    def _make_room(self) -> bool:
        """Evict idle keys from a full table; return whether there is room for one more key.

        Several candidates are checked each time, so that a table shrinks after `max_keys` was lowered. Keys
        in use move to the end, so that others are checked next time.
        """
        if len(self.keys) >= self.settings.max_keys:
            for key in list(islice(self.keys, EVICTION_CANDIDATES)):
                state = self.keys.pop(key)
                idle = not state.total_concurrent and state.theoretical_arrival_us <= self.now_us
                if not idle:
                    self.keys[key] = state
        return len(self.keys) < self.settings.max_keys


def admit(
    limiters: Sequence[RateLimiter], tenant: str, client: str, now_us: int
) -> list[Permit] | LimitExceeded:
    """Admit a request if all of its limiters admit it.

    Otherwise the rejection with the longest wait is returned, and no other limiter counts the request.
    """
    checks = []
    for limiter in limiters:
        limiter.advance(now_us)
        checks.append(limiter.check(tenant, client))
    worst = max(checks, key=lambda check: check.wait_us, default=None)
    if worst is not None and worst.wait_us:
        return worst.limiter.reject(worst, worst.limiter.allowance_of(tenant))
    return [check.limiter.admit(check.key, check.allowance) for check in checks]


def policy_header(exceeded: LimitExceeded) -> str:
    """Return the value of the `RateLimit-Policy` field (draft-ietf-httpapi-ratelimit-headers).

    The field has the limit's name, its quota, and the window in seconds or the unit.
    """
    allowance = exceeded.allowance
    if not exceeded.by_rate:
        return f'"{exceeded.limiter.name}";q={allowance.concurrent};qu="concurrent-requests"'
    window_s = max(1, round(allowance.burst / allowance.rate_per_s))
    return f'"{exceeded.limiter.name}";q={allowance.burst};w={window_s}'


def limit_header(exceeded: LimitExceeded) -> str:
    """Return the value of the `RateLimit` field: nothing remains for this many seconds."""
    return f'"{exceeded.limiter.name}";r=0;t={-(-exceeded.retry_after_us // 1_000_000)}'
