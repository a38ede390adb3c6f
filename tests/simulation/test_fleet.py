"""The model: the same end for the same seed, requests that add up, and a fleet that comes back."""

from __future__ import annotations

from dataclasses import replace

import pytest

from plovertrail.decisions import fleet_limits
from plovertrail.simulation.clients import BIN_US, ClientPlan
from plovertrail.simulation.clock import SECOND_US, START_US, Clock
from plovertrail.simulation.fleet import BINS, Fleet, FleetPlan
from plovertrail.simulation.servers import ServerPlan

PLAN = FleetPlan(instances=12, servers=4, clients=ClientPlan(per_s=200.0))


def played(plan: FleetPlan, seed: int = 1, seconds: float = 4.0) -> Fleet:
    fleet = Fleet(plan, seed)
    fleet.clients.play(START_US + int(seconds * SECOND_US))
    fleet.play(seconds)
    return fleet


def outage(plan: FleetPlan, with_state: bool, down_s: float = 1.0) -> tuple[Fleet, int]:
    """Seven in ten go and come again; the bin in which they do."""
    fleet = Fleet(plan, 1)
    fleet.clients.play(START_US + 14 * SECOND_US)
    fleet.play(4)
    down = range(plan.instances * 7 // 10)
    fleet.kill(down)
    fleet.play(down_s)
    fleet.start(down, with_state)
    back = fleet.clock.play_us // BIN_US
    fleet.play(14 - 4 - down_s + 3)
    return fleet, back


def test_things_due_at_one_moment_run_as_they_were_made_and_what_is_past_runs_next() -> None:
    clock, ran = Clock(), list[str]()
    clock.after(5, ran.append, "second")
    clock.after(5, ran.append, "third")
    clock.at(0, ran.append, "first")
    clock.run(START_US + 4)
    assert ran == ["first"]
    assert clock.now_us == START_US + 4
    clock.run(START_US + 5)
    assert ran == ["first", "second", "third"]


def test_a_seed_has_one_end_and_another_seed_another() -> None:
    def told(fleet: Fleet) -> tuple[object, ...]:
        requests = [dict(server.requests) for server in fleet.servers.values()]
        return fleet.clock.ran, dict(fleet.clients.served), requests

    assert told(played(PLAN)) == told(played(PLAN)) != told(played(PLAN, seed=2))


def test_each_try_has_one_answer_and_nothing_is_left() -> None:
    fleet, _ = outage(PLAN, with_state=True)
    clients = fleet.clients
    # each first try was served once, or given up, or its last try found nobody up
    assert sum(clients.came.values()) == sum(clients.made.values()) + clients.given_up
    assert not any(instance.owed for instance in fleet.instances)
    assert sum(clients.served.values()) == sum(clients.made.values())
    assert clients.late == 0


def test_connections_open_and_close_in_step_with_what_servers_count() -> None:
    fleet, _ = outage(replace(PLAN, bounds=fleet_limits.FleetLimits(2, 8, 50.0)), with_state=False)
    for number, server in fleet.servers.items():
        assert server.open == sum(instance.open[number] for instance in fleet.instances) >= 0


@pytest.mark.parametrize("with_state", [True, False])
def test_a_fleet_whose_instances_died_serves_as_before_within_seconds(with_state: bool) -> None:
    fleet, back = outage(PLAN, with_state)
    before = fleet.served_part(2 * BINS, 4 * BINS)
    assert before > 0.99
    assert fleet.served_part(back - 5, back) < 0.6 < before, "while they are down"
    assert fleet.back_after_s(back, 13 * BINS, 0.95 * before) <= 2.0


def test_an_overloaded_server_is_late_and_one_with_a_bounded_queue_turns_away() -> None:
    load = replace(PLAN, servers=1, server=ServerPlan(slots=1), clients=ClientPlan(per_s=150.0, tries=1))
    late = played(load)
    assert late.served_part(2 * BINS, 3 * BINS) < 0.5
    queue = replace(load.server, longest_queue=4)
    bounded = played(replace(load, server=queue))
    assert bounded.servers[1].in_work_most <= 7
    assert late.servers[1].in_work_most > 12


def test_a_server_that_thrashes_does_less_the_more_waits() -> None:
    load = replace(PLAN, servers=1, server=ServerPlan(slots=1), clients=ClientPlan(per_s=80.0, tries=1))
    plain, thrashing = played(load), played(replace(load, server=replace(load.server, thrash=0.5)))
    assert sum(thrashing.clients.served.values()) < 0.9 * sum(plain.clients.served.values())


def test_slow_start_keeps_the_work_at_servers_down_while_clients_come_back_at_once() -> None:
    """200 instances, the clients of 4 s come again within one: without it each would have one request at each
    server."""
    plan = FleetPlan(
        instances=200, servers=10, server=ServerPlan(thrash=0.02), clients=ClientPlan(per_s=1_200.0)
    )
    work, given_up = {}, {}
    for admits in (False, True):
        fleet, _ = outage(replace(plan, admits=admits), with_state=False, down_s=4.0)
        work[admits] = max(server.in_work_most for server in fleet.servers.values())
        given_up[admits] = fleet.clients.given_up
    assert work[True] < 0.8 * work[False]
    assert given_up[True] < given_up[False]
