"""A fleet on a virtual clock: decision modules, subsets and budgets alone, for up to 100,000 instances.

What is between them is modelled: a server answers after a fixed time, a connection is there at once. Nothing
is random but by the seed, so a play has the same end each time.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from plovertrail.decisions import interface as api
from plovertrail.decisions import share
from plovertrail.decisions.balance import Balancer
from standins.fleet.plan import Plan

SECOND_US = 1_000_000
AIM_US, DEADLINE_US = 400_000, 1_200_000
START_US = 1_000 * SECOND_US  # the clock when the play begins; what started long before is warm


@dataclass
class ModelServer:
    """What one server has seen, by second."""

    number: int
    boot_us: int = 0  # 0 = long ago
    up: bool = True
    open: int = 0
    open_most: Counter[int] = field(default_factory=Counter)
    dials: Counter[int] = field(default_factory=Counter)
    requests: Counter[int] = field(default_factory=Counter)
    first_contacts: Counter[int] = field(default_factory=Counter)


class ModelInstance:
    """One instance: its module, its servers, and its connections."""

    def __init__(self, model: Model, number: int) -> None:
        plan = model.plan
        self.model = model
        size = plan.told_size or plan.instances
        self.fleet = share.Fleet(size, number)
        settings = model.settings
        self.balancer = Balancer(settings, number, model.now_us)
        self.subset = share.Subset(number, plan.servers_each or plan.servers)
        bounds = share.Bounds(plan.servers_each, plan.connections, plan.dials_per_s)
        self.budget = share.budget(self.fleet, bounds, plan.servers)
        rng = random.Random(number)
        self.dials = share.Dials(self.budget.dial_gap_us, model.now_us, rng.random())
        self.idle: dict[int, list[int]] = {}  # since when, for each server
        self.open: Counter[int] = Counter()  # to each server, busy or idle
        self.met: set[int] = set()
        self.sent: dict[int, int] = {}  # attempts of each request

    def __contains__(self, server: object) -> bool:
        """The servers that it can't reach now (`barred`)."""
        assert isinstance(server, int)
        if self.idle.get(server):
            return False
        full = self.budget.connections and self.open.total() >= self.budget.connections and not self.idle
        each = self.budget.connections_each
        return bool(full or (each and self.open[server] >= each) or not self.dials.may(self.model.now_us))

    def listed(self, kind: api.ListKind, entries: list[api.Upstream]) -> None:
        where = {entry.id: ("10.0.0.1", entry.id) for entry in entries}
        self.tell_list(kind, self.subset.listed(entries, where))

    def tell_list(self, kind: api.ListKind, entries: list[api.Upstream]) -> None:
        if entries:
            self.tell(api.UpstreamsUpdated(kind, entries, part=True))

    def tell(self, event: api.Event) -> None:
        for action in self.balancer.handle(self.model.now_us, event):
            if isinstance(action, api.Send):
                self.send(action)
            elif isinstance(action, api.SetTimer):
                self.model.at(action.at_us, self.tell, api.TimerFired(action.token))
            elif isinstance(action, api.Refuse | api.Fail):
                self.sent.pop(action.request, None)
                self.model.ended["refused" if isinstance(action, api.Refuse) else "failed"] += 1
                self.tell_list(api.ListKind.DELTA, self.subset.short(self.model.now_us))

    def send(self, action: api.Send) -> None:
        model, server = self.model, self.model.servers[action.upstream]
        number = self.sent[action.request] = self.sent.get(action.request, -1) + 1
        if action.upstream in self:  # one more than there is room for was sent in one go
            not_sent = api.AttemptEnded(action.request, number, action.upstream, api.Outcome.NOT_SENT)
            model.at(model.now_us, self.tell, not_sent)
            return
        idle = self.idle.get(action.upstream)
        if idle:
            idle.pop()
            if not idle:
                del self.idle[action.upstream]
        else:
            if self.budget.connections and self.open.total() >= self.budget.connections:
                oldest = min(self.idle, key=lambda number: self.idle[number][0])
                self.close_idle(oldest)
            self.dials.took(model.now_us)
            self.open[action.upstream] += 1
            model.opened(server, 1)
            server.dials[model.second] += 1
        server.requests[model.second] += 1
        if action.upstream not in self.met:
            self.met.add(action.upstream)
            server.first_contacts[model.second] += 1
        took_us = int(model.plan.answer_s * SECOND_US)
        model.at(model.now_us + took_us, self.answered, action.request, number, action.upstream, took_us)

    def answered(self, request: int, number: int, upstream: int, took_us: int) -> None:
        server = self.model.servers[upstream]
        self.sent.pop(request, None)
        if self.budget.keep_idle and server.up:
            self.idle.setdefault(upstream, []).append(self.model.now_us)
        else:
            self.open[upstream] -= 1
            self.model.opened(server, -1)
        self.model.ended["served"] += 1
        self.tell(api.AttemptEnded(request, number, upstream, api.Outcome.OK, took_us, True))

    def close_idle(self, upstream: int) -> None:
        self.idle[upstream].pop(0)
        if not self.idle[upstream]:
            del self.idle[upstream]
        self.open[upstream] -= 1
        self.model.opened(self.model.servers[upstream], -1)

    def forget(self, upstream: int) -> None:
        """The server has gone, and its connections with it."""
        for _ in self.idle.pop(upstream, []):
            self.open[upstream] -= 1
            self.model.opened(self.model.servers[upstream], -1)


