"""Daemons that count together over loopback: limits for all of them, reloads, keys, silence, and status."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path

import pytest
from click.testing import CliRunner

from fakes.web import WebServer
from plovertrail.cli import main
from plovertrail.cli.status import print_peers
from plovertrail.config.operator import load, parse
from plovertrail.config.problems import ConfigError
from tests.daemons import LIMITED, Running, message, run, running, site
from tests.net import until

KEY = "0123456789abcdef0123456789abcdef"
ROUTES = LIMITED.replace("{client}", "address")
LIMIT = """
[limiters.it]
by = "tenant"
rate_per_s = {rate}
burst = {burst}
scope = "fleet"
[tenants.acme]
allowance_per_s = 10
scope = "fleet"
"""


def datagram_ports(count: int) -> list[int]:
    """Ports that are free now."""
    socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(count)]
    for sock in socks:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


def peers_text(folder: Path, ports: list[int], number: int, more: str = "") -> str:
    key = folder / "key"
    if not key.exists():
        key.write_text(KEY)
    listed = ", ".join(f'"127.0.0.1:{port}"' for port in ports)
    keys = "" if "key_files" in more else f'key_files = ["{key}"]\n'
    return (
        f'[peers]\nname = "i{number}"\naddress = "127.0.0.1:{ports[number]}"\naddresses = [{listed}]\n'
        f'period = "20ms"\n{keys}{more}\n'
    )


def head_of(
    folder: Path, ports: list[int], number: int, more: str = "", rate: float = 0.01, burst: int = 6
) -> str:
    return LIMIT.format(rate=rate, burst=burst) + peers_text(folder, ports, number, more)


@asynccontextmanager
async def fleet(folder: Path, count: int, **more: object) -> AsyncIterator[list[Running]]:
    ports = datagram_ports(count)
    async with AsyncExitStack() as stack:
        found = []
        for number in range(count):
            own = folder / str(number)
            own.mkdir()
            head = head_of(folder, ports, number, **more)  # type: ignore[arg-type]
            made = running(own, {"main": [WebServer()]}, routes=ROUTES, head=head)
            found.append(await stack.enter_async_context(made))
        yield found


def heard(it: Running) -> int:
    return int(it.daemon.status()["peers"]["heard"])


def used(it: Running) -> float:
    return float(it.daemon.status()["peers"]["counts"]["limiter it acme"]["fleet"])


def buy() -> bytes:
    return message("POST /buy", "X-Tenant: acme", body=b"coins")


def test_a_limit_for_the_fleet_is_shared_out_and_its_use_known_to_all(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3) as daemons:
            await until(lambda: all(heard(it) == 2 for it in daemons))
            statuses = []
            for _ in range(4):
                for it in daemons:
                    statuses.append((await it.ask(buy())).status)
            assert 6 <= statuses.count(200) <= 9  # a burst of 6 for all three, and not for each
            refused = await daemons[0].ask(buy())
            assert refused.status == 429
            assert refused.all("Retry-After")
            assert refused.all("RateLimit-Policy") == ['"it";q=6;w=600']  # the whole limit
            await until(lambda: all(used(it) == 13 for it in daemons))
            shares = [
                it.daemon.dispatcher.tenant_use.share(0, 1 << 60)
                for it in daemons
                if it.daemon.dispatcher.tenant_use is not None
            ]
            assert len(shares) == 3

    run(test)


@pytest.mark.parametrize(("alone", "let_in"), [("share", 2), ("local", 2)])
def test_one_whose_peers_never_answer_serves_on_as_chosen(tmp_path: Path, alone: str, let_in: int) -> None:
    """No request waits for a peer; the burst is shared out either way, the rate as chosen."""

    async def test() -> None:
        ports = datagram_ports(3)
        head = head_of(tmp_path, ports, 0, f'alone = "{alone}"')
        async with running(tmp_path, {"main": [WebServer()]}, routes=ROUTES, head=head) as it:
            statuses = [(await it.ask(buy())).status for _ in range(6)]
            assert statuses == [200] * let_in + [429] * (6 - let_in)
            counts = (
                it.daemon.services.peers.transport.counters
                if it.daemon.services.peers.transport is not None
                else None
            )
            assert counts is not None
            assert heard(it) == 0
            key = it.daemon.services.limiters.active["it"].fleet_key("acme", "")
            part, _ = counts.shares_of(key, 6, counts.start_us)
            assert part == pytest.approx(1 / 3 if alone == "share" else 1.0)

    run(test)


def test_a_reload_changes_the_key_with_an_overlap_the_peers_and_the_limit_and_keeps_counts(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 2) as (one, two):
            await until(lambda: heard(one) == heard(two) == 1)
            for _ in range(4):
                await one.ask(buy())
            await until(lambda: used(two) == 4)
            (tmp_path / "new").write_text("f" * 32)
            old, new = f'"{tmp_path}/key"', f'"{tmp_path}/new"'
            text = {it.port: it.path.read_text() for it in (one, two)}
            for it in (one, two):  # first all learn the new one, then it signs, then the old one goes
                for keys in (f"{old}, {new}", f"{new}, {old}"):
                    changed = text[it.port].replace(f"key_files = [{old}]", f"key_files = [{keys}]")
                    assert await it.change(changed)
            for it in (one, two):
                assert await it.change(text[it.port].replace(f"key_files = [{old}]", f"key_files = [{new}]"))
            taken = [it.daemon.status()["peers"]["taken"] for it in (one, two)]
            await until(
                lambda: all(
                    it.daemon.status()["peers"]["taken"] > before + 3
                    for it, before in zip((one, two), taken, strict=True)
                )
            )
            assert used(one) == used(two) == 4
            dropped = [it.daemon.status()["peers"]["dropped"] for it in (one, two)]
            assert all("forged" not in each for each in dropped)
            # without [peers] it counts alone, and the limit says so; the socket is given back
            alone = site(two.port, {"main": [WebServer()]}, routes=ROUTES)
            assert not await two.change(alone.replace("[classes.read]", LIMIT + "[classes.read]", 1))
            servers = text[two.port]
            start, end = servers.index("[peers]"), servers.index("[listeners.web]")
            servers = servers[:start] + servers[end:]
            servers = servers.replace('scope = "fleet"', 'scope = "instance"')
            assert await two.change(servers)
            assert two.daemon.status()["peers"] == {}
            assert two.daemon.services.limiters.active["it"].counts is None
            assert await two.change(text[two.port].replace(f"key_files = [{old}]", f"key_files = [{new}]"))
            await until(lambda: heard(one) == heard(two) == 1)

    run(test)


def test_a_reload_that_changes_the_limit_and_the_peers_counts_on(tmp_path: Path) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 3) as daemons:
            one = daemons[0]
            await until(lambda: all(heard(it) == 2 for it in daemons))
            while (await one.ask(buy())).status == 200:
                pass
            text = one.path.read_text()
            assert await one.change(text.replace("rate_per_s = 0.01", "rate_per_s = 100000"))
            while (await one.ask(buy())).status != 200:  # what it owed is soon paid by the new rate
                pass
            before = used(one)
            ports = [
                it.daemon.services.peers.transport.setup.address[1]
                for it in daemons
                if it.daemon.services.peers.transport
            ]
            assert await one.change(text.replace(f', "127.0.0.1:{ports[2]}"', ""))
            status = one.daemon.status()["peers"]
            assert status["size"] == 2
            assert list(status["peers"]) == [f"127.0.0.1:{ports[1]}"]
            assert used(one) == before  # what is known of one that left counts till its window has passed
            assert not await one.change(text.replace('period = "20ms"', 'period = "20"'))
            assert one.daemon.status()["peers"]["size"] == 2

    run(test)


def test_garbage_and_forged_datagrams_harm_nothing_and_are_told_at_a_bounded_rate(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        rng = random.Random(1)
        async with fleet(tmp_path, 2) as (one, two):
            await until(lambda: heard(one) == heard(two) == 1)
            talk = one.daemon.services.peers.transport
            assert talk is not None
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
                for _ in range(40):  # as many as the socket's buffer holds
                    stranger.sendto(rng.randbytes(rng.randrange(1_300)), talk.setup.address)
            # from a listed address as well, as whoever holds it may be broken
            other = two.daemon.services.peers.transport
            assert other is not None
            await until(lambda: one.daemon.status()["peers"]["dropped"].get("not listed") == 40)
            for _ in range(40):
                other.sock.sendto(rng.randbytes(rng.randrange(1, 1_300)), talk.setup.address)
            await until(lambda: bool({"garbage", "too many"} & set(one.daemon.status()["peers"]["dropped"])))
            assert (await one.ask(buy())).status == 200
            await until(lambda: used(two) == 1)

    with caplog.at_level(logging.WARNING):
        run(test)
    assert 0 < sum("dropped" in record.message for record in caplog.records) <= 12


def test_peers_from_a_watched_file(tmp_path: Path) -> None:
    async def test() -> None:
        ports = datagram_ports(2)
        path = tmp_path / "peers.json"
        rows = ", ".join(f'{{"id": "i{n}", "address": "127.0.0.1:{port}"}}' for n, port in enumerate(ports))
        path.write_text(f'{{"servers": [{rows}]}}')
        async with AsyncExitStack() as stack:
            found = []
            for number in range(2):
                (tmp_path / str(number)).mkdir()
                head = head_of(tmp_path, ports, number)
                listed = ", ".join(f'"127.0.0.1:{port}"' for port in ports)
                head = head.replace(f"addresses = [{listed}]", f'peers_from = "{path}"')
                made = running(tmp_path / str(number), {"main": [WebServer()]}, routes=ROUTES, head=head)
                found.append(await stack.enter_async_context(made))
            await until(lambda: all(heard(it) == 1 for it in found))
            path.write_text("{")
            await until(lambda: all(it.daemon.status()["peers"]["problem"] for it in found))
            assert all(it.daemon.status()["peers"]["size"] == 2 for it in found)  # the last one stays

    run(test)


def test_till_a_list_of_peers_is_read_the_instances_of_the_file_are_reckoned_with(tmp_path: Path) -> None:
    """Hazard: alone in its own eyes, each would take all of a limit when all start at once."""

    async def test() -> None:
        ports = datagram_ports(1)
        head = "[limits]\ninstances = 4\n" + head_of(tmp_path, ports, 0)
        head = head.replace(f'addresses = ["127.0.0.1:{ports[0]}"]', f'peers_from = "{tmp_path}/peers.json"')
        async with running(tmp_path, {"main": [WebServer()]}, routes=ROUTES, head=head) as it:
            assert it.daemon.status()["peers"]["size"] == 4
            assert [(await it.ask(buy())).status for _ in range(3)] == [200, 429, 429]  # a quarter of six
            await until(lambda: bool(it.daemon.status()["peers"]["problem"]))
            (tmp_path / "peers.json").write_text(
                f'{{"servers": [{{"id": "i0", "address": "127.0.0.1:{ports[0]}"}}]}}'
            )
            await until(lambda: it.daemon.status()["peers"]["size"] == 1)
            assert not it.daemon.status()["peers"]["problem"]

    run(test)


def test_status_tells_who_was_heard_and_how_far_counts_may_be_off(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    async def test() -> None:
        async with fleet(tmp_path, 2) as (one, two):
            await until(lambda: heard(one) == 1)
            await one.ask(buy())
            print_peers(one.daemon.status()["peers"])

    run(test)
    out = capsys.readouterr().out
    assert "i0 hears 1 of 1" in out
    assert "i1: heard" in out
    assert "limiter it acme: 1 here, 1 in the fleet" in out


def wrong(tmp_path: Path, more: str = "", **changes: str) -> str:
    """What is wrong with a file whose [peers] has this."""
    text = peers_text(tmp_path, [7400, 7401, 7402], 0, more)
    for old, new in changes.items():
        lines = [line for line in text.splitlines() if not line.startswith(f"{old} =")]
        text = "\n".join([*lines, f"{old} = {new}"]) + "\n"
    with pytest.raises(ConfigError) as caught:
        parse(text + site(8080, {"main": [WebServer(port=9000)]}))
    return str(caught.value)


def test_what_is_wrong_is_told_with_its_place_and_what_to_write(tmp_path: Path) -> None:
    assert "peers.address: 'here' is no address; write an IPv4" in wrong(tmp_path, address='"here"')
    assert "no address that others could send to" in wrong(tmp_path, address='"0.0.0.0:7400"')
    assert "peers.addresses[0]: '1.2.3.4' is no address" in wrong(tmp_path, addresses='["1.2.3.4"]')
    assert "write either addresses or peers_from" in wrong(tmp_path, addresses="[]")
    assert "peers.key_files[0]: /no/key can't be read" in wrong(tmp_path, key_files='["/no/key"]')
    (tmp_path / "short").write_text("abc")
    short = wrong(tmp_path, key_files=f'["{tmp_path}/short"]')
    assert "holds 3 bytes; write a key of 16 to 4096 bytes" in short
    assert "peers.key_files: 0 keys" in wrong(tmp_path, key_files="[]")
    assert "peers.period: '1ms' is too short" in wrong(tmp_path, period='"1ms"')
    assert "is shorter than the period" in wrong(tmp_path, period='"2s"')
    assert "peers.window: it holds 0.3 s, and a peer counts as silent only" in wrong(
        tmp_path, window='"300ms"', buckets="4", fan_out="1"
    )
    assert "peers.max_error: these settings can't hold it" in wrong(tmp_path, max_error="0.01")
    assert 'peers.perod: unknown key; did you mean "period"?' in wrong(tmp_path, 'perod = "1s"')


def test_a_scope_without_peers_is_refused() -> None:
    text = site(8080, {"main": [WebServer(port=9000)]}, routes=ROUTES, head=LIMIT.format(rate=5, burst=5))
    with pytest.raises(ConfigError) as caught:
        parse(text)
    told = str(caught.value)
    assert "limiters.it.scope: instances don't count together here; write [peers]" in told
    assert "tenants.acme.scope: instances don't count together here" in told
    with pytest.raises(ConfigError, match="only a rate can be for the fleet"):
        parse(text.replace("rate_per_s = 5", "concurrent = 3").replace("burst = 5\n", ""))


def test_the_bound_is_printed_for_a_file(tmp_path: Path) -> None:
    path = tmp_path / "site.toml"
    servers = site(8080, {"main": [WebServer(port=9000)]})
    path.write_text(peers_text(tmp_path, [7400, 7401, 7402], 0) + servers)
    assert load(str(path)).peers is not None
    few = CliRunner().invoke(main, ["counts", "bound", str(path), "--rate", "100"])
    many = CliRunner().invoke(main, ["counts", "bound", str(path), "--size", "200"])
    assert few.exit_code == many.exit_code == 0
    assert "3 instances" in few.output
    assert "requests" in few.output
    assert "200 instances" in many.output
    plain = tmp_path / "plain.toml"
    plain.write_text(site(8080, {"main": [WebServer(port=9000)]}))
    alone = CliRunner().invoke(main, ["counts", "bound", str(plain)])
    assert alone.exit_code == 1
    assert "counts alone" in alone.output


def test_a_daemon_without_peers_loads_none_of_it() -> None:
    code = (
        "import sys, plovertrail.daemon.process, plovertrail.cli; "
        "unwanted = ('plovertrail.peers.transport', 'plovertrail.peers.counter_gossip')\n"
        "print([m for m in sys.modules if m in unwanted])"
    )

    async def test() -> None:
        started = await asyncio.create_subprocess_exec(sys.executable, "-c", code, stdout=-1)
        out, _ = await started.communicate()
        assert out.strip() == b"[]"

    run(test)
