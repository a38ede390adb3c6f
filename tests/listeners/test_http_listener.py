"""Tests of HTTP listeners over loopback sockets: forwarded requests, responses and rejected requests."""

from __future__ import annotations

import asyncio
import tracemalloc
from pathlib import Path

import pytest

from fakes.web import ERROR, NOT_RUN, OK, Arrival, Line, WebServer, always, slowly
from plovertrail.decisions.response_attribution import INITIAL_REUSE_DELAY_US, MIN_SAMPLES
from plovertrail.listeners.http_listener import HttpListener
from tests.daemons import Held, message, run, running
from tests.net import until

MAX_HEAD_BYTES = 16 * 1024  # by default
KEPT_BYTES = 200_000
CLIENTS = 50
CHUNKED_HEAD = b"POST /buy HTTP/1.1\r\nHost: shop.example\r\nTransfer-Encoding: chunked\r\n\r\n"
REUSE_DELAY_S = INITIAL_REUSE_DELAY_US / 1e6  # after it a connection may be used again


def echo(server: WebServer, arrival: Arrival, line: Line) -> bytes:
    """Respond with the target and the body of the request."""
    body = arrival.target + b"|" + arrival.body
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


def test_response_is_forwarded_without_hop_by_hop_headers(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(
            always(
                b"HTTP/1.1 418 I'm a Teapot\r\nSet-Cookie: a=1\r\nSet-Cookie: b=2\r\nX-Own: 1\r\n"
                b'Connection: X-Own\r\nKeep-Alive: timeout=5\r\nETag: "e"\r\n'
                b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"
            )
        )
        async with running(tmp_path, {"main": [server]}) as it:
            reply = await it.ask(message("GET /"))
        assert reply.status == 418
        assert reply.body == b"abc"
        assert reply.all("Set-Cookie") == ["a=1", "b=2"]
        assert reply.all("ETag") == ['"e"']
        for removed in ("X-Own", "Keep-Alive", "Transfer-Encoding", "X-Trailer"):
            assert not reply.all(removed)

    run(test)


def test_request_is_forwarded_with_end_to_end_headers(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(echo)
        async with running(tmp_path, {"main": [server]}, listener='forwarded = "x-forwarded-for"') as it:
            reply = await it.ask(
                message(
                    "POST /buy/%7Ex/../a?q=%2e&r",
                    "X-Own: 1",
                    "Connection: X-Own",
                    "TE: x",
                    "X-Forwarded-For: 6.6.6.6",
                    "Cookie: c",
                    body=b"body",
                    host="Shop.Example:80",
                )
            )
            second_reply = await it.ask(message("GET /", "X-Request-Id: mine"))
        assert reply.body == b"/buy/a?q=%2e&r|body"
        assert second_reply.status == 200
        first, second = server.arrivals
        assert first.all("Host") == [b"Shop.Example:80"]
        assert first.all("Cookie") == [b"c"]
        assert first.all("X-Forwarded-For") == [b"127.0.0.1"]  # the client's own value is not trusted
        assert not first.all("X-Own")
        assert not first.all("TE")
        assert len(first.all("X-Request-Id")[0]) == 32
        assert second.all("X-Request-Id") == [b"mine"]
        assert 0 < int(first.all("X-Deadline-Ms")[0]) <= 15_000

    run(test)


@pytest.mark.parametrize(
    ("setting", "name", "value"),
    [
        ('forwarded = "x-forwarded-for"\ntrust_forwarded = true', "X-Forwarded-For", b"6.6.6.6, 127.0.0.1"),
        ('forwarded = "forwarded"', "Forwarded", b'for=127.0.0.1;proto=http;host="shop.example"'),
        ('forwarded = "off"', "X-Forwarded-For", b"6.6.6.6"),
    ],
)
def test_forwarded_header_follows_the_listener_settings(
    tmp_path: Path, setting: str, name: str, value: bytes
) -> None:
    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}, listener=setting) as it:
            await it.ask(message("GET /", "X-Forwarded-For: 6.6.6.6"))
        assert server.arrivals[0].all(name) == [value]

    run(test)


