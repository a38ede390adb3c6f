"""The pure parts of the capacity benchmark's measurements of real processes."""

from __future__ import annotations

import asyncio
import os
import time
from pathlib import Path

import pytest

from benchmarks.capacity.daemon_process import content_length, cpu_clock, list_version, server_state
from benchmarks.capacity.latencies import longest_gap, percentile
from benchmarks.capacity.open_loop import OpenLoop, Route, precise_loop
from benchmarks.capacity.process_roles import PROCESS_ROLES
from benchmarks.capacity.process_slopes import cost_at, figure, has_slope, slope
from benchmarks.capacity.request_path import machine_shares
from benchmarks.capacity.service_site import ServiceSite
from benchmarks.capacity.slopes import Axis, Unit
from benchmarks.capacity.target import TARGET
from fakes.web import OK, WebServer, always
from plovertrail.config.operator import load
from plovertrail.resource_limits import required_descriptors
from plovertrail.sources.lists import parse

DESCRIPTORS = 20_000  # of a process on the machines that the benchmark is for


def entries_of(path: Path) -> list[tuple[str, float, bool]]:
    """Ids, weights and drains of a list in a file."""
    candidate = parse(path.name, path.read_bytes(), "", checksum=True)
    return [(each.id, each.weight, each.drain) for each in candidate.endpoints]


def test_a_site_of_the_planned_size_loads(tmp_path: Path) -> None:
    site = ServiceSite(tmp_path, TARGET.services, TARGET.servers_per_service, state=True)
    site.write()
    setup = load(str(site.path))
    assert sorted(setup.pools) == sorted(site.service_names())
    assert len(setup.pools) == TARGET.services
    assert required_descriptors(setup) <= DESCRIPTORS
    for pool in setup.pools.values():
        ((path, needs_checksum),) = pool.lists
        assert needs_checksum
        assert len(entries_of(Path(path))) == TARGET.servers_per_service


@pytest.mark.parametrize("linked", [False, True])
def test_a_change_shows_in_version_and_weight(tmp_path: Path, linked: bool) -> None:
    site = ServiceSite(tmp_path, 2, 3, linked=linked)
    site.write()
    before = entries_of(site.list_path("service-1"))
    assert before == [("s0", 1.0, False), ("s1", 1.0, False), ("s2", 1.0, False)]
    for version in (2, 3):
        replacement = site.prepare("service-1", version, first_drains=version == 3)
        assert entries_of(site.list_path("service-1")) == before
        replacement.apply()
        after = entries_of(site.list_path("service-1"))
        assert after != before
        assert after[0][2] is (version == 3)
        assert parse("x.json", site.list_path("service-1").read_bytes(), "", True).version == version
        before = after
    assert site.list_path("service-1").is_symlink() is linked
    assert entries_of(site.list_path("service-0"))[0][1] == 1.0


def test_many_servers_have_addresses_of_their_own(tmp_path: Path) -> None:
    listed = ServiceSite(tmp_path, 1, 600, addresses=["127.0.0.1:1", "127.0.0.1:2"]).listed()
    assert [each.address for each in listed[:2]] == ["127.0.0.1:1", "127.0.0.1:2"]
    assert len({each.address for each in listed}) == 600


def test_a_percentile_is_one_of_the_values() -> None:
    values = [float(number) for number in range(100, 0, -1)]
    assert percentile(values, 0.99) == 99.0
    assert percentile(values, 0.5) == 50.0
    assert percentile(values, 1.0) == 100.0
    assert percentile(values, 0.0) == 1.0
    assert percentile([7.0], 0.99) == 7.0


@pytest.mark.parametrize(("values", "share"), [([], 0.5), ([1.0], 1.1), ([1.0], -0.1)])
def test_a_percentile_of_nothing_is_refused(values: list[float], share: float) -> None:
    with pytest.raises(ValueError):
        percentile(values, share)


def test_the_longest_gap_is_between_moments_in_a_row() -> None:
    assert longest_gap([3.0, 1.0, 1.5, 9.0]) == 6.0
    assert longest_gap([1.0]) == 0.0
    assert longest_gap([]) == 0.0


def test_a_cost_is_the_measured_one_where_the_size_was_measured() -> None:
    line = slope("x", Axis.SERVICES, Unit.SECONDS, {1: [1.0], 2: [2.0, 9.0, 2.5], 3: [3.0], 4: [4.0]})
    assert cost_at(line, 2).figure == 2.5
    assert not cost_at(line, 4).extrapolated
    assert cost_at(line, 8).extrapolated
    assert has_slope([1, 2, 3, 4])
    assert not has_slope([1, 2, 3])


def test_a_figure_tells_its_range() -> None:
    told = figure("x", [3.0, 1.0, 2.0], "s", "on one core")
    assert (told.value, told.note) == (2.0, "1 to 3 in 3; on one core")


def test_a_status_tells_version_and_drain() -> None:
    pool = {
        "sources": {"inline": {"version": 9}, "file:/x": {"version": 4}},
        "servers": [{"id": "s0", "state": "draining"}],
    }
    status = {"pools": {"a": pool, "b": {"sources": {}, "servers": []}}}
    assert (list_version(status, "a"), list_version(status, "b")) == (4, 0)
    assert (server_state(status, "a", "s0"), server_state(status, "b", "s0")) == ("draining", "")


def test_a_length_is_read_in_any_case() -> None:
    assert content_length(b"HTTP/1.1 200 OK\r\nCONTENT-Length: 12\r\nX: 1") == 12
    assert content_length(b"HTTP/1.1 204 No Content\r\nX: 1") == 0


def test_an_open_loop_asks_each_route_equally_and_counts_what_fails() -> None:
    async def run() -> tuple[Route, Route, list[int]]:
        good, bad = WebServer(always(OK)), WebServer(always(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"))
        await good.start()
        await bad.start()
        routes = (
            Route("good", lambda number: good.port, lambda number: f"/{number}"),
            Route("bad", lambda number: bad.port, lambda number: f"/{number}"),
        )
        await OpenLoop(routes, per_s=500.0).play(0.1)
        counts = [good.count, bad.count]
        good.stop()
        bad.stop()
        return (*routes, counts)

    with asyncio.Runner(loop_factory=precise_loop) as runner:
        good, bad, counts = runner.run(run())
    assert counts[0] + counts[1] in (99, 100)  # 0.1 s of 1,000 a second, by floating point
    assert abs(counts[0] - counts[1]) <= 1
    assert (len(good.latencies_s), good.failed) == (counts[0], 0)
    assert (len(bad.latencies_s), bad.failed) == (0, counts[1])


def test_roles_have_names_of_their_own() -> None:
    names = [role.name for role in PROCESS_ROLES]
    assert len(set(names)) == len(names) == 6


def test_shares_of_the_machine_come_of_its_ticks() -> None:
    before = [10, 0, 0, 100, 0, 0, 0, 5]
    after = [40, 10, 10, 140, 5, 0, 0, 10]  # 55 of 100 not idle, 5 of these stolen
    assert machine_shares(before, after) == pytest.approx((0.55, 0.05))
    assert machine_shares(before, before) == (1.0, 0.0)


def test_the_clock_of_a_process_is_its_cpu_time() -> None:
    before = time.process_time()
    told = time.clock_gettime(cpu_clock(os.getpid()))
    assert before <= told <= time.process_time()
