"""A daemon with lists in files: changes, invalid lists, drains by the operator, the control socket."""

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
    """Replace a list atomically by a complete, sealed one; returns the time."""
    rows = [{"id": name, "address": server.address, **more} for name, server in servers.items()]
    temporary = path.with_suffix(".tmp")
    temporary.write_bytes(sealed("x.json", json.dumps({"servers": rows}).encode()))
    os.replace(temporary, path)
    return time.monotonic()


def write_operator_file(folder: Path, port: int, extra: str = "", pool: str = "", routes: str = "") -> Path:
    path = folder / "site.toml"
    path.write_text(
        f'[listeners.web]\naddress = "127.0.0.1:{port}"\n{CLASSES}\n{extra}\n'
        + (pool or f'[pools.main]\nservers_from = ["{folder}/servers.json"]\n')
        + (routes or ROUTES.replace("{pools}", '"main"'))
    )
    return path


class Site:
    """A daemon that can be stopped and started again with the same file."""

    def __init__(self, folder: Path, notifications: bool = True, **more: str) -> None:
        self.notifications = notifications
        self.port = free_port()
        self.path = write_operator_file(folder, self.port, **more)
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
    """Return whether each current endpoint of a pool drains, by id."""
    return {
        ident: member.listed.drain for ident, member in it.daemon.pools[pool].registry.state.members.items()
    }


def test_a_change_of_the_file_is_applied_by_the_safety_scan_alone(tmp_path: Path) -> None:
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
        assert it.daemon.pools["main"].registry.state.members["c"].started_us > 0  # it warms up
        await site.stop()
        for server in servers.values():
            server.stop()

    run(test)


