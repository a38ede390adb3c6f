"""Who is let through to a pool's slots next, when more comes than they bear: each tenant has its share.

Start-time fair queueing in two levels (Goyal, Vin and Cheng, "Start-Time Fair Queueing: A Scheduling
Algorithm for Integrated Services Packet Switching Networks", IEEE/ACM Trans. Networking 5, 1997): tenants
by weight, and within a tenant clients alike, hashed into a fixed number of queues (McKenney, "Stochastic
Fairness Queueing", INFOCOM 1990). What is shared is the time that slots are held, as measured: a request is
charged what its tenant's requests took of late, and the difference once it has ended. Pure: times and random
numbers are arguments, and what is to be done is returned.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

CLIENT_QUEUES = 16  # of a listed tenant; clients that meet in one share it
OTHERS_QUEUES = 64  # of all tenants that are not listed, by tenant and client
PROMISED = -1  # the place, in both, of the queue of clients that were told to come now
WORK_MEMORY = 16  # requests that make up a tenant's usual work
FIRST_WORK_US = 20_000  # till one has ended
MOST_PROMISES = 4_096  # clients of a door that were told when to come back
EARLY_US = 500_000  # so long before the time that it was told a client counts as having come at it,
LATE_US = 2_000_000  # and so long after it
RATE_MEMORY_US = 1_000_000  # over which a tenant's speed is measured
RETURN_SPREAD = 0.25  # of a place, by which what is told is drawn at random,
PLACE = 0.9  # longer than this; hazard: places told a little faster than they drain pile up at the door
LEAST_RETURN_US = 50_000
LONGEST_WAIT_US = 3_600_000_000
STALE_BORNE = 8  # entries of requests that have left, in a queue, besides as many as wait there


@dataclass(frozen=True, slots=True)
class DoorSettings:
    """What the operator allows a pool's door."""

    weights: tuple[tuple[str, float], ...] = ()  # of the listed tenants
    default_weight: float = 1.0  # of all others together
    most_waiting: int = 256  # requests that wait at once
    most_wait_us: int = 200_000  # of one request; of one that was told to come now, half its client's time
    max_retry_after_us: int = 2_000_000


@dataclass(slots=True)
class Waiting:
    """A request at the door."""

    ident: int
    worth: float
    until_us: int  # when it is given up
    since_us: int
    queue: _Queue
    key: int  # of its client
    promised: bool  # it was told to come now


@dataclass(slots=True)
class _Queue:
    """The requests of some clients of a tenant, or of those that were told to come now: by worth, then in
    their order."""

    tenant: Share
    place: int
    tag: float = 0.0  # virtual time at which its next request starts
    waiting: int = 0
    heap: list[tuple[float, int, Waiting]] = field(default_factory=list)


@dataclass(slots=True)
class Share:
    """A listed tenant, or (with no name) all the others together."""

    name: str
    weight: float
    tag: float = 0.0
    virtual: float = 0.0  # time among its queues
    queues: list[_Queue] = field(default_factory=list)  # the last one for those that were told to come
    backlogged: dict[int, _Queue] = field(default_factory=dict)
    waiting: int = 0
    promised: int = 0  # of these were told to come
    worths: Counter[float] = field(default_factory=Counter)  # of those that wait
    work_us: float = FIRST_WORK_US  # of one request, smoothed
    promised_until_us: int = 0  # what it may have till then has been promised
    rate: float = 0.0  # requests let through a microsecond, of late
    rated_us: int = 0
    # since the door was made
    work_done_us: int = 0
    admitted: int = 0
    refused: int = 0
    waited_us: float = 0.0  # before being let through, smoothed
    out: int = 0  # let through and not ended


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request that is refused now, and when its client should come back."""

    ident: int
    retry_after_us: int


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that goes on to the pool's slots now."""

    ident: int


Action = Admitted | TurnedAway


