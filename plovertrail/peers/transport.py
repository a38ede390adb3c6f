"""The non-blocking UDP socket that shared counters and cluster membership use to reach other instances.

Status keys that differ from the names in the code: `twins` are names that two instances use, `heard` the
number of peers that are not silent, `without_place` counts of keys that there was no room for, `refused_keys`
rejected keys of peers, `taken` accepted datagrams.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import random
import socket
import time
from typing import TYPE_CHECKING, Any

from plovertrail.clock import clock_us
from plovertrail.config.peers import MOST_PEERS, PeersSetup
from plovertrail.decisions.endpoint_list import ListedEndpoint
from plovertrail.decisions.membership import Address
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.peers.address import format_address
from plovertrail.peers.counter_codec import CounterCodec
from plovertrail.peers.counter_gossip import CounterGossip, Peer
from plovertrail.peers.envelope import MAX_DATAGRAM_BYTES, DropReason
from plovertrail.sources.instances import InstanceList
from plovertrail.sources.list_reader import ListReader

if TYPE_CHECKING:
    from plovertrail.config.cluster_membership import MembershipSetup
    from plovertrail.peers.membership_transport import MembershipTransport

log = logging.getLogger(__name__)

MEMBERSHIP_VERSION = b"\x02"  # the third byte of membership datagrams (peers/membership_codec.py)
VERSION_BYTE = slice(2, 3)
READS_PER_TURN = 64  # datagrams read per turn of the event loop; others wait in the socket's buffer
LOG_INTERVAL_S = 10.0  # between two lines of the same kind


class RateLimitedLog:
    """Logs at most one line of a kind per LOG_INTERVAL_S, with the number of events since the last one."""

    def __init__(self) -> None:
        self._next: dict[object, float] = {}
        self._counts: dict[object, int] = {}

    def warn(self, kind: object, text: str) -> None:
        """Count an event, and log it if the interval has passed; there must be few values of `kind`."""
        now = time.monotonic()
        self._counts[kind] = self._counts.get(kind, 0) + 1
        if now >= self._next.get(kind, 0.0):
            self._next[kind] = now + LOG_INTERVAL_S
            log.warning("%s times=%d", text, self._counts.pop(kind))


def bind(address: Address) -> socket.socket:
    """Return a bound, non-blocking datagram socket; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def new_counters(setup: PeersSetup) -> SharedCounters:
    """Return empty counters.

    The incarnation is the wall clock's time, so it grows with each start. If the clock was set back, the
    incarnation is still a different one, and nothing else depends on it.
    """
    return SharedCounters(setup.name, time.time_ns() // 1_000, setup.window, clock_us())


class PeerTransport:
    """This instance's exchange with its peers, from start to stop."""

    def __init__(
        self, setup: PeersSetup, sock: socket.socket, seed: int, lists: ListReader | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.setup = setup
        self.sock = sock
        self.counters = new_counters(setup)
        codec = CounterCodec(setup.fleet, setup.keys, setup.window)
        self.gossip = CounterGossip(self.counters, codec, setup.listed_as, random.Random(seed))
        self.membership: MembershipTransport | None = None
        self.unsent = 0  # datagrams that the socket refused
        self._seed = seed
        self._warnings = RateLimitedLog()
        self._listed: tuple[Address, ...] = ()  # addresses from the peer list file
        self._list = InstanceList("peers", self._peers_listed, lists)
        self._list.follow(setup.list_path)
        self._logged_conflicts: set[str] = set()
        self._update_peers()
        self.loop.add_reader(sock, self._on_readable)
        self._next_tick = self.loop.time()
        self._timer = self.loop.call_soon(self._tick)

    def is_compatible_with(self, setup: PeersSetup) -> bool:
        """Whether `configure` can apply this setup; otherwise the counters have to start again."""
        current = self.setup
        return (current.name, current.address, current.listed_as, current.window) == (
            setup.name,
            setup.address,
            setup.listed_as,
            setup.window,
        )

    def configure(self, setup: PeersSetup) -> None:
        """Use other peers, keys and times from now on, and keep the counters.

        To change a key, operators list the old and the new one until all instances have both: changing it in
        one step would partition the fleet meanwhile.
        """
        self.setup = setup
        self.gossip.codec = CounterCodec(setup.fleet, setup.keys, setup.window)
        if self._list.follow(setup.list_path):
            self._listed = ()
        self._update_peers()

    def apply_membership(self, setup: MembershipSetup | None) -> None:
        """Start, reconfigure or stop cluster membership."""
        if self.membership is not None and (
            setup is None or not self.membership.is_compatible_with(self.setup, setup)
        ):
            self.membership.stop()
            self.membership = None
        if setup is None:
            return
        if self.membership is None:
            from plovertrail.peers.membership_transport import MembershipTransport

            self.membership = MembershipTransport(self.setup, setup, self._seeds(), self._send, self._seed)
        else:
            self.membership.configure(self.setup, setup)
            self.membership.set_seeds(self._seeds())

    def stop(self) -> None:
        """Leave the cluster, stop the timer and watching the peer list, and close the socket."""
        self.apply_membership(None)
        self.loop.remove_reader(self.sock)
        self._timer.cancel()
        self._list.stop()
        self.sock.close()

    # Peers

    def _seeds(self) -> tuple[Address, ...]:
        return (*self.setup.addresses, *self._listed)

    def _peers_listed(self, entries: tuple[ListedEndpoint, ...]) -> None:
        self._listed = tuple(entry.address for entry in entries)[:MOST_PEERS]
        if len(entries) > MOST_PEERS:
            log.error("too many peers listed=%d used=%d", len(entries), MOST_PEERS)
        self._update_peers()

    def _update_peers(self) -> None:
        self.gossip.set_peers(self._seeds(), self.setup.fan_out)
        if self.membership is not None:
            self.membership.set_seeds(self._seeds())
        is_unread = self.setup.list_path and not self._list.read
        size = self.setup.size if is_unread else self.counters.cluster_size
        self.setup.apply_to(self.counters, size)

    # Datagrams

    def _tick(self) -> None:
        now = self.loop.time()
        period_s = self.setup.period_us / 1e6
        # Missed periods are skipped: after a delay of the event loop they would send a burst of datagrams.
        self._next_tick = max(self._next_tick + period_s, now + period_s / 2)
        self._timer = self.loop.call_at(self._next_tick, self._tick)
        for address, data in self.gossip.tick(clock_us()):
            self._send(data, address)
        self._log_conflicts()

    def _log_conflicts(self) -> None:
        conflicts = self.counters.peers.name_conflicts
        for name in conflicts.keys() - self._logged_conflicts:
            who = "this instance and another" if name == self.counters.name else "two others"
            log.error("peer name used twice name=%r by=%s: give each instance its own name", name, who)
        self._logged_conflicts = set(conflicts)

    def _send(self, data: bytes, address: Address) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError as error:
            # Like a lost datagram: its counts are sent again later.
            self.unsent += 1
            reason = f"address={format_address(address)} reason={error.strerror!r}"
            self._warnings.warn("unsent", f"peer datagram not sent {reason}")

    def _on_readable(self) -> None:
        now_us = clock_us()
        for _ in range(READS_PER_TURN):
            try:
                data, address = self.sock.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno != errno.ECONNREFUSED:  # ICMP error for a datagram that was sent earlier
                    self._warnings.warn("unread", f"peer datagrams not read reason={error.strerror!r}")
                return
            self._receive(data, address, now_us)

    def _receive(self, data: bytes, address: Address, now_us: int) -> None:
        if self.membership is not None and data[VERSION_BYTE] == MEMBERSHIP_VERSION:
            reason = self.membership.receive(data, address)
        else:
            reason = self.gossip.receive(data, address, now_us)
        if reason is not None and reason is not DropReason.DUPLICATE:
            sender = format_address(address)
            self._warnings.warn(reason, f"peer datagram dropped address={sender} reason={reason.value!r}")

    # Status

    def status(self, names: dict[int, str]) -> dict[str, Any]:
        """Return the status of peers and counters; `names` has the keys whose usage is shown."""
        now_us = clock_us()
        counters = self.counters
        gossip = self.gossip
        bound = gossip.bound(self.setup.talk(counters.cluster_size))
        return {
            "name": counters.name,
            "incarnation": counters.incarnation,
            "problem": self._list.problem,
            "size": counters.cluster_size,
            "heard": counters.peers.heard_count(now_us),
            "bound": {
                "under": round(bound.under, 4),
                "over": round(bound.over, 4),
                "staleness_s": round(bound.staleness_s, 3),
                "but_with": bound.probability,
            },
            "twins": sorted(counters.peers.name_conflicts),
            "peers": {format_address(peer.address): self._peer_status(peer, now_us) for peer in gossip.order},
            "counts": {
                name: {
                    "own": round(counters.own_count(key, now_us), 1),
                    "fleet": round(counters.estimate(key, now_us), 1),
                }
                for key, name in names.items()
            },
            "sent": gossip.traffic.datagrams_sent,
            "sent_bytes": gossip.traffic.bytes_sent,
            "taken": gossip.traffic.accepted,
            "unsent": self.unsent,
            "dropped": {reason.value: count for reason, count in gossip.traffic.dropped.items()},
            "keys": len(counters.own),
            "keys_of_peers": counters.peers.key_count,
            "without_place": counters.overflowed,
            "refused_keys": counters.peers.rejected_keys,
        }

    def _peer_status(self, peer: Peer, now_us: int) -> dict[str, Any]:
        return {
            "name": peer.name,
            "loss": round(self.gossip.loss_from(peer), 3),
            "heard_s_ago": round((now_us - peer.heard_us) / 1e6, 3) if peer.heard_us else None,
        }
