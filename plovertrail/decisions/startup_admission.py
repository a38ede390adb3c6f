"""How many requests an instance admits at once after a start, beside all others that started with it.

Each load balancer alone opens one slot at each endpoint: N instances that start at one moment would have N
requests at each endpoint, whatever its capacity. So an instance of a fleet begins with its part of one
request at each endpoint, and with two at least. Each response in time admits one more, so that the limit
doubles with each round, and each late response or rejection takes one back (slow start: Jacobson,
"Congestion Avoidance and Control", SIGCOMM 1988, by success instead of time).

It ends once the limit reaches the number of endpoints, as from there on the load balancer's concurrency
limits rise by the same evidence, or after a period with no late response.
"""

from __future__ import annotations

from collections.abc import Callable

from plovertrail.decisions.events import Outcome

ON_TIME_PERIOD_US = 5_000_000  # with no late response: the load is too low to tell anything, or to do harm
MIN_LIMIT = 2.0  # with one, many requests that come at random would find another one in their way
IN_TIME_FRACTION = 0.5  # of the latency objective: where concurrency limits settle, responses take less
LATE_OUTCOMES = (Outcome.TIMEOUT, Outcome.REJECTED)
# Rejected clients retry at random within this. Retry-After has whole seconds, so it is several of them.
MAX_RETRY_AFTER_US = 3_000_000


class StartupAdmission:
    """Limits the requests in flight of one instance after its start.

    `instances` is the size of the fleet. An instance that is alone is never limited: it would admit one
    request for each endpoint, as its load balancer does.
    """

    def __init__(self, instances: int, now_us: int, random: Callable[[], float]) -> None:
        self.instances = instances
        self.random = random
        self.endpoints = 0
        self.limit = MIN_LIMIT  # requests in flight
        self.min_limit = MIN_LIMIT
        self.last_late_us = now_us  # when a response was last late, or this began
        self.finished = instances <= 1
        self.rejected = 0

    def endpoints_changed(self, endpoints: int) -> None:
        """Note how many endpoints are in use here.

        Where the part of each instance is not a whole number, some have one more, by chance.
        """
        if not self.finished and endpoints != self.endpoints:
            self.endpoints = endpoints
            self.min_limit = max(MIN_LIMIT, float(int(endpoints / self.instances + self.random())))
            self.limit = max(self.limit, self.min_limit)

    def admits(self, in_flight: int, now_us: int) -> bool:
        """Whether a request is admitted beside so many that are in flight."""
        if self.finished:
            return True
        if not self.endpoints:
            return True  # no endpoint is known yet, and nothing can be sent
        if self.limit >= self.endpoints or now_us - self.last_late_us >= ON_TIME_PERIOD_US:
            self.finished = True
            return True
        if in_flight < int(self.limit):
            return True
        self.rejected += 1
        return False

    def attempt_ended(self, outcome: Outcome, elapsed_us: int, objective_us: int, now_us: int) -> None:
        """Move the limit by an attempt's outcome; faults that come at once tell nothing of the load."""
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
        """Draw when a rejected client should retry: spread, or all of them would return at one moment."""
        return 1 + int(MAX_RETRY_AFTER_US * self.random())
