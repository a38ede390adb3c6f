"""The daemon under failure: fallback between pools, reloads under load, pools empty, slow or gone."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import ERROR, NOT_RUN, OK, Arrival, Line, Script, WebServer, always, breaking, never, slowly
from tests.config.test_operator import BROKEN, GOOD
from tests.daemons import Client, Reply, Running, message, run, running, site
from tests.net import PATIENCE_S, until


def through(*pools: str) -> str:
    """One route, for purchases."""
    names = ", ".join(f'"{name}"' for name in pools)
    return f'[[routes]]\nname = "all"\nclass = "buy"\npools = [{names}]\n'


def cut_off(server: WebServer, arrival: Arrival, line: Line) -> bytes:
    """Half an answer, and the connection breaks."""
    line.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    line.reset()
    return b""


# Fallback


@pytest.mark.parametrize(
    ("script", "status"),
    [
        (breaking, 502),
        (never, 504),
        (always(ERROR), 500),
        (cut_off, 502),
        (always(b"noise\r\n\r\n"), 502),
    ],
)
@pytest.mark.parametrize("headers", [(), ("Idempotency-Key: k",)])
def test_what_may_have_run_in_one_pool_goes_to_no_other(
    tmp_path: Path, script: Script, status: int, headers: tuple[str, ...]
) -> None:
    """After its last byte was written an unsafe request has one final failure, and arrives once in all."""

    async def test() -> None:
        first, second = WebServer(script), WebServer()
        async with running(tmp_path, {"first": [first], "second": [second]}) as it:
            client = await it.connect()
            reply = await client.ask(message("POST /buy", "X-Deadline-Ms: 500", *headers, body=b"coins"))
            assert reply.status == status
            await asyncio.sleep(0.05)
            assert first.count + second.count == 1
            assert (await client.ask(message("GET /%"))).status == 400
            client.close()  # and nothing else stood between the two answers

    run(test)


def test_a_keyed_request_that_may_have_run_stays_in_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        twins = [WebServer(breaking, row=', cell = "1", weight = 1000') for _ in range(2)]
        other, second = WebServer(row=', cell = "2"'), WebServer()
        async with running(tmp_path, {"cells": [*twins, other], "second": [second]}) as it:
            for number in range(12):
                await it.ask(message("POST /mark", f"Idempotency-Key: {number}", "X-Deadline-Ms: 500"))

        def keys(*servers: WebServer) -> list[bytes]:
            return [arrival.all("Idempotency-Key")[0] for server in servers for arrival in server.arrivals]

        ran = keys(*twins)
        assert len(ran) > len(set(ran)) > 0  # repeated there
        assert not set(ran) & set(keys(other, second))

    run(test)


@pytest.mark.parametrize("why", ["refused", "not run", "empty", "drained"])
def test_what_never_ran_goes_on_to_the_next_pool(tmp_path: Path, why: str) -> None:
    async def test() -> None:
        first, second = WebServer(always(NOT_RUN)), WebServer()
        await first.start()
        pools = {"first": [] if why == "empty" else [first], "second": [second]}
        if why == "refused":
            first.stop()
        async with running(tmp_path, pools) as it:
            if why == "drained":
                text = it.path.read_text().replace(f'"{first.address}"', f'"{first.address}", drain = true')
                assert await it.change(text)
            reply = await it.ask(message("POST /buy", body=b"coins"))
            assert (reply.status, reply.body) == (200, b"hello")
        # a pool may try again, but leaves an attempt to the next one
        assert second.count == 1 and first.count in ((1, 2) if why == "not run" else (0,))

    run(test)


def test_attempts_are_counted_over_all_pools(tmp_path: Path) -> None:
    async def test() -> None:
        pools = {name: [WebServer(always(NOT_RUN)) for _ in range(2)] for name in ("a", "b", "c")}
        async with running(tmp_path, pools) as it:
            reply = await it.ask(message("POST /buy"))
            assert reply.status == 503 and reply.all("Retry-After")
        counts = [sum(server.count for server in servers) for servers in pools.values()]
        assert sum(counts) == 3 and counts[0] >= 1  # `attempts` in the file's default

    run(test)


def test_the_reissue_budget_is_one_for_all_pools(tmp_path: Path) -> None:
    async def test() -> None:
        pools = {name: [WebServer(always(NOT_RUN))] for name in ("a", "b", "c")}
        async with running(tmp_path, pools) as it:
            assert await it.change(it.path.read_text().replace('aim = "1s"', 'aim = "100ms"'))
            for _ in range(40):
                assert (await it.ask(message("POST /buy"))).status == 503
            sent = sum(servers[0].count for servers in pools.values())
        # a first attempt each; five reissues in hand, and a fifth of one earned by each first attempt
        assert 20 < sent <= 40 + 5 + 40 / 5

    run(test)


# Pools that are empty or slow


def test_a_pool_with_no_server_is_refused_at_once_and_harms_no_other(tmp_path: Path) -> None:
    routes = (
        '[[routes]]\nname = "none"\npath = "/none"\nclass = "buy"\npools = ["empty"]\n'
        '[[routes]]\nname = "rest"\nclass = "read"\npools = ["main"]\n'
    )

    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server], "empty": []}, routes=routes) as it:
            began = time.monotonic()
            replies = await asyncio.gather(*(it.ask(message("POST /none")) for _ in range(20)))
            assert time.monotonic() - began < 5  # far within the deadline of 15 s
            assert {reply.status for reply in replies} == {503}
            assert all(reply.all("Retry-After") == ["2"] for reply in replies)
            assert (await it.ask(message("GET /"))).status == 200

    run(test)


def test_a_slow_pool_takes_neither_sockets_nor_loop_from_a_quick_one(tmp_path: Path) -> None:
    routes = (
        '[[routes]]\nname = "slow"\npath = "/slow"\nclass = "buy"\npools = ["slow"]\n'
        '[[routes]]\nname = "rest"\nclass = "read"\npools = ["quick"]\n'
    )

    async def test() -> None:
        slow, quick = [WebServer(never) for _ in range(6)], [WebServer(), WebServer()]
        async with running(
            tmp_path, {"slow": slow, "quick": quick}, routes=routes, pool_extra="max_connections = 4"
        ) as it:
            clients = [await it.connect() for _ in range(100)]
            for client in clients:
                client.writer.write(message("POST /slow"))
            await until(lambda: sum(server.count for server in slow) >= 4)
            for _ in range(100):
                assert (await it.ask(message("GET /"))).status == 200
            assert sum(len(server.lines) for server in slow) <= 4
            for client in clients:
                client.close()

    run(test)


# Reloads


@asynccontextmanager
async def held(count: int) -> AsyncIterator[tuple[list[WebServer], asyncio.Event]]:
    """Stand-ins that answer once they are let go."""
    let_go = asyncio.Event()

    async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
        await let_go.wait()
        return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"

    yield [WebServer(script) for _ in range(count)], let_go


def test_a_reload_that_moves_a_route_leaves_200_open_requests_with_their_pool(tmp_path: Path) -> None:
    async def test() -> None:
        async with held(200) as (old, let_go):
            new = [WebServer()]
            async with running(
                tmp_path, {"old": old, "new": new}, pool_extra="max_connections = 400", routes=through("old")
            ) as it:
                clients = [await it.connect() for _ in range(200)]
                for number, client in enumerate(clients):
                    client.writer.write(message("POST /buy", f"X-Request-Id: {number}"))
                await until(lambda: sum(server.count for server in old) == 200)
                # the route moves, and the pool that it leaves vanishes
                extra = "max_connections = 400"
                assert await it.change(site(it.port, {"new": new}, routes=through("new"), pool_extra=extra))
                for _ in range(20):
                    assert (await it.ask(message("POST /buy"))).body == b"hello"
                assert not any(client.reader.at_eof() for client in clients)
                let_go.set()
                replies: list[Reply] = await asyncio.gather(*(client.reply() for client in clients))
                assert [(reply.status, reply.body) for reply in replies] == [(200, b"old")] * 200
                idents = [arrival.all("X-Request-Id")[0] for server in old for arrival in server.arrivals]
                assert sorted(idents) == sorted(str(number).encode() for number in range(200))
                assert new[0].count == 20
                # the connections serve on, under the new routes, and the old pool is let go
                assert (await clients[0].ask(message("POST /buy"))).body == b"hello"
                await until(lambda: sum(len(server.lines) for server in old) == 0)
                assert [pool.name for pool in it.daemon.dispatcher.pools] == ["new"]
                for client in clients:
                    client.close()

    run(test)


def test_nothing_new_goes_to_a_pool_that_has_vanished(tmp_path: Path) -> None:
    """Not even a further attempt of a request that began with it: as with servers that leave."""

    async def test() -> None:
        turn_away = asyncio.Event()

        async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
            await turn_away.wait()
            return NOT_RUN

        old, new = [WebServer(script) for _ in range(5)], [WebServer()]
        async with running(tmp_path, {"old": old}) as it:
            tasks = [asyncio.create_task(it.ask(message("POST /buy"))) for _ in range(5)]
            await until(lambda: sum(server.count for server in old) == 5)
            await new[0].start()
            assert await it.change(site(it.port, {"new": new}))
            turn_away.set()
            assert [(await task).status for task in tasks] == [503] * 5
            assert sum(server.count for server in old) == 5 and new[0].count == 0
        new[0].stop()

    run(test)


def test_a_request_that_waits_for_a_slot_of_a_vanished_pool_goes_on_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        async with held(1) as (old, let_go):
            spare = WebServer()
            async with running(tmp_path, {"old": old, "spare": [spare]}) as it:
                tasks = [asyncio.create_task(it.ask(message("POST /buy"))) for _ in range(2)]
                await until(lambda: old[0].count == 1 and len(it.daemon.dispatcher.requests) == 2)
                began = time.monotonic()
                assert await it.change(site(it.port, {"spare": [spare]}))
                await until(lambda: spare.count == 1)
                assert time.monotonic() - began < 0.4  # before half its aim, when the slot's wait would end
                let_go.set()
                assert sorted([(await task).body for task in tasks]) == [b"hello", b"old"]

    run(test)


def test_a_server_that_drains_or_goes_gets_nothing_new_and_one_that_joins_is_cold(tmp_path: Path) -> None:
    async def test() -> None:
        stays, drains, goes, joins = (WebServer() for _ in range(4))
        await joins.start()
        async with running(tmp_path, {"main": [stays, drains, goes]}) as it:
            balancer = it.daemon.pools["main"].pool.balancer
            assert {server.listed.started_us for server in balancer.endpoints.values()} == {0}
            for _ in range(30):
                assert (await it.ask(message("GET /"))).status == 200
            assert min(server.count for server in (stays, drains, goes)) > 0
            text = it.path.read_text().replace(f'"{drains.address}"', f'"{drains.address}", drain = true')
            text = text.replace(goes.address, joins.address)
            assert await it.change(text)
            assert it.daemon.pools["main"].pool.balancer is balancer  # what it learnt stays
            before = drains.count, goes.count
            for _ in range(30):
                assert (await it.ask(message("GET /"))).status == 200
            assert (drains.count, goes.count) == before
            cold = [server for server in balancer.endpoints.values() if server.listed.started_us]
            assert len(cold) == 1 and balancer.table.warm_up_fraction(cold[0], balancer.now_us) < 1.0
            assert await it.change(text.replace(", drain = true", ""))
            assert len(balancer.endpoints) == 3  # and it is not cold, as it ran on
            assert sum(1 for server in balancer.endpoints.values() if server.listed.started_us) == 1
        joins.stop()

    run(test)


def test_a_server_that_moves_to_a_new_pool_is_no_newcomer(tmp_path: Path) -> None:
    async def test() -> None:
        known, new = WebServer(), WebServer()
        await new.start()
        async with running(tmp_path, {"main": [known]}) as it:
            text = it.path.read_text().replace("[pools.main]", "[pools.other]")
            text = text.replace('["main"]', '["other"]')
            row = f'{{ id = "main0", address = "{known.address}" }}'
            assert await it.change(text.replace(row, f'{row}, {{ id = "new", address = "{new.address}" }}'))
            members = it.daemon.pools["other"].registry.state.members
            assert members["main0"].came_us == 0 < members["new"].came_us
        new.stop()

    run(test)


def test_changed_settings_start_a_pool_anew_and_its_servers_stay_as_warm_as_they_were(tmp_path: Path) -> None:
    async def test() -> None:
        async with held(2) as (servers, let_go), running(tmp_path, {"main": servers}) as it:
            task = asyncio.create_task(it.ask(message("POST /buy")))
            await until(lambda: sum(server.count for server in servers) == 1)
            before = it.daemon.pools["main"]
            assert await it.change(it.path.read_text().replace('aim = "1s"', 'aim = "900ms"', 1))
            after = it.daemon.pools["main"]
            assert after is not before
            assert {server.listed.started_us for server in after.pool.balancer.endpoints.values()} == {0}
            let_go.set()
            assert (await task).status == 200 and (await it.ask(message("GET /"))).status == 200
            await until(lambda: not before.connections.connections)

    run(test)


@pytest.mark.parametrize("what", BROKEN)
def test_a_broken_file_leaves_the_setup_in_force(
    tmp_path: Path, what: str, caplog: pytest.LogCaptureFixture
) -> None:
    old, new, told = BROKEN[what]

    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}) as it:
            client = await it.connect()
            generation = it.daemon.generation
            with caplog.at_level(logging.ERROR):
                assert not await it.change(GOOD.replace(old, new, 1))
            assert it.daemon.generation is generation
            assert "reload refused" in caplog.text and str(it.path) in caplog.text and told in caplog.text
            assert (await client.ask(message("GET /"))).status == 200
            client.close()

    run(test)


def test_an_address_that_is_taken_refuses_the_whole_reload(tmp_path: Path) -> None:
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
            kept = Client(*await asyncio.open_connection("127.0.0.1", it.daemon.addresses()["free"][1]))
            assert (await kept.ask(message("GET /"))).status == 200
            assert await it.change(text)  # the listeners go, with their idle connections
            assert await kept.ended() and set(it.daemon.services.listeners.active) == {"web"}
        taken.stop()

    run(test)


# The process


def start_process(path: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "plovertrail.cli", "serve", str(path)],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )


async def line_with(process: subprocess.Popen[str], words: str) -> str:
    """The next line of its log that holds these words."""
    assert process.stderr is not None
    async with asyncio.timeout(PATIENCE_S):
        while True:
            line = await asyncio.to_thread(process.stderr.readline)
            assert line, "the process has ended"
            if words in line:
                return line


def test_the_process_lives_through_sighup_and_answers_all_before_it_ends(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(slowly(OK, 0.05)) for _ in range(4)]
        for server in servers:
            await server.start()
        port, path = free_port(), tmp_path / "site.toml"
        good = site(port, {"main": servers})
        path.write_text(good)
        process = start_process(path)
        try:
            await line_with(process, f"listener open name=web address=127.0.0.1:{port}")
            it = Running(None, port, path)  # type: ignore[arg-type]
            stopping, answered, sent = asyncio.Event(), set[str](), set[str]()

            async def client(name: int) -> None:
                connection = await it.connect()
                for number in range(10_000):
                    ident = f"{name}-{number}"
                    try:
                        sent.add(ident)
                        reply = await connection.ask(
                            message("POST /buy", f"X-Request-Id: {ident}", body=b"x")
                        )
                    except (asyncio.IncompleteReadError, ConnectionError):
                        assert stopping.is_set()
                        return
                    assert reply.status in (200, 503)
                    answered.add(ident)
                    if reply.all("Connection") == ["close"]:
                        assert stopping.is_set()
                        return

            async with asyncio.TaskGroup() as group:
                for name in range(8):
                    group.create_task(client(name))
                await asyncio.sleep(0.2)
                path.write_text("nonsense")
                process.send_signal(signal.SIGHUP)
                assert str(path) in await line_with(process, "reload refused")
                path.write_text(good.replace('deadline = "15s"', 'deadline = "14s"'))
                process.send_signal(signal.SIGHUP)
                await line_with(process, "configuration in force generation=2")
                await asyncio.sleep(0.2)
                stopping.set()
                process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
            ran = [
                arrival.all("X-Request-Id")[0].decode() for server in servers for arrival in server.arrivals
            ]
            assert len(ran) == len(set(ran)) and set(ran) <= answered <= sent
        finally:
            process.kill()
            process.communicate()
            for server in servers:
                server.stop()

    run(test)


def test_a_start_that_can_not_be_says_why_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text("listeners = 1")
    process = start_process(path)
    _, errors = process.communicate(timeout=PATIENCE_S)
    assert process.returncode == 2 and errors.startswith(f"{path}: ") and "listeners" in errors
