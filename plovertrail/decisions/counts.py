"""Usage by key summed over instances that talk, with no leader: a replicated counter over a sliding window.

A state-based grow-only counter (Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types", INRIA RR-7506, 2011) for each key and each bucket of time. Each instance writes its
own part alone, under its name and an incarnation; parts are joined by the larger count of each bucket, so it
makes no difference in which order they come, how often, or by which way. Times are monotonic and each
instance's own: a part's are mapped to ours by the quickest of its datagrams. Pure: times are arguments, in
microseconds.
"""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from hashlib import blake2b
from itertools import islice
from math import floor

MOST_PARTS = 512  # instances and earlier incarnations of them, whose windows are not over
MOST_INCARNATIONS = 8  # of one name, that are remembered
OVERFLOW_KEYS = 64  # for keys that find no place: they count together, so a limit holds them more, never less
PEER_KEYS_TIMES = 16  # all peers together may have so many times the keys that we may have
DRIFT = 0.001  # by which another's clock may run faster or slower: far more than real ones do
MOST_COUNT = 2**32 - 1
SEEN = 256  # datagrams that are remembered of each sender, to tell repeats and losses
KEYS_A_SWEEP = 8_192  # of peers, looked at for what is over; a part's last ones may be as many again
KEPT_PARTS = 16  # of a bucket's time, for one of which a sum over all peers is kept


@dataclass(frozen=True, slots=True)
class Window:
    """The span that is counted over, in buckets. All instances must have the same."""

    span_us: int
    buckets: int

    @property
    def bucket_us(self) -> int:
        """The length of one bucket in microseconds."""
        return self.span_us // self.buckets

    @property
    def slots(self) -> int:
        """Buckets that a window touches: one at each end is there in part."""
        return self.buckets + 1


class Row:
    """One key's counts by bucket, of one instance: the newest bucket and the few before it."""

    __slots__ = ("newest", "counts")

    def __init__(self, slots: int, newest: int = 0) -> None:
        self.newest = newest
        self.counts = array("I", [0] * slots)  # 4 bytes each: MOST_COUNT

    def advance(self, bucket: int) -> None:
        """Make room up to a bucket; what is older than all slots is forgotten."""
        slots = len(self.counts)
        for gone in range(max(self.newest, bucket - slots) + 1, bucket + 1):
            self.counts[gone % slots] = 0
        self.newest = max(self.newest, bucket)

    def raise_to(self, bucket: int, count: int) -> None:
        """Join one bucket: the larger count stays."""
        if not count or bucket <= self.newest - len(self.counts):
            return
        self.advance(bucket)
        place = bucket % len(self.counts)
        self.counts[place] = max(self.counts[place], min(count, MOST_COUNT))

    def add(self, bucket: int, count: int = 1) -> None:
        """Count in the bucket with this number; a count stops at MOST_COUNT."""
        self.advance(bucket)
        place = bucket % len(self.counts)
        self.counts[place] = min(MOST_COUNT, self.counts[place] + count)

    def items(self) -> Iterator[tuple[int, int]]:
        """The buckets that hold anything, the oldest first."""
        slots = len(self.counts)
        for bucket in range(self.newest - slots + 1, self.newest + 1):
            if self.counts[bucket % slots]:
                yield bucket, self.counts[bucket % slots]

    def join(self, other: Row) -> None:
        """Take the larger of both in each bucket: commutative, associative, idempotent."""
        for bucket, count in other.items():
            self.raise_to(bucket, count)

    def within(self, at: float, buckets: int) -> float:
        """What was counted in the `buckets` before a place in time, itself in buckets; of the one that the
        window's beginning cuts, the part that lies in it. Buckets after that place count as well."""
        begins = at - buckets
        cut = floor(begins)
        whole = 0.0
        for bucket, count in self.items():
            if bucket > cut:
                whole += count
            elif bucket == cut:
                whole += count * (cut + 1 - begins)
        return whole

    def usage(self, at: float, buckets: int) -> tuple[float, float]:
        """What was counted in the `buckets` before a place, and how much before the bucket that runs."""
        whole = self.within(at, buckets)
        runs = self.newest >= floor(at)
        return whole, max(0.0, whole - self.counts[self.newest % len(self.counts)]) if runs else whole


