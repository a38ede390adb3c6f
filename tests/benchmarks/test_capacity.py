"""The capacity benchmark: fitted slopes, and what its hollow processes must keep to for figures to be worth
anything."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from benchmarks.capacity.__main__ import chosen_roles
from benchmarks.capacity.costs import Measurement, Run, planned_size, slopes_of, target_cost
from benchmarks.capacity.counts_crowd import CountsCrowd, CountsPlan
from benchmarks.capacity.cpu_meter import CpuMeter
from benchmarks.capacity.evidence_load import EvidenceLoad, FailingServers, ServiceSizes
from benchmarks.capacity.evidence_role import evidence_cases
from benchmarks.capacity.hollow_roles import hollow_roles
from benchmarks.capacity.leases_role import LeasesCase
from benchmarks.capacity.leases_role import play as play_leases
from benchmarks.capacity.list_calls_role import ListCallsCase
from benchmarks.capacity.list_calls_role import play as play_list_calls
from benchmarks.capacity.member_crowd import SEEDS, CrowdPlan, MemberCrowd
from benchmarks.capacity.presentation import bars_of
from benchmarks.capacity.reducer_role import ReducerCase, cost_of_change_s, started_states
from benchmarks.capacity.roles import RoleResult, TargetCost
from benchmarks.capacity.slopes import Axis, Sample, Situation, Slope, Unit, best_fit
from benchmarks.capacity.target import BUDGET
from fakes.membership_model import MembershipModel
from plovertrail.decisions.cluster_members import FORGET_US
from plovertrail.decisions.membership import MemberState

SIZES = (50.0, 200.0, 600.0, 1_800.0, 3_600.0)


def samples(costs: dict[float, float]) -> list[Sample]:
    return [Sample(size, (cost,)) for size, cost in costs.items()]


# Slopes


def test_a_known_line_is_found() -> None:
    fit = best_fit(samples({size: 3.0 + 0.25 * size for size in SIZES}))
    assert not fit.logarithmic
    assert fit.base == pytest.approx(3.0)
    assert fit.slope == pytest.approx(0.25)
    assert fit.residual == pytest.approx(0.0, abs=1e-9)
    assert fit.at(1_000.0) == pytest.approx(253.0)


def test_a_known_logarithm_is_found() -> None:
    fit = best_fit(samples({size: 2.0 + 5.0 * math.log2(size) for size in SIZES}))
    assert fit.logarithmic
    assert fit.base == pytest.approx(2.0)
    assert fit.slope == pytest.approx(5.0)
    assert fit.at(1_024.0) == pytest.approx(52.0)


def test_a_constant_cost_has_no_slope() -> None:
    fit = best_fit(samples(dict.fromkeys(SIZES, 7.0)))
    assert fit.slope == pytest.approx(0.0)
    assert fit.at(10_000.0) == pytest.approx(7.0)


def test_the_residual_is_the_root_mean_square_error_as_a_share_of_the_mean() -> None:
    """Costs 9, 11, 11, 9 at 0, 1, 2, 3: the best line is flat at 10, and each point is off by 1. At 0 there
    is no logarithm."""
    fit = best_fit(samples({0.0: 9.0, 1.0: 11.0, 2.0: 11.0, 3.0: 9.0}))
    assert fit.base == pytest.approx(10.0)
    assert fit.slope == pytest.approx(0.0)
    assert fit.residual == pytest.approx(0.1)
    assert not fit.logarithmic


def test_a_slope_goes_through_the_medians_and_tells_the_spread() -> None:
    sample = Sample(10.0, (1.0, 100.0, 2.0))
    assert sample.median == 2.0
    assert sample.spread == 99.0


def test_too_few_sizes_are_refused() -> None:
    with pytest.raises(ValueError, match="4 sizes"):
        best_fit(samples({50.0: 1.0, 200.0: 2.0, 600.0: 3.0}))
    with pytest.raises(ValueError, match="4 sizes"):
        best_fit([Sample(50.0, (1.0,))] * 5)


def test_what_lies_above_the_largest_size_is_extrapolated() -> None:
    slope = Slope(
        "x", Axis.SIDECARS, Unit.BYTES_PER_S, Situation.QUIET, tuple(samples({50.0: 1.0, 200.0: 2.0}))
    )
    assert not slope.extrapolated(200.0)
    assert slope.extrapolated(201.0)


# From runs to bars


def runs(sizes: tuple[float, ...]) -> list[Run]:
    return [Run(size, {Unit.BYTES_PER_S: size + repeat}) for size in sizes for repeat in (0, 1, 2)]


def test_the_cost_at_the_planned_size_is_the_median_that_was_measured_there() -> None:
    measurement = Measurement("x", Axis.SIDECARS, Situation.QUIET)
    (slope,) = slopes_of(measurement, runs(SIZES))
    cost = target_cost(slope)
    assert cost.figure == 1_801.0
    assert not cost.extrapolated
    (short,) = slopes_of(measurement, runs((50.0, 100.0, 200.0, 400.0)))
    assert target_cost(short).extrapolated
    assert target_cost(short).figure == pytest.approx(1_801.0)
    assert slopes_of(measurement, runs((50.0, 100.0))) == ()


def test_each_role_and_their_sum_are_held_against_the_budget() -> None:
    half = TargetCost("x", Unit.CORE_SHARE, Situation.QUIET, 0.6 * BUDGET.core_share, False)
    results = {"a": RoleResult(costs=(half,)), "b": RoleResult(costs=(replace(half, role="b"),))}
    bars = {bar.name: bar for bar in bars_of(results)}
    assert bars["a, quiet: core of the budget"].held
    assert bars["b, quiet: core of the budget"].held
    assert not bars["all roles, quiet: core of the budget"].held
    assert bars["all roles, quiet: core of the budget"].figure == pytest.approx(1.2)


def test_an_unknown_role_is_refused() -> None:
    roles = hollow_roles(1)
    assert [role.name for role in chosen_roles(roles, ["counts"])] == ["counts"]
    with pytest.raises(SystemExit, match="no role is called 'x'"):
        chosen_roles(roles, ["x"])


def test_a_call_within_a_metered_call_is_counted_once() -> None:
    meter = CpuMeter()
    assert meter.call(lambda: meter.call(sum, [1, 2])) == 3
    assert meter.calls == 1
    assert meter.total_ns > 0


# Hollow members


def quiet_crowd(size: int = 60, whole: int = 16) -> MemberCrowd:
    crowd = MemberCrowd(CrowdPlan(size, whole))
    crowd.queue.run(3)
    crowd.reset()
    return crowd


def test_no_member_of_a_quiet_crowd_is_suspected_or_forgotten() -> None:
    crowd = quiet_crowd()
    crowd.queue.run(30)
    assert all(member.cluster.size == 60 and not member.cluster.table.suspects for member in crowd.members)
    assert crowd.known_share == 1.0


def test_whole_members_of_a_crowd_get_as_much_as_they_send() -> None:
    crowd = quiet_crowd()
    taken = sum(member.traffic.accepted for member in crowd.members)
    crowd.queue.run(60)
    taken = sum(member.traffic.accepted for member in crowd.members) - taken
    assert taken == pytest.approx(crowd.traffic.datagrams.total(), rel=0.05)
    assert not any(member.traffic.dropped for member in crowd.members)


def test_a_crowd_sends_what_a_cluster_of_whole_members_sends() -> None:
    """Bytes of one member, quiet; both with names and zones of the same length."""
    model = MembershipModel(60, seed=1, exchange_health=False, zones=8)
    model.run(3)
    model.bytes_sent.clear()
    model.run(30)
    crowd = MemberCrowd(CrowdPlan(60, 16, name_prefix="i"))
    crowd.queue.run(3)
    crowd.reset()
    crowd.queue.run(30)
    assert crowd.traffic.octets.total() / 16 == pytest.approx(model.bytes_sent.total() / 60, rel=0.05)


def test_restarted_members_are_known_to_all_by_their_new_records() -> None:
    crowd = quiet_crowd()
    restarted = [number for number in range(60) if number % 10 == 9]
    crowd.start(restarted)
    crowd.queue.run(60)
    for number, member in enumerate(crowd.members):
        for other in restarted:
            if other != number:
                known = member.cluster.table.members[f"sidecar-{other}"].record
                assert known.state is MemberState.ALIVE
                assert known.incarnation >= crowd.records[other].incarnation


def test_a_lost_member_is_given_up_by_all() -> None:
    crowd = quiet_crowd()
    crowd.lose(40)
    crowd.queue.run(60)
    assert {member.cluster.table.members["sidecar-40"].record.state for member in crowd.members} == {
        MemberState.DEAD
    }
    assert all(member.cluster.size == 59 for member in crowd.members)


def test_regions_that_were_cut_for_five_minutes_have_forgotten_each_other() -> None:
    """Why the crowd begins with two halves that know their own side only."""
    assert FORGET_US < 300_000_000
    model = MembershipModel(8, seed=1, exchange_health=False)
    model.run(3)
    model.delivers = lambda sender, receiver: sender % 2 == receiver % 2
    model.run(300)
    assert all(
        name in (f"i{number}" for number in range(at % 2, 8, 2))
        for at, instance in enumerate(model.instances)
        for name in instance.cluster.table.members
    )


def test_regions_that_meet_again_know_all() -> None:
    crowd = MemberCrowd(CrowdPlan(60, 16, regions_cut=True))
    crowd.queue.run(10)
    assert {member.cluster.size for member in crowd.members} == {30}
    crowd.heal()
    crowd.queue.run(120)
    assert crowd.known_share == 1.0


def test_a_zone_that_was_down_comes_back() -> None:
    crowd = MemberCrowd(CrowdPlan(64, 16))
    zone = [number for number in range(64) if number % 8 == 7]
    crowd.stop(zone)
    crowd.queue.run(3)
    assert all(member.cluster.size == 56 for number, member in enumerate(crowd.members) if number not in zone)
    crowd.start(zone)
    crowd.queue.run(120)
    assert crowd.known_share == 1.0


def test_the_first_members_are_the_seeds() -> None:
    crowd = quiet_crowd()
    assert crowd.members[20 % 16].cluster.settings.seeds == tuple(crowd.addresses[:SEEDS])


# Evidence


def test_evidence_of_hollow_members_goes_by_their_own_names() -> None:
    crowd = MemberCrowd(CrowdPlan(60, 2, judge=True))
    failing = FailingServers(18)
    failing.fail(2)
    for number in range(2):
        EvidenceLoad(crowd, number, ServiceSizes(2, 9), failing)
    crowd.queue.run(5)
    for member in crowd.members:
        assert member.detector is not None
        reporters = {
            reporter for reports in member.detector.peer_reports.by_key.values() for reporter in reports
        }
        assert len(reporters) > 2
        assert member.detector.reporter_id not in reporters


def test_without_failures_nothing_is_told_of_servers() -> None:
    crowd = MemberCrowd(CrowdPlan(60, 2, judge=True))
    loads = [EvidenceLoad(crowd, number, ServiceSizes(2, 9), FailingServers(18)) for number in range(2)]
    crowd.queue.run(5)
    assert all(load.looks >= 3 for load in loads)
    assert not any(member.detector.peer_reports.by_key for member in crowd.members if member.detector)


def test_failing_servers_are_as_many_as_asked_for_and_at_least_one() -> None:
    failing = FailingServers(1_800)
    failing.fail(180)
    assert sum(place in failing for place in range(1_800)) == 180
    failing.fail(0)
    assert sum(place in failing for place in range(1_800)) == 1
    failing.recover()
    assert not any(place in failing for place in range(1_800))


@pytest.mark.parametrize("short", [True, False])
def test_evidence_is_played_at_enough_sizes_and_no_case_twice(short: bool) -> None:
    cases = evidence_cases(short, 2)
    assert len(cases) == len(set(cases))
    for sizes in ({c.sidecars for c in cases}, {c.services for c in cases}, {c.servers for c in cases}):
        assert len(sizes) >= 4


# Counts


def test_whole_instances_that_count_get_as_much_as_they_send() -> None:
    crowd = CountsCrowd(CountsPlan(20, 4, whole=2))
    crowd.queue.run(5)
    taken = sum(gossip.traffic.accepted for gossip in crowd.gossips)
    assert taken == pytest.approx(crowd.datagrams.total(), rel=0.1)
    assert not any(gossip.traffic.dropped for gossip in crowd.gossips)


def test_counts_of_hollow_instances_come_to_what_all_were_asked_for() -> None:
    """20 instances with the requests of one each, for less than a window: an estimate is near all of them."""
    crowd = CountsCrowd(CountsPlan(20, 1, whole=2))
    crowd.queue.run(5)
    asked = 311.0 * 5.0 * 20
    estimate = crowd.gossips[0].counters.estimate(crowd.keys[0], crowd.local_us)
    assert 0.8 * asked < estimate <= 1.05 * asked


def test_instances_of_cut_regions_hear_nothing_of_each_other() -> None:
    crowd = CountsCrowd(CountsPlan(20, 1, whole=2))
    crowd.cut = True
    crowd.queue.run(3)
    for number, gossip in enumerate(crowd.gossips):
        heard = {int(name[1:]) for name, _ in gossip.counters.peers.replicas}
        assert heard
        assert all(other % 2 == number % 2 for other in heard)


# The reducer


def test_the_reducer_is_played_with_changes_that_are_taken() -> None:
    """An assertion in the play holds each step to one change."""
    assert cost_of_change_s(ReducerCase(services=3, servers=4, changes=30, seed=1)) > 0.0
    states = started_states(3, 4)
    assert [len(state.members) for state in states] == [4, 4, 4]


# Calls for lists


def test_each_starting_sidecar_asks_for_each_service_within_the_bound() -> None:
    """Nothing is stated, so that the calls of all lie within the longest gap: 6 s and the drain's 2 s, less
    the 3 s that a call waits for its turn."""
    found = play_list_calls(ListCallsCase(400, 2, Situation.RESTARTS, stated=False, seed=1))
    assert found.last_call_s <= 5.0
    assert 80 / 6 <= found.worst_second_of_all <= 80
    assert found.worst_second_of_machine <= found.worst_second_of_all


# Leases


def test_leases_are_played_within_their_budget() -> None:
    found = play_leases(LeasesCase(8, Situation.RESTARTS, 1, settle_s=2.0, stretch_s=2.0))
    assert found.overspent == 0
    assert 0.0 < found.messages_per_s < found.acceptor_messages_per_s


@pytest.mark.parametrize("axis", list(Axis), ids=lambda axis: axis.name)
def test_the_planned_installation_has_a_size_on_each_axis(axis: Axis) -> None:
    assert planned_size(axis) > 0
