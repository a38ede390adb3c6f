"""WebSocket over loopback, against the `websockets` library and against peers that misbehave."""

from __future__ import annotations

import asyncio
import os
import resource
from contextlib import suppress
from pathlib import Path

import pytest
import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.server import ServerConnection, serve

from fakes.frames import (
    BINARY,
    CLOSE,
    CONTINUATION,
    PING,
    PONG,
    TEXT,
    acceptance,
    close_frame,
    frame,
    opening,
)
from fakes.live import Line, LiveServer, listen
from fakes.web import OK
from plovertrail import event_log
from plovertrail.decisions.websocket_messages import CLIENT, CloseCause
from plovertrail.decisions.websocket_session import Phase
from plovertrail.listeners.websocket_relay import HIGH_WATER, READ_BYTES, SESSION_BYTES
from tests.daemons import message, run
from tests.net import PATIENCE_S, until
from tests.websocket_site import LiveSite, live_site


async def ended(site: LiveSite, count: int = 1) -> None:
    """So many handshakes have come to their end, with a socket or without."""
    await until(lambda: len(site.ended) >= count)


async def closed(site: LiveSite, count: int = 1) -> None:
    """So many sockets that were open have come to their end."""
    await until(lambda: len(site.opened) >= count)


# Against a peer that this project did not write


def test_the_library_speaks_through_us(tmp_path: Path) -> None:
    async def answer(peer: ServerConnection) -> None:
        async for got in peer:
            await peer.send(got)

    async def test() -> None:
        server = LiveServer()
        async with serve(answer, "127.0.0.1", 0, subprotocols=[websockets.Subprotocol("live")]) as theirs:
            server.port = theirs.sockets[0].getsockname()[1]
            async with live_site(tmp_path, [server]) as site:
                uri = f"ws://127.0.0.1:{site.port}/"
                offered = [websockets.Subprotocol("other"), websockets.Subprotocol("live")]
                async with connect(uri, subprotocols=offered) as peer:
                    assert peer.subprotocol == "live"
                    for sent in ("héllo ⚓", b"\x00\xff" * 25_000, "", b"", "x" * 65_536):
                        await peer.send(sent)
                        assert await peer.recv() == sent
                    await peer.send(["piece ", "by ", "piece ⚓"])
                    assert await peer.recv() == "piece by piece ⚓"
                    await (await peer.ping())
                    await peer.close(4001, "bye")
                await ended(site)
                socket = site.ended[0]
                assert socket.cause is CloseCause.CLIENT_CLOSED
                assert [peer.close_received for peer in socket.peers] == [4001, 4001]
                assert [peer.messages_received for peer in socket.peers] == [6, 6]
                assert socket.peers[0].bytes_received == socket.peers[1].bytes_received > 115_000

    run(test)


def test_no_extension_is_offered_on_or_agreed_to(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        async with live_site(tmp_path, [server]) as site:
            async with connect(f"ws://127.0.0.1:{site.port}/", compression="deflate") as peer:
                assert not peer.protocol.extensions
            assert b"sec-websocket-extensions" not in server.lines[0].head.lower()

    run(test)


# The handshake


def test_the_head_that_reaches_the_server(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        async with live_site(tmp_path, [server]) as site:
            client = await site.open("/live?x=1", "Origin: https://a.example", "Cookie: c=1")
            head = server.lines[0].head.decode()
            assert head.startswith("GET /live?x=1 HTTP/1.1\r\n")
            assert "Origin: https://a.example" in head
            assert "Cookie: c=1" in head
            assert head.lower().count("sec-websocket-key") == head.lower().count("upgrade: websocket") == 1
            assert "X-Request-Id" in head
            client.close()

    run(test)


def test_headers_of_the_acceptance_go_on(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        await line.accept("Set-Cookie: seen=1", "Sec-WebSocket-Protocol: live")
        await line.until_closed()

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)]) as site:
            client = await site.connect()
            reply = await client.ask(opening("/", "Sec-WebSocket-Protocol: live"))
            assert reply.all("Set-Cookie") == ["seen=1"]
            assert reply.all("Connection") == ["Upgrade"]
            assert reply.all("Sec-WebSocket-Protocol") == ["live"]
            assert len(reply.all("Sec-WebSocket-Accept")) == 1
            client.close()

    run(test)


