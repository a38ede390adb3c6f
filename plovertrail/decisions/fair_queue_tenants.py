"""The queues of one tenant, and what a fair queue knows of the tenant.

Times are whole microseconds on the process's own monotonic clock; tags and virtual times are those of
start-time fair queueing.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from dataclasses import dataclass, field

QUEUES_PER_TENANT = 16  # clients of a listed tenant that hash to one queue share it
QUEUES_OF_UNLISTED = 64  # of all tenants that are not listed, by tenant and client
RESERVED_INDEX = -1  # the queue of clients that were told to retry now
WORK_SMOOTHING_REQUESTS = 16
INITIAL_WORK_US = 20_000  # until a request has ended
RATE_TIME_CONSTANT_US = 1_000_000
MAX_STALE_ENTRIES = 8  # entries of requests that have left, in a heap, beside as many as wait there
MIN_WEIGHT = 1e-9  # keeps the backlog of a tenant of no weight finite


class ClientHasher:
    """Hashes clients with a salt, so that no client can choose whose queue it shares.

    `seed` is a random number from 0 to 1.
    """

    def __init__(self, seed: float) -> None:
        from hashlib import blake2b  # late, because few pools have a fair queue and the start must stay short

        self._hash = blake2b
        self._salt = int(seed * 2**53).to_bytes(8)

    def __call__(self, tenant: str, client: str) -> int:
        """Return the hash of a tenant's client."""
        name = f"{len(tenant)} {tenant} {client}".encode("utf-8", "surrogateescape")
        return int.from_bytes(self._hash(name, digest_size=8, key=self._salt).digest())


@dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a slot."""

    request_id: int
    priority_weight: float
    expires_us: int
    queued_us: int
    queue: ClientQueue
    client: int  # the hash of its client
    reserved: bool  # its client was told to retry now
    waiting: bool = True


@dataclass(slots=True)
class ClientQueue:
    """Requests of some clients of a tenant, by priority weight, then in the order of their arrival."""

    tenant: TenantQueue
    index: int
    start_tag: float = 0.0
    waiting: int = 0
    heap: list[tuple[float, int, QueuedRequest]] = field(default_factory=list)

    def push(self, request: QueuedRequest, sequence: int) -> None:
        """Add a request; entries of requests that have left are dropped once they are many."""
        if len(self.heap) > 2 * self.waiting + MAX_STALE_ENTRIES:
            self.heap = sorted(entry for entry in self.heap if entry[2].waiting)
        heapq.heappush(self.heap, (-request.priority_weight, sequence, request))
        self.waiting += 1

    def first(self) -> QueuedRequest:
        """Return the request that goes next."""
        while not self.heap[0][2].waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2]


class TenantQueue:
    """A listed tenant, or (with no name) all the others together."""

    __slots__ = (
        "name",
        "weight",
        "start_tag",
        "virtual_time",
        "queues",
        "backlogged",
        "waiting",
        "reserved_waiting",
        "waiting_weights",
        "mean_work_us",
        "reserved_until_us",
        "admission_rate",
        "rate_updated_us",
        "in_flight",
        "admitted",
        "rejected",
        "total_work_us",
        "mean_wait_us",
    )

    def __init__(self, name: str, weight: float, start_tag: float) -> None:
        self.name = name
        self.weight = weight
        self.start_tag = start_tag
        self.virtual_time = 0.0  # among its own queues
        count = QUEUES_PER_TENANT if name else QUEUES_OF_UNLISTED
        self.queues = [ClientQueue(self, index) for index in (*range(count), RESERVED_INDEX)]
        self.backlogged: dict[int, ClientQueue] = {}  # those with requests that wait, by index
        self.waiting = 0
        self.reserved_waiting = 0  # of these, those whose clients were told to retry now
        self.waiting_weights: Counter[float] = Counter()  # how many wait by priority weight
        self.mean_work_us: float = INITIAL_WORK_US
        self.reserved_until_us = 0  # its slots until then are reserved for clients that were told to retry
        self.admission_rate = 0.0  # requests a microsecond, as of `rate_updated_us`
        self.rate_updated_us = 0
        self.in_flight = 0
        # totals and means for the status
        self.admitted = 0
        self.rejected = 0
        self.total_work_us = 0
        self.mean_wait_us = 0.0

    def queue_of(self, client: int) -> ClientQueue:
        """Return the queue of a client, by the client's hash."""
        return self.queues[client % (len(self.queues) - 1)]

    def next_queue(self) -> ClientQueue:
        """Return the queue that goes next.

        Clients that were told to retry now go first: taken in turn with the others, they would retry in vain.
        """
        reserved = self.backlogged.get(RESERVED_INDEX)
        return reserved or min(self.backlogged.values(), key=lambda queue: queue.start_tag)

    def backlog_us(self, extra_requests: int) -> float:
        """Return the work that waits, and that of further requests, divided by the weight."""
        return (self.waiting + extra_requests) * self.mean_work_us / max(self.weight, MIN_WEIGHT)

    def eviction_candidate(self) -> QueuedRequest:
        """Return the request to evict first: the last of those with the least priority weight."""
        entries = [entry for queue in self.backlogged.values() for entry in queue.heap if entry[2].waiting]
        return max(entries, key=lambda entry: (not entry[2].reserved, entry[:2]))[2]

    def rate_at(self, now_us: int) -> float:
        """Return the recent rate of admissions, in requests a microsecond."""
        return self.admission_rate * math.exp((self.rate_updated_us - now_us) / RATE_TIME_CONSTANT_US)

    def count_admission(self, now_us: int) -> None:
        """A request has been admitted."""
        self.admission_rate = self.rate_at(now_us) + 1.0 / RATE_TIME_CONSTANT_US
        self.rate_updated_us = now_us
        self.in_flight += 1
        self.admitted += 1

    def count_wait(self, waited_us: int) -> None:
        """A request has been admitted after it waited for this long."""
        self.mean_wait_us += (waited_us - self.mean_wait_us) / WORK_SMOOTHING_REQUESTS

    def count_end(self, work_us: int) -> None:
        """An admitted request has ended after holding slots for `work_us` in all."""
        self.in_flight -= 1
        self.total_work_us += work_us
        if work_us > 0:  # one that was rejected in the end says nothing of the work
            self.mean_work_us += (work_us - self.mean_work_us) / WORK_SMOOTHING_REQUESTS
