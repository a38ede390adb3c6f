"""Data types of WebSocket sessions: close causes and codes, limits, events in and actions out.

Close codes are those of RFC 6455, section 7.4.1, and of its IANA registry. Times are whole microseconds on
the process's own monotonic clock.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from plovertrail.decisions.websocket_session import WebSocketSession

EndpointKey = tuple[str, int]  # (pool name, endpoint id)


class CloseCode(enum.IntEnum):
    """Close codes that this process sends or records."""

    NORMAL = 1000
    GOING_AWAY = 1001
    NO_STATUS = 1005
    ABNORMAL = 1006
    POLICY_VIOLATION = 1008
    MESSAGE_TOO_BIG = 1009
    INTERNAL_ERROR = 1011
    SERVICE_RESTART = 1012
    TRY_AGAIN_LATER = 1013


class Side(enum.IntEnum):
    """The two peers of a session."""

    CLIENT = 0
    SERVER = 1

    @property
    def other(self) -> Side:
        """The peer at the other end."""
        return SERVER if self is CLIENT else CLIENT


CLIENT, SERVER = Side.CLIENT, Side.SERVER


class CloseCause(enum.Enum):
    """Why a session ended; the values are written to its log line."""

    CLIENT_CLOSED = "closed by the client"
    SERVER_CLOSED = "closed by the server"
    CLIENT_LOST = "the client's connection broke"
    SERVER_LOST = "the server's connection broke"
    CLIENT_UNRESPONSIVE = "the client answers no ping"
    SERVER_UNRESPONSIVE = "the server answers no ping"
    CLIENT_SLOW = "the client reads too slowly"
    SERVER_SLOW = "the server reads too slowly"
    CLIENT_PROTOCOL_ERROR = "the client broke the protocol"
    SERVER_PROTOCOL_ERROR = "the server broke the protocol"
    CLIENT_MESSAGE_TOO_BIG = "a message of the client is too long"
    SERVER_MESSAGE_TOO_BIG = "a message of the server is too long"
    MESSAGE_RATE_EXCEEDED = "the client sends too many messages"
    IDLE = "idle for too long"
    MAX_LIFETIME = "its lifetime is over"
    ENDPOINT_DRAINING = "its server drains"
    ENDPOINT_REMOVED = "its server is gone"
    ROUTE_REMOVED = "its route or listener is configured no more"
    SHUTDOWN = "the daemon stops"
    # the session never opened
    LOG_FULL = "its end could not be logged"
    TENANT_LIMIT = "its tenant has too many sockets"
    SHUTTING_DOWN = "the daemon was stopping"
    HTTP_RESPONSE = "answered over HTTP"
    CLIENT_LEFT_HANDSHAKE = "the client left in the handshake"


# the codes for the client and the server if this process ends the session
CLOSE_CODES = {
    CloseCause.CLIENT_LOST: (CloseCode.GOING_AWAY, CloseCode.GOING_AWAY),
    CloseCause.SERVER_LOST: (CloseCode.SERVICE_RESTART, CloseCode.GOING_AWAY),
    CloseCause.CLIENT_UNRESPONSIVE: (CloseCode.GOING_AWAY, CloseCode.GOING_AWAY),
    CloseCause.SERVER_UNRESPONSIVE: (CloseCode.SERVICE_RESTART, CloseCode.GOING_AWAY),
    CloseCause.CLIENT_SLOW: (CloseCode.POLICY_VIOLATION, CloseCode.GOING_AWAY),
    CloseCause.SERVER_SLOW: (CloseCode.TRY_AGAIN_LATER, CloseCode.POLICY_VIOLATION),
    CloseCause.CLIENT_PROTOCOL_ERROR: (CloseCode.POLICY_VIOLATION, CloseCode.GOING_AWAY),
    CloseCause.SERVER_PROTOCOL_ERROR: (CloseCode.INTERNAL_ERROR, CloseCode.POLICY_VIOLATION),
    CloseCause.CLIENT_MESSAGE_TOO_BIG: (CloseCode.MESSAGE_TOO_BIG, CloseCode.GOING_AWAY),
    CloseCause.SERVER_MESSAGE_TOO_BIG: (CloseCode.INTERNAL_ERROR, CloseCode.MESSAGE_TOO_BIG),
    CloseCause.MESSAGE_RATE_EXCEEDED: (CloseCode.POLICY_VIOLATION, CloseCode.GOING_AWAY),
    CloseCause.IDLE: (CloseCode.GOING_AWAY, CloseCode.GOING_AWAY),
    CloseCause.MAX_LIFETIME: (CloseCode.GOING_AWAY, CloseCode.GOING_AWAY),
    CloseCause.ENDPOINT_DRAINING: (CloseCode.SERVICE_RESTART, CloseCode.GOING_AWAY),
    CloseCause.ENDPOINT_REMOVED: (CloseCode.SERVICE_RESTART, CloseCode.GOING_AWAY),
    CloseCause.ROUTE_REMOVED: (CloseCode.SERVICE_RESTART, CloseCode.GOING_AWAY),
    CloseCause.SHUTDOWN: (CloseCode.SERVICE_RESTART, CloseCode.GOING_AWAY),
}
# codes whose reason says when to reconnect
RECONNECT_CODES = frozenset((CloseCode.SERVICE_RESTART, CloseCode.TRY_AGAIN_LATER))


@dataclass(frozen=True, slots=True)
class SessionLimits:
    """The limits of a route's sessions; 0 means unlimited only where noted."""

    max_message: int = 64 * 1024  # bytes
    messages_per_s: float = 100.0  # of the client, control frames included; 0 = unlimited
    burst: int = 200  # messages
    max_per_tenant: int = 0  # sessions; 0 = unlimited
    lifetime_us: int = 0  # 0 = unlimited
    idle_us: int = 300_000_000  # without a message in either direction
    ping_interval_us: int = 20_000_000  # without a byte from a peer
    pong_timeout_us: int = 10_000_000
    write_timeout_us: int = 10_000_000  # for a peer to read buffered data
    drain_grace_us: int = 5_000_000  # for sessions to end by themselves after a drain or shutdown
    close_spread_us: int = 10_000_000  # after the grace period, over which the remaining ones are closed
    close_timeout_us: int = 5_000_000  # for the closing handshake, and for the end of a message before it

    @property
    def max_drain_us(self) -> int:
        """The time from a drain or shutdown until the last session has been aborted."""
        return self.drain_grace_us + self.close_spread_us + 2 * self.close_timeout_us


