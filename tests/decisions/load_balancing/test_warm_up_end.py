"""Endpoints during and at the end of their warm-up, beside warm ones that are slow, for one instance."""

from __future__ import annotations

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint

OLD, NEW = range(1, 17), range(101, 125)
PER_S = 8.0
SLOW_US = 140_000  # the old ones are crowded by others; that is no slow answer, but a new one takes 20 ms


def single_instance(work_us: int) -> Fleet:
    """An instance that has used its endpoints for a while, with this response time."""
    fleet = Fleet(len(OLD), instance_count=1, seed=3)
    set_work(fleet, work_us)
    fleet.play(20.0, PER_S)
    return fleet


def set_work(fleet: Fleet, work_us: int) -> None:
    """Give the old endpoints another response time; they reject nothing."""
    for number in OLD:
        fleet.endpoints[number].work_us, fleet.endpoints[number].max_wait_us = work_us, 60 * SECOND_US


def join(fleet: Fleet, age_s: float = 0.0) -> None:
    for number in NEW:
        started_us = fleet.now_us - int(age_s * SECOND_US)
        fleet.update_endpoint(Endpoint(number, zone=number % 3, started_us=started_us))
    fleet.run_until(fleet.now_us)


def sent(fleet: Fleet, numbers: range, seconds: float, per_s: float = PER_S) -> int:
    """How many requests these endpoints are sent in the next seconds."""
    before = sum(len(fleet.endpoints[number].sent_at_us) for number in numbers)
    fleet.play(seconds, per_s)
    return sum(len(fleet.endpoints[number].sent_at_us) for number in numbers) - before


def test_an_instance_keeps_using_new_endpoints_that_were_fast_during_warm_up() -> None:
    """Otherwise the active endpoints would be preferred as long as they have a free slot, however slow.

    With half of a fleet replaced, all instances would crowd the old endpoints while the new ones are idle.
    """
    fleet = single_instance(SLOW_US)
    join(fleet)
    assert sent(fleet, NEW, 20.0) > 0
    in_use = len(fleet.instances[0].table.groups[0].active)
    to_old = sum(len(fleet.endpoints[number].sent_at_us) for number in OLD)
    to_new = sent(fleet, NEW, 4.0)
    to_old = sum(len(fleet.endpoints[number].sent_at_us) for number in OLD) - to_old
    assert to_new > 4 * to_old
    assert len(fleet.instances[0].table.groups[0].active) <= in_use + len(NEW)


def test_an_endpoint_not_used_during_warm_up_is_on_standby_until_needed() -> None:
    fleet = single_instance(SLOW_US)
    before = set(fleet.instances[0].table.groups[0].active)
    join(fleet, age_s=19.999)
    fleet.play(1.0, PER_S)
    assert set(fleet.instances[0].table.groups[0].active) - before <= set(OLD)


def warm_up_send_rate(per_s: float) -> float:
    """Sends a second to warming endpoints while the warm ones are overloaded."""
    fleet = single_instance(work_us=20_000)
    set_work(fleet, SECOND_US)
    join(fleet, age_s=10.0)
    fleet.play(3.0, per_s)  # until admission is reduced
    return sent(fleet, NEW, 6.0, per_s) / 6.0


def test_warming_endpoints_get_their_sends_while_warm_ones_are_overloaded() -> None:
    """Their sends must follow neither what is served now nor the demand.

    By what is served they would get fewer sends the more they are needed; a high demand would overload them.
    """
    few, many = warm_up_send_rate(PER_S), warm_up_send_rate(10 * PER_S)
    # each of the 24 gets one send for capacity / (fraction * OVERLOAD_MARGIN * overload_factor) served
    capacity = len(OLD) + 0.6 * len(NEW)
    due = PER_S * len(NEW) * 0.6 * 0.6 * 2.5 / capacity
    assert 0.6 * due < few < 1.5 * due
    assert many < 2.0 * due
