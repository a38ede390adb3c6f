"""The program that `run` in the deploy file starts: configuration, readiness, SIGTERM."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from importlib.util import cache_from_source
from pathlib import Path
from typing import Any, cast

import pytest

from plovertrail.__main__ import drain
from plovertrail.config.platform import Config, flatten, load
from plovertrail.listeners.platform_listener import PlatformListener
from plovertrail.scenario_tests.loop import VirtualLoop
from tests.deployed import DEPLOY, ROOT, build
from tests.net import OK, PATIENCE_S, SETTINGS, Upstream, configuration, entry, listing, read_message, request


@contextmanager
def program(path: Path) -> Iterator[subprocess.Popen[bytes]]:
    build()
    plain = {k: v for k, v in os.environ.items() if not k.startswith(("PYTHON", "VIRTUAL_ENV"))}
    process = subprocess.Popen(
        ["/bin/sh", "-c", DEPLOY["run"]],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        env=plain | {"BALANCER_CONFIG": str(path)},
    )
    try:
        yield process
    finally:
        process.kill()
        process.communicate()


async def listening(port: int) -> None:
    """Until something takes connections there."""
    while True:
        try:
            (await asyncio.open_connection("127.0.0.1", port))[1].close()
            return
        except ConnectionRefusedError:
            await asyncio.sleep(0.02)


def test_the_build_compiles_the_sources(tmp_path: Path) -> None:
    with program(configuration(tmp_path)):  # which builds first
        for source in (*(ROOT / "plovertrail").rglob("*.py"), *(ROOT / "simulator").glob("*.py")):
            assert Path(cache_from_source(source)).exists()


def test_settings_are_read_by_their_names_on_the_simulators_wire(tmp_path: Path) -> None:
    config: Config = load(str(configuration(tmp_path)))
    assert (config.seed, config.sockets, config.idle_us) == (0x8C1F, 1024, 5_000_000)
    assert (config.zones, config.kinds) == (["a", "b"], ["m"])
    assert config.settings.zone == 1
    assert config.settings.endpoints_on_request
    assert config.settings.weighted
    assert config.settings.report_names == ["in_flight", "queued"]
    assert [kind.effect for kind in config.settings.classes] == ["at_most_once"]


def test_nested_settings_become_pairs() -> None:
    nested = {"a": {"b": True, "c": [1, 2]}, "d": [{"e": 0.5}], "f": []}
    assert flatten(nested) == {"a.b": "true", "a.c": "1,2", "d.count": "1", "d.0.e": "0.5", "f.count": "0"}


def test_the_program_is_ready_lives_through_sighup_and_ends_with_0_on_sigterm(tmp_path: Path) -> None:
    path = configuration(tmp_path)
    port = int(json.loads(path.read_text())["listen"].split(":")[1])
    with program(path) as process:

        def up() -> bytes:
            ends = time.monotonic() + PATIENCE_S
            while time.monotonic() < ends:
                assert process.poll() is None
                try:
                    with socket.create_connection(("127.0.0.1", port), timeout=PATIENCE_S) as sock:
                        sock.sendall(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                        return sock.recv(100)
                except ConnectionRefusedError:
                    time.sleep(0.02)
            return b""

        assert up().startswith(b"HTTP/1.1 200 ")
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
            assert up().startswith(b"HTTP/1.1 200 ")
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(PATIENCE_S) == 0


def test_sigterm_under_load_leaves_nothing_that_ran_without_its_answer(tmp_path: Path) -> None:
    async def slow(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(0.05)
        writer.write(OK)

    async def client(name: int, port: int, stopped: asyncio.Event, answered: set[str]) -> None:
        """Sends one request after another; after the stop until its connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(10_000):
            ident = f"{name}-{number}"
            try:
                writer.write(request("pay", ident, b"b"))
                head, _ = await read_message(reader)
            except (asyncio.IncompleteReadError, ConnectionError):
                assert stopped.is_set()  # closed between requests
                break
            answered.add(ident)
            if b"Connection: close" in head:
                assert stopped.is_set()
                break
        writer.close()

    async def test() -> None:
        upstreams = [Upstream(slow) for _ in range(4)]
        for upstream in upstreams:
            await upstream.start()
        known = listing(*(entry(f"u{i}", upstream.port) for i, upstream in enumerate(upstreams)))
        path = configuration(tmp_path, known=known)
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        stopped, answered = asyncio.Event(), set[str]()
        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await listening(port)
                async with asyncio.TaskGroup() as group:
                    for name in range(8):
                        group.create_task(client(name, port, stopped, answered))
                    await asyncio.sleep(0.5)
                    stopped.set()
                    process.send_signal(signal.SIGTERM)
                assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
        for upstream in upstreams:
            upstream.stop()
        ran = {
            head.split(b"X-Request-Id: ")[1].split(b"\r\n")[0].decode()
            for upstream in upstreams
            for head, _ in upstream.requests
        }
        assert ran
        assert ran <= answered

    asyncio.run(test())