@pytest.mark.parametrize("invalid", [b"", b"{", b'{"servers": []}', b"\xff\xfe", None])
def test_an_invalid_list_is_reported_and_the_last_good_one_stays(
    tmp_path: Path, invalid: bytes | None, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        path = tmp_path / "servers.json"
        write_list(path, {"a": server})
        site = Site(tmp_path)
        it = await site.start()
        with caplog.at_level(logging.ERROR):
            path.unlink() if invalid is None else path.write_bytes(invalid)
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


def test_a_daemon_without_a_valid_file_starts_from_the_last_good_list_and_its_drains(tmp_path: Path) -> None:
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
        write_list(path, {**servers, "new": servers["a"]})  # a duplicate address: rejected
        await until(lambda: any("address of" in text for text in it.daemon.pools["main"].registry.problems()))
        assert set(members(it)) == {"a", "b", "c"}
        await site.stop()
        (tmp_path / "state").write_bytes(b"plovertrail-state 9 0 " + b"0" * 64 + b"\n")
        it = await site.start()  # starts without any valid list
        assert members(it) == {}
        assert (tmp_path / "state.bad").exists()
        rejected = await it.ask(message("POST /buy"))
        assert rejected.status == 503
        assert rejected.all("Retry-After") == ["2"]
        await site.stop()
        for server in servers.values():
            server.stop()

    run(test)


def test_a_state_file_that_cannot_be_written_is_only_reported(
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


class PausableServer:
    """A web server that can stop accepting connections, so that connects to it wait."""

    def __init__(self, script: Callable[..., object]) -> None:
        self.web = WebServer(script)  # type: ignore[arg-type]
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(1)
        self.sock.setblocking(False)
        self.web.port = self.sock.getsockname()[1]
        self.task: asyncio.Task[None] | None = None
        self.queue_fillers: list[socket.socket] = []

    def start_accepting(self) -> None:
        self.task = asyncio.ensure_future(self.accept())

    async def accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self.sock)
            await loop.connect_accepted_socket(lambda: Line(self.web), sock)

    async def stop_accepting(self) -> None:
        """Stop accepting, and fill the accept queue so that further connects wait."""
        assert self.task is not None
        self.task.cancel()
        for _ in range(4):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(("127.0.0.1", self.web.port))
            self.queue_fillers.append(sock)
        await asyncio.sleep(0.1)

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        for sock in self.queue_fillers:
            sock.close()
        self.web.stop()
        self.sock.close()


def test_a_removed_endpoint_gets_no_new_requests_and_finishes_open_ones(tmp_path: Path) -> None:
    """50 requests are open on it and 20 wait to connect, each in its own pool with one slot at first."""

    async def test() -> None:
        release = asyncio.Event()
        arrival_times: list[float] = []

        async def script(server: WebServer, arrival: Arrival, line: Line) -> bytes:
            arrival_times.append(time.monotonic())
            await release.wait()
            return b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"

        pausable, other = PausableServer(script), WebServer()
        await other.start()
        pausable.start_accepting()
        path = tmp_path / "servers.json"
        write_list(path, {"gone": pausable.web})
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
        # requests stay open for as long as this machine takes for the whole test
        site.path.write_text(site.path.read_text().replace('deadline = "15s"', 'deadline = "2m"'))
        it = await site.start()
        clients = [await it.connect() for _ in names]
        for number in range(50):  # one by one, as the accept queue is short
            clients[number].writer.write(message(f"POST /{names[number]}"))
            await until(lambda: pausable.web.count > number)  # noqa: B023
        await pausable.stop_accepting()
        for name, client in zip(names[50:], clients[50:], strict=True):
            client.writer.write(message(f"POST /{name}"))
        await until(lambda: sum(len(pool.connections.connects) for pool in it.daemon.pools.values()) == 20)
        written = write_list(path, {"stays": other})
        await until(lambda: all(set(members(it, name)) == {"stays"} for name in names))
        assert time.monotonic() - written < 2.0
        pausable.start_accepting()  # now the connects succeed, but nothing may be sent on them
        replies = await asyncio.gather(*(client.reply() for client in clients[50:]))
        # no byte of them was sent, so they are sent elsewhere or rejected with 503, which is safe to retry
        assert {reply.status for reply in replies} <= {200, 503}
        assert other.count == [reply.status for reply in replies].count(200)
        # the endpoint that stays is warming up: each pool chooses it at random, but it does in the end
        for name, client in zip(names[50:], clients[50:], strict=True):
            for _ in range(20):
                client.writer.write(message(f"POST /{name}"))
                if (await client.reply()).status == 200:
                    break
            else:
                raise AssertionError("an endpoint that warms up alone in its pool gets no request")
        assert pausable.web.count == 50
        assert max(arrival_times) < written
        release.set()
        answers = await asyncio.gather(*(client.reply() for client in clients[:50]))
        assert [(reply.status, reply.body) for reply in answers] == [(200, b"old")] * 50
        for client in clients:
            client.close()
        await site.stop()
        pausable.stop()
        other.stop()

    run(test)


@pytest.mark.parametrize("ident", ["a", "new"])
def test_an_endpoint_that_is_listed_again_starts_without_old_state(tmp_path: Path, ident: str) -> None:
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
        running_pool = it.daemon.pools["main"]
        old = running_pool.registry.state.members["a"].endpoint_id
        old_endpoint = running_pool.pool.balancer.endpoints[old]
        assert server.connections > 0
        assert old_endpoint.relative_latency != 1.0
        write_list(path, {"b": other})
        await until(lambda: set(members(it)) == {"b"})
        assert old not in running_pool.pool.balancer.endpoints
        assert old not in running_pool.connections.connections
        write_list(path, {ident: server, "b": other})
        await until(lambda: set(members(it)) == {ident, "b"})
        member = running_pool.registry.state.members[ident]
        assert member.endpoint_id != old
        assert 0 < member.started_us <= clock_us()
        new_endpoint = running_pool.pool.balancer.endpoints[member.endpoint_id]
        assert new_endpoint is not old_endpoint
        assert new_endpoint.relative_latency == 1.0
        assert (
            running_pool.pool.balancer.table.warm_up_fraction(new_endpoint, running_pool.pool.balancer.now_us)
            < 1.0
        )
        before = server.connections
        for _ in range(200):
            await it.ask(message("GET /"))
            if server.connections > before:
                break
        assert server.connections == before + 1  # no old connection was used
        await site.stop()
        for each in (server, other):
            each.stop()

    run(test)


def test_operator_drains_and_status_over_the_control_socket(tmp_path: Path) -> None:
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
        for request in (b"\n", b"{}\n", b"[" * 4000 + b"\n", b"x" * 100_000, b'{"do": "fall"}\n'):
            reader, writer = await asyncio.open_unix_connection(control)
            writer.write(request)
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


def test_a_control_socket_in_use_prevents_the_start(tmp_path: Path) -> None:
    async def test() -> None:
        control = str(tmp_path / "control")
        write_list(tmp_path / "servers.json", {"a": WebServer(port=1)})
        site = Site(tmp_path, extra=f'[daemon]\ncontrol_socket = "{control}"')
        it = await site.start()
        with pytest.raises(OSError, match="another daemon listens"):
            await it.daemon.control.start()
        await site.stop()
        with socket.socket(socket.AF_UNIX) as left:
            left.bind(control)  # a daemon that was killed leaves its socket file
        await site.start()
        await site.stop()
        (tmp_path / "control").write_text("x")
        with pytest.raises(OSError, match="is no socket"):
            await site.start()
        await site.stop()

    run(test)


def test_the_seal_command_adds_a_checksum_to_valid_lists_only(tmp_path: Path) -> None:
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


def test_a_reload_with_other_files_follows_them(tmp_path: Path) -> None:
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
        write_list(tmp_path / "a.json", servers)  # no longer followed
        write_list(tmp_path / "b.json", {"b": servers["b"]}, drain=True)
        await until(lambda: members(it) == {"b": True, "c": False})
        assert servers["a"].count == 0
        await site.stop()
        for server in servers.values():
            server.stop()

    run(test)


def test_endpoints_that_move_between_operator_file_and_list_keep_their_state(tmp_path: Path) -> None:
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


def test_a_list_rejected_by_a_guard_is_applied_once_the_guard_is_lifted(tmp_path: Path) -> None:
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
