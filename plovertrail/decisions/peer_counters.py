"""The counts that peers send: merging, bounds, clock offsets, and the peers' usage of a key.

A replica's times are of its own monotonic clock. They are mapped to this instance's clock by the replica's
fastest datagram. Pure: times are arguments, in microseconds.
"""

from __future__ import annotations

from dataclasses import dataclass

from plovertrail.decisions.counter_rows import (
    CounterMessage,
    CounterRow,
    CountingWindow,
    DatagramHistory,
    PeerUsage,
    ReplicaCounts,
)

MAX_REPLICAS = 512  # instances, and earlier incarnations with counts in the window
MAX_INCARNATIONS = 8  # remembered of one name
PEER_KEYS_FACTOR = 16  # all peers together may have this many times `max_keys`
MAX_CLOCK_DRIFT = 0.001  # relative, of a peer's clock: far more than real clocks drift
SWEEP_KEYS = 8_192  # of peers, looked at in one sweep
CACHE_FRACTION = 16  # the sum over all peers is cached for a bucket's time divided by this


@dataclass(slots=True)
class CounterLimits:
    """The bound on the table of keys, and the rules for silent peers."""

    max_keys: int = 4_096
    silence_timeout_us: int = 2_000_000  # a peer is silent after this long without a message
    # While peers are silent, use only the fraction of a limit for the instances heard; otherwise all of it.
    share_when_alone: bool = True


@dataclass(frozen=True, slots=True)
class ReplicaIdentity:
    """One incarnation of this instance."""

    name: str
    incarnation: int
    start_us: int


