"""Collecting warm state for the state file: only pools that may have changed are collected again."""

from __future__ import annotations

import itertools
from collections.abc import Iterable
from pathlib import Path

import pytest

from fakes.ports import free_port
from fakes.web import ERROR, OK, WebServer, always
from plovertrail.clock import clock_us
from plovertrail.config.operator import load
from plovertrail.daemon.process import Daemon
from plovertrail.daemon.wiring import Environment
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.warm_state import EndpointHistory, collect_histories
from plovertrail.store import warm_state
from tests.daemons import Running, message, run, site
from tests.net import until

IdentifiedEndpoint = tuple[int, tuple[str, str]]
ROUTES = """
[[routes]]
name = "other"
path = "/other"
class = "read"
pools = ["other"]
[[routes]]
name = "rest"
class = "read"
pools = ["main"]
"""


class CollectionRecorder:
    """Replaces `collect_histories` and records the load balancers that it is called with."""

    def __init__(self) -> None:
        self.balancers: list[LoadBalancer] = []

    def __call__(
        self, balancer: LoadBalancer, servers: Iterable[IdentifiedEndpoint]
    ) -> dict[tuple[str, str], EndpointHistory]:
        self.balancers.append(balancer)
        return collect_histories(balancer, servers)


def make_daemon(folder: Path, servers: list[WebServer], warm_up: str) -> Daemon:
    path = folder / "site.toml"
    pools = {"main": servers[:1], "other": servers[1:]}
    daemon_settings = f'[daemon]\nstate_file = "{folder}/state"\n'
    path.write_text(
        site(free_port(), pools, ROUTES, pool_extra=f'warm_up = "{warm_up}"', head=daemon_settings)
    )
    daemon = Daemon(load(str(path)), Environment(new_seed=itertools.count(1).__next__))
    daemon.services.background.remove("state")  # only the test collects
    return daemon


async def collected_pools(daemon: Daemon, recorder: CollectionRecorder) -> set[str]:
    """Collect once, and return the names of the pools whose histories were collected."""
    recorder.balancers.clear()
    daemon.services.warm_state.collect_now()
    by_balancer = {id(each.pool.balancer): name for name, each in daemon.pools.items()}
    return {by_balancer[id(balancer)] for balancer in recorder.balancers}


def test_only_changed_pools_are_collected_and_all_are_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    recorder = CollectionRecorder()
    monkeypatch.setattr(warm_state, "collect_histories", recorder)

    async def test() -> None:
        servers = [WebServer(always(ERROR)), WebServer(always(OK))]
        for server in servers:
            await server.start()
        daemon = make_daemon(tmp_path, servers, warm_up="1ms")
        running = Running(daemon, daemon.addresses()["web"][1], tmp_path / "site.toml")
        for _ in range(5):
            await running.ask(message("GET /"))
        pools = daemon.pools.values()
        # all servers have warmed up 1 ms after the last event
        await until(lambda: all(clock_us() > p.pool.balancer.now_us + 2_000 for p in pools))
        assert await collected_pools(daemon, recorder) == {"main", "other"}
        before = daemon.services.warm_state.collected["main"].history
        assert before.endpoints, "the failing server has a history"
        assert await collected_pools(daemon, recorder) == set()
        assert daemon.services.warm_state.collected["main"].history == before

        await running.ask(message("GET /other"))
        assert await collected_pools(daemon, recorder) == {"other"}
        assert daemon.services.warm_state.collected["main"].history == before

        daemon.drain("main", "main0", True)
        assert await collected_pools(daemon, recorder) >= {"main"}
        await daemon.stop()
        for server in servers:
            server.stop()

    run(test)


def test_a_pool_with_endpoints_that_are_warming_up_is_collected_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    recorder = CollectionRecorder()
    monkeypatch.setattr(warm_state, "collect_histories", recorder)

    async def test() -> None:
        servers = [WebServer(), WebServer()]
        for server in servers:
            await server.start()
        daemon = make_daemon(tmp_path, servers, warm_up="1h")
        for _ in range(2):
            assert await collected_pools(daemon, recorder) == {"main", "other"}
        await daemon.stop()
        for server in servers:
            server.stop()

    run(test)
