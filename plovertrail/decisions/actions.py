"""The actions that a load balancer asks for; whoever embeds it carries them out in the order given.

Times are whole microseconds (`_us`) on the process's own monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 ... in the order of their sends."""

    request: int
    upstream: int
    timeout_us: int = 0  # 0 = until the client quits
    within_us: int = 0  # it may begin within this, and no later; 0 = at any time


@dataclass(slots=True)
class Refuse:
    """Final answer: not done, and trying again is harmless."""

    request: int
    retry_after_us: int = 0  # 0 = no advice


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about what it did."""

    request: int


@dataclass(slots=True)
class Cancel:
    """Give up an attempt that is out."""

    request: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Ask an upstream for its health and load, outside of requests."""

    upstream: int


@dataclass(slots=True)
class SetTimer:
    """Tell TimerFired with this token at `at_us`."""

    at_us: int
    token: int = 0


@dataclass(slots=True)
class Subscribe:
    """Begin to watch the list of upstreams, or end it."""

    active: bool = True


@dataclass(slots=True)
class FetchList:
    """Fetch the whole list of upstreams once."""


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to an upstream."""

    upstream: int


@dataclass(slots=True)
class TellPeer:
    """Send a message to one other instance, or to all."""

    payload: bytes
    to: int | None = None  # None = every peer


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | Probe | SetTimer | Subscribe | FetchList | CloseIdle | TellPeer | Log
