"""Daemons with many pools that share one list reader: starts, reloads, hung reads and status."""

from __future__ import annotations

import asyncio
import importlib
import json
import logging
import threading
import time
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from fakes.ports import free_port
from plovertrail import resource_limits
from plovertrail.cli import main
from plovertrail.clock import override_clock
from plovertrail.config import descriptors
from plovertrail.config import pools as pools_module
from plovertrail.config.descriptors import PoolNeed, default_connections
from plovertrail.config.operator import load
from plovertrail.config.problems import ConfigError
from plovertrail.daemon.configuration_apply import watched_lists
from plovertrail.daemon.pool_table import EndpointsOfOtherPools
from plovertrail.daemon.process import Daemon
from plovertrail.daemon.running_pool import RunningPool
from plovertrail.decisions.fleet_limits import Fleet
from plovertrail.decisions.list_versions import SourceKey
from plovertrail.decisions.pacing import InstanceRank
from plovertrail.resource_limits import default_pool_connections, raise_descriptor_limit
from plovertrail.sources.first_read import FIRST_READ_S
from plovertrail.sources.list_reader import ListReader
from plovertrail.stall_detector import StallDetectingLoop
from tests.daemons import CLASSES, run
from tests.net import PATIENCE_S, until
from tests.sources.test_list_reader import BlockedFiles, put


def setup_text(folder: Path, port: int, pools: list[str], extra: str = "", more: str = "") -> str:
    """An operator's file with a list and a route for each pool."""
    text = f'[listeners.web]\naddress = "127.0.0.1:{port}"\n{CLASSES}{extra}\n'
    for name in pools:
        text += f'[pools.{name}]\nservers_from = ["{folder}/{name}.list"]\n{more}'
        text += f'[[routes]]\nname = "{name}"\npath = "/{name}"\nclass = "read"\npools = ["{name}"]\n'
    return text


