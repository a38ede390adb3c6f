"""Plays one scenario with one seed, from the first request till all are answered."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Collection
from dataclasses import dataclass, field, replace

from plovertrail.clock import clock_us, override_clock
from plovertrail.config import operator
from plovertrail.config.setup import Setup
from plovertrail.decisions.endpoint_list import ListedEndpoint
from plovertrail.scenario_tests.daemon import Asked, PlayedClient, PlayedDaemon
from plovertrail.scenario_tests.loop import VirtualLoop
from plovertrail.scenario_tests.peers import begin
from plovertrail.scenario_tests.schema import Event, Load, Scenario
from plovertrail.scenario_tests.servers import Behaviour

SETTLE_US = 1_000_000  # before the first request
SLACK_US = 1_000_000  # after the last deadline


@dataclass(frozen=True, slots=True)
class Moved:
    """What became of a server, and when."""

    at_us: int
    pool: str
    server: str
    move: str


@dataclass
class Played:
    """All that happened."""

    seed: int
    setup: Setup
    zero_us: int  # the scenario's time 0
    asked: list[Asked] = field(default_factory=list)
    moved: list[Moved] = field(default_factory=list)
    told: list[tuple[int, str]] = field(default_factory=list)  # events, for traces
    refusing: set[str] = field(default_factory=set)  # limits, doors and hooks that held a request back
    open_left: int = 0  # requests and attempts that the host still holds at the end

    def time(self, at_us: int) -> str:
        """As traces have it, from the scenario's 0 on."""
        return f"{(at_us - self.zero_us) / 1000:.3f} ms"


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a load, drawn ahead, so that some can be left out when a failure is shrunk."""

    number: int
    at_us: int
    load: Load


def arrivals(scenario: Scenario, seed: int) -> list[Arrival]:
    """The requests of a scenario in the order of their times."""
    rng = random.Random(seed)
    found: list[tuple[int, Load]] = []
    for load in scenario.loads:
        if load.count:
            found += [(load.at_us, load)] * load.count
        at = float(load.at_us)
        while load.rate and (at := at + rng.expovariate(load.rate) * 1e6) < load.until_us:
            found.append((int(at), load))
    found.sort(key=lambda pair: pair[0])
    return [Arrival(number, at_us, load) for number, (at_us, load) in enumerate(found)]


class Player:
    """Plays a scenario with a seed through the daemon's code; of its requests those in `only`, or all."""

    def __init__(self, setup: Setup, scenario: Scenario, seed: int, only: Collection[int] | None) -> None:
        self.scenario = scenario
        self.seed = seed
        self.only = only
        self.behaviours: dict[tuple[str, str], Behaviour] = {}
        self.usual = Behaviour()
        self.daemon = PlayedDaemon(
            setup, seed, lambda pool, server: self.behaviours.get((pool, server), self.usual)
        )
        self.gone: dict[tuple[str, str], ListedEndpoint] = {}
        self.played = Played(seed, setup, clock_us() + SETTLE_US)

    async def play(self) -> Played:
        """Schedule all events and requests, wait until the last must be over, and return what happened."""
        loop, played = asyncio.get_running_loop(), self.played
        if played.setup.peers is not None:
            begin(self.scenario.peers, played.setup.peers, self.daemon, played.zero_us)
        for event in self.scenario.events:
            loop.call_at((played.zero_us + event.at_us) / 1e6, self.happens, event)
        last_us = max([event.at_us for event in self.scenario.events], default=0)
        for arrival in arrivals(self.scenario, self.seed):
            if self.only is None or arrival.number in self.only:
                loop.call_at((played.zero_us + arrival.at_us) / 1e6, self.asks, arrival)
                last_us = max(last_us, arrival.at_us)
        longest_us = max(kind.deadline_us for kind in played.setup.classes)
        await asyncio.sleep((SETTLE_US + last_us + longest_us + SLACK_US) / 1e6)
        played.asked = self.daemon.asked
        played.open_left = len(self.daemon.dispatcher.requests)
        played.refusing = self.daemon.refusing()
        return played

    def asks(self, arrival: Arrival) -> None:
        """A client sends its request, and leaves after `leaves_us` if its load says so."""
        load = arrival.load
        ident = b"%d" % arrival.number
        text = f"{load.asks.method} http://{load.asks.host}{load.asks.target}"
        asked = Asked(arrival.number, text, 0, load.name, ident)
        client = self.daemon.ask(
            load.asks.listener, load.asks.address, load.asks.head(ident, load.body), asked
        )
        if load.leaves_us:
            asyncio.get_running_loop().call_later(load.leaves_us / 1e6, self.leaves, client)

    @staticmethod
    def leaves(client: PlayedClient) -> None:
        """A client closes its connection if it still has no answer."""
        if not client.asked.answers:
            client.leave()

    def happens(self, event: Event) -> None:
        """Carry out one event: a reload, a list, reports of peers, a server's new behaviour or a move."""
        now_us = clock_us()
        if event.reload:
            self.played.told.append((now_us, f"reload: {event.reload}"))
            self.daemon.follow(operator.load(event.reload))
            return
        if event.lists is not None:
            self.lists(event, event.lists, now_us)
            return
        where = f"{event.pool}/{event.server}"
        if event.heard:
            self.played.told.append((now_us, f"{where}: {event.tellers} others find it {event.heard}"))
            self.daemon.hears(event)
            return
        if event.behaviour is not None:
            self.behaviours[event.pool, event.server] = event.behaviour
            self.played.told.append(
                (
                    now_us,
                    f"{where}: {event.behaviour.does.value}, after {event.behaviour.after_us / 1000:g} ms",
                )
            )
            return
        self.played.told.append((now_us, f"{where}: {event.move}"))
        if event.move in ("drain", "undrain"):
            self.daemon.drain(event.pool, event.server, event.move == "drain")
        elif event.move == "gone":
            entries = self.daemon.pools[event.pool].registry.state.members
            if event.server in entries:
                self.gone[event.pool, event.server] = entries[event.server].listed
            self.daemon.change_servers(
                event.pool, lambda listed: tuple(entry for entry in listed if entry.id != event.server)
            )
        else:
            back = self.gone.pop((event.pool, event.server), None)
            if back is not None:
                # what has just started is told so, whatever the list knew before
                back = replace(back, started_us=now_us)
                self.daemon.change_servers(event.pool, lambda listed: (*listed, back))
        self.played.moved.append(Moved(now_us, event.pool, event.server, event.move))

    def lists(self, event: Event, wanted: frozenset[str], now_us: int) -> None:
        """A pool's source has another list."""
        registry = self.daemon.pools[event.pool].registry
        before = set(registry.state.members)
        refused = self.daemon.list_servers(
            event.pool, wanted, self.played.setup.pools[event.pool].servers, event.version
        )
        text = f"{event.pool} lists {', '.join(sorted(wanted)) or 'no server'}"
        self.played.told.append((now_us, f"{text}: refused, {'; '.join(refused)}" if refused else text))
        after = set(registry.state.members)
        for ident in sorted(before ^ after):
            self.played.moved.append(Moved(now_us, event.pool, ident, "join" if ident in after else "gone"))


def play(setup: Setup, scenario: Scenario, seed: int, only: Collection[int] | None = None) -> Played:
    """Play a scenario; `only` names the requests that come, all if None."""
    loop = VirtualLoop(seed)
    before = logging.root.manager.disable
    logging.disable(logging.CRITICAL)  # what the daemon would log is in the trace, as far as it matters
    try:
        with override_clock(loop.nanoseconds):

            async def whole() -> Played:
                return await Player(setup, scenario, seed, only).play()

            return loop.run_until_complete(whole())
    finally:
        logging.disable(before)
        loop.close()
