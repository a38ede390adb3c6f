"""What one instance says to the others and takes from them, with no socket and no clock."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from plovertrail.decisions.counter_error_bound import ErrorBound, GossipParameters, error_bound
from plovertrail.decisions.membership import Address
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.peers.address import format_address
from plovertrail.peers.envelope import BadDatagramError, DropReason, TrafficStats, digest
from plovertrail.peers.wire import Codec, row_bytes

MOST_A_PERIOD = 8  # datagrams of one peer that are looked at; it sends one at most by itself
MOST_ROWS_OUT = 120  # more never fit
MOST_LOSS = 0.95  # that a bound is told for: beyond it a peer is silent


@dataclass(slots=True)
class Peer:
    """One listed address."""

    address: Address
    to: bytes
    sequence: int = 0  # of what was sent to it
    name: str = ""  # as last heard from there
    incarnation: int = 0
    heard_us: int = 0  # 0 = never
    period: int = -1  # the one in which these were looked at:
    looked_at: int = 0


class Gossip:
    """Each period it sends its own part to the next `fan_out` peers, in a fixed order drawn once, so that
    each of them hears of it once a round. Weighed in docs/shared-counts.md."""

    def __init__(self, counts: SharedCounters, codec: Codec, me: Address, rng: random.Random) -> None:
        self.counts = counts
        self.codec = codec
        self.me = digest(format_address(me))
        self.address = me
        self.rng = rng
        self.peers: dict[Address, Peer] = {}
        self.order: list[Peer] = []
        self.place = 0  # in that order
        self.fan_out = 1
        self.period = 0
        self.keys: list[int] = []  # that go out in this round
        self.rows_fit = 0  # of them, in the datagrams of this round so far
        self.room = 0  # keys that fitted when last not all did; 0 = all do
        self.traffic = TrafficStats()

    def listed(self, addresses: Sequence[Address], fan_out: int) -> None:
        """The peers are these now; our own address among them is passed over."""
        others = [address for address in dict.fromkeys(addresses) if address != self.address]
        self.peers = {
            each: self.peers.get(each) or Peer(each, digest(format_address(each))) for each in others
        }
        self.order = [self.peers[each] for each in others]
        self.rng.shuffle(self.order)
        self.place = 0
        self.fan_out = fan_out
        self.counts.cluster_size = len(others) + 1

    def tick(self, now_us: int) -> list[tuple[Address, bytes]]:
        """A period has passed: what goes out now."""
        self.period += 1
        self.counts.sweep(now_us)
        if not self.order:
            return []
        if self.place == 0:
            self.keys = self.counts.keys_to_send(MOST_ROWS_OUT, self.room or MOST_ROWS_OUT)
            self.rows_fit = len(self.keys)
        rows: list[bytes] = []  # an empty one where a key has nothing to tell any more
        left = self.codec.room(self.counts.name)
        for key in self.keys[: self.rows_fit]:
            found = self.counts.encoded_row(key, now_us)
            packed = row_bytes(found) if found is not None else b""
            if len(packed) > left:
                break
            left -= len(packed)
            rows.append(packed)
        # what grows out of the datagram in mid-round has not gone to all, and comes first in the next
        self.rows_fit = len(rows)
        out = []
        for peer in self.order[self.place : self.place + self.fan_out]:
            peer.sequence += 1
            data = self.codec.write(
                peer.to,
                self.counts.name,
                self.counts.incarnation,
                peer.sequence,
                max(0, now_us - self.counts.start_us),
                filter(None, rows),
            )
            out.append((peer.address, data))
            self.traffic.datagrams_sent += 1
            self.traffic.bytes_sent += len(data)
        self.place += self.fan_out
        if self.place >= len(self.order):
            self.place = 0
            self.counts.sent(self.keys[: self.rows_fit])
            self.room = self.rows_fit if self.rows_fit < len(self.keys) else 0
        return out

    def received(self, data: bytes, address: Address, now_us: int) -> DropReason | None:
        """A datagram has come; why it was not taken, if it was not."""
        why = self._received(data, address, now_us)
        if why is None:
            self.traffic.accepted += 1
        else:
            self.traffic.dropped[why] += 1
        return why

    def _received(self, data: bytes, address: Address, now_us: int) -> DropReason | None:
        peer = self.peers.get(address)
        if peer is None:
            return DropReason.UNKNOWN_SENDER
        # hazard: one that floods would have us check codes all day
        if peer.period != self.period:
            peer.period, peer.looked_at = self.period, 0
        peer.looked_at += 1
        if peer.looked_at > MOST_A_PERIOD:
            return DropReason.RATE_LIMITED
        try:
            message = self.codec.read(data, self.me)
        except BadDatagramError as error:
            return error.reason
        if not self.counts.merge(message, now_us):
            return DropReason.DUPLICATE
        peer.name, peer.incarnation, peer.heard_us = message.name, message.incarnation, now_us
        return None

    def loss_from(self, peer: Peer) -> float:
        """The share of a peer's datagrams that never came."""
        return self.counts.peers.loss_of(peer.name, peer.incarnation)

    def bound(self, talk: GossipParameters) -> ErrorBound:
        """The bound as it is now: with the losses seen, if they are worse than those stated."""
        seen = max((self.loss_from(peer) for peer in self.peers.values() if peer.heard_us), default=0.0)
        keys = max(1, len(self.counts.own))
        return error_bound(
            replace(
                talk,
                size=self.counts.cluster_size,
                loss=min(MOST_LOSS, max(talk.loss, seen)),
                keys=keys,
                keys_a_datagram=self.room or keys,
            )
        )
