"""Cost of shared counts: limits that hold for all instances together."""

from __future__ import annotations

import tracemalloc
from dataclasses import dataclass, replace

from benchmarks.capacity.costs import Measurement, Run, slopes_of, target_cost
from benchmarks.capacity.counts_crowd import TALK, CountsCrowd, CountsPlan
from benchmarks.capacity.event_queue import SECOND_US
from benchmarks.capacity.parallel import map_cases
from benchmarks.capacity.roles import Figure, RoleResult, TargetCost
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from plovertrail.config.peers import MOST_PEERS
from plovertrail.decisions.counter_rows import CounterMessage, CountingWindow
from plovertrail.decisions.peer_counters import MAX_REPLICAS
from plovertrail.decisions.shared_counters import SharedCounters

SIZES, SHORT_SIZES = (25, 50, 100, MOST_PEERS), (12, 16, 20, 24)
LIMITS, SHORT_LIMITS = (1, 10, 50, 200), (1, 4, 8, 16)
SHORT_LIMITS_AT = 8
WHOLE, SHORT_WHOLE = 2, 2
SETTLE_S, SHORT_SETTLE_S = 11.0, 1.5  # a window is full
STRETCH_S, SHORT_STRETCH_S = 3.0, 2.0
CUT_S = 12.0  # of the five minutes that are played: after a window nothing of the other side counts
RESTART_PART, ZONES, RETURNING_ZONE = 10, 8, 7
DOWN_S = 3.0  # of a zone, before it comes back
PROTOCOL_NOTE = (
    f"counts: [peers] lists {MOST_PEERS} instances at most: the planned 1,800 can't be listed, what is told "
    "of them is extrapolated; one limit a service, 311 requests a second in all; 2 whole instances, "
    "the defaults (period 100 ms, fan-out 8, window 10 s); with each request's add and parts_of"
)
MEMORY_NOTE = "counts: tracemalloc of one instance's counters with all rows of all peers"


@dataclass(frozen=True, slots=True)
class CountsCase:
    """One play."""

    size: int
    limits: int
    situation: Situation
    seed: int
    whole: int
    settle_s: float
    stretch_s: float


@dataclass(frozen=True, slots=True)
class CountsMeasure:
    """Costs of one instance."""

    protocol_share: float  # of a core: sending and receiving
    request_share: float  # of a core: what each request asks of the counters
    bytes_per_s: float
    messages_per_s: float

    @property
    def costs(self) -> dict[Unit, float]:
        """By unit."""
        return {
            Unit.CORE_SHARE: self.protocol_share + self.request_share,
            Unit.BYTES_PER_S: self.bytes_per_s,
            Unit.MESSAGES_PER_S: self.messages_per_s,
        }


def play(case: CountsCase) -> CountsMeasure:
    """Settle, let the event happen, and measure."""
    crowd = CountsCrowd(CountsPlan(case.size, case.limits, case.whole, case.seed))
    returning = [number for number in range(case.size) if number % ZONES == RETURNING_ZONE]
    crowd.queue.run(case.settle_s)
    if case.situation is Situation.ZONE_RETURNS:
        crowd.stop(returning)
        crowd.queue.run(DOWN_S)
    if case.situation is Situation.REGIONS_JOIN:
        crowd.cut = True
        crowd.queue.run(min(CUT_S, 2 * case.settle_s))
    crowd.reset()
    crowd.cut = False
    if case.situation is Situation.RESTARTS:
        crowd.restart(range(0, case.size, RESTART_PART))
    if case.situation is Situation.ZONE_RETURNS:
        crowd.restart(returning)
    crowd.queue.run(case.stretch_s)
    return _measured(crowd, case)


def _measured(crowd: CountsCrowd, case: CountsCase) -> CountsMeasure:
    whole_seconds = case.whole * case.stretch_s
    return CountsMeasure(
        sum(meter.share(case.stretch_s) for meter in crowd.protocol_meters) / case.whole,
        sum(meter.share(case.stretch_s) for meter in crowd.request_meters) / case.whole,
        crowd.octets.total() / whole_seconds,
        crowd.datagrams.total() / whole_seconds,
    )


def counters_bytes(size: int, limits: int) -> float:
    """What one instance's counters take (tracemalloc) with every limit's row of every peer."""
    window = CountingWindow(10 * SECOND_US, 20)
    tracemalloc.start()
    counts = SharedCounters("me", 1, window, 0)
    for key in range(limits):
        counts.add(key + 2**40, 1_000)
    for peer in range(1, size):
        rows = tuple((key + 2**40, 19, (1,)) for key in range(limits))  # a row takes as much, however full
        counts.merge(CounterMessage(f"i{peer}", 1, 1, window.span_us, rows), window.span_us)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(used)


