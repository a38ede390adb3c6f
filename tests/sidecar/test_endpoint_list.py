"""The real sidecar over loopback sockets: the endpoint list and its watch."""

from __future__ import annotations

import asyncio
import json

import pytest

from plovertrail.decisions.events import EndpointsUpdated, ListKind
from plovertrail.sources import discovery as discovery_module
from plovertrail.sources.directory import Directory
from tests.net import (
    OK,
    PATIENCE_S,
    Discovery,
    Upstream,
    answering,
    entry,
    listing,
    request,
    sidecar,
    silent,
    until,
)
from tests.sidecar.common import run, status


def test_the_list_as_known_is_used_at_once_and_changes_as_soon_as_they_come() -> None:
    async def test() -> None:
        old, new, discovery = Upstream(answering(OK)), Upstream(answering(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery) as it:
            assert status(await it.ask(request())) == 200
            assert len(old.requests) == 1
            await discovery.watched()
            assert b"follow=1&since=1 " in discovery.calls[0]
            changes = [entry("u0", old.port, "leaving"), entry("u1", new.port)]
            discovery.line(listing(*changes, rev=2, full=False))

            async def moved() -> bool:
                assert status(await it.ask(request())) == 200
                return bool(new.requests)

            while not await moved():
                pass
            before = len(old.requests)
            for _ in range(5):
                await moved()
            assert len(old.requests) == before
            discovery.writers[-1].transport.abort()
            await discovery.watched()
            assert b"since=2 " in discovery.calls[1]
        new.stop()

    run(test)


def test_a_list_that_can_not_be_read_ends_the_watch_and_leaves_the_old_list() -> None:
    async def test() -> None:
        upstream, discovery = Upstream(answering(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as it:
            await discovery.watched()
            discovery.line({"rev": 2, "all": True, "targets": [{"uid": "u0"}]})
            await discovery.watched()
            assert status(await it.ask(request())) == 200

    run(test)


def test_a_list_whose_version_goes_back_brings_no_drained_server_back_and_the_whole_is_asked_for() -> None:
    """Discovery is put back to an older state: its change calls the drained server well."""

    async def test() -> None:
        old, new, discovery = Upstream(answering(OK)), Upstream(answering(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery) as it:
            await discovery.watched()
            changes = [entry("u0", old.port, "leaving"), entry("u1", new.port)]
            discovery.line(listing(*changes, rev=9, full=False))
            while not new.requests:
                assert status(await it.ask(request())) == 200
            before = len(old.requests)
            discovery.line(listing(entry("u0", old.port), rev=4, full=False))
            await discovery.watched()
            assert b"since=0 " in discovery.calls[1]
            for _ in range(10):
                assert status(await it.ask(request())) == 200
            assert len(old.requests) == before
            # a whole list holds whatever its version is, and later changes are held against that
            discovery.line(listing(entry("u0", old.port), rev=4))
            while len(old.requests) == before:
                assert status(await it.ask(request())) == 200
            discovery.writers[-1].transport.abort()
            await discovery.watched()
            assert b"since=4 " in discovery.calls[2]
        new.stop()

    run(test)


@pytest.mark.parametrize("cut", [1, 40, -1])
def test_an_answer_of_discovery_cut_in_half_changes_nothing_and_is_asked_for_again(cut: int) -> None:
    async def test() -> None:
        upstream, discovery = Upstream(answering(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as it:
            await discovery.watched()
            whole = json.dumps(listing(entry("u0", upstream.port, "leaving"), rev=9, full=False)).encode()
            discovery.writers[-1].write(b"%x\r\n%s" % (len(whole) + 1, whole[:cut]))
            discovery.writers[-1].close()
            await discovery.watched()
            assert b"since=1 " in discovery.calls[1]
            assert status(await it.ask(request())) == 200
            discovery.line(listing(entry("u0", upstream.port, "leaving"), rev=9, full=False))
            while status(await it.ask(request())) != 503:
                pass

    run(test)


def written(found: object, indent: int | str | None, end: bytes = b"\n") -> bytes:
    """A list in one chunk."""
    data = json.dumps(found, indent=indent).encode() + end
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.mark.parametrize("indent", [0, 2, "\t"])
@pytest.mark.parametrize("piece", [1, 7, 10_000])
def test_lists_that_come_indented_are_read_in_whatever_pieces(indent: int | str, piece: int) -> None:
    async def test() -> None:
        old, new, discovery = Upstream(answering(OK)), Upstream(answering(OK)), Discovery()
        await new.start()
        async with sidecar(old, discovery=discovery) as it:
            await discovery.watched()
            data = written(listing(entry("u0", old.port), entry("u1", new.port), rev=2), indent)
            data += b"1\r\n\n\r\n"  # nothing has changed for a while
            data += written(listing(entry("u0", old.port, "leaving"), rev=3, full=False), indent)
            for at in range(0, len(data), piece):
                discovery.writers[-1].write(data[at : at + piece])
                if piece < 10_000:
                    await asyncio.sleep(0)
            async with asyncio.timeout(PATIENCE_S):
                while not new.requests:
                    assert status(await it.ask(request())) == 200
            before = len(old.requests)
            for _ in range(10):
                assert status(await it.ask(request())) == 200
            assert len(old.requests) == before
            assert len(discovery.calls) == 1
            discovery.line(listing(entry("u0", old.port), rev=4, full=False))  # the next one in one line
            async with asyncio.timeout(PATIENCE_S):
                while len(old.requests) == before:
                    assert status(await it.ask(request())) == 200
        new.stop()

    run(test)


@pytest.mark.parametrize("cut", [1, 3, 20])
def test_an_indented_list_that_ends_in_its_middle_ends_the_watch_at_the_next_sign_of_life(cut: int) -> None:
    """Hazard: what comes behind it would be taken for more of it, for ever."""

    async def test() -> None:
        upstream, discovery = Upstream(answering(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as it:
            await discovery.watched()
            lines = json.dumps(listing(entry("u0", upstream.port, "leaving"), rev=9), indent=1).split("\n")
            for line in [*lines[:-cut], ""]:
                discovery.writers[-1].write(b"%x\r\n%s\n\r\n" % (len(line) + 1, line.encode()))
            await discovery.watched()
            assert b"since=1 " in discovery.calls[1]
            assert status(await it.ask(request())) == 200

    run(test)


def test_a_change_whose_line_lacks_only_its_end_counts_as_told() -> None:
    async def test() -> None:
        upstream, discovery = Upstream(answering(OK)), Discovery()
        async with sidecar(upstream, discovery=discovery) as it:
            await discovery.watched()
            whole = json.dumps(listing(entry("u0", upstream.port, "leaving"), rev=9, full=False)).encode()
            discovery.writers[-1].write(b"%x\r\n%s" % (len(whole) + 1, whole))
            discovery.writers[-1].close()
            async with asyncio.timeout(PATIENCE_S):
                while status(await it.ask(request())) != 503:
                    pass
            await discovery.watched()
            assert b"since=9 " in discovery.calls[1]

    run(test)


def test_a_call_that_is_out_is_not_ended_by_the_next_one_and_a_move_replaces_it() -> None:
    """A discovery that works in turn would be asked anew again and again, and never be heard."""

    async def test() -> None:
        told: list[EndpointsUpdated] = []
        first, second = Discovery(), Discovery()
        for each in (first, second):
            await each.start()
        directory = Directory(["a"], ["m"])
        source = discovery_module.Discovery(
            ("127.0.0.1", first.port), directory, lambda event, _addresses: told.append(event)
        )
        source.subscribe(True)
        source.subscribe(True)  # before its connection is up
        await first.watched()
        source.subscribe(True)
        first.line(listing(entry("x", 1)))
        await until(lambda: [event.kind for event in told] == [ListKind.FULL])
        source.subscribe(True)
        source.change_address(("127.0.0.1", second.port))
        await second.watched()
        second.line(listing(entry("y", 1), rev=1))
        await until(lambda: len(told) == 2)
        assert (len(first.calls), len(second.calls)) == (1, 1)
        source.subscribe(False)
        for each in (first, second):
            each.stop()

    run(test)


def test_a_known_list_that_can_not_be_read_is_passed_over_and_a_new_one_asked_for() -> None:
    async def test() -> None:
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        upstream, discovery = Upstream(answering(OK)), Discovery()
        known = {"rev": 7, "all": True, "targets": [{"uid": "u0", "state": "unheard of"}]}
        async with sidecar(upstream, discovery=discovery, known=known) as it:
            assert status(await it.ask(up)) == 503
            await discovery.watched()
            assert b"since=0 " in discovery.calls[0]
            discovery.line(listing(entry("u0", upstream.port), rev=8))
            async with asyncio.timeout(PATIENCE_S):
                while status(await it.ask(up)) != 200:
                    pass
            assert status(await it.ask(request())) == 200

    run(test)


def test_a_silent_watch_fails_and_is_asked_for_again() -> None:
    async def test() -> None:
        discovery = Discovery()
        async with sidecar(Upstream(answering(OK)), discovery=discovery):
            await discovery.watched()
            discovery.line(listing(rev=2, full=False))
            await discovery.watched()
            assert len(discovery.calls) == 2

    run(test)


def test_a_watch_that_was_up_and_fell_silent_is_told_apart_from_one_that_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    told: list[EndpointsUpdated] = []

    async def until_lists_told(count: int) -> None:
        await until(lambda: [event.kind for event in told].count(ListKind.FULL) >= count)

    async def test() -> None:
        server = Discovery()
        await server.start()
        directory = Directory(["a"], ["m"])
        watch = discovery_module.Discovery(
            ("127.0.0.1", server.port), directory, lambda event, _addresses: told.append(event)
        )
        for falls_silent in (True, False):
            # long enough for a list to come though a busy machine holds this process up
            monkeypatch.setattr(discovery_module, "IDLE_TIMEOUT_S", 2.0 if falls_silent else 600.0)
            watch.subscribe(True)
            await server.watched()
            server.line(listing(entry("x", 1)))
            await until_lists_told(1 if falls_silent else 2)
            if not falls_silent:
                server.writers[-1].transport.abort()
            await until(lambda: told[-1].kind is ListKind.FAILED)
        watch.close()
        server.stop()

    run(test)
    assert [event.watch_stalled for event in told if event.kind is ListKind.FAILED] == [True, False]


def test_where_lists_are_pushed_the_agent_is_watched_for_good() -> None:
    async def test() -> None:
        agent = Discovery()
        upstream = Upstream(answering(OK))
        await upstream.start()
        async with sidecar(discovery=agent, endpoints_on_request=False) as it:
            await agent.watched()
            agent.writers[-1].transport.abort()
            await agent.watched()
            agent.line(listing(entry("late", upstream.port)))
            async with asyncio.timeout(PATIENCE_S):
                await it.until_served("read")
        upstream.stop()

    run(test)


def test_up_says_200_only_when_there_is_an_upstream() -> None:
    async def test() -> None:
        up = b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n"
        async with sidecar(known=listing()) as it:
            assert status(await it.ask(up)) == 503
        async with sidecar(Upstream(silent)) as it:
            assert status(await it.ask(up)) == 200

    run(test)
