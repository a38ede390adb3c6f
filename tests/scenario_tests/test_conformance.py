"""A rehearsal decides as the daemon does on sockets: the same scenario in both, answer by answer."""

from __future__ import annotations

from collections.abc import Awaitable
from pathlib import Path

import pytest

from fakes.web import ERROR, NOT_RUN, OK, Arrival, Line, Script, WebServer, always, breaking
from plovertrail.config.operator import load
from plovertrail.scenario_tests.play import play
from plovertrail.scenario_tests.schema import load_expectations
from tests.daemons import message, run, running

SCRIPTS: dict[str, Script] = {
    "ok": always(OK),
    "error": always(ERROR),
    "full": always(NOT_RUN),
    "reset-late": breaking,
}
PATHS = {"buy": "/buy", "mark": "/mark", "read": "/rest"}
Decided = list[tuple[int, list[str]]]


def asks(kind: str) -> tuple[str, str]:
    return ("GET" if kind == "read" else "POST"), PATHS[kind]


def requests(does: str) -> int:
    """Behind a failure, what is decided goes by how long ago it was: time is not the same in both."""
    return 4 if does == "ok" else 1


def rehearsed(folder: Path, kind: str, does: str, text: str) -> Decided:
    method, path = asks(kind)
    file, expect = folder / "played.toml", folder / "played.expect.toml"
    file.write_text(text)
    expect.write_text(
        '[[scenarios]]\nname = "it"\nloads = ['
        + ", ".join(
            f'{{ ask = "{method} http://shop.example{path}", headers = {{ Idempotency-Key = "k{n}" }}, '
            f'at = "{300 * n + 1}ms", count = 1 }}'  # after what becomes of the server
            for n in range(requests(does))
        )
        + f']\nevents = [{{ at = "0s", server = "first/first0", does = "{does}" }}]\n'
    )
    setup = load(str(file))
    played = play(setup, load_expectations(str(expect), setup).scenarios[0], 1)
    return [(asked.status, [sending.pool for sending in asked.attempts]) for asked in played.asked]


@pytest.mark.parametrize("does", [*SCRIPTS, "refuse"])
@pytest.mark.parametrize("kind", PATHS)
def test_the_same_scenario_on_sockets_gives_the_same_decisions(kind: str, does: str, tmp_path: Path) -> None:
    """One server in each of two pools, so that chance has no part in it: the answers, and the pools of all
    attempts in their order."""

    found: Decided = []
    text = ""

    async def test() -> None:
        nonlocal text
        order: list[tuple[bytes, str]] = []

        def noted(name: str, script: Script) -> Script:
            def also(server: WebServer, arrival: Arrival, line: Line) -> Awaitable[bytes] | bytes:
                order.append((arrival.all("X-Request-Id")[0], name))
                return script(server, arrival, line)

            return also

        first = WebServer(noted("first", SCRIPTS.get(does, always(OK))))
        second = WebServer(noted("second", always(OK)))
        async with running(tmp_path, {"first": [first], "second": [second]}) as it:
            text = it.path.read_text()
            if does == "refuse":
                first.stop()
            method, path = asks(kind)
            body = b"" if kind == "read" else b"x"
            for number in range(requests(does)):
                ident = f"r{number}"
                headers = (f"Idempotency-Key: k{number}", f"X-Request-Id: {ident}")
                reply = await it.ask(message(f"{method} {path}", *headers, body=body))
                found.append((reply.status, [name for told, name in order if told == ident.encode()]))

    run(test)
    wanted = rehearsed(tmp_path, kind, does, text)
    if does == "refuse":  # what no connection came up for reached nobody
        wanted = [(status, [pool for pool in pools if pool != "first"]) for status, pools in wanted]
    assert found == wanted
