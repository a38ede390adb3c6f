"""Cost of cluster membership to one sidecar: the real protocol and codec in clusters of growing size."""

from __future__ import annotations

import random
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass, replace

from benchmarks.capacity.costs import Measurement, Run, slopes_of, target_cost
from benchmarks.capacity.member_crowd import KEY, SEEDS, ZONES, CrowdPlan, MemberCrowd
from benchmarks.capacity.parallel import map_cases
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.slopes import Axis, Situation, Slope, Unit
from benchmarks.capacity.target import BUDGET, TARGET
from benchmarks.report import Bar
from fakes.membership_model import MembershipModel
from plovertrail.decisions.cluster_members import ClusterMembers, MembershipSettings
from plovertrail.decisions.membership import MemberRecord, MemberState, MessageKind
from plovertrail.peers.envelope import digest
from plovertrail.peers.membership_codec import MembershipCodec, MembershipDatagram

SIZES = (50, 200, 600, 1_800, 3_600)
SHORT_SIZES = (50, 100, 200, 400)
WHOLE, SHORT_WHOLE = 24, 16
SETTLE_S = 3.0
STRETCH_S = {
    Situation.QUIET: 30.0,
    Situation.RESTARTS: 60.0,
    Situation.ZONE_RETURNS: 60.0,
    Situation.REGIONS_JOIN: 60.0,
    Situation.ORDINARY_DAY: 60.0,
}
SHORT_STRETCH_S = 8.0
LONGEST_AGREEMENT_S = 600.0
DAY_S = 86_400.0
PLAYED_RESTARTS, PLAYED_LOSSES = 4, 1  # of the ordinary day's, in one stretch; a loss costs more
AGREED = 0.99  # of the members known: the last ones come by chance, with random entries of others' tables
NOT_AGREED = -1.0
RESTART_PART = 10
MODEL_PREFIX = "i"  # of the names in the cluster of whole members
MODEL_SIZE, MODEL_STRETCH_S = 200, 20.0  # the cluster of whole members that the crowd is held against
DAY_NOTE = "day: quiet, and the mean cost of four restarts and a loss times the day's 172"
MODEL_NOTE = "each datagram read and written by the real codec; bytes are those sent"


@dataclass(frozen=True, slots=True)
class MemberCase:
    """One play."""

    size: int
    situation: Situation
    seed: int
    whole: int
    stretch_s: float
    to_agreement_s: float  # for how long to wait for all views to agree, from the event on
    name_prefix: str = "sidecar-"


@dataclass(frozen=True, slots=True)
class MeanCost:
    """The mean costs of some members over a stretch."""

    core_share: float = 0.0
    bytes_per_s: float = 0.0
    messages_per_s: float = 0.0

    @classmethod
    def of(cls, crowd: MemberCrowd, members: Sequence[int], stretch_s: float) -> MeanCost:
        """Of these whole members; zero where there are none."""
        if not members:
            return cls()
        member_seconds = len(members) * stretch_s
        return cls(
            sum(crowd.meters[number].share(stretch_s) for number in members) / len(members),
            sum(crowd.traffic.octets[number] for number in members) / member_seconds,
            sum(crowd.traffic.datagrams[number] for number in members) / member_seconds,
        )

    def mixed(self, other: MeanCost, part: float) -> MeanCost:
        """The mean of both, the other one with this weight."""
        return MeanCost(
            self.core_share * (1.0 - part) + other.core_share * part,
            self.bytes_per_s * (1.0 - part) + other.bytes_per_s * part,
            self.messages_per_s * (1.0 - part) + other.messages_per_s * part,
        )


@dataclass(frozen=True, slots=True)
class MemberMeasure:
    """Costs of one member over the stretch after the event, and when the views agreed."""

    mean: MeanCost  # of a member that is no seed
    restarted: MeanCost  # of those that restarted themselves
    seed: MeanCost  # of a member that the others ask to let them in
    worst_second_bytes: int
    seed_worst_second_bytes: int
    agreed_s: float | None = None  # until each whole member knew AGREED of all; None: not within the play
    complete_s: float | None = None  # until each knew all

    @property
    def costs(self) -> dict[Unit, float]:
        """By unit."""
        return {
            Unit.CORE_SHARE: self.mean.core_share,
            Unit.BYTES_PER_S: self.mean.bytes_per_s,
            Unit.MESSAGES_PER_S: self.mean.messages_per_s,
        }


