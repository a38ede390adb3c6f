"""A pool's fair queue in a daemon: which request is next, which is rejected, and that none is lost."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from fakes.live import LiveServer
from fakes.web import NOT_RUN, WebServer, always
from tests.daemons import Client, Held, Running, message, run, running
from tests.net import until
from tests.websocket_site import SOCKETS, live_site

ROUTES = """
[[routes]]
name = "all"
class = "buy"
pools = [{pools}]
tenant = "header:X-Tenant"
"""
TENANTS = "".join(f"[tenants.{name}]\nallowance_per_s = 10\n" for name in ("big", "small"))
LONG_WAIT = 'fair = { max_wait = "14s" }'


@asynccontextmanager
async def site(
    folder: Path, held: Held, extra: str = LONG_WAIT, head: str = TENANTS, spare: WebServer | None = None
) -> AsyncIterator[Running]:
    pools = {"main": [held.server]} | ({"spare": [spare]} if spare is not None else {})
    names = ", ".join(f'"{name}"' for name in pools)
    async with running(folder, pools, routes=ROUTES.format(pools=names), head=head, pool_extra=extra) as it:
        yield it


async def start_request(it: Running, tenant: str) -> Client:
    client = await it.connect()
    client.writer.write(message("POST /buy", f"X-Tenant: {tenant}", body=b"coins"))
    return client


def waiting(it: Running) -> dict[str, int]:
    fair: dict[str, Any] = it.daemon.status()["pools"]["main"]["fair"]
    return {name: each["waiting"] for name, each in fair.items()}


async def fill_queue(it: Running, held: Held, queued: int) -> list[Client]:
    """Start one request that the server holds, and fill the queue with more of the same tenant."""
    clients = [await start_request(it, "big")]
    await until(lambda: len(held.order) == 1)
    clients += [await start_request(it, "big") for _ in range(queued)]
    await until(lambda: waiting(it)["big"] == queued)
    return clients


def test_a_small_tenant_is_admitted_before_the_queue_of_a_big_one(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with site(tmp_path, held) as it:
            clients = await fill_queue(it, held, 5)
            clients.append(await start_request(it, "small"))
            await until(lambda: waiting(it)["small"] == 1)
            # This response frees at most two slots, and five requests were queued earlier.
            held.release.release()
            await until(lambda: "small" in held.order)
            for _ in range(7):
                held.release.release()
            for client in clients:
                assert (await client.reply()).status == 200
                client.close()
            assert sorted(held.order) == ["big"] * 6 + ["small"]
            found = it.daemon.status()["pools"]["main"]["fair"]
            assert (found["big"]["admitted"], found["small"]["admitted"]) == (6, 1)
            assert found["big"]["at_work"] == found["small"]["at_work"] == 0
            assert found["big"]["work_s"] > 0

    run(test)


def test_a_request_whose_client_disconnects_leaves_the_queue(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with site(tmp_path, held) as it:
            clients = await fill_queue(it, held, 2)
            clients[1].close()
            await until(lambda: waiting(it)["big"] == 1)
            for _ in range(3):
                held.release.release()
            for client in (clients[0], clients[2]):
                assert (await client.reply()).status == 200
                client.close()
            assert held.order == ["big"] * 2

    run(test)


def test_a_request_queued_for_too_long_is_rejected_with_retry_after(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with site(tmp_path, held, 'fair = { max_wait = "100ms" }') as it:
            first = await start_request(it, "big")
            await until(lambda: len(held.order) == 1)
            reply = await it.ask(message("POST /buy", "X-Tenant: big", body=b"coins"))
            assert reply.status == 503
            assert 1 <= int(reply.all("Retry-After")[0]) <= 2
            assert held.order == ["big"]
            assert waiting(it)["big"] == 0
            held.release.release()
            assert (await first.reply()).status == 200
            first.close()

    run(test)


def test_a_request_with_a_shorter_deadline_than_those_ahead_is_rejected_within_it(tmp_path: Path) -> None:
    """The status is 503, as the request never ran, and not the 504 of a timeout."""

    async def test() -> None:
        held = Held()
        async with site(tmp_path, held) as it:
            clients = await fill_queue(it, held, 1)
            short_deadline = message("POST /buy", "X-Tenant: small", "X-Deadline-Ms: 400", body=b"coins")
            assert (await it.ask(short_deadline)).status == 503
            assert waiting(it) == {"big": 1, "small": 0, "(others)": 0}
            assert held.order == ["big"]
            for _ in range(2):
                held.release.release()
            for client in clients:
                assert (await client.reply()).status == 200
                client.close()

    run(test)


def test_a_full_queue_rejects_from_the_longest_tenant_queue_and_the_next_pool_takes_it(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        held, spare = Held(), WebServer()
        extra = 'fair = { max_wait = "14s", max_waiting = 2 }'
        async with site(tmp_path, held, extra, spare=spare) as it:
            clients = await fill_queue(it, held, 2)
            reply = await it.ask(message("POST /buy", "X-Tenant: big", body=b"coins"))
            assert reply.status == 200
            assert spare.count == 1
            small = await start_request(it, "small")
            # A queued request of the big tenant is rejected to make room.
            await until(lambda: spare.count == 2)
            assert waiting(it) == {"big": 1, "small": 1, "(others)": 0}
            for _ in range(3):
                held.release.release()
            for client in (*clients, small):
                assert (await client.reply()).status == 200
                client.close()
            assert sorted(held.order) == ["big", "big", "small"]

    run(test)


@pytest.mark.parametrize("change", ["weights", "off"])
def test_a_reload_loses_no_queued_request(change: str, tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with site(tmp_path, held) as it:
            clients = await fill_queue(it, held, 3)
            text = it.path.read_text()
            if change == "weights":
                text = text.replace("[tenants.big]", "[tenants.big]\nweight = 5")
                assert await it.change(text.replace("14s", "13s"))
                assert waiting(it)["big"] == 3
                assert it.daemon.status()["pools"]["main"]["fair"]["big"]["weight"] == 5
            else:
                # all are admitted at once: the load balancer buffers one of them, and rejects the others
                assert await it.change(text.replace(LONG_WAIT, ""))
                assert it.daemon.status()["pools"]["main"]["fair"] == {}
            for _ in range(4):
                held.release.release()
            found = [(await client.reply()).status for client in clients]
            assert found == [200] * 4 if change == "weights" else sorted(set(found)) in ([200], [200, 503])
            for client in clients:
                client.close()
            assert not it.daemon.dispatcher.requests

    run(test)


def test_a_stop_answers_all_queued_requests(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with site(tmp_path, held) as it:
            clients = await fill_queue(it, held, 3)
            stopping = asyncio.create_task(it.daemon.stop())
            for _ in range(4):
                held.release.release()
            assert [(await client.reply()).status for client in clients] == [200] * 4
            for client in clients:
                client.close()
            await stopping

    run(test)


def test_tenants_that_are_not_listed_share_one_queue(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with site(tmp_path, held) as it:
            clients = await fill_queue(it, held, 1)
            clients += [await start_request(it, f"made-up-{number}") for number in range(20)]
            await until(lambda: waiting(it)["(others)"] == 20)
            assert set(waiting(it)) == {"big", "small", "(others)"}
            for _ in range(22):
                held.release.release()
            for client in clients:
                assert (await client.reply()).status == 200
                client.close()

    run(test)


def test_a_pool_that_does_not_configure_a_fair_queue_has_none(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        held.release.release()
        async with site(tmp_path, held, extra="") as it:
            assert it.daemon.status()["pools"]["main"]["fair"] == {}
            assert (await it.ask(message("POST /buy", "X-Tenant: big", body=b"coins"))).status == 200

    run(test)


def test_a_request_that_fails_over_is_no_longer_in_flight_in_the_first_pool(tmp_path: Path) -> None:
    async def test() -> None:
        held, spare = Held(), WebServer()
        held.server.script = always(NOT_RUN)
        async with site(tmp_path, held, spare=spare) as it:
            reply = await it.ask(message("POST /buy", "X-Tenant: big", body=b"coins"))
            assert reply.status == 200
            assert spare.count == 1
            found = it.daemon.status()["pools"]["main"]["fair"]["big"]
            assert found["admitted"] == 1
            assert found["at_work"] == 0
            queue = it.daemon.pools["main"].pool.queue
            assert queue is not None
            tenant_queue = queue.fair_queue
            assert not tenant_queue.in_flight
            assert not tenant_queue.active

    run(test)


def test_handshakes_are_queued_and_hold_no_slot_once_they_are_websockets(tmp_path: Path) -> None:
    """Slots become free one response at a time: in a burst each handshake waits, and none is rejected."""

    async def test() -> None:
        pool = SOCKETS + '\nfair = { max_wait = "14s" }'
        async with live_site(tmp_path, [LiveServer()], pool=pool) as it:
            clients = [await it.connect() for _ in range(20)]
            found = await asyncio.gather(*(client.ask_socket("/") for client in clients))
            assert found == [101] * 20
            queue = it.daemon.pools["main"].pool.queue
            assert queue is not None
            tenant_queue = queue.fair_queue
            assert tenant_queue.tenants[""].admitted == 20
            assert not tenant_queue.in_flight
            assert not tenant_queue.waiting
            for client in clients:
                client.close()

    run(test)
