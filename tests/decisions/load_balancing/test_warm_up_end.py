"""Upstreams that are cold, or end their warm-up, beside warm ones that are slow: one sidecar's part in it."""

from __future__ import annotations

from fakes.balancers_model import SECOND_US, Fleet
from plovertrail.decisions.events import Endpoint

OLD, NEW = range(1, 17), range(101, 125)
PER_S = 8.0
SLOW_US = 140_000  # the old ones are crowded by others; that is no slow answer, but a new one takes 20 ms


def sidecar(work_us: int) -> Fleet:
    """One that knows its upstreams, which take so long."""
    fleet = Fleet(len(OLD), sidecars=1, seed=3)
    take(fleet, work_us)
    fleet.play(20.0, PER_S)
    return fleet


def take(fleet: Fleet, work_us: int) -> None:
    """From now on the old ones take so long, and turn nothing away."""
    for number in OLD:
        fleet.servers[number].work_us, fleet.servers[number].longest_wait_us = work_us, 60 * SECOND_US


def join(fleet: Fleet, age_s: float = 0.0) -> None:
    for number in NEW:
        started_us = fleet.now_us - int(age_s * SECOND_US)
        fleet.change(Endpoint(number, zone=number % 3, started_us=started_us))
    fleet.run(fleet.now_us)


def sent(fleet: Fleet, numbers: range, seconds: float, per_s: float = PER_S) -> int:
    """To these, in the time that comes."""
    before = sum(len(fleet.servers[number].sent) for number in numbers)
    fleet.play(seconds, per_s)
    return sum(len(fleet.servers[number].sent) for number in numbers) - before


def test_a_sidecar_goes_on_with_new_upstreams_that_were_fast_while_they_were_cold() -> None:
    """Hazard: once warm they came behind those in use, which stay while they have a slot, however slow: with
    half of a fleet replaced, all sidecars together crowd the old ones, and the new ones stand idle."""
    fleet = sidecar(SLOW_US)
    join(fleet)
    assert sent(fleet, NEW, 20.0) > 0
    in_use = len(fleet.balancers[0].table.groups[0].active)
    to_old = sum(len(fleet.servers[number].sent) for number in OLD)
    to_new = sent(fleet, NEW, 4.0)
    to_old = sum(len(fleet.servers[number].sent) for number in OLD) - to_old
    assert to_new > 4 * to_old
    assert len(fleet.balancers[0].table.groups[0].active) <= in_use + len(NEW)


def test_one_that_was_never_asked_while_cold_waits_until_it_is_needed() -> None:
    fleet = sidecar(SLOW_US)
    before = set(fleet.balancers[0].table.groups[0].active)
    join(fleet, age_s=19.999)
    fleet.play(1.0, PER_S)
    assert set(fleet.balancers[0].table.groups[0].active) - before <= set(OLD)


def cold_turns(per_s: float) -> float:
    """The turns a second that cold upstreams have while the warm ones choke, at so many requests a second."""
    fleet = sidecar(work_us=20_000)
    take(fleet, SECOND_US)
    join(fleet, age_s=10.0)
    fleet.play(3.0, per_s)  # till the thinning holds
    return sent(fleet, NEW, 6.0, per_s) / 6.0


def test_cold_ones_keep_their_turns_while_warm_ones_choke_however_much_is_asked() -> None:
    """Hazard: by what is served now they would have the fewer turns the more they are needed; by what
    is asked, a crowd of clients would push them over."""
    few, many = cold_turns(PER_S), cold_turns(10 * PER_S)
    # a turn of one of 24 comes after about whole / (warmth * COLD_PART * overload_factor) served
    whole = len(OLD) + 0.6 * len(NEW)
    due = PER_S * len(NEW) * 0.6 * 0.6 * 2.5 / whole
    assert 0.6 * due < few < 1.5 * due
    assert many < 2.0 * due
