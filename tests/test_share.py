"""A daemon that is one of many: its part of connections, dials and servers, over real sockets."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import OK, WebServer, breaking, slowly
from plovertrail.clock import another_clock, clock_us
from plovertrail.config.operator import load
from plovertrail.config.problems import ConfigError
from plovertrail.decisions.actions import Action
from plovertrail.decisions.connect_rate import BURST
from plovertrail.decisions.events import Endpoint, EndpointStatus, EndpointsUpdated, Event, ListKind
from plovertrail.decisions.pacing import InstanceRank
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.decisions.subsetting import EndpointSubset
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.endpoint_feed import SLICE_SIZE
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.upstreams.connection_pool import ConnectionPool
from tests.daemons import Client, message, run, running, site
from tests.net import until

ROUTE = '[[routes]]\nname = "all"\nclass = "read"\npools = ["main"]\n'
FLEET = '[fleet]\nname = "app-1"\n'


def test_connections_stay_within_the_part_of_one_of_many(tmp_path: Path) -> None:
    """60 clients at once, and each server gets no more connections than it bears from 4 instances."""

    async def test() -> None:
        servers = [WebServer(slowly(OK, 0.05)) for _ in range(4)]
        most = 0

        async def ask(client: Client) -> list[int]:
            nonlocal most
            statuses = []
            for _ in range(5):
                statuses.append((await client.ask(message("GET /"))).status)
                most = max(most, *(len(server.lines) for server in servers))
            return statuses

        share = "share = { connections = 40 }"
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra=share, head="[limits]\ninstances = 4\n"
        ) as it:
            budget = it.daemon.pools["main"].limits
            clients = [await it.connect() for _ in range(60)]
            found = [status for each in await asyncio.gather(*map(ask, clients)) for status in each]
            for client in clients:
                client.close()
            assert 1 < budget.connections <= 40 and budget.keep_idle
            assert set(found) <= {200, 503} and found.count(200) > 0
            assert 0 < most <= budget.connections_per_endpoint and most * 4 <= 40
            assert it.daemon.pools["main"].connections.count <= budget.connections

    run(test)


@pytest.mark.parametrize("machine_up_s", [60, 10_000, 1_000_000])
def test_without_a_turn_to_dial_a_request_is_refused_and_told_when_to_come_back(
    tmp_path: Path, machine_up_s: int
) -> None:
    """The clock counts from the start of the machine, which may be less than a turn ago or many turns."""

    async def test() -> None:
        began_us = clock_us()
        servers = [WebServer() for _ in range(2)]
        extra = 'retry_after = "1h"\nshare = { dials_per_s = 20.0 }'
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra=extra, head="[limits]\ninstances = 100000\n"
        ) as it:
            turns = it.daemon.pools["main"].connections.limits.rate
            assert turns is not None and turns.interval_us > 1_000_000_000
            assert began_us < turns.next_us <= clock_us() + turns.interval_us
            # the drawn one may come at any moment
            turns.full_burst_us = clock_us() + turns.interval_us * BURST
            reply = await it.ask(message("GET /"))  # it waits for half its aim in the buffer
            assert reply.status == 503 and float(reply.all("Retry-After")[0]) > 1
            assert sum(server.connections for server in servers) == 0
            # one connect is allowed, and no more
            turns.full_burst_us = clock_us() + turns.interval_us * (BURST - 1)
            assert (await it.ask(message("GET /"))).status == 200
            # the one connection carries on, and there is no other
            assert [(await it.ask(message("GET /"))).status for _ in range(20)] == [200] * 20
            assert sum(server.connections for server in servers) == 1

    began_ns = time.monotonic_ns()
    with another_clock(lambda: time.monotonic_ns() - began_ns + machine_up_s * 1_000_000_000):
        run(test)


def test_a_request_that_waits_for_a_turn_is_sent_when_it_comes(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer()]
        # a request waits for half its aim: far longer than any machine needs for this
        extra = 'share = { dials_per_s = 20.0 }\nclasses = { read = { aim = "15s" } }'
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra=extra, head="[limits]\ninstances = 1000\n"
        ) as it:
            turns = it.daemon.pools["main"].connections.limits.rate
            assert turns is not None
            dispatcher = it.daemon.dispatcher
            turns.full_burst_us = dispatcher.pools[0].balancer.now_us + 3_600_000_000
            client = await it.connect()
            client.writer.write(message("GET /"))
            await until(lambda: bool(dispatcher.requests))
            timer = dispatcher.pools[0].connect_timer
            assert timer is not None and servers[0].connections == 0
            turns.full_burst_us = 0
            dispatcher.sequence._on_connectable(dispatcher.pools[0])  # what the timer does
            assert (await client.reply()).status == 200
            client.close()
            timer.cancel()

    run(test)


def test_an_instance_keeps_to_its_servers_until_they_drain(tmp_path: Path) -> None:
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
            mine = {number for number, server in enumerate(servers) if server.count}
            assert len(mine) == 2
            for number in mine:
                assert not it.daemon.drain("main", f"main{number}", True)
            before = [server.count for server in servers]
            for _ in range(40):
                assert (await it.ask(message("GET /"))).status == 200
            after = [server.count for server in servers]
            now = {number for number in range(10) if after[number] > before[number]}
            assert len(now) == 2 and now.isdisjoint(mine)
            assert it.daemon.status()["pools"]["main"]["share"]["servers"] == 2

    run(test)


def test_a_keyed_request_goes_on_within_its_whole_cell(tmp_path: Path) -> None:
    """The one that got it breaks; the others of its cell are in the subset, however small that is."""

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
            mine = next(number for number, server in enumerate(servers) if server.count) // 3
            broken = servers[3 * mine]
            broken.script = breaking
            for number in range(30):
                assert (await it.ask(message("POST /mark", f"Idempotency-Key: {number}"))).status == 200
            assert broken.count > 0
            assert all(server.count == 0 for n, server in enumerate(servers) if n // 3 != mine)

    run(test)


def test_the_fleet_is_counted_by_its_list_and_a_bad_list_changes_nothing(tmp_path: Path) -> None:
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
            assert it.daemon.services.pools.fleet.fleet.size == 50, "before anything is sent"
            assert it.daemon.services.pools.fleet.rank == InstanceRank(None, 50), "it has no name in the list"
            more = it.daemon.pools["main"].limits.connections
            path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(500)))
            await until(lambda: it.daemon.services.pools.fleet.fleet.size == 500)
            assert it.daemon.pools["main"].limits.connections < more
            path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(50)))
            await until(lambda: it.daemon.services.pools.fleet.fleet.size == 50)
            for bad in ("", "nonsense\n"):
                path.write_text(bad)
                await until(lambda: it.daemon.status()["fleet"]["problem"] != "")
                assert it.daemon.services.pools.fleet.fleet.size == 50
                path.write_text("127.0.0.1:9000 id=a\n127.0.0.1:9001 id=b\n" * 1)
                await until(lambda: it.daemon.services.pools.fleet.fleet.size == 2)
                assert it.daemon.status()["fleet"]["problem"] == ""
                path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(50)))
                await until(lambda: it.daemon.services.pools.fleet.fleet.size == 50)

    run(test)


def test_more_instances_than_connections_are_told_loudly_and_none_is_kept(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer() for _ in range(2)]
        head = "[limits]\ninstances = 5000\n"
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra="share = { connections = 100 }", head=head
        ) as it:
            problems = it.daemon.status()["pools"]["main"]["problems"]
            assert problems and "5000 instances on 2 servers" in problems[0]
            assert not it.daemon.pools["main"].limits.keep_idle
            assert (await it.ask(message("GET /"))).status == 200
            assert it.daemon.pools["main"].connections.count == 0

    run(test)


@pytest.mark.parametrize(
    ("head", "share", "told"),
    [
        ("", "{ servers = 2 }", "fleet.name: missing, and pools.main.share.servers chooses by it"),
        ('[fleet]\nname = "env:NO_SUCH_VARIABLE"\n', "{}", "the environment has no NO_SUCH_VARIABLE"),
        ("", "{ conections = 3 }", "pools.main.share.conections: unknown key"),
        ("", "{ connections = -3 }", "pools.main.share.connections"),
    ],
)
def test_what_is_wrong_is_told_with_its_place(tmp_path: Path, head: str, share: str, told: str) -> None:
    path = tmp_path / "site.toml"
    server = WebServer(port=free_port())
    path.write_text(site(free_port(), {"main": [server]}, ROUTE, pool_extra=f"share = {share}", head=head))
    with pytest.raises(ConfigError) as caught:
        load(str(path))
    assert told in str(caught.value)


def test_a_name_from_the_environment_chooses(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "site.toml"
    server = WebServer(port=free_port())
    path.write_text(site(free_port(), {"main": [server]}, ROUTE, head='[fleet]\nname = "env:POD"\n'))
    numbers = []
    for name in ("app-1", "app-2", "app-1"):
        monkeypatch.setenv("POD", name)
        numbers.append(load(str(path)).fleet.fleet.number)
    assert numbers[0] == numbers[2] != numbers[1]


# Long lists


class Told:
    """A host with one pool, and the lists that its module gets."""

    def __init__(self) -> None:
        self.dispatcher = Dispatcher()
        settings = Settings(classes=[RequestClass("read", 100_000, 400_000)])
        self.pool: ServerPool = self.dispatcher.pools.add(
            "p", settings, 1, ConnectionPool(1_000_000, 1_000_000, 10)
        )
        self.lists: list[EndpointsUpdated] = []
        handle = self.pool.balancer.handle

        def listen(now_us: int, event: Event) -> list[Action]:
            if isinstance(event, EndpointsUpdated):
                self.lists.append(event)
            return handle(now_us, event)

        self.pool.balancer.handle = listen  # type: ignore[method-assign]

    def tell(self, kind: ListKind, entries: list[Endpoint]) -> None:
        self.dispatcher.pools.update_endpoints(self.pool, EndpointsUpdated(kind, entries), where(entries))

    async def settle(self) -> None:
        while self.pool.feed.has_pending:
            await asyncio.sleep(0)


def where(entries: list[Endpoint]) -> dict[int, tuple[str, int]]:
    return {entry.id: ("127.0.0.1", 1 + entry.id) for entry in entries}


def test_a_long_list_is_told_in_slices_and_drains_overtake_it() -> None:
    async def test() -> None:
        told = Told()
        entries = [Endpoint(number) for number in range(1, 1_101)]
        told.tell(ListKind.CACHED, entries)
        assert len(told.pool.balancer.endpoints) == SLICE_SIZE
        await asyncio.sleep(0)
        assert len(told.pool.balancer.endpoints) == 2 * SLICE_SIZE
        # before the rest has been told: one that is known drains, one that isn't yet goes, another changes
        told.tell(
            ListKind.DELTA,
            [
                Endpoint(1, EndpointStatus.DRAINING),
                Endpoint(1_000, EndpointStatus.REMOVED),
                Endpoint(1_001, weight=7.0),
            ],
        )
        assert 1 not in told.pool.balancer.endpoints and 1 not in told.pool.serving
        await told.settle()
        servers = told.pool.balancer.endpoints
        assert servers.keys() == set(range(2, 1_101)) - {1_000} and servers[1_001].listed.weight == 7.0
        assert told.pool.serving == servers.keys() == told.pool.addresses.keys()
        assert all(len(event.endpoints) <= SLICE_SIZE for event in told.lists)
        assert all(server.fast_growth for server in servers.values() if server.listed.id != 1_001)

        # a whole list without half of them: these go before anything else is told
        told.tell(ListKind.FULL, entries[10:600])
        await asyncio.sleep(0)
        gone = [entry for event in told.lists[-2:] for entry in event.endpoints]
        assert len(gone) == 2 * SLICE_SIZE and {entry.state for entry in gone} == {EndpointStatus.REMOVED}
        await told.settle()
        assert told.pool.serving == set(range(11, 601)) == told.pool.balancer.endpoints.keys()
        told.tell(ListKind.FULL, entries[:3])
        await told.settle()
        assert told.pool.balancer.endpoints.keys() == {1, 2, 3} == told.pool.serving
        assert all(len(event.endpoints) <= SLICE_SIZE for event in told.lists)
        told.dispatcher.retire(told.pool)
        assert not told.pool.balancer.endpoints and not told.pool.serving

    run(test)


def test_what_a_whole_list_drops_before_it_was_told_never_comes() -> None:
    async def test() -> None:
        told = Told()
        told.tell(ListKind.FULL, [Endpoint(number) for number in range(1, 1_001)])
        told.tell(ListKind.FULL, [Endpoint(number) for number in range(701, 1_001)])
        await told.settle()
        assert told.pool.balancer.endpoints.keys() == set(range(701, 1_001)) == told.pool.serving
        assert told.pool.feed.listed.keys() == told.pool.serving

    run(test)


def test_a_watch_that_fails_between_two_slices_loses_nothing() -> None:
    async def test() -> None:
        told = Told()
        told.tell(ListKind.FULL, [Endpoint(number) for number in range(1, 1_001)])
        told.tell(ListKind.FAILED, [])
        await told.settle()
        assert len(told.pool.balancer.endpoints) == 1_000 == len(told.pool.serving)
        kinds = [event.kind for event in told.lists]
        assert kinds == [ListKind.FULL, ListKind.FAILED] + [ListKind.FULL] * 3

    run(test)


def test_a_long_list_is_ranked_in_slices_and_none_is_chosen_before_all_are_known() -> None:
    async def test() -> None:
        told = Told()
        told.pool.use_subset(EndpointSubset(5, 4))
        entries = [Endpoint(number) for number in range(1, 1_101)]
        told.tell(ListKind.CACHED, entries)
        assert not told.pool.serving
        await told.settle()
        whole = EndpointSubset(5, 4)
        whole.update(entries, where(entries))
        assert told.pool.serving == whole.selected.keys() == told.pool.balancer.endpoints.keys()
        drained = min(whole.selected)
        told.tell(ListKind.DELTA, [Endpoint(drained, EndpointStatus.DRAINING)])
        assert drained not in told.pool.serving and len(told.pool.serving) == 4
        told.tell(ListKind.FULL, entries[:600])
        await told.settle()
        assert len(told.pool.serving) == 4 and max(told.pool.serving) <= 600
        told.dispatcher.retire(told.pool)

    run(test)


def test_a_pool_that_retires_forgets_what_was_not_told_yet() -> None:
    async def test() -> None:
        told = Told()
        told.tell(ListKind.FULL, [Endpoint(number) for number in range(1, 1_001)])
        told.dispatcher.retire(told.pool)
        for _ in range(5):
            await asyncio.sleep(0)
        assert not told.pool.balancer.endpoints and not told.pool.serving

    run(test)
