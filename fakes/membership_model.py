"""Simulates cluster membership on a virtual clock, over a simulated network.

Loss, delays, duplicates, one-way and two-way partitions, kills, pauses and restarts can be simulated. All
random choices follow from a seed.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable

from plovertrail.decisions.cluster_members import ClusterMembers, MembershipSettings
from plovertrail.decisions.membership import Address, MemberRecord, MemberState
from plovertrail.decisions.outlier_detection import OutlierDetector
from plovertrail.peers.membership_codec import MembershipCodec
from plovertrail.peers.membership_protocol import GossipSettings, MembershipProtocol, reporter_key

SECOND_US = 1_000_000
KEY = b"a key that all instances share"
DAY_US = 86_400 * SECOND_US


class MembershipModel:
    """Simulates `size` instances, numbered from 0, each with a clock of its own.

    If `known`, all instances know each other from the start; otherwise they join by their seeds, which are
    instance 0 or, with `all_seeds`, all instances.
    """

    def __init__(
        self,
        size: int,
        *,
        seed: int = 1,
        period_s: float = 1.0,
        loss: float = 0.0,
        delay_s: float = 0.02,
        duplicate_rate: float = 0.0,
        known: bool = True,
        exchange_health: bool = True,
        zones: int = 1,
        all_seeds: bool = False,
    ) -> None:
        self.size = size
        self.rng = random.Random(seed)
        self.period_us = int(period_s * SECOND_US)
        self.loss = loss
        self.delay_s = delay_s
        self.duplicate_rate = duplicate_rate
        self.exchange_health = exchange_health
        self.all_seeds = all_seeds  # each instance has all as seeds, as in an operator's file
        self.zones = zones
        self.now_us = 0
        self.events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.event_count = 0
        self.delivers: Callable[[int, int], bool] = lambda sender, receiver: True
        self.addresses: list[Address] = [
            (f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}", 7400) for n in range(size)
        ]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.clock_offsets_us = [self.rng.randrange(1, 10**12) for _ in range(size)]
        self.wall_us = 50 * 365 * DAY_US
        self.alive = [True] * size
        self.paused: dict[int, int] = {}  # time of the pause by instance
        self.inbox: dict[int, list[tuple[bytes, Address]]] = {}  # datagrams that wait for paused instances
        self.datagrams: Counter[int] = Counter()
        self.bytes_sent: Counter[int] = Counter()
        self.codec = MembershipCodec("model", [KEY])
        self.instances = [self.start(number) for number in range(size)]
        if known:
            records = [instance.cluster.me for instance in self.instances]
            for instance in self.instances:
                instance.cluster.merge_records(
                    records, "", self.local_us(self.numbers[instance.cluster.me.address])
                )
                instance.cluster.table.gossip_queue.clear()
        for number in range(size):
            self.tick(number, self.instances[number])

    def local_us(self, number: int) -> int:
        """Return the time of an instance's monotonic clock, which is far from those of all others."""
        return self.now_us + self.clock_offsets_us[number]

    def start(self, number: int, wall_clock_offset_us: int = 0) -> MembershipProtocol:
        """Return a new instance that knows no other; its wall clock is off by `wall_clock_offset_us`."""
        wall_us = self.wall_us + self.now_us + wall_clock_offset_us
        me = MemberRecord(
            f"i{number}", self.addresses[number], wall_us, MemberState.ALIVE, f"z{number % self.zones}"
        )
        now_us = self.local_us(number)
        seeds = self.addresses if self.all_seeds else self.addresses[:1]
        settings = MembershipSettings(self.period_us, tuple(seeds))
        cluster = ClusterMembers(me, settings, random.Random(self.rng.random()), now_us)
        detector = OutlierDetector(reporter_key(me.name), now_us, wall_us) if self.exchange_health else None
        return MembershipProtocol(
            cluster, detector, self.codec, GossipSettings(self.period_us // 5, 3), now_us
        )

    def restart(self, number: int, wall_clock_offset_us: int = 0) -> None:
        """Restart an instance with no state and another clock; datagrams that it sent before still arrive."""
        self.alive[number] = True
        self.clock_offsets_us[number] = self.rng.randrange(1, 10**12)
        self.instances[number] = self.start(number, wall_clock_offset_us)
        self.tick(number, self.instances[number])

    def kill(self, number: int) -> None:
        """Kill an instance: it sends and receives nothing any more."""
        self.alive[number] = False

    def pause(self, number: int) -> None:
        """Pause an instance's process; datagrams to it wait."""
        self.paused[number] = self.now_us
        self.inbox[number] = []

    def resume(self, number: int) -> None:
        """Resume a paused instance: it notices the pause, then reads the last datagrams that waited."""
        instance, pause_us = self.instances[number], self.now_us - self.paused.pop(number)
        instance.process_paused(pause_us, self.local_us(number))
        for data, sender in self.inbox.pop(number)[-256:]:
            self.deliver(number, data, sender)
        self.tick(number, instance)

    def leave(self, number: int) -> None:
        """Stop an instance in order, as on SIGTERM: it announces that it leaves."""
        self.send(number, self.instances[number].leave(self.local_us(number)))
        self.alive[number] = False

    def at(self, at_us: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback for a time on the model's clock."""
        self.event_count += 1
        heapq.heappush(self.events, (at_us, self.event_count, callback, arguments))

    def tick(self, number: int, instance: MembershipProtocol) -> None:
        """Call an instance's `tick` and schedule its next one; ignored for an instance that was replaced."""
        if self.instances[number] is not instance or not self.alive[number] or number in self.paused:
            return
        self.send(number, instance.tick(self.local_us(number)))
        wait_us = max(1_000, instance.next_wakeup_us() - self.local_us(number))
        self.at(self.now_us + wait_us, self.tick, number, instance)

    def send(self, number: int, out: list[tuple[Address, bytes]]) -> None:
        """Send datagrams over the simulated network, which loses, duplicates and delays them."""
        for address, data in out:
            to = self.numbers.get(address)
            self.datagrams[number] += 1
            self.bytes_sent[number] += len(data)
            for _ in range(1 + (self.rng.random() < self.duplicate_rate)):
                if to is not None and self.delivers(number, to) and self.rng.random() >= self.loss:
                    delay_us = int(self.rng.random() * self.delay_s * SECOND_US)
                    self.at(self.now_us + delay_us, self.deliver, to, data, self.addresses[number])

    def deliver(self, to: int, data: bytes, sender: Address) -> None:
        """Deliver a datagram to an instance; a paused one reads it when it resumes."""
        if to in self.paused:
            self.inbox[to].append((data, sender))
        elif self.alive[to]:
            _, out = self.instances[to].receive(data, sender, self.local_us(to))
            self.send(to, out)

    def run(self, seconds: float, observe: Callable[[], None] | None = None, interval_s: float = 0.1) -> None:
        """Advance the clock by `seconds`; `observe` is called once per interval."""
        ends_us = self.now_us + int(seconds * SECOND_US)
        next_us = self.now_us
        while self.now_us < ends_us:
            until_us = min(ends_us, next_us + int(interval_s * SECOND_US)) if observe else ends_us
            while self.events and self.events[0][0] <= until_us:
                self.now_us, _, callback, arguments = heapq.heappop(self.events)
                callback(*arguments)
            self.now_us = next_us = until_us
            if observe is not None:
                observe()

    def state(self, observer: int, subject: int) -> MemberState | None:
        """Return the state of the subject as the observer has it; None if it does not know the subject."""
        member = self.instances[observer].cluster.table.members.get(f"i{subject}")
        return member.record.state if member is not None else None

    def states(self, subject: int) -> Counter[MemberState | None]:
        """Count the states of the subject over all other running instances."""
        return Counter(
            self.state(observer, subject)
            for observer in range(self.size)
            if observer != subject and self.alive[observer] and observer not in self.paused
        )

    def outlier_detector(self, number: int) -> OutlierDetector:
        """Return an instance's outlier detector."""
        found = self.instances[number].detector
        assert found is not None
        return found
