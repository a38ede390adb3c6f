"""Usage by key over a sliding window, summed over all instances with no leader.

Each instance counts its own requests and gossips these counts (counter_rows.py); what it hears of peers is
merged in peer_counters.py. From both follow the fleet's usage of a key and this instance's share of a limit.
Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Sequence
from itertools import islice

from plovertrail.decisions.counter_rows import (
    CounterMessage,
    CounterRow,
    CountingWindow,
    EncodedRow,
    PreviousIncarnation,
    key_of,
)
from plovertrail.decisions.peer_counters import (
    CACHE_FRACTION,
    CounterLimits,
    PeerCounters,
    ReplicaIdentity,
)

# Keys without room in the table share these, so a limit admits less of them, and never more.
OVERFLOW_KEYS = 64


class SharedCounters:
    """All that one instance knows of the fleet's usage."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        window: CountingWindow,
        now_us: int,
        limits: CounterLimits | None = None,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.window = window
        self.start_us = now_us
        self.limits = limits or CounterLimits()
        self.cluster_size = 1  # instances, as listed
        self.own: dict[int, CounterRow] = {}
        self.peers = PeerCounters(ReplicaIdentity(name, incarnation, now_us), window, self.limits)
        self.reserved_keys: frozenset[int] = frozenset()  # they are few, and always find room
        # Counts of this instance before a restart: peers know them by its earlier incarnation, so they are
        # never sent again.
        self.previous: dict[int, CounterRow] = {}
        self.overflowed = 0  # counts of keys without room, since the start
        self._previous_start_us = 0
        self._changes: dict[int, int] = {}  # by own key, what was counted since it last went out
        self._sent_round: dict[int, int] = {}  # by own key, when it last went out
        self._round = 0
        self._swept_us = now_us

    def reconfigure(self, limits: CounterLimits, cluster_size: int) -> None:
        """Go on under other limits, in a fleet of this size."""
        self.limits = limits
        self.peers.limits = limits
        self.cluster_size = cluster_size

    # Own counts

    def add(self, key: int, now_us: int, count: int = 1) -> int:
        """Count a request of a key; returns the key that it counts under."""
        if key not in self.own and len(self.own) >= self.limits.max_keys and key not in self.reserved_keys:
            self.sweep(now_us)
            if len(self.own) >= self.limits.max_keys:
                self.overflowed += count
                key %= OVERFLOW_KEYS
        row = self.own.get(key)
        if row is None:
            row = CounterRow(self.window.slots)
            self.own[key] = row
        row.add(self.bucket(now_us), count)
        self._changes[key] = self._changes.get(key, 0) + count
        return key

    def bucket(self, now_us: int) -> int:
        """Return the number of a time's bucket, from 0 at the start of these counters."""
        return max(0, now_us - self.start_us) // self.window.bucket_us

    # Restarts

    def saved_rows(self, keys: Iterable[int]) -> dict[int, tuple[int, tuple[int, ...]]]:
        """Return own counts of some keys as `PreviousIncarnation` has them, from `saved_from_us` on.

        Those of before a restart are added, as an instance that is killed twice in a window would lose its
        first counts; later ones are up to a bucket too late, which holds a limit for that much longer.
        """
        shift = -(-(self.start_us - self.saved_from_us) // self.window.bucket_us)
        found = {}
        for key in keys:
            previous = self.previous.get(key)
            own = self.own.get(key)
            counted = dict(previous.items()) if previous is not None else {}
            for bucket, count in own.items() if own is not None else ():
                counted[bucket + shift] = counted.get(bucket + shift, 0) + count
            if counted:
                found[key] = _newest_first(counted)
        return found

    @property
    def saved_from_us(self) -> int:
        """The time from which on usage is known, before a restart included."""
        return self._previous_start_us if self.previous else self.start_us

    def restore(self, saved: PreviousIncarnation, now_us: int) -> bool:
        """Go on from counts before a restart; returns whether they are of use.

        They count here alone: sent under the new incarnation, peers would count them twice. Buckets that lie
        ahead, by a clock that was set, are left out, as they would never end.
        """
        same_window = (saved.span_us, saved.buckets) == (self.window.span_us, self.window.buckets)
        if saved.name != self.name or not same_window or saved.start_us > now_us:
            return False
        self._previous_start_us = saved.start_us
        self.previous = {}
        current = (now_us - saved.start_us) // self.window.bucket_us
        for key, (newest, counts) in islice(saved.rows.items(), self.limits.max_keys):
            row = CounterRow(self.window.slots)
            for age, count in enumerate(counts):
                if 0 <= newest - age <= current + 1:
                    row.raise_to(newest - age, count)
            self.previous[key] = row
        return True

    def previous_usage(self, key: int, now_us: int) -> float:
        """Return what was counted before a restart, in the window that ends now."""
        row = self.previous.get(key)
        end = (now_us - self._previous_start_us) / self.window.bucket_us
        return row.within(end, self.window.buckets) if row is not None else 0.0

    # Gossip

    def keys_to_send(self, limit: int, fitting: int) -> list[int]:
        """Choose at most `limit` keys for a round, where about `fitting` go out at once.

        Those with most change go first. One that changes little has to reach all as well, and one that does
        not change any more those that missed it; so a key that has waited for twice the rounds that all keys
        take in turn goes before others.
        """
        self._round += 1
        max_wait = 2 * -(-len(self.own) // max(1, fitting))

        def urgency(key: int) -> tuple[bool, int]:
            waited = self._round - self._sent_round.get(key, -max_wait)
            return waited >= max_wait, self._changes.get(key, 0)

        return heapq.nlargest(limit, self.own, key=urgency)

    def sent(self, keys: Iterable[int]) -> None:
        """Note that keys have gone to all receivers of this round."""
        for key in keys:
            self._changes.pop(key, None)
            self._sent_round[key] = self._round

    def encoded_row(self, key: int, now_us: int) -> EncodedRow | None:
        """Return a key's counts as they are sent, or None if it has none in the window."""
        row = self.own.get(key)
        oldest = self.bucket(now_us) - self.window.slots
        found = {bucket: count for bucket, count in row.items() if bucket > oldest} if row else {}
        if not found:
            return None
        return key, *_newest_first(found)

    def merge(self, message: CounterMessage, now_us: int) -> bool:
        """Merge what a peer has sent; returns False for a duplicate, or without room for its sender."""
        if not self.peers.accept(message):
            return False
        if self.peers.needs_room(message):
            self.sweep(now_us, force=True)
        return self.peers.merge(message, now_us)

    # Usage

    def estimate(self, key: int, now_us: int) -> float:
        """Return the fleet's usage of a key in the window that ends now, as far as it is known here."""
        return self.own_count(key, now_us) + self.peers.usage(key, now_us).now

    def own_count(self, key: int, now_us: int) -> float:
        """Return this instance's usage of a key in the window, before a restart included."""
        row = self.own.get(key)
        end = (now_us - self.start_us) / self.window.bucket_us
        own = row.within(end, self.window.buckets) if row else 0.0
        return own + self.previous_usage(key, now_us)

    def shares_of(self, key: int, burst: float, now_us: int) -> tuple[float, float]:
        """Return this instance's share of a key's rate limit, and of its burst. All shares add up to one.

        Of the rate: its share of the usage, each peer's taken as it was when last heard, or all that is not
        known yet of the others would count as nobody's. Of the burst: equal shares while nobody has used the
        key, and the more by usage the more there was of it before the current bucket. By usage alone, all
        would have the whole burst of a key that nobody has used; by equal shares alone, an instance that has
        all of the traffic would refuse short bursts. Silent instances keep their equal share, unless each may
        have all of it then; at the start nobody has been heard yet.
        """
        end = (now_us - self.start_us) / self.window.bucket_us
        row = self.own.get(key)
        size = max(1, self.cluster_size)
        own, own_before = row.usage(end, self.window.buckets) if row is not None else (0.0, 0.0)
        if self.previous:
            previous = self.previous_usage(key, now_us)
            own += previous
            own_before += previous
        peers = self.peers.usage(key, now_us)
        reachable = 1.0
        if self.limits.share_when_alone:
            reachable = min(1.0, (1 + self.peers.heard_count(now_us)) / size)
        own = max(1.0, own)
        of_burst = (burst + own_before * reachable) / (own_before + peers.before_bucket + burst * size)
        return own / (own + peers.last_heard) * reachable, of_burst

    # Sweeping

    def sweep(self, now_us: int, force: bool = False) -> None:
        """Drop what no window holds any more; once in a bucket's time, unless forced."""
        if now_us - self._swept_us < self.window.bucket_us and not force:
            return
        self._swept_us = now_us
        oldest = self.bucket(now_us) - self.window.slots
        for key in [key for key, row in self.own.items() if row.newest <= oldest]:
            del self.own[key]
            self._changes.pop(key, None)
            self._sent_round.pop(key, None)
        if self.previous and now_us - self.start_us > self.window.span_us + self.window.bucket_us:
            self.previous = {}
        self.peers.sweep(now_us)


def _newest_first(counts: dict[int, int]) -> tuple[int, tuple[int, ...]]:
    """Return the newest bucket, and the counts from it back to the oldest one."""
    newest = max(counts)
    return newest, tuple(counts.get(bucket, 0) for bucket in range(newest, min(counts) - 1, -1))


class TenantUsage:
    """Each tenant's share of the fleet's requests, where its allowance is for all instances together."""

    def __init__(self, counters: SharedCounters, names: Sequence[str], fleet_wide: frozenset[int]) -> None:
        self.counters = counters
        self.fleet_wide = fleet_wide
        self.keys = [key_of("tenant", name) for name in names]
        # Names made up on every request would otherwise push the listed tenants out of the table.
        counters.reserved_keys = frozenset(self.keys)
        self._total = 0.0
        self._total_until_us = -1

    def record_request(self, tenant: int, now_us: int) -> None:
        """Count a request of a listed tenant, by its number."""
        if tenant < len(self.keys):
            self.counters.add(self.keys[tenant], now_us)

    def share(self, tenant: int, now_us: int) -> float:
        """Return a tenant's share; 0: nothing is known, or its allowance is for one instance."""
        if tenant not in self.fleet_wide:
            return 0.0
        if now_us > self._total_until_us:
            self._total = sum(self.counters.estimate(key, now_us) for key in self.keys)
            self._total_until_us = now_us + self.counters.window.bucket_us // CACHE_FRACTION
        if not self._total:
            return 0.0
        return min(1.0, self.counters.estimate(self.keys[tenant], now_us) / self._total)
