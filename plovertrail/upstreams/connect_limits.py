"""Limits on the number of a pool's connections and on the rate of new ones."""

from __future__ import annotations

from plovertrail.clock import clock_us
from plovertrail.decisions.connect_rate import ConnectRateLimiter
from plovertrail.decisions.fleet_limits import InstanceLimits


class ConnectLimits:
    """The operator's limit, and this instance's share of the limits for the whole fleet."""

    def __init__(self, max_connections: int) -> None:
        self.configured_max = max_connections
        self.max_connections = max_connections
        self.instance = InstanceLimits()
        self.rate: ConnectRateLimiter | None = None

    def configure(self, max_connections: int) -> None:
        """Apply a new limit of the operator."""
        self.configured_max = max_connections
        self.max_connections = min(max_connections, self.instance.connections or max_connections)

    def apply(self, limits: InstanceLimits, start_fraction: float) -> None:
        """Apply a new share of the fleet's limits.

        The first connect is allowed after the part `start_fraction` (0 to 1) of the interval between two.
        """
        self.instance = limits
        self.max_connections = min(self.configured_max, limits.connections or self.configured_max)
        if not limits.connect_interval_us:
            self.rate = None
        elif self.rate is None:
            self.rate = ConnectRateLimiter(limits.connect_interval_us, clock_us(), start_fraction)
        else:
            self.rate.set_interval(limits.connect_interval_us, clock_us())

    def process_paused(self, start_fraction: float) -> None:
        """Restart the rate limit after a pause of the process; `start_fraction` as for `apply`."""
        if self.rate is not None:
            self.rate.process_paused(clock_us(), start_fraction)

    @property
    def are_fleet_wide(self) -> bool:
        """Whether the fleet's limits may forbid a connect."""
        return bool(self.instance.connections) or self.rate is not None

    def allow_connect(self, at_endpoint: int, total: int, any_idle: bool) -> bool:
        """Whether one more connection may be made.

        At the limit, an idle connection can be closed to make room.
        """
        per_endpoint = self.instance.connections_per_endpoint
        if per_endpoint and at_endpoint >= per_endpoint:
            return False
        if self.instance.connections and total >= self.max_connections and not any_idle:
            return False
        return self.rate is None or self.rate.allows(clock_us())

    def next_connect_us(self) -> int:
        """When the next connection may be made; 0 without a limit on the rate."""
        return self.rate.next_us if self.rate is not None else 0

    def reserve_retry_us(self, longest_us: int) -> int:
        """Reserve a connect for a rejected client's retry, and return its time; 0: no wait is needed."""
        now_us = clock_us()
        if self.rate is None or self.rate.allows(now_us):
            return 0
        return self.rate.reserve_retry_us(now_us, longest_us)
