"""The requests and attempts that are live: state of the dispatcher, changed by it and its parts alone.

Times are by the monotonic clock, in microseconds.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from plovertrail.decisions.events import RequestArrived
from plovertrail.decisions.failover import FailoverState
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.types import AttemptHandle, ProxyRequest, ProxyResponse, TransportResult

if TYPE_CHECKING:  # imported where a limit is configured: the platform's start has none
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
    handshake_counted: bool = False  # the WebSocket that it asks for counts at its endpoint


@dataclass(slots=True)
class LiveRequest:
    """A client's request while it is open or any of its attempts is."""

    request_id: int
    proxied: ProxyRequest
    due_us: int  # its deadline
    reply: Callable[[ProxyResponse], None]  # called with the final response, at most once
    pools: Sequence[ServerPool]  # those it began with, in their order
    failover: FailoverState
    pool: ServerPool | None = None  # the one that has it now
    first_attempt: int = 0  # the number of that pool's first attempt
    arrival: RequestArrived | None = None  # that pool's event, while the request is queued before it
    slot_time_us: int = 0  # for how long that pool's slots were held, over its attempts
    last_result: TransportResult | None = None  # of the attempt that ended last
    attempts: list[LiveAttempt] = field(default_factory=list)
    timer: asyncio.TimerHandle | None = None
    permits: Sequence[Permit] = ()  # of the limits that it counts under
    finished: bool = False  # it has had its final response, or the client has disconnected
