"""Log lines about overload."""

from __future__ import annotations

from plovertrail.decisions.actions import Log
from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import World
from tests.decisions.load_balancing.scenarios import (
    PAY,
    READ,
    churn,
    ready_world,
)


def log_lines(world: World) -> list[str]:
    return [action.text for action in world.log if isinstance(action, Log)]


def churn_all(world: World, outcome: Outcome) -> None:
    """A few requests, and one outcome for all that is out."""
    for _ in range(20):
        world.arrive(PAY)
    world.advance(10_000)
    for ident, owed in list(world.owed.items()):
        for attempt in owed.out():
            world.end(ident, attempt, outcome)


def test_overload_is_logged_when_it_begins_and_ends() -> None:
    world = ready_world(2)
    for _ in range(100):
        world.arrive(READ)
    assert log_lines(world) == ["overload begins"]
    world.advance(5_000_000)
    churn(world, 1500)
    assert log_lines(world)[-1] == "overload ends"


def test_log_lines_are_limited_to_one_a_second() -> None:
    world = ready_world(50)
    begin_us = world.now_us
    for fault in (Outcome.REJECTED, Outcome.OK, Outcome.REJECTED, Outcome.OK):
        for _ in range(30):
            churn_all(world, fault)
    assert 1 <= len(log_lines(world)) <= 1 + (world.now_us - begin_us) / 1_000_000
