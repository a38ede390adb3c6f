"""Cost of one leased budget for all instances: holders, acceptors and planners of a model.

The daemon has none of this yet: what is measured stands beside the other roles and counts in no sum.
"""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.capacity.costs import Measurement, Run, slopes_of
from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.parallel import map_cases
from benchmarks.capacity.roles import Figure, RoleResult
from benchmarks.capacity.slopes import Axis, Situation, Slope, Unit
from benchmarks.capacity.target import TARGET
from fakes.lease_model import ACCEPTORS, Model, Plan
from plovertrail.decisions.leases import LeaseRules
from plovertrail.simulation.clock import SECOND_US

SIZES, SHORT_SIZES = (25, 50, 100, 200), (8, 12, 16, 24)
SETTLE_S, STRETCH_S = 9.0, 10.0
SHORT_SETTLE_S, SHORT_STRETCH_S = 3.0, 3.0
PERMITS_EACH, SLOTS_EACH = 20, 4  # of the budget, by the number of instances
REQUESTS_EACH_PER_S = 30.0
LEASE_US = 6 * SECOND_US
NOTE = (
    "leases: a model, not in the daemon, with no codec: messages and CPU of the decisions alone; one budget; "
    "instances that are no acceptors, the 5 acceptors beside them; above 200 instances extrapolated"
)


@dataclass(frozen=True, slots=True)
class LeasesCase:
    """One play."""

    size: int
    situation: Situation
    seed: int
    settle_s: float
    stretch_s: float


@dataclass(frozen=True, slots=True)
class LeasesMeasure:
    """Of one instance that is no acceptor, and of one acceptor."""

    messages_per_s: float
    core_share: float
    acceptor_messages_per_s: float
    acceptor_core_share: float
    overspent: int  # permits in use at one moment beyond the budget


def play(case: LeasesCase) -> LeasesMeasure:
    """Settle, let the event happen, and measure."""
    rules = LeaseRules(PERMITS_EACH * case.size, SLOTS_EACH * case.size, LEASE_US, SECOND_US)
    model = Model(Plan(case.size, rules, REQUESTS_EACH_PER_S * case.size), case.seed)
    model.run(case.settle_s)
    if case.situation is Situation.RESTARTS:
        restarted = range(case.size - 1, ACCEPTORS, -10)
        model.kill(restarted)
        model.start(restarted)
    meters = [CpuMeter() for _ in model.members]
    for member, meter in zip(model.members, meters, strict=True):
        for target, name in (
            (member.planner, "tick"),
            (member.planner, "handle_message"),
            (member.planner, "spend"),
            (member.acceptor, "handle_claim"),
        ):
            meter.wrap(target, name)
    sent = [member.sent for member in model.members]
    model.run(case.stretch_s)
    messages = [
        (member.sent - before) / case.stretch_s for member, before in zip(model.members, sent, strict=True)
    ]
    shares = [meter.share(case.stretch_s) for meter in meters]
    others = case.size - ACCEPTORS
    return LeasesMeasure(
        sum(messages[ACCEPTORS:]) / others,
        sum(shares[ACCEPTORS:]) / others,
        sum(messages[:ACCEPTORS]) / ACCEPTORS,
        sum(shares[:ACCEPTORS]) / ACCEPTORS,
        max(0, model.peak_in_use - rules.total),
    )


@dataclass(frozen=True, slots=True)
class LeasesRole:
    """A leased budget of all instances, as a model."""

    jobs: int = 4

    @property
    def name(self) -> str:
        """What `--role` chooses it by."""
        return "leases"

    def measure(self, short: bool, repeats: int) -> RoleResult:
        """Against instances, quiet and while a tenth restarts."""
        times = (SHORT_SETTLE_S, SHORT_STRETCH_S) if short else (SETTLE_S, STRETCH_S)
        cases = [
            LeasesCase(size, situation, seed, *times)
            for size in reversed(SHORT_SIZES if short else SIZES)
            for situation in (Situation.QUIET, Situation.RESTARTS)
            for seed in range(1, repeats + 1)
        ]
        measures = dict(zip(cases, map_cases(play, cases, self.jobs), strict=True))
        slopes: list[Slope] = []
        figures: list[Figure] = []
        for situation in (Situation.QUIET, Situation.RESTARTS):
            chosen = {case: found for case, found in measures.items() if case.situation is situation}
            for role, runs in (("leases", _of_one(chosen)), ("leases, an acceptor", _of_acceptor(chosen))):
                found = slopes_of(Measurement(role, Axis.SIDECARS, situation, NOTE), runs)
                slopes += found
                figures += [
                    Figure(
                        f"{role}, {situation.value}, at {TARGET.sidecars}",
                        max(0.0, slope.fit.at(TARGET.sidecars)),
                        slope.unit.value,
                        "extrapolated",
                    )
                    for slope in found
                ]
        overspent = max(measure.overspent for measure in measures.values())
        figures.append(Figure("permits in use beyond the budget", float(overspent), "permits"))
        return RoleResult(tuple(slopes), figures=tuple(figures))


def _of_one(measures: dict[LeasesCase, LeasesMeasure]) -> list[Run]:
    return [
        Run(case.size, {Unit.MESSAGES_PER_S: found.messages_per_s, Unit.CORE_SHARE: found.core_share})
        for case, found in measures.items()
    ]


def _of_acceptor(measures: dict[LeasesCase, LeasesMeasure]) -> list[Run]:
    return [
        Run(
            case.size,
            {
                Unit.MESSAGES_PER_S: found.acceptor_messages_per_s,
                Unit.CORE_SHARE: found.acceptor_core_share,
            },
        )
        for case, found in measures.items()
    ]
