"""Rate and concurrency limits by client, tenant or both.

The rate limit is the generic cell rate algorithm in its virtual scheduling form (ITU-T I.371). Each key has
one theoretical arrival time, so a key that has been idle for long enough is in the state of a new one and
can be forgotten without loss. Keys are stored by a salted hash in a table of a fixed size. Once the table
is full of keys in use, further keys share a few entries, which limits them more and never less.

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

SHARED_KEYS = 64  # entries for the keys that find no place in the table
EVICTION_CANDIDATES = 4  # entries that are checked for an idle one when a new key meets a full table
DURATION_SMOOTHING_REQUESTS = 16
INITIAL_DURATION_US = 50_000  # until a request has ended
MIN_RETRY_AFTER_US = 50_000
RETRY_JITTER = 0.25  # of the longest Retry-After
ROUNDING_TOLERANCE_US = 0.5  # by which a sum of intervals may be off


class KeyedBy(enum.Enum):
    """Whose requests count together."""

    CLIENT = "client"
    TENANT = "tenant"
    TENANT_AND_CLIENT = "tenant+client"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Allowance:
    """What one key is allowed. 0 = unlimited."""

    rate_per_s: float = 0.0
    burst: float = 1  # requests that may come at one moment; a fraction where it is one instance's part
    concurrent: int = 0

    @property
    def interval_us(self) -> float:
        """The time between two requests at the allowed rate."""
        return 1e6 / self.rate_per_s


@dataclass(frozen=True, slots=True)
class RateLimiterSettings:
    """One limit of the operator's file."""

    name: str
    keyed_by: KeyedBy
    allowance: Allowance
    tenants: tuple[tuple[str, Allowance], ...] = ()  # those with an allowance of their own
    listed: frozenset[str] = frozenset()  # tenants that the file names
    unlisted_have_keys: bool = False  # tenants that are not listed have a key each; else one together
    max_keys: int = 4_096
    max_retry_after_us: int = 10_000_000
    send_headers: bool = True  # a rejection names the limit
    fleet_wide: bool = False  # the rate is for all instances together


@dataclass(slots=True)
class KeyState:
    """What a limiter knows of one key."""

    theoretical_arrival_us: float = 0.0  # when all that it has used is paid for
    concurrent: int = 0
    reserved_retry_us: float = 0.0  # the latest time at which one of its clients was told to retry
    # the shared entry that may have counted its requests before; None once it counts none
    shared: KeyState | None = None
    interval_us: float = 0.0  # in which `theoretical_arrival_us` is expressed, where it changes

    @property
    def total_concurrent(self) -> int:
        """Requests in flight, with those that a shared entry has admitted."""
        if self.shared is None:
            return self.concurrent
        if not self.shared.concurrent:
            self.shared = None
            return self.concurrent
        return self.concurrent + self.shared.concurrent


@dataclass(frozen=True, slots=True)
class RateLimiterState:
    """What outlives a restart; the keys are hashes under the salt."""

    salt: bytes
    theoretical_arrivals_us: Mapping[int, float]  # by key, of those that lie in the future


@dataclass(frozen=True, slots=True)
class LimitExceeded:
    """A request that a limit rejects."""

    limiter: RateLimiterSettings
    allowance: Allowance
    by_rate: bool  # else by the concurrent requests
    retry_after_us: int


@dataclass(slots=True)
class Permit:
    """A request that a limiter has admitted and that has not ended."""

    limiter: RateLimiter
    key: KeyState
    admitted_us: int


@dataclass(frozen=True, slots=True)
class _Check:
    """How one limiter sees a request."""

    limiter: RateLimiter
    key: KeyState
    allowance: Allowance  # of this instance
    wait_us: int  # until the request would be admitted; 0 = it is
    by_rate: bool


