"""The types that listeners, the dispatcher and transports use to exchange requests and responses."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Container, Iterable, Set
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from plovertrail.decisions.events import Outcome

if TYPE_CHECKING:
    from plovertrail.decisions.rate_limits import LimitExceeded

Address = tuple[str, int]
Headers = list[tuple[bytes, bytes]]


class UnionContainer:
    """The union of two containers; a live view."""

    def __init__(self, first: Container[int], second: Container[int]) -> None:
        self.first = first
        self.second = second

    def __contains__(self, item: object) -> bool:
        return item in self.first or item in self.second


class WebSocketHandshake(Protocol):
    """The opening handshake of a WebSocket (RFC 6455), implemented by the owner of the WebSocket."""

    def upgrade_request(self) -> tuple[bytes, Headers]:
        """A new Sec-WebSocket-Key for one attempt, and the headers that ask for the upgrade."""

    def checked_subprotocol(self, headers: Headers, key: bytes) -> bytes:
        """The subprotocol that an endpoint's 101 chose, or b""; raises ValueError if the 101 is invalid."""

    def excluded_endpoints(self, pool: str) -> Set[int]:
        """The endpoints of a pool that accept no further WebSocket; a live view."""

    def has_capacity(self, pool: str, serving: Set[int]) -> bool:
        """Whether any of these endpoints may accept one more WebSocket."""

    def attempt_begins(self, pool: str, endpoint_id: int, address: Address) -> bool:
        """Count an attempt that is about to begin; returns whether it may."""

    def attempt_sent(self) -> None:
        """Record that the handshake is being sent: the endpoint may process it from now on."""

    def attempt_failed(self) -> None:
        """Record that the attempt has ended without a WebSocket."""

    def accept_upgrade(self) -> bool:
        """Handle the endpoint's 101; returns whether the WebSocket may open."""


def never_stale() -> bool:
    """The default where pauses of the process are not detected."""
    return False


def never_disconnected() -> bool:
    """The default where it can't be told whether a client's connection has closed."""
    return False


@dataclass(slots=True)
class ProxyRequest:
    """A client's request. Tenants and classes have their names and numbers in the configuration."""

    method: bytes
    target: bytes
    headers: Iterable[tuple[bytes, bytes]]  # the headers to forward
    body: bytes
    arrived_us: int
    deadline_us: int  # relative to its arrival
    class_index: int
    external_id: bytes = b""  # X-Request-Id
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    retried: bool = False
    host: bytes = b""  # the Host header for the endpoint; empty: the endpoint's address
    handshake: WebSocketHandshake | None = None
    tenant_name: str = ""
    client: str = ""  # identifies the client; its address unless the route configures otherwise
    # returns whether the client has closed its connection, also if the event loop has not reported it yet
    client_disconnected: Callable[[], bool] = never_disconnected


class ResponseKind(enum.Enum):
    """How a request ended."""

    SERVED = "served"
    REJECTED = "refused"  # it has not run, or it is safe to run it again
    FAILED = "failed"


@dataclass(slots=True)
class ProxyResponse:
    """The one final response to a request."""

    kind: ResponseKind
    retry_after_us: int = 0
    result: TransportResult | None = None  # the result of the last attempt, if there was one
    limit_exceeded: LimitExceeded | None = None  # the rate limit that rejected the request


@dataclass(slots=True)
class Tunnel:
    """An upgraded connection to an endpoint; reading is paused until the receiver takes it over."""

    transport: asyncio.Transport
    received: bytes  # bytes received after the head
    subprotocol: bytes  # chosen by the endpoint; empty: none

    def close(self) -> None:
        """Abort the connection."""
        self.transport.abort()


@dataclass(slots=True)
class ConnectionUse:
    """How an attempt used its connection, for the log."""

    connection: int  # numbered in the order in which a pool opens them
    reused: bool  # it has carried other requests before
    idle_us: int = 0  # for how long it was idle before, if it is reused
    cause: str = ""  # what ended the attempt


@dataclass(slots=True)
class TransportResult:
    """How an attempt ended, as the transport saw it."""

    outcome: Outcome
    status: int = 0  # 0: no complete response was received
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    tunnel: Tunnel | None = None
    use: ConnectionUse | None = None  # None: it got no connection
    deferred_us: int = 0  # for how long its response was deferred, as another one could have followed


@dataclass(slots=True)
class AttemptLimits:
    """Time limits of an attempt, in microseconds from now, and whether it may be repeated."""

    timeout_us: int  # for the response; sent to the endpoint in X-Deadline-Ms
    start_within_us: int = 0  # for sending the request; 0: no limit
    idempotent: bool = False  # the request may run any number of times


class AttemptHandle(Protocol):
    """An attempt that is in flight."""

    @property
    def written(self) -> bool:
        """Whether any of the request has been written."""

    def cancel(self) -> ConnectionUse | None:
        """Cancel the attempt: nothing more is written, and a connection that carried it is closed.

        Returns how it used that connection; None if it had none.
        """


class EndpointTransport(Protocol):
    """Sends attempts to the endpoints of one pool."""

    def start(
        self,
        endpoint_id: int,
        address: Address,
        request: ProxyRequest,
        limits: AttemptLimits,
        on_end: Callable[[TransportResult], None],
    ) -> AttemptHandle:
        """Begin an attempt; `on_end` is called once with its result, unless the attempt is cancelled first.

        It is never called before this method has returned.
        """

    def unreachable(self, needs_new_connection: bool) -> Container[int]:
        """The endpoints that an attempt can't reach now, as it may not make the new connection that it needs.

        A live view. `needs_new_connection`: idle connections can't be used.
        """

    def next_connect_us(self) -> int:
        """When the next connection may be made; 0: at once."""

    def reserve_retry_us(self, longest_us: int) -> int:
        """Reserve a connect for a rejected client's retry, and return its time; 0: no wait is needed.

        Each client gets a connect of its own, at most `longest_us` from now, as long as there are enough.
        """

    def close_idle(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint."""

    def forget(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint, and those in use once their attempts have ended."""
