"""Cost of shared evidence on servers' health: what it adds to cluster membership, and the looks at it."""

from __future__ import annotations

import tracemalloc
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from benchmarks.capacity.costs import Measurement, Run, slopes_of, target_cost
from benchmarks.capacity.evidence_load import (
    CLASS_KEY,
    EvidenceLoad,
    FailingServers,
    ServiceSizes,
)
from benchmarks.capacity.member_crowd import REGIONS, ZONES, CrowdPlan, MemberCrowd
from benchmarks.capacity.parallel import map_cases
from benchmarks.capacity.roles import Figure, RoleResult, TargetCost
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from plovertrail.decisions.health_evidence import MAX_PEER_REPORTS, AttemptResult, HealthReport
from plovertrail.decisions.outlier_detection import OutlierDetector

SIDECARS, SHORT_SIDECARS = (50, 200, 600, 1_800, 3_600), (50, 100, 150, 200)
SERVICES, SHORT_SERVICES = (1, 10, 50, 200), (1, 4, 10, 20)
SERVERS, SHORT_SERVERS = (3, 9, 30, 100), (3, 6, 9, 12)
SHORT_SERVICES_AT = 10  # services where the short form varies something else
SHORT_SIDECARS_AT = 100
WHOLE = 2
SETTLE_S, SHORT_SETTLE_S = 10.0, 3.0
STRETCH_S, SHORT_STRETCH_S = 10.0, 4.0
DAY_STRETCH_S, SHORT_DAY_STRETCH_S = 60.0, 8.0  # accusations fade for 40 s and more
FAIL_S, SHORT_FAIL_S = 5.0, 2.0  # of the stretch, from its begin
CUT_S = 10.0  # of the five minutes' cut that is played: evidence fades within 8 s to a half
RESTART_PART = 10
DAY_S = 86_400.0
NOTE = (
    "evidence: with it, less the same play without; a sidecar calls all services, 311 times a second in all, "
    "one class; 2 whole members; servers fail for the first 5 of 10 s; looks as the "
    "budget of background work has them"
)
DAY_NOTE = (
    "evidence's day: quiet, and one server's failure of 5 s, with 60 s from its begin, times the day's 172"
)
MEMORY_NOTE = "evidence: tracemalloc of own windows of all servers, and of rows heard of a tenth of them"


@dataclass(frozen=True, slots=True)
class EvidenceCase:
    """One play."""

    sidecars: int
    services: int
    servers: int
    situation: Situation
    seed: int
    settle_s: float = SETTLE_S
    stretch_s: float = STRETCH_S
    fail_s: float = FAIL_S


@dataclass(frozen=True, slots=True)
class EvidenceMeasure:
    """Costs of one sidecar, and how often it has looked at all services."""

    core_share: float
    bytes_per_s: float
    messages_per_s: float
    looks_per_s: float
    protocol_bytes_per_s: float  # of the same play without evidence
    of_looks_share: float  # of a core, of attempts and looks alone

    @property
    def costs(self) -> dict[Unit, float]:
        """By unit."""
        return {
            Unit.CORE_SHARE: self.core_share,
            Unit.BYTES_PER_S: self.bytes_per_s,
            Unit.MESSAGES_PER_S: self.messages_per_s,
        }


def play(case: EvidenceCase) -> EvidenceMeasure:
    """The same cluster with evidence and without; the difference is the role's."""
    with_crowd, looks = _played(case, judge=True)
    without, _ = _played(case, judge=False)
    member_seconds = WHOLE * case.stretch_s
    outside = _share(with_crowd, case, protocol=False)
    return EvidenceMeasure(
        max(0.0, _share(with_crowd, case, True) - _share(without, case, True)) + outside,
        (with_crowd.traffic.octets.total() - without.traffic.octets.total()) / member_seconds,
        (with_crowd.traffic.datagrams.total() - without.traffic.datagrams.total()) / member_seconds,
        looks / member_seconds,
        without.traffic.octets.total() / member_seconds,
        outside,
    )


def _share(crowd: MemberCrowd, case: EvidenceCase, protocol: bool) -> float:
    meters = crowd.meters if protocol else crowd.evidence_meters
    return sum(meter.share(case.stretch_s) for meter in meters) / WHOLE


