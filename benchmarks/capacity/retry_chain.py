"""Attempts that one call becomes over a chain of services: `python -m benchmarks.capacity.retry_chain`.

The bounds of retry_bound.py beside what retry_model.py counts, with a real Balancer in every sidecar: the
last service fails every attempt, in each way, for each effect, at several loads and depths. Bars: no call
above its bound, no sidecars above their budget of reissues. Without a bar: what a healthy chain serves,
where each hop keeps ANSWER_MARGIN_US of its caller's time for the way back.
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import sys
from collections.abc import Sequence
from dataclasses import dataclass, replace

from benchmarks.capacity import retry_bound
from benchmarks.capacity.retry_bound import Effect, Failure, Propagation
from benchmarks.capacity.retry_model import Model, Plan
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from benchmarks.report import Bar, close, table

DEPTHS = (1, 2, 4, 8, 16, TARGET.call_depth)
SHORT_DEPTHS = (1, 2, 4, 8)
TOLERANCE = 1e-6  # fifths of a reissue do not add up exactly


@dataclass(frozen=True, slots=True)
class Load:
    """Calls a second of all callers at the top."""

    name: str
    calls: int  # once the last service fails
    calls_per_s: float
    calm_s: float  # before that
    repeats: int  # of those asked for, at most

    @property
    def alone(self) -> bool:
        """Whether no other call uses the budgets of the sidecars."""
        return self.calls == 1 and self.calm_s == 0


ALONE = Load("one call alone", 1, 1.0, 0.0, 10)
LIGHT = Load("1 a second", 60, 1.0, 5.0, 3)
BUSY = Load("100 a second", 100, 100.0, 3.0, 3)
# all sidecars of a chain that start at one moment are through with it after eleven seconds
PLANNED = Load("as planned", 1_000, TARGET.calls_per_s_of_one * TARGET.servers_per_service, 15.0, 1)
LOADS = (ALONE, LIGHT, BUSY)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is called, and how it fails."""

    effect: Effect
    failure: Failure
    propagation: Propagation

    @property
    def name(self) -> str:
        """As the tables have it."""
        effect, failure = self.effect.name.lower(), self.failure.name.lower().replace("_", " ")
        return f"{effect}, {failure}, told on as {self.propagation.value}"


SCENARIOS = tuple(Scenario(*each) for each in itertools.product(Effect, Failure, Propagation))
SHORT_SCENARIOS = tuple(scenario for scenario in SCENARIOS if scenario.effect is not Effect.KEYED)
SHORT_LOADS = (ALONE, BUSY)
PLANNED_SCENARIOS = tuple(
    Scenario(effect, failure, propagation)
    for effect in (Effect.SAFE, Effect.UNSAFE)
    for failure, propagation in (
        (Failure.ERROR_ANSWER, Propagation.ERROR),
        (Failure.NOT_RUN_REFUSAL, Propagation.NOT_RUN),
    )
)


@dataclass(frozen=True, slots=True)
class Job:
    """One play."""

    scenario: Scenario
    load: Load
    depth: int
    seed: int

    @property
    def plan(self) -> Plan:
        """For the model."""
        scenario, load = self.scenario, self.load
        return Plan(
            self.depth,
            scenario.effect,
            scenario.failure,
            scenario.propagation,
            load.calls,
            load.calls_per_s,
            servers=TARGET.servers_per_service,
            calm_s=load.calm_s,
        )


@dataclass(frozen=True, slots=True)
class Count:
    """What one play counted."""

    job: Job
    worst: tuple[int, ...]  # attempts of one call, by depth
    mean: tuple[float, ...]
    load: float  # all attempts, of what there would be if nothing failed
    served_by_second: tuple[float, ...]  # before the last service fails
    above_bound: int  # depths at which a call had more attempts than its bound
    above_budget: int  # depths at which the sidecars reissued more than they may


