"""The data of shared counters: counts by time bucket, and what is known of each replica.

A state-based grow-only counter (Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types", INRIA RR-7506, 2011) for each key and each bucket of time. Each replica writes its own
counts alone, under its name and an incarnation; they are merged by the larger count of each bucket, so order,
duplicates and paths make no difference. Pure: times are in microseconds.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b
from math import floor

MAX_COUNT = 2**32 - 1
HISTORY_BITS = 256  # the datagrams of a sender that are remembered, to detect duplicates and losses
EncodedRow = tuple[int, int, tuple[int, ...]]  # key, newest bucket, its count and those before it


def key_of(*parts: str) -> int:
    """Return the key of some names, the same at all instances."""
    text = "".join(f"{len(part)} {part}" for part in parts)
    return int.from_bytes(blake2b(text.encode("utf-8", "surrogateescape"), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class CountingWindow:
    """The sliding window, in buckets. All instances must have the same."""

    span_us: int
    buckets: int

    @property
    def bucket_us(self) -> int:
        """The length of one bucket in microseconds."""
        return self.span_us // self.buckets

    @property
    def slots(self) -> int:
        """Buckets that a window overlaps: one at each end in part."""
        return self.buckets + 1


class CounterRow:
    """One key's counts by bucket at one replica: the newest bucket and the few before it."""

    __slots__ = ("newest", "counts")

    def __init__(self, slots: int, newest: int = 0) -> None:
        self.newest = newest
        self.counts = array("I", [0] * slots)  # 4 bytes each: MAX_COUNT

    def advance(self, bucket: int) -> None:
        """Move on to a bucket, dropping those that are older than all slots."""
        slots = len(self.counts)
        for dropped in range(max(self.newest, bucket - slots) + 1, bucket + 1):
            self.counts[dropped % slots] = 0
        self.newest = max(self.newest, bucket)

    def raise_to(self, bucket: int, count: int) -> None:
        """Merge one bucket: the larger count holds."""
        if not count or bucket <= self.newest - len(self.counts):
            return
        self.advance(bucket)
        slot = bucket % len(self.counts)
        self.counts[slot] = max(self.counts[slot], min(count, MAX_COUNT))

    def add(self, bucket: int, count: int = 1) -> None:
        """Count in a bucket, up to MAX_COUNT."""
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
        """Return the count in the `buckets` before a point in time, which is given in buckets.

        Of the bucket that the window's start cuts the fraction within it counts; later buckets count too.
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
        """Return the count in the `buckets` before a point, and the same without the current bucket."""
        total = self.within(end, buckets)
        if self.newest < floor(end):
            return total, total
        return total, max(0.0, total - self.counts[self.newest % len(self.counts)])


@dataclass(slots=True)
class PeerUsage:
    """What all peers together have used of a key."""

    valid_until_us: int
    now: float = 0.0  # in the window that ends now
    last_heard: float = 0.0  # in the windows that ended when each was last heard; without silent peers
    before_bucket: float = 0.0  # the same, without the bucket that was current then


@dataclass(slots=True)
class ReplicaCounts:
    """The counts of one incarnation of one instance, as far as they are known here."""

    name: str
    incarnation: int
    clock_offset_us: float  # our clock less its own; too large by its fastest datagram's delay at most
    first_heard_us: int
    last_heard_us: int
    last_sent_us: int  # its own time of the latest datagram
    rows: dict[int, CounterRow] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class PreviousIncarnation:
    """The counts of this instance before a restart, their times by the present clock."""

    name: str
    start_us: int  # buckets are numbered from there
    span_us: int
    buckets: int
    rows: Mapping[int, tuple[int, tuple[int, ...]]]  # by key: the newest bucket, its count and those before


@dataclass(frozen=True, slots=True)
class CounterMessage:
    """A replica's own counts of the keys that one datagram holds."""

    name: str
    incarnation: int
    sequence: int  # of those to this receiver
    sent_us: int  # since its start, by its own clock
    rows: tuple[EncodedRow, ...]


@dataclass(slots=True)
class DatagramHistory:
    """The datagrams of one incarnation, to detect duplicates and losses."""

    highest: int
    first: int
    received_bits: int = 1  # a bit for each of the last ones up to the highest

    def accept(self, sequence: int) -> bool:
        """Record a datagram; returns whether it is no duplicate."""
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
        """The fraction of the last datagrams that has not arrived."""
        sent = min(HISTORY_BITS, self.highest - self.first + 1)
        return 1.0 - (self.received_bits & (1 << sent) - 1).bit_count() / sent
