"""What the listeners, the dispatcher and the transports hand each other about a request."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Container, Set
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
    """A request that asks for a WebSocket (RFC 6455), as the socket's owner follows it."""

    def upgrade_request(self) -> tuple[bytes, Headers]:
        """The key of one attempt, and the headers that ask for the upgrade."""

    def checked_subprotocol(self, headers: Headers, key: bytes) -> bytes:
        """The subprotocol that an endpoint's 101 chose, or nothing; raises ValueError if the 101 is wrong."""

    def excluded_endpoints(self, pool: str) -> Set[int]:
        """The endpoints of a pool that take no further WebSocket; a live view."""

    def has_capacity(self, pool: str, serving: Set[int]) -> bool:
        """Whether any of these endpoints may take one more."""

    def attempt_begins(self, pool: str, endpoint_id: int, address: Address) -> bool:
        """An attempt is about to begin; returns whether it may."""

    def attempt_sent(self) -> None:
        """The endpoint may see the handshake from now on."""

    def attempt_failed(self) -> None:
        """The attempt has ended without a WebSocket."""

    def accept_upgrade(self) -> bool:
        """The endpoint has accepted; returns whether the WebSocket may open."""


def never_stale() -> bool:
    """False: nobody watches for pauses of the process."""
    return False


def never_disconnected() -> bool:
    """False: no connection of a client can tell whether it has closed."""
    return False


@dataclass(slots=True)
class ProxyRequest:
    """A client's request, as it was read. Names and numbers are those of the configuration."""

    method: bytes
    target: bytes
    headers: Headers  # those that are forwarded
    body: bytes
    arrived_us: int
    deadline_us: int  # counted from its arrival
    class_index: int
    external_id: bytes = b""  # X-Request-Id
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    retried: bool = False
    host: bytes = b""  # for the endpoint; empty: its address
    handshake: WebSocketHandshake | None = None
    tenant_name: str = ""
    client: str = ""  # whose it is; the client's address where its route says nothing else
    # whether its client has closed the connection, also if that was not read yet
    client_disconnected: Callable[[], bool] = never_disconnected


class ResponseKind(enum.Enum):
    """What becomes of a request."""

    SERVED = "served"
    REJECTED = "refused"  # nothing has run, or it may run again
    FAILED = "failed"


@dataclass(slots=True)
class ProxyResponse:
    """The one final response to a request."""

    kind: ResponseKind
    retry_after_us: int = 0
    result: TransportResult | None = None  # of the last attempt, if there was one
    limit_exceeded: LimitExceeded | None = None  # the limit that rejected it


@dataclass(slots=True)
class Tunnel:
    """An upgraded connection to an endpoint, not read until it is taken over."""

    transport: asyncio.Transport
    received: bytes  # bytes received after the head
    subprotocol: bytes  # the one that the endpoint chose; empty: none

    def close(self) -> None:
        """Drop the connection without taking it over."""
        self.transport.abort()


@dataclass(slots=True)
class TransportResult:
    """How an attempt ended, as the transport saw it."""

    outcome: Outcome
    status: int = 0  # 0: no complete response came
    headers: Headers = field(default_factory=list)
    body: bytes = b""
    tunnel: Tunnel | None = None


@dataclass(slots=True)
class AttemptTimes:
    """Within what an attempt is of use, in microseconds from now."""

    timeout_us: int  # sent to the endpoint in X-Deadline-Ms
    start_within_us: int = 0  # nothing is written after this; 0: at any time


class AttemptHandle(Protocol):
    """An attempt that is in flight."""

    @property
    def written(self) -> bool:
        """Whether any of it has been written."""

    def cancel(self) -> None:
        """Stop waiting: nothing more is written, and a connection that has carried it is closed."""


class EndpointTransport(Protocol):
    """Carries attempts to the endpoints of one pool."""

    def start(
        self,
        endpoint_id: int,
        address: Address,
        request: ProxyRequest,
        times: AttemptTimes,
        on_end: Callable[[TransportResult], None],
    ) -> AttemptHandle:
        """Begin an attempt; `on_end` is called once, later, unless the attempt is cancelled first."""

    def unreachable(self, needs_new_connection: bool) -> Container[int]:
        """The endpoints that no attempt could reach now; a live view.

        It would need a further connection, and may have none.
        """

    def next_connect_us(self) -> int:
        """When a further connection may be made; 0: at once."""

    def reserve_retry_us(self, longest_us: int) -> int:
        """Reserve a connect for a rejected client's retry, and return its time; 0: none is needed.

        Each client gets a time of its own, within `longest_us` if that is possible.
        """

    def close_idle(self, endpoint_id: int) -> None:
        """Close the idle connections to an endpoint."""

    def forget(self, endpoint_id: int) -> None:
        """Close those connections, and the busy ones once they are done."""