class Door:
    """One pool's. `rng` gives numbers from 0 to 1."""

    def __init__(self, settings: DoorSettings, now_us: int, rng: Callable[[], float]) -> None:
        from hashlib import blake2b  # late: most hosts have no door, and the platform's start is small

        self.hash = blake2b
        self.salt = int(rng() * 2**53).to_bytes(8)
        self.rng = rng
        self.now_us = now_us
        self.virtual = 0.0
        self.number = 0
        self.waiting: dict[int, Waiting] = {}
        self.out: dict[int, tuple[_Queue, float]] = {}  # let through: its queue, and what it was charged
        self.expiries: list[tuple[int, int]] = []  # (until, ident); a heap
        self.promises: dict[int, tuple[int, ...]] = {}  # by client's hash: when it was told to come
        self.promised: deque[tuple[int, int]] = deque()  # (told, client's hash), in the order of the telling
        self.shares: dict[str, Share] = {}  # the others under ""
        self.backlogged: dict[str, Share] = {}  # those with requests that wait
        self.active: dict[str, Share] = {}  # and those with requests at work
        self.configure(settings)

    def configure(self, settings: DoorSettings) -> None:
        """Other weights and bounds; who waits goes on waiting, and what a tenant has had still counts."""
        before, self.shares = self.shares, {}
        self.settings = settings
        for name, weight in (*settings.weights, ("", settings.default_weight)):
            share = before.pop(name, None)
            if share is None:
                share = Share(name, weight, tag=self.virtual)
                places = CLIENT_QUEUES if name else OTHERS_QUEUES
                share.queues = [_Queue(share, place) for place in (*range(places), PROMISED)]
            share.weight = weight
            self.shares[name] = share
        for gone in before.values():
            self._join_others(gone)

    def _join_others(self, gone: Share) -> None:
        """A tenant that is listed no more: who waits there waits among the others."""
        others = self.shares[""]
        self.backlogged.pop(gone.name, None)
        self.active.pop(gone.name, None)
        for ident, (queue, charged) in self.out.items():
            if queue.tenant is gone:
                self.out[ident] = others.queues[queue.place], charged
                others.out += 1
                self.active[""] = others
        for waiting in [each for each in self.waiting.values() if each.queue.tenant is gone]:
            waiting.queue = others.queues[waiting.queue.place]
            self._put(waiting)

    # What happens

    def arrived(
        self, ident: int, tenant: str, client: str, worth: float, due_us: int, now_us: int, room: bool
    ) -> list[Action]:
        """A request has come; `room` tells whether the pool has a free slot. It is let through, waits, or is
        refused, itself or another one in its place."""
        self._advance(now_us)
        share = self.shares.get(tenant) or self.shares[""]
        key = self._key(tenant, client)
        queue = share.queues[key % (len(share.queues) - 1)]
        promised = self._promised(key)
        if room and not self.waiting:
            self._charge(ident, queue)
            share.waited_us -= share.waited_us / WORK_MEMORY
            return [Admitted(ident)]
        patience_us = self.settings.most_wait_us
        if promised:
            # hazard: told in whole seconds, those who were refused together come back together
            patience_us = max(patience_us, (due_us - self.now_us) // 2)
        until_us = min(self.now_us + patience_us, due_us - int(share.work_us))
        # those who were told to come go before those who come unbidden
        ahead_us = self.wait_us(share, share.promised if promised else share.waiting)
        if self.now_us + ahead_us > until_us:
            return [self._turned_away(ident, share, key)]
        actions: list[Action] = []
        if len(self.waiting) >= self.settings.most_waiting:
            fattest = max((*self.backlogged.values(), share), key=lambda each: self._fat(each, each is share))
            if fattest is share and not promised and min(share.worths, default=worth) >= worth:
                return [self._turned_away(ident, share, key)]
            actions.append(self._evict(fattest))
        if promised:
            queue = share.queues[PROMISED]
        waiting = Waiting(ident, worth, until_us, self.now_us, queue, key, promised)
        self.waiting[ident] = waiting
        self._put(waiting)
        self._expire_at(waiting)
        return actions

    def ended(self, ident: int, work_us: int, now_us: int) -> None:
        """A request that was let through is over, after holding slots for so long in all."""
        self._advance(now_us)
        entry = self.out.pop(ident, None)
        if entry is None:
            return
        queue, charged = entry
        share = queue.tenant
        share.out -= 1
        self._rests(share)
        share.work_done_us += work_us
        if work_us > 0:  # one that was refused in the end tells nothing
            share.work_us += (work_us - share.work_us) / WORK_MEMORY
        # what it took beyond its charge, or did not take
        share.tag += (work_us - charged) / (share.weight or 1.0)
        queue.tag += work_us - charged

    def gone(self, ident: int, now_us: int) -> None:
        """A client has left: its request waits no more."""
        self._advance(now_us)
        self._leave(ident)

    def next(self, now_us: int) -> Admitted | None:
        """The request that a free slot goes to; None if none waits."""
        self._advance(now_us)
        if not self.waiting:
            return None
        # one of no weight has what nobody else wants
        share = min(self.backlogged.values(), key=lambda each: (each.weight <= 0.0, each.tag))
        # hazard: taken in turn with the clients' queues, those that were told to come would come in vain
        queue = share.backlogged.get(PROMISED) or min(share.backlogged.values(), key=lambda each: each.tag)
        waiting = self._first(queue)
        share.waited_us += (self.now_us - waiting.since_us - share.waited_us) / WORK_MEMORY
        self._leave(waiting.ident)
        self._charge(waiting.ident, queue)
        return Admitted(waiting.ident)

    def expired(self, now_us: int) -> list[TurnedAway]:
        """Those that have waited for as long as they may."""
        self._advance(now_us)
        actions = []
        while self.expiries and self.expiries[0][0] <= self.now_us:
            waiting = self.waiting.get(heapq.heappop(self.expiries)[1])
            if waiting is not None:
                self._leave(waiting.ident)
                actions.append(self._turned_away(waiting.ident, waiting.queue.tenant, waiting.key))
        return actions

    def next_expiry_us(self) -> int | None:
        """When `expired` must be called next."""
        while self.expiries and self.expiries[0][1] not in self.waiting:
            heapq.heappop(self.expiries)
        return self.expiries[0][0] if self.expiries else None

    def wait_us(self, share: Share, count: int) -> int:
        """How long so many requests of a tenant take, by its part of the slots and by what it had of late.
        Not faster than all slots that are at work: right after a loss of servers these are fewer, and what
        was told before was too short."""
        if not count:
            return 0
        whole = sum(each.weight for each in self.active.values() if each is not share) + share.weight
        all_slots = max(1, len(self.out)) / share.work_us
        least = all_slots * (share.weight / whole if whole > 0.0 else 1.0)
        # what others leave comes on top of its part, and shows in what it had of late
        faded = math.exp((share.rated_us - self.now_us) / RATE_MEMORY_US)
        speed = min(max(share.rate * faded, least), all_slots)
        return int(min(count / speed, LONGEST_WAIT_US)) if speed > 0.0 else LONGEST_WAIT_US

    # How

    def _advance(self, now_us: int) -> None:
        """Hazard: after a step back of the clock all that waits would wait for as long again."""
        self.now_us = max(now_us, self.now_us)

    def _key(self, tenant: str, client: str) -> int:
        """A client's number. Hazard: by a sum that anyone can work out, a client could choose whose queue it
        shares."""
        name = f"{len(tenant)} {tenant} {client}".encode("utf-8", "surrogateescape")
        return int.from_bytes(self.hash(name, digest_size=8, key=self.salt).digest())

    def _promised(self, key: int) -> bool:
        """Whether a client comes back when it was told to. Once: with this the promise is kept."""
        while self.promised and self.promised[0][0] + LATE_US < self.now_us:
            self._forget_first()
        told = self.promises.get(key)
        if told is None or self.now_us < told[0] - EARLY_US:
            return False
        self._forget(key)
        return True

    def _forget_first(self) -> None:
        told_us, key = self.promised.popleft()
        told = self.promises.get(key)
        if told is not None and told[0] == told_us:  # its client has not come
            self._forget(key)

    def _forget(self, key: int) -> None:
        """The first of a client's promises is over."""
        rest = self.promises[key][1:]
        if rest:
            self.promises[key] = rest
        else:
            del self.promises[key]

    @staticmethod
    def _fat(share: Share, one_more: bool) -> float:
        """Its work that waits, by its weight."""
        return (share.waiting + one_more) * share.work_us / max(share.weight, 1e-9)

    def _evict(self, share: Share) -> TurnedAway:
        """The cheapest, and of these the last, of a tenant's waiting requests makes room."""
        entries = [
            entry
            for queue in share.backlogged.values()
            for entry in queue.heap
            if self.waiting.get(entry[2].ident) is entry[2]
        ]
        waiting = max(entries, key=lambda entry: (not entry[2].promised, entry[:2]))[2]
        self._leave(waiting.ident)
        return self._turned_away(waiting.ident, share, waiting.key)

    def _put(self, waiting: Waiting) -> None:
        queue = waiting.queue
        share = queue.tenant
        self.number += 1
        if not share.waiting:
            # hazard: what it did not use while it was idle must not count for it later
            share.tag = max(share.tag, self.virtual)
            self.backlogged[share.name] = self.active[share.name] = share
        if not queue.waiting:
            queue.tag = max(queue.tag, share.virtual)
            share.backlogged[queue.place] = queue
        if len(queue.heap) > 2 * queue.waiting + STALE_BORNE:
            queue.heap = sorted(entry for entry in queue.heap if self.waiting.get(entry[2].ident) is entry[2])
        heapq.heappush(queue.heap, (-waiting.worth, self.number, waiting))
        queue.waiting += 1
        share.waiting += 1
        share.promised += waiting.promised
        share.worths[waiting.worth] += 1

    def _expire_at(self, waiting: Waiting) -> None:
        heapq.heappush(self.expiries, (waiting.until_us, waiting.ident))
        if len(self.expiries) > 2 * len(self.waiting) + STALE_BORNE:
            # hazard: of those that are let through soon, entries would pile up
            self.expiries = sorted((each.until_us, each.ident) for each in self.waiting.values())

    def _first(self, queue: _Queue) -> Waiting:
        """The one that goes first; those that have left are dropped on the way."""
        while self.waiting.get(queue.heap[0][2].ident) is not queue.heap[0][2]:
            heapq.heappop(queue.heap)
        return queue.heap[0][2]

    def _leave(self, ident: int) -> None:
        waiting = self.waiting.pop(ident, None)
        if waiting is None:
            return
        queue = waiting.queue
        share = queue.tenant
        queue.waiting -= 1
        share.waiting -= 1
        share.promised -= waiting.promised
        share.worths[waiting.worth] -= 1
        if not share.worths[waiting.worth]:
            del share.worths[waiting.worth]
        if not queue.waiting:
            queue.heap.clear()
            del share.backlogged[queue.place]
        if not share.waiting:
            del self.backlogged[share.name]
            self._rests(share)

    def _rests(self, share: Share) -> None:
        if not share.out and not share.waiting:
            self.active.pop(share.name, None)

    def _charge(self, ident: int, queue: _Queue) -> None:
        """It is let through: charged what its tenant's requests usually take."""
        share = queue.tenant
        start = max(share.tag, self.virtual)
        if share.weight > 0.0:
            self.virtual = start
        share.tag = start + share.work_us / (share.weight or 1.0)
        share.virtual = max(queue.tag, share.virtual)
        queue.tag = share.virtual + share.work_us
        share.rate *= math.exp((share.rated_us - self.now_us) / RATE_MEMORY_US)
        share.rate, share.rated_us = share.rate + 1.0 / RATE_MEMORY_US, self.now_us
        share.out += 1
        self.active[share.name] = share
        share.admitted += 1
        self.out[ident] = queue, share.work_us

    def _turned_away(self, ident: int, share: Share, key: int) -> TurnedAway:
        """Refused, and told when what is promised of its tenant's part has drained: the next place after that
        is its own. Hazard: told the same time, all who are refused would come back together."""
        share.refused += 1
        now_us, longest_us = self.now_us, self.settings.max_retry_after_us
        one_us = self.wait_us(share, 1)
        free_us = now_us + max(LEAST_RETURN_US, self.wait_us(share, share.waiting))
        told_us = max(share.promised_until_us, free_us) + int(one_us * (PLACE + RETURN_SPREAD * self.rng()))
        if told_us <= now_us + longest_us and len(self.promised) < MOST_PROMISES:
            share.promised_until_us = told_us
            self.promises[key] = (*self.promises.get(key, ()), told_us)
            self.promised.append((told_us, key))
            return TurnedAway(ident, told_us - now_us)
        # there is no place within its patience: spread over the end of the longest time
        return TurnedAway(ident, int(longest_us * (1.0 - RETURN_SPREAD * self.rng())))
