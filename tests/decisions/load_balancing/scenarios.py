"""Situations that several tests begin with."""

from __future__ import annotations

from dataclasses import dataclass

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints, settings

READ, PAY, MARK = 0, 1, 2


@dataclass(frozen=True)
class Fault:
    """An endpoint whose attempts all end with one outcome."""

    endpoint_id: int
    outcome: Outcome = Outcome.REJECTED


def ready_harness(count: int = 4, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**changes))
    harness.update_endpoints(ready_endpoints(count))
    return harness


def fill_slots(harness: BalancerHarness) -> list[int]:
    """Take every slot; the last request is the one in the buffer."""
    taken = []
    for _ in range(1000):
        taken.append(harness.request_arrives(READ))
        if not harness.sends(taken[-1]):
            return taken
    raise AssertionError("the slots never ran out")


def run_requests(
    harness: BalancerHarness,
    steps: int,
    fault: Fault | None = None,
    class_index: int = READ,
    took_us: int = 10_000,
) -> None:
    """Start a request a step; attempts in flight end with the step, with `fault` at its endpoint."""
    for _ in range(steps):
        harness.request_arrives(class_index)
        harness.advance(took_us)
        for request_id in [i for i, record in harness.requests.items() if record.in_flight()]:
            for attempt in harness.requests[request_id].in_flight():
                endpoint_id = harness.requests[request_id].attempts[attempt].endpoint_id
                is_failing = fault is not None and fault.endpoint_id == endpoint_id
                outcome = fault.outcome if fault is not None and is_failing else Outcome.OK
                harness.end_attempt(request_id, attempt, outcome)


def count_slots(harness: BalancerHarness) -> int:
    """How many requests can be in flight now; they are ended again."""
    taken = [r for r in fill_slots(harness) if harness.sends(r)]
    for request in taken:
        harness.end_attempt(request, 0, Outcome.OK)
    return len(taken)


def run_slow_requests(harness: BalancerHarness, seconds: int) -> None:
    """Every response takes longer than the objective."""
    for _ in range(seconds):
        harness.request_arrives(PAY)
        harness.advance(1_000_000)
