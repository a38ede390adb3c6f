"""The connections of a pool: this instance's part of them, and when they close."""

from __future__ import annotations

import asyncio

from fakes.web import WebServer, slowly
from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.fleet_limits import InstanceLimits
from plovertrail.dispatch.types import AttemptTimes, ProxyRequest, TransportResult
from plovertrail.upstreams.connection_pool import IDLE_MARGIN_US, ConnectionPool
from tests.daemons import run
from tests.net import until


def get() -> ProxyRequest:
    return ProxyRequest(b"GET", b"/", [], b"", clock_us(), 1_000_000, 0)


def test_a_limit_that_falls_closes_what_is_beyond_it_as_it_becomes_idle() -> None:
    async def test() -> None:
        server = WebServer(slowly(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 0.02))
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        ends: list[TransportResult] = []
        for _ in range(4):
            pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        await until(lambda: pool.count == 4)
        pool.apply_limits(InstanceLimits(connections=2, connections_per_endpoint=2), 0.5)
        await until(lambda: len(ends) == 4)
        assert pool.count == 2
        assert not pool.may_connect(1)
        assert pool.may_connect(2)
        assert 1 not in pool.unreachable(False)
        assert 1 in pool.unreachable(True)
        assert 2 not in pool.unreachable(False)
        server.stop()

    run(test)


def test_connects_that_have_not_begun_count_and_one_too_many_is_not_sent() -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        pool.apply_limits(InstanceLimits(connections=3, connections_per_endpoint=2), 0.5)
        ends: list[TransportResult] = []
        for _ in range(5):  # in one turn of the loop
            pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        await until(lambda: len(ends) == 5)
        assert [end.outcome for end in ends].count(Outcome.NOT_SENT) == 3
        assert server.count == 2
        assert server.connections == 2
        assert pool.count == 2
        server.stop()

    run(test)


def test_an_attempt_cancelled_before_it_hears_of_the_limit_never_ends() -> None:
    async def test() -> None:
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        pool.apply_limits(InstanceLimits(connect_interval_us=3_600_000_000), 0.9)
        ends: list[TransportResult] = []
        pool.start(1, ("127.0.0.1", 1), get(), AttemptTimes(1_000_000), ends.append).cancel()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        assert ends == []
        assert pool.count == 0

    run(test)


def test_a_connection_that_comes_up_after_the_client_disconnected_carries_nothing_and_is_kept() -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        ends: list[TransportResult] = []
        call, gone = get(), False
        call.client_disconnected = lambda: gone
        pool.start(1, ("127.0.0.1", server.port), call, AttemptTimes(1_000_000), ends.append)
        gone = True  # the dial has not begun
        await until(lambda: bool(ends))
        assert ends[0].outcome is Outcome.NOT_SENT
        assert not server.arrivals
        pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        await until(lambda: len(ends) == 2)
        assert ends[1].outcome is Outcome.OK
        assert server.connections == 1
        server.stop()

    run(test)


def test_a_burst_of_disconnects_during_connects_sends_nothing_and_leaves_nothing_behind() -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 40)
        ends: list[TransportResult] = []
        gone: list[bool] = []
        for _ in range(20):
            call = get()
            call.client_disconnected = lambda: bool(gone)
            pool.start(1, ("127.0.0.1", server.port), call, AttemptTimes(1_000_000), ends.append)
        gone.append(True)  # all at once, before any connection is up
        await until(lambda: len(ends) == 20)
        assert {end.outcome for end in ends} == {Outcome.NOT_SENT}
        assert not server.arrivals
        assert len(pool.idle.by_endpoint[1]) == pool.count == 20  # what has come up is of use to others
        server.stop()

    run(test)


def test_a_retry_whose_connection_comes_up_after_the_dedup_window_is_not_sent() -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        ends: list[TransportResult] = []
        pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000, 1), ends.append)
        await until(lambda: len(ends) == 1)
        assert ends[0].outcome is Outcome.NOT_SENT
        assert not server.arrivals
        pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000, 10_000_000), ends.append)
        await until(lambda: len(ends) == 2)
        assert ends[1].outcome is Outcome.OK
        server.stop()

    run(test)


def test_an_endpoint_that_is_forgotten_before_its_connect_begins_gets_nothing() -> None:
    """And one that comes to its address under another name in the same turn does."""

    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        ends: list[TransportResult] = []
        pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        pool.forget(1)  # the dial has not had its first step
        await until(lambda: len(ends) == 1)
        assert ends[0].outcome is Outcome.CONNECT_FAILED
        assert not server.arrivals
        assert pool.count == 0
        assert not pool.connections
        pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        pool.forget(1)
        pool.start(2, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        await until(lambda: len(ends) == 3)
        assert sorted(end.outcome.value for end in ends[1:]) == ["connect_failed", "ok"]
        assert len(server.arrivals) == 1
        server.stop()

    run(test)


def test_idle_connections_close_ahead_of_the_server_and_leave_no_timer() -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(IDLE_MARGIN_US + 50_000, 1_000_000, 10)
        assert pool.idle.sweeper is None, "an instance without connections has nothing to look at"
        open_at_ends: list[int] = []

        def on_end(_result: TransportResult) -> None:
            # Seen here and not once the test runs again: on a busy machine they may be closed by then.
            assert pool.idle.sweeper is not None
            open_at_ends.append(pool.count)

        for _ in range(3):
            pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), on_end)
        await until(lambda: len(open_at_ends) == 3)
        assert open_at_ends == [3, 3, 3]
        await until(lambda: pool.count == 0 and pool.idle.sweeper is None)
        server.stop()

    run(test)


def test_a_connection_that_comes_up_in_a_paused_turn_carries_nothing() -> None:
    """Hazard: the server may drain by now, and the lists have not been read again."""

    async def test() -> None:
        server = WebServer()
        await server.start()
        pool = ConnectionPool(10_000_000, 1_000_000, 10)
        pool.turn_is_stale = lambda: True
        ends: list[TransportResult] = []
        pool.start(1, ("127.0.0.1", server.port), get(), AttemptTimes(1_000_000), ends.append)
        await until(lambda: bool(ends))
        assert ends[0].outcome is Outcome.CONNECT_FAILED
        assert not server.count
        assert not pool.count
        server.stop()

    run(test)