def play(case: MemberCase) -> MemberMeasure:
    """Settle, let the event happen, and measure."""
    regions_cut = case.situation is Situation.REGIONS_JOIN
    crowd = MemberCrowd(
        CrowdPlan(case.size, case.whole, case.seed, regions_cut, name_prefix=case.name_prefix)
    )
    returning = [number for number in range(case.size) if number % ZONES == ZONES - 1]
    if case.situation is Situation.ZONE_RETURNS:
        crowd.stop(returning)
    crowd.queue.run(SETTLE_S)
    crowd.reset()
    began_s = crowd.queue.now_s
    _happen(crowd, case, returning)
    views = _Views(crowd, began_s)
    views.run(case.stretch_s)
    measure = _measured(crowd, case)
    views.run_until_complete(case.to_agreement_s)
    return replace(measure, agreed_s=views.agreed_s, complete_s=views.complete_s)


def _happen(crowd: MemberCrowd, case: MemberCase, returning: Sequence[int]) -> None:
    if case.situation is Situation.RESTARTS:
        crowd.start([n for n in range(case.size) if n % RESTART_PART == RESTART_PART - 1])
    elif case.situation is Situation.ZONE_RETURNS:
        crowd.start(returning)
    elif case.situation is Situation.REGIONS_JOIN:
        crowd.heal()
    elif case.situation is Situation.ORDINARY_DAY:
        for number in range(PLAYED_RESTARTS):
            crowd.start([case.whole + number])
        crowd.lose(case.whole + PLAYED_RESTARTS)


def _measured(crowd: MemberCrowd, case: MemberCase) -> MemberMeasure:
    """Means over those that restarted and over the others, weighed as in the whole cluster; no seeds."""
    event = {Situation.RESTARTS: RESTART_PART, Situation.ZONE_RETURNS: ZONES}.get(case.situation)
    ordinary = range(SEEDS, case.whole)
    restarted = [number for number in ordinary if event and number % event == event - 1]
    others = [number for number in ordinary if number not in restarted]
    part = 1.0 / event if event else 0.0
    mean = MeanCost.of(crowd, others, case.stretch_s).mixed(
        MeanCost.of(crowd, restarted, case.stretch_s), part
    )
    return MemberMeasure(
        mean,
        MeanCost.of(crowd, restarted, case.stretch_s),
        MeanCost.of(crowd, range(SEEDS), case.stretch_s),
        crowd.traffic.worst_second(ordinary),
        crowd.traffic.worst_second(range(SEEDS)),
    )


class _Views:
    """Looks once a second at how many members are known to all."""

    def __init__(self, crowd: MemberCrowd, began_s: float) -> None:
        self.crowd = crowd
        self.began_s = began_s
        self.agreed_s: float | None = None
        self.complete_s: float | None = None

    def run(self, seconds: float) -> None:
        """Let so much time pass."""
        ends_s = self.crowd.queue.now_s + seconds
        while self.crowd.queue.now_s < ends_s:
            self.crowd.queue.run(min(1.0, ends_s - self.crowd.queue.now_s))
            self._look()

    def run_until_complete(self, longest_s: float) -> None:
        """Go on until all are known to all, for so long after the event at most."""
        while self.complete_s is None and self.crowd.queue.now_s - self.began_s < longest_s:
            self.run(1.0)

    def _look(self) -> None:
        since_s = self.crowd.queue.now_s - self.began_s
        known = self.crowd.known_share
        if self.agreed_s is None and known >= AGREED:
            self.agreed_s = since_s
        if self.complete_s is None and known >= 1.0:
            self.complete_s = since_s


