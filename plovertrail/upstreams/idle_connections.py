"""Idle connections, with statistics on the idle times after which reuse fails."""

from __future__ import annotations

import asyncio

from plovertrail.clock import clock_us
from plovertrail.upstreams.connection import Connection

REUSE_AVERAGE_SAMPLES = 16  # length of the moving average of reuses after a similar idle time
MAX_BROKEN_SHARE = 0.15  # share of reuses that may break; a lost request costs about ten new connections
BROKEN_SHARE_DECAY = 0.99  # applied for each connection that is not reused, so that reuse is tried again
MIN_SWEEP_INTERVAL_S = 0.1  # between two searches for connections to close


class IdleConnections:
    """Idle connections by endpoint, the one that has been idle longest first.

    They are kept by endpoint and not by address, as a new endpoint may get the address of a removed one. The
    one that has been idle longest is used first: on one that has just received its response, the end of the
    stream or stray bytes may still be in transit. `max_idle_us`: for how long connections are kept.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_idle_us: int) -> None:
        self.loop = loop
        self.max_idle_us = max_idle_us
        self.by_endpoint: dict[int, list[Connection]] = {}
        self.broken_share = [0.0] * 64  # share of reuses that broke, by log2 of the idle time
        self.sweeper: asyncio.TimerHandle | None = None  # set while there are idle connections

    def add(self, connection: Connection) -> None:
        """Add an idle connection."""
        connection.history.idle_since_us = clock_us()
        self.by_endpoint.setdefault(connection.endpoint_id, []).append(connection)
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(
                max(MIN_SWEEP_INTERVAL_S, self.max_idle_us / 1e6), self._sweep
            )

    def discard(self, connection: Connection) -> None:
        """Remove a connection, if it is here; it stays open."""
        idle = self.by_endpoint.get(connection.endpoint_id, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self.by_endpoint[connection.endpoint_id]

    def take(
        self, endpoint_id: int, now_us: int, min_idle_us: int, reuse_delay_us: int = 0
    ) -> Connection | None:
        """Remove and return a connection that can be used for a request; closes those that can't.

        If it has carried a request before, it has been idle for `min_idle_us`, and will be used when it has
        been idle for `reuse_delay_us`.
        """
        while idle := self.by_endpoint.get(endpoint_id):
            connection = idle[0]
            idle_us = now_us - connection.history.idle_since_us
            if connection.history.requests_sent and idle_us < min_idle_us:
                return None
            used_after_us = max(idle_us, reuse_delay_us) if connection.history.requests_sent else idle_us
            is_fresh = used_after_us < self.max_idle_us and self.is_trusted(used_after_us)
            if is_fresh and connection.usable():
                self.discard(connection)
                connection.idle_us = idle_us
                return connection
            connection.close_unusable()
        return None

    def is_trusted(self, idle_us: int) -> bool:
        """Whether connections that were idle for this long may be reused.

        A device on the path may silently drop idle connections earlier than the configured timeout. Reusing
        one costs a request, so connections are not reused after idle times at which others broke.
        """
        bucket = idle_us.bit_length()
        if self.broken_share[bucket] > MAX_BROKEN_SHARE:
            self.broken_share[bucket] *= BROKEN_SHARE_DECAY
            return False
        return True

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a connection broke when it was reused after this idle time."""
        bucket = idle_us.bit_length()
        self.broken_share[bucket] += (float(broke) - self.broken_share[bucket]) / REUSE_AVERAGE_SAMPLES

    def close_oldest(self) -> bool:
        """Close the connection that has been idle longest; returns whether there was one."""
        idle = [connection for group in self.by_endpoint.values() for connection in group]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.history.idle_since_us).close("limit_reached")
        return True

    def close_all(self, endpoint_id: int) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self.by_endpoint.get(endpoint_id, [])[:]:
            connection.close("endpoint_failing_or_removed")

    def _sweep(self) -> None:
        """Close connections that the endpoints are about to close."""
        self.sweeper = None
        oldest_us = clock_us() - self.max_idle_us
        for connections in list(self.by_endpoint.values()):
            for connection in [each for each in connections if each.history.idle_since_us <= oldest_us]:
                connection.close("idle_timeout")
        if self.by_endpoint:
            first_us = min(connections[0].history.idle_since_us for connections in self.by_endpoint.values())
            self.sweeper = self.loop.call_later(
                max(MIN_SWEEP_INTERVAL_S, (first_us - oldest_us) / 1e6), self._sweep
            )
