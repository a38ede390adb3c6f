"""Affinity: requests prefer the same endpoint while it has a free slot, and keep all other rules."""

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


def hash_ring(*weights: float) -> HashRing:
    ring = HashRing()
    for number, weight in enumerate(weights, 1):
        ring.put(number, ("127.0.0.1", 9000 + number), weight)
    return ring


def first_choices(ring: HashRing) -> dict[bytes, int]:
    return {key: ring.preferred(key)[0] for key in KEYS}


def test_keys_are_spread_by_weight() -> None:
    counts = Counter(first_choices(hash_ring(1, 1, 2)).values())
    shares = [counts[number] / len(KEYS) for number in (1, 2, 3)]
    assert all(
        abs(share - expected) < 0.08 for share, expected in zip(shares, (0.25, 0.25, 0.5), strict=True)
    )


def test_a_removed_endpoint_moves_only_its_own_keys_and_gets_them_back_when_added() -> None:
    ring = hash_ring(1, 1, 1, 1, 1)
    before, second_choices = first_choices(ring), {key: ring.preferred(key)[1] for key in KEYS}
    ring.discard(3)
    after = first_choices(ring)
    assert all(
        after[key] == (second_choices[key] if endpoint_id == 3 else endpoint_id)
        for key, endpoint_id in before.items()
    )
    ring.put(3, ("127.0.0.1", 9003), 1.0)
    assert first_choices(ring) == before


def test_instances_agree_whatever_ids_endpoints_have() -> None:
    one, other = hash_ring(1, 1, 1), HashRing()
    for number in (3, 1, 2):
        other.put(number + 70, ("127.0.0.1", 9000 + number), 1.0)
    assert [tuple(endpoint_id + 70 for endpoint_id in one.preferred(key)) for key in KEYS] == [
        other.preferred(key) for key in KEYS
    ]


def test_an_empty_key_or_an_empty_ring_prefers_no_endpoint() -> None:
    assert hash_ring(1, 1).preferred(b"") == ()
    assert HashRing().preferred(b"x") == ()
    assert hash_ring(1).preferred(b"x") == (1,)


def test_the_points_of_a_ring_are_bounded() -> None:
    ring = hash_ring(*[1.0] * 3000, 1000.0)
    assert ring.preferred(b"x")
    assert len(ring.points) <= 20_000


def test_the_key_of_a_request_by_source() -> None:
    request_fields = ("10.0.0.1", "shop", b"/a/b?c=d", [(b"X-User", b"7"), (b"x-user", b"8")])
    assert [Affinity(source, b"x-user").key_of(*request_fields) for source in AffinitySource] == [
        b"10.0.0.1",
        b"shop",
        b"/a/b",
        b"7,8",
    ]
    assert Affinity(AffinitySource.HEADER, b"x-none").key_of(*request_fields) == b""


def make_load_balancer(endpoints: int = 3, **overrides: object) -> LoadBalancer:
    classes = [
        RequestClass("read", SECOND, 4 * SECOND),
        RequestClass("buy", SECOND, 4 * SECOND, effect="at_most_once"),
    ]
    load_balancer = LoadBalancer(Settings(classes, max_attempts=3, **overrides), 1, SECOND)  # type: ignore[arg-type]
    endpoint_list = [Endpoint(number) for number in range(1, endpoints + 1)]
    load_balancer.handle(SECOND, EndpointsUpdated(ListKind.FULL, endpoint_list))
    return load_balancer


def sent(load_balancer: LoadBalancer, now_us: int, event: Event) -> list[int]:
    return [action.endpoint_id for action in load_balancer.handle(now_us, event) if isinstance(action, Send)]


def test_the_preferred_endpoint_gets_each_request_while_it_has_a_free_slot() -> None:
    load_balancer = make_load_balancer()
    now_us = SECOND
    for request_id in range(1, 200):
        now_us += 10_000
        assert sent(
            load_balancer, now_us, RequestArrived(request_id, now_us + 4 * SECOND, preferred=(2, 3))
        ) == [2]
        load_balancer.handle(now_us + 1000, AttemptEnded(request_id, 0, 2, Outcome.OK, 1000, True))