class RateLimiter:
    """One limit over all its keys. `rng` returns numbers from 0 to 1."""

    def __init__(self, settings: RateLimiterSettings, rng: Callable[[], float]) -> None:
        from hashlib import blake2b  # late, because few routes have a limit and the start must stay short

        self.hash = blake2b
        self.salt = int(rng() * 2**53).to_bytes(8)
        self.rng = rng
        self.now_us = 0
        self.keys: dict[int, KeyState] = {}  # by hash, the most recently used last
        self.shared_keys = [KeyState() for _ in range(SHARED_KEYS)]
        self.mean_duration_us = float(INITIAL_DURATION_US)  # of one request
        # totals for the status
        self.admitted = 0
        self.rejected_by_rate = 0
        self.rejected_by_concurrency = 0
        self.counted_as_shared = 0  # requests of keys that found no place in the table
        self.counts: SharedCounters | None = None  # of all instances, where the limit is for them together
        self.configure(settings)

    def configure(self, settings: RateLimiterSettings) -> None:
        """Put other settings into force; what keys have used still counts."""
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
        """Begin with what keys had used before a restart; no effect after the first request.

        After a change of the system's clock a key could owe a day, so none owes more than the largest burst.
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
        """Return a request's key as all instances have it."""
        from plovertrail.decisions.counter_rows import key_of

        return key_of("limiter", self.settings.name, *self._key_names(tenant, client))

    def key_state(self, tenant: str, client: str) -> KeyState:
        """Return the state of a request's key; a new key takes the place of an idle one."""
        key = self._hash_key(tenant, client)
        state = self.keys.pop(key, None)
        if state is None:
            shared = self.shared_keys[key % SHARED_KEYS]
            if not self._make_room():
                self.counted_as_shared += 1
                return shared
            # a key that leaves a shared entry must not get a whole burst once more
            state = KeyState(shared.theoretical_arrival_us, shared=shared)
        self.keys[key] = state
        return state

    def wait_us(self, key: KeyState, allowance: Allowance) -> tuple[int, bool]:
        """Return how long a key's next request has to wait, and whether because of its rate.

        0 = not at all.
        """
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
        """Return how this limiter sees a request, which is not counted yet."""
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
        """Reject a request that is over `allowance`, of which `check` has this instance's part.

        Each client is told a time of its own: with the same time told to all, they would retry together and
        all but one in vain.
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
        else:  # nothing is left within the longest Retry-After: spread over its end
            retry_after_us = longest_us * (1.0 - RETRY_JITTER * self.rng())
        return LimitExceeded(self.settings, allowance, check.by_rate, int(retry_after_us))

    def ended(self, permit: Permit, now_us: int) -> None:
        """An admitted request has been answered, and none of its attempts is in flight."""
        self.advance(now_us)
        permit.key.concurrent -= 1
        duration_us = self.now_us - permit.admitted_us
        self.mean_duration_us += (duration_us - self.mean_duration_us) / DURATION_SMOOTHING_REQUESTS

    def advance(self, now_us: int) -> None:
        """Move the clock, but never back: a request would seem to have taken less than no time."""
        self.now_us = max(now_us, self.now_us)

    def _instance_allowance(
        self, counts: SharedCounters, allowance: Allowance, key: KeyState, fleet_key: int
    ) -> Allowance:
        """Return this instance's part of an allowance for all instances together."""
        if not allowance.rate_per_s:
            return allowance
        counted_key = counts.add(fleet_key, self.now_us)
        rate_part, burst_part = counts.shares_of(counted_key, allowance.burst, self.now_us)
        # what the key owes was counted in intervals as they were; in longer ones its burst would come back
        interval_us = 1e6 / (allowance.rate_per_s * rate_part)
        if key.interval_us and key.theoretical_arrival_us > self.now_us:
            owed_us = key.theoretical_arrival_us - self.now_us
            key.theoretical_arrival_us = self.now_us + owed_us * interval_us / key.interval_us
        key.interval_us = interval_us
        burst = max(1.0, allowance.burst * burst_part)
        return Allowance(allowance.rate_per_s * rate_part, burst, allowance.concurrent)

    def _hash_key(self, tenant: str, client: str) -> int:
        """Return a key's hash; it is salted, so that no client can choose whose entry it shares."""
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
        """Evict idle keys from a full table; return whether one more key finds a place.

        A few more than one are evicted, so that a table that a reload made smaller shrinks. Keys in use
        move to the end, so that others are checked next time.
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
    """Admit a request by all of its limiters, or by none.

    Of the limiters that reject it, the one with the longest wait is returned; the others do not count it.
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
    """Return the limit as a `RateLimit-Policy` field (draft-ietf-httpapi-ratelimit-headers).

    The field has the limit's name, its quota, and the window in seconds or the unit.
    """
    allowance = exceeded.allowance
    if not exceeded.by_rate:
        return f'"{exceeded.limiter.name}";q={allowance.concurrent};qu="concurrent-requests"'
    window_s = max(1, round(allowance.burst / allowance.rate_per_s))
    return f'"{exceeded.limiter.name}";q={allowance.burst};w={window_s}'


def limit_header(exceeded: LimitExceeded) -> str:
    """Return what is left of the limit as a `RateLimit` field: nothing, for this many seconds."""
    return f'"{exceeded.limiter.name}";r=0;t={-(-exceeded.retry_after_us // 1_000_000)}'