def test_a_client_may_shorten_its_deadline(tmp_path: Path) -> None:
    def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        return b"" if arrival.target == b"/buy/silent" else OK

    async def test() -> None:
        server = WebServer(script)
        async with running(tmp_path, {"main": [server]}) as it:
            assert (await it.ask(message("POST /buy", "X-Deadline-Ms: 99999999"))).status == 200
            assert (await it.ask(message("POST /buy", "X-Deadline-Ms: soon"))).status == 400
            assert (await it.ask(message("POST /buy/silent", "X-Deadline-Ms: 600"))).status == 504
        longer, shorter = (int(arrival.all("X-Deadline-Ms")[0]) for arrival in server.arrivals)
        assert 600 < longer <= 15_000
        assert 0 < shorter <= 600

    run(test)


def test_head_requests_and_responses_without_a_body(tmp_path: Path) -> None:
    def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        return {
            b"/304": b"HTTP/1.1 304 Not Modified\r\nETag: x\r\nContent-Length: 9\r\n\r\n",
            b"/204": b"HTTP/1.1 204 No Content\r\n\r\n",
            b"/100": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK,
            b"/head": b"HTTP/1.1 200 OK\r\nContent-Length: 7000000\r\n\r\n",
        }[arrival.target]

    async def test() -> None:
        server = WebServer(script)
        async with running(tmp_path, {"main": [server]}) as it:
            client = await it.connect()
            for _ in range(MIN_SAMPLES):  # each asks to close its connection
                await client.ask(message("HEAD /head"))
            server.connections = server.count = 0
            for _ in range(2):  # on one connection: the next response begins at the right byte
                await asyncio.sleep(REUSE_DELAY_S)
                head = await client.ask(message("HEAD /head"))
                assert head.status == 200
                assert head.all("Content-Length") == ["7000000"]
                await asyncio.sleep(REUSE_DELAY_S)
                unchanged = await client.ask(message("GET /304"))
                assert unchanged.status == 304
                assert unchanged.all("ETag") == ["x"]
                await asyncio.sleep(REUSE_DELAY_S)
                empty = await client.ask(message("GET /204"))
                assert empty.status == 204
                assert not empty.all("Content-Length")
                await asyncio.sleep(REUSE_DELAY_S)
                hinted = await client.ask(message("GET /100"))
                assert hinted.body == b"hello"
                assert not hinted.all("Link")
            client.close()
        assert server.connections == 1
        assert server.count == 8

    run(test)


def test_response_may_be_delimited_by_connection_close(tmp_path: Path) -> None:
    async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        line.write(b"HTTP/1.0 200 OK\r\n\r\nhalf ")
        await asyncio.sleep(0.02)
        line.write(b"and half")
        assert line.transport is not None
        line.transport.write_eof()
        return b""

    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer(script)]}) as it:
            reply = await it.ask(message("GET /"))
        assert (reply.status, reply.body) == (200, b"half and half")

    run(test)


def test_truncated_or_oversized_response_is_reported_as_502(tmp_path: Path) -> None:
    def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        if arrival.target == b"/buy/long":
            return b"HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n"
        line.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
        assert line.transport is not None
        line.transport.write_eof()
        return b""

    async def test() -> None:
        server = WebServer(script)
        async with running(tmp_path, {"main": [server]}, head='[limits]\nmax_answer = "1KiB"\n') as it:
            assert (await it.ask(message("POST /buy/cut"))).status == 502
            assert (await it.ask(message("POST /buy/long"))).status == 502
        assert server.count == 2

    run(test)


# Guards against clients that are served a body cut off at a length that is too small.
def test_a_response_longer_than_its_length_is_reported_as_502(tmp_path: Path) -> None:
    def script(_server: WebServer, arrival: Arrival, _line: Line) -> bytes:
        return OK.replace(b"Length: 5", b"Length: 4") if arrival.target == b"/buy/cut" else OK

    async def test() -> None:
        server = WebServer(script)
        async with running(tmp_path, {"main": [server]}) as it:
            for _ in range(MIN_SAMPLES):
                assert (await it.ask(message("POST /buy/whole"))).status == 200
            assert (await it.ask(message("POST /buy/cut"))).status == 502

    run(test)


