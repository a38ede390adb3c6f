"""Some of a fleet's instances in one process: each has a host, a decision module, a watch and connections."""

from __future__ import annotations

import asyncio
import gc
import json
import random
import sys
import time
from collections import Counter
from functools import partial
from typing import Any

from fakes.fleet.plan import Plan
from plovertrail.clock import clock_us
from plovertrail.decisions import fleet_limits, subsetting
from plovertrail.decisions.events import EndpointsUpdated
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.types import ProxyRequest, ProxyResponse, ResponseKind
from plovertrail.sources.directory import Directory
from plovertrail.sources.discovery import Discovery
from plovertrail.upstreams.connection_pool import ConnectionPool

AIM_US, DEADLINE_US = 400_000, 1_200_000
MOST_CONNECTIONS = 64
NARROW_S = 1.0  # between two looks at what a subset can do without, as the daemon has it


class Instance:
    """One instance, as the platform's program builds it, with a part of its servers."""

    def __init__(self, plan: Plan, number: int, discovery_port: int, known: Any) -> None:
        self.fleet = fleet_limits.Fleet(plan.instances, number)
        self.bounds = fleet_limits.FleetLimits(plan.servers_each, plan.connections, plan.dials_per_s)
        self.rng = random.Random(number)
        settings = Settings(
            classes=[RequestClass("read", AIM_US, DEADLINE_US, effect="at_most_once", late_weight=0.3)],
            instances=self.fleet.size,
            self_index=number,
            max_attempts=4,
            max_retry_after_us=10_000_000,
            connect_timeout_us=500_000,
            cancel=True,
            endpoints_on_request=True,
            max_poll_interval_us=60_000_000,
            discovery_rate_per_s=plan.list_calls_per_s,
            warm_up_initial_capacity=plan.cold_share,
            warm_up_us=int(plan.warm_up_s * 1e6),
            overload_factor=plan.overload_factor,
            overload_duration_us=int(plan.fall_s * 1e6),
        )
        self.dispatcher = Dispatcher()
        self.connections = ConnectionPool(int(plan.idle_s * 1e6), 500_000, MOST_CONNECTIONS)
        self.pool = self.dispatcher.pools.add("", settings, number, self.connections)
        if plan.servers_each:
            self.pool.use_subset(subsetting.EndpointSubset(number, plan.servers_each))
            self._narrow()
        self.discovery = Discovery(("127.0.0.1", discovery_port), Directory(["a"], ["m"]), self.listed)
        self.dispatcher.discovery = self.discovery
        self.discovery.load_cached(known)
        self.dispatcher.start(self.pool)

    def _narrow(self) -> None:
        self.dispatcher.loop.call_later(NARROW_S, self._narrow)
        self.dispatcher.shrink_subset(self.pool)

    def listed(self, event: EndpointsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        """A list of servers has come: hand it to the host, and fit the budget to its length."""
        self.dispatcher.pools.update_endpoints(self.pool, event, addresses)
        budget = fleet_limits.instance_limits(self.fleet, self.bounds, len(self.pool.feed.listed))
        if budget != self.connections.limits.instance:
            self.connections.apply_limits(budget, self.rng.random())


class Load:
    """Requests to instances drawn at random, and how they were answered, by second."""

    def __init__(self, plan: Plan, instances: list[Instance]) -> None:
        self.plan = plan
        self.instances = instances
        self.rng = random.Random(instances[0].fleet.number)
        self.gap_s = plan.instances / (plan.requests_per_s * len(instances))
        self.counts: dict[str, Counter[int]] = {name: Counter() for name in ("asked", "twice", "late")}
        self.counts |= {verdict.value: Counter() for verdict in ResponseKind}
        self.taken: list[float] = []

    async def play(self) -> None:
        """Ask instances drawn at random until the plan's seconds are over."""
        at = self.plan.starts_at
        while at < self.plan.starts_at + self.plan.seconds:
            at += self.rng.expovariate(1 / self.gap_s)
            await asyncio.sleep(max(0.0, at - time.monotonic()))
            self.ask(self.rng.choice(self.instances))

    def ask(self, instance: Instance) -> None:
        """Send one request to an instance, and count its answer in the second in which it was asked."""
        began = time.monotonic()
        second = int(began - self.plan.starts_at)
        self.counts["asked"][second] += 1
        answers = []

        def reply(answer: ProxyResponse) -> None:
            answers.append(answer)
            took = time.monotonic() - began
            self.counts["twice"][second] += len(answers) > 1
            self.counts["late"][second] += took > DEADLINE_US / 1e6
            self.counts[answer.kind.value][second] += 1
            if answer.kind is ResponseKind.SERVED:
                self.taken.append(took)

        call = ProxyRequest(b"POST", b"/read/1", [], b"{}", clock_us(), DEADLINE_US, 0)
        instance.dispatcher.submit(call, reply, (instance.pool,))

    def told(self) -> dict[str, Any]:
        """The counts by second, and a sample of the times that answers took, in seconds."""
        seconds = range(int(self.plan.seconds))
        found = {name: [count[second] for second in seconds] for name, count in self.counts.items()}
        step = max(1, len(self.taken) // 200)
        return found | {"taken": [round(took, 4) for took in sorted(self.taken)[::step]]}


async def main(plan: Plan, first: int, count: int, discovery_port: int, known: Any) -> None:
    """Build the instances, play, and print what was counted."""
    instances = [Instance(plan, first + n, discovery_port, known) for n in range(count)]
    load = Load(plan, instances)
    gc.collect()
    gc.freeze()  # hazard: a full collection goes through all instances, and stops them all meanwhile
    ready = plan.starts_at - time.monotonic()
    await asyncio.sleep(max(0.0, ready))
    await load.play()
    await asyncio.sleep(DEADLINE_US / 1e6 + 0.1)
    for instance in instances:
        instance.discovery.stop()
    told = load.told()
    print(json.dumps(told | {"ready_s": round(ready, 2)}), flush=True)


if __name__ == "__main__":
    arguments = json.loads(sys.argv[2])
    asyncio.run(partial(main, Plan.load(sys.argv[1]), **arguments)())