@pytest.mark.parametrize(
    ("headers", "behind", "status"),
    [
        (("Sec-WebSocket-Version: 8",), b"", 426),
        (("Connection: close",), b"", 400),
        (("Sec-WebSocket-Key: c2hvcnQ=",), b"", 400),
        (("Content-Length: 5",), b"hello", 400),
        (("Transfer-Encoding: chunked",), b"0\r\n\r\n", 400),
        (("Origin: https://evil.example",), b"", 403),
    ],
)
def test_a_bad_handshake_gets_one_answer_and_reaches_no_server(
    tmp_path: Path, headers: tuple[str, ...], behind: bytes, status: int
) -> None:
    async def test() -> None:
        server = LiveServer()
        origins = 'origins = ["https://shop.example"]'
        async with live_site(tmp_path, [server], limits=origins) as site:
            client = await site.connect()
            smuggled = b"GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
            reply = await client.ask(opening("/", *headers) + behind + smuggled)
            assert reply.status == status
            if status == 426:
                assert reply.all("Sec-WebSocket-Version") == ["13"]
            assert await client.ended()
            assert not server.lines
            assert not site.ended

    run(test)


def test_an_upgrade_with_a_body_is_no_handshake_even_where_it_comes_in_one_piece(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        async with live_site(tmp_path, [server]) as site:
            client = await site.connect()
            inner = frame(TEXT, b"not a body", masked=True)
            reply = await client.ask(opening("/", f"Content-Length: {len(inner)}") + inner)
            assert reply.status == 400
            assert await client.ended()
            assert not server.lines

    run(test)


def test_a_route_that_opens_none_serves_an_upgrade_as_a_request(tmp_path: Path) -> None:
    async def plain(line: Line) -> None:
        line.send(OK)
        await line.reader.read()

    async def test() -> None:
        server = LiveServer(plain)
        async with live_site(tmp_path, [server]) as site:
            client = await site.connect()
            behind = message("GET /plain/2")
            assert (await client.ask(opening("/plain/1") + behind)).status == 200
            assert (await client.reply()).status == 200
            assert [line.head.split()[1] for line in server.lines] == [b"/plain/1", b"/plain/2"]
            client.close()

    run(test)


def test_ordinary_requests_of_a_route_with_sockets_are_served_as_ever(tmp_path: Path) -> None:
    async def plain(line: Line) -> None:
        line.send(OK)
        await line.reader.read()

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(plain)]) as site:
            client = await site.connect()
            assert (await client.ask(message("GET /x"))).status == 200
            client.close()

    run(test)


def test_bytes_behind_the_handshake_reach_the_server_once(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            client = await site.connect()
            early = frame(TEXT, b"early", masked=True) + frame(TEXT, b"bird", masked=True)
            assert await client.ask_socket("/", behind=early) == 101
            client.send(TEXT, b"later")
            await until(lambda: len(server.lines[0].frames) == 3)
            assert [got.payload for got in server.lines[0].frames] == [b"early", b"bird", b"later"]
            assert all(got.masked for got in server.lines[0].frames)
            client.close()

    run(test)


def test_bytes_of_the_server_behind_its_acceptance_reach_the_client(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        line.send(acceptance(line.head) + frame(TEXT, b"first"))
        await line.until_closed()

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)]) as site:
            client = await site.open()
            got = await client.next()
            assert got.payload == b"first"
            assert not got.masked
            client.close()

    run(test)


def wrong(*lines: str, body: bytes = b"") -> bytes:
    return "\r\n".join([*lines, "", ""]).encode() + body


ANSWERS = {
    "accept": wrong(
        "HTTP/1.1 101 Switching Protocols",
        "Upgrade: websocket",
        "Connection: Upgrade",
        "Sec-WebSocket-Accept: AAAAAAAAAAAAAAAAAAAAAAAAAAA=",
    ),
    "no upgrade": wrong("HTTP/1.1 101 Switching Protocols", "X: y"),
    "200": OK,
    "redirect": wrong("HTTP/1.1 302 Found", "Location: http://127.0.0.1:1/", "Content-Length: 0"),
    "half": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: webso",
    "nothing": b"",
}


@pytest.mark.parametrize("what", [*ANSWERS, "late"])
@pytest.mark.parametrize("target", ["/", "/buy"])
def test_a_handshake_that_was_taken_gets_one_answer_and_goes_elsewhere_only_if_safe(
    tmp_path: Path, what: str, target: str
) -> None:
    async def script(line: Line) -> None:
        if what == "late":
            await asyncio.sleep(1.2)
            await line.accept()
            await line.until_closed()
            return
        line.send(ANSWERS[what])
        if what in ("half", "nothing"):
            await asyncio.sleep(0.05)
            line.reset()
        else:
            await line.reader.read()

    async def test() -> None:
        bad = [LiveServer(script) for _ in range(2)]
        async with live_site(tmp_path, bad) as site:
            client = await site.connect()
            reply = await client.ask(opening(target, "X-Deadline-Ms: 600"))
            # a refusal says that trying again is harmless: so it is where the class is safe
            assert reply.status in ((502, 504) if target == "/buy" else (502, 503, 504)), reply
            assert await client.ended()
            taken = sum(len(server.lines) for server in bad)
            assert taken == 1 if target == "/buy" else taken >= 1
            await ended(site)
            assert site.ended[0].cause is CloseCause.HTTP_RESPONSE
            assert not site.daemon.services.websockets.sessions.capacity.by_endpoint

    run(test)