def table_bytes(size: int) -> float:
    """What one member's table of the others takes (tracemalloc), each entry read from a datagram."""
    codec = MembershipCodec("capacity", [KEY])
    address = ("10.200.0.1", 7400)
    me = MemberRecord("observer", address, 1, MemberState.ALIVE, "z0")
    to = digest("observer")
    datagrams = [
        codec.encode(to, MembershipDatagram(MessageKind.GOSSIP, 0, _record(number, size)))
        for number in range(size - 1)
    ]
    tracemalloc.start()
    cluster = ClusterMembers(me, MembershipSettings(1_000_000), random.Random(1), 0)
    for number, data in enumerate(datagrams):
        cluster.record_contact(codec.decode(data, frozenset({to})).sender, number)
    cluster._probe_order = list(cluster.table.live)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(used)


def _record(number: int, size: int) -> MemberRecord:
    address = (f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}", 7400)
    return MemberRecord(
        f"sidecar-{number}-of-{size}", address, 10**15 + number, MemberState.ALIVE, f"z{number % ZONES}"
    )


def whole_cluster_bytes(restarts: bool) -> float:
    """Bytes a second of one member where all of a cluster are whole: what the crowd is held against."""
    model = MembershipModel(MODEL_SIZE, seed=1, exchange_health=False, zones=ZONES)
    model.run(SETTLE_S)
    model.bytes_sent.clear()
    if restarts:
        for number in range(MODEL_SIZE):
            if number % RESTART_PART == RESTART_PART - 1:
                model.restart(number)
    model.run(MODEL_STRETCH_S)
    return model.bytes_sent.total() / MODEL_SIZE / MODEL_STRETCH_S


@dataclass(frozen=True, slots=True)
class MembershipRole:
    """Cluster membership: probes, suspicions and what is told of members."""

    jobs: int = 4

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        return "membership"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """All situations at all sizes."""
        cases = member_cases(short, repeats)
        measures = dict(zip(cases, map_cases(play, cases, self.jobs), strict=True))
        slopes = [*_cost_slopes(self.name, measures), _memory_slope(self.name, short)]
        costs = [target_cost(slope) for slope in slopes]
        figures = [*_events(measures)]
        if not short:
            figures += _comparison(measures)
        bars = _worst_second_bars(self.name, measures)
        return RoleResult(tuple(slopes), tuple(costs), tuple(figures), tuple(bars))


def member_cases(short: bool, repeats: int) -> list[MemberCase]:
    """The costliest first, so that the processes end together."""
    sizes = SHORT_SIZES if short else SIZES
    found = []
    for situation in (
        Situation.REGIONS_JOIN,
        Situation.ZONE_RETURNS,
        Situation.RESTARTS,
        Situation.ORDINARY_DAY,
        Situation.QUIET,
    ):
        for size in sorted(sizes, reverse=True):
            for seed in range(1, repeats + 1):
                stretch_s = SHORT_STRETCH_S if short else STRETCH_S[situation]
                event = situation not in (Situation.QUIET, Situation.ORDINARY_DAY)
                waits = situation is Situation.REGIONS_JOIN or (event and seed == 1)
                longest_s = LONGEST_AGREEMENT_S if waits and not short else 0.0
                whole = SHORT_WHOLE if short else WHOLE
                found.append(MemberCase(size, situation, seed, whole, stretch_s, longest_s))
    return found


def _cost_slopes(role: str, measures: dict[MemberCase, MemberMeasure]) -> list[Slope]:
    slopes: list[Slope] = []
    quiet = {
        (case.size, case.seed): measure.costs
        for case, measure in measures.items()
        if case.situation is Situation.QUIET
    }
    for situation in STRETCH_S:
        runs = []
        for case, measure in measures.items():
            if case.situation is situation:
                costs = measure.costs
                if situation is Situation.ORDINARY_DAY:
                    costs = _day_costs(case, costs, quiet[case.size, case.seed])
                runs.append(Run(case.size, costs))
        note = MODEL_NOTE
        if situation is Situation.ORDINARY_DAY:
            note = DAY_NOTE
        slopes += slopes_of(Measurement(role, Axis.SIDECARS, situation, note), runs)
    return slopes


def _day_costs(case: MemberCase, costs: dict[Unit, float], quiet: dict[Unit, float]) -> dict[Unit, float]:
    """The cost of the restarts that were played, times those of a day at this size."""
    part = case.size / TARGET.sidecars
    events_a_day = (TARGET.restarts_per_day + TARGET.losses_per_day) * part
    scale = events_a_day / (PLAYED_RESTARTS + PLAYED_LOSSES) * case.stretch_s / DAY_S
    return {unit: quiet[unit] + max(0.0, costs[unit] - quiet[unit]) * scale for unit in costs}


