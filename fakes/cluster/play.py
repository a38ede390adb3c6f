"""Plays a schedule: processes, relays on the links from instances to servers, clients, faults, a verdict."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path

from fakes.cluster.instances import Instance, talk_text
from fakes.cluster.judge import Verdict, judge
from fakes.cluster.load import Load
from fakes.cluster.relay import Switch, TcpRelay, Way
from fakes.cluster.schedule import OF_PROCESS, OF_SERVER, OF_TALK, Event, Schedule
from fakes.cluster.servers import ServerList, Shop


@dataclass(eq=False)
class Cluster:
    """All that runs. Each instance has a list of its own, as it reaches servers through relays of its own."""

    schedule: Schedule
    rng: random.Random
    instances: list[Instance]
    load: Load
    shops: list[Shop] = field(default_factory=list)  # in their places
    gone: list[Shop] = field(default_factory=list)  # another one has its place
    lists: list[ServerList] = field(default_factory=list)  # by instance
    relays: dict[tuple[int, int], TcpRelay] = field(default_factory=dict)  # by instance and place
    all_relays: list[TcpRelay] = field(default_factory=list)
    told: list[str] = field(default_factory=list)  # what was done, and when
    switch: Switch | None = None  # between instances, where they talk
    begins: float = 0.0  # of the play, by the monotonic clock

    def links(self, event: Event) -> list[TcpRelay]:
        """The relays between the instances and the servers that an event names."""
        return [self.relays[one, server] for one in event.instances for server in event.servers]

    def ways(self, event: Event) -> list[Way]:
        """The directions of those relays that an event names."""
        return [
            way
            for relay in self.links(event)
            for way, name in ((relay.forth, "forth"), (relay.back, "back"))
            if event.link in (name, "both")
        ]

    async def do(self, event: Event) -> None:
        """One event of the schedule."""
        if event.do in OF_PROCESS:
            for number in event.instances:
                getattr(self.instances[number], event.do)()
        elif event.do in OF_SERVER:
            for number in event.servers:
                await self.change(number, event.do)
            for each in self.lists:
                each.write()
        elif event.do in OF_TALK:
            self.talk(event)
        else:
            self.fault(event)
        self.told.append(
            f"{event.at:.2f} s  {event.do} instances {list(event.instances)} servers {list(event.servers)}"
        )

    async def change(self, number: int, do: str) -> None:
        """What becomes of one server; the lists are written after it."""
        shop = self.shops[number]
        if do in ("silent", "failing", "well"):
            shop.silent, shop.failing = do == "silent", do == "failing"
        elif do == "undrain":
            shop.told_drain = float("inf")
        else:
            shop.told_drain = time.monotonic()  # one that goes gets nothing new either
            if do == "replace":
                self.gone.append(shop)
                await self.put(number, Shop(f"{shop.name}+", shop.answer_s, shop.slots))

    async def put(self, number: int, shop: Shop) -> None:
        """A server at a place, reached through relays of its own."""
        await shop.web.start()
        self.shops[number : number + 1] = [shop]
        for one, listed in enumerate(self.lists):
            relay = TcpRelay(("127.0.0.1", shop.web.port), random.Random(self.rng.random()))
            await relay.start()
            self.all_relays.append(relay)
            self.relays[one, number] = relay
            listed.ports[shop.name] = relay.port

    def talk(self, event: Event) -> None:
        """What becomes of datagrams between instances."""
        assert self.switch is not None
        for one in event.instances:
            for other in event.others:
                for pair, name in (((one, other), "forth"), ((other, one), "back")):
                    way = self.switch.ways.get(pair)
                    if way is None or event.link not in (name, "both"):
                        continue
                    if event.do == "split":
                        way.cut()
                    elif event.do == "heal":
                        way.mend()
                    else:
                        way.loss, way.repeats, way.reordered = event.loss, event.repeats, event.reordered
                        way.delay_s, way.jitter_s = event.seconds, event.jitter

    def fault(self, event: Event) -> None:
        """On the links between instances and servers."""
        for relay in self.links(event):
            if event.do in ("refuse", "accept"):
                relay.refusing = event.do == "refuse"
            if event.do in ("refuse", "reset"):
                relay.reset()
        for way in self.ways(event):
            if event.do in ("cut", "mend"):
                getattr(way, event.do)()
            elif event.do == "delay":
                way.delay_s, way.jitter_s = event.seconds, event.jitter
            elif event.do == "slow":
                way.bytes_per_s = event.bytes_per_s

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
        """The judgement on all requests so far."""
        return judge(self.load.sent, [*self.shops, *self.gone], self.instances)


@asynccontextmanager
async def cluster(schedule: Schedule, folder: Path) -> AsyncIterator[Cluster]:
    """Everything started and ready; all of it ended afterwards."""
    rng = random.Random(schedule.seed)
    instances = [
        Instance(
            one,
            folder / f"i{one}",
            folder / f"servers{one}.txt",
            deadline=f"{schedule.deadline_s:g}s",
            plain_loop=schedule.plain_loop,
            fleet=schedule.instances,
            slow_start=schedule.slow_start,
        )
        for one in range(schedule.instances)
    ]
    load = Load(
        instances,
        random.Random(rng.random()),
        schedule.per_s,
        schedule.unsafe,
        schedule.deadline_s,
        schedule.tries,
    )
    it = Cluster(schedule, rng, instances, load)
    if schedule.fellows:
        it.switch = Switch([each.talks_at for each in instances], random.Random(rng.random()))
        await it.switch.start()
        key = folder / "key"
        key.write_text("0123456789abcdef0123456789abcdef")
        for each in instances:
            each.lies = each.number >= schedule.instances - schedule.liars
            each.talk = talk_text(each, it.switch.known_as, key, schedule.judgements)
    it.lists = [ServerList(each.servers, it.shops, {}) for each in instances]
    try:
        for number in range(schedule.servers):
            await it.put(number, Shop(f"s{number}", schedule.answer_s, schedule.slots))
        for listed, instance in zip(it.lists, instances, strict=True):
            listed.write()
            instance.start()
        await asyncio.gather(*(each.ready() for each in instances))
        yield it
    finally:
        await asyncio.gather(*(asyncio.to_thread(each.end) for each in instances))
        if it.switch is not None:
            it.switch.stop()
        for relay in it.all_relays:
            relay.stop()
        for shop in (*it.shops, *it.gone):
            shop.web.stop()
