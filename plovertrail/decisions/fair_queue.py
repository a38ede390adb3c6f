"""Fair sharing of a pool's slots among tenants and, within a tenant, among clients.

Start-time fair queueing in two levels (Goyal, Vin and Cheng, "Start-Time Fair Queueing: A Scheduling
Algorithm for Integrated Services Packet Switching Networks", IEEE/ACM Trans. Networking 5, 1997): tenants
by weight, and within a tenant clients alike, hashed into a fixed number of queues (McKenney, "Stochastic
Fairness Queueing", INFOCOM 1990). The shared resource is slot time: a request is charged the mean slot time
of its tenant's recent requests on admission, and the difference to its measured slot time when it ends.

Times are whole microseconds on the process's own monotonic clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass

from plovertrail.decisions.fair_queue_tenants import (
    MAX_STALE_ENTRIES,
    RESERVED_INDEX,
    ClientHasher,
    ClientQueue,
    QueuedRequest,
    TenantQueue,
)
from plovertrail.decisions.retry_reservations import RetryReservations

RETRY_JITTER = 0.25  # of the estimated time per request, or of the longest Retry-After
# Of the estimated time per request. With the mean jitter the sum is just over 1, so that retries arrive no
# faster than slots are freed.
RETRY_SPACING = 0.9
MIN_RETRY_AFTER_US = 50_000
MAX_WAIT_ESTIMATE_US = 3_600_000_000
UNLISTED = ""  # the name shared by all tenants that are not listed


@dataclass(frozen=True, slots=True)
class FairQueueSettings:
    """The configuration of a pool's fair queue."""

    weights: tuple[tuple[str, float], ...] = ()  # of the listed tenants
    default_weight: float = 1.0  # of all others together
    max_waiting: int = 256  # requests
    max_wait_us: int = 200_000  # clients with a retry reservation may wait for half of their remaining time
    max_retry_after_us: int = 2_000_000