def test_a_safe_handshake_finds_the_server_that_is_well(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        line.send(ANSWERS["accept"])

    async def test() -> None:
        bad, good = LiveServer(script), LiveServer()
        async with live_site(tmp_path, [bad, good]) as site:
            for _ in range(10):
                client = await site.open()
                client.close()
            assert bad.lines
            assert len(good.lines) == 10

    run(test)


def test_refusals_of_the_server_reach_the_client(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        line.send(wrong("HTTP/1.1 401 Unauthorized", "WWW-Authenticate: Basic", "Content-Length: 0"))

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)]) as site:
            client = await site.connect()
            reply = await client.ask(opening())
            assert reply.status == 401
            assert reply.all("WWW-Authenticate") == ["Basic"]
            assert await client.ended()

    run(test)


def test_no_server_at_all_is_told_at_once_with_when_to_come_back(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        async with live_site(tmp_path, [server]) as site:
            server.stop()
            client = await site.connect()
            reply = await client.ask(opening("/buy"))
            assert reply.status == 503
            assert reply.all("Retry-After")

    run(test)


def test_a_client_that_vanishes_in_the_handshake_opens_no_socket(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def script(line: Line) -> None:
        await release.wait()
        await line.accept()
        await line.until_closed()

    async def test() -> None:
        server = LiveServer(script)
        async with live_site(tmp_path, [server]) as site:
            client = await site.connect()
            client.writer.write(opening())
            await until(lambda: bool(server.lines))
            client.writer.transport.abort()
            await ended(site)
            release.set()
            await until(lambda: not server.open)
            assert [socket.cause for socket in site.ended] == [CloseCause.CLIENT_LEFT_HANDSHAKE]

    run(test)


def test_a_second_copy_of_a_handshake_does_not_cost_the_first_its_socket(tmp_path: Path) -> None:
    async def slow(line: Line) -> None:
        await asyncio.sleep(0.8)  # the copy is due after half the aim, 0.5 s
        await line.accept()
        await line.until_closed()

    async def test() -> None:
        servers = [LiveServer(slow), LiveServer(slow)]
        pool = "max_sockets = 10\nsecond_copies = true"
        async with live_site(tmp_path, servers, pool=pool) as site:
            client = await site.connect()
            assert await client.ask_socket() == 101
            assert sum(len(server.lines) for server in servers) == 1
            client.close()

    run(test)


# Room


def test_with_all_places_taken_a_handshake_is_refused_and_requests_go_on(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        if b"websocket" in line.head:
            await listen(line)
        else:
            line.send(OK)
            await line.reader.read()

    async def test() -> None:
        servers = [LiveServer(script), LiveServer(script)]
        pool = "max_sockets = 10\nmax_sockets_per_server = 2"
        async with live_site(tmp_path, servers, pool=pool) as site:
            clients = [await site.open() for _ in range(4)]
            assert [len(server.open) for server in servers] == [2, 2]
            client = await site.connect()
            reply = await client.ask(opening())
            assert reply.status == 503
            assert int(reply.all("Retry-After")[0]) >= 1
            client = await site.connect()
            assert (await client.ask(message("GET /x"))).status == 200
            clients[0].close()
            await closed(site)
            await site.open()

    run(test)


def test_a_tenant_has_its_own_bound(tmp_path: Path) -> None:
    routes = """
[[routes]]
name = "live"
class = "read"
pools = ["main"]
websocket = "live"
tenant = "header:X-Tenant"
"""

    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server], limits="max_per_tenant = 1", routes=routes) as site:
            await site.open("/", "X-Tenant: a")
            client = await site.connect()
            assert await client.ask_socket("/", "X-Tenant: a") == 503
            await site.open("/", "X-Tenant: b")

    run(test)


def test_with_no_descriptor_left_a_handshake_is_refused_and_open_sockets_go_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with live_site(tmp_path, [LiveServer()]) as site:
            held = await site.open()
            client = await site.connect()
            await asyncio.sleep(0.05)  # for the daemon to take the connection
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            spare = [os.open("/dev/null", os.O_RDONLY)]
            resource.setrlimit(resource.RLIMIT_NOFILE, (spare[0], hard))
            try:
                with suppress(OSError):
                    while True:  # holes below
                        spare.append(os.open("/dev/null", os.O_RDONLY))
                reply = await client.ask(opening("/buy"))
                held.send(TEXT, b"still here")
                assert (await held.next()).payload == b"still here"
            finally:
                for number in spare:
                    os.close(number)
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
            assert reply.status == 503
            await site.open()

    run(test)


# Frames


def test_fragments_and_control_frames_between_them(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        async with live_site(tmp_path, [server]) as site:
            client = await site.open()
            client.send(TEXT, b"a", final=False)
            client.send(PING, b"between")
            client.send(CONTINUATION, b"b", final=False)
            client.send(CONTINUATION, b"c")
            got = [await client.next() for _ in range(4)]
            assert [(item.opcode, item.payload, item.final) for item in got if item.opcode != PONG] == [
                (TEXT, b"a", False),
                (CONTINUATION, b"b", False),
                (CONTINUATION, b"c", True),
            ]
            assert [item.payload for item in got if item.opcode == PONG] == [b"between"]
            assert any(item.opcode == PING for item in server.lines[0].frames)
            client.close()

    run(test)


def test_one_byte_at_a_time(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            client = await site.connect()
            for byte in opening():
                client.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await client.reply()).status == 101
            text = "schöne Grüße ⚓".encode()
            for byte in frame(TEXT, text, masked=True) + frame(BINARY, b"\x00" * 300, masked=True):
                client.writer.write(bytes([byte]))
                await asyncio.sleep(0)
            lines = server.lines
            await until(lambda: sum(got.final for got in lines[0].frames) == 2)
            payloads = b"".join(got.payload for got in lines[0].frames)
            assert payloads == text + b"\x00" * 300
            client.close()
            await closed(site)
            assert site.opened[0].peers[0].messages_received == 2
            assert site.opened[0].peers[0].bytes_received == len(text) + 300

    run(test)


def test_a_long_message_is_passed_on_before_it_is_whole(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            client = await site.open()
            data = frame(BINARY, b"z" * 60_000, masked=True)
            client.writer.write(data[:30_000])
            await until(lambda: sum(len(got.payload) for got in server.lines[0].frames) > 20_000)
            client.writer.write(data[30_000:])
            await until(lambda: sum(len(got.payload) for got in server.lines[0].frames) == 60_000)
            client.close()

    run(test)


@pytest.mark.parametrize(
    ("data", "code", "cause"),
    [
        (frame(TEXT, b"hello", masked=False), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(BINARY, b"", masked=True, claimed=1 << 63), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (
            frame(BINARY, b"x" * 70_000, masked=True, claimed=(1 << 63) - 1),
            1009,
            CloseCause.CLIENT_MESSAGE_TOO_BIG,
        ),
        (frame(TEXT, b"\xff\xfe", masked=True), 1007, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(TEXT, b"\xe2\x82", masked=True), 1007, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(CONTINUATION, b"x", masked=True), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (
            frame(TEXT, b"x", final=False, masked=True) + frame(TEXT, b"y", masked=True),
            1002,
            CloseCause.CLIENT_PROTOCOL_ERROR,
        ),
        (frame(PING, b"x" * 126, masked=True), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(PING, b"x", final=False, masked=True), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(TEXT, b"x", masked=True, reserved=4), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(3, b"x", masked=True), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (frame(CLOSE, b"\x03", masked=True), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (close_frame(1005, masked=True), 1002, CloseCause.CLIENT_PROTOCOL_ERROR),
        (close_frame(1000, b"\xff", masked=True), 1007, CloseCause.CLIENT_PROTOCOL_ERROR),
    ],
)
def test_a_client_that_breaks_the_protocol_is_told_its_code(
    tmp_path: Path, data: bytes, code: int, cause: CloseCause
) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            bystander = await site.open()
            client = await site.open()
            client.writer.write(data)
            assert (await client.closed()).code == code
            client.close()
            await closed(site)
            assert site.opened[0].cause is cause
            await until(
                lambda: any(
                    got.opcode == CLOSE and got.code == 1001 for line in server.lines for got in line.frames
                )
            )
            bystander.send(PING, b"alive")
            assert (await bystander.next()).payload == b"alive"

    run(test)


def test_a_server_that_breaks_the_protocol_ends_its_socket_alone(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        await line.accept()
        await line.next()
        line.send(frame(TEXT, b"masked", masked=True))
        await line.until_closed()

    async def test() -> None:
        server = LiveServer(script)
        async with live_site(tmp_path, [server]) as site:
            client = await site.open()
            client.send(TEXT, b"go")
            assert (await client.closed()).code == 1011
            client.close()
            await closed(site)
            assert site.opened[0].cause is CloseCause.SERVER_PROTOCOL_ERROR
            assert [got.code for got in server.lines[0].frames if got.opcode == CLOSE] == [1002]

    run(test)


def test_nothing_behind_a_close_frame_goes_on(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            client = await site.open()
            client.writer.write(
                close_frame(4000, b"done", masked=True) + frame(TEXT, b"after", masked=True) * 50
            )
            got = await client.next()
            assert got.opcode == CLOSE
            assert got.code == 4000
            await closed(site)
            assert [(item.opcode, item.code) for item in server.lines[0].frames] == [(CLOSE, 4000)]
            assert [peer.messages_received for peer in site.opened[0].peers] == [0, 0]

    run(test)


def test_a_flood_behind_a_close_frame_is_not_read_for_ever(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        await line.accept()
        await line.next()
        await line.reader.read()

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)], limits='close_timeout = "300ms"') as site:
            client = await site.open()
            client.writer.write(close_frame(1000, masked=True))

            async def flood() -> None:
                with suppress(ConnectionError):
                    while True:
                        client.writer.write(b"x" * 65536)
                        await client.writer.drain()

            task = asyncio.create_task(flood())
            await closed(site)
            relay_bytes = [peer.bytes_received for peer in site.opened[0].peers]
            assert relay_bytes == [0, 0]
            assert site.opened[0].cause is CloseCause.CLIENT_CLOSED
            task.cancel()

    run(test)


def test_messages_over_the_rate_end_the_socket(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server], limits="messages_per_s = 1\nburst = 5") as site:
            client = await site.open()
            for _ in range(20):
                client.send(TEXT, b"x")
            assert (await client.closed()).code == 1008
            await closed(site)
            assert site.opened[0].cause is CloseCause.MESSAGE_RATE_EXCEEDED
            assert sum(got.opcode == TEXT for got in server.lines[0].frames) <= 6

    run(test)


def test_a_client_that_floods_on_still_gets_the_frame_that_tells_it_why(tmp_path: Path) -> None:
    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(listen)], limits="messages_per_s = 1") as site:
            client = await site.open()
            for _ in range(50):
                for _ in range(100):
                    client.send(TEXT, b"x" * 50)
                await client.writer.drain()
            assert (await client.closed()).code == 1008
            client.close()
            await closed(site)
            assert site.opened[0].cause is CloseCause.MESSAGE_RATE_EXCEEDED

    run(test)


# Back-pressure


def test_a_server_that_floods_a_client_that_reads_nothing_is_held_and_the_client_ended(
    tmp_path: Path,
) -> None:
    sent = 0

    async def script(line: Line) -> None:
        nonlocal sent
        await line.accept()
        with suppress(ConnectionError):
            while True:
                line.send(frame(BINARY, b"f" * 8192))
                await line.writer.drain()
                sent += 8192

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)], limits='slow_timeout = "1s"') as site:
            client = await site.open()
            client.writer.transport.pause_reading()  # type: ignore[attr-defined]
            relays = site.daemon.services.websockets.relays
            held = 0

            async def watch() -> None:
                nonlocal held
                while not site.ended:
                    for relay in relays.values():
                        held = max(held, *(peer.transport.get_write_buffer_size() for peer in relay.peers))
                    await asyncio.sleep(0.001)

            await watch()
            assert site.opened[0].cause is CloseCause.CLIENT_SLOW
            assert HIGH_WATER <= held <= HIGH_WATER + 2 * READ_BYTES <= SESSION_BYTES
            assert site.opened[0].peers[1].bytes_received <= sent + 16_384

    run(test)


def test_a_slow_client_that_keeps_reading_gets_everything_in_order(tmp_path: Path) -> None:
    pieces = 200

    async def script(line: Line) -> None:
        await line.accept()
        for number in range(pieces):
            line.send(frame(BINARY, number.to_bytes(2) + b"f" * 8190))
            await line.writer.drain()
        line.send(close_frame())
        await line.until_closed()

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)]) as site:
            client = await site.open()
            whole = bytearray()
            while True:
                got = await client.next()
                if got.opcode == CLOSE:
                    break
                whole += got.payload
                await asyncio.sleep(0.001)
            assert len(whole) == pieces * 8192
            assert all(whole[n * 8192 : n * 8192 + 2] == n.to_bytes(2) for n in range(pieces))
            client.close()

    run(test)


