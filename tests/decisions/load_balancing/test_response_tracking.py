"""Attempts that are overdue without a response."""

from __future__ import annotations

from dataclasses import replace

import pytest

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import classes
from tests.decisions.load_balancing.scenarios import (
    PAY,
    READ,
    fill_slots,
    ready_harness,
)


def test_an_endpoint_is_excluded_for_a_class_that_it_never_responds_to() -> None:
    request_classes = classes()
    request_classes[PAY] = replace(request_classes[PAY], late_weight=0.5)  # attempts last until the deadline
    harness = ready_harness(classes=request_classes)
    silent = min(harness.listed)

    def sends_to_silent(class_index: int) -> int:
        request = harness.request_arrives(class_index)
        sends = harness.sends(request)
        harness.advance(20_000)
        if sends and (sends[0].endpoint_id != silent or class_index != PAY):
            harness.end_attempt(request, 0, Outcome.OK)
        return sum(1 for send in sends if send.endpoint_id == silent)

    assert 3 <= sum(sends_to_silent(PAY) for _ in range(1000)) <= 15
    assert sum(sends_to_silent(READ) for _ in range(40)) > 0


# Guards against a timeout that is not reported, as a held-up process handled it before the overdue check.
@pytest.mark.parametrize("found_overdue", [True, False])
def test_a_timeout_behind_the_objective_is_reported_once(found_overdue: bool) -> None:
    harness = ready_harness()
    reported: list[tuple[int, int]] = []
    harness.balancer.set_no_response_callback(
        lambda endpoint, class_index: reported.append((endpoint.listed.id, class_index))
    )
    request = harness.request_arrives(READ)
    sent = harness.sends(request)[0]
    objective_us = harness.settings.classes[READ].latency_objective_us
    if found_overdue:
        harness.advance(objective_us)
    else:
        harness.now_us += objective_us
    harness.end_attempt(request, 0, Outcome.TIMEOUT)
    assert reported == [(sent.endpoint_id, READ)]


def test_an_endpoint_that_is_slow_for_all_requests_releases_at_most_one_slot() -> None:
    harness = ready_harness(1, hedging=False)
    for _ in range(40):  # so that the limit grows
        requests = [harness.request_arrives(READ), harness.request_arrives(READ)]
        harness.advance(10_000)
        for request in requests:
            if harness.sends(request) and harness.answer(request) is None:
                harness.end_attempt(request, 0, Outcome.OK)
    slots = len(fill_slots(harness)) - 1
    request_class = harness.settings.classes[READ]
    harness.advance(request_class.latency_objective_us - 1)
    assert len(fill_slots(harness)) == 1
    sent = len(harness.sends())
    harness.advance(1)
    fill_slots(harness)
    assert slots > 2
    assert len(harness.sends()) - sent <= 1
