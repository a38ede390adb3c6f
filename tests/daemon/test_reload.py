"""Reloads under load: open requests keep their pools, and a configuration is applied fully or not at all."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import NOT_RUN, Arrival, Line, WebServer
from tests.config.test_operator import BROKEN, GOOD
from tests.daemons import Client, Reply, message, run, running, site
from tests.net import until


def through(*pools: str) -> str:
    """A single route, of the class for purchases."""
    names = ", ".join(f'"{name}"' for name in pools)
    return f'[[routes]]\nname = "all"\nclass = "buy"\npools = [{names}]\n'


@asynccontextmanager
async def held(count: int) -> AsyncIterator[tuple[list[WebServer], asyncio.Event]]:
    """Fake servers that respond once the event is set."""
    release = asyncio.Event()

    async def script(_server: WebServer, _arrival: Arrival, _line: Line) -> bytes:
        await release.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"

    yield [WebServer(script) for _ in range(count)], release


def test_a_reload_that_moves_a_route_leaves_200_open_requests_with_their_pool(tmp_path: Path) -> None:
    async def test() -> None:
        async with held(200) as (old, release):
            new = [WebServer()]
            async with running(
                tmp_path, {"old": old, "new": new}, pool_extra="max_connections = 400", routes=through("old")
            ) as it:
                clients = [await it.connect() for _ in range(200)]
                for number, client in enumerate(clients):
                    client.writer.write(message("POST /buy", f"X-Request-Id: {number}"))
                await until(lambda: sum(server.count for server in old) == 200)
                # the route moves to another pool, and its previous pool is removed
                extra = "max_connections = 400"
                assert await it.change(site(it.port, {"new": new}, routes=through("new"), pool_extra=extra))
                for _ in range(20):
                    assert (await it.ask(message("POST /buy"))).body == b"hello"
                assert not any(client.reader.at_eof() for client in clients)
                release.set()
                replies: list[Reply] = await asyncio.gather(*(client.reply() for client in clients))
                assert [(reply.status, reply.body) for reply in replies] == [(200, b"old")] * 200
                request_ids = [
                    arrival.all("X-Request-Id")[0] for server in old for arrival in server.arrivals
                ]
                assert sorted(request_ids) == sorted(str(number).encode() for number in range(200))
                assert new[0].count == 20
                # the connections continue under the new routes, and the old pool is closed
                assert (await clients[0].ask(message("POST /buy"))).body == b"hello"
                await until(lambda: sum(len(server.lines) for server in old) == 0)
                assert [pool.name for pool in it.daemon.dispatcher.pools] == ["new"]
                for client in clients:
                    client.close()

    run(test)


def test_no_attempt_is_sent_to_a_removed_pool(tmp_path: Path) -> None:
    """Not even a retry of a request that was first sent to it, as with removed endpoints."""

    async def test() -> None:
        reject = asyncio.Event()

        async def script(_server: WebServer, _arrival: Arrival, _line: Line) -> bytes:
            await reject.wait()
            return NOT_RUN

        old, new = [WebServer(script) for _ in range(5)], [WebServer()]
        async with running(tmp_path, {"old": old}) as it:
            tasks = [asyncio.create_task(it.ask(message("POST /buy"))) for _ in range(5)]
            await until(lambda: sum(server.count for server in old) == 5)
            await new[0].start()
            assert await it.change(site(it.port, {"new": new}))
            reject.set()
            assert [(await task).status for task in tasks] == [503] * 5
            assert sum(server.count for server in old) == 5
            assert new[0].count == 0
        new[0].stop()

    run(test)


def test_a_request_queued_at_a_removed_pool_fails_over_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with held(1) as (old, release):
            spare = WebServer()
            async with running(tmp_path, {"old": old, "spare": [spare]}) as it:
                tasks = [asyncio.create_task(it.ask(message("POST /buy"))) for _ in range(2)]
                await until(lambda: old[0].count == 1 and len(it.daemon.dispatcher.requests) == 2)
                began = time.monotonic()
                assert await it.change(site(it.port, {"spare": [spare]}))
                await until(lambda: spare.count == 1)
                # Less than half the request's aim, the longest that it waits for a slot.
                assert time.monotonic() - began < 0.4
                release.set()
                assert sorted([(await task).body for task in tasks]) == [b"hello", b"old"]

    run(test)


def test_drained_and_removed_endpoints_get_nothing_new_and_an_added_one_warms_up(tmp_path: Path) -> None:
    async def test() -> None:
        unchanged, drained, removed, added = (WebServer() for _ in range(4))
        await added.start()
        async with running(tmp_path, {"main": [unchanged, drained, removed]}) as it:
            balancer = it.daemon.pools["main"].pool.balancer
            assert {server.listed.started_us for server in balancer.endpoints.values()} == {0}
            for _ in range(30):
                assert (await it.ask(message("GET /"))).status == 200
            assert min(server.count for server in (unchanged, drained, removed)) > 0
            text = it.path.read_text().replace(f'"{drained.address}"', f'"{drained.address}", drain = true')
            text = text.replace(removed.address, added.address)
            assert await it.change(text)
            assert it.daemon.pools["main"].pool.balancer is balancer  # its statistics are kept
            before = drained.count, removed.count
            for _ in range(30):
                assert (await it.ask(message("GET /"))).status == 200
            assert (drained.count, removed.count) == before
            cold = [server for server in balancer.endpoints.values() if server.listed.started_us]
            assert len(cold) == 1
            assert balancer.table.warm_up_fraction(cold[0], balancer.now_us) < 1.0
            assert await it.change(text.replace(", drain = true", ""))
            assert len(balancer.endpoints) == 3  # the endpoint kept running, so it doesn't warm up again
            assert sum(1 for server in balancer.endpoints.values() if server.listed.started_us) == 1
        added.stop()

    run(test)


def test_an_endpoint_that_moves_to_a_new_pool_does_not_warm_up_again(tmp_path: Path) -> None:
    async def test() -> None:
        known, new = WebServer(), WebServer()
        await new.start()
        async with running(tmp_path, {"main": [known]}) as it:
            text = it.path.read_text().replace("[pools.main]", "[pools.other]")
            text = text.replace('["main"]', '["other"]')
            row = f'{{ id = "main0", address = "{known.address}" }}'
            assert await it.change(text.replace(row, f'{row}, {{ id = "new", address = "{new.address}" }}'))
            members = it.daemon.pools["other"].registry.state.members
            assert members["main0"].started_us == 0 < members["new"].started_us
        new.stop()

    run(test)


def test_changed_settings_replace_a_pool_and_its_endpoints_stay_warm(tmp_path: Path) -> None:
    async def test() -> None:
        async with held(2) as (servers, release), running(tmp_path, {"main": servers}) as it:
            task = asyncio.create_task(it.ask(message("POST /buy")))
            await until(lambda: sum(server.count for server in servers) == 1)
            before = it.daemon.pools["main"]
            assert await it.change(it.path.read_text().replace('aim = "1s"', 'aim = "900ms"', 1))
            after = it.daemon.pools["main"]
            assert after is not before
            assert {server.listed.started_us for server in after.pool.balancer.endpoints.values()} == {0}
            release.set()
            assert (await task).status == 200
            assert (await it.ask(message("GET /"))).status == 200
            await until(lambda: not before.connections.connections)

    run(test)


@pytest.mark.parametrize("case", BROKEN)
def test_a_broken_file_leaves_the_configuration_in_force(
    tmp_path: Path, case: str, caplog: pytest.LogCaptureFixture
) -> None:
    old, new, expected = BROKEN[case]

    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}) as it:
            client = await it.connect()
            generation = it.daemon.generation
            with caplog.at_level(logging.ERROR):
                assert not await it.change(GOOD.replace(old, new, 1))
            assert it.daemon.generation is generation
            assert "reload refused" in caplog.text
            assert str(it.path) in caplog.text
            assert expected in caplog.text
            assert (await client.ask(message("GET /"))).status == 200
            client.close()

    run(test)


def test_an_address_in_use_refuses_the_whole_reload(tmp_path: Path) -> None:
    async def test() -> None:
        server, taken = WebServer(), WebServer()
        await taken.start()
        async with running(tmp_path, {"main": [server]}) as it:
            text = it.path.read_text()
            both = (
                f'[listeners.free]\naddress = "127.0.0.1:{free_port()}"\n[listeners.more]\naddress = "{{}}"\n'
            )
            assert not await it.change(text + both.format(taken.address))
            assert set(it.daemon.services.listeners.active) == {"web"}
            assert await it.change(text + both.format(f"127.0.0.1:{free_port()}"))
            for _, port in it.daemon.addresses().values():
                client = Client(*await asyncio.open_connection("127.0.0.1", port))
                assert (await client.ask(message("GET /"))).status == 200
                client.close()
            idle_client = Client(
                *await asyncio.open_connection("127.0.0.1", it.daemon.addresses()["free"][1])
            )
            assert (await idle_client.ask(message("GET /"))).status == 200
            assert await it.change(text)  # the listeners are removed, with their idle connections
            assert await idle_client.ended()
            assert set(it.daemon.services.listeners.active) == {"web"}
        taken.stop()

    run(test)
