"""Cluster membership on a virtual clock: detection times under loss, partitions, pauses and restarts."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes.membership_model import DAY_US, MembershipModel
from plovertrail.decisions.cluster_members import (
    FORGET_US,
    JOINS_PER_PERIOD,
    ClusterMembers,
    MembershipSettings,
)
from plovertrail.decisions.member_table import MAX_GOSSIP_RECORDS, MAX_MEMBERS
from plovertrail.decisions.membership import (
    NO_ADDRESS,
    Address,
    MemberRecord,
    MembershipMessage,
    MemberState,
    MessageKind,
    false_suspicion_probability,
    longest_detection_us,
    suspicion_timeout_us,
)
from plovertrail.decisions.prober import MAX_HEALTH_SCORE

SECOND_US = 1_000_000
ALIVE = MemberState.ALIVE
SUSPECT = MemberState.SUSPECT
DEAD = MemberState.DEAD
LEFT = MemberState.LEFT


def record_of(
    name: str = "b", incarnation: int = 1, state: MemberState = ALIVE, port: int = 1
) -> MemberRecord:
    return MemberRecord(name, ("10.0.0.1", port), incarnation, state)


def new_cluster(seeds: tuple[tuple[str, int], ...] = ()) -> ClusterMembers:
    return ClusterMembers(
        MemberRecord("a", ("10.0.0.9", 9), 5, ALIVE),
        MembershipSettings(SECOND_US, seeds),
        random.Random(1),
        0,
    )


records = st.lists(
    st.builds(record_of, st.sampled_from("bcd"), st.integers(0, 4), st.sampled_from(list(MemberState))),
    max_size=12,
)


@settings(max_examples=150, deadline=None)
@given(records, st.randoms(use_true_random=False))
def test_records_merge_the_same_in_any_order_and_with_duplicates(
    received: list[MemberRecord], rng: random.Random
) -> None:
    first = new_cluster()
    second = new_cluster()
    known = [record_of(name, 0) for name in "bcd"]  # a departed member that is unknown is ignored
    for cluster, order in ((first, received), (second, [*received, *received])):
        shuffled = list(order)
        if cluster is second:
            rng.shuffle(shuffled)
        cluster.merge_records(known, "x", 0)
        for each in shuffled:
            cluster.merge_records([each], "x", 0)
    tables = [
        {name: member.record for name, member in each.table.members.items()} for each in (first, second)
    ]
    assert tables[0] == tables[1]
    for name, merged in tables[0].items():
        assert merged.precedence == max(
            [each.precedence for each in received if each.name == name], default=(0, ALIVE)
        )


def test_a_dead_member_and_no_other_is_detected_by_all_within_the_stated_time() -> None:
    for seed in range(3):
        fleet = MembershipModel(12, seed=seed)
        fleet.run(5)
        fleet.kill(3)
        fleet.run(longest_detection_us(12, SECOND_US) / SECOND_US)
        assert fleet.states(3) == {DEAD: 11}
        assert all(fleet.states(number)[ALIVE] == 10 for number in range(12) if number != 3)


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.3])
def test_under_loss_dead_members_are_detected_and_no_live_one_is_declared_dead(loss: float) -> None:
    fleet = MembershipModel(16, seed=2, loss=loss, duplicate_rate=0.1)
    declared_dead = 0

    def count_dead() -> None:
        nonlocal declared_dead
        declared_dead += sum(
            count
            for number in range(16)
            if fleet.alive[number]
            for state, count in fleet.states(number).items()
            if state is DEAD
        )

    fleet.run(60, count_dead, 0.5)
    assert declared_dead == 0
    suspected = sum(instance.cluster.suspicions_raised for instance in fleet.instances)
    probes = 60 * 16
    # SWIM's probability, and as much again for chance.
    assert suspected <= probes * (2 * false_suspicion_probability(loss) + 0.01)
    fleet.kill(5)
    fleet.run(longest_detection_us(16, SECOND_US, loss) / SECOND_US)
    assert fleet.states(5)[DEAD] == 15


def test_false_suspicion_probability_follows_swim() -> None:
    assert false_suspicion_probability(0.0) == 0.0
    assert false_suspicion_probability(0.1, 0) == pytest.approx(0.19)
    assert false_suspicion_probability(0.3) < 0.25
    assert (
        suspicion_timeout_us(24, SECOND_US, 3)
        < suspicion_timeout_us(24, SECOND_US, 1)
        < suspicion_timeout_us(24, SECOND_US, 0)
    )


def test_an_unequal_partition_heals_without_a_refutation_storm() -> None:
    fleet = MembershipModel(15, seed=3)
    fleet.run(3)
    fleet.delivers = lambda sender, receiver: (sender < 4) == (receiver < 4)
    fleet.run(90)
    for number in range(15):
        others_in_partition = sum(1 for other in range(15) if (other < 4) == (number < 4)) - 1
        live = fleet.instances[number].cluster.live_records()
        assert len(live) == others_in_partition  # all members of the other partition are dead here
    fleet.delivers = lambda *_: True
    fleet.datagrams.clear()
    fleet.run(60)
    assert all(fleet.states(number) == {ALIVE: 14} for number in range(15))
    # Per second: pings, acks, and gossip to three members five times.
    assert max(fleet.datagrams.values()) < 60 * 30
    incarnations = [instance.cluster.me.incarnation - fleet.wall_us for instance in fleet.instances]
    assert max(incarnations) < 5  # each refutation raises it by one


def test_an_isolated_member_declares_nobody_dead_and_rejoins() -> None:
    fleet = MembershipModel(9, seed=4)
    fleet.run(3)
    fleet.delivers = lambda sender, receiver: 0 not in (sender, receiver)
    fleet.run(100)
    isolated = fleet.instances[0].cluster
    assert isolated.is_isolated(fleet.local_us(0))
    assert isolated.is_unhealthy
    assert all(member.record.state < DEAD for member in isolated.table.members.values())
    assert fleet.states(0) == {DEAD: 8}
    fleet.delivers = lambda *_: True
    fleet.run(40)
    assert fleet.states(0) == {ALIVE: 8}
    assert not isolated.is_isolated(fleet.local_us(0))


def test_a_member_that_receives_nothing_lowers_its_own_health_first() -> None:
    """A one-way partition: the member can send, but nothing reaches it."""
    fleet = MembershipModel(12, seed=5)
    fleet.run(3)
    fleet.delivers = lambda _, receiver: receiver != 7
    declared_dead: set[int] = set()
    fleet.run(
        60,
        lambda: declared_dead.update(
            number for number in range(12) if number != 7 and fleet.states(number)[DEAD]
        ),
    )
    assert not declared_dead
    assert fleet.instances[7].cluster.prober.health_score == MAX_HEALTH_SCORE


def test_a_paused_member_accuses_nobody_and_refutes_when_it_resumes() -> None:
    fleet = MembershipModel(10, seed=6)
    fleet.run(3)
    fleet.pause(2)
    fleet.run(60)
    assert fleet.states(2) == {DEAD: 9}
    fleet.resume(2)
    assert fleet.instances[2].cluster.is_unhealthy
    fleet.run(20)
    assert all(fleet.states(number) == {ALIVE: 9} for number in range(10))


@pytest.mark.parametrize("clock_offset_us", [0, -DAY_US, DAY_US])
def test_seven_of_ten_members_rejoin_after_restarts_with_wrong_wall_clocks(clock_offset_us: int) -> None:
    fleet = MembershipModel(10, seed=7)
    fleet.run(3)
    for number in range(3, 10):
        fleet.kill(number)
    fleet.run(2)
    for number in range(3, 10):
        fleet.restart(number, clock_offset_us)
    fleet.run(30)
    assert all(fleet.states(number) == {ALIVE: 9} for number in range(10))


def test_a_member_that_leaves_is_not_suspected_and_is_forgotten() -> None:
    fleet = MembershipModel(12, seed=8)
    fleet.run(3)
    fleet.leave(4)
    fleet.run(3)
    assert fleet.states(4) == {LEFT: 11}
    fleet.run(FORGET_US / SECOND_US + 10)
    assert fleet.states(4) == {None: 11}


def test_a_cluster_of_any_size_forms_from_one_seed() -> None:
    for size in (1, 2, 20):
        fleet = MembershipModel(size, seed=9, known=False)
        fleet.run(20)
        assert all(instance.cluster.size == size for instance in fleet.instances)
    for seed in range(20):  # with all as seeds, pairs that join each other first do not stay separate
        fleet = MembershipModel(4, seed=seed, known=False, all_seeds=True, loss=0.3)
        fleet.run(15)
        assert all(instance.cluster.size == 4 for instance in fleet.instances), seed


def test_two_instances_under_one_name_are_reported_and_do_not_refute_each_other() -> None:
    fleet = MembershipModel(6, seed=10)
    duplicate = fleet.instances[5].cluster
    duplicate.table.me = MemberRecord("i4", duplicate.me.address, duplicate.me.incarnation, ALIVE)
    fleet.run(30)
    assert any(instance.cluster.table.name_conflicts.keys() == {"i4"} for instance in fleet.instances)
    assert duplicate.me.incarnation - fleet.wall_us < 10
    assert all(fleet.instances[0].cluster.table.members[f"i{n}"].record.state is ALIVE for n in (1, 2, 3))


def test_the_load_of_a_member_does_not_depend_on_the_cluster_size() -> None:
    datagrams_per_second = []
    for size in (8, 60, 200):
        fleet = MembershipModel(size, seed=11)
        fleet.run(10)
        datagrams_per_second.append(sum(fleet.datagrams.values()) / size / 10)
    assert max(datagrams_per_second) < 1.3 * min(datagrams_per_second)
    assert max(datagrams_per_second) < 4


def test_the_table_and_the_gossip_queue_are_bounded() -> None:
    cluster = new_cluster()
    cluster.merge_records(
        [record_of(f"n{number}", port=number % 60_000) for number in range(MAX_MEMBERS + 500)], "x", 0
    )
    assert len(cluster.table.members) == MAX_MEMBERS
    assert len(cluster.table.gossip_queue) <= MAX_GOSSIP_RECORDS
    assert cluster.table.rejected == 500
    cluster.merge_records([record_of("n7", state=LEFT, port=7)], "x", 1)
    cluster.merge_records([record_of("new")], "x", 2)  # departed members make room
    assert "new" in cluster.table.members
    assert "n7" not in cluster.table.members
    cluster.merge_records([record_of("", 1), record_of("z", 2**63)], "x", 3)
    assert cluster.table.rejected == 502
    assert "z" not in cluster.table.members
    assert len(cluster.table.updates_to_gossip(12)) == 12


def test_a_ping_request_is_answered_by_an_ack_or_a_nack() -> None:
    cluster = new_cluster()
    requester, other = ("10.0.0.2", 2), ("10.0.0.3", 3)
    (probe,) = cluster.handle_message(
        MembershipMessage(MessageKind.PING_REQUEST, requester, 77, "c", subject_address=other), 0
    )
    assert (probe.kind, probe.address, probe.recipient) == (MessageKind.PING, other, "c")
    (answer,) = cluster.handle_message(
        MembershipMessage(MessageKind.ACK, other, probe.probe_number, "", subject_address=NO_ADDRESS), 100
    )
    assert (answer.kind, answer.address, answer.probe_number) == (MessageKind.ACK, requester, 77)
    cluster.handle_message(
        MembershipMessage(MessageKind.PING_REQUEST, requester, 78, "c", subject_address=other), 0
    )
    (late,) = [message for message in cluster.tick(SECOND_US // 2) if message.kind is MessageKind.NACK]
    assert (late.address, late.probe_number, late.subject) == (requester, 78, "c")


def test_records_of_another_address_under_our_name_are_not_refuted() -> None:
    cluster = new_cluster()
    cluster.merge_records(
        [MemberRecord("a", ("10.0.0.77", 7), 9, ALIVE), MemberRecord("a", ("10.0.0.77", 7), 9, SUSPECT)],
        "x",
        0,
    )
    assert cluster.me.incarnation == 5
    assert cluster.table.name_conflicts == {"a": ("10.0.0.77", 7)}
    cluster.merge_records([MemberRecord("a", ("10.0.0.9", 9), 5, SUSPECT)], "x", 0)
    assert cluster.me.incarnation == 6


def test_a_suspicion_does_not_expire_while_the_process_is_paused() -> None:
    cluster = new_cluster()
    cluster.merge_records([record_of(), record_of("c", port=2)], "x", 0)
    cluster.merge_records([record_of(state=SUSPECT)], "x", SECOND_US)
    cluster.process_paused(100 * SECOND_US, 101 * SECOND_US)
    cluster.prober.health_score = 0
    cluster.record_contact(record_of("c", port=2), 102 * SECOND_US)
    cluster.tick(cluster.next_period_us)
    assert cluster.table.members["b"].record.state is SUSPECT
    cluster.record_contact(record_of("c", port=2), 125 * SECOND_US)
    cluster.next_period_us, cluster.prober.health_score, cluster.prober.probe = 125 * SECOND_US, 0, None
    cluster.tick(125 * SECOND_US)
    assert cluster.table.members["b"].record.state is DEAD


class FailureHistory:
    """Tracks which instances are reachable through kills, restarts, pauses and partitions."""

    def __init__(self, size: int, seed: int) -> None:
        self.fleet = MembershipModel(size, seed=seed, loss=0.05)
        self.unreachable_since: dict[int, int] = {}  # dead, paused or cut off

    def reachable(self) -> set[int]:
        return {number for number in range(self.fleet.size) if number not in self.unreachable_since}


@settings(max_examples=12, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["kill", "pause", "cut", "heal", "wait"]), st.integers(0, 6), st.integers(1, 40)
        ),
        max_size=6,
    ),
    st.integers(0, 1_000),
)
def test_no_live_reachable_member_stays_dead_for_longer_than_stated(
    events: list[tuple[str, int, int]], seed: int
) -> None:
    history = FailureHistory(7, seed)
    fleet = history.fleet
    cut_off: set[int] = set()
    fleet.delivers = lambda sender, receiver: sender not in cut_off and receiver not in cut_off
    fleet.run(2)
    for action, number, wait_s in events:
        if action == "heal" and number in history.unreachable_since:
            cut_off.discard(number)
            if not fleet.alive[number]:
                fleet.restart(number)
            elif number in fleet.paused:
                fleet.resume(number)
            del history.unreachable_since[number]
        elif (
            action in ("kill", "pause", "cut")
            and number not in history.unreachable_since
            and len(history.unreachable_since) < 3
        ):
            {"kill": fleet.kill, "pause": fleet.pause, "cut": cut_off.add}[action](number)
            history.unreachable_since[number] = fleet.now_us
        fleet.run(wait_s)
    # The stated detection time, and a round of the longest periods that the health score can cause.
    fleet.run(longest_detection_us(7, SECOND_US, 0.05) / SECOND_US + 9 * 8)
    reachable = history.reachable()
    for observer in reachable:
        for subject in reachable - {observer}:
            assert fleet.state(observer, subject) in (ALIVE, SUSPECT), (observer, subject)
        for subject in history.unreachable_since:
            assert fleet.state(observer, subject) in (DEAD, None), (observer, subject)


def test_thousands_of_instances_that_start_together_spread_their_joins() -> None:
    """With 5,000 instances and three seeds, each seed would otherwise get 1,667 joins per period."""
    seeds = (("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1))
    settings = MembershipSettings(SECOND_US, seeds, expected_size=5_000)
    joins_by_second: Counter[tuple[int, Address]] = Counter()
    without_join = 0
    for number in range(5_000):
        rng = random.Random(number)
        me = MemberRecord(f"i{number}", (f"10.1.{number // 250}.{number % 250}", 1), 1, ALIVE)
        cluster = ClusterMembers(me, settings, rng, 0)
        joins = 0
        for now_us in range(0, 20 * SECOND_US, SECOND_US // 4):
            for message in cluster.tick(now_us):
                if message.kind is MessageKind.JOIN:
                    joins += 1
                    joins_by_second[now_us // SECOND_US, message.address] += 1
        without_join += joins == 0
    assert without_join == 0
    assert max(joins_by_second.values()) <= 2 * JOINS_PER_PERIOD


def test_a_few_instances_that_start_together_send_joins_in_each_period() -> None:
    me = MemberRecord("a", ("10.0.0.9", 9), 5, ALIVE)
    settings = MembershipSettings(SECOND_US, (("10.0.0.1", 1),), expected_size=24)
    cluster = ClusterMembers(me, settings, random.Random(1), 0)
    joins = [
        message
        for now_us in range(0, 5 * SECOND_US, SECOND_US // 4)
        for message in cluster.tick(now_us)
        if message.kind is MessageKind.JOIN
    ]
    assert len(joins) >= 4
