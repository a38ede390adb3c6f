"""What one tenant or client may ask for at most: a rate with a burst, and requests at once.

The rate is the generic cell rate algorithm's (ITU-T I.371, "virtual scheduling"): of each key one time is
kept, so a key that has been idle for long enough is in the same state as one that was never seen, and is
forgotten at no loss. Keys are kept by their keyed hash, in a table of a fixed size; where it is full of keys
that are in use, further ones share a few entries, which limits them more and never less. Pure: times and
random numbers are arguments, and what is to be done is returned.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plovertrail.decisions.counts import Counts

SHARED_ENTRIES = 64  # for the keys that find no place
LOOKS = 4  # entries that are looked at for an idle one, when a new key comes to a full table
HOLD_MEMORY = 16  # requests that make up the usual time of one
FIRST_HOLD_US = 50_000  # till one has ended
LEAST_RETURN_US = 50_000
RETURN_SPREAD = 0.25  # of the wait, by which what is told is drawn at random


class KeyedBy(enum.Enum):
    """Whose requests count together."""

    CLIENT = "client"
    TENANT = "tenant"
    TENANT_AND_CLIENT = "tenant+client"
    ALL = "all"


@dataclass(frozen=True, slots=True)
class Allowance:
    """What one key has. 0 = no such limit."""

    rate_per_s: float = 0.0
    burst: float = 1  # requests that may come at once, at that rate on average; broken where it is a part
    at_once: int = 0


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """One limit, as the operator wrote it."""

    name: str
    keyed_by: KeyedBy
    allowance: Allowance
    tenants: tuple[tuple[str, Allowance], ...] = ()  # those with one of their own
    listed: frozenset[str] = frozenset()  # tenants that the file names
    unlisted_each: bool = False  # tenants that aren't listed have a key each; else one together
    most_keys: int = 4_096
    max_retry_after_us: int = 10_000_000
    told: bool = True  # a refusal names the limit
    fleet_wide: bool = False  # the rate is for all instances together


@dataclass(slots=True)
class Entry:
    """What is known of a key."""

    free_us: float = 0.0  # when it will have paid for all that it has had (the theoretical arrival time)
    at_once: int = 0
    promised_us: float = 0.0  # the latest time that one of its clients was told to come at
    # the shared entry that may have counted for it before; None once that has nothing of its requests
    before: Entry | None = None
    gap_us: float = 0.0  # between two requests, as `free_us` has it; kept where it changes

    @property
    def counted(self) -> int:
        """Requests at once, with those that an entry before this one let in."""
        if self.before is None:
            return self.at_once
        if not self.before.at_once:
            self.before = None
            return self.at_once
        return self.at_once + self.before.at_once


@dataclass(frozen=True, slots=True)
class Remembered:
    """What is remembered of a limit over a restart: its keys' numbers hold under its salt."""

    salt: bytes
    free_us: Mapping[int, float]  # by key: when it will have paid; only of those that have not


@dataclass(frozen=True, slots=True)
class OverLimit:
    """A request that a limit refuses now."""

    limiter: LimiterSettings
    allowance: Allowance
    by_rate: bool  # else by the requests at once
    retry_after_us: int


@dataclass(slots=True)
class Permit:
    """A request that a limit let in, till it is over."""

    limiter: Limiter
    entry: Entry
    since_us: int