def play(job: Job) -> Count:
    """Play it and hold it against the bounds."""
    plan, scenario = job.plan, job.scenario
    model = Model(plan, job.seed)
    model.play()
    depths = range(1, plan.depth + 1)
    bounds = retry_bound.of_one_call(
        plan.chain, scenario.effect, scenario.failure, scenario.propagation, job.load.alone
    )
    worst = tuple(model.worst(depth) for depth in depths)
    above_budget = 0
    for depth in depths:
        most = retry_bound.most_reissues(model.first_sends[depth], plan.servers)
        above_budget += model.reissues(depth) > most + TOLERANCE
    return Count(
        job,
        worst,
        tuple(model.mean(depth) for depth in depths),
        model.load,
        tuple(model.served_by_second()),
        sum(count > bound for count, bound in zip(worst, bounds, strict=True)),
        above_budget,
    )


def healthy(plan: Plan) -> float:
    """The share of calls that a chain serves in which nothing fails."""
    model = Model(plan, seed=1)
    model.play()
    return model.served_in_calm


def healthy_plans(depth: int) -> dict[str, Plan]:
    """Chains in which nothing fails, with and without the margin for the way back."""
    base = Plan(depth, Effect.SAFE, Failure.ERROR_ANSWER, Propagation.ERROR, 0, 10.0, calm_s=20.0)
    tight = replace(base, aim_us=400_000, deadline_us=2_000_000)
    return {
        "aim 400 ms, work 1 ms": replace(tight, work_us=1_000),
        "aim 400 ms, work 1 ms, no margin": replace(tight, work_us=1_000, margin_us=0),
        "aim 400 ms, work 4 ms": tight,
        "aim 400 ms, work 4 ms, no margin": replace(tight, margin_us=0),
        "aim 1 s, work 1 ms": replace(base, work_us=1_000),
        "aim 1 s, work 4 ms": base,
    }


