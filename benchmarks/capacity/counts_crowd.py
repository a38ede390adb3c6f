"""Instances that count together, of which a few are whole: the real counters, schedule of messages and codec.

A hollow instance has no state: each message from a whole one to a hollow one is mirrored by one with the same
counts from a hollow instance to a whole one. Only calls into whole instances are metered.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, replace
from functools import partial

from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.event_queue import SECOND_US, EventQueue
from benchmarks.capacity.target import TARGET
from plovertrail.config.peers import MOST_PEERS
from plovertrail.decisions.counter_error_bound import GossipParameters
from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow, key_of
from plovertrail.decisions.membership import Address
from plovertrail.decisions.peer_counters import CounterLimits
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.peers.address import format_address
from plovertrail.peers.counter_codec import CounterCodec, encode_row
from plovertrail.peers.counter_gossip import CounterGossip
from plovertrail.peers.envelope import digest

KEY = b"a key that all instances share"
TALK = GossipParameters(
    size=MOST_PEERS, period_s=0.1, fan_out=8, window_s=10.0, bucket_s=0.5, loss=0.0, delay_s=0.2
)
PERIOD_US = int(TALK.period_s * SECOND_US)
LONGEST_DELAY_US = 20_000
STEP_US = 20_000  # requests that come within this are counted at one moment
START_US = 10**9
REGIONS = 2
BURST = 100.0  # of each limit


@dataclass(frozen=True, slots=True)
class CountsPlan:
    """How many instances are listed, how many of them are whole, and how many limits they share."""

    size: int
    limits: int
    whole: int = 2
    seed: int = 1


class CountsCrowd:
    """Instances are numbered from 0, the whole ones first; the region is the number's parity."""

    def __init__(self, plan: CountsPlan) -> None:
        self.plan = plan
        self.talk = replace(TALK, size=plan.size)
        self.rng = random.Random(plan.seed)
        self.queue = EventQueue()
        self.protocol_meters = [CpuMeter() for _ in range(plan.whole)]
        self.request_meters = [CpuMeter() for _ in range(plan.whole)]
        self.octets: Counter[int] = Counter()
        self.datagrams: Counter[int] = Counter()
        self.window = CountingWindow(
            int(self.talk.window_s * SECOND_US), round(self.talk.window_s / self.talk.bucket_s)
        )
        self.codec = CounterCodec("capacity", [KEY], self.window)
        self.addresses: list[Address] = [(f"10.1.{n >> 8}.{n & 255}", 7400) for n in range(plan.size)]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.keys = [key_of("limit", str(number)) for number in range(plan.limits)]
        self.incarnations = [1] * plan.size
        self.began_us = [START_US] * plan.size
        self.sequences: Counter[tuple[int, int]] = Counter()
        self.down: set[int] = set()
        self.cut = False
        self.due_requests = [0.0] * plan.whole
        self.gossips = [self._started(number) for number in range(plan.whole)]
        for number in range(plan.whole):
            self.queue.after(int(self.rng.random() * PERIOD_US), partial(self._tick, number))
            self.queue.after(int(self.rng.random() * STEP_US), partial(self._requests, number))

    @property
    def local_us(self) -> int:
        """The time by all instances' clocks."""
        return START_US + self.queue.now_us

    def _started(self, number: int) -> CounterGossip:
        counts = SharedCounters(
            f"i{number}",
            self.incarnations[number],
            self.window,
            self.local_us,
            CounterLimits(silence_timeout_us=int((8 * self.talk.round_s + self.talk.delay_s) * SECOND_US)),
        )
        rng = random.Random(self.rng.random())
        gossip = CounterGossip(counts, self.codec, self.addresses[number], rng)
        gossip.set_peers(self.addresses, self.talk.fan_out)
        return gossip

    def reset(self) -> None:
        """Begin to count anew."""
        self.octets.clear()
        self.datagrams.clear()
        for meter in (*self.protocol_meters, *self.request_meters):
            meter.reset()

    # What befalls them

    def stop(self, numbers: Iterable[int]) -> None:
        """Instances are down."""
        self.down |= set(numbers)

    def restart(self, numbers: Iterable[int]) -> None:
        """Instances start with nothing counted, under their old names."""
        for number in numbers:
            self.down.discard(number)
            self.incarnations[number] += 1
            self.began_us[number] = self.local_us
            if number < self.plan.whole:
                self.gossips[number] = self._started(number)

    # Time and messages

    def _requests(self, number: int) -> None:
        """Requests come, each under the limit of its service: it counts, and asks for its part."""
        self.queue.after(STEP_US, partial(self._requests, number))
        if number in self.down:
            return
        counts, now_us = self.gossips[number].counters, self.local_us
        self.due_requests[number] += TARGET.calls_per_s_of_one * STEP_US / SECOND_US
        while self.due_requests[number] >= 1.0:
            self.due_requests[number] -= 1.0
            key = self.rng.choice(self.keys)
            self.request_meters[number].call(self._limited, counts, key, now_us)

    @staticmethod
    def _limited(counts: SharedCounters, key: int, now_us: int) -> None:
        """What a limit for all instances asks for with each request."""
        counts.shares_of(counts.add(key, now_us), BURST, now_us)

    def _tick(self, number: int) -> None:
        self.queue.after(PERIOD_US, partial(self._tick, number))
        if number in self.down:
            return
        for address, data in self.protocol_meters[number].call(self.gossips[number].tick, self.local_us):
            receiver = self.numbers[address]
            self.octets[number] += len(data)
            self.datagrams[number] += 1
            if receiver < self.plan.whole:
                self._send(number, receiver, data)
            elif self._reaches(number, receiver):
                self._mirror(number, receiver, data)

    def _reaches(self, sender: int, receiver: int) -> bool:
        if sender in self.down or receiver in self.down:
            return False
        return not self.cut or sender % REGIONS == receiver % REGIONS

    def _send(self, sender: int, receiver: int, data: bytes) -> None:
        if self._reaches(sender, receiver):
            delay_us = int(self.rng.random() * LONGEST_DELAY_US)
            self.queue.after(delay_us, partial(self._deliver, receiver, data, self.addresses[sender]))

    def _deliver(self, number: int, data: bytes, sender: Address) -> None:
        if number not in self.down:
            self.protocol_meters[number].call(self.gossips[number].receive, data, sender, self.local_us)

    def _mirror(self, sender: int, receiver: int, data: bytes) -> None:
        """A hollow instance of the sender's region tells a whole one of the receiver's the same counts."""
        message = self.codec.decode(data, digest(format_address(self.addresses[receiver])))
        hollow = self._chosen(range(self.plan.whole, self.plan.size), sender)
        whole = self._chosen(range(self.plan.whole), receiver)
        if hollow is not None and whole is not None:
            self._send(hollow, whole, self._written(hollow, whole, message))

    def _chosen(self, numbers: range, like: int) -> int | None:
        """One of these that is up, of the region of another while the regions are cut."""
        for _ in range(64):
            number = self.rng.choice(numbers)
            if number not in self.down and (not self.cut or number % REGIONS == like % REGIONS):
                return number
        return None

    def _written(self, hollow: int, whole: int, message: CounterMessage) -> bytes:
        self.sequences[hollow, whole] += 1
        sent_us = max(0, self.local_us - self.began_us[hollow])
        head = CounterMessage(
            f"i{hollow}", self.incarnations[hollow], self.sequences[hollow, whole], sent_us, ()
        )
        receiver = digest(format_address(self.addresses[whole]))
        return self.codec.encode(receiver, head, [encode_row(row) for row in message.rows])
