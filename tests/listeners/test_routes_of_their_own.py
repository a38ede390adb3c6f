"""Tests of route settings: fixed responses, header templates, listeners and body limits."""

from __future__ import annotations

from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import WebServer
from tests.daemons import message, run, running

PROXIED = 'class = "read"\npools = ["main"]\nmethods = ["GET", "POST"]\n'


def route(name: str, text: str) -> str:
    return f'[[routes]]\nname = "{name}"\n{text}\n'


FIXED_RESPONSE_ROUTES = (
    route("moved", 'path = "/old"\nrespond = { status = 301, location = "https://{host}{uri}" }')
    + route(
        "group", "path_regex = '/u/([a-z]+)/(.*)'\nrespond = { status = 302, location = \"/{2}?by={1}\" }"
    )
    + route("teapot", 'path = "/tea"\nrespond = { status = 418, body = "short {{and}} {method}\\n" }')
    + route("empty", 'path = "/empty"\nrespond = { status = 204 }')
    + route("rest", PROXIED)
)


@pytest.mark.parametrize(
    ("line", "status", "location", "body"),
    [
        ("GET /old/a%20b?c=d", 301, "https://shop.example/old/a%20b?c=d", b""),
        ("GET /u/bob/x/y", 302, "/x/y?by=bob", b""),
        ("GET /tea", 418, "", b"short {and} GET\n"),
        ("GET /empty", 204, "", b""),
        ("GET /", 200, "", b"hello"),
    ],
)
def test_route_with_a_fixed_response(
    line: str, status: int, location: str, body: bytes, tmp_path: Path
) -> None:
    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}, routes=FIXED_RESPONSE_ROUTES) as it:
            client = await it.connect()
            for _ in range(2):  # the connection stays open
                reply = await client.ask(message(line, host="Shop.Example:8080"))
                assert (reply.status, reply.body) == (status, body)
                assert reply.all("Location") == ([location] if location else [])
            client.close()
            assert server.count == (2 if status == 200 else 0)
            assert not it.daemon.dispatcher.requests

    run(test)


def test_head_request_to_a_fixed_response_has_no_body(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer()]}, routes=FIXED_RESPONSE_ROUTES) as it:
            client = await it.connect()
            reply = await client.ask(message("HEAD /tea"))
            assert reply.status == 418
            assert reply.all("Content-Length") == ["17"]
            assert (await client.ask(message("GET /"))).status == 200
            client.close()

    run(test)


def test_header_templates_are_filled_with_request_values(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        headers = (
            '{ X-Real-IP = "{address}", X-Forwarded-For = "{forwarded_for}", X-Uri = "{uri}", '
            'Host = "{host}", X-Id = "{request_id}", X-Plain = "a{{b}}", X-First = "{1}" }'
        )
        routes = route("all", f"path_regex = '/([a-z]+).*'\nset_headers = {headers}\n{PROXIED}")
        async with running(tmp_path, {"main": [server]}, routes=routes) as it:
            data = message(
                "GET /ab/c?d=1",
                "X-Forwarded-For: 203.0.113.7",
                "X-Request-Id: 42",
                "X-Real-IP: forged",
                "X-First: forged",
                host="Shop.Example:99",
            )
            assert (await it.ask(data)).status == 200
            arrival = server.arrivals[0]
            assert [
                arrival.all(name)
                for name in ("X-Real-IP", "X-Forwarded-For", "X-Uri", "Host", "X-Id", "X-Plain", "X-First")
            ] == [
                [b"127.0.0.1"],
                [b"203.0.113.7, 127.0.0.1"],
                [b"/ab/c?d=1"],
                [b"shop.example"],
                [b"42"],
                [b"a{b}"],
                [b"ab"],
            ]

    run(test)


def test_body_over_the_limit_of_its_route_is_not_forwarded(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        async with running(
            tmp_path, {"main": [server]}, routes=route("all", f'max_body = "4B"\n{PROXIED}')
        ) as it:
            client = await it.connect()
            assert (await client.ask(message("POST /", body=b"coins"))).status == 413
            assert (await client.ask(message("POST /", body=b"coin"))).status == 200
            assert server.count == 1
            client.close()

    run(test)


def test_routes_may_be_limited_to_listeners(tmp_path: Path) -> None:
    async def test() -> None:
        server, inner = WebServer(), free_port()
        head = f'[listeners.inner]\naddress = "127.0.0.1:{inner}"\n'
        routes = (
            route("admin", f'path = "/admin"\nlisteners = ["inner"]\n{PROXIED}')
            + route("closed", 'path = "/admin"\nlisteners = ["web"]\nrespond = { status = 403 }')
            + route("rest", PROXIED)
        )
        async with running(tmp_path, {"main": [server]}, routes=routes, head=head) as it:
            assert (await it.ask(message("GET /admin/x"))).status == 403
            outer, it.port = it.port, inner
            assert (await it.ask(message("GET /admin/x"))).status == 200
            it.port = outer
            assert server.count == 1

    run(test)
