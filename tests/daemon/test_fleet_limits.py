"""A daemon that is one of many instances: its limits on connections, connect rate and endpoints."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import OK, WebServer, breaking, slowly
from plovertrail.clock import clock_us, override_clock
from plovertrail.config.operator import load
from plovertrail.config.problems import ConfigError
from plovertrail.decisions.connect_rate import BURST
from plovertrail.decisions.pacing import InstanceRank
from tests.daemons import Client, message, run, running, site
from tests.net import until

ROUTE = '[[routes]]\nname = "all"\nclass = "read"\npools = ["main"]\n'
FLEET = '[fleet]\nname = "app-1"\n'


def test_connections_stay_within_the_limits_of_one_instance(tmp_path: Path) -> None:
    """60 clients at once use at most a quarter of a server's 40 connections, as 4 instances share them."""

    async def test() -> None:
        servers = [WebServer(slowly(OK, 0.05)) for _ in range(4)]
        most_connections = 0

        async def ask(client: Client) -> list[int]:
            nonlocal most_connections
            statuses = []
            for _ in range(5):
                statuses.append((await client.ask(message("GET /"))).status)
                most_connections = max(most_connections, *(len(server.lines) for server in servers))
            return statuses

        share = "share = { connections = 40 }"
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra=share, head="[limits]\ninstances = 4\n"
        ) as it:
            instance_limits = it.daemon.pools["main"].limits
            clients = [await it.connect() for _ in range(60)]
            found = [status for each in await asyncio.gather(*map(ask, clients)) for status in each]
            for client in clients:
                client.close()
            assert 1 < instance_limits.connections <= 40
            assert instance_limits.keep_idle
            assert set(found) <= {200, 503}
            assert found.count(200) > 0
            assert 0 < most_connections <= instance_limits.connections_per_endpoint
            assert most_connections * 4 <= 40
            assert it.daemon.pools["main"].connections.count <= instance_limits.connections

    run(test)


@pytest.mark.parametrize("machine_up_s", [60, 10_000, 1_000_000])
def test_over_the_connect_rate_a_request_is_rejected_with_retry_after(
    tmp_path: Path, machine_up_s: int
) -> None:
    """The clock counts from the boot of the machine, less than one connect interval ago or many."""

    async def test() -> None:
        began_us = clock_us()
        servers = [WebServer() for _ in range(2)]
        extra = 'retry_after = "1h"\nshare = { dials_per_s = 20.0 }'
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra=extra, head="[limits]\ninstances = 100000\n"
        ) as it:
            rate_limit = it.daemon.pools["main"].connections.limits.rate
            assert rate_limit is not None
            assert rate_limit.interval_us > 1_000_000_000
            assert began_us < rate_limit.next_us <= clock_us() + rate_limit.interval_us
            # the random initial value may allow a connect at any moment
            rate_limit.full_burst_us = clock_us() + rate_limit.interval_us * BURST
            reply = await it.ask(message("GET /"))  # it is buffered for half its aim
            assert reply.status == 503
            assert float(reply.all("Retry-After")[0]) > 1
            assert sum(server.connections for server in servers) == 0
            # one connect is allowed, and no more
            rate_limit.full_burst_us = clock_us() + rate_limit.interval_us * (BURST - 1)
            assert (await it.ask(message("GET /"))).status == 200
            # the one connection is reused, and no other is opened
            assert [(await it.ask(message("GET /"))).status for _ in range(20)] == [200] * 20
            assert sum(server.connections for server in servers) == 1

    began_ns = time.monotonic_ns()
    with override_clock(lambda: time.monotonic_ns() - began_ns + machine_up_s * 1_000_000_000):
        run(test)


def test_a_request_that_waits_for_the_connect_rate_is_sent_when_it_allows(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer()]
        # a request is buffered for half its aim, which is far longer than this test takes
        extra = 'share = { dials_per_s = 20.0 }\nclasses = { read = { aim = "15s" } }'
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra=extra, head="[limits]\ninstances = 1000\n"
        ) as it:
            rate_limit = it.daemon.pools["main"].connections.limits.rate
            assert rate_limit is not None
            dispatcher = it.daemon.dispatcher
            rate_limit.full_burst_us = dispatcher.pools[0].balancer.now_us + 3_600_000_000
            client = await it.connect()
            client.writer.write(message("GET /"))
            await until(lambda: bool(dispatcher.requests))
            timer = dispatcher.pools[0].connect_timer
            assert timer is not None
            assert servers[0].connections == 0
            rate_limit.full_burst_us = 0
            dispatcher.sequence._on_connectable(dispatcher.pools[0])  # what the timer does
            assert (await client.reply()).status == 200
            client.close()
            timer.cancel()

    run(test)


def test_an_instance_keeps_to_its_subset_until_its_endpoints_drain(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer() for _ in range(10)]
        async with running(
            tmp_path,
            {"main": servers},
            routes=ROUTE,
            pool_extra="share = { servers = 2 }",
            head=FLEET,
        ) as it:
            for _ in range(40):
                assert (await it.ask(message("GET /"))).status == 200
            subset = {number for number, server in enumerate(servers) if server.count}
            assert len(subset) == 2
            for number in subset:
                assert not it.daemon.drain("main", f"main{number}", True)
            before = [server.count for server in servers]
            for _ in range(40):
                assert (await it.ask(message("GET /"))).status == 200
            after = [server.count for server in servers]
            new_subset = {number for number in range(10) if after[number] > before[number]}
            assert len(new_subset) == 2
            assert new_subset.isdisjoint(subset)
            assert it.daemon.status()["pools"]["main"]["share"]["servers"] == 2

    run(test)


