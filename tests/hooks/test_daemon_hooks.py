"""Hooks on live routes: what they may change, how they fail, and that no other request feels it."""

from __future__ import annotations

import asyncio
import logging
import threading
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import pytest

from fakes.live import LiveServer
from fakes.ports import free_port
from fakes.web import ERROR, WebServer, always, breaking
from plovertrail.config.operator import load
from plovertrail.config.problems import ConfigError
from plovertrail.daemon.process import Daemon
from plovertrail.decisions.verdicts import Verdict
from plovertrail.hooks import abi
from plovertrail.hooks.engine import Compiled, Runtime
from tests.daemons import Client, message, run, running, site
from tests.hooks import wat

ROUTES = """
[[routes]]
name = "buy"
path = "/buy"
class = "buy"
pools = ["main"]
hooks = [{hooks}]
on_hook_fault = "{policy}"
[[routes]]
name = "mark"
path = "/mark"
class = "mark"
pools = ["main"]
hooks = [{hooks}]
on_hook_fault = "{policy}"
hook_classes = ["buy"]
[[routes]]
name = "hooked"
path = "/hooked"
class = "read"
pools = ["main"]
hooks = [{hooks}]
on_hook_fault = "{policy}"
hook_classes = ["mark", "buy"]
[[routes]]
name = "rest"
class = "read"
pools = ["main"]
"""


def hooked(
    folder: Path, modules: Mapping[str, bytes], policy: str = "fail", settings: str = ""
) -> dict[str, Any]:
    """What a site with these hooks on three routes of four is made from."""
    tables = ""
    for name, module in modules.items():
        (folder / f"{name}.wasm").write_bytes(module)
        tables += f'[hooks.{name}]\nfile = "{folder / name}.wasm"\n{settings}\n'
    names = ", ".join(f'"{name}"' for name in modules)
    return {"routes": ROUTES.format(hooks=names, policy=policy), "head": tables}


def hook(daemon: Daemon, name: str = "h") -> dict[str, Any]:
    """A hook's status."""
    found: dict[str, Any] = daemon.status()["hooks"][name]
    return found


