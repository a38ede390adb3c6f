"""Long lists from discovery are read on a thread, in order, each in full or not at all."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from plovertrail.decisions.events import EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.sources import discovery
from plovertrail.sources.directory import Directory
from plovertrail.sources.discovery import Discovery, Watch
from tests.daemons import run
from tests.net import entry, listing, until


class DiscoveryHarness:
    """A Discovery with a watch that gets its lines from the test instead of a connection."""

    def __init__(self) -> None:
        self.events: list[EndpointsUpdated] = []
        self.discovery = Discovery(("127.0.0.1", 1), Directory(["a"], ["m"]), self.on_update)
        self.watch = self.discovery.watch = Watch(self.discovery)

    def on_update(self, event: EndpointsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        self.events.append(event)

    def receive(self, *lines: Any) -> None:
        for line in lines:
            self.discovery.line_received(self.watch, json.dumps(line).encode())

    async def wait_until_read(self) -> None:
        await until(lambda: self.discovery.reader_task is None)


@pytest.fixture(autouse=True)
def read_all_lines_on_a_thread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_INLINE_LINE_BYTES", 0)
    monkeypatch.setattr("gc.freeze", lambda: None)


def test_lists_and_changes_are_reported_in_order() -> None:
    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1), entry("y", 2), rev=5))
        for rev in range(6, 40):
            state = "leaving" if rev % 2 == 0 else "active"
            harness.receive(listing(entry("x", 1, state), full=False, rev=rev))
        await harness.wait_until_read()
        assert [event.version for event in harness.events] == list(range(5, 40))
        states = [event.endpoints[0].state for event in harness.events[1:]]
        assert states == [EndpointStatus.DRAINING, EndpointStatus.READY] * 17
        assert harness.discovery.version == 39

    run(test)


def test_a_malformed_line_fails_the_watch_and_changes_nothing() -> None:
    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1)))
        await harness.wait_until_read()
        harness.receive(listing(entry("new", 2), entry("bad", 3) | {"state": "well"}, full=False))
        await harness.wait_until_read()
        assert [event.kind for event in harness.events] == [ListKind.FULL, ListKind.FAILED]
        assert set(harness.discovery.directory.endpoints) == {"x"}
        assert harness.discovery.watch is None

    run(test)


def test_changes_received_before_the_watch_ended_are_applied() -> None:
    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1)), listing(entry("x", 1, "leaving"), full=False))
        harness.watch.fail()
        await harness.wait_until_read()
        kinds = [event.kind for event in harness.events]
        assert sorted(kind.value for kind in kinds) == ["delta", "failed", "full"]
        assert harness.events[kinds.index(ListKind.DELTA)].endpoints[0].state is EndpointStatus.DRAINING

    run(test)


def test_versions_of_a_former_address_are_not_used() -> None:
    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1), rev=900))
        harness.discovery.change_address(("127.0.0.1", 2))
        await harness.wait_until_read()
        assert harness.discovery.version == 0
        assert len(harness.events) == 1

    run(test)


def test_reading_pauses_while_too_many_lines_are_unread() -> None:
    class Transport:
        def __init__(self) -> None:
            self.calls: list[str] = []

        def pause_reading(self) -> None:
            self.calls.append("pause")

        def resume_reading(self) -> None:
            self.calls.append("resume")

        def abort(self) -> None:
            pass

    async def test() -> None:
        harness = DiscoveryHarness()
        transport = Transport()
        harness.watch.transport = transport  # type: ignore[assignment]
        for rev in range(1, discovery.MAX_UNREAD_LINES + 1):
            assert transport.calls == []
            harness.receive(listing(entry("x", 1), rev=rev))
        assert transport.calls == ["pause"]
        await harness.wait_until_read()
        assert transport.calls[1] == "resume"
        assert len(harness.events) == discovery.MAX_UNREAD_LINES

    run(test)


def test_the_loop_is_not_blocked_while_a_long_line_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        harness = DiscoveryHarness()
        begun, release = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        read_line = harness.discovery.directory.read_line

        def blocking_read_line(line: bytes, known_version: int) -> Any:
            loop.call_soon_threadsafe(begun.set)
            asyncio.run_coroutine_threadsafe(release.wait(), loop).result(20)
            return read_line(line, known_version)

        monkeypatch.setattr(harness.discovery.directory, "read_line", blocking_read_line)
        harness.receive(listing(entry("x", 1)))
        await begun.wait()
        assert harness.events == []
        release.set()
        await harness.wait_until_read()
        assert len(harness.events) == 1

    run(test)


def test_lines_after_an_older_change_are_dropped() -> None:
    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1), rev=9))
        harness.receive(listing(entry("x", 1, "leaving"), rev=10, full=False))
        harness.receive(listing(entry("x", 1), rev=4, full=False))
        harness.receive(listing(entry("x", 1), rev=5, full=False))
        await harness.wait_until_read()
        assert [event.version for event in harness.events if event.version] == [9, 10]
        assert harness.discovery.version == 0

    run(test)


LONG = {"x": "y" * 200_000}  # makes a list long, and says nothing


class HeldReads:
    """Holds the thread that reads a long line until it is released."""

    def __init__(self, harness: DiscoveryHarness, monkeypatch: pytest.MonkeyPatch) -> None:
        self.begun, self.release = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        read_line = harness.discovery.directory.read_line

        def held(line: bytes, known_version: int) -> Any:
            if len(line) > len(LONG["x"]):
                loop.call_soon_threadsafe(self.begun.set)
                asyncio.run_coroutine_threadsafe(self.release.wait(), loop).result(20)
            return read_line(line, known_version)

        monkeypatch.setattr(harness.discovery.directory, "read_line", held)


def last_states(events: list[EndpointsUpdated]) -> dict[int, EndpointStatus]:
    """What each endpoint's state is by the events so far."""
    return {entry.id: entry.state for event in events for entry in event.endpoints}


