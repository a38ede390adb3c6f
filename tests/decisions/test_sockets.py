"""The table of sockets on a clock of its own: each cause of an end, room, drains, any order of events."""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from plovertrail.decisions.sockets import (
    CLIENT,
    LOT,
    SERVER,
    Accepted,
    Action,
    Asked,
    Blocked,
    Cause,
    CloseSeen,
    Cut,
    Decline,
    Ended,
    Event,
    Limits,
    Lost,
    Missed,
    NeverOpened,
    Opened,
    Phase,
    Placed,
    SendClose,
    SendPing,
    Sent,
    ServerChanged,
    SetTimer,
    Shut,
    ShutDown,
    Side,
    SocketTable,
    TimerFired,
    TurnAway,
    Unblocked,
    Violated,
    Withdrawn,
    Word,
)

S = 1_000_000
LIMITS = Limits(
    max_message=1000,
    messages_per_s=10.0,
    burst=5,
    lifetime_us=0,
    idle_us=100 * S,
    ping_us=20 * S,
    pong_us=10 * S,
    slow_us=8 * S,
    grace_us=5 * S,
    spread_us=10 * S,
    close_us=3 * S,
)
ONE = ("main", 1)


class World:
    """A table, its clock and its timer; all actions, with their times."""

    def __init__(self, limits: Limits = LIMITS, per_server: int = 100, per_pool: int = 1000) -> None:
        self.table = SocketTable(1)
        self.table.configure({"main": per_server}, {"main": per_pool})
        self.limits = limits
        self.now_us = S
        self.timer_us = 0
        self.done: list[tuple[int, Action]] = []

    def tell(self, event: Event) -> list[Action]:
        actions = self.table.handle(self.now_us, event)
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
        return self.tell(Asked(ident, self.limits, tenant))

    def place(self, ident: int = 1, server: tuple[str, int] = ONE) -> bool:
        """Whether it went out."""
        if any(isinstance(action, Decline) for action in self.tell(Placed(ident, server))):
            return False
        self.tell(Sent(ident))
        return True

    def open(self, ident: int = 1, server: tuple[str, int] = ONE, tenant: bytes = b"") -> None:
        self.ask(ident, tenant)
        assert self.place(ident, server)
        assert not any(isinstance(action, Decline) for action in self.tell(Accepted(ident)))
        self.tell(Opened(ident))

    def all(self, kind: type) -> list[tuple[int, Action]]:
        return [(at_us, action) for at_us, action in self.done if isinstance(action, kind)]

    def closes(self, side: Side) -> list[tuple[int, int]]:
        """When and with what code a side was told."""
        return [
            (at_us, action.code)
            for at_us, action in self.done
            if isinstance(action, SendClose) and action.side is side
        ]

    def causes(self) -> list[Cause | None]:
        return [action.socket.cause for _, action in self.done if isinstance(action, Ended)]

    def finish(self, ident: int = 1) -> None:
        """Both peers answer, and their connections end."""
        for side in Side:
            self.tell(CloseSeen(ident, side, 1000))
        for side in Side:
            self.tell(Lost(ident, side))


def test_a_socket_goes_through_its_phases_and_ends_once() -> None:
    world = World()
    world.ask()
    socket = world.table.sockets[1]
    phases = [socket.phase]
    world.tell(Placed(1, ONE))
    phases.append(socket.phase)
    for event in (Sent(1), Accepted(1), Opened(1), CloseSeen(1, CLIENT, 1000)):
        world.tell(event)
        phases.append(socket.phase)
    world.tell(CloseSeen(1, SERVER, 1000))
    world.tell(Lost(1, SERVER))
    world.tell(Lost(1, CLIENT))
    assert phases == [
        Phase.ASKED,
        Phase.PLACED,
        Phase.HANDSHAKE,
        Phase.HANDSHAKE,
        Phase.OPEN,
        Phase.CLOSING,
    ]
    assert world.causes() == [Cause.CLIENT_CLOSED] and socket.phase is Phase.ENDED
    assert {action.side for _, action in world.all(Shut) if isinstance(action, Shut)} == {CLIENT, SERVER}
    assert not world.table.sockets and not world.table.by_server and not world.table.by_tenant


