"""A daemon with 200 services is stopped for 5 s: the lists that changed meanwhile apply afterwards."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from benchmarks.capacity.daemon_process import DaemonProcess, daemon_process, list_version, server_state
from benchmarks.capacity.service_site import ServiceSite
from fakes.web import OK, Arrival, Line, WebServer
from plovertrail.decisions.recovery import MAX_IDLE_WAIT_US
from tests.daemons import Client, message, run
from tests.net import PATIENCE_S, until

SERVICES, SERVERS = 200, 9
STOPPED_S = 5.0
CLIENTS = 40
CORE = 1
HELD = "/service-7?held"


class Servers:
    """Nine servers that all services share; the one that gets the held request waits for `release`."""

    def __init__(self) -> None:
        self.release = asyncio.Event()
        self.all = [WebServer(self.script) for _ in range(SERVERS)]

    async def script(self, server: WebServer, arrival: Arrival, line: Line) -> bytes:
        if arrival.target == HELD.encode():
            await self.release.wait()
        return OK

    @property
    def count_at_first(self) -> int:
        """The number of requests to the server that the changed lists drain."""
        return self.all[0].count

    def has_held_request(self) -> bool:
        """Whether the held request has arrived."""
        return any(arrival.target == HELD.encode() for server in self.all for arrival in server.arrivals)


async def until_stopped(pid: int) -> None:
    """Wait until all threads of a process are stopped, so that none runs during the next steps."""

    def stopped() -> bool:
        threads = list(Path(f"/proc/{pid}/task").iterdir())
        return all((thread / "stat").read_text().rpartition(")")[2].split()[0] == "T" for thread in threads)

    await until(stopped)


def write_with_long_deadlines(site: ServiceSite) -> None:
    """Write the site's files, with an aim and a deadline that a busy machine can meet."""
    site.write()
    text = site.path.read_text()
    assert 'aim = "400ms"\ndeadline = "1200ms"' in text
    site.path.write_text(text.replace('"400ms"', '"5s"').replace('"1200ms"', '"20s"'))


async def connected(port: int, count: int) -> list[Client]:
    return [Client(*await asyncio.open_connection("127.0.0.1", port)) for _ in range(count)]


async def ask_all(clients: Sequence[Client], services: Sequence[str]) -> list[int]:
    """Send one request to each service, spread over the connections."""

    async def ask_some(first: int) -> list[int]:
        own_services = services[first :: len(clients)]
        return [(await clients[first].ask(message(f"GET /{service}"))).status for service in own_services]

    found = await asyncio.gather(*map(ask_some, range(len(clients))))
    return [status for statuses in found for status in statuses]


async def status_at_version(daemon: DaemonProcess, version: int) -> dict[str, Any]:
    """The daemon's status once all lists have this version and the recovery is complete."""
    services = daemon.site.service_names()
    async with asyncio.timeout(PATIENCE_S):
        while True:
            status = await asyncio.to_thread(daemon.status)
            versions = {list_version(status, service) for service in services}
            if versions == {version} and status["recovery"]["phase"] == "full":
                return status
            await asyncio.sleep(0.1)


async def change_while_stopped(daemon: DaemonProcess, site: ServiceSite, servers: Servers) -> None:
    """Stop the process; meanwhile all lists drain their first server and the held request is answered."""
    replacements = [site.prepare(service, 2, first_drains=True) for service in site.service_names()]
    os.kill(daemon.process.pid, signal.SIGSTOP)
    await until_stopped(daemon.process.pid)
    for replacement in replacements:
        replacement.apply()
    servers.release.set()


def test_a_process_that_was_stopped_sends_nothing_by_its_outdated_lists(tmp_path: Path) -> None:
    async def test() -> None:
        servers = Servers()
        for server in servers.all:
            await server.start()
        site = ServiceSite(tmp_path, SERVICES, SERVERS, [server.address for server in servers.all])
        write_with_long_deadlines(site)
        services = site.service_names()
        with daemon_process(site, CORE) as daemon:
            await asyncio.to_thread(daemon.wait_until_up)
            clients = await connected(site.port, CLIENTS)
            (held_client,) = await connected(site.port, 1)
            while not servers.count_at_first:
                assert set(await ask_all(clients, services)) <= {200, 503}
            held_client.writer.write(message(f"GET {HELD}"))
            await until(servers.has_held_request)

            await change_while_stopped(daemon, site, servers)
            before = servers.count_at_first
            await asyncio.sleep(STOPPED_S)
            # written last: a request that stays unread past its deadline is rejected
            new_clients = await connected(site.port, CLIENTS)
            for number, client in enumerate([*clients, *new_clients]):
                client.writer.write(message(f"GET /{services[number]}"))
            assert servers.count_at_first == before
            os.kill(daemon.process.pid, signal.SIGCONT)

            answers = await asyncio.gather(*(client.reply() for client in [*clients, *new_clients]))
            assert {reply.status for reply in answers} == {200}
            assert (await held_client.reply()).status == 200
            status = await status_at_version(daemon, version=2)
            assert status["recovery"]["gaps"] == 1
            assert status["recovery"]["longest_gap_s"] >= STOPPED_S - MAX_IDLE_WAIT_US / 1e6
            assert {server_state(status, service, "s0") for service in services} == {"draining"}
            assert set(await ask_all([*clients, held_client], services)) <= {200, 503}
            assert servers.count_at_first == before
            for client in [*clients, *new_clients, held_client]:
                client.close()
            daemon.process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(daemon.process.wait, PATIENCE_S) == 0
        for server in servers.all:
            server.stop()

    run(test)