class Site:
    """A folder with an operator's file and lists."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.port = free_port()
        self.path = folder / "site.toml"

    def list_of(self, pool: str) -> Path:
        return self.folder / f"{pool}.list"

    def write(self, pools: list[str], extra: str = "", more: str = "") -> None:
        temporary = self.folder / ".site.new"
        temporary.write_text(setup_text(self.folder, self.port, pools, extra, more))
        temporary.rename(self.path)


@asynccontextmanager
async def serving(
    site: Site, files: BlockedFiles | None = None, blocking: bool = False
) -> AsyncIterator[Daemon]:
    """Start a daemon as `serve` does, without file notifications; `blocking` reads its lists on the loop."""
    lists = ListReader(files or BlockedFiles(), notifications=False)
    setup = load(str(site.path))
    initial_lists = None if blocking else await lists.first_read(watched_lists(setup))
    daemon = Daemon(setup, lists=lists, first_lists=initial_lists)
    try:
        yield daemon
    finally:
        if files is not None:
            for gate in files.gates.values():
                gate.set()
        async with asyncio.timeout(PATIENCE_S):
            await daemon.stop()


def ports(daemon: Daemon) -> dict[str, list[int]]:
    """The ports of the endpoints in force, by pool."""
    return {
        name: [member.listed.address[1] for member in pool.registry.state.members.values()]
        for name, pool in daemon.pools.items()
    }


def scan(daemon: Daemon) -> None:
    if daemon.lists.scan.timer is not None:
        daemon.lists.scan.timer.cancel()
    daemon.lists.scan.begin()


@pytest.mark.parametrize("blocking", [False, True])
def test_a_start_serves_readable_lists_beside_a_missing_and_a_hung_one(
    tmp_path: Path, blocking: bool
) -> None:
    async def test() -> None:
        site, files = Site(tmp_path), BlockedFiles()
        names = ["missing", "hangs", *(f"good{number}" for number in range(20))]
        for name in names[1:]:
            put(site.list_of(name), 1)
        site.write(names)
        files.block(site.list_of("hangs"))
        began = asyncio.get_running_loop().time()
        async with serving(site, files, blocking) as daemon:
            assert asyncio.get_running_loop().time() - began < FIRST_READ_S + PATIENCE_S
            assert ports(daemon) == {"missing": [], "hangs": [], **dict.fromkeys(names[2:], [1])}
            missing = daemon.services.recovery.state.failed_sources
            assert set(missing) == {f"{name}: file:{site.list_of(name)}" for name in ("missing", "hangs")}
            assert "No such file" in missing[f"missing: file:{site.list_of('missing')}"]
            await until(lambda: daemon.status()["lists"]["hung"] == [str(site.list_of("hangs"))])
            put(site.list_of("good3"), 2)
            scan(daemon)
            await until(lambda: ports(daemon)["good3"] == [2])
            files.let_go(site.list_of("hangs"))
            put(site.list_of("missing"), 3)
            scan(daemon)
            await until(lambda: ports(daemon)["hangs"] == [1] and ports(daemon)["missing"] == [3])
            assert daemon.status()["recovery"]["phase"] == "full"

    run(test)


def test_a_half_written_list_delays_no_other_list(tmp_path: Path) -> None:
    async def test() -> None:
        site = Site(tmp_path)
        names = [f"p{number}" for number in range(200)]
        for name in names:
            put(site.list_of(name), 1)
        whole = site.list_of("p7").read_bytes()
        site.list_of("p7").write_bytes(whole[:9])
        site.write(names, more="max_connections = 16\n")
        async with serving(site) as daemon:
            assert [name for name, found in ports(daemon).items() if found != [1]] == ["p7"]
            for name in names:
                put(site.list_of(name), 2)
            site.list_of("p9").write_bytes(whole[:9])
            scan(daemon)
            await until(lambda: [name for name, found in ports(daemon).items() if found != [2]] == ["p9"])
            assert ports(daemon)["p9"] == [1]  # the last good list stays

    run(test)


def test_a_reload_adds_and_removes_pools_during_a_read(tmp_path: Path) -> None:
    async def test() -> None:
        site, files = Site(tmp_path), BlockedFiles()
        for name in ("dropped", "stays", "added"):
            put(site.list_of(name), 1)
        site.write(["dropped", "stays"])
        async with serving(site, files) as daemon:
            files.block(site.list_of("dropped"), site.list_of("added"))
            put(site.list_of("dropped"), 2)
            scan(daemon)
            await asyncio.to_thread(files.arrived[str(site.list_of("dropped"))].wait)
            old = daemon.pools["dropped"].registry
            site.write(["stays", "added"])
            reload = asyncio.ensure_future(daemon.reload())
            await asyncio.to_thread(files.arrived[str(site.list_of("added"))].wait)
            put(site.list_of("stays"), 2)  # while the reload waits for its new list
            scan(daemon)
            await until(lambda: ports(daemon)["stays"] == [2])
            files.let_go(site.list_of("added"))
            assert await reload
            assert ports(daemon) == {"stays": [2], "added": [1]}
            assert set(daemon.lists.sources.by_key) == {
                SourceKey(str(site.list_of(name))) for name in ("stays", "added")
            }
            files.let_go(site.list_of("dropped"))
            put(site.list_of("added"), 2)
            scan(daemon)
            await until(lambda: ports(daemon) == {"stays": [2], "added": [2]})
            assert [member.listed.address[1] for member in old.state.members.values()] == [1]

    run(test)


def test_a_refused_reload_leaves_no_added_list_watched(tmp_path: Path) -> None:
    async def test() -> None:
        site = Site(tmp_path)
        for name in ("a", "b"):
            put(site.list_of(name), 1)
        site.write(["a"])
        async with serving(site) as daemon:
            taken = free_port()
            server = await asyncio.start_server(lambda _reader, _writer: None, "127.0.0.1", taken)
            before, site.port = site.port, taken
            site.write(["a", "b"])
            assert not await daemon.reload()
            assert "can't listen" in daemon.status()["reload"]["problem"]
            assert list(daemon.lists.sources.by_key) == [SourceKey(str(site.list_of("a")))]
            server.close()
            site.port = before
            site.write(["a", "b"])
            assert await daemon.reload()
            assert ports(daemon) == {"a": [1], "b": [1]}
            assert daemon.status()["reload"] == {"on": "signal", "problem": ""}

    run(test)


def test_an_added_pool_has_a_list_that_another_pool_follows_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        site = Site(tmp_path)
        put(site.list_of("a"), 1)
        site.write(["a"])
        async with serving(site) as daemon:
            text = setup_text(tmp_path, site.port, ["a", "b"])
            site.path.write_text(text.replace(f"{tmp_path}/b.list", f"{tmp_path}/a.list"))
            assert await daemon.reload()
            assert ports(daemon) == {"a": [1], "b": [1]}  # in the same iteration of the event loop
            assert len(daemon.lists.sources.by_key) == 1

    run(test)


def test_an_added_pool_has_the_last_good_list_of_a_hung_file(tmp_path: Path) -> None:
    async def test() -> None:
        site, files = Site(tmp_path), BlockedFiles()
        put(site.list_of("a"), 1)
        site.write(["a"])
        async with serving(site, files) as daemon:
            files.block(site.list_of("a"))
            put(site.list_of("a"), 2)
            scan(daemon)
            await until(lambda: bool(daemon.status()["lists"]["hung"]))
            text = setup_text(tmp_path, site.port, ["a", "b"])
            site.path.write_text(text.replace(f"{tmp_path}/b.list", f"{tmp_path}/a.list"))
            assert await daemon.reload()
            assert ports(daemon) == {"a": [1], "b": [1]}
            # Both pools report the hung read.
            await until(lambda: daemon.services.pools.pools_with_problems == {"a", "b"})
            files.let_go(site.list_of("a"))
            await until(
                lambda: (
                    ports(daemon) == {"a": [2], "b": [2]} and not daemon.services.pools.pools_with_problems
                )
            )

    run(test)


def test_the_configuration_file_is_watched_if_it_sets_reload_to_watch(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        site = Site(tmp_path)
        for name in ("a", "b", "c"):
            put(site.list_of(name), 1)
        watched = '[daemon]\nreload = "watch"\n'
        site.write(["a"], watched)
        async with serving(site) as daemon:
            approved = []

            async def approve(path: str) -> str:
                approved.append(path)
                text = await asyncio.to_thread(Path(path).read_text)
                return "it breaks its tests" if "pools.c" in text else ""

            daemon.reloader.approve = approve
            digest = daemon.status()["lists"]["digest"]
            site.write(["a", "b"], watched)
            scan(daemon)
            await until(lambda: ports(daemon) == {"a": [1], "b": [1]})
            assert approved == [str(site.path)]
            assert daemon.status()["lists"]["digest"] != digest
            for text, expected in (("[pools", "not TOML"), (None, "breaks its tests")):
                if text is None:
                    site.write(["a", "c"], watched)
                else:
                    site.path.write_text(text)
                await until(lambda: expected in daemon.status()["reload"]["problem"])  # noqa: B023
                assert set(ports(daemon)) == {"a", "b"}
            site.write(["b"])  # from now on it is reloaded on SIGHUP only
            await until(lambda: set(ports(daemon)) == {"b"})
            assert daemon.services.config_watcher.subscription is None
            assert daemon.status()["reload"] == {
                "on": "signal",
                "problem": "",
            }
            reloads = len(approved)
            site.write(["a"])
            scan(daemon)
            await asyncio.sleep(0.5)
            assert set(ports(daemon)) == {"b"}
            assert len(approved) == reloads

    with caplog.at_level(logging.ERROR):
        run(test)
    assert "the configuration in force stays" in caplog.text


def test_a_change_of_one_pool_updates_no_other(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    async def test() -> None:
        site = Site(tmp_path)
        names = [f"p{number}" for number in range(50)]
        for name in names:
            put(site.list_of(name), 1)
        site.write(names, more="max_connections = 16\n")
        async with serving(site) as daemon:
            await until(lambda: len(daemon.lists.in_force.accepted) == 50)
            updated_pools: list[str] = []
            update_limits = RunningPool.update_limits

            def record_update(pool: RunningPool, fleet: Fleet, rank: InstanceRank, slow_start: bool) -> None:
                updated_pools.append(pool.config.name)
                update_limits(pool, fleet, rank, slow_start)

            monkeypatch.setattr(RunningPool, "update_limits", record_update)
            put(site.list_of("p3"), 2)
            scan(daemon)
            await until(lambda: ports(daemon)["p3"] == [2])
            assert updated_pools == ["p3"]
            assert not daemon.services.pools.subset_pools
            assert not daemon.services.pools.pools_with_problems
            site.list_of("p4").unlink()
            scan(daemon)
            # Only the problem of p4 is logged regularly.
            await until(lambda: daemon.services.pools.pools_with_problems == {"p4"})
            put(site.list_of("p4"), 2)
            scan(daemon)
            await until(lambda: not daemon.services.pools.pools_with_problems)

    run(test)


def test_endpoints_of_other_pools_are_known_by_id_and_address(tmp_path: Path) -> None:
    async def test() -> None:
        site = Site(tmp_path)
        for name in ("a", "b"):
            put(site.list_of(name), 1)
        site.write(["a"])
        async with serving(site) as daemon:
            put(site.list_of("a"), 2)
            scan(daemon)
            await until(lambda: ports(daemon)["a"] == [2])
            known_since_us = daemon.pools["a"].registry.state.members["s"].started_us
            known: Mapping[tuple[str, tuple[str, int]], int] = EndpointsOfOtherPools(
                "b", daemon.services.pools.table
            )
            assert dict(known) == {("s", ("127.0.0.1", 2)): known_since_us}
            assert known_since_us > 0
            assert known.get(("s", ("127.0.0.1", 1)), 7) == 7
            assert not EndpointsOfOtherPools("a", daemon.services.pools.table)

    run(test)


@contextmanager
def movable_clock() -> Iterator[Callable[[float], None]]:
    """A clock that the test can advance while a daemon is built."""
    offset_us = 0

    def advance(seconds: float) -> None:
        nonlocal offset_us
        offset_us += int(seconds * 1e6)

    with override_clock(lambda: time.monotonic_ns() + offset_us * 1000):
        yield advance


def test_a_slow_startup_is_no_pause_but_its_lists_are_read_again(tmp_path: Path) -> None:
    async def test() -> None:
        site, files = Site(tmp_path), BlockedFiles()
        put(site.list_of("a"), 1)
        site.write(["a"])
        with movable_clock() as advance:
            lists = ListReader(files, notifications=False)
            initial_lists = lists.first_read_blocking(watched_lists(load(str(site.path))))
            put(site.list_of("a"), 2)
            advance(3.0)
            daemon = Daemon(load(str(site.path)), lists=lists, first_lists=initial_lists)
            await until(lambda: ports(daemon) == {"a": [2]} and not daemon.dispatcher.suspension.active)
            found = daemon.status()["recovery"]
            assert (found["phase"], found["why"], found["gaps"]) == ("full", "process start", 0)
            await asyncio.sleep(0.01)
            advance(5.0)
            await until(lambda: daemon.status()["recovery"]["gaps"] == 1)
            assert "process paused" in daemon.status()["recovery"]["why"]
            await daemon.stop()

    run(test, StallDetectingLoop)


# Descriptors


def test_pools_without_max_connections_share_the_remaining_descriptors() -> None:
    unset = PoolNeed(None, 0)
    assert default_connections(1001, [unset], None) == 256
    assert default_connections(1001, [unset] * 200, 20_000) == (20_000 - 64 - 1001) // 200 == 94
    assert default_connections(1001, [unset] * 10, 20_000) == 256
    assert default_connections(1001, [unset, PoolNeed(500, 100)], 1765) == 100
    assert default_connections(1001, [unset] * 200, 1000) == 1


def test_an_added_pool_changes_the_connections_of_others_and_replaces_none(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("plovertrail.config.pools.descriptors_allowed", lambda: 1001 + 64 + 120)

    async def test() -> None:
        site = Site(tmp_path)
        for name in "abc":
            put(site.list_of(name), 1)
        site.write(["a", "b"])
        async with serving(site) as daemon:
            balancer_before = daemon.pools["a"].pool.balancer
            assert daemon.pools["a"].connections.limits.max_connections == 60
            site.write(["a", "b", "c"])
            assert await daemon.reload()
            assert {pool.connections.limits.max_connections for pool in daemon.pools.values()} == {40}
            assert daemon.pools["a"].pool.balancer is balancer_before

    run(test)


def test_too_few_descriptors_fail_the_start_and_the_error_says_what_to_set(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    site = Site(tmp_path)
    names = [f"p{number}" for number in range(20)]
    for name in names:
        put(site.list_of(name), 1)
    site.write(names)
    result = CliRunner().invoke(main, ["check", str(site.path)])
    pools, per_pool = default_pool_connections(load(str(site.path)))
    assert pools == 20
    assert f"max_connections of 20 pools that write none: {per_pool} each" in result.output
    check_module = importlib.import_module("plovertrail.cli.check")
    for module in (pools_module, resource_limits, check_module):
        monkeypatch.setattr(module, "descriptors_allowed", lambda: 1001 + 64 + 140)
    setup = load(str(site.path))
    with pytest.raises(ConfigError) as caught:
        raise_descriptor_limit(setup)
    assert f"ulimit -n) to {1001 + 64 + 160} or more" in str(caught.value)
    result = CliRunner().invoke(main, ["check", str(site.path)])
    assert "7 each, of the 1205 descriptors" in result.output
    assert "would not start here" in result.output
    assert descriptors.LEAST_BY_DEFAULT == 8


# Status


def test_status_and_explain_report_what_was_read_of_each_file(tmp_path: Path) -> None:
    async def test() -> None:
        site, files = Site(tmp_path), BlockedFiles()
        for name in ("a", "b"):
            put(site.list_of(name), 1)
        control = tmp_path / "control"
        site.write(["a", "b"], f'[daemon]\ncontrol_socket = "{control}"\n')

        async def call(*words: str) -> tuple[int, str]:
            result = await asyncio.to_thread(CliRunner().invoke, main, [*words, "--socket", str(control)])
            return result.exit_code, result.output

        async with serving(site, files) as daemon:
            await daemon.control.start()
            await until(lambda: len(daemon.lists.in_force.accepted) == 2)
            code, text = await call("status", "--json")
            lists = json.loads(text)["lists"]
            assert code == 0
            assert lists["generation"] == 3
            assert len(lists["digest"]) == 64
            source = next(each for each in lists["sources"] if each["path"] == str(site.list_of("a")))
            assert (source["state"], source["servers"], source["subscribers"]) == ("good", 1, ["a"])
            code, text = await call("status")
            assert code == 0
            assert f"lists: generation 3, 2 files, digest {lists['digest'][:16]}" in text
            code, text = await call("explain", "list", str(site.list_of("a")))
            assert code == 0
            assert "good" in text
            assert "followed by a" in text
            assert source["digest"] in text
            files.block(site.list_of("a"))
            put(site.list_of("a"), 2)
            site.list_of("b").write_bytes(b"torn")
            scan(daemon)
            await until(
                lambda: (
                    bool(daemon.status()["lists"]["hung"])
                    and len(daemon.services.pools.pools_with_problems) == 2
                )
            )
            code, text = await call("explain", "list", str(site.list_of("a")))
            assert code == 3
            assert "hangs for" in text
            assert "what was read last stays" in text
            code, text = await call("explain", "list", str(site.list_of("b")))
            assert code == 3
            assert "doesn't end with its checksum" in text
            code, text = await call("status")
            assert code == 3
            assert "hangs for" in text
            code, text = await call("explain", "list", "/none")
            assert code == 1
            assert "no list is read" in text

    run(test)


def test_threads_of_hung_reads_do_not_keep_the_process_alive(tmp_path: Path) -> None:
    async def test() -> None:
        site, files = Site(tmp_path), BlockedFiles()
        put(site.list_of("a"), 1)
        site.write(["a"])
        files.block(site.list_of("a"))
        async with serving(site, files):
            readers = [each for each in threading.enumerate() if each.name.startswith("list-reader")]
            assert readers
            assert all(each.daemon for each in readers)

    run(test)