# Guards against a drain that takes effect late, as a long list is being read before it.
@pytest.mark.parametrize("state", ["leaving", "left"])
@pytest.mark.parametrize("relists", [True, False])
def test_a_drain_takes_effect_while_a_long_list_is_read(
    monkeypatch: pytest.MonkeyPatch, state: str, relists: bool
) -> None:
    monkeypatch.setattr(discovery, "MAX_INLINE_LINE_BYTES", 10_000)

    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1), entry("y", 2), rev=1))
        held = HeldReads(harness, monkeypatch)
        targets = (entry("x", 1), entry("y", 2)) if relists else (entry("y", 2),)
        harness.receive(listing(*targets, rev=2, full=relists) | LONG)
        await held.begun.wait()
        harness.receive(listing(entry("x", 1, state), full=False, rev=3))
        harness.receive(listing(entry("z", 3), full=False, rev=4))
        assert last_states(harness.events)[1] is not EndpointStatus.READY
        held.release.set()
        began = len(harness.events)
        await until(lambda: len(harness.events) > began)
        assert last_states(harness.events)[1] is not EndpointStatus.READY  # nor does the list bring it back
        await harness.wait_until_read()
        states = last_states(harness.events)
        assert states[1] is not EndpointStatus.READY
        assert states[2] is states[3] is EndpointStatus.READY
        assert harness.discovery.version == 4
        harness.receive(listing(entry("x", 1), full=False, rev=5))
        assert list(last_states(harness.events).values()).count(EndpointStatus.READY) == 3

    run(test)


def test_a_drain_that_is_dropped_with_its_watch_no_longer_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_INLINE_LINE_BYTES", 10_000)

    async def test() -> None:
        harness = DiscoveryHarness()
        harness.receive(listing(entry("x", 1), rev=5))
        held = HeldReads(harness, monkeypatch)
        harness.receive(listing(entry("x", 1), rev=4, full=False) | LONG)  # older than what is known
        await held.begun.wait()
        harness.receive(listing(entry("x", 1, "leaving"), full=False, rev=6))
        held.release.set()
        await harness.wait_until_read()
        assert harness.discovery.version == 0  # so the whole list is asked for
        assert not harness.discovery.unread.has_removals
        harness.receive(listing(entry("x", 1), rev=5))
        assert last_states(harness.events)[1] is EndpointStatus.READY

    run(test)
