"""Long lists from discovery are read on a thread: in their order, each whole or not at all."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from plovertrail.decisions.events import EndpointStatus, EndpointsUpdated, ListKind
from plovertrail.sources import discovery
from plovertrail.sources.discovery import Directory, Discovery, Watch
from tests.daemons import run
from tests.net import entry, listing, until


class Told:
    """A Discovery with a watch whose connection the test stands in for."""

    def __init__(self) -> None:
        self.events: list[EndpointsUpdated] = []
        self.discovery = Discovery(("127.0.0.1", 1), Directory(["a"], ["m"]), self.listed)
        self.watch = self.discovery.watch = Watch(self.discovery)

    def listed(self, event: EndpointsUpdated, addresses: dict[int, tuple[str, int]]) -> None:
        self.events.append(event)

    def come(self, *lines: Any) -> None:
        for line in lines:
            self.discovery.line_received(self.watch, json.dumps(line).encode())

    async def read(self) -> None:
        await until(lambda: self.discovery.reader_task is None)


@pytest.fixture(autouse=True)
def all_are_long(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "MAX_INLINE_SERVERS", -1)
    monkeypatch.setattr(discovery, "MAX_INLINE_LINE_BYTES", 0)
    monkeypatch.setattr("gc.freeze", lambda: None)


def test_lists_and_changes_are_told_in_their_order() -> None:
    async def test() -> None:
        told = Told()
        told.come(listing(entry("x", 1), entry("y", 2), rev=5))
        for rev in range(6, 40):
            state = "leaving" if rev % 2 == 0 else "active"
            told.come(listing(entry("x", 1, state), full=False, rev=rev))
        await told.read()
        assert [event.version for event in told.events] == list(range(5, 40))
        states = [event.endpoints[0].state for event in told.events[1:]]
        assert states == [EndpointStatus.DRAINING, EndpointStatus.READY] * 17
        assert told.discovery.version == 39

    run(test)


def test_a_malformed_line_fails_the_watch_and_takes_nothing() -> None:
    async def test() -> None:
        told = Told()
        told.come(listing(entry("x", 1)))
        await told.read()
        told.come(listing(entry("new", 2), entry("bad", 3) | {"state": "well"}, full=False))
        await told.read()
        assert [event.kind for event in told.events] == [ListKind.FULL, ListKind.FAILED]
        assert told.discovery.directory.state.members.keys() == {"x"}
        assert told.discovery.watch is None

    run(test)


def test_what_was_told_before_the_watch_ended_counts() -> None:
    async def test() -> None:
        told = Told()
        told.come(listing(entry("x", 1)), listing(entry("x", 1, "leaving"), full=False))
        told.watch.fail()
        await told.read()
        kinds = [event.kind for event in told.events]
        assert sorted(kind.value for kind in kinds) == ["delta", "failed", "full"]
        assert told.events[kinds.index(ListKind.DELTA)].endpoints[0].state is EndpointStatus.DRAINING

    run(test)


def test_the_versions_of_an_old_address_are_not_taken_for_the_new_ones() -> None:
    async def test() -> None:
        told = Told()
        told.come(listing(entry("x", 1), rev=900))
        told.discovery.change_address(("127.0.0.1", 2))
        await told.read()
        assert told.discovery.version == 0
        assert len(told.events) == 1

    run(test)


def test_a_watch_is_not_read_while_too_much_of_it_waits() -> None:
    class Transport:
        def __init__(self) -> None:
            self.said: list[str] = []

        def pause_reading(self) -> None:
            self.said.append("pause")

        def resume_reading(self) -> None:
            self.said.append("resume")

        def abort(self) -> None:
            pass

    async def test() -> None:
        told = Told()
        transport = Transport()
        told.watch.transport = transport  # type: ignore[assignment]
        for rev in range(1, discovery.MAX_UNREAD_LINES + 1):
            assert transport.said == []
            told.come(listing(entry("x", 1), rev=rev))
        assert transport.said == ["pause"]
        await told.read()
        assert transport.said[1] == "resume"
        assert len(told.events) == discovery.MAX_UNREAD_LINES

    run(test)


def test_the_loop_goes_on_while_a_long_line_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        told = Told()
        begun, go_on = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        read = told.discovery.directory.read_line

        def slowly(line: bytes, known: int) -> Any:
            loop.call_soon_threadsafe(begun.set)
            asyncio.run_coroutine_threadsafe(go_on.wait(), loop).result(20)
            return read(line, known)

        monkeypatch.setattr(told.discovery.directory, "read_line", slowly)
        told.come(listing(entry("x", 1)))
        await begun.wait()
        assert told.events == []
        go_on.set()
        await told.read()
        assert len(told.events) == 1

    run(test)


def test_what_waits_behind_an_older_change_is_of_another_past_and_is_not_taken() -> None:
    async def test() -> None:
        told = Told()
        told.come(listing(entry("x", 1), rev=9))
        told.come(listing(entry("x", 1, "leaving"), rev=10, full=False))
        told.come(listing(entry("x", 1), rev=4, full=False))
        told.come(listing(entry("x", 1), rev=5, full=False))
        await told.read()
        assert [event.version for event in told.events if event.version] == [9, 10]
        assert told.discovery.version == 0

    run(test)
