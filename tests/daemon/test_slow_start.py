"""Slow start of a daemon in a fleet, after startup and after a pause."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

from fakes.web import WebServer
from plovertrail.decisions.pacing import InstanceRank
from tests.daemons import Client, Held, Running, message, run, running
from tests.net import until

ROUTE = '[[routes]]\nname = "all"\nclass = "read"\npools = ["main"]\n'
FLEET = "[limits]\ninstances = 24\n"


@asynccontextmanager
async def one_of_many(
    folder: Path, held: list[Held], head: str = FLEET, extra: str = ""
) -> AsyncIterator[Running]:
    async with running(
        folder, {"main": [each.server for each in held]}, routes=ROUTE, head=head, pool_extra=extra
    ) as it:
        yield it


async def send(it: Running) -> Client:
    client = await it.connect()
    client.writer.write(message("GET /"))
    return client


def arrived(held: list[Held]) -> int:
    return sum(len(each.server.arrivals) for each in held)


async def send_burst(it: Running, held: list[Held], size: int, at_once: int) -> list[int]:
    """Send `size` requests at once, of which `at_once` are admitted; returns the statuses.

    The others are rejected before any of the admitted ones is answered.
    """
    before = arrived(held)
    clients = [await send(it) for _ in range(size)]
    await until(lambda: arrived(held) == before + at_once)
    statuses = []
    tasks = [asyncio.create_task(client.reply()) for client in clients]
    await until(lambda: sum(task.done() for task in tasks) == size - at_once)
    assert arrived(held) == before + at_once
    for each in held:
        for _ in range(size):
            each.release.release()
    for task in tasks:
        reply = await task
        statuses.append(reply.status)
        if reply.status == 503:
            assert 1 <= int(reply.all("Retry-After")[0]) <= 3
    for each in held:
        each.release = asyncio.Semaphore(0)
    for client in clients:
        client.close()
    return statuses


def test_an_instance_of_a_fleet_admits_few_requests_at_first_and_more_as_responses_arrive(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        held = [Held() for _ in range(4)]
        async with one_of_many(tmp_path, held) as it:
            clients = [await send(it)]
            await until(lambda: arrived(held) == 1)
            for each in held:
                each.release.release()
            assert (await clients[0].reply()).status == 200
            clients[0].close()
            for each in held:
                each.release = asyncio.Semaphore(0)
            assert sorted(await send_burst(it, held, 6, 3)) == [200] * 3 + [503] * 3
            progress = it.daemon.status()["pools"]["main"]["admission"]
            assert progress == {"window": 6, "servers": 4, "refused": 3}
            assert (await send_burst(it, held, 4, 4)) == [200] * 4, (
                "the slow start ends once the limit reaches the number of servers"
            )
            assert it.daemon.status()["pools"]["main"]["admission"] == {}

    run(test)


def test_a_pause_begins_a_new_slow_start(tmp_path: Path) -> None:
    async def test() -> None:
        held = [Held() for _ in range(3)]
        async with one_of_many(tmp_path, held) as it:
            admission = it.daemon.pools["main"].pool.admission
            assert admission is not None
            admission.finished = True
            it.daemon.resume_after_pause(5_000_000)
            assert sorted(await send_burst(it, held, 4, 2)) == [200] * 2 + [503] * 2

    run(test)


def test_a_single_instance_and_one_without_slow_start_admit_all_requests(tmp_path: Path) -> None:
    async def test(head: str) -> None:
        held = [Held() for _ in range(3)]
        async with one_of_many(tmp_path, held, head) as it:
            assert it.daemon.pools["main"].pool.admission is None
            assert (await send_burst(it, held, 3, 3)) == [200] * 3

    run(lambda: test(""))
    run(lambda: test(FLEET + "[fleet]\nslow_start = false\n"))


def test_in_a_pool_with_a_fair_queue_requests_wait_instead_of_being_rejected(tmp_path: Path) -> None:
    async def test() -> None:
        held = [Held() for _ in range(3)]
        async with one_of_many(tmp_path, held, extra='fair = { max_wait = "14s" }') as it:
            clients = [await send(it) for _ in range(5)]
            await until(lambda: arrived(held) == 2)
            tasks = [asyncio.create_task(client.reply()) for client in clients]
            for _ in range(3):
                await asyncio.sleep(0)
            assert arrived(held) == 2
            assert not any(task.done() for task in tasks)
            for each in held:
                for _ in range(5):
                    each.release.release()
            assert [(await task).status for task in tasks] == [200] * 5
            for client in clients:
                client.close()

    run(test)


def test_a_request_that_a_pool_does_not_admit_fails_over_to_the_next_pool(tmp_path: Path) -> None:
    async def test() -> None:
        held, spare = Held(), WebServer()
        routes = ROUTE.replace('["main"]', '["main", "spare"]')
        async with running(
            tmp_path, {"main": [held.server], "spare": [spare]}, routes=routes, head=FLEET
        ) as it:
            admission = it.daemon.pools["main"].pool.admission
            assert admission is not None
            admission.admits = lambda in_flight, _now_us: in_flight < 1  # type: ignore[method-assign, assignment]
            first = await send(it)
            await until(lambda: len(held.server.arrivals) == 1)
            assert (await it.ask(message("GET /"))).status == 200
            assert len(spare.arrivals) == 1
            held.release.release()
            assert (await first.reply()).status == 200
            first.close()

    run(test)


def test_the_rank_is_known_before_the_first_request_and_follows_the_list(tmp_path: Path) -> None:
    async def test() -> None:
        path = tmp_path / "instances.txt"
        path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(4)))
        head = f'[fleet]\nname = "app-2"\ninstances_from = "{path}"\n'
        async with running(tmp_path, {"main": [WebServer()]}, routes=ROUTE, head=head) as it:
            assert it.daemon.services.pools.fleet_tracker.rank == InstanceRank(2, 4)
            assert it.daemon.services.pools.fleet_tracker.fleet.size == 4
            path.write_text("".join(f"127.0.0.1:{9000 + n} id=app-{n}\n" for n in range(1, 3)))
            await until(lambda: it.daemon.services.pools.fleet_tracker.rank == InstanceRank(1, 2))

    run(test)


def test_a_reload_that_rebuilds_a_pool_begins_no_slow_start(tmp_path: Path) -> None:
    async def test() -> None:
        held = [Held() for _ in range(3)]
        async with one_of_many(tmp_path, held) as it:
            before = it.daemon.pools["main"]
            it.path.write_text(it.path.read_text().replace("[pools.main]", "[pools.main]\nattempts = 2"))
            assert await it.daemon.reload()
            assert it.daemon.pools["main"] is not before
            assert it.daemon.pools["main"].pool.admission is None

    run(test)