def test_a_server_that_reads_nothing_holds_the_client_back_and_is_ended(tmp_path: Path) -> None:
    async def script(line: Line) -> None:
        await line.accept()
        line.writer.transport.pause_reading()  # type: ignore[attr-defined]
        await asyncio.sleep(PATIENCE_S)

    async def test() -> None:
        limits = 'slow_timeout = "300ms"\nmessages_per_s = 0'
        async with live_site(tmp_path, [LiveServer(script)], limits=limits) as site:
            client = await site.open()

            async def flood() -> None:
                with suppress(ConnectionError):
                    while True:
                        client.send(BINARY, b"f" * 8192)
                        await client.writer.drain()

            task = asyncio.create_task(flood())
            assert (await client.closed()).code == 1013
            task.cancel()
            await closed(site)
            assert site.opened[0].cause is CloseCause.SERVER_SLOW

    run(test)


# Pings


def test_pings_go_both_ways_and_ours_stay_ours(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server], limits='ping_interval = "100ms"') as site:
            client = await site.open()
            ours = await client.next()
            assert ours.opcode == PING
            assert len(ours.payload) == 8
            client.send(PONG, ours.payload)
            client.send(PING, b"mine")
            while True:
                got = await client.next()
                if got.opcode == PONG:
                    break
                client.send(PONG, got.payload)
            assert got.payload == b"mine"
            assert all(got.payload != ours.payload for got in server.lines[0].frames if got.opcode == PONG)
            server.lines[0].send(frame(PING, b"theirs"))
            while (got := await client.next()).payload != b"theirs":
                client.send(PONG, got.payload)
            client.send(PONG, b"theirs")
            await until(lambda: any(got.payload == b"theirs" for got in server.lines[0].frames))
            client.close()

    run(test)


