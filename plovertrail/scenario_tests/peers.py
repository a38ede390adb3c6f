"""Other instances of a rehearsal: what they are asked for, told to the daemon as datagrams would tell it."""

from __future__ import annotations

import asyncio

from plovertrail.clock import clock_us
from plovertrail.config.peers import PeersSetup
from plovertrail.decisions.counter_rows import CounterMessage, key_of
from plovertrail.decisions.peer_counters import CounterLimits
from plovertrail.decisions.shared_counters import SharedCounters
from plovertrail.scenario_tests.daemon import PlayedDaemon
from plovertrail.scenario_tests.schema import Others


class PlayedPeer:
    """One other instance: asked for its part of a rate, at even steps, and heard once a round, as late as the
    settings allow for."""

    def __init__(
        self, name: str, others: Others, setup: PeersSetup, daemon: PlayedDaemon, zero_us: int
    ) -> None:
        self.others = others
        self.setup = setup
        self.daemon = daemon
        self.zero_us = zero_us
        self.counts = SharedCounters(name, 1, setup.window, clock_us(), limits=CounterLimits(max_keys=64))
        self.sequence = 0
        self.asked = 0  # so far
        self.loop = asyncio.get_running_loop()
        self.round_us = int(setup.talk(setup.size).round_s * 1e6)
        self.loop.call_at((zero_us + others.at_us) / 1e6, self.speak)

    def key(self) -> int | None:
        """What its requests count under; none while no such limit is in force."""
        others = self.others
        if not others.limiter:
            return key_of("tenant", others.tenant)
        limiter = self.daemon.services.limiters.active.get(others.limiter)
        return limiter.fleet_key(others.tenant, others.client) if limiter is not None else None

    def speak(self) -> None:
        """Count the requests that are due by now and tell the daemon the sum, as a peer does once a round."""
        now_us, others, key = clock_us(), self.others, self.key()
        since_us = now_us - self.zero_us - others.at_us
        due = int(others.rate / others.instances * since_us / 1e6)
        if key is not None and due > self.asked:
            self.counts.add(key, now_us, due - self.asked)
        self.asked = due
        row = self.counts.encoded_row(key, now_us) if key is not None else None
        self.sequence += 1
        message = CounterMessage(
            self.counts.name,
            1,
            self.sequence,
            now_us - self.counts.start_us,
            (row,) if row is not None else (),
        )
        self.loop.call_later(self.setup.delay_us / 1e6, self.heard, message)
        if not others.until_us or now_us + self.round_us <= self.zero_us + others.until_us:
            self.loop.call_later(self.round_us / 1e6, self.speak)

    def heard(self, message: CounterMessage) -> None:
        """As after a reload: one with another window is not understood, and one with none has no ear."""
        counts = self.daemon.peers.played_counts
        if counts is not None and counts.window == self.setup.window:
            counts.merge(message, clock_us())


def begin(rows: tuple[Others, ...], setup: PeersSetup, daemon: PlayedDaemon, zero_us: int) -> None:
    """The other instances of a scenario; those of one row are called after it."""
    for number, others in enumerate(rows):
        for each in range(others.instances):
            PlayedPeer(f"peers[{number}].{each}", others, setup, daemon, zero_us)
