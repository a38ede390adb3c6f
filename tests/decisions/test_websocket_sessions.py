"""WebSocket sessions on a clock of their own: close causes, capacity, drains, any order of events."""

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

S = 1_000_000
LIMITS = SessionLimits(
    max_message=1000,
    messages_per_s=10.0,
    burst=5,
    lifetime_us=0,
    idle_us=100 * S,
    ping_interval_us=20 * S,
    pong_timeout_us=10 * S,
    write_timeout_us=8 * S,
    drain_grace_us=5 * S,
    close_spread_us=10 * S,
    close_timeout_us=3 * S,
)
ONE = ("main", 1)


class World:
    """A table, its clock and its timer; all actions, with their times."""

    def __init__(self, limits: SessionLimits = LIMITS, per_server: int = 100, per_pool: int = 1000) -> None:
        self.sessions = WebSocketSessions(1)
        self.sessions.configure({"main": per_server}, {"main": per_pool})
        self.limits = limits
        self.now_us = S
        self.timer_us = 0
        self.done: list[tuple[int, Action]] = []

    def tell(self, event: Event) -> list[Action]:
        actions = self.sessions.handle(self.now_us, event)
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.at_us > self.now_us - 1
                self.timer_us = action.at_us
            self.done.append((self.now_us, action))
        return actions

    def run(self, until_us: int) -> None:
        """Let time pass, with its timers."""
        while self.timer_us and self.timer_us <= until_us:
            self.now_us, self.timer_us = self.timer_us, 0
            self.tell(TimerFired())
        self.now_us = until_us

    def ask(self, ident: int = 1, tenant: bytes = b"") -> list[Action]:
        return self.tell(HandshakeRequested(ident, self.limits, tenant))

    def place(self, ident: int = 1, server: tuple[str, int] = ONE) -> bool:
        """Whether it went out."""
        if any(isinstance(action, DeclineEndpoint) for action in self.tell(EndpointAssigned(ident, server))):
            return False
        self.tell(HandshakeSent(ident))
        return True

    def open(self, ident: int = 1, server: tuple[str, int] = ONE, tenant: bytes = b"") -> None:
        self.ask(ident, tenant)
        assert self.place(ident, server)
        assert not any(isinstance(action, DeclineEndpoint) for action in self.tell(HandshakeAccepted(ident)))
        self.tell(SessionOpened(ident))

    def all(self, kind: type) -> list[tuple[int, Action]]:
        return [(at_us, action) for at_us, action in self.done if isinstance(action, kind)]

    def closes(self, side: Side) -> list[tuple[int, int]]:
        """When and with what code a side was told."""
        return [
            (at_us, action.code)
            for at_us, action in self.done
            if isinstance(action, SendClose) and action.side is side
        ]

    def causes(self) -> list[CloseCause | None]:
        return [action.session.cause for _, action in self.done if isinstance(action, SessionEnded)]

    def finish(self, ident: int = 1) -> None:
        """Both peers answer, and their connections end."""
        for side in Side:
            self.tell(CloseReceived(ident, side, 1000))
        for side in Side:
            self.tell(ConnectionLost(ident, side))


def test_a_session_goes_through_its_phases_and_ends_once() -> None:
    world = World()
    world.ask()
    socket = world.sessions.sessions[1]
    phases = [socket.phase]
    world.tell(EndpointAssigned(1, ONE))
    phases.append(socket.phase)
    for event in (HandshakeSent(1), HandshakeAccepted(1), SessionOpened(1), CloseReceived(1, CLIENT, 1000)):
        world.tell(event)
        phases.append(socket.phase)
    world.tell(CloseReceived(1, SERVER, 1000))
    world.tell(ConnectionLost(1, SERVER))
    world.tell(ConnectionLost(1, CLIENT))
    assert phases == [
        Phase.REQUESTED,
        Phase.ASSIGNED,
        Phase.HANDSHAKE,
        Phase.HANDSHAKE,
        Phase.OPEN,
        Phase.CLOSING,
    ]
    assert world.causes() == [CloseCause.CLIENT_CLOSED]
    assert socket.phase is Phase.ENDED
    assert {
        action.side for _, action in world.all(CloseConnection) if isinstance(action, CloseConnection)
    } == {CLIENT, SERVER}
    assert not world.sessions.sessions
    assert not world.sessions.capacity.by_endpoint
    assert not world.sessions.capacity.by_tenant