@pytest.mark.parametrize("who", ["client", "server"])
def test_a_peer_that_vanishes_without_a_word_is_found(tmp_path: Path, who: str) -> None:
    async def script(line: Line) -> None:
        await line.accept()
        if who == "server":
            await asyncio.sleep(PATIENCE_S)  # the connection stays, nothing answers
        await line.until_closed()

    async def test() -> None:
        limits = 'ping_interval = "100ms"\nping_timeout = "300ms"\nclose_timeout = "200ms"'
        async with live_site(tmp_path, [LiveServer(script)], limits=limits) as site:
            client = await site.open()
            if who == "server":
                while (got := await client.next()).opcode != CLOSE:
                    client.send(PONG, got.payload)
                assert got.code == 1012
                assert "retry-after=" in got.reason
            await closed(site)
            wanted = CloseCause.CLIENT_UNRESPONSIVE if who == "client" else CloseCause.SERVER_UNRESPONSIVE
            assert site.opened[0].cause is wanted

    run(test)


# Drains and stops


def test_a_drain_tells_both_peers_and_sends_the_next_socket_elsewhere(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [LiveServer(listen), LiveServer(listen)]
        async with live_site(tmp_path, servers) as site:
            clients = [await site.open() for _ in range(20)]
            count = len(servers[0].lines)
            assert 0 < count < 20
            site.daemon.drain("main", "s0", True)
            await until(
                lambda: all(
                    any(got.opcode == CLOSE and got.code == 1001 for got in line.frames)
                    for line in servers[0].lines
                )
            )
            for _ in range(5):
                await site.open()
            assert len(servers[0].lines) == count
            assert len(clients) == 20
            assert len(site.daemon.services.websockets.relays) >= 5

    run(test)


def test_a_drain_in_mid_message_lets_it_end(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server], limits='close_timeout = "10s"') as site:
            client = await site.open()
            client.send(TEXT, b"half", final=False)
            await until(lambda: bool(server.lines[0].frames))
            site.daemon.drain("main", "s0", True)
            await asyncio.sleep(0.05)
            client.send(CONTINUATION, b"whole")
            assert (await client.closed()).code == 1012
            await closed(site)
            frames = server.lines[0].frames
            assert [got.payload for got in frames[:2]] == [b"half", b"whole"]
            assert frames[1].final
            assert frames[2].opcode == CLOSE
            assert frames[2].code == 1001

    run(test)


