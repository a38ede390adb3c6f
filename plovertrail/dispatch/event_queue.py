"""The queue of events for the load balancers, which pauses while the dispatcher is suspended."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from plovertrail.decisions.events import EndpointsUpdated, Event, TimerFired
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.dispatch.suspension import Suspension


class EventQueue:
    """Handles events one at a time; events that are added meanwhile wait for their turn.

    `handle` is called with each event, and `on_idle` whenever the queue has become empty; it may add events.
    """

    def __init__(
        self,
        suspension: Suspension,
        handle: Callable[[ServerPool, Event], None],
        on_idle: Callable[[], None],
    ) -> None:
        self.suspension = suspension
        self.handle = handle
        self.on_idle = on_idle
        self.events: deque[tuple[ServerPool, Event]] = deque()
        self.running = False

    def put(self, pool: ServerPool, event: Event) -> None:
        """Add an event, and handle all events unless a caller further up the stack does so."""
        if self.suspension.active:
            self._put_suspended(pool, event)
            return
        self.events.append((pool, event))
        if not self.running:
            self.run()

    def _put_suspended(self, pool: ServerPool, event: Event) -> None:
        """Hold an event back: endpoint updates separately from the others, and each timer only once."""
        if isinstance(event, EndpointsUpdated):
            self.suspension.endpoint_updates.append((pool, event))
        elif not (isinstance(event, TimerFired) and (pool, event) in self.events):
            self.events.append((pool, event))

    def put_back(self, events: list[tuple[ServerPool, EndpointsUpdated]]) -> None:
        """Insert events before all others, in their order."""
        self.events.extendleft(reversed(events))

    def run(self) -> None:
        """Handle all events, unless suspended or already running further up the stack."""
        suspension = self.suspension
        if self.running or suspension.active:
            return
        self.running = True
        try:
            while self.events and not suspension.active:
                self.handle(*self.events.popleft())
                if not self.events and not suspension.active:
                    self.on_idle()
        finally:
            self.running = False
