"""Tests of races of a closing client connection with a request, a shutdown, a freed slot or a flood."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from functools import partial
from pathlib import Path
from typing import Any

import pytest

from fakes import web
from plovertrail import __main__ as program
from plovertrail.decisions.settings import RequestClass
from plovertrail.listeners import connection_state, platform_listener
from plovertrail.listeners.client_connection import ClientConnection
from plovertrail.listeners.connection_state import ConnectionState
from plovertrail.listeners.platform_request_reader import MAX_BODY_BYTES
from plovertrail.upstreams.connection_pool import ConnectionPool
from tests.daemons import Held, Running, message, run, running
from tests.net import (
    NOT_RUN,
    OK,
    PATIENCE_S,
    Script,
    Sidecar,
    Upstream,
    answering,
    read_message,
    request,
    sidecar,
    until,
)

SETTLE_S = 0.1  # for what is under way on loopback


def long_deadline_classes() -> list[RequestClass]:
    """Return a request class with a long deadline."""
    return [
        RequestClass("pay", latency_objective_us=40_000_000, deadline_us=60_000_000, effect="at_most_once")
    ]


def respond_after(first: bytes, release: asyncio.Event) -> Script:
    """Return a script that sends the first response after `release` is set, and OK to later requests."""

    async def script(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if number == 0:
            await release.wait()
        writer.write(OK if number else first)

    return script


def record_instances(monkeypatch: pytest.MonkeyPatch, name: str) -> list[Any]:
    """Return a list to which each further instance that the program makes of a class is added."""
    made: list[Any] = []
    original = getattr(program, name)

    def make(*args: Any, **kwargs: Any) -> Any:
        made.append(original(*args, **kwargs))
        return made[-1]

    monkeypatch.setattr(program, name, make)
    return made


async def connect_socket(it: Sidecar, receive_buffer: int = 0) -> socket.socket:
    """Connect a plain socket, whose bytes and close reach the sidecar even while the event loop is blocked.

    `receive_buffer` limits its receive buffer in bytes, so that responses stay unsent until they are read.
    """
    sock = socket.socket()
    sock.setblocking(False)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", it.port))
    return sock


def reset(sock: socket.socket) -> None:
    """Close a connection with a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


async def read_to_end(sock: socket.socket) -> bytes:
    """Read to the end of the stream; raises ConnectionResetError if the connection is reset."""
    loop, received = asyncio.get_running_loop(), b""
    async with asyncio.timeout(PATIENCE_S):
        while data := await loop.sock_recv(sock, 65_536):
            received += data
    return received


# Disconnected clients


@pytest.mark.parametrize("half_close", [False, True])
def test_freed_slot_is_not_used_for_a_client_whose_close_is_unread(
    monkeypatch: pytest.MonkeyPatch, half_close: bool
) -> None:
    """A client that has only shut down its sending side counts as disconnected, too."""
    pools: list[ConnectionPool] = record_instances(monkeypatch, "ConnectionPool")
    listeners: list[platform_listener.PlatformListener] = record_instances(monkeypatch, "PlatformListener")

    async def test() -> None:
        release = asyncio.Event()
        upstream = Upstream(respond_after(b"", release))
        async with sidecar(upstream, classes=long_deadline_classes()) as it:
            first, second = await connect_socket(it), await connect_socket(it)
            first.send(request("pay"))
            await until(lambda: len(upstream.requests) == 1)
            second.send(request("pay", "waits"))
            dispatcher = listeners[0].dispatcher
            await until(lambda: len(dispatcher.requests) == 2)
            [connection] = [one for group in pools[0].connections.values() for one in group]
            # the event loop does not run from here on: the response is handled before the close is read
            if half_close:
                second.shutdown(socket.SHUT_WR)
            else:
                second.close()
            connection.data_received(OK)
            release.set()
            await it.ask(request("pay", "later"))
            assert [b"waits" in head for head, _ in upstream.requests] == [False, False]
            assert not dispatcher.requests
            first.close()
            second.close()

    run(test)