def test_without_a_free_slot_the_second_choice_and_then_any_endpoint_is_used() -> None:
    load_balancer = make_load_balancer()
    requests = [RequestArrived(request_id, 5 * SECOND, preferred=(2, 3)) for request_id in (1, 2, 3)]
    found = [sent(load_balancer, SECOND, event) for event in requests]
    assert found == [[2], [3], [1]]


def test_a_draining_removed_or_excluded_endpoint_is_not_preferred() -> None:
    for change in ([Endpoint(2, EndpointStatus.DRAINING)], [Endpoint(2, EndpointStatus.REMOVED)]):
        load_balancer = make_load_balancer()
        load_balancer.handle(SECOND, EndpointsUpdated(ListKind.DELTA, change))
        assert sent(load_balancer, SECOND, RequestArrived(1, 5 * SECOND, preferred=(2,)))[0] != 2
    excluding = RequestArrived(1, 5 * SECOND, excluded=frozenset((2,)), preferred=(2,))
    assert sent(make_load_balancer(), SECOND, excluding)[0] != 2


def test_a_cold_endpoint_gets_no_more_than_its_share_by_being_preferred() -> None:
    """All requests of a second prefer it, and it gets what the responses of the warm endpoints allow."""

    def requests_to_cold_endpoint(preferred: tuple[int, ...]) -> int:
        load_balancer = make_load_balancer(
            5,
            warm_up_initial_capacity=0.2,
            warm_up_us=10 * SECOND,
            overload_factor=2.0,
            overload_duration_us=2 * SECOND,
        )
        load_balancer.handle(SECOND, EndpointsUpdated(ListKind.DELTA, [Endpoint(1, started_us=SECOND)]))
        count, now_us = 0, SECOND
        for request_id in range(1, 201):
            now_us += 5_000
            event = RequestArrived(request_id, now_us + 4 * SECOND, preferred=preferred)
            for endpoint_id in sent(load_balancer, now_us, event):
                count += endpoint_id == 1
                load_balancer.handle(now_us, AttemptEnded(request_id, 0, endpoint_id, Outcome.OK, 1000, True))
        return count

    # its share is a fifth of one of 4.2 endpoints, or 10 of 200 requests; without the bound it would be 200
    assert requests_to_cold_endpoint((1,)) <= 1.3 * 200 * 0.2 / 4.2
    assert requests_to_cold_endpoint(()) <= 1.3 * 200 * 0.2 / 4.2


def test_a_retry_goes_to_another_endpoint() -> None:
    load_balancer = make_load_balancer()
    assert sent(load_balancer, SECOND, RequestArrived(1, 5 * SECOND, preferred=(2,))) == [2]
    retried_to = sent(load_balancer, SECOND, AttemptEnded(1, 0, 2, Outcome.REJECTED, 100))
    assert len(retried_to) == 1
    assert retried_to != [2]


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
    load_balancer = make_load_balancer(4)
    now_us = SECOND
    # unsafe requests that may have run; a freed slot may cause the sending of another request
    ran: set[int] = set()
    for request_id, (preferred, kind, outcome, pause_us) in enumerate(steps, 1):
        now_us += pause_us
        event: Event = RequestArrived(
            request_id, now_us + 4 * SECOND, class_index=int(kind > 1), preferred=(preferred,)
        )
        for attempt in range(4):
            sends = [action for action in load_balancer.handle(now_us, event) if isinstance(action, Send)]
            assert not ran & {send.request for send in sends}
            own_endpoints = [send.endpoint_id for send in sends if send.request == request_id]
            if not own_endpoints:
                break
            if kind > 1 and outcome not in NEVER_RAN:
                ran.add(request_id)
            event = AttemptEnded(request_id, attempt, own_endpoints[0], outcome, 1000, outcome is Outcome.OK)
