"""Setups and traffic patterns shared by several tests."""

from __future__ import annotations

from dataclasses import dataclass

from plovertrail.decisions.events import Outcome
from tests.decisions.load_balancing.harness import BalancerHarness, ready_endpoints, settings

READ, PAY, MARK = 0, 1, 2


@dataclass(frozen=True)
class Fault:
    """An endpoint all of whose attempts end with the same outcome."""

    endpoint_id: int
    outcome: Outcome = Outcome.REJECTED


def ready_harness(count: int = 4, **changes: object) -> BalancerHarness:
    harness = BalancerHarness(settings(**changes))
    harness.update_endpoints(ready_endpoints(count))
    return harness


def fill_slots(harness: BalancerHarness) -> list[int]:
    """Send requests until all slots are taken; the last one returned is in the buffer."""
    requests = []
    for _ in range(1000):
        requests.append(harness.request_arrives(READ))
        if not harness.sends(requests[-1]):
            return requests
    raise AssertionError("there are still free slots after 1000 requests")


def run_requests(
    harness: BalancerHarness,
    steps: int,
    fault: Fault | None = None,
    class_index: int = READ,
    response_us: int = 10_000,
) -> None:
    """Start one request per step, and end all attempts in flight at the end of the step."""
    for _ in range(steps):
        harness.request_arrives(class_index)
        harness.advance(response_us)
        for request_id in [i for i, record in harness.requests.items() if record.in_flight()]:
            for attempt in harness.requests[request_id].in_flight():
                endpoint_id = harness.requests[request_id].attempts[attempt].endpoint_id
                is_failing = fault is not None and fault.endpoint_id == endpoint_id
                outcome = fault.outcome if fault is not None and is_failing else Outcome.OK
                harness.end_attempt(request_id, attempt, outcome)


def count_slots(harness: BalancerHarness) -> int:
    """Return how many requests can be in flight at once; they have ended afterwards."""
    sent = [each for each in fill_slots(harness) if harness.sends(each)]
    for request in sent:
        harness.end_attempt(request, 0, Outcome.OK)
    return len(sent)


def run_slow_requests(harness: BalancerHarness, seconds: int) -> None:
    """Start one request per second, each of which times out."""
    for _ in range(seconds):
        harness.request_arrives(PAY)
        harness.advance(1_000_000)
