"""Lists from files under a running daemon: drains in time, last known good, hand drains, control socket."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import stat
import time
from collections.abc import Callable
from pathlib import Path

import pytest
from click.testing import CliRunner

from fakes.ports import free_port
from fakes.web import OK, Arrival, Line, WebServer, slowly
from plovertrail.cli import main
from plovertrail.clock import clock_us
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon
from plovertrail.daemon.wiring import Environment
from plovertrail.sources.list_reader import ListReader
from plovertrail.sources.lists import sealed
from tests.daemons import CLASSES, ROUTES, Client, Running, message, run
from tests.net import PATIENCE_S, until


def write_list(path: Path, servers: dict[str, WebServer], **more: object) -> float:
    """A whole, sealed list, in one rename; the time of it."""
    rows = [{"id": name, "address": server.address, **more} for name, server in servers.items()]
    beside = path.with_suffix(".tmp")
    beside.write_bytes(sealed("x.json", json.dumps({"servers": rows}).encode()))
    os.replace(beside, path)
    return time.monotonic()


def file_of(folder: Path, port: int, extra: str = "", pool: str = "", routes: str = "") -> Path:
    path = folder / "site.toml"
    path.write_text(
        f'[listeners.web]\naddress = "127.0.0.1:{port}"\n{CLASSES}\n{extra}\n'
        + (pool or f'[pools.main]\nservers_from = ["{folder}/servers.json"]\n')
        + (routes or ROUTES.replace("{pools}", '"main"'))
    )
    return path


class Site:
    """A daemon that can be ended and started again under the same file."""

    def __init__(self, folder: Path, notifications: bool = True, **more: str) -> None:
        self.notifications = notifications
        self.port = free_port()
        self.path = file_of(folder, self.port, **more)
        self.daemon: Daemon | None = None

    async def start(self) -> Running:
        self.daemon = Daemon(
            load(str(self.path)),
            Environment(new_seed=iter(range(1, 1000)).__next__),
            lists=ListReader(notifications=self.notifications),
        )
        await self.daemon.control.start()
        return Running(self.daemon, self.port, self.path)

    async def stop(self) -> None:
        if self.daemon is not None:
            async with asyncio.timeout(PATIENCE_S):
                await self.daemon.stop()
            self.daemon = None


def members(it: Running, pool: str = "main") -> dict[str, bool]:
    """The servers in force, and whether they drain."""
    return {ident: m.listed.drain for ident, m in it.daemon.pools[pool].registry.state.members.items()}


def test_a_change_of_the_file_comes_into_force_by_the_safety_scan_alone(tmp_path: Path) -> None:
    async def test() -> None:
        servers = {name: WebServer() for name in ("a", "b", "c")}
        for server in servers.values():
            await server.start()
        write_list(tmp_path / "servers.json", {"a": servers["a"], "b": servers["b"]})
        site = Site(tmp_path, notifications=False)
        it = await site.start()
        assert members(it) == {"a": False, "b": False}
        state = it.daemon.pools["main"].registry.state
        assert {member.started_us for member in state.members.values()} == {0}
        write_list(tmp_path / "servers.json", {"b": servers["b"], "c": servers["c"]})
        await until(lambda: set(members(it)) == {"b", "c"})
        before = servers["a"].count
        for _ in range(20):
            assert (await it.ask(message("GET /"))).status == 200
        assert servers["a"].count == before
        assert it.daemon.pools["main"].registry.state.members["c"].started_us > 0  # cold
        await site.stop()
        for server in servers.values():
            server.stop()

    run(test)


@pytest.mark.parametrize("broken", [b"", b"{", b'{"servers": []}', b"\xff\xfe", None])
def test_a_broken_list_leaves_the_last_good_one_in_force_and_is_told(
    tmp_path: Path, broken: bytes | None, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        path = tmp_path / "servers.json"
        write_list(path, {"a": server})
        site = Site(tmp_path)
        it = await site.start()
        with caplog.at_level(logging.ERROR):
            path.unlink() if broken is None else path.write_bytes(broken)
            await until(lambda: bool(it.daemon.pools["main"].registry.problems()))
        assert str(path) in caplog.text
        assert "last good one stays" in caplog.text
        assert members(it) == {"a": False}
        assert (await it.ask(message("GET /"))).status == 200
        write_list(path, {"a": server})
        await until(lambda: not it.daemon.pools["main"].registry.problems())
        await site.stop()
        server.stop()

    run(test)


def test_a_daemon_without_its_file_starts_from_the_last_good_list_and_its_drains(tmp_path: Path) -> None:
    async def test() -> None:
        servers = {name: WebServer() for name in ("a", "b", "c")}
        for server in servers.values():
            await server.start()
        path = tmp_path / "servers.json"
        write_list(path, servers)
        site = Site(tmp_path, extra=f'[daemon]\nstate_file = "{tmp_path}/state"')
        it = await site.start()
        assert it.daemon.drain("main", "b", True) == ""
        await site.stop()
        path.write_bytes(path.read_bytes()[:50])
        it = await site.start()
        assert members(it) == {"a": False, "b": True, "c": False}
        assert it.daemon.pools["main"].registry.problems()
        for _ in range(20):
            assert (await it.ask(message("GET /"))).status == 200
        assert servers["b"].count == 0
        write_list(path, {**servers, "new": servers["a"]})  # an address twice: refused
        await until(lambda: any("address of" in text for text in it.daemon.pools["main"].registry.problems()))
        assert set(members(it)) == {"a", "b", "c"}
        await site.stop()
        (tmp_path / "state").write_bytes(b"plovertrail-state 9 0 " + b"0" * 64 + b"\n")
        it = await site.start()  # goes on, with nothing that is good
        assert members(it) == {}
        assert (tmp_path / "state.bad").exists()
        refused = await it.ask(message("POST /buy"))
        assert refused.status == 503
        assert refused.all("Retry-After") == ["2"]
        await site.stop()
        for server in servers.values():
            server.stop()

    run(test)


def test_a_disk_that_can_not_be_written_costs_a_report_only(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        write_list(tmp_path / "servers.json", {"a": server})
        site = Site(tmp_path, extra=f'[daemon]\nstate_file = "{tmp_path}/no/such/folder/state"')
        it = await site.start()
        await until(lambda: "can't be written" in it.daemon.status()["state_file"])
        assert (await it.ask(message("GET /"))).status == 200
        await site.stop()
        server.stop()

    with caplog.at_level(logging.ERROR):
        run(test)
    assert "state file write failed" in caplog.text


class Door:
    """A stand-in whose accepting can be held up, so that dials to it wait."""

    def __init__(self, script: Callable[..., object]) -> None:
        self.web = WebServer(script)  # type: ignore[arg-type]
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.web.port = self.sock.getsockname()[1]
        self.task: asyncio.Task[None] | None = None
        self.filling: list[socket.socket] = []

    def open(self) -> None:
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            await loop.connect_accepted_socket(lambda: Line(self.web), sock)

    async def shut(self) -> None:
        """Fill the queue of connections that are up and not accepted: further ones don't come up."""
        assert self.task is not None
        self.task.cancel()
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.web.port))
            self.filling.append(sock)
        await asyncio.sleep(0.1)

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for sock in self.filling:
            sock.close()
        self.web.stop()
        self.sock.close()


