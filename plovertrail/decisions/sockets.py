"""The life of upgraded connections: asked, placed, handshake out, open, closing, ended with a cause.

Which server a handshake goes to, and whether it is tried again, is the Balancer's to say, as for any
request. What is decided here is all the rest: whether there is room for one more socket, what its peers may
do, when it is pinged, and how it ends when its server drains or goes, the daemon stops, or its route is
configured no more.
Events in, actions out; the close codes are those of RFC 6455, section 7.4.1, and of its IANA registry.
"""

from __future__ import annotations

import enum
import heapq
import random
from collections.abc import Mapping, Set
from dataclasses import dataclass, field

Server = tuple[str, int]  # a pool, and the server's number there

LOT = 32  # sockets that one call looks after; hazard: thousands at once would hold all others up
LOT_GAP_US = 1_000
MESSAGE_LOOK_US = 20_000  # how often a socket that must close is looked at for the end of its message
NORMAL, GOING_AWAY, NO_STATUS, ABNORMAL = 1000, 1001, 1005, 1006
POLICY, TOO_BIG, INTERNAL, RESTART, TRY_LATER = 1008, 1009, 1011, 1012, 1013


class Side(enum.IntEnum):
    """The two peers of a socket."""

    CLIENT = 0
    SERVER = 1

    @property
    def other(self) -> Side:
        """The side at the other end of a socket."""
        return SERVER if self is CLIENT else CLIENT


CLIENT, SERVER = Side.CLIENT, Side.SERVER


class Phase(enum.Enum):
    """How far a socket has come."""

    ASKED = "asked"
    PLACED = "placed"  # a server has been chosen
    HANDSHAKE = "handshake out"  # the server may have seen it
    OPEN = "open"
    CLOSING = "closing"  # a close frame has come or gone
    ENDED = "ended"


class Cause(enum.Enum):
    """Why a socket ended."""

    CLIENT_CLOSED = "closed by the client"
    SERVER_CLOSED = "closed by the server"
    CLIENT_LOST = "the client's connection broke"
    SERVER_LOST = "the server's connection broke"
    CLIENT_VANISHED = "the client answers no ping"
    SERVER_VANISHED = "the server answers no ping"
    CLIENT_SLOW = "the client reads too slowly"
    SERVER_SLOW = "the server reads too slowly"
    CLIENT_FAULT = "the client broke the protocol"
    SERVER_FAULT = "the server broke the protocol"
    CLIENT_TOO_LONG = "a message of the client is too long"
    SERVER_TOO_LONG = "a message of the server is too long"
    TOO_MANY = "the client sends too many messages"
    IDLE = "idle for too long"
    LIFETIME = "its lifetime is over"
    DRAINED = "its server drains"
    SERVER_GONE = "its server is gone"
    WITHDRAWN = "its route or listener is configured no more"
    SHUTDOWN = "the daemon stops"
    # never open
    LOG_FULL = "its end could not be logged"
    TENANT_FULL = "its tenant has too many sockets"
    STOPPING = "the daemon was stopping"
    NO_SOCKET = "answered over HTTP"
    CLIENT_GONE = "the client left in the handshake"


