"""Instances that count together over a network of this file's own, on a virtual clock: loss, delay, repeats,
partitions and restarts, all drawn from a seed; and the true counts beside them."""

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
Deliver = Callable[[int, int], bool]  # whether what one sends comes to another at all


class PeersModel:
    """`size` instances, numbered from 0; their clocks began at times of their own."""

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
        self.truth: dict[int, list[int]] = {}  # by key, when each request came
        self.incarnations = 0
        self.bytes_sent: Counter[int] = Counter()
        for number in range(talk.size):
            self.gossips.append(self.start(number))
            self.at(int(self.rng.random() * talk.period_s * 1e6), self.tick, number)

    def local_us(self, number: int) -> int:
        """An instance's own clock: monotonic, and far from all others."""
        return self.now_us + self.clock_offsets_us[number]

    def start(self, number: int, name: str = "") -> CounterGossip:
        """An instance that knows nothing yet, under its old name."""
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
        """It forgets all, and its clock begins elsewhere; what it sent is still on its way."""
        self.clock_offsets_us[number] = self.rng.randrange(1, 10**12)
        self.gossips[number] = self.start(number)

    def at(self, at_us: int, callback: Callable[..., None], *arguments: object) -> None:
        """Call `what` with the arguments at a time on the model's clock."""
        self.event_count += 1
        heapq.heappush(self.events, (at_us, self.event_count, callback, arguments))

    def tick(self, number: int) -> None:
        """Let an instance send what is due in its round, and again one period later."""
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
        """Bring a datagram to an instance, if it lives."""
        if self.alive[to]:
            self.gossips[to].receive(data, sender, self.local_us(to))

    def run(self, until_us: int) -> None:
        """Play until this time."""
        while self.events and self.events[0][0] <= until_us:
            self.now_us, _, callback, arguments = heapq.heappop(self.events)
            callback(*arguments)
        self.now_us = until_us

    def count(self, number: int, key: int) -> None:
        """A request comes to an instance now."""
        self.gossips[number].counters.add(key, self.local_us(number))
        self.truth.setdefault(key, []).append(self.now_us)

    def true_count(self, key: int) -> int:
        """What has really been counted under a key within the window."""
        times = self.truth.get(key, [])
        return len(times) - bisect_right(times, self.now_us - self.window.span_us)

    def estimate(self, number: int, key: int) -> float:
        """What an instance takes the count of all for."""
        return self.gossips[number].counters.estimate(key, self.local_us(number))

    def load(self, seconds: float, rates: dict[int, float], to: Callable[[], int] | None = None) -> None:
        """Requests of keys at these rates a second, over all instances at random or where `to` says."""
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
