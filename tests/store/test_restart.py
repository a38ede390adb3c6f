"""Endpoint histories and rate limiters survive a restart of the daemon, and failed writes are retried."""

from __future__ import annotations

import itertools
import shutil
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import ERROR, OK, WebServer, always
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon
from plovertrail.daemon.wiring import Environment
from plovertrail.decisions.endpoint_list import (
    EndpointList,
    EndpointListState,
    Guards,
    ListedEndpoint,
    apply_list,
)
from plovertrail.store import service
from tests.daemons import LIMITED, Running, message, run, site
from tests.net import until

LIMITER = '[limiters.it]\nby = "client"\nrate_per_s = 0.001\nburst = 3\n'


@asynccontextmanager
async def running_daemon(
    folder: Path, servers: Sequence[WebServer], limited: bool = False
) -> AsyncIterator[Running]:
    """Run a daemon on the state files that its folder already holds."""
    path, port = folder / "site.toml", free_port()
    daemon_settings = f'[daemon]\nstate_file = "{folder}/state"\n' + (LIMITER if limited else "")
    path.write_text(
        site(
            port,
            {"main": servers},
            LIMITED.replace("{client}", "address") if limited else "",
            head=daemon_settings,
        )
    )
    daemon = Daemon(load(str(path)), Environment(new_seed=itertools.count(1).__next__))
    try:
        yield Running(daemon, port, path)
    finally:
        await daemon.stop()


def test_a_kill_keeps_penalties_and_half_of_raised_concurrency_limits(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(always(ERROR if number == 0 else OK)) for number in range(6)]
        for server in servers:
            await server.start()
        folder, copy = tmp_path / "folder", tmp_path / "copy"
        folder.mkdir()
        async with running_daemon(folder, servers) as running:
            for _ in range(80):
                await running.ask(message("GET /"))
            failing = next(iter(running.daemon.pools["main"].pool.balancer.endpoints.values()))
            penalty = round(failing.failure_penalty, 2)  # rounded as it is stored
            assert penalty > 0.2
            running.daemon.services.background.make_due("state")
            await until(lambda: bool(running.daemon.services.store.written.warm_state_records))
            shutil.copytree(folder, copy)  # the files that a kill at this moment would leave
        async with running_daemon(copy, servers) as running:
            balancer = running.daemon.pools["main"].pool.balancer
            restored = running.daemon.status()["kept"]
            assert restored["taken_back"]["servers"] >= 1
            assert restored["problems"] == []
            assert 0.5 * penalty < next(iter(balancer.endpoints.values())).failure_penalty <= penalty
            assert all(
                1.0 <= server.concurrency_limit <= 4.5 for server in list(balancer.endpoints.values())[1:]
            )
            assert balancer.latencies.mean_us[0] < 250_000  # the default of a class without measurements
        (copy / "state").unlink()
        async with running_daemon(copy, servers) as running:
            endpoints = running.daemon.pools["main"].pool.balancer.endpoints.values()
            assert len(endpoints) == 6
            assert all(not server.failure_penalty for server in endpoints)
        for server in servers:
            server.stop()

    run(test)


def test_a_rate_limiter_admits_one_burst_across_restarts(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        statuses = []
        for _ in range(3):
            async with running_daemon(tmp_path, [server], limited=True) as running:
                statuses += [(await running.ask(message("GET /", "X-Tenant: a"))).status for _ in range(2)]
        assert statuses == [200, 200, 200, 429, 429, 429]
        server.stop()

    run(test)


def test_a_failed_write_is_reported_and_the_next_one_is_a_snapshot(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "RETRY_S", 0.01)
    lists = [EndpointList("file:x", (ListedEndpoint(f"s{n}", ("127.0.0.1", n)),)) for n in (1, 2)]
    states = [apply_list(EndpointListState(started=True), listed, 1, Guards())[0] for listed in lists]

    async def test() -> None:
        store = service.StoreService(str(tmp_path / "state"))
        store.load()
        store.store_lists(lambda: {"main": states[0]})
        await until(lambda: store.write_task is not None and store.write_task.done())
        assert store.files is not None
        assert store.problem == ""
        logged: list[str] = []

        def failing_append(*_arguments: object) -> None:
            store.files.append = append  # type: ignore[method-assign, union-attr]
            raise ValueError("injected failure")

        append, store.files.append = store.files.append, failing_append  # type: ignore[method-assign, assignment]
        monkeypatch.setattr(service.log, "error", lambda text, *arguments: logged.append(text % arguments))
        store.store_lists(lambda: {"main": states[1]})
        await until(lambda: bool(logged) and store.write_task is not None and store.write_task.done())
        assert "injected failure" in logged[0]
        assert store.problem == ""
        assert store.files.snapshots_written == 2
        await store.close()

    run(test)
    assert set(service.StoreService(str(tmp_path / "state")).load().endpoint_lists["main"].members) == {"s2"}


def test_a_failing_background_task_is_counted_in_the_status_and_requests_go_on(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        async with running_daemon(tmp_path, [server]) as running:
            await until(lambda: running.daemon.status()["background"]["state"]["runs"] > 0)
            task_status = running.daemon.status()["background"]["state"]
            assert task_status["failed"] == 0
            assert task_status["share_at_most"] == 0.005

            def fail() -> None:
                raise RuntimeError("injected failure")

            running.daemon.services.warm_state.limiters = fail  # type: ignore[assignment]
            running.daemon.services.background.make_due("state")
            await until(lambda: running.daemon.status()["background"]["state"]["failed"] > 0)
            assert (await running.ask(message("GET /"))).status == 200
            running.daemon.services.warm_state.limiters = dict
        server.stop()

    run(test)