class Limiter:
    """One limit over all its keys. `rng` gives numbers from 0 to 1."""

    def __init__(self, settings: LimiterSettings, rng: Callable[[], float]) -> None:
        from hashlib import blake2b  # late: most hosts have no limit, and the platform's start is small

        self.hash = blake2b
        self.salt = int(rng() * 2**53).to_bytes(8)
        self.rng = rng
        self.now_us = 0
        self.entries: dict[int, Entry] = {}  # by the key's hash, the one used last at the end
        self.shared = [Entry() for _ in range(SHARED_ENTRIES)]
        self.hold_us = float(FIRST_HOLD_US)  # of one request, smoothed
        # since it was made
        self.let_in = 0
        self.over_rate = 0
        self.over_at_once = 0
        self.without_place = 0  # requests of keys that shared an entry
        self.counts: Counts | None = None  # of all instances, where the limit is for them together
        self.configure(settings)

    def configure(self, settings: LimiterSettings) -> None:
        """Other figures; what keys have had still counts."""
        self.settings = settings
        self.tenants = dict(settings.tenants)

    def owing(self, keys: Iterable[int], now_us: int) -> dict[int, float]:
        """Of some keys those that have not paid yet, and when they will have."""
        found = {}
        for key in keys:
            entry = self.entries.get(key)
            if entry is not None and entry.free_us > now_us:
                found[key] = entry.free_us
        return found

    def recall(self, old: Remembered, now_us: int) -> None:
        """Begin with what keys had before a restart; before the first request. Hazard: by a clock that was
        set meanwhile a key could owe for a day; so none owes more than the largest burst."""
        if self.entries or self.let_in or not old.salt:
            return
        self._advance(now_us)
        allowances = (self.settings.allowance, *self.tenants.values())
        most_us = max(
            (each.burst * 1e6 / each.rate_per_s for each in allowances if each.rate_per_s > 0.0), default=0.0
        )
        self.salt = old.salt
        for key, free_us in islice(old.free_us.items(), self.settings.most_keys):
            owed_us = min(free_us - now_us, most_us)
            if owed_us > 0.0:
                self.entries[key] = Entry(now_us + owed_us)

    def allowance_of(self, tenant: str) -> Allowance:
        """What a tenant may use: its own allowance, or that of those which are not listed."""
        return self.tenants.get(tenant, self.settings.allowance)

    def part_of(self, counts: Counts, whole: Allowance, entry: Entry, tenant: str, client: str) -> Allowance:
        """What this instance may let in of a limit for all of them."""
        if not whole.rate_per_s:
            return whole
        key = counts.add(self.shared_key(tenant, client), self.now_us)
        part, of_burst = counts.parts_of(key, whole.burst, self.now_us)
        # hazard: what was let in counts in gaps as they were; with wider ones the burst would be there again
        gap_us = 1e6 / (whole.rate_per_s * part)
        if entry.gap_us and entry.free_us > self.now_us:
            entry.free_us = self.now_us + (entry.free_us - self.now_us) * gap_us / entry.gap_us
        entry.gap_us = gap_us
        return Allowance(whole.rate_per_s * part, max(1.0, whole.burst * of_burst), whole.at_once)

    def shared_key(self, tenant: str, client: str) -> int:
        """A request's key as all instances have it."""
        from plovertrail.decisions.counts import key_of

        return key_of("limiter", self.settings.name, *self._names(tenant, client))

    def entry_of(self, tenant: str, client: str) -> Entry:
        """What is known of a request's key; a new one takes the place of one that is idle."""
        key = self._key(tenant, client)
        entry = self.entries.pop(key, None)
        if entry is None:
            shared = self.shared[key % SHARED_ENTRIES]
            if not self._make_room():
                self.without_place += 1
                return shared
            # hazard: a key that leaves a shared entry would have its whole burst once more
            entry = Entry(shared.free_us, before=shared)
        self.entries[key] = entry
        return entry

    def wait_us(self, entry: Entry, allowance: Allowance) -> tuple[int, bool]:
        """For how long a key's next request is too soon, and whether by its rate; 0 = it may come."""
        if allowance.rate_per_s > 0.0:
            gap_us = 1e6 / allowance.rate_per_s
            soon_us = entry.free_us - (allowance.burst - 1) * gap_us - self.now_us
            if soon_us > 0.5:  # half a microsecond: what a sum of gaps is rounded by
                return math.ceil(soon_us), True
        if allowance.at_once and entry.counted >= allowance.at_once:
            return max(LEAST_RETURN_US, int(self.hold_us / allowance.at_once)), False
        return 0, True

    def take(self, entry: Entry, allowance: Allowance) -> Permit:
        """A request goes in."""
        if allowance.rate_per_s > 0.0:
            entry.free_us = max(entry.free_us, self.now_us) + 1e6 / allowance.rate_per_s
        entry.at_once += 1
        self.let_in += 1
        return Permit(self, entry, self.now_us)

    def refuse(
        self, entry: Entry, allowance: Allowance, whole: Allowance, wait_us: int, by_rate: bool
    ) -> OverLimit:
        """A request is over what this instance may let in of the whole. Hazard: told the same time, all that
        are refused would come back together, and all but one in vain: each is told the place behind the one
        that was told last."""
        if by_rate:
            self.over_rate += 1
            step_us = 1e6 / allowance.rate_per_s
        else:
            self.over_at_once += 1
            step_us = self.hold_us / allowance.at_once
        longest_us = self.settings.max_retry_after_us
        told_us = max(float(self.now_us + wait_us), entry.promised_us + step_us)
        if told_us <= self.now_us + longest_us:
            entry.promised_us = told_us
            after_us = told_us - self.now_us
        else:  # no place is left in that time: spread over its end
            after_us = longest_us * (1.0 - RETURN_SPREAD * self.rng())
        return OverLimit(self.settings, whole, by_rate, int(after_us))

    def ended(self, permit: Permit, now_us: int) -> None:
        """A request that was let in is over: answered, and none of its attempts out."""
        self._advance(now_us)
        permit.entry.at_once -= 1
        self.hold_us += (self.now_us - permit.since_us - self.hold_us) / HOLD_MEMORY

    # How

    def _advance(self, now_us: int) -> None:
        """Hazard: by a time from before the last one a request would have taken less than no time, and no
        wait would be told where places at once run out."""
        self.now_us = max(now_us, self.now_us)

    def _key(self, tenant: str, client: str) -> int:
        """A key's number. Hazard: by a sum that anyone can work out, a client could choose whose entry it
        fills."""
        name = "\0".join(self._names(tenant, client)).encode("utf-8", "surrogateescape")
        return int.from_bytes(self.hash(name, digest_size=8, key=self.salt).digest())

    def _names(self, tenant: str, client: str) -> list[str]:
        """What a request counts under."""
        kind = self.settings.keyed_by
        parts = []
        if kind in (KeyedBy.TENANT, KeyedBy.TENANT_AND_CLIENT):
            listed = tenant in self.settings.listed or self.settings.unlisted_each
            parts.append(f"{len(tenant)} {tenant}" if listed else "")
        if kind in (KeyedBy.CLIENT, KeyedBy.TENANT_AND_CLIENT):
            parts.append(client)
        return parts

    def _idle(self, entry: Entry) -> bool:
        """Whether it says no more than a new one would."""
        return not entry.counted and entry.free_us <= self.now_us

    def _make_room(self) -> bool:
        """Whether one more key finds a place: idle keys are forgotten for it, and a few more, so that a table
        that a reload made smaller shrinks. A key that isn't idle goes to the end, so that others are looked
        at next time."""
        if len(self.entries) >= self.settings.most_keys:
            for key in list(islice(self.entries, LOOKS)):
                entry = self.entries.pop(key)
                if not self._idle(entry):
                    self.entries[key] = entry
        return len(self.entries) < self.settings.most_keys


