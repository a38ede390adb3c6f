"""Simulates shared counters of several instances on a virtual clock, over a simulated network.

Loss, delays, duplicates, partitions and restarts can be simulated, and the true counts are recorded for
comparison. All random choices follow from a seed.
"""

from __future__ import annotations

import heapq
import random
from bisect import bisect_right
from collections import Counter
from collections.abc import Callable

from plovertrail.decisions.counter_error_bound import GossipParameters
from plovertrail.decisions.counter_rows import CountingWindow
from plovertrail.decisions.membership import Address
from plovertrail.decisions.peer_counters import CounterLimits
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.peers.counter_codec import CounterCodec
from plovertrail.peers.counter_gossip import CounterGossip

SECOND_US = 1_000_000
KEY = b"a key that all instances share"
Deliver = Callable[[int, int], bool]  # whether datagrams from the first instance reach the second


class PeersModel:
    """Simulates instances, numbered from 0, each with a clock of its own."""

    def __init__(
        self,
        talk: GossipParameters,
        *,
        seed: int = 1,
        duplicate_rate: float = 0.0,
        share_when_alone: bool = True,
    ) -> None:
        self.talk = talk
        self.rng = random.Random(seed)
        self.window = CountingWindow(round(talk.window_s * 1e6), round(talk.window_s / talk.bucket_s))
        self.duplicate_rate = duplicate_rate
        self.share_when_alone = share_when_alone
        self.now_us = 0
        self.events: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.event_count = 0
        self.delivers: Deliver = lambda sender, receiver: True
        self.addresses: list[Address] = [(f"10.1.{n >> 8}.{n & 255}", 7400) for n in range(talk.size)]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.clock_offsets_us = [self.rng.randrange(1, 10**12) for _ in range(talk.size)]
        self.gossips: list[CounterGossip] = []
        self.alive = [True] * talk.size
        self.truth: dict[int, list[int]] = {}  # by key, the times of all requests
        self.incarnations = 0
        self.bytes_sent: Counter[int] = Counter()
        for number in range(talk.size):
            self.gossips.append(self.start(number))
            self.at(int(self.rng.random() * talk.period_s * 1e6), self.tick, number)

    def local_us(self, number: int) -> int:
        """Return the time of an instance's monotonic clock, which is far from those of all others."""
        return self.now_us + self.clock_offsets_us[number]

    def start(self, number: int, name: str = "") -> CounterGossip:
        """Return a new instance with empty counters, under its usual name unless `name` is given."""
        self.incarnations += 1
        silence_timeout_us = int(8 * self.talk.round_s * 1e6 + self.talk.delay_s * 1e6)
        counts = SharedCounters(
            name or f"i{number}",
            self.incarnations,
            self.window,
            self.local_us(number),
            CounterLimits(silence_timeout_us=silence_timeout_us, share_when_alone=self.share_when_alone),
        )
        gossip = CounterGossip(
            counts,
            CounterCodec("model", [KEY], self.window),
            self.addresses[number],
            random.Random(self.rng.random()),
        )
        gossip.set_peers(self.addresses, self.talk.fan_out)
        return gossip

    def restart(self, number: int) -> None:
        """Restart an instance with no state and another clock; datagrams that it sent before still arrive."""
        self.clock_offsets_us[number] = self.rng.randrange(1, 10**12)
        self.gossips[number] = self.start(number)

    def at(self, at_us: int, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback for a time on the model's clock."""
        self.event_count += 1
        heapq.heappush(self.events, (at_us, self.event_count, callback, arguments))

    def tick(self, number: int) -> None:
        """Let an instance send this period's datagrams, and schedule its next period."""
        self.at(self.now_us + int(self.talk.period_s * 1e6), self.tick, number)
        if not self.alive[number]:
            return
        for address, data in self.gossips[number].tick(self.local_us(number)):
            to = self.numbers[address]
            self.bytes_sent[number] += len(data)
            copies = 1 + (self.rng.random() < self.duplicate_rate)
            for _ in range(copies):
                if self.delivers(number, to) and self.rng.random() >= self.talk.loss:
                    delay_us = int(self.rng.random() * self.talk.delay_s * 1e6)
                    self.at(self.now_us + delay_us, self.deliver, to, data, self.addresses[number])

    def deliver(self, to: int, data: bytes, sender: Address) -> None:
        """Deliver a datagram to an instance, if it is alive."""
        if self.alive[to]:
            self.gossips[to].receive(data, sender, self.local_us(to))

    def run(self, until_us: int) -> None:
        """Run all events until a time on the model's clock."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        self.now_us = until_us

    def count(self, number: int, key: int) -> None:
        """Count a request at an instance, and record it as true."""
        self.gossips[number].counters.add(key, self.local_us(number))
        self.truth.setdefault(key, []).append(self.now_us)

    def true_count(self, key: int) -> int:
        """Return the true count of a key within the window."""
        times = self.truth.get(key, [])
        return len(times) - bisect_right(times, self.now_us - self.window.span_us)

    def estimate(self, number: int, key: int) -> float:
        """Return an instance's estimate of a key's count over all instances."""
        return self.gossips[number].counters.estimate(key, self.local_us(number))

    def load(self, seconds: float, rates: dict[int, float], to: Callable[[], int] | None = None) -> None:
        """Simulate requests at these rates per second by key, at random instances or where `to` says."""
        end_us = self.now_us + int(seconds * SECOND_US)
        total_rate = sum(rates.values())
        keys, weights = list(rates), list(rates.values())
        while True:
            at_us = self.now_us + int(self.rng.expovariate(total_rate / SECOND_US)) if total_rate else end_us
            if at_us >= end_us:
                break
            self.run(at_us)
            number = to() if to is not None else self.rng.randrange(self.talk.size)
            self.count(number, self.rng.choices(keys, weights)[0])
        self.run(end_us)
