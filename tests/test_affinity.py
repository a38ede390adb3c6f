"""Affinity in a daemon: a client's requests meet at one server, and move when that one drains."""

from __future__ import annotations

from collections import defaultdict
from pathlib import Path

from fakes.web import WebServer
from tests.daemons import Running, message, run, running

ROUTE = """
[[routes]]
name = "all"
class = "buy"
pools = ["main"]
client = "header:X-Client"
"""


async def met(it: Running, servers: list[WebServer], clients: int) -> dict[str, set[int]]:
    """The servers that each client's requests reached, three of each."""
    found: dict[str, set[int]] = defaultdict(set)
    connection = await it.connect()
    for server in servers:
        server.arrivals.clear()
    for number in range(3 * clients):
        name = f"c{number % clients}"
        assert (await connection.ask(message("POST /", f"X-Client: {name}", body=b"x"))).status == 200
    connection.close()
    for number, server in enumerate(servers):
        for arrival in server.arrivals:
            found[arrival.all("X-Client")[0].decode()].add(number)
    return found


def test_a_client_meets_its_server_till_that_one_drains(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(), WebServer(), WebServer()]
        async with running(tmp_path, {"main": servers}, routes=ROUTE, pool_extra='affinity = "client"') as it:
            before = await met(it, servers, 20)
            assert all(len(where) == 1 for where in before.values())
            assert len(before) == 20
            assert len({next(iter(where)) for where in before.values()}) == 3
            assert it.daemon.drain("main", "main1", True) == ""
            during = await met(it, servers, 20)
            for client, where in before.items():
                assert during[client] == where if where != {1} else 1 not in during[client]
            assert it.daemon.drain("main", "main1", False) == ""

    run(test)


def test_without_it_requests_meet_by_chance(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(), WebServer(), WebServer()]
        async with running(tmp_path, {"main": servers}, routes=ROUTE) as it:
            found = await met(it, servers, 20)
            assert any(len(where) > 1 for where in found.values())

    run(test)