class Model:
    """A fleet, its servers, its clock and what is due."""

    def __init__(self, plan: Plan, seed: int = 1) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.now_us = START_US
        self.due: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.numbers = 0
        self.ended: Counter[str] = Counter()
        self.asked = 0
        self.calls: Counter[int] = Counter()  # for the list, by second
        kind = api.RequestClass("read", AIM_US, DEADLINE_US, late_worth=0.3)
        self.settings = api.Settings(
            classes=[kind],
            instances=plan.told_size or plan.instances,
            max_attempts=4,
            max_retry_after_us=10 * SECOND_US,
            cold_share=plan.cold_share,
            warm_up_us=int(plan.warm_up_s * SECOND_US),
            overload_factor=plan.overload_factor,
        )
        self.servers = {number: ModelServer(number) for number in range(1, plan.servers + 1)}
        self.instances = [ModelInstance(self, number) for number in range(plan.instances)]
        for instance in self.instances:
            instance.listed(api.ListKind.CACHED, [api.Upstream(number) for number in self.servers])

    @property
    def second(self) -> int:
        return (self.now_us - START_US) // SECOND_US

    def at(self, at_us: int, what: Callable[..., None], *arguments: object) -> None:
        self.numbers += 1
        heapq.heappush(self.due, (at_us, self.numbers, what, arguments))

    def opened(self, server: ModelServer, change: int) -> None:
        server.open += change
        server.open_most[self.second] = max(server.open_most[self.second], server.open)

    def run(self, until_us: int) -> None:
        while self.due and self.due[0][0] <= until_us:
            at_us, _, what, arguments = heapq.heappop(self.due)
            self.now_us = max(self.now_us, at_us)
            what(*arguments)
        self.now_us = max(self.now_us, until_us)

    def play(self, seconds: float) -> None:
        """Requests to instances drawn at random."""
        arrives = float(self.now_us)
        ends = arrives + seconds * SECOND_US
        while True:
            arrives += self.rng.expovariate(self.plan.requests_per_s / SECOND_US)
            if arrives >= ends:
                break
            self.run(int(arrives))
            self.ask(self.rng.choice(self.instances))
        self.run(int(ends))
        for server in self.servers.values():
            self.opened(server, 0)

    def ask(self, instance: ModelInstance) -> None:
        self.asked += 1
        instance.tell(api.RequestArrived(self.asked, self.now_us + DEADLINE_US, barred=instance))

    def tell_all(self, entry: api.Upstream) -> None:
        """A change of the list, to every instance at one moment."""
        for instance in self.instances:
            instance.listed(api.ListKind.DELTA, [entry])
            if entry.state is not api.UpstreamState.READY:
                instance.forget(entry.id)

    def restart(self, number: int) -> None:
        """A server goes; it is back, cold, at once."""
        self.tell_all(api.Upstream(number, api.UpstreamState.GONE))
        server = self.servers[number]
        server.boot_us = self.now_us
        for instance in self.instances:
            instance.met.discard(number)
        self.tell_all(api.Upstream(number, started_us=self.now_us))

    def cold_of_bound(self, number: int) -> float:
        """The highest share of what pushes a cold server over, over two seconds."""
        plan, server = self.plan, self.servers[number]
        booted = (server.boot_us - START_US) / SECOND_US
        shares = []
        for second in range(int(booted), int(booted + plan.warm_up_s)):
            age = max(0.0, second - booted)
            warmth = plan.cold_share + (1 - plan.cold_share) * age / plan.warm_up_s
            bound = plan.overload_factor * warmth * plan.capacity_per_s * 2
            shares.append((server.requests[second] + server.requests[second + 1]) / bound)
        return max(shares)
