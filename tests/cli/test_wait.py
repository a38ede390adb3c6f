"""`plovertrail wait`, and the phase in `status` and `check`."""

from __future__ import annotations

import asyncio
from pathlib import Path

from click.testing import CliRunner, Result

from fakes.web import WebServer
from plovertrail.cli import main
from tests.daemons import run, running, site


async def called(*arguments: str) -> Result:
    return await asyncio.to_thread(CliRunner().invoke, main, list(arguments))


def test_it_waits_for_a_phase_and_says_what_is_missing_when_that_does_not_come(tmp_path: Path) -> None:
    async def test() -> None:
        socket, path = str(tmp_path / "control"), tmp_path / "servers.txt"
        async with running(
            tmp_path,
            {"main": [WebServer()]},
            head=f'[daemon]\ncontrol_socket = "{socket}"\n',
            pool_extra=f'servers_from = ["{path}"]',
        ) as it:
            await it.daemon.control.start()
            found = await called("wait", "--phase", "serving in part", "--within", "20", "--socket", socket)
            assert found.exit_code == 0
            assert found.output.startswith("serving in part for ")
            found = await called("wait", "--within", "0", "--socket", socket)
            assert found.exit_code == 4
            assert "not full within 0 s" in found.output
            assert f"main: file:{path}: No such file" in found.output
            found = await called("status", "--socket", socket)
            assert "phase: serving in part" in found.output
            assert found.exit_code == 3
            assert (await called("wait", "--phase", "happy", "--socket", socket)).exit_code == 2

    run(test)


def test_no_daemon_is_waited_for_as_long_as_was_said(tmp_path: Path) -> None:
    found = CliRunner().invoke(main, ["wait", "--within", "0.1", "--socket", str(tmp_path / "none")])
    assert found.exit_code == 4
    assert "no daemon answers" in found.output


def test_check_tells_what_becomes_of_the_state_of_this_file(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text(site(8080, {"main": []}))
    found = CliRunner().invoke(main, ["check", str(path)]).output
    assert "after a restart: drains by hand: learnt anew, as there is no state file" in found
    assert "peers" not in found
    assert "hooks" not in found
    path.write_text(site(8080, {"main": []}, head=f'[daemon]\nstate_file = "{tmp_path}/state"\n'))
    found = CliRunner().invoke(main, ["check", str(path)]).output
    assert "after a restart: drains by hand: the state file" in found
