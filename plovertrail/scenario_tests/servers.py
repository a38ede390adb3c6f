"""Servers that are played: what is sent to them is told, and what comes back is as the scenario says."""

from __future__ import annotations

import asyncio
import enum
from collections.abc import Callable, Container
from dataclasses import dataclass, field

from plovertrail.decisions.events import Outcome
from plovertrail.decisions.fleet_limits import InstanceLimits
from plovertrail.dispatch.types import AttemptLimits, ProxyRequest, TransportResult

USUAL_US = 20_000
REFUSED_US = 200  # a refused connection is told so soon


class Does(enum.Enum):
    """What a server does with a request."""

    OK = "ok"
    ERROR = "error"  # answers with a status of its own
    FULL = "full"  # 503 with X-Not-Run: 1
    REFUSE = "refuse"  # takes no connection
    RESET_EARLY = "reset-early"  # breaks the connection before the last byte has been written
    RESET_LATE = "reset-late"  # and after it
    SILENT = "silent"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """How a server treats an attempt: what it does, and after how many microseconds."""

    does: Does = Does.OK
    after_us: int = USUAL_US
    status: int = 500  # of an error


NEVER_RAN = (Does.FULL, Does.REFUSE, Does.RESET_EARLY)
OUTCOMES = {
    Does.OK: Outcome.OK,
    Does.ERROR: Outcome.ERROR,
    Does.FULL: Outcome.REJECTED,
    Does.REFUSE: Outcome.CONNECT_FAILED,
    Does.RESET_EARLY: Outcome.CONNECT_FAILED,
    Does.RESET_LATE: Outcome.RESET,
}


class PlayedFlight:
    """An attempt that is out."""

    def __init__(self, does: Does) -> None:
        self.written = does is not Does.REFUSE
        self.timer: asyncio.TimerHandle | None = None
        self.given_up: Callable[[], None] = lambda: None

    def cancel(self) -> None:
        """Cancel the attempt: its answer will not come, and there is no connection to tell of."""
        if self.timer is not None:
            self.timer.cancel()
        self.given_up()


Sent = Callable[[str, int, tuple[str, int], ProxyRequest, Behaviour], Callable[[str], None]]


@dataclass
class PlayedServers:
    """The side of the servers of one pool. `sent` is told of each attempt, and gives what is to be told of
    its end; `behaviour` says what the server at an address does now."""

    pool: str
    sent: Sent
    behaviour: Callable[[tuple[str, int]], Behaviour]
    loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.get_running_loop)

    def start(
        self,
        endpoint_id: int,
        address: tuple[str, int],
        request: ProxyRequest,
        limits: AttemptLimits,
        on_end: Callable[[TransportResult], None],
    ) -> PlayedFlight:
        """Send an attempt: `on_end` is called when its server's behaviour says so, never if it is silent."""
        behaviour = self.behaviour(address)
        over = self.sent(self.pool, endpoint_id, address, request, behaviour)
        flight = PlayedFlight(behaviour.does)
        flight.given_up = lambda: over("given up")
        if behaviour.does is not Does.SILENT:
            result = TransportResult(OUTCOMES[behaviour.does])
            if behaviour.does is Does.OK:
                result = TransportResult(Outcome.OK, 200, [], b"played")
            elif behaviour.does is Does.ERROR:
                result = TransportResult(Outcome.ERROR, behaviour.status, [], b"")

            def end() -> None:
                over(behaviour.does.value)
                on_end(result)

            after_us = REFUSED_US if behaviour.does is Does.REFUSE else behaviour.after_us
            flight.timer = self.loop.call_later(after_us / 1e6, end)
        return flight

    def unreachable(self, needs_new_connection: bool) -> Container[int]:
        """No server is ever closed for lack of connections."""
        return ()

    def next_connect_us(self) -> int:
        """0 us: a connection may be opened at once."""
        return 0

    def reserve_retry_us(self, longest_us: int) -> int:
        """0 us: a connection may be opened at once."""
        return 0

    def close_idle(self, endpoint_id: int) -> None:
        """There are no idle connections to close."""

    def forget(self, endpoint_id: int) -> None:
        """Nothing is kept of a server that has left."""

    def apply_limits(self, limits: InstanceLimits, first: float) -> None:
        """Limits of connections are not played."""

    def configure(self, max_connections: int) -> None:
        """Bounds of connections are not played."""
