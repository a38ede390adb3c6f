"""Calls for lists at the control machines when many sidecars start at one moment."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass

from benchmarks.capacity.costs import Measurement, Run, slopes_of
from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.parallel import map_cases
from benchmarks.capacity.roles import Figure, RoleResult, TargetCost
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import BUDGET, TARGET
from plovertrail.decisions.actions import Subscribe
from plovertrail.decisions.events import TimerFired
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.settings import RequestClass, Settings

SIDECARS, SHORT_SIDECARS = (50, 200, 600, 1_800, 3_600), (50, 100, 200, 400)
SERVICES, SHORT_SERVICES = (1, 10, 50, 200), (1, 2, 4, 8)
PARTS = {Situation.RESTARTS: 10, Situation.ZONE_RETURNS: 8}
SECOND_US = 1_000_000
START_US = 1_000 * SECOND_US
ASK_WITHIN_US = 60 * SECOND_US
STATED_CALLS_PER_S = 500.0  # that discovery is said to bear, where it is said
STRETCH_S = 60.0
NOTE = (
    "list calls: one for each service of a sidecar that starts, at the moment that its real balancer asks; "
    "the worst second of one of 10 machines, drawn at random; all calls are answered; the program that "
    "embeds the host asks so, the daemon has no discovery of its own"
)


@dataclass(frozen=True, slots=True)
class ListCallsCase:
    """So many sidecars of a cluster start at one moment."""

    sidecars: int
    services: int
    situation: Situation
    stated: bool  # whether what discovery bears is stated in the settings
    seed: int


@dataclass(frozen=True, slots=True)
class ListCallsMeasure:
    """Calls at the control machines, and the CPU of one sidecar that started."""

    worst_second_of_machine: int
    worst_second_of_all: int
    last_call_s: float
    core_share: float


def play(case: ListCallsCase) -> ListCallsMeasure:
    """Each balancer of each starting sidecar asks for its list once."""
    rng = random.Random(case.seed)
    meter = CpuMeter()
    settings = Settings(
        classes=[RequestClass("read", 300_000, 1_500_000)],
        instances=case.sidecars,
        endpoints_on_request=True,
        max_poll_interval_us=ASK_WITHIN_US,
        drain_grace_us=int(BUDGET.drain_s * SECOND_US),
        discovery_rate_per_s=STATED_CALLS_PER_S if case.stated else 0.0,
    )
    starting = max(1, case.sidecars // PARTS[case.situation])
    by_machine: Counter[tuple[int, int]] = Counter()
    by_second: Counter[int] = Counter()
    last_us = 0
    for _ in range(starting * case.services):
        asked_us = _first_call_us(LoadBalancer(settings, rng.getrandbits(32), START_US), meter)
        second = asked_us // SECOND_US
        by_machine[rng.randrange(TARGET.control_machines), second] += 1
        by_second[second] += 1
        last_us = max(last_us, asked_us)
    return ListCallsMeasure(
        max(by_machine.values()),
        max(by_second.values()),
        last_us / SECOND_US,
        meter.share(STRETCH_S, starting),
    )


def _first_call_us(balancer: LoadBalancer, meter: CpuMeter) -> int:
    """When it asks for its list, from its start on."""
    due_us = balancer.polls.next_poll_us
    actions = meter.call(balancer.handle, due_us, TimerFired(0))
    assert any(isinstance(action, Subscribe) for action in actions)
    return due_us - START_US


@dataclass(frozen=True, slots=True)
class ListCallsRole:
    """Calls for lists after restarts."""

    jobs: int = 4

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        return "list-calls"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against sidecars and services, with and without a stated rate."""
        cases = list_calls_cases(short, repeats)
        measures = dict(zip(cases, map_cases(play, cases, self.jobs), strict=True))
        at = max(case.services for case in cases)
        largest = SHORT_SIDECARS[-1] if short else TARGET.sidecars
        slopes: list[Slope] = []
        for situation in PARTS:
            by_sidecars, by_services = [
                [
                    Run(
                        case.sidecars if axis is Axis.SIDECARS else case.services,
                        {Unit.MESSAGES_PER_S: float(measure.worst_second_of_machine)},
                    )
                    for case, measure in measures.items()
                    if case.situation is situation
                    and not case.stated
                    and (case.services == at if axis is Axis.SIDECARS else case.sidecars == largest)
                ]
                for axis in (Axis.SIDECARS, Axis.SERVICES)
            ]
            slopes += slopes_of(Measurement(self.name, Axis.SIDECARS, situation, NOTE), by_sidecars)
            slopes += slopes_of(Measurement(self.name, Axis.SERVICES, situation, NOTE), by_services)
        return RoleResult(
            tuple(slopes),
            tuple(_costs(self.name, measures, largest, at)),
            tuple(_figures(measures, largest)),
        )


def list_calls_cases(short: bool, repeats: int) -> list[ListCallsCase]:
    """The costliest first."""
    sidecars, services = (SHORT_SIDECARS, SHORT_SERVICES) if short else (SIDECARS, SERVICES)
    largest = SHORT_SIDECARS[-1] if short else TARGET.sidecars
    sizes = [(size, services[-1]) for size in reversed(sidecars)]
    sizes += [(largest, size) for size in reversed(services)]
    stated = [(largest, services[-1], True), (largest, 1, True)]
    plays = [(*size, False) for size in dict.fromkeys(sizes)] + stated
    return [
        ListCallsCase(sidecars, services, situation, stated, seed)
        for sidecars, services, stated in plays
        for situation in PARTS
        for seed in range(1, repeats + 1)
    ]


def _costs(
    role: str, measures: dict[ListCallsCase, ListCallsMeasure], sidecars: int, services: int
) -> list[TargetCost]:
    """CPU of one sidecar that starts, over a minute."""
    found = []
    for situation in PARTS:
        shares = Sample(
            sidecars,
            tuple(
                measure.core_share
                for case, measure in measures.items()
                if (case.sidecars, case.services, case.situation) == (sidecars, services, situation)
            ),
        )
        extrapolated = sidecars < TARGET.sidecars or services < TARGET.services
        note = "of one that starts, over a minute"
        found.append(TargetCost(role, Unit.CORE_SHARE, situation, shares.median, extrapolated, note))
    return found


def _figures(measures: dict[ListCallsCase, ListCallsMeasure], sidecars: int) -> list[Figure]:
    found = []
    keys = dict.fromkeys(
        (case.services, case.situation, case.stated) for case in measures if case.sidecars == sidecars
    )
    for services, situation, stated in keys:
        chosen = [
            measure
            for case, measure in measures.items()
            if (case.sidecars, case.services, case.situation, case.stated)
            == (sidecars, services, situation, stated)
        ]
        told = f"{STATED_CALLS_PER_S:g}/s stated" if stated else "nothing stated"
        name = f"{sidecars} sidecars, {services} services, {situation.value}, {told}"
        worst_of_all = Sample(sidecars, tuple(float(each.worst_second_of_all) for each in chosen))
        worst = Sample(sidecars, tuple(float(each.worst_second_of_machine) for each in chosen))
        last = Sample(sidecars, tuple(each.last_call_s for each in chosen))
        for what, sample, unit in (
            ("worst second of all machines", worst_of_all, "calls/s"),
            ("worst second of one", worst, "calls/s"),
            ("last call after", last, "s"),
        ):
            found.append(Figure(f"{name}: {what}", sample.median, unit, f"spread {sample.spread:.3g}"))
    return found
