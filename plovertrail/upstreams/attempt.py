"""One attempt over HTTP/1.1: the request's bytes and the callback for the result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from plovertrail.clock import clock_us
from plovertrail.dispatch.types import (
    Address,
    AttemptLimits,
    ConnectionUse,
    Headers,
    ProxyRequest,
    TransportResult,
    WebSocketHandshake,
    never_disconnected,
)

if TYPE_CHECKING:
    from plovertrail.upstreams.connection import Connection

CONNECTION_CLOSE = (b"Connection", b"close")
BODYLESS_METHODS = (b"GET", b"HEAD", b"OPTIONS", b"DELETE")  # without a body they have no Content-Length


def request_head(
    request: ProxyRequest, address: Address, timeout_us: int, extra_headers: Headers | None = None
) -> bytes:
    """The head of an attempt: the client's headers, the remaining time, and those of this attempt."""
    host = request.host or b"%s:%d" % (address[0].encode(), address[1])
    lines = [b"%s %s HTTP/1.1\r\nHost: %s" % (request.method, request.target, host)]
    lines.extend([b"%s: %s" % header for header in request.headers])
    lines.extend([b"%s: %s" % header for header in extra_headers or ()])
    lines.append(b"X-Deadline-Ms: %d" % max(1, timeout_us // 1000))
    if request.body or request.method not in BODYLESS_METHODS:
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt (dispatch.types.AttemptHandle), on a connection that may still be connecting."""

    data: bytes  # the request
    on_end: Callable[[TransportResult], None]
    class_index: int = 0
    limits: AttemptLimits = field(default_factory=lambda: AttemptLimits(0))
    single_use: bool = False  # the request asks the endpoint to close the connection after its response
    head_only: bool = False  # the response has no body (HEAD)
    handshake: WebSocketHandshake | None = None
    handshake_key: bytes = b""
    client_disconnected: Callable[[], bool] = never_disconnected
    start_before_us: int = 0  # not to be sent at this time or later; 0: no limit
    connection: Connection | None = None
    written: bool = False
    cancelled: bool = False

    @property
    def request_name(self) -> str:
        """The request's first line, for the log."""
        return repr(self.data.split(b"\r\n", 1)[0])

    def may_begin(self) -> bool:
        """Whether it may still be sent once connected: in time, and its client has not disconnected."""
        too_late = self.start_before_us and clock_us() >= self.start_before_us
        return not too_late and not self.client_disconnected()

    def cancel(self) -> ConnectionUse | None:
        """Cancel without a result. A connection that carried it is closed; one that is connecting is kept."""
        self.cancelled = True
        connection, self.connection = self.connection, None
        if connection is None:
            return None
        connection.attempt = None
        if not self.written:
            return None
        use = connection.use
        connection.close("attempt_abandoned")
        return use

    def end(self, result: TransportResult) -> None:
        """Report the result and release the connection."""
        self.connection = None
        self.on_end(result)


def make_attempt(
    request: ProxyRequest,
    address: Address,
    limits: AttemptLimits,
    on_end: Callable[[TransportResult], None],
    single_use: bool = False,
) -> Attempt:
    """Create an attempt at an address. `start_within_us` does not apply to a WebSocket handshake."""
    handshake = request.handshake
    if handshake is None:
        extra_headers = [CONNECTION_CLOSE] if single_use else None
        return Attempt(
            request_head(request, address, limits.timeout_us, extra_headers) + request.body,
            on_end,
            request.class_index,
            limits,
            single_use,
            request.method == b"HEAD",
            client_disconnected=request.client_disconnected,
            start_before_us=clock_us() + limits.start_within_us if limits.start_within_us else 0,
        )
    key, upgrade = handshake.upgrade_request()
    return Attempt(
        request_head(request, address, limits.timeout_us, upgrade),
        on_end,
        request.class_index,
        limits,
        handshake=handshake,
        handshake_key=key,
        client_disconnected=request.client_disconnected,
    )
