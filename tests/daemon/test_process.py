"""The daemon process: startup, signals and shutdown."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from pathlib import Path

from fakes.ports import free_port
from fakes.web import OK, WebServer, slowly
from tests.daemons import Running, message, run, site
from tests.net import PATIENCE_S


def start_process(path: Path) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, "-m", "plovertrail.cli", "serve", str(path)],
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"PYTHONUNBUFFERED": "1"},
    )


async def line_with(process: subprocess.Popen[str], words: str) -> str:
    """The next line of its log that contains these words."""
    assert process.stderr is not None
    async with asyncio.timeout(PATIENCE_S):
        while True:
            line = await asyncio.to_thread(process.stderr.readline)
            assert line, "the process has ended"
            if words in line:
                return line


def test_the_process_survives_sighup_and_answers_all_requests_before_it_ends(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(slowly(OK, 0.05)) for _ in range(4)]
        for server in servers:
            await server.start()
        port, path = free_port(), tmp_path / "site.toml"
        good = site(port, {"main": servers})
        path.write_text(good)
        process = start_process(path)
        try:
            await line_with(process, f"listener open name=web address=127.0.0.1:{port}")
            it = Running(None, port, path)  # type: ignore[arg-type]
            stopping, answered, sent = asyncio.Event(), set[str](), set[str]()

            async def client(name: int) -> None:
                connection = await it.connect()
                for number in range(10_000):
                    request_id = f"{name}-{number}"
                    try:
                        sent.add(request_id)
                        reply = await connection.ask(
                            message("POST /buy", f"X-Request-Id: {request_id}", body=b"x")
                        )
                    except (asyncio.IncompleteReadError, ConnectionError):
                        assert stopping.is_set()
                        return
                    assert reply.status in (200, 503)
                    answered.add(request_id)
                    if reply.all("Connection") == ["close"]:
                        assert stopping.is_set()
                        return

            async with asyncio.TaskGroup() as group:
                for name in range(8):
                    group.create_task(client(name))
                await asyncio.sleep(0.2)
                path.write_text("nonsense")
                process.send_signal(signal.SIGHUP)
                assert str(path) in await line_with(process, "reload refused")
                path.write_text(good.replace('deadline = "15s"', 'deadline = "14s"'))
                process.send_signal(signal.SIGHUP)
                await line_with(process, "configuration in force generation=2")
                await asyncio.sleep(0.2)
                stopping.set()
                process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, PATIENCE_S) == 0
            executed = [
                arrival.all("X-Request-Id")[0].decode() for server in servers for arrival in server.arrivals
            ]
            assert len(executed) == len(set(executed))
            assert set(executed) <= answered <= sent
        finally:
            process.kill()
            process.communicate()
            for server in servers:
                server.stop()

    run(test)


def test_a_failed_start_logs_why_and_exits_with_2(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text("listeners = 1")
    process = start_process(path)
    _, errors = process.communicate(timeout=PATIENCE_S)
    assert process.returncode == 2
    assert errors.startswith(f"{path}: ")
    assert "listeners" in errors
