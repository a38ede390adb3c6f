"""The real sidecar over loopback sockets: clients that send what is not accepted, or stay idle."""

from __future__ import annotations

import asyncio
import time

import pytest

from plovertrail.decisions.settings import RequestClass
from plovertrail.listeners import connection_state
from plovertrail.listeners.platform_request_reader import MAX_HEAD_BYTES
from plovertrail.listeners.platform_requests import RecentRequestIds
from tests.net import (
    OK,
    Sidecar,
    Upstream,
    answering,
    read_message,
    request,
    sidecar,
    until,
)
from tests.sidecar.common import released_by, run, status


@pytest.mark.parametrize(
    ("data", "expected"),
    [
        (b"noise\r\n\r\n", 400),
        (request("read").replace(b"read", b"gone"), 404),
        (request("read").replace(b"X-Class: read", b"X-Class: pay"), 404),
        (request("read").replace(b"X-Class: read\r\n", b""), 404),
        (request("read").replace(b"/read/it", b"read/it"), 400),
        (request("read", extra="X-Class: read\r\n"), 400),
        (request("read", extra="X-Request-Id: 2\r\n"), 400),
        (request("read", extra="X-Deadline-Ms: 15000\r\n"), 400),
        (request("read", ident="a b"), 400),
        (request("read", extra="X-Note: \xe4\r\n"), 400),
        (request("read", extra="Content-Length: 2\r\n") + b"ab", 400),
        (request("read").replace(b"HTTP/1.1", b"HTTP/2.0"), 400),
        (b"GET /read\r\n\r\n", 400),
        (request("read", extra="Connection: upgrade\r\nUpgrade: h2c\r\n"), 400),
        (b"CONNECT read:1 HTTP/1.1\r\nHost: x\r\n\r\n", 400),
        (request("pay", extra="Idempotency-Key: k\r\n"), 400),
        (request("read", deadline_ms=10**12), 400),
        (request("pay", extra="Content-Length: 0\r\n"), 400),
        (request("pay").replace(b"Content-Length: 0", b"Content-Length: +4") + b"abcd", 400),
        (request("pay", body=b"abcd").replace(b"Length: 4", b"Length: 2"), 400),  # what follows is no request
        (
            request("pay").replace(b"Content-Length: 0", b"Content-Length: 60000000"),
            413,
        ),  # at once, at its head
        (request("read", ident=""), 400),
        (request("read", deadline_ms="soon"), 400),
        (request("read", deadline_ms=-5), 400),
        (request("mark").replace(b"Idempotency-Key", b"Other"), 400),
        (request("pay").replace(b"POST", b"GET"), 400),
        (request("pay").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + b"0\r\n\r\n", 400),
        (request("pay").replace(b"Content-Length: 0", b"Content-Length: -1"), 400),
        (request("pay", body=b"x" * 70_000), 413),
        (b"GET /read HTTP/1.1\r\nX-Endless: " + b"x" * 20_000, 413),
        (request("read", extra="ab:cd\r\n" * 3_000), 413),  # complete, and most of it in one read
        (request("read", extra="X-Long: " + "x" * 20_000 + "\r\n"), 413),
        (request("read").replace(b"?x=1", b"?" + b"x" * 20_000), 413),
    ],
)
def test_input_that_is_not_taken_gets_an_error_and_the_end_of_its_connection(
    data: bytes, expected: int
) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(data)
            answer = await reader.read()
            writer.close()
            assert int(answer.split(b" ")[1]) == expected
            assert b"Connection: close" in answer
            assert upstream.requests == []
            assert status(await it.ask(request())) == 200

    run(test)


@pytest.mark.parametrize("extra", ["ab:cd\r\n" * 2_300, "X-Long: " + "x" * 16_100 + "\r\n"])
@pytest.mark.parametrize("piece_bytes", [1_000_000, 5_000])
def test_a_head_within_the_limit_is_served_however_many_headers_it_has(extra: str, piece_bytes: int) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            data = request("pay", extra=extra, body=b"x" * 60_000)
            reader, writer = await it.connect()
            for begin in range(0, len(data), piece_bytes):
                writer.write(data[begin : begin + piece_bytes])
                await asyncio.sleep(0.005)
            assert status(await read_message(reader)) == 200
            writer.close()
        head, body = upstream.requests[0]
        name, _colon, _rest = extra.partition(":")
        assert head.count(f"\r\n{name}:".encode()) == extra.count("\r")
        assert len(body) == 60_000

    run(test)


