"""The members that one instance knows, by state, and which of their records are still to be gossiped."""

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

MAX_MEMBERS = 8_192  # whatever is gossiped; the dead are forgotten first
RANDOM_RECORDS = 4  # that fill a datagram up, so that members converge even if gossip was lost
MAX_GOSSIP_RECORDS = 1_024  # the others are spread by the records that are sampled at random


class MergeResult(enum.Enum):
    """What became of a record that was merged into the table."""

    OUTDATED = enum.auto()
    CONFLICT = enum.auto()  # the same record from another address: a name is used twice
    REJECTED = enum.auto()  # the table is full
    ADDED = enum.auto()
    UPDATED = enum.auto()


class GossipQueue:
    """Names whose records are gossiped, each until it went out often enough."""

    def __init__(self) -> None:
        self._sent: dict[str, int] = {}  # how often each went out

    def __len__(self) -> int:
        """Count the names that are queued."""
        return len(self._sent)

    def add(self, name: str) -> None:
        """Queue a name, or begin again with one that is queued."""
        self._sent[name] = 0

    def trim(self) -> None:
        """Drop a name that went out most often if there are too many."""
        if len(self._sent) > MAX_GOSSIP_RECORDS:
            del self._sent[max(self._sent, key=lambda name: self._sent[name])]

    def discard(self, name: str) -> None:
        """Drop a name that is forgotten."""
        self._sent.pop(name, None)

    def clear(self) -> None:
        """Drop all."""
        self._sent.clear()

    def take(self, limit: int, cluster_size: int) -> Iterator[str]:
        """Yield at most `limit` names that went out least often, and count that they go out now."""
        max_sent = GOSSIP_FACTOR * math.log2(cluster_size + 1)
        for name in sorted(self._sent, key=lambda each: self._sent[each])[:limit]:
            self._sent[name] += 1
            if self._sent[name] >= max_sent:
                del self._sent[name]
            yield name


class MemberTable:
    """The record of this instance and those of the other members, and which of them are gossiped.

    Sets by state spare each period and each datagram a look at all members of a large cluster.
    """

    def __init__(self, me: MemberRecord, rng: random.Random) -> None:
        self.me = me
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.live: list[str] = []  # alive or suspect, in no particular order
        self.suspects: set[str] = set()
        self.departed: set[str] = set()  # dead or left
        self.gossip_queue = GossipQueue()
        self.name_conflicts: dict[str, Address] = {}  # addresses that use a name that is taken
        self.rejected = 0  # records that were invalid, or found no room
        self.refuted = 0  # suspicions, by those that were suspected
        self._live_index: dict[str, int] = {}  # places in `live`

    @property
    def size(self) -> int:
        """Instances that are alive or suspect, this one among them."""
        return 1 + len(self.live)

    # Merging

    def merge(self, record: MemberRecord, now_us: int) -> MergeResult:
        """Take another member's record if it overrides the one that is known."""
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
                self.gossip_queue.add(record.name)  # each confirmation is gossiped on
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
            return MergeResult.OUTDATED  # it is unknown here, so there is nothing to forget
        if len(self.members) >= MAX_MEMBERS and not self._make_room():
            return MergeResult.REJECTED
        self.members[record.name] = Member(record, now_us)
        self._index(record)
        return MergeResult.ADDED

    # Reading

    def sample(self, limit: int) -> list[MemberRecord]:
        """Return at most `limit` records of live members at random."""
        names = self.rng.sample(self.live, min(limit, len(self.live)))
        return [self.members[name].record for name in names]

    def updates_to_gossip(self, limit: int, recipient: str = "") -> list[MemberRecord]:
        """Choose at most `limit` records for a datagram.

        First the recipient's own record if it is not alive, then the least transmitted, then random ones.
        """
        found: dict[str, MemberRecord] = {}
        member = self.members.get(recipient)
        if member is not None and member.record.state is not MemberState.ALIVE:
            found[recipient] = member.record
        for name in self.gossip_queue.take(limit - len(found), self.size):
            record = self._record_to_gossip(name)
            if record is not None:
                found[name] = record
        for record in self.sample(min(limit - len(found), RANDOM_RECORDS)):
            found.setdefault(record.name, record)
        return list(found.values())[:limit]

    def _record_to_gossip(self, name: str) -> MemberRecord | None:
        if name == self.me.name:
            return self.me
        member = self.members.get(name)
        return member.record if member is not None else None

    def dead_records(self) -> list[MemberRecord]:
        """Return the records of members that are dead, and have not left, by name."""
        records = [self.members[name].record for name in sorted(self.departed)]
        return [record for record in records if record.state is MemberState.DEAD]

    def _make_room(self) -> bool:
        if not self.departed:
            return False
        self.forget(min(sorted(self.departed), key=lambda name: self.members[name].state_since_us))
        return True

    def _index(self, record: MemberRecord) -> None:
        """Move a member to the sets of its state."""
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
        """Remove a name from `live` in constant time: the last one takes its place."""
        index = self._live_index.pop(name)
        last = self.live.pop()
        if last != name:
            self.live[index] = last
            self._live_index[last] = index
