"""A daemon that is restarted: its endpoint histories and rate limiters."""

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
async def started(
    folder: Path, servers: Sequence[WebServer], limited: bool = False
) -> AsyncIterator[Running]:
    """A daemon on what its folder holds from before."""
    path, port = folder / "site.toml", free_port()
    head = f'[daemon]\nstate_file = "{folder}/state"\n' + (LIMITER if limited else "")
    path.write_text(
        site(port, {"main": servers}, LIMITED.replace("{client}", "address") if limited else "", head=head)
    )
    daemon = Daemon(load(str(path)), Environment(new_seed=itertools.count(1).__next__))
    try:
        yield Running(daemon, port, path)
    finally:
        await daemon.stop()


def test_histories_are_restored_after_a_kill_and_good_ones_for_half(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(always(ERROR if number == 0 else OK)) for number in range(6)]
        for server in servers:
            await server.start()
        here, killed = tmp_path / "here", tmp_path / "killed"
        here.mkdir()
        async with started(here, servers) as it:
            for _ in range(80):
                await it.ask(message("GET /"))
            bad = next(iter(it.daemon.pools["main"].pool.balancer.endpoints.values()))
            before = round(bad.failure_penalty, 2)  # as it is kept
            assert before > 0.2
            it.daemon.services.background.make_due("state")
            await until(lambda: bool(it.daemon.services.store.written.warm_state_image))
            shutil.copytree(here, killed)  # what a kill at this moment would leave
        async with started(killed, servers) as it:
            balancer = it.daemon.pools["main"].pool.balancer
            kept = it.daemon.status()["kept"]
            assert kept["taken_back"]["servers"] >= 1
            assert kept["problems"] == []
            assert 0.5 * before < next(iter(balancer.endpoints.values())).failure_penalty <= before
            assert all(
                1.0 <= server.concurrency_limit <= 4.5 for server in list(balancer.endpoints.values())[1:]
            )
            assert balancer.latencies.mean_us[0] < 250_000  # the guess for a class that nothing is known of
        (killed / "state").unlink()
        async with started(killed, servers) as it:
            known = it.daemon.pools["main"].pool.balancer.endpoints.values()
            assert len(known) == 6
            assert all(not server.failure_penalty for server in known)
        for server in servers:
            server.stop()

    run(test)


def test_a_burst_is_admitted_once_over_restarts(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        statuses = []
        for _ in range(3):
            async with started(tmp_path, [server], limited=True) as it:
                statuses += [(await it.ask(message("GET /", "X-Tenant: a"))).status for _ in range(2)]
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
        it = service.StoreService(str(tmp_path / "state"))
        it.load()
        it.store_lists(lambda: {"main": states[0]})
        await until(lambda: it.write_task is not None and it.write_task.done())
        assert it.files is not None
        assert it.problem == ""
        told: list[str] = []

        def broken(*_arguments: object) -> None:
            it.files.append = append  # type: ignore[method-assign, union-attr]
            raise ValueError("no bytes for this")

        append, it.files.append = it.files.append, broken  # type: ignore[method-assign, assignment]
        monkeypatch.setattr(service.log, "error", lambda text, *arguments: told.append(text % arguments))
        it.store_lists(lambda: {"main": states[1]})
        await until(lambda: bool(told) and it.write_task is not None and it.write_task.done())
        assert "no bytes for this" in told[0]
        assert it.problem == ""
        assert it.files.snapshots_written == 2
        await it.close()

    run(test)
    assert set(service.StoreService(str(tmp_path / "state")).load().endpoint_lists["main"].members) == {"s2"}


def test_background_tasks_are_in_the_status_and_one_that_fails_ends_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        async with started(tmp_path, [server]) as it:
            await until(lambda: it.daemon.status()["background"]["state"]["runs"] > 0)
            told = it.daemon.status()["background"]["state"]
            assert told["failed"] == 0
            assert told["share_at_most"] == 0.005

            def breaks() -> None:
                raise RuntimeError("a fault in one kind of work")

            it.daemon.services.warm_state.limiters = breaks  # type: ignore[assignment]
            it.daemon.services.background.make_due("state")
            await until(lambda: it.daemon.status()["background"]["state"]["failed"] > 0)
            assert (await it.ask(message("GET /"))).status == 200
            it.daemon.services.warm_state.limiters = dict
        server.stop()

    run(test)
