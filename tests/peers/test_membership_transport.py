"""Daemons that know one another over loopback: who is there, what is told of servers, reloads, commands."""

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

FAST = '[fellows]\nperiod = "200ms"\ngossip = "50ms"\n'


def head(folder: Path, ports: list[int], number: int, more: str = FAST) -> str:
    return (
        f'[daemon]\ncontrol_socket = "{folder}/c{number}"\n'
        + peers_text(folder, ports, number, 'delay = "10ms"')
        + more
    )


@asynccontextmanager
async def fleet(
    folder: Path, count: int, servers: Sequence[WebServer], more: str = FAST
) -> AsyncIterator[list[Running]]:
    """Daemons in front of the same servers that know one another."""
    ports, found = datagram_ports(count), []
    async with AsyncExitStack() as stack:
        for number in range(count):
            place = folder / f"d{number}"
            place.mkdir()
            found.append(
                await stack.enter_async_context(
                    running(place, {"main": servers}, head=head(folder, ports, number, more))
                )
            )
        for it in found:
            await it.daemon.control.start()
        yield found


def living(it: Running) -> int:
    return int(it.daemon.status()["fellows"]["size"])


def held_back(it: Running, server: str = "main0") -> float:
    classes = it.daemon.status()["judgements"].get("main", {}).get(server, {})
    return max((float(each["held_back"]) for each in classes.values()), default=0.0)


def test_what_two_see_of_a_server_a_third_that_asked_nothing_knows(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [WebServer(always(ERROR)), *(WebServer() for _ in range(4))]
        async with fleet(tmp_path, 3, servers) as (one, two, third):
            await until(lambda: all(living(it) == 3 for it in (one, two, third)))
            for it in (one, two):
                for _ in range(30):
                    await it.ask(message("GET /"))
            balancer = third.daemon.pools["main"].pool.balancer
            bad = next(iter(balancer.endpoints.values()))
            await until(lambda: bool(bad.peer_penalties) and held_back(third) > 0.1)
            assert bad.failure_penalty == 0.0
            assert bad.fault_rate == 0.0
            before = servers[0].count
            for _ in range(20):
                assert (await third.ask(message("GET /"))).status == 200
            assert servers[0].count - before <= 3  # one in five would be four, and each is tried again
            path = f"{tmp_path}/c2"

            async def command(*arguments: str) -> str:
                made = await asyncio.to_thread(CliRunner().invoke, main, [*arguments, "--socket", path])
                assert made.exit_code == 0, made.output
                return made.output

            assert "i2: 2 others are there" in await command("fellows")
            assert "i2: 2 others are there" in await command("members")
            told = await command("explain", "server", "main0")
            assert "main main0, read: drawn less, by" in told
            assert "2 others find it wrong" in told
            assert "nobody finds anything wrong with it" in await command("explain", "server", "main3")
            assert '"state": "alive"' in await command("fellows", "--json")

    run(test)


def test_one_that_stops_is_gone_and_a_reload_keeps_who_is_known_or_ends_it(tmp_path: Path) -> None:
    async def test() -> None:
        server = WebServer()
        async with fleet(tmp_path, 3, [server]) as (one, two, third):
            await until(lambda: all(living(it) == 3 for it in (one, two, third)))
            text = one.path.read_text()
            assert await one.change(text.replace('period = "200ms"', 'period = "300ms"'))
            assert living(one) == 3
            assert one.daemon.services.peers.transport is not None
            talk = one.daemon.services.peers.transport.membership
            assert talk is not None
            assert talk.protocol.cluster.settings.period_us == 300_000
            third.daemon.services.peers.stop()
            await until(lambda: talk.protocol.cluster.table.members["i2"].record.state is MemberState.LEFT)
            assert await one.change(text.replace(FAST, ""))
            assert one.daemon.status()["fellows"] == {}
            assert one.daemon.dispatcher.pools.attempt_observer is None
            assert "opinions" not in one.daemon.status()["background"]
            assert (await one.ask(message("GET /"))).status == 200
            asked = ["fellows", "--socket", f"{tmp_path}/c0"]
            found = await asyncio.to_thread(CliRunner().invoke, main, asked)
            assert found.exit_code == 1
            assert "no [fellows]" in found.output

    run(test)


def test_a_stranger_a_forger_and_garbage_change_nothing(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 2, [WebServer()]) as (one, two):
            await until(lambda: living(one) == 2)
            talk = one.daemon.services.peers.transport
            assert talk is not None
            assert talk.membership is not None
            good = talk.membership.protocol.tick(talk.membership.protocol.next_wakeup_us() + 10**9)
            assert good
            for data in (
                b"pt\x02",
                b"pt\x02" + b"\0" * 200,
                good[0][1][:-1] + b"\0",
                good[0][1][:40],
                good[0][1],
            ):  # the last one is whole, and for another
                assert talk.membership.receive(data, ("127.0.0.1", 9)) is not None
            assert set(talk.membership.protocol.cluster.table.members) == {"i1"}

    run(test)


@pytest.mark.parametrize(
    ("change", "told"),
    [
        (("[fellows]\n", '[fellows]\ngossip = "2s"\n'), "fellows.gossip: '2s' is longer than the period"),
        (("[fellows]\n", '[fellows]\nperiod = "100ms"\n'), "fellows.period: an answer may take 100 ms"),
        (("[fellows]\n", "[fellows]\nfan_out = 99\n"), "fellows.fan_out"),
        (("[fellows]\n", '[fellows]\nperod = "1s"\n'), 'did you mean "period"?'),
        (('window = "30s"', 'window = "30s"\nloss = 0.7'), "of all probes of live instances fail"),
        (("[peers]", "[tenants]"), "instances know one another by [peers], and there is none"),
    ],
)
def test_settings_that_can_not_hold_are_refused_with_what_to_write(
    tmp_path: Path, change: tuple[str, str], told: str
) -> None:
    peers = peers_text(tmp_path, [1], 0, 'window = "30s"')
    text = site(8080, {"main": []}, head=peers + "[fellows]\n")
    assert parse(text, "site.toml").membership is not None
    with pytest.raises(ConfigError) as found:
        parse(text.replace(*change), "site.toml")
    assert told in str(found.value)


def test_servers_and_classes_go_by_names_that_all_instances_have() -> None:
    assert endpoint_key("main", "s1") != endpoint_key("other", "s1")
    assert class_key("buy") < 2**32