def test_a_drain_in_mid_frame_waits_no_longer_than_it_says(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server], limits='close_timeout = "200ms"') as site:
            client = await site.open()
            client.writer.write(frame(BINARY, b"x" * 100, masked=True, claimed=1000))
            await until(lambda: bool(server.lines[0].frames))
            site.daemon.drain("main", "s0", True)
            assert (await client.next()).code == 1012
            await closed(site)
            assert site.opened[0].cause is CloseCause.ENDPOINT_DRAINING

    run(test)


def test_a_drain_between_close_and_its_reply_changes_nothing(tmp_path: Path) -> None:
    release = asyncio.Event()

    async def script(line: Line) -> None:
        await line.accept()
        await line.next()
        await release.wait()
        line.send(close_frame(4002))
        await line.reader.read()

    async def test() -> None:
        async with live_site(tmp_path, [LiveServer(script)]) as site:
            client = await site.open()
            client.writer.write(close_frame(4002, masked=True))
            await until(
                lambda: any(
                    socket.phase is Phase.CLOSING
                    for socket in site.daemon.services.websockets.sessions.sessions.values()
                )
            )
            site.daemon.drain("main", "s0", True)
            await asyncio.sleep(0.05)
            release.set()
            got = await client.next()
            assert got.opcode == CLOSE
            assert got.code == 4002
            await closed(site)
            assert site.opened[0].cause is CloseCause.CLIENT_CLOSED

    run(test)


