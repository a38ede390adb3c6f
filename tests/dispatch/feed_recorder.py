"""A dispatcher with one pool that records the endpoint lists delivered to its load balancer."""

from __future__ import annotations

import asyncio

from plovertrail.decisions.actions import Action
from plovertrail.decisions.events import Endpoint, EndpointsUpdated, Event, ListKind
from plovertrail.decisions.settings import RequestClass, Settings
from plovertrail.dispatch.dispatcher import Dispatcher
from plovertrail.dispatch.server_pool import ServerPool
from plovertrail.upstreams.connection_pool import ConnectionPool


class FeedRecorder:
    """A dispatcher with one pool; `lists` holds the endpoint lists delivered to its load balancer."""

    def __init__(self) -> None:
        self.dispatcher = Dispatcher()
        settings = Settings(classes=[RequestClass("read", 100_000, 400_000)])
        self.pool: ServerPool = self.dispatcher.pools.add(
            "p", settings, 1, ConnectionPool(1_000_000, 1_000_000, 10)
        )
        self.lists: list[EndpointsUpdated] = []
        handle = self.pool.balancer.handle

        def record(now_us: int, event: Event) -> list[Action]:
            if isinstance(event, EndpointsUpdated):
                self.lists.append(event)
            return handle(now_us, event)

        self.pool.balancer.handle = record  # type: ignore[method-assign]

    def update(self, kind: ListKind, entries: list[Endpoint]) -> None:
        self.dispatcher.pools.update_endpoints(
            self.pool, EndpointsUpdated(kind, entries), addresses_of(entries)
        )

    async def settle(self) -> None:
        while self.pool.feed.has_pending:
            await asyncio.sleep(0)


def addresses_of(entries: list[Endpoint]) -> dict[int, tuple[str, int]]:
    return {entry.id: ("127.0.0.1", 1 + entry.id) for entry in entries}