def test_a_deduplicated_request_is_retried_within_its_whole_cell(tmp_path: Path) -> None:
    """When the server that got a request breaks, the others of its cell are in the subset, however small."""

    async def test() -> None:
        servers = [WebServer(row=f', cell = "c{number // 3}"') for number in range(12)]
        route = '[[routes]]\nname = "all"\nclass = "mark"\npools = ["main"]\n'
        async with running(
            tmp_path, {"main": servers}, routes=route, pool_extra="share = { servers = 1 }", head=FLEET
        ) as it:
            serving = it.daemon.dispatcher.pools[0].serving
            assert len(serving) == 3
            key = "Idempotency-Key: k"
            assert (await it.ask(message("POST /mark", key))).status == 200
            cell = next(number for number, server in enumerate(servers) if server.count) // 3
            broken = servers[3 * cell]
            broken.script = breaking
            for number in range(30):
                assert (await it.ask(message("POST /mark", f"Idempotency-Key: {number}"))).status == 200
            assert broken.count > 0
            assert all(server.count == 0 for n, server in enumerate(servers) if n // 3 != cell)

    run(test)


def test_the_fleet_size_follows_its_list_and_an_invalid_list_changes_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "instances.txt"
        path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(50)))
        head = f'[limits]\ninstances = 500\n[fleet]\ninstances_from = "{path}"\n'
        async with running(
            tmp_path,
            {"main": [WebServer() for _ in range(5)]},
            routes=ROUTE,
            pool_extra="share = { connections = 100 }",
            head=head,
        ) as it:
            assert it.daemon.services.pools.fleet_tracker.fleet.size == 50, "before the first request"
            assert it.daemon.services.pools.fleet_tracker.rank == InstanceRank(None, 50), (
                "the instance is not in the list"
            )
            previous = it.daemon.pools["main"].limits.connections
            path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(500)))
            await until(lambda: it.daemon.services.pools.fleet_tracker.fleet.size == 500)
            assert it.daemon.pools["main"].limits.connections < previous
            path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(50)))
            await until(lambda: it.daemon.services.pools.fleet_tracker.fleet.size == 50)
            for bad in ("", "nonsense\n"):
                path.write_text(bad)
                await until(lambda: it.daemon.status()["fleet"]["problem"] != "")
                assert it.daemon.services.pools.fleet_tracker.fleet.size == 50
                path.write_text("127.0.0.1:9000 id=a\n127.0.0.1:9001 id=b\n" * 1)
                await until(lambda: it.daemon.services.pools.fleet_tracker.fleet.size == 2)
                assert it.daemon.status()["fleet"]["problem"] == ""
                path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(50)))
                await until(lambda: it.daemon.services.pools.fleet_tracker.fleet.size == 50)

    run(test)


def test_oversubscription_is_reported_and_no_idle_connection_is_kept(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer() for _ in range(2)]
        head = "[limits]\ninstances = 5000\n"
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra="share = { connections = 100 }", head=head
        ) as it:
            problems = it.daemon.status()["pools"]["main"]["problems"]
            assert problems
            assert "5000 instances on 2 servers" in problems[0]
            assert not it.daemon.pools["main"].limits.keep_idle
            assert (await it.ask(message("GET /"))).status == 200
            assert it.daemon.pools["main"].connections.count == 0

    run(test)


@pytest.mark.parametrize(
    ("head", "share", "expected"),
    [
        ("", "{ servers = 2 }", "fleet.name: missing, and pools.main.share.servers chooses by it"),
        ('[fleet]\nname = "env:NO_SUCH_VARIABLE"\n', "{}", "the environment has no NO_SUCH_VARIABLE"),
        ("", "{ conections = 3 }", "pools.main.share.conections: unknown key"),
        ("", "{ connections = -3 }", "pools.main.share.connections"),
    ],
)
def test_a_configuration_problem_is_reported_with_its_location(
    tmp_path: Path, head: str, share: str, expected: str
) -> None:
    path = tmp_path / "site.toml"
    server = WebServer(port=free_port())
    path.write_text(site(free_port(), {"main": [server]}, ROUTE, pool_extra=f"share = {share}", head=head))
    with pytest.raises(ConfigError) as caught:
        load(str(path))
    assert expected in str(caught.value)


def test_an_instance_name_from_the_environment_selects_the_subset(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "site.toml"
    server = WebServer(port=free_port())
    path.write_text(site(free_port(), {"main": [server]}, ROUTE, head='[fleet]\nname = "env:POD"\n'))
    numbers = []
    for name in ("app-1", "app-2", "app-1"):
        monkeypatch.setenv("POD", name)
        numbers.append(load(str(path)).fleet.fleet.number)
    assert numbers[0] == numbers[2] != numbers[1]
