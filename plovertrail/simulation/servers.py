"""Emulated servers: so many requests at once, a queue, and work that goes on when nobody waits for it."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field

from plovertrail.simulation.clock import SECOND_US, START_US, Clock

MOST_THRASH = 1.5  # times longer, at most
SPREAD = 4.0  # the shape of a gamma distribution: most answers take from half to twice the mean


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """What each server is like. `thrash`: by how much of itself an answer takes longer for each request that
    waits (paging, locks, garbage)."""

    slots: int = 4
    answer_us: int = 20_000
    connections: int = 0  # that it takes; 0 = any
    longest_queue: int = 0  # what comes beyond is turned away, and never ran; 0 = any
    cold_share: float = 0.3
    warm_up_us: int = 8 * SECOND_US
    thrash: float = 0.0


@dataclass(eq=False, slots=True)
class Server:
    """One server and what it has seen, by whole seconds of the play."""

    number: int
    plan: ServerPlan
    clock: Clock
    rng: random.Random
    started_us: int = 0  # 0 = long ago
    open: int = 0
    free: list[int] = field(default_factory=list)  # when each slot will be; a heap
    requests: Counter[int] = field(default_factory=Counter)
    dials: Counter[int] = field(default_factory=Counter)
    open_most: Counter[int] = field(default_factory=Counter)
    first_contacts: Counter[int] = field(default_factory=Counter)  # by instances that hadn't sent it anything
    in_work_most: int = 0

    def __post_init__(self) -> None:
        self.free = [0] * self.plan.slots

    @property
    def second(self) -> int:
        """The whole seconds since the start of the play; what the counters are kept by."""
        return (self.clock.now_us - START_US) // SECOND_US

    def warmth_at(self, at_us: int) -> float:
        """Of what it can do, from the cold share to 1."""
        if not self.started_us:
            return 1.0
        age = max(0, at_us - self.started_us) / self.plan.warm_up_us
        return min(1.0, self.plan.cold_share + (1.0 - self.plan.cold_share) * age)

    def dialled(self) -> bool:
        """Whether it takes a further connection."""
        self.dials[self.second] += 1
        if self.plan.connections and self.open >= self.plan.connections:
            return False
        self.open += 1
        self.open_most[self.second] = max(self.open_most[self.second], self.open)
        return True

    def closed(self) -> None:
        """A connection to the server has been closed."""
        self.open -= 1

    def waiting(self) -> int:
        """Requests that are being worked on or wait, by the slots' times."""
        now_us = self.clock.now_us
        return int(sum(max(0, at_us - now_us) for at_us in self.free) / self.plan.answer_us)

    def answers_us(self) -> int | None:
        """A request has come: after how long its answer leaves; None: it is turned away and never ran."""
        self.requests[self.second] += 1
        now_us, waiting = self.clock.now_us, self.waiting()
        self.in_work_most = max(self.in_work_most, waiting)
        if self.plan.longest_queue and waiting >= self.plan.longest_queue + self.plan.slots:
            return None
        took = self.rng.gammavariate(SPREAD, self.plan.answer_us / SPREAD) / self.warmth_at(now_us)
        took *= min(MOST_THRASH, 1.0 + self.plan.thrash * max(0, waiting - self.plan.slots))
        ends_us = max(now_us, heapq.heappop(self.free)) + int(took)
        heapq.heappush(self.free, ends_us)
        return ends_us - now_us
