"""The states of client connections, how long each may last, and which connections make room for others.

The platform bounds how long a request may take from its last byte on, but not how long its bytes or those
of a response may take. The times here bound what a client may hold without asking for anything.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

READ_TIMEOUT_S = 2.4  # to connect and send a complete request, and to send each later one;
SLOW_READ_TIMEOUT_S = 6.0  # or this long while its bytes keep coming
READ_GAP_TIMEOUT_S = 0.8
IDLE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 1.0  # for the client to close, once everything has been written
WRITE_TIMEOUT_S = 30.0  # for a client to read its response
FIRST_REQUEST_GRACE_S = 0.25  # the first request of a new connection may be on its way for this long
MAX_DISCARDED_BYTES = 64 * 1024  # received on a connection that ends; the rest is not read


class ConnectionState(enum.Enum):
    """The state of a client connection."""

    NEW = enum.auto()  # no complete request has come yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request has come
    OPEN = enum.auto()  # a request has been taken and not answered
    ENDING = enum.auto()  # it has its last response
    UPGRADED = enum.auto()  # it carries a WebSocket session, which has limits of its own


# an open request has its own deadline
STATE_TIMEOUTS_S = {
    ConnectionState.NEW: READ_TIMEOUT_S,
    ConnectionState.IDLE: IDLE_TIMEOUT_S,
    ConnectionState.READING: READ_TIMEOUT_S,
    ConnectionState.ENDING: LINGER_TIMEOUT_S,
}


@dataclass(frozen=True, slots=True)
class ConnectionTimeouts:
    """How long a listener's connections may take, in seconds."""

    states: dict[ConnectionState, float] = field(default_factory=lambda: STATE_TIMEOUTS_S)
    slow_read: float = SLOW_READ_TIMEOUT_S  # for a request whose bytes keep coming
    read_gap: float = READ_GAP_TIMEOUT_S  # between its bytes, once the state's time is over

    @classmethod
    def of(cls, read_s: float, idle_s: float) -> ConnectionTimeouts:
        """Return one time to send a request, however its bytes come, and one between requests."""
        states = {
            ConnectionState.NEW: read_s,
            ConnectionState.IDLE: idle_s,
            ConnectionState.READING: read_s,
            ConnectionState.ENDING: LINGER_TIMEOUT_S,
        }
        return cls(states, read_s, 0.0)


@dataclass(frozen=True, slots=True)
class EvictionRule:
    """Connections that may be closed to make room for new ones."""

    state: ConnectionState
    min_age_s: float = 0.0  # in that state
    partial_requests: bool = True  # also those that have sent part of a request


# the first rule that finds a connection decides
EVICTION_ORDER = (
    EvictionRule(ConnectionState.ENDING),
    EvictionRule(ConnectionState.NEW, min_age_s=FIRST_REQUEST_GRACE_S, partial_requests=False),
    EvictionRule(ConnectionState.IDLE, min_age_s=2.0),
    EvictionRule(ConnectionState.NEW, partial_requests=False),
    EvictionRule(ConnectionState.IDLE),
    EvictionRule(ConnectionState.NEW),
    EvictionRule(ConnectionState.READING),
)