def test_a_server_that_is_removed_gets_nothing_new_and_finishes_what_it_has(tmp_path: Path) -> None:
    """50 requests on it and 20 waiting for a connection: a pool each, as one has a slot of it at first."""

    async def test() -> None:
        let_go = asyncio.Event()
        times: list[float] = []

        async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
            times.append(time.monotonic())
            await let_go.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"

        door, other = Door(script), WebServer()
        await other.start()
        door.open()
        path = tmp_path / "servers.json"
        write_list(path, {"gone": door.web})
        names = [f"p{number}" for number in range(70)]
        pools = "".join(
            f'[pools.{name}]\nservers_from = ["{path}"]\nconnect_timeout = "10s"\n'
            f"[pools.{name}.guards]\njudged_from = 4\n"
            for name in names
        )
        routes = "".join(
            f'[[routes]]\nname = "{name}"\npath = "/{name}"\nclass = "buy"\npools = ["{name}"]\n'
            for name in names
        )
        site = Site(tmp_path, pool=pools, routes=routes)
        # they are held up for as long as this machine takes for all of it
        site.path.write_text(site.path.read_text().replace('deadline = "15s"', 'deadline = "2m"'))
        it = await site.start()
        clients = [await it.connect() for _ in names]
        for number in range(50):  # one by one, as the door's queue is short
            clients[number].writer.write(message(f"POST /{names[number]}"))
            await until(lambda: door.web.count > number)  # noqa: B023
        await door.shut()
        for name, client in zip(names[50:], clients[50:], strict=True):
            client.writer.write(message(f"POST /{name}"))
        await until(lambda: sum(len(pool.connections.connects) for pool in it.daemon.pools.values()) == 20)
        written = write_list(path, {"stays": other})
        await until(lambda: all(set(members(it, name)) == {"stays"} for name in names))
        assert time.monotonic() - written < 2.0
        door.open()  # the dials come up now: nothing may be sent on them
        replies = await asyncio.gather(*(client.reply() for client in clients[50:]))
        # no byte of them had left: they go elsewhere, or are refused as harmless to repeat
        assert {reply.status for reply in replies} <= {200, 503}
        assert other.count == [reply.status for reply in replies].count(200)
        # the one that stays is cold, and its turn in each pool comes at random; but it comes
        for name, client in zip(names[50:], clients[50:], strict=True):
            for _ in range(20):
                client.writer.write(message(f"POST /{name}"))
                if (await client.reply()).status == 200:
                    break
            else:
                raise AssertionError("a cold server alone in its pool gets no turn")
        assert door.web.count == 50
        assert max(times) < written
        let_go.set()
        answers = await asyncio.gather(*(client.reply() for client in clients[:50]))
        assert [(reply.status, reply.body) for reply in answers] == [(200, b"old")] * 50
        for client in clients:
            client.close()
        await site.stop()
        door.stop()
        other.stop()

    run(test)


