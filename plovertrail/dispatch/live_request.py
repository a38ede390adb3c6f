"""The state of live requests and attempts, changed only by the dispatcher and its parts.

Times are in microseconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from plovertrail.decisions.events import Outcome, RequestArrived
from plovertrail.decisions.failover import FailoverState
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import (
    AttemptHandle,
    ConnectionUse,
    ProxyRequest,
    ProxyResponse,
    TransportResult,
)

if TYPE_CHECKING:  # imported only where configured, to keep the platform's sidecar (__main__.py) small
    from plovertrail.decisions.rate_limits import Permit


@dataclass(slots=True)
class LiveAttempt:
    """One attempt at one endpoint, from the decision to send it until its result."""

    pool: ServerPool
    endpoint_id: int
    started_us: int
    handle: AttemptHandle | None = None
    timer: asyncio.TimerHandle | None = None
    ended: bool = False
    ended_us: int = 0
    outcome: Outcome | None = None  # None while it is in flight
    use: ConnectionUse | None = None  # None: it got no connection, or is in flight
    handshake_counted: bool = False  # its WebSocket handshake counts towards the endpoint's limit


@dataclass(slots=True)
class LiveRequest:
    """A client's request, until it is finished and all its attempts have ended."""

    request_id: int
    proxied: ProxyRequest
    due_us: int  # the time by which it has to be answered
    reply: Callable[[ProxyResponse], None]  # called with the final response, at most once
    pools: Sequence[ServerPool]  # the pools of its route when it arrived, in order
    failover: FailoverState
    pool: ServerPool | None = None  # the current pool
    first_attempt: int = 0  # the index of the current pool's first attempt
    arrival: RequestArrived | None = None  # the event for the current pool, until the request is admitted
    slot_time_us: int = 0  # total time for which its attempts held slots of the current pool
    last_result: TransportResult | None = None  # the result of the attempt that ended last
    attempts: list[LiveAttempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    permits: Sequence[Permit] = ()  # from the rate limiters that admitted it
    finished: bool = False  # it has been answered, or its client has disconnected
