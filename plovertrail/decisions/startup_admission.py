"""How much an instance lets in at once after it has come to life, beside all others that did the same.

Each module alone opens one slot at each server: N instances that start at one moment would have N requests
at each server, whatever it bears. So an instance of a fleet begins with its part of one request at each
server, and with two at least; each answer in time lets one more in, so that it doubles with each round, and
each late one or refusal takes one back (slow start: Jacobson, "Congestion Avoidance and Control", SIGCOMM
1988, by success and not by time). It is over once it lets in as many as there are servers, as from there on
the module's slots rise by the same evidence; or once so long has gone by with nothing late. Pure.
"""

from __future__ import annotations

from collections.abc import Callable

from plovertrail.decisions.events import Outcome

CALM_US = 5_000_000  # without one late answer: what is asked is too little to tell, and to do harm
LEAST = 2.0  # hazard: with one, of requests that come at random many would find the other one in their way
IN_TIME = 0.5  # of the aim: where slots settle an answer takes less
LATE = (Outcome.TIMEOUT, Outcome.REJECTED)
# what is refused comes back at random within this, several times the second that ordinary clients are told in
ADVICE_US = 3_000_000


class StartupAdmission:
    """`size`: instances of the fleet. With one alone it lets in one for each server, as the module does, and
    is never in the way."""

    def __init__(self, size: int, now_us: int, rng: Callable[[], float]) -> None:
        self.size = size
        self.rng = rng
        self.servers = 0
        self.window = self.least = LEAST
        self.late_us = now_us  # when an answer was last late, or this began
        self.over = size <= 1
        self.refused = 0

    def reckon(self, servers: int) -> None:
        """So many servers are in use here. Where parts are not whole some have one more, by chance."""
        if not self.over and servers != self.servers:
            self.servers = servers
            self.least = max(LEAST, float(int(servers / self.size + self.rng())))
            self.window = max(self.window, self.least)

    def may(self, at_once: int, now_us: int) -> bool:
        """Whether a request may come in beside so many that are open."""
        if self.over:
            return True
        if not self.servers:
            return True  # none is known yet, and nothing can be sent
        if self.window >= self.servers or now_us - self.late_us >= CALM_US:
            self.over = True
            return True
        if at_once < int(self.window):
            return True
        self.refused += 1
        return False

    def ended(self, outcome: Outcome, elapsed_us: int, aim_us: int, now_us: int) -> None:
        """An attempt has ended. Faults that come at once tell nothing of the load."""
        if self.over:
            return
        if outcome in LATE or (outcome is Outcome.OK and elapsed_us > IN_TIME * aim_us):
            self.late_us = now_us
            self.window = max(self.least, self.window - 1.0)
        elif outcome is Outcome.OK:
            self.window += 1.0

    def back_after_us(self) -> int:
        """When one that is refused should come back: spread, or all that are refused now return as one."""
        return 1 + int(ADVICE_US * self.rng())
