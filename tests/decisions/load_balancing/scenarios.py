"""Situations that several tests begin with."""

from __future__ import annotations

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import World, settings, upstreams

READ, PAY, MARK = 0, 1, 2


def ready_world(count: int = 4, **changes: object) -> World:
    world = World(settings(**changes))
    world.tell_list(upstreams(count))
    return world


def fill(world: World) -> list[int]:
    """Take every slot; the last request is the one that waits in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(world.arrive(READ))
        if not world.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def churn(
    world: World,
    steps: int,
    bad: int | None = None,
    fault: Outcome = Outcome.REJECTED,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """A request a step; whatever is out ends at the step's end, with `fault` at the upstream `bad`."""
    for _ in range(steps):
        world.arrive(class_index)
        world.advance(took_us)
        for ident in [i for i, owed in world.owed.items() if owed.out()]:
            for attempt in world.owed[ident].out():
                at_bad = world.owed[ident].tries[attempt].upstream == bad
                world.end(ident, attempt, fault if at_bad else Outcome.OK)


def held(world: World) -> int:
    """How many requests can be outstanding now; they are ended again."""
    taken = [r for r in fill(world) if world.sends(r)]
    for request in taken:
        world.end(request, 0, Outcome.OK)
    return len(taken)


def slow_spell(world: World, seconds: int) -> None:
    """Every answer takes longer than the aim."""
    for _ in range(seconds):
        world.arrive(PAY)
        world.advance(1_000_000)
