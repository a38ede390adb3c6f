"""Plays a schedule: processes, relays on the links from instances to servers, clients, faults, a verdict."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from standins.cluster.instances import Instance
from standins.cluster.judge import Verdict, judge
from standins.cluster.load import Load
from standins.cluster.relay import TcpRelay, Way
from standins.cluster.schedule import Event, Schedule
from standins.cluster.servers import ServerList, Shop


@dataclass(eq=False)
class Cluster:
    """All that runs. Each instance has a list of its own, as it reaches servers through relays of its own."""

    schedule: Schedule
    shops: list[Shop]
    instances: list[Instance]
    lists: list[ServerList]
    relays: dict[tuple[int, int], TcpRelay]  # by instance and server
    load: Load
    told: list[str] = field(default_factory=list)  # what was done, and when
    begins: float = 0.0  # of the play, by the monotonic clock

    def drain(self, number: int) -> None:
        """One word to all instances."""
        for each in self.lists:
            each.drain(self.shops[number])

    def links(self, event: Event) -> list[TcpRelay]:
        return [self.relays[one, server] for one in event.instances for server in event.servers]

    def ways(self, event: Event) -> list[Way]:
        return [way for relay in self.links(event)
                for way, name in ((relay.forth, "forth"), (relay.back, "back"))
                if event.link in (name, "both")]

    async def do(self, event: Event) -> None:
        """One event of the schedule."""
        for number in event.instances if event.do in ("stop", "wake", "kill", "start", "lose_state") else ():
            getattr(self.instances[number], event.do)()
        if event.do == "drain":
            for number in event.servers:
                self.drain(number)
        elif event.do == "undrain":
            for number in event.servers:
                for each in self.lists:
                    each.undrain(self.shops[number])
        elif event.do in ("silent", "well"):
            for number in event.servers:
                self.shops[number].silent = event.do == "silent"
        elif event.do == "reset":
            for relay in self.links(event):
                relay.reset()
        elif event.do in ("cut", "mend"):
            for way in self.ways(event):
                getattr(way, event.do)()
        elif event.do == "delay":
            for way in self.ways(event):
                way.delay_s, way.jitter_s = event.seconds, event.jitter
        self.told.append(f"{event.at:.2f} s  {event.do} instances {list(event.instances)} "
                         f"servers {list(event.servers)}")

    async def play(self) -> Verdict:
        """The whole schedule under load, and what is broken."""
        begins = self.begins = time.monotonic()
        self.load.start()
        for event in self.schedule.events:
            await asyncio.sleep(max(0.0, begins + event.at - time.monotonic()))
            await self.do(event)
        await asyncio.sleep(max(0.0, begins + self.schedule.seconds - time.monotonic()))
        await self.load.stop()
        return self.verdict()

    def verdict(self) -> Verdict:
        return judge(self.load.sent, self.shops, self.instances)


@asynccontextmanager
async def cluster(schedule: Schedule, folder: Path) -> AsyncIterator[Cluster]:
    """Everything started and ready; all of it ended afterwards."""
    rng = random.Random(schedule.seed)
    shops = [Shop(f"s{number}", schedule.answer_s, schedule.slots) for number in range(schedule.servers)]
    relays: dict[tuple[int, int], TcpRelay] = {}
    instances: list[Instance] = []
    lists: list[ServerList] = []
    try:
        for shop in shops:
            await shop.web.start()
        for one in range(schedule.instances):
            path = folder / f"servers{one}.txt"
            listed = ServerList(path, shops)
            for number, shop in enumerate(shops):
                relay = TcpRelay(("127.0.0.1", shop.web.port), random.Random(rng.random()))
                relays[one, number] = relay
                await relay.start()
                listed.ports[shop.name] = relay.port
            listed.write()
            lists.append(listed)
            instances.append(Instance(one, folder / f"i{one}", path, deadline=f"{schedule.deadline_s:g}s",
                                      plain_loop=schedule.plain_loop))
            instances[-1].start()
        await asyncio.gather(*(each.ready() for each in instances))
        load = Load(instances, random.Random(rng.random()), schedule.per_s, schedule.unsafe,
                    schedule.deadline_s)
        yield Cluster(schedule, shops, instances, lists, relays, load)
    finally:
        await asyncio.gather(*(asyncio.to_thread(each.end) for each in instances))
        for relay in relays.values():
            relay.stop()
        for shop in shops:
            shop.web.stop()
