"""The counts that peers send: their merge, bounds, clocks, and what peers use of a key.

Times are monotonic and each replica's own: they are mapped to this instance's clock by the fastest of its
datagrams. Pure: times are arguments, in microseconds.
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

MAX_REPLICAS = 512  # instances and their earlier incarnations whose windows are not over
MAX_INCARNATIONS = 8  # of one name, that are remembered
PEER_KEYS_FACTOR = 16  # all peers together may have so many times the keys of this instance
MAX_CLOCK_DRIFT = 0.001  # of a peer's clock: far more than real ones have
SWEEP_KEYS = 8_192  # of peers, in one sweep
CACHE_FRACTION = 16  # of a bucket's time, for one of which the sum over all peers is cached


@dataclass(slots=True)
class CounterLimits:
    """Bounds on the table of keys, and what holds while peers are silent."""

    max_keys: int = 4_096
    silence_timeout_us: int = 2_000_000  # a peer that was not heard for so long is silent
    # While peers are silent: take only the fraction of those that are heard, by number; else all of a limit.
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
        self.histories: dict[str, dict[int, DatagramHistory]] = {}  # the name heard last is at the end
        self.name_conflicts: dict[str, int] = {}  # names of two live instances, and when that was last seen
        # since the start
        self.duplicates = 0
        self.rejected_keys = 0  # that found no room
        self.rejected_datagrams = 0  # of replicas beyond the bounds
        self._usage: dict[int, PeerUsage] = {}

    # Merging

    def accept(self, message: CounterMessage) -> bool:
        """Whether a message is neither a duplicate nor of a forgotten incarnation.

        A replayed message would bring an earlier incarnation back, so incarnations are remembered for longer
        than their counts; once that memory is full, no older one is accepted.
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
        """Whether a message is of a new replica and the table of replicas is full."""
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
                # A bucket from the future would push all true ones out.
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
        """Note when a replica was heard, and how its clock differs from ours."""
        identity = message.name, message.incarnation
        offset_us = float(now_us - message.sent_us)
        replica = self.replicas.get(identity)
        if replica is None:
            replica = ReplicaCounts(*identity, offset_us, now_us, now_us, message.sent_us)
            self.replicas[identity] = replica
        # The fastest datagram tells the offset best; a slow drift is followed.
        drift_us = MAX_CLOCK_DRIFT * (now_us - replica.last_heard_us)
        replica.clock_offset_us = min(replica.clock_offset_us + drift_us, offset_us)
        replica.last_heard_us = now_us
        replica.last_sent_us = max(replica.last_sent_us, message.sent_us)
        self._detect_name_conflict(replica, message, now_us)
        return replica

    def _detect_name_conflict(self, replica: ReplicaCounts, message: CounterMessage, now_us: int) -> None:
        """Note two live instances under one name: both count, each under its own incarnation.

        The earlier one sends something after the later one was first heard; what an incarnation had sent
        before its end may arrive late and is none.
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
        """Return the fraction of a replica's datagrams that has not arrived."""
        history = self.histories.get(name, {}).get(incarnation)
        return history.loss if history is not None else 0.0

    def heard_count(self, now_us: int) -> int:
        """Return the number of replicas that are not silent."""
        return sum(not self._is_silent(replica, now_us) for replica in self.replicas.values())

    def _is_silent(self, replica: ReplicaCounts, now_us: int) -> bool:
        return now_us - replica.last_heard_us >= self.limits.silence_timeout_us

    def usage(self, key: int, now_us: int) -> PeerUsage:
        """Return what all peers have used of a key; cached for a while, as it is a sum over all of them."""
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
        """Drop what no window holds any more; of the keys a bounded number, so the loop is not delayed."""
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
            self.replicas[identity] = replica  # the replica swept last is at the end
            swept += len(replica.rows)
            bucket = int((now_us - replica.clock_offset_us) // self.window.bucket_us)
            oldest = bucket - self.window.slots
            for key in [key for key, row in replica.rows.items() if row.newest <= oldest]:
                del replica.rows[key]
                self.key_count -= 1
