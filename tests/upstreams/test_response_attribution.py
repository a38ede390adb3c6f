"""Messages that no request asked for, on real connections of a pool."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Set

import pytest

from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.fleet_limits import InstanceLimits
from plovertrail.decisions.response_attribution import (
    INITIAL_REUSE_DELAY_US,
    MIN_SAMPLES,
    REUSE_DELAY_FACTOR,
    ResponseTiming,
)
from plovertrail.dispatch.types import Address, AttemptLimits, Headers, ProxyRequest, TransportResult
from plovertrail.upstreams.attempt import Attempt
from plovertrail.upstreams.connection_pool import ConnectionPool
from plovertrail.upstreams.response_reader import ResponseRules
from tests.daemons import run
from tests.net import NOT_RUN, OK, Script, Upstream, answering, until

ERROR = b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"
SWITCHING = b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n"
WRONG = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
TIMEOUT_US = 1_000_000
WORK_US = 30_000
REUSE_DELAY_US = 80_000


def request() -> ProxyRequest:
    return ProxyRequest(b"POST", b"/buy", [], b"", clock_us(), TIMEOUT_US, 0)


async def ask(pool: ConnectionPool, upstream: Upstream) -> TransportResult:
    """One attempt, to its end."""
    results: list[TransportResult] = []
    pool.start(1, ("127.0.0.1", upstream.port), request(), AttemptLimits(TIMEOUT_US), results.append)
    await until(lambda: bool(results))
    return results[0]


def early(message: bytes, real: bytes) -> Script:
    """Sends a message as soon as the request has come, and the real answer later."""

    async def script(
        _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(message)
        await asyncio.sleep(WORK_US / 1e6)
        writer.write(real)

    return script


def experienced_pool(rules: ResponseRules | None = None) -> ConnectionPool:
    """A pool that knows how long its endpoints take."""
    pool = ConnectionPool(60_000_000, 1_000_000, 10, rules)
    for _ in range(MIN_SAMPLES):
        pool.attribution.record_accepted(ResponseTiming(0, WORK_US, TIMEOUT_US, None, False, True), False)
    return pool


# Guards against a message that was under way before the request and is served as its response.
@pytest.mark.parametrize("message", [WRONG, NOT_RUN])
def test_of_two_messages_the_one_that_came_too_early_is_dropped(message: bytes) -> None:
    async def test() -> None:
        upstream = Upstream(early(message, OK))
        await upstream.start()
        pool = experienced_pool()
        result = await ask(pool, upstream)
        assert (result.outcome, result.body) == (Outcome.OK, b"done")
        assert pool.count == 0  # the connection can't be trusted
        assert pool.attribution.is_suspicious(clock_us())
        upstream.stop()

    run(test)


# Guards against a hold that is taken for the response time of an endpoint.
def test_the_time_of_a_hold_is_reported_beside_the_response() -> None:
    async def test() -> None:
        async def at_once(
            _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)

        upstream = Upstream(at_once)
        await upstream.start()
        pool = experienced_pool()
        began_us = clock_us()
        result = await ask(pool, upstream)
        assert result.outcome is Outcome.OK
        assert WORK_US < result.deferred_us <= clock_us() - began_us
        upstream.stop()

    run(test)


# Guards against "never ran" that is believed at once, as half of a short timeout is over.
def test_never_ran_that_comes_late_in_a_short_attempt_may_have_run() -> None:
    async def test() -> None:
        upstream = Upstream(early(b"", NOT_RUN))
        await upstream.start()
        pool = experienced_pool()
        results: list[TransportResult] = []
        short = AttemptLimits(WORK_US)  # its half is over when the message comes
        pool.start(1, ("127.0.0.1", upstream.port), request(), short, results.append)
        await until(lambda: bool(results))
        assert results[0].outcome is Outcome.MALFORMED
        upstream.stop()

    run(test)


# Guards against the first stray that a process meets, where the real response takes long.
@pytest.mark.parametrize("message", [WRONG, NOT_RUN])
@pytest.mark.parametrize("work_s", [0.15, 0.35])
def test_a_stray_is_not_believed_while_response_times_are_unknown(message: bytes, work_s: float) -> None:
    async def script(
        _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        writer.write(message)
        await asyncio.sleep(work_s)
        writer.write(OK)

    async def test() -> None:
        upstream = Upstream(script)
        await upstream.start()
        pool = ConnectionPool(60_000_000, 1_000_000, 10)
        result = await ask(pool, upstream)
        assert result.outcome is Outcome.MALFORMED
        assert pool.attribution.is_suspicious(clock_us())
        upstream.stop()

    run(test)


# Guards against a pool that takes every response for a stray, as its first ones were slow.
def test_endpoints_that_were_slow_at_first_are_believed_again_while_strays_come() -> None:
    async def script(
        _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(WORK_US / 1e6)
        writer.write(OK)
        writer.close()

    async def test() -> None:
        upstream = Upstream(script)
        await upstream.start()
        pool = ConnectionPool(60_000_000, 1_000_000, 10)
        slow = ResponseTiming(0, 8 * WORK_US, TIMEOUT_US, None, False, True)
        for _ in range(MIN_SAMPLES):
            pool.attribution.record_accepted(slow, deferred=False)
        pool.attribution.record_unprompted_stray(0, clock_us())
        outcomes = [(await ask(pool, upstream)).outcome for _ in range(20)]
        assert outcomes.count(Outcome.OK) >= 10
        upstream.stop()

    run(test)


class Handshake:
    """The handshake of a WebSocket whose endpoint's 101 is always valid."""

    def upgrade_request(self) -> tuple[bytes, Headers]:
        return b"key", [(b"Connection", b"Upgrade"), (b"Upgrade", b"websocket")]

    def checked_subprotocol(self, _headers: Headers, _key: bytes) -> bytes:
        return b""

    def excluded_endpoints(self, _pool: str) -> Set[int]:
        return frozenset()

    def has_capacity(self, _pool: str, _serving: Set[int]) -> bool:
        return True

    def attempt_begins(self, _pool: str, _endpoint_id: int, _address: Address) -> bool:
        return True

    def attempt_sent(self) -> None:
        """Nothing is counted here."""

    def attempt_failed(self) -> None:
        """Nothing is counted here."""

    def accept_upgrade(self) -> bool:
        return True