# What each peer is told where the other did not say it: (code for the client, for the server)
CODES = {
    Cause.CLIENT_LOST: (GOING_AWAY, GOING_AWAY),
    Cause.SERVER_LOST: (RESTART, GOING_AWAY),
    Cause.CLIENT_VANISHED: (GOING_AWAY, GOING_AWAY),
    Cause.SERVER_VANISHED: (RESTART, GOING_AWAY),
    Cause.CLIENT_SLOW: (POLICY, GOING_AWAY),
    Cause.SERVER_SLOW: (TRY_LATER, POLICY),
    Cause.CLIENT_FAULT: (POLICY, GOING_AWAY),
    Cause.SERVER_FAULT: (INTERNAL, POLICY),
    Cause.CLIENT_TOO_LONG: (TOO_BIG, GOING_AWAY),
    Cause.SERVER_TOO_LONG: (INTERNAL, TOO_BIG),
    Cause.TOO_MANY: (POLICY, GOING_AWAY),
    Cause.IDLE: (GOING_AWAY, GOING_AWAY),
    Cause.LIFETIME: (GOING_AWAY, GOING_AWAY),
    Cause.DRAINED: (RESTART, GOING_AWAY),
    Cause.SERVER_GONE: (RESTART, GOING_AWAY),
    Cause.WITHDRAWN: (RESTART, GOING_AWAY),
    Cause.SHUTDOWN: (RESTART, GOING_AWAY),
}
COME_BACK = frozenset((RESTART, TRY_LATER))  # codes whose reason tells when


@dataclass(frozen=True, slots=True)
class Limits:
    """What a route allows its sockets; 0 = no limit where it is said."""

    max_message: int = 64 * 1024  # bytes
    messages_per_s: float = 100.0  # of the client, control frames among them; 0 = any
    burst: int = 200
    max_per_tenant: int = 0  # 0 = any
    lifetime_us: int = 0  # 0 = any
    idle_us: int = 300_000_000  # without a message, either way
    ping_us: int = 20_000_000  # a peer that says nothing for so long is pinged
    pong_us: int = 10_000_000  # and has so long to say anything
    slow_us: int = 10_000_000  # for a peer to take what lies ready for it
    grace_us: int = 5_000_000  # to end by themselves, from word of a drain or stop
    spread_us: int = 10_000_000  # over which the rest is then closed
    close_us: int = 5_000_000  # from a close frame to the cut; and for the end of a message before it

    @property
    def longest_end_us(self) -> int:
        """From word of a drain or stop until the last socket has been cut."""
        return self.grace_us + self.spread_us + 2 * self.close_us


# Events


@dataclass(slots=True)
class Asked:
    """A client's handshake is well formed."""

    ident: int
    limits: Limits
    tenant: bytes = b""
    log_full: bool = False  # a line on its end could not be kept


@dataclass(slots=True)
class Placed:
    """A server has been chosen for a socket's handshake."""

    ident: int
    server: Server


@dataclass(slots=True)
class Sent:
    """The first byte of the handshake may be with the server."""

    ident: int


@dataclass(slots=True)
class Missed:
    """The attempt brought no socket."""

    ident: int


@dataclass(slots=True)
class Accepted:
    """The server has answered with 101, and all of it is right."""

    ident: int


@dataclass(slots=True)
class Opened:
    """The client has its 101: frames may go both ways."""

    ident: int


@dataclass(slots=True)
class NeverOpened:
    """The handshake has ended without an open socket."""

    ident: int
    cause: Cause


@dataclass(slots=True)
class CloseSeen:
    """A close frame has come; `code` is 1005 if it had none."""

    ident: int
    side: Side
    code: int
    reason: str = ""


@dataclass(slots=True)
class Lost:
    """A connection has ended."""

    ident: int
    side: Side


@dataclass(slots=True)
class Violated:
    """A peer did what it may not; `code` is the parser's, 0 = that of the cause."""

    ident: int
    cause: Cause
    code: int = 0
    why: str = ""


@dataclass(slots=True)
class Blocked:
    """A peer has stopped taking what lies ready for it."""

    ident: int
    side: Side


@dataclass(slots=True)
class Unblocked:
    """A peer takes again what lies ready for it."""

    ident: int
    side: Side