def test_a_close_is_passed_on_with_its_code_and_reason_and_answered_by_the_peer() -> None:
    world = World()
    world.open()
    assert world.tell(CloseSeen(1, SERVER, 4321, "done"))[0] == SendClose(1, CLIENT, 4321, "done")
    assert not world.closes(SERVER)
    world.tell(CloseSeen(1, CLIENT, 4321))
    assert world.closes(SERVER) == [(S, 4321)]
    world.finish()
    assert world.causes() == [Cause.SERVER_CLOSED]


def test_a_client_that_closes_is_answered_though_the_server_never_is_heard_again() -> None:
    world = World()
    world.open()
    world.tell(CloseSeen(1, CLIENT, 1000))
    world.run(S + LIMITS.close_us)
    assert world.closes(CLIENT) == [(S + LIMITS.close_us, 1000)]
    assert world.all(Cut) and world.causes() == [Cause.CLIENT_CLOSED]


def test_a_server_that_breaks_between_close_and_reply_leaves_the_client_its_reply() -> None:
    world = World()
    world.open()
    world.tell(CloseSeen(1, CLIENT, 1001))
    world.tell(Lost(1, SERVER))
    assert world.closes(CLIENT) == [(S, 1001)]
    world.tell(Lost(1, CLIENT))
    assert world.causes() == [Cause.CLIENT_CLOSED]


@pytest.mark.parametrize(
    ("event", "client", "server", "cause"),
    [
        (Lost(1, CLIENT), [], [1001], Cause.CLIENT_LOST),
        (Lost(1, SERVER), [1012], [], Cause.SERVER_LOST),
        (Violated(1, Cause.CLIENT_FAULT, 1007, "no UTF-8"), [1007], [1001], Cause.CLIENT_FAULT),
        (Violated(1, Cause.SERVER_FAULT, 1002), [1011], [1002], Cause.SERVER_FAULT),
        (Violated(1, Cause.CLIENT_TOO_LONG), [1009], [1001], Cause.CLIENT_TOO_LONG),
        (Violated(1, Cause.SERVER_TOO_LONG), [1011], [1009], Cause.SERVER_TOO_LONG),
        (Violated(1, Cause.TOO_MANY), [1008], [1001], Cause.TOO_MANY),
        (ServerChanged(ONE, Word.GONE), [1012], [1001], Cause.SERVER_GONE),
    ],
)
def test_each_cause_tells_each_peer_its_own_code(
    event: Event, client: list[int], server: list[int], cause: Cause
) -> None:
    world = World()
    world.open()
    world.tell(event)
    world.run(world.now_us + 1000)
    assert [code for _, code in world.closes(CLIENT)] == client
    assert [code for _, code in world.closes(SERVER)] == server
    world.finish()
    assert world.causes() == [cause]


def test_one_that_goes_on_with_too_much_while_it_is_told_so_is_not_cut_for_it() -> None:
    world = World()
    world.open()
    for _ in range(3):
        world.tell(Violated(1, Cause.TOO_MANY))
    assert not world.all(Cut) and len(world.closes(CLIENT)) == 1
    world.finish()
    assert world.causes() == [Cause.TOO_MANY]


def test_one_that_breaks_the_protocol_while_it_closes_is_cut() -> None:
    world = World()
    world.open()
    world.tell(CloseSeen(1, SERVER, 1000))
    world.tell(Violated(1, Cause.CLIENT_FAULT, 1002))
    assert world.all(Cut) and world.causes() == [Cause.SERVER_CLOSED]


# Drain, gone, stop


