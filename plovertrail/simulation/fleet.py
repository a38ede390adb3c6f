"""A whole fleet in one model: instances, servers, clients, what befalls them, and what it comes to."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from plovertrail.decisions import fleet_limits
from plovertrail.decisions.events import Endpoint, EndpointStatus
from plovertrail.decisions.pacing import InstanceRank
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.simulation.clients import BIN_US, ClientPlan, Clients
from plovertrail.simulation.clock import SECOND_US, START_US, Clock
from plovertrail.simulation.instances import Around, Instance
from plovertrail.simulation.servers import Server, ServerPlan

BINS = SECOND_US // BIN_US


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """`admits` and `by_list`: the parts of coming back that a play may do without, to be compared.
    `told_size`: the size of the fleet that instances are told; 0 = the true one."""

    instances: int = 24
    servers: int = 8
    server: ServerPlan = field(default_factory=ServerPlan)
    clients: ClientPlan = field(default_factory=ClientPlan)
    bounds: fleet_limits.FleetLimits = field(default_factory=fleet_limits.FleetLimits)
    aim_us: int = 300_000
    network_us: int = 250
    admits: bool = True
    by_list: bool = True
    told_size: int = 0
    max_attempts: int = 3
    max_retry_after_us: int = 4 * SECOND_US
    overload_factor: float = 1.0  # a cold server falls over at this multiple of what it can do


class Fleet:
    """One play. The same seed has the same end."""

    def __init__(self, plan: FleetPlan, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.clock = Clock()
        kind = RequestClass("read", plan.aim_us, plan.clients.deadline_us, late_weight=0.3)
        size = plan.told_size or plan.instances
        settings = Settings(
            classes=[kind],
            instances=size,
            max_attempts=plan.max_attempts,
            max_retry_after_us=plan.max_retry_after_us,
            warm_up_initial_capacity=plan.server.cold_share,
            warm_up_us=plan.server.warm_up_us,
            overload_factor=plan.overload_factor,
        )
        self.servers = {
            number: Server(number, plan.server, self.clock, self._random())
            for number in range(1, plan.servers + 1)
        }
        around = Around(
            self.clock, settings, self.servers, plan.bounds, plan.network_us, plan.admits, plan.by_list
        )
        self.instances = [
            Instance(
                around, fleet_limits.Fleet(size, number), InstanceRank(number, plan.instances), self._random()
            )
            for number in range(plan.instances)
        ]
        for instance in self.instances:
            instance.start(with_state=False)
        self.clients = Clients(self.clock, plan.clients, self.instances, self._random())

    def _random(self) -> random.Random:
        """Draws of its own for each: what one does changes no draw of another."""
        return random.Random(self.rng.getrandbits(64))

    def play(self, seconds: float) -> None:
        """Go on for so long under load."""
        self.clock.run(self.clock.now_us + int(seconds * SECOND_US))

    def kill(self, instances: Iterable[int]) -> None:
        """Kill the processes of these instances, by number; their clients get no answer to what was open."""
        for number in instances:
            self.instances[number].kill()

    def start(self, instances: Iterable[int], with_state: bool) -> None:
        """Start new processes of these instances; with state, they recall what was stored of servers."""
        for number in instances:
            self.instances[number].start(with_state)

    def tell_all(self, entry: Endpoint) -> None:
        """A change of the list, to every instance at one moment."""
        for instance in self.instances:
            instance.changed(entry)

    def restart_server(self, number: int) -> None:
        """A server goes; it is back, cold, at once."""
        self.tell_all(Endpoint(number, EndpointStatus.REMOVED))
        self.servers[number].started_us = self.clock.now_us
        self.tell_all(Endpoint(number, started_us=self.clock.now_us))

    # What it comes to

    def cold_of_bound(self, number: int, capacity_per_s: float) -> float:
        """The highest share, over two seconds, of what pushes a cold server over that does so much when it is
        warm."""
        server = self.servers[number]
        begins = (server.started_us - START_US) // SECOND_US
        shares = []
        for second in range(begins, begins + server.plan.warm_up_us // SECOND_US):
            at_us = START_US + second * SECOND_US
            bound = 2 * self.plan.overload_factor * server.warmth_at(at_us) * capacity_per_s
            shares.append((server.requests[second] + server.requests[second + 1]) / bound)
        return max(shares)

    def served_part(self, begins: int, ends: int) -> float:
        """Of the tries that were sent in these bins."""
        sent = sum(self.clients.sent[each] for each in range(begins, ends))
        return sum(self.clients.served[each] for each in range(begins, ends)) / sent if sent else 0.0

    def back_after_s(self, since: int, ends: int, least: float) -> float:
        """From when on, after `since`, this part of the tries sent in each half second to the end was served.
        By parts and not by answers a second: of those, chance alone is several in a hundred."""
        window = BINS // 2
        back = ends
        for begins in range(ends - window, since - 1, -1):
            if self.served_part(begins, begins + window) < least:
                break
            back = begins
        return (back - since) / BINS

    def worst_second(self, what: str, since: int, until: int) -> int:
        """The most of `requests`, `dials` or `open_most` at one server in any of these seconds."""
        counts: list[Counter[int]] = [getattr(server, what) for server in self.servers.values()]
        return max(count[second] for count in counts for second in range(since, until))
