"""Where the end of a client's connection crosses something else: a request, a stop, a freed slot, a flood."""

from __future__ import annotations

import asyncio
import socket
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
from plovertrail.upstreams.connection_pool import ConnectionPool
from tests.daemons import Held, message, run, running
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


def long_deadline_classes() -> list[RequestClass]:
    """A class whose requests wait for long."""
    return [
        RequestClass("pay", latency_objective_us=40_000_000, deadline_us=60_000_000, effect="at_most_once")
    ]


def respond_after(first: bytes, release: asyncio.Event) -> Script:
    """Gives the first answer once it is told to, and OK ever after."""

    async def script(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if number == 0:
            await release.wait()
        writer.write(OK if number else first)

    return script


def record_instances(monkeypatch: pytest.MonkeyPatch, name: str) -> list[Any]:
    """What the program makes of a class from now on."""
    made: list[Any] = []
    original = getattr(program, name)

    def make(*args: Any, **kwargs: Any) -> Any:
        made.append(original(*args, **kwargs))
        return made[-1]

    monkeypatch.setattr(program, name, make)
    return made


async def connect_socket(it: Sidecar, receive_buffer: int = 0) -> socket.socket:
    """A connection whose bytes and end reach the sidecar while its loop is held; with `room`, one that takes
    few bytes before they are read."""
    sock = socket.socket()
    sock.setblocking(False)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", it.port))
    return sock


async def read_to_end(sock: socket.socket) -> bytes:
    """What comes till the other side ends; raises ConnectionResetError if it is cut."""
    loop, received = asyncio.get_running_loop(), b""
    async with asyncio.timeout(PATIENCE_S):
        while data := await loop.sock_recv(sock, 65_536):
            received += data
    return received


# A client that has gone


@pytest.mark.parametrize("half_close", [False, True])
def test_freed_slot_is_not_used_for_a_client_whose_close_is_unread(
    monkeypatch: pytest.MonkeyPatch, half_close: bool
) -> None:
    """Who ends its sending alone counts as gone, too."""
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
            # from here on the loop has no turn: the close lies in the system, the answer comes first
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
    """What comes behind an open request is not kept, and its end would lie behind it, unseen."""
    listeners: list[platform_listener.PlatformListener] = record_instances(monkeypatch, "PlatformListener")

    async def test() -> None:
        release = asyncio.Event()
        upstream = Upstream(respond_after(NOT_RUN, release))
        async with sidecar(upstream, classes=long_deadline_classes()) as it:
            reader, writer = await it.connect()
            writer.write(request("pay"))
            await until(lambda: len(upstream.requests) == 1)
            writer.write(b"x" * 4_000_000)
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
            writer.write(request("pay", body=b"y" * platform_listener.MAX_BODY_BYTES))
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
    """An ordinary client's next requests wait, and the system keeps what is beyond them, its end as well.
    What doesn't fit into what the system keeps is not known of, and neither is an end behind it."""

    async def test() -> None:
        held = Held()
        held.server.script = not_run_after_release(held)
        async with running(tmp_path, {"main": [held.server]}) as it:
            client = await it.connect()
            client.writer.write(message("POST /buy", body=b"1"))
            await until(lambda: len(held.server.arrivals) == 1)
            # more than is kept while a request is open: reading stops, and the end is not read
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


def not_run_after_release(held: Held) -> web.Script:
    async def script(server: web.WebServer, arrival: web.Arrival, line: web.Line) -> bytes:
        await held.release.acquire()
        return web.NOT_RUN

    return script


# Closes


@pytest.mark.parametrize("state", ["idle", "stop"])
def test_request_that_crosses_a_close_gets_no_reset(monkeypatch: pytest.MonkeyPatch, state: str) -> None:
    """It comes between the look for unread bytes and the close; its client sends it again elsewhere."""
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
    """The sidecar's side takes few bytes as well: an answer of 60 KB stays with it until its client reads."""
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
    """Neither a stop nor the want of room cuts it."""
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
                # the last of them took the places of others
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
    """As many of them as there may be clients: the one that has read for longest goes."""
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
                await until(partial(request_arrived, number))  # for less long than an answer may be read
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
            await asyncio.sleep(0.05)  # the stop is under way
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
    """One that waits for it would wait for as long as an idle connection may stay."""

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
    """Their end is awaited for as long as connections linger, and not by the process."""
    monkeypatch.setattr(connection_state, "LINGER_TIMEOUT_S", 600.0)

    async def test() -> None:
        async with running(tmp_path, {"main": [web.WebServer()]}) as it:
            client = await it.connect()
            assert (await client.ask(message("GET /"))).status == 200
            began = time.monotonic()
            await it.daemon.stop()
            assert time.monotonic() - began < 10.0  # requests may take 15
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
