"""Endpoints during and after warm-up beside slow warm ones, seen by a single instance."""

from __future__ import annotations

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint

OLD, NEW = range(1, 17), range(101, 125)
REQUESTS_PER_S = 8.0
SLOW_US = 140_000  # of old endpoints, loaded by other instances; not yet a slow response; new ones take 20 ms


def single_instance(work_us: int) -> Fleet:
    """Return a fleet of one instance that has used its endpoints for a while, with this response time."""
    fleet = Fleet(len(OLD), instance_count=1, seed=3)
    set_work(fleet, work_us)
    fleet.play(20.0, REQUESTS_PER_S)
    return fleet


def set_work(fleet: Fleet, work_us: int) -> None:
    """Set the response time of the old endpoints, which reject no requests."""
    for number in OLD:
        fleet.endpoints[number].work_us, fleet.endpoints[number].max_wait_us = work_us, 60 * SECOND_US


def add_new_endpoints(fleet: Fleet, age_s: float = 0.0) -> None:
    for number in NEW:
        started_us = fleet.now_us - int(age_s * SECOND_US)
        fleet.update_endpoint(Endpoint(number, zone=number % 3, started_us=started_us))
    fleet.run_until(fleet.now_us)


def count_sends(fleet: Fleet, numbers: range, seconds: float, per_s: float = REQUESTS_PER_S) -> int:
    """Return how many requests are sent to these endpoints in the next seconds."""
    before = sum(len(fleet.endpoints[number].sent_at_us) for number in numbers)
    fleet.play(seconds, per_s)
    return sum(len(fleet.endpoints[number].sent_at_us) for number in numbers) - before


def test_an_instance_keeps_using_new_endpoints_that_were_fast_during_warm_up() -> None:
    """Otherwise active endpoints would be preferred as long as they have a free slot, however slow they are.

    After half of a fleet was replaced, all instances would overload the old endpoints, with new ones idle.
    """
    fleet = single_instance(SLOW_US)
    add_new_endpoints(fleet)
    assert count_sends(fleet, NEW, 20.0) > 0
    active_before = len(fleet.instances[0].table.groups[0].active)
    to_old = sum(len(fleet.endpoints[number].sent_at_us) for number in OLD)
    to_new = count_sends(fleet, NEW, 4.0)
    to_old = sum(len(fleet.endpoints[number].sent_at_us) for number in OLD) - to_old
    assert to_new > 4 * to_old
    assert len(fleet.instances[0].table.groups[0].active) <= active_before + len(NEW)


def test_an_endpoint_unused_during_warm_up_is_on_standby_until_it_is_needed() -> None:
    fleet = single_instance(SLOW_US)
    before = set(fleet.instances[0].table.groups[0].active)
    add_new_endpoints(fleet, age_s=19.999)
    fleet.play(1.0, REQUESTS_PER_S)
    assert set(fleet.instances[0].table.groups[0].active) - before <= set(OLD)


def warm_up_send_rate(per_s: float) -> float:
    """Return the sends per second to warming endpoints while the warm ones are overloaded."""
    fleet = single_instance(work_us=20_000)
    set_work(fleet, SECOND_US)
    add_new_endpoints(fleet, age_s=10.0)
    fleet.play(3.0, per_s)  # until admission is reduced
    return count_sends(fleet, NEW, 6.0, per_s) / 6.0


def test_warming_endpoints_get_their_sends_while_warm_ones_are_overloaded() -> None:
    """Their sends must depend neither on the current response rate nor on the demand.

    With the response rate, sends would decrease the more they are needed; a high demand would cause overload.
    """
    low_demand, high_demand = warm_up_send_rate(REQUESTS_PER_S), warm_up_send_rate(10 * REQUESTS_PER_S)
    # Each of the 24 gets one send per capacity / (fraction * OVERLOAD_MARGIN * overload_factor) responses.
    capacity = len(OLD) + 0.6 * len(NEW)
    due = REQUESTS_PER_S * len(NEW) * 0.6 * 0.6 * 2.5 / capacity
    assert 0.6 * due < low_demand < 1.5 * due
    assert high_demand < 2.0 * due