def admit(limiters: Sequence[Limiter], tenant: str, client: str, now_us: int) -> list[Permit] | OverLimit:
    """Let a request in by all of its limits, or by none: of those that refuse it, the one with the longest
    wait is told, and the others don't count it."""
    asked: list[tuple[Limiter, Entry, Allowance]] = []
    worst: tuple[int, bool, Limiter, Entry, Allowance] | None = None
    for limiter in limiters:
        limiter._advance(now_us)
        allowance, entry = limiter.allowance_of(tenant), limiter.entry_of(tenant, client)
        if limiter.counts is not None:
            allowance = limiter.part_of(limiter.counts, allowance, entry, tenant, client)
        wait_us, by_rate = limiter.wait_us(entry, allowance)
        asked.append((limiter, entry, allowance))
        if wait_us and (worst is None or wait_us > worst[0]):
            worst = wait_us, by_rate, limiter, entry, allowance
    if worst is not None:
        wait_us, by_rate, limiter, entry, allowance = worst
        return limiter.refuse(entry, allowance, limiter.allowance_of(tenant), wait_us, by_rate)
    return [limiter.take(entry, allowance) for limiter, entry, allowance in asked]


def policy_header(over: OverLimit) -> str:
    """The limit as a `RateLimit-Policy` field (draft-ietf-httpapi-ratelimit-headers): its name, quota, and
    the window in seconds, or the unit."""
    allowance = over.allowance
    if not over.by_rate:
        return f'"{over.limiter.name}";q={allowance.at_once};qu="concurrent-requests"'
    window_s = max(1, round(allowance.burst / allowance.rate_per_s))
    return f'"{over.limiter.name}";q={allowance.burst};w={window_s}'


def limit_header(over: OverLimit) -> str:
    """What is left of it, as a `RateLimit` field: nothing, for so many seconds."""
    return f'"{over.limiter.name}";r=0;t={-(-over.retry_after_us // 1_000_000)}'
