"""The draw of a server beside that of the reference, which goes through all servers for each request."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks import reference_balance
from plovertrail.decisions.actions import CloseIdle
from plovertrail.decisions.events import (
    Endpoint,
    EndpointStatus,
    ListKind,
    Outcome,
    RequestArrived,
    TimerFired,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.class_exclusions import MAX_EXCLUDED_SHARE
from plovertrail.decisions.load_balancing.endpoint_selection import MIN_ACTIVE, SENDS_PER_S_PER_ACTIVE
from plovertrail.decisions.load_balancing.endpoint_state import EndpointState
from plovertrail.decisions.load_balancing.endpoint_table import PENALTY_SCALE
from plovertrail.decisions.load_balancing.request_state import RequestState
from plovertrail.decisions.load_balancing.slow_start import STALE_ENTRIES
from tests.decisions.load_balancing import harness as world
from tests.decisions.load_balancing.harness import World, upstreams

OUTCOMES = [
    Outcome.OK,
    Outcome.OK,
    Outcome.OK,
    Outcome.ERROR,
    Outcome.REJECTED,
    Outcome.RESET,
    Outcome.MALFORMED,
    Outcome.CONNECT_FAILED,
]
STEP = st.tuples(st.sampled_from(["arrive", "arrive", "end", "time", "list", "quit"]), st.integers(0, 2**16))


def choices(balancer: LoadBalancer, request: RequestState) -> dict[int, float]:
    """The servers that the reference would draw from, with their weights, in this module's state."""
    old = object.__new__(reference_balance.Balancer)
    old.settings, old.now_us = balancer.settings, balancer.now_us
    servers = list(balancer.endpoints.values())
    index = request.event.class_index
    resting = sum(1 for server in servers if balancer.now_us < server.excluded_until_us[index])
    some_rest = resting <= MAX_EXCLUDED_SHARE * len(servers)
    for pool in balancer.table.groups if balancer.retries.may_send(request, balancer.now_us) else []:
        if pool.admission.credit >= 1.0:
            mine = [server for server in servers if server.group is pool]
            cold, best, others = (
                free_slots(old, request, [server for server in mine if server.listed.id in group], some_rest)
                for group in (pool.warming, pool.active, pool.standby)
            )
            if len(pool.active) < MIN_ACTIVE + int(
                pool.admission.send_rate.per_second / SENDS_PER_S_PER_ACTIVE
            ):
                best, others = others, best
            found = cold or best or others
            if found:
                return found
    return {}


def free_slots(
    old: reference_balance.Balancer, request: RequestState, servers: list[EndpointState], some_rest: bool
) -> dict[int, float]:
    found = old.free_slots(request, servers, some_rest)  # type: ignore[arg-type]
    return {
        server.listed.id: share / (1.0 + server.failure_penalty / PENALTY_SCALE) ** 2  # type: ignore[attr-defined]
        for server, share in found
    }


def select(balancer: LoadBalancer, request: RequestState) -> EndpointState | None:
    """The endpoint that the balancer selects for a request now."""
    if not balancer.retries.may_send(request, balancer.now_us):
        return None
    balancer.reopener.reopen_due(balancer.now_us)
    return balancer.selector.select_endpoint(request, balancer.now_us)