# Guards against "never ran" in a stray message by which a handshake would be made at two endpoints.
def test_a_handshake_that_is_told_never_ran_first_and_then_accepted_opens_once() -> None:
    async def test() -> None:
        upstream = Upstream(early(NOT_RUN, SWITCHING))
        await upstream.start()
        pool = experienced_pool()
        results: list[TransportResult] = []
        handshake = request()
        handshake.handshake = Handshake()
        address = ("127.0.0.1", upstream.port)
        pool.start(1, address, handshake, AttemptLimits(TIMEOUT_US), results.append)
        await until(lambda: bool(results))
        assert [result.outcome for result in results] == [Outcome.OK]
        assert results[0].tunnel is not None
        results[0].tunnel.close()
        upstream.stop()

    run(test)


# Guards against a stray error behind which the next request gets the real response.
def test_a_connection_is_not_used_again_after_an_error_that_came_before_the_real_response() -> None:
    async def test() -> None:
        upstream = Upstream(early(ERROR, WRONG))
        await upstream.start()
        pool = experienced_pool()
        assert (await ask(pool, upstream)).outcome is Outcome.ERROR
        assert pool.count == 0
        upstream.stop()

    run(test)


# Guards against a choice between two messages of which either may be the stray.
@pytest.mark.parametrize("second", [NOT_RUN, WRONG])
def test_two_messages_that_differ_are_no_response(second: bytes) -> None:
    async def test() -> None:
        upstream = Upstream(early(OK, second))
        await upstream.start()
        pool = ConnectionPool(60_000_000, 1_000_000, 10)
        assert (await ask(pool, upstream)).outcome is Outcome.MALFORMED
        upstream.stop()

    run(test)