def test_a_hook_refuses_and_nothing_reaches_a_server(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        verdict = Verdict(refuse=403, body=b"this promo code is over", counts=[(b"blocked", 1)])
        more = hooked(
            tmp_path, {"h": wat.answering("on_request", verdict)}, settings='counters = ["blocked"]'
        )
        async with running(tmp_path, {"main": [server]}, **more) as it:
            reply = await it.ask(message("POST /buy", body=b"coins"))
            assert (reply.status, reply.body) == (403, b"this promo code is over")
            assert server.count == 0
            assert (await it.ask(message("GET /other"))).status == 200
            assert hook(it.daemon)["counters"] == {"blocked": 1}
            assert not it.daemon.dispatcher.requests

    run(test)


def test_a_hook_sets_and_removes_headers_of_requests_and_answers(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(always(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Secret: s\r\n\r\nok"))
        tag = Verdict(set_headers=[(b"X-Serial", b"kidlat-7")], remove_headers=[b"x-debug"])
        on_request, first = wat.saying(abi.write_verdict(tag))
        on_answer, second = wat.saying(
            abi.write_verdict(Verdict(set_headers=[(b"X-Seen", b"yes")], remove_headers=[b"X-SECRET"]))
        )
        module = wat.module(
            on_request=on_request,
            on_answer=on_answer.replace("$verdict", "$other"),
            extra=first + second.replace("$verdict", "$other"),
        )
        async with running(tmp_path, {"main": [server]}, **hooked(tmp_path, {"h": module})) as it:
            # a client's Connection header takes only the client's own headers away
            reply = await it.ask(
                message("GET /hooked/a", "X-Debug: 1", "X-Serial: forged", "Connection: x-serial")
            )
            assert reply.status == 200
            assert reply.body == b"ok"
            assert reply.all("X-Seen") == ["yes"]
            assert not reply.all("X-Secret")
            assert server.arrivals[0].all("X-Serial") == [b"kidlat-7"]
            assert not server.arrivals[0].all("X-Debug")
            await it.ask(message("GET /other", "X-Debug: 1"))
            assert server.arrivals[1].all("X-Debug") == [b"1"]

    run(test)


FORBIDDEN: dict[str, Verdict | bytes] = {
    "the key": Verdict(set_headers=[(b"Idempotency-Key", b"other")]),
    "the key gone": Verdict(remove_headers=[b"idempotency-key"]),
    "the request's id": Verdict(set_headers=[(b"x-request-id", b"other")]),
    "the deadline": Verdict(set_headers=[(b"X-Deadline-Ms", b"999999")]),
    "the framing": Verdict(set_headers=[(b"Transfer-Encoding", b"chunked")]),
    "the length": Verdict(set_headers=[(b"Content-Length", b"0")]),
    "the host": Verdict(set_headers=[(b"Host", b"elsewhere")]),
    "a handshake": Verdict(set_headers=[(b"Sec-WebSocket-Key", b"x")]),
    "a line end in a value": Verdict(set_headers=[(b"X-A", b"1\r\nX-B: 2")]),
    "a line end in a name": Verdict(set_headers=[(b"X-A: 1\r\nX-B", b"2")]),
    "a huge value": Verdict(set_headers=[(b"X-A", b"x" * 20_000)]),
    "no byte of text": Verdict(set_headers=[(b"X-A", b"\x00")]),
    "a laxer class": Verdict(class_name=b"read"),
    "no class": Verdict(class_name=b"none"),
    "an unknown counter": Verdict(counts=[(b"mine", 1)]),
    "a status that says retry": Verdict(refuse=408),
    "a success of its own": Verdict(refuse=200),
    "a flood of lines": Verdict(logs=[b"x"] * 5),
    "a long line": Verdict(logs=[b"x" * 300]),
    "a tenant that is none": Verdict(tenant=b"a b"),
    "an unknown tag": abi.record(99, b"resend"),
    "half a record": abi.record(65, b"v", b"X-A")[:-1],
    "a length beyond the end": abi.HEAD.pack(65, 3, 0xFFFF_FFFF) + b"X-A",
    "many records": abi.record(70, b"") * 200,
}


@pytest.mark.parametrize("name", FORBIDDEN)
def test_what_a_hook_may_not_have_is_a_fault_of_that_request_only(name: str, tmp_path: Path) -> None:
    """On a route for purchases: nothing arrives, and the connection goes on."""

    async def test() -> None:
        server = WebServer()
        bad = wat.answering("on_request", FORBIDDEN[name])
        good = wat.module(on_request=wat.ALLOW)
        async with running(tmp_path, {"main": [server]}, **hooked(tmp_path, {"h": good})) as it:
            # it gets into force only by way of a trial; so put it there as if it had turned bad later
            chain = it.daemon.generation.plans["buy"].hook_chain
            assert chain is not None
            chain.hooks[0].compiled = chain.hooks[0].runtime.compile_module(bad)
            client = await it.connect()
            reply = await client.ask(message("POST /buy", "Idempotency-Key: k", body=b"coins"))
            assert reply.status == 500
            assert b"nothing has run" in reply.body
            assert server.count == 0
            assert (await client.ask(message("GET /other"))).status == 200
            assert hook(it.daemon)["faults"] == 1
            client.close()

    run(test)


FAULTY = {
    "trap": wat.module(on_request=wat.TRAP),
    "endless": wat.module(on_request=wat.LOOP),
    "slow in bulk": wat.module(on_request=wat.SLOW_BULK),
    "deep": wat.module(on_request=wat.DEEP, extra=wat.DEEP_EXTRA),
    "out of bounds": wat.module(on_request=wat.OUT_OF_BOUNDS),
    "too long a verdict": wat.module(on_request=wat.TOO_LONG_VERDICT),
    "its own error": wat.module(on_request=wat.OWN_ERROR),
    "memory": wat.module(on_request=wat.GROW),
    "noise": wat.module(on_request=wat.ECHO),
}


@pytest.mark.parametrize("policy", ["fail", "pass"])
@pytest.mark.parametrize("name", FAULTY)
def test_a_fault_follows_the_routes_policy(name: str, policy: str, tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        good = wat.module(on_request=wat.ALLOW)
        more = hooked(tmp_path, {"h": good}, policy, 'memory = "256KiB"\nfuel = 50000000')
        async with running(tmp_path, {"main": [server]}, **more) as it:
            chain = it.daemon.generation.plans["buy"].hook_chain
            assert chain is not None
            chain.hooks[0].compiled = chain.hooks[0].runtime.compile_module(FAULTY[name])
            reply = await it.ask(message("POST /buy", body=b"coins"))
            assert (reply.status, server.count) == ((200, 1) if policy == "pass" else (500, 0))
            assert hook(it.daemon)["faults"] == 1
            assert hook(it.daemon)["last_fault"]
            assert (await it.ask(message("GET /other"))).status == 200

    run(test)


@pytest.mark.parametrize("policy", ["fail", "pass"])
def test_a_hook_that_keeps_faulting_is_switched_off_loudly(
    policy: str, tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        server = WebServer()
        more = hooked(tmp_path, {"h": wat.module(on_request=wat.ALLOW)}, policy)
        async with running(tmp_path, {"main": [server]}, **more) as it:
            chain = it.daemon.generation.plans["buy"].hook_chain
            assert chain is not None
            chain.hooks[0].compiled = chain.hooks[0].runtime.compile_module(FAULTY["trap"])
            client = await it.connect()
            replies = [await client.ask(message("POST /buy", body=b"coins")) for _ in range(15)]
            status = hook(it.daemon)
            assert status["off_for_s"] > 0
            assert status["skipped"] > 0
            assert status["faults"] < 15
            if policy == "pass":
                assert [reply.status for reply in replies] == [200] * 15
            else:
                assert replies[-1].status == 503
                assert int(replies[-1].all("Retry-After")[0]) > 0
                assert server.count == 0
            assert (await client.ask(message("GET /other"))).status == 200
            client.close()

    with caplog.at_level(logging.ERROR):
        run(test)
    assert sum("switched off" in record.getMessage() for record in caplog.records) == 1


def test_classes_are_chosen_towards_the_stricter_only(tmp_path: Path) -> None:
    """A safe route's request becomes a purchase: when its server breaks it is not tried again."""

    async def test() -> None:
        servers = [WebServer(breaking), WebServer(breaking)]
        strict = wat.answering("on_request", Verdict(class_name=b"buy"))
        lax = wat.answering("on_request", Verdict(class_name=b"mark"))
        async with running(tmp_path, {"main": servers}, **hooked(tmp_path, {"h": strict})) as it:
            await it.ask(message("GET /other", "X-Deadline-Ms: 1000"))
            assert sum(server.count for server in servers) > 1  # as it is safe
            before = sum(server.count for server in servers)
            assert (await it.ask(message("GET /hooked", "X-Deadline-Ms: 1000"))).status == 502
            assert sum(server.count for server in servers) == before + 1
            # what one hook has chosen, the next one doesn't loosen
            text = it.path.read_text()
            (tmp_path / "lax.wasm").write_bytes(lax)
            text = text.replace('hooks = ["h"]', 'hooks = ["h", "lax"]')
            assert await it.change(f'[hooks.lax]\nfile = "{tmp_path}/lax.wasm"\n' + text)
            assert (await it.ask(message("GET /hooked", "Idempotency-Key: k"))).status == 500
            assert hook(it.daemon, "lax")["faults"] == 1

    run(test)


def test_a_keyed_class_that_is_chosen_needs_its_key(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        module = wat.answering("on_request", Verdict(class_name=b"mark"))
        text = hooked(tmp_path, {"h": module})
        async with running(tmp_path, {"main": [server]}, **text) as it:
            assert (await it.ask(message("GET /hooked"))).status == 400
            assert (await it.ask(message("GET /hooked", "Idempotency-Key: k"))).status == 200

    run(test)


@pytest.mark.parametrize("policy", ["fail", "pass"])
def test_a_fault_on_the_answer_of_a_purchase_is_no_leave_to_repeat(policy: str, tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        more = hooked(tmp_path, {"h": wat.module(on_answer=wat.ALLOW)}, policy)
        async with running(tmp_path, {"main": [server]}, **more) as it:
            chain = it.daemon.generation.plans["buy"].hook_chain
            assert chain is not None
            chain.hooks[0].compiled = chain.hooks[0].runtime.compile_module(wat.module(on_answer=wat.TRAP))
            reply = await it.ask(message("POST /buy", body=b"coins"))
            assert reply.status == (200 if policy == "pass" else 502)
            assert server.count == 1
            assert not reply.all("Retry-After")

    run(test)


@pytest.mark.parametrize("header", ["Retry-After", "X-Not-Run", "Content-Length", "Connection"])
def test_an_answers_own_headers_are_not_a_hooks_to_change(header: str, tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer(always(ERROR))
        verdict = Verdict(set_headers=[(header.encode(), b"1")])
        more = hooked(tmp_path, {"h": wat.module(on_answer=wat.ALLOW)})
        async with running(tmp_path, {"main": [server]}, **more) as it:
            chain = it.daemon.generation.plans["buy"].hook_chain
            assert chain is not None
            chain.hooks[0].compiled = chain.hooks[0].runtime.compile_module(
                wat.answering("on_answer", verdict)
            )
            assert (await it.ask(message("POST /buy", body=b"coins"))).status == 502

    run(test)


def test_the_end_of_each_request_is_told_once_with_how_it_ended(tmp_path: Path) -> None:
    """A hook that logs what it is told: the records of each end."""

    async def test() -> None:
        server = WebServer()
        count = Verdict(counts=[(b"ended", 1)])
        more = hooked(tmp_path, {"h": wat.answering("on_end", count)}, settings='counters = ["ended"]')
        async with running(tmp_path, {"main": [server]}, **more) as it:
            client = await it.connect()
            for _ in range(3):
                assert (await client.ask(message("POST /buy", body=b"coins"))).status == 200
            assert (await client.ask(message("POST /mark"))).status == 400  # no key
            client.close()
            server.script = lambda server, arrival, line: b""
            gone = await it.connect()
            gone.writer.write(message("POST /buy", body=b"coins"))
            async with asyncio.timeout(10):
                while server.count < 4:
                    await asyncio.sleep(0.01)
                gone.close()
                while hook(it.daemon)["counters"]["ended"] < 5:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            assert hook(it.daemon)["counters"] == {"ended": 5}

    run(test)


def test_a_request_with_too_little_time_left_is_not_held_up(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        good = wat.module(on_request=wat.ALLOW)
        async with running(tmp_path, {"main": [server]}, **hooked(tmp_path, {"h": good})) as it:
            reply = await it.ask(message("POST /buy", "X-Deadline-Ms: 5", body=b"coins"))
            assert reply.status == 500
            assert server.count == 0
            assert hook(it.daemon)["skipped"] == 1
            assert hook(it.daemon)["faults"] == 0

    run(test)


def test_a_head_too_long_for_a_hook_is_no_fault_of_it(tmp_path: Path) -> None:
    """The longest head fits; one that an earlier hook has made longer may not."""

    async def test() -> None:
        server = WebServer()
        longer = wat.answering("on_request", Verdict(set_headers=[(b"X-More", b"x" * 7000)]))
        modules = {"first": longer, "h": wat.module(on_request=wat.ALLOW, size=18 << 10)}
        async with running(tmp_path, {"main": [server]}, **hooked(tmp_path, modules)) as it:
            assert (await it.ask(message("POST /buy"))).status == 200
            reply = await it.ask(message("POST /buy", f"X-Long: {'x' * 15_000}"))
            assert reply.status == 431
            assert server.count == 1
            assert hook(it.daemon)["too_long"] == 1
            assert hook(it.daemon)["faults"] == 0

    run(test)


# Reload


def test_a_changed_module_is_swapped_whole_or_not_at_all(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        old = wat.answering("on_request", Verdict(refuse=403, body=b"old", counts=[(b"n", 1)]))
        new = wat.answering("on_request", Verdict(refuse=404, body=b"new", counts=[(b"n", 1)]))
        more = hooked(tmp_path, {"h": old}, settings='counters = ["n"]')
        async with running(tmp_path, {"main": [server]}, **more) as it:
            text = it.path.read_text()
            assert (await it.ask(message("POST /buy"))).body == b"old"
            (tmp_path / "h.wasm").write_bytes(b"no module")
            assert not await it.change(text)
            assert (await it.ask(message("POST /buy"))).body == b"old"
            (tmp_path / "h.wasm").write_bytes(wat.module(on_request=wat.LOOP))
            assert not await it.change(text)  # the trial finds it
            (tmp_path / "h.wasm").write_bytes(old)
            assert await it.change(text)
            assert (await it.ask(message("POST /buy"))).body == b"old"
            assert hook(it.daemon)["counters"] == {"n": 3}  # nothing has changed, so it goes on counting
            (tmp_path / "h.wasm").write_bytes(new)
            assert await it.change(text)
            assert (await it.ask(message("POST /buy"))).body == b"new"
            assert hook(it.daemon)["counters"] == {"n": 1}

    run(test)


def test_a_request_in_progress_keeps_the_hooks_that_it_began_with(tmp_path: Path) -> None:
    async def test() -> None:
        release = asyncio.Event()

        async def script(server: WebServer, arrival: object, line: object) -> bytes:
            await release.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

        server = WebServer(script)
        old = wat.answering("on_answer", Verdict(set_headers=[(b"X-Rule", b"old")]))
        new = wat.answering("on_answer", Verdict(set_headers=[(b"X-Rule", b"new")]))
        async with running(tmp_path, {"main": [server]}, **hooked(tmp_path, {"h": old})) as it:
            client = await it.connect()
            client.writer.write(message("POST /buy", body=b"coins"))
            async with asyncio.timeout(10):
                while not server.count:
                    await asyncio.sleep(0.01)
            (tmp_path / "h.wasm").write_bytes(new)
            assert await it.change(it.path.read_text())
            release.set()
            assert (await client.reply()).all("X-Rule") == ["old"]
            assert (await client.ask(message("POST /buy", body=b"coins"))).all("X-Rule") == ["new"]
            client.close()

    run(test)


def test_compiling_does_not_stop_the_loop(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A reload whose module takes until the test says: requests are answered meanwhile, by the old hooks."""
    compiling, release = threading.Event(), threading.Event()
    plain = Runtime.compile_module

    def held_up(self: Runtime, data: bytes) -> Compiled:
        compiling.set()
        assert release.wait(30)
        return plain(self, data)

    async def test() -> None:
        old = wat.answering("on_request", Verdict(refuse=403, body=b"old"))
        new = wat.answering("on_request", Verdict(refuse=403, body=b"new"))
        async with running(tmp_path, {"main": [WebServer()]}, **hooked(tmp_path, {"h": old})) as it:
            monkeypatch.setattr(Runtime, "compile_module", held_up)
            (tmp_path / "h.wasm").write_bytes(new)
            reload = asyncio.create_task(it.daemon.reload())
            assert await asyncio.to_thread(compiling.wait, 30)
            for _ in range(3):
                assert (await it.ask(message("POST /buy"))).body == b"old"
            release.set()
            assert await reload
            assert (await it.ask(message("POST /buy"))).body == b"new"

    run(test)


def test_hooks_come_and_go_with_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        async with running(tmp_path, {"main": [server]}) as it:
            plain = it.path.read_text()
            more = hooked(tmp_path, {"h": wat.answering("on_request", Verdict(refuse=403))})
            text = more["head"] + plain[: plain.index("[[routes]]")] + more["routes"]
            assert (await it.ask(message("POST /buy"))).status == 200
            assert await it.change(text)
            assert (await it.ask(message("POST /buy"))).status == 403
            assert await it.change(plain)
            assert (await it.ask(message("POST /buy"))).status == 200
            assert it.daemon.status()["hooks"] == {}

    run(test)


# WebSocket


def test_a_hook_refuses_a_handshake_and_no_socket_opens(tmp_path: Path) -> None:
    async def test() -> None:
        server = LiveServer()
        await server.start()
        (tmp_path / "h.wasm").write_bytes(wat.answering("on_request", Verdict(refuse=403, body=b"no")))
        routes = ROUTES.format(hooks='"h"', policy="fail").replace(
            'name = "hooked"', 'name = "hooked"\nwebsocket = "live"'
        )
        routes = routes.replace('hook_classes = ["mark", "buy"]', "")
        path, port = tmp_path / "site.toml", free_port()
        path.write_text(
            f'[hooks.h]\nfile = "{tmp_path}/h.wasm"\n[websockets.live]\n'
            + site(port, {"main": []}, routes, pool_extra="max_sockets = 9").replace(
                "servers = []", f'servers = [{{ id = "a", address = "{server.address}" }}]'
            )
        )
        daemon = Daemon(load(str(path)))
        try:
            client = Client(*await asyncio.open_connection("127.0.0.1", port))
            reply = await client.ask(
                message(
                    "GET /hooked",
                    "Connection: Upgrade",
                    "Upgrade: websocket",
                    "Sec-WebSocket-Version: 13",
                    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",
                )
            )
            assert (reply.status, reply.body) == (403, b"no")
            assert await client.ended()  # what follows may be frames
            client.close()
            assert not daemon.services.websockets.relays
            assert not daemon.dispatcher.requests
        finally:
            await daemon.stop()
            server.stop()

    run(test)


# What is no hook

BAD_FILES = {
    "no module": (b"hello", "not WebAssembly"),
    "cut off": (wat.module(on_request=wat.ALLOW)[:-9], "can't be compiled"),
    "no phase": (wat.module(), "exports none of"),
    "another version": (wat.module(on_request=wat.ALLOW, abi_version=2), "version 2"),
    "a small buffer": (wat.module(on_request=wat.ALLOW, size=100), "its buffer has 100 bytes"),
    "a buffer too small for a head": (wat.module(on_request=wat.ALLOW, size=8 << 10), "must have"),
    "a buffer outside": (wat.module(on_request=wat.ALLOW, buffer=200_000), "over the end of its memory"),
    "a trap": (wat.module(on_end=wat.TRAP), "tried out, on_end: trap: unreachable"),
    "a loop": (wat.module(on_request=wat.LOOP), "tried out, on_request: it used up its fuel"),
    "a loop at the start": (
        wat.module(on_request=wat.ALLOW, extra="(func $s (loop $l (br $l))) (start $s)"),
        "can't be started",
    ),
    "too much memory": (wat.module(on_request=wat.ALLOW, pages=100), "can't be started"),
}


@pytest.mark.parametrize("name", BAD_FILES)
def test_a_file_that_is_no_hook_stops_the_start_with_what_is_wrong(name: str, tmp_path: Path) -> None:
    async def test() -> None:
        data, told = BAD_FILES[name]
        with pytest.raises(ConfigError) as wrong:
            async with running(tmp_path, {"main": [WebServer()]}, **hooked(tmp_path, {"h": data})):
                raise AssertionError("it started")
        assert told in str(wrong.value)
        assert "hooks.h.file" in str(wrong.value)

    run(test)


def test_a_module_that_is_missing_or_imports_is_told(tmp_path: Path) -> None:
    import wasmtime

    (tmp_path / "imports.wasm").write_bytes(wasmtime.wat2wasm('(module (import "env" "clock" (func)))'))
    more = hooked(tmp_path, {"h": wat.module(on_request=wat.ALLOW)})
    for path, told in (("missing", "can't be read"), ("imports", "it imports env.clock")):
        text = more["head"].replace("h.wasm", f"{path}.wasm")

        async def test(text: str = text, told: str = told) -> None:
            with pytest.raises(ConfigError, match=told):
                async with running(tmp_path, {"main": [WebServer()]}, routes=more["routes"], head=text):
                    raise AssertionError("it started")

        run(test)


def test_a_site_without_hooks_loads_no_engine(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    path.write_text('[hooks.h]\nfile = "x"\n')
    with pytest.raises(ConfigError):
        load(str(path))  # the file's own checks need none

    async def test() -> None:
        async with running(tmp_path, {"main": [WebServer()]}) as it:
            assert it.daemon.services.hooks.keeper is None
            assert it.daemon.status()["hooks"] == {}
            assert (await it.ask(message("GET /x"))).status == 200

    run(test)
