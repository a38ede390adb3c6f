"""Limits by key in a daemon: which requests are rejected, what clients are told, when slots are released."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from fakes.live import LiveServer
from fakes.web import WebServer
from tests.daemons import LIMITED, Client, Held, Running, message, run, running
from tests.net import until
from tests.websocket_site import ROUTES as LIVE_ROUTES
from tests.websocket_site import live_site

TENANTS = "".join(f"[tenants.{name}]\nallowance_per_s = 10\n" for name in ("big", "small"))
SLOW = "rate_per_s = 0.01\nburst = 2"  # no further request is allowed during a test


def limiter(by: str, text: str) -> str:
    return f'{TENANTS}[limiters.it]\nby = "{by}"\n{text}\n'


def routes(client: str = "address") -> str:
    return LIMITED.replace("{client}", client)


def buy(*headers: str) -> bytes:
    return message("POST /buy", *headers, body=b"coins")


def test_a_client_over_its_rate_is_told_the_limit_and_when_to_retry(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        head = limiter("client", SLOW + '\nretry_after = "90s"')
        async with running(tmp_path, {"main": [server]}, routes=routes(), head=head) as it:
            client = await it.connect()
            found = [await client.ask(buy()) for _ in range(5)]
            assert [reply.status for reply in found] == [200, 200, 429, 429, 429]
            rejected = found[2]
            assert rejected.all("RateLimit-Policy") == ['"it";q=2;w=200']
            assert rejected.all("RateLimit") == [f'"it";r=0;t={rejected.all("Retry-After")[0]}']
            assert 60 < int(rejected.all("Retry-After")[0]) <= 90
            assert b"nothing has run" in rejected.body
            assert server.count == 2
            client.close()
            counts = it.daemon.status()["limiters"]["it"]
            assert counts == {
                "let_in": 2,
                "over_rate": 3,
                "over_concurrent": 0,
                "keys": 1,
                "without_place": 0,
            }
            assert not it.daemon.dispatcher.requests

    run(test)


def test_a_limiter_may_omit_the_rate_limit_headers(tmp_path: Path) -> None:
    async def test() -> None:
        head = limiter("all", SLOW.replace("2", "1") + "\ntell = false")
        async with running(tmp_path, {"main": [WebServer()]}, routes=routes(), head=head) as it:
            assert (await it.ask(buy())).status == 200
            rejected = await it.ask(buy())
            assert rejected.status == 429
            assert rejected.all("Retry-After")
            assert not rejected.all("RateLimit")
            assert not rejected.all("RateLimit-Policy")

    run(test)


def test_a_concurrency_slot_is_released_when_the_request_ends(tmp_path: Path) -> None:
    async def test() -> None:
        held = Held()
        async with running(
            tmp_path, {"main": [held.server]}, routes=routes(), head=limiter("tenant", "concurrent = 1")
        ) as it:
            first = await it.connect()
            first.writer.write(buy("X-Tenant: big"))
            await until(lambda: held.server.count == 1)
            assert (await it.ask(buy("X-Tenant: big"))).status == 429
            other = await it.connect()
            other.writer.write(buy("X-Tenant: small"))
            await until(lambda: len(it.daemon.dispatcher.requests) == 2)
            held.release.release()
            assert (await first.reply()).status == 200
            held.release.release()
            assert (await other.reply()).status == 200
            held.release.release()
            assert (await it.ask(buy("X-Tenant: big"))).status == 200
            first.close()
            other.close()
            assert it.daemon.status()["limiters"]["it"]["over_concurrent"] == 1

    run(test)


@asynccontextmanager
async def one_request_in_flight(folder: Path) -> AsyncIterator[tuple[Running, Held, Client]]:
    """A client that is limited to one concurrent request, which the server holds."""
    held = Held()
    async with running(
        folder, {"main": [held.server]}, routes=routes(), head=limiter("client", "concurrent = 1")
    ) as it:
        first = await it.connect()
        first.writer.write(buy())
        await until(lambda: held.server.count == 1)
        yield it, held, first
        first.close()


def test_a_client_that_disconnects_releases_its_slot(tmp_path: Path) -> None:
    async def test() -> None:
        async with one_request_in_flight(tmp_path) as (it, held, first):
            first.close()
            entries = it.daemon.services.limiters.active["it"].keys
            await until(lambda: all(entry.concurrent == 0 for entry in entries.values()))
            held.release.release()
            held.release.release()
            assert (await it.ask(buy())).status == 200

    run(test)


def test_a_request_that_the_pool_rejects_releases_its_slot(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(
            tmp_path, {"main": []}, routes=routes(), head=limiter("all", "concurrent = 1")
        ) as it:
            for _ in range(3):
                assert (await it.ask(buy())).status == 503
            assert [entry.concurrent for entry in it.daemon.services.limiters.active["it"].keys.values()] == [
                0
            ]

    run(test)


@pytest.mark.parametrize(
    ("client", "listener", "header"),
    [
        ("header:X-Client", "", "X-Client: {}"),
        (
            "forwarded",
            'forwarded = "x-forwarded-for"\ntrust_forwarded = true',
            "X-Forwarded-For: 203.0.113.9, 198.51.100.{}",
        ),
    ],
)
def test_clients_behind_one_address_are_limited_separately(
    client: str, listener: str, header: str, tmp_path: Path
) -> None:
    async def test() -> None:
        async with running(
            tmp_path,
            {"main": [WebServer()]},
            routes=routes(client),
            listener=listener,
            head=limiter("client", SLOW),
        ) as it:
            for number in range(3):
                found = [(await it.ask(buy(header.format(number)))).status for _ in range(3)]
                assert found == [200, 200, 429]

    run(test)


def test_an_untrusted_forwarded_address_is_ignored(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(
            tmp_path,
            {"main": [WebServer()]},
            routes=routes("forwarded"),
            listener='forwarded = "x-forwarded-for"',
            head=limiter("client", SLOW),
        ) as it:
            found = [(await it.ask(buy(f"X-Forwarded-For: 198.51.100.{n}"))).status for n in range(4)]
            assert found == [200, 200, 429, 429]

    run(test)


def test_a_reload_does_not_reset_the_burst_of_a_key(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(
            tmp_path, {"main": [WebServer()]}, routes=routes(), head=limiter("client", SLOW)
        ) as it:
            assert [(await it.ask(buy())).status for _ in range(3)] == [200, 200, 429]
            assert await it.change(it.path.read_text() + "\n# the same again")
            assert (await it.ask(buy())).status == 429
            assert await it.change(it.path.read_text().replace("burst = 2", "burst = 3"))
            assert [(await it.ask(buy())).status for _ in range(2)] == [200, 429]
            assert not await it.change(it.path.read_text().replace('by = "client"', 'by = "cleint"'))
            assert (await it.ask(buy())).status == 429
            assert await it.change(
                it.path.read_text().replace("cleint", "client").replace('limiters = ["it"]', "")
            )
            assert (await it.ask(buy())).status == 200

    run(test)


def test_a_request_open_during_a_reload_releases_its_slot(tmp_path: Path) -> None:
    async def test() -> None:
        async with one_request_in_flight(tmp_path) as (it, held, first):
            assert await it.change(it.path.read_text() + "\n# the same again")
            assert (await it.ask(buy())).status == 429
            for _ in range(2):
                held.release.release()
            assert (await first.reply()).status == 200
            assert (await it.ask(buy())).status == 200

    run(test)


def test_websocket_handshakes_are_counted_and_open_websockets_hold_no_slot(tmp_path: Path) -> None:
    async def test() -> None:
        head = '\n[limiters.it]\nby = "client"\nrate_per_s = 0.01\nburst = 5\nconcurrent = 1\n'
        routed = LIVE_ROUTES + 'limiters = ["it"]\n' + head
        async with live_site(tmp_path, [LiveServer()], routes=routed) as it:
            clients = [await it.connect() for _ in range(6)]
            found = []
            for client in clients:  # while the previous ones are open
                found.append(await client.ask_socket("/"))
            assert found == [101] * 5 + [429]
            for client in clients:
                client.close()

    run(test)