def test_from_word_of_a_drain_sockets_get_time_and_then_a_close_spread_over_the_window() -> None:
    world = World()
    for ident in range(1, 101):
        world.open(ident)
    word_us = world.now_us
    world.tell(ServerChanged(ONE, Word.DRAINING))
    assert not world.closes(CLIENT)
    world.run(word_us + 60 * S)
    times = [at_us - word_us for at_us, code in world.closes(CLIENT) if code == 1012]
    assert len(times) == 100 and min(times) >= LIMITS.grace_us
    assert max(times) <= LIMITS.grace_us + LIMITS.spread_us + 10_000
    halves = [sum(1 for at in times if at < LIMITS.grace_us + LIMITS.spread_us // 2), 50]
    assert 30 <= halves[0] <= 70
    assert [code for _, code in world.closes(SERVER)] == [1001] * 100
    assert world.causes() == [Cause.DRAINED] * 100 and len(world.all(Cut)) == 100
    last_us = max(at_us for at_us, _ in world.all(Cut))
    assert last_us <= word_us + LIMITS.longest_end_us
    hints = {
        action.reason
        for _, action in world.all(SendClose)
        if isinstance(action, SendClose) and action.side is CLIENT
    }
    assert all("retry-after=" in hint for hint in hints) and len(hints) > 10


def test_one_that_ends_by_itself_in_the_time_left_is_not_told() -> None:
    world = World()
    world.open()
    world.tell(ServerChanged(ONE, Word.DRAINING))
    world.tell(CloseSeen(1, CLIENT, 1000))
    world.finish()
    world.run(60 * S)
    assert world.causes() == [Cause.CLIENT_CLOSED] and world.closes(CLIENT) == [(S, 1000)]


def test_a_drain_that_is_taken_back_ends_nothing() -> None:
    world = World(replace(LIMITS, lifetime_us=50 * S, ping_us=90 * S))
    world.open()
    world.tell(ServerChanged(ONE, Word.DRAINING))
    world.tell(ServerChanged(ONE, Word.READY))
    world.table.sockets[1].data_us = 40 * S
    world.run(45 * S)
    assert world.table.sockets[1].phase is Phase.OPEN
    world.run(56 * S)
    assert world.causes() == [Cause.LIFETIME]


def test_a_drain_waits_for_the_end_of_a_message_but_not_for_ever() -> None:
    world = World(replace(LIMITS, grace_us=0, spread_us=0))
    for ident in (1, 2):
        world.open(ident)
        world.table.sockets[ident].piece(CLIENT, world.now_us, 10, final=False)
    world.tell(ServerChanged(ONE, Word.DRAINING))
    world.run(2 * S)
    assert not world.closes(CLIENT)
    world.table.sockets[1].piece(CLIENT, world.now_us, 10, final=True)
    world.run(2 * S + 100_000)
    assert len(world.closes(CLIENT)) == 1
    world.run(S + LIMITS.close_us + 100_000)
    assert len(world.closes(CLIENT)) == 2


def test_a_handshake_on_its_way_to_a_server_that_drains_opens_no_socket() -> None:
    world = World()
    world.ask(1)
    world.place(1)
    world.tell(ServerChanged(ONE, Word.DRAINING))
    assert world.tell(Accepted(1)) == [Decline(1)]
    world.tell(Missed(1))
    assert world.place(1, ("main", 2)) and not any(
        isinstance(action, Decline) for action in world.tell(Accepted(1))
    )


def test_a_server_that_is_gone_is_told_at_once_in_lots() -> None:
    world = World()
    world.table.configure({"main": 5000}, {"main": 5000})
    for ident in range(1, 2001):
        world.open(ident)
    word_us = world.now_us
    world.tell(ServerChanged(ONE, Word.GONE))
    world.run(word_us + 500_000)
    times = [at_us for at_us, code in world.closes(CLIENT) if code == 1012]
    assert len(times) == 2000 and max(times) - word_us < 200_000
    assert max(times.count(at_us) for at_us in set(times)) <= LOT


def test_gone_does_not_wait_for_a_message_nor_for_a_drain_under_way() -> None:
    world = World()
    world.open()
    world.table.sockets[1].piece(SERVER, world.now_us, 10, final=False)
    world.tell(ServerChanged(ONE, Word.DRAINING))
    world.tell(ServerChanged(ONE, Word.GONE))
    world.run(S + 1000)
    assert [code for _, code in world.closes(CLIENT)] == [1012]


def test_a_stop_ends_all_in_bounded_time_and_takes_no_more() -> None:
    world = World()
    for ident in range(1, 21):
        world.open(ident)
    world.ask(50)
    world.place(50)
    world.tell(ShutDown())
    turned = world.ask(60)[0]
    assert isinstance(turned, TurnAway) and turned.cause is Cause.STOPPING and turned.retry_after_us > 0
    world.tell(Accepted(50))
    world.tell(Opened(50))  # it was on its way; it ends with the others
    world.run(S + LIMITS.longest_end_us + 10_000)
    assert sorted(str(cause) for cause in world.causes()) == sorted(
        [str(Cause.SHUTDOWN)] * 21 + [str(Cause.STOPPING)]
    )


def test_a_withdrawn_socket_is_drained_and_one_in_its_handshake_once_it_is_open() -> None:
    world = World()
    world.open(1)
    world.ask(2)
    world.place(2)
    world.tell(Withdrawn([1, 2, 99]))
    world.tell(Opened(2))
    world.run(60 * S)
    assert world.causes() == [Cause.WITHDRAWN] * 2


# Room


def test_a_full_server_is_barred_and_free_again_when_one_ends() -> None:
    world = World(per_server=2)
    world.open(1)
    assert world.table.barred("main") == set()
    world.open(2)
    assert world.table.barred("main") == {1}
    assert not world.table.has_room("main", {1}) and world.table.has_room("main", {1, 2})
    world.ask(3)
    assert not world.place(3)
    world.tell(NeverOpened(3, Cause.NO_SOCKET))
    assert world.causes() == [Cause.NO_SOCKET]
    world.tell(CloseSeen(1, CLIENT, 1000))
    world.finish(1)
    assert world.table.barred("main") == set() and world.table.has_room("main", {1})


def test_a_handshake_counts_from_the_moment_it_is_placed_and_not_once_it_missed() -> None:
    world = World(per_server=1)
    world.ask(1)
    world.place(1)
    assert world.table.barred("main") == {1}
    world.tell(Missed(1))
    assert world.table.barred("main") == set() and not world.table.by_server


def test_a_pool_has_a_bound_over_all_its_servers() -> None:
    world = World(per_server=5, per_pool=3)
    for ident, number in ((1, 1), (2, 2), (3, 3)):
        world.open(ident, ("main", number))
    assert not world.table.has_room("main", {1, 2, 3, 4})
    world.ask(4)
    assert not world.place(4, ("main", 4))
    assert not world.table.has_room("other", {1})


def test_new_bounds_count_what_is_open() -> None:
    world = World(per_server=2)
    world.open(1)
    world.open(2)
    world.table.configure({"main": 3}, {"main": 10})
    assert world.table.barred("main") == set()
    world.table.configure({"main": 1}, {"main": 10})
    assert world.table.barred("main") == {1}


def test_a_tenant_has_a_bound_of_its_own() -> None:
    world = World(replace(LIMITS, max_per_tenant=2))
    world.open(1, tenant=b"a")
    world.open(2, tenant=b"a")
    turned = world.ask(3, tenant=b"a")[0]
    assert isinstance(turned, TurnAway) and turned.cause is Cause.TENANT_FULL
    world.open(4, tenant=b"b")
    world.tell(CloseSeen(1, CLIENT, 1000))
    world.finish(1)
    world.open(5, tenant=b"a")


# Peers


def test_messages_over_the_rate_or_the_size_are_told() -> None:
    world = World()
    world.open()
    socket = world.table.sockets[1]
    assert [socket.piece(CLIENT, S, 1, final=True) for _ in range(6)] == [None] * 5 + [Cause.TOO_MANY]
    assert [socket.piece(SERVER, S, 1, final=True) for _ in range(50)] == [None] * 50
    assert socket.piece(CLIENT, 3 * S, 600, final=False) is None
    assert socket.piece(CLIENT, 3 * S, 600, final=False) is Cause.CLIENT_TOO_LONG
    assert socket.piece(SERVER, 3 * S, 1001, final=True) is Cause.SERVER_TOO_LONG


def test_the_rate_fills_up_with_time_up_to_the_burst() -> None:
    world = World()
    world.open()
    socket = world.table.sockets[1]
    assert all(socket.counted(CLIENT, S + number * S // 10) is None for number in range(1, 200))
    assert [socket.counted(CLIENT, 100 * S) for _ in range(6)].count(None) == 5


def test_a_peer_that_says_nothing_is_pinged_and_one_that_stays_silent_is_ended() -> None:
    world = World()
    world.open()
    world.run(S + 20 * S)
    assert world.all(SendPing) == [(21 * S, SendPing(1, CLIENT)), (21 * S, SendPing(1, SERVER))]
    world.table.sockets[1].heard(SERVER, 22 * S)
    world.run(S + 30 * S)
    assert world.closes(CLIENT) == [(31 * S, 1001)] and world.closes(SERVER) == [(31 * S, 1001)]
    world.finish()
    assert world.causes() == [Cause.CLIENT_VANISHED]


def test_a_server_that_vanishes_sends_the_client_elsewhere() -> None:
    world = World()
    world.open()
    world.run(S + 20 * S)
    world.table.sockets[1].heard(CLIENT, 22 * S)
    world.run(S + 30 * S)
    assert [code for _, code in world.closes(CLIENT)] == [1012]
    world.run(S + 40 * S)
    assert world.causes() == [Cause.SERVER_VANISHED]


def test_one_that_is_not_read_is_not_called_silent() -> None:
    world = World(replace(LIMITS, slow_us=60 * S))
    world.open()
    world.tell(Blocked(1, SERVER))
    world.run(S + 55 * S)
    assert not [
        action for _, action in world.all(SendPing) if isinstance(action, SendPing) and action.side is CLIENT
    ]
    world.table.sockets[1].heard(SERVER, world.now_us)
    world.tell(Unblocked(1, SERVER))
    world.run(S + 58 * S)
    assert world.table.sockets[1].phase is Phase.OPEN


@pytest.mark.parametrize(
    ("side", "codes", "cause"),
    [(CLIENT, (1008, 1001), Cause.CLIENT_SLOW), (SERVER, (1013, 1008), Cause.SERVER_SLOW)],
)
def test_a_slow_reader_is_ended_after_its_time(side: Side, codes: tuple[int, int], cause: Cause) -> None:
    world = World()
    world.open()
    world.tell(Blocked(1, side))
    world.run(S + LIMITS.slow_us - 1)
    assert not world.closes(CLIENT)
    world.run(S + LIMITS.slow_us + 1)
    assert ([code for _, code in world.closes(CLIENT)], [code for _, code in world.closes(SERVER)]) == (
        [codes[0]],
        [codes[1]],
    )
    world.run(60 * S)
    assert world.causes() == [cause]


def test_one_that_reads_again_in_time_stays() -> None:
    world = World()
    world.open()
    for _ in range(3):
        world.tell(Blocked(1, CLIENT))
        world.run(world.now_us + LIMITS.slow_us - 1000)
        world.tell(Unblocked(1, CLIENT))
        world.table.sockets[1].heard(SERVER, world.now_us)
    assert world.table.sockets[1].phase is Phase.OPEN


def test_idle_and_lifetime() -> None:
    world = World(replace(LIMITS, idle_us=15 * S))
    world.open()
    world.run(S + 10 * S)
    world.table.sockets[1].piece(CLIENT, world.now_us, 1, final=True)
    world.run(S + 20 * S)
    assert not world.closes(CLIENT)
    world.run(S + 26 * S)
    assert world.closes(CLIENT) == [(26 * S, 1001)]
    world = World(replace(LIMITS, lifetime_us=15 * S))
    world.open()
    world.run(S + 16 * S)
    assert world.closes(CLIENT) == [(16 * S, 1001)]


def test_stale_wakeups_stay_few_however_often_a_peer_blocks() -> None:
    world = World()
    world.open()
    for _ in range(1000):
        world.tell(Blocked(1, CLIENT))
        world.tell(Unblocked(1, CLIENT))
        world.now_us += 1000
    assert len(world.table.wakeups) < 10


STEPS = """ask place sent missed accept open never close lost fault piece blocked unblocked server withdraw
time configure"""
EVENTS = st.sampled_from(STEPS.split())


@settings(max_examples=150, deadline=None)
@given(st.lists(st.tuples(EVENTS, st.integers(1, 4), st.integers(0, 3)), max_size=80), st.booleans())
def test_whatever_comes_each_socket_ends_once_and_counts_come_out_even(
    steps: list[tuple[str, int, int]], stop: bool
) -> None:
    world = World(replace(LIMITS, max_per_tenant=3), per_server=2, per_pool=3)
    asked: set[int] = set()
    for what, ident, number in steps:
        side, server = Side(number % 2), ("main", number % 2)
        events: dict[str, Event] = {
            "place": Placed(ident, server),
            "sent": Sent(ident),
            "missed": Missed(ident),
            "accept": Accepted(ident),
            "open": Opened(ident),
            "never": NeverOpened(ident, Cause.NO_SOCKET),
            "close": CloseSeen(ident, side, 1000 + number),
            "lost": Lost(ident, side),
            "fault": Violated(ident, Cause.CLIENT_FAULT),
            "blocked": Blocked(ident, side),
            "unblocked": Unblocked(ident, side),
            "server": ServerChanged(server, (Word.READY, Word.DRAINING, Word.GONE)[number % 3]),
            "withdraw": Withdrawn([ident]),
        }
        if what == "ask" and ident not in asked:
            asked.add(ident)
            world.ask(ident)
        elif what == "time":
            world.run(world.now_us + number * 7 * S)
        elif what == "configure":
            world.table.configure({"main": number}, {"main": 3})
        elif what == "piece" and ident in world.table.sockets:
            world.table.sockets[ident].piece(side, world.now_us, 300, bool(number % 2))
        elif what in events:
            world.tell(events[what])
        table = world.table
        assert sum(table.by_tenant.values()) == len(table.sockets)
        assert sum(table.by_pool.values()) == sum(map(len, table.by_server.values()))
    if stop:
        world.tell(ShutDown())
        world.run(world.now_us + LIMITS.longest_end_us + S)
        assert all(
            socket.phase in (Phase.ASKED, Phase.PLACED, Phase.HANDSHAKE)
            for socket in world.table.sockets.values()
        )
    for ident in list(world.table.sockets):
        world.tell(NeverOpened(ident, Cause.CLIENT_GONE))
        world.tell(Lost(ident, CLIENT))
        world.tell(Lost(ident, SERVER))
    ended = [action.socket.ident for _, action in world.done if isinstance(action, Ended)]
    assert sorted(ended) == sorted(asked) and not world.table.sockets
    assert not world.table.by_tenant and not world.table.by_server and not any(world.table.by_pool.values())
    told = [(action.ident, action.side) for _, action in world.done if isinstance(action, SendClose)]
    assert len(told) == len(set(told)), "two close frames to one peer"