def _played(case: EvidenceCase, judge: bool) -> tuple[MemberCrowd, int]:
    """The crowd after the stretch, and the looks that were taken in it."""
    regions = case.situation is Situation.REGIONS_JOIN
    crowd = MemberCrowd(CrowdPlan(case.sidecars, WHOLE, case.seed, judge=judge))
    failing = FailingServers(case.services * case.servers)
    sizes = ServiceSizes(case.services, case.servers)
    loads = [EvidenceLoad(crowd, number, sizes, failing) for number in range(WHOLE)] if judge else []
    crowd.queue.run(case.settle_s)
    if regions:
        failing.fail(failing.servers // REGIONS)
        crowd.queue.run(min(CUT_S, 2 * case.settle_s))
        failing.recover()
    crowd.reset()
    looked = sum(load.looks for load in loads)
    if not regions:
        _fail(case, failing)
    crowd.queue.run(case.fail_s)
    failing.recover()
    crowd.queue.run(case.stretch_s - case.fail_s)
    return crowd, sum(load.looks for load in loads) - looked


def _fail(case: EvidenceCase, failing: FailingServers) -> None:
    if case.situation is Situation.RESTARTS:
        failing.fail(failing.servers // RESTART_PART)
    elif case.situation is Situation.ZONE_RETURNS:
        failing.fail(failing.servers // ZONES)
    elif case.situation is Situation.ORDINARY_DAY:
        failing.fail(1)


def state_bytes(sizes: ServiceSizes, situation: Situation, reporters: int) -> float:
    """What one sidecar's evidence takes (tracemalloc): its own windows, and in restarts what it has heard."""
    keys = [(server, CLASS_KEY) for pool in sizes.endpoint_keys for server in pool]
    tracemalloc.start()
    detector = OutlierDetector(1, 0, 1)
    for key in keys:
        detector.record_attempt((key[0] + 0, key[1]), AttemptResult.SUCCESS, 1_000)
    if situation is Situation.RESTARTS:
        failing = keys[::RESTART_PART]
        rows = 0
        for reporter in range(2, reporters + 2):
            for key in failing:
                if rows < MAX_PEER_REPORTS:
                    own_key = key[0] + 0, key[1]
                    detector.merge_report(HealthReport(reporter, 1, own_key, 4.0, 4.0, 0.0, 0.0, 0), 1_000)
                rows += 1
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(used)


@dataclass(frozen=True, slots=True)
class EvidenceRole:
    """Evidence on the health of servers."""

    jobs: int = 4

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        return "evidence"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """All three sizes, each with the others as planned."""
        cases = evidence_cases(short, repeats)
        measures = dict(zip(cases, map_cases(play, cases, self.jobs), strict=True))
        slopes: list[Slope] = []
        for axis in (Axis.SIDECARS, Axis.SERVICES, Axis.SERVERS):
            for situation in (Situation.QUIET, Situation.RESTARTS):
                runs = [
                    Run(_size(case, axis), measure.costs)
                    for case, measure in measures.items()
                    if case.situation is situation and _varies_only(case, axis, short)
                ]
                slopes += slopes_of(Measurement(self.name, axis, situation, NOTE), runs)
        memory = list(_memory_slopes(self.name, short))
        costs = [target_cost(slope) for slope in slopes if slope.axis is Axis.SERVICES]
        costs += [target_cost(slope) for slope in memory]
        costs += _costs_at_target(self.name, measures)
        return RoleResult(tuple(slopes + memory), tuple(costs), tuple(_figures(measures)))


def _base(short: bool) -> tuple[int, int, int]:
    if short:
        return SHORT_SIDECARS_AT, SHORT_SERVICES_AT, TARGET.servers_per_service
    return TARGET.sidecars, TARGET.services, TARGET.servers_per_service


def evidence_cases(short: bool, repeats: int) -> list[EvidenceCase]:
    """Each size with the others as planned, no case twice; the costliest first."""
    sidecars, services, servers = _base(short)
    triples = [(size, services, servers) for size in (SHORT_SIDECARS if short else SIDECARS)]
    triples += [(sidecars, size, servers) for size in (SHORT_SERVICES if short else SERVICES)]
    triples += [(sidecars, services, size) for size in (SHORT_SERVERS if short else SERVERS)]
    plays = [(triple, s) for triple in dict.fromkeys(triples) for s in (Situation.RESTARTS, Situation.QUIET)]
    others = (Situation.REGIONS_JOIN, Situation.ZONE_RETURNS, Situation.ORDINARY_DAY)
    plays += [((sidecars, services, servers), situation) for situation in others]
    cases = [
        EvidenceCase(*triple, situation, seed, *_times(situation, short))
        for triple, situation in plays
        for seed in range(1, repeats + 1)
    ]
    return sorted(cases, key=_cheapness)


def _times(situation: Situation, short: bool) -> tuple[float, float, float]:
    """To settle, to measure, and of that for how long servers fail."""
    day = situation is Situation.ORDINARY_DAY
    if short:
        return SHORT_SETTLE_S, SHORT_DAY_STRETCH_S if day else SHORT_STRETCH_S, SHORT_FAIL_S
    return SETTLE_S, DAY_STRETCH_S if day else STRETCH_S, FAIL_S


def _cheapness(case: EvidenceCase) -> tuple[bool, bool, int, int]:
    """The order of the plays: the day's stretch is the longest, and nothing is told while all is quiet."""
    return (
        case.situation is not Situation.ORDINARY_DAY,
        case.situation is Situation.QUIET,
        -case.services * case.servers,
        -case.sidecars,
    )


def _size(case: EvidenceCase, axis: Axis) -> float:
    return {
        Axis.SIDECARS: float(case.sidecars),
        Axis.SERVICES: float(case.services),
        Axis.SERVERS: float(case.servers),
    }[axis]


def _varies_only(case: EvidenceCase, axis: Axis, short: bool) -> bool:
    """Whether all other sizes are as planned."""
    sidecars, services, servers = _base(short)
    same = {
        Axis.SIDECARS: case.sidecars == sidecars,
        Axis.SERVICES: case.services == services,
        Axis.SERVERS: case.servers == servers,
    }
    return all(found for each, found in same.items() if each is not axis)


def _memory_slopes(role: str, short: bool) -> Iterable[Slope]:
    sidecars, _, servers = _base(short)
    for situation in (Situation.QUIET, Situation.RESTARTS):
        runs = [
            Run(size, {Unit.RESIDENT_BYTES: state_bytes(ServiceSizes(size, servers), situation, sidecars)})
            for size in (SHORT_SERVICES if short else SERVICES)
        ]
        yield from slopes_of(Measurement(role, Axis.SERVICES, situation, MEMORY_NOTE), runs)


def _costs_at_target(role: str, measures: dict[EvidenceCase, EvidenceMeasure]) -> list[TargetCost]:
    """Situations that are played at one size only."""
    found: list[TargetCost] = []
    quiet = _medians(measures, Situation.QUIET)
    for situation in (Situation.ZONE_RETURNS, Situation.REGIONS_JOIN, Situation.ORDINARY_DAY):
        played = [case for case in measures if case.situation is situation]
        extrapolated = played[0].sidecars < TARGET.sidecars or played[0].services < TARGET.services
        for unit, sample in _medians(measures, situation).items():
            figure, note = sample.median, f"spread {sample.spread:.4g}"
            if situation is Situation.ORDINARY_DAY:
                failures = TARGET.restarts_per_day + TARGET.losses_per_day
                scale = failures * played[0].stretch_s / DAY_S
                figure = quiet[unit].median + max(0.0, figure - quiet[unit].median) * scale
                note = DAY_NOTE
            found.append(TargetCost(role, unit, situation, figure, extrapolated, note))
    return found


def _medians(measures: dict[EvidenceCase, EvidenceMeasure], situation: Situation) -> dict[Unit, Sample]:
    """Of one situation, at the size that the situations played once were played at."""
    at = next(case for case in measures if case.situation is Situation.ORDINARY_DAY)
    chosen = [
        measure.costs
        for case, measure in measures.items()
        if case.situation is situation
        and (case.sidecars, case.services, case.servers) == (at.sidecars, at.services, at.servers)
    ]
    return {unit: Sample(float(at.sidecars), tuple(costs[unit] for costs in chosen)) for unit in chosen[0]}


def _figures(measures: dict[EvidenceCase, EvidenceMeasure]) -> Sequence[Figure]:
    """How often a sidecar gets to look at all of its services, and what the protocol's bytes depend on."""
    at = next(case for case in measures if case.situation is Situation.ORDINARY_DAY)
    found = []
    for situation in Situation:
        chosen = [
            measure
            for case, measure in measures.items()
            if case.situation is situation
            and (case.sidecars, case.services, case.servers) == (at.sidecars, at.services, at.servers)
        ]
        if chosen:
            looks = min(measure.looks_per_s for measure in chosen)
            found.append(Figure(f"{situation.value}: looks at all services", looks, "1/s"))
            share = max(measure.of_looks_share for measure in chosen)
            found.append(Figure(f"{situation.value}: of the CPU, attempts and looks", share, "core"))
    for services in sorted({case.services for case in measures})[:: len(SERVICES) - 1]:
        quiet = [
            measure.protocol_bytes_per_s + measure.bytes_per_s
            for case, measure in measures.items()
            if (case.sidecars, case.services, case.servers, case.situation)
            == (at.sidecars, services, at.servers, Situation.QUIET)
        ]
        name = f"membership's bytes beside {services} services, which it doesn't depend on"
        found.append(Figure(name, Sample(services, tuple(quiet)).median, "B/s"))
    return found
