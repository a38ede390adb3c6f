"""After a pause of its process a daemon reads its lists first, and sends nothing by outdated ones."""

from __future__ import annotations

import asyncio
import os
import threading
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path
from unittest.mock import Mock

import pytest

from fakes.web import WebServer
from plovertrail.clock import override_clock
from plovertrail.sources.file_reading import LocalFileSystem
from plovertrail.sources.lists import sealed
from plovertrail.stall_detector import StallDetectingLoop
from tests.daemons import Running, message, running
from tests.daemons import run as run_test
from tests.net import until

PAUSE_S = 4.0


class Clock:
    """The system's clock, which can jump as it does for a process that is paused and resumed."""

    offset_ns = 0

    def jump(self, seconds: float) -> None:
        self.offset_ns += int(seconds * 1e9)


@contextmanager
def jumping() -> Iterator[Clock]:
    clock = Clock()
    with override_clock(lambda: time.monotonic_ns() + clock.offset_ns):
        yield clock


def run(test: Callable[[], Awaitable[None]]) -> None:
    run_test(test, StallDetectingLoop)


def phase(it: Running) -> str:
    return it.daemon.services.recovery.state.phase.value


def write(path: Path, servers: list[WebServer], drained: int = -1) -> None:
    rows = "".join(
        f"{server.address} id=s{number}{' drain=true' if number == drained else ''}\n"
        for number, server in enumerate(servers)
    )
    temporary = path.with_suffix(".new")
    temporary.write_bytes(sealed(path.name, rows.encode()))
    temporary.rename(path)


@asynccontextmanager
async def daemon_with_list(folder: Path) -> AsyncIterator[tuple[Running, Clock, Path, list[WebServer]]]:
    """A daemon whose list has the first of two servers, on a clock that may jump."""
    path, servers = folder / "servers.txt", [WebServer(), WebServer()]
    for server in servers:
        await server.start()
    write(path, servers[:1])
    with jumping() as clock:
        async with running(folder, {"main": []}, pool_extra=f'servers_from = ["{path}"]') as it:
            yield it, clock, path, servers
    for server in servers:
        server.stop()


async def until_phase(it: Running, wanted: str) -> None:
    await until(lambda: phase(it) == wanted)


