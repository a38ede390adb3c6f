"""The connections to the endpoints of one pool, and the attempts on them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Container

from plovertrail.clock import clock_us
from plovertrail.decisions.events import Outcome
from plovertrail.decisions.fleet_limits import InstanceLimits
from plovertrail.decisions.response_attribution import MAX_REUSE_WAIT_US, ResponseAttribution
from plovertrail.dispatch.types import (
    Address,
    AttemptLimits,
    ProxyRequest,
    TransportResult,
    never_stale,
)
from plovertrail.problem_log import ProblemLog
from plovertrail.upstreams.attempt import Attempt, make_attempt
from plovertrail.upstreams.connect_limits import ConnectLimits
from plovertrail.upstreams.connection import Connection
from plovertrail.upstreams.idle_connections import IdleConnections
from plovertrail.upstreams.response_reader import ResponseRules
from plovertrail.upstreams.stray_messages import StrayMessages

log = logging.getLogger(__name__)

# Idle connections are closed this long before the endpoints' configured timeout. Otherwise an endpoint may
# close one while a request is in transit, and a sidecar under a CPU limit may be paused for about this long.
IDLE_MARGIN_US = 300_000
MAX_ONLY_REUSE_WAIT_US = (
    100_000  # where no other may be made; the deadline in the request's head gets too old
)


class TooManyConnectionsError(OSError):
    """The limit on connections is reached, and none is idle."""


class UnreachableEndpoints:
    """The endpoints that an attempt can't reach now; a live view of a pool.

    `needs_new_connection`: idle connections can't be used, as for a WebSocket handshake.
    """

    def __init__(self, pool: ConnectionPool, needs_new_connection: bool) -> None:
        self.pool = pool
        self.needs_new_connection = needs_new_connection

    def __contains__(self, endpoint_id: object) -> bool:
        assert isinstance(endpoint_id, int)
        if not self.needs_new_connection and self.pool.has_usable_connection(endpoint_id):
            return False
        return not self.pool.may_connect(endpoint_id)


class ConnectionPool:
    """Connections to all endpoints of a list (dispatch.types.EndpointTransport).

    `idle_us`: the endpoints' timeout for idle connections. `turn_is_stale`: see Dispatcher.
    """

    def __init__(
        self,
        idle_us: int,
        connect_timeout_us: int,
        max_connections: int,
        rules: ResponseRules | None = None,
        turn_is_stale: Callable[[], bool] = never_stale,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.connect_timeout_us = connect_timeout_us
        self.rules = rules or ResponseRules()
        self.turn_is_stale = turn_is_stale
        self.limits = ConnectLimits(max_connections)
        self.connections: dict[int, set[Connection]] = {}  # by endpoint, also those that are connecting
        self.count = 0
        self.idle = IdleConnections(self.loop, max(0, idle_us - IDLE_MARGIN_US))
        self.connects: set[asyncio.Task[None]] = set()
        self.problems = ProblemLog()
        self.attribution = ResponseAttribution()
        self.strays = StrayMessages(self.attribution, self.rules, self.problems)
        self.last_number = 0  # of the connections made

    # Attempts

    def start(
        self,
        endpoint_id: int,
        address: Address,
        request: ProxyRequest,
        limits: AttemptLimits,
        on_end: Callable[[TransportResult], None],
    ) -> Attempt:
        """Begin an attempt, on an idle connection or a new one.

        If no connection can be made, `on_end` is still called only after this method has returned.
        """
        now_us = clock_us()
        is_suspicious = self.attribution.is_suspicious(now_us)
        single_use = is_suspicious or self._may_ask_to_close(request.class_index)
        attempt = make_attempt(request, address, limits, on_end, single_use)
        if attempt.handshake is None and not is_suspicious:
            connection = self._take_idle(endpoint_id, now_us)
            if connection is not None:
                self._send_after_delay(connection, attempt, now_us)
                return attempt
        if not self.may_connect(endpoint_id):
            # The load balancer excludes unreachable endpoints, but several attempts may have been sent where
            # only one more connection was allowed.
            self.loop.call_soon(end_unsent, attempt, Outcome.NOT_SENT)
            return attempt
        if self.limits.rate is not None:
            self.limits.rate.consume(now_us)
        try:
            # Created before its connect begins, so that `forget` finds it if its endpoint is removed.
            connection = self._make(endpoint_id, attempt)
        except OSError:
            self.loop.call_soon(end_unsent, attempt, Outcome.CONNECT_FAILED)
            return attempt
        task = self.loop.create_task(self._connect(connection, address, attempt))
        self.connects.add(task)
        task.add_done_callback(self.connects.discard)
        return attempt

    def _may_ask_to_close(self, class_index: int) -> bool:
        """Whether a request better asks its endpoint to close the connection, and another may be made."""
        return not self.limits.are_fleet_wide and self.attribution.is_inexperienced(class_index)

    def _take_idle(self, endpoint_id: int, now_us: int) -> Connection | None:
        """Take a connection that may be used again soon, or later if no new one may be made instead."""
        reuse_delay_us = self.attribution.reuse_delay_us(now_us)
        min_idle_us = max(0, reuse_delay_us - MAX_REUSE_WAIT_US)
        connection = self.idle.take(endpoint_id, now_us, min_idle_us, reuse_delay_us)
        if connection is None and min_idle_us and not self.may_connect(endpoint_id):
            connection = self.idle.take(
                endpoint_id, now_us, max(0, reuse_delay_us - MAX_ONLY_REUSE_WAIT_US), reuse_delay_us
            )
        return connection

    def _send_after_delay(self, connection: Connection, attempt: Attempt, now_us: int) -> None:
        """Send an attempt on an idle connection, once the reuse delay is over."""
        reuse_delay_us = self.attribution.reuse_delay_us(now_us) if connection.history.requests_sent else 0
        wait_us = reuse_delay_us - connection.idle_us
        if wait_us > 0:
            connection.idle_us = reuse_delay_us
            connection.send_after(attempt, wait_us)
        else:
            self.attribution.record_clean_reuse()
            connection.send(attempt)

    def _make(self, endpoint_id: int, attempt: Attempt) -> Connection:
        """Create a connection for an attempt; raises OSError at the limit of connections or descriptors."""
        # Without the limit, attempts at unresponsive endpoints would use up the file descriptors.
        if self.count >= self.limits.max_connections and not self.idle.close_oldest():
            raise TooManyConnectionsError("too many connections to endpoints")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, endpoint_id, sock)
        connection.attempt = attempt
        attempt.connection = connection
        return connection

    async def _connect(self, connection: Connection, address: Address, attempt: Attempt) -> None:
        """Connect within the timeout, else end the attempt with CONNECT_FAILED. Raises nothing."""
        if attempt.cancelled:  # before this task ran for the first time
            connection.sock.close()
            self.remove(connection)
            return
        try:
            async with asyncio.timeout(self.connect_timeout_us / 1e6 or None):
                await self.loop.sock_connect(connection.sock, address)
            await self.loop.create_connection(lambda: connection, sock=connection.sock)
        except Exception as error:
            # Refused, unreachable or timed out; or an invalid address, which is not always an OSError.
            if not isinstance(error, OSError):
                log.warning("connect failed endpoint=%d error=%r", connection.endpoint_id, error)
            fields = (
                f"endpoint={connection.endpoint_id} connection={connection.history.number} error={error!r}"
            )
            self.problems.report("connect_failed", lambda: fields)
            connection.attempt = None
            connection.sock.close()
            self.remove(connection)
            if not attempt.cancelled and not attempt.written:
                attempt.end(TransportResult(Outcome.CONNECT_FAILED))

    # Limits

    def configure(self, max_connections: int) -> None:
        """Apply a new limit of the operator; connections beyond it are closed as they become idle."""
        self.limits.configure(max_connections)

    def apply_limits(self, limits: InstanceLimits, start_fraction: float) -> None:
        """Apply this instance's share of the limits; connections beyond it are closed as they become idle.

        The first connect is allowed after the part `start_fraction` (0 to 1) of the interval between two.
        """
        self.limits.apply(limits, start_fraction)

    def process_paused(self, start_fraction: float) -> None:
        """Restart the rate limit after a pause of the process; `start_fraction` as for `apply_limits`."""
        self.limits.process_paused(start_fraction)

    def may_connect(self, endpoint_id: int) -> bool:
        """Whether one more connection to an endpoint may be made."""
        at_endpoint = len(self.connections.get(endpoint_id, ()))
        return self.limits.allow_connect(at_endpoint, self.count, bool(self.idle.by_endpoint))

    def has_usable_connection(self, endpoint_id: int) -> bool:
        """Whether a request to an endpoint needs no new connection."""
        return endpoint_id in self.idle.by_endpoint and not self.attribution.is_suspicious(clock_us())

    def unreachable(self, needs_new_connection: bool) -> Container[int]:
        """The endpoints that an attempt can't reach now; a live view."""
        if not self.limits.are_fleet_wide:
            return frozenset()
        return UnreachableEndpoints(self, needs_new_connection)

    def next_connect_us(self) -> int:
        """When the next connection may be made; 0 without a limit on the rate."""
        return self.limits.next_connect_us()

    def reserve_retry_us(self, longest_us: int) -> int:
        """Reserve a connect for a rejected client's retry, and return its time; 0: no wait is needed."""
        return self.limits.reserve_retry_us(longest_us)

    # Connections

    def add(self, connection: Connection) -> int:
        """Add a connection to the pool; returns its number."""
        self.connections.setdefault(connection.endpoint_id, set()).add(connection)
        self.count += 1
        self.last_number += 1
        return self.last_number

    def remove(self, connection: Connection) -> None:
        """Remove a connection from the pool, if it is in it."""
        self.idle.discard(connection)
        group = self.connections.get(connection.endpoint_id, set())
        if connection in group:
            group.remove(connection)
            self.count -= 1
        if not group:
            self.connections.pop(connection.endpoint_id, None)

    def keep_idle(self, connection: Connection) -> None:
        """Keep a connection for later requests; closes it if there are too many or none may be kept."""
        if self.count > self.limits.max_connections or not self.limits.instance.keep_idle:
            connection.close("limit_reached")
        else:
            self.idle.add(connection)

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a connection broke when it was reused after this idle time."""
        self.idle.record_reuse(idle_us, broke)

    def close_idle(self, endpoint_id: int) -> None:
        """Close all idle connections to an endpoint."""
        self.idle.close_all(endpoint_id)

    def forget(self, endpoint_id: int) -> None:
        """Close an endpoint's idle connections, and those in use once their attempts have ended."""
        self.close_idle(endpoint_id)
        for connection in self.connections.get(endpoint_id, set()):
            connection.endpoint_removed = True


def end_unsent(attempt: Attempt, outcome: Outcome) -> None:
    """End an attempt that got no connection, unless it has been cancelled meanwhile."""
    if not attempt.cancelled:
        attempt.end(TransportResult(outcome))