def test_flood_behind_an_open_request_ends_it_without_a_retry(monkeypatch: pytest.MonkeyPatch) -> None:
    """Bytes after an open request are dropped, and a disconnect behind many of them would go unnoticed."""
    listeners: list[platform_listener.PlatformListener] = record_instances(monkeypatch, "PlatformListener")

    async def test() -> None:
        release = asyncio.Event()
        upstream = Upstream(respond_after(NOT_RUN, release))
        async with sidecar(upstream, classes=long_deadline_classes()) as it:
            reader, writer = await it.connect()
            writer.write(request("pay"))
            await until(lambda: len(upstream.requests) == 1)
            writer.write(request("pay") + b"x" * 4_000_000)  # the first of them may be another request
            head, _ = await read_message(reader)
            assert b" 500 " in head
            assert b"Connection: close" in head
            release.set()
            await until(lambda: not listeners[0].dispatcher.requests)
            assert len(upstream.requests) == 1
            writer.close()

    run(test)


def test_pipelined_request_does_not_affect_the_open_request() -> None:
    async def test() -> None:
        release = asyncio.Event()
        upstream = Upstream(respond_after(OK, release))
        async with sidecar(upstream, classes=long_deadline_classes()) as it:
            reader, writer = await it.connect()
            writer.write(request("pay"))
            await until(lambda: len(upstream.requests) == 1)
            writer.write(request("pay", body=b"y" * MAX_BODY_BYTES))
            await writer.drain()
            release.set()
            head, body = await read_message(reader)
            assert b" 200 " in head
            assert body == b"done"
            assert b" 400 " in (await read_message(reader))[0]
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_close_behind_unread_bytes_is_noticed_before_a_retry(tmp_path: Path) -> None:
    """Pipelined requests are buffered; the kernel keeps the bytes beyond them, and the end of the stream.

    Bytes that do not fit into the kernel's buffer, and a disconnect behind them, cannot be noticed.
    """

    async def test() -> None:
        held = Held()
        held.server.script = not_run_after_release(held)
        async with running(tmp_path, {"main": [held.server]}) as it:
            client = await it.connect()
            client.writer.write(message("POST /buy", body=b"1"))
            await until(lambda: len(held.server.arrivals) == 1)
            # more than is buffered while a request is open: reading is paused, and the close is not read
            client.writer.write(b"".join(message("POST /buy", body=b"z" * 30_000) for _ in range(3)))
            [listener] = it.daemon.services.listeners.active.values()
            await until(
                lambda: any(
                    not one.transport.is_reading()
                    for one in listener.clients[ConnectionState.OPEN]
                    if one.transport is not None
                )
            )
            client.writer.write(message("POST /buy", body=b"z" * 10_000))
            await client.writer.drain()
            client.close()
            await client.writer.wait_closed()
            held.release.release()
            await until(lambda: not it.daemon.dispatcher.requests)
            assert len(held.server.arrivals) == 1

    run(test)


