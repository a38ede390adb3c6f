"""Who follows a file, and what of it has been delivered to each of them."""

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
    """What subscriptions need of the reader of files."""

    in_force: AcceptedContent

    def queue_delivery(self, subscription: Subscription) -> None:
        """Deliver to a subscriber in its turn."""

    def unsubscribed(self, subscription: Subscription) -> None:
        """Note that a subscriber follows its source no more."""

    async def read_now(self, followed: FollowedSource) -> None:
        """Return once a read of the source that began after this call has ended, or hangs."""


@dataclass(eq=False)
class FollowedSource:
    """A source that is read, and who follows it; changed on the event loop only."""

    job: ReadJob
    version: SourceVersion
    last_good: EndpointList | None = None  # the last good content
    settled: bool = False  # the last read found it complete, or wrong for good
    may_change: bool = False  # again under the same times; set by the worker
    read_again_soon: bool = False  # it has quick looks
    is_folder: bool = False
    is_linked: bool = False
    subscriptions: list[Subscription] = field(default_factory=list)
    waiters: list[tuple[int, asyncio.Future[None]]] = field(default_factory=list)


class Subscription:
    """One subscriber's interest in one source.

    What is delivered is always the latest that was read, so two changes never arrive in the wrong order.
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
        self.force_delivery = False  # deliver the list though it is not new: it may be accepted now
        self.last_problem = ""  # the one delivered last, if no list has been since
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
        """The digest of the last good content."""
        return self.followed.version.digest

    def deliver_again(self) -> None:
        """Deliver the list once more after the guards have changed.

        A list that they rejected is not new, and would stay rejected.
        """
        self.force_delivery = True
        self.reader.queue_delivery(self)

    async def read_now(self) -> bool:
        """Read the source once more, beginning now, and deliver; returns whether it has settled."""
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
        """Follow the source no more."""
        if not self.stopped:
            self.stopped = True
            self.reader.unsubscribed(self)
