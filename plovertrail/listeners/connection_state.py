"""The states of client connections, their timeouts, and the order in which connections are evicted.

The platform limits the time of a request from its last byte on, but not the time to send its bytes or to
read the response. The timeouts here limit how long a client may hold a connection without an open request.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

READ_TIMEOUT_S = 2.4  # to connect and send the first complete request, or to send each later one
SLOW_READ_TIMEOUT_S = 6.0  # instead of READ_TIMEOUT_S, while the bytes of the request keep arriving
READ_GAP_TIMEOUT_S = 0.8  # between these bytes, once READ_TIMEOUT_S is over
IDLE_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 1.0  # for the client to close, once everything has been written
WRITE_TIMEOUT_S = 30.0  # for the client to read its response
FIRST_REQUEST_GRACE_S = 0.25  # the first request of a new connection may be in transit for this long
MAX_DISCARDED_BYTES = 64 * 1024  # of input on a closing connection; the rest is not read


class ConnectionState(enum.Enum):
    """The state of a client connection."""

    NEW = enum.auto()  # no complete request received yet
    IDLE = enum.auto()  # between requests
    READING = enum.auto()  # part of a further request received
    OPEN = enum.auto()  # a request was accepted and its response is not written yet
    ENDING = enum.auto()  # closing; no further request is read
    UPGRADED = enum.auto()  # carries a WebSocket session, which has its own limits


# an open request has its own deadline, and a WebSocket session its own limits
STATE_TIMEOUTS_S = {
    ConnectionState.NEW: READ_TIMEOUT_S,
    ConnectionState.IDLE: IDLE_TIMEOUT_S,
    ConnectionState.READING: READ_TIMEOUT_S,
    ConnectionState.ENDING: LINGER_TIMEOUT_S,
}


@dataclass(frozen=True, slots=True)
class ConnectionTimeouts:
    """The timeouts of a listener's connections, in seconds."""

    states: dict[ConnectionState, float] = field(default_factory=lambda: STATE_TIMEOUTS_S)
    slow_read: float = SLOW_READ_TIMEOUT_S  # for a request whose bytes keep arriving
    read_gap: float = READ_GAP_TIMEOUT_S  # between its bytes, once the timeout of the state is over

    @classmethod
    def of(cls, read_s: float, idle_s: float) -> ConnectionTimeouts:
        """Return timeouts with one limit to send a request, even slowly, and one between requests."""
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
    partial_requests: bool = True  # including those that have sent part of a request


# tried in this order until a rule matches a connection
EVICTION_ORDER = (
    EvictionRule(ConnectionState.ENDING),
    EvictionRule(ConnectionState.NEW, min_age_s=FIRST_REQUEST_GRACE_S, partial_requests=False),
    EvictionRule(ConnectionState.IDLE, min_age_s=2.0),
    EvictionRule(ConnectionState.NEW, partial_requests=False),
    EvictionRule(ConnectionState.IDLE),
    EvictionRule(ConnectionState.NEW),
    EvictionRule(ConnectionState.READING),
)