@dataclass(slots=True)
class Others:
    """What all peers together have used of a key."""

    until_us: int  # for so long it is taken as it is
    now: float = 0.0  # in the window that ends now
    told: float = 0.0  # in those that ended when each was last heard; without the silent ones
    before: float = 0.0  # the same, without the bucket that ran then


@dataclass(slots=True)
class Part:
    """What one incarnation of one instance has counted, as far as it is known here."""

    name: str
    incarnation: int
    offset_us: float  # our clock less its own: at most by its quickest datagram's delay too large
    first_us: int  # our time when it was first heard
    heard_us: int  # and last
    sent_us: int  # its own time of the latest datagram
    rows: dict[int, Row] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Former:
    """What this instance counted before it was started again, its times by the present clock."""

    name: str
    start_us: int  # buckets are numbered from there
    span_us: int
    buckets: int
    rows: Mapping[int, tuple[int, tuple[int, ...]]]  # by key: the newest bucket, its count and those before


@dataclass(frozen=True, slots=True)
class Message:
    """One instance's own part, or the keys of it that one datagram holds."""

    name: str
    incarnation: int
    sequence: int  # of those to this receiver
    sent_us: int  # since its start, by its own clock
    rows: tuple[tuple[int, int, tuple[int, ...]], ...]  # key, newest bucket, counts of it and those before


@dataclass(slots=True)
class Heard:
    """The datagrams of one incarnation, to tell repeats and losses."""

    highest: int
    first: int
    seen: int = 1  # a bit for each of the last ones up to the highest

    def fresh(self, sequence: int) -> bool:
        """Whether a datagram is none that has come before."""
        ahead = sequence - self.highest
        if ahead > 0:
            self.seen = (self.seen << min(ahead, SEEN) | 1) & (1 << SEEN) - 1
            self.highest = sequence
        elif ahead <= -SEEN or self.seen >> -ahead & 1:
            return False
        else:
            self.seen |= 1 << -ahead
        return True

    @property
    def lost(self) -> float:
        """The share of the last ones sent to us that has not come."""
        sent = min(SEEN, self.highest - self.first + 1)
        return 1.0 - (self.seen & (1 << sent) - 1).bit_count() / sent


