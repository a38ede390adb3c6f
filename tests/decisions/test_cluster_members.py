"""Instances that know one another: drawn histories on a virtual clock, held to stated times."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes.membership_model import DAY_US, MembershipModel
from plovertrail.decisions.cluster_members import (
    FORGET_US,
    JOINS_A_PERIOD,
    MOST_DOUBT,
    MOST_MEMBERS,
    MOST_RECORDS_HELD,
    NOWHERE,
    Address,
    ClusterMembers,
    Kind,
    MemberRecord,
    State,
    false_suspicion,
    longest_detection_us,
    suspicion_us,
)

S = 1_000_000
ALIVE, SUSPECT, SILENT, GONE = State.ALIVE, State.SUSPECT, State.SILENT, State.GONE


def record(name: str = "b", incarnation: int = 1, state: State = ALIVE, port: int = 1) -> MemberRecord:
    return MemberRecord(name, ("10.0.0.1", port), incarnation, state)


def one(seeds: tuple[tuple[str, int], ...] = ()) -> ClusterMembers:
    return ClusterMembers(MemberRecord("a", ("10.0.0.9", 9), 5, ALIVE), S, random.Random(1), 0, seeds)


records = st.lists(
    st.builds(record, st.sampled_from("bcd"), st.integers(0, 4), st.sampled_from(list(State))), max_size=12
)


@settings(max_examples=150, deadline=None)
@given(records, st.randoms(use_true_random=False))
def test_what_is_said_is_joined_the_same_in_any_order_and_however_often(
    said: list[MemberRecord], rng: random.Random
) -> None:
    first, second = one(), one()
    known = [record(name, 0) for name in "bcd"]  # of one that is not known there is nothing to forget
    for cluster, order in ((first, said), (second, [*said, *said])):
        shuffled = list(order)
        if cluster is second:
            rng.shuffle(shuffled)
        cluster.take(known, "x", 0)
        for each in shuffled:
            cluster.take([each], "x", 0)
    plain = [{name: member.record for name, member in each.table.items()} for each in (first, second)]
    assert plain[0] == plain[1]
    for name, kept in plain[0].items():
        assert kept.rank == max([each.rank for each in said if each.name == name], default=(0, ALIVE))


def test_a_dead_one_is_silent_at_all_within_the_stated_time_and_nobody_else() -> None:
    for seed in range(3):
        fleet = MembershipModel(12, seed=seed)
        fleet.run(5)
        fleet.kill(3)
        fleet.run(longest_detection_us(12, S) / S)
        assert fleet.states(3) == {SILENT: 11}
        assert all(fleet.states(number)[ALIVE] == 10 for number in range(12) if number != 3)


@pytest.mark.parametrize("loss", [0.0, 0.1, 0.3])
def test_under_loss_the_living_are_not_given_up_and_the_dead_are(loss: float) -> None:
    fleet = MembershipModel(16, seed=2, loss=loss, repeats=0.1)
    given_up = 0

    def look() -> None:
        nonlocal given_up
        given_up += sum(
            count
            for number in range(16)
            if fleet.alive[number]
            for state, count in fleet.states(number).items()
            if state is SILENT
        )

    fleet.run(60, look, 0.5)
    assert given_up == 0
    suspected = sum(ship.cluster.suspected for ship in fleet.ships)
    probes = 60 * 16
    assert suspected <= probes * (2 * false_suspicion(loss) + 0.01)  # SWIM's figure, and as much for chance
    fleet.kill(5)
    fleet.run(longest_detection_us(16, S, loss) / S)
    assert fleet.states(5)[SILENT] == 15


def test_false_suspicions_are_as_swim_reckons_them() -> None:
    assert false_suspicion(0.0) == 0.0
    assert false_suspicion(0.1, 0) == pytest.approx(0.19) and false_suspicion(0.3) < 0.25
    assert suspicion_us(24, S, 3) < suspicion_us(24, S, 1) < suspicion_us(24, S, 0)


def test_a_split_in_unequal_parts_heals_with_no_storm() -> None:
    fleet = MembershipModel(15, seed=3)
    fleet.run(3)
    fleet.delivers = lambda sender, receiver: (sender < 4) == (receiver < 4)
    fleet.run(90)
    for number in range(15):
        here = sum(1 for other in range(15) if (other < 4) == (number < 4)) - 1
        states = fleet.ships[number].cluster.living()
        assert len(states) == here  # each part sees itself, and the other one as silent
    fleet.delivers = lambda sender, receiver: True
    fleet.datagrams.clear()
    fleet.run(60)
    assert all(fleet.states(number) == {ALIVE: 14} for number in range(15))
    assert max(fleet.datagrams.values()) < 60 * 30  # a second each: probes, answers, news to three five times
    incarnations = [ship.cluster.me.incarnation - fleet.wall_us for ship in fleet.ships]
    assert max(incarnations) < 5  # nobody refuted again and again


def test_one_that_hears_nobody_judges_nobody_and_is_there_again_once_it_does() -> None:
    fleet = MembershipModel(9, seed=4)
    fleet.run(3)
    fleet.delivers = lambda sender, receiver: 0 not in (sender, receiver)
    fleet.run(100)
    mine = fleet.ships[0].cluster
    assert mine.alone(fleet.local_us(0)) and mine.unwell
    assert all(member.record.state < SILENT for member in mine.table.values())
    assert fleet.states(0) == {SILENT: 8}
    fleet.delivers = lambda sender, receiver: True
    fleet.run(40)
    assert fleet.states(0) == {ALIVE: 8} and not mine.alone(fleet.local_us(0))


def test_one_that_can_be_heard_and_does_not_hear_suspects_itself_first() -> None:
    """A cut one way: it sends and nothing reaches it."""
    fleet = MembershipModel(12, seed=5)
    fleet.run(3)
    fleet.delivers = lambda sender, receiver: receiver != 7
    given_up: set[int] = set()
    fleet.run(
        60,
        lambda: given_up.update(
            number for number in range(12) if number != 7 and fleet.states(number)[SILENT]
        ),
    )
    assert not given_up and fleet.ships[7].cluster.doubt == MOST_DOUBT


def test_one_that_was_stopped_accuses_nobody_and_refutes_when_it_wakes() -> None:
    fleet = MembershipModel(10, seed=6)
    fleet.run(3)
    fleet.sleep(2)
    fleet.run(60)
    assert fleet.states(2) == {SILENT: 9}
    fleet.wake(2)
    assert fleet.ships[2].cluster.unwell
    fleet.run(20)
    assert all(fleet.states(number) == {ALIVE: 9} for number in range(10))


@pytest.mark.parametrize("off_us", [0, -DAY_US, DAY_US])
def test_seven_in_ten_restarted_with_clocks_that_are_off_are_all_there_again(off_us: int) -> None:
    fleet = MembershipModel(10, seed=7)
    fleet.run(3)
    for number in range(3, 10):
        fleet.kill(number)
    fleet.run(2)
    for number in range(3, 10):
        fleet.restart(number, off_us)
    fleet.run(30)
    assert all(fleet.states(number) == {ALIVE: 9} for number in range(10))


def test_one_that_leaves_is_gone_at_once_and_not_suspected() -> None:
    fleet = MembershipModel(12, seed=8)
    fleet.run(3)
    fleet.leave(4)
    fleet.run(3)
    assert fleet.states(4) == {GONE: 11}
    fleet.run(FORGET_US / S + 10)
    assert fleet.states(4) == {None: 11}


def test_a_fleet_that_knows_one_seed_finds_together_and_one_and_two_do_as_well() -> None:
    for size in (1, 2, 20):
        fleet = MembershipModel(size, seed=9, known=False)
        fleet.run(20)
        assert all(ship.cluster.size == size for ship in fleet.ships)
    for seed in range(20):  # all list all: pairs that found each other first are no islands
        fleet = MembershipModel(4, seed=seed, known=False, all_seeds=True, loss=0.3)
        fleet.run(15)
        assert all(ship.cluster.size == 4 for ship in fleet.ships), seed


def test_two_under_one_name_are_told_and_do_not_refute_each_other_for_ever() -> None:
    fleet = MembershipModel(6, seed=10)
    twin = fleet.ships[5].cluster
    twin.me = MemberRecord("i4", twin.me.address, twin.me.incarnation, ALIVE)
    fleet.run(30)
    assert any(ship.cluster.twins.keys() == {"i4"} for ship in fleet.ships)
    assert twin.me.incarnation - fleet.wall_us < 10
    assert all(fleet.ships[0].cluster.table[f"i{n}"].record.state is ALIVE for n in (1, 2, 3))


def test_the_load_of_one_is_the_same_whatever_the_size() -> None:
    each = []
    for size in (8, 60, 200):
        fleet = MembershipModel(size, seed=11)
        fleet.run(10)
        each.append(sum(fleet.datagrams.values()) / size / 10)
    assert max(each) < 1.3 * min(each) and max(each) < 4


def test_tables_and_records_are_bounded_whatever_is_told() -> None:
    cluster = one()
    cluster.take([record(f"n{number}", port=number % 60_000) for number in range(MOST_MEMBERS + 500)], "x", 0)
    assert len(cluster.table) == MOST_MEMBERS and len(cluster.records) <= MOST_RECORDS_HELD
    assert cluster.refused == 500
    cluster.take([record("n7", state=GONE, port=7)], "x", 1)
    cluster.take([record("new")], "x", 2)  # those who are over make room
    assert "new" in cluster.table and "n7" not in cluster.table
    cluster.take([record("", 1), record("z", 2**63)], "x", 3)
    assert cluster.refused == 502 and "z" not in cluster.table
    assert len(cluster.tell(12)) == 12


def test_asked_for_a_probe_it_answers_for_the_other_or_says_that_it_heard_nothing() -> None:
    cluster = one()
    asker, other = ("10.0.0.2", 2), ("10.0.0.3", 3)
    (probe,) = cluster.came(Kind.ASK, 77, "c", asker, other, 0)
    assert (probe.kind, probe.address, probe.to) == (Kind.PROBE, other, "c")
    (answer,) = cluster.came(Kind.ACK, probe.number, "", other, NOWHERE, 100)
    assert (answer.kind, answer.address, answer.number) == (Kind.ACK, asker, 77)
    cluster.came(Kind.ASK, 78, "c", asker, other, 0)
    (late,) = [out for out in cluster.tick(S // 2) if out.kind is Kind.NACK]
    assert (late.address, late.number, late.subject) == (asker, 78, "c")


def test_what_is_said_of_another_under_our_name_is_told_and_not_refuted() -> None:
    cluster = one()
    cluster.take(
        [MemberRecord("a", ("10.0.0.77", 7), 9, ALIVE), MemberRecord("a", ("10.0.0.77", 7), 9, SUSPECT)],
        "x",
        0,
    )
    assert cluster.me.incarnation == 5 and cluster.twins == {"a": ("10.0.0.77", 7)}
    cluster.take([MemberRecord("a", ("10.0.0.9", 9), 5, SUSPECT)], "x", 0)
    assert cluster.me.incarnation == 6


def test_a_suspicion_does_not_run_out_while_the_process_stands_still() -> None:
    cluster = one()
    cluster.take([record(), record("c", port=2)], "x", 0)
    cluster.take([record(state=SUSPECT)], "x", S)
    cluster.stood_still(100 * S, 101 * S)
    cluster.doubt = 0
    cluster.heard(record("c", port=2), 102 * S)
    cluster.tick(cluster.next_us)
    assert cluster.table["b"].record.state is SUSPECT
    cluster.heard(record("c", port=2), 125 * S)
    cluster.next_us, cluster.doubt, cluster.probe = 125 * S, 0, None
    cluster.tick(125 * S)
    assert cluster.table["b"].record.state is SILENT


class Reference:
    """Who should be thought to be there, in a history of kills, restarts, stops and cuts."""

    def __init__(self, size: int, seed: int) -> None:
        self.fleet = MembershipModel(size, seed=seed, loss=0.05)
        self.bad_since: dict[int, int] = {}  # dead, asleep or cut off, since when; those that are well aren't

    def well(self) -> set[int]:
        return {number for number in range(self.fleet.size) if number not in self.bad_since}


@settings(max_examples=12, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["kill", "sleep", "cut", "heal", "wait"]), st.integers(0, 6), st.integers(1, 40)
        ),
        max_size=6,
    ),
    st.integers(0, 1_000),
)
def test_in_any_history_no_live_reachable_one_is_given_up_for_longer_than_stated(
    events: list[tuple[str, int, int]], seed: int
) -> None:
    it = Reference(7, seed)
    fleet, cut = it.fleet, set[int]()
    fleet.delivers = lambda sender, receiver: sender not in cut and receiver not in cut
    fleet.run(2)
    for do, number, wait_s in events:
        if do == "heal" and number in it.bad_since:
            cut.discard(number)
            if not fleet.alive[number]:
                fleet.restart(number)
            elif number in fleet.asleep:
                fleet.wake(number)
            del it.bad_since[number]
        elif do in ("kill", "sleep", "cut") and number not in it.bad_since and len(it.bad_since) < 3:
            {"kill": fleet.kill, "sleep": fleet.sleep, "cut": cut.add}[do](number)
            it.bad_since[number] = fleet.now_us
        fleet.run(wait_s)
    # a round in which each is probed, a doubt's longest periods, and the spread of what is said
    fleet.run(longest_detection_us(7, S, 0.05) / S + 9 * 8)
    well = it.well()
    for at in well:
        for of in well - {at}:
            assert fleet.state(at, of) in (ALIVE, SUSPECT), (at, of)
        for of in it.bad_since:
            assert fleet.state(at, of) in (SILENT, None), (at, of)


def test_thousands_that_begin_together_ask_few_seeds_in_turns() -> None:
    """5,000 and three seeds: without turns each seed is asked 1,667 times in each period."""
    seeds = [("10.0.0.1", 1), ("10.0.0.2", 1), ("10.0.0.3", 1)]
    asked: Counter[tuple[int, Address]] = Counter()
    some_never = 0
    for number in range(5_000):
        rng = random.Random(number)
        me = MemberRecord(f"i{number}", (f"10.1.{number // 250}.{number % 250}", 1), 1, ALIVE)
        it = ClusterMembers(me, S, rng, 0, seeds, expected=5_000)
        joins = 0
        for now_us in range(0, 20 * S, S // 4):
            for out in it.tick(now_us):
                if out.kind is Kind.JOIN:
                    joins += 1
                    asked[now_us // S, out.address] += 1
        some_never += joins == 0
    assert some_never == 0
    assert max(asked.values()) <= 2 * JOINS_A_PERIOD


def test_a_few_that_begin_ask_in_each_period() -> None:
    it = ClusterMembers(
        MemberRecord("a", ("10.0.0.9", 9), 5, ALIVE), S, random.Random(1), 0, [("10.0.0.1", 1)], expected=24
    )
    joins = [out for now_us in range(0, 5 * S, S // 4) for out in it.tick(now_us) if out.kind is Kind.JOIN]
    assert len(joins) >= 4