class Word(enum.Enum):
    """What is said of a server."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(slots=True)
class ServerChanged:
    """A server has come, drains, or has gone."""

    server: Server
    word: Word


@dataclass(slots=True)
class Withdrawn:
    """These sockets are wanted no more."""

    idents: list[int]
    cause: Cause = Cause.WITHDRAWN


@dataclass(slots=True)
class ShutDown:
    """The daemon stops."""


@dataclass(slots=True)
class TimerFired:
    """The time that SetTimer asked for has come."""


Event = (
    Asked
    | Placed
    | Sent
    | Missed
    | Accepted
    | Opened
    | NeverOpened
    | CloseSeen
    | Lost
    | Violated
    | Blocked
    | Unblocked
    | ServerChanged
    | Withdrawn
    | ShutDown
    | TimerFired
)


# Actions


@dataclass(slots=True)
class TurnAway:
    """No socket now; nothing has run."""

    ident: int
    cause: Cause
    retry_after_us: int


@dataclass(slots=True)
class Decline:
    """Not at this server: the handshake has not gone out, or what it brought is closed again."""

    ident: int


@dataclass(slots=True)
class SendClose:
    """Send a close frame to one side."""

    ident: int
    side: Side
    code: int
    reason: str = ""


@dataclass(slots=True)
class SendPing:
    """Send a ping frame to one side."""

    ident: int
    side: Side


@dataclass(slots=True)
class Shut:
    """Close a connection once what was written to it is out."""

    ident: int
    side: Side


@dataclass(slots=True)
class Cut:
    """Break both connections."""

    ident: int


@dataclass(slots=True)
class Ended:
    """The one last word on a socket."""

    socket: Socket


@dataclass(slots=True)
class SetTimer:
    """Tell TimerFired at `at_us`; it takes the place of an earlier one."""

    at_us: int


Action = TurnAway | Decline | SendClose | SendPing | Shut | Cut | Ended | SetTimer


@dataclass(eq=False, slots=True)
class Socket:
    """One upgraded connection. Pairs are for the client and the server, in this order."""

    ident: int
    limits: Limits
    tenant: bytes
    asked_us: int
    phase: Phase = Phase.ASKED
    server: Server | None = None
    declined: bool = False  # its server drains or is gone, and the handshake is still out
    opened_us: int = 0
    ended_us: int = 0
    cause: Cause | None = None
    bytes: list[int] = field(default_factory=lambda: [0, 0])  # of messages that came from each
    messages: list[int] = field(default_factory=lambda: [0, 0])
    partial: list[int] = field(default_factory=lambda: [0, 0])  # of the message that is coming
    in_message: list[bool] = field(default_factory=lambda: [False, False])
    heard_us: list[int] = field(default_factory=lambda: [0, 0])
    pinged_us: list[int] = field(default_factory=lambda: [0, 0])  # 0 = no ping of ours is out
    blocked_us: list[int] = field(default_factory=lambda: [0, 0])  # since when it doesn't read; 0 = it does
    close_seen: list[int] = field(default_factory=lambda: [0, 0])  # the code that came from each; 0 = none
    close_sent: list[int] = field(default_factory=lambda: [0, 0])
    lost: list[bool] = field(default_factory=lambda: [False, False])
    data_us: int = 0  # when a message last came, either way
    tokens: float = 0.0
    tokens_us: int = 0
    retire_us: int = 0  # when it is to be closed; 0 = not
    retire_cause: Cause | None = None
    cut_us: int = 0
    wake_us: int = 0  # when it is looked at next

    def heard(self, side: Side, now_us: int) -> None:
        """Bytes of a peer have come."""
        self.heard_us[side] = now_us
        self.pinged_us[side] = 0

    def piece(self, side: Side, now_us: int, size: int, final: bool) -> Cause | None:
        """A piece of a message has come; the cause to close for, if it is one too many."""
        self.data_us = now_us
        self.bytes[side] += size
        self.partial[side] += size
        if self.partial[side] > self.limits.max_message:
            return Cause.CLIENT_TOO_LONG if side is CLIENT else Cause.SERVER_TOO_LONG
        self.in_message[side] = not final
        if not final:
            return None
        self.partial[side] = 0
        self.messages[side] += 1
        return self.counted(side, now_us)

    def counted(self, side: Side, now_us: int) -> Cause | None:
        """One more message or control frame has come, held against the client's rate by a token bucket."""
        rate = self.limits.messages_per_s
        if side is SERVER or not rate:
            return None
        filled = self.tokens + (now_us - self.tokens_us) * rate / 1e6
        self.tokens, self.tokens_us = min(filled, float(self.limits.burst)) - 1.0, now_us
        return Cause.TOO_MANY if self.tokens < 0.0 else None


