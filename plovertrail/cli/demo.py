"""`plovertrail demo`"""

from __future__ import annotations

import asyncio
import itertools
import signal
import tempfile
from collections.abc import Sequence
from contextlib import suppress

import click

from fakes.balances import PAGE_ANSWER, publisher
from fakes.live import LiveServer
from fakes.ports import free_port
from fakes.web import OK, WebServer, always
from plovertrail.config import operator
from plovertrail.daemon.process import Daemon
from plovertrail.logs import log_to_stderr

FILE = """\
[listeners.demo]
address = "127.0.0.1:{port}"
[classes.page]
effect = "safe"
aim = "300ms"
deadline = "2s"
[classes.buy]
effect = "unsafe"
aim = "300ms"
deadline = "2s"
worth = 10
[websockets.balances]
drain_grace = "1s"
drain_spread = "2s"
close_timeout = "1s"
[pools.store]
servers = [{servers}]
[pools.live]
servers = [{live}]
max_sockets = 100
[pools.page]
servers = [{page}]
[[routes]]
name = "live"
path_exact = "/live"
class = "page"
pools = ["live"]
websocket = "balances"
[[routes]]
name = "balances"
path_exact = "/balances"
class = "page"
pools = ["page"]
[[routes]]
name = "buy"
path = "/buy"
methods = ["POST"]
class = "buy"
pools = ["store"]
[[routes]]
name = "pages"
class = "page"
pools = ["store"]
"""
CLIENTS = 4
GAP_S = 0.02
DRAIN_S = 6.0


@click.command()
@click.option("--port", default=0, help="The daemon's port; 0: one that is free.")
@click.option("--seconds", default=0.0, help="End after so long; 0: on Ctrl-C.")
def demo(port: int, seconds: float) -> None:
    """Stand-in servers and the daemon on loopback ports, with a little traffic, and a page with live balances
    over WebSocket. One server fails and comes back while it runs, and the balances' servers drain in turn;
    Ctrl-C ends it with a summary."""
    log_to_stderr()
    asyncio.run(play(port, seconds))


async def play(port: int, seconds: float) -> None:
    """Start servers and a daemon on `port`, send it requests for `seconds`, and print what happens."""
    servers = [WebServer(always(OK), name=f"s{number}", keep=False) for number in (1, 2, 3)]
    for server in servers:
        await server.start()
    live = [LiveServer(publisher(name), name=name) for name in ("live1", "live2")]
    page = WebServer(always(PAGE_ANSWER), name="page", keep=False)
    for publishing in live:
        await publishing.start()
    await page.start()
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(
            FILE.format(port=port or free_port(), servers=rows(servers), live=rows(live), page=rows([page]))
        )
        file.flush()
        daemon = Daemon(operator.load(file.name))
        _, at = daemon.addresses()["demo"]
        click.echo(
            f"three servers on ports {', '.join(str(server.port) for server in servers)}; try\n"
            f"    curl -i http://127.0.0.1:{at}/hello\n"
            f"    curl -i -X POST http://127.0.0.1:{at}/buy/chapter-7\n"
            f"and open http://127.0.0.1:{at}/balances in a browser. Ctrl-C ends it."
        )
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, stop.set)
        statuses: dict[int, int] = {}
        tasks = [asyncio.create_task(client(at, statuses)) for _ in range(CLIENTS)]
        tasks.append(asyncio.create_task(trouble(servers[0])))
        tasks.append(asyncio.create_task(drains(daemon, [server.name for server in live])))
        with suppress(TimeoutError):
            await asyncio.wait_for(stop.wait(), seconds or None)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await daemon.stop()
    for server in (*servers, page):
        server.stop()
    for publishing in live:
        publishing.stop()
    asked = sum(statuses.values())
    click.echo(
        f"\n{asked} requests of the demo's own clients: "
        + ", ".join(f"{count} answered {status}" for status, count in sorted(statuses.items()))
    )
    for server in servers:
        click.echo(f"  {server.name}: {server.count} requests")


def rows(servers: Sequence[WebServer | LiveServer]) -> str:
    """As a pool's `servers` has them."""
    return ", ".join(f'{{ id = "{server.name}", address = "{server.address}" }}' for server in servers)


async def drains(daemon: Daemon, names: list[str]) -> None:
    """Drain one server of the balances after the other: their sockets go to the others and come back."""
    for name in itertools.cycle(names):
        await asyncio.sleep(DRAIN_S)
        daemon.drain("live", name, True)
        click.echo(f"{name} drains")
        await asyncio.sleep(DRAIN_S)
        daemon.drain("live", name, False)


async def trouble(server: WebServer) -> None:
    """Stop a server and start it again, over and over."""
    port = server.port
    while True:
        await asyncio.sleep(3.0)
        server.stop()
        click.echo(f"{server.name} has failed")
        await asyncio.sleep(3.0)
        await server.start(port)
        click.echo(f"{server.name} is back")


async def client(port: int, statuses: dict[int, int]) -> None:
    """One request after another, purchases among them."""
    for number in itertools.count():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            line = b"POST /buy/7" if number % 4 == 0 else b"GET /page"
            writer.write(line + b" HTTP/1.1\r\nHost: demo\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            status = int(answer.split(b" ", 2)[1]) if answer else 0
            statuses[status] = statuses.get(status, 0) + 1
        finally:
            writer.close()
        await asyncio.sleep(GAP_S)