def test_sigterm_answers_requests_whose_deadlines_outlast_the_stop(tmp_path: Path) -> None:
    """Hazard: deadlines are what the settings say, and a stop that is shorter leaves requests unanswered."""
    stopped = asyncio.Event()

    async def slow(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if upstream.requests[number][1] != b"never":
            await stopped.wait()
            writer.write(OK)
        await reader.read()

    async def asked(port: int, body: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request("pay", body=body, deadline_ms=60_000))
        answer = await reader.read()
        writer.close()
        return answer

    async def test() -> None:
        upstreams = [Upstream(slow) for _ in range(4)]
        for upstream in upstreams:
            await upstream.start()
        patient = {
            "name": "pay",
            "aim": 400_000,
            "deadline": 60_000_000,
            "effect": "at_most_once",
            "worth": 10.0,
            "late-worth": 0.5,
        }
        path = configuration(
            tmp_path,
            known=listing(*(entry(f"u{i}", each.port) for i, each in enumerate(upstreams))),
            settings=SETTINGS | {"request-classes": [patient]},
        )
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await listening(port)
                answers = [asyncio.create_task(asked(port, body)) for body in (b"late", b"never")]
                while sum(len(upstream.requests) for upstream in upstreams) < 2:
                    await asyncio.sleep(0.01)
                process.send_signal(signal.SIGTERM)
                stopped.set()
                late, never = await asyncio.gather(*answers)
                assert late.startswith(b"HTTP/1.1 200 ")
                assert late.endswith(b"done")
                assert never.startswith(b"HTTP/1.1 500 ")
                assert b"Connection: close" in never
                assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
        for upstream in upstreams:
            upstream.stop()

    asyncio.run(test())


class Owing:
    """A server whose requests are never answered by themselves."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.rest_at = 0.0

    def answer_all(self) -> None:
        self.rest_at = self.loop.time()

    def has_pending_responses(self) -> bool:
        return True

    def __getattr__(self, name: str) -> Callable[..., None]:
        assert name in ("finish_by", "stop_idle", "drain_backlog")
        return lambda *args: None


@pytest.mark.parametrize("longest_s", [0.15, 1.2, 3.0, 6.0])
def test_a_stop_gives_each_its_time_and_is_over_well_before_it_is_killed(longest_s: float) -> None:
    """Also where the signal was heard a tenth of a second late: SIGKILL counts from when it was sent."""
    loop = VirtualLoop(1)
    server, began = Owing(loop), loop.time()
    loop.run_until_complete(drain(cast(PlatformListener, server), longest_s))
    killed_s = min(longest_s, 3.0) + 0.7
    assert loop.time() - began <= killed_s - 0.14
    # whoever came last, 0.4 s after the signal, has had all its time, or what SIGKILL leaves of it
    assert server.rest_at - began >= min(longest_s, 3.0) + 0.4
    loop.close()


@pytest.mark.parametrize(
    "signals",
    [
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM),
        (signal.SIGTERM, signal.SIGHUP),
        (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM, signal.SIGTERM, signal.SIGHUP),
    ],
    ids=lambda signals: "-".join(each.name for each in signals),
)
@pytest.mark.parametrize("readable", [True, False], ids=["readable", "unreadable"])
def test_signals_that_cross_a_stop_cost_no_answer_and_it_ends_with_0(
    tmp_path: Path, signals: tuple[signal.Signals, ...], readable: bool
) -> None:
    """Also with a configuration that has become unreadable, and while an upstream is at work."""
    release = asyncio.Event()

    async def slow(
        upstream: Upstream, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await release.wait()
        writer.write(OK)

    async def test() -> None:
        upstream = Upstream(slow)
        await upstream.start()
        path = configuration(tmp_path, known=listing(entry("u", upstream.port)))
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await listening(port)
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(request("pay", body=b"b"))
                while not upstream.requests:
                    await asyncio.sleep(0.01)
                if not readable:
                    path.write_text("{")
                for each in signals:
                    process.send_signal(each)
                release.set()
                head, body = await read_message(reader)
                assert b" 200 " in head
                assert body == b"done"
                writer.close()
                assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
        upstream.stop()

    asyncio.run(test())


def test_twenty_that_start_at_once_are_ready_though_discovery_turns_all_away(tmp_path: Path) -> None:
    """By the list as they last had it; none waits for a call, and each goes on calling."""
    calls: Counter[str] = Counter()

    async def crowded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        calls["all"] += 1
        writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def ready(port: int) -> None:
        while True:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            answer = await reader.read()
            writer.close()
            if b" 200 " in answer:
                return
            await asyncio.sleep(0.05)

    async def test() -> None:
        discovery = await asyncio.start_server(crowded, "127.0.0.1", 0)
        address = f"127.0.0.1:{discovery.sockets[0].getsockname()[1]}"
        ports = []
        with ExitStack() as stack:
            for number in range(20):
                folder = tmp_path / str(number)
                folder.mkdir()
                path = configuration(folder, discovery=address, settings=SETTINGS | {"instances": 20})
                ports.append(int(json.loads(path.read_text())["listen"].split(":")[1]))
                stack.enter_context(program(path))
            async with asyncio.timeout(2 * PATIENCE_S):
                for port in ports:
                    await listening(port)
                    await ready(port)
                while calls["all"] < 21:  # turned away, they call again
                    await asyncio.sleep(0.05)
        discovery.close()

    asyncio.run(test())


def test_a_stop_before_the_first_list_ends_with_0_and_refuses_what_has_come(tmp_path: Path) -> None:
    async def test() -> None:
        path = configuration(tmp_path, known=None)
        port = int(json.loads(path.read_text())["listen"].split(":")[1])
        with program(path) as process:
            async with asyncio.timeout(PATIENCE_S):
                await listening(port)
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(request("pay", body=b"b", deadline_ms=1_000)[:-1])
                process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.05)
                writer.write(b"b")  # its last byte comes while the stop is under way
                head, _ = await read_message(reader)
                assert b" 503 " in head
                writer.close()
                assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0

    asyncio.run(test())


@pytest.mark.parametrize("changes", [{"listen": "nowhere"}, {"settings": {}}, {"limits": {}}])
def test_a_configuration_that_can_not_be_read_ends_it_with_one_line(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    with program(configuration(tmp_path, **changes)) as process:
        _, errors = process.communicate(timeout=PATIENCE_S)
        assert process.returncode == 2
        assert len(errors.splitlines()) == 1


def test_a_start_under_the_platforms_configuration_loads_only_what_it_needs(tmp_path: Path) -> None:
    code = "import sys, plovertrail.__main__; print(*sys.modules)"
    found = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True, timeout=60
    ).stdout.split()
    assert "plovertrail.listeners.platform_listener" in found
    tops = {name.split(".")[0] for name in found}
    assert not tops & {
        "re2",
        "msgspec",
        "click",
        "tomllib",
        "wsproto",
        "h11",
        "fakes",
        "simulator",
        "http.client",
        "hashlib",
        "wasmtime",
        "ctypes",
    }
    unwanted = (
        "plovertrail.cli",
        "plovertrail.daemon",
        "plovertrail.config.operator",
        "plovertrail.config.setup",
        "plovertrail.config.table_reader",
        "plovertrail.config.classes",
        "plovertrail.config.listeners",
        "plovertrail.config.pools",
        "plovertrail.config.route",
        "plovertrail.listeners.http_",
        "plovertrail.listeners.websocket_",
        "plovertrail.websocket",
        "plovertrail.decisions.routes",
        "plovertrail.decisions.websocket_",
        "plovertrail.hooks",
        "plovertrail.decisions.verdicts",
        "plovertrail.decisions.breaker",
        "plovertrail.decisions.fair_queue",
        "plovertrail.decisions.rate_limits",
        "plovertrail.decisions.affinity",
        "plovertrail.decisions.templates",
    )
    assert not [name for name in found if name.startswith(unwanted)]
