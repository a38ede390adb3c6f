"""The subscriptions to a watched file, and what has been delivered to each of them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from plovertrail.decisions.endpoint_list import EndpointList
from plovertrail.decisions.list_versions import AcceptedContent, SourceKey, SourceVersion
from plovertrail.sources.read_workers import ReadJob

OnList = Callable[[EndpointList], Awaitable[str]]  # returns why the list is rejected, or an empty text
OnProblem = Callable[[str, str], Awaitable[None]]  # called with the source's name and what is wrong


class Reader(Protocol):
    """The methods of the list reader that subscriptions use."""

    in_force: AcceptedContent

    def queue_delivery(self, subscription: Subscription) -> None:
        """Queue a delivery to a subscriber."""

    def unsubscribed(self, subscription: Subscription) -> None:
        """Remove a subscription, and the source if it was the last one."""

    async def read_now(self, followed: FollowedSource) -> None:
        """Return once a read of the source that began after this call has ended, or hangs."""


@dataclass(eq=False)
class FollowedSource:
    """A source and its subscriptions; changed on the event loop unless a field says otherwise."""

    job: ReadJob
    version: SourceVersion
    last_good: EndpointList | None = None  # the last valid list
    settled: bool = False  # the last read found it complete or invalid
    may_change: bool = False  # its times may not show the next change; set by the worker
    read_again_soon: bool = False  # it is among the quick looks
    is_folder: bool = False
    is_linked: bool = False
    subscriptions: list[Subscription] = field(default_factory=list)
    waiters: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)


class Subscription:
    """One subscriber's interest in one source.

    Each delivery has the latest content that was read, so two changes never arrive in the wrong order.
    """

    def __init__(
        self,
        reader: Reader,
        followed: FollowedSource,
        subscriber: str,
        on_list: OnList,
        on_problem: OnProblem,
    ) -> None:
        self.reader = reader
        self.followed = followed
        self.subscriber = subscriber
        self.on_list = on_list
        self.on_problem = on_problem
        self.force_delivery = False  # deliver the list although it is not new: it may be accepted now
        self.last_problem = ""  # the last one delivered; empty if a list was delivered after it
        self.delivered_generation = 0
        self.queued = False
        self.stopped = False
        self.lock = asyncio.Lock()

    @property
    def key(self) -> SourceKey:
        """The source that is followed."""
        return self.followed.version.key

    @property
    def digest(self) -> str:
        """The digest of the last valid content."""
        return self.followed.version.digest

    def deliver_again(self) -> None:
        """Deliver the list once more after the guards have changed.

        A list that they rejected is not new, so it would not be delivered again otherwise.
        """
        self.force_delivery = True
        self.reader.queue_delivery(self)

    async def read_now(self) -> bool:
        """Read the source, beginning after this call, and deliver; returns whether it has settled."""
        await self.reader.read_now(self.followed)
        await self.deliver()
        return self.followed.settled

    async def deliver(self) -> None:
        """Deliver what has not been delivered yet."""
        async with self.lock:
            version = self.followed.version
            listed = self.followed.last_good
            if self.stopped or (self.delivered_generation == version.generation and not self.force_delivery):
                return
            self.delivered_generation = version.generation
            digest = version.digest
            if version.problem:
                if self.last_problem != version.problem:
                    self.last_problem = version.problem
                    await self.on_problem(version.key.name, self.last_problem)
            elif listed is not None:
                self.force_delivery = False
                self.last_problem = ""
                problem = await self.on_list(listed)
                if not problem and not self.stopped:
                    self.reader.in_force.accept(self.subscriber, version.key, digest)

    def stop(self) -> None:
        """End the subscription."""
        if not self.stopped:
            self.stopped = True
            self.reader.unsubscribed(self)
