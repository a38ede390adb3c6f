"""Clients of a modelled fleet: an open loop, and comers-back who are refused or find nobody."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass
from functools import partial

from plovertrail.simulation.clock import SECOND_US, Clock
from plovertrail.simulation.instances import Instance

BIN_US = 100_000  # of the play, for what is counted


@dataclass(frozen=True, slots=True)
class ClientPlan:
    """`tries`: how often one asks, at most; who gets no advice comes back after a random part of `pause_us`,
    who gets some after that and up to a tenth more."""

    per_s: float = 1_000.0
    deadline_us: int = 1_000_000
    tries: int = 4
    pause_us: int = SECOND_US


class Clients:
    """All clients; what became of their tries, by when these were sent."""

    def __init__(
        self, clock: Clock, plan: ClientPlan, instances: Sequence[Instance], rng: random.Random
    ) -> None:
        self.clock = clock
        self.plan = plan
        self.instances = instances
        self.rng = rng
        self.per_s = plan.per_s
        self.idents = 0
        self.came: Counter[int] = Counter()  # first tries
        self.sent: Counter[int] = Counter()  # all tries
        self.served: Counter[int] = Counter()
        self.made: Counter[int] = Counter()  # first tries that were served in the end, by when they came
        self.late = self.given_up = 0
        self.ends_us = 0

    def play(self, until_us: int) -> None:
        """First tries come at random moments from now until then."""
        self.ends_us = until_us
        self._next()

    def _next(self) -> None:
        gap_us = self.rng.expovariate(self.per_s / SECOND_US)
        self.clock.after(max(1, int(gap_us)), self._arrives)

    def _arrives(self) -> None:
        if self.clock.now_us >= self.ends_us:
            return
        self._next()
        self.came[self._bin] += 1
        self._try(1, self._bin)

    @property
    def _bin(self) -> int:
        return self.clock.play_us // BIN_US

    def ask(self, instance: Instance) -> None:
        """One first try now, at this instance."""
        self.came[self._bin] += 1
        self._try(1, self._bin, instance)

    def _try(self, number: int, first: int, instance: Instance | None = None) -> None:
        instance = instance or self.rng.choice(self.instances)
        self.idents += 1
        self.sent[self._bin] += 1
        answer = partial(self._answer, number, first, self._bin, self.clock.now_us)
        if not instance.up:
            answer(False, 0)
            return
        instance.ask(self.idents, self.clock.now_us + self.plan.deadline_us, answer)

    def _answer(self, number: int, first: int, sent: int, sent_us: int, served: bool, after_us: int) -> None:
        self.late += self.clock.now_us > sent_us + self.plan.deadline_us
        if served:
            self.served[sent] += 1
            self.made[first] += 1
            return
        if number >= self.plan.tries:
            self.given_up += 1
            return
        draw = self.rng.random()
        wait = after_us * (1.0 + 0.1 * draw) if after_us else self.plan.pause_us * draw
        self.clock.after(max(1_000, int(wait)), self._try, number + 1, first)
