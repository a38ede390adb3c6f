"""Affinity in a daemon: the requests of a client reach one endpoint, and another one when that drains."""

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


async def servers_by_client(
    running_daemon: Running, servers: list[WebServer], clients: int
) -> dict[str, set[int]]:
    """Send three requests for each client; return the numbers of the servers that they reached."""
    found: dict[str, set[int]] = defaultdict(set)
    connection = await running_daemon.connect()
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


def test_a_client_stays_with_its_endpoint_until_that_drains(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(), WebServer(), WebServer()]
        async with running(
            tmp_path, {"main": servers}, routes=ROUTE, pool_extra='affinity = "client"'
        ) as running_daemon:
            before = await servers_by_client(running_daemon, servers, 20)
            assert all(len(reached) == 1 for reached in before.values())
            assert len(before) == 20
            assert len({next(iter(reached)) for reached in before.values()}) == 3
            assert running_daemon.daemon.drain("main", "main1", True) == ""
            during = await servers_by_client(running_daemon, servers, 20)
            for client, reached in before.items():
                assert during[client] == reached if reached != {1} else 1 not in during[client]
            assert running_daemon.daemon.drain("main", "main1", False) == ""

    run(test)


def test_without_affinity_requests_of_a_client_reach_several_endpoints(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(), WebServer(), WebServer()]
        async with running(tmp_path, {"main": servers}, routes=ROUTE) as running_daemon:
            found = await servers_by_client(running_daemon, servers, 20)
            assert any(len(reached) > 1 for reached in found.values())

    run(test)