def test_a_close_is_forwarded_with_its_code_and_reason() -> None:
    world = World()
    world.open()
    assert world.tell(CloseReceived(1, SERVER, 4321, "done"))[0] == SendClose(1, CLIENT, 4321, "done")
    assert not world.closes(SERVER)
    world.tell(CloseReceived(1, CLIENT, 4321))
    assert world.closes(SERVER) == [(S, 4321)]
    world.finish()
    assert world.causes() == [CloseCause.SERVER_CLOSED]


def test_a_client_that_closes_is_answered_although_the_server_is_unresponsive() -> None:
    world = World()
    world.open()
    world.tell(CloseReceived(1, CLIENT, 1000))
    world.run(S + LIMITS.close_timeout_us)
    assert world.closes(CLIENT) == [(S + LIMITS.close_timeout_us, 1000)]
    assert world.all(Abort)
    assert world.causes() == [CloseCause.CLIENT_CLOSED]


def test_a_server_lost_during_the_closing_handshake_leaves_the_client_its_reply() -> None:
    world = World()
    world.open()
    world.tell(CloseReceived(1, CLIENT, 1001))
    world.tell(ConnectionLost(1, SERVER))
    assert world.closes(CLIENT) == [(S, 1001)]
    world.tell(ConnectionLost(1, CLIENT))
    assert world.causes() == [CloseCause.CLIENT_CLOSED]


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
        (EndpointChanged(ONE, EndpointChange.REMOVED), [1012], [1001], CloseCause.ENDPOINT_REMOVED),
    ],
)
def test_each_cause_has_a_close_code_for_each_peer(
    event: Event, client: list[int], server: list[int], cause: CloseCause
) -> None:
    world = World()
    world.open()
    world.tell(event)
    world.run(world.now_us + 1000)
    assert [code for _, code in world.closes(CLIENT)] == client
    assert [code for _, code in world.closes(SERVER)] == server
    world.finish()
    assert world.causes() == [cause]


def test_a_client_that_sends_too_much_while_closing_is_not_aborted() -> None:
    world = World()
    world.open()
    for _ in range(3):
        world.tell(ProtocolViolated(1, CloseCause.MESSAGE_RATE_EXCEEDED))
    assert not world.all(Abort)
    assert len(world.closes(CLIENT)) == 1
    world.finish()
    assert world.causes() == [CloseCause.MESSAGE_RATE_EXCEEDED]


def test_a_peer_that_breaks_the_protocol_while_closing_is_aborted() -> None:
    world = World()
    world.open()
    world.tell(CloseReceived(1, SERVER, 1000))
    world.tell(ProtocolViolated(1, CloseCause.CLIENT_PROTOCOL_ERROR, 1002))
    assert world.all(Abort)
    assert world.causes() == [CloseCause.SERVER_CLOSED]


# Drain, gone, stop


