"""A fleet on the virtual clock keeps to what is stated, whatever its size; a play always ends the same."""

from __future__ import annotations

from dataclasses import replace

import pytest

from plovertrail.decisions import fleet_limits, subsetting
from plovertrail.decisions.events import Endpoint, EndpointStatus
from plovertrail.simulation.clients import ClientPlan
from plovertrail.simulation.clock import SECOND_US
from plovertrail.simulation.fleet import Fleet, FleetPlan
from plovertrail.simulation.servers import ServerPlan

CONNECTIONS, DIALS_PER_S, CAPACITY_PER_S = 60, 60.0, 40.0  # that one server bears
PLAN = FleetPlan(
    instances=1_000,
    servers=20,
    server=ServerPlan(slots=8),
    clients=ClientPlan(per_s=400.0, deadline_us=1_200_000, tries=1),
    bounds=fleet_limits.FleetLimits(4, CONNECTIONS, DIALS_PER_S),
    aim_us=400_000,
    max_attempts=4,
    max_retry_after_us=10 * SECOND_US,
    overload_factor=2.5,
)
SECONDS = 12
WARM_UP_S = 8


def played(fleet: Fleet, seconds: float) -> None:
    fleet.clients.play(fleet.clock.now_us + int(seconds * SECOND_US))
    fleet.play(seconds)


def settled(plan: FleetPlan) -> Fleet:
    """A fleet that has been at work for a while."""
    fleet = Fleet(plan, 1)
    played(fleet, SECONDS)
    return fleet


def seconds_of(fleet: Fleet) -> int:
    return fleet.clock.play_us // SECOND_US


def most(fleet: Fleet, what: str, since: int = 0) -> int:
    return fleet.worst_second(what, since, seconds_of(fleet) + 1)


def served(fleet: Fleet) -> int:
    return sum(fleet.clients.served.values())


def of_all(fleet: Fleet, what: str) -> int:
    return sum(sum(getattr(server, what).values()) for server in fleet.servers.values())


def test_what_servers_hold_is_flat_as_the_fleet_grows_at_the_same_load() -> None:
    held = []
    for size in (250, 1_000, 2_000):
        fleet = Fleet(replace(PLAN, instances=size), 1)
        played(fleet, 4 * SECONDS)  # till nearly every instance has had a request
        held.append(sum(server.open for server in fleet.servers.values()) / len(fleet.servers))
        assert most(fleet, "open_most") <= CONNECTIONS
        assert most(fleet, "dials") <= DIALS_PER_S
    assert max(held) <= 1.1 * min(held)


def test_a_whole_fleet_that_starts_at_one_moment_does_not_stampede() -> None:
    """Every instance has a request at once, again and again: dials stay under the cap each second."""
    fleet = Fleet(replace(PLAN, instances=2_000), 1)
    for _ in range(5):
        for instance in fleet.instances:
            fleet.clients.ask(instance)
        played(fleet, 1.0)
    assert most(fleet, "dials") <= DIALS_PER_S
    assert fleet.clients.given_up > served(fleet) > 0, "without turns the rest is refused, at once"


@pytest.mark.parametrize("size", [20, 500, 2_500])
def test_a_server_that_has_just_started_gets_its_part_from_fleets_of_all_sizes(size: int) -> None:
    fleet = settled(replace(PLAN, instances=size))
    fleet.restart_server(1)
    played(fleet, WARM_UP_S)
    assert 0 < fleet.cold_of_bound(1, CAPACITY_PER_S) <= 1.0
    contacts = fleet.servers[1].first_contacts
    assert max(contacts[second] for second in range(SECONDS, SECONDS + WARM_UP_S)) <= DIALS_PER_S


@pytest.mark.parametrize("told", [100, 10_000])
def test_a_cold_server_is_safe_where_the_size_of_the_fleet_is_wrong_by_ten_times(told: int) -> None:
    """Its part goes by what an instance sees served and not by the fleet's size."""
    fleet = settled(replace(PLAN, told_size=told))
    fleet.restart_server(1)
    played(fleet, WARM_UP_S)
    assert 0 < fleet.cold_of_bound(1, CAPACITY_PER_S) <= 1.0
    assert most(fleet, "open_most") <= (10 * CONNECTIONS if told < 1_000 else CONNECTIONS)


def test_a_server_that_leaves_all_subsets_at_once_moves_its_load_and_no_more() -> None:
    fleet = settled(PLAN)
    before, second = most(fleet, "dials"), seconds_of(fleet)
    fleet.tell_all(Endpoint(2, EndpointStatus.DRAINING))
    fleet.play(0.1)  # what was on its way has come
    came = sum(fleet.servers[2].requests.values())
    played(fleet, SECONDS)
    assert sum(fleet.servers[2].requests.values()) == came
    assert most(fleet, "dials", second) <= min(DIALS_PER_S, 3 * before)
    assert served(fleet) > 0.9 * sum(fleet.clients.came.values())


def test_an_instance_that_wakes_after_a_minute_dials_once_for_its_request() -> None:
    fleet = settled(replace(PLAN, instances=50, clients=replace(PLAN.clients, per_s=50.0)))
    fleet.play(60)
    fleet.restart_server(1)  # it hears of this, and does nothing
    fleet.play(30)
    dials, requests = of_all(fleet, "dials"), of_all(fleet, "requests")
    fleet.clients.ask(fleet.instances[7])
    fleet.play(1)
    assert of_all(fleet, "requests") == requests + 1
    assert of_all(fleet, "dials") <= dials + 1


def test_two_instances_of_one_number_have_the_same_servers_and_harm_no_bound() -> None:
    fleet = settled(PLAN)
    twin = fleet.instances[3]
    fleet.instances.append(twin)  # the number was given away twice
    first = subsetting.EndpointSubset(3, PLAN.bounds.subset_size)
    entries = [Endpoint(number) for number in fleet.servers]
    first.update(entries, {entry.id: ("10.0.0.1", entry.id) for entry in entries})
    assert first.selected.keys() == {number for number in twin.subset.selected if number in first.selected}
    played(fleet, 3)
    assert most(fleet, "open_most") <= CONNECTIONS


def test_a_subset_that_is_all_down_is_replaced_before_the_next_request() -> None:
    fleet = settled(replace(PLAN, instances=40, clients=replace(PLAN.clients, per_s=100.0)))
    instance = fleet.instances[0]
    for number in list(instance.subset.selected):
        fleet.tell_all(Endpoint(number, EndpointStatus.REMOVED))
    fleet.play(1)  # what was open ends
    before = served(fleet)
    fleet.clients.ask(instance)
    fleet.play(1)
    assert served(fleet) == before + 1
