"""The members that one instance knows, by state, and the queue of records to gossip."""

from __future__ import annotations

import enum
import math
import random
from collections.abc import Iterator
from dataclasses import replace

from plovertrail.decisions.membership import (
    CONFIRMATIONS,
    GOSSIP_FACTOR,
    Address,
    Member,
    MemberRecord,
    MemberState,
)

MAX_MEMBERS = 8_192  # a full table removes departed members first, and rejects records if there are none
RANDOM_RECORDS = 4  # added to a datagram at random, so that members converge even if gossip was lost
MAX_GOSSIP_RECORDS = 1_024  # queued; records beyond it still spread as random records


class MergeResult(enum.Enum):
    """The result of merging a record into the table."""

    OUTDATED = enum.auto()
    CONFLICT = enum.auto()  # equal precedence but another address: two instances use one name
    REJECTED = enum.auto()  # the table is full
    ADDED = enum.auto()
    UPDATED = enum.auto()


class GossipQueue:
    """Names of members whose records are gossiped, each until it was sent often enough."""

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}  # how often each was sent

    def __len__(self) -> int:
        """Return the number of queued names."""
        return len(self._sent)

    def add(self, name: str) -> None:
        """Queue a name; one that is queued already starts again from zero transmissions."""
        self._sent[name] = 0

    def trim(self) -> None:
        """Drop the name that was sent most often if there are too many."""
        if len(self._sent) > MAX_GOSSIP_RECORDS:
            del self._sent[max(self._sent, key=lambda name: self._sent[name])]

    def discard(self, name: str) -> None:
        """Remove a name if it is queued."""
        self._sent.pop(name, None)

    def clear(self) -> None:
        """Remove all names."""
        self._sent.clear()

    def take(self, limit: int, cluster_size: int) -> Iterator[str]:
        """Yield at most `limit` names that were sent least often, and count them as sent."""
        max_sent = GOSSIP_FACTOR * math.log2(cluster_size + 1)
        for name in sorted(self._sent, key=lambda each: self._sent[each])[:limit]:
            self._sent[name] += 1
            if self._sent[name] >= max_sent:
                del self._sent[name]
            yield name


