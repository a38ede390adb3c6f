"""Usage by key over a sliding window, summed over all instances without a leader.

Each instance counts its own requests and gossips these counts (counter_rows.py); the counts that peers send
are merged in peer_counters.py. Both together give the usage of a key by all instances, and this instance's
share of a limit. Pure: times are arguments, in microseconds.
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

# Keys that find no room in the table share these, so a limit may admit less of them, and never more.
OVERFLOW_KEYS = 64


class SharedCounters:
    """The usage by key of all instances, as far as one instance knows it."""

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
        self.cluster_size = 1  # instances in the peer list, this one included
        self.own: dict[int, CounterRow] = {}
        self.peers = PeerCounters(ReplicaIdentity(name, incarnation, now_us), window, self.limits)
        self.reserved_keys: frozenset[int] = frozenset()  # few keys, which always find room in the table
        # Counts of this instance before a restart: peers have them under its earlier incarnation, so they are
        # not sent again.
        self.previous: dict[int, CounterRow] = {}
        self.overflowed = 0  # requests of keys without room, since the start
        self._previous_start_us = 0
        self._changes: dict[int, int] = {}  # by own key: requests counted since it was last sent
        self._sent_round: dict[int, int] = {}  # by own key: the round in which it was last sent
        self._round = 0
        self._swept_us = now_us

    def reconfigure(self, limits: CounterLimits, cluster_size: int) -> None:
        """Apply other limits and another number of instances."""
        self.limits = limits
        self.peers.limits = limits
        self.cluster_size = cluster_size

    # Own counts

    def add(self, key: int, now_us: int, count: int = 1) -> int:
        """Count requests of a key; returns the key under which they are counted."""
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
        """Return the number of the bucket of a time; bucket 0 begins with these counters."""
        return max(0, now_us - self.start_us) // self.window.bucket_us

    # Restarts

    def saved_rows(self, keys: Iterable[int]) -> dict[int, tuple[int, tuple[int, ...]]]:
        """Return own counts of some keys in the form of `PreviousIncarnation`, from `saved_from_us` on.

        Counts from before a restart are included, or an instance that is killed twice within a window would
        lose its first counts. Counts since the restart are shifted to whole buckets, up to one bucket too
        late, so they count against a limit for that much longer.
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
        """The time since which usage is known, including that before a restart."""
        return self._previous_start_us if self.previous else self.start_us

    def restore(self, saved: PreviousIncarnation, now_us: int) -> bool:
        """Continue from counts before a restart; returns whether they are usable.

        They count only here: if they were sent under the new incarnation, peers would count them twice.
        Buckets in the future, after the clock was set, are left out, as they would stay in the window.
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
        """Return the usage counted before a restart, in the window that ends now."""
        row = self.previous.get(key)
        end = (now_us - self._previous_start_us) / self.window.bucket_us
        return row.within(end, self.window.buckets) if row is not None else 0.0

    # Gossip

    def keys_to_send(self, limit: int, fitting: int) -> list[int]:
        """Choose at most `limit` keys for a round, of which about `fitting` are sent.

        Keys with most new requests come first. A key with few has to reach all peers as well, and one with
        none any more those peers that missed it, so a key that has waited for twice the rounds that it takes
        to send all keys in turn comes before others.
        """
        self._round += 1
        max_wait = 2 * -(-len(self.own) // max(1, fitting))

        def urgency(key: int) -> tuple[bool, int]:
            waited = self._round - self._sent_round.get(key, -max_wait)
            return waited >= max_wait, self._changes.get(key, 0)

        return heapq.nlargest(limit, self.own, key=urgency)

    def sent(self, keys: Iterable[int]) -> None:
        """Record that keys have been sent to all receivers of this round."""
        for key in keys:
            self._changes.pop(key, None)
            self._sent_round[key] = self._round

    def encoded_row(self, key: int, now_us: int) -> EncodedRow | None:
        """Return the counts of a key in the form in which they are sent; None if the window has none."""
        row = self.own.get(key)
        oldest = self.bucket(now_us) - self.window.slots
        found = {bucket: count for bucket, count in row.items() if bucket > oldest} if row else {}
        if not found:
            return None
        return key, *_newest_first(found)

    def merge(self, message: CounterMessage, now_us: int) -> bool:
        """Merge a message of a peer; returns False for a duplicate, or without room for its sender."""
        if not self.peers.accept(message):
            return False
        if self.peers.needs_room(message):
            self.sweep(now_us, force=True)
        return self.peers.merge(message, now_us)

    # Usage

    def estimate(self, key: int, now_us: int) -> float:
        """Return the usage of a key by all instances in the window that ends now, as far as known here."""
        return self.own_count(key, now_us) + self.peers.usage(key, now_us).now

    def own_count(self, key: int, now_us: int) -> float:
        """Return this instance's usage of a key in the window, including that before a restart."""
        row = self.own.get(key)
        end = (now_us - self.start_us) / self.window.bucket_us
        own = row.within(end, self.window.buckets) if row else 0.0
        return own + self.previous_usage(key, now_us)

    def shares_of(self, key: int, burst: float, now_us: int) -> tuple[float, float]:
        """Return this instance's share of a key's rate limit, and of its burst.

        The shares of all instances add up to one.

        The share of the rate is this instance's share of the usage. Each peer's usage is that of the window
        before its last message: in the window that ends now its later requests would be missing, and this
        share too large.

        The share of the burst is equal for all while the key is unused, and follows the usage more, the more
        there was of it before the current bucket. By usage alone, each instance would have the whole burst of
        an unused key; by equal shares alone, an instance that gets all of the traffic would refuse short
        bursts.

        Silent instances keep their equal share, unless `share_when_alone` is off; at the start all peers are
        silent.
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
        """Drop counts that have left the window; at most once per bucket, unless forced."""
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
    """Return the newest bucket, and the counts from it back to the oldest bucket."""
    newest = max(counts)
    return newest, tuple(counts.get(bucket, 0) for bucket in range(newest, min(counts) - 1, -1))


class TenantUsage:
    """Each tenant's share of the requests of all instances, if its allowance is for all of them together."""

    def __init__(self, counters: SharedCounters, names: Sequence[str], fleet_wide: frozenset[int]) -> None:
        self.counters = counters
        self.fleet_wide = fleet_wide
        self.keys = [key_of("tenant", name) for name in names]
        # Otherwise invented names, new with every request, could leave no room for the listed tenants.
        counters.reserved_keys = frozenset(self.keys)
        self._total = 0.0
        self._total_until_us = -1

    def record_request(self, tenant: int, now_us: int) -> None:
        """Count a request of a listed tenant, by its number."""
        if tenant < len(self.keys):
            self.counters.add(self.keys[tenant], now_us)

    def share(self, tenant: int, now_us: int) -> float:
        """Return a tenant's share; 0 if nothing is known, or if its allowance is for one instance."""
        if tenant not in self.fleet_wide:
            return 0.0
        if now_us > self._total_until_us:
            self._total = sum(self.counters.estimate(key, now_us) for key in self.keys)
            self._total_until_us = now_us + self.counters.window.bucket_us // CACHE_FRACTION
        if not self._total:
            return 0.0
        return min(1.0, self.counters.estimate(self.keys[tenant], now_us) / self._total)
