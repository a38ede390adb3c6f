"""The datagrams of shared counts on a socket: one of UDP, read and written without waiting."""

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
from plovertrail.decisions.counts import Counts
from plovertrail.decisions.endpoint_list import Entry
from plovertrail.peers.envelope import LARGEST, Dropped
from plovertrail.peers.gossip import Address, Gossip, told
from plovertrail.peers.wire import Codec
from plovertrail.sources.instances import InstanceList
from plovertrail.sources.list_reader import ListReader

if TYPE_CHECKING:
    from plovertrail.config.fellows import FellowsSetup
    from plovertrail.peers.fellow_talk import FellowTalk

log = logging.getLogger(__name__)

FELLOWS_VERSION = b"\x02"  # the third byte of what fellows say (peers/fellows_wire.py)
READ_AT_ONCE = 64  # datagrams in one turn of the loop; the others wait in the socket's buffer
LOG_GAP_S = 10.0  # between two lines of one kind


class BoundedLog:
    """At most one line of a kind in a while, which tells how often it happened since the last one."""

    def __init__(self) -> None:
        self.next: dict[object, float] = {}
        self.unsaid: dict[object, int] = {}

    def tell(self, kind: object, text: str) -> None:
        """`kind` is one of few."""
        now = time.monotonic()
        self.unsaid[kind] = self.unsaid.get(kind, 0) + 1
        if now >= self.next.get(kind, 0.0):
            self.next[kind] = now + LOG_GAP_S
            log.warning("peers: %s (%d times)", text, self.unsaid.pop(kind))