class MemberTable:
    """The record of this instance, those of the other members, and the queue of records to gossip.

    Sets by state save each period and each datagram a scan of all members of a large cluster.
    """

    def __init__(self, me: MemberRecord, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.live: list[str] = []  # alive or suspect, in no particular order
        self.suspects: set[str] = set()
        self.departed: set[str] = set()  # dead or left
        self.gossip_queue = GossipQueue()
        self.name_conflicts: dict[str, Address] = {}  # by name, the address that uses it as well
        self.rejected = 0  # records that were invalid, or that the full table had no room for
        self.refuted = 0  # suspicions that the suspected members refuted
        self._live_index: dict[str, int] = {}  # positions in `live`

    @property
    def size(self) -> int:
        """The number of instances that are alive or suspect, this one included."""
        return 1 + len(self.live)

    # Merging

    def merge(self, record: MemberRecord, now_us: int) -> MergeResult:
        """Store another member's record if it overrides the known one."""
        result = self._merge(record, now_us)
        if result is MergeResult.CONFLICT:
            self.name_conflicts[record.name] = record.address
        elif result is MergeResult.REJECTED:
            self.rejected += 1
        elif result is not MergeResult.OUTDATED:
            self.gossip_queue.add(record.name)
            self.gossip_queue.trim()
        return result

    def suspect(self, record: MemberRecord, reporter: str, now_us: int) -> MergeResult:
        """Merge a suspicion of a member, or confirm it if it is suspected already."""
        member = self.members.get(record.name)
        suspect = replace(record, state=MemberState.SUSPECT)
        if member is not None and member.record.precedence == suspect.precedence:
            if reporter not in member.suspected_by and len(member.suspected_by) <= CONFIRMATIONS:
                member.suspected_by.add(reporter)
                self.gossip_queue.add(record.name)  # each new confirmation is gossiped
            return MergeResult.OUTDATED
        result = self.merge(suspect, now_us)
        if result in (MergeResult.ADDED, MergeResult.UPDATED):
            member = self.members[record.name]
            member.suspected_by = {reporter}
            member.suspected_at_us = now_us
        return result

    def replace_me(self, me: MemberRecord) -> None:
        """Replace the record of this instance, and gossip it."""
        self.me = me
        self.gossip_queue.add(me.name)

    def forget(self, name: str) -> None:
        """Remove a departed member."""
        del self.members[name]
        self.departed.discard(name)
        self.gossip_queue.discard(name)

    def _merge(self, record: MemberRecord, now_us: int) -> MergeResult:
        member = self.members.get(record.name)
        if member is None:
            return self._add(record, now_us)
        known = member.record
        if record.precedence <= known.precedence:
            same = record.precedence == known.precedence
            return MergeResult.CONFLICT if same and record.address != known.address else MergeResult.OUTDATED
        self.refuted += known.state is MemberState.SUSPECT and record.state is MemberState.ALIVE
        if record.state is not known.state:
            member.state_since_us = now_us
            member.paused_us = 0
        member.record = record
        member.suspected_by = set()
        self._index(record)
        return MergeResult.UPDATED

    def _add(self, record: MemberRecord, now_us: int) -> MergeResult:
        if record.state >= MemberState.DEAD:
            return MergeResult.OUTDATED  # an unknown member need not be added as departed
        if len(self.members) >= MAX_MEMBERS and not self._make_room():
            return MergeResult.REJECTED
        self.members[record.name] = Member(record, now_us)
        self._index(record)
        return MergeResult.ADDED

    # Reading

    def sample(self, limit: int) -> list[MemberRecord]:
        """Return at most `limit` records of live members, chosen at random."""
        names = self.rng.sample(self.live, min(limit, len(self.live)))
        return [self.members[name].record for name in names]

    def updates_to_gossip(self, limit: int, recipient: str = "") -> list[MemberRecord]:
        """Choose at most `limit` records for a datagram.

        First the recipient's record unless it is alive, then queued ones that were sent least often, then
        random ones.
        """
        chosen: dict[str, MemberRecord] = {}
        member = self.members.get(recipient)
        if member is not None and member.record.state is not MemberState.ALIVE:
            chosen[recipient] = member.record
        for name in self.gossip_queue.take(limit - len(chosen), self.size):
            record = self._record_to_gossip(name)
            if record is not None:
                chosen[name] = record
        for record in self.sample(min(limit - len(chosen), RANDOM_RECORDS)):
            chosen.setdefault(record.name, record)
        return list(chosen.values())[:limit]

    def _record_to_gossip(self, name: str) -> MemberRecord | None:
        if name == self.me.name:
            return self.me
        member = self.members.get(name)
        return member.record if member is not None else None

    def dead_records(self) -> list[MemberRecord]:
        """Return the records of members that are dead, but not of those that left, sorted by name."""
        records = [self.members[name].record for name in sorted(self.departed)]
        return [record for record in records if record.state is MemberState.DEAD]

    def _make_room(self) -> bool:
        if not self.departed:
            return False
        self.forget(min(sorted(self.departed), key=lambda name: self.members[name].state_since_us))
        return True

    def _index(self, record: MemberRecord) -> None:
        """Put a member into the sets for its state, and remove it from the others."""
        name = record.name
        is_live = record.state < MemberState.DEAD
        if is_live and name not in self._live_index:
            self._live_index[name] = len(self.live)
            self.live.append(name)
        elif not is_live and name in self._live_index:
            self._remove_live(name)
        if record.state is MemberState.SUSPECT:
            self.suspects.add(name)
        else:
            self.suspects.discard(name)
        if is_live:
            self.departed.discard(name)
        else:
            self.departed.add(name)

    def _remove_live(self, name: str) -> None:
        """Remove a name from `live` in constant time by moving the last one to its position."""
        index = self._live_index.pop(name)
        last = self.live.pop()
        if last != name:
            self.live[index] = last
            self._live_index[last] = index
