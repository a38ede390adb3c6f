"""Selection of the subset of a pool's endpoints that one instance uses."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.events import Endpoint, EndpointStatus
from plovertrail.decisions.settings import RequestClass
from plovertrail.decisions.subsetting import NARROW_DELAY_US, EndpointSubset, dedup_scope_of

REMOVED, READY, DRAINING = EndpointStatus.REMOVED, EndpointStatus.READY, EndpointStatus.DRAINING


def endpoints(count: int, first: int = 1, **changes: object) -> list[Endpoint]:
    return [Endpoint(first + i, zone=i % 3, cell=i // 2, **changes) for i in range(count)]  # type: ignore[arg-type]


def addresses(entries: list[Endpoint]) -> dict[int, tuple[str, int]]:
    return {entry.id: ("127.0.0.1", 1000 + entry.id) for entry in entries}


def subset_of(
    number: int, size: int, entries: list[Endpoint], scope: str = "", home: int | None = None
) -> EndpointSubset:
    subset = EndpointSubset(number, size, scope, home)
    subset.update(entries, addresses(entries))
    return subset


def test_an_instance_selects_the_same_endpoints_after_a_restart_in_any_list_order() -> None:
    entries = endpoints(50)
    first = subset_of(7, 5, entries)
    again = subset_of(7, 5, entries[::-1])
    assert first.selected.keys() == again.selected.keys()
    assert len(first.selected) == 5
    renumbered = [Endpoint(entry.id + 500, zone=entry.zone, cell=entry.cell) for entry in entries]
    other = EndpointSubset(7, 5)
    other.update(renumbered, {entry.id + 500: ("127.0.0.1", 1000 + entry.id) for entry in entries})
    assert {number - 500 for number in other.selected} == first.selected.keys()
    assert subset_of(8, 5, entries).selected.keys() != first.selected.keys()


def test_endpoints_are_spread_evenly_over_a_fleet() -> None:
    entries = endpoints(20)
    counts = Counter(
        number for instance in range(2_000) for number in subset_of(instance, 4, entries).selected
    )
    assert sum(counts.values()) == 8_000
    assert all(abs(counts[entry.id] - 400) < 4.5 * 400**0.5 for entry in entries)


def test_selection_follows_weights_of_100_to_1() -> None:
    entries = [Endpoint(number, weight=100.0 if number <= 10 else 1.0) for number in range(1, 111)]
    counts = Counter(
        number for instance in range(2_000) for number in subset_of(instance, 1, entries).selected
    )
    heavy = sum(counts[number] for number in range(1, 11))
    assert abs(heavy / 2_000 - 1_000 / 1_100) < 0.025


def test_a_removed_or_added_endpoint_changes_only_the_subsets_that_have_it() -> None:
    entries = endpoints(40)
    before = {instance: subset_of(instance, 4, entries) for instance in range(400)}
    ids_before = {instance: set(subset.selected) for instance, subset in before.items()}
    for instance, subset in before.items():
        returned = subset.update([Endpoint(9, REMOVED)], {})
        assert bool(returned) == (9 in ids_before[instance])
        assert len(subset.selected) == 4
        assert len(set(subset.selected) - ids_before[instance]) == (9 in ids_before[instance])
    for instance, subset in before.items():
        subset.update([entries[8]], addresses(entries))
        subset.narrow(0, set())
        assert set(subset.selected) == ids_before[instance]


def test_a_drain_is_passed_on_at_once_and_replaced() -> None:
    entries = endpoints(10)
    subset = subset_of(1, 3, entries)
    drained = min(subset.selected)
    returned = subset.update([Endpoint(drained, DRAINING, drained % 3)], addresses(entries))
    assert returned[0].id == drained
    assert returned[0].state is DRAINING
    assert len(subset.selected) == 3
    assert drained not in subset.selected
    assert returned[1].state is READY


def test_a_subset_whose_endpoints_all_drain_is_replaced() -> None:
    entries = endpoints(10)
    subset = subset_of(1, 3, entries)
    ids_before = set(subset.selected)
    subset.update([Endpoint(number, DRAINING) for number in ids_before], addresses(entries))
    assert len(subset.selected) == 3
    assert ids_before.isdisjoint(subset.selected)
    subset.update([Endpoint(entry.id, REMOVED) for entry in entries], {})
    assert not subset.selected
    assert not subset.ranking
    assert not subset.units


def test_a_dedup_scope_is_selected_completely_even_if_larger_than_the_subset() -> None:
    entries = endpoints(40)
    for instance in range(50):
        for kind in ("cell", "zone"):
            subset = subset_of(instance, 3, entries, kind)
            for number in subset.selected:
                scope_id = getattr(subset.endpoints[number], kind)
                members = {entry.id for entry in entries if getattr(entry, kind) == scope_id}
                assert members <= subset.selected.keys()
    assert dedup_scope_of([RequestClass("a", 1, 1)]) == ""
    keyed = RequestClass("k", 1, 1, effect="deduplicated", dedup_scope="cell")
    assert dedup_scope_of([keyed]) == "cell"
    assert (
        dedup_scope_of([keyed, RequestClass("z", 1, 1, effect="deduplicated", dedup_scope="zone")]) == "zone"
    )


def test_the_home_zone_is_selected_first_and_others_when_it_has_too_few() -> None:
    entries = endpoints(30)
    subset = subset_of(3, 4, entries, home=1)
    assert {entry.zone for entry in subset.selected.values()} == {1}
    home = [Endpoint(e.id, DRAINING, 1, 0, e.cell) for e in entries if e.zone == 1]
    subset.update(home, addresses(entries))
    assert len(subset.selected) == 4
    assert 1 not in {entry.zone for entry in subset.selected.values()}


def test_a_subset_widens_in_a_shortage_and_narrows_after_a_delay() -> None:
    entries = endpoints(20)
    subset = subset_of(1, 3, entries)
    base = set(subset.selected)
    assert len(subset.widen(1_000_000)) == 3
    assert base < subset.selected.keys()
    assert subset.widen(1_000_001) == [], "widened twice within the interval"
    subset.widen(2_000_000)
    subset.widen(3_000_000)
    assert len(subset.selected) == 20
    assert subset.widen(4_000_000) == []
    assert subset.narrow(4_000_000 + NARROW_DELAY_US - 1, set()) == []
    now_us = 4_000_000
    for left in (12, 6, 3, 3):
        now_us += NARROW_DELAY_US
        subset.narrow(now_us, set())
        assert len(subset.selected) == left
    assert set(subset.selected) == base


def test_a_unit_with_open_requests_is_not_dropped() -> None:
    entries = endpoints(20)
    subset = subset_of(1, 2, entries, "cell")
    subset.widen(1_000_000)
    assert len(subset.selected) == 4
    added = [number for number, name in subset.unit_names.items() if number in subset.selected]
    wanted = EndpointSubset(1, 2, "cell")
    wanted.update(entries, addresses(entries))
    extra = [number for number in added if number not in wanted.selected]
    now_us = 1_000_000 + NARROW_DELAY_US
    assert subset.narrow(now_us, {extra[0]}) == []
    assert len(subset.selected) == 4
    assert {entry.id for entry in subset.narrow(now_us, set())} == set(extra)


STEP = st.tuples(
    st.sampled_from(["ready", "drain", "removed", "shortage", "narrow", "complete"]), st.integers(0, 11)
)


@settings(max_examples=200, deadline=None)
@given(st.lists(STEP, max_size=40), st.sampled_from(["", "cell", "zone"]), st.integers(0, 100))
def test_the_subset_matches_the_returned_changes_and_has_enough_ready_endpoints(
    steps: list[tuple[str, int]], scope: str, instance: int
) -> None:
    subset = EndpointSubset(instance, 3, scope)
    returned: dict[int, Endpoint] = {}
    listed: dict[int, Endpoint] = {}
    address_by_id = {number: ("127.0.0.1", 1000 + number) for number in range(12)}
    now_us = 0
    for step, number in steps:
        now_us += 3_000_000
        entry = Endpoint(number, READY, zone=number % 3, cell=number // 2)
        changes: list[Endpoint] = []
        if step in ("ready", "drain", "removed"):
            entry.state = {"ready": READY, "drain": DRAINING, "removed": REMOVED}[step]
            listed[number] = entry
            changes = subset.update([entry], address_by_id)
        elif step == "complete":
            entries = [Endpoint(n, READY, zone=n % 3, cell=n // 2) for n in range(number)]
            listed = {e.id: e for e in entries}
            changes = subset.replace(listed.keys(), entries, address_by_id)
        elif step == "shortage":
            changes = subset.widen(now_us)
        else:
            changes = subset.narrow(now_us, {number})
        for change in changes:
            if change.state is READY:
                returned[change.id] = change
            else:
                assert returned.pop(change.id).id == change.id, (
                    "removed an endpoint that was not in the subset"
                )
        ready = {n for n, e in listed.items() if e.state is READY}
        assert returned.keys() == subset.selected.keys()
        assert returned.keys() <= ready
        assert len(returned) >= min(3, len(ready))
        if scope:  # units are selected completely
            for n in returned:
                scope_members = {m for m in ready if getattr(listed[m], scope) == getattr(listed[n], scope)}
                wanted = subset.unit_names[n] in subset._wanted_units()
                assert not wanted or scope_members <= returned.keys()
        assert sorted(subset.ranking) == subset.ranking
        assert len(subset.ranking) == len(subset.units)