def test_http_1_0_keep_alive_and_close(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer()]}) as it:
            client = await it.connect()
            kept_alive = await client.ask(b"GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
            assert kept_alive.all("Connection") == ["keep-alive"]
            last = await client.ask(b"GET / HTTP/1.0\r\n\r\n")
            assert last.all("Connection") == ["close"]
            assert await client.ended()
            client = await it.connect()
            assert (await client.ask(message("GET /", "Connection: close"))).all("Connection") == ["close"]
            assert await client.ended()

    run(test)


def test_pipelined_requests_are_answered_in_their_order(tmp_path: Path) -> None:
    async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        await asyncio.sleep(0.03 if arrival.target == b"/buy/0" else 0)
        return echo(server, arrival, line)

    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer(script)]}) as it:
            client = await it.connect()
            whole = b"".join(message(f"POST /buy/{n}", body=b"%d" % n) for n in range(8))
            client.writer.write(whole[:-40])
            await asyncio.sleep(0.01)
            client.writer.write(whole[-40:])
            replies = [await client.reply() for _ in range(8)]
            assert [reply.body for reply in replies] == [b"/buy/%d|%d" % (n, n) for n in range(8)]
            client.writer.write(message("GET /1") + message("GET /none", host="") + message("GET /2"))
            assert [(await client.reply()).status for _ in range(3)] == [200, 400, 200]
            client.writer.write(message("GET /3") + b"noise\r\n\r\n" + message("GET /4"))
            assert [(await client.reply()).status for _ in range(2)] == [200, 400]
            assert await client.ended()

    run(test)


FOLLOWING = message("GET /following")
NO_WHOLE_REQUESTS = [
    b"\r\n",
    b"\r\n\r\n",
    b"P",
    b"GET",
    b"noise\r\n\r\n",
    b"GET / H",
    FOLLOWING[:-1],
    message("POST /x", body=b"ab")[:-1],
]
FRAMINGS = ["", "Connection: close"]


# Guards against a request that is forwarded cut off at a length that is too small, as the rest of its body
# begins like a further request.
@pytest.mark.parametrize("rest", NO_WHOLE_REQUESTS)
@pytest.mark.parametrize("header", FRAMINGS)
def test_a_request_is_not_forwarded_if_what_follows_it_in_a_read_is_no_whole_request(
    tmp_path: Path, rest: bytes, header: str
) -> None:
    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}, listener='read_timeout = "300ms"') as it:
            client = await it.connect()
            client.writer.write(
                message("GET /first") + message("POST /buy", *filter(None, [header]), body=b"1") + rest
            )
            replies = [(await client.reply()).status for _ in range(2)]
            assert replies[0] == 200
            assert replies[1] in (400, 408)
            assert await client.ended()
            assert [arrival.target for arrival in server.arrivals] == [b"/first"]

    run(test)


# Guards against a request that was cut off and is served, as the rest of its body came later.
@pytest.mark.parametrize("rest", NO_WHOLE_REQUESTS)
@pytest.mark.parametrize("header", FRAMINGS)
def test_a_request_is_not_served_if_what_follows_it_is_no_whole_request(
    tmp_path: Path, rest: bytes, header: str
) -> None:
    async def test() -> None:
        held = Held()
        async with running(tmp_path, {"main": [held.server]}) as it:
            client = await it.connect()
            client.writer.write(
                message("POST /buy", "X-Deadline-Ms: 400", *filter(None, [header]), body=b"1")
            )
            await until(lambda: len(held.server.arrivals) == 1)
            client.writer.write(rest)
            await asyncio.sleep(0.02)
            held.release.release()
            assert (await client.reply()).status == 400
            assert await client.ended()

    run(test)


@pytest.mark.parametrize("header", FRAMINGS)
@pytest.mark.parametrize("is_forwarded", [False, True])
def test_a_request_is_served_once_what_follows_it_is_another(
    tmp_path: Path, is_forwarded: bool, header: str
) -> None:
    async def test() -> None:
        held = Held()
        async with running(tmp_path, {"main": [held.server]}) as it:
            client = await it.connect()
            first = message("POST /buy", *filter(None, [header]), body=b"1")
            client.writer.write(first if is_forwarded else first + FOLLOWING[:7])
            if is_forwarded:
                await until(lambda: len(held.server.arrivals) == 1)
                client.writer.write(FOLLOWING[:7])
            held.release.release()
            held.release.release()
            await asyncio.sleep(0.05)
            assert len(held.server.arrivals) == int(is_forwarded)
            client.writer.write(FOLLOWING[7:])
            for _ in range(1 if header else 2):
                assert (await client.reply()).status == 200
            if header:
                assert await client.ended()

    run(test)


