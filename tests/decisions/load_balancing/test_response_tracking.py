"""Attempts without a response."""

from __future__ import annotations

from dataclasses import replace

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import classes
from tests.decisions.load_balancing.scenarios import (
    PAY,
    READ,
    fill,
    ready_world,
)


def test_an_endpoint_is_excluded_for_a_class_that_it_never_answers() -> None:
    kinds = classes()
    kinds[PAY] = replace(kinds[PAY], late_weight=0.5)  # so that it is waited for to its deadline
    world = ready_world(classes=kinds)
    deaf = min(world.known)

    def sent_to_deaf(class_index: int) -> int:
        request = world.arrive(class_index)
        sends = world.sends(request)
        world.advance(20_000)
        if sends and (sends[0].endpoint_id != deaf or class_index != PAY):
            world.end(request, 0, Outcome.OK)
        return sum(1 for send in sends if send.endpoint_id == deaf)

    assert 3 <= sum(sent_to_deaf(PAY) for _ in range(1000)) <= 15
    assert sum(sent_to_deaf(READ) for _ in range(40)) > 0


def test_an_endpoint_that_is_slow_to_all_releases_at_most_one_slot() -> None:
    world = ready_world(1, hedging=False)
    for _ in range(40):  # requests that meet open slots
        both = [world.arrive(READ), world.arrive(READ)]
        world.advance(10_000)
        for request in both:
            if world.sends(request) and world.answer(request) is None:
                world.end(request, 0, Outcome.OK)
    slots = len(fill(world)) - 1
    kind = world.settings.classes[READ]
    world.advance(kind.latency_objective_us - 1)
    assert len(fill(world)) == 1
    sent = len(world.sends())
    world.advance(1)
    fill(world)
    assert slots > 2 and len(world.sends()) - sent <= 1
