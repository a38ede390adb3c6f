"""Usage counted over instances: `python -m benchmarks.shared_counts`.

Twenty instances with a UDP socket each on loopback, three tenants with changing load; three in ten
datagrams are dropped by a printed seed, the others come up to 200 ms late; the fleet is split in halves
for a while, and one instance restarts. Each second each instance's estimate is held against the true
count and the bound that was stated before. Then, on the virtual clock, what a limit of 1,000 a second
lets through in all: with shared counts, with a part for each by their number, and with neither. Then CPU
and bytes a second of one instance among 5, 20 and 100 (the last on the virtual clock). `--virtual` plays
all of it on the virtual clock.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import socket
import statistics
import sys
import time
from bisect import bisect_left, bisect_right
from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

from benchmarks.report import Bar, close, table
from fakes.peers_model import KEY, SECOND_US, PeersModel
from plovertrail.clock import clock_us
from plovertrail.config.peers import PeersSetup
from plovertrail.decisions.counter_error_bound import GossipParameters, error_bound
from plovertrail.decisions.counter_rows import CountingWindow, key_of
from plovertrail.decisions.rate_limits import (
    Allowance,
    KeyedBy,
    Permit,
    RateLimiter,
    RateLimiterSettings,
    admit,
)
from plovertrail.peers.transport import PeerTransport, bind

TALK = GossipParameters(size=20, period_s=0.1, fan_out=8, window_s=10.0, bucket_s=0.5, loss=0.3, delay_s=0.2)
TENANTS = [key_of("tenant", name) for name in ("steady", "bursty", "small")]
STEP_S = 0.02
LIMIT_PER_S = 1_000.0


def rates(second: float) -> list[float]:
    """Requests a second of the three: one steady, one that doubles and halves, one small that swells."""
    return [80.0, 120.0 if int(second) % 14 < 7 else 40.0, 5.0 + 15.0 * (int(second) % 10 >= 8)]


class LossySocket:
    """Sends late, or not at all; stands where a socket does."""

    def __init__(
        self, sock: socket.socket, talk: GossipParameters, rng: random.Random, through: Callable[[Any], bool]
    ) -> None:
        self.sock = sock
        self.talk = talk
        self.rng = rng
        self.through = through
        self.fileno, self.close, self.recvfrom = sock.fileno, sock.close, sock.recvfrom

    def sendto(self, data: bytes, address: Any) -> None:
        """Send a datagram after a random delay, or lose it."""
        if self.rng.random() >= self.talk.loss and self.through(address):
            late_s = self.rng.random() * self.talk.delay_s
            asyncio.get_running_loop().call_later(late_s, self.late, data, address)

    def late(self, data: bytes, address: Any) -> None:
        """Send a datagram that was held back, if the socket is still open."""
        if self.sock.fileno() >= 0:
            self.sock.sendto(data, address)


class RealFleet:
    """Instances with sockets on loopback, in this process."""

    def __init__(self, talk: GossipParameters, seed: int) -> None:
        self.talk = talk
        self.rng = random.Random(seed)
        self.socks = [bind(("127.0.0.1", 0)) for _ in range(talk.size)]
        self.addresses = [sock.getsockname() for sock in self.socks]
        self.numbers = {address: number for number, address in enumerate(self.addresses)}
        self.split = False
        self.talks = [self.start(number, sock) for number, sock in enumerate(self.socks)]
        self.truth: dict[int, list[int]] = {key: [] for key in TENANTS}
        self.halves: tuple[dict[int, list[int]], ...] = tuple({key: [] for key in TENANTS} for _ in range(2))

    @property
    def now_us(self) -> int:
        """The monotonic clock, in microseconds."""
        return clock_us()

    def start(self, number: int, sock: socket.socket) -> PeerTransport:
        """Start an instance on its socket."""
        talk = self.talk
        window = CountingWindow(int(talk.window_s * SECOND_US), round(talk.window_s / talk.bucket_s))
        setup = PeersSetup(
            f"i{number}",
            self.addresses[number],
            self.addresses[number],
            tuple(self.addresses),
            "",
            talk.size,
            "bench",
            (KEY,),
            int(talk.period_s * SECOND_US),
            talk.fan_out,
            window,
            4_096,
            True,
            talk.loss,
            int(talk.delay_s * SECOND_US),
            1.0,
            talk.keys,
        )

        def through(address: Any) -> bool:
            return not self.split or self.numbers[address] % 2 == number % 2

        if talk.loss:
            sock = cast(socket.socket, LossySocket(sock, talk, self.rng, through))
        return PeerTransport(setup, sock, self.rng.randrange(2**32))

    def restart(self, number: int) -> None:
        """Stop an instance and start a new one in its place, which remembers nothing."""
        again = self.socks[number].dup()
        self.talks[number].stop()
        self.socks[number] = again
        self.talks[number] = self.start(number, again)

    def count(self, number: int, key: int) -> None:
        """Count once under a key at one instance, and in the truth."""
        now_us = clock_us()
        self.talks[number].counters.add(key, now_us)
        self.truth[key].append(now_us)
        self.halves[number % 2][key].append(now_us)

    def estimate(self, number: int, key: int) -> float:
        """What an instance takes the count of all for."""
        return self.talks[number].counters.estimate(key, clock_us())

    def stop(self) -> None:
        """Stop all instances."""
        for talk in self.talks:
            talk.stop()


class VirtualFleet(PeersModel):
    """The same on the virtual clock."""

    def __init__(self, talk: GossipParameters, seed: int) -> None:
        super().__init__(talk, seed=seed)
        self.truth = {key: [] for key in TENANTS}
        self.halves: tuple[dict[int, list[int]], ...] = tuple({key: [] for key in TENANTS} for _ in range(2))
        self.split = False
        self.delivers = lambda sender, receiver: not self.split or sender % 2 == receiver % 2

    def count(self, number: int, key: int) -> None:
        """Count once under a key at one instance, and in the truth."""
        super().count(number, key)
        self.halves[number % 2][key].append(self.now_us)


Fleet = RealFleet | VirtualFleet


def peak(times: list[int], now_us: int, span_s: float) -> float:
    """The highest rate a second over any such span of the window and the staleness before now."""
    span_us, step_us = int(span_s * SECOND_US), SECOND_US // 10
    first_us = now_us - int((TALK.window_s + error_bound(TALK).staleness_s) * SECOND_US)
    return max(
        (bisect_right(times, at) - bisect_left(times, at - span_us)) / span_s
        for at in range(first_us, now_us + step_us, step_us)
    )


class Judge:
    """Holds estimates against the truth and the bound."""

    def __init__(self) -> None:
        self.stated = error_bound(TALK)
        self.looks = self.outside = self.seconds_outside = 0
        self.worst = self.worst_split = 0.0
        self.lowest = self.highest = 0.0

    def look(self, fleet: Fleet, split_s: float, skip: set[int]) -> None:
        """Hold the estimates of all instances, but those in `skip`, to the stated bound."""
        outside = 0
        for key in TENANTS:
            now_us = fleet.now_us
            times = fleet.truth[key]
            true = len(times) - bisect_right(times, now_us - int(TALK.window_s * SECOND_US))
            fast = peak(times, now_us, TALK.bucket_s)
            stale = peak(times, now_us, self.stated.staleness_s) * self.stated.staleness_s
            over = fast * (TALK.delay_s + TALK.bucket_s)
            since_us = now_us - int(min(split_s, TALK.window_s) * SECOND_US)
            far = [len(half[key]) - bisect_right(half[key], since_us) for half in fleet.halves]
            for number in set(range(TALK.size)) - skip:
                under = stale + fast * TALK.bucket_s + far[1 - number % 2]
                off = fleet.estimate(number, key) - true
                ratio = off / max(over, 1.0) if off > 0 else -off / max(under, 1.0)
                outside += ratio > 1.0
                self.looks += 1
                if split_s:
                    self.worst_split = max(self.worst_split, ratio)
                else:
                    self.worst = max(self.worst, ratio)
                    self.lowest = min(self.lowest, off / max(true, 1))
                    self.highest = max(self.highest, off / max(true, 1))
        self.outside += outside
        self.seconds_outside += outside > 0


async def within_bound(fleet: Fleet, seconds: float, seed: int, virtual: bool) -> Judge:
    """Play the load, the split and the restart; each second a look."""
    rng, judge = random.Random(seed), Judge()
    began_us, began_at, done = fleet.now_us, time.monotonic(), 0
    splits_s, heals_s, restarts_s = 0.4 * seconds, 0.55 * seconds, 0.75 * seconds
    settle_s = judge.stated.staleness_s
    steps = int(seconds / STEP_S)
    restarted = False
    for step in range(steps):
        at = step * STEP_S
        if virtual:
            assert isinstance(fleet, VirtualFleet)
            fleet.run(began_us + int(at * SECOND_US))
        else:
            await asyncio.sleep(max(0.0, began_at + at - time.monotonic()))
        fleet.split = splits_s <= at < heals_s
        if at >= restarts_s and not restarted:
            restarted = True
            fleet.restart(7)
        for key, rate in zip(TENANTS, rates(at), strict=True):
            for _ in range(int(rate * STEP_S + rng.random())):
                fleet.count(rng.randrange(TALK.size), key)
        if at >= settle_s and int(at) > done:
            done = int(at)
            # while split, and till what was said since has reached all; a new one hears of all in as long
            since_s = at - splits_s if splits_s <= at < heals_s + settle_s else 0.0
            fresh = restarted and at < restarts_s + settle_s
            judge.look(fleet, since_s, {7} if fresh else set())
    return judge


class Limited:
    """The limit of each instance of a fleet on the virtual clock, in one of three ways."""

    def __init__(self, way: str, seed: int) -> None:
        self.model = PeersModel(TALK, seed=seed)
        self.way = way
        self.limits = []
        for number, gossip in enumerate(self.model.gossips):
            rate = LIMIT_PER_S / TALK.size if way == "share" else LIMIT_PER_S
            allowance = Allowance(rate, max(1, int(rate)))
            made = RateLimiter(
                RateLimiterSettings("it", KeyedBy.ALL, allowance, fleet_wide=way == "counts"),
                random.Random(number).random,
            )
            made.counts = gossip.counters if way == "counts" else None
            self.limits.append(made)

    def play(self, seconds: int, per_s: float, weights: list[float]) -> list[int]:
        """What was let in each second."""
        let = [0] * seconds
        model, numbers = self.model, range(TALK.size)
        end_us = model.now_us + seconds * SECOND_US
        began_us = model.now_us
        while True:
            at_us = model.now_us + int(model.rng.expovariate(per_s / SECOND_US))
            if at_us >= end_us:
                break
            model.run(at_us)
            (number,) = model.rng.choices(numbers, weights)
            limit, now_us = self.limits[number], model.local_us(number)
            found = admit([limit], "", "c", now_us)
            if isinstance(found, list):
                let[(at_us - began_us) // SECOND_US] += 1
                for permit in found:
                    assert isinstance(permit, Permit)
                    limit.ended(permit, now_us)
        model.run(end_us)
        return let


SPREADS = {
    "3,000 a second, even": (3_000.0, [1.0] * 20),
    "3,000 a second, half at one": (3_000.0, [19.0, *[1.0] * 19]),
    "800 a second, half at one": (800.0, [19.0, *[1.0] * 19]),
}


def let_through(seconds: int, seed: int) -> dict[str, dict[str, tuple[float, int]]]:
    """By load and way: what is let in a second after a settling, and in the worst second."""
    found: dict[str, dict[str, tuple[float, int]]] = {}
    for name, (per_s, weights) in SPREADS.items():
        for way in ("counts", "share", "neither"):
            let = Limited(way, seed).play(seconds, per_s, weights)[seconds // 3 :]
            found.setdefault(name, {})[way] = sum(let) / len(let), max(let)
    return found


async def cost(size: int, seconds: float) -> tuple[float, float]:
    """CPU (ms) and bytes sent, both a second and an instance, with sockets."""
    fleet = RealFleet(replace(TALK, size=size, loss=0.0), 1)
    for number in range(size):
        for key in TENANTS:
            fleet.count(number, key)
    await asyncio.sleep(0.3)
    before, sent = time.process_time(), sum(talk.gossip.traffic.bytes_sent for talk in fleet.talks)
    await asyncio.sleep(seconds)
    used = time.process_time() - before
    octets = sum(talk.gossip.traffic.bytes_sent for talk in fleet.talks) - sent
    fleet.stop()
    return used * 1e3 / size / seconds, octets / size / seconds


def virtual_cost(size: int, seconds: float) -> tuple[float, float]:
    """The same without sockets; the kernel's part is not in it."""
    model = PeersModel(replace(TALK, size=size, loss=0.0, delay_s=0.01))
    for number in range(size):
        for key in TENANTS:
            model.count(number, key)
    before = time.process_time()
    model.run(int(seconds * SECOND_US))
    used = time.process_time() - before
    return used * 1e3 / size / seconds, model.bytes_sent.total() / size / seconds


