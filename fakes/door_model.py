"""A pool's door on a virtual clock: tenants that ask, slots that serve, clients that come back when told."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.decisions.fairness import Admitted, Door, DoorSettings, TurnedAway

DEADLINE_US = 1_200_000
START_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """What one tenant's clients ask."""

    name: str
    a_second: float
    work_us: float = 20_000.0  # on average; drawn between a half and one and a half of it
    clients: int = 20
    worth: float = 1.0
    honours: bool = False  # they come back once, at the time that they were told
    retries_us: int = 0  # or so long after each refusal, whatever they were told; 0 = never
    made_up: bool = False  # another name on every request
    closed: bool = False  # each client has one request at a time, and waits as told; `a_second` of all served


@dataclass(slots=True)
class Seen:
    """What became of one tenant's requests."""

    asked: int = 0
    served: int = 0
    work_us: int = 0
    came_back: int = 0
    let_in: int = 0  # of those
    refused: int = 0


class DoorModel:
    """One door in front of so many slots; `fair` False lets through by arrival, as a pool without a door."""

    def __init__(
        self, settings: DoorSettings, slots: int, loads: list[Load], seed: int, fair: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.now_us = START_US
        self.door = Door(settings, self.now_us, self.rng.random)
        self.fair = fair
        self.slots = slots
        self.busy = 0
        self.loads = loads
        self.seen: dict[str, Seen] = {load.name: Seen() for load in loads}
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0
        self.asked: dict[int, tuple[Load, str, str, bool]] = {}
        self.answers: Counter[int] = Counter()  # to each request; must be one
        for load in loads:
            if load.closed:
                for number in range(load.clients):
                    self._think(load, f"{load.name}-{number}")
            else:
                self._next_of(load)

    def later(self, after_us: float, what: Callable[[], None]) -> None:
        """Call `what` after `after_us` on the model's clock."""
        self.number += 1
        heapq.heappush(self.due, (self.now_us + int(after_us), self.number, what))

    def _think(self, load: Load, client: str) -> None:
        """A client of a closed loop asks again after a pause."""
        self.later(
            self.rng.expovariate(load.a_second / load.clients / 1e6),
            lambda: self._come_back(load, load.name, client, False),
        )

    def _next_of(self, load: Load) -> None:
        if load.a_second > 0:
            self.later(self.rng.expovariate(load.a_second / 1e6), lambda: self._arrive(load))

    def _arrive(self, load: Load) -> None:
        self._next_of(load)
        tenant = f"{load.name}{self.rng.random()}" if load.made_up else load.name
        self.ask(load, tenant, f"{load.name}-{self.rng.randrange(load.clients)}", False)

    def ask(self, load: Load, tenant: str, client: str, again: bool) -> int:
        """One request; its number."""
        self.number += 1
        ident = self.number
        seen = self.seen[load.name]
        seen.asked += 1
        seen.came_back += again
        self.asked[ident] = load, tenant, client, again
        if not self.fair:
            if self.busy < self.slots:
                self._begin(ident)
            else:
                self._refused(ident, int(self.rng.uniform(0.5, 1.5) * load.work_us))
            return ident
        for action in self.door.arrived(
            ident, tenant, client, load.worth, self.now_us + DEADLINE_US, self.now_us, self.busy < self.slots
        ):
            self._take(action)
        return ident

    def _take(self, action: Admitted | TurnedAway) -> None:
        if isinstance(action, Admitted):
            self._begin(action.ident)
        else:
            self._refused(action.ident, action.retry_after_us)

    def _begin(self, ident: int) -> None:
        load, _, _, again = self.asked[ident]
        self.busy += 1
        self.seen[load.name].let_in += again
        took_us = int(load.work_us * self.rng.uniform(0.5, 1.5))
        self.later(took_us, lambda: self._end(ident, took_us))

    def _end(self, ident: int, took_us: int) -> None:
        load, _, client, _ = self.asked.pop(ident)
        if load.closed:
            self._think(load, client)
        self.busy -= 1
        self.answers[ident] += 1
        self.seen[load.name].served += 1
        self.seen[load.name].work_us += took_us
        if self.fair:
            self.door.ended(ident, took_us, self.now_us)
        self._fill()

    def _refused(self, ident: int, after_us: int) -> None:
        load, tenant, client, again = self.asked.pop(ident)
        self.answers[ident] += 1
        self.seen[load.name].refused += 1
        if load.closed or (load.honours and not again):
            self.later(after_us, lambda: self._come_back(load, tenant, client, True))
        elif load.retries_us:
            self.later(load.retries_us, lambda: self._come_back(load, tenant, client, False))

    def _come_back(self, load: Load, tenant: str, client: str, told: bool) -> None:
        self.ask(load, tenant, client, told)

    def _fill(self) -> None:
        while self.fair and self.busy < self.slots:
            admitted = self.door.next(self.now_us)
            if admitted is None:
                return
            self._begin(admitted.ident)

    def play(self, seconds: float) -> None:
        """Go on for so long."""
        ends_us = self.now_us + int(seconds * 1e6)
        while True:
            expiry_us = self.door.next_expiry_us()
            at_us = min(self.due[0][0] if self.due else ends_us, ends_us)
            if expiry_us is not None and expiry_us <= at_us:
                self.now_us = max(self.now_us, expiry_us)
                for action in self.door.expired(self.now_us):
                    self._take(action)
                continue
            self.now_us = max(self.now_us, at_us)
            if at_us >= ends_us:
                return
            heapq.heappop(self.due)[2]()

    def forget(self) -> None:
        """Count from here on."""
        self.seen = {name: Seen() for name in self.seen}