def test_drained_sessions_get_a_grace_and_then_a_close_spread_over_the_window() -> None:
    world = World()
    for ident in range(1, 101):
        world.open(ident)
    word_us = world.now_us
    world.tell(EndpointChanged(ONE, EndpointChange.DRAINING))
    assert not world.closes(CLIENT)
    world.run(word_us + 60 * S)
    times = [at_us - word_us for at_us, code in world.closes(CLIENT) if code == 1012]
    assert len(times) == 100
    assert min(times) >= LIMITS.drain_grace_us
    assert max(times) <= LIMITS.drain_grace_us + LIMITS.close_spread_us + 10_000
    halves = [sum(1 for at in times if at < LIMITS.drain_grace_us + LIMITS.close_spread_us // 2), 50]
    assert 30 <= halves[0] <= 70
    assert [code for _, code in world.closes(SERVER)] == [1001] * 100
    assert world.causes() == [CloseCause.ENDPOINT_DRAINING] * 100
    assert len(world.all(Abort)) == 100
    last_us = max(at_us for at_us, _ in world.all(Abort))
    assert last_us <= word_us + LIMITS.max_drain_us
    hints = {
        action.reason
        for _, action in world.all(SendClose)
        if isinstance(action, SendClose) and action.side is CLIENT
    }
    assert all("retry-after=" in hint for hint in hints)
    assert len(hints) > 10


def test_a_session_that_ends_by_itself_during_the_grace_is_not_closed() -> None:
    world = World()
    world.open()
    world.tell(EndpointChanged(ONE, EndpointChange.DRAINING))
    world.tell(CloseReceived(1, CLIENT, 1000))
    world.finish()
    world.run(60 * S)
    assert world.causes() == [CloseCause.CLIENT_CLOSED]
    assert world.closes(CLIENT) == [(S, 1000)]


def test_a_cancelled_drain_closes_nothing() -> None:
    world = World(replace(LIMITS, lifetime_us=50 * S, ping_interval_us=90 * S))
    world.open()
    world.tell(EndpointChanged(ONE, EndpointChange.DRAINING))
    world.tell(EndpointChanged(ONE, EndpointChange.READY))
    world.sessions.sessions[1].last_message_us = 40 * S
    world.run(45 * S)
    assert world.sessions.sessions[1].phase is Phase.OPEN
    world.run(56 * S)
    assert world.causes() == [CloseCause.MAX_LIFETIME]


def test_a_drain_waits_a_limited_time_for_the_end_of_a_message() -> None:
    world = World(replace(LIMITS, drain_grace_us=0, close_spread_us=0))
    for ident in (1, 2):
        world.open(ident)
        world.sessions.sessions[ident].message_part_received(CLIENT, world.now_us, 10, final=False)
    world.tell(EndpointChanged(ONE, EndpointChange.DRAINING))
    world.run(2 * S)
    assert not world.closes(CLIENT)
    world.sessions.sessions[1].message_part_received(CLIENT, world.now_us, 10, final=True)
    world.run(2 * S + 100_000)
    assert len(world.closes(CLIENT)) == 1
    world.run(S + LIMITS.close_timeout_us + 100_000)
    assert len(world.closes(CLIENT)) == 2


def test_a_handshake_in_flight_to_a_draining_endpoint_opens_no_session() -> None:
    world = World()
    world.ask(1)
    world.place(1)
    world.tell(EndpointChanged(ONE, EndpointChange.DRAINING))
    assert world.tell(HandshakeAccepted(1)) == [DeclineEndpoint(1)]
    world.tell(HandshakeFailed(1))
    assert world.place(1, ("main", 2))
    assert not any(isinstance(action, DeclineEndpoint) for action in world.tell(HandshakeAccepted(1)))


def test_sessions_of_a_removed_endpoint_close_at_once_in_batches() -> None:
    world = World()
    world.sessions.configure({"main": 5000}, {"main": 5000})
    for ident in range(1, 2001):
        world.open(ident)
    word_us = world.now_us
    world.tell(EndpointChanged(ONE, EndpointChange.REMOVED))
    world.run(word_us + 500_000)
    times = [at_us for at_us, code in world.closes(CLIENT) if code == 1012]
    assert len(times) == 2000
    assert max(times) - word_us < 200_000
    assert max(times.count(at_us) for at_us in set(times)) <= BATCH_SIZE


def test_a_removal_waits_neither_for_a_message_nor_for_a_drain() -> None:
    world = World()
    world.open()
    world.sessions.sessions[1].message_part_received(SERVER, world.now_us, 10, final=False)
    world.tell(EndpointChanged(ONE, EndpointChange.DRAINING))
    world.tell(EndpointChanged(ONE, EndpointChange.REMOVED))
    world.run(S + 1000)
    assert [code for _, code in world.closes(CLIENT)] == [1012]


def test_a_shutdown_ends_all_sessions_in_bounded_time_and_rejects_new_ones() -> None:
    world = World()
    for ident in range(1, 21):
        world.open(ident)
    world.ask(50)
    world.place(50)
    world.tell(ShutdownStarted())
    turned = world.ask(60)[0]
    assert isinstance(turned, RejectHandshake)
    assert turned.cause is CloseCause.SHUTTING_DOWN
    assert turned.retry_after_us > 0
    world.tell(HandshakeAccepted(50))
    world.tell(SessionOpened(50))  # it was on its way; it ends with the others
    world.run(S + LIMITS.max_drain_us + 10_000)
    assert sorted(str(cause) for cause in world.causes()) == sorted(
        [str(CloseCause.SHUTDOWN)] * 21 + [str(CloseCause.SHUTTING_DOWN)]
    )


def test_a_withdrawn_session_is_drained_once_it_is_open() -> None:
    world = World()
    world.open(1)
    world.ask(2)
    world.place(2)
    world.tell(SessionsWithdrawn([1, 2, 99]))
    world.tell(SessionOpened(2))
    world.run(60 * S)
    assert world.causes() == [CloseCause.ROUTE_REMOVED] * 2


# Capacity


def test_a_full_endpoint_has_capacity_again_when_a_session_ends() -> None:
    world = World(per_server=2)
    world.open(1)
    assert world.sessions.full_endpoints("main") == set()
    world.open(2)
    assert world.sessions.full_endpoints("main") == {1}
    assert not world.sessions.capacity.any_has_capacity("main", {1})
    assert world.sessions.capacity.any_has_capacity("main", {1, 2})
    world.ask(3)
    assert not world.place(3)
    world.tell(HandshakeAbandoned(3, CloseCause.HTTP_RESPONSE))
    assert world.causes() == [CloseCause.HTTP_RESPONSE]
    world.tell(CloseReceived(1, CLIENT, 1000))
    world.finish(1)
    assert world.sessions.full_endpoints("main") == set()
    assert world.sessions.capacity.any_has_capacity("main", {1})


def test_a_handshake_counts_from_its_assignment_until_it_fails() -> None:
    world = World(per_server=1)
    world.ask(1)
    world.place(1)
    assert world.sessions.full_endpoints("main") == {1}
    world.tell(HandshakeFailed(1))
    assert world.sessions.full_endpoints("main") == set()
    assert not world.sessions.capacity.by_endpoint


def test_a_pool_has_a_bound_over_all_its_endpoints() -> None:
    world = World(per_server=5, per_pool=3)
    for ident, number in ((1, 1), (2, 2), (3, 3)):
        world.open(ident, ("main", number))
    assert not world.sessions.capacity.any_has_capacity("main", {1, 2, 3, 4})
    world.ask(4)
    assert not world.place(4, ("main", 4))
    assert not world.sessions.capacity.any_has_capacity("other", {1})


def test_new_bounds_count_open_sessions() -> None:
    world = World(per_server=2)
    world.open(1)
    world.open(2)
    world.sessions.configure({"main": 3}, {"main": 10})
    assert world.sessions.full_endpoints("main") == set()
    world.sessions.configure({"main": 1}, {"main": 10})
    assert world.sessions.full_endpoints("main") == {1}


def test_a_tenant_has_a_bound_of_its_own() -> None:
    world = World(replace(LIMITS, max_per_tenant=2))
    world.open(1, tenant=b"a")
    world.open(2, tenant=b"a")
    turned = world.ask(3, tenant=b"a")[0]
    assert isinstance(turned, RejectHandshake)
    assert turned.cause is CloseCause.TENANT_LIMIT
    world.open(4, tenant=b"b")
    world.tell(CloseReceived(1, CLIENT, 1000))
    world.finish(1)
    world.open(5, tenant=b"a")


# Peers


def test_messages_over_the_rate_or_the_size_close_the_session() -> None:
    world = World()
    world.open()
    socket = world.sessions.sessions[1]
    assert [socket.message_part_received(CLIENT, S, 1, final=True) for _ in range(6)] == [None] * 5 + [
        CloseCause.MESSAGE_RATE_EXCEEDED
    ]
    assert [socket.message_part_received(SERVER, S, 1, final=True) for _ in range(50)] == [None] * 50
    assert socket.message_part_received(CLIENT, 3 * S, 600, final=False) is None
    assert socket.message_part_received(CLIENT, 3 * S, 600, final=False) is CloseCause.CLIENT_MESSAGE_TOO_BIG
    assert socket.message_part_received(SERVER, 3 * S, 1001, final=True) is CloseCause.SERVER_MESSAGE_TOO_BIG


def test_the_token_bucket_refills_up_to_the_burst() -> None:
    world = World()
    world.open()
    socket = world.sessions.sessions[1]
    assert all(socket.count_message(CLIENT, S + number * S // 10) is None for number in range(1, 200))
    assert [socket.count_message(CLIENT, 100 * S) for _ in range(6)].count(None) == 5


def test_a_quiet_peer_is_pinged_and_an_unresponsive_one_closes_the_session() -> None:
    world = World()
    world.open()
    world.run(S + 20 * S)
    assert world.all(SendPing) == [(21 * S, SendPing(1, CLIENT)), (21 * S, SendPing(1, SERVER))]
    world.sessions.sessions[1].received(SERVER, 22 * S)
    world.run(S + 30 * S)
    assert world.closes(CLIENT) == [(31 * S, 1001)]
    assert world.closes(SERVER) == [(31 * S, 1001)]
    world.finish()
    assert world.causes() == [CloseCause.CLIENT_UNRESPONSIVE]


def test_an_unresponsive_server_makes_the_client_reconnect() -> None:
    world = World()
    world.open()
    world.run(S + 20 * S)
    world.sessions.sessions[1].received(CLIENT, 22 * S)
    world.run(S + 30 * S)
    assert [code for _, code in world.closes(CLIENT)] == [1012]
    world.run(S + 40 * S)
    assert world.causes() == [CloseCause.SERVER_UNRESPONSIVE]


def test_a_peer_that_is_not_read_is_not_unresponsive() -> None:
    world = World(replace(LIMITS, write_timeout_us=60 * S))
    world.open()
    world.tell(WritingPaused(1, SERVER))
    world.run(S + 55 * S)
    assert not [
        action for _, action in world.all(SendPing) if isinstance(action, SendPing) and action.side is CLIENT
    ]
    world.sessions.sessions[1].received(SERVER, world.now_us)
    world.tell(WritingResumed(1, SERVER))
    world.run(S + 58 * S)
    assert world.sessions.sessions[1].phase is Phase.OPEN


@pytest.mark.parametrize(
    ("side", "codes", "cause"),
    [(CLIENT, (1008, 1001), CloseCause.CLIENT_SLOW), (SERVER, (1013, 1008), CloseCause.SERVER_SLOW)],
)
def test_a_slow_reader_closes_the_session_after_the_write_timeout(
    side: Side, codes: tuple[int, int], cause: CloseCause
) -> None:
    world = World()
    world.open()
    world.tell(WritingPaused(1, side))
    world.run(S + LIMITS.write_timeout_us - 1)
    assert not world.closes(CLIENT)
    world.run(S + LIMITS.write_timeout_us + 1)
    assert ([code for _, code in world.closes(CLIENT)], [code for _, code in world.closes(SERVER)]) == (
        [codes[0]],
        [codes[1]],
    )
    world.run(60 * S)
    assert world.causes() == [cause]


def test_a_peer_that_reads_again_in_time_stays() -> None:
    world = World()
    world.open()
    for _ in range(3):
        world.tell(WritingPaused(1, CLIENT))
        world.run(world.now_us + LIMITS.write_timeout_us - 1000)
        world.tell(WritingResumed(1, CLIENT))
        world.sessions.sessions[1].received(SERVER, world.now_us)
    assert world.sessions.sessions[1].phase is Phase.OPEN


def test_idle_and_lifetime() -> None:
    world = World(replace(LIMITS, idle_us=15 * S))
    world.open()
    world.run(S + 10 * S)
    world.sessions.sessions[1].message_part_received(CLIENT, world.now_us, 1, final=True)
    world.run(S + 20 * S)
    assert not world.closes(CLIENT)
    world.run(S + 26 * S)
    assert world.closes(CLIENT) == [(26 * S, 1001)]
    world = World(replace(LIMITS, lifetime_us=15 * S))
    world.open()
    world.run(S + 16 * S)
    assert world.closes(CLIENT) == [(16 * S, 1001)]


def test_stale_checks_stay_few_however_often_a_peer_blocks() -> None:
    world = World()
    world.open()
    for _ in range(1000):
        world.tell(WritingPaused(1, CLIENT))
        world.tell(WritingResumed(1, CLIENT))
        world.now_us += 1000
    assert len(world.sessions.checks.heap) < 10


STEPS = """ask place sent missed accept open never close lost fault piece blocked unblocked server withdraw
time configure"""
EVENTS = st.sampled_from(STEPS.split())


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(EVENTS, st.integers(1, 4), st.integers(0, 3)), max_size=80), st.booleans())
def test_in_any_order_of_events_each_session_ends_once_and_counts_stay_even(
    steps: list[tuple[str, int, int]], stop: bool
) -> None:
    world = World(replace(LIMITS, max_per_tenant=3), per_server=2, per_pool=3)
    asked: set[int] = set()
    for what, ident, number in steps:
        side, server = Side(number % 2), ("main", number % 2)
        events: dict[str, Event] = {
            "place": EndpointAssigned(ident, server),
            "sent": HandshakeSent(ident),
            "missed": HandshakeFailed(ident),
            "accept": HandshakeAccepted(ident),
            "open": SessionOpened(ident),
            "never": HandshakeAbandoned(ident, CloseCause.HTTP_RESPONSE),
            "close": CloseReceived(ident, side, 1000 + number),
            "lost": ConnectionLost(ident, side),
            "fault": ProtocolViolated(ident, CloseCause.CLIENT_PROTOCOL_ERROR),
            "blocked": WritingPaused(ident, side),
            "unblocked": WritingResumed(ident, side),
            "server": EndpointChanged(
                server, (EndpointChange.READY, EndpointChange.DRAINING, EndpointChange.REMOVED)[number % 3]
            ),
            "withdraw": SessionsWithdrawn([ident]),
        }
        if what == "ask" and ident not in asked:
            asked.add(ident)
            world.ask(ident)
        elif what == "time":
            world.run(world.now_us + number * 7 * S)
        elif what == "configure":
            world.sessions.configure({"main": number}, {"main": 3})
        elif what == "piece" and ident in world.sessions.sessions:
            world.sessions.sessions[ident].message_part_received(side, world.now_us, 300, bool(number % 2))
        elif what in events:
            world.tell(events[what])
        table = world.sessions
        assert sum(table.capacity.by_tenant.values()) == len(table.sessions)
        assert sum(table.capacity.by_pool.values()) == sum(map(len, table.capacity.by_endpoint.values()))
    if stop:
        world.tell(ShutdownStarted())
        world.run(world.now_us + LIMITS.max_drain_us + S)
        assert all(
            socket.phase in (Phase.REQUESTED, Phase.ASSIGNED, Phase.HANDSHAKE)
            for socket in world.sessions.sessions.values()
        )
    for ident in list(world.sessions.sessions):
        world.tell(HandshakeAbandoned(ident, CloseCause.CLIENT_LEFT_HANDSHAKE))
        world.tell(ConnectionLost(ident, CLIENT))
        world.tell(ConnectionLost(ident, SERVER))
    ended = [action.session.session_id for _, action in world.done if isinstance(action, SessionEnded)]
    assert sorted(ended) == sorted(asked)
    assert not world.sessions.sessions
    assert not world.sessions.capacity.by_tenant
    assert not world.sessions.capacity.by_endpoint
    assert not any(world.sessions.capacity.by_pool.values())
    told = [(action.session_id, action.side) for _, action in world.done if isinstance(action, SendClose)]
    assert len(told) == len(set(told)), "two close frames to one peer"
