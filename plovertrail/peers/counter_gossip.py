"""Builds and handles the datagrams of shared counters; has neither a socket nor a clock of its own."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace

from plovertrail.decisions.counter_error_bound import ErrorBound, GossipParameters, error_bound
from plovertrail.decisions.counter_rows import CounterMessage
from plovertrail.decisions.membership import Address
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.peers.address import format_address
from plovertrail.peers.counter_codec import CounterCodec, encode_row
from plovertrail.peers.envelope import BadDatagramError, DropReason, TrafficStats, digest

MAX_DATAGRAMS_PER_PERIOD = 8  # read from one peer; it sends at most one in most periods
MAX_ROWS_SENT = 120  # more never fit into a datagram
MAX_STATED_LOSS = 0.95  # highest loss with an error bound; a peer with a higher one counts as silent


@dataclass(slots=True)
class Peer:
    """One listed address."""

    address: Address
    receiver: bytes  # the digest of the address
    sequence: int = 0  # of the last datagram sent to it
    name: str = ""  # in the last datagram from it
    incarnation: int = 0  # likewise
    heard_us: int = 0  # when the last datagram arrived; 0: never
    period: int = -1  # the period that `read_in_period` counts
    read_in_period: int = 0


class CounterGossip:
    """Sends own counts to the next `fan_out` peers each period, in a random order that stays the same.

    So each peer receives each instance's counts once a round. docs/shared-counts.md has the alternatives.
    """

    def __init__(
        self, counters: SharedCounters, codec: CounterCodec, address: Address, rng: random.Random
    ) -> None:
        self.counters = counters
        self.codec = codec
        self.address = address
        self.rng = rng
        self.peers: dict[Address, Peer] = {}
        self.order: list[Peer] = []
        self.fan_out = 1
        self.traffic = TrafficStats()
        self._own_digest = digest(format_address(address))
        self._position = 0  # in the order of peers; 0: a round begins
        self._period = 0
        self._keys: list[int] = []  # keys to send in this round
        self._fitting_count = 0  # how many of them, from the first on, are sent in this round
        self._keys_per_datagram = 0  # how many fitted in the last round; 0: all did

    def set_peers(self, addresses: Sequence[Address], fan_out: int) -> None:
        """Use these peers from now on; this instance's own address is skipped."""
        others = [address for address in dict.fromkeys(addresses) if address != self.address]
        self.peers = {
            each: self.peers.get(each) or Peer(each, digest(format_address(each))) for each in others
        }
        self.order = [self.peers[each] for each in others]
        self.rng.shuffle(self.order)
        self._position = 0
        self.fan_out = fan_out
        self.counters.cluster_size = len(others) + 1

    def tick(self, now_us: int) -> list[tuple[Address, bytes]]:
        """Return the datagrams to send in the period that begins now."""
        self._period += 1
        self.counters.sweep(now_us)
        if not self.order:
            return []
        if self._position == 0:
            fitting = self._keys_per_datagram or MAX_ROWS_SENT
            self._keys = self.counters.keys_to_send(MAX_ROWS_SENT, fitting)
            self._fitting_count = len(self._keys)
        rows = self._encode_rows(now_us)
        receivers = self.order[self._position : self._position + self.fan_out]
        datagrams = [(peer.address, self._encode(peer, rows, now_us)) for peer in receivers]
        self._position += self.fan_out
        if self._position >= len(self.order):
            self._end_round()
        return datagrams

    def _encode_rows(self, now_us: int) -> list[bytes]:
        """Encode as many of the round's keys as fit into a datagram."""
        rows: list[bytes] = []  # empty for a key that has no counts any more
        room = self.codec.room_for_rows(self.counters.name)
        for key in self._keys[: self._fitting_count]:
            row = self.counters.encoded_row(key, now_us)
            encoded = encode_row(row) if row is not None else b""
            if len(encoded) > room:
                break
            room -= len(encoded)
            rows.append(encoded)
        # A key that stops fitting in the middle of a round has not reached all peers: it counts as not sent.
        self._fitting_count = len(rows)
        return rows

    def _encode(self, peer: Peer, rows: list[bytes], now_us: int) -> bytes:
        peer.sequence += 1
        counters = self.counters
        sent_us = max(0, now_us - counters.start_us)
        head = CounterMessage(counters.name, counters.incarnation, peer.sequence, sent_us, ())
        data = self.codec.encode(peer.receiver, head, filter(None, rows))
        self.traffic.count_sent(data)
        return data

    def _end_round(self) -> None:
        self._position = 0
        self.counters.sent(self._keys[: self._fitting_count])
        self._keys_per_datagram = self._fitting_count if self._fitting_count < len(self._keys) else 0

    def receive(self, data: bytes, address: Address, now_us: int) -> DropReason | None:
        """Handle a datagram; returns why it was dropped, if it was."""
        reason = self._receive(data, address, now_us)
        self.traffic.count_received(reason)
        return reason

    def _receive(self, data: bytes, address: Address, now_us: int) -> DropReason | None:
        peer = self.peers.get(address)
        if peer is None:
            return DropReason.UNKNOWN_SENDER
        if self._is_over_limit(peer):
            return DropReason.RATE_LIMITED
        try:
            message = self.codec.decode(data, self._own_digest)
        except BadDatagramError as error:
            return error.reason
        if not self.counters.merge(message, now_us):
            return DropReason.DUPLICATE
        peer.name = message.name
        peer.incarnation = message.incarnation
        peer.heard_us = now_us
        return None

    def _is_over_limit(self, peer: Peer) -> bool:
        """Count a datagram of a peer; without a limit, verifying a flood of them would use up a core."""
        if peer.period != self._period:
            peer.period = self._period
            peer.read_in_period = 0
        peer.read_in_period += 1
        return peer.read_in_period > MAX_DATAGRAMS_PER_PERIOD

    def loss_from(self, peer: Peer) -> float:
        """Return the fraction of a peer's datagrams that were lost."""
        return self.counters.peers.loss_of(peer.name, peer.incarnation)

    def bound(self, parameters: GossipParameters) -> ErrorBound:
        """Return the present error bound: with the highest observed loss if it exceeds the configured one."""
        observed = max((self.loss_from(peer) for peer in self.peers.values() if peer.heard_us), default=0.0)
        keys = max(1, len(self.counters.own))
        return error_bound(
            replace(
                parameters,
                size=self.counters.cluster_size,
                loss=min(MAX_STATED_LOSS, max(parameters.loss, observed)),
                keys=keys,
                keys_per_datagram=self._keys_per_datagram or keys,
            )
        )
