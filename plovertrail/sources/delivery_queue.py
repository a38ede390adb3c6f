"""Delivers lists that were read to their subscribers, one per turn of the event loop."""

from __future__ import annotations

import asyncio
import logging
from collections import deque

from plovertrail.sources.subscriptions import Subscription

log = logging.getLogger(__name__)


class DeliveryQueue:
    """A FIFO queue of the subscriptions that have something to deliver."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.pending: deque[Subscription] = deque()
        self.task: asyncio.Task[None] | None = None
        self.closed = False

    def put(self, subscription: Subscription) -> None:
        """Queue a subscription; nothing happens if it is queued already."""
        if subscription.queued or self.closed:
            return
        subscription.queued = True
        self.pending.append(subscription)
        if self.task is None or self.task.done():
            self.task = self.loop.create_task(self._deliver())

    async def _deliver(self) -> None:
        """Deliver to one subscription per turn of the loop.

        If 200 lists that change at once were all applied in one turn, they would delay every request.
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
        """Stop all deliveries."""
        self.closed = True
        if self.task is not None:
            self.task.cancel()
