"""Delivers what was read to the subscribers, one a turn of the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)


class DeliveryQueue:
    """The subscriptions that have something to be delivered, in order."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.pending: deque[Subscription] = deque()
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def put(self, subscription: Subscription) -> None:
        """Deliver to a subscription in its turn."""
        if subscription.queued or self.closed:
            return
        subscription.queued = True
        self.pending.append(subscription)
        if self.task is None or self.task.done():
            self.task = self.loop.create_task(self._deliver())

    async def _deliver(self) -> None:
        """Deliver to one subscription a turn.

        Otherwise 200 lists that change at one moment would delay all requests by the time of all their steps.
        """
        while self.pending:
            subscription = self.pending.popleft()
            subscription.queued = False
            try:
                await subscription.deliver()
            except Exception:
                log.exception(
                    "delivery failed subscriber=%s source=%s", subscription.subscriber, subscription.key.name
                )
            await asyncio.sleep(0)

    def close(self) -> None:
        """Deliver nothing more."""
        self.closed = True
        if self.task is not None:
            self.task.cancel()
