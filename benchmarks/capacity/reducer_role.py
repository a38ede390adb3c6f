"""Cost of the reducer of endpoint lists: a change of one service, among all the services of a sidecar."""

from __future__ import annotations

import tracemalloc
from dataclasses import dataclass, replace

from benchmarks.capacity.costs import Measurement, Run, slopes_of, target_cost
from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.parallel import map_cases
from benchmarks.capacity.roles import Figure, RoleResult, TargetCost
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from plovertrail.decisions.endpoint_list import (
    UNGUARDED,
    EndpointList,
    EndpointListState,
    ListedEndpoint,
    apply_list,
)

SERVICES, SHORT_SERVICES = (1, 10, 50, 200), (1, 4, 10, 20)
SERVERS, SHORT_SERVERS = (3, 9, 30, 100), (3, 6, 9, 12)
RATES_PER_S = (0.01, 0.1, 1.0, 5.0)
LEAST_CHANGES, SHORT_LEAST_CHANGES = 2_000, 100  # of one play, so that its CPU time is worth a figure
STRETCH_S = 60.0  # over which the changes of an event count
DAY_S = 86_400.0
SOURCE = "discovery"
ZONES, RESTART_PART = 8, 10
CHANGES_A_RESTART = 2  # it leaves, and joins
NOTE = "reducer: each change a whole list of one service, one server's state differs; CPU of reduce alone"
MEMORY_NOTE = "reducer: tracemalloc of all services' states with the lists that they came of"


@dataclass(frozen=True, slots=True)
class ReducerCase:
    """So many changes, one service after the other."""

    services: int
    servers: int
    changes: int
    seed: int


def entries_of(service: int, servers: int) -> tuple[ListedEndpoint, ...]:
    """The servers of one service."""
    return tuple(
        ListedEndpoint(
            f"service-{service}-server-{server}",
            (f"10.{service & 255}.{server >> 8}.{server & 255}", 8_080),
            zone=f"z{server % ZONES}",
        )
        for server in range(servers)
    )


def started_states(services: int, servers: int) -> list[EndpointListState]:
    """Each service's state after its first list."""
    states = []
    for service in range(services):
        candidate = EndpointList(SOURCE, entries_of(service, servers), version=1)
        state, _, _ = apply_list(EndpointListState(), candidate, 0, UNGUARDED)
        states.append(replace(state, started=True))
    return states


def cost_of_change_s(case: ReducerCase) -> float:
    """CPU seconds of one change: a server drains, or does so no more."""
    meter = CpuMeter()
    states = started_states(case.services, case.servers)
    lists = [entries_of(service, case.servers) for service in range(case.services)]
    for number in range(case.changes):
        service = number % case.services
        entries = lists[service]
        place = number // case.services % case.servers
        changed = replace(entries[place], drain=not entries[place].drain)
        lists[service] = (*entries[:place], changed, *entries[place + 1 :])
        candidate = EndpointList(SOURCE, lists[service], version=number + 2)
        now_us = number * 1_000_000
        states[service], changes, _ = meter.call(apply_list, states[service], candidate, now_us, UNGUARDED)
        assert len(changes) == 1
    return meter.total_ns / 1e9 / case.changes


def states_bytes(services: int, servers: int) -> float:
    """What the states of all services take."""
    tracemalloc.start()
    states = started_states(services, servers)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(states) == services
    return float(used)


@dataclass(frozen=True, slots=True)
class ReducerRole:
    """The reducer of endpoint lists."""

    jobs: int = 4

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        return "reducer"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """A change's CPU against servers and services, and a sidecar's against the rate of changes."""
        services, servers = (SHORT_SERVICES, SHORT_SERVERS) if short else (SERVICES, SERVERS)
        at = services[-1]
        changes = SHORT_LEAST_CHANGES if short else LEAST_CHANGES
        sizes = [(size, TARGET.servers_per_service) for size in services] + [(at, size) for size in servers]
        cases = [
            ReducerCase(*size, changes, seed) for size in dict.fromkeys(sizes) for seed in range(repeats)
        ]
        costs_s = dict(zip(cases, map_cases(cost_of_change_s, cases, self.jobs), strict=True))
        slopes = self._slopes(costs_s, at)
        memory = self._memory_slopes(services, servers)
        planned = Sample(at, tuple(self._at(costs_s, at, TARGET.servers_per_service)))
        costs = [target_cost(slope) for slope in memory if slope.axis is Axis.SERVICES]
        costs += self._situations(planned)
        figures = (
            Figure("CPU of one change", planned.median * 1e3, "ms", f"spread {planned.spread * 1e3:.3g}"),
        )
        return RoleResult((*slopes, *memory), tuple(costs), figures)

    @staticmethod
    def _at(costs_s: dict[ReducerCase, float], services: int, servers: int) -> list[float]:
        return [
            cost_s for case, cost_s in costs_s.items() if (case.services, case.servers) == (services, servers)
        ]

    def _slopes(self, costs_s: dict[ReducerCase, float], at: int) -> list[Slope]:
        by_services = [
            Run(case.services, {Unit.MILLISECONDS: cost_s * 1e3})
            for case, cost_s in costs_s.items()
            if case.servers == TARGET.servers_per_service
        ]
        by_servers = [
            Run(case.servers, {Unit.MILLISECONDS: cost_s * 1e3})
            for case, cost_s in costs_s.items()
            if case.services == at
        ]
        planned = self._at(costs_s, at, TARGET.servers_per_service)
        by_rate = [Run(rate, {Unit.CORE_SHARE: rate * cost_s}) for rate in RATES_PER_S for cost_s in planned]
        rate_note = "reducer: against changes a second, the rate times a change's CPU"
        return [
            *slopes_of(Measurement(self.name, Axis.SERVICES, Situation.QUIET, NOTE), by_services),
            *slopes_of(Measurement(self.name, Axis.SERVERS, Situation.QUIET, NOTE), by_servers),
            *slopes_of(Measurement(self.name, Axis.CHANGES, Situation.QUIET, rate_note), by_rate),
        ]

    def _memory_slopes(self, services: tuple[int, ...], servers: tuple[int, ...]) -> list[Slope]:
        by_services = [
            Run(size, {Unit.RESIDENT_BYTES: states_bytes(size, TARGET.servers_per_service)})
            for size in services
        ]
        by_servers = [Run(size, {Unit.RESIDENT_BYTES: states_bytes(services[-1], size)}) for size in servers]
        measurement = Measurement(self.name, Axis.SERVICES, Situation.QUIET, MEMORY_NOTE)
        return [
            *slopes_of(measurement, by_services),
            *slopes_of(replace(measurement, axis=Axis.SERVERS), by_servers),
        ]

    def _situations(self, change: Sample) -> list[TargetCost]:
        """A change's CPU times the changes of a situation; events' changes over a minute."""
        servers = TARGET.services * TARGET.servers_per_service
        restarts = TARGET.restarts_per_day + TARGET.losses_per_day
        rates_per_s = {
            Situation.QUIET: 0.0,
            Situation.RESTARTS: servers / RESTART_PART * CHANGES_A_RESTART / STRETCH_S,
            Situation.ZONE_RETURNS: servers / ZONES / STRETCH_S,
            Situation.REGIONS_JOIN: TARGET.services / STRETCH_S,
            Situation.ORDINARY_DAY: (TARGET.changes_per_day + CHANGES_A_RESTART * restarts) / DAY_S,
        }
        note = "a change's CPU times the situation's changes"
        return [
            TargetCost(self.name, Unit.CORE_SHARE, situation, rate * change.median, False, note)
            for situation, rate in rates_per_s.items()
        ]