def test_of_pipelined_requests_the_first_is_served_and_the_next_turned_away() -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request(ident="1") + request(ident="2"))
            answers = await reader.read()
            writer.close()
        assert [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]] == [b"200", b"400"]
        assert len(upstream.requests) == 1

    run(test)


@pytest.mark.parametrize("piece_bytes", [1_000_000, MAX_HEAD_BYTES, 5_000])
@pytest.mark.parametrize(("head_bytes", "expected"), [(MAX_HEAD_BYTES, 200), (MAX_HEAD_BYTES + 1, 413)])
def test_the_limit_on_a_head_is_the_same_however_it_is_cut(
    head_bytes: int, expected: int, piece_bytes: int
) -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            missing = head_bytes - len(request("pay", ident="7", extra="X-Long: \r\n"))
            data = request("pay", ident="7", extra="X-Long: " + "x" * missing + "\r\n")
            assert len(data) == head_bytes
            reader, writer = await it.connect()
            for begin in range(0, len(data), piece_bytes):
                writer.write(data[begin : begin + piece_bytes])
                await asyncio.sleep(0.005)
            assert status(await read_message(reader)) == expected
            writer.close()

    run(test)


async def forwarded_request(
    it: Sidecar, upstream: Upstream, extra: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Send a request, and return its connection once the upstream has it."""
    reader, writer = await it.connect()
    writer.write(request("pay", body=b"ab", extra=extra))
    await until(lambda: len(upstream.requests) == 1)
    return reader, writer


# Guards against a request that was cut off at a length that is too small, forwarded, and served.
@pytest.mark.parametrize("rest", [b"cd", b"\r\ncd", b"\x00", b"cd" * 50_000])
@pytest.mark.parametrize("extra", ["", "Connection: close\r\n"])
def test_a_request_that_goes_on_behind_its_length_is_not_served(rest: bytes, extra: str) -> None:
    async def test() -> None:
        held = asyncio.Event()
        upstream = Upstream(released_by(held))
        async with sidecar(upstream) as it:
            reader, writer = await forwarded_request(it, upstream, extra)
            writer.write(rest)
            assert status(await read_message(reader)) == 400
            held.set()
            assert await reader.read() == b""
            writer.close()
            assert status(await it.ask(request())) == 200
        assert len(upstream.requests) == 2

    run(test)


ANOTHER = request("read", ident="another")
# a body that goes on like these behind its length must not be taken for a request and a further one
NO_WHOLE_REQUESTS = [
    b"\r\n",
    b"\r\n\r\n",
    b"P",
    b"GET",
    b"DELETE ",
    b"\r\nGET / H",
    ANOTHER[:9],
    ANOTHER[:-1],
    request("pay", ident="another", body=b"ab")[:-1],
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",  # none that the listener accepts
]
SHORT_DEADLINE_MS = 100
OWED_WITHIN_S = 3.0  # for an error to a bad client


# Guards against a request that is forwarded cut off at a length that is too small, as the rest of its body
# begins like a further request.
@pytest.mark.parametrize("rest", NO_WHOLE_REQUESTS)
@pytest.mark.parametrize("extra", ["", "Connection: close\r\n"])
@pytest.mark.parametrize("cut", [0, 1, 6])
def test_a_request_is_not_forwarded_if_what_follows_it_in_a_read_is_no_whole_request(
    rest: bytes, extra: str, cut: int
) -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            data = request("pay", body=b"ab", extra=extra, deadline_ms=SHORT_DEADLINE_MS) + rest
            begin = data.index(b"\r\n\r\n") + cut - 2 if cut else 0  # within or behind the empty line
            writer.write(data[:begin])
            await asyncio.sleep(0.005 if begin else 0)
            writer.write(data[begin:])
            answer = await reader.read()
            assert [part[:3] for part in answer.split(b"HTTP/1.1 ")[1:]] == [b"400"]
            writer.close()
            assert upstream.requests == []
            assert status(await it.ask(request())) == 200

    run(test)


# Guards against a request that was cut off and is served, as the rest of its body came later and begins
# like a further request.
@pytest.mark.parametrize("rest", NO_WHOLE_REQUESTS)
@pytest.mark.parametrize("extra", ["", "Connection: close\r\n"])
def test_a_request_is_not_served_if_what_follows_it_is_no_whole_request(rest: bytes, extra: str) -> None:
    async def test() -> None:
        held = asyncio.Event()
        upstream = Upstream(released_by(held))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", body=b"ab", extra=extra, deadline_ms=3 * SHORT_DEADLINE_MS))
            await until(lambda: len(upstream.requests) == 1)
            writer.write(rest)
            await asyncio.sleep(0.02)
            held.set()
            answer = await reader.read()
            assert [part[:3] for part in answer.split(b"HTTP/1.1 ")[1:]] == [b"400"]
            writer.close()

    run(test)


# Guards against a fix of the above that turns clients away which send a further request too soon.
@pytest.mark.parametrize("rest", [ANOTHER, ANOTHER + b"noise", b"\r\n" + ANOTHER, request("pay", body=b"ab")])
@pytest.mark.parametrize("extra", ["", "Connection: close\r\n"])
def test_a_request_is_served_if_what_follows_it_is_another(rest: bytes, extra: str) -> None:
    async def test() -> None:
        held = asyncio.Event()
        upstream = Upstream(released_by(held))
        async with sidecar(upstream) as it:
            reader, writer = await forwarded_request(it, upstream, extra)
            for at in range(len(rest)):
                writer.write(rest[at : at + 1])
                await asyncio.sleep(0)
            await asyncio.sleep(0.02)
            held.set()
            assert status(await read_message(reader)) == 200
            writer.close()

    run(test)


# Guards against bad clients that are answered late, as they have given their requests much time.
@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_request_with_much_time_is_rejected_once_nothing_follows_a_part_of_another(
    is_forwarded: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        held = asyncio.Event()
        upstream = Upstream(released_by(held))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            first = request("pay", body=b"ab")
            writer.write(first if is_forwarded else first + ANOTHER[:5])
            if is_forwarded:
                await until(lambda: len(upstream.requests) == 1)
                writer.write(ANOTHER[:5])
                await asyncio.sleep(0.02)
                held.set()
            began = time.monotonic()
            for byte in ANOTHER[5:9]:  # while bytes come, it waits
                await asyncio.sleep(0.6 * connection_state.READ_GAP_TIMEOUT_S)
                writer.write(bytes([byte]))
            last_byte_s = time.monotonic()
            assert status(await read_message(reader)) == 400
            assert time.monotonic() - began > 3 * connection_state.READ_GAP_TIMEOUT_S
            assert time.monotonic() - last_byte_s < OWED_WITHIN_S
            writer.close()
            assert len(upstream.requests) == int(is_forwarded)

    monkeypatch.setitem(connection_state.STATE_TIMEOUTS_S, connection_state.ConnectionState.NEW, 60.0)
    run(test)


@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_request_is_served_once_what_follows_it_is_another(is_forwarded: bool) -> None:
    async def test() -> None:
        held = asyncio.Event()
        upstream = Upstream(released_by(held))
        async with sidecar(upstream) as it:
            reader, writer = await it.connect()
            first = request("pay", body=b"ab")
            writer.write(first if is_forwarded else first + ANOTHER[:5])
            if is_forwarded:
                await until(lambda: len(upstream.requests) == 1)
                writer.write(ANOTHER[:5])
            await asyncio.sleep(0.05)
            held.set()
            await asyncio.sleep(0.05)
            assert len(upstream.requests) == int(is_forwarded)
            writer.write(ANOTHER[5:])
            answers = await reader.read()
            assert [part[:3] for part in answers.split(b"HTTP/1.1 ")[1:]] == [b"200", b"400"]
            assert [body for _head, body in upstream.requests] == [b"ab"]
            writer.close()

    run(test)


def test_the_id_of_another_open_request_does_not_go_out_again() -> None:
    async def test() -> None:
        held = asyncio.Event()

        upstreams = [Upstream(released_by(held)), Upstream(released_by(held))]
        async with sidecar(*upstreams) as it:
            reader, writer = await it.connect()
            writer.write(request("pay", "7"))
            await until(lambda: any(upstream.requests for upstream in upstreams))
            assert status(await it.ask(request("mark", "7"))) == 409
            held.set()
            assert status(await read_message(reader)) == 200
            assert status(await it.ask(request("mark", "7"))) == 409  # nor soon after
            writer.close()
        assert sum(len(upstream.requests) for upstream in upstreams) == 1

    run(test)


# Guards against an unsafe request that runs twice, as its id comes again after its client has left.
def test_an_id_that_has_run_does_not_run_again_after_its_client_has_left() -> None:
    async def test() -> None:
        upstream = Upstream(released_by(asyncio.Event()))
        short = [RequestClass("pay", 100_000, 200_000, effect="at_most_once")]
        async with sidecar(upstream, classes=short) as it:
            _reader, writer = await it.connect()
            writer.write(request("pay", ident="7", deadline_ms=200))
            await until(lambda: len(upstream.requests) == 1)
            writer.close()
            await asyncio.sleep(1.0)
            assert status(await it.ask(request("pay", ident="7", deadline_ms=200))) == 409
        assert len(upstream.requests) == 1

    run(test)


def test_ids_are_forgotten_again(monkeypatch: pytest.MonkeyPatch) -> None:
    now = 0.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    seen = RecentRequestIds(period_s=4.0)
    for number in range(1000):
        now = number / 10
        assert seen.add(b"%d" % number)
        assert not seen.add(b"%d" % max(0, number - 30))
    assert len(seen.current) + len(seen.previous) < 100
    assert seen.add(b"1")


@pytest.mark.parametrize("part", [b"", b"POST /pay HT", request("pay", body=b"abc")[:-1]])
def test_a_client_that_says_nothing_or_half_of_it_is_ended_in_time(
    part: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(connection_state.STATE_TIMEOUTS_S, connection_state.ConnectionState.NEW, 0.2)

    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            writer.write(part)
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 408 ") if part else answer == b""
            writer.close()

    run(test)


def test_a_long_time_is_cut_to_that_of_the_class() -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        async with sidecar(upstream, classes=[RequestClass("read", 100_000, 5_000_000)]) as it:
            assert status(await it.ask(request(deadline_ms=999_999_999))) == 200
        head = upstream.requests[0][0]
        assert int(head.split(b"X-Deadline-Ms: ")[1].split(b"\r\n")[0]) <= 5_000

    run(test)


def test_what_comes_behind_an_error_is_not_read_on() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:
            reader, writer = await it.connect()
            writer.write(request("pay").replace(b"Content-Length: 0", b"Content-Length: 60000000"))
            assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 413 ")
            sent = 0
            try:
                while True:  # until it is cut off
                    writer.write(b"x" * 65_536)
                    sent += 65_536
                    await writer.drain()
            except ConnectionError:
                pass
            assert sent < 30_000_000  # what fits into the buffers of both ends

    run(test)


def test_in_a_crowd_the_first_answer_on_a_connection_is_its_last() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:  # 200 descriptors
            first = await it.connect()
            first[1].write(request())
            assert b"Connection: close" not in (await read_message(first[0]))[0]
            silent_ones = [await it.connect() for _ in range(60)]
            assert b"Connection: close" in (await it.ask(request()))[0]
            first[1].write(request())  # one that is in use stays
            assert b"Connection: close" not in (await read_message(first[0]))[0]
            for _, writer in (first, *silent_ones):
                writer.close()

    run(test)


def test_the_connection_used_last_stays_when_room_is_made() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:  # 200 descriptors
            first = await it.connect()
            others = [await it.connect() for _ in range(90)]

            async def use(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
                assert status(await read_message(reader)) == 200

            for each in (*others, first):
                await use(*each)
            for _ in range(30):
                others.append(await it.connect())
                await use(*others[-1])
            assert await others[0][0].read() == b""
            await use(*first)
            for _, writer in (first, *others):
                writer.close()

    run(test)


def test_many_idle_clients_make_room_for_new_ones() -> None:
    async def test() -> None:
        async with sidecar(Upstream(answering(OK))) as it:  # 200 descriptors
            idle = [await it.connect() for _ in range(150)]
            assert status(await it.ask(request())) == 200
            assert await idle[0][0].read() == b""
            for _, writer in idle:
                writer.close()

    run(test)
