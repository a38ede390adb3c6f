"""WebSocket sessions with simulated time: close causes, capacity, drains, random orders of events."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.websocket_messages import (
    CLIENT,
    SERVER,
    Abort,
    Action,
    CloseCause,
    CloseConnection,
    CloseReceived,
    ConnectionLost,
    DeclineEndpoint,
    EndpointAssigned,
    EndpointChange,
    EndpointChanged,
    Event,
    HandshakeAbandoned,
    HandshakeAccepted,
    HandshakeFailed,
    HandshakeRequested,
    HandshakeSent,
    ProtocolViolated,
    RejectHandshake,
    SendClose,
    SendPing,
    SessionEnded,
    SessionLimits,
    SessionOpened,
    SessionsWithdrawn,
    SetTimer,
    ShutdownStarted,
    Side,
    TimerFired,
    WritingPaused,
    WritingResumed,
)
from plovertrail.decisions.websocket_session import Phase
from plovertrail.decisions.websocket_sessions import BATCH_SIZE, WebSocketSessions

SECOND = 1_000_000
LIMITS = SessionLimits(
    max_message=1000,
    messages_per_s=10.0,
    burst=5,
    lifetime_us=0,
    idle_us=100 * SECOND,
    ping_interval_us=20 * SECOND,
    pong_timeout_us=10 * SECOND,
    write_timeout_us=8 * SECOND,
    drain_grace_us=5 * SECOND,
    close_spread_us=10 * SECOND,
    close_timeout_us=3 * SECOND,
)
ENDPOINT = ("main", 1)


class Simulation:
    """The sessions of a daemon with a simulated clock and timer; records all actions with their times."""

    def __init__(self, limits: SessionLimits = LIMITS, per_endpoint: int = 100, per_pool: int = 1000) -> None:
        self.sessions = WebSocketSessions(1)
        self.sessions.configure({"main": per_endpoint}, {"main": per_pool})
        self.limits = limits
        self.now_us = SECOND
        self.timer_us = 0
        self.recorded: list[tuple[int, Action]] = []

    def handle(self, event: Event) -> list[Action]:
        actions = self.sessions.handle(self.now_us, event)
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.at_us > self.now_us - 1
                self.timer_us = action.at_us
            self.recorded.append((self.now_us, action))
        return actions

    def run(self, until_us: int) -> None:
        """Advance the time, and fire the timers that are due."""
        while self.timer_us and self.timer_us <= until_us:
            self.now_us, self.timer_us = self.timer_us, 0
            self.handle(TimerFired())
        self.now_us = until_us

    def request(self, session_id: int = 1, tenant: bytes = b"") -> list[Action]:
        return self.handle(HandshakeRequested(session_id, self.limits, tenant))

    def assign(self, session_id: int = 1, endpoint: tuple[str, int] = ENDPOINT) -> bool:
        """Assign an endpoint to a session; return whether its handshake was sent."""
        if any(
            isinstance(action, DeclineEndpoint)
            for action in self.handle(EndpointAssigned(session_id, endpoint))
        ):
            return False
        self.handle(HandshakeSent(session_id))
        return True

    def open(self, session_id: int = 1, endpoint: tuple[str, int] = ENDPOINT, tenant: bytes = b"") -> None:
        self.request(session_id, tenant)
        assert self.assign(session_id, endpoint)
        assert not any(
            isinstance(action, DeclineEndpoint) for action in self.handle(HandshakeAccepted(session_id))
        )
        self.handle(SessionOpened(session_id))

    def actions_of(self, kind: type) -> list[tuple[int, Action]]:
        return [(at_us, action) for at_us, action in self.recorded if isinstance(action, kind)]

    def closes_sent(self, side: Side) -> list[tuple[int, int]]:
        """Return the times and codes of the close frames that were sent to a peer."""
        return [
            (at_us, action.code)
            for at_us, action in self.recorded
            if isinstance(action, SendClose) and action.side is side
        ]

    def causes(self) -> list[CloseCause | None]:
        return [action.session.cause for _, action in self.recorded if isinstance(action, SessionEnded)]

    def finish(self, session_id: int = 1) -> None:
        """Let both peers reply with a close frame and close their connections."""
        for side in Side:
            self.handle(CloseReceived(session_id, side, 1000))
        for side in Side:
            self.handle(ConnectionLost(session_id, side))


def test_a_session_goes_through_its_phases_and_ends_once() -> None:
    simulation = Simulation()
    simulation.request()
    session = simulation.sessions.sessions[1]
    phases = [session.phase]
    simulation.handle(EndpointAssigned(1, ENDPOINT))
    phases.append(session.phase)
    for event in (HandshakeSent(1), HandshakeAccepted(1), SessionOpened(1), CloseReceived(1, CLIENT, 1000)):
        simulation.handle(event)
        phases.append(session.phase)
    simulation.handle(CloseReceived(1, SERVER, 1000))
    simulation.handle(ConnectionLost(1, SERVER))
    simulation.handle(ConnectionLost(1, CLIENT))
    assert phases == [
        Phase.REQUESTED,
        Phase.ASSIGNED,
        Phase.HANDSHAKE,
        Phase.HANDSHAKE,
        Phase.OPEN,
        Phase.CLOSING,
    ]
    assert simulation.causes() == [CloseCause.CLIENT_CLOSED]
    assert session.phase is Phase.ENDED
    assert {
        action.side
        for _, action in simulation.actions_of(CloseConnection)
        if isinstance(action, CloseConnection)
    } == {CLIENT, SERVER}
    assert not simulation.sessions.sessions
    assert not simulation.sessions.capacity.by_endpoint
    assert not simulation.sessions.capacity.by_tenant


def test_a_close_is_forwarded_with_its_code_and_reason() -> None:
    simulation = Simulation()
    simulation.open()
    assert simulation.handle(CloseReceived(1, SERVER, 4321, "done"))[0] == SendClose(1, CLIENT, 4321, "done")
    assert not simulation.closes_sent(SERVER)
    simulation.handle(CloseReceived(1, CLIENT, 4321))
    assert simulation.closes_sent(SERVER) == [(SECOND, 4321)]
    simulation.finish()
    assert simulation.causes() == [CloseCause.SERVER_CLOSED]


def test_a_client_that_closes_is_answered_although_the_server_is_unresponsive() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.handle(CloseReceived(1, CLIENT, 1000))
    simulation.run(SECOND + LIMITS.close_timeout_us)
    assert simulation.closes_sent(CLIENT) == [(SECOND + LIMITS.close_timeout_us, 1000)]
    assert simulation.actions_of(Abort)
    assert simulation.causes() == [CloseCause.CLIENT_CLOSED]


def test_a_server_lost_during_the_closing_handshake_leaves_the_client_its_reply() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.handle(CloseReceived(1, CLIENT, 1001))
    simulation.handle(ConnectionLost(1, SERVER))
    assert simulation.closes_sent(CLIENT) == [(SECOND, 1001)]
    simulation.handle(ConnectionLost(1, CLIENT))
    assert simulation.causes() == [CloseCause.CLIENT_CLOSED]


@pytest.mark.parametrize(
    ("event", "client", "server", "cause"),
    [
        (ConnectionLost(1, CLIENT), [], [1001], CloseCause.CLIENT_LOST),
        (ConnectionLost(1, SERVER), [1012], [], CloseCause.SERVER_LOST),
        (
            ProtocolViolated(1, CloseCause.CLIENT_PROTOCOL_ERROR, 1007, "no UTF-8"),
            [1007],
            [1001],
            CloseCause.CLIENT_PROTOCOL_ERROR,
        ),
        (
            ProtocolViolated(1, CloseCause.SERVER_PROTOCOL_ERROR, 1002),
            [1011],
            [1002],
            CloseCause.SERVER_PROTOCOL_ERROR,
        ),
        (
            ProtocolViolated(1, CloseCause.CLIENT_MESSAGE_TOO_BIG),
            [1009],
            [1001],
            CloseCause.CLIENT_MESSAGE_TOO_BIG,
        ),
        (
            ProtocolViolated(1, CloseCause.SERVER_MESSAGE_TOO_BIG),
            [1011],
            [1009],
            CloseCause.SERVER_MESSAGE_TOO_BIG,
        ),
        (
            ProtocolViolated(1, CloseCause.MESSAGE_RATE_EXCEEDED),
            [1008],
            [1001],
            CloseCause.MESSAGE_RATE_EXCEEDED,
        ),
        (EndpointChanged(ENDPOINT, EndpointChange.REMOVED), [1012], [1001], CloseCause.ENDPOINT_REMOVED),
    ],
)
def test_each_cause_has_a_close_code_for_each_peer(
    event: Event, client: list[int], server: list[int], cause: CloseCause
) -> None:
    simulation = Simulation()
    simulation.open()
    simulation.handle(event)
    simulation.run(simulation.now_us + 1000)
    assert [code for _, code in simulation.closes_sent(CLIENT)] == client
    assert [code for _, code in simulation.closes_sent(SERVER)] == server
    simulation.finish()
    assert simulation.causes() == [cause]


def test_a_client_that_sends_too_much_while_closing_is_not_aborted() -> None:
    simulation = Simulation()
    simulation.open()
    for _ in range(3):
        simulation.handle(ProtocolViolated(1, CloseCause.MESSAGE_RATE_EXCEEDED))
    assert not simulation.actions_of(Abort)
    assert len(simulation.closes_sent(CLIENT)) == 1
    simulation.finish()
    assert simulation.causes() == [CloseCause.MESSAGE_RATE_EXCEEDED]


def test_a_peer_that_breaks_the_protocol_while_closing_is_aborted() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.handle(CloseReceived(1, SERVER, 1000))
    simulation.handle(ProtocolViolated(1, CloseCause.CLIENT_PROTOCOL_ERROR, 1002))
    assert simulation.actions_of(Abort)
    assert simulation.causes() == [CloseCause.SERVER_CLOSED]


# Drains, removals, shutdown


def test_drained_sessions_get_a_grace_and_then_a_close_spread_over_the_window() -> None:
    simulation = Simulation()
    for session_id in range(1, 101):
        simulation.open(session_id)
    drain_started_us = simulation.now_us
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.DRAINING))
    assert not simulation.closes_sent(CLIENT)
    simulation.run(drain_started_us + 60 * SECOND)
    times = [at_us - drain_started_us for at_us, code in simulation.closes_sent(CLIENT) if code == 1012]
    assert len(times) == 100
    assert min(times) >= LIMITS.drain_grace_us
    assert max(times) <= LIMITS.drain_grace_us + LIMITS.close_spread_us + 10_000
    close_counts = [sum(1 for at in times if at < LIMITS.drain_grace_us + LIMITS.close_spread_us // 2), 50]
    assert 30 <= close_counts[0] <= 70
    assert [code for _, code in simulation.closes_sent(SERVER)] == [1001] * 100
    assert simulation.causes() == [CloseCause.ENDPOINT_DRAINING] * 100
    assert len(simulation.actions_of(Abort)) == 100
    last_us = max(at_us for at_us, _ in simulation.actions_of(Abort))
    assert last_us <= drain_started_us + LIMITS.max_drain_us
    reasons = {
        action.reason
        for _, action in simulation.actions_of(SendClose)
        if isinstance(action, SendClose) and action.side is CLIENT
    }
    assert all("retry-after=" in reason for reason in reasons)
    assert len(reasons) > 10


def test_a_session_that_ends_by_itself_during_the_grace_is_not_closed() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.DRAINING))
    simulation.handle(CloseReceived(1, CLIENT, 1000))
    simulation.finish()
    simulation.run(60 * SECOND)
    assert simulation.causes() == [CloseCause.CLIENT_CLOSED]
    assert simulation.closes_sent(CLIENT) == [(SECOND, 1000)]


def test_a_cancelled_drain_closes_nothing() -> None:
    simulation = Simulation(replace(LIMITS, lifetime_us=50 * SECOND, ping_interval_us=90 * SECOND))
    simulation.open()
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.DRAINING))
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.READY))
    simulation.sessions.sessions[1].last_message_us = 40 * SECOND
    simulation.run(45 * SECOND)
    assert simulation.sessions.sessions[1].phase is Phase.OPEN
    simulation.run(56 * SECOND)
    assert simulation.causes() == [CloseCause.MAX_LIFETIME]


def test_a_drain_waits_a_limited_time_for_the_end_of_a_message() -> None:
    simulation = Simulation(replace(LIMITS, drain_grace_us=0, close_spread_us=0))
    for session_id in (1, 2):
        simulation.open(session_id)
        simulation.sessions.sessions[session_id].message_part_received(
            CLIENT, simulation.now_us, 10, final=False
        )
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.DRAINING))
    simulation.run(2 * SECOND)
    assert not simulation.closes_sent(CLIENT)
    simulation.sessions.sessions[1].message_part_received(CLIENT, simulation.now_us, 10, final=True)
    simulation.run(2 * SECOND + 100_000)
    assert len(simulation.closes_sent(CLIENT)) == 1
    simulation.run(SECOND + LIMITS.close_timeout_us + 100_000)
    assert len(simulation.closes_sent(CLIENT)) == 2


def test_a_handshake_in_flight_to_a_draining_endpoint_opens_no_session() -> None:
    simulation = Simulation()
    simulation.request(1)
    simulation.assign(1)
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.DRAINING))
    assert simulation.handle(HandshakeAccepted(1)) == [DeclineEndpoint(1)]
    simulation.handle(HandshakeFailed(1))
    assert simulation.assign(1, ("main", 2))
    assert not any(isinstance(action, DeclineEndpoint) for action in simulation.handle(HandshakeAccepted(1)))


def test_sessions_of_a_removed_endpoint_close_at_once_in_batches() -> None:
    simulation = Simulation()
    simulation.sessions.configure({"main": 5000}, {"main": 5000})
    for session_id in range(1, 2001):
        simulation.open(session_id)
    drain_started_us = simulation.now_us
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.REMOVED))
    simulation.run(drain_started_us + 500_000)
    times = [at_us for at_us, code in simulation.closes_sent(CLIENT) if code == 1012]
    assert len(times) == 2000
    assert max(times) - drain_started_us < 200_000
    assert max(times.count(at_us) for at_us in set(times)) <= BATCH_SIZE


def test_a_removal_waits_neither_for_a_message_nor_for_a_drain() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.sessions.sessions[1].message_part_received(SERVER, simulation.now_us, 10, final=False)
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.DRAINING))
    simulation.handle(EndpointChanged(ENDPOINT, EndpointChange.REMOVED))
    simulation.run(SECOND + 1000)
    assert [code for _, code in simulation.closes_sent(CLIENT)] == [1012]


def test_a_shutdown_ends_all_sessions_in_bounded_time_and_rejects_new_ones() -> None:
    simulation = Simulation()
    for session_id in range(1, 21):
        simulation.open(session_id)
    simulation.request(50)
    simulation.assign(50)
    simulation.handle(ShutdownStarted())
    rejection = simulation.request(60)[0]
    assert isinstance(rejection, RejectHandshake)
    assert rejection.cause is CloseCause.SHUTTING_DOWN
    assert rejection.retry_after_us > 0
    simulation.handle(HandshakeAccepted(50))
    simulation.handle(SessionOpened(50))  # its handshake was in flight; it is closed with the others
    simulation.run(SECOND + LIMITS.max_drain_us + 10_000)
    assert sorted(str(cause) for cause in simulation.causes()) == sorted(
        [str(CloseCause.SHUTDOWN)] * 21 + [str(CloseCause.SHUTTING_DOWN)]
    )


def test_a_withdrawn_session_is_drained_once_it_is_open() -> None:
    simulation = Simulation()
    simulation.open(1)
    simulation.request(2)
    simulation.assign(2)
    simulation.handle(SessionsWithdrawn([1, 2, 99]))
    simulation.handle(SessionOpened(2))
    simulation.run(60 * SECOND)
    assert simulation.causes() == [CloseCause.ROUTE_REMOVED] * 2


# Capacity


def test_a_full_endpoint_has_capacity_again_when_a_session_ends() -> None:
    simulation = Simulation(per_endpoint=2)
    simulation.open(1)
    assert simulation.sessions.full_endpoints("main") == set()
    simulation.open(2)
    assert simulation.sessions.full_endpoints("main") == {1}
    assert not simulation.sessions.capacity.any_has_capacity("main", {1})
    assert simulation.sessions.capacity.any_has_capacity("main", {1, 2})
    simulation.request(3)
    assert not simulation.assign(3)
    simulation.handle(HandshakeAbandoned(3, CloseCause.HTTP_RESPONSE))
    assert simulation.causes() == [CloseCause.HTTP_RESPONSE]
    simulation.handle(CloseReceived(1, CLIENT, 1000))
    simulation.finish(1)
    assert simulation.sessions.full_endpoints("main") == set()
    assert simulation.sessions.capacity.any_has_capacity("main", {1})


def test_a_handshake_counts_from_its_assignment_until_it_fails() -> None:
    simulation = Simulation(per_endpoint=1)
    simulation.request(1)
    simulation.assign(1)
    assert simulation.sessions.full_endpoints("main") == {1}
    simulation.handle(HandshakeFailed(1))
    assert simulation.sessions.full_endpoints("main") == set()
    assert not simulation.sessions.capacity.by_endpoint


def test_a_pool_has_a_bound_over_all_its_endpoints() -> None:
    simulation = Simulation(per_endpoint=5, per_pool=3)
    for session_id, number in ((1, 1), (2, 2), (3, 3)):
        simulation.open(session_id, ("main", number))
    assert not simulation.sessions.capacity.any_has_capacity("main", {1, 2, 3, 4})
    simulation.request(4)
    assert not simulation.assign(4, ("main", 4))
    assert not simulation.sessions.capacity.any_has_capacity("other", {1})


def test_new_bounds_count_open_sessions() -> None:
    simulation = Simulation(per_endpoint=2)
    simulation.open(1)
    simulation.open(2)
    simulation.sessions.configure({"main": 3}, {"main": 10})
    assert simulation.sessions.full_endpoints("main") == set()
    simulation.sessions.configure({"main": 1}, {"main": 10})
    assert simulation.sessions.full_endpoints("main") == {1}


def test_a_tenant_has_a_bound_of_its_own() -> None:
    simulation = Simulation(replace(LIMITS, max_per_tenant=2))
    simulation.open(1, tenant=b"a")
    simulation.open(2, tenant=b"a")
    rejection = simulation.request(3, tenant=b"a")[0]
    assert isinstance(rejection, RejectHandshake)
    assert rejection.cause is CloseCause.TENANT_LIMIT
    simulation.open(4, tenant=b"b")
    simulation.handle(CloseReceived(1, CLIENT, 1000))
    simulation.finish(1)
    simulation.open(5, tenant=b"a")


# Peers


def test_messages_over_the_rate_or_the_size_close_the_session() -> None:
    simulation = Simulation()
    simulation.open()
    session = simulation.sessions.sessions[1]
    assert [session.message_part_received(CLIENT, SECOND, 1, final=True) for _ in range(6)] == [None] * 5 + [
        CloseCause.MESSAGE_RATE_EXCEEDED
    ]
    assert [session.message_part_received(SERVER, SECOND, 1, final=True) for _ in range(50)] == [None] * 50
    assert session.message_part_received(CLIENT, 3 * SECOND, 600, final=False) is None
    assert (
        session.message_part_received(CLIENT, 3 * SECOND, 600, final=False)
        is CloseCause.CLIENT_MESSAGE_TOO_BIG
    )
    assert (
        session.message_part_received(SERVER, 3 * SECOND, 1001, final=True)
        is CloseCause.SERVER_MESSAGE_TOO_BIG
    )


def test_the_token_bucket_refills_up_to_the_burst() -> None:
    simulation = Simulation()
    simulation.open()
    session = simulation.sessions.sessions[1]
    assert all(
        session.count_message(CLIENT, SECOND + number * SECOND // 10) is None for number in range(1, 200)
    )
    assert [session.count_message(CLIENT, 100 * SECOND) for _ in range(6)].count(None) == 5


def test_a_quiet_peer_is_pinged_and_an_unresponsive_one_closes_the_session() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.run(SECOND + 20 * SECOND)
    assert simulation.actions_of(SendPing) == [
        (21 * SECOND, SendPing(1, CLIENT)),
        (21 * SECOND, SendPing(1, SERVER)),
    ]
    simulation.sessions.sessions[1].received(SERVER, 22 * SECOND)
    simulation.run(SECOND + 30 * SECOND)
    assert simulation.closes_sent(CLIENT) == [(31 * SECOND, 1001)]
    assert simulation.closes_sent(SERVER) == [(31 * SECOND, 1001)]
    simulation.finish()
    assert simulation.causes() == [CloseCause.CLIENT_UNRESPONSIVE]


def test_an_unresponsive_server_makes_the_client_reconnect() -> None:
    simulation = Simulation()
    simulation.open()
    simulation.run(SECOND + 20 * SECOND)
    simulation.sessions.sessions[1].received(CLIENT, 22 * SECOND)
    simulation.run(SECOND + 30 * SECOND)
    assert [code for _, code in simulation.closes_sent(CLIENT)] == [1012]
    simulation.run(SECOND + 40 * SECOND)
    assert simulation.causes() == [CloseCause.SERVER_UNRESPONSIVE]


def test_a_peer_that_is_not_read_is_not_unresponsive() -> None:
    simulation = Simulation(replace(LIMITS, write_timeout_us=60 * SECOND))
    simulation.open()
    simulation.handle(WritingPaused(1, SERVER))
    simulation.run(SECOND + 55 * SECOND)
    assert not [
        action
        for _, action in simulation.actions_of(SendPing)
        if isinstance(action, SendPing) and action.side is CLIENT
    ]
    simulation.sessions.sessions[1].received(SERVER, simulation.now_us)
    simulation.handle(WritingResumed(1, SERVER))
    simulation.run(SECOND + 58 * SECOND)
    assert simulation.sessions.sessions[1].phase is Phase.OPEN


@pytest.mark.parametrize(
    ("side", "codes", "cause"),
    [(CLIENT, (1008, 1001), CloseCause.CLIENT_SLOW), (SERVER, (1013, 1008), CloseCause.SERVER_SLOW)],
)
def test_a_slow_reader_closes_the_session_after_the_write_timeout(
    side: Side, codes: tuple[int, int], cause: CloseCause
) -> None:
    simulation = Simulation()
    simulation.open()
    simulation.handle(WritingPaused(1, side))
    simulation.run(SECOND + LIMITS.write_timeout_us - 1)
    assert not simulation.closes_sent(CLIENT)
    simulation.run(SECOND + LIMITS.write_timeout_us + 1)
    assert (
        [code for _, code in simulation.closes_sent(CLIENT)],
        [code for _, code in simulation.closes_sent(SERVER)],
    ) == (
        [codes[0]],
        [codes[1]],
    )
    simulation.run(60 * SECOND)
    assert simulation.causes() == [cause]


def test_a_peer_that_reads_again_in_time_stays() -> None:
    simulation = Simulation()
    simulation.open()
    for _ in range(3):
        simulation.handle(WritingPaused(1, CLIENT))
        simulation.run(simulation.now_us + LIMITS.write_timeout_us - 1000)
        simulation.handle(WritingResumed(1, CLIENT))
        simulation.sessions.sessions[1].received(SERVER, simulation.now_us)
    assert simulation.sessions.sessions[1].phase is Phase.OPEN


def test_idle_and_lifetime() -> None:
    simulation = Simulation(replace(LIMITS, idle_us=15 * SECOND))
    simulation.open()
    simulation.run(SECOND + 10 * SECOND)
    simulation.sessions.sessions[1].message_part_received(CLIENT, simulation.now_us, 1, final=True)
    simulation.run(SECOND + 20 * SECOND)
    assert not simulation.closes_sent(CLIENT)
    simulation.run(SECOND + 26 * SECOND)
    assert simulation.closes_sent(CLIENT) == [(26 * SECOND, 1001)]
    simulation = Simulation(replace(LIMITS, lifetime_us=15 * SECOND))
    simulation.open()
    simulation.run(SECOND + 16 * SECOND)
    assert simulation.closes_sent(CLIENT) == [(16 * SECOND, 1001)]


def test_stale_checks_stay_few_however_often_a_peer_blocks() -> None:
    simulation = Simulation()
    simulation.open()
    for _ in range(1000):
        simulation.handle(WritingPaused(1, CLIENT))
        simulation.handle(WritingResumed(1, CLIENT))
        simulation.now_us += 1000
    assert len(simulation.sessions.checks.heap) < 10


STEPS = """request assign sent failed accept open abandon close lost violation message_part paused resumed
endpoint withdraw wait configure"""
STEP_NAMES = st.sampled_from(STEPS.split())


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(STEP_NAMES, st.integers(1, 4), st.integers(0, 3)), max_size=80), st.booleans())
def test_in_any_order_of_events_each_session_ends_once_and_counts_stay_consistent(
    steps: list[tuple[str, int, int]], shut_down: bool
) -> None:
    simulation = Simulation(replace(LIMITS, max_per_tenant=3), per_endpoint=2, per_pool=3)
    requested: set[int] = set()
    for step, session_id, number in steps:
        side, endpoint = Side(number % 2), ("main", number % 2)
        events: dict[str, Event] = {
            "assign": EndpointAssigned(session_id, endpoint),
            "sent": HandshakeSent(session_id),
            "failed": HandshakeFailed(session_id),
            "accept": HandshakeAccepted(session_id),
            "open": SessionOpened(session_id),
            "abandon": HandshakeAbandoned(session_id, CloseCause.HTTP_RESPONSE),
            "close": CloseReceived(session_id, side, 1000 + number),
            "lost": ConnectionLost(session_id, side),
            "violation": ProtocolViolated(session_id, CloseCause.CLIENT_PROTOCOL_ERROR),
            "paused": WritingPaused(session_id, side),
            "resumed": WritingResumed(session_id, side),
            "endpoint": EndpointChanged(
                endpoint, (EndpointChange.READY, EndpointChange.DRAINING, EndpointChange.REMOVED)[number % 3]
            ),
            "withdraw": SessionsWithdrawn([session_id]),
        }
        if step == "request" and session_id not in requested:
            requested.add(session_id)
            simulation.request(session_id)
        elif step == "wait":
            simulation.run(simulation.now_us + number * 7 * SECOND)
        elif step == "configure":
            simulation.sessions.configure({"main": number}, {"main": 3})
        elif step == "message_part" and session_id in simulation.sessions.sessions:
            simulation.sessions.sessions[session_id].message_part_received(
                side, simulation.now_us, 300, bool(number % 2)
            )
        elif step in events:
            simulation.handle(events[step])
        sessions = simulation.sessions
        assert sum(sessions.capacity.by_tenant.values()) == len(sessions.sessions)
        assert sum(sessions.capacity.by_pool.values()) == sum(
            map(len, sessions.capacity.by_endpoint.values())
        )
    if shut_down:
        simulation.handle(ShutdownStarted())
        simulation.run(simulation.now_us + LIMITS.max_drain_us + SECOND)
        assert all(
            session.phase in (Phase.REQUESTED, Phase.ASSIGNED, Phase.HANDSHAKE)
            for session in simulation.sessions.sessions.values()
        )
    for session_id in list(simulation.sessions.sessions):
        simulation.handle(HandshakeAbandoned(session_id, CloseCause.CLIENT_LEFT_HANDSHAKE))
        simulation.handle(ConnectionLost(session_id, CLIENT))
        simulation.handle(ConnectionLost(session_id, SERVER))
    ended = [
        action.session.session_id for _, action in simulation.recorded if isinstance(action, SessionEnded)
    ]
    assert sorted(ended) == sorted(requested)
    assert not simulation.sessions.sessions
    assert not simulation.sessions.capacity.by_tenant
    assert not simulation.sessions.capacity.by_endpoint
    assert not any(simulation.sessions.capacity.by_pool.values())
    close_frames = [
        (action.session_id, action.side) for _, action in simulation.recorded if isinstance(action, SendClose)
    ]
    assert len(close_frames) == len(set(close_frames)), "two close frames to one peer"
