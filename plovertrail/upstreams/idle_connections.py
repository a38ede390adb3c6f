"""Idle connections, and the statistics on how long they can be reused."""

from __future__ import annotations

import asyncio

from plovertrail.clock import clock_us
from plovertrail.upstreams.connection import Connection

REUSE_AVERAGE_SAMPLES = 16  # uses of connections that were idle for about as long
MAX_BROKEN_SHARE = 0.15  # of them; a request lost costs about ten new connections
BROKEN_SHARE_DECAY = 0.99  # for each one passed over, so that they are tried again
MIN_SWEEP_INTERVAL_S = 0.1  # between two looks for connections to close


class IdleConnections:
    """Idle connections by endpoint, the one that has been idle for longest first.

    By endpoint and not by address, as an endpoint may come to the address of one that was removed. The one
    that has been idle for longest is used first, as an end, or stray bytes, may still be on the way on one
    that has just had its response. `keep_us`: for how long they are kept.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, max_idle_us: int) -> None:
        self.loop = loop
        self.max_idle_us = max_idle_us
        self.by_endpoint: dict[int, list[Connection]] = {}
        self.broken_share = [0.0] * 64  # of those that broke at their next request, by log2 of the idle time
        self.sweeper: asyncio.TimerHandle | None = None  # set while there are idle connections

    def add(self, connection: Connection) -> None:
        """Keep a connection."""
        connection.idle_since_us = clock_us()
        self.by_endpoint.setdefault(connection.endpoint_id, []).append(connection)
        if self.sweeper is None:
            self.sweeper = self.loop.call_later(
                max(MIN_SWEEP_INTERVAL_S, self.max_idle_us / 1e6), self._sweep
            )

    def discard(self, connection: Connection) -> None:
        """Keep a connection no longer; nothing happens if it wasn't kept."""
        idle = self.by_endpoint.get(connection.endpoint_id, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self.by_endpoint[connection.endpoint_id]

    def take(self, endpoint_id: int, now_us: int) -> Connection | None:
        """A connection that can carry a request now; those that can't are closed."""
        while idle := self.by_endpoint.get(endpoint_id):
            connection = idle[0]
            idle_us = now_us - connection.idle_since_us
            if idle_us < self.max_idle_us and self.is_trusted(idle_us) and connection.usable():
                self.discard(connection)
                connection.idle_us = idle_us
                return connection
            connection.close()
        return None

    def is_trusted(self, idle_us: int) -> bool:
        """Whether connections that were idle for so long may be used.

        What lies between may drop idle connections sooner than the settings say, without a word. Each costs a
        request, so those idle for as long as others that broke are not used.
        """
        bucket = idle_us.bit_length()
        if self.broken_share[bucket] > MAX_BROKEN_SHARE:
            self.broken_share[bucket] *= BROKEN_SHARE_DECAY
            return False
        return True

    def record_reuse(self, idle_us: int, broke: bool) -> None:
        """Record whether a connection that had been idle for so long broke on reuse."""
        bucket = idle_us.bit_length()
        self.broken_share[bucket] += (float(broke) - self.broken_share[bucket]) / REUSE_AVERAGE_SAMPLES

    def close_oldest(self) -> bool:
        """Close the connection that has been idle for longest; returns whether there was one."""
        idle = [connection for group in self.by_endpoint.values() for connection in group]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.idle_since_us).close()
        return True

    def close_all(self, endpoint_id: int) -> None:
        """Close all idle connections to an endpoint."""
        for connection in self.by_endpoint.get(endpoint_id, [])[:]:
            connection.close()

    def _sweep(self) -> None:
        """Close what endpoints are about to close."""
        self.sweeper = None
        oldest_us = clock_us() - self.max_idle_us
        for connections in list(self.by_endpoint.values()):
            for connection in [each for each in connections if each.idle_since_us <= oldest_us]:
                connection.close()
        if self.by_endpoint:
            first_us = min(connections[0].idle_since_us for connections in self.by_endpoint.values())
            self.sweeper = self.loop.call_later(
                max(MIN_SWEEP_INTERVAL_S, (first_us - oldest_us) / 1e6), self._sweep
            )