# Guards against a reset that hides the real response behind an early message.
def test_a_held_response_whose_connection_is_reset_may_have_run() -> None:
    async def test() -> None:
        async def script(
            _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(NOT_RUN)
            await writer.drain()
            await asyncio.sleep(0.01)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # close by a reset
            writer.transport.abort()
            raise ConnectionResetError

        upstream = Upstream(script)
        await upstream.start()
        pool = ConnectionPool(60_000_000, 1_000_000, 10)
        assert (await ask(pool, upstream)).outcome in (Outcome.RESET, Outcome.MALFORMED)
        upstream.stop()

    run(test)


# Guards against a second message behind a response that is taken for the response to the next request.
def test_a_connection_rests_before_its_next_request() -> None:
    async def test() -> None:
        async def script(
            _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(WORK_US / 1e6)
            writer.write(OK)
            await asyncio.sleep(INITIAL_REUSE_DELAY_US / 2e6)
            writer.write(WRONG)

        upstream = Upstream(script)
        await upstream.start()
        pool = experienced_pool()
        for _ in range(2):
            assert (await ask(pool, upstream)).body == b"done"
        ambiguous = await ask(pool, upstream)  # the server keeps a connection that it was asked to close
        assert (ambiguous.outcome, ambiguous.body) == (Outcome.MALFORMED, b"")
        assert upstream.connections == 3
        assert pool.attribution.reuse_delay_us(clock_us()) > INITIAL_REUSE_DELAY_US
        upstream.stop()

    run(test)


# Guards against a further connection for each request that comes within some milliseconds of another.
def test_a_request_waits_some_milliseconds_rather_than_open_another_connection() -> None:
    async def test() -> None:
        upstream = Upstream(answering(OK))
        await upstream.start()
        pool = experienced_pool()
        for _ in range(100):
            pool.attribution.record_clean_reuse()
        pool.attribution.record_late_stray(18_000 // REUSE_DELAY_FACTOR, clock_us())
        for _ in range(2):
            assert (await ask(pool, upstream)).outcome is Outcome.OK
        assert upstream.connections == 1
        upstream.stop()

    run(test)


def pool_limited_to_one_connection() -> ConnectionPool:
    """A pool that may have one connection, which has to rest for REST_US."""
    pool = experienced_pool()
    pool.apply_limits(InstanceLimits(connections=1, connections_per_endpoint=1), 0.5)
    pool.attribution.record_late_stray(REUSE_DELAY_US // REUSE_DELAY_FACTOR, clock_us())
    return pool


def test_a_request_waits_for_a_rest_where_no_other_connection_may_be_made() -> None:
    async def test() -> None:
        upstream = Upstream(early(b"", OK))
        await upstream.start()
        pool = pool_limited_to_one_connection()
        await ask(pool, upstream)
        ended_us = clock_us()
        assert (await ask(pool, upstream)).outcome is Outcome.OK
        assert clock_us() - ended_us > 0.9 * REUSE_DELAY_US + WORK_US
        assert upstream.connections == 1
        upstream.stop()

    run(test)


# Guards against a wait for a rest that ends at an idle time at which connections have been seen to break.
def test_no_request_waits_for_a_rest_after_which_connections_break() -> None:
    async def test() -> None:
        upstream = Upstream(early(b"", OK))
        await upstream.start()
        pool = experienced_pool()
        for _ in range(100):
            pool.attribution.record_clean_reuse()
            pool.record_reuse(pool.attribution.reuse_delay_us(clock_us()), broke=True)
        for _ in range(3):
            assert (await ask(pool, upstream)).outcome is Outcome.OK
        assert upstream.connections == 3
        upstream.stop()

    run(test)


# Guards against a head that tells more time than the client has left after a long wait.
def test_no_request_waits_long_for_a_rest() -> None:
    async def test() -> None:
        upstream = Upstream(early(b"", OK))
        await upstream.start()
        pool = pool_limited_to_one_connection()
        pool.attribution.record_late_stray(TIMEOUT_US, clock_us())
        await ask(pool, upstream)
        assert (await ask(pool, upstream)).outcome is Outcome.NOT_SENT
        assert len(upstream.requests) == 1
        upstream.stop()

    run(test)


# Guards against a request that is written after its endpoint was removed, or for a client that has left.
@pytest.mark.parametrize("cause", ["removed", "cancelled"])
def test_a_request_that_waits_for_a_rest_is_not_sent_once_it_must_not_be(cause: str) -> None:
    async def test() -> None:
        upstream = Upstream(early(b"", OK))
        await upstream.start()
        pool = pool_limited_to_one_connection()
        await ask(pool, upstream)
        results: list[TransportResult] = []
        attempt = pool.start(
            1, ("127.0.0.1", upstream.port), request(), AttemptLimits(TIMEOUT_US), results.append
        )
        assert not attempt.written
        if cause == "removed":
            pool.forget(1)
            await until(lambda: bool(results))
            assert results[0].outcome is Outcome.CONNECT_FAILED
            assert pool.count == 0
        else:
            attempt.cancel()
            await until(lambda: 1 in pool.idle.by_endpoint)
        assert len(upstream.requests) == 1
        upstream.stop()

    run(test)


# Guards against bytes on an idle connection that end the request which waits for its rest as if it had run.
def test_bytes_that_come_while_a_request_waits_for_a_rest_end_it_as_never_sent() -> None:
    async def test() -> None:
        async def script(
            _upstream: Upstream, _number: int, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK)
            await asyncio.sleep(INITIAL_REUSE_DELAY_US / 1e6 - 0.003)
            writer.write(WRONG)

        upstream = Upstream(script)
        await upstream.start()
        pool = ConnectionPool(60_000_000, 1_000_000, 10)
        for _ in range(5):  # response times become known, so that nothing is held
            pool.attribution.record_accepted(ResponseTiming(0, 1_000, TIMEOUT_US, None, False, True), False)
        assert (await ask(pool, upstream)).outcome is Outcome.OK
        connection = pool.idle.take(1, clock_us(), 0)
        assert connection is not None
        results: list[TransportResult] = []
        connection.send_after(Attempt(b"POST /buy HTTP/1.1\r\n\r\n", results.append), TIMEOUT_US)
        await until(lambda: bool(results))
        assert results[0].outcome is Outcome.CONNECT_FAILED
        assert len(upstream.requests) == 1
        upstream.stop()

    run(test)