class PeerCounters:
    """The counts of all peers, merged by the larger count of each bucket."""

    def __init__(self, identity: ReplicaIdentity, window: CountingWindow, limits: CounterLimits) -> None:
        self.identity = identity
        self.window = window
        self.limits = limits
        self.replicas: dict[tuple[str, int], ReplicaCounts] = {}  # by name and incarnation
        self.key_count = 0  # of all replicas
        # by name, the last sender at the end, and by incarnation
        self.histories: dict[str, dict[int, DatagramHistory]] = {}
        self.name_conflicts: dict[str, int] = {}  # by name of two live instances: when that was last seen
        # Counts since the start.
        self.duplicates = 0
        self.rejected_keys = 0  # without room
        self.rejected_datagrams = 0  # of replicas without room, or of forgotten incarnations
        self._usage: dict[int, PeerUsage] = {}

    # Merging

    def accept(self, message: CounterMessage) -> bool:
        """Record a message; returns whether it is neither a duplicate nor of a forgotten incarnation.

        A replayed message would bring back the counts of an earlier incarnation, so incarnations are
        remembered for longer than their counts. Once the memory is full, none older than those in it is
        accepted.
        """
        if (message.name, message.incarnation) == (self.identity.name, self.identity.incarnation):
            self.duplicates += 1
            return False
        known = self.histories.pop(message.name, {})
        self.histories[message.name] = known
        history = known.get(message.incarnation)
        if history is not None:
            accepted = history.accept(message.sequence)
            self.duplicates += not accepted
            return accepted
        if len(known) >= MAX_INCARNATIONS and message.incarnation < min(known):
            self.rejected_datagrams += 1
            return False
        if len(self.histories) > MAX_REPLICAS:
            del self.histories[next(iter(self.histories))]
        if len(known) >= MAX_INCARNATIONS:
            del known[min(known)]
        known[message.incarnation] = DatagramHistory(message.sequence, message.sequence)
        return True

    def needs_room(self, message: CounterMessage) -> bool:
        """Return whether a message is of a new replica and the table of replicas is full."""
        is_new = (message.name, message.incarnation) not in self.replicas
        return is_new and len(self.replicas) >= MAX_REPLICAS

    def merge(self, message: CounterMessage, now_us: int) -> bool:
        """Merge an accepted message; returns False if there is no room for its replica."""
        if self.needs_room(message):
            self.rejected_datagrams += 1
            return False
        replica = self._record_heard(message, now_us)
        latest = message.sent_us // self.window.bucket_us + 1
        for key, newest, counts in message.rows:
            row = replica.rows.get(key)
            if row is None:
                row = self._new_row(replica, key)
                if row is None:
                    continue
            received = CounterRow(self.window.slots)
            for age, count in enumerate(counts):
                # A bucket in the future would evict all valid ones.
                if 0 <= newest - age <= latest:
                    received.raise_to(newest - age, count)
            row.merge(received)
        return True

    def _new_row(self, replica: ReplicaCounts, key: int) -> CounterRow | None:
        max_keys = self.limits.max_keys
        if self.key_count >= PEER_KEYS_FACTOR * max_keys or len(replica.rows) >= 2 * max_keys:
            self.rejected_keys += 1
            return None
        row = CounterRow(self.window.slots)
        replica.rows[key] = row
        self.key_count += 1
        return row

    def _record_heard(self, message: CounterMessage, now_us: int) -> ReplicaCounts:
        """Record the time of a message and the offset of its replica's clock."""
        identity = message.name, message.incarnation
        offset_us = float(now_us - message.sent_us)
        replica = self.replicas.get(identity)
        if replica is None:
            replica = ReplicaCounts(*identity, offset_us, now_us, now_us, message.sent_us)
            self.replicas[identity] = replica
        # The fastest datagram gives the best offset; clock drift is followed slowly.
        drift_us = MAX_CLOCK_DRIFT * (now_us - replica.last_heard_us)
        replica.clock_offset_us = min(replica.clock_offset_us + drift_us, offset_us)
        replica.last_heard_us = now_us
        replica.last_sent_us = max(replica.last_sent_us, message.sent_us)
        self._detect_name_conflict(replica, message, now_us)
        return replica

    def _detect_name_conflict(self, replica: ReplicaCounts, message: CounterMessage, now_us: int) -> None:
        """Record a conflict between two live instances of one name; both count, by their incarnations.

        It is a conflict if the earlier one sent a message after the later one was first heard. Messages that
        an incarnation sent before it ended may arrive late, and are no conflict.
        """
        silence_us = self.limits.silence_timeout_us
        sent_us = message.sent_us + replica.clock_offset_us - silence_us
        later_starts_us = [
            other.first_heard_us
            for (name, incarnation), other in self.replicas.items()
            if name == replica.name
            and incarnation != replica.incarnation
            and other.first_heard_us >= replica.first_heard_us
            and now_us - other.last_heard_us < silence_us
        ]
        if replica.name == self.identity.name:
            later_starts_us.append(self.identity.start_us)
        if any(sent_us > start_us for start_us in later_starts_us):
            self.name_conflicts[replica.name] = now_us

    # Reading

    def loss_of(self, name: str, incarnation: int) -> float:
        """Return the fraction of a replica's recent datagrams that has not arrived."""
        history = self.histories.get(name, {}).get(incarnation)
        return history.loss if history is not None else 0.0

    def heard_count(self, now_us: int) -> int:
        """Return the number of replicas that are not silent."""
        return sum(not self._is_silent(replica, now_us) for replica in self.replicas.values())

    def _is_silent(self, replica: ReplicaCounts, now_us: int) -> bool:
        return now_us - replica.last_heard_us >= self.limits.silence_timeout_us

    def usage(self, key: int, now_us: int) -> PeerUsage:
        """Return the usage of a key by all peers; cached for a while, as it is a sum over all replicas."""
        cached = self._usage.get(key)
        if cached is not None and now_us < cached.valid_until_us:
            return cached
        bucket_us = self.window.bucket_us
        buckets = self.window.buckets
        found = PeerUsage(now_us + bucket_us // CACHE_FRACTION)
        for replica in self.replicas.values():
            row = replica.rows.get(key)
            if row is None:
                continue
            found.now += row.within((now_us - replica.clock_offset_us) / bucket_us, buckets)
            if not self._is_silent(replica, now_us):
                last_heard, before_bucket = row.usage(replica.last_sent_us / bucket_us, buckets)
                found.last_heard += last_heard
                found.before_bucket += before_bucket
        if len(self._usage) > 2 * self.limits.max_keys:
            self._usage.clear()
        self._usage[key] = found
        return found

    # Sweeping

    def sweep(self, now_us: int) -> None:
        """Drop counts that have left the window; a bounded number of keys, not to delay the event loop."""
        bucket_us = self.window.bucket_us
        silence_us = self.limits.silence_timeout_us
        kept_us = self.window.span_us + bucket_us + silence_us
        for identity, replica in list(self.replicas.items()):
            if now_us - replica.last_heard_us > kept_us:
                del self.replicas[identity]
                self.key_count -= len(replica.rows)
        self._sweep_rows(now_us)
        self._usage = {key: usage for key, usage in self._usage.items() if now_us < usage.valid_until_us}
        self.name_conflicts = {
            name: seen_us
            for name, seen_us in self.name_conflicts.items()
            if now_us - seen_us < self.window.span_us + silence_us
        }

    def _sweep_rows(self, now_us: int) -> None:
        swept = 0
        for identity in list(self.replicas):
            if swept >= SWEEP_KEYS:
                break
            replica = self.replicas.pop(identity)
            self.replicas[identity] = replica  # the last replica swept is at the end
            swept += len(replica.rows)
            bucket = int((now_us - replica.clock_offset_us) // self.window.bucket_us)
            oldest = bucket - self.window.slots
            for key in [key for key, row in replica.rows.items() if row.newest <= oldest]:
                del replica.rows[key]
                self.key_count -= 1
