"""The actions that a load balancer returns; the caller carries them out in the order given.

Times are whole microseconds (`_us`) on the process's monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt. The attempts of a request are numbered from 0 in the order in which they are sent."""

    request: int
    endpoint_id: int
    timeout_us: int = 0  # 0 = no timeout; the attempt ends when the client disconnects
    start_within_us: int = 0  # discard the attempt if it is not written within this time; 0 = no limit


@dataclass(slots=True)
class Reject:
    """Final answer: the request was not served, and the client may safely retry it."""

    request: int
    retry_after_us: int = 0  # 0 = send no Retry-After


@dataclass(slots=True)
class Fail:
    """Final answer: the request failed and may have been executed."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt that is in flight."""

    request: int
    attempt: int


@dataclass(slots=True)
class HealthCheck:
    """Send a health check to an endpoint, which reports its health and load."""

    endpoint_id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver a `TimerFired` event with this token at `at_us`."""

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
    """Send a message to one peer or to all peers."""

    payload: bytes
    to: int | None = None  # None = all peers


@dataclass(slots=True)
class Log:
    """Write a log line."""

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