class SocketTable:
    """All sockets of a daemon, from the first word of a handshake to their end. Its size is bounded by the
    listeners' connections."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.sockets: dict[int, Socket] = {}
        self.by_server: dict[Server, dict[int, Socket]] = {}
        self.by_pool: dict[str, int] = {}
        self.by_tenant: dict[bytes, int] = {}
        self.most_per_server: Mapping[str, int] = {}
        self.most_per_pool: Mapping[str, int] = {}
        self.full: dict[str, set[int]] = {}
        self.stopping = False
        self.wakeups: list[tuple[int, int]] = []
        self.armed_us = 0
        self.now_us = 0
        self.actions: list[Action] = []

    # Room

    def configure(self, per_server: Mapping[str, int], per_pool: Mapping[str, int]) -> None:
        """The most sockets of each server and of each pool. What is open beyond them stays."""
        self.most_per_server, self.most_per_pool = per_server, per_pool
        for numbers in self.full.values():
            numbers.clear()
        for server in self.by_server:
            self._count_again(server)

    def barred(self, pool: str) -> Set[int]:
        """The servers of a pool that may take no further socket; a live view."""
        return self.full.setdefault(pool, set())

    def has_room(self, pool: str, serving: Set[int]) -> bool:
        """Whether any of these servers may take one more."""
        room = self.by_pool.get(pool, 0) < self.most_per_pool.get(pool, 0)
        return room and not serving <= self.barred(pool)

    def _count_again(self, server: Server) -> None:
        pool, number = server
        full = self.full.setdefault(pool, set())
        if len(self.by_server.get(server, ())) >= self.most_per_server.get(pool, 0):
            full.add(number)
        else:
            full.discard(number)

    def _leave_server(self, socket: Socket) -> None:
        server = socket.server
        if server is None:
            return
        group = self.by_server.get(server, {})
        if group.pop(socket.ident, None) is not None:
            self.by_pool[server[0]] -= 1
        if not group:
            self.by_server.pop(server, None)
        self._count_again(server)

    # Events

    def handle(self, now_us: int, event: Event) -> list[Action]:
        """One event; the actions are to be carried out in their order."""
        self.now_us = now_us
        self.actions = []
        if isinstance(event, Asked):
            self._on_asked(event)
        elif isinstance(event, ServerChanged):
            self._on_server(event)
        elif isinstance(event, Withdrawn):
            for ident in event.idents:
                if ident in self.sockets:
                    self._retire(self.sockets[ident], event.cause)
        elif isinstance(event, ShutDown):
            self.stopping = True
            for socket in list(self.sockets.values()):
                self._retire(socket, Cause.SHUTDOWN)
        elif isinstance(event, TimerFired):
            self._on_timer()
        elif event.ident in self.sockets:
            self._on_socket(self.sockets[event.ident], event)
        self._arm()
        return self.actions

    def _on_asked(self, event: Asked) -> None:
        socket = Socket(event.ident, event.limits, event.tenant, self.now_us)
        cause = None
        if self.stopping:
            cause = Cause.STOPPING
        elif event.log_full:
            cause = Cause.LOG_FULL
        elif event.limits.max_per_tenant and (
            self.by_tenant.get(event.tenant, 0) >= event.limits.max_per_tenant
        ):
            cause = Cause.TENANT_FULL
        self.sockets[event.ident] = socket
        self.by_tenant[event.tenant] = self.by_tenant.get(event.tenant, 0) + 1
        if cause is not None:
            self.actions.append(TurnAway(event.ident, cause, self._come_back_us(event.limits)))
            self._end(socket, cause)

    def _on_socket(self, socket: Socket, event: Event) -> None:
        if isinstance(event, Placed):
            self._on_placed(socket, event.server)
        elif isinstance(event, Sent):
            if socket.phase is Phase.PLACED:
                socket.phase = Phase.HANDSHAKE
        elif isinstance(event, Missed):
            self._leave_server(socket)
            socket.phase, socket.server, socket.declined = Phase.ASKED, None, False
        elif isinstance(event, Accepted):
            if socket.declined or socket.phase is not Phase.HANDSHAKE:
                self.actions.append(Decline(socket.ident))  # rule 3: nothing new to what drains
        elif isinstance(event, Opened):
            self._on_opened(socket)
        elif isinstance(event, NeverOpened):
            if socket.phase not in (Phase.OPEN, Phase.CLOSING):
                self._end(socket, event.cause)
        elif isinstance(event, CloseSeen):
            self._on_close_seen(socket, event)
        elif isinstance(event, Lost):
            self._on_lost(socket, event.side)
        elif isinstance(event, Blocked):
            socket.blocked_us[event.side] = self.now_us
            self._wake(socket, self.now_us + socket.limits.slow_us)
        elif isinstance(event, Unblocked):
            socket.blocked_us[event.side] = 0
            # hazard: meanwhile the other was not read, and must not be called silent
            socket.heard(event.side.other, self.now_us)
        elif isinstance(event, Violated) and socket.phase is Phase.OPEN:
            self._close(socket, event.cause, event.code, event.why)
        elif isinstance(event, Violated) and event.cause in (Cause.CLIENT_FAULT, Cause.SERVER_FAULT):
            # hazard: one that breaks the protocol while it closes would be listened to till the cut. What is
            # only too much is let pass: cut for it, a client would lose the close frame that tells it so
            self._cut(socket)

    def _on_placed(self, socket: Socket, server: Server) -> None:
        pool, number = server
        if (
            socket.phase is not Phase.ASKED
            or number in self.barred(pool)
            or self.by_pool.get(pool, 0) >= self.most_per_pool.get(pool, 0)
        ):
            self.actions.append(Decline(socket.ident))
            return
        socket.phase, socket.server = Phase.PLACED, server
        self.by_server.setdefault(server, {})[socket.ident] = socket
        self.by_pool[pool] = self.by_pool.get(pool, 0) + 1
        self._count_again(server)

    def _on_opened(self, socket: Socket) -> None:
        if socket.phase is not Phase.HANDSHAKE:
            return
        now_us, waiting = self.now_us, socket.retire_cause
        socket.phase, socket.opened_us, socket.data_us = Phase.OPEN, now_us, now_us
        socket.heard_us = [now_us, now_us]
        socket.tokens, socket.tokens_us = float(socket.limits.burst), now_us
        if socket.limits.lifetime_us:
            self._retire_at(socket, now_us + socket.limits.lifetime_us, Cause.LIFETIME)
        if self.stopping or waiting is not None:
            self._retire(socket, waiting or Cause.SHUTDOWN)
        self._look(socket)

    def _on_server(self, event: ServerChanged) -> None:
        for number, socket in enumerate(list(self.by_server.get(event.server, {}).values())):
            if socket.phase in (Phase.PLACED, Phase.HANDSHAKE):
                socket.declined = event.word is not Word.READY
            elif event.word is Word.DRAINING:
                self._retire(socket, Cause.DRAINED)
            elif event.word is Word.GONE and socket.phase is Phase.OPEN:
                at_us = self.now_us + number // LOT * LOT_GAP_US
                if not socket.retire_us or at_us < socket.retire_us:
                    self._retire_at(socket, at_us, Cause.SERVER_GONE)
            elif socket.retire_cause is Cause.DRAINED and socket.phase is Phase.OPEN:
                # the word was taken back
                socket.retire_us, socket.retire_cause = 0, None
                if socket.limits.lifetime_us:
                    self._retire_at(socket, socket.opened_us + socket.limits.lifetime_us, Cause.LIFETIME)

    # The end

    def _retire(self, socket: Socket, cause: Cause) -> None:
        """It is to end: by itself, or else at a moment of its own in the window."""
        if socket.phase is not Phase.OPEN:
            socket.retire_cause = cause  # once it is open
            return
        limits = socket.limits
        at_us = self.now_us + limits.grace_us + int(limits.spread_us * self.random.random())
        if not socket.retire_us or at_us < socket.retire_us:
            self._retire_at(socket, at_us, cause)

    def _retire_at(self, socket: Socket, at_us: int, cause: Cause) -> None:
        socket.retire_us, socket.retire_cause = at_us, cause
        self._wake(socket, at_us)

    def _come_back_us(self, limits: Limits) -> int:
        """When a client may come back: spread, lest those who left together return together."""
        return 1_000_000 + int(limits.spread_us * self.random.random())

    def _close(self, socket: Socket, cause: Cause, code: int = 0, why: str = "") -> None:
        """Ours to end: both peers get a close frame, and then a bounded time."""
        socket.phase, socket.cause = Phase.CLOSING, cause
        socket.cut_us = self.now_us + socket.limits.close_us
        to_client, to_server = CODES[cause]
        if cause is Cause.CLIENT_FAULT:
            to_client = code or to_client
        elif cause is Cause.SERVER_FAULT:
            to_server = code or to_server
        reason = why or cause.value
        if to_client in COME_BACK:
            reason = f"{cause.value}; retry-after={self._come_back_us(socket.limits) / 1e6:.1f}"
        self._send_close(socket, CLIENT, to_client, reason)
        self._send_close(socket, SERVER, to_server, cause.value)
        self._look(socket)
        self._settle(socket)

    def _send_close(self, socket: Socket, side: Side, code: int, reason: str) -> None:
        if not socket.close_sent[side] and not socket.lost[side]:
            socket.close_sent[side] = code
            self.actions.append(SendClose(socket.ident, side, code, reason))

    def _on_close_seen(self, socket: Socket, event: CloseSeen) -> None:
        if socket.phase not in (Phase.OPEN, Phase.CLOSING) or socket.close_seen[event.side]:
            return
        socket.close_seen[event.side] = event.code
        if socket.phase is Phase.OPEN:
            socket.phase = Phase.CLOSING
            socket.cause = Cause.CLIENT_CLOSED if event.side is CLIENT else Cause.SERVER_CLOSED
            socket.cut_us = self.now_us + socket.limits.close_us
            self._look(socket)
        self._send_close(socket, event.side.other, event.code, event.reason)
        self._settle(socket)

    def _on_lost(self, socket: Socket, side: Side) -> None:
        socket.lost[side] = True
        if socket.phase is Phase.OPEN:
            self._close(socket, Cause.CLIENT_LOST if side is CLIENT else Cause.SERVER_LOST)
        elif socket.phase is Phase.CLOSING:
            # it can't answer any more; the other must not wait for that
            other = side.other
            self._send_close(socket, other, socket.close_seen[other] or GOING_AWAY, "")
            self._settle(socket)

    def _settle(self, socket: Socket) -> None:
        """Close each connection whose close frames have gone both ways; when both are down, it has ended."""
        for side in Side:
            if socket.close_sent[side] and socket.close_seen[side] and not socket.lost[side]:
                self.actions.append(Shut(socket.ident, side))
        if all(socket.lost):
            self._end(socket, socket.cause or Cause.CLIENT_LOST)

    def _cut(self, socket: Socket) -> None:
        self.actions.append(Cut(socket.ident))
        self._end(socket, socket.cause or Cause.CLIENT_LOST)

    def _end(self, socket: Socket, cause: Cause) -> None:
        """The one place where sockets end."""
        socket.phase, socket.cause, socket.ended_us = Phase.ENDED, cause, self.now_us
        del self.sockets[socket.ident]
        self._leave_server(socket)
        self.by_tenant[socket.tenant] -= 1
        if not self.by_tenant[socket.tenant]:
            del self.by_tenant[socket.tenant]
        self.actions.append(Ended(socket))

    # Time

    def _wake(self, socket: Socket, at_us: int) -> None:
        if not socket.wake_us or at_us < socket.wake_us:
            socket.wake_us = at_us
            heapq.heappush(self.wakeups, (at_us, socket.ident))

    def _arm(self) -> None:
        if self.wakeups and (not self.armed_us or self.wakeups[0][0] < self.armed_us):
            self.armed_us = max(self.wakeups[0][0], self.now_us + LOT_GAP_US)
            self.actions.append(SetTimer(self.armed_us))

    def _on_timer(self) -> None:
        self.armed_us = 0
        looked = 0
        while self.wakeups and self.wakeups[0][0] <= self.now_us and looked < LOT:
            at_us, ident = heapq.heappop(self.wakeups)
            socket = self.sockets.get(ident)
            if socket is not None and socket.wake_us == at_us:
                looked += 1
                socket.wake_us = 0
                self._look(socket)

    def _look(self, socket: Socket) -> None:
        """Do what is due for a socket, and say when it is looked at next."""
        now_us, limits = self.now_us, socket.limits
        if socket.phase is Phase.CLOSING:
            if now_us < socket.cut_us:
                self._wake(socket, socket.cut_us)
                return
            for side in Side:  # one that closed in order is answered, though its peer was silent
                self._send_close(socket, side, socket.close_seen[side] or GOING_AWAY, "")
            self._cut(socket)
            return
        if socket.phase is not Phase.OPEN:
            return
        if socket.retire_us and now_us >= socket.retire_us and socket.retire_cause is not None:
            waits = any(socket.in_message) and socket.retire_cause is not Cause.SERVER_GONE
            if not waits or now_us >= socket.retire_us + limits.close_us:
                self._close(socket, socket.retire_cause)
                return
            self._wake(socket, now_us + MESSAGE_LOOK_US)
        due_us = [socket.data_us + limits.idle_us]
        if now_us >= due_us[0]:
            self._close(socket, Cause.IDLE)
            return
        if socket.retire_us > now_us:
            due_us.append(socket.retire_us)
        for side in Side:
            at_us = self._look_at_peer(socket, side)
            if at_us == 0:
                return
            due_us.append(at_us)
        self._wake(socket, min(due_us))

    def _look_at_peer(self, socket: Socket, side: Side) -> int:
        """When a peer is to be looked at next; 0 if the socket is closed because of it."""
        now_us, limits = self.now_us, socket.limits
        if socket.blocked_us[side]:
            slow_us = socket.blocked_us[side] + limits.slow_us
            if now_us >= slow_us:
                self._close(socket, Cause.CLIENT_SLOW if side is CLIENT else Cause.SERVER_SLOW)
                return 0
            return slow_us
        if socket.blocked_us[side.other]:
            return now_us + limits.ping_us  # it is not read, so nothing can be heard of it
        if socket.pinged_us[side]:
            late_us = socket.pinged_us[side] + limits.pong_us
            if now_us >= late_us:
                self._close(socket, Cause.CLIENT_VANISHED if side is CLIENT else Cause.SERVER_VANISHED)
                return 0
            return late_us
        ping_us = socket.heard_us[side] + limits.ping_us
        if now_us >= ping_us:
            socket.pinged_us[side] = now_us
            self.actions.append(SendPing(socket.ident, side))
            return now_us + limits.pong_us
        return ping_us
