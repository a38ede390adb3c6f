"""The talk between fellows on the counts' socket: what is due goes out, what comes is answered."""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Any

from plovertrail.clock import clock_us
from plovertrail.config.fellows import FellowsSetup
from plovertrail.config.peers import PeersSetup
from plovertrail.decisions.fellows import (
    Address,
    Fellows,
    State,
    Word,
    false_suspicion,
    longest_detection_us,
)
from plovertrail.decisions.judgements import Judgements
from plovertrail.peers.envelope import Dropped
from plovertrail.peers.fellows_wire import LONGEST_ZONE, FellowsCodec
from plovertrail.peers.fellowship import Fellowship, teller
from plovertrail.peers.gossip import told

log = logging.getLogger(__name__)
SendTo = Callable[[bytes, Address], None]


class FellowTalk:
    """This instance among its fellows, from its start to its stop. `send` may lose what it is given."""

    def __init__(
        self, peers: PeersSetup, setup: FellowsSetup, seeds: tuple[Address, ...], send: SendTo, seed: int
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.send = send
        self.peers = peers
        now_us, wall_us = clock_us(), time.time_ns() // 1_000
        rng = random.Random(seed)
        # the wall clock's time, so that it grows from start to start; where that clock has stepped back, what
        # others remember of us is refuted
        me = Word(peers.name, peers.listed_as, wall_us, State.ALIVE, setup.zone[:LONGEST_ZONE])
        fellows = Fellows(me, setup.period_us, rng, now_us, seeds, max(peers.size, len(seeds)))
        judgements = Judgements(teller(peers.name), now_us, wall_us) if setup.judgements else None
        self.fellowship = Fellowship(
            fellows,
            judgements,
            FellowsCodec(peers.fleet, peers.keys),
            frozenset({peers.listed_as}),
            setup.gossip_us,
            setup.fan_out,
            now_us,
        )
        self.states: dict[str, State] = {}  # as last logged
        self.twins: set[str] = set()
        self.on_news: Callable[[], None] = lambda: None  # a server is found wrong that was not before
        self.timer: asyncio.Handle = self.loop.call_soon(self._tick)

    @property
    def judgements(self) -> Judgements | None:
        """The evidence on servers that instances exchange; None where the setup has that turned off."""
        return self.fellowship.judgements

    def fits(self, peers: PeersSetup, setup: FellowsSetup) -> bool:
        """Whether it can go on under another setup, with whom it knows."""
        mine, zone = self.fellowship.fellows.me, setup.zone[:LONGEST_ZONE]
        same = (mine.name, mine.address, mine.zone) == (peers.name, peers.listed_as, zone)
        return same and (self.judgements is not None) == setup.judgements

    def configure(self, peers: PeersSetup, setup: FellowsSetup) -> None:
        """Go on with other keys or times."""
        self.peers = peers
        self.fellowship.codec = FellowsCodec(peers.fleet, peers.keys)
        self.fellowship.fellows.period_us = setup.period_us
        self.fellowship.gossip_us, self.fellowship.fan_out = setup.gossip_us, setup.fan_out

    def seeds(self, addresses: tuple[Address, ...]) -> None:
        """Those who are listed now are asked while it knows nobody."""
        self.fellowship.fellows.seeds = addresses

    def received(self, data: bytes, address: Address) -> Dropped | None:
        """A datagram has come; why it was not taken, if it was not."""
        why, out = self.fellowship.received(data, address, clock_us())
        self._send(out)
        self.hurry()
        return why

    def hurry(self) -> None:
        """There may be news that doesn't wait for its turn."""
        judgements = self.judgements
        if judgements is not None and judgements.news:
            self.on_news()
            self.timer.cancel()
            self._arm()

    def _tick(self) -> None:
        now_us = clock_us()
        self._send(self.fellowship.tick(now_us))
        self._log()
        self._arm()

    def _arm(self) -> None:
        wait_us = max(1_000, self.fellowship.due_us() - clock_us())
        self.timer = self.loop.call_later(wait_us / 1e6, self._tick)

    def _send(self, out: list[tuple[Address, bytes]]) -> None:
        for address, data in out:
            self.send(data, address)

    def _log(self) -> None:
        """One line for each change of an instance's state. Hazard: a split of a large fleet would fill the
        log, so of many at a time only their number is told."""
        fellows = self.fellowship.fellows
        now = {name: fellow.word.state for name, fellow in fellows.table.items()}
        changed = {
            name: state
            for name, state in now.items()
            if state is not self.states.get(name, State.ALIVE)
            and state is not State.SUSPECT
            or name not in self.states
        }
        self.states |= {name: state for name, state in now.items() if state is not State.SUSPECT}
        self.states = {name: state for name, state in self.states.items() if name in now}
        if len(changed) > 5:
            log.info("fellows: %d others have changed; %d are there", len(changed), fellows.size - 1)
        else:
            for name, state in changed.items():
                log.info("fellows: %s is %s", name, state.name.lower())
        for name in fellows.twins.keys() - self.twins:
            log.error(
                "fellows: two instances are called %r: one at %s; give each a name of its own",
                name,
                told(fellows.twins[name]),
            )
        self.twins = set(fellows.twins)

    def stood_still(self, gap_us: int) -> None:
        """The process did nothing for `gap_us`: nobody is suspected for that time."""
        self.fellowship.stood_still(gap_us, clock_us())

    def stop(self) -> None:
        """Some hear that it leaves."""
        self.timer.cancel()
        self._send(self.fellowship.leave(clock_us()))

    def status(self) -> dict[str, Any]:
        """Who is there, since when, heard how; for operators."""
        now_us, fellows, sent = clock_us(), self.fellowship.fellows, self.fellowship.sent
        period_us, loss = fellows.period_us, self.peers.loss
        return {
            "name": fellows.me.name,
            "incarnation": fellows.me.incarnation,
            "size": fellows.size,
            "doubt": fellows.doubt,
            "unwell": fellows.unwell,
            "alone": fellows.alone(now_us),
            "detects_within_s": round(longest_detection_us(fellows.size, period_us, loss) / 1e6, 1),
            "false_suspicions": round(false_suspicion(loss), 4),
            "suspected": fellows.suspected,
            "refuted": fellows.refuted,
            "twins": sorted(fellows.twins),
            "sent": sent.datagrams,
            "sent_bytes": sent.octets,
            "taken": sent.taken,
            "dropped": {why.value: count for why, count in sent.dropped.items()},
            "fellows": {
                name: {
                    "state": fellow.word.state.name.lower(),
                    "address": told(fellow.word.address),
                    "zone": fellow.word.zone,
                    "since_s": round((now_us - fellow.since_us) / 1e6, 2),
                    "heard_s_ago": round((now_us - fellow.heard_us) / 1e6, 2) if fellow.heard_us else None,
                    "suspected_by": sorted(fellow.holders),
                }
                for name, fellow in sorted(fellows.table.items())
            },
        }