# Guards against an attempt for a client that has closed its connection, which can't be seen as the kernel's
# buffers are full.
def test_close_behind_more_than_the_kernel_holds_allows_no_retry(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        held.server.script = broken_after_release(held)
        async with running(tmp_path, {"main": [held.server]}) as it:
            client = await connect_to_daemon(it)
            client.send(message("GET /1"))
            await until(lambda: len(held.server.arrivals) == 1)
            await send_until_buffers_are_full(client)
            client.close()
            held.release.release()
            await until(lambda: not it.daemon.dispatcher.requests)
            assert len(held.server.arrivals) == 1
            assert it.daemon.dispatcher.problems.counts["requests_behind_too_much_input"] == 1

    run(test)


def test_a_client_behind_too_much_input_gets_an_answer_instead_of_a_retry(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        held.server.script = broken_after_release(held)
        async with running(tmp_path, {"main": [held.server]}) as it:
            client = await connect_to_daemon(it)
            client.send(message("GET /1"))
            await until(lambda: len(held.server.arrivals) == 1)
            await send_until_buffers_are_full(client)
            held.release.release()
            answer = await asyncio.get_running_loop().sock_recv(client, 1000)
            assert answer.startswith(b"HTTP/1.1 502 ")
            assert b"\r\nConnection: close\r\n" in answer
            client.close()

    run(test)


def broken_after_release(held: Held) -> web.Script:
    async def script(server: web.WebServer, arrival: web.Arrival, line: web.Line) -> bytes:
        await held.release.acquire()
        assert line.transport is not None
        line.transport.abort()
        return b""

    return script


async def connect_to_daemon(it: Running) -> socket.socket:
    client = socket.socket()
    client.setblocking(False)
    await asyncio.get_running_loop().sock_connect(client, ("127.0.0.1", it.port))
    return client


async def send_until_buffers_are_full(client: socket.socket) -> None:
    """Send further requests until no more of them has gone out for a while."""
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        while True:
            await asyncio.wait_for(loop.sock_sendall(client, message("POST /buy", body=b"z" * 30_000)), 0.5)


def not_run_after_release(held: Held) -> web.Script:
    async def script(server: web.WebServer, arrival: web.Arrival, line: web.Line) -> bytes:
        await held.release.acquire()
        return web.NOT_RUN

    return script


# Closes


@pytest.mark.parametrize("state", ["idle", "stop"])
def test_request_that_crosses_a_close_gets_no_reset(monkeypatch: pytest.MonkeyPatch, state: str) -> None:
    """It arrives between the check for unread bytes and the close; its client can send it again elsewhere."""
    original = ClientConnection.has_nothing_unread

    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            sock = await connect_socket(it)
            loop = asyncio.get_running_loop()
            sock.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            assert b" 200 " in await loop.sock_recv(sock, 1000)

            def send_during_check(client: ClientConnection) -> bool:
                found = original(client)
                if found and client.responses and client.state is ConnectionState.IDLE:
                    sock.send(request("read", "crosses"))
                return found

            monkeypatch.setattr(ClientConnection, "has_nothing_unread", send_during_check)
            if state == "stop":
                it.stop.set()
            else:
                monkeypatch.setitem(connection_state.STATE_TIMEOUTS_S, ConnectionState.IDLE, 0.0)
            assert await read_to_end(sock) == b""
            assert not upstream.requests
            sock.close()
            if state == "stop":
                await it.task

    run(test)


def limit_send_buffers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Limit the sidecar's send buffers, so that it holds most of a 60 KB response until its client reads."""
    make = platform_listener.PlatformListener.make_connection

    def make_limited_connection(
        listener: platform_listener.PlatformListener, sock: socket.socket
    ) -> platform_listener.PlatformConnection:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2048)
        return make(listener, sock)

    monkeypatch.setattr(platform_listener.PlatformListener, "make_connection", make_limited_connection)


LONG_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"z" * 60_000


@pytest.mark.parametrize("how", ["stop", "eviction"])
def test_slowly_read_response_is_delivered_in_full(monkeypatch: pytest.MonkeyPatch, how: str) -> None:
    """Neither a shutdown nor the eviction of connections truncates it."""
    limit_send_buffers(monkeypatch)
    listeners: list[platform_listener.PlatformListener] = record_instances(monkeypatch, "PlatformListener")

    async def test() -> None:
        async with sidecar(Upstream(answering(LONG_RESPONSE))) as it:  # 200 descriptors
            sock = await connect_socket(it, 2048)
            last = "Connection: close\r\n" if how == "eviction" else ""
            sock.send(request(extra=last))
            await until(
                lambda: any(one.is_writing() for group in listeners[0].clients.values() for one in group)
            )
            others = []
            if how == "stop":
                it.stop.set()
                await until(lambda: listeners[0].stopping)
            else:
                for _ in range(listeners[0].max_clients + 10):
                    others.append(await it.connect())
                # the last of them were accepted by evicting others
                await until(lambda: listeners[0].count() >= listeners[0].max_clients - 1)
            assert [
                one.state for group in listeners[0].clients.values() for one in group if one.is_writing()
            ] == [ConnectionState.ENDING]
            received = await read_to_end(sock)
            assert received.endswith(b"z" * 60_000)
            sock.close()
            for _, writer in others:
                writer.close()

    run(test)


def test_clients_that_read_nothing_do_not_block_new_clients(monkeypatch: pytest.MonkeyPatch) -> None:
    """They use all allowed connections; the one that has been reading for the longest time is evicted."""
    limit_send_buffers(monkeypatch)
    listeners: list[platform_listener.PlatformListener] = record_instances(monkeypatch, "PlatformListener")

    async def test() -> None:
        upstream = Upstream(answering(LONG_RESPONSE))

        def request_arrived(number: int) -> bool:
            return len(upstream.requests) > number

        async with sidecar(upstream) as it:  # 200 descriptors
            slow = []
            for number in range(listeners[0].max_clients + 10):
                sock = await connect_socket(it, 2048)
                sock.send(request())
                slow.append(sock)
                # in less time than a client may take to read a response
                await until(partial(request_arrived, number))
            assert listeners[0].count() <= listeners[0].max_clients
            for sock in slow:
                sock.close()

    run(test)


def test_request_of_a_connection_opened_just_before_shutdown_is_served() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            await asyncio.sleep(0)
            it.stop.set()
            await asyncio.sleep(0.05)  # the shutdown has begun
            writer.write(request())
            head, body = await read_message(reader)
            assert b" 200 " in head
            assert body == b"done"
            assert await reader.read() == b""
            writer.close()
            await it.task

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        request(extra="Connection: close\r\n"),
        request().replace(b"HTTP/1.1", b"HTTP/1.0"),
    ],
)
def test_connection_closes_after_the_response_if_the_client_asks_for_it(data: bytes) -> None:
    """Otherwise a client that waits for the close would wait until the idle timeout."""

    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            writer.write(data)
            head, body = await read_message(reader)
            assert b" 200 " in head
            assert b"Connection: close" in head
            assert await reader.read() == b""
            writer.close()

    run(test)


