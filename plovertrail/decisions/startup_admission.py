"""Limits the concurrent requests of an instance that starts at the same time as the rest of its fleet.

Each load balancer starts with one slot per endpoint, so N instances that start together would send N requests
to each endpoint, whatever its capacity. An instance of a fleet therefore starts with its share of one request
per endpoint, but at least two requests. Each response in time raises the limit by one, which doubles it per
round trip; each late response or rejection lowers it by one (slow start: Jacobson, "Congestion Avoidance and
Control", SIGCOMM 1988, driven by successful responses).

The limit is lifted when it reaches the number of endpoints, because from then on the load balancer's own
concurrency limits grow in the same way, or after a period without late responses.
"""

from __future__ import annotations

from collections.abc import Callable

from plovertrail.decisions.events import Outcome

ON_TIME_PERIOD_US = 5_000_000  # without a late response, the load is too low to do harm
MIN_LIMIT = 2.0  # with 1, random arrivals would often be rejected because another request is in flight
IN_TIME_FRACTION = 0.5  # of the latency objective; below it at the point where concurrency limits settle
LATE_OUTCOMES = (Outcome.TIMEOUT, Outcome.REJECTED)
# Rejected clients retry at random within this time; several seconds, because Retry-After has whole seconds.
MAX_RETRY_AFTER_US = 3_000_000


class StartupAdmission:
    """Limits the requests in flight of one instance after its start.

    `instances` is the size of the fleet. A single instance is never limited: its share would be one request
    per endpoint, which is where its load balancer starts anyway.
    """

    def __init__(self, instances: int, now_us: int, random: Callable[[], float]) -> None:
        self.instances = instances
        self.random = random
        self.endpoints = 0
        self.limit = MIN_LIMIT  # requests in flight
        self.min_limit = MIN_LIMIT
        self.last_late_us = now_us  # time of the last late response, initially the start
        self.finished = instances <= 1
        self.rejected = 0

    def endpoints_changed(self, endpoints: int) -> None:
        """Update the number of endpoints that this instance uses.

        If an instance's share is not a whole number, it is rounded up or down at random.
        """
        if not self.finished and endpoints != self.endpoints:
            self.endpoints = endpoints
            self.min_limit = max(MIN_LIMIT, float(int(endpoints / self.instances + self.random())))
            self.limit = max(self.limit, self.min_limit)

    def admits(self, in_flight: int, now_us: int) -> bool:
        """Whether a request is admitted with `in_flight` others in flight."""
        if self.finished:
            return True
        if not self.endpoints:
            return True  # no endpoint is known yet, so nothing can be sent
        if self.limit >= self.endpoints or now_us - self.last_late_us >= ON_TIME_PERIOD_US:
            self.finished = True
            return True
        if in_flight < int(self.limit):
            return True
        self.rejected += 1
        return False

    def attempt_ended(self, outcome: Outcome, elapsed_us: int, objective_us: int, now_us: int) -> None:
        """Adjust the limit by an attempt's outcome; immediate failures say nothing about the load."""
        if self.finished:
            return
        if outcome in LATE_OUTCOMES or (
            outcome is Outcome.OK and elapsed_us > IN_TIME_FRACTION * objective_us
        ):
            self.last_late_us = now_us
            self.limit = max(self.min_limit, self.limit - 1.0)
        elif outcome is Outcome.OK:
            self.limit += 1.0

    def retry_after_us(self) -> int:
        """Return a random retry time for a rejected client, so that clients don't all return together."""
        return 1 + int(MAX_RETRY_AFTER_US * self.random())
