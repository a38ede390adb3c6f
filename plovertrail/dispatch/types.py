"""What the floors hand each other about a request: the call, its attempts, its answer."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Container, Set
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from plovertrail.decisions.events import Outcome

if TYPE_CHECKING:
    from plovertrail.decisions.rate_limits import LimitExceeded


class WebSocketHandshake(Protocol):
    """A call that asks for a socket (RFC 6455), as the socket's owner follows it."""

    def opening(self) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """The key of one attempt, and the headers that ask for a socket."""

    def checked(self, headers: list[tuple[bytes, bytes]], key: bytes) -> bytes:
        """The subprotocol that a server's 101 chose, or nothing; raises ValueError if the answer is wrong."""

    def barred(self, pool: str) -> Set[int]:
        """The servers of a pool that take no further socket; a live view."""

    def has_room(self, pool: str, serving: Set[int]) -> bool:
        """Whether any of these servers may take one more."""

    def placed(self, pool: str, server: int, address: tuple[str, int]) -> bool:
        """An attempt is about to begin; whether it may."""

    def sent(self) -> None:
        """The server may see the handshake from now on."""

    def missed(self) -> None:
        """The attempt has ended without a socket."""

    def accepted(self) -> bool:
        """The server has accepted; whether the socket may open."""


def stays() -> bool:
    """Where no connection of a client can tell whether it has closed."""
    return False


@dataclass(slots=True)
class ProxyRequest:
    """A request of the application, as it was read."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]  # those that go on to the upstream
    body: bytes
    arrived_us: int
    deadline_us: int  # counted from its arrival
    class_index: int
    ident: bytes = b""  # X-Request-Id
    tenant: int = 0
    key: int = 0
    cost_us: int = 0
    retried: bool = False
    host: bytes = b""  # for the upstream; empty: its address
    handshake: WebSocketHandshake | None = None
    tenant_name: str = ""
    client: str = ""  # whose it is; the client's address where its route says nothing else
    left: Callable[[], bool] = stays  # whether its client has closed, also if that was not read yet


class ResponseKind(enum.Enum):
    """What the application is told."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class ProxyResponse:
    """The one final answer to a request."""

    verdict: ResponseKind
    retry_after_us: int = 0
    result: TransportResult | None = None  # of the last attempt, if there was one
    over: LimitExceeded | None = None  # the limit that refused it


@dataclass(slots=True)
class Tunnel:
    """An upgraded connection to a server, not read until it is taken over."""

    transport: asyncio.Transport
    rest: bytes  # what has come behind the head
    subprotocol: bytes  # the one that the server chose; empty: none

    def close(self) -> None:
        """Drop the connection without taking it over."""
        self.transport.abort()


@dataclass(slots=True)
class TransportResult:
    """How an attempt ended, as the upstream's side saw it."""

    outcome: Outcome
    status: int = 0  # 0 = no whole answer came
    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    body: bytes = b""
    tunnel: Tunnel | None = None


class AttemptHandle(Protocol):
    """An attempt that is out."""

    @property
    def written(self) -> bool:
        """Whether any of it has been written."""

    def give_up(self) -> None:
        """Stop waiting: nothing more is written, and a connection that has carried it is closed."""


class EndpointTransport(Protocol):
    """The side of the upstreams."""

    def start(
        self,
        upstream: int,
        address: tuple[str, int],
        call: ProxyRequest,
        timeout_us: int,
        ended: Callable[[TransportResult], None],
        within_us: int = 0,
    ) -> AttemptHandle:
        """Begin an attempt. `ended` is called once, later, unless the attempt is given up first. Nothing is
        written after `within_us`; 0: whenever its connection is up."""

    def shut(self, new: bool) -> Container[int]:
        """The upstreams that no attempt could reach now, as it would need a further connection and may have
        none; a live view. `new`: one that must have a connection of its own."""

    def next_dial_us(self) -> int:
        """When a further connection may be made; 0 = at once."""

    def promised_dial_us(self, longest_us: int) -> int:
        """When one that was refused for want of a further connection should come back, each at a time of its
        own, within so long if it can; 0 = there is no such want."""

    def close_idle(self, upstream: int) -> None:
        """Close the idle connections to an upstream."""

    def forget(self, upstream: int) -> None:
        """Close those connections, and the busy ones once they are done."""
