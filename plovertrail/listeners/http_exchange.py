"""One request of an ordinary HTTP client and its response, from its route to its end."""

from __future__ import annotations

from dataclasses import dataclass

from plovertrail.decisions.rate_limits import LimitExceeded, limit_header, policy_header
from plovertrail.decisions.websocket_messages import CloseCause
from plovertrail.generation import RoutePlan
from plovertrail.hooks.chain import Trail
from plovertrail.http1.heads import Headers
from plovertrail.http1.requests import RequestMessage
from plovertrail.listeners.websocket_service import PendingHandshake

# outcomes of a request in the words of the hooks' interface (docs/hook-abi.md)
SERVED = b"served"
REJECTED = b"refused"
FAILED = b"failed"
CANCELLED = b"gone"
PLAIN_TEXT = (b"Content-Type", b"text/plain")


@dataclass(slots=True)
class HttpExchange:
    """The open request of a connection; what is known of it grows until it is forwarded."""

    message: RequestMessage
    plan: RoutePlan | None = None
    hooks: Trail | None = None  # its way through its route's hooks
    handshake: PendingHandshake | None = None  # of the WebSocket session that it asks for

    def end_hooks(self, outcome: bytes, status: int) -> None:
        """Tell the hooks once that the request is over for its client."""
        hooks, self.hooks = self.hooks, None
        if hooks is not None:
            hooks.end(outcome, status)

    def cancel(self) -> None:
        """The client has left."""
        if self.handshake is not None:
            self.handshake.abandon(CloseCause.CLIENT_LEFT_HANDSHAKE)
            self.handshake = None
        self.end_hooks(CANCELLED, 0)


@dataclass(frozen=True, slots=True)
class LocalResponse:
    """A response that is made here, without an endpoint."""

    status: int
    body: bytes
    headers: Headers
    outcome: bytes = REJECTED
    close: bool = False  # the connection ends behind it
    has_length: bool = True  # False: the status allows no body


def error_response(
    status: int,
    text: str,
    headers: Headers | None = None,
    close: bool = False,
    outcome: bytes = REJECTED,
) -> LocalResponse:
    """Return a response with one line of plain text."""
    return LocalResponse(status, text.encode() + b"\n", [PLAIN_TEXT, *(headers or [])], outcome, close)


def retry_after_headers(after_us: int) -> Headers:
    """Return Retry-After in whole seconds (RFC 9110, section 10.2.3); nothing for 0."""
    return [(b"Retry-After", b"%d" % -(-after_us // 1_000_000))] if after_us else []


def limit_exceeded_headers(exceeded: LimitExceeded) -> Headers:
    """Return Retry-After, and the limit if its operator wants it named."""
    headers = retry_after_headers(exceeded.retry_after_us)
    if exceeded.limiter.send_headers:
        headers += [
            (b"RateLimit-Policy", policy_header(exceeded).encode()),
            (b"RateLimit", limit_header(exceeded).encode()),
        ]
    return headers