def bind(address: Address) -> socket.socket:
    """A socket for datagrams there; raises OSError."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        sock.setblocking(False)
        sock.bind(address)
    except OSError:
        sock.close()
        raise
    return sock


def new_counts(setup: PeersSetup) -> Counts:
    """Counts that begin now. The incarnation is the wall clock's time, so that it grows from start to start;
    where that clock has stepped back it is another one all the same, and nothing else goes by it."""
    return Counts(setup.name, time.time_ns() // 1_000, setup.window, clock_us())


class PeerTalk:
    """This instance among its peers, from its start to its stop."""

    def __init__(
        self, setup: PeersSetup, sock: socket.socket, seed: int, lists: ListReader | None = None
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.setup = setup
        self.sock = sock
        self.counts = new_counts(setup)
        codec = Codec(setup.fleet, setup.keys, setup.window)
        self.gossip = Gossip(self.counts, codec, setup.listed_as, random.Random(seed))
        self.fellows: FellowTalk | None = None
        self.seed = seed
        self.lines = BoundedLog()
        self.listed: tuple[Address, ...] = ()  # by the file
        self.list = InstanceList("peers", self._peers_listed, lists)
        self.list.follow(setup.list_path)
        self.unsent = 0
        self.twins: set[str] = set()
        self._list()
        self.loop.add_reader(sock, self._readable)
        self.next = self.loop.time()
        self.timer = self.loop.call_soon(self._tick)

    def fits(self, setup: PeersSetup) -> bool:
        """Whether it can go on under another setup, with what has been counted."""
        mine = self.setup
        return (mine.name, mine.address, mine.listed_as, mine.window) == (
            setup.name,
            setup.address,
            setup.listed_as,
            setup.window,
        )

    def configure(self, setup: PeersSetup) -> None:
        """Go on with other peers, keys or times; what has been counted stays. Hazard: a key that is changed
        in one step would cut the fleet in two till all have it; so the old one stays listed meanwhile."""
        self.setup = setup
        self.gossip.codec = Codec(setup.fleet, setup.keys, setup.window)
        if self.list.follow(setup.list_path):
            self.listed = ()
        self._list()

    def follow_fellows(self, setup: FellowsSetup | None) -> None:
        """Know one another as configured now."""
        if self.fellows is not None and (setup is None or not self.fellows.fits(self.setup, setup)):
            self.fellows.stop()
            self.fellows = None
        if setup is None:
            return
        if self.fellows is None:
            from plovertrail.peers.fellow_talk import FellowTalk

            self.fellows = FellowTalk(self.setup, setup, self._seeds(), self._send, self.seed)
        else:
            self.fellows.configure(self.setup, setup)
            self.fellows.seeds(self._seeds())

    def _seeds(self) -> tuple[Address, ...]:
        return (*self.setup.addresses, *self.listed)

    def stop(self) -> None:
        """Leave the fellows, stop the timer and the watch on the list of peers, and close the socket."""
        self.follow_fellows(None)
        self.loop.remove_reader(self.sock)
        self.timer.cancel()
        self.list.stop()
        self.sock.close()

    # Who they are

    def _peers_listed(self, entries: tuple[Entry, ...]) -> None:
        self.listed = tuple(entry.address for entry in entries)[:MOST_PEERS]
        if len(entries) > MOST_PEERS:
            log.error("peers: %d are listed; the first %d are talked to", len(entries), MOST_PEERS)
        self._list()

    def _list(self) -> None:
        self.gossip.listed((*self.setup.addresses, *self.listed), self.setup.fan_out)
        if self.fellows is not None:
            self.fellows.seeds(self._seeds())
        unread = self.setup.list_path and not self.list.read
        self.setup.apply_to(self.counts, self.setup.size if unread else self.counts.size)

    # What goes out and comes in

    def _tick(self) -> None:
        now = self.loop.time()
        # hazard: late turns must not be made up for, or a loop that was held up sends a wall of datagrams
        self.next = max(self.next + self.setup.period_us / 1e6, now + self.setup.period_us / 2e6)
        self.timer = self.loop.call_at(self.next, self._tick)
        for address, data in self.gossip.tick(clock_us()):
            self._send(data, address)
        for name in self.counts.twins.keys() - self.twins:
            who = "this instance and another" if name == self.counts.name else "two instances"
            log.error("peers: %s are called %r: both count, but give each a name of its own", who, name)
        self.twins = set(self.counts.twins)

    def _send(self, data: bytes, address: Address) -> None:
        try:
            self.sock.sendto(data, address)
        except OSError as error:
            # a lost datagram among others; what it said goes out again
            self.unsent += 1
            self.lines.tell("unsent", f"nothing can be sent to {told(address)}: {error.strerror}")

    def _readable(self) -> None:
        now_us = clock_us()
        for _ in range(READ_AT_ONCE):
            try:
                data, address = self.sock.recvfrom(LARGEST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                if error.errno != errno.ECONNREFUSED:  # of an earlier one that nobody took
                    self.lines.tell("unread", f"datagrams can't be read: {error.strerror}")
                return
            if self.fellows is not None and data[2:3] == FELLOWS_VERSION:
                why = self.fellows.received(data, address)
            else:
                why = self.gossip.received(data, address, now_us)
            if why is not None and why is not Dropped.REPEATED:
                self.lines.tell(why, f"a datagram from {told(address)} is dropped: {why.value}")

    # For operators

    def status(self, names: dict[int, str]) -> dict[str, Any]:
        """What is heard and counted; `names` of keys that are worth telling."""
        now_us, counts, gossip = clock_us(), self.counts, self.gossip
        found = gossip.bound(self.setup.talk(counts.size))
        return {
            "name": counts.name,
            "incarnation": counts.incarnation,
            "problem": self.list.problem,
            "size": counts.size,
            "heard": counts.count_heard(now_us),
            "bound": {
                "under": round(found.under, 4),
                "over": round(found.over, 4),
                "staleness_s": round(found.staleness_s, 3),
                "but_with": found.probability,
            },
            "twins": sorted(counts.twins),
            "peers": {
                told(peer.address): {
                    "name": peer.name,
                    "loss": round(gossip.loss_from(peer), 3),
                    "heard_s_ago": round((now_us - peer.heard_us) / 1e6, 3) if peer.heard_us else None,
                }
                for peer in gossip.order
            },
            "counts": {
                name: {
                    "own": round(counts.own_count(key, now_us), 1),
                    "fleet": round(counts.estimate(key, now_us), 1),
                }
                for key, name in names.items()
            },
            "sent": gossip.sent.datagrams,
            "sent_bytes": gossip.sent.octets,
            "taken": gossip.sent.taken,
            "unsent": self.unsent,
            "dropped": {why.value: n for why, n in gossip.sent.dropped.items()},
            "keys": len(counts.own),
            "keys_of_peers": counts.peer_keys,
            "without_place": counts.without_place,
            "refused_keys": counts.refused_keys,
        }
