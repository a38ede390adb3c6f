"""The real sidecar over loopback sockets: a new configuration."""

from __future__ import annotations

import asyncio
import threading
from pathlib import Path

import pytest

from plovertrail.decisions.events import EndpointsUpdated
from plovertrail.sources import discovery as discovery_module
from plovertrail.sources.directory import Directory
from tests.net import (
    OK,
    PATIENCE_S,
    Discovery,
    Upstream,
    answering,
    configuration,
    entry,
    listing,
    read_message,
    request,
    sidecar,
    until,
)
from tests.sidecar.common import released_by, run, status


def test_a_new_configuration_moves_the_watch_and_keeps_what_is_open(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        held = asyncio.Event()

        old, new = Upstream(released_by(held)), Upstream(answering(OK))
        first, second = Discovery(), Discovery()
        await new.start()
        await second.start()
        path = tmp_path / "config.json"
        path.write_text("{")
        async with sidecar(old, discovery=first, path=str(path)) as it:
            await first.watched()
            first.line(listing(entry("u0", old.port), rev=900))
            reader, writer = await it.connect()
            writer.write(request("pay"))
            await until(lambda: len(old.requests) == 1)
            it.reload.set()
            await until(lambda: "configuration rejected" in caplog.text)  # the old one stays
            assert len(first.calls) == 1
            configuration(tmp_path, discovery=f"127.0.0.1:{second.port}")
            it.reload.set()
            await second.watched()
            assert b"since=0 " in second.calls[0]
            second.line(listing(entry("u1", new.port), rev=3))
            async with asyncio.timeout(PATIENCE_S):
                while not new.requests:
                    await it.ask(request(ident="2"))
            it.reload.set()  # the same address: nothing to do
            held.set()
            assert status(await read_message(reader)) == 200
            writer.close()
            assert (len(first.calls), len(second.calls)) == (1, 1)
        new.stop()
        second.stop()

    run(test)


@pytest.mark.parametrize("then", ["stop", "move"])
def test_a_line_that_is_being_read_on_a_thread_crosses_a_stop_or_a_new_address(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, then: str
) -> None:
    """The thread is held meanwhile.

    What is open is answered and the process ends; or the new address's list comes last, and holds.
    """
    reading, release = threading.Event(), threading.Event()
    read_line = Directory.read_line

    def held(
        self: Directory, line: bytes, known: int = 0
    ) -> tuple[EndpointsUpdated, dict[int, tuple[str, int]]]:
        if b'"old"' in line:
            reading.set()
            assert release.wait(PATIENCE_S)
        return read_line(self, line, known)

    monkeypatch.setattr(Directory, "read_line", held)
    monkeypatch.setattr(discovery_module, "MAX_INLINE_LINE_BYTES", 1)  # each line is read on a thread

    async def test() -> None:
        go_on = asyncio.Event()
        first, second = Discovery(), Discovery()
        upstream, old, new = Upstream(released_by(go_on)), Upstream(answering(OK)), Upstream(answering(OK))
        for each in (old, new, second):
            await each.start()
        path = configuration(tmp_path, discovery=f"127.0.0.1:{second.port}")
        async with sidecar(upstream, discovery=first, path=str(path)) as it:
            await first.watched()
            reader, writer = await it.connect()
            writer.write(request("pay"))
            await until(lambda: len(upstream.requests) == 1)
            first.line(listing(entry("old", old.port), rev=900))
            await until(reading.is_set)
            if then == "stop":
                it.stop.set()
            else:
                it.reload.set()
                await second.watched()
                second.line(listing(entry("new", new.port), rev=3))
            go_on.set()
            assert status(await read_message(reader)) == 200
            release.set()
            writer.close()
            if then == "stop":
                await it.task
            else:
                async with asyncio.timeout(PATIENCE_S):
                    while not new.requests:
                        await it.ask(request())
                before = len(old.requests)
                for _ in range(5):
                    assert status(await it.ask(request())) == 200
                assert len(old.requests) == before
        for each in (old, new, second):
            each.stop()

    run(test)
