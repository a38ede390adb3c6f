"""What is collected for the state file: only pools that something has happened to."""

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

Called = tuple[int, tuple[str, str]]
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


class CountedCollections:
    """Stands in for `collect_histories`, and counts by LoadBalancer how often it was called."""

    def __init__(self) -> None:
        self.balancers: list[LoadBalancer] = []

    def __call__(
        self, balancer: LoadBalancer, servers: Iterable[Called]
    ) -> dict[tuple[str, str], EndpointHistory]:
        self.balancers.append(balancer)
        return collect_histories(balancer, servers)


def made(folder: Path, servers: list[WebServer], warm_up: str) -> Daemon:
    path = folder / "site.toml"
    pools = {"main": servers[:1], "other": servers[1:]}
    head = f'[daemon]\nstate_file = "{folder}/state"\n'
    path.write_text(site(free_port(), pools, ROUTES, pool_extra=f'warm_up = "{warm_up}"', head=head))
    daemon = Daemon(load(str(path)), Environment(new_seed=itertools.count(1).__next__))
    daemon.services.background.remove("state")  # only the test itself collects
    return daemon


async def collected_pools(daemon: Daemon, counted: CountedCollections) -> set[str]:
    """The pools that one run looks at."""
    counted.balancers.clear()
    daemon.services.warm_state.collect_now()
    by_balancer = {id(each.pool.balancer): name for name, each in daemon.pools.items()}
    return {by_balancer[id(balancer)] for balancer in counted.balancers}


def test_only_changed_pools_are_collected_and_all_are_stored(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    counted = CountedCollections()
    monkeypatch.setattr(warm_state, "collect_histories", counted)

    async def test() -> None:
        servers = [WebServer(always(ERROR)), WebServer(always(OK))]
        for server in servers:
            await server.start()
        daemon = made(tmp_path, servers, warm_up="1ms")
        it = Running(daemon, daemon.addresses()["web"][1], tmp_path / "site.toml")
        for _ in range(5):
            await it.ask(message("GET /"))
        pools = daemon.pools.values()
        # all servers are warm a moment after the last event
        await until(lambda: all(clock_us() > p.pool.balancer.now_us + 2_000 for p in pools))
        assert await collected_pools(daemon, counted) == {"main", "other"}
        before = daemon.services.warm_state.collected["main"].history
        assert before.endpoints, "the failing server is judged"
        assert await collected_pools(daemon, counted) == set()
        assert daemon.services.warm_state.collected["main"].history == before

        await it.ask(message("GET /other"))
        assert await collected_pools(daemon, counted) == {"other"}
        assert daemon.services.warm_state.collected["main"].history == before

        daemon.drain("main", "main0", True)
        assert await collected_pools(daemon, counted) >= {"main"}
        await daemon.stop()
        for server in servers:
            server.stop()

    run(test)


def test_a_pool_whose_endpoints_may_warm_up_is_collected_anew(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    counted = CountedCollections()
    monkeypatch.setattr(warm_state, "collect_histories", counted)

    async def test() -> None:
        servers = [WebServer(), WebServer()]
        for server in servers:
            await server.start()
        daemon = made(tmp_path, servers, warm_up="1h")
        for _ in range(2):
            assert await collected_pools(daemon, counted) == {"main", "other"}
        await daemon.stop()
        for server in servers:
            server.stop()

    run(test)