# Events


@dataclass(slots=True)
class HandshakeRequested:
    """A client has sent a well-formed handshake."""

    session_id: int
    limits: SessionLimits
    tenant: bytes = b""
    log_full: bool = False  # no log line could be written at its end


@dataclass(slots=True)
class EndpointAssigned:
    """An endpoint has been selected for a session's handshake."""

    session_id: int
    endpoint: EndpointKey


@dataclass(slots=True)
class HandshakeSent:
    """The first byte of the handshake may have reached the endpoint."""

    session_id: int


@dataclass(slots=True)
class HandshakeFailed:
    """The attempt has ended without a session."""

    session_id: int


@dataclass(slots=True)
class HandshakeAccepted:
    """The endpoint has answered with a correct 101."""

    session_id: int


@dataclass(slots=True)
class SessionOpened:
    """The client has its 101: frames may flow in both directions."""

    session_id: int


@dataclass(slots=True)
class HandshakeAbandoned:
    """The handshake is over without an open session."""

    session_id: int
    cause: CloseCause


@dataclass(slots=True)
class CloseReceived:
    """A close frame has been received; `code` is 1005 if it had none."""

    session_id: int
    side: Side
    code: int
    reason: str = ""


@dataclass(slots=True)
class ConnectionLost:
    """The connection to a peer has ended."""

    session_id: int
    side: Side


@dataclass(slots=True)
class ProtocolViolated:
    """A peer broke the protocol or a limit; `code` is from the parser, or 0 for that of the cause."""

    session_id: int
    cause: CloseCause
    code: int = 0
    reason: str = ""


@dataclass(slots=True)
class WritingPaused:
    """A peer has stopped reading the data that is buffered for it."""

    session_id: int
    side: Side


@dataclass(slots=True)
class WritingResumed:
    """A peer is reading the data that is buffered for it again."""

    session_id: int
    side: Side


class EndpointChange(enum.Enum):
    """The new state of an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    REMOVED = "removed"


@dataclass(slots=True)
class EndpointChanged:
    """An endpoint was added, drains, or was removed."""

    endpoint: EndpointKey
    change: EndpointChange


@dataclass(slots=True)
class SessionsWithdrawn:
    """The route or listener of these sessions is no longer configured."""

    session_ids: list[int]
    cause: CloseCause = CloseCause.ROUTE_REMOVED


@dataclass(slots=True)
class ShutdownStarted:
    """The daemon is shutting down."""


@dataclass(slots=True)
class TimerFired:
    """The timer set by `SetTimer` is due."""


SessionEvent = (
    EndpointAssigned
    | HandshakeSent
    | HandshakeFailed
    | HandshakeAccepted
    | SessionOpened
    | HandshakeAbandoned
    | CloseReceived
    | ConnectionLost
    | ProtocolViolated
    | WritingPaused
    | WritingResumed
)
Event = HandshakeRequested | SessionEvent | EndpointChanged | SessionsWithdrawn | ShutdownStarted | TimerFired


# Actions


@dataclass(slots=True)
class RejectHandshake:
    """Tell the client that no session is possible now; no endpoint has seen the handshake."""

    session_id: int
    cause: CloseCause
    retry_after_us: int


@dataclass(slots=True)
class DeclineEndpoint:
    """Do not open the session at this endpoint: do not send the handshake, or close the new connection."""

    session_id: int


@dataclass(slots=True)
class SendClose:
    """Send a close frame to one peer."""

    session_id: int
    side: Side
    code: int
    reason: str = ""


@dataclass(slots=True)
class SendPing:
    """Send a ping frame to one peer."""

    session_id: int
    side: Side


@dataclass(slots=True)
class CloseConnection:
    """Close a connection once everything has been written to it."""

    session_id: int
    side: Side


@dataclass(slots=True)
class Abort:
    """Abort both connections."""

    session_id: int


@dataclass(slots=True)
class SessionEnded:
    """A session has ended; the last action of a session, sent once."""

    session: WebSocketSession


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` at `at_us`; replaces the timer set before."""

    at_us: int


Action = (
    RejectHandshake
    | DeclineEndpoint
    | SendClose
    | SendPing
    | CloseConnection
    | Abort
    | SessionEnded
    | SetTimer
)
