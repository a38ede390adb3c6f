"""The rules on records made by hand: each break is told, and nothing where there is none."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from plovertrail.config.operator import parse
from plovertrail.dispatch.types import ProxyRequest
from plovertrail.scenario_tests.daemon import Asked, Sending
from plovertrail.scenario_tests.judge import rules, trace
from plovertrail.scenario_tests.loop import TIE, VirtualLoop
from plovertrail.scenario_tests.play import Moved, Played
from plovertrail.scenario_tests.servers import Behaviour, Does
from tests.scenario_tests.test_run import SITE

SETUP = parse(SITE)
ZERO = 1_000_000_000
MS = 1000
CALL = ProxyRequest(b"POST", b"/buy", [], b"", ZERO, 2_000_000, 1)


def sending(
    at_ms: float,
    server: str = "a",
    does: Does = Does.OK,
    took_ms: float = 20,
    ended: str | None = None,
    pool: str = "main",
) -> Sending:
    cell = "2" if server == "c" else "1"
    how = does.value if ended is None else ended
    at_us = ZERO + int(at_ms * MS)
    over_us = at_us + int(took_ms * MS) if how else 0
    return Sending(at_us, pool, server, CALL, Behaviour(does), "", cell, over_us, how)


def asked(
    *attempts: Sending,
    kind: str = "buy",
    status: int = 200,
    at_ms: float = 0,
    answered_ms: float | None = 100,
    left_ms: float = 0,
) -> Asked:
    made = Asked(
        1,
        "POST http://h/buy",
        ZERO + int(at_ms * MS),
        "all",
        b"1",
        "buy",
        kind,
        "",
        2_000_000,
        list(attempts),
    )
    if answered_ms is not None:
        made.answers.append((ZERO + int(answered_ms * MS), b"HTTP/1.1 %d X\r\n\r\n" % status))
    made.left_us = ZERO + int(left_ms * MS) if left_ms else 0
    return made


def told(*requests: Asked, moved: tuple[Moved, ...] = (), **more: Any) -> list[str]:
    played = Played(0, SETUP, ZERO, list(requests), list(moved), **more)
    return [f"{broken.place}: {broken.text}" for broken in rules(played)]


def twice() -> Asked:
    made = asked(sending(0))
    made.answers *= 2
    return made


BROKEN: dict[str, tuple[Callable[[], list[str]], str]] = {
    "two answers": (lambda: told(twice()), "rule 1: 2 answers"),
    "no answer": (lambda: told(asked(sending(0), answered_ms=None)), "rule 1: no answer"),
    "too late": (lambda: told(asked(sending(0), answered_ms=2000.001)), "rule 1: answered after 2000.001 ms"),
    "sent after the answer": (
        lambda: told(asked(sending(0), sending(101), kind="read")),
        "rule 1: sent to main/a after it was over",
    ),
    "sent after its client went": (
        lambda: told(asked(sending(9), answered_ms=None, left_ms=5)),
        "rule 1: sent to main/a after it was over",
    ),
    "something is left": (lambda: told(asked(sending(0)), open_left=1), "rule 1: 1 requests are still held"),
    "an unsafe one twice": (
        lambda: told(asked(sending(0, does=Does.RESET_LATE), sending(30, "b"))),
        "rule 2: sent to main/b, and main/a may have run it",
    ),
    "an unsafe one again while the first is out": (
        lambda: told(asked(sending(0, does=Does.FULL, took_ms=50), sending(30, "b"))),
        "rule 2",
    ),
    "an unsafe one again when the first was given up": (
        lambda: told(asked(sending(0, does=Does.FULL, took_ms=10, ended="given up"), sending(30, "b"))),
        "rule 2",
    ),
    "a key in another cell": (
        lambda: told(asked(sending(0, does=Does.RESET_LATE), sending(30, "c"), kind="mark")),
        "doesn't drop",
    ),
    "a key that was forgotten": (
        lambda: told(
            asked(
                sending(0, does=Does.RESET_LATE), sending(8000, "b"), kind="mark", at_ms=0, answered_ms=1999
            )
        ),
        "rule 2: repeated when its key was forgotten",
    ),
    "refused, and it may have run": (
        lambda: told(asked(sending(0, does=Does.ERROR), status=503)),
        "rule 2: refused with 503",
    ),
    "sent to one that drains": (
        lambda: told(asked(sending(10.001), at_ms=10), moved=(Moved(ZERO + 10 * MS, "main", "a", "drain"),)),
        "rule 3: sent to main/a 0.001 ms after",
    ),
    "sent to one that has gone": (
        lambda: told(
            asked(sending(900), at_ms=10, answered_ms=950),
            moved=(Moved(ZERO + 10 * MS, "main", "a", "gone"),),
        ),
        "rule 3",
    ),
    "a cold one pushed over": (
        lambda: told(
            *[
                asked(sending(100 + n, "a" if n % 4 else "b"), at_ms=100 + n, answered_ms=200 + n)
                for n in range(60)
            ],
            moved=(Moved(ZERO + 50 * MS, "main", "a", "join"),),
        ),
        "rule 4: main/a",
    ),
}


@pytest.mark.parametrize("name", BROKEN)
def test_a_broken_rule_is_told(name: str) -> None:
    made, text = BROKEN[name]
    found = made()
    assert any(text in line for line in found), found


KEPT: dict[str, Callable[[], list[str]]] = {
    "served": lambda: told(asked(sending(0))),
    "answered at its last moment": lambda: told(asked(sending(0), answered_ms=2000)),
    "turned away and sent elsewhere": lambda: told(asked(sending(0, does=Does.FULL), sending(20, "b"))),
    "a safe one again": lambda: told(asked(sending(0, does=Does.RESET_LATE), sending(30, "c"), kind="read")),
    "a key in its cell": lambda: told(asked(sending(0, does=Does.RESET_LATE), sending(30, "b"), kind="mark")),
    "refused, and it never ran": lambda: told(asked(sending(0, does=Does.REFUSE), status=503)),
    "a client that left": lambda: told(asked(sending(0, ended=""), answered_ms=None, left_ms=5)),
    "sent in the drain's own microsecond": lambda: told(
        asked(sending(10), at_ms=10), moved=(Moved(ZERO + 10 * MS, "main", "a", "drain"),)
    ),
    "sent when the drain was over": lambda: told(
        asked(sending(30), at_ms=30),
        moved=(Moved(ZERO + 10 * MS, "main", "a", "drain"), Moved(ZERO + 20 * MS, "main", "a", "undrain")),
    ),
    "a cold one with its part": lambda: told(
        *[
            asked(sending(100 + n, "a" if n % 6 == 0 else "b"), at_ms=100 + n, answered_ms=200 + n)
            for n in range(60)
        ],
        moved=(Moved(ZERO + 50 * MS, "main", "a", "join"),),
    ),
}


@pytest.mark.parametrize("name", KEPT)
def test_what_keeps_the_rules_is_not_told(name: str) -> None:
    assert not KEPT[name]()


def test_a_trace_has_what_led_to_it_in_its_order() -> None:
    made = asked(sending(5, does=Does.FULL), sending(25, "b"), at_ms=5)
    played = Played(0, SETUP, ZERO, [made], told=[(ZERO, "main/a: full")])
    lines = trace(played, made)
    assert [line.split()[2] for line in lines] == [
        "event",
        "request",
        "sent",
        "ended",
        "sent",
        "ended",
        "answer",
    ]
    assert lines[0].startswith("      0.000 ms")


def test_time_goes_on_by_itself_and_ties_are_drawn_by_the_seed() -> None:
    orders = set()
    for seed in range(20):
        loop = VirtualLoop(seed)
        found: list[int] = []
        start = loop.time()
        for number in range(3):
            loop.call_later(3600, found.append, number)
        loop.call_later(7200, loop.stop)
        loop.run_forever()
        orders.add(tuple(found))
        assert 7200 <= loop.time() - start < 7200 + 2 * TIE
        assert loop.nanoseconds() % 1000 == 0
        loop.close()
    assert len(orders) > 2


def test_what_would_wait_for_ever_is_an_error() -> None:
    loop = VirtualLoop(1)
    with pytest.raises(RuntimeError, match="nothing is left to happen"):
        loop.run_until_complete(loop.create_future())
    loop.close()
