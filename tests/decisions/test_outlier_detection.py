"""Outlier detection: merging reports, bounds on penalties, their effect in load balancing and clusters."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes.membership_model import MembershipModel
from plovertrail.decisions.actions import Send
from plovertrail.decisions.events import EndpointsUpdated, ListKind, PeerHealthUpdated, RequestArrived
from plovertrail.decisions.health_evidence import (
    FAILURE_HALF_LIFE_US,
    MAX_PEER_REPORTS,
    MAX_REPORT_AGE_US,
    AttemptResult,
    HealthReport,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.outlier_detection import (
    MAX_ATTEMPTS_PER_REPORTER,
    OutlierDetector,
    PoolKeys,
    max_forged_failure_rate,
    penalties_for_pool,
    penalty_of,
)
from tests.decisions.load_balancing.harness import START_US, ready_endpoints
from tests.decisions.load_balancing.harness import settings as balancer_settings

SECOND_US = 1_000_000
READ, BUY = 1, 2
ENDPOINTS = frozenset(range(8))


def report_of(
    reporter: int, endpoint: int = 0, failures: float = 4.0, sequence: int = 1, **figures: Any
) -> HealthReport:
    report = HealthReport(reporter, sequence, (endpoint, READ), 4.0, failures, 0.0, 0.0, 0)
    return replace(report, **figures)


def new_detector(zone: str = "") -> OutlierDetector:
    detector = OutlierDetector(99, 0)
    detector.zone = zone
    return detector


def result_of(failed: bool) -> AttemptResult:
    return AttemptResult.FAILURE if failed else AttemptResult.SUCCESS


report_lists = st.lists(
    st.builds(report_of, st.integers(0, 3), st.integers(0, 2), st.floats(0, 4), st.integers(1, 5)),
    max_size=12,
    unique_by=lambda each: (each.reporter, each.key, each.sequence),
)


@settings(max_examples=150, deadline=None)
@given(report_lists, st.randoms(use_true_random=False))
def test_reports_merge_the_same_in_any_order_and_with_duplicates(
    received: list[HealthReport], rng: random.Random
) -> None:
    first = new_detector()
    second = new_detector()
    for each in received:
        first.merge_report(each, SECOND_US)
    repeated = [*received, *received]
    rng.shuffle(repeated)
    for each in repeated:
        second.merge_report(each, SECOND_US)
    merged = [
        {
            (key, reporter): stored.report
            for key, by_reporter in each.peer_reports.by_key.items()
            for reporter, stored in by_reporter.items()
        }
        for each in (first, second)
    ]
    assert merged[0] == merged[1]
    by_sequence = sorted(received, key=lambda each: each.sequence)
    assert merged[0] == {(each.key, each.reporter): each for each in by_sequence}


def test_one_reporter_penalizes_nothing_and_two_do() -> None:
    detector = new_detector()
    detector.merge_report(report_of(1), 0)
    assert detector.health_of((0, READ), 0, 0.0).penalty == 0.0
    detector.merge_report(report_of(2), 0)
    found = detector.health_of((0, READ), 0, 0.0)
    assert found.reporters == 2
    assert found.penalty > 0.5
    assert 0.0 < detector.health_of((0, BUY), 0, 0.0).penalty < found.penalty  # a class without own evidence
    with_own_failure = new_detector()
    with_own_failure.merge_report(report_of(1), 0)
    with_own_failure.record_attempt((0, READ), AttemptResult.FAILURE, 0)  # one peer and this instance
    assert with_own_failure.health_of((0, READ), 0, 0.0).penalty > 0.3


def test_an_endpoint_that_fails_for_one_class_is_penalized_for_that_class_alone() -> None:
    detector = new_detector()
    for reporter in range(6):
        # All attempts of one class fail, and a second later all of the other class succeed.
        detector.merge_report(report_of(reporter, age_us=SECOND_US), 2 * SECOND_US)
        detector.merge_report(report_of(reporter, failures=0.0, key=(0, BUY)), 2 * SECOND_US)
    assert detector.health_of((0, READ), 2 * SECOND_US, 0.0).penalty > 0.5
    assert detector.health_of((0, BUY), 2 * SECOND_US, 0.0).penalty < 0.15


def test_successes_before_an_endpoint_turned_unhealthy_do_not_count() -> None:
    detector = new_detector()
    succeeding = new_detector()
    for reporter in range(20):
        # Successes just before the endpoint turned unhealthy, and just after.
        detector.merge_report(report_of(reporter, failures=0.0, attempts=2.0), SECOND_US)
        succeeding.merge_report(report_of(reporter, failures=0.0, attempts=2.0), 2 * SECOND_US)
    for reporter in (30, 31):
        for each in (detector, succeeding):
            each.merge_report(report_of(reporter, failures=1.0, attempts=1.0, age_us=500_000), 2 * SECOND_US)
    assert detector.health_of((0, READ), 2 * SECOND_US, 0.0).penalty > 0.1
    assert succeeding.health_of((0, READ), 2 * SECOND_US, 0.0).penalty == 0.0
    for number in range(2, 40):  # repeated unhealthy reports do not outdate those successes
        for reporter in (30, 31):
            succeeding.merge_report(report_of(reporter, sequence=number), 2 * SECOND_US + number)
    assert succeeding.health_of((0, READ), 2 * SECOND_US + 50, 0.0).penalty < 0.1


def test_own_attempts_outweigh_the_reports_of_a_few_peers() -> None:
    detector = new_detector()
    for reporter in range(4):
        detector.merge_report(report_of(reporter), 0)
    before = detector.health_of((0, READ), 0, 0.0).penalty
    for _ in range(16):
        detector.record_attempt((0, READ), AttemptResult.SUCCESS, 0)
    assert before > 0.7
    assert detector.health_of((0, READ), 0, 0.0).penalty < 0.2


def test_a_wrong_penalty_decays_and_ends_at_the_stated_time() -> None:
    detector = new_detector()
    penalties = []
    for reporter in range(3):
        detector.merge_report(report_of(reporter), 0)
    for at_us in range(0, MAX_REPORT_AGE_US + 2 * SECOND_US, SECOND_US):
        penalties.append(detector.health_of((0, READ), at_us, 0.0).penalty)
    assert penalties == sorted(penalties, reverse=True)
    assert penalties[0] > 0.6
    assert penalties[-1] == 0.0
    assert penalties[3 * FAILURE_HALF_LIFE_US // SECOND_US] < penalties[0] / 2
    detector.sweep(MAX_REPORT_AGE_US + SECOND_US)
    assert not detector.peer_reports.by_key
    assert detector.peer_reports.count == 0
    aged = new_detector()
    for reporter in range(3):  # a report decays by its age, however late it arrives
        aged.merge_report(report_of(reporter, age_us=3 * FAILURE_HALF_LIFE_US), 0)
    assert aged.health_of((0, READ), 0, 0.0).penalty == pytest.approx(
        penalties[3 * FAILURE_HALF_LIFE_US // SECOND_US], abs=0.01
    )


@pytest.mark.parametrize(("false_reporters", "honest_reporters"), [(1, 23), (2, 22), (8, 16)])
def test_false_reports_do_no_more_than_the_stated_bound(false_reporters: int, honest_reporters: int) -> None:
    for attempts in (1.0, 4.0, 40.0):
        detector = new_detector()
        for reporter in range(honest_reporters):
            detector.merge_report(report_of(reporter, failures=0.0, attempts=attempts), 0)
        for reporter in range(honest_reporters, honest_reporters + false_reporters):
            detector.merge_report(report_of(reporter, failures=1_000.0, attempts=1_000.0), 0)
        penalty = detector.health_of((0, READ), 0, 0.0).penalty
        assert (
            penalty
            <= penalty_of(max_forged_failure_rate(false_reporters, honest_reporters, attempts), 0.0) + 1e-9
        )
        if false_reporters <= honest_reporters // 10 and attempts >= MAX_ATTEMPTS_PER_REPORTER:
            assert penalty == 0.0  # a tenth of the reporters has no effect if the others tried the endpoint


def test_false_reports_on_all_endpoints_penalize_a_third_at_most() -> None:
    detector = new_detector()
    for endpoint in ENDPOINTS:
        for reporter in range(20):
            detector.merge_report(report_of(reporter, endpoint), 0)
    found = detector.all_health(ENDPOINTS, 0)
    assert sum(health.penalty > 0 for health in found.values()) == len(ENDPOINTS) // 3
    mixed = new_detector()
    for reporter in range(20):
        mixed.merge_report(report_of(reporter, failures=4.0 if reporter < 14 else 0.0), 0)
    assert mixed.health_of((0, READ), 0, 0.0).penalty > 0.4


def test_an_endpoint_that_only_another_zone_cannot_reach_is_penalized_less_here() -> None:
    def penalty_seen_from(zone: str) -> float:
        detector = new_detector("a")
        for reporter in range(10):
            detector.reporter_zones[reporter] = "b" if reporter < 5 else "a"
            detector.merge_report(
                report_of(reporter, failures=4.0 if detector.reporter_zones[reporter] == zone else 0.0), 0
            )
        return detector.health_of((0, READ), 0, 0.0).penalty

    assert penalty_seen_from("b") < 0.2 < 0.4 < penalty_seen_from("a")


def test_an_instance_that_suspects_itself_reports_nothing_and_is_not_trusted() -> None:
    detector = new_detector()
    for endpoint in range(6):
        for _ in range(3):
            detector.record_attempt((endpoint, READ), result_of(endpoint < 4), 0)
    assert detector.own.suspects_itself(0)
    assert detector.reports_to_send(30, 24, False, 0) == []
    detector.own.by_key.clear()
    for endpoint in range(6):
        detector.record_attempt((endpoint, READ), result_of(endpoint < 1), 0)
    assert [each.key for each in detector.reports_to_send(30, 24, False, 0)] == [(0, READ)]
    assert detector.reports_to_send(30, 24, True, 0) == []
    detector.process_paused(SECOND_US)
    detector.record_attempt((0, READ), AttemptResult.FAILURE, SECOND_US)
    assert detector.reports_to_send(30, 24, False, SECOND_US) == []
    assert detector.reports_to_send(30, 24, False, SECOND_US + FAILURE_HALF_LIFE_US) != []
    for reporter in (1, 2):
        detector.merge_report(report_of(reporter, 5), SECOND_US)
    assert detector.health_of((5, READ), SECOND_US, 0.0).penalty > 0
    detector.untrusted_reporters.add(1)
    assert detector.health_of((5, READ), SECOND_US, 0.0).penalty == 0.0


def test_failures_of_all_endpoints_alike_penalize_none() -> None:
    detector = new_detector()
    for endpoint in ENDPOINTS:
        for number in range(10):
            detector.record_attempt((endpoint, READ), result_of(number < 4), 0)
        for reporter in range(5):
            detector.merge_report(report_of(reporter, endpoint, failures=1.6), 0)
    assert all(health.penalty == 0.0 for health in detector.all_health(ENDPOINTS, 0).values())


def test_reports_are_bounded_and_invalid_ones_are_dropped() -> None:
    detector = new_detector()
    for number in range(MAX_PEER_REPORTS + 50):
        detector.merge_report(report_of(number % 300, number // 300, sequence=1), 0)
    reports = detector.peer_reports
    assert reports.count == MAX_PEER_REPORTS
    assert sum(len(by_reporter) for by_reporter in reports.by_key.values()) == MAX_PEER_REPORTS
    assert len(list(reports.latest_first())) == MAX_PEER_REPORTS
    dropped = reports.dropped
    for bad in (
        report_of(1, failures=9.0),
        report_of(1, attempts=float("nan")),
        report_of(1, failures=-1.0),
        report_of(1, age_us=MAX_REPORT_AGE_US + 1),
    ):
        assert not detector.merge_report(bad, 0)
    assert reports.dropped == dropped + 4
    assert not detector.merge_report(report_of(99), 0)
    assert not detector.merge_report(report_of(299, 0, sequence=0), 0)


# Penalties in the load balancer


def selected(penalties: dict[tuple[int, int], float]) -> dict[int, int]:
    """Count how often each of eight endpoints is selected for the first four requests of 250 balancers."""
    sent = dict.fromkeys(range(100, 108), 0)
    for seed in range(250):
        balancer = LoadBalancer(balancer_settings(hedging=False), seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, ready_endpoints(8)))
        balancer.handle(START_US, PeerHealthUpdated(penalties))
        for request in range(4):
            for action in balancer.handle(START_US, RequestArrived(request, START_US + SECOND_US)):
                if isinstance(action, Send):
                    sent[action.endpoint_id] += 1
    return sent


def test_a_penalized_endpoint_is_selected_less_often_and_never_excluded() -> None:
    sent = selected({(100, 0): 1.0, (101, 0): 0.1, (102, 1): 1.0})
    unpenalized = sum(sent[number] for number in range(103, 108)) / 5
    assert sum(sent.values()) == 1_000
    assert sent[100] < 0.1 * unpenalized
    assert 0.1 * unpenalized < sent[101] < 0.6 * unpenalized
    assert sent[102] > 0.7 * unpenalized
    all_penalized = selected({(number, 0): 1.0 - number / 1_000 for number in range(100, 108)})
    assert sum(count < 40 for count in all_penalized.values()) == 2  # at most a third of eight
    assert sum(all_penalized.values()) == 1_000


def test_an_unused_penalized_endpoint_is_selected_after_all_others() -> None:
    """With little traffic unused endpoints are selected first; the penalized one may be the only one left."""
    sent = []
    for seed in range(40):
        balancer = LoadBalancer(balancer_settings(hedging=False), seed, START_US)
        balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, ready_endpoints(4)))
        for endpoint in list(balancer.endpoints.values())[1:]:
            balancer.table.set_active(endpoint, True, START_US)
        balancer.handle(START_US, PeerHealthUpdated({(100, 0): 0.4}))
        for request in range(4):
            found = balancer.handle(START_US, RequestArrived(request, START_US + SECOND_US))
            sent += [action.endpoint_id for action in found if isinstance(action, Send)]
    assert sent[3::4] == [100] * 40  # for the fourth request no other endpoint has a free slot
    assert sum(endpoint_id == 100 for endpoint_id in sent) <= 45


def test_penalties_replace_earlier_ones_and_apply_to_listed_endpoints_only() -> None:
    balancer = LoadBalancer(balancer_settings(), 1, START_US)
    balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, ready_endpoints(8)))
    balancer.handle(START_US, PeerHealthUpdated({(100, 0): 0.5, (999, 0): 1.0, (101, 77): 1.0}))
    assert balancer.endpoints[100].peer_penalties == {0: 0.5}
    assert balancer.peer_penalties.penalized == {100}
    balancer.handle(START_US, EndpointsUpdated(ListKind.FULL, ready_endpoints(8)[1:]))
    balancer.handle(START_US, PeerHealthUpdated({(102, 0): 0.5}))
    assert balancer.peer_penalties.penalized == {102}
    assert balancer.endpoints[101].peer_penalties is None
    keys = PoolKeys({100: 7, 101: 8}, (READ, BUY))
    detector = new_detector()
    for reporter in (1, 2, 3):
        detector.merge_report(replace(report_of(reporter), key=(8, BUY)), 0)
        detector.merge_report(replace(report_of(reporter), key=(5, BUY)), 0)
    assert (
        set(penalties_for_pool(detector.all_health({7, 8}, 0), keys)) == set()
    )  # a third of two, rounded down, is none
    assert set(penalties_for_pool(detector.all_health({7, 8, 9}, 0), keys)) == {(101, 1)}


# A cluster on a virtual clock


def seconds_until_penalized(
    cluster: MembershipModel, endpoint: int, limit_s: float, fraction: float
) -> float:
    """Return how long it takes until the given fraction of the instances penalizes an endpoint."""
    started_us = cluster.now_us
    while cluster.now_us < started_us + limit_s * SECOND_US:
        cluster.run(0.1)
        penalizing = sum(
            cluster.outlier_detector(number)
            .health_of((endpoint, READ), cluster.local_us(number), 0.0)
            .penalty
            > 0
            for number in range(cluster.size)
        )
        if penalizing >= fraction * cluster.size:
            return (cluster.now_us - started_us) / SECOND_US
    return limit_s


@pytest.mark.parametrize(("size", "loss"), [(24, 0.0), (24, 0.3), (100, 0.1)])
def test_what_three_instances_report_reaches_nine_in_ten_within_seconds(size: int, loss: float) -> None:
    cluster = MembershipModel(size, seed=3, loss=loss)
    cluster.run(2)
    for number in range(3):
        for _ in range(2):
            cluster.outlier_detector(number).record_attempt(
                (5, READ), AttemptResult.FAILURE, cluster.local_us(number)
            )
    assert seconds_until_penalized(cluster, 5, 10.0, 0.9) < 4.0


def test_a_partition_uses_its_own_evidence_and_expired_reports_count_nowhere() -> None:
    cluster = MembershipModel(12, seed=4)
    cluster.run(2)
    cluster.delivers = lambda sender, receiver: (sender < 6) == (receiver < 6)
    for number in range(3):
        cluster.outlier_detector(number).record_attempt(
            (5, READ), AttemptResult.FAILURE, cluster.local_us(number)
        )
        cluster.outlier_detector(number).record_attempt(
            (5, READ), AttemptResult.FAILURE, cluster.local_us(number)
        )
    cluster.run(3)

    def penalty(number: int) -> float:
        return cluster.outlier_detector(number).health_of((5, READ), cluster.local_us(number), 0.0).penalty

    assert all(penalty(number) > 0 for number in range(6))
    assert all(penalty(number) == 0 for number in range(6, 12))
    cluster.run(MAX_REPORT_AGE_US / SECOND_US)
    cluster.delivers = lambda *_: True
    cluster.run(20)
    assert all(penalty(number) == 0 for number in range(12))