def test_idle_http_clients_do_not_delay_shutdown(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The process does not wait until lingering connections are closed by their clients."""
    monkeypatch.setattr(connection_state, "LINGER_TIMEOUT_S", 600.0)

    async def test() -> None:
        async with running(tmp_path, {"main": [web.WebServer()]}) as it:
            client = await it.connect()
            assert (await client.ask(message("GET /"))).status == 200
            began = time.monotonic()
            await it.daemon.stop()
            assert time.monotonic() - began < 10.0  # requests may take 15 s
            assert await client.ended()
            client.close()

    run(test)


def test_idle_platform_clients_do_not_delay_shutdown() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            idle = [await connect_socket(it) for _ in range(5)]
            it.stop.set()
            async with asyncio.timeout(PATIENCE_S):
                await it.task
            for sock in idle:
                assert await read_to_end(sock) == b""
                sock.close()

    run(test)


# Guards against a stop that ends with an error, and answers nobody, as an idle client resets its connection.
def test_a_client_that_resets_its_connection_does_not_end_the_stop() -> None:
    async def test() -> None:
        release = asyncio.Event()
        upstream = Upstream(respond_after(OK, release))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request())
            await until(lambda: bool(upstream.requests))
            sock = await connect_socket(it)
            sock.send(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(SETTLE_S)
            it.stop.set()
            reset(sock)
            await asyncio.sleep(SETTLE_S)
            assert not it.task.done()
            release.set()
            head, _ = await read_message(reader)
            assert b" 200 " in head
            writer.close()
            await it.task

    run(test)


# Guards against an error in whatever ends a request, as its client resets the connection behind the response.
def test_a_response_to_a_client_that_resets_its_connection_raises_nothing(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    linger = ClientConnection.linger
    clients: list[socket.socket] = []

    def reset_first(connection: ClientConnection) -> None:
        reset(clients.pop())
        linger(connection)

    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            sock = await connect_socket(it)
            clients.append(sock)
            monkeypatch.setattr(ClientConnection, "linger", reset_first)
            sock.send(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            await until(lambda: not clients)
            monkeypatch.undo()
            await asyncio.sleep(SETTLE_S)

    run(test)
    assert not [record for record in caplog.records if record.levelname == "ERROR"]
