"""Endpoint lists: atomic steps, validation, precedence of drains, flap damping, and a model-based test."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from plovertrail.decisions.endpoint_list import (
    MAX_REMOVAL_COUNTS,
    ChangeKind,
    EndpointList,
    EndpointListState,
    Guards,
    ListContext,
    ListedEndpoint,
    ListStep,
    apply_list,
    merge_lists,
    next_join_us,
    set_drained_by_operator,
)
from plovertrail.decisions.flap_damping import MAX_HOLD_DOWN_US

GUARDS = Guards(zones=frozenset(("", "a", "b")))
SECOND = 1_000_000


def endpoint(number: int, **more: object) -> ListedEndpoint:
    return ListedEndpoint(f"s{number}", ("10.0.0.1", 1000 + number), **more)  # type: ignore[arg-type]


def listed(*numbers: int, source: str = "file", version: int = 0) -> EndpointList:
    return EndpointList(source, tuple(endpoint(number) for number in numbers), version)


def apply_to(
    state: EndpointListState, candidate: EndpointList | None, now_us: int = 10 * SECOND, **more: object
) -> ListStep:
    return apply_list(state, candidate, now_us, GUARDS, ListContext(**more))  # type: ignore[arg-type]


def started_state(*numbers: int) -> EndpointListState:
    """Return the state after a start with these endpoints."""
    return replace(apply_to(EndpointListState(), listed(*numbers))[0], started=True)


def change_kinds(step: ListStep) -> list[tuple[str, str]]:
    return [(change.member.listed.id, change.kind.value) for change in step[1]]


def test_a_list_is_applied_in_one_step() -> None:
    state = started_state(1, 2, 3, 4, 5)
    moved = replace(endpoint(3), address=("10.0.0.9", 1))
    step = apply_to(
        state,
        EndpointList(
            "file",
            (endpoint(1), replace(endpoint(2), weight=2.0), moved, endpoint(4, drain=True), endpoint(6)),
        ),
    )
    assert change_kinds(step) == [
        ("s3", "leaves"),
        ("s5", "leaves"),
        ("s2", "changes"),
        ("s3", "joins"),
        ("s4", "drains"),
        ("s6", "joins"),
    ]
    after = step[0]
    assert after.generation == state.generation + 1
    assert after.members["s1"] is state.members["s1"]
    assert after.members["s1"].started_us == 0
    assert after.members["s3"].started_us == after.members["s6"].started_us == 10 * SECOND  # both warm up
    numbers = [member.endpoint_id for member in after.members.values()]
    assert len(set(numbers)) == 5
    assert after.members["s3"].endpoint_id not in {m.endpoint_id for m in state.members.values()}
    assert {member.listed.id for member, _ in after.removed.values()} == {"s3", "s5"}
    assert apply_to(after, EndpointList("file", after.layers[0].endpoints))[1] == ()


@pytest.mark.parametrize(
    ("candidate", "message"),
    [
        (EndpointList("file", ()), "the list is empty"),
        (listed(1), "it drops or moves 3 of 4 servers at once"),
        (listed(1, 2, 3, 3), 'two servers are called "s3"'),
        (
            EndpointList(
                "file", (*listed(1, 2, 3).endpoints, replace(endpoint(4), address=endpoint(1).address))
            ),
            "has the address of",
        ),
        (EndpointList("file", (*listed(1, 2, 3).endpoints, endpoint(4, weight=0.0))), "has a weight of 0.0"),
        (
            EndpointList("file", (*listed(1, 2, 3).endpoints, endpoint(4, weight=math.nan))),
            "has a weight of nan",
        ),
        (EndpointList("file", (*listed(1, 2, 3).endpoints, endpoint(4, weight=1e9))), "at most 1000"),
        (
            EndpointList("file", (*listed(1, 2, 3).endpoints, endpoint(4, zone="z"))),
            'in the unknown zone "z"',
        ),
        (listed(1, 2, 3, 4, version=6), "its version 6 goes backwards, from 7"),
    ],
)
def test_a_rejected_list_changes_nothing_and_is_reported_until_a_valid_one_follows(
    candidate: EndpointList, message: str
) -> None:
    state = apply_to(started_state(1, 2, 3, 4), listed(1, 2, 3, 4, version=7))[0]
    after, changes, report = apply_to(state, candidate)
    assert changes == ()
    assert after.members == state.members
    assert after.layers == state.layers
    assert any(message in text for text in report.problems)
    after, _, report = apply_to(after, listed(5, 6, source="other"))  # other sources are unaffected
    assert any(message in text for text in report.problems)
    assert len(after.members) == 6
    assert apply_to(after, listed(1, 2, 3, 4, version=7))[2].problems == ()  # a valid list clears the problem


def test_guards_can_be_relaxed() -> None:
    state = apply_to(started_state(1, 2, 3, 4), listed(1, 2, 3, 4, version=7))[0]
    for guards, candidate in (
        (Guards(allow_empty=True), listed(version=8)),
        (Guards(max_dropped_fraction=1.0), listed(9, version=8)),
        (Guards(min_checked_size=5), listed(9, version=8)),
        (Guards(allow_older_version=True), listed(1, 2, 3, 4, version=6)),
        (
            Guards(max_weight=1e6),
            EndpointList("file", (*listed(1, 2, 3).endpoints, endpoint(4, weight=1e5)), 8),
        ),
    ):
        assert apply_list(state, candidate, 0, guards)[0].rejected_lists == {}
        assert apply_list(state, candidate, 0, GUARDS)[0].rejected_lists


def test_an_operators_list_may_remove_all_endpoints() -> None:
    state = started_state(1, 2, 3, 4)
    inline = EndpointList("file", (), by_operator=True)
    assert [kind for _, kind in change_kinds(apply_to(state, inline))] == ["leaves"] * 4


def test_an_endpoint_drains_if_any_source_or_the_operator_drains_it() -> None:
    base, over = listed(1, 2, source="base"), EndpointList("over", (endpoint(1, weight=5.0), endpoint(3)))
    order = ("over", "base")
    state = apply_to(EndpointListState(), base, order=order)[0]
    state = apply_to(state, over, order=order)[0]
    assert state.members["s1"].listed.weight == 5.0  # the first source in the order defines it
    state, changes, _ = apply_to(
        state, EndpointList("base", (endpoint(1, drain=True), endpoint(2))), order=order
    )
    assert state.members["s1"].listed.drain
    assert [change.kind for change in changes] == [ChangeKind.DRAIN]
    state, changes, _ = apply_to(state, EndpointList("base", base.endpoints), order=order)
    assert [change.kind for change in changes] == [ChangeKind.UNDRAIN]
    state, changes, _ = set_drained_by_operator(state, "s2", True, 0, GUARDS)
    assert [change.kind for change in changes] == [ChangeKind.DRAIN]
    for candidate in (base, over):
        state = apply_to(state, candidate, order=order)[0]
        assert state.members["s2"].listed.drain
    assert not set_drained_by_operator(state, "s2", False, 0, GUARDS)[0].members["s2"].listed.drain


def test_lists_of_sources_outside_the_order_are_dropped() -> None:
    state = apply_to(started_state(1, 2), listed(3, 4, source="other"), order=("file", "other"))[0]
    state = apply_to(state, listed(3, source="other"), order=("other",))[0]
    assert set(state.members) == {"s3"}


def test_an_address_under_two_ids_belongs_to_the_first_source() -> None:
    found = merge_lists([listed(1), EndpointList("b", (replace(endpoint(1), id="other"),))], frozenset())
    assert set(found) == {"s1"}


def test_an_endpoint_that_returns_gets_a_new_id_and_warms_up() -> None:
    state = started_state(1, 2)
    old = state.members["s1"]
    state = apply_to(state, listed(2))[0]
    state, changes, _ = apply_to(state, listed(1, 2), 11 * SECOND)
    back = state.members["s1"]
    assert back.endpoint_id != old.endpoint_id
    assert back.started_us == 11 * SECOND
    state = apply_to(state, listed(2), 12 * SECOND)[0]
    replacement = EndpointList("file", (replace(endpoint(1), id="new"), endpoint(2)))
    state = apply_to(state, replacement, 13 * SECOND)[0]
    assert state.members["new"].endpoint_id not in (old.endpoint_id, back.endpoint_id)
    assert state.members["new"].started_us == 13 * SECOND


def test_an_endpoint_known_from_another_pool_keeps_its_start_time() -> None:
    other_pools = {("s3", endpoint(3).address): 7}
    state = apply_to(started_state(1, 2), listed(1, 2, 3, 4), other_pools=other_pools)[0]
    assert (state.members["s3"].started_us, state.members["s4"].started_us) == (7, 10 * SECOND)


def test_flapping_delays_joins_but_never_a_leave() -> None:
    state, now_us, joins = started_state(1, 2), 10 * SECOND, []
    for _ in range(8):
        state, changes, _ = apply_to(state, listed(2), now_us)
        assert "s1" not in state.members  # removed without delay
        state, changes, report = apply_to(state, listed(1, 2), now_us + SECOND)
        joins.append("s1" in state.members)
        due_us = next_join_us(state)
        if due_us is not None:
            assert any("come and go" in text for text in report.problems)
            assert now_us + SECOND < due_us <= now_us + SECOND + MAX_HOLD_DOWN_US
            assert apply_to(state, None, due_us - 1)[1] == ()
            state, changes, _ = apply_to(state, None, due_us)
            assert [change.kind for change in changes] == [ChangeKind.JOIN]
            now_us = due_us
        now_us += 2 * SECOND
    assert joins[:2] == [True, True]
    assert not any(joins[3:])
    assert (
        "s1"
        in apply_to(apply_to(state, listed(2), now_us)[0], listed(1, 2), now_us + 3600 * SECOND)[0].members
    )


def test_a_delayed_join_is_cancelled_when_the_endpoint_leaves_again() -> None:
    state, now_us = started_state(1, 2), 10 * SECOND
    for _ in range(4):
        state = apply_to(state, listed(2), now_us)[0]
        state = apply_to(state, listed(1, 2), now_us)[0]
    assert state.held_joins
    state = apply_to(state, listed(2), now_us)[0]
    assert not state.held_joins
    assert next_join_us(state) is None


def test_records_of_removed_endpoints_are_bounded() -> None:
    state = replace(EndpointListState(), started=True)
    guards = Guards(allow_empty=True, max_dropped_fraction=1.0)
    for batch in range(4):
        numbers = range(batch * 4000, batch * 4000 + 4000)
        endpoints = tuple(ListedEndpoint(f"s{n}", (f"10.0.{n >> 8}.{n & 255}", 80)) for n in numbers)
        state = apply_list(state, EndpointList("file", endpoints), batch * 300 * SECOND, guards)[0]
        state = apply_list(state, EndpointList("file", ()), batch * 300 * SECOND, guards)[0]
    assert len(state.removal_counts) <= MAX_REMOVAL_COUNTS
    assert len(state.removed) <= 4000


endpoints = st.builds(
    lambda n, port, zone, weight, drain: ListedEndpoint(f"s{n}", ("10.0.0.1", port), zone, "", weight, drain),
    st.integers(0, 7),
    st.integers(1, 9),
    st.sampled_from(["", "a", "z"]),
    st.sampled_from([1.0, 2.0, -1.0, math.inf]) | st.just(1.0),
    st.booleans(),
)


class EndpointListMachine(RuleBasedStateMachine):
    """Random lists of two sources, operator drains and time, checked against a model of accepted lists."""

    def __init__(self) -> None:
        super().__init__()
        self.state = replace(EndpointListState(), started=True)
        self.now_us = SECOND
        self.accepted_lists: dict[str, EndpointList] = {}
        self.drained_by_operator: set[str] = set()
        self.used: set[int] = set()
        self.followed: dict[int, ListedEndpoint] = {}  # the members, rebuilt from the changes

    def follow(self, step: ListStep) -> None:
        previous = self.state
        self.state, changes, _ = step
        for change in changes:
            number = change.member.endpoint_id
            if change.kind is ChangeKind.JOIN:
                assert number not in self.used
                assert change.member.started_us == self.now_us
                self.used.add(number)
            if change.kind is ChangeKind.LEAVE:
                del self.followed[number]
            else:
                self.followed[number] = change.member.listed
        assert bool(changes) == (self.state.generation > previous.generation)

    @rule(source=st.sampled_from(["a", "b"]), rows=st.lists(endpoints, max_size=6), version=st.integers(0, 3))
    def a_list(self, source: str, rows: list[ListedEndpoint], version: int) -> None:
        candidate = EndpointList(source, tuple(rows), version)
        step = apply_list(self.state, candidate, self.now_us, GUARDS, ListContext(("a", "b")))
        if source in step[0].rejected_lists:
            assert step[1] == ()
            assert step[0].members == self.state.members
        else:
            self.accepted_lists[source] = candidate
        self.follow(step)

    @rule(number=st.integers(0, 7), drain=st.booleans())
    def operator_drain(self, number: int, drain: bool) -> None:
        (self.drained_by_operator.add if drain else self.drained_by_operator.discard)(f"s{number}")
        self.follow(set_drained_by_operator(self.state, f"s{number}", drain, self.now_us, GUARDS))

    @rule(by_us=st.integers(1, 90 * SECOND))
    def time_passes(self, by_us: int) -> None:
        self.now_us += by_us
        self.follow(apply_list(self.state, None, self.now_us, GUARDS, ListContext(("a", "b"))))

    @invariant()
    def members_match_the_merged_accepted_lists(self) -> None:
        wanted = merge_lists(
            [self.accepted_lists[name] for name in ("a", "b") if name in self.accepted_lists],
            frozenset(self.drained_by_operator),
        )
        assert set(self.state.members) | set(self.state.held_joins) == set(wanted)
        assert not set(self.state.members) & set(self.state.held_joins)
        for listed_id, member in self.state.members.items():
            assert member.listed == wanted[listed_id]
            assert 0 < member.listed.weight < math.inf
            assert member.listed.zone in GUARDS.zones
        assert {member.endpoint_id: member.listed for member in self.state.members.values()} == self.followed
        addresses = [member.listed.address for member in self.state.members.values()]
        assert len(addresses) == len(set(addresses))

    @invariant()
    def no_drain_is_lost(self) -> None:
        draining = self.drained_by_operator | {
            row.id for layer in self.accepted_lists.values() for row in layer.endpoints if row.drain
        }
        assert all(self.state.members[each].listed.drain for each in draining & set(self.state.members))


TestEndpointLists = EndpointListMachine.TestCase
TestEndpointLists.settings = settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)


@given(st.lists(endpoints, max_size=12))
def test_a_state_is_never_changed_in_place(rows: list[ListedEndpoint]) -> None:
    state = started_state(1, 2, 3)
    previous = dict(state.members), state.layers, dict(state.removal_counts), dict(state.removed)
    apply_to(state, EndpointList("file", tuple(rows)))
    assert previous == (dict(state.members), state.layers, dict(state.removal_counts), dict(state.removed))