def test_a_list_that_changed_during_a_pause_applies_before_the_first_send(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon_with_list(tmp_path) as (it, clock, path, servers):
            assert (await it.ask(message("GET /"))).status == 200  # by the only server in the list
            client = await it.connect()
            # in one loop iteration: the process is paused, the list is replaced, and a request arrives
            write(path, servers, drained=0)
            client.writer.write(message("POST /buy", body=b"x"))
            clock.jump(PAUSE_S)
            assert (await client.reply()).status == 200
            assert (servers[0].count, servers[1].count) == (1, 1)
            assert phase(it) == "full"
            assert it.daemon.services.recovery.state.pauses == 1
            assert it.daemon.status()["recovery"]["longest_gap_s"] >= PAUSE_S
            client.close()

    run(test)


def test_a_send_decided_in_a_paused_loop_iteration_waits_for_the_lists(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon_with_list(tmp_path) as (it, clock, path, servers):
            # On an idle connection the request would be written in the same iteration of the event loop.
            assert (await it.ask(message("GET /"))).status == 200
            dispatcher = it.daemon.dispatcher
            handle = dispatcher.pools[0].balancer.handle
            was_paused = False

            def pause_before_send(now_us: int, event: object) -> list[object]:
                """Pause the process once, between the balancer's decision to send and the sending."""
                nonlocal was_paused
                actions = handle(now_us, event)  # type: ignore[arg-type]
                if not was_paused and any(type(action).__name__ == "Send" for action in actions):
                    was_paused = True
                    write(path, servers, drained=0)
                    clock.jump(1.0)  # short enough to keep the idle connection open
                return actions  # type: ignore[return-value]

            dispatcher.pools[0].balancer.handle = pause_before_send  # type: ignore[method-assign, assignment]
            reply = await it.ask(message("GET /"))
            assert reply.status == 200
            assert was_paused
            assert (servers[0].count, servers[1].count) == (1, 1)
            assert not dispatcher.suspension.active
            assert not dispatcher.suspension.sends

    run(test)


def test_a_request_whose_deadline_passed_unread_is_rejected_and_not_sent(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        with jumping() as clock:
            async with running(tmp_path, {"main": [server]}) as it:
                assert (await it.ask(message("GET /"))).status == 200
                client = await it.connect()
                dispatcher = it.daemon.dispatcher
                original = dispatcher.suspension.unread_us
                dispatcher.suspension.unread_us = Mock(return_value=int(PAUSE_S * 1e6))  # type: ignore[method-assign]
                clock.jump(PAUSE_S)
                reply = await client.ask(message("POST /buy", "X-Deadline-Ms: 3000", body=b"x"))
                assert reply.status == 503
                assert reply.all("Retry-After")
                assert server.count == 1
                dispatcher.suspension.unread_us = original  # type: ignore[method-assign]
                reply = await client.ask(message("POST /buy", "X-Deadline-Ms: 3000", body=b"x"))
                assert reply.status == 200  # it has just arrived, after the pause
                client.close()

    run(test)


def test_a_deleted_list_counts_as_failed_until_it_exists_again(tmp_path: Path) -> None:
    async def test() -> None:
        async with daemon_with_list(tmp_path) as (it, clock, path, servers):
            path.unlink()
            clock.jump(PAUSE_S)
            await until_phase(it, "serving in part")
            assert (await it.ask(message("GET /"))).status == 200  # the last good list serves
            assert list(it.daemon.status()["recovery"]["missing"]) == [f"main: file:{path}"]
            write(path, servers[:1])
            await until_phase(it, "full")

    run(test)


def test_a_hung_disk_does_not_suspend_the_dispatcher_forever(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    disk_recovers, status = threading.Event(), LocalFileSystem.status

    def hanging_status(files: LocalFileSystem, path: str) -> os.stat_result:
        disk_recovers.wait()
        return status(files, path)

    async def test() -> None:
        async with daemon_with_list(tmp_path) as (it, clock, path, servers):
            monkeypatch.setattr(LocalFileSystem, "status", hanging_status)
            clock.jump(PAUSE_S)
            await until_phase(it, "catching up")
            assert it.daemon.dispatcher.suspension.active
            # a request whose deadline passes meanwhile isn't sent, and its response has a Retry-After header
            short = await it.ask(message("POST /buy", "X-Deadline-Ms: 100", body=b"x"))
            assert short.status == 503
            assert short.all("Retry-After")
            assert not servers[0].count
            assert (await it.ask(message("GET /"))).status == 200
            assert phase(it) == "serving in part"
            assert it.daemon.status()["recovery"]["missing"] == {f"main: file:{path}": "a read of it hangs"}
            disk_recovers.set()
            await until_phase(it, "full")

    run(test)


def test_a_drain_command_on_the_control_socket_applies_before_the_first_send(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(), WebServer()]
        control = tmp_path / "control"
        with jumping() as clock:
            async with running(
                tmp_path, {"main": servers}, head=f'[daemon]\ncontrol_socket = "{control}"\n'
            ) as it:
                await it.daemon.control.start()
                client = await it.connect()
                reader, writer = await asyncio.open_unix_connection(str(control))
                writer.write(b'{"do": "drain", "pool": "main", "server": "main0"}\n')
                client.writer.write(message("GET /"))
                clock.jump(PAUSE_S)
                assert (await client.reply()).status == 200
                assert b'"ok": true' in await reader.readline()
                assert (servers[0].count, servers[1].count) == (0, 1)
                writer.close()
                client.close()

    run(test)