@pytest.mark.parametrize("ident", ["a", "new"])
def test_a_server_that_comes_back_is_learnt_anew(tmp_path: Path, ident: str) -> None:
    async def test() -> None:
        server, other = WebServer(), WebServer()
        for each in (server, other):
            await each.start()
        path = tmp_path / "servers.json"
        write_list(path, {"a": server, "b": other})
        site = Site(tmp_path)
        it = await site.start()
        for _ in range(40):
            await it.ask(message("GET /"))
        running = it.daemon.pools["main"]
        old = running.registry.state.members["a"].endpoint_id
        learnt = running.pool.balancer.endpoints[old]
        assert server.connections > 0
        assert learnt.relative_latency != 1.0
        write_list(path, {"b": other})
        await until(lambda: set(members(it)) == {"b"})
        assert old not in running.pool.balancer.endpoints
        assert old not in running.connections.connections
        write_list(path, {ident: server, "b": other})
        await until(lambda: set(members(it)) == {ident, "b"})
        back = running.registry.state.members[ident]
        assert back.endpoint_id != old
        assert 0 < back.started_us <= clock_us()
        fresh = running.pool.balancer.endpoints[back.endpoint_id]
        assert fresh is not learnt
        assert fresh.relative_latency == 1.0
        assert running.pool.balancer.table.warm_up_fraction(fresh, running.pool.balancer.now_us) < 1.0
        before = server.connections
        for _ in range(200):
            await it.ask(message("GET /"))
            if server.connections > before:
                break
        assert server.connections == before + 1  # none of the old ones was used
        await site.stop()
        for each in (server, other):
            each.stop()

    run(test)


def test_drains_by_hand_and_the_status_over_the_control_socket(tmp_path: Path) -> None:
    async def test() -> None:
        servers = {name: WebServer(slowly(OK, 0.001)) for name in ("a", "b")}
        for server in servers.values():
            await server.start()
        path, control = tmp_path / "servers.json", str(tmp_path / "control")
        write_list(path, servers)
        site = Site(tmp_path, extra=f'[daemon]\ncontrol_socket = "{control}"')
        it = await site.start()
        assert stat.S_IMODE(os.stat(control).st_mode) == 0o600

        async def call(*arguments: str) -> tuple[int, str]:
            done = await asyncio.to_thread(CliRunner().invoke, main, [*arguments, "--socket", control])
            return done.exit_code, done.output

        assert (await call("drain", "main", "a"))[0] == 0
        for _ in range(20):
            assert (await it.ask(message("GET /"))).status == 200
        assert servers["a"].count == 0
        code, text = await call("status")
        assert code == 0
        assert "draining, 0 open" in text
        path.write_bytes(b"torn")
        await until(lambda: bool(it.daemon.pools["main"].registry.problems()))
        code, text = await call("status", "--json")
        found = json.loads(text)
        assert code == 3
        assert found["pools"]["main"]["drained_by_hand"] == ["a"]
        assert "JSON is malformed" in found["pools"]["main"]["problems"][0]
        assert (await call("undrain", "main", "a"))[0] == 0
        assert members(it) == {"a": False, "b": False}
        for wrong in (("drain", "none", "a"), ("drain", "main", "none")):
            assert (await call(*wrong))[0] == 1
        for noise in (b"\n", b"{}\n", b"[" * 4000 + b"\n", b"x" * 100_000, b'{"do": "fall"}\n'):
            reader, writer = await asyncio.open_unix_connection(control)
            writer.write(noise)
            answer = await reader.read()
            assert answer == b"" or not json.loads(answer)["ok"]
            writer.close()
        assert (await call("status"))[0] == 3
        await site.stop()
        assert not os.path.exists(control)
        assert (await call("status"))[0] == 1
        for server in servers.values():
            server.stop()

    run(test)


