"""The data of shared counters: counts by time bucket, and the state of each replica.

There is a state-based grow-only counter (Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types", INRIA RR-7506, 2011) for each key and each bucket of time. Each replica writes only
its own counts, under its name and incarnation. Merging takes the larger count of each bucket, so the order,
the duplicates and the paths of messages make no difference. Pure: times are in microseconds.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import floor

MAX_COUNT = 2**32 - 1
HISTORY_BITS = 256  # datagrams of a sender that are remembered, to detect duplicates and losses
EncodedRow = tuple[int, int, tuple[int, ...]]  # key, newest bucket, its count and those before


def key_of(*parts: str) -> int:
    """Return the key for some names, the same on all instances."""
    text = "".join(f"{len(part)} {part}" for part in parts)
    return int.from_bytes(blake2b(text.encode("utf-8", "surrogateescape"), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class CountingWindow:
    """The sliding window and its buckets; all instances must use the same."""

    span_us: int
    buckets: int

    @property
    def bucket_us(self) -> int:
        """The length of one bucket in microseconds."""
        return self.span_us // self.buckets

    @property
    def slots(self) -> int:
        """The number of buckets that a window overlaps; those at both ends only in part."""
        return self.buckets + 1


class CounterRow:
    """One key's counts by bucket at one replica: the newest bucket and the few before it."""

    __slots__ = ("newest", "counts")

    def __init__(self, slots: int, newest: int = 0) -> None:
        self.newest = newest
        self.counts = array("I", [0] * slots)  # 4 bytes each, hence MAX_COUNT

    def advance(self, bucket: int) -> None:
        """Advance to a bucket, and drop those that become too old for the slots."""
        slots = len(self.counts)
        for dropped in range(max(self.newest, bucket - slots) + 1, bucket + 1):
            self.counts[dropped % slots] = 0
        self.newest = max(self.newest, bucket)

    def raise_to(self, bucket: int, count: int) -> None:
        """Merge one bucket: take the larger count."""
        if not count or bucket <= self.newest - len(self.counts):
            return
        self.advance(bucket)
        slot = bucket % len(self.counts)
        self.counts[slot] = max(self.counts[slot], min(count, MAX_COUNT))

    def add(self, bucket: int, count: int = 1) -> None:
        """Add to a bucket, up to MAX_COUNT."""
        self.advance(bucket)
        slot = bucket % len(self.counts)
        self.counts[slot] = min(MAX_COUNT, self.counts[slot] + count)

    def items(self) -> Iterator[tuple[int, int]]:
        """Yield the buckets that are not empty, the oldest first."""
        slots = len(self.counts)
        for bucket in range(self.newest - slots + 1, self.newest + 1):
            if self.counts[bucket % slots]:
                yield bucket, self.counts[bucket % slots]

    def merge(self, other: CounterRow) -> None:
        """Take the larger count of each bucket: commutative, associative, idempotent."""
        for bucket, count in other.items():
            self.raise_to(bucket, count)

    def within(self, end: float, buckets: int) -> float:
        """Return the count in a window of `buckets` that ends at a time, which is given in buckets.

        The bucket that the start of the window cuts counts by the fraction within it. Buckets after the end
        count as well.
        """
        start = end - buckets
        cut = floor(start)
        total = 0.0
        for bucket, count in self.items():
            if bucket > cut:
                total += count
            elif bucket == cut:
                total += count * (cut + 1 - start)
        return total

    def usage(self, end: float, buckets: int) -> tuple[float, float]:
        """Return the count in a window as in `within`, and the same without the current bucket."""
        total = self.within(end, buckets)
        if self.newest < floor(end):
            return total, total
        return total, max(0.0, total - self.counts[self.newest % len(self.counts)])


@dataclass(slots=True)
class PeerUsage:
    """The usage of a key by all peers together."""

    valid_until_us: int
    now: float = 0.0  # in the window that ends now
    last_heard: float = 0.0  # in the window before each peer's last message; without silent peers
    before_bucket: float = 0.0  # the same, without the bucket of that message


@dataclass(slots=True)
class ReplicaCounts:
    """The counts of one incarnation of one instance, as far as they are known here."""

    name: str
    incarnation: int
    clock_offset_us: float  # our clock minus its own; too large by at most its fastest datagram's delay
    first_heard_us: int
    last_heard_us: int
    last_sent_us: int  # by its own clock, of the latest datagram
    rows: dict[int, CounterRow] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PreviousIncarnation:
    """The counts of this instance before a restart, with times of the present clock."""

    name: str
    start_us: int  # the start of bucket 0
    span_us: int
    buckets: int
    rows: Mapping[int, tuple[int, tuple[int, ...]]]  # by key: newest bucket, its count and those before


@dataclass(frozen=True, slots=True)
class CounterMessage:
    """A replica's own counts of the keys in one datagram."""

    name: str
    incarnation: int
    sequence: int  # of the datagrams to this receiver
    sent_us: int  # since its start, by its own clock
    rows: tuple[EncodedRow, ...]


@dataclass(slots=True)
class DatagramHistory:
    """The datagrams of one incarnation, to detect duplicates and losses."""

    highest: int
    first: int
    received_bits: int = 1  # one bit for each of the last sequence numbers up to the highest

    def accept(self, sequence: int) -> bool:
        """Record a datagram; returns False for a duplicate, or if it is too old to tell."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.received_bits = (self.received_bits << min(ahead, HISTORY_BITS) | 1) & (
                1 << HISTORY_BITS
            ) - 1
            self.highest = sequence
        elif ahead <= -HISTORY_BITS or self.received_bits >> -ahead & 1:
            return False
        else:
            self.received_bits |= 1 << -ahead
        return True

    @property
    def loss(self) -> float:
        """The fraction of the last datagrams that have not arrived."""
        sent = min(HISTORY_BITS, self.highest - self.first + 1)
        return 1.0 - (self.received_bits & (1 << sent) - 1).bit_count() / sent