class RetryChain:
    """Retries and deadlines over a chain of services."""

    name = "retries"

    def __init__(self, processes: int = 1) -> None:
        self.processes = processes
        self.counts: list[Count] = []

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Attempts of a call against the depth; the worst and the mean of the last service."""
        depths = SHORT_DEPTHS if short else DEPTHS
        scenarios, loads = (SHORT_SCENARIOS, SHORT_LOADS) if short else (SCENARIOS, LOADS)
        jobs = [
            Job(scenario, load, depth, seed)
            for scenario, load, depth in itertools.product(scenarios, loads, depths)
            for seed in range(min(repeats, load.repeats))
        ]
        if not short:
            jobs += [Job(scenario, PLANNED, depths[-1], 0) for scenario in PLANNED_SCENARIOS]
        jobs.sort(key=lambda job: -job.load.calls * job.depth)  # the long ones first
        with multiprocessing.Pool(self.processes) as pool:
            self.counts = pool.map(play, jobs, chunksize=1)
            plans = healthy_plans(depths[-1])
            served = dict(zip(plans, pool.map(healthy, plans.values()), strict=True))
        return RoleResult(
            slopes=tuple(self.slope(scenario, load) for scenario in scenarios for load in loads),
            figures=tuple(
                Figure(f"served of a healthy chain {depths[-1]} deep, {name}", part, "of calls")
                for name, part in served.items()
            ),
            bars=(
                Bar("depths with a call above its bound", sum(c.above_bound for c in self.counts), 0),
                Bar("depths with reissues over the budget", sum(c.above_budget for c in self.counts), 0),
            ),
        )

    def slope(self, scenario: Scenario, load: Load) -> Slope:
        """The most attempts of one call at the last service, against the depth."""
        counts = [c for c in self.counts if c.job.scenario == scenario and c.job.load == load]
        samples = tuple(
            Sample(depth, tuple(float(c.worst[-1]) for c in counts if c.job.depth == depth))
            for depth in sorted({c.job.depth for c in counts})
        )
        situation = Situation.LAST_SERVICE_FAILS
        unit = Unit.ATTEMPTS_PER_CALL
        return Slope(self.name, Axis.DEPTH, unit, situation, samples, f"{scenario.name}; {load.name}")


def depth_rows(role: RetryChain, load: Load) -> list[list[object]]:
    """The worst and the mean at the last service, by depth."""
    rows = []
    for scenario in scenarios_of(role.counts):
        row: list[object] = [scenario.name]
        for depth in sorted({count.job.depth for count in role.counts}):
            counts = matching(role.counts, scenario, load, depth)
            mean = sum(count.mean[-1] for count in counts) / len(counts)
            row.append(f"{max(count.worst[-1] for count in counts)} ({mean:.2f})")
        rows.append(row)
    return rows


def scenarios_of(counts: Sequence[Count]) -> list[Scenario]:
    """Those that were played, in the order of the tables."""
    played = {count.job.scenario for count in counts}
    return [scenario for scenario in SCENARIOS if scenario in played]


def loads_of(counts: Sequence[Count]) -> list[Load]:
    """The same of the loads, but for the planned one, which has a table of its own."""
    played = {count.job.load for count in counts}
    return [load for load in LOADS if load in played]


def matching(counts: Sequence[Count], scenario: Scenario, load: Load, depth: int) -> list[Count]:
    """The repeats of one play."""
    return [
        count
        for count in counts
        if (count.job.scenario, count.job.load, count.job.depth) == (scenario, load, depth)
    ]


def bound_rows(role: RetryChain, depth: int) -> list[list[object]]:
    """The bounds at the last service beside the worst of each load, at any depth of the chain."""
    rows: list[list[object]] = []
    for scenario in scenarios_of(role.counts):
        chain = Job(scenario, ALONE, depth, 0).plan.chain
        hops = retry_bound.factors(chain, scenario.effect, scenario.failure, scenario.propagation)
        row: list[object] = [
            scenario.name,
            f"{retry_bound.by_attempts(hops)[-1]:.3g}",
            min(retry_bound.by_attempts(hops)[-1], retry_bound.by_time(chain)),
            min(retry_bound.by_budget(chain, hops)[-1], retry_bound.by_time(chain)),
            f"{retry_bound.sustained(hops)[-1]:.1f}",
        ]
        for load in loads_of(role.counts):
            counts = matching(role.counts, scenario, load, depth)
            worst = max(max(count.worst) for count in counts)
            total = sum(count.load for count in counts) / len(counts)
            row.append(f"{worst} ({total:.2f})")
        rows.append(row)
    return rows


def planned_rows(role: RetryChain) -> list[list[object]]:
    """At the planned load."""
    return [
        [
            count.job.scenario.name,
            max(count.worst),
            f"{count.mean[0]:.3f}",
            f"{count.mean[-1]:.3f}",
            f"{count.load:.3f}",
            " ".join(f"{part:.2f}" for part in count.served_by_second),
        ]
        for count in role.counts
        if count.job.load == PLANNED
    ]


def main() -> int:
    """Print the tables; the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.capacity.retry_chain")
    parser.add_argument("--short", action="store_true", help="small depths only")
    parser.add_argument("--repeats", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=1, help="processes")
    arguments = parser.parse_args()
    role = RetryChain(arguments.jobs)
    result = role.measure(arguments.short, arguments.repeats)
    depths = sorted({count.job.depth for count in role.counts})
    print(
        f"{depths[-1]} deep: bounds; the most attempts of one call at any depth (all attempts, of what there"
    )
    print("would be if nothing failed)\n")
    head = [
        "",
        "by attempts",
        "and time",
        "alone",
        "mean, long run",
        *(load.name for load in loads_of(role.counts)),
    ]
    table(head, bound_rows(role, depths[-1]))
    for load in loads_of(role.counts):
        print(f"\nat the last service by depth, worst (mean), {load.name}\n")
        table(["", *map(str, depths)], depth_rows(role, load))
    if not arguments.short:
        print(f"\n{PLANNED.calls_per_s:.0f} calls a second over {TARGET.servers_per_service} callers\n")
        table(
            ["", "worst", "mean at 1", "mean at last", "load", "served, by second of the calm"],
            planned_rows(role),
        )
    print()
    table(["", "served"], [[figure.name, f"{figure.value:.3f}"] for figure in result.figures])
    figures: dict[str, object] = {figure.name: round(figure.value, 4) for figure in result.figures}
    figures |= {slope.note: [max(sample.values) for sample in slope.samples] for slope in result.slopes}
    return close("capacity.retry_chain", figures, result.bars)


if __name__ == "__main__":
    sys.exit(main())
