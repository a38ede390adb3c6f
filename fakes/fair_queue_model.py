"""Simulates a pool's fair queue on a virtual clock, with tenants, slots and clients that retry."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.decisions.fair_queue import (
    Admitted,
    FairQueue,
    FairQueueRequest,
    FairQueueSettings,
    Rejected,
)

DEADLINE_US = 1_200_000
START_US = 1_000_000


@dataclass(frozen=True, slots=True)
class Load:
    """The load that the clients of one tenant generate."""

    name: str
    per_s: float  # requests of all clients together
    work_us: float = 20_000.0  # mean slot time, uniformly distributed from 0.5 to 1.5 times this
    clients: int = 20
    priority_weight: float = 1.0
    honours_retry_after: bool = False  # clients retry once, after Retry-After
    retry_interval_us: int = 0  # clients retry this long after each rejection; 0 = never
    random_names: bool = False  # a different tenant name on every request
    # Each client has one request at a time and always honours Retry-After; `per_s` gives the think time.
    closed_loop: bool = False


@dataclass(slots=True)
class TenantTotals:
    """Totals of the requests of one tenant."""

    requests: int = 0
    served: int = 0
    work_us: int = 0
    retried: int = 0
    retries_admitted: int = 0
    rejected: int = 0


class FairQueueModel:
    """One fair queue in front of `slots` slots.

    Without `fair`, a request gets a free slot or is rejected, as in a pool without a queue.
    """

    def __init__(
        self, settings: FairQueueSettings, slots: int, loads: list[Load], seed: int, fair: bool = True
    ) -> None:
        self.rng = random.Random(seed)
        self.now_us = START_US
        self.queue = FairQueue(settings, self.now_us, self.rng.random)
        self.fair = fair
        self.slots = slots
        self.busy = 0
        self.loads = loads
        self.totals: dict[str, TenantTotals] = {load.name: TenantTotals() for load in loads}
        self.timers: list[tuple[int, int, Callable[[], None]]] = []
        self.number = 0
        self.requests: dict[int, tuple[Load, str, str, bool]] = {}
        self.responses: Counter[int] = Counter()  # by request id; each must be 1
        for load in loads:
            if load.closed_loop:
                for number in range(load.clients):
                    self._send_after_think_time(load, f"{load.name}-{number}")
            else:
                self._schedule_arrival(load)

    def call_later(self, after_us: float, callback: Callable[[], None]) -> None:
        """Call `callback` after `after_us` on the model's clock."""
        self.number += 1
        heapq.heappush(self.timers, (self.now_us + int(after_us), self.number, callback))

    def _send_after_think_time(self, load: Load, client: str) -> None:
        """Have a closed-loop client send its next request after an exponential think time."""
        self.call_later(
            self.rng.expovariate(load.per_s / load.clients / 1e6),
            lambda: self._retry(load, load.name, client, False),
        )

    def _schedule_arrival(self, load: Load) -> None:
        if load.per_s > 0:
            self.call_later(self.rng.expovariate(load.per_s / 1e6), lambda: self._arrive(load))

    def _arrive(self, load: Load) -> None:
        self._schedule_arrival(load)
        tenant = f"{load.name}{self.rng.random()}" if load.random_names else load.name
        self.send(load, tenant, f"{load.name}-{self.rng.randrange(load.clients)}", False)

    def send(self, load: Load, tenant: str, client: str, is_retry: bool) -> int:
        """Send one request; return its id."""
        self.number += 1
        request_id = self.number
        totals = self.totals[load.name]
        totals.requests += 1
        totals.retried += is_retry
        self.requests[request_id] = load, tenant, client, is_retry
        if not self.fair:
            if self.busy < self.slots:
                self._start(request_id)
            else:
                self._reject(request_id, int(self.rng.uniform(0.5, 1.5) * load.work_us))
            return request_id
        for action in self.queue.arrived(
            FairQueueRequest(request_id, tenant, client, load.priority_weight, self.now_us + DEADLINE_US),
            self.now_us,
            self.busy < self.slots,
        ):
            self._apply_action(action)
        return request_id

    def _apply_action(self, action: Admitted | Rejected) -> None:
        if isinstance(action, Admitted):
            self._start(action.request_id)
        else:
            self._reject(action.request_id, action.retry_after_us)

    def _start(self, request_id: int) -> None:
        load, _, _, is_retry = self.requests[request_id]
        self.busy += 1
        self.totals[load.name].retries_admitted += is_retry
        took_us = int(load.work_us * self.rng.uniform(0.5, 1.5))
        self.call_later(took_us, lambda: self._end(request_id, took_us))

    def _end(self, request_id: int, took_us: int) -> None:
        load, _, client, _ = self.requests.pop(request_id)
        if load.closed_loop:
            self._send_after_think_time(load, client)
        self.busy -= 1
        self.responses[request_id] += 1
        self.totals[load.name].served += 1
        self.totals[load.name].work_us += took_us
        if self.fair:
            self.queue.ended(request_id, took_us, self.now_us)
        self._fill_slots()

    def _reject(self, request_id: int, after_us: int) -> None:
        load, tenant, client, is_retry = self.requests.pop(request_id)
        self.responses[request_id] += 1
        self.totals[load.name].rejected += 1
        if load.closed_loop or (load.honours_retry_after and not is_retry):
            self.call_later(after_us, lambda: self._retry(load, tenant, client, True))
        elif load.retry_interval_us:
            self.call_later(load.retry_interval_us, lambda: self._retry(load, tenant, client, False))

    def _retry(self, load: Load, tenant: str, client: str, honoured: bool) -> None:
        self.send(load, tenant, client, honoured)

    def _fill_slots(self) -> None:
        while self.fair and self.busy < self.slots:
            admitted = self.queue.next(self.now_us)
            if admitted is None:
                return
            self._start(admitted.request_id)

    def run(self, seconds: float) -> None:
        """Run for this many seconds on the virtual clock."""
        ends_us = self.now_us + int(seconds * 1e6)
        while True:
            expiry_us = self.queue.next_expiration_us()
            at_us = min(self.timers[0][0] if self.timers else ends_us, ends_us)
            if expiry_us is not None and expiry_us <= at_us:
                self.now_us = max(self.now_us, expiry_us)
                for action in self.queue.expired(self.now_us):
                    self._apply_action(action)
                continue
            self.now_us = max(self.now_us, at_us)
            if at_us >= ends_us:
                return
            heapq.heappop(self.timers)[2]()

    def reset_totals(self) -> None:
        """Reset the totals to zero."""
        self.totals = {name: TenantTotals() for name in self.totals}