# Guards against memory that grows with the number of clients which stop half way through a large request.
def test_the_clients_that_have_stalled_longest_are_rejected_over_the_limit_of_all(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        head = '[limits]\nmax_incomplete = "1MiB"\nmax_body = "512KiB"\n'
        async with running(tmp_path, {"main": [server]}, head=head) as it:
            half = message("POST /buy", body=b"x" * 400_000)[:-1]
            clients = [await it.connect() for _ in range(4)]
            for client in clients:
                client.writer.write(half)
                await client.writer.drain()
                await asyncio.sleep(0.05)
            for client in clients[:2]:  # over 1 MiB with the third, and again with the fourth
                reply = await client.reply()
                assert reply.status == 503
                assert reply.all("Retry-After")
                assert await client.ended()
            for client in clients[2:]:
                assert (await client.ask(b"x")).status == 200
            assert (await it.ask(message("GET /1"))).status == 200
            assert it.daemon.dispatcher.problems.counts["request_rejected_for_memory"] == 2
            [listener] = it.daemon.services.listeners.active.values()
            assert isinstance(listener, HttpListener)
            assert listener.incomplete.total_bytes == 0
            assert len(server.arrivals) == 3

    run(test)


def test_expect_100_continue(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(echo)
        async with running(tmp_path, {"main": [server]}) as it:
            client = await it.connect()
            client.writer.write(
                b"POST /buy HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n"
            )
            assert (await client.reply()).status == 100
            assert (await client.ask(b"abc")).body == b"/buy|abc"
            assert not server.arrivals[0].all("Expect")
            too_long = await client.ask(
                b"POST /buy HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 99999999\r\n\r\n"
            )
            assert too_long.status == 413
            assert await client.ended()

    run(test)


def test_chunked_request_is_forwarded_with_content_length(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(echo)
        async with running(tmp_path, {"main": [server]}) as it:
            reply = await it.ask(
                b"POST /buy HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n0\r\nX-Not-Run: 1\r\n\r\n"
            )
        assert reply.body == b"/buy|abc"
        assert server.arrivals[0].all("Content-Length") == [b"3"]
        assert not server.arrivals[0].all("Transfer-Encoding")
        assert not server.arrivals[0].all("X-Not-Run")

    run(test)


@pytest.mark.parametrize(
    "data",
    [
        b"POST /buy HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        b"POST /buy HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        b"POST /buy HTTP/1.1\r\nHost: a\r\nContent-Length : 5\r\n\r\nabcde",
        b"POST /buy HTTP/1.1\r\nHost: a\r\nX: a\r\n b\r\n\r\n",
        b"POST /buy HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n",
    ],
)
def test_request_smuggling_is_rejected_and_the_connection_closed(tmp_path: Path, data: bytes) -> None:
    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}) as it:
            client = await it.connect()
            assert (await client.ask(data + message("GET /hidden"))).status == 400
            assert await client.ended()
        assert server.count == 0

    run(test)


def test_hosts_match_in_all_their_spellings(tmp_path: Path) -> None:
    routes = '[[routes]]\nname = "shop"\nhosts = ["shop.example"]\nclass = "read"\npools = ["main"]\n'

    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}, routes=routes) as it:
            for host in ("shop.example", "SHOP.Example", "shop.example.", "shop.example:9"):
                assert (await it.ask(message("GET /", host=host))).status == 200
            assert (await it.ask(message("GET http://shop.example/", host="other"))).status == 200
            assert (await it.ask(message("GET /", host="other"))).status == 404
            assert (await it.ask(message("GET /", host=""))).status == 400
            assert (await it.ask(message("GET /", "Host: shop.example"))).status == 400
            assert (await it.ask(b"GET / HTTP/1.0\r\n\r\n")).status == 404
        assert server.count == 5

    run(test)


def test_path_normalization_does_not_bypass_a_protected_prefix(tmp_path: Path) -> None:
    routes = (
        '[[routes]]\nname = "admin"\npath = "/admin"\nclass = "read"\npools = ["closed"]\n'
        '[[routes]]\nname = "buy"\npath = "/buy"\nclass = "read"\npools = ["main"]\n'
    )

    async def test() -> None:
        server, closed = WebServer(), WebServer()
        async with running(tmp_path, {"main": [server], "closed": [closed]}, routes=routes) as it:
            for target in (
                "/buy/../admin",
                "/buy/%2e%2e/admin",
                "/buy/.%2E//admin/x",
                "//admin",
                "/./%61dmin",
            ):
                assert (await it.ask(message(f"GET {target}"))).status == 200
            for target in ("/buy/..%2fadmin", "/buy/..;/admin", "/buy/..%5cadmin", "/buy/%00/../admin"):
                assert (await it.ask(message(f"GET {target}"))).status == 400
        assert server.count == 0
        assert closed.count == 5

    run(test)