def _memory_slope(role: str, short: bool) -> Slope:
    sizes = SHORT_SIZES if short else SIZES
    runs = [Run(size, {Unit.RESIDENT_BYTES: table_bytes(size)}) for size in sizes]
    note = "tracemalloc of one member's table; without the interpreter"
    (slope,) = slopes_of(Measurement(role, Axis.SIDECARS, Situation.QUIET, note), runs)
    return slope


def _events(measures: dict[MemberCase, MemberMeasure]) -> list[Figure]:
    """What is no point of a slope, the worst of the repeats at each size."""
    found = []
    for situation in (Situation.RESTARTS, Situation.ZONE_RETURNS, Situation.REGIONS_JOIN):
        for size in sorted({case.size for case in measures}):
            chosen = {
                case: measure
                for case, measure in measures.items()
                if case.size == size and case.situation is situation
            }
            longest_s = max(case.to_agreement_s for case in chosen)
            awaited = [chosen[case] for case in chosen if case.to_agreement_s == longest_s]
            found += _event_figures(f"{size} sidecars, {situation.value}", list(chosen.values()), awaited)
    return found


def _event_figures(
    name: str, each: Sequence[MemberMeasure], awaited: Sequence[MemberMeasure]
) -> list[Figure]:
    """Of one size and situation; `awaited` are the plays that went on until the views agreed."""
    found = [
        Figure(f"{name}: worst second of one", max(float(one.worst_second_bytes) for one in each), "B"),
        Figure(f"{name}: of a seed", max(float(one.seed_worst_second_bytes) for one in each), "B"),
        Figure(f"{name}: a seed's mean", max(one.seed.bytes_per_s for one in each), "B/s"),
        Figure(f"{name}: a seed's CPU", max(one.seed.core_share for one in each), "core"),
    ]
    if any(one.restarted.bytes_per_s for one in each):
        found += [
            Figure(f"{name}: of one that restarted", max(one.restarted.bytes_per_s for one in each), "B/s"),
            Figure(
                f"{name}: CPU of one that restarted", max(one.restarted.core_share for one in each), "core"
            ),
        ]
    found.append(_agreement(f"{name}: 99 % of views agree after", [one.agreed_s for one in awaited]))
    found.append(_agreement(f"{name}: all views agree after", [one.complete_s for one in awaited]))
    return found


def _agreement(name: str, times_s: Sequence[float | None]) -> Figure:
    known = [time_s for time_s in times_s if time_s is not None]
    if len(known) < len(times_s):
        return Figure(name, NOT_AGREED, "s", f"not within the play in {len(times_s) - len(known)} plays")
    return Figure(name, max(known), "s")


def _worst_second_bars(role: str, measures: dict[MemberCase, MemberMeasure]) -> list[Bar]:
    """The worst second after the regions have met again, at the planned size, as a share of the budget."""
    worst = [
        measure.worst_second_bytes
        for case, measure in measures.items()
        if case.situation is Situation.REGIONS_JOIN and case.size == TARGET.sidecars
    ]
    if not worst:
        return []
    name = f"{role}, {Situation.REGIONS_JOIN.value}: worst second's bytes of the budget"
    return [Bar(name, max(worst) / BUDGET.bytes_per_s, 1.0)]


def _comparison(measures: dict[MemberCase, MemberMeasure]) -> list[Figure]:
    """The same stretch in a cluster of whole members and in the crowd."""
    found = []
    for restarts, situation in ((False, Situation.QUIET), (True, Situation.RESTARTS)):
        whole = whole_cluster_bytes(restarts)
        crowd = play(MemberCase(MODEL_SIZE, situation, 1, WHOLE, MODEL_STRETCH_S, 0.0, MODEL_PREFIX))
        ratio = crowd.mean.bytes_per_s / whole
        name = f"{MODEL_SIZE} sidecars, {situation.value}: bytes, crowd of {WHOLE} whole to all whole"
        found.append(Figure(name, ratio, "ratio"))
    return found