@pytest.mark.parametrize(("target", "status"), [("/", 101), ("/buy", 502)])
def test_a_handshake_on_its_way_to_a_server_that_drains_goes_elsewhere_or_fails(
    tmp_path: Path, target: str, status: int
) -> None:
    release = asyncio.Event()

    async def late(line: Line) -> None:
        await release.wait()
        await line.accept()
        await line.until_closed()

    async def test() -> None:
        server, other = LiveServer(late), LiveServer(listen)
        async with live_site(tmp_path, [server, other]) as site:
            site.daemon.drain("main", "s1", True)
            client = await site.connect()
            client.writer.write(opening(target))
            await until(lambda: len(server.lines) == 1)
            site.daemon.drain("main", "s1", False)
            site.daemon.drain("main", "s0", True)
            release.set()
            assert (await client.reply()).status == status
            assert len(other.lines) == int(status == 101)
            assert len(server.lines) == 1
            assert len(site.daemon.services.websockets.relays) == len(other.lines)
            client.close()

    run(test)


def test_two_thousand_sockets_on_one_server_that_drains(tmp_path: Path) -> None:
    count = 2000

    async def test() -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        wanted = 8 * count
        if hard != resource.RLIM_INFINITY and hard < wanted:
            pytest.skip(f"needs {wanted} descriptors, and the process may have {hard}")
        resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
        server = LiveServer(listen)
        # on a busy machine opening them takes longer than the usual 20 s, and pings would come ahead
        limits = 'drain_spread = "500ms"\nping_interval = "10m"'
        async with live_site(tmp_path, [server], limits=limits) as site:
            clients = []
            for _ in range(count // 50):
                clients += await asyncio.gather(*(site.open() for _ in range(50)))
            site.daemon.drain("main", "s0", True)
            codes = [got.code for got in await asyncio.gather(*(client.closed() for client in clients))]
            assert codes == [1012] * count
            await closed(site, count)
            assert [socket.cause for socket in site.opened] == [CloseCause.ENDPOINT_DRAINING] * count
            # on a slow machine a handshake may be given up at its aim and tried again: no frame comes there
            told = [line for line in server.lines if line.frames]
            assert len(told) == count
            assert all([got.code for got in line.frames] == [1001] for line in told)

    run(test)


def test_a_server_that_is_gone_ends_its_sockets_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [LiveServer(listen), LiveServer(listen)]
        async with live_site(tmp_path, servers, limits='drain_grace = "1h"') as site:
            clients = [await site.open() for _ in range(10)]
            rows = f'{{ id = "s1", address = "{servers[1].address}" }}'
            assert await site.change(servers=rows)
            here = len(servers[0].lines)
            assert 0 < here < 10
            await closed(site, here)
            assert {socket.cause for socket in site.opened} == {CloseCause.ENDPOINT_REMOVED}
            assert len(clients) - here == len(site.daemon.services.websockets.relays)
            for line in servers[1].lines:  # with an hour to end by themselves, the stop would wait for them
                line.reset()
            await closed(site, 10)

    run(test)


def test_a_server_that_dies_sends_its_clients_elsewhere(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            client = await site.open()
            server.lines[0].reset()
            got = await client.closed()
            assert got.code == 1012
            assert "retry-after=" in got.reason
            await closed(site)
            assert site.opened[0].cause is CloseCause.SERVER_LOST

    run(test)


def test_a_client_that_breaks_off_is_told_to_the_server(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer(listen)
        async with live_site(tmp_path, [server]) as site:
            client = await site.open()
            client.writer.transport.abort()
            await closed(site)
            assert site.opened[0].cause is CloseCause.CLIENT_LOST
            assert [got.code for got in server.lines[0].frames] == [1001]

    run(test)


def test_a_reload_keeps_sockets_and_one_that_drops_their_route_ends_them(tmp_path: Path) -> None:
    async def test() -> None:
        async with live_site(tmp_path, [LiveServer()]) as site:
            client = await site.open()
            assert await site.change(limits="burst = 7")
            client.send(TEXT, b"still")
            assert (await client.next()).payload == b"still"
            routes = '[[routes]]\nname = "live"\nclass = "read"\npools = ["main"]\n'
            assert await site.change(routes=routes)
            assert (await client.closed()).code == 1012
            await closed(site)
            assert site.opened[0].cause is CloseCause.ROUTE_REMOVED

    run(test)


def test_a_reload_with_other_settings_of_the_pool_keeps_its_sockets(tmp_path: Path) -> None:
    async def test() -> None:
        async with live_site(tmp_path, [LiveServer()]) as site:
            client = await site.open()
            assert await site.change(pool="max_sockets = 1\nattempts = 2")
            client.send(TEXT, b"still")
            assert (await client.next()).payload == b"still"
            other = await site.connect()
            assert await other.ask_socket() == 503
            client.close()

    run(test)


def test_a_stop_tells_every_client_and_leaves_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with live_site(tmp_path, [LiveServer()], limits='drain_spread = "100ms"') as site:
            clients = [await site.open() for _ in range(30)]
            stopping = asyncio.create_task(site.daemon.stop())
            assert [(await client.closed()).code for client in clients] == [1012] * 30
            await stopping
            assert [socket.cause for socket in site.opened] == [CloseCause.SHUTDOWN] * 30

    run(test)


# The log


def test_with_its_log_full_a_daemon_opens_no_further_socket(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with live_site(tmp_path, [LiveServer()]) as site:
            held = await site.open()
            monkeypatch.setattr(event_log, "MAX_QUEUED_LINES", 0)
            client = await site.connect()
            assert await client.ask_socket() == 503
            monkeypatch.undo()
            held.send(TEXT, b"goes on")
            assert (await held.next()).payload == b"goes on"
            held.close()

    run(test)


def test_every_socket_has_one_line_that_tells_all_of_it(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        async with live_site(tmp_path, [server]) as site:
            client = await site.open("/", "X-Request-Id: abc-1")
            client.send(TEXT, b"hello")
            await client.next()
            client.writer.write(close_frame(4003, masked=True))
            await client.closed()
            await closed(site)
            line = site.lines[0]
            for part in (
                "id=abc-1",
                "listener=web",
                "route=live",
                "client_messages=1",
                "client_bytes=5",
                "server_messages=1",
                "server_bytes=5",
                "client_close=4003/4003",
                "server_close=4003/4003",
                'cause="closed by the client"',
            ):
                assert part in line
            assert site.opened[0].peers[CLIENT].close_received == 4003

    run(test)


def test_whatever_clients_do_the_ledger_comes_out_even(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [LiveServer(), LiveServer(listen)]
        async with live_site(tmp_path, servers, limits='close_timeout = "300ms"') as site:

            async def one(number: int) -> None:
                client = await site.open()
                for _ in range(number % 3):
                    client.send(TEXT, b"x")
                if number % 4 == 0:
                    client.writer.transport.abort()
                elif number % 4 == 1:
                    client.writer.write(close_frame(masked=True))
                    await client.closed()
                elif number % 4 == 2:
                    client.writer.write(frame(TEXT, b"unmasked"))
                    await client.closed()
                else:
                    client.close()

            await asyncio.gather(*(one(number) for number in range(60)))
            await closed(site, 60)
            assert len(site.opened) == 60
            assert all(socket.phase is Phase.ENDED and socket.cause for socket in site.ended)
            opened = sum(len(server.lines) for server in servers)
            assert opened >= 60  # a handshake that a busy machine keeps for too long goes elsewhere

    run(test)


def test_a_stop_waits_for_the_servers_side_of_a_socket_whose_client_has_gone(tmp_path: Path) -> None:
    """Hazard: with its client gone no connection is counted any more, and its line was never written."""

    async def test() -> None:
        async def deaf(line: Line) -> None:
            await line.accept()
            await asyncio.Event().wait()  # it never answers a close

        async with live_site(tmp_path, [LiveServer(deaf)], limits='close_timeout = "200ms"') as site:
            client = await site.open()
            client.writer.transport.abort()
            await until(lambda: not site.daemon.services.listeners.connection_count())
            assert site.daemon.services.websockets.sessions.sessions  # and none, asserted once it has stopped
        assert [socket.phase for socket in site.ended] == [Phase.ENDED]

    run(test)