@dataclass(frozen=True, slots=True)
class CountsRole:
    """Counts and limits that all instances share."""

    jobs: int = 4

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        return "counts"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against listed instances and against services, each with one limit."""
        cases = counts_cases(short, repeats)
        measures = dict(zip(cases, map_cases(play, cases, self.jobs), strict=True))
        sizes = SHORT_SIZES if short else SIZES
        limits = SHORT_LIMITS_AT if short else TARGET.services
        slopes: list[Slope] = []
        for axis in (Axis.SIDECARS, Axis.SERVICES):
            by_size = axis is Axis.SIDECARS
            runs = [
                Run(case.size if by_size else case.limits, measure.costs)
                for case, measure in measures.items()
                if case.situation is Situation.QUIET
                and (case.limits == limits if by_size else case.size == sizes[-1])
            ]
            slopes += slopes_of(Measurement(self.name, axis, Situation.QUIET, PROTOCOL_NOTE), runs)
        memory = _memory_slopes(self.name, short)
        costs = [target_cost(slope) for slope in (*slopes, *memory) if slope.axis is Axis.SIDECARS]
        costs += _event_costs(self.name, measures, costs)
        if not short:
            costs = [_full_tables(cost) if cost.unit is Unit.RESIDENT_BYTES else cost for cost in costs]
        return RoleResult((*slopes, *memory), tuple(costs), tuple(_figures(measures)))


def counts_cases(short: bool, repeats: int) -> list[CountsCase]:
    """Quiet at all sizes; the events at the largest one that can be listed. The costliest first."""
    sizes, limits = (SHORT_SIZES, SHORT_LIMITS) if short else (SIZES, LIMITS)
    at = SHORT_LIMITS_AT if short else TARGET.services
    plays = [(sizes[-1], at, situation) for situation in Situation if situation is not Situation.ORDINARY_DAY]
    plays += [(size, at, Situation.QUIET) for size in reversed(sizes)]
    plays += [(sizes[-1], limit, Situation.QUIET) for limit in reversed(limits)]
    times = (SHORT_WHOLE, SHORT_SETTLE_S, SHORT_STRETCH_S) if short else (WHOLE, SETTLE_S, STRETCH_S)
    return [
        CountsCase(*each, seed, *times) for each in dict.fromkeys(plays) for seed in range(1, repeats + 1)
    ]


def _memory_slopes(role: str, short: bool) -> tuple[Slope, ...]:
    limits = SHORT_LIMITS_AT if short else TARGET.services
    sizes = SHORT_SIZES if short else SIZES
    by_size = [Run(size, {Unit.RESIDENT_BYTES: counters_bytes(size, limits)}) for size in sizes]
    by_limits = [
        Run(limit, {Unit.RESIDENT_BYTES: counters_bytes(sizes[-1], limit)})
        for limit in (SHORT_LIMITS if short else LIMITS)
    ]
    return (
        *slopes_of(Measurement(role, Axis.SIDECARS, Situation.QUIET, MEMORY_NOTE), by_size),
        *slopes_of(Measurement(role, Axis.SERVICES, Situation.QUIET, MEMORY_NOTE), by_limits),
    )


def _full_tables(cost: TargetCost) -> TargetCost:
    """A line through small sizes goes on for ever, the tables don't: this is what all 1,800 leave in them."""
    figure = counters_bytes(min(TARGET.sidecars, MAX_REPLICAS + 1), TARGET.services)
    return replace(cost, figure=figure, extrapolated=False, note="measured with the tables full")


def _event_costs(
    role: str, measures: dict[CountsCase, CountsMeasure], quiet: list[TargetCost]
) -> list[TargetCost]:
    """Of the situations played at the largest listed size: what they add to quiet there is added to it."""
    largest = max(case.size for case in measures)
    limits = max(case.limits for case in measures if case.situation is Situation.RESTARTS)
    found: list[TargetCost] = []
    for situation in (Situation.RESTARTS, Situation.ZONE_RETURNS, Situation.REGIONS_JOIN):
        for cost in quiet:
            samples = {
                each: Sample(
                    largest,
                    tuple(
                        measure.costs[cost.unit]
                        for case, measure in measures.items()
                        if (case.size, case.limits, case.situation) == (largest, limits, each)
                    ),
                )
                for each in (Situation.QUIET, situation)
                if cost.unit is not Unit.RESIDENT_BYTES
            }
            if samples:
                more = samples[situation].median - samples[Situation.QUIET].median
                note = (
                    f"at {largest}: {samples[situation].median:.4g}, spread {samples[situation].spread:.3g}"
                )
                figure = max(0.0, cost.figure + more)
                found.append(TargetCost(role, cost.unit, situation, figure, True, note))
    day = [
        TargetCost(role, cost.unit, Situation.ORDINARY_DAY, cost.figure, True, "as quiet")
        for cost in quiet
        if cost.unit is not Unit.RESIDENT_BYTES
    ]
    return found + day


def _figures(measures: dict[CountsCase, CountsMeasure]) -> list[Figure]:
    largest = max(case.size for case in measures)
    limits = max(case.limits for case in measures if case.situation is Situation.RESTARTS)
    found: list[Figure] = []
    for situation in Situation:
        chosen = [
            measure
            for case, measure in measures.items()
            if (case.size, case.limits, case.situation) == (largest, limits, situation)
        ]
        if not chosen:
            continue
        name = f"{largest} instances, {limits} limits, {situation.value}"
        share = Sample(largest, tuple(each.request_share for each in chosen))
        found.append(Figure(f"{name}: CPU of requests' questions", share.median, "core"))
        protocol = Sample(largest, tuple(each.protocol_share for each in chosen))
        found.append(Figure(f"{name}: CPU of messages", protocol.median, "core"))
    round_s = replace(TALK, size=largest).round_s
    found.append(
        Figure(f"{largest} instances: each has heard of each after", round_s, "s", "stated, a round")
    )
    return found
