"""The actions that a load balancer asks for; whoever embeds it carries them out in the order given.

Times are whole microseconds (`_us`) on the process's own monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt; the attempts of a request are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    endpoint_id: int
    timeout_us: int = 0  # 0 = until the client disconnects
    start_within_us: int = 0  # how late it may be written; 0 = at any time


@dataclass(slots=True)
class Reject:
    """Final answer: not done, and a retry by the client is harmless."""

    request: int
    retry_after_us: int = 0  # 0 = no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class HealthCheck:
    """Ask an endpoint for its health and load, outside of requests."""

    endpoint_id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired` with this token at `at_us`."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Start or stop watching the endpoint list."""

    active: bool = True


@dataclass(slots=True)
class PollEndpoints:
    """Fetch the complete endpoint list once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint_id: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to one other instance, or to all."""

    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send
    | Reject
    | Fail
    | Cancel
    | HealthCheck
    | SetTimer
    | Subscribe
    | PollEndpoints
    | CloseIdle
    | SendToPeer
    | Log
)
