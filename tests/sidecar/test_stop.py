"""The real sidecar over loopback sockets: the end of the process."""

from __future__ import annotations

import asyncio
import socket
import threading
import time

import pytest

from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.types import ProxyRequest
from plovertrail.listeners import platform_listener as server
from plovertrail.sources import discovery
from plovertrail.upstreams.connection_pool import ConnectionPool
from tests.net import (
    OK,
    PATIENCE_S,
    Upstream,
    classes,
    entry,
    listing,
    read_message,
    request,
    sidecar,
    silent,
    until,
)
from tests.sidecar.common import run, status


def test_when_told_to_stop_it_serves_what_is_open_and_what_still_comes() -> None:
    async def test() -> None:
        held = asyncio.Event()

        async def script(
            _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await held.wait()
            writer.write(OK)

        upstreams = [Upstream(script), Upstream(script)]  # one slot each

        def total() -> int:
            return sum(len(upstream.requests) for upstream in upstreams)

        async with sidecar(*upstreams) as it:
            idle_reader, idle_writer = await it.connect()
            idle_writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert status(await read_message(idle_reader)) == 200
            reader, writer = await it.connect()
            writer.write(request(ident="1"))
            await until(lambda: total() == 1)
            it.stop.set()
            assert await idle_reader.read() == b""
            late_reader, late_writer = await it.connect()
            late_writer.write(request(ident="2"))
            await until(lambda: total() == 2)
            held.set()
            for each in (reader, late_reader):
                head, body = await read(each)
                assert body == b"done"
                assert b"Connection: close" in head
            for client in (idle_writer, writer, late_writer):
                client.close()
            await it.task

    async def read(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
        whole = await reader.read()
        head, _, body = whole.partition(b"\r\n\r\n")
        return head, body

    run(test)


def test_at_its_end_what_has_come_in_part_is_turned_away_and_what_is_open_has_its_answer() -> None:
    async def test() -> None:
        short = [RequestClass("pay", latency_objective_us=50_000, deadline_us=100_000, effect="at_most_once")]
        upstream = Upstream(silent)
        async with sidecar(upstream, classes=short) as it, asyncio.timeout(PATIENCE_S):
            half, half_writer = await it.connect()
            half_writer.write(request("pay", body=b"body")[:-1])
            slow, slow_writer = await it.connect()
            slow_writer.write(request("pay", body=b"body")[:-1])
            await asyncio.sleep(0.05)
            it.stop.set()
            await asyncio.sleep(0.05)
            slow_writer.write(b"y")  # its last byte comes while the stop is under way
            assert status(await read_message(slow)) == 500
            head, _ = await read_message(half)
            assert status((head, b"")) == 503
            assert b"Connection: close" in head
            await it.task
            half_writer.close()
            slow_writer.close()

    run(test)


@pytest.mark.parametrize("kind", ["read", "pay", "mark"])
def test_a_stop_under_requests_whose_upstream_hangs_answers_each_whole(kind: str) -> None:
    """Of each effect, with a deadline shorter than the stop: the answer comes, and then the process ends."""

    async def test() -> None:
        short = [
            RequestClass(
                each.name,
                100_000,
                300_000,
                late_weight=0.5,
                effect=each.effect,
                dedup_scope=each.dedup_scope,
                dedup_window_us=100_000,
            )
            for each in classes()
        ]
        upstream = Upstream(silent)
        async with sidecar(upstream, classes=short) as it, asyncio.timeout(PATIENCE_S):
            readers = []
            for _ in range(3):
                reader, writer = await it.connect()
                writer.write(request(kind, deadline_ms=300))
                readers.append((reader, writer))
            await until(lambda: bool(upstream.requests))
            it.stop.set()
            answers = []
            for reader, writer in readers:
                head, body = await read_message(reader)
                assert b"Connection: close" in head
                assert await reader.read() == b""
                answers.append(status((head, body)))
                writer.close()
            await it.task
            assert set(answers) <= {500, 503}
            if kind == "pay":  # what was sent may have run, and is not refused
                assert answers.count(500) == len(upstream.requests)

    run(test)


def test_an_answer_and_its_time_out_in_one_turn_of_the_loop_is_an_answer() -> None:
    """The loop stands still until both are due: what has come is read before time is looked at."""
    asked, answered = threading.Event(), threading.Event()
    server = socket.create_server(("127.0.0.1", 0))

    def upstream() -> None:
        sock, _ = server.accept()
        sock.recv(65_536)
        asked.set()
        held.wait(PATIENCE_S)
        sock.sendall(OK)
        answered.set()
        sock.recv(1)

    held = threading.Event()
    thread = threading.Thread(target=upstream, daemon=True)
    thread.start()

    async def test() -> None:
        short = [RequestClass("pay", 1_000_000, 3_000_000, late_weight=0.5, effect="at_most_once")]
        known = listing(entry("u0", server.getsockname()[1]))
        async with sidecar(classes=short, known=known) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", deadline_ms=3_000))
            await until(asked.is_set)
            held.set()  # from here on the loop has no turn until the deadline is over
            assert answered.wait(PATIENCE_S)
            time.sleep(3.1)
            assert status(await read_message(reader)) == 200
            writer.close()

    run(test)
    server.close()


@pytest.mark.parametrize("ends_in_ms", [0, -50, 300])
def test_a_request_that_is_taken_while_a_stop_is_under_way_has_no_longer_than_the_process(
    ends_in_ms: int,
) -> None:
    async def test() -> None:
        dispatcher = Dispatcher()
        settings = Settings(classes=classes())
        front = server.PlatformListener(
            dispatcher, dispatcher.pools.add("", settings, 1, ConnectionPool(1, 1, 1)), settings, 10, 1
        )
        call = ProxyRequest(
            b"POST", b"/pay", [], b"", arrived_us=1_000_000, deadline_us=20_000_000, class_index=1
        )
        assert front.limited_deadline_us(call) == 20_000_000
        front.finish_by(1_000_000 + 1000 * ends_in_ms)
        assert front.limited_deadline_us(call) == 1000 * ends_in_ms

    run(test)


# Guards against a task that the closing event loop destroys, as discovery is called after the stop.
def test_discovery_is_not_called_after_the_stop(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "REOPEN_DELAY_S", 0.01)
    calls: list[float] = []
    connect = discovery.Discovery.connect

    async def counted(self: discovery.Discovery, watch: discovery.Watch) -> None:
        calls.append(time.monotonic())
        await connect(self, watch)

    monkeypatch.setattr(discovery.Discovery, "connect", counted)

    async def test() -> None:
        async with sidecar(Upstream(silent)) as it:  # nobody listens at the port of discovery
            await until(lambda: len(calls) >= 3)
            it.stop.set()
            await it.task
            await asyncio.sleep(0)
            before = len(calls)
            await asyncio.sleep(0.1)
            assert len(calls) == before

    run(test)
