"""The rig itself: relays that drop, hold and cut, a judge that finds what is planted, bad schedules."""

from __future__ import annotations

import asyncio
import random
from typing import Any

import pytest

from fakes.cluster.judge import judge
from fakes.cluster.load import Sent
from fakes.cluster.relay import Switch, TcpRelay, Way
from fakes.cluster.schedule import ScheduleError, checked
from fakes.cluster.servers import Run, Shop
from fakes.web import WebServer
from tests.daemons import Client, message
from tests.net import PATIENCE_S


class Instance:
    """An instance's times, as the judge reads them."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.stopped: list[list[float]] = []
        self.killed: list[list[float]] = []


class Sink:
    """Where datagrams leave."""

    def __init__(self, got: list[int]) -> None:
        self.got = got

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        assert address == ("127.0.0.1", 2)
        self.got.append(int(data))


def sent(ident: str, instance: int = 0, status: int = 200, answers: int = 1, answered: float = 10.5) -> Sent:
    """A purchase of a client that waits for a second."""
    return Sent(ident, True, instance, 10.0, 1.0, status, answers, answered)


def shop(*runs: Run, name: str = "s0") -> Shop:
    one = Shop(name)
    one.runs = list(runs)
    return one


def test_a_play_that_keeps_the_rules_is_not_reported() -> None:
    served = sent("a")
    turned_away = sent("b", status=503)
    shops = [shop(Run(10.1, "a", True), Run(10.1, "b", False)), shop(name="s1")]
    verdict = judge([served, turned_away], shops, [Instance(0)])
    assert not verdict.broken
    assert verdict.figures() == "1 refused, 1 served"


@pytest.mark.parametrize(
    ("word", "one", "runs"),
    [
        ("lost", sent("a", status=0, answers=0), []),
        ("doubled", sent("a"), [Run(10.1, "a", True), Run(10.2, "a", True)]),
        ("made up", sent("a"), []),
        ("refused", sent("a", status=503), [Run(10.1, "a", True)]),
        ("late", sent("a", answered=12.0), [Run(10.1, "a", True)]),
        ("answered 2 times", sent("a", answers=2), [Run(10.1, "a", True)]),
        ("drained", sent("a"), [Run(10.1, "a", True)]),
    ],
)
def test_each_rule_that_is_broken_on_purpose_is_found(word: str, one: Sent, runs: list[Run]) -> None:
    found = shop(*runs)
    if word == "drained":
        found.told_drain = 8.0
    verdict = judge([one], [found], [Instance(0)])
    assert [told.split(":")[0] for told in verdict.broken] == [word]


def test_what_a_killed_process_had_is_nobodys_to_answer_and_a_stopped_one_may_be_late() -> None:
    killed, stopped = Instance(0), Instance(1)
    killed.killed.append([10.2, float("inf")])
    stopped.stopped.append([10.2, 14.0])
    gone = sent("a", status=0, answers=0)
    late = sent("b", instance=1, answered=14.1)
    runs = [Run(10.1, "a", True), Run(10.1, "b", True)]
    assert not judge([gone, late], [shop(*runs)], [killed, stopped]).broken


def test_the_worst_second_of_a_server_is_counted_over_any_second() -> None:
    runs = [Run(at, str(at), True) for at in (0.0, 0.6, 1.1, 1.5, 3.0)]
    assert shop(*runs).worst_second() == 3


@pytest.mark.parametrize(
    ("raw", "told"),
    [
        ({"second": 3}, "second: unknown"),
        ({"seconds": "3"}, "seconds: expected a number"),
        ({"instances": 0}, "instances: expected a number of 1 or more"),
        ({"events": [{"at": 1, "do": "explode"}]}, "events[0].do: expected one of stop"),
        ({"events": [{"at": 9, "do": "drain", "servers": [0]}]}, "past the play's end"),
        ({"events": [{"at": 1, "do": "drain", "servers": [4]}]}, "numbers from 0 to 3"),
        ({"events": [{"at": 1, "do": "drain", "instances": [0]}]}, "'drain' has no such key"),
        ({"events": [{"at": 1, "do": "wake", "instances": [0]}]}, "instance 0 can't wake: it is not stopped"),
        (
            {
                "events": [
                    {"at": 2, "do": "kill", "instances": [1]},
                    {"at": 1, "do": "kill", "instances": "all"},
                ]
            },
            "at 2 s: instance 1 can't kill: it is dead already",
        ),
        ({"events": [{"at": 1, "do": "cut", "link": "up"}]}, "link: expected one of both"),
    ],
)
def test_a_schedule_that_can_not_be_played_says_what_and_where(raw: dict[str, Any], told: str) -> None:
    with pytest.raises(ScheduleError) as found:
        checked(raw)
    assert told in str(found.value)


def test_a_cut_relay_says_nothing_and_passes_on_what_was_held_once_it_is_mended() -> None:
    async def test() -> None:
        server = WebServer()
        await server.start()
        relay = TcpRelay(("127.0.0.1", server.port), random.Random(1))
        await relay.start()
        client = Client(*await asyncio.open_connection("127.0.0.1", relay.port))
        assert (await client.ask(message("GET /"))).status == 200
        relay.forth.cut()
        client.writer.write(message("GET /"))
        await asyncio.sleep(0.05)
        assert server.count == 1
        relay.back.cut()
        relay.forth.mend()
        async with asyncio.timeout(PATIENCE_S):
            while server.count < 2:
                await asyncio.sleep(0.005)
        answer = asyncio.create_task(client.reply())
        await asyncio.sleep(0.05)
        assert not answer.done()  # one way only
        relay.back.mend()
        assert (await answer).status == 200
        relay.reset()
        assert await client.ended()
        relay.stop()
        server.stop()

    asyncio.run(test())


def test_datagrams_get_lost_come_twice_and_out_of_order_by_the_seed() -> None:
    async def through(seed: int, way: Way, count: int) -> list[int]:
        got: list[int] = []
        here, there = ("127.0.0.1", 1), ("127.0.0.1", 2)
        relay = Switch([here, there], random.Random(seed))
        relay.ways[0, 1] = way
        relay.transports = [Sink(got), Sink(got)]  # type: ignore[list-item]
        for number in range(count):
            relay.came(str(number).encode(), here, 1)
        relay.came(b"99", ("127.0.0.1", 3), 1)  # of a stranger
        async with asyncio.timeout(PATIENCE_S):
            while relay.held:
                await asyncio.sleep(0.005)
        assert relay.passed == len(got)
        return got

    async def test() -> None:
        assert await through(1, Way(), 50) == list(range(50))
        lossy = await through(1, Way(loss=0.3), 500)
        assert 300 < len(lossy) < 400
        assert len(await through(1, Way(repeats=1.0), 50)) == 100
        mixed = await through(1, Way(reordered=0.5), 50)
        assert mixed != sorted(mixed)
        assert sorted(mixed) == list(range(50))
        shut = Way()
        shut.cut()
        assert await through(1, shut, 50) == []

    asyncio.run(test())
