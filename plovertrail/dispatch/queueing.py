"""The fair queue of a pool, in which requests wait until the pool has a free slot."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from plovertrail.clock import clock_us
from plovertrail.decisions.fair_queue import (
    Admitted,
    FairQueue,
    FairQueueAction,
    FairQueueRequest,
    FairQueueSettings,
)
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.timers import call_at
from plovertrail.dispatch.types import ProxyRequest

MIN_TIMER_DELAY_US = 1_000  # between two wake-ups of a queue


class QueueOwner(Protocol):
    """What PoolQueue needs of the dispatcher."""

    @property
    def has_events(self) -> bool:
        """Whether there are unhandled events, which may take slots that still count as free."""

    def admit(self, pool: ServerPool, request_id: int) -> None:
        """Hand a request to the pool's load balancer."""

    def reject(self, pool: ServerPool, request_id: int, retry_after_us: int) -> None:
        """Reject a request at the queue: the queue is full, or the wait is too long or has expired."""

    def wake(self, pool: ServerPool) -> None:
        """Let the pool's load balancer act on the time that has passed."""


class PoolQueue:
    """The queue of one pool and its timer. `rng` returns numbers from 0 to 1."""

    def __init__(
        self, pool: ServerPool, settings: FairQueueSettings, rng: Callable[[], float], owner: QueueOwner
    ) -> None:
        self.pool = pool
        self.owner = owner
        self.loop = asyncio.get_running_loop()
        self.fair_queue = FairQueue(settings, clock_us(), rng)
        self.timer: asyncio.TimerHandle | None = None
        self.timer_due_us = 0

    def configure(self, settings: FairQueueSettings) -> None:
        """Apply other settings; requests that wait stay queued."""
        self.fair_queue.configure(settings)

    def enqueue(self, request_id: int, request: ProxyRequest, due_us: int) -> None:
        """Queue a request, or admit it at once where a slot is free.

        An admitted request takes its slot only when its event is handled, so no slot counts as free while
        there are events.
        """
        pool = self.pool
        now_us = clock_us()
        has_capacity = not self.owner.has_events and pool.balancer.has_capacity(now_us) and pool.admits()
        actions = self.fair_queue.arrived(
            FairQueueRequest(
                request_id,
                request.tenant_name,
                request.client,
                pool.settings.classes[request.class_index].priority_weight,
                due_us,
            ),
            now_us,
            has_capacity,
        )
        self._carry_out(actions)
        if request_id in self.fair_queue.waiting:
            self._set_timer()
            pool.feed.widen_subset(now_us)

    def admit_next(self) -> bool:
        """Admit the next request if there is a slot for it; returns whether one was admitted."""
        pool = self.pool
        if self.fair_queue.waiting and pool.balancer.has_capacity(clock_us()) and pool.admits():
            admitted = self.fair_queue.next(clock_us())
            if admitted is not None:
                self.owner.admit(pool, admitted.request_id)
                return True
        return False

    def release(self, request_id: int, slot_time_us: int) -> None:
        """Remove a waiting request, or record the end of an admitted one and for how long it held slots."""
        self.fair_queue.cancelled(request_id, clock_us())
        self.fair_queue.ended(request_id, slot_time_us, clock_us())

    def close(self) -> list[int]:
        """Cancel the timer and return the waiting requests."""
        if self.timer is not None:
            self.timer.cancel()
        return list(self.fair_queue.waiting)

    def _carry_out(self, actions: Sequence[FairQueueAction]) -> None:
        for action in actions:
            if isinstance(action, Admitted):
                self.owner.admit(self.pool, action.request_id)
            else:
                self.owner.reject(self.pool, action.request_id, action.retry_after_us)

    def _set_timer(self) -> None:
        """Set the timer for the next slot that opens by time, or the next expiration: they have no events."""
        expiration_us = self.fair_queue.next_expiration_us()
        if expiration_us is None:
            return
        at_us = max(
            min(expiration_us, self.pool.balancer.next_slot_opening_us()), clock_us() + MIN_TIMER_DELAY_US
        )
        if self.timer is not None:
            if self.timer_due_us <= at_us:
                return
            self.timer.cancel()
        self.timer = call_at(self.loop, at_us, self._on_timer)
        self.timer_due_us = at_us

    def _on_timer(self) -> None:
        self.timer = None
        self._carry_out(self.fair_queue.expired(clock_us()))
        self.owner.wake(self.pool)
        self._set_timer()
