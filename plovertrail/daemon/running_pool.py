"""A pool in force: what was configured, its place in the host, and its connections."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator, Mapping

from plovertrail.clock import clock_us
from plovertrail.config.setup import PoolSetup
from plovertrail.decisions import fleet_limits, subsetting
from plovertrail.decisions.endpoint_list import Address
from plovertrail.decisions.pacing import InstanceRank
from plovertrail.decisions.startup_admission import StartupAdmission
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.endpoint_registry import EndpointRegistry
from plovertrail.upstreams.connections import AnswerRules, ConnectionPool

FAULTS = frozenset((429, 500, 502, 503, 504))  # answers that tell of the server, not of what was asked
Connect = Callable[[PoolSetup, AnswerRules], ConnectionPool]


def connect(config: PoolSetup, rules: AnswerRules) -> ConnectionPool:
    """The connections of a pool."""
    return ConnectionPool(
        config.idle_us, config.settings.connect_timeout_us, most=config.max_connections, rules=rules
    )


class RunningPool:
    """A pool in force: what was configured, its place in the host, and its connections."""

    def __init__(
        self,
        host: Dispatcher,
        config: PoolSetup,
        max_answer: int,
        registry: EndpointRegistry,
        seed: int,
        chosen_by: tuple[int, str],
        connect: Connect,
    ) -> None:
        self.config = config
        self.chosen_by = chosen_by  # this instance's number, and which servers are chosen together
        self.max_answer = max_answer
        self.registry = registry
        self.connections = connect(config, AnswerRules(max_answer, FAULTS))
        self.connections.stale = host.turn_is_stale
        self.pool = host.pools.add(config.name, config.settings, seed, self.connections)
        self.budget = fleet_limits.InstanceLimits()
        self.overdrawn = ""
        self.begun = False  # it knows its part of the fleet
        self.draw = random.Random(seed).random
        self.use_door(host, seed)
        if config.affinity is not None:
            self.pool.use_affinity(config.affinity)
        if config.bounds.subset_size:
            zones = config.settings.cross_zone_fee > 0
            self.pool.use_subset(
                subsetting.EndpointSubset(
                    chosen_by[0],
                    config.bounds.subset_size,
                    chosen_by[1],
                    config.settings.zone if zones else None,
                ),
            )

    def adopt(self, config: PoolSetup) -> None:
        """Go on under a setup that it fits. Hazard: a pool that comes or goes changes the even part of all
        others, and must not have them learn anew."""
        self.config = config
        self.connections.allow(config.max_connections)

    def use_door(self, host: Dispatcher, seed: int) -> None:
        """Share the slots as configured now."""
        host.sequence.configure_queue(self.pool, self.config.door, random.Random(seed).random)

    def take_part(self, fleet: fleet_limits.Fleet, place: InstanceRank, slow_start: bool) -> None:
        """Keep to this instance's part of what the servers that are listed bear from the whole fleet; its
        turn is by its place there."""
        if not self.begun:
            self.begun = True
            self.begin_slowly(fleet, slow_start)
        elif self.pool.admission is not None:
            self.pool.admission.size = fleet.size
        bounds, servers = self.config.bounds, len(self.registry.state.members)
        self.overdrawn = fleet_limits.oversubscribed(fleet, bounds, servers)
        budget = fleet_limits.instance_limits(fleet, bounds, servers)
        if budget != self.budget:
            self.budget = budget
            self.connections.limit(budget, place.part(self.draw()))

    def begin_slowly(self, fleet: fleet_limits.Fleet, slow_start: bool) -> None:
        """Many instances may come to life, or wake, at this moment: let in more as answers come."""
        slowly = slow_start and fleet.size > 1
        self.pool.admission = StartupAdmission(fleet.size, clock_us(), self.draw) if slowly else None

    def stood_still(self, fleet: fleet_limits.Fleet, place: InstanceRank, slow_start: bool) -> None:
        """The process did nothing for a while, and perhaps all others of its host as well."""
        self.connections.stood_still(place.part(self.draw()))
        self.begin_slowly(fleet, slow_start)

    def fits(self, config: PoolSetup, max_answer: int, chosen_by: tuple[int, str]) -> bool:
        """Whether it can go on under a new setup, with other lists at most. Hazard: classes are known by
        their number, and requests that are open would be taken for those of another class."""
        mine = self.config
        return (
            mine.settings == config.settings
            and mine.idle_us == config.idle_us
            and (mine.max_connections == config.max_connections or (mine.even_part and config.even_part))
            and self.max_answer == max_answer
            and mine.home_zone == config.home_zone
            and mine.affinity == config.affinity
            and mine.bounds.subset_size == config.bounds.subset_size
            and (self.chosen_by == chosen_by or not config.bounds.subset_size)
        )

    def retire(self, host: Dispatcher) -> None:
        """Take the pool out of service: what is out finishes, and requests that wait are refused."""
        host.retire(self.pool)


class ElsewhereKnown(Mapping[tuple[str, Address], int]):
    """Since when the servers of other pools are known. Looked up one by one: as a table it would have to be
    made of all pools for each change of one."""

    def __init__(self, name: str, pools: Callable[[], Mapping[str, RunningPool]]) -> None:
        self.name = name
        self.pools = pools

    def __getitem__(self, server: tuple[str, Address]) -> int:
        ident, address = server
        for other, pool in reversed(list(self.pools().items())):
            member = pool.registry.state.members.get(ident) if other != self.name else None
            if member is not None and member.entry.address == address:
                return member.came_us
        raise KeyError(server)

    def __iter__(self) -> Iterator[tuple[str, Address]]:
        for other, pool in list(self.pools().items()):
            if other != self.name:
                yield from ((name, each.entry.address) for name, each in pool.registry.state.members.items())

    def __len__(self) -> int:
        return sum(
            len(pool.registry.state.members) for name, pool in self.pools().items() if name != self.name
        )