def test_rejected_requests_leave_the_connection_open(tmp_path: Path) -> None:
    routes = '[[routes]]\nname = "m"\npath = "/mark"\nmethods = ["POST"]\nclass = "mark"\npools = ["main"]\n'

    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}, routes=routes) as it:
            client = await it.connect()
            assert (await client.ask(message("GET /nowhere"))).status == 404
            refused = await client.ask(message("PUT /mark"))
            assert refused.status == 405
            assert refused.all("Allow") == ["POST"]
            assert (await client.ask(message("POST /mark"))).status == 400  # no Idempotency-Key
            assert (await client.ask(message("POST /mark", "Idempotency-Key: k"))).status == 200
            client.close()
        assert server.count == 1
        assert server.arrivals[0].all("Idempotency-Key") == [b"k"]

    run(test)


def test_endpoint_error_is_forwarded_unless_it_invites_an_unsafe_retry(tmp_path: Path) -> None:
    busy = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\nbusy"

    async def test() -> None:
        failing, full = WebServer(always(ERROR)), WebServer(always(busy))
        routes = "".join(
            f'[[routes]]\nname = "{kind}-{pool}"\npath = "/{pool}/{kind}"\nclass = "{kind}"\n'
            f'pools = ["{pool}"]\n'
            for kind in ("read", "buy")
            for pool in ("failing", "full")
        )
        async with running(tmp_path, {"failing": [failing], "full": [full]}, routes=routes) as it:
            error = await it.ask(message("POST /failing/buy"))
            assert (error.status, error.body) == (500, b"oops\n")
            assert failing.count == 1
            assert (await it.ask(message("GET /failing/read"))).status == 500
            refused = await it.ask(message("POST /full/buy"))
            assert refused.status == 502
            assert not refused.all("Retry-After")
            assert full.count == 1
            assert (await it.ask(message("GET /full/read"))).status == 503

    run(test)


def test_request_that_never_ran_gets_503_with_retry_after(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(always(NOT_RUN))
        async with running(tmp_path, {"main": [server]}) as it:
            reply = await it.ask(message("POST /buy"))
        assert reply.status == 503
        assert int(reply.all("Retry-After")[0]) >= 1
        assert not reply.all("X-Not-Run")

    run(test)


def test_client_that_does_not_read_occupies_a_bounded_amount(tmp_path: Path) -> None:
    body = b"x" * 1_000_000
    big = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    async def test() -> None:
        server = WebServer(always(big), keep=False)
        async with running(tmp_path, {"main": [server]}) as it:
            client = await it.connect()
            client.writer.write(message("GET /") * 16)
            await until(lambda: server.count >= 1)
            await asyncio.sleep(0.3)
            assert server.count <= 9  # what fits into the socket buffers
            for _ in range(16):
                assert len((await client.reply()).body) == len(body)
            client.close()

    run(test)


# Guards against rejected clients that stay, and together keep in memory all that they had sent.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /" + b"a" * KEPT_BYTES, 431),
        (CHUNKED_HEAD + b"%x\r\n" % KEPT_BYTES + b"a" * KEPT_BYTES + b"\r\nno length", 400),
    ],
    ids=["target", "body"],
)
def test_what_came_of_a_rejected_request_is_freed_with_its_response(
    tmp_path: Path, data: bytes, status: int
) -> None:
    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer(always(OK))]}) as it:
            clients = [await it.connect() for _ in range(CLIENTS)]
            tracemalloc.start()
            try:
                for client in clients:
                    assert (await client.ask(data)).status == status
                kept_bytes, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
            assert kept_bytes < CLIENTS * MAX_HEAD_BYTES
            for client in clients:
                client.close()

    run(test)


def test_response_may_take_longer_than_the_idle_timeout(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(slowly(OK, 0.1))
        async with running(tmp_path, {"main": [server]}, listener='idle_timeout = "50ms"') as it:
            assert (await it.ask(message("GET /"))).status == 200
            client = await it.connect()
            client.writer.write(b"GET / HTTP/1.1\r\nHost")
            assert (await client.ask(b": a\r\n\r\n")).status == 200
            assert await client.ended()  # closed by the idle timeout

    run(test)


def test_incomplete_request_gets_408(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer()]}, listener='read_timeout = "200ms"') as it:
            client = await it.connect()
            assert (
                await client.ask(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")
            ).status == 408
            assert await client.ended()

    run(test)
