"""A daemon that stood still: what came meanwhile is read first; nothing is sent by what was known before."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from plovertrail.clock import another_clock
from plovertrail.pulse import PulseLoop
from plovertrail.sources.lists import sealed
from standins.web import WebServer
from tests.daemons import Running, message, running
from tests.net import PATIENCE_S

GAP_S = 4.0


class Clock:
    """The system's, which jumps when told to, as it does for a process that is stopped and woken."""

    def __init__(self) -> None:
        self.ahead_ns = 0

    def nanoseconds(self) -> int:
        return time.monotonic_ns() + self.ahead_ns

    def jump(self, seconds: float) -> None:
        self.ahead_ns += int(seconds * 1e9)


@contextmanager
def jumping() -> Iterator[Clock]:
    clock = Clock()
    with another_clock(clock.nanoseconds):
        yield clock


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(3 * PATIENCE_S):
            await test()

    with asyncio.Runner(loop_factory=PulseLoop) as runner:
        runner.run(limited())


def phase(it: Running) -> str:
    return it.daemon.recovery.recovery.phase.value


def write(path: Path, servers: list[WebServer], drained: int = -1) -> None:
    rows = "".join(f"{server.address} id=s{number}{' drain=true' if number == drained else ''}\n"
                   for number, server in enumerate(servers))
    beside = path.with_suffix(".new")
    beside.write_bytes(sealed(path.name, rows.encode()))
    beside.rename(path)


def head(path: Path) -> dict[str, str]:
    """A pool whose servers come from a file alone."""
    return {"pool_extra": f'servers_from = ["{path}"]'}


def test_what_the_list_told_meanwhile_holds_before_the_first_send(tmp_path: Path) -> None:
    async def test() -> None:
        path, servers = tmp_path / "servers.txt", [WebServer(), WebServer()]
        for server in servers:
            await server.start()
        write(path, servers)
        with jumping() as clock:
            async with running(tmp_path, {"main": []}, **head(path)) as it:
                async with asyncio.timeout(PATIENCE_S):
                    while not servers[0].count or not servers[1].count:  # both are in use
                        assert (await it.ask(message("GET /"))).status == 200
                before = servers[0].count
                client = await it.connect()
                # in one turn of the loop: it stands still, the list is replaced, and a request has come
                write(path, servers, drained=0)
                client.writer.write(message("POST /buy", body=b"x"))
                clock.jump(GAP_S)
                await client.reply()
                for _ in range(20):
                    assert (await it.ask(message("GET /"))).status == 200
                assert servers[0].count == before and servers[1].count > 20
                assert phase(it) == "full" and it.daemon.recovery.recovery.gaps == 1
                assert it.daemon.status()["recovery"]["longest_gap_s"] >= GAP_S
                client.close()
        for server in servers:
            server.stop()

    run(test)


def test_a_send_that_a_stopped_turn_had_decided_waits_for_the_lists(tmp_path: Path) -> None:
    async def test() -> None:
        path, servers = tmp_path / "servers.txt", [WebServer(), WebServer()]
        for server in servers:
            await server.start()
        write(path, servers)
        with jumping() as clock:
            async with running(tmp_path, {"main": []}, **head(path)) as it:
                host = it.daemon.host
                handle = host.pools[0].balancer.handle
                stopped = False

                def stops(now_us: int, event: object) -> list[object]:
                    """The process is stopped once, after the module has decided and before that is done."""
                    nonlocal stopped
                    actions = handle(now_us, event)  # type: ignore[arg-type]
                    if not stopped and any(type(action).__name__ == "Send" for action in actions):
                        stopped = True
                        write(path, servers, drained=0)
                        clock.jump(GAP_S)
                    return actions  # type: ignore[return-value]

                host.pools[0].balancer.handle = stops  # type: ignore[method-assign, assignment]
                reply = await it.ask(message("GET /"))
                assert reply.status == 200 and stopped
                assert (servers[0].count, servers[1].count) == (0, 1)
                assert not host.held and not host.held_sends
        for server in servers:
            server.stop()

    run(test)


def test_a_request_whose_time_went_by_unread_is_refused_and_sent_nowhere(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        with jumping() as clock:
            async with running(tmp_path, {"main": [server]}) as it:
                assert (await it.ask(message("GET /"))).status == 200
                client = await it.connect()
                host = it.daemon.host
                asked = host.waited_us
                host.waited_us = lambda sock: int(GAP_S * 1e6)  # type: ignore[method-assign]
                clock.jump(GAP_S)
                reply = await client.ask(message("POST /buy", "X-Deadline-Ms: 3000", body=b"x"))
                assert reply.status == 503 and server.count == 1
                host.waited_us = asked  # type: ignore[method-assign]
                reply = await client.ask(message("POST /buy", "X-Deadline-Ms: 3000", body=b"x"))
                assert reply.status == 200  # it came a moment ago, whatever stood still before
                client.close()

    run(test)


def test_a_list_that_can_not_be_read_again_holds_nobody_for_good(
        tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        path, server = tmp_path / "servers.txt", WebServer()
        await server.start()
        write(path, [server])
        with jumping() as clock:
            async with running(tmp_path, {"main": []}, **head(path)) as it:
                path.unlink()
                clock.jump(GAP_S)
                async with asyncio.timeout(PATIENCE_S):
                    while phase(it) != "serving in part":
                        await asyncio.sleep(0.01)
                assert (await it.ask(message("GET /"))).status == 200  # the last good list serves
                status = it.daemon.status()["recovery"]
                assert list(status["missing"]) == [f"main: file:{path}"]
                write(path, [server])
                async with asyncio.timeout(PATIENCE_S):
                    while phase(it) != "full":
                        await asyncio.sleep(0.01)
        server.stop()

    run(test)


def test_a_drain_by_hand_that_lay_on_the_control_socket_holds_before_the_first_send(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(), WebServer()]
        control = tmp_path / "control"
        with jumping() as clock:
            async with running(tmp_path, {"main": servers},
                               head=f'[daemon]\ncontrol_socket = "{control}"\n') as it:
                await it.daemon.control.start()
                client = await it.connect()
                reader, writer = await asyncio.open_unix_connection(str(control))
                writer.write(b'{"do": "drain", "pool": "main", "server": "main0"}\n')
                client.writer.write(message("GET /"))
                clock.jump(GAP_S)
                assert (await client.reply()).status == 200
                assert b'"ok": true' in await reader.readline()
                assert (servers[0].count, servers[1].count) == (0, 1)
                writer.close()
                client.close()

    run(test)
