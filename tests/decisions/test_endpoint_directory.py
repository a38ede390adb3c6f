"""Single changes among the endpoints of one source lead to the same endpoints as whole lists do."""

from __future__ import annotations

import random

import pytest

from plovertrail.decisions.endpoint_directory import EndpointDirectory
from plovertrail.decisions.endpoint_list import (
    UNGUARDED,
    ChangeKind,
    EndpointChange,
    EndpointList,
    EndpointListState,
    ListedEndpoint,
    apply_list,
)
from tests.line_counter import count_lines

NAMES = "abcdefgh"


def drawn(rng: random.Random, name: str) -> ListedEndpoint:
    return ListedEndpoint(
        name,
        ("10.0.0.1", rng.randrange(1, 4)),
        weight=rng.choice([1.0, 2.0]),
        drain=rng.random() < 0.3,
        started_us=rng.choice([0, 5]),
    )


def as_sets(changes: list[EndpointChange]) -> tuple[set[tuple[object, ...]], set[tuple[object, ...]]]:
    """What has left, and all other changes; new ids go by the order of entries, which may differ."""
    rows = [(each.kind, each.member.listed, each.member.started_us) for each in changes]
    return (
        {row for row in rows if row[0] is ChangeKind.LEAVE},
        {row for row in rows if row[0] is not ChangeKind.LEAVE},
    )


@pytest.mark.parametrize("seed", range(20))
def test_changes_lead_to_the_same_endpoints_as_whole_lists(seed: int) -> None:
    rng = random.Random(seed)
    directory, state = EndpointDirectory(), EndpointListState()
    listed: dict[str, ListedEndpoint] = {}
    for _ in range(60):
        changed = {
            name: None if rng.random() < 0.3 else drawn(rng, name)
            for name in rng.sample(NAMES, rng.randrange(4))
        }
        is_whole = rng.random() < 0.2
        entries = {name: entry for name, entry in changed.items() if entry is not None}
        if is_whole:
            listed = entries
        else:
            listed = {name: entry for name, entry in listed.items() if name not in changed} | entries
        changes = directory.replace(entries) if is_whole else directory.update(changed)
        state, expected, report = apply_list(state, EndpointList("x", tuple(listed.values())), 0, UNGUARDED)
        assert not report.problems
        assert as_sets(changes) == as_sets(list(expected))
        assert [change.kind for change in changes] == sorted(
            (change.kind for change in changes), key=lambda kind: kind is not ChangeKind.LEAVE
        )
        assert set(directory) == set(state.members) == set(listed)
        for name, entry in listed.items():
            member = directory.get(name)
            assert member is not None
            assert member.listed == entry
            assert directory.name_of(member.endpoint_id) == name
        assert len({member.endpoint_id for member in directory.members()}) == len(directory)


def test_an_endpoint_at_another_address_gets_an_id_of_its_own() -> None:
    directory = EndpointDirectory()
    [joined] = directory.update({"a": ListedEndpoint("a", ("10.0.0.1", 1))})
    left, joined_again = directory.update({"a": ListedEndpoint("a", ("10.0.0.1", 2))})
    assert (left.kind, joined_again.kind) == (ChangeKind.LEAVE, ChangeKind.JOIN)
    assert left.member.endpoint_id == joined.member.endpoint_id != joined_again.member.endpoint_id
    assert directory.name_of(joined.member.endpoint_id) is None


def steps_of_a_change(endpoints: int) -> int:
    """How many lines run to apply one drain among so many endpoints."""
    directory = EndpointDirectory()
    directory.replace({f"s{n}": ListedEndpoint(f"s{n}", ("10.0.0.1", n)) for n in range(endpoints)})
    drained = ListedEndpoint("s1", ("10.0.0.1", 1), drain=True)
    return count_lines(lambda: directory.update({"s1": drained}))


# Guards against drains in a large fleet that take effect late, as each change costs a whole list.
def test_a_change_takes_the_same_steps_in_a_fleet_of_any_size() -> None:
    assert steps_of_a_change(3200) == steps_of_a_change(4) > 0
