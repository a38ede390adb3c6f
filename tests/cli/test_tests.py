"""Tests that a file must pass: at a daemon's start, before a reload, and again whenever it changes."""

from __future__ import annotations

import asyncio
import queue
import subprocess
import sys
import threading
from collections import deque
from contextlib import suppress
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import WebServer
from plovertrail.cli.serve import broken_expectations
from tests.daemons import message, run, running

EXPECT = '[[requests]]\nask = "POST http://shop.example/buy"\nroute = "buy"\nclass = "buy"\n'
SITE = """
[listeners.web]
address = "127.0.0.1:{port}"
[classes.buy]
effect = "unsafe"
aim = "1s"
deadline = "5s"
[pools.main]
servers = [{{ id = "a", address = "127.0.0.1:9" }}]
[[routes]]
name = "buy"
class = "buy"
pools = ["main"]
"""


def test_a_reload_that_breaks_a_test_is_refused_and_holds_nothing_up(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        expect = tmp_path / "it.expect.toml"
        expect.write_text(EXPECT)
        async with running(tmp_path, {"main": [server]}) as it:

            async def approve(path: str) -> str:
                return await broken_expectations(path, (str(expect),))

            it.daemon.reloader.approve = approve
            text = it.path.read_text()
            it.path.write_text(text.replace('name = "buy"\npath = "/buy"', 'name = "sell"\npath = "/buy"'))
            reload = asyncio.create_task(it.daemon.reload())
            answered = 0
            while not reload.done():
                assert (await it.ask(message("POST /buy", body=b"x"))).status == 200
                answered += 1
            assert not reload.result()
            assert answered >= 2
            assert it.daemon.generation.number == 1
            assert await it.change(text + "\n# the same")
            assert it.daemon.generation.number == 2

    run(test)


def test_a_file_that_changes_while_its_tests_run_is_refused(tmp_path: Path) -> None:
    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer()]}) as it:

            def change(path: str) -> None:
                Path(path).write_text(Path(path).read_text() + "\n# another")

            async def approve(path: str) -> str:
                await asyncio.to_thread(change, path)
                return ""

            it.daemon.reloader.approve = approve
            assert not await it.daemon.reload()
            assert it.daemon.generation.number == 1

    run(test)


@pytest.mark.parametrize(
    ("expect", "told"),
    [
        (EXPECT.replace('"buy"\nclass', '"buy"\nclass'), ""),
        (EXPECT.replace('class = "buy"', 'class = "read"'), "class is 'buy', not 'read'"),
        ("nonsense", "can't be read"),
    ],
)
def test_what_breaks_is_told(expect: str, told: str, tmp_path: Path) -> None:
    site, path = tmp_path / "site.toml", tmp_path / "site.expect.toml"
    site.write_text(SITE.format(port=free_port()))
    path.write_text(expect)
    found = asyncio.run(broken_expectations(str(site), (str(path),)))
    assert (told in found) if told else found == ""


def test_a_daemon_does_not_start_where_a_test_breaks(tmp_path: Path) -> None:
    site, path = tmp_path / "site.toml", tmp_path / "site.expect.toml"
    site.write_text(SITE.format(port=free_port()))
    path.write_text(EXPECT.replace('class = "buy"', 'class = "read"'))
    done = subprocess.run(
        [sys.executable, "-m", "plovertrail.cli", "serve", str(site), "--tests", str(path)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert "class is 'buy', not 'read'" in done.stderr


def test_a_change_is_tested_again(tmp_path: Path) -> None:
    site, path = tmp_path / "site.toml", tmp_path / "site.expect.toml"
    site.write_text(SITE.format(port=free_port()))
    path.write_text(EXPECT)
    watching = subprocess.Popen(
        [sys.executable, "-m", "plovertrail.cli", "test", str(site), "--watch"],
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert watching.stdout is not None
        assert "1 hold, 0 broken" in watching.stdout.readline()
        lines: queue.Queue[str] = queue.Queue()
        stream = watching.stdout
        threading.Thread(target=lambda: deque(map(lines.put, stream), 0), daemon=True).start()
        found = []
        for turn in range(150):  # the watch begins a moment after the first run
            path.write_text(EXPECT.replace('class = "buy"', 'class = "read"') + f"# {turn}\n")
            with suppress(queue.Empty):
                found.append(lines.get(timeout=0.2))
                break
        assert found
        assert "BROKEN" in found[0]
    finally:
        watching.terminate()
        watching.wait(timeout=30)
