"""What requests prefer: the same server while it has a free slot, and never against a rule."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.actions import Send
from plovertrail.decisions.affinity import Affinity, AffinitySource, HashRing
from plovertrail.decisions.events import (
    AttemptEnded,
    Endpoint,
    EndpointStatus,
    EndpointsUpdated,
    Event,
    ListKind,
    Outcome,
    RequestArrived,
)
from plovertrail.decisions.load_balancing.balancer import LoadBalancer
from plovertrail.decisions.load_balancing.outcomes import NEVER_RAN
from plovertrail.decisions.settings import RequestClass, Settings

SECOND = 1_000_000
KEYS = [f"client{number}".encode() for number in range(4000)]


def ring(*weights: float) -> HashRing:
    made = HashRing()
    for number, weight in enumerate(weights, 1):
        made.put(number, ("127.0.0.1", 9000 + number), weight)
    return made


def firsts(made: HashRing) -> dict[bytes, int]:
    return {key: made.preferred(key)[0] for key in KEYS}


def test_keys_are_spread_by_weight() -> None:
    counts = Counter(firsts(ring(1, 1, 2)).values())
    parts = [counts[number] / len(KEYS) for number in (1, 2, 3)]
    assert all(abs(part - wanted) < 0.08 for part, wanted in zip(parts, (0.25, 0.25, 0.5), strict=True))


def test_a_server_that_goes_moves_its_own_keys_and_one_that_comes_takes_its_part() -> None:
    made = ring(1, 1, 1, 1, 1)
    before, seconds = firsts(made), {key: made.preferred(key)[1] for key in KEYS}
    made.discard(3)
    after = firsts(made)
    assert all(after[key] == (seconds[key] if server == 3 else server) for key, server in before.items())
    made.put(3, ("127.0.0.1", 9003), 1.0)
    assert firsts(made) == before


def test_instances_agree_whatever_numbers_servers_have() -> None:
    one, other = ring(1, 1, 1), HashRing()
    for number in (3, 1, 2):
        other.put(number + 70, ("127.0.0.1", 9000 + number), 1.0)
    assert [tuple(server + 70 for server in one.preferred(key)) for key in KEYS] == [
        other.preferred(key) for key in KEYS
    ]


def test_what_has_no_key_and_a_ring_with_no_servers_prefer_nothing() -> None:
    assert ring(1, 1).preferred(b"") == ()
    assert HashRing().preferred(b"x") == ()
    assert ring(1).preferred(b"x") == (1,)


def test_a_long_list_makes_no_long_ring() -> None:
    made = ring(*[1.0] * 3000, 1000.0)
    assert made.preferred(b"x")
    assert len(made.points) <= 20_000


def test_what_a_request_is_known_by() -> None:
    given = ("10.0.0.1", "shop", b"/a/b?c=d", [(b"X-User", b"7"), (b"x-user", b"8")])
    assert [Affinity(source, b"x-user").key_of(*given) for source in AffinitySource] == [
        b"10.0.0.1",
        b"shop",
        b"/a/b",
        b"7,8",
    ]
    assert Affinity(AffinitySource.HEADER, b"x-none").key_of(*given) == b""


def balancer(servers: int = 3, **more: object) -> LoadBalancer:
    kinds = [
        RequestClass("read", SECOND, 4 * SECOND),
        RequestClass("buy", SECOND, 4 * SECOND, effect="at_most_once"),
    ]
    made = LoadBalancer(Settings(kinds, max_attempts=3, **more), 1, SECOND)  # type: ignore[arg-type]
    listed = [Endpoint(number) for number in range(1, servers + 1)]
    made.handle(SECOND, EndpointsUpdated(ListKind.FULL, listed))
    return made


def sent(made: LoadBalancer, now_us: int, event: Event) -> list[int]:
    return [action.endpoint_id for action in made.handle(now_us, event) if isinstance(action, Send)]


def test_the_preferred_server_gets_each_request_while_it_has_a_free_slot() -> None:
    made = balancer()
    now_us = SECOND
    for ident in range(1, 200):
        now_us += 10_000
        assert sent(made, now_us, RequestArrived(ident, now_us + 4 * SECOND, preferred=(2, 3))) == [2]
        made.handle(now_us + 1000, AttemptEnded(ident, 0, 2, Outcome.OK, 1000, True))


def test_without_a_free_slot_there_the_second_choice_and_then_any() -> None:
    made = balancer()
    asked = [RequestArrived(ident, 5 * SECOND, preferred=(2, 3)) for ident in (1, 2, 3)]
    found = [sent(made, SECOND, event) for event in asked]
    assert found == [[2], [3], [1]]


def test_one_that_drains_is_gone_or_barred_is_not_preferred() -> None:
    for change in ([Endpoint(2, EndpointStatus.DRAINING)], [Endpoint(2, EndpointStatus.REMOVED)]):
        made = balancer()
        made.handle(SECOND, EndpointsUpdated(ListKind.DELTA, change))
        assert sent(made, SECOND, RequestArrived(1, 5 * SECOND, preferred=(2,)))[0] != 2
    barred = RequestArrived(1, 5 * SECOND, excluded=frozenset((2,)), preferred=(2,))
    assert sent(balancer(), SECOND, barred)[0] != 2


def test_a_cold_server_gets_no_more_than_its_part_by_being_preferred() -> None:
    """A second's requests that all prefer it: it gets what the warm ones' answers allow."""

    def got(preferred: tuple[int, ...]) -> int:
        made = balancer(
            5,
            warm_up_initial_capacity=0.2,
            warm_up_us=10 * SECOND,
            overload_factor=2.0,
            overload_duration_us=2 * SECOND,
        )
        made.handle(SECOND, EndpointsUpdated(ListKind.DELTA, [Endpoint(1, started_us=SECOND)]))
        count, now_us = 0, SECOND
        for ident in range(1, 201):
            now_us += 5_000
            event = RequestArrived(ident, now_us + 4 * SECOND, preferred=preferred)
            for server in sent(made, now_us, event):
                count += server == 1
                made.handle(now_us, AttemptEnded(ident, 0, server, Outcome.OK, 1000, True))
        return count

    # its part is a fifth of one of 4.2 servers, or 10 of 200; all would be 200
    assert got((1,)) <= 1.3 * 200 * 0.2 / 4.2
    assert got(()) <= 1.3 * 200 * 0.2 / 4.2


def test_a_request_that_is_tried_again_goes_elsewhere() -> None:
    made = balancer()
    assert sent(made, SECOND, RequestArrived(1, 5 * SECOND, preferred=(2,))) == [2]
    again = sent(made, SECOND, AttemptEnded(1, 0, 2, Outcome.REJECTED, 100))
    assert len(again) == 1
    assert again != [2]


@settings(max_examples=100, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.integers(1, 6),
            st.sampled_from([1, 1, 1, 2, 3]),
            st.sampled_from(list(Outcome)),
            st.integers(0, 300_000),
        ),
        max_size=60,
    )
)
def test_an_unsafe_request_is_never_repeated_for_a_preference(
    steps: list[tuple[int, int, Outcome, int]],
) -> None:
    made = balancer(4)
    now_us = SECOND
    ran: set[int] = set()  # unsafe requests that may have run; a slot that frees may bring another one's send
    for ident, (prefer, kind, outcome, pause_us) in enumerate(steps, 1):
        now_us += pause_us
        event: Event = RequestArrived(
            ident, now_us + 4 * SECOND, class_index=int(kind > 1), preferred=(prefer,)
        )
        for attempt in range(4):
            sends = [action for action in made.handle(now_us, event) if isinstance(action, Send)]
            assert not ran & {send.request for send in sends}
            mine = [send.endpoint_id for send in sends if send.request == ident]
            if not mine:
                break
            if kind > 1 and outcome not in NEVER_RAN:
                ran.add(ident)
            event = AttemptEnded(ident, attempt, mine[0], outcome, 1000, outcome is Outcome.OK)
