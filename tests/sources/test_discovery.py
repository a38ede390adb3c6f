"""Discovery's lists and changes are converted to events for the load balancer."""

from __future__ import annotations

import random
import time
from typing import Any

import pytest

from plovertrail.clock import clock_us
from plovertrail.decisions.events import EndpointStatus, ListKind
from plovertrail.sources.directory import Directory, OlderChangeError
from tests.net import entry, listing


def states(directory: Directory, listed: Any, kind: ListKind | None = None) -> dict[int, EndpointStatus]:
    event, addresses = directory.read(listed, kind)
    assert set(addresses) == {each.id for each in event.endpoints}
    return {each.id: each.state for each in event.endpoints}


def test_lists_and_changes_become_events() -> None:
    directory = Directory(["a"], ["m"])
    ready, draining, gone = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED
    assert states(directory, listing(entry("x", 1), entry("y", 2)), ListKind.CACHED) == {1: ready, 2: ready}
    # a full list reports all, changed or not
    assert states(directory, listing(entry("x", 1), entry("y", 2))) == {1: ready, 2: ready}
    assert states(directory, listing(entry("y", 2, "leaving"), full=False)) == {2: draining}
    assert states(directory, listing(entry("y", 2, "left"), entry("z", 2), full=False)) == {2: gone, 3: ready}
    # a new endpoint with the id of a removed one
    assert states(directory, listing(entry("y", 2), full=False)) == {4: ready}
    assert states(directory, listing(full=False)) == {}
    assert states(directory, listing()) == {}  # an empty full list is accepted from the platform


def test_a_restart_with_the_same_id_is_reported_with_its_start_time() -> None:
    directory = Directory(["a"], ["m"])
    directory.read(listing(entry("x", 1)))
    event, _ = directory.read(listing(entry("x", 1, boot_ms=5), full=False))
    assert [(each.id, each.started_us) for each in event.endpoints] == [
        (1, 5000 + directory.starts.offset_us)
    ]
    assert (event.endpoints[0].zone, event.endpoints[0].kind, event.endpoints[0].cell) == (0, 0, 1)


HOUR_S = 3600


# Guards against a step of the wall clock by which a server that has just started counts as warm.
@pytest.mark.parametrize("step_s", [HOUR_S, -HOUR_S, 5, -5])
def test_after_a_step_of_the_wall_clock_a_new_start_is_neither_warm_at_once_nor_in_the_future(
    monkeypatch: pytest.MonkeyPatch, step_s: int
) -> None:
    directory = Directory(["a"], ["m"])
    real_ns = time.time_ns
    old_boot_ms = real_ns() // 1_000_000 - 2 * HOUR_S * 1000
    event, _ = directory.read(listing(entry("x", 1, boot_ms=old_boot_ms), entry("y", 2)))
    started_us = event.endpoints[0].started_us
    monkeypatch.setattr(time, "time_ns", lambda: real_ns() + step_s * 1_000_000_000)
    for boot_ms in (real_ns() // 1_000_000, time.time_ns() // 1_000_000):  # by another clock, and by this one
        event, _ = directory.read(listing(entry("y", 2, boot_ms=boot_ms), full=False))
        age_us = clock_us() - event.endpoints[0].started_us
        assert 0 <= age_us < 1_000_000
    event, _ = directory.read(listing(entry("x", 1, boot_ms=old_boot_ms), entry("y", 2, boot_ms=boot_ms)))
    assert event.endpoints[0].started_us == started_us  # no restart


def test_two_endpoints_at_one_address_are_both_reported() -> None:
    directory = Directory(["a"], ["m"])
    assert len(states(directory, listing(entry("x", 1, "leaving"), entry("y", 1)))) == 2


@pytest.mark.parametrize(
    "malformed", [{"state": "well"}, {"endpoint": "host:1"}, {"boot_ms": "x"}, {"uid": None}]
)
def test_a_malformed_list_changes_nothing(malformed: dict[str, Any]) -> None:
    directory = Directory(["a"], ["m"])
    directory.read(listing(entry("x", 1)))
    before = directory.endpoints.members()
    if malformed == {"uid": None}:
        update = {"rev": 1, "all": False, "targets": [{"state": "active"}]}
    else:
        update = listing(entry("new", 2), entry("y", 3) | malformed, full=False)
    with pytest.raises((KeyError, ValueError)):
        directory.read(update)
    assert directory.endpoints.members() == before


def test_following_changes_gives_the_same_endpoints_as_full_lists() -> None:
    rng, directory, reference = random.Random(1), Directory(["a"], ["m"]), Directory(["a"], ["m"])
    ready_addresses: dict[int, tuple[str, int]] = {}
    directory.read(listing())
    listed: dict[str, dict[str, Any]] = {}
    for _ in range(300):
        lines = []
        for uid in rng.sample("abcdefgh", rng.randrange(4)):
            line = entry(uid, rng.randrange(1, 9), rng.choice(["active", "active", "leaving", "left"]))
            lines.append(line)
            listed.pop(uid, None)
            if line["state"] != "left":
                listed[uid] = line
        event, addresses = directory.read(listing(*lines, full=False))
        for each in event.endpoints:
            ready_addresses.pop(each.id, None)
            if each.state is EndpointStatus.READY:
                ready_addresses[each.id] = addresses[each.id]
        expected, expected_addresses = reference.read(listing(*listed.values()))
        ready = sorted(
            expected_addresses[each.id] for each in expected.endpoints if each.state is EndpointStatus.READY
        )
        assert sorted(ready_addresses.values()) == ready


def test_an_older_change_after_a_rollback_brings_no_endpoint_back() -> None:
    """At version 9 three of six endpoints leave; a later change of version 4 lists them as active again."""
    rng = random.Random(3)
    names = "abcdef"
    for _ in range(40):
        directory = Directory(["a"], ["m"])
        directory.read(listing(*(entry(name, port) for port, name in enumerate(names, 1)), rev=8))
        directory.read(
            listing(
                *(entry(name, names.index(name) + 1, rng.choice(["leaving", "left"])) for name in "abc"),
                rev=9,
                full=False,
            )
        )
        before = directory.endpoints.members()
        with pytest.raises(OlderChangeError, match="version 4 after version 9"):
            directory.read(listing(entry("a", 1), entry("b", 2), rev=4, full=False), known_version=9)
        assert directory.endpoints.members() == before
        ready = {member.listed.id for member in directory.endpoints.members() if not member.listed.drain}
        assert ready == set("def")
        # a full list is accepted whatever its version
        event, _ = directory.read(listing(entry("a", 1), rev=4), known_version=9)
        assert event.kind is ListKind.FULL
        assert set(directory.endpoints) == {"a"}