def check_books(balancer: LoadBalancer) -> None:
    """What is kept is what going through all would find."""
    balancer.reopener.reopen_due(balancer.now_us)
    assert set(balancer.penalties.decay_at_us) == {
        n for n, server in balancer.endpoints.items() if server.failure_penalty
    }
    for index, count in enumerate(balancer.exclusions.counts):
        assert count == sum(
            1 for s in balancer.endpoints.values() if balancer.now_us < s.excluded_until_us[index]
        )
    for pool in balancer.table.groups:
        mine = {number for number, server in balancer.endpoints.items() if server.group is pool}
        groups = [set(pool.active), set(pool.standby), set(pool.warming)]
        assert set().union(*groups) == mine and sum(map(len, groups)) == len(mine)
        assert pool.capacity == pytest.approx(
            sum(balancer.table.relative_capacity(balancer.endpoints[n].listed) for n in mine)
        )
        assert set(pool.warming) == {
            n for n in mine if balancer.table.warm_up_fraction(balancer.endpoints[n], balancer.now_us) < 1.0
        }
    for kind in ("zone", "cell"):
        for number, server in balancer.endpoints.items():
            assert balancer.table.dedup_groups[kind, getattr(server.listed, kind)][number] is server
    assert sum(map(len, balancer.table.dedup_groups.values())) == 2 * len(balancer.endpoints)