def request_cost() -> tuple[float, float]:
    """CPU (us) of a request under a limit of one instance, and under one for all: 20 instances in use."""
    found = []
    for way in ("share", "counts"):
        limited = Limited(way, 1)
        limited.play(3, 400.0, [1.0] * TALK.size)
        limit, now_us = limited.limits[0], limited.model.local_us(0)
        rounds = []
        for _ in range(5):
            began = time.process_time()
            for number in range(2_000):
                permits = admit([limit], "", "c", now_us + number * 1_000)
                if isinstance(permits, list):
                    limit.ended(permits[0], now_us + number * 1_000)
            rounds.append((time.process_time() - began) / 2_000 * 1e6)
            now_us += 2_000_000
        found.append(statistics.median(rounds))
    return found[0], found[1]


def main() -> int:
    """Play a fleet and print its errors; returns 1 if a bar is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=11)
    parser.add_argument("--virtual", action="store_true")
    arguments = parser.parse_args()
    seconds, seed = arguments.seconds, arguments.seed
    stated = error_bound(TALK)
    print(
        f"seed {seed}; stated before: at most {stated.under:.1%} too low and {stated.over:.1%} too high of "
        f"rate times window, but with {stated.probability:g}; none older than {stated.staleness_s:.2f} s"
    )

    async def play() -> Judge:
        fleet: Fleet = VirtualFleet(TALK, seed) if arguments.virtual else RealFleet(TALK, seed)
        try:
            return await within_bound(fleet, seconds, seed, arguments.virtual)
        finally:
            if isinstance(fleet, RealFleet):
                fleet.stop()

    judge = asyncio.run(play())
    table(
        ["estimates", "figure"],
        [
            ["looks", judge.looks],
            ["outside the bound", judge.outside],
            ["seconds with any outside", judge.seconds_outside],
            ["worst, of the bound", judge.worst],
            ["worst in the split, of its bound", judge.worst_split],
            ["lowest, of the true count", judge.lowest],
            ["highest", judge.highest],
        ],
    )
    through = let_through(max(6, int(min(seconds, 30.0))), seed)
    table(
        ["a limit of 1,000 a second for all", "counts", "worst second", "share", "neither"],
        [
            [name, ways["counts"][0], ways["counts"][1], ways["share"][0], ways["neither"][0]]
            for name, ways in through.items()
        ],
    )
    if arguments.virtual:
        costs = {size: virtual_cost(size, 3.0) for size in (5, 20)}
    else:
        costs = {size: asyncio.run(cost(size, min(10.0, seconds / 2))) for size in (5, 20)}
    costs[100] = virtual_cost(100, 3.0)
    table(
        ["instances", "CPU ms a second each", "bytes a second each"],
        [[size, *each] for size, each in costs.items()],
    )
    alone_us, shared_us = request_cost()
    table(
        ["a request under a limit, CPU us", "of one instance", "of all", "times"],
        [["", alone_us, shared_us, shared_us / alone_us]],
    )
    even = through["3,000 a second, even"]["counts"][0]
    uneven = through["3,000 a second, half at one"]["counts"][0]
    may_be = max(1.0, judge.looks * stated.probability)
    bars = [
        Bar("looks outside, of those that may be", judge.outside / may_be, 1),
        Bar("worst, of the bound", judge.worst, 1.0),
        Bar("let through by an even load, of the limit", even / LIMIT_PER_S, 1.05),
        Bar("let through by an uneven load, of the limit", uneven / LIMIT_PER_S, 1.05),
    ]
    figures: dict[str, object] = {
        "seed": seed,
        "looks": judge.looks,
        "outside": judge.outside,
        "worst": round(judge.worst, 3),
        "worst_split": round(judge.worst_split, 3),
        "lowest": round(judge.lowest, 3),
        "highest": round(judge.highest, 3),
        "let_through": {
            name: {way: round(each[0], 1) for way, each in ways.items()} for name, ways in through.items()
        },
        "request_us": [round(alone_us, 1), round(shared_us, 1)],
        "cost": {str(size): [round(each[0], 2), round(each[1])] for size, each in costs.items()},
    }
    return close("shared_counts", figures, bars)


if __name__ == "__main__":
    sys.exit(main())