def test_a_control_socket_that_is_taken_ends_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        control = str(tmp_path / "control")
        write_list(tmp_path / "servers.json", {"a": WebServer(port=1)})
        site = Site(tmp_path, extra=f'[daemon]\ncontrol_socket = "{control}"')
        it = await site.start()
        with pytest.raises(OSError, match="another daemon listens"):
            await it.daemon.control.start()
        await site.stop()
        with socket.socket(socket.AF_UNIX) as left:
            left.bind(control)  # a daemon that was killed leaves its file
        await site.start()
        await site.stop()
        (tmp_path / "control").write_text("x")
        with pytest.raises(OSError, match="is no socket"):
            await site.start()
        await site.stop()

    run(test)


def test_seal_makes_a_list_that_is_taken(tmp_path: Path) -> None:
    path = tmp_path / "x.list"
    path.write_text("127.0.0.1:80\n")
    assert CliRunner().invoke(main, ["seal", str(path)]).exit_code == 0
    first = path.read_bytes()
    assert b"# sha256: " in first
    assert CliRunner().invoke(main, ["seal", str(path)]).exit_code == 0
    assert path.read_bytes() == first
    path.write_text("nonsense\n")
    done = CliRunner().invoke(main, ["seal", str(path)])
    assert done.exit_code == 2
    assert "no address" in done.output
    assert path.read_text() == "nonsense\n"


def test_a_reload_that_names_other_files_follows_them(tmp_path: Path) -> None:
    async def test() -> None:
        servers = {name: WebServer() for name in ("a", "b", "c")}
        for server in servers.values():
            await server.start()
        for name, server in servers.items():
            write_list(tmp_path / f"{name}.json", {name: server})
        site = Site(
            tmp_path, pool=f'[pools.main]\nservers_from = ["{tmp_path}/a.json", "{tmp_path}/b.json"]\n'
        )
        it = await site.start()
        assert set(members(it)) == {"a", "b"}
        assert await it.change(it.path.read_text().replace("/a.json", "/c.json"))
        await until(lambda: set(members(it)) == {"b", "c"})
        client: Client = await it.connect()
        assert (await client.ask(message("GET /"))).status == 200
        client.close()
        write_list(tmp_path / "a.json", servers)  # followed no more
        write_list(tmp_path / "b.json", {"b": servers["b"]}, drain=True)
        await until(lambda: members(it) == {"b": True, "c": False})
        assert servers["a"].count == 0
        await site.stop()
        for server in servers.values():
            server.stop()

    run(test)


def test_servers_that_move_from_the_file_to_a_list_stay_who_they_are(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        row = f'servers = [{{ id = "a", address = "{server.address}" }}]'
        site = Site(tmp_path, pool=f"[pools.main]\n{row}\n")
        it = await site.start()
        before = it.daemon.pools["main"].registry.state.members["a"]
        write_list(tmp_path / "servers.json", {"a": server})
        listed = it.path.read_text().replace(row, f'servers_from = ["{tmp_path}/servers.json"]')
        inline = it.path.read_text()
        for text in (listed, inline, listed):
            assert await it.change(text)
            assert it.daemon.pools["main"].registry.state.members["a"] == before
            assert (await it.ask(message("GET /"))).status == 200
        await site.stop()
        server.stop()

    run(test)


def test_a_list_that_a_guard_refused_is_taken_once_the_guard_is_lifted(tmp_path: Path) -> None:
    async def test() -> None:
        servers = {name: WebServer(port=9 + number) for number, name in enumerate("abcd")}
        path = tmp_path / "servers.json"
        write_list(path, servers)
        site = Site(tmp_path)
        it = await site.start()
        write_list(path, {"a": servers["a"]})
        await until(
            lambda: any(
                "drops or moves 3 of 4" in text for text in it.daemon.pools["main"].registry.problems()
            )
        )
        assert set(members(it)) == set("abcd")
        lifted = "[pools.main.guards]\nmost_dropped = 1.0\n[[routes]]"
        assert await it.change(it.path.read_text().replace("[[routes]]", lifted, 1))
        await until(lambda: set(members(it)) == {"a"})
        assert not it.daemon.pools["main"].registry.problems()
        await site.stop()

    run(test)
