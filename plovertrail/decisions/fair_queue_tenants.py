"""The client queues of one tenant, and the tenant's state in the fair queue.

Times are whole microseconds on the process's own monotonic clock; tags and virtual times are those of
start-time fair queueing.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from dataclasses import dataclass, field

QUEUES_PER_TENANT = 16  # of a listed tenant; its clients are hashed to them
QUEUES_OF_UNLISTED = 64  # of all unlisted tenants together; tenant and client are hashed
RESERVED_INDEX = -1  # the queue of clients with a retry reservation
WORK_SMOOTHING_REQUESTS = 16
INITIAL_WORK_US = 20_000  # the mean before any request has ended
RATE_TIME_CONSTANT_US = 1_000_000
MAX_STALE_ENTRIES = 8  # entries of dequeued requests that a heap may hold beyond the number that wait
MIN_WEIGHT = 1e-9  # keeps the backlog of a tenant of weight 0 finite


class ClientHasher:
    """Hashes clients with a salt, so that no client can choose which other clients share its queue.

    `seed` is a random number from 0 to 1.
    """

    def __init__(self, seed: float) -> None:
        from hashlib import blake2b  # imported late to keep startup short; few pools have a fair queue

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
    reserved: bool  # its client has a retry reservation for this time
    waiting: bool = True


@dataclass(slots=True)
class ClientQueue:
    """Waiting requests of the clients that hash to this queue, by priority weight, then by arrival."""

    tenant: TenantQueue
    index: int
    start_tag: float = 0.0
    waiting: int = 0
    heap: list[tuple[float, int, QueuedRequest]] = field(default_factory=list)

    def push(self, request: QueuedRequest, sequence: int) -> None:
        """Add a request; stale entries are removed first when there are too many."""
        if len(self.heap) > 2 * self.waiting + MAX_STALE_ENTRIES:
            self.heap = sorted(entry for entry in self.heap if entry[2].waiting)
        heapq.heappush(self.heap, (-request.priority_weight, sequence, request))
        self.waiting += 1

    def first(self) -> QueuedRequest:
        """Return the request to admit next."""
        while not self.heap[0][2].waiting:
            heapq.heappop(self.heap)
        return self.heap[0][2]


class TenantQueue:
    """The queues and statistics of a listed tenant or, with an empty name, of all unlisted tenants."""

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
        self.virtual_time = 0.0  # of the scheduling among its own queues
        count = QUEUES_PER_TENANT if name else QUEUES_OF_UNLISTED
        self.queues = [ClientQueue(self, index) for index in (*range(count), RESERVED_INDEX)]
        self.backlogged: dict[int, ClientQueue] = {}  # those with waiting requests, by index
        self.waiting = 0
        self.reserved_waiting = 0  # of these, requests of clients with a retry reservation
        self.waiting_weights: Counter[float] = Counter()  # waiting requests by priority weight
        self.mean_work_us: float = INITIAL_WORK_US
        self.reserved_until_us = 0  # its latest retry reservation
        self.admission_rate = 0.0  # requests per microsecond, as of `rate_updated_us`
        self.rate_updated_us = 0
        self.in_flight = 0
        # totals and means for status output
        self.admitted = 0
        self.rejected = 0
        self.total_work_us = 0
        self.mean_wait_us = 0.0

    def queue_of(self, client: int) -> ClientQueue:
        """Return the queue of a client, by the client's hash."""
        return self.queues[client % (len(self.queues) - 1)]

    def next_queue(self) -> ClientQueue:
        """Return the queue to serve next.

        Clients with a retry reservation are served first. In turn with the others, many would be rejected
        again although they retried at the time they were given.
        """
        reserved = self.backlogged.get(RESERVED_INDEX)
        return reserved or min(self.backlogged.values(), key=lambda queue: queue.start_tag)

    def backlog_us(self, extra_requests: int) -> float:
        """Return the expected slot time of waiting and `extra_requests` requests, divided by the weight."""
        return (self.waiting + extra_requests) * self.mean_work_us / max(self.weight, MIN_WEIGHT)

    def eviction_candidate(self) -> QueuedRequest:
        """Return the request to evict first: the latest of those with the lowest priority weight.

        Requests of clients with a retry reservation are evicted last.
        """
        entries = [entry for queue in self.backlogged.values() for entry in queue.heap if entry[2].waiting]
        return max(entries, key=lambda entry: (not entry[2].reserved, entry[:2]))[2]

    def rate_at(self, now_us: int) -> float:
        """Return the recent admission rate, in requests per microsecond."""
        return self.admission_rate * math.exp((self.rate_updated_us - now_us) / RATE_TIME_CONSTANT_US)

    def count_admission(self, now_us: int) -> None:
        """Count a request that has been admitted."""
        self.admission_rate = self.rate_at(now_us) + 1.0 / RATE_TIME_CONSTANT_US
        self.rate_updated_us = now_us
        self.in_flight += 1
        self.admitted += 1

    def count_wait(self, waited_us: int) -> None:
        """Include the wait of an admitted request in the mean."""
        self.mean_wait_us += (waited_us - self.mean_wait_us) / WORK_SMOOTHING_REQUESTS

    def count_end(self, work_us: int) -> None:
        """Count a request that has ended after holding slots for `work_us` in total."""
        self.in_flight -= 1
        self.total_work_us += work_us
        if work_us > 0:  # a request that was rejected after all says nothing about slot time
            self.mean_work_us += (work_us - self.mean_work_us) / WORK_SMOOTHING_REQUESTS