@dataclass(frozen=True, slots=True)
class FairQueueRequest:
    """A request that asks for a slot."""

    request_id: int
    tenant: str
    client: str
    priority_weight: float
    due_us: int  # its deadline, at which its client stops waiting


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request is admitted to a slot now."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """A request is rejected now; its client should retry after `retry_after_us`."""

    request_id: int
    retry_after_us: int


FairQueueAction = Admitted | Rejected


class FairQueue:
    """The queue of requests that wait for slots of one pool. `rng` returns numbers from 0 to 1."""

    def __init__(self, settings: FairQueueSettings, now_us: int, rng: Callable[[], float]) -> None:
        self.hash_client = ClientHasher(rng())
        self.rng = rng
        self.now_us = now_us
        self.virtual_time = 0.0
        self.sequence = 0
        self.waiting: dict[int, QueuedRequest] = {}
        self.in_flight: dict[int, tuple[ClientQueue, float]] = {}  # with the slot time charged
        self.expirations: list[tuple[int, int]] = []  # heap of (time, request id)
        self.reservations = RetryReservations()
        self.tenants: dict[str, TenantQueue] = {}
        self.backlogged: dict[str, TenantQueue] = {}  # those with waiting requests
        self.active: dict[str, TenantQueue] = {}  # those with requests waiting or in flight
        self.configure(settings)

    def configure(self, settings: FairQueueSettings) -> None:
        """Apply other settings; waiting requests and past usage are retained."""
        previous, self.tenants = self.tenants, {}
        self.settings = settings
        for name, weight in (*settings.weights, (UNLISTED, settings.default_weight)):
            tenant = previous.pop(name, None) or TenantQueue(name, weight, self.virtual_time)
            tenant.weight = weight
            self.tenants[name] = tenant
        for tenant in previous.values():
            self._merge_into_unlisted(tenant)

    # Events

    def arrived(self, request: FairQueueRequest, now_us: int, slot_available: bool) -> list[FairQueueAction]:
        """Admit, queue or reject a request; a full queue may evict another one in its place."""
        self._advance(now_us)
        tenant = self.tenants.get(request.tenant) or self.tenants[UNLISTED]
        client = self.hash_client(request.tenant, request.client)
        reserved = self.reservations.claim(client, self.now_us)
        if slot_available and not self.waiting:
            self._admit(request.request_id, tenant.queue_of(client))
            tenant.count_wait(0)
            return [Admitted(request.request_id)]
        expires_us = self._expiration_us(request, tenant, reserved)
        # clients with a retry reservation are served before the others
        ahead = tenant.reserved_waiting if reserved else tenant.waiting
        if self.now_us + self.estimated_wait_us(tenant, ahead) > expires_us:
            return [self._reject(request.request_id, tenant, client)]
        actions: list[FairQueueAction] = []
        if len(self.waiting) >= self.settings.max_waiting:
            victim = self._tenant_to_evict(tenant, request, reserved)
            if victim is None:
                return [self._reject(request.request_id, tenant, client)]
            actions.append(self._evict(victim))
        queue = tenant.queues[RESERVED_INDEX] if reserved else tenant.queue_of(client)
        queued = QueuedRequest(
            request.request_id, request.priority_weight, expires_us, self.now_us, queue, client, reserved
        )
        self.waiting[request.request_id] = queued
        self._enqueue(queued)
        self._schedule_expiration(queued)
        return actions

    def ended(self, request_id: int, work_us: int, now_us: int) -> None:
        """An admitted request has ended; it has held slots for `work_us` in total."""
        self._advance(now_us)
        entry = self.in_flight.pop(request_id, None)
        if entry is None:
            return
        queue, charged_us = entry
        tenant = queue.tenant
        tenant.count_end(work_us)
        self._deactivate_if_idle(tenant)
        tenant.start_tag += (work_us - charged_us) / (tenant.weight or 1.0)
        queue.start_tag += work_us - charged_us

    def cancelled(self, request_id: int, now_us: int) -> None:
        """The client of a request has disconnected."""
        self._advance(now_us)
        self._dequeue(request_id)

    def next(self, now_us: int) -> Admitted | None:
        """Admit the request that gets the next free slot; return None if none waits."""
        self._advance(now_us)
        if not self.waiting:
            return None
        # a tenant of weight 0 is served only when no other tenant waits
        tenant = min(self.backlogged.values(), key=lambda each: (each.weight <= 0.0, each.start_tag))
        queue = tenant.next_queue()
        queued = queue.first()
        tenant.count_wait(self.now_us - queued.queued_us)
        self._dequeue(queued.request_id)
        self._admit(queued.request_id, queue)
        return Admitted(queued.request_id)

    def expired(self, now_us: int) -> list[Rejected]:
        """Reject the requests whose maximum wait is over."""
        self._advance(now_us)
        actions = []
        while self.expirations and self.expirations[0][0] <= self.now_us:
            queued = self.waiting.get(heapq.heappop(self.expirations)[1])
            if queued is not None:
                self._dequeue(queued.request_id)
                actions.append(self._reject(queued.request_id, queued.queue.tenant, queued.client))
        return actions

    def next_expiration_us(self) -> int | None:
        """Return when `expired` must be called next; None if no request waits."""
        while self.expirations and self.expirations[0][1] not in self.waiting:
            heapq.heappop(self.expirations)
        return self.expirations[0][0] if self.expirations else None

    def estimated_wait_us(self, tenant: TenantQueue, requests: int) -> int:
        """Estimate how long it takes to admit this many requests of a tenant.

        The estimated rate is the tenant's fair share or its recent rate, whichever is higher, but at most the
        rate of the slots in use: right after endpoints are lost, the recent rate is too high.
        """
        if not requests:
            return 0
        total_weight = sum(each.weight for each in self.active.values() if each is not tenant) + tenant.weight
        pool_rate = max(1, len(self.in_flight)) / tenant.mean_work_us
        fair_rate = pool_rate * (tenant.weight / total_weight if total_weight > 0.0 else 1.0)
        # the recent rate includes slots that other tenants leave unused
        rate = min(max(tenant.rate_at(self.now_us), fair_rate), pool_rate)
        return int(min(requests / rate, MAX_WAIT_ESTIMATE_US)) if rate > 0.0 else MAX_WAIT_ESTIMATE_US

    # Internals

    def _advance(self, now_us: int) -> None:
        """Advance the clock; a step back is ignored, as it would extend the wait of all waiting requests."""
        self.now_us = max(now_us, self.now_us)

    def _expiration_us(self, request: FairQueueRequest, tenant: TenantQueue, reserved: bool) -> int:
        max_wait_us = self.settings.max_wait_us
        if reserved:
            # Retry-After has whole seconds, so clients rejected together may return together and wait longer
            max_wait_us = max(max_wait_us, (request.due_us - self.now_us) // 2)
        return min(self.now_us + max_wait_us, request.due_us - int(tenant.mean_work_us))

    def _tenant_to_evict(
        self, tenant: TenantQueue, request: FairQueueRequest, reserved: bool
    ) -> TenantQueue | None:
        """Return the tenant with the largest backlog; None if `request` itself must be rejected."""
        victim = max(
            (*self.backlogged.values(), tenant), key=lambda each: each.backlog_us(int(each is tenant))
        )
        lowest = min(tenant.waiting_weights, default=request.priority_weight)
        if victim is tenant and not reserved and lowest >= request.priority_weight:
            return None
        return victim

    def _evict(self, tenant: TenantQueue) -> Rejected:
        queued = tenant.eviction_candidate()
        self._dequeue(queued.request_id)
        return self._reject(queued.request_id, tenant, queued.client)

    def _enqueue(self, queued: QueuedRequest) -> None:
        queue = queued.queue
        tenant = queue.tenant
        self.sequence += 1
        if not tenant.waiting:
            # an idle tenant earns no credit
            tenant.start_tag = max(tenant.start_tag, self.virtual_time)
            self.backlogged[tenant.name] = tenant
            self.active[tenant.name] = tenant
        if not queue.waiting:
            queue.start_tag = max(queue.start_tag, tenant.virtual_time)
            tenant.backlogged[queue.index] = queue
        queue.push(queued, self.sequence)
        tenant.waiting += 1
        tenant.reserved_waiting += queued.reserved
        tenant.waiting_weights[queued.priority_weight] += 1

    def _schedule_expiration(self, queued: QueuedRequest) -> None:
        heapq.heappush(self.expirations, (queued.expires_us, queued.request_id))
        if len(self.expirations) > 2 * len(self.waiting) + MAX_STALE_ENTRIES:
            # otherwise stale entries of requests that have left the queue would accumulate
            self.expirations = sorted((each.expires_us, each.request_id) for each in self.waiting.values())

    def _dequeue(self, request_id: int) -> None:
        queued = self.waiting.pop(request_id, None)
        if queued is None:
            return
        queued.waiting = False
        queue = queued.queue
        tenant = queue.tenant
        queue.waiting -= 1
        tenant.waiting -= 1
        tenant.reserved_waiting -= queued.reserved
        tenant.waiting_weights[queued.priority_weight] -= 1
        if not tenant.waiting_weights[queued.priority_weight]:
            del tenant.waiting_weights[queued.priority_weight]
        if not queue.waiting:
            queue.heap.clear()
            del tenant.backlogged[queue.index]
        if not tenant.waiting:
            del self.backlogged[tenant.name]
            self._deactivate_if_idle(tenant)

    def _deactivate_if_idle(self, tenant: TenantQueue) -> None:
        if not tenant.in_flight and not tenant.waiting:
            self.active.pop(tenant.name, None)

    def _admit(self, request_id: int, queue: ClientQueue) -> None:
        """Admit a request, and charge it the mean slot time of its tenant."""
        tenant = queue.tenant
        start = max(tenant.start_tag, self.virtual_time)
        if tenant.weight > 0.0:
            self.virtual_time = start
        tenant.start_tag = start + tenant.mean_work_us / (tenant.weight or 1.0)
        tenant.virtual_time = max(queue.start_tag, tenant.virtual_time)
        queue.start_tag = tenant.virtual_time + tenant.mean_work_us
        tenant.count_admission(self.now_us)
        self.active[tenant.name] = tenant
        self.in_flight[request_id] = queue, tenant.mean_work_us

    def _reject(self, request_id: int, tenant: TenantQueue, client: int) -> Rejected:
        """Reject a request, and reserve a retry time for its client after the tenant's other reservations.

        With the same Retry-After for all, rejected clients would retry at the same time.
        """
        tenant.rejected += 1
        longest_us = self.settings.max_retry_after_us
        one_request_us = self.estimated_wait_us(tenant, 1)
        backlog_us = max(MIN_RETRY_AFTER_US, self.estimated_wait_us(tenant, tenant.waiting))
        spacing_us = int(one_request_us * (RETRY_SPACING + RETRY_JITTER * self.rng()))
        retry_us = max(tenant.reserved_until_us, self.now_us + backlog_us) + spacing_us
        if retry_us <= self.now_us + longest_us and not self.reservations.full:
            tenant.reserved_until_us = retry_us
            self.reservations.add(client, retry_us)
            return Rejected(request_id, retry_us - self.now_us)
        # nothing is left to reserve within the longest Retry-After: spread retries over its last part
        return Rejected(request_id, int(longest_us * (1.0 - RETRY_JITTER * self.rng())))

    def _merge_into_unlisted(self, removed_tenant: TenantQueue) -> None:
        """Move the requests of a tenant that is no longer listed to the queue of unlisted tenants."""
        unlisted = self.tenants[UNLISTED]
        self.backlogged.pop(removed_tenant.name, None)
        self.active.pop(removed_tenant.name, None)
        for request_id, (queue, charged_us) in self.in_flight.items():
            if queue.tenant is removed_tenant:
                self.in_flight[request_id] = unlisted.queues[queue.index], charged_us
                unlisted.in_flight += 1
                self.active[UNLISTED] = unlisted
        for queued in [each for each in self.waiting.values() if each.queue.tenant is removed_tenant]:
            queued.queue = unlisted.queues[queued.queue.index]
            self._enqueue(queued)