def play(steps: list[tuple[str, int]], seed: int) -> World:
    """Let these things happen, and hold the books and the draw against the reference after each."""
    played = World(
        world.settings(
            warm_up_initial_capacity=0.3, warm_up_us=3_000_000, weighted=True, select_by_weight=True
        ),
        seed,
    )
    entries = [Endpoint(100 + i, zone=i // 2, cell=i // 2, weight=1.0 + i % 3) for i in range(8)]
    played.tell_list(entries)
    for what, number in steps:
        if what == "arrive":
            for _ in range(1 + number % 4):
                played.arrive(number % 3, key=number, excluded=frozenset((100,)) if number % 5 == 0 else ())
        elif what == "end":
            out = [(ident, n) for ident, owed in played.owed.items() for n in owed.out()]
            if out:
                played.end(*out[number % len(out)], OUTCOMES[number % len(OUTCOMES)])
        elif what == "time":
            played.advance((1, 1_000, 30_000, 200_000, 900_000)[number % 5])
        elif what == "quit":
            open_now = [ident for ident, owed in played.owed.items() if not owed.closed]
            if open_now:
                played.quit(open_now[number % len(open_now)])
        else:
            entry = entries[number % len(entries)]
            state = (EndpointStatus.READY, EndpointStatus.DRAINING, EndpointStatus.REMOVED)[number % 3]
            entry = entries[number % len(entries)] = Endpoint(
                entry.id,
                state,
                entry.zone,
                0,
                (entry.cell + number) % 4,
                1.0 + number % 4,
                played.now_us - number % 2_000_000 if number % 2 else 0,
            )
            played.tell_list([entry], ListKind.DELTA)
        check_books(played.balancer)
        for request in played.balancer.requests.values():
            if request.in_flight == 0 and not request.is_closed:
                expected = choices(played.balancer, request)
                drawn = select(played.balancer, request)
                assert (drawn is None) == (not expected) and (drawn is None or drawn.listed.id in expected)
    return played


@settings(max_examples=120, deadline=None)
@given(st.lists(STEP, max_size=60), st.integers(0, 1000))
def test_whatever_happens_the_books_are_right_and_the_draw_is_one_of_the_references(
    steps: list[tuple[str, int]], seed: int
) -> None:
    play(steps, seed)


@pytest.mark.parametrize("seed", range(6))
def test_servers_are_drawn_as_often_as_by_the_reference(seed: int) -> None:
    rng = random.Random(seed)
    kinds = ["arrive", "arrive", "arrive", "end", "end", "time", "list"]
    played = play([(rng.choice(kinds), rng.randrange(2**16)) for _ in range(150)], seed)
    balancer = played.balancer
    played.advance(100_000)
    for pool in balancer.table.groups:
        pool.admission.credit = 2.0
    for class_index in range(3):
        event = RequestArrived(9_999, balancer.now_us + 1_000_000, class_index)
        request = RequestState(event, balancer.settings.classes[class_index], balancer.now_us)
        expected = choices(balancer, request)
        count = 4_000
        drawn = Counter(server.listed.id for _ in range(count) if (server := select(balancer, request)))
        assert set(drawn) <= set(expected) and sum(drawn.values()) == (count if expected else 0)
        whole = sum(expected.values())
        for number, share in expected.items():
            usual = count * share / whole
            # four standard deviations, and a few for the rare ones
            assert abs(drawn[number] - usual) <= 4 * (usual * (1 - share / whole)) ** 0.5 + 4


def test_a_barred_server_is_never_drawn_and_with_all_barred_none_is() -> None:
    played = World()
    played.tell_list(upstreams(3))
    barred = frozenset((100, 102))
    idents = [played.arrive(0, excluded=barred) for _ in range(20)]
    assert {send.endpoint_id for ident in idents for send in played.sends(ident)} == {101}
    balancer = played.balancer
    event = RequestArrived(9_999, balancer.now_us + 1_000_000, excluded=frozenset((100, 101, 102)))
    request = RequestState(event, balancer.settings.classes[0], balancer.now_us)
    assert [select(balancer, request) for _ in range(50)] == [None] * 50


def test_the_count_of_muted_servers_follows_their_ends_and_the_list() -> None:
    played = World()
    played.tell_list(upstreams(4))
    balancer = played.balancer
    for number in (100, 101, 102):
        balancer.exclusions.exclude(balancer.endpoints[number], 0, played.now_us + 1_000 * number)
    balancer.exclusions.exclude(balancer.endpoints[100], 0, played.now_us + 500_000)  # for longer
    balancer.exclusions.exclude(balancer.endpoints[101], 0, 0)
    check_books(balancer)
    assert balancer.exclusions.counts[0] == 2
    played.tell_list([Endpoint(102, EndpointStatus.REMOVED)], ListKind.DELTA)
    check_books(balancer)
    assert balancer.exclusions.counts[0] == 1
    for after_us, count in ((499_999, 1), (2, 0)):
        played.advance(after_us)
        played.tell(TimerFired(0))  # the module learns the time
        check_books(balancer)
        assert balancer.exclusions.counts[0] == count


def test_a_retry_goes_to_one_not_tried_yet_as_long_as_there_is_one() -> None:
    played = World(world.settings(hedging=False))
    played.tell_list(upstreams(3))
    ident = played.arrive(0)
    seen = [played.sends(ident)[-1].endpoint_id]
    for attempt in range(3):
        played.end(ident, attempt, Outcome.CONNECT_FAILED)
        seen.append(played.sends(ident)[-1].endpoint_id)
    assert len(set(seen[:3])) == 3


def test_a_server_that_went_and_came_back_is_not_judged_by_its_old_requests() -> None:
    played = World()
    played.tell_list(upstreams(1))
    old = played.arrive(0)
    played.tell_list([Endpoint(100, EndpointStatus.REMOVED)], ListKind.DELTA)
    played.tell_list(upstreams(1), ListKind.DELTA)
    played.arrive(0)
    balancer = played.balancer
    assert 100 in balancer.table.groups[0].active and balancer.endpoints[100].in_flight == 1
    before = len(played.log)
    balancer.requests[old].attempts[0].endpoint.concurrency_limit = 0.01
    played.end(old, 0, Outcome.REJECTED)
    assert 100 in balancer.table.groups[0].active
    assert not [action for action in played.log[before:] if isinstance(action, CloseIdle)]
    check_books(balancer)


def test_without_traffic_servers_that_restart_over_and_over_leave_nothing_behind() -> None:
    played = World(world.settings(warm_up_us=1_000_000))
    for _ in range(300):
        played.tell_list(upstreams(4, started_us=played.now_us))
        played.advance(600_000)
    pool = played.balancer.table.groups[0]
    assert len(pool.warm_up) <= 2 * 4 + STALE_ENTRIES and len(played.balancer.rechecks) <= 12
    check_books(played.balancer)
    for _ in range(20):
        played.advance(100_000)
        ident = played.arrive(0)
        if played.sends(ident):
            played.end(ident, 0, Outcome.OK)
    assert len(played.sends()) > 10