class Counts:
    """All that one instance knows of the fleet's usage. `alone_share`: of a limit we take, while some are
    silent, no more than what those that are heard have by number; else all of it."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        window: Window,
        now_us: int,
        *,
        most_keys: int = 4_096,
        silent_us: int = 2_000_000,
        alone_share: bool = True,
    ) -> None:
        self.name = name
        self.incarnation = incarnation
        self.window = window
        self.start_us = now_us
        self.most_keys = most_keys
        self.silent_us = silent_us  # one that was not heard for so long is silent
        self.alone_share = alone_share
        self.size = 1  # instances, as listed
        self.own: dict[int, Row] = {}
        self.parts: dict[tuple[str, int], Part] = {}
        self.peer_keys = 0
        self.heard: dict[str, dict[int, Heard]] = {}
        self.twins: dict[str, int] = {}  # names that two instances use at once, and when that was last seen
        self.changed: dict[int, int] = {}  # of our keys, what was counted since it last went out
        self.rested: dict[int, int] = {}  # and rounds since then
        self.round = 0
        self.swept_us = now_us
        self.others: dict[int, Others] = {}
        self.listed: frozenset[int] = frozenset()  # keys that always find a place, as they are few
        # what this instance counted before a restart: peers know it by its earlier incarnation, and it is
        # never sent again
        self.former: dict[int, Row] = {}
        self.former_start_us = 0
        # since the start
        self.without_place = 0  # counts of keys that share an entry
        self.refused_keys = 0  # of peers, that found no room
        self.repeats = 0
        self.too_many = 0  # datagrams of instances or incarnations beyond the bound

    # What is counted here

    def add(self, key: int, now_us: int, count: int = 1) -> int:
        """A request of a key has come; returns the key that it counts under."""
        if key not in self.own and len(self.own) >= self.most_keys and key not in self.listed:
            self.sweep(now_us)
            if len(self.own) >= self.most_keys:
                self.without_place += count
                key %= OVERFLOW_KEYS
        row = self.own.get(key)
        if row is None:
            row = self.own[key] = Row(self.window.slots)
        row.add(self.bucket(now_us), count)
        self.changed[key] = self.changed.get(key, 0) + count
        return key

    def remembered(self, keys: Iterable[int]) -> dict[int, tuple[int, tuple[int, ...]]]:
        """Of some keys what has been counted here, as `Former` has it, from `remembered_from_us` on. Hazard:
        killed twice in a window, what it counted at first would be forgotten; so both are laid together, the
        later ones up to a bucket too late, which holds a limit for that much longer."""
        shift = -(-(self.start_us - self.remembered_from_us) // self.window.bucket_us)
        found = {}
        for key in keys:
            counted = dict(row.items()) if (row := self.former.get(key)) is not None else {}
            for bucket, count in row.items() if (row := self.own.get(key)) is not None else ():
                counted[bucket + shift] = counted.get(bucket + shift, 0) + count
            if counted:
                newest = max(counted)
                found[key] = (
                    newest,
                    tuple(counted.get(bucket, 0) for bucket in range(newest, min(counted) - 1, -1)),
                )
        return found

    @property
    def remembered_from_us(self) -> int:
        """The time from which on usage is known, before a restart included."""
        return self.former_start_us if self.former else self.start_us

    def recall(self, old: Former, now_us: int) -> bool:
        """Count on from before a restart; whether that is of use. Hazard: it would go out once more under
        the new incarnation, and peers would have it twice: so it counts here alone. By a clock that was set
        it could lie ahead, and never end."""
        same_window = (old.span_us, old.buckets) == (self.window.span_us, self.window.buckets)
        if old.name != self.name or not same_window or old.start_us > now_us:
            return False
        self.former_start_us, self.former = old.start_us, {}
        runs = (now_us - old.start_us) // self.window.bucket_us
        for key, (newest, counts) in islice(old.rows.items(), self.most_keys):
            row = Row(self.window.slots)
            for age, count in enumerate(counts):
                if 0 <= newest - age <= runs + 1:
                    row.raise_to(newest - age, count)
            self.former[key] = row
        return True

    def former_usage(self, key: int, now_us: int) -> float:
        """What was counted here before a restart, in the window that ends now."""
        row = self.former.get(key)
        at = (now_us - self.former_start_us) / self.window.bucket_us
        return row.within(at, self.window.buckets) if row is not None else 0.0

    def bucket(self, now_us: int) -> int:
        """The number of the bucket that a time lies in, from 0 at the start of these counts."""
        return max(0, now_us - self.start_us) // self.window.bucket_us

    # What goes out

    def urgent(self, most: int, fit: int) -> list[int]:
        """The keys that go out next, at most so many, where about `fit` go at once: those with most change
        first. Hazard: one that changes little must reach all too, and one that does not change any more
        those who lost it; so after twice the rounds that all keys take in turn it goes before others."""
        self.round += 1
        overdue = 2 * -(-len(self.own) // max(1, fit))

        def urgency(key: int) -> tuple[bool, int]:
            return self.round - self.rested.get(key, -overdue) >= overdue, self.changed.get(key, 0)

        return heapq.nlargest(most, self.own, key=urgency)

    def went(self, keys: Iterable[int]) -> None:
        """These have gone to all who were to hear of them in this round."""
        for key in keys:
            self.changed.pop(key, None)
            self.rested[key] = self.round

    def row_out(self, key: int, now_us: int) -> tuple[int, int, tuple[int, ...]] | None:
        """A key's counts as they are sent: the newest bucket, and counts back to the oldest that holds
        any."""
        row = self.own.get(key)
        oldest = self.bucket(now_us) - self.window.slots
        found = {bucket: count for bucket, count in row.items() if bucket > oldest} if row else {}
        if not found:
            return None
        newest = max(found)
        return key, newest, tuple(found.get(bucket, 0) for bucket in range(newest, min(found) - 1, -1))

    # What comes in

    def take(self, message: Message, now_us: int) -> bool:
        """Join what another has sent; whether it was no repeat. Hazard: one that was caught and is sent again
        would bring an earlier incarnation back, so what is remembered of a name is kept longer than its
        parts; an older one that is not remembered is not taken once that is full."""
        if (message.name, message.incarnation) == (self.name, self.incarnation):
            self.repeats += 1
            return False
        # those heard last stand at the end
        known = self.heard[message.name] = self.heard.pop(message.name, {})
        heard = known.get(message.incarnation)
        if heard is None:
            if len(known) >= MOST_INCARNATIONS and message.incarnation < min(known):
                self.too_many += 1
                return False
            if len(self.heard) > MOST_PARTS:
                del self.heard[next(iter(self.heard))]
            if len(known) >= MOST_INCARNATIONS:
                del known[min(known)]
            known[message.incarnation] = Heard(message.sequence, message.sequence)
        elif not heard.fresh(message.sequence):
            self.repeats += 1
            return False
        part = self._part(message, now_us)
        if part is None:
            self.too_many += 1
            return False
        for key, newest, counts in message.rows:
            row = part.rows.get(key)
            if row is None:
                if self.peer_keys >= PEER_KEYS_TIMES * self.most_keys or len(part.rows) >= 2 * self.most_keys:
                    self.refused_keys += 1
                    continue
                row = part.rows[key] = Row(self.window.slots)
                self.peer_keys += 1
            # hazard: a bucket from far ahead would push all true ones out
            ahead = message.sent_us // self.window.bucket_us + 1
            told = Row(self.window.slots)
            for age, count in enumerate(counts):
                if 0 <= newest - age <= ahead:
                    told.raise_to(newest - age, count)
            row.join(told)
        return True

    def _part(self, message: Message, now_us: int) -> Part | None:
        ident = message.name, message.incarnation
        part = self.parts.get(ident)
        offset_us = float(now_us - message.sent_us)
        if part is None:
            if len(self.parts) >= MOST_PARTS:
                self.sweep(now_us, at_once=True)
                if len(self.parts) >= MOST_PARTS:
                    return None
            part = self.parts[ident] = Part(*ident, offset_us, now_us, now_us, message.sent_us)
        # its quickest datagram tells best how its clock and ours lie; a slow drift is followed
        drift_us = DRIFT * (now_us - part.heard_us)
        part.offset_us = min(part.offset_us + drift_us, offset_us)
        part.heard_us = now_us
        part.sent_us = max(part.sent_us, message.sent_us)
        self._look_for_twins(part, message, now_us)
        return part

    def _look_for_twins(self, part: Part, message: Message, now_us: int) -> None:
        """Two live instances under one name: the earlier one says something that it sent after the later one
        was first heard. Both count, each under its own incarnation; only that is told. Hazard: what an
        earlier incarnation had sent before its end may come late."""
        sent_us = message.sent_us + part.offset_us - self.silent_us
        other_us = [
            other.first_us
            for (name, incarnation), other in self.parts.items()
            if name == part.name
            and incarnation != part.incarnation
            and other.first_us >= part.first_us
            and now_us - other.heard_us < self.silent_us
        ]
        if part.name == self.name:
            other_us.append(self.start_us)
        if any(sent_us > first_us for first_us in other_us):
            self.twins[part.name] = now_us

    # What it comes to

    def estimate(self, key: int, now_us: int) -> float:
        """The fleet's usage of a key over the window that ends now, as far as it is known here."""
        return self.own_count(key, now_us) + self._others(key, now_us).now

    def own_count(self, key: int, now_us: int) -> float:
        """What this instance has counted under a key within the window, before a restart included."""
        row = self.own.get(key)
        at = (now_us - self.start_us) / self.window.bucket_us
        return (row.within(at, self.window.buckets) if row else 0.0) + self.former_usage(key, now_us)

    def parts_of(self, key: int, burst: float, now_us: int) -> tuple[float, float]:
        """What this instance may have of a key's limit, of its rate and of its burst.

        Of the rate: its share of the usage, each peer's taken as it was when last heard, lest all that is
        not known yet of the others counts as nobody's. Of the burst: by number, as if each had used one, and
        the more by usage the more there was of it before the bucket that runs. Hazard: by usage alone, all
        would have the whole burst of a key that none has used; by number alone, one that has all of the
        traffic would refuse what comes a bit thick. All parts add up to one. Silent instances keep theirs by
        number, unless each may have all of it then. Hazard: all start at one moment, and none has heard of
        another yet."""
        at, row, size = (now_us - self.start_us) / self.window.bucket_us, self.own.get(key), max(1, self.size)
        own, own_before = row.usage(at, self.window.buckets) if row is not None else (0.0, 0.0)
        if self.former:
            former = self.former_usage(key, now_us)
            own, own_before = own + former, own_before + former
        others = self._others(key, now_us)
        in_reach = min(1.0, (1 + self.count_heard(now_us)) / size) if self.alone_share else 1.0
        own = max(1.0, own)
        of_burst = (burst + own_before * in_reach) / (own_before + others.before + burst * size)
        return own / (own + others.told) * in_reach, of_burst

    def count_heard(self, now_us: int) -> int:
        """Other instances that are not silent."""
        return sum(now_us - part.heard_us < self.silent_us for part in self.parts.values())

    def _others(self, key: int, now_us: int) -> Others:
        """What all peers have used of a key. Kept for a while, as all of them are gone through for it."""
        found = self.others.get(key)
        if found is not None and now_us < found.until_us:
            return found
        bucket_us, buckets = self.window.bucket_us, self.window.buckets
        found = Others(now_us + bucket_us // KEPT_PARTS)
        for part in self.parts.values():
            row = part.rows.get(key)
            if row is not None:
                found.now += row.within((now_us - part.offset_us) / bucket_us, buckets)
                if now_us - part.heard_us < self.silent_us:
                    told, before = row.usage(part.sent_us / bucket_us, buckets)
                    found.told += told
                    found.before += before
        if len(self.others) > 2 * self.most_keys:
            self.others.clear()
        self.others[key] = found
        return found

    def sweep(self, now_us: int, at_once: bool = False) -> None:
        """Forget what no window holds any more; at most once in a bucket's time, and of the peers' keys so
        many at a time. Hazard: all of them at once would hold the loop up."""
        if now_us - self.swept_us < self.window.bucket_us and not at_once:
            return
        self.swept_us = now_us
        oldest = self.bucket(now_us) - self.window.slots
        for key in [key for key, row in self.own.items() if row.newest <= oldest]:
            del self.own[key]
            self.changed.pop(key, None)
            self.rested.pop(key, None)
        if self.former and now_us - self.start_us > self.window.span_us + self.window.bucket_us:
            self.former = {}  # no window holds any of it
        kept_us = self.window.span_us + self.window.bucket_us + self.silent_us
        for ident, part in list(self.parts.items()):
            if now_us - part.heard_us > kept_us:
                del self.parts[ident]
                self.peer_keys -= len(part.rows)
        looked_at = 0
        for ident in list(self.parts):
            if looked_at >= KEYS_A_SWEEP:
                break
            part = self.parts[ident] = self.parts.pop(ident)  # those looked at last stand at the end
            looked_at += len(part.rows)
            oldest = int((now_us - part.offset_us) // self.window.bucket_us) - self.window.slots
            for key in [key for key, row in part.rows.items() if row.newest <= oldest]:
                del part.rows[key]
                self.peer_keys -= 1
        self.others = {key: found for key, found in self.others.items() if now_us < found.until_us}
        self.twins = {
            name: at_us
            for name, at_us in self.twins.items()
            if now_us - at_us < self.window.span_us + self.silent_us
        }


def key_of(*parts: str) -> int:
    """The key that requests count under, the same at all instances."""
    text = "".join(f"{len(part)} {part}" for part in parts)
    return int.from_bytes(blake2b(text.encode("utf-8", "surrogateescape"), digest_size=8).digest())


class TenantUse:
    """Each tenant's share of all that the fleet is asked for, where its allowance is for all instances."""

    def __init__(self, counts: Counts, names: Sequence[str], fleet_wide: frozenset[int]) -> None:
        self.counts = counts
        self.keys = [key_of("tenant", name) for name in names]
        # hazard: names made up on every request would push the listed tenants out of the table
        counts.listed = frozenset(self.keys)
        self.fleet_wide = fleet_wide
        self.whole = 0.0
        self.known_us = -1  # until when the sum holds

    def came(self, tenant: int, now_us: int) -> None:
        """A request of a listed tenant, by its number, has come."""
        if tenant < len(self.keys):
            self.counts.add(self.keys[tenant], now_us)

    def share(self, tenant: int, now_us: int) -> float:
        """Its share; 0 = nothing is known, or its allowance is for one instance."""
        if tenant not in self.fleet_wide:
            return 0.0
        if now_us > self.known_us:
            self.whole = sum(self.counts.estimate(key, now_us) for key in self.keys)
            self.known_us = now_us + self.counts.window.bucket_us // KEPT_PARTS
        return min(1.0, self.counts.estimate(self.keys[tenant], now_us) / self.whole) if self.whole else 0.0
