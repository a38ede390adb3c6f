"""Daemons that form a cluster over loopback: membership, health reports, reloads and commands."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from fakes.web import ERROR, WebServer, always
from plovertrail.cli import main
from plovertrail.config.operator import parse
from plovertrail.config.problems import ConfigError
from plovertrail.decisions.membership import MemberState
from plovertrail.health_reporter import class_key, endpoint_key
from tests.daemons import Running, message, run, running, site
from tests.net import until
from tests.peers.test_transport import datagram_ports, peers_text

FAST_MEMBERSHIP = '[fellows]\nperiod = "200ms"\ngossip = "50ms"\n'


def head(folder: Path, ports: list[int], number: int, more: str = FAST_MEMBERSHIP) -> str:
    return (
        f'[daemon]\ncontrol_socket = "{folder}/c{number}"\n'
        + peers_text(folder, ports, number, 'delay = "10ms"')
        + more
    )


@asynccontextmanager
async def fleet(
    folder: Path, count: int, servers: Sequence[WebServer], more: str = FAST_MEMBERSHIP
) -> AsyncIterator[list[Running]]:
    """Daemons that form a cluster and share the same servers."""
    ports, found = datagram_ports(count), []
    async with AsyncExitStack() as stack:
        for number in range(count):
            directory = folder / f"d{number}"
            directory.mkdir()
            found.append(
                await stack.enter_async_context(
                    running(directory, {"main": servers}, head=head(folder, ports, number, more))
                )
            )
        for instance in found:
            await instance.daemon.control.start()
        yield found


def cluster_size(instance: Running) -> int:
    return int(instance.daemon.status()["fellows"]["size"])


def highest_penalty(instance: Running, server: str = "main0") -> float:
    classes = instance.daemon.status()["judgements"].get("main", {}).get(server, {})
    return max((float(each["held_back"]) for each in classes.values()), default=0.0)


def test_an_instance_without_traffic_learns_of_a_failing_server_from_two_peers(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(always(ERROR)), *(WebServer() for _ in range(4))]
        async with fleet(tmp_path, 3, servers) as (first, second, third):
            await until(lambda: all(cluster_size(instance) == 3 for instance in (first, second, third)))
            for instance in (first, second):
                for _ in range(30):
                    await instance.ask(message("GET /"))
            balancer = third.daemon.pools["main"].pool.balancer
            failing = next(iter(balancer.endpoints.values()))
            await until(lambda: bool(failing.peer_penalties) and highest_penalty(third) > 0.1)
            assert failing.failure_penalty == 0.0
            assert failing.fault_rate == 0.0
            before = servers[0].count
            for _ in range(20):
                assert (await third.ask(message("GET /"))).status == 200
            assert servers[0].count - before <= 3  # an even share would be four, and each failure is retried
            path = f"{tmp_path}/c2"

            async def command(*arguments: str) -> str:
                made = await asyncio.to_thread(CliRunner().invoke, main, [*arguments, "--socket", path])
                assert made.exit_code == 0, made.output
                return made.output

            assert "i2: 2 others are there" in await command("fellows")
            assert "i2: 2 others are there" in await command("members")
            explanation = await command("explain", "server", "main0")
            assert "main main0, read: drawn less, by" in explanation
            assert "2 others find it wrong" in explanation
            assert "nobody finds anything wrong with it" in await command("explain", "server", "main3")
            assert '"state": "alive"' in await command("fellows", "--json")

    run(test)


def test_a_stopped_member_has_left_and_reloads_keep_or_end_membership(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        async with fleet(tmp_path, 3, [server]) as (first, second, third):
            await until(lambda: all(cluster_size(instance) == 3 for instance in (first, second, third)))
            text = first.path.read_text()
            assert await first.change(text.replace('period = "200ms"', 'period = "300ms"'))
            assert cluster_size(first) == 3
            assert first.daemon.services.peers.transport is not None
            transport = first.daemon.services.peers.transport.membership
            assert transport is not None
            assert transport.protocol.cluster.settings.period_us == 300_000
            third.daemon.services.peers.stop()
            await until(
                lambda: transport.protocol.cluster.table.members["i2"].record.state is MemberState.LEFT
            )
            assert await first.change(text.replace(FAST_MEMBERSHIP, ""))
            assert first.daemon.status()["fellows"] == {}
            assert first.daemon.dispatcher.pools.attempt_observer is None
            assert "opinions" not in first.daemon.status()["background"]
            assert (await first.ask(message("GET /"))).status == 200
            arguments = ["fellows", "--socket", f"{tmp_path}/c0"]
            found = await asyncio.to_thread(CliRunner().invoke, main, arguments)
            assert found.exit_code == 1
            assert "no [fellows]" in found.output

    run(test)


def test_malformed_forged_and_misdirected_datagrams_change_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 2, [WebServer()]) as (first, second):
            await until(lambda: cluster_size(first) == 2)
            transport = first.daemon.services.peers.transport
            assert transport is not None
            assert transport.membership is not None
            valid = transport.membership.protocol.tick(transport.membership.protocol.next_wakeup_us() + 10**9)
            assert valid
            # The last datagram is valid, but its receiver is another instance.
            for data in (
                b"pt\x02",
                b"pt\x02" + b"\0" * 200,
                valid[0][1][:-1] + b"\0",
                valid[0][1][:40],
                valid[0][1],
            ):
                assert transport.membership.receive(data, ("127.0.0.1", 9)) is not None
            assert set(transport.membership.protocol.cluster.table.members) == {"i1"}

    run(test)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (("[fellows]\n", '[fellows]\ngossip = "2s"\n'), "fellows.gossip: '2s' is longer than the period"),
        (("[fellows]\n", '[fellows]\nperiod = "100ms"\n'), "fellows.period: an answer may take 100 ms"),
        (("[fellows]\n", "[fellows]\nfan_out = 99\n"), "fellows.fan_out"),
        (("[fellows]\n", '[fellows]\nperod = "1s"\n'), 'did you mean "period"?'),
        (('window = "30s"', 'window = "30s"\nloss = 0.7'), "of all probes of live instances fail"),
        (("[peers]", "[tenants]"), "instances know one another by [peers], and there is none"),
    ],
)
def test_invalid_settings_are_rejected_with_an_explanation(
    tmp_path: Path, change: tuple[str, str], expected: str
) -> None:
    peers = peers_text(tmp_path, [1], 0, 'window = "30s"')
    text = site(8080, {"main": []}, head=peers + "[fellows]\n")
    assert parse(text, "site.toml").membership is not None
    with pytest.raises(ConfigError) as found:
        parse(text.replace(*change), "site.toml")
    assert expected in str(found.value)


def test_keys_of_endpoints_and_classes_are_computed_from_their_names() -> None:
    assert endpoint_key("main", "s1") != endpoint_key("other", "s1")
    assert class_key("buy") < 2**32
