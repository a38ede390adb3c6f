"""The platform's lists through the reducer: the module is told what it was told before."""

from __future__ import annotations

import random
from typing import Any

import pytest

from plovertrail.decisions.events import EndpointStatus, ListKind
from plovertrail.sources.discovery import Directory, OlderChangeError
from tests.net import entry, listing


def states(directory: Directory, lines: Any, kind: ListKind | None = None) -> dict[int, EndpointStatus]:
    event, addresses = directory.read(lines, kind)
    assert set(addresses) == {each.id for each in event.endpoints}
    return {each.id: each.state for each in event.endpoints}


def test_lists_and_changes_become_events() -> None:
    directory = Directory(["a"], ["m"])
    ready, draining, gone = EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED
    assert states(directory, listing(entry("x", 1), entry("y", 2)), ListKind.CACHED) == {1: ready, 2: ready}
    assert states(directory, listing(entry("x", 1), entry("y", 2))) == {
        1: ready,
        2: ready,
    }  # whole, though unchanged
    assert states(directory, listing(entry("y", 2, "leaving"), full=False)) == {2: draining}
    assert states(directory, listing(entry("y", 2, "left"), entry("z", 2), full=False)) == {2: gone, 3: ready}
    assert states(directory, listing(entry("y", 2), full=False)) == {4: ready}  # another one than before
    assert states(directory, listing(full=False)) == {}
    assert states(directory, listing()) == {}  # an empty whole list is the platform's to tell


def test_a_restart_under_the_same_id_is_told_with_its_time() -> None:
    directory = Directory(["a"], ["m"])
    directory.read(listing(entry("x", 1)))
    event, _ = directory.read(listing(entry("x", 1, boot_ms=5), full=False))
    assert [(each.id, each.started_us) for each in event.endpoints] == [(1, 5000 + directory.to_clock_us)]
    assert (event.endpoints[0].zone, event.endpoints[0].kind, event.endpoints[0].cell) == (0, 0, 1)


def test_two_servers_at_one_address_are_both_told() -> None:
    directory = Directory(["a"], ["m"])
    assert len(states(directory, listing(entry("x", 1, "leaving"), entry("y", 1)))) == 2


@pytest.mark.parametrize(
    "broken", [{"state": "well"}, {"endpoint": "host:1"}, {"boot_ms": "x"}, {"uid": None}]
)
def test_a_malformed_list_takes_nothing(broken: dict[str, Any]) -> None:
    directory = Directory(["a"], ["m"])
    directory.read(listing(entry("x", 1)))
    before = directory.state
    if broken == {"uid": None}:
        lines = {"rev": 1, "all": False, "targets": [{"state": "active"}]}
    else:
        lines = listing(entry("new", 2), entry("y", 3) | broken, full=False)
    with pytest.raises((KeyError, ValueError)):
        directory.read(lines)
    assert directory.state is before


def test_whoever_follows_changes_has_what_a_whole_list_says() -> None:
    rng, directory, follower = random.Random(1), Directory(["a"], ["m"]), Directory(["a"], ["m"])
    served: dict[int, tuple[str, int]] = {}
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
            served.pop(each.id, None)
            if each.state is EndpointStatus.READY:
                served[each.id] = addresses[each.id]
        wanted, whole = follower.read(listing(*listed.values()))
        ready = sorted(whole[each.id] for each in wanted.endpoints if each.state is EndpointStatus.READY)
        assert sorted(served.values()) == ready


def test_forty_whose_discovery_is_put_back_send_nothing_to_what_had_left() -> None:
    """All were told at version 9 that three of six leave; then changes of version 4 call them well."""
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
        before = directory.state
        with pytest.raises(OlderChangeError, match="version 4 after version 9"):
            directory.read(listing(entry("a", 1), entry("b", 2), rev=4, full=False), known_version=9)
        assert directory.state is before
        ready = {name for name, member in directory.state.members.items() if not member.listed.drain}
        assert ready == set("def")
        event, _ = directory.read(listing(entry("a", 1), rev=4), known_version=9)  # a whole list holds
        assert event.kind is ListKind.FULL
        assert set(directory.state.members) == {"a"}
